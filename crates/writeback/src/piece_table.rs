//! The table of unsettled pieces, with an index to find overlapping ones.

use crate::overlay::{Overlay, OverlaySpan};
use crate::piece::{BufferedPiece, Piece, PieceId, PieceState, UnsettledPiece};
use std::collections::{BTreeMap, BTreeSet};
use std::ops::Range;
use std::time::Duration;

/// The offset at which a piece begins in its export.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PieceStart {
    export_offset: u64,
    id: PieceId,
}

/// The pieces of one volume, ordered by their offset.
#[derive(Clone, Debug, Default)]
struct VolumeIndex {
    starts: BTreeSet<PieceStart>,
    /// Length of the longest piece that the volume ever had, in bytes: a piece that overlaps a range can
    /// begin at most this far before the range.
    longest_bytes: u64,
}

/// All unsettled pieces by number. Numbers ascend in the order of arrival.
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

    /// Returns a piece if it is in this state.
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

    /// Returns the pieces that overlap a byte range of a volume, in the order of arrival.
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

    /// Returns the overlay for reads of a byte range of a volume.
    pub fn overlay(&self, volume: u64, range: Range<u64>) -> Overlay {
        let ids = self.overlapping(volume, range);
        let pieces = ids.iter().filter_map(|id| self.pieces.get(id)).map(|buffered| &buffered.piece);
        let span = |piece: &Piece| OverlaySpan { offset: piece.export_offset, data: piece.data.clone() };
        Overlay::new(pieces.map(span).collect())
    }

    /// Marks a durable piece ready unless an earlier piece overlaps it. Returns whether the piece was marked.
    pub fn try_mark_ready(&mut self, id: PieceId) -> bool {
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

    /// Returns the earlier pieces that this one overwrites completely and that were never sent.
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

    /// Moves the pieces whose [`PieceState::AwaitingExpiry`] is over to [`PieceState::ReadingBack`], and
    /// returns them in ascending order.
    pub fn start_expired_read_backs(&mut self, now: Duration) -> Vec<PieceId> {
        let mut expired = Vec::new();
        for (id, buffered) in &mut self.pieces {
            if matches!(buffered.state, PieceState::AwaitingExpiry(expiry) if expiry <= now) {
                buffered.state = PieceState::ReadingBack;
                expired.push(*id);
            }
        }
        expired
    }

    /// Returns the earliest time of [`PieceState::AwaitingExpiry`].
    pub fn next_expiry(&self) -> Option<Duration> {
        let expiry = |buffered: &BufferedPiece| match buffered.state {
            PieceState::AwaitingExpiry(expiry) => Some(expiry),
            _ => None,
        };
        self.pieces.values().filter_map(expiry).min()
    }

    /// Returns the number of pieces that only an operator can settle.
    pub fn in_doubt_count(&self) -> usize {
        self.pieces.values().filter(|buffered| buffered.state == PieceState::InDoubt).count()
    }

    pub fn list(&self) -> Vec<UnsettledPiece> {
        self.pieces.iter().map(|(id, buffered)| UnsettledPiece::new(*id, buffered)).collect()
    }
}
