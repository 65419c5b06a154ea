//! A log that survives crashes, without the files.
//!
//! It owns the form of the log on disk ([`form`]), which records share a commit and where each goes
//! ([`Log`]), its bound, which segments are of no more use, and what of a log that was cut off is whole
//! ([`recover`]). What is reported durable is there after any crash, or recovery says that it is damaged.
//!
//! It never opens a file, waits or reads a clock, and it knows nothing of what records mean. One commit is out at
//! a time; the caller carries it out through [`Disk`] and says how it ended. A commit that failed is the last:
//! a second fsync that succeeds proves nothing of what the first one lost. A caller that writes all bytes of the commit anew
//! before it syncs again may try that until it succeeds, and only then say how it ended.

pub mod form;
mod log;
mod recover;

pub use log::{Config, Kind, Log, Refused, State};
pub use recover::{recover, Damage, Recovered};

use std::io;

/// The number of a record, from 1 on without gaps.
pub type Seq = u64;

/// Which log this is: one that belongs to something else is refused.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Identity {
    /// Drawn when the log was made.
    pub log: u64,
    /// What the log was made for, as a hash.
    pub purpose: u64,
}

/// What is to be written and made durable in one go.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Commit {
    /// The segment.
    pub segment: u64,
    /// It does not exist yet: its name has to be durable as well.
    pub create: bool,
    /// Where the bytes go.
    pub at: u64,
    /// The bytes.
    pub bytes: Vec<u8>,
}

/// Where segments are kept. Calls block; `commit` returns only when what it wrote is on stable storage.
pub trait Disk {
    /// The numbers of the segments that are there.
    fn segments(&mut self) -> io::Result<Vec<u64>>;
    /// A segment's bytes.
    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>>;
    /// Writes, and makes durable.
    fn commit(&mut self, commit: &Commit) -> io::Result<()>;
    /// Cuts a segment to that length, durably.
    fn cut(&mut self, segment: u64, at: u64) -> io::Result<()>;
    /// Removes a segment.
    fn remove(&mut self, segment: u64) -> io::Result<()>;
}
