//! What can go wrong with a log or a buffered write.

use shaletack_wal::RecoveryError;
use shaletack_writeback::{RejectReason, UnreadableRecord};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// A log can't be opened.
#[derive(Debug, Error)]
#[error("{}: {failure}", folder.display())]
pub struct OpenError {
    /// The folder of the log.
    pub folder: PathBuf,
    /// Why.
    pub failure: OpenFailure,
}

/// Why a log can't be opened.
#[derive(Debug, Error)]
pub enum OpenFailure {
    /// The folder or a file in it can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process has the log open: stop that one first.
    #[error("another process has this log")]
    Locked,
    /// The log belongs to something else, or is damaged. Nothing was changed.
    #[error(transparent)]
    Recovery(#[from] RecoveryError),
    /// The log holds a record that this program can't read.
    #[error(transparent)]
    UnreadableRecord(#[from] UnreadableRecord),
}

impl OpenFailure {
    /// Names the log that can't be opened.
    pub(super) fn of(self, folder: &Path) -> OpenError {
        OpenError { folder: folder.into(), failure: self }
    }
}

/// Why a write or flush failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The log had no room, or could not be written, for as long as the client waits. Nothing of the write is kept.
    #[error("the log is full")]
    LogFull,
    /// The write is larger than the log takes.
    #[error("the write is too large for the log")]
    TooLarge,
    /// It was not durable by its deadline. It may be so later: nothing is promised.
    #[error("the log could not be written in time")]
    NotDurableInTime,
}

impl From<RejectReason> for WriteError {
    fn from(reason: RejectReason) -> Self {
        match reason {
            RejectReason::LogFull => WriteError::LogFull,
            RejectReason::TooLarge => WriteError::TooLarge,
        }
    }
}
