//! Lines of a body that goes on and on.

use bytes::Bytes;
use futures_util::{Stream, StreamExt};
use std::fmt::Display;
use std::time::Duration;

/// Why there is no next line, where nothing came in time.
pub const SILENCE: &str = "silent";

const LINE_MOST: usize = 4 << 20;

/// What has come of a body and is not yet a whole line.
pub struct Lines<S> {
    body: S,
    held: Vec<u8>,
}

impl<S: Stream<Item = Result<Bytes, E>> + Unpin, E: Display> Lines<S> {
    /// From a body's start.
    pub fn new(body: S) -> Self {
        Lines { body, held: Vec::new() }
    }

    /// The next line, its end included; `Err` says why there is none.
    pub async fn next(&mut self, silent: Duration) -> Result<Vec<u8>, String> {
        loop {
            if let Some(end) = self.held.iter().position(|b| *b == b'\n') {
                return Ok(self.held.drain(..=end).collect());
            }
            if self.held.len() > LINE_MOST {
                return Err("a line without end".into());
            }
            match tokio::time::timeout(silent, self.body.next()).await {
                Err(_) => return Err(SILENCE.into()),
                Ok(None) => return Err("closed".into()),
                Ok(Some(Err(error))) => return Err(format!("broke: {error}")),
                Ok(Some(Ok(chunk))) => self.held.extend_from_slice(&chunk),
            }
        }
    }
}
