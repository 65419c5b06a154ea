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
/// How often it is checked whether more bytes of a body have arrived.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);

/// The bytes of a request that have arrived from the client, with its head.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ArrivedBytes {
    /// All bytes that have arrived.
    pub total: u64,
    /// How many of them have not been read from the client's connection yet.
    pub unread: u64,
}

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
    /// The least length that the request's head can have, in bytes.
    pub min_head_length: u64,
    /// Returns the bytes that have arrived so far.
    pub arrived: Box<dyn Fn() -> ArrivedBytes>,
    /// What is known of the client's progress.
    pub client: ClientProgress,
}

/// What is known of how far a client has sent a body.
#[derive(Debug, Default)]
pub struct ClientProgress {
    /// The bytes that had arrived at the last check.
    arrived: Cell<u64>,
    /// Whether the next bytes are being waited for.
    is_awaited: Cell<bool>,
    /// Whether the client was known to be still sending at the last check.
    is_sending: Cell<bool>,
    /// Whether the endpoint did not take what had arrived at the last check. What arrives then may have been sent long
    /// before: it waited until the system had room for it.
    was_endpoint_slow: Cell<bool>,
}

impl ClientProgress {
    /// Returns the progress of a client of whose request `arrived` bytes have arrived.
    pub fn new(arrived: ArrivedBytes) -> Self {
        ClientProgress { arrived: Cell::new(arrived.total), ..ClientProgress::default() }
    }
}

impl Upload {
    /// Returns whether bytes have been forwarded that cannot be sent again.
    pub fn is_consumed(&self) -> bool {
        self.bytes_read.get() > self.buffered.len() as u64 || self.is_fully_forwarded.get()
    }

    /// Returns the next bytes after the buffered beginning. If the client pauses for longer than
    /// [`CLIENT_IDLE_TIMEOUT`], the body ends as incomplete.
    async fn next(&self, on_progress: &ProgressCallback) -> Option<Result<Bytes, PayloadError>> {
        let next = poll_fn(|cx| {
            let next = self.payload.borrow_mut().poll_next_unpin(cx);
            self.client.is_awaited.set(next.is_pending());
            next
        });
        let Ok(next) = tokio::time::timeout(CLIENT_IDLE_TIMEOUT, next).await else {
            return Some(Err(PayloadError::Incomplete(None)));
        };
        match next {
            Some(Ok(bytes)) => Some(self.count_bytes(bytes)),
            Some(Err(error)) => Some(Err(error)),
            None => {
                self.check_client(on_progress);
                self.is_fully_forwarded.set(true);
                (self.on_received)(self.bytes_read.get());
                None
            }
        }
    }

    /// Reports, until the body has been forwarded, whether the client may have sent all of it. The client's
    /// time counts from its last byte, which may have arrived long before the endpoint accepts it.
    pub async fn watch_client(&self, on_progress: &ProgressCallback) {
        while !self.is_fully_forwarded.get() {
            tokio::time::sleep(CLIENT_CHECK_INTERVAL).await;
            if !self.is_fully_forwarded.get() {
                self.check_client(on_progress);
            }
        }
    }

    fn check_client(&self, on_progress: &ProgressCallback) {
        let arrived = (self.arrived)();
        let was_endpoint_slow = self.client.was_endpoint_slow.replace(!self.client.is_awaited.get());
        if arrived.total > self.client.arrived.get() {
            self.client.arrived.set(arrived.total);
            if !was_endpoint_slow {
                self.client.is_sending.set(false);
                on_progress(AttemptProgress::ClientMayBeDone);
            }
        } else if self.is_incomplete(arrived) && !was_endpoint_slow && !self.client.is_sending.replace(true) {
            on_progress(AttemptProgress::ClientSending);
        }
    }

    /// Returns whether the client is known not to have sent the whole body: all that has arrived has been
    /// read, and is less than the stated length or does not hold the end of the body.
    fn is_incomplete(&self, arrived: ArrivedBytes) -> bool {
        let is_short =
            self.content_length.is_some_and(|length| arrived.total < self.min_head_length + length);
        arrived.unread == 0 && (is_short || self.client.is_awaited.get())
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
        self.client.is_sending.set(false);
        self.client.is_awaited.set(false);
        let state = (self, buffered, on_progress);
        futures_util::stream::unfold(state, |(upload, buffered, on_progress)| async move {
            let next = match buffered {
                Some(buffered) => Some(Ok(buffered)),
                None => upload.next(&on_progress).await,
            };
            if next.is_none() {
                on_progress(AttemptProgress::BodySent);
            }
            Some((next?, (upload, None, on_progress)))
        })
        .boxed_local()
    }
}
