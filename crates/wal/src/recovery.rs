//! Recovery: what of a log that was cut off by a crash is intact.
//!
//! One commit is in flight at a time, so everything before the last batch was durable when that batch was written.
//! Only the end of the last segment may be torn, and is cut. A flaw anywhere else is damage: it is reported, and
//! nothing is cut.

use crate::format::{decode_batch, Batch, BatchError, BLOCK_BYTES, FORMAT_VERSION};
use crate::{Identity, RecordNumber, SegmentNumber, StoredSegment};
use thiserror::Error;

/// A record as found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// Its number.
    pub number: RecordNumber,
    /// The segment that it lies in.
    pub segment: SegmentNumber,
    /// What was appended.
    pub bytes: Vec<u8>,
}

/// A segment as found.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// Its number.
    pub number: SegmentNumber,
    /// Bytes up to the end of its last intact batch.
    pub used_bytes: u64,
}

/// The remains of a write that a crash cut off. It was never reported durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The segment, the last one.
    pub segment: SegmentNumber,
    /// Where the remains begin: the length that the segment is to be cut to, in bytes.
    pub offset: u64,
}

/// A log as found.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// All records, in order.
    pub records: Vec<RecoveredRecord>,
    /// All segments, in order.
    pub segments: Vec<RecoveredSegment>,
    /// The number of the last record.
    pub last: RecordNumber,
    /// What is to be cut from the disk before anything is written.
    pub torn_tail: Option<TornTail>,
}

/// Why a log can't be used.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoveryError {
    /// It was written by a version that this program does not read.
    #[error("the log is of version {0}; this program reads version {FORMAT_VERSION}")]
    UnknownVersion(u16),
    /// It is another log, or was made for something else.
    #[error("the log was made for other exports or boxes")]
    Foreign(Identity),
    /// Bytes that were durable have changed or are gone.
    #[error("segment {segment} is damaged from byte {offset} on, before data that was durable later")]
    Damaged {
        /// In which segment.
        segment: SegmentNumber,
        /// From which byte on.
        offset: u64,
    },
    /// A segment between others, or at the start, is missing.
    #[error("segment {0} is missing")]
    MissingSegment(SegmentNumber),
}

/// Reads all segments of a log, given in rising order of their numbers.
///
/// # Errors
/// The log is of another version or purpose, or something that was durable is not intact.
pub fn recover(identity: Identity, segments: &[StoredSegment]) -> Result<RecoveredLog, RecoveryError> {
    let mut recovery = Recovery { identity, found: RecoveredLog::default(), oldest_in_use: None };
    let mut previous: Option<SegmentNumber> = None;
    for (place, segment) in segments.iter().enumerate() {
        let expected = previous.map_or(segment.number, |previous| previous + 1);
        if segment.number != expected {
            return Err(RecoveryError::MissingSegment(expected));
        }
        previous = Some(segment.number);
        let is_last = place + 1 == segments.len();
        recovery.read_segment(segment, is_last)?;
    }
    recovery.finish(segments)
}

/// What has been read so far.
struct Recovery {
    identity: Identity,
    found: RecoveredLog,
    /// What the last batch names: a segment is removed only once a batch that names a later one is durable.
    oldest_in_use: Option<SegmentNumber>,
}

impl Recovery {
    fn read_segment(&mut self, segment: &StoredSegment, is_last: bool) -> Result<(), RecoveryError> {
        let mut offset = 0;
        while offset < segment.bytes.len() {
            match decode_batch(&segment.bytes[offset..], self.identity, segment.number) {
                Ok(batch) => {
                    let size_bytes = batch.size_bytes;
                    self.add_batch(batch, offset)?;
                    offset += size_bytes;
                }
                Err(error) => {
                    self.check_end(segment, is_last, offset, error)?;
                    break;
                }
            }
        }
        let used_bytes = offset as u64;
        self.found.segments.push(RecoveredSegment { number: segment.number, used_bytes });
        Ok(())
    }

    fn add_batch(&mut self, batch: Batch, offset: usize) -> Result<(), RecoveryError> {
        let Batch { header, records, .. } = batch;
        let is_first = self.found.last == 0 && self.found.records.is_empty();
        let expected = if is_first { header.first_record } else { self.found.last + 1 };
        if header.first_record != expected {
            return Err(damaged(header.segment, offset));
        }
        self.oldest_in_use = Some(header.oldest_segment);
        for (bytes, number) in records.into_iter().zip(header.first_record..) {
            self.found.records.push(RecoveredRecord { number, segment: header.segment, bytes });
        }
        self.found.last = header.first_record + u64::from(header.record_count) - 1;
        Ok(())
    }

    /// Whether a segment may end with the bytes at `offset`.
    fn check_end(
        &mut self,
        segment: &StoredSegment,
        is_last: bool,
        offset: usize,
        error: BatchError,
    ) -> Result<(), RecoveryError> {
        match error {
            BatchError::UnknownVersion(version) => return Err(RecoveryError::UnknownVersion(version)),
            BatchError::Foreign(identity) => return Err(RecoveryError::Foreign(identity)),
            BatchError::Empty | BatchError::Torn => {}
        }
        // An earlier segment ends where its bytes do, or in zeroes behind its last batch.
        let may_end_here = is_last || error == BatchError::Empty && offset > 0;
        // An intact batch behind this place was written after what stood here was durable.
        if !may_end_here || self.has_batch_after(segment, offset) {
            return Err(damaged(segment.number, offset));
        }
        if segment.bytes[offset..].iter().any(|byte| *byte != 0) {
            self.found.torn_tail = Some(TornTail { segment: segment.number, offset: offset as u64 });
        }
        Ok(())
    }

    fn has_batch_after(&self, segment: &StoredSegment, offset: usize) -> bool {
        let is_intact = |at: usize| decode_batch(&segment.bytes[at..], self.identity, segment.number).is_ok();
        (offset + BLOCK_BYTES..segment.bytes.len()).step_by(BLOCK_BYTES).any(is_intact)
    }

    fn finish(self, segments: &[StoredSegment]) -> Result<RecoveredLog, RecoveryError> {
        match (segments.first(), self.oldest_in_use) {
            (Some(first), Some(oldest)) if first.number > oldest => {
                Err(RecoveryError::MissingSegment(oldest))
            }
            _ => Ok(self.found),
        }
    }
}

fn damaged(segment: SegmentNumber, offset: usize) -> RecoveryError {
    RecoveryError::Damaged { segment, offset: offset as u64 }
}
