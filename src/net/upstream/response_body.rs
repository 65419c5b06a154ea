//! Streams a large response to the client as the endpoint sends it.

use super::limits::{MAX_STREAMED_BODY, STREAM_IDLE_TIMEOUT};
use crate::runtime::memory::MemoryAccount;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use futures_util::StreamExt;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;

/// Where an attempt leaves a response that is to be streamed to the client.
pub type StreamedResponseSlot = Rc<RefCell<Option<StreamedResponse>>>;

/// The body of a large response, from its first byte on.
pub struct StreamedResponse {
    /// The length in bytes, if the endpoint stated it.
    pub content_length: Option<u64>,
    buffered: Option<Bytes>,
    bytes_received: u64,
    body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    _permit: Option<OwnedSemaphorePermit>,
    _memory: MemoryAccount,
}

impl StreamedResponse {
    /// Returns a body that begins with `buffered` and continues with `body`. The connection's permit and
    /// the reserved memory are held until the body is dropped.
    pub fn new(
        content_length: Option<u64>,
        buffered: Bytes,
        body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
        permit: Option<OwnedSemaphorePermit>,
        memory: MemoryAccount,
    ) -> Self {
        StreamedResponse {
            content_length,
            buffered: Some(buffered),
            bytes_received: 0,
            body,
            _permit: permit,
            _memory: memory,
        }
    }

    /// Returns the next bytes, or `None` at the end of a complete body.
    ///
    /// # Errors
    /// The body is truncated, too long or malformed, or the endpoint sent nothing for
    /// [`STREAM_IDLE_TIMEOUT`]. The front must break the response to the client off then, so that the client
    /// can tell that it is incomplete.
    pub async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        match self.receive().await {
            Some(Ok(bytes)) => Some(self.count_bytes(bytes)),
            None if self.is_truncated() => Some(Err(PayloadError::Incomplete(None))),
            other => other,
        }
    }

    async fn receive(&mut self) -> Option<Result<Bytes, PayloadError>> {
        if let Some(buffered) = self.buffered.take() {
            return Some(Ok(buffered));
        }
        match tokio::time::timeout(STREAM_IDLE_TIMEOUT, self.body.next()).await {
            Ok(next) => next,
            Err(_) => Some(Err(PayloadError::Incomplete(None))),
        }
    }

    /// Counts received bytes, and fails once they are more than the stated length, or than
    /// [`MAX_STREAMED_BODY`] without one.
    fn count_bytes(&mut self, bytes: Bytes) -> Result<Bytes, PayloadError> {
        self.bytes_received += bytes.len() as u64;
        if self.bytes_received > self.content_length.unwrap_or(MAX_STREAMED_BODY) {
            return Err(PayloadError::Overflow);
        }
        Ok(bytes)
    }

    fn is_truncated(&self) -> bool {
        self.content_length.is_some_and(|length| self.bytes_received < length)
    }
}
