//! Why the simulator's frames could not be followed. Each is the end of the adapter.

use crate::settings::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field names bytes that the frame does not have.
    #[error("a field points outside the frame's tail")]
    OutsideTail,
    /// A frame's header names another length.
    #[error("a frame's length does not fit its header")]
    LengthMismatch,
    /// A frame is too short for its records.
    #[error("a frame ends inside its records")]
    TruncatedRecords,
    /// A length that no frame has.
    #[error("a frame's length is not one a frame can have")]
    BadLength,
    /// The input ends too early.
    #[error("the input ends inside a frame")]
    TruncatedFrame,
    /// The code of an event is unknown.
    #[error("{0} is not the code of an event")]
    UnknownEvent(u8),
    /// The code of an attempt's outcome is unknown.
    #[error("{0} is not the code of an outcome")]
    UnknownOutcome(u8),
    /// The code of a kind of endpoint list is unknown.
    #[error("{0} is not a kind of list")]
    UnknownListKind(u8),
    /// The code of an endpoint's readiness is unknown.
    #[error("{0} is not a node's readiness")]
    UnknownReadiness(u8),
    /// A load report holds too many values.
    #[error("a load report holds more than four values")]
    LongLoadReport,
    /// An instance's settings can't be read.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// The input can't be read.
    #[error("the input could not be read: {0}")]
    Input(io::Error),
    /// A reply can't be written.
    #[error("the reply could not be written: {0}")]
    Output(io::Error),
}
