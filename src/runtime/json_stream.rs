//! Splits a response body that never ends, such as a watch, into its JSON objects.
//!
//! An object may be indented, span several lines, and arrive in any number of chunks. One timeout covers both
//! silence and an object that is never completed, so a sender that trickles bytes is detected too.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The largest object that is accepted, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why a stream of objects ended.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    /// Nothing was received within the timeout, or an object was not completed within it. The call can be
    /// repeated.
    #[error("timed out waiting for a complete JSON object")]
    TimedOut,
    /// The sender ended the body. The call can be repeated.
    #[error("the sender closed the stream")]
    Closed,
    /// The connection was lost. The call can be repeated.
    #[error("connection lost: {0}")]
    ConnectionLost(String),
    /// The body is not JSON, so the configured address is probably wrong.
    #[error("invalid JSON: {0}")]
    InvalidJson(serde_json::Error),
    /// An object is larger than any endpoint list, so the configured address is probably wrong.
    #[error("a JSON object is larger than {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// Splits a body into its JSON objects.
pub struct JsonObjects<S> {
    body: S,
    pending: Vec<u8>,
    /// When the first byte of an incomplete object was received.
    pending_since: Option<Instant>,
}

impl<S: Stream<Item = Result<Bytes, E>> + Unpin, E: Display> JsonObjects<S> {
    /// Reads objects from the start of `body`.
    pub fn new(body: S) -> Self {
        JsonObjects { body, pending: Vec::new(), pending_since: None }
    }

    /// Returns the text of the next object, or `None` if only whitespace was received, which the sender uses
    /// as a keep-alive.
    ///
    /// Waits at most `timeout` for the first byte, and the object must be complete within `timeout` of its
    /// first byte.
    ///
    /// # Errors
    /// The stream ended, for the reason that [`StreamEnd`] gives.
    pub async fn next(&mut self, timeout: Duration) -> Result<Option<Vec<u8>>, StreamEnd> {
        loop {
            if let Some(object) = self.take_complete()? {
                self.pending_since = None;
                return Ok(Some(object));
            }
            if self.pending.len() > MAX_OBJECT_BYTES {
                return Err(StreamEnd::TooLarge);
            }
            let from = self.pending_since.unwrap_or_else(Instant::now);
            match timeout_at(from + timeout, self.body.next()).await {
                Err(_) => return Err(StreamEnd::TimedOut),
                Ok(None) => return Err(StreamEnd::Closed),
                Ok(Some(Err(error))) => return Err(StreamEnd::ConnectionLost(error.to_string())),
                Ok(Some(Ok(chunk))) => self.pending.extend_from_slice(&chunk),
            }
            if self.pending.iter().all(u8::is_ascii_whitespace) {
                self.pending.clear();
                return Ok(None);
            }
            self.pending_since.get_or_insert_with(Instant::now);
        }
    }

    /// Removes the first complete object from the bytes received so far, if there is one.
    fn take_complete(&mut self) -> Result<Option<Vec<u8>>, StreamEnd> {
        let mut values = Deserializer::from_slice(&self.pending).into_iter::<IgnoredAny>();
        match values.next() {
            None => Ok(None),
            Some(Err(fault)) if fault.is_eof() => Ok(None),
            Some(Err(fault)) => Err(StreamEnd::InvalidJson(fault)),
            Some(Ok(_)) => {
                let end = values.byte_offset();
                Ok(Some(self.pending.drain(..end).collect()))
            }
        }
    }
}
