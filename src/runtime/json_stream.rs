//! The JSON objects of a response body that never ends, such as a watch.
//!
//! Objects come however the sender lays them out and the network cuts them. One clock covers silence and objects that
//! never become complete, so that a peer that trickles bytes is noticed too.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

/// The longest object, in bytes.
const MAX_OBJECT_BYTES: usize = 4 << 20;

/// Why there is no next object.
#[derive(Debug, thiserror::Error)]
pub enum StreamEnd {
    /// Nothing came in time, or what came did not become a complete object: ask again.
    #[error("silent")]
    TimedOut,
    /// The other side ended the body: ask again.
    #[error("closed")]
    Closed,
    /// The connection broke: ask again.
    #[error("broke: {0}")]
    ConnectionLost(String),
    /// Whoever writes there does not write JSON: look at the address.
    #[error("unreadable: {0}")]
    Unreadable(serde_json::Error),
    /// An object is larger than any list: look at the address.
    #[error("an object of more than {MAX_OBJECT_BYTES} bytes")]
    TooLarge,
}

/// Cuts a body into its objects.
pub struct JsonObjects<S> {
    body: S,
    pending: Vec<u8>,
    /// Since when an object is not complete.
    pending_since: Option<Instant>,
}

impl<S: Stream<Item = Result<Bytes, E>> + Unpin, E: Display> JsonObjects<S> {
    /// From a body's start.
    pub fn new(body: S) -> Self {
        JsonObjects { body, pending: Vec::new(), pending_since: None }
    }

    /// The next object's text; `None`: nothing but space came, a sign of life. An object is complete within `timeout` of
    /// its first byte.
    ///
    /// # Errors
    /// The stream ended; [`StreamEnd`] says how.
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

    /// Takes the first complete object off what has come.
    fn take_complete(&mut self) -> Result<Option<Vec<u8>>, StreamEnd> {
        let mut values = Deserializer::from_slice(&self.pending).into_iter::<IgnoredAny>();
        match values.next() {
            None => Ok(None),
            Some(Err(fault)) if fault.is_eof() => Ok(None),
            Some(Err(fault)) => Err(StreamEnd::Unreadable(fault)),
            Some(Ok(_)) => {
                let end = values.byte_offset();
                Ok(Some(self.pending.drain(..end).collect()))
            }
        }
    }
}
