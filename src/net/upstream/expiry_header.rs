//! Corrects the `X-Expires-In` header while the head of a request is written.
//!
//! The connection may be established long after the head was built, and an endpoint must not be told more
//! time than remains.

use super::attempt_context::DEADLINE;
use memchr::memmem;
use std::time::{Duration, Instant};

/// The start of the header line as the HTTP library writes it.
const EXPIRES_IN: &[u8] = b"\r\nx-expires-in: ";
const END_OF_HEAD: &[u8] = b"\r\n\r\n";
/// A value that exceeds the remaining time by no more than this is not corrected.
const TOLERANCE: Duration = Duration::from_millis(5);

/// The corrected value of one request's header. It has the same length as the value that it replaces.
#[derive(Debug)]
pub struct ExpiryCorrection {
    /// The offset of the value in the request, in bytes.
    offset: usize,
    /// The number of bytes of the request that have been written.
    written: usize,
    value: Vec<u8>,
}

impl ExpiryCorrection {
    /// Returns the correction that `head` needs, or `None` if its value is right or it has no such header.
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

    /// Returns the bytes to write in place of the first of `bytes`, or `None` once the corrected value has
    /// been written.
    pub fn next<'a>(&'a self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        match self.written.checked_sub(self.offset) {
            None => Some(&bytes[..bytes.len().min(self.offset - self.written)]),
            Some(done) => self.value.get(done..).filter(|rest| !rest.is_empty()),
        }
    }

    /// Records that `count` more bytes of the request have been written.
    pub fn record_written(&mut self, count: usize) {
        self.written += count;
    }
}
