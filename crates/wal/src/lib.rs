//! A write-ahead log that survives crashes, without the files.
//!
//! A caller that acknowledges data before it has reached its final place needs it to be there after any crash.
//! This crate decides what is written where so that this holds: the format of the log on disk ([`mod@format`]), which
//! records share a commit and where each goes ([`Log`]), how much the log may take, which segments may be removed,
//! and what of a log that was cut off is intact ([`recover`]). A record that was reported durable is there after
//! any crash, or recovery says that the log is damaged.
//!
//! The crate never opens a file, waits or reads a clock, and it does not know what records mean. One commit is in
//! flight at a time: the caller carries it out through [`SegmentStore`] and reports it with
//! [`Log::commit_succeeded`]. After an fsync that failed, another one that succeeds proves nothing of the pages
//! that the first one lost. So the caller writes all bytes of a failed commit again before it syncs again, for as
//! long as it takes, and no other commit is issued meanwhile.

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

/// The number of a record: from 1 on, without gaps.
pub type RecordNumber = u64;

/// The number of a segment: from 1 on, without gaps.
pub type SegmentNumber = u64;

/// Which log a batch belongs to. A log with another identity is rejected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Drawn at random when the log was made.
    pub log: u64,
    /// Hash of what the log was made for, see [`format::hash_purpose`].
    pub purpose: u64,
}
