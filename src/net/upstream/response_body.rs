//! A large response that is streamed to its client as its endpoint sends it.

use super::limits::{MAX_STREAMED_BODY, STREAM_IDLE_TIMEOUT};
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use futures_util::StreamExt;
use std::cell::RefCell;
use std::rc::Rc;
use tokio::sync::OwnedSemaphorePermit;

/// Where an attempt leaves a response that is to be streamed.
pub type StreamedResponseSlot = Rc<RefCell<Option<StreamedResponse>>>;

/// A large response's body, from its first bytes on.
pub struct StreamedResponse {
    /// Its length in bytes, where that is stated.
    pub content_length: Option<u64>,
    buffered: Option<Bytes>,
    bytes_received: u64,
    body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
    _permit: Option<OwnedSemaphorePermit>,
}

impl StreamedResponse {
    /// A body that begins with `buffered`; the connection's permit is held until its end.
    pub fn new(
        content_length: Option<u64>,
        buffered: Bytes,
        body: LocalBoxStream<'static, Result<Bytes, PayloadError>>,
        permit: Option<OwnedSemaphorePermit>,
    ) -> Self {
        StreamedResponse {
            content_length,
            buffered: Some(buffered),
            bytes_received: 0,
            body,
            _permit: permit,
        }
    }

    /// The next bytes; `None` at the end of a complete body.
    ///
    /// # Errors
    /// The body is truncated, too long or malformed, or its endpoint stopped. Its client must be able to tell.
    pub async fn next(&mut self) -> Option<Result<Bytes, PayloadError>> {
        match self.receive().await {
            Some(Ok(bytes)) => Some(self.count(bytes)),
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

    fn count(&mut self, bytes: Bytes) -> Result<Bytes, PayloadError> {
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
