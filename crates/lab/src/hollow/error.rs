//! Why a run over real sockets ends early.

use rustix::io::Errno;
use std::io;
use std::path::PathBuf;
use std::process::ExitStatus;
use std::time::Duration;

/// A run that can't begin or go on; none is worth a retry with the same arguments but [`HollowError::NotMet`].
#[derive(Debug, thiserror::Error)]
pub enum HollowError {
    #[error("hollow: --{option} {value}, where {least} to {most} can be had")]
    OutOfRange { option: &'static str, value: usize, least: usize, most: usize },
    #[error("hollow: --program '{}' is no file", .0.display())]
    NoProgram(PathBuf),
    #[error("{}: {source}", path.display())]
    File { path: PathBuf, source: io::Error },
    #[error("no runtime: {0}")]
    Runtime(io::Error),
    #[error("a folder for files: {0}")]
    Folder(io::Error),
    /// An endpoint, etcd or a client's address.
    #[error("a stand-in: {0}")]
    StandIn(io::Error),
    #[error("a place on loopback: {0}")]
    Loopback(io::Error),
    #[error("a thread of hollow initiators ended early")]
    ThreadEnded,
    #[error("hollow: they did not meet within {0:?}")]
    NotMet(Duration),
    /// The endpoint's id.
    #[error("the first process was not told that {0} drains")]
    DrainNotListed(String),
    #[error("a process without a log")]
    NoLog,
    #[error("initiator r{index} can't be sent a signal: {why}")]
    Signal { index: usize, why: Errno },
    /// Its state can't be asked for.
    #[error("{0}")]
    State(io::Error),
    #[error("initiator r{index} ended by itself: {status}")]
    ProcessEnded { index: usize, status: ExitStatus },
    /// A field of `/proc/PID/stat`, counted after the command's name.
    #[error("{}: field {field}", path.display())]
    StatField { path: PathBuf, field: usize },
    #[error("{}: no figures of the loopback", .0.display())]
    NoLoopbackFigures(PathBuf),
}

impl HollowError {
    /// What to make of an error at that file.
    pub fn file(path: impl Into<PathBuf>) -> impl FnOnce(io::Error) -> Self {
        let path = path.into();
        |source| HollowError::File { path, source }
    }
}
