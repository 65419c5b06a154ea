//! Why a watch ended.

use crate::endpoint_list_poll::CallEnd;
use crate::json::JsonError;
use crate::runtime::json_stream::StreamEnd;
use actix_http::StatusCode;
use awc::error::SendRequestError;

/// Why a watch ended; the next call is made after a backoff.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The agent answered with another status than success.
    #[error("answered {0}")]
    Rejected(StatusCode),
    /// There was no connection, or it was lost before the head of a response.
    #[error("could not be asked: {0}")]
    Unreachable(SendRequestError),
    /// No head of a response came in the time that a call may take.
    #[error("no answer")]
    NoResponse,
    /// No object came behind the head in time.
    #[error("a head and nothing behind it")]
    NoFirstObject,
    /// The stream of objects ended, or fell silent.
    #[error("{0}")]
    StreamEnded(StreamEnd),
    /// An object is no list.
    #[error("unreadable: {0}")]
    Unreadable(JsonError),
    /// The agent is behind.
    #[error("its list is of revision {listed}, and {known} is known")]
    OutOfDate {
        /// The revision of its list.
        listed: u64,
        /// The last that was accepted.
        known: u64,
    },
}

impl WatchError {
    /// What it means for the backoff.
    pub fn call_end(&self) -> CallEnd {
        match self {
            WatchError::Rejected(_) => CallEnd::Rejected,
            WatchError::NoResponse | WatchError::NoFirstObject => CallEnd::TimedOut,
            WatchError::Unreachable(_)
            | WatchError::StreamEnded(_)
            | WatchError::Unreadable(_)
            | WatchError::OutOfDate { .. } => CallEnd::ConnectionLost,
        }
    }
}
