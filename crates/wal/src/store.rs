//! What the log asks of the storage that holds its segments.

use crate::SegmentNumber;
use std::io;

/// Bytes to be written and made durable in one go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The segment that is written to.
    pub segment: SegmentNumber,
    /// The segment does not exist yet: its name has to be made durable as well.
    pub creates_segment: bool,
    /// Where the bytes go in the segment, in bytes.
    pub offset: u64,
    /// What is written.
    pub bytes: Vec<u8>,
}

/// A segment as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StoredSegment {
    /// Its number.
    pub number: SegmentNumber,
    /// All its bytes.
    pub bytes: Vec<u8>,
}

/// Where segments are kept. Calls block.
pub trait SegmentStore {
    /// The numbers of all segments, in rising order.
    ///
    /// # Errors
    /// The storage can't be listed.
    fn segments(&mut self) -> io::Result<Vec<SegmentNumber>>;

    /// All bytes of a segment.
    ///
    /// # Errors
    /// There is no such segment, or it can't be read.
    fn read(&mut self, segment: SegmentNumber) -> io::Result<Vec<u8>>;

    /// Writes, and returns only when what was written is on stable storage.
    ///
    /// # Errors
    /// Nothing is known of what was written: all of the commit has to be written again.
    fn commit(&mut self, commit: &Commit) -> io::Result<()>;

    /// Cuts a segment to `length` bytes, durably.
    ///
    /// # Errors
    /// The segment can't be cut, or that is not known to be durable.
    fn truncate(&mut self, segment: SegmentNumber, length: u64) -> io::Result<()>;

    /// Removes a segment, durably.
    ///
    /// # Errors
    /// The segment can't be removed, or that is not known to be durable.
    fn remove(&mut self, segment: SegmentNumber) -> io::Result<()>;
}
