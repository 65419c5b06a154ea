//! A write-ahead log that survives crashes, without the file I/O.
//!
//! A caller that acknowledges data before the data has reached its final place must still have the data after
//! any crash. This crate decides which bytes are written where to guarantee that: the on-disk format
//! ([`mod@format`]), which records share a commit and where each record is placed ([`Log`]), how much space
//! the log may take, which segments may be removed, and which part of an interrupted log is intact
//! ([`recover`]). A record that was reported durable is recovered after any crash, or else recovery reports
//! that the log is damaged.
//!
//! The crate opens no files, never waits, reads no clock, and does not interpret records. At most one commit
//! is in flight: the caller executes it through [`SegmentStore`] and reports success with
//! [`Log::commit_succeeded`]. When an fsync fails, the kernel may drop the dirty pages, and a later fsync
//! that succeeds proves nothing about them. The caller therefore writes all bytes of a failed commit again
//! before the next sync, and repeats that until the commit succeeds; no other commit is issued meanwhile.

pub mod format;
mod log;
mod pending;
mod recovery;
mod segments;
mod store;

pub use log::{AppendError, Log, LogConfig};
pub use pending::RecordKind;
pub use recovery::{recover, RecoveredLog, RecoveredRecord, RecoveredSegment, RecoveryError, TornTail};
pub use store::{Commit, SegmentStore, StoredSegment};

/// The sequence number of a record: starts at 1, without gaps.
pub type RecordNumber = u64;

/// The sequence number of a segment: starts at 1, without gaps.
pub type SegmentNumber = u64;

/// Identifies the log that a batch belongs to. A log with another identity is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Random number, drawn when the log was created.
    pub log: u64,
    /// Hash of the purpose that the log was created for, see [`format::hash_purpose`].
    pub purpose: u64,
}
