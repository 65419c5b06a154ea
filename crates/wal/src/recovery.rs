//! Recovery: determines which part of a log that was interrupted by a crash is intact.
//!
//! At most one commit is in flight, so everything before the last batch was durable when that batch was
//! written. Only the end of the last segment may be torn, and that torn tail is to be cut off. A bad batch
//! anywhere else means damage: recovery fails, and nothing is cut off.

use crate::format::{decode_batch, Batch, BatchError, BLOCK_BYTES, FORMAT_VERSION};
use crate::{Identity, RecordNumber, SegmentNumber, StoredSegment};
use thiserror::Error;

/// A record read from a recovered log.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecoveredRecord {
    /// The record's number.
    pub number: RecordNumber,
    /// The segment that contains the record.
    pub segment: SegmentNumber,
    /// The bytes that were appended.
    pub bytes: Vec<u8>,
}

/// A segment of a recovered log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecoveredSegment {
    /// The segment's number.
    pub number: SegmentNumber,
    /// Size up to the end of the last intact batch, in bytes.
    pub used_bytes: u64,
}

/// The remains of a write that was interrupted by a crash and never reported durable.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TornTail {
    /// The segment that ends in the remains, always the last one.
    pub segment: SegmentNumber,
    /// Where the remains begin, in bytes: the length to truncate the segment to.
    pub offset: u64,
}

/// The intact contents of a log.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RecoveredLog {
    /// All records, in ascending order.
    pub records: Vec<RecoveredRecord>,
    /// All segments, in ascending order.
    pub segments: Vec<RecoveredSegment>,
    /// The number of the last record.
    pub last_record: RecordNumber,
    /// The torn tail, to be cut off before anything is written.
    pub torn_tail: Option<TornTail>,
}

/// Why a log can't be recovered.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RecoveryError {
    /// The log has a format version that this program does not read.
    #[error("the log has format version {0}; this program reads version {FORMAT_VERSION}")]
    UnknownVersion(u16),
    /// A batch belongs to another log, or to a log with another purpose.
    #[error("the log was made for other exports or boxes")]
    Foreign(Identity),
    /// Bytes that were durable have changed or are missing.
    #[error("segment {segment} is damaged from byte {offset} on, although data after it is durable")]
    Damaged {
        /// The damaged segment.
        segment: SegmentNumber,
        /// Where the first damaged batch begins in the segment, in bytes.
        offset: u64,
    },
    /// A segment is missing at the start of the log or between other segments.
    #[error("segment {0} is missing")]
    MissingSegment(SegmentNumber),
}

/// Recovers a log from all of its segments, given in ascending order of their numbers.
///
/// # Errors
/// Fails if the log has another version or identity, or if data that was durable is missing or not intact.
pub fn recover(identity: Identity, segments: &[StoredSegment]) -> Result<RecoveredLog, RecoveryError> {
    let mut recovery = Recovery { identity, recovered: RecoveredLog::default(), oldest_in_use: None };
    let mut previous: Option<SegmentNumber> = None;
    for (index, segment) in segments.iter().enumerate() {
        let expected = previous.map_or(segment.number, |previous| previous + 1);
        if segment.number != expected {
            return Err(RecoveryError::MissingSegment(expected));
        }
        previous = Some(segment.number);
        let is_last = index + 1 == segments.len();
        recovery.read_segment(segment, is_last)?;
    }
    recovery.finish(segments)
}

/// Recovery in progress.
struct Recovery {
    identity: Identity,
    recovered: RecoveredLog,
    /// The oldest segment in use according to the last batch. A segment is removed only once a batch that
    /// names a later one as the oldest is durable, so this segment and all later ones must be present.
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
        self.recovered.segments.push(RecoveredSegment { number: segment.number, used_bytes });
        Ok(())
    }

    fn add_batch(&mut self, batch: Batch, offset: usize) -> Result<(), RecoveryError> {
        let Batch { header, records, .. } = batch;
        let is_first = self.recovered.last_record == 0 && self.recovered.records.is_empty();
        let expected = if is_first { header.first_record } else { self.recovered.last_record + 1 };
        if header.first_record != expected {
            return Err(damaged(header.segment, offset));
        }
        self.oldest_in_use = Some(header.oldest_segment);
        for (bytes, number) in records.into_iter().zip(header.first_record..) {
            self.recovered.records.push(RecoveredRecord { number, segment: header.segment, bytes });
        }
        self.recovered.last_record = header.first_record + u64::from(header.record_count) - 1;
        Ok(())
    }

    /// Checks that a segment may end at `offset`, where no intact batch was found, and records a torn tail.
    ///
    /// # Errors
    /// Fails if the bytes belong to another version or log, or if data that was durable is damaged.
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
        // A segment before the last one ends at the end of its bytes, or in zeroes after its last batch.
        let may_end_here = is_last || error == BatchError::Empty && offset > 0;
        // An intact batch after `offset` was written only once the bytes at `offset` were durable.
        if !may_end_here || self.has_batch_after(segment, offset) {
            return Err(damaged(segment.number, offset));
        }
        if segment.bytes[offset..].iter().any(|byte| *byte != 0) {
            self.recovered.torn_tail = Some(TornTail { segment: segment.number, offset: offset as u64 });
        }
        Ok(())
    }

    fn has_batch_after(&self, segment: &StoredSegment, offset: usize) -> bool {
        let is_intact =
            |offset: usize| decode_batch(&segment.bytes[offset..], self.identity, segment.number).is_ok();
        (offset + BLOCK_BYTES..segment.bytes.len()).step_by(BLOCK_BYTES).any(is_intact)
    }

    fn finish(self, segments: &[StoredSegment]) -> Result<RecoveredLog, RecoveryError> {
        match (segments.first(), self.oldest_in_use) {
            (Some(first), Some(oldest)) if first.number > oldest => {
                Err(RecoveryError::MissingSegment(oldest))
            }
            _ => Ok(self.recovered),
        }
    }
}

fn damaged(segment: SegmentNumber, offset: usize) -> RecoveryError {
    RecoveryError::Damaged { segment, offset: offset as u64 }
}
