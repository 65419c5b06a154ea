//! Why a command failed, as its client is told: an NBD error value, and a text where replies are structured.

use crate::nbd::codec::errno;
use std::time::Duration;
use thiserror::Error;

/// Why a command failed. The connection goes on.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub(super) enum CommandError {
    /// Not a command type of this server.
    #[error("an unknown command")]
    UnknownCommand,
    /// A command flag that was not offered, or not for this command.
    #[error("a flag that does not fit")]
    UnsupportedFlag,
    /// FLUSH with an offset or a length.
    #[error("a flush has no range")]
    FlushWithRange,
    /// The range ends beyond the export.
    #[error("outside the export")]
    OutsideExport,
    /// The range is empty.
    #[error("of no length")]
    EmptyRange,
    /// The range is larger than clients are told.
    #[error("too large")]
    TooLarge,
    /// This process is shutting down.
    #[error("stopping")]
    ShuttingDown,
    /// An endpoint failed, or no attempt completed in time.
    #[error("failed")]
    Failed,
    /// Some parts of a write were written and others rejected.
    #[error("failed: written in part")]
    PartlyWritten,
    /// Unserved, for want of capacity; nothing was changed.
    #[error("refused: come back in {:.3} s", .retry_after.as_secs_f64())]
    Rejected {
        /// When the client may come again.
        retry_after: Duration,
    },
    /// The write-back log is full; nothing was changed.
    #[error("refused: the buffer is full")]
    LogFull,
    /// The write can't be buffered, or was not durable in time.
    #[error("failed: the buffer takes nothing")]
    NotBuffered,
}

impl CommandError {
    /// The error value of the reply, of section "Error values".
    pub fn errno(self) -> u32 {
        match self {
            CommandError::UnknownCommand
            | CommandError::UnsupportedFlag
            | CommandError::FlushWithRange
            | CommandError::OutsideExport
            | CommandError::EmptyRange
            | CommandError::TooLarge => errno::INVAL,
            CommandError::ShuttingDown => errno::SHUTDOWN,
            CommandError::Failed | CommandError::PartlyWritten | CommandError::NotBuffered => errno::IO,
            CommandError::Rejected { .. } | CommandError::LogFull => errno::NOMEM,
        }
    }
}
