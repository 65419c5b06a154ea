//! Recovery: replays the records of a recovered log to restore the state of each piece.
//!
//! A piece whose intent has no recorded outcome may have reached its endpoint, or may still reach it. Such a
//! piece waits for [`Config::attempt_lifetime`], the longest time that an attempt can still run there, and is
//! then read back.

use crate::barriers::Barriers;
use crate::config::Config;
use crate::journal::Journal;
use crate::piece::{BufferedPiece, Piece, PieceId, PieceState};
use crate::piece_table::PieceTable;
use crate::record::Record;
use shaletack_wal::{Identity, RecordNumber, RecoveredLog};
use std::time::Duration;
use thiserror::Error;

/// A record of the log that can't be decoded.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("log record {number} can't be decoded")]
pub struct UnreadableRecord {
    /// The record's number.
    pub number: RecordNumber,
}

/// The state restored from the records replayed so far.
pub(crate) struct Replay {
    pub pieces: PieceTable,
    pub barriers: Barriers,
    pub journal: Journal,
    pub last_piece: PieceId,
    now: Duration,
    expiry: Duration,
}

impl Replay {
    /// Replays all records of a recovered log.
    pub fn run(
        identity: Identity,
        config: &Config,
        recovered: &RecoveredLog,
        now: Duration,
    ) -> Result<Self, UnreadableRecord> {
        let mut replay = Replay {
            pieces: PieceTable::default(),
            barriers: Barriers::default(),
            journal: Journal::resume(identity, config.log, recovered),
            last_piece: 0,
            now,
            expiry: now + config.attempt_lifetime,
        };
        for stored in &recovered.records {
            let number = stored.number;
            let record = Record::decode(&stored.bytes).ok_or(UnreadableRecord { number })?;
            replay.apply(number, record);
        }
        Ok(replay)
    }

    fn apply(&mut self, number: RecordNumber, record: Record) {
        match record {
            Record::Write { id, volume, export_offset, shard, endpoint_offset, may_have_run, data } => {
                let piece = Piece { export_offset, shard, endpoint_offset, data };
                self.apply_write(number, id, volume, piece, may_have_run);
            }
            Record::Intent(id) => self.set_state(number, id, PieceState::AwaitingExpiry(self.expiry)),
            Record::NeverRan(id) => self.set_state(number, id, PieceState::Durable),
            Record::Settled(id) => self.settle(number, id),
        }
    }

    fn apply_write(
        &mut self,
        number: RecordNumber,
        id: PieceId,
        volume: u64,
        piece: Piece,
        may_have_run: bool,
    ) {
        self.last_piece = self.last_piece.max(id);
        let mut may_have_run = may_have_run;
        // A second record of the same piece is a copy written to free a segment: the older record is no
        // longer in use.
        if let Some(older) = self.pieces.get(id) {
            may_have_run |= older.state.may_have_run();
            self.journal.release(older.record);
        }
        let state = if may_have_run { PieceState::AwaitingExpiry(self.expiry) } else { PieceState::Durable };
        self.journal.track(number, id);
        self.barriers.record_written(volume, number);
        self.pieces.insert(id, BufferedPiece { volume, piece, state, record: number, since: self.now });
    }

    /// Applies a control record, which changes the state of a piece. The control record is needed only as
    /// long as the record that holds the piece is in use. Segments are removed oldest first, so the control
    /// record is never removed before that one, and is not tracked itself.
    fn set_state(&mut self, number: RecordNumber, id: PieceId, state: PieceState) {
        self.last_piece = self.last_piece.max(id);
        self.pieces.set_state(id, state);
        self.journal.release(number);
    }

    fn settle(&mut self, number: RecordNumber, id: PieceId) {
        self.last_piece = self.last_piece.max(id);
        if let Some(settled) = self.pieces.remove(id) {
            self.journal.release(settled.record);
        }
        self.journal.release(number);
    }
}
