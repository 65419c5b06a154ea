//! What can go wrong while the endpoint list is followed in etcd. Each is tried again after a wait.

use crate::endpoint_list::EntryError;
use crate::json::JsonError;
use crate::runtime::json_stream::StreamEnd;
use awc::error::{PayloadError, SendRequestError};
use awc::http::StatusCode;
use base64::DecodeError;
use thiserror::Error;

/// Why the list could not be fetched, or a watch ended.
#[derive(Debug, Error)]
pub(super) enum FollowError {
    /// The range could not be sent, or its answer has no head.
    #[error("could not be asked: {0}")]
    Unreachable(SendRequestError),
    /// The range was answered with an error.
    #[error("answered {0}")]
    Status(StatusCode),
    /// The answer to the range ended early, or is too large.
    #[error("broke: {0}")]
    BodyLost(PayloadError),
    /// The range was not answered in time.
    #[error("no answer")]
    NoAnswer,
    /// The watch could not be sent, or its answer has no head.
    #[error("watch could not be asked: {0}")]
    WatchUnreachable(SendRequestError),
    /// The watch was answered with an error.
    #[error("watch answered {0}")]
    WatchStatus(StatusCode),
    /// The watch was not answered in time.
    #[error("no answer to a watch")]
    NoWatchAnswer,
    /// The watch's stream ended or can't be read.
    #[error("watch {0}")]
    WatchLost(StreamEnd),
    /// A message of the watch is an error.
    #[error("watch answered an error")]
    WatchError,
    /// etcd ended the watch.
    #[error("watch cancelled: {reason}")]
    WatchCancelled {
        /// Its reason.
        reason: String,
    },
    /// The revisions that follow are gone from etcd: the whole list is needed.
    #[error("compacted")]
    Compacted,
    /// An answer can't be read.
    #[error(transparent)]
    Message(#[from] MessageError),
}

/// Why a message of etcd, or an entry in it, can't be read.
#[derive(Debug, Error)]
pub(super) enum MessageError {
    /// It is not of the gateway's form.
    #[error(transparent)]
    Json(#[from] JsonError),
    /// An endpoint's entry can't be read.
    #[error(transparent)]
    Entry(#[from] EntryError),
    /// A revision is no number.
    #[error("'{0}' is not a revision")]
    BadRevision(String),
    /// A key or value can't be decoded.
    #[error("{field}: {source}")]
    BadBase64 {
        /// Which.
        field: &'static str,
        /// What is wrong.
        source: DecodeError,
    },
    /// A key is not below the prefix.
    #[error("a key that names no box")]
    BadKey,
    /// A key and the entry below it disagree.
    #[error("key {key} holds the entry of {entry}")]
    WrongEntry {
        /// The name in the key.
        key: String,
        /// The name in the entry.
        entry: String,
    },
}
