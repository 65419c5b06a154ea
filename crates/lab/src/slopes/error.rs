//! Why the measuring of one real process ends early.

use rustix::io::Errno;
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

/// A part that can't be measured. What depends on the machine's load, and may pass when run again, is said so.
#[derive(Debug, thiserror::Error)]
pub enum SlopesError {
    #[error("--program: '{}' is no file", .0.display())]
    NoProgram(PathBuf),
    #[error("--only: '{part}' is none of {parts}")]
    UnknownPart { part: String, parts: String },
    #[error("no folder for the program's files: {0}")]
    Folder(io::Error),
    #[error("no threads: {0}")]
    Threads(io::Error),
    /// It may pass when the machine has less to do.
    #[error("{part} took more than {seconds} s")]
    TooLong { part: &'static str, seconds: u64 },
    /// An endpoint, discovery or a client.
    #[error("a stand-in: {0}")]
    StandIn(io::Error),
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("deploy/operator.json: {0}")]
    Example(#[from] serde_json::Error),
    #[error("the program has no standard error")]
    NoLog,
    #[error("the program ended at once")]
    EndedAtOnce,
    /// With the last line of its log.
    #[error("the program does not listen at {address}: {last}")]
    NotListening { address: SocketAddr, last: String },
    /// It may pass when the machine has less to do.
    #[error("the program did not say '{what}'; the last it said: {last}")]
    LineMissing { what: String, last: String },
    #[error("SIGHUP: {0}")]
    Signal(Errno),
    #[error("the program can't be ended: {0}")]
    Kill(io::Error),
    #[error("statm has no second field")]
    Statm,
    #[error("schedstat: {0}")]
    Schedstat(io::Error),
    #[error("schedstat is empty")]
    SchedstatEmpty,
    #[error("{table} has no column {column}")]
    NoColumn { table: String, column: String },
}

impl SlopesError {
    /// What to make of an error at that file.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| SlopesError::File { path, source }
    }
}
