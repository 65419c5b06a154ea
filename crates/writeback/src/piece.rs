//! A piece of a write: the part that lies on one shard and fits into one request.

use bytes::Bytes;
use shaletack_wal::RecordNumber;
use std::time::Duration;

/// The number of a piece. Never reused within a log.
pub type PieceId = u64;

/// The data of a piece and its location.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Piece {
    /// Where the piece begins in the export, in bytes.
    pub export_offset: u64,
    /// The shard to write to.
    pub shard: u16,
    /// Where the piece begins on the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
    /// The data to write.
    pub data: Bytes,
}

impl Piece {
    /// Returns where the piece ends in the export, in bytes.
    pub(crate) fn export_end(&self) -> u64 {
        self.export_offset + self.data.len() as u64
    }
}

/// The state of a piece on its way to the endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum PieceState {
    /// The piece's record is not durable yet.
    Buffered,
    /// The piece's record is durable, and no attempt can have run. The piece waits for an earlier piece that
    /// overlaps it, or for log space for its intent.
    Durable,
    /// As [`PieceState::Durable`], and the piece may be sent.
    Ready,
    /// The piece's intent is appended but not durable yet.
    IntentPending,
    /// The piece is sent, and its outcome is unknown so far.
    InFlight,
    /// The piece is read back at this time. Until then an earlier attempt may still run, or a failed
    /// read-back waits for its retry.
    AwaitingExpiry(Duration),
    /// The endpoint's data is being read, to find out whether an earlier attempt wrote the piece.
    ReadingBack,
    /// Only an operator can settle the piece.
    InDoubt,
}

impl PieceState {
    /// Returns whether an attempt may have run or may still run: the log may hold an intent without an
    /// outcome.
    pub(crate) fn may_have_run(self) -> bool {
        !matches!(self, PieceState::Buffered | PieceState::Durable | PieceState::Ready)
    }

    /// Returns whether the piece is durable and no attempt can have run.
    pub(crate) fn is_unsent(self) -> bool {
        matches!(self, PieceState::Durable | PieceState::Ready)
    }
}

/// An unsettled piece.
#[derive(Clone, Debug)]
pub(crate) struct BufferedPiece {
    pub volume: u64,
    pub piece: Piece,
    pub state: PieceState,
    /// The log record that holds the piece.
    pub record: RecordNumber,
    /// When the piece was buffered; after a restart, when it was recovered.
    pub since: Duration,
}

/// An unsettled piece as shown to an operator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct UnsettledPiece {
    /// The piece's number.
    pub id: PieceId,
    /// The volume to write to.
    pub volume: u64,
    /// Where the piece begins in the export, in bytes.
    pub export_offset: u64,
    /// Length of the data, in bytes.
    pub length: usize,
    /// The shard to write to.
    pub shard: u16,
    /// Where the piece begins on the shard's endpoint, in bytes.
    pub endpoint_offset: u64,
    /// An intent to send the piece was recorded, but no outcome.
    pub may_have_run: bool,
    /// Only an operator can settle the piece.
    pub in_doubt: bool,
    /// When the piece was buffered; after a restart, when it was recovered.
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
