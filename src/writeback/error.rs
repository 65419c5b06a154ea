//! Errors of logs and buffered writes.

use shaletack_wal::RecoveryError;
use shaletack_writeback::{RejectReason, UnreadableRecord};
use std::io;
use std::path::{Path, PathBuf};
use thiserror::Error;

/// The log in a folder can't be opened.
#[derive(Debug, Error)]
#[error("{}: {failure}", folder.display())]
pub struct OpenError {
    /// The folder of the log.
    pub folder: PathBuf,
    /// The reason.
    pub failure: OpenFailure,
}

/// Why a log can't be opened.
#[derive(Debug, Error)]
pub enum OpenFailure {
    /// The folder or a file in it can't be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
    /// Another process has the log open, and has to be stopped first.
    #[error("another process has the log open")]
    Locked,
    /// The log has another version or purpose, or is damaged. Nothing on disk was changed.
    #[error(transparent)]
    Recovery(#[from] RecoveryError),
    /// The log holds a record that can't be decoded.
    #[error(transparent)]
    UnreadableRecord(#[from] UnreadableRecord),
}

impl OpenFailure {
    /// Adds the folder of the log that can't be opened.
    pub(super) fn in_folder(self, folder: &Path) -> OpenError {
        OpenError { folder: folder.into(), failure: self }
    }
}

/// Why a write or flush failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The log had no space or could not be written until the client's deadline. No part of the write is
    /// kept.
    #[error("the log is full")]
    LogFull,
    /// A record of the write is larger than the log accepts.
    #[error("the write is too large for the log")]
    TooLarge,
    /// The write or flush was not durable by its deadline. It may still become durable later.
    #[error("the log was not durable by the deadline")]
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
