//! Records that were appended and that no commit has taken yet.

use crate::format::batch_size;
use crate::RecordNumber;
use std::collections::VecDeque;

/// What a record is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RecordKind {
    /// It brings something new. Rejected while only the reserve is free.
    Data,
    /// It says what became of earlier records, and is in use only as long as those are.
    Control,
    /// It is a record in use written again, to free the segment that it lay in.
    Rewritten,
}

/// One record that waits for a commit.
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

    /// Bytes that the pending records take on disk at most, if none shares a block with another.
    pub fn reserved_bytes(&self) -> u64 {
        self.reserved_bytes
    }

    pub fn push(&mut self, record: PendingRecord) {
        self.reserved_bytes += size_alone(record.bytes.len());
        self.queue.push_back(record);
    }

    /// How many of the oldest records fit into a batch of this size.
    pub fn count_that_fits(&self, available_bytes: u64) -> usize {
        let mut lengths = Vec::new();
        for record in &self.queue {
            lengths.push(record.bytes.len());
            if batch_size(lengths.iter().copied()) as u64 > available_bytes {
                return lengths.len() - 1;
            }
        }
        lengths.len()
    }

    /// Takes that many of the oldest records.
    pub fn take(&mut self, count: usize) -> Vec<PendingRecord> {
        let taken: Vec<PendingRecord> = self.queue.drain(..count).collect();
        for record in &taken {
            self.reserved_bytes -= size_alone(record.bytes.len());
        }
        taken
    }
}

/// Bytes on disk of a batch that holds only a record of this length.
pub(crate) fn size_alone(length: usize) -> u64 {
    batch_size([length].into_iter()) as u64
}
