//! Recovery: what the records of a recovered log make of each piece.
//!
//! A piece whose intent has no end may have reached its endpoint, or may yet. It waits for the longest time that
//! an attempt can live there, and is then read back.

use crate::barriers::Barriers;
use crate::config::Config;
use crate::journal::Journal;
use crate::piece::{BufferedPiece, Piece, PieceId, PieceState};
use crate::piece_table::PieceTable;
use crate::record::Record;
use shaletack_wal::{Identity, RecordNumber, RecoveredLog};
use std::time::Duration;
use thiserror::Error;

/// A record of the log that this program can't read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("record {number} can't be read")]
pub struct UnreadableRecord {
    /// Its number.
    pub number: RecordNumber,
}

/// What the records read so far make of each piece.
pub(crate) struct Replay {
    pub pieces: PieceTable,
    pub barriers: Barriers,
    pub journal: Journal,
    pub last_piece: PieceId,
    now: Duration,
    expiry: Duration,
}

impl Replay {
    /// Reads all records of a recovered log.
    pub fn run(
        identity: Identity,
        config: &Config,
        found: &RecoveredLog,
        now: Duration,
    ) -> Result<Self, UnreadableRecord> {
        let mut replay = Replay {
            pieces: PieceTable::default(),
            barriers: Barriers::default(),
            journal: Journal::resume(identity, config.log, found),
            last_piece: 0,
            now,
            expiry: now + config.attempt_lifetime,
        };
        for recovered in &found.records {
            let number = recovered.number;
            let record = Record::decode(&recovered.bytes).ok_or(UnreadableRecord { number })?;
            replay.apply(number, record);
        }
        Ok(replay)
    }

    fn apply(&mut self, number: RecordNumber, record: Record) {
        match record {
            Record::Write { id, volume, export_offset, shard, endpoint_offset, may_have_run, data } => {
                let piece = Piece { export_offset, shard, endpoint_offset, data };
                self.write(number, id, volume, piece, may_have_run);
            }
            Record::Intent(id) => self.control(number, id, PieceState::AwaitingExpiry(self.expiry)),
            Record::NeverRan(id) => self.control(number, id, PieceState::Durable),
            Record::Settled(id) => self.settled(number, id),
        }
    }

    fn write(&mut self, number: RecordNumber, id: PieceId, volume: u64, piece: Piece, may_have_run: bool) {
        self.last_piece = self.last_piece.max(id);
        let mut may_have_run = may_have_run;
        // Written again to free a segment: the older record is not in use any more.
        if let Some(older) = self.pieces.get(id) {
            may_have_run |= older.state.may_have_run();
            self.journal.forget(older.record);
        }
        let state = if may_have_run { PieceState::AwaitingExpiry(self.expiry) } else { PieceState::Durable };
        self.journal.track(number, id);
        self.barriers.record_written(volume, number);
        self.pieces.insert(id, BufferedPiece { volume, piece, state, record: number, since: self.now });
    }

    /// A record that is in use only as long as the piece is.
    fn control(&mut self, number: RecordNumber, id: PieceId, state: PieceState) {
        self.last_piece = self.last_piece.max(id);
        self.pieces.set_state(id, state);
        self.journal.forget(number);
    }

    fn settled(&mut self, number: RecordNumber, id: PieceId) {
        self.last_piece = self.last_piece.max(id);
        if let Some(settled) = self.pieces.remove(id) {
            self.journal.forget(settled.record);
        }
        self.journal.forget(number);
    }
}
