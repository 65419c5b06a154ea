//! The errors that are reported to clients: an NBD error value and, in structured replies, a message.

use crate::nbd::codec::errno;
use std::time::Duration;
use thiserror::Error;

/// Why a command failed. The connection stays open. The `Display` text is sent to the client in structured
/// replies, so it is part of the interface.
#[derive(Clone, Copy, Debug, PartialEq, Error)]
pub(super) enum CommandError {
    /// The server does not support the command type.
    #[error("an unknown command")]
    UnknownCommand,
    /// A command flag was not negotiated, or does not apply to the command.
    #[error("a flag that does not fit")]
    UnsupportedFlag,
    /// A FLUSH has an offset or a length.
    #[error("a flush has no range")]
    FlushWithRange,
    /// The range ends beyond the export.
    #[error("outside the export")]
    OutsideExport,
    /// The range is empty.
    #[error("of no length")]
    EmptyRange,
    /// The range is larger than the maximum block size that clients are told.
    #[error("too large")]
    TooLarge,
    /// This process is shutting down.
    #[error("stopping")]
    ShuttingDown,
    /// An endpoint reported an error, or no attempt completed in time.
    #[error("failed")]
    Failed,
    /// Some parts of a write were written and others were rejected.
    #[error("failed: written in part")]
    PartlyWritten,
    /// The command was rejected for lack of capacity; nothing was changed.
    #[error("refused: come back in {:.3} s", .retry_after.as_secs_f64())]
    Rejected {
        /// How long the client should wait before it retries.
        retry_after: Duration,
    },
    /// The write-back log is full; nothing was changed.
    #[error("refused: the buffer is full")]
    LogFull,
    /// The write is too large for the write-back log, or a write or flush was not durable in time.
    #[error("failed: the buffer takes nothing")]
    NotBuffered,
}

impl CommandError {
    /// Returns the error value of the reply, as section "Error values" of the protocol defines it.
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
