//! A piece of a write: the part that lies on one shard and is no larger than a request.

use bytes::Bytes;
use shaletack_wal::RecordNumber;
use std::time::Duration;

/// The number of a piece. Never used twice in a log.
pub type PieceId = u64;

/// What a piece writes, and where.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Where it begins in the export, in bytes.
    pub export_offset: u64,
    /// The shard that holds it.
    pub shard: u16,
    /// Where it begins on the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
    /// What is written.
    pub data: Bytes,
}

impl Piece {
    /// Where it ends in the export, in bytes.
    pub(crate) fn export_end(&self) -> u64 {
        self.export_offset + self.data.len() as u64
    }
}

/// How far a piece is on its way to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceState {
    /// Its record is on the way into the log.
    Buffered,
    /// It is in the log, and no attempt at it may run. An earlier piece that overlaps it is unsettled.
    Durable,
    /// As [`PieceState::Durable`], and it may be sent.
    Ready,
    /// Its intent is on the way into the log.
    IntentPending,
    /// It is sent, and the outcome is not known yet.
    InFlight,
    /// An old attempt may still run, until then.
    AwaitingExpiry(Duration),
    /// It is being read back from its endpoint.
    ReadingBack,
    /// Only an operator can settle it.
    InDoubt,
}

impl PieceState {
    /// Whether an attempt may have run, or may yet: the log holds an intent without a record of how it ended.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, PieceState::Buffered | PieceState::Durable | PieceState::Ready)
    }

    /// Whether it is durable, and no attempt at it may run.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(self, PieceState::Durable | PieceState::Ready)
    }
}

/// A piece that is not settled.
#[derive(Clone, Debug)]
pub(crate) struct BufferedPiece {
    pub volume: u64,
    pub piece: Piece,
    pub state: PieceState,
    /// The record of the log that holds it.
    pub record: RecordNumber,
    /// Since when it is buffered, or since the restart.
    pub since: Duration,
}

/// A piece that is not settled, as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledPiece {
    /// Its number.
    pub id: PieceId,
    /// The volume that is written to.
    pub volume: u64,
    /// Where it begins in the export, in bytes.
    pub export_offset: u64,
    /// How many bytes it writes.
    pub length: usize,
    /// The shard that holds it.
    pub shard: u16,
    /// Where it begins on the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
    /// It was to be sent, and nothing says how that ended.
    pub may_have_run: bool,
    /// Only an operator can settle it.
    pub in_doubt: bool,
    /// Since when it is buffered, or since the restart.
    pub since: Duration,
}

impl UnsettledPiece {
    pub(crate) fn new(id: PieceId, buffered: &BufferedPiece) -> Self {
        UnsettledPiece {
            id,
            volume: buffered.volume,
            export_offset: buffered.piece.export_offset,
            length: buffered.piece.data.len(),
            shard: buffered.piece.shard,
            endpoint_offset: buffered.piece.endpoint_offset,
            may_have_run: buffered.state.may_have_run(),
            in_doubt: buffered.state == PieceState::InDoubt,
            since: buffered.since,
        }
    }
}
