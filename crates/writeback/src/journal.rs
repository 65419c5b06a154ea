//! How the buffer uses the log: which record holds which piece, which outcomes have still to be recorded, and
//! which records are no longer in use.

use crate::piece::PieceId;
use crate::piece_table::PieceTable;
use crate::record::Record;
use shaletack_wal::{
    AppendError, Commit, Identity, Log, LogConfig, RecordKind, RecordNumber, RecoveredLog, SegmentNumber,
};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// The record of a piece's outcome that is not in the log yet: the log may lack the space for it.
#[derive(Clone, Debug)]
struct PendingOutcome {
    record: Record,
    /// The record that is no longer in use once this one is durable.
    replaces: Option<RecordNumber>,
}

/// A record that stays in use until another record is durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct ReplacedRecord {
    replaced_by: RecordNumber,
    number: RecordNumber,
}

/// The log of the buffer, with the records that hold pieces.
#[derive(Clone, Debug)]
pub(crate) struct Journal {
    log: Log,
    piece_by_record: BTreeMap<RecordNumber, PieceId>,
    /// Outcomes that are not in the log yet, in the order in which they must be appended.
    pending_outcomes: VecDeque<PendingOutcome>,
    replaced: BTreeSet<ReplacedRecord>,
    /// Records in use whose rewritten copy is appended but not durable yet.
    rewriting: BTreeSet<RecordNumber>,
}

impl Journal {
    pub fn new(identity: Identity, config: LogConfig) -> Self {
        Journal::with_log(Log::new(identity, config))
    }

    /// Resumes a recovered log. Every record counts as in use until it is released.
    pub fn resume(identity: Identity, config: LogConfig, recovered: &RecoveredLog) -> Self {
        Journal::with_log(Log::resume(identity, config, recovered))
    }

    fn with_log(log: Log) -> Self {
        Journal {
            log,
            piece_by_record: BTreeMap::new(),
            pending_outcomes: VecDeque::new(),
            replaced: BTreeSet::new(),
            rewriting: BTreeSet::new(),
        }
    }

    /// Returns the last durable record.
    pub fn durable_record(&self) -> RecordNumber {
        self.log.durable_record()
    }

    /// Returns whether all appended records are durable.
    pub fn is_durable(&self) -> bool {
        self.log.durable_record() == self.log.last_record()
    }

    /// Returns the bytes used by the log.
    pub fn used_bytes(&self) -> u64 {
        self.log.used_bytes()
    }

    /// Checks whether write records of these lengths, in bytes, could all be appended.
    pub fn check_capacity(&self, record_lengths: impl Iterator<Item = usize>) -> Result<(), AppendError> {
        self.log.check_capacity(RecordKind::Data, record_lengths)
    }

    /// Appends the encoded record of a piece.
    pub fn append_write(&mut self, piece: PieceId, bytes: Vec<u8>) -> Result<RecordNumber, AppendError> {
        let record = self.log.append(RecordKind::Data, bytes)?;
        self.piece_by_record.insert(record, piece);
        Ok(record)
    }

    /// Appends the intent of a piece.
    ///
    /// Intents are rejected while an outcome waits to be appended. If an intent preceded the outcome of an
    /// earlier piece in the log, recovery from a log that ends between the two would treat the earlier piece
    /// as unsettled, and could send it after this one.
    pub fn append_intent(&mut self, piece: PieceId) -> Result<RecordNumber, AppendError> {
        if !self.pending_outcomes.is_empty() {
            return Err(AppendError::Full);
        }
        self.log.append(RecordKind::Control, Record::Intent(piece).encode())
    }

    /// Queues the record that a piece never ran and may be sent again.
    pub fn record_never_ran(&mut self, piece: PieceId) {
        self.pending_outcomes.push_back(PendingOutcome { record: Record::NeverRan(piece), replaces: None });
    }

    /// Queues the record that a piece is settled. `write_record`, which holds the piece, stays in use until
    /// the new record is durable.
    pub fn record_settled(&mut self, piece: PieceId, write_record: RecordNumber) {
        self.pending_outcomes
            .push_back(PendingOutcome { record: Record::Settled(piece), replaces: Some(write_record) });
    }

    /// Appends as many queued outcomes as the log has space for.
    pub fn append_pending_outcomes(&mut self) {
        while let Some(outcome) = self.pending_outcomes.front() {
            let Ok(record) = self.log.append(RecordKind::Control, outcome.record.encode()) else { return };
            if let Some(number) = outcome.replaces {
                self.replaced.insert(ReplacedRecord { replaced_by: record, number });
            }
            self.pending_outcomes.pop_front();
        }
    }

    /// Writes the records of old pieces again that keep segments from being removed.
    pub fn rewrite_old_records(&mut self, pieces: &mut PieceTable) {
        for old in self.log.records_to_rewrite() {
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

    /// Reports that the commit in flight is durable. Returns the pieces that its records hold.
    pub fn commit_succeeded(&mut self) -> Vec<PieceId> {
        let previously_durable = self.log.durable_record();
        self.log.commit_succeeded();
        let durable = self.log.durable_record();
        let pieces =
            self.piece_by_record.range(previously_durable + 1..durable + 1).map(|(_, id)| *id).collect();
        self.release_replaced(durable);
        pieces
    }

    fn release_replaced(&mut self, durable: RecordNumber) {
        while let Some(first) = self.replaced.first().copied().filter(|first| first.replaced_by <= durable) {
            self.replaced.pop_first();
            self.rewriting.remove(&first.number);
            self.release(first.number);
        }
    }

    /// Notes that a recovered record holds a piece.
    pub fn track(&mut self, record: RecordNumber, piece: PieceId) {
        self.piece_by_record.insert(record, piece);
    }

    /// Marks a record as no longer in use.
    pub fn release(&mut self, record: RecordNumber) {
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
