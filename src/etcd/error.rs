//! The errors of watching the endpoint list in etcd. After each, the watcher retries with a backoff.

use crate::endpoint_list::EntryError;
use crate::json::JsonError;
use crate::runtime::json_stream::StreamEnd;
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use base64::DecodeError;
use thiserror::Error;

/// Why the list could not be fetched, or why a watch ended.
#[derive(Debug, Error)]
pub(super) enum WatchError {
    /// The range request could not be sent, or no valid response header was received.
    #[error("range request failed: {0}")]
    RangeFailed(SendRequestError),
    /// The response to the range request has an error status.
    #[error("range request returned status {0}")]
    RangeStatus(StatusCode),
    /// The response to the range request ended early, or is too large.
    #[error("reading the range response failed: {0}")]
    RangeBody(PayloadError),
    /// The range request was not answered within the call timeout.
    #[error("range request timed out")]
    RangeTimedOut,
    /// The watch request could not be sent, or no valid response header was received.
    #[error("watch request failed: {0}")]
    WatchFailed(SendRequestError),
    /// The response to the watch request has an error status.
    #[error("watch request returned status {0}")]
    WatchStatus(StatusCode),
    /// The watch request was not answered within the call timeout.
    #[error("watch request timed out")]
    WatchTimedOut,
    /// The stream of watch messages ended or could not be read.
    #[error("watch stream ended: {0}")]
    StreamEnded(StreamEnd),
    /// etcd reported an error on the watch stream.
    #[error("etcd reported an error on the watch stream")]
    ErrorMessage,
    /// etcd cancelled the watch.
    #[error("etcd cancelled the watch: {reason}")]
    Cancelled {
        /// The reason that etcd gave.
        reason: String,
    },
    /// The revisions after the known one were compacted, so the whole list must be fetched.
    #[error("the watched revisions were compacted")]
    Compacted,
    /// A message could not be read.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Why a message from etcd, or an entry in it, could not be read.
#[derive(Debug, Error)]
pub(super) enum MessageError {
    /// The message does not have the form of the JSON gateway.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An endpoint's entry is invalid.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A revision is not a number.
    #[error("'{0}' is not a revision")]
    BadRevision(String),
    /// A key or value is not valid base64.
    #[error("invalid base64 in field {field}: {source}")]
    BadBase64 {
        /// The field: `key` or `value`.
        field: &'static str,
        /// The error of the decoder.
        source: DecodeError,
    },
    /// A key is not UTF-8, does not begin with the prefix, or has no endpoint id after the prefix.
    #[error("the key does not name an endpoint")]
    BadKey,
    /// The endpoint id in a key differs from the id in the entry.
    #[error("the key of endpoint {key} holds the entry of endpoint {entry}")]
    WrongEntry {
        /// The id in the key.
        key: String,
        /// The id in the entry.
        entry: String,
    },
}
