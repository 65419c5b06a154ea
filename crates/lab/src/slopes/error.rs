//! Errors of the measurement of one real process.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// An error that prevents the measurement of a part. Variants that depend on the machine's load, so that a
/// retry may succeed, say so.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    #[error("--program: '{}' is not a file", .0.display())]
    NoProgram(PathBuf),
    #[error("--only: '{part}' is not one of {parts}")]
    UnknownPart { part: String, parts: String },
    #[error("cannot create a directory for the program's files: {0}")]
    Directory(io::Error),
    #[error("cannot start the runtime's threads: {0}")]
    Threads(io::Error),
    /// A retry may succeed when the machine is less loaded.
    #[error("{part} took more than {seconds} s")]
    TooLong { part: &'static str, seconds: u64 },
    /// A stub endpoint, the discovery service or a client failed.
    #[error("a stub endpoint, the discovery service or a client failed: {0}")]
    Stub(io::Error),
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("deploy/operator.json: {0}")]
    Example(#[from] serde_json::Error),
    #[error("the program's standard error is not available")]
    NoLog,
    #[error("the program exited immediately")]
    EndedAtOnce,
    /// Holds the last line of the program's log.
    #[error("the program does not listen at {address}: {last}")]
    NotListening { address: SocketAddr, last: String },
    /// A retry may succeed when the machine is less loaded.
    #[error("the program did not log '{what}'; its last line: {last}")]
    LineMissing { what: String, last: String },
    #[error("cannot send SIGHUP: {0}")]
    Signal(Errno),
    #[error("cannot kill the program: {0}")]
    Kill(io::Error),
    #[error("/proc/PID/statm has no second field")]
    Statm,
    #[error("cannot read schedstat: {0}")]
    Schedstat(io::Error),
    #[error("schedstat is empty")]
    SchedstatEmpty,
    #[error("{table} has no column {column}")]
    NoColumn { table: String, column: String },
}

impl SlopesError {
    /// Returns a function that turns an I/O error at this path into a [`SlopesError`].
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| SlopesError::File { path, source }
    }
}
