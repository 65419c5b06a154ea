//! Errors of the experiment on real sockets.

use rustix::io::Errno;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// An error that prevents a run from starting or continuing. A retry with the same arguments is only
/// worthwhile after [`HollowError::NotConverged`].
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    #[error("hollow: --{option} {value}: must be from {least} to {most}")]
    OutOfRange { option: &'static str, value: usize, least: usize, most: usize },
    #[error("hollow: --program '{}' is not a file", .0.display())]
    NoProgram(PathBuf),
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("cannot start the runtime: {0}")]
    Runtime(io::Error),
    #[error("cannot create a directory for the configuration files: {0}")]
    Directory(io::Error),
    /// A stub endpoint, the etcd stub or a client's address is not available.
    #[error("a stub endpoint, etcd or a client's address is not available: {0}")]
    Stub(io::Error),
    #[error("cannot bind to a loopback address: {0}")]
    Loopback(io::Error),
    #[error("a thread of hollow initiators ended early")]
    ThreadEnded,
    #[error("hollow: the initiators did not learn of each other within {0:?}")]
    NotConverged(Duration),
    /// Holds the endpoint's id.
    #[error("the first process did not log that endpoint {0} drains")]
    DrainNotListed(String),
    #[error("a process's standard error is not available")]
    NoLog,
    #[error("cannot send a signal to initiator r{index}: {why}")]
    Signal { index: usize, why: Errno },
    /// The state of a process cannot be queried.
    #[error("cannot query the state of a process: {0}")]
    State(io::Error),
    #[error("initiator r{index} exited unexpectedly: {status}")]
    ProcessEnded { index: usize, status: ExitStatus },
    /// A field of `/proc/PID/stat` is missing or invalid; fields are counted from the one after the command's
    /// name.
    #[error("{}: field {field} is missing or not a number", path.display())]
    StatField { path: PathBuf, field: usize },
    #[error("{}: no figures of the loopback interface", .0.display())]
    NoLoopbackFigures(PathBuf),
}

impl HollowError {
    /// Returns a function that turns an I/O error at this path into a [`HollowError`].
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| HollowError::File { path, source }
    }
}
