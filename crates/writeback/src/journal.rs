//! The buffer's use of the log: which record holds which piece, what has still to be recorded, and which records
//! are not in use any more.

use crate::piece::PieceId;
use crate::piece_table::PieceTable;
use crate::record::Record;
use shaletack_wal::{
    AppendError, Commit, Identity, Log, LogConfig, RecordKind, RecordNumber, RecoveredLog, SegmentNumber,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// A record of how a piece ended, for which there may be no room in the log yet.
#[derive(Clone, Debug)]
struct OwedRecord {
    record: Record,
    /// The record that is not in use any more once this one is durable.
    replaces: Option<RecordNumber>,
}

/// A record that is in use until another one is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplacedRecord {
    replaced_by: RecordNumber,
    number: RecordNumber,
}

#[derive(Clone, Debug)]
pub(crate) struct Journal {
    log: Log,
    piece_by_record: BTreeMap<RecordNumber, PieceId>,
    /// In the order in which they must be appended.
    owed: VecDeque<OwedRecord>,
    replaced: BTreeSet<ReplacedRecord>,
    /// Records in use that have been written again, the newer record not being durable yet.
    rewriting: BTreeSet<RecordNumber>,
}

impl Journal {
    pub fn new(identity: Identity, config: LogConfig) -> Self {
        Journal::over(Log::new(identity, config))
    }

    /// Goes on behind what was recovered. Every record counts as in use until it is released.
    pub fn resume(identity: Identity, config: LogConfig, found: &RecoveredLog) -> Self {
        Journal::over(Log::resume(identity, config, found))
    }

    fn over(log: Log) -> Self {
        Journal {
            log,
            piece_by_record: BTreeMap::new(),
            owed: VecDeque::new(),
            replaced: BTreeSet::new(),
            rewriting: BTreeSet::new(),
        }
    }

    /// The last record that is durable.
    pub fn durable(&self) -> RecordNumber {
        self.log.durable()
    }

    /// Whether all records that the log has taken are durable.
    pub fn is_durable(&self) -> bool {
        self.log.durable() == self.log.last()
    }

    /// Bytes that the log takes.
    pub fn used_bytes(&self) -> u64 {
        self.log.used_bytes()
    }

    /// Whether writes with records of these lengths would all be taken.
    pub fn check_room(&self, record_lengths: impl Iterator<Item = usize>) -> Result<(), AppendError> {
        self.log.check_room(RecordKind::Data, record_lengths)
    }

    /// Takes the encoded record of a piece.
    pub fn append_write(&mut self, piece: PieceId, bytes: Vec<u8>) -> Result<RecordNumber, AppendError> {
        let record = self.log.append(RecordKind::Data, bytes)?;
        self.piece_by_record.insert(record, piece);
        Ok(record)
    }

    /// Takes the intent of a piece. It is rejected while a record is owed: if the intent preceded the
    /// record of how an earlier piece ended, then a restart in between would take that piece for unsettled, and
    /// could send it behind this one.
    pub fn append_intent(&mut self, piece: PieceId) -> Result<RecordNumber, AppendError> {
        if !self.owed.is_empty() {
            return Err(AppendError::Full);
        }
        self.log.append(RecordKind::Control, Record::Intent(piece).encode())
    }

    /// A piece provably never ran, which is to be recorded.
    pub fn owe_never_ran(&mut self, piece: PieceId) {
        self.owed.push_back(OwedRecord { record: Record::NeverRan(piece), replaces: None });
    }

    /// A piece is settled, which is to be recorded. The record that holds it is in use until that is durable.
    pub fn owe_settled(&mut self, piece: PieceId, held_by: RecordNumber) {
        self.owed.push_back(OwedRecord { record: Record::Settled(piece), replaces: Some(held_by) });
    }

    /// Takes as many of the owed records as there is room for.
    pub fn append_owed(&mut self) {
        while let Some(owed) = self.owed.front() {
            let Ok(record) = self.log.append(RecordKind::Control, owed.record.encode()) else { return };
            if let Some(number) = owed.replaces {
                self.replaced.insert(ReplacedRecord { replaced_by: record, number });
            }
            self.owed.pop_front();
        }
    }

    /// Writes the records of old pieces again where they keep the log from freeing segments.
    pub fn rewrite_stragglers(&mut self, pieces: &mut PieceTable) {
        for old in self.log.stragglers() {
            let Some(id) = self.piece_by_record.get(&old).copied() else { continue };
            let Some(buffered) = pieces.get_mut(id).filter(|buffered| buffered.record == old) else {
                continue;
            };
            if self.rewriting.contains(&old) {
                continue;
            }
            let may_have_run = buffered.state.may_have_run();
            let record = Record::write(id, buffered.volume, buffered.piece.clone(), may_have_run);
            let Ok(new) = self.log.append(RecordKind::Rewritten, record.encode()) else { continue };
            self.rewriting.insert(old);
            self.replaced.insert(ReplacedRecord { replaced_by: new, number: old });
            self.piece_by_record.insert(new, id);
            buffered.record = new;
        }
    }

    /// The commit in flight is durable. Returns the pieces that its records hold.
    pub fn commit_succeeded(&mut self) -> Vec<PieceId> {
        let before = self.log.durable();
        self.log.commit_succeeded();
        let durable = self.log.durable();
        let pieces = self.piece_by_record.range(before + 1..durable + 1).map(|(_, id)| *id).collect();
        self.forget_replaced(durable);
        pieces
    }

    fn forget_replaced(&mut self, durable: RecordNumber) {
        while let Some(first) = self.replaced.first().copied().filter(|first| first.replaced_by <= durable) {
            self.replaced.pop_first();
            self.rewriting.remove(&first.number);
            self.forget(first.number);
        }
    }

    /// A recovered record holds a piece.
    pub fn track(&mut self, record: RecordNumber, piece: PieceId) {
        self.piece_by_record.insert(record, piece);
    }

    /// A record is not in use any more.
    pub fn forget(&mut self, record: RecordNumber) {
        self.piece_by_record.remove(&record);
        self.log.release(record);
    }

    pub fn next_commit(&mut self) -> Option<Commit> {
        self.log.next_commit()
    }

    pub fn seal(&mut self) -> Option<Commit> {
        self.log.seal()
    }

    pub fn pop_removable(&mut self) -> Option<SegmentNumber> {
        self.log.pop_removable()
    }
}
