//! Appending records, group commit, and how much the log may take.

use crate::format::{batch_size, encode_batch, MAX_RECORD_BYTES};
use crate::pending::{size_alone, PendingRecord, PendingRecords, RecordKind};
use crate::segments::{Segments, TailSegment};
use crate::{Commit, Identity, RecordNumber, RecoveredLog, SegmentNumber};
use thiserror::Error;

/// How much the log may take.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LogConfig {
    /// The most bytes of one segment.
    pub segment_bytes: u64,
    /// The most bytes of all segments together.
    pub max_bytes: u64,
    /// Of these, bytes that data may not take: writes must be settled also when the log is full.
    pub reserved_bytes: u64,
}

/// Why a record is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum AppendError {
    /// There is no room until something is released.
    #[error("the log is full")]
    Full,
    /// No record may be so large.
    #[error("the record is too large for the log")]
    TooLarge,
}

/// The state of a log.
#[derive(Clone, Debug)]
pub struct Log {
    identity: Identity,
    config: LogConfig,
    segments: Segments,
    pending: PendingRecords,
    /// The last record of the commit in flight.
    in_flight: Option<RecordNumber>,
    last: RecordNumber,
    durable: RecordNumber,
    /// The last batch holds no records.
    is_sealed: bool,
    batches_issued: u64,
}

impl Log {
    /// An empty log, of which nothing is on disk yet.
    pub fn new(identity: Identity, config: LogConfig) -> Self {
        Log {
            identity,
            config,
            segments: Segments::default(),
            pending: PendingRecords::default(),
            in_flight: None,
            last: 0,
            durable: 0,
            is_sealed: true,
            batches_issued: 0,
        }
    }

    /// A log that goes on behind what was recovered. Every record counts as in use until it is released.
    pub fn resume(identity: Identity, config: LogConfig, found: &RecoveredLog) -> Self {
        let mut log = Log::new(identity, config);
        log.segments = Segments::recovered(found);
        log.last = found.last;
        log.durable = found.last;
        log
    }

    /// All records up to this one are on stable storage.
    pub fn durable(&self) -> RecordNumber {
        self.durable
    }

    /// The number of the last record appended.
    pub fn last(&self) -> RecordNumber {
        self.last
    }

    /// Bytes on disk, and those that pending records will take there at most.
    pub fn used_bytes(&self) -> u64 {
        self.segments.used_bytes() + self.pending.reserved_bytes()
    }

    /// Whether records of these lengths, in bytes, would all be taken.
    ///
    /// # Errors
    /// One of them is too large, or there is not room for all of them.
    pub fn check_room(
        &self,
        kind: RecordKind,
        record_lengths: impl Iterator<Item = usize>,
    ) -> Result<(), AppendError> {
        let mut needed_bytes = 0;
        for length in record_lengths {
            let size = size_alone(length);
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

    /// Takes a record. It is durable once [`Log::durable`] has reached the number returned.
    ///
    /// # Errors
    /// The record is too large, or there is no room for it.
    pub fn append(&mut self, kind: RecordKind, bytes: Vec<u8>) -> Result<RecordNumber, AppendError> {
        self.check_room(kind, [bytes.len()].into_iter())?;
        self.last += 1;
        self.pending.push(PendingRecord { number: self.last, kind, bytes });
        Ok(self.last)
    }

    /// The next commit to carry out: all pending records that fit into one segment. `None` while one is in flight,
    /// and when there is nothing to write.
    pub fn next_commit(&mut self) -> Option<Commit> {
        if self.in_flight.is_some() {
            return None;
        }
        if self.pending.is_empty() {
            // A retired segment is removed only after a batch that names a later one as the oldest, be it an empty one.
            return self.segments.awaits_batch(self.batches_issued).then(|| self.empty_batch());
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

    /// An empty batch behind the last one, so that recovery can tell a flaw in the last batch with records from a
    /// torn write. For when nothing else is to be written. `None` where there is nothing to seal.
    pub fn seal(&mut self) -> Option<Commit> {
        let is_idle = self.in_flight.is_none() && self.pending.is_empty();
        let needs_seal = is_idle && !self.is_sealed && !self.segments.is_empty();
        needs_seal.then(|| self.empty_batch())
    }

    /// The commit in flight is on stable storage.
    pub fn commit_succeeded(&mut self) {
        if let Some(last) = self.in_flight.take() {
            self.durable = last;
        }
    }

    /// A record is not in use any more.
    pub fn release(&mut self, record: RecordNumber) {
        self.segments.release(record);
    }

    /// Takes a segment that is to be removed from disk: the oldest, once none of its records is in use and a
    /// durable batch names a later one as the oldest.
    pub fn pop_removable(&mut self) -> Option<SegmentNumber> {
        self.segments.retire_unused(self.batches_issued);
        let batches_durable = self.batches_issued - u64::from(self.in_flight.is_some());
        self.segments.pop_removable(batches_durable)
    }

    /// Records in use that keep the oldest segment of a log that gets full, where little of that segment is in
    /// use. They are to be appended again as [`RecordKind::Rewritten`] and released once that is durable, so that
    /// one old record does not hold the whole log.
    pub fn stragglers(&self) -> Vec<RecordNumber> {
        self.segments.stragglers(self.used_bytes(), self.config.max_bytes)
    }

    /// The segment for the next batch, and how many pending records go into it: the last segment if one fits
    /// there, else a new one.
    fn place_pending(&mut self) -> (TailSegment, usize) {
        if let Some(tail) = self.segments.tail() {
            let available_bytes = self.config.segment_bytes.saturating_sub(tail.used_bytes);
            let count = self.pending.count_that_fits(available_bytes);
            if count > 0 {
                return (tail, count);
            }
        }
        let count = self.pending.count_that_fits(self.config.segment_bytes);
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
        self.issue_batch(tail, self.last + 1, self.last, &[])
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
