//! What an attempt sends as its body. Small bodies are buffered and can be sent again; a large one is streamed as its client
//! sends it, so that only its buffered beginning can.

use super::limits::MAX_STREAMED_BODY;
use crate::broker::AttemptProgress;
use crate::runtime::host::Tell;
use awc::error::PayloadError;
use bytes::Bytes;
use futures_util::stream::LocalBoxStream;
use futures_util::StreamExt;
use std::cell::{Cell, RefCell};
use std::future::poll_fn;
use std::rc::Rc;
use std::time::Duration;

/// The longest pause of a client within a large body.
const CLIENT_IDLE_TIMEOUT: Duration = Duration::from_millis(2500);

/// A request's body.
#[derive(Clone)]
pub enum RequestBody {
    /// There is none.
    None,
    /// All of it; it can be sent again.
    Buffered(Bytes),
    /// A large one, as its client sends it.
    Streaming(Rc<Upload>),
}

/// A large body on its way from its client.
pub struct Upload {
    /// Its length in bytes, where that is stated.
    pub content_length: Option<u64>,
    /// Its beginning, which can be sent again.
    pub buffered: Bytes,
    /// What is still to come.
    pub payload: RefCell<LocalBoxStream<'static, Result<Bytes, PayloadError>>>,
    /// Called with its length in bytes once its last byte has come.
    pub on_received: Box<dyn Fn(u64)>,
    /// Bytes that were read from the client so far.
    pub bytes_read: Cell<u64>,
    /// Its last byte was passed on.
    pub is_passed_on: Cell<bool>,
}

impl Upload {
    /// Bytes were passed on that can't be sent again.
    pub fn is_consumed(&self) -> bool {
        self.bytes_read.get() > self.buffered.len() as u64 || self.is_passed_on.get()
    }

    /// The next bytes behind those that are buffered. A client that sends nothing for too long has left half a request.
    async fn next(&self) -> Option<Result<Bytes, PayloadError>> {
        let next = poll_fn(|cx| self.payload.borrow_mut().poll_next_unpin(cx));
        let Ok(next) = tokio::time::timeout(CLIENT_IDLE_TIMEOUT, next).await else {
            return Some(Err(PayloadError::Incomplete(None)));
        };
        match next {
            Some(Ok(bytes)) => Some(self.count(bytes)),
            Some(Err(error)) => Some(Err(error)),
            None => {
                self.is_passed_on.set(true);
                (self.on_received)(self.bytes_read.get());
                None
            }
        }
    }

    fn count(&self, bytes: Bytes) -> Result<Bytes, PayloadError> {
        self.bytes_read.set(self.bytes_read.get() + bytes.len() as u64);
        if self.bytes_read.get() > MAX_STREAMED_BODY {
            return Err(PayloadError::Overflow);
        }
        Ok(bytes)
    }

    /// The body for one attempt; `progress` is notified of its end.
    pub fn stream(
        self: Rc<Self>,
        progress: Rc<Tell>,
    ) -> LocalBoxStream<'static, Result<Bytes, PayloadError>> {
        let buffered = Some(self.buffered.clone()).filter(|buffered| !buffered.is_empty());
        let state = (self, buffered, progress);
        futures_util::stream::unfold(state, |(upload, buffered, progress)| async move {
            let next = match buffered {
                Some(buffered) => Some(Ok(buffered)),
                None => upload.next().await,
            };
            if next.is_none() {
                progress(AttemptProgress::BodySent);
            }
            Some((next?, (upload, None, progress)))
        })
        .boxed_local()
    }
}
