//! Pieces between the decision to send them and the moment they are sent.
//!
//! The intent of a piece has to be durable before its first byte is sent: otherwise a restarted process would
//! not know that an attempt may have run, and could send the piece a second time.

use crate::piece::PieceId;
use shaletack_wal::RecordNumber;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Delay after which a piece is marked ready again whose intent found no space in the log.
const POSTPONE_DELAY: Duration = Duration::from_millis(100);

/// An intent that is not durable yet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingIntent {
    record: RecordNumber,
    piece: PieceId,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SendQueue {
    intents: BTreeSet<PendingIntent>,
    /// Pieces that could not start, with the time at which they are marked ready again.
    postponed: BTreeMap<PieceId, Duration>,
}

impl SendQueue {
    /// Adds a piece that is sent once the record of its intent is durable.
    pub fn wait_for_intent(&mut self, record: RecordNumber, piece: PieceId) {
        self.intents.insert(PendingIntent { record, piece });
    }

    /// Removes and returns the pieces whose intents are durable, in the order of their intents.
    pub fn pop_durable(&mut self, durable: RecordNumber) -> Vec<PieceId> {
        let mut pieces = Vec::new();
        while let Some(first) = self.intents.first().copied().filter(|first| first.record <= durable) {
            self.intents.pop_first();
            pieces.push(first.piece);
        }
        pieces
    }

    /// Adds a piece that could not start because the log had no space for its intent.
    pub fn postpone(&mut self, piece: PieceId, now: Duration) {
        self.postponed.insert(piece, now + POSTPONE_DELAY);
    }

    /// Removes and returns the postponed pieces whose delay has passed.
    pub fn pop_postponed(&mut self, now: Duration) -> Vec<PieceId> {
        let is_due = |(_, at): &(&PieceId, &Duration)| **at <= now;
        let due: Vec<PieceId> = self.postponed.iter().filter(is_due).map(|(piece, _)| *piece).collect();
        for piece in &due {
            self.postponed.remove(piece);
        }
        due
    }

    /// Returns when the delay of the next postponed piece ends.
    pub fn next_postponed_at(&self) -> Option<Duration> {
        self.postponed.values().min().copied()
    }
}
