//! The body of a request to an endpoint.
//!
//! A small body is buffered and can be sent again. A large body is streamed as the client sends it, so that
//! only its buffered beginning can be sent again.

use super::limits::MAX_STREAMED_BODY;
use crate::broker::AttemptProgress;
use crate::runtime::host::ProgressCallback;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

/// The longest pause that a client may make within a large body.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A request's body.
#[derive(Clone)]
pub enum RequestBody {
    /// The request has no body.
    None,
    /// The whole body, which can be sent again.
    Buffered(Bytes),
    /// A large body, streamed as the client sends it.
    Streaming(Rc<Upload>),
}

/// A large request body that is received from the client while it is forwarded to an endpoint.
pub struct Upload {
    /// The length in bytes, if the client stated it.
    pub content_length: Option<u64>,
    /// The beginning of the body, which can be sent again.
    pub buffered: Bytes,
    /// The rest of the body.
    pub payload: RefCell<LocalBoxStream<'static, Result<Bytes, PayloadError>>>,
    /// Called with the length of the body in bytes once its last byte has been received.
    pub on_received: Box<dyn Fn(u64)>,
    /// The number of bytes received from the client so far.
    pub bytes_read: Cell<u64>,
    /// Whether the last byte has been forwarded.
    pub is_fully_forwarded: Cell<bool>,
}

impl Upload {
    /// Returns whether bytes have been forwarded that cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.bytes_read.get() > self.buffered.len() as u64 || self.is_fully_forwarded.get()
    }

    /// Returns the next bytes after the buffered beginning. If the client pauses for longer than
    /// [`CLIENT_IDLE_TIMEOUT`], the body ends as incomplete.
    async fn next(&self) -> Option<Result<Bytes, PayloadError>> {
        let next = poll_fn(|cx| self.payload.borrow_mut().poll_next_unpin(cx));
        let Ok(next) = tokio::time::timeout(CLIENT_IDLE_TIMEOUT, next).await else {
            return Some(Err(PayloadError::Incomplete(None)));
        };
        match next {
            Some(Ok(bytes)) => Some(self.count_bytes(bytes)),
            Some(Err(error)) => Some(Err(error)),
            None => {
                self.is_fully_forwarded.set(true);
                (self.on_received)(self.bytes_read.get());
                None
            }
        }
    }

    /// Counts received bytes, and fails once the body is larger than [`MAX_STREAMED_BODY`].
    fn count_bytes(&self, bytes: Bytes) -> Result<Bytes, PayloadError> {
        self.bytes_read.set(self.bytes_read.get() + bytes.len() as u64);
        if self.bytes_read.get() > MAX_STREAMED_BODY {
            return Err(PayloadError::Overflow);
        }
        Ok(bytes)
    }

    /// Returns the body for one attempt. `on_progress` is called when its last byte has been forwarded.
    pub fn stream(
        self: Rc<Self>,
        on_progress: Rc<ProgressCallback>,
    ) -> LocalBoxStream<'static, Result<Bytes, PayloadError>> {
        let buffered = Some(self.buffered.clone()).filter(|buffered| !buffered.is_empty());
        let state = (self, buffered, on_progress);
        futures_util::stream::unfold(state, |(upload, buffered, on_progress)| async move {
            let next = match buffered {
                Some(buffered) => Some(Ok(buffered)),
                None => upload.next().await,
            };
            if next.is_none() {
                on_progress(AttemptProgress::BodySent);
            }
            Some((next?, (upload, None, on_progress)))
        })
        .boxed_local()
    }
}
