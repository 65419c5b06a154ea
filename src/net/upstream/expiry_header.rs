//! Corrects `X-Expires-In` as a request's head is written: the connection may have come up long after the head was made, and
//! an endpoint must not be told more time than is left.

use super::attempt_context::DEADLINE;
use memchr::memmem;
use std::time::{Duration, Instant};

/// The header as the HTTP library writes it.
const EXPIRES_IN: &[u8] = b"\r\nx-expires-in: ";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// A value that is out of date by no more than this stays.
const TOLERANCE: Duration = Duration::from_millis(5);

/// The corrected value of one request's header, of the same length as the one it replaces.
#[derive(Debug)]
pub struct ExpiryCorrection {
    /// Where in the request the value begins, in bytes.
    offset: usize,
    /// How much of the request is written, in bytes.
    written: usize,
    value: Vec<u8>,
}

impl ExpiryCorrection {
    /// The correction that `head` needs; `None` where its value is right, or where it has none.
    pub fn for_head(head: &[u8]) -> Option<Self> {
        let deadline = DEADLINE.try_with(|deadline| *deadline).ok()??;
        let end = memmem::find(head, END_OF_HEAD)?;
        let offset = memmem::find(&head[..end], EXPIRES_IN)? + EXPIRES_IN.len();
        let length = head[offset..].iter().position(|byte| *byte == b'\r')?;
        let stated: f64 = std::str::from_utf8(&head[offset..offset + length]).ok()?.parse().ok()?;
        let remaining = deadline.saturating_duration_since(Instant::now()).as_secs_f64();
        let value = format!("{remaining:0length$.3}").into_bytes();
        let is_needed = stated > remaining + TOLERANCE.as_secs_f64() && value.len() == length;
        is_needed.then_some(ExpiryCorrection { offset, written: 0, value })
    }

    /// What is to be written next in place of `bytes`, or of the first of them; `None` once the value is written.
    pub fn next<'a>(&'a self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        match self.written.checked_sub(self.offset) {
            None => Some(&bytes[..bytes.len().min(self.offset - self.written)]),
            Some(done) => self.value.get(done..).filter(|rest| !rest.is_empty()),
        }
    }

    /// So many bytes more of the request are written.
    pub fn wrote(&mut self, count: usize) {
        self.written += count;
    }
}
