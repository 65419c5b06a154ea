//! The interface to the storage that holds the segments of a log.

use crate::SegmentNumber;
use std::io;

/// Bytes to write and sync in one operation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The segment to write to.
    pub segment: SegmentNumber,
    /// The segment does not exist yet: its directory entry has to be made durable as well.
    pub creates_segment: bool,
    /// Position in the segment, in bytes.
    pub offset: u64,
    /// The bytes to write.
    pub bytes: Vec<u8>,
}

/// A segment as read from storage.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSegment {
    /// The segment's number.
    pub number: SegmentNumber,
    /// The segment's contents.
    pub bytes: Vec<u8>,
}

/// Storage for segments. All methods block.
pub trait SegmentStore {
    /// Returns the numbers of all segments, in ascending order.
    ///
    /// # Errors
    /// Fails if the storage can't be listed.
    fn segments(&mut self) -> io::Result<Vec<SegmentNumber>>;

    /// Returns the contents of a segment.
    ///
    /// # Errors
    /// Fails if the segment does not exist or can't be read.
    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>>;

    /// Writes a commit, and returns only once all of its bytes are on stable storage.
    ///
    /// # Errors
    /// After an error it is unknown which bytes were written: the whole commit has to be written again.
    fn commit(&mut self, commit: &Commit) -> io::Result<()>;

    /// Truncates a segment to `length` bytes, durably.
    ///
    /// # Errors
    /// Fails if the segment can't be truncated, or if the truncation is not known to be durable.
    fn truncate(&mut self, segment: SegmentNumber, length: u64) -> io::Result<()>;

    /// Removes a segment, durably.
    ///
    /// # Errors
    /// Fails if the segment can't be removed, or if the removal is not known to be durable.
    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()>;
}
