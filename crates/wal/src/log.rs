//! Appending records, group commit, and the size limits of the log.

use crate::format::{batch_size, encode_batch, MAX_RECORD_BYTES};
use crate::pending::{single_record_batch_size, PendingRecord, PendingRecords, RecordKind};
use crate::segments::{Segments, TailSegment};
use crate::{Commit, Identity, RecordNumber, RecoveredLog, SegmentNumber};
use thiserror::Error;

/// Size limits of a log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// Maximum size of one segment, in bytes.
    pub segment_bytes: u64,
    /// Maximum size of all segments together, in bytes.
    pub max_bytes: u64,
    /// The part of `max_bytes` that [`RecordKind::Data`] may not use, in bytes: control records that settle
    /// writes must find space even when the log is full of data.
    pub reserved_bytes: u64,
}

/// Why a record was not appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// The log has no free space until records are released.
    #[error("the log is full")]
    Full,
    /// The record exceeds [`MAX_RECORD_BYTES`] or the size of a segment.
    #[error("the record is too large for the log")]
    TooLarge,
}

/// A write-ahead log: decides what is written where, and when a segment may be removed.
#[derive(Clone, Debug)]
pub struct Log {
    identity: Identity,
    config: LogConfig,
    segments: Segments,
    pending: PendingRecords,
    /// The last record of the commit in flight.
    in_flight: Option<RecordNumber>,
    last_record: RecordNumber,
    durable_record: RecordNumber,
    /// The last batch contains no records.
    is_sealed: bool,
    batches_issued: u64,
}

impl Log {
    /// Creates an empty log. Nothing is on disk until the first commit.
    pub fn new(identity: Identity, config: LogConfig) -> Self {
        Log {
            identity,
            config,
            segments: Segments::default(),
            pending: PendingRecords::default(),
            in_flight: None,
            last_record: 0,
            durable_record: 0,
            is_sealed: true,
            batches_issued: 0,
        }
    }

    /// Resumes a recovered log. Every recovered record counts as in use until it is released.
    pub fn resume(identity: Identity, config: LogConfig, recovered: &RecoveredLog) -> Self {
        let mut log = Log::new(identity, config);
        log.segments = Segments::from_recovered(recovered);
        log.last_record = recovered.last_record;
        log.durable_record = recovered.last_record;
        log
    }

    /// Returns the last durable record: all records up to and including it are on stable storage.
    pub fn durable_record(&self) -> RecordNumber {
        self.durable_record
    }

    /// Returns the last record appended, or 0 if there is none.
    pub fn last_record(&self) -> RecordNumber {
        self.last_record
    }

    /// Returns the bytes used on disk plus the maximum that pending records will use there.
    pub fn used_bytes(&self) -> u64 {
        self.segments.used_bytes() + self.pending.reserved_bytes()
    }

    /// Checks whether records of these lengths, in bytes, could all be appended.
    ///
    /// # Errors
    /// Fails if one of the records is too large, or if the log has no space for all of them.
    pub fn check_capacity(
        &self,
        kind: RecordKind,
        record_lengths: impl Iterator<Item = usize>,
    ) -> Result<(), AppendError> {
        let mut needed_bytes = 0;
        for length in record_lengths {
            let size = single_record_batch_size(length);
            if length > MAX_RECORD_BYTES || size > self.config.segment_bytes {
                return Err(AppendError::TooLarge);
            }
            needed_bytes += size;
        }
        let available_bytes = match kind {
            RecordKind::Data => self.config.max_bytes - self.config.reserved_bytes,
            RecordKind::Control | RecordKind::Rewritten => self.config.max_bytes,
        };
        if self.used_bytes() + needed_bytes > available_bytes {
            return Err(AppendError::Full);
        }
        Ok(())
    }

    /// Appends a record and returns its number. The record is durable once [`Log::durable_record`] has
    /// reached that number.
    ///
    /// # Errors
    /// Fails if the record is too large, or if the log has no space for it.
    pub fn append(&mut self, kind: RecordKind, bytes: Vec<u8>) -> Result<RecordNumber, AppendError> {
        self.check_capacity(kind, [bytes.len()].into_iter())?;
        self.last_record += 1;
        self.pending.push(PendingRecord { number: self.last_record, kind, bytes });
        Ok(self.last_record)
    }

    /// Returns the next commit to execute: as many pending records as fit into one segment.
    ///
    /// Returns `None` while a commit is in flight and when there is nothing to write.
    pub fn next_commit(&mut self) -> Option<Commit> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.pending.is_empty() {
            // A retired segment can be removed only after a batch that names a later segment as the oldest.
            // Without pending records, an empty batch does that.
            return self.segments.needs_batch(self.batches_issued).then(|| self.empty_batch());
        }
        let (tail, count) = self.place_pending();
        let records = self.pending.take(count);
        let first = records.first()?.number;
        let last = records.last()?.number;
        self.track_records(&records, tail.number);
        let records: Vec<Vec<u8>> = records.into_iter().map(|record| record.bytes).collect();
        self.is_sealed = false;
        Some(self.issue_batch(tail, first, last, &records))
    }

    /// Returns a commit that appends an empty batch, so that recovery can tell damage to the last batch with
    /// records from a torn write. To be called when nothing else is to be written.
    ///
    /// Returns `None` if a commit is in flight, records are pending, or there is nothing to seal.
    pub fn seal(&mut self) -> Option<Commit> {
        let is_idle = self.in_flight.is_none() && self.pending.is_empty();
        let needs_seal = is_idle && !self.is_sealed && !self.segments.is_empty();
        needs_seal.then(|| self.empty_batch())
    }

    /// Reports that the commit in flight is on stable storage.
    pub fn commit_succeeded(&mut self) {
        if let Some(last) = self.in_flight.take() {
            self.durable_record = last;
        }
    }

    /// Marks a record as no longer in use.
    pub fn release(&mut self, record: RecordNumber) {
        self.segments.release(record);
    }

    /// Returns the oldest segment for removal from disk, once none of its records is in use and a durable
    /// batch names a later segment as the oldest. Each segment is returned once.
    pub fn pop_removable(&mut self) -> Option<SegmentNumber> {
        self.segments.retire_unused(self.batches_issued);
        let batches_durable = self.batches_issued - u64::from(self.in_flight.is_some());
        self.segments.pop_removable(batches_durable)
    }

    /// Returns the records in use of the oldest segment, if the log is filling up and little of that segment
    /// is in use.
    ///
    /// The caller appends each of them again as [`RecordKind::Rewritten`], and releases the original once the
    /// copy is durable. Otherwise a single old record could keep every later segment from being removed.
    pub fn records_to_rewrite(&self) -> Vec<RecordNumber> {
        self.segments.records_to_rewrite(self.used_bytes(), self.config.max_bytes)
    }

    /// Returns the segment for the next batch and how many pending records the batch takes: the last segment
    /// if at least one record fits there, else a new segment.
    fn place_pending(&mut self) -> (TailSegment, usize) {
        if let Some(tail) = self.segments.tail() {
            let available_bytes = self.config.segment_bytes.saturating_sub(tail.used_bytes);
            let count = self.pending.fitting_count(available_bytes);
            if count > 0 {
                return (tail, count);
            }
        }
        let count = self.pending.fitting_count(self.config.segment_bytes);
        (self.segments.start_next(), count)
    }

    fn track_records(&mut self, records: &[PendingRecord], segment: SegmentNumber) {
        for record in records.iter().filter(|record| record.kind != RecordKind::Control) {
            self.segments.add_record(record.number, segment, record.bytes.len() as u64);
        }
    }

    fn empty_batch(&mut self) -> Commit {
        let size = batch_size(std::iter::empty()) as u64;
        let tail = self.segments.tail().filter(|tail| tail.used_bytes + size <= self.config.segment_bytes);
        let tail = tail.unwrap_or_else(|| self.segments.start_next());
        self.is_sealed = true;
        self.issue_batch(tail, self.last_record + 1, self.last_record, &[])
    }

    fn issue_batch(
        &mut self,
        tail: TailSegment,
        first: RecordNumber,
        last: RecordNumber,
        records: &[Vec<u8>],
    ) -> Commit {
        let oldest = self.segments.oldest();
        let bytes = encode_batch(self.identity, tail.number, first, oldest, records);
        self.segments.extend(tail.number, bytes.len() as u64);
        self.in_flight = Some(last);
        self.batches_issued += 1;
        let offset = tail.used_bytes;
        Commit { segment: tail.number, creates_segment: offset == 0, offset, bytes }
    }
}
