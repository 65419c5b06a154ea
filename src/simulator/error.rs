//! The errors that end the simulator adapter.

use crate::settings::SettingsError;
use std::io;
use thiserror::Error;

/// Why the adapter ends before its input does.
#[derive(Debug, Error)]
pub enum WireError {
    /// A field refers to bytes outside the tail of the frame.
    #[error("a field refers to bytes outside the frame's tail")]
    OutsideTail,
    /// A frame's length differs from the length in its header, or the frame is shorter than a header.
    #[error("frame length does not match the frame header")]
    LengthMismatch,
    /// A frame is too short for the number of records in its header.
    #[error("frame ends inside its records")]
    TruncatedRecords,
    /// A length field is truncated, less than the size of a header, or greater than the maximum frame size.
    #[error("invalid frame length")]
    BadLength,
    /// The input ends inside a frame.
    #[error("input ends inside a frame")]
    TruncatedFrame,
    /// The code of an event is unknown.
    #[error("unknown event code {0}")]
    UnknownEvent(u8),
    /// The code of an attempt's outcome is unknown.
    #[error("unknown attempt outcome code {0}")]
    UnknownOutcome(u8),
    /// The code of an endpoint list kind is unknown.
    #[error("unknown endpoint list kind {0}")]
    UnknownListKind(u8),
    /// The code of an endpoint's readiness is unknown.
    #[error("unknown endpoint readiness code {0}")]
    UnknownReadiness(u8),
    /// A load report has too many values.
    #[error("a load report has more than four values")]
    LongLoadReport,
    /// The settings of an instance are invalid.
    #[error(transparent)]
    Settings(#[from] SettingsError),
    /// Reading the input failed.
    #[error("could not read the input: {0}")]
    Input(io::Error),
    /// Writing a reply failed.
    #[error("could not write the reply: {0}")]
    Output(io::Error),
}
