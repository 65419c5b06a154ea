//! Pieces between the decision to send them and the sending.
//!
//! The intent of a piece has to be durable before its first byte leaves: otherwise a restart would not know that
//! an attempt may have run, and could send the piece a second time.

use crate::piece::PieceId;
use shaletack_wal::RecordNumber;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A piece that the log has no room to start is called ready again after this time.
const POSTPONE_DELAY: Duration = Duration::from_millis(100);

/// The record of an intent, and its piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PendingIntent {
    record: RecordNumber,
    piece: PieceId,
}

#[derive(Clone, Debug, Default)]
pub(crate) struct SendQueue {
    intents: BTreeSet<PendingIntent>,
    /// Pieces that could not start, and when they are called ready again.
    postponed: BTreeMap<PieceId, Duration>,
}

impl SendQueue {
    /// A piece is sent once the record of its intent is durable.
    pub fn wait_for_intent(&mut self, record: RecordNumber, piece: PieceId) {
        self.intents.insert(PendingIntent { record, piece });
    }

    /// Takes the pieces whose intents are durable, in the order of their intents.
    pub fn pop_durable(&mut self, durable: RecordNumber) -> Vec<PieceId> {
        let mut pieces = Vec::new();
        while let Some(first) = self.intents.first().copied().filter(|first| first.record <= durable) {
            self.intents.pop_first();
            pieces.push(first.piece);
        }
        pieces
    }

    /// A piece could not start.
    pub fn postpone(&mut self, piece: PieceId, now: Duration) {
        self.postponed.insert(piece, now + POSTPONE_DELAY);
    }

    /// Takes the pieces that are to be called ready again by now.
    pub fn pop_postponed(&mut self, now: Duration) -> Vec<PieceId> {
        let is_due = |(_, at): &(&PieceId, &Duration)| **at <= now;
        let due: Vec<PieceId> = self.postponed.iter().filter(is_due).map(|(piece, _)| *piece).collect();
        for piece in &due {
            self.postponed.remove(piece);
        }
        due
    }

    /// When the next piece is to be called ready again.
    pub fn next_postponed(&self) -> Option<Duration> {
        self.postponed.values().min().copied()
    }
}
