//! Tracks the segments on disk, the records in use in each, and which segments may be removed.
//!
//! Segments are retired strictly oldest first, so that the record of a write's outcome is never removed
//! before the record of the write itself. A retired segment is removed only once a durable batch names a
//! later segment as the oldest in use: otherwise recovery would report the removed segment as missing.

use crate::{RecordNumber, RecoveredLog, SegmentNumber};
use std::collections::{BTreeMap, VecDeque};

/// Old records are rewritten once the log uses more than `1 / REWRITE_FILL_DIVISOR` of its maximum size.
const REWRITE_FILL_DIVISOR: u64 = 2;
/// The oldest segment is freed by rewriting when less than `1 / SPARSE_SEGMENT_DIVISOR` of its bytes is in
/// use.
const SPARSE_SEGMENT_DIVISOR: u64 = 4;

#[derive(Clone, Debug, Default)]
struct Segment {
    used_bytes: u64,
    records_in_use: u64,
}

/// A segment that has no records in use and is still on disk.
#[derive(Clone, Copy, Debug)]
struct RetiredSegment {
    number: SegmentNumber,
    used_bytes: u64,
    /// Number of batches issued before the segment was retired: these batches still name it as in use.
    batches_issued: u64,
}

#[derive(Clone, Copy, Debug)]
struct RecordInUse {
    segment: SegmentNumber,
    bytes: u64,
}

/// The last segment, which receives the next batch if the batch fits.
#[derive(Clone, Copy, Debug)]
pub(crate) struct TailSegment {
    pub number: SegmentNumber,
    pub used_bytes: u64,
}

/// The segments on disk.
#[derive(Clone, Debug, Default)]
pub(crate) struct Segments {
    active: BTreeMap<SegmentNumber, Segment>,
    in_use: BTreeMap<RecordNumber, RecordInUse>,
    retired: VecDeque<RetiredSegment>,
}

impl Segments {
    /// Builds the state from a recovered log. Every record counts as in use until it is released.
    pub fn from_recovered(recovered: &RecoveredLog) -> Self {
        let mut segments = Segments::default();
        for segment in &recovered.segments {
            let active = Segment { used_bytes: segment.used_bytes, records_in_use: 0 };
            segments.active.insert(segment.number, active);
        }
        for record in &recovered.records {
            segments.add_record(record.number, record.segment, record.bytes.len() as u64);
        }
        segments
    }

    pub fn is_empty(&self) -> bool {
        self.active.is_empty()
    }

    /// Returns the oldest segment in use.
    pub fn oldest(&self) -> SegmentNumber {
        self.active.keys().next().copied().unwrap_or(1)
    }

    pub fn tail(&self) -> Option<TailSegment> {
        let (number, segment) = self.active.last_key_value()?;
        Some(TailSegment { number: *number, used_bytes: segment.used_bytes })
    }

    /// Starts a new segment after the last one.
    pub fn start_next(&mut self) -> TailSegment {
        let number = self.active.keys().next_back().map_or(1, |last| last + 1);
        self.active.insert(number, Segment::default());
        TailSegment { number, used_bytes: 0 }
    }

    /// Returns the bytes that all segments use on disk, including retired ones.
    pub fn used_bytes(&self) -> u64 {
        let active: u64 = self.active.values().map(|segment| segment.used_bytes).sum();
        let retired: u64 = self.retired.iter().map(|segment| segment.used_bytes).sum();
        active + retired
    }

    /// Accounts for a batch that is written to the end of a segment.
    pub fn extend(&mut self, number: SegmentNumber, bytes: u64) {
        self.active.entry(number).or_default().used_bytes += bytes;
    }

    pub fn add_record(&mut self, record: RecordNumber, segment: SegmentNumber, bytes: u64) {
        self.in_use.insert(record, RecordInUse { segment, bytes });
        self.active.entry(segment).or_default().records_in_use += 1;
    }

    pub fn release(&mut self, record: RecordNumber) {
        let Some(released) = self.in_use.remove(&record) else { return };
        if let Some(segment) = self.active.get_mut(&released.segment) {
            segment.records_in_use -= 1;
        }
    }

    /// Retires segments from the oldest on, up to the first one with records in use. The last segment is
    /// never retired.
    pub fn retire_unused(&mut self, batches_issued: u64) {
        while self.active.len() > 1 {
            let oldest = self.active.first_entry().filter(|entry| entry.get().records_in_use == 0);
            let Some(oldest) = oldest else { return };
            let (number, segment) = oldest.remove_entry();
            let used_bytes = segment.used_bytes;
            self.retired.push_back(RetiredSegment { number, used_bytes, batches_issued });
        }
    }

    /// Returns whether a segment was retired after the last batch was issued, so that no batch names a later
    /// segment as the oldest yet.
    pub fn needs_batch(&self, batches_issued: u64) -> bool {
        self.retired.back().is_some_and(|segment| segment.batches_issued == batches_issued)
    }

    /// Removes and returns the oldest retired segment if a durable batch names a later segment as the oldest.
    pub fn pop_removable(&mut self, batches_durable: u64) -> Option<SegmentNumber> {
        let oldest = self.retired.front().filter(|segment| segment.batches_issued < batches_durable)?;
        let number = oldest.number;
        self.retired.pop_front();
        Some(number)
    }

    /// Returns the records in use of the oldest segment, if the log is filling up and little of that segment
    /// is in use.
    pub fn records_to_rewrite(&self, log_bytes: u64, max_log_bytes: u64) -> Vec<RecordNumber> {
        let oldest = self.active.first_key_value().filter(|_| self.active.len() > 1);
        let Some((&number, segment)) = oldest else { return Vec::new() };
        let records = self.in_use.iter().filter(|(_, record)| record.segment == number);
        let record_bytes: u64 = records.clone().map(|(_, record)| record.bytes).sum();
        let is_filling_up = log_bytes * REWRITE_FILL_DIVISOR > max_log_bytes;
        let is_sparse = record_bytes * SPARSE_SEGMENT_DIVISOR < segment.used_bytes;
        if is_filling_up && is_sparse {
            records.map(|(number, _)| *number).collect()
        } else {
            Vec::new()
        }
    }
}
