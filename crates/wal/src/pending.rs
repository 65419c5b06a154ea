//! Records that were appended and are not yet part of a commit.

use crate::format::batch_size;
use crate::RecordNumber;
use std::collections::VecDeque;

/// The purpose of a record, which decides how much of the log the record may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// Carries new data. Rejected while only the reserved space is free.
    Data,
    /// Describes the outcome of earlier records, and is needed only as long as those are in use.
    Control,
    /// Copy of a record in use, written again to free the segment that holds the original.
    Rewritten,
}

/// A record that waits for a commit.
#[derive(Clone, Debug)]
pub(crate) struct PendingRecord {
    pub number: RecordNumber,
    pub kind: RecordKind,
    pub bytes: Vec<u8>,
}

/// The queue of pending records, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct PendingRecords {
    queue: VecDeque<PendingRecord>,
    reserved_bytes: u64,
}

impl PendingRecords {
    pub fn is_empty(&self) -> bool {
        self.queue.is_empty()
    }

    /// Returns the maximum size of the pending records on disk, in bytes: each record in a batch of its own.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    pub fn push(&mut self, record: PendingRecord) {
        self.reserved_bytes += single_record_batch_size(record.bytes.len());
        self.queue.push_back(record);
    }

    /// Returns how many of the oldest records fit into a batch of at most `available_bytes`.
    pub fn fitting_count(&self, available_bytes: u64) -> usize {
        let mut lengths = Vec::new();
        for record in &self.queue {
            lengths.push(record.bytes.len());
            if batch_size(lengths.iter().copied()) as u64 > available_bytes {
                return lengths.len() - 1;
            }
        }
        lengths.len()
    }

    /// Removes and returns the `count` oldest records.
    pub fn take(&mut self, count: usize) -> Vec<PendingRecord> {
        let records: Vec<PendingRecord> = self.queue.drain(..count).collect();
        for record in &records {
            self.reserved_bytes -= single_record_batch_size(record.bytes.len());
        }
        records
    }
}

/// Returns the size on disk of a batch whose only record has this length, in bytes.
pub(crate) fn single_record_batch_size(length: usize) -> u64 {
    batch_size([length].into_iter()) as u64
}
