//! JSON objects of a body that goes on and on, however they are laid out and cut, and one clock for its silence.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use serde::de::IgnoredAny;
use serde_json::Deserializer;
use std::fmt::Display;
use std::time::Duration;
use tokio::time::{timeout_at, Instant};

const OBJECT_MOST: usize = 4 << 20;

/// Why there is no next object.
#[derive(Debug, thiserror::Error)]
pub enum Over {
    /// Nothing came in time, or what came did not become a whole object: ask anew.
    #[error("silent")]
    Silent,
    /// The other side ended the body: ask anew.
    #[error("closed")]
    Closed,
    /// The connection broke: ask anew.
    #[error("broke: {0}")]
    Broke(String),
    /// Whoever writes there does not write JSON: look at the address.
    #[error("unreadable: {0}")]
    Unreadable(serde_json::Error),
    /// An object is larger than any list: look at the address.
    #[error("an object of more than {OBJECT_MOST} bytes")]
    Endless,
}

/// What has come of a body and is not yet a whole object.
pub struct Objects<S> {
    body: S,
    held: Vec<u8>,
    /// Since when an object is not whole.
    since: Option<Instant>,
}

impl<S: Stream<Item = Result<Bytes, E>> + Unpin, E: Display> Objects<S> {
    /// From a body's start.
    pub fn new(body: S) -> Self {
        Objects { body, held: Vec::new(), since: None }
    }

    /// The next object's text; `None`: nothing but space came, a sign of life.
    pub async fn next(&mut self, silent: Duration) -> Result<Option<Vec<u8>>, Over> {
        loop {
            if let Some(object) = self.cut()? {
                self.since = None;
                return Ok(Some(object));
            }
            if self.held.len() > OBJECT_MOST {
                return Err(Over::Endless);
            }
            // One that has begun is whole in that time as well, whatever trickles in.
            let from = self.since.unwrap_or_else(Instant::now);
            match timeout_at(from + silent, self.body.next()).await {
                Err(_) => return Err(Over::Silent),
                Ok(None) => return Err(Over::Closed),
                Ok(Some(Err(error))) => return Err(Over::Broke(error.to_string())),
                Ok(Some(Ok(chunk))) => self.held.extend_from_slice(&chunk),
            }
            if self.held.iter().all(u8::is_ascii_whitespace) {
                self.held.clear();
                return Ok(None);
            }
            self.since.get_or_insert_with(Instant::now);
        }
    }

    /// Takes the first whole object off what has come.
    fn cut(&mut self) -> Result<Option<Vec<u8>>, Over> {
        let mut values = Deserializer::from_slice(&self.held).into_iter::<IgnoredAny>();
        match values.next() {
            None => Ok(None),
            Some(Err(fault)) if fault.is_eof() => Ok(None),
            Some(Err(fault)) => Err(Over::Unreadable(fault)),
            Some(Ok(_)) => {
                let end = values.byte_offset();
                Ok(Some(self.held.drain(..end).collect()))
            }
        }
    }
}
