//! The reasons for which a watch ends.

use crate::endpoint_list_poll::CallEnd;
use crate::json::JsonError;
use crate::runtime::json_stream::StreamEnd;
use actix_http::StatusCode;
use awc::error::SendRequestError;

/// Why a watch ended. The agent is called again after a backoff.
#[derive(Debug, thiserror::Error)]
pub enum WatchError {
    /// The agent answered with a status other than success.
    #[error("the agent answered with status {0}")]
    Rejected(StatusCode),
    /// The connection could not be established, or was lost before the head of a response.
    #[error("the agent could not be reached: {0}")]
    Unreachable(SendRequestError),
    /// No head of a response was received within the call timeout.
    #[error("the agent did not answer in time")]
    NoResponse,
    /// No object or keep-alive followed the head of the response in time.
    #[error("no event followed the head of the response in time")]
    NoFirstObject,
    /// The stream of objects ended or timed out.
    #[error("{0}")]
    StreamEnded(StreamEnd),
    /// An object is not a valid endpoint list.
    #[error("invalid endpoint list: {0}")]
    InvalidList(JsonError),
    /// The agent lags behind.
    #[error("the agent lists revision {listed}, which is older than the known revision {known}")]
    OutOfDate {
        /// The revision of the agent's list.
        listed: u64,
        /// The last accepted revision.
        known: u64,
    },
}

impl WatchError {
    /// Returns how the call ended, as far as the backoff depends on it.
    pub fn call_end(&self) -> CallEnd {
        match self {
            WatchError::Rejected(_) => CallEnd::Rejected,
            WatchError::NoResponse | WatchError::NoFirstObject => CallEnd::TimedOut,
            WatchError::Unreachable(_)
            | WatchError::StreamEnded(_)
            | WatchError::InvalidList(_)
            | WatchError::OutOfDate { .. } => CallEnd::ConnectionLost,
        }
    }
}
