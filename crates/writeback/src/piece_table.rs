//! All unsettled pieces, and which of them overlap.

use crate::overlay::{Overlay, OverlaySpan};
use crate::piece::{BufferedPiece, PieceId, PieceState, UnsettledPiece};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// A place in a volume where a piece begins.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PieceStart {
    export_offset: u64,
    id: PieceId,
}

/// The pieces of one volume, by where they begin.
#[derive(Clone, Debug, Default)]
struct VolumeIndex {
    starts: BTreeSet<PieceStart>,
    /// The longest piece that the volume ever had, in bytes: how far back a piece that overlaps may begin.
    longest_bytes: u64,
}

/// All unsettled pieces by their numbers, which rise in the order of arrival.
#[derive(Clone, Debug, Default)]
pub(crate) struct PieceTable {
    pieces: BTreeMap<PieceId, BufferedPiece>,
    volumes: BTreeMap<u64, VolumeIndex>,
}

impl PieceTable {
    pub fn len(&self) -> usize {
        self.pieces.len()
    }

    pub fn ids(&self) -> Vec<PieceId> {
        self.pieces.keys().copied().collect()
    }

    pub fn get(&self, id: PieceId) -> Option<&BufferedPiece> {
        self.pieces.get(&id)
    }

    /// A piece, if it is in this state.
    pub fn get_in_state(&mut self, id: PieceId, state: PieceState) -> Option<&mut BufferedPiece> {
        self.pieces.get_mut(&id).filter(|buffered| buffered.state == state)
    }

    pub fn state(&self, id: PieceId) -> Option<PieceState> {
        self.pieces.get(&id).map(|buffered| buffered.state)
    }

    pub fn set_state(&mut self, id: PieceId, state: PieceState) {
        if let Some(buffered) = self.pieces.get_mut(&id) {
            buffered.state = state;
        }
    }

    pub fn get_mut(&mut self, id: PieceId) -> Option<&mut BufferedPiece> {
        self.pieces.get_mut(&id)
    }

    pub fn insert(&mut self, id: PieceId, buffered: BufferedPiece) {
        let index = self.volumes.entry(buffered.volume).or_default();
        index.longest_bytes = index.longest_bytes.max(buffered.piece.data.len() as u64);
        index.starts.insert(PieceStart { export_offset: buffered.piece.export_offset, id });
        self.pieces.insert(id, buffered);
    }

    pub fn remove(&mut self, id: PieceId) -> Option<BufferedPiece> {
        let buffered = self.pieces.remove(&id)?;
        if let Some(index) = self.volumes.get_mut(&buffered.volume) {
            index.starts.remove(&PieceStart { export_offset: buffered.piece.export_offset, id });
        }
        Some(buffered)
    }

    /// The pieces that overlap a range of bytes of a volume, in the order of arrival.
    pub fn overlapping(&self, volume: u64, range: Range<u64>) -> Vec<PieceId> {
        let Some(index) = self.volumes.get(&volume) else { return Vec::new() };
        let earliest = range.start.saturating_sub(index.longest_bytes);
        let first = PieceStart { export_offset: earliest, id: 0 };
        let end = PieceStart { export_offset: range.end, id: 0 };
        let candidates = index.starts.range(first..end).map(|start| start.id);
        let mut ids: Vec<PieceId> = candidates.filter(|id| self.overlaps(*id, &range)).collect();
        ids.sort_unstable();
        ids
    }

    fn overlaps(&self, id: PieceId, range: &Range<u64>) -> bool {
        let piece = self.pieces.get(&id).map(|buffered| &buffered.piece);
        piece.is_some_and(|piece| piece.export_offset < range.end && range.start < piece.export_end())
    }

    /// What a read of a range of a volume is overlaid with.
    pub fn overlay(&self, volume: u64, range: Range<u64>) -> Overlay {
        let ids = self.overlapping(volume, range);
        let pieces = ids.iter().filter_map(|id| self.pieces.get(id)).map(|buffered| &buffered.piece);
        Overlay::new(pieces.map(|p| OverlaySpan { offset: p.export_offset, data: p.data.clone() }).collect())
    }

    /// Calls a durable piece ready if nothing that came before it overlaps it; whether it did so.
    pub fn mark_ready(&mut self, id: PieceId) -> bool {
        let Some(buffered) = self.pieces.get(&id) else { return false };
        if buffered.state != PieceState::Durable {
            return false;
        }
        let range = buffered.piece.export_offset..buffered.piece.export_end();
        if self.overlapping(buffered.volume, range).first() != Some(&id) {
            return false;
        }
        self.set_state(id, PieceState::Ready);
        true
    }

    /// The earlier pieces that this one overwrites completely and that were never sent.
    pub fn superseded_by(&self, id: PieceId) -> Vec<PieceId> {
        let Some(newer) = self.pieces.get(&id) else { return Vec::new() };
        let range = newer.piece.export_offset..newer.piece.export_end();
        let is_superseded = |older: &PieceId| {
            self.pieces.get(older).is_some_and(|older| {
                let is_covered =
                    range.start <= older.piece.export_offset && older.piece.export_end() <= range.end;
                is_covered && older.state.is_unsent()
            })
        };
        let overlapping = self.overlapping(newer.volume, range.clone());
        overlapping.into_iter().take_while(|older| *older < id).filter(is_superseded).collect()
    }

    /// Takes the pieces whose old attempts can't run any more by now into reading back, in order.
    pub fn start_expired_read_backs(&mut self, now: Duration) -> Vec<PieceId> {
        let mut expired = Vec::new();
        for (id, buffered) in &mut self.pieces {
            if matches!(buffered.state, PieceState::AwaitingExpiry(until) if until <= now) {
                buffered.state = PieceState::ReadingBack;
                expired.push(*id);
            }
        }
        expired
    }

    /// When the next old attempt can't run any more.
    pub fn next_expiry(&self) -> Option<Duration> {
        let expiry = |buffered: &BufferedPiece| match buffered.state {
            PieceState::AwaitingExpiry(until) => Some(until),
            _ => None,
        };
        self.pieces.values().filter_map(expiry).min()
    }

    /// How many pieces only an operator can settle.
    pub fn in_doubt(&self) -> usize {
        self.pieces.values().filter(|buffered| buffered.state == PieceState::InDoubt).count()
    }

    pub fn list(&self) -> Vec<UnsettledPiece> {
        self.pieces.iter().map(|(id, buffered)| UnsettledPiece::new(*id, buffered)).collect()
    }
}
