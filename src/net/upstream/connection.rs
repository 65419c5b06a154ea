//! A connection to an endpoint, which lets the HTTP library read exactly one final response for each request
//! and no bytes beyond it.

use super::attempt_context::{DEADLINE, PROGRESS};
use super::chunked::ChunkedBody;
use super::expiry_header::ExpiryCorrection;
use super::keep_alive::{EndpointReuse, ReuseOutcome};
use super::open_connections::OpenConnection;
use super::read_state::ReadState;
use super::repeat_evidence::RequestPair;
use super::repeated_responses::{Comparison, RequestIdentity, ResponseComparison};
use super::response_head::{self, BodyFraming, FramingError, ResponseHead};
use crate::broker::AttemptProgress;
use crate::runtime::sockets::Uninterrupted;
use actix_rt::net::{ActixStream, Ready};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::future::Future;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::Sleep;

/// The largest head of a response, in bytes.
const MAX_HEAD_SIZE: usize = 16 * 1024;
/// The maximum number of interim (1xx) responses before a final one (RFC 9110, 15.2).
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The offset of the first digit of the status code in a head, in bytes.
const STATUS_OFFSET: usize = 9;
/// The offset of the minor version digit in a head, in bytes.
const MINOR_VERSION_OFFSET: usize = 7;
/// How long a response that may be a copy is held if the end of the attempt is not known, or if its head has
/// been passed on: the library waits for the body only for a limited time then.
const DEFAULT_HOLD: Duration = Duration::from_millis(500);
/// The status of a request that was served.
const OK: u16 = 200;
/// The status of a request that the endpoint rejected.
const SERVICE_UNAVAILABLE: u16 = 503;
/// The status of a request that the endpoint rejected because its time was over.
const GATEWAY_TIMEOUT: u16 = 504;
/// The least buffer space for one read from the socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// The request in progress, or the last one.
#[derive(Debug, Default)]
struct CurrentRequest {
    /// How long the connection was idle before the request. `None` for the first request, and once the
    /// outcome is recorded.
    idle_before: Option<Duration>,
    /// Whether the method is HEAD, whose response has no body (RFC 9112, 6.3, item 1).
    is_head: bool,
    /// Whether the final response has begun to arrive.
    response_started: bool,
    /// When the first byte was written. `None` before the first request.
    begun_at: Option<Instant>,
    /// What identifies the request.
    identity: RequestIdentity,
    /// The request and the one before it.
    pair: RequestPair,
    /// Whether a copy of the response before has been dropped.
    copy_dropped: bool,
    /// Whether a part of the response has been passed on to the library.
    is_passed_on: bool,
    /// The status of the final response, or 0 before its head has arrived.
    status: u16,
    /// Bytes of the head of the final response that the library has not read yet.
    head_remaining: usize,
    /// Whether the connection must not carry another request after this one.
    is_last: bool,
    /// The correction of the remaining time that the head of the request states.
    expiry: Option<ExpiryCorrection>,
}

/// A connection to an endpoint, as awc's connector hands it to the library.
#[derive(Debug)]
pub struct EndpointConnection {
    socket: Uninterrupted<TcpStream>,
    state: ReadState,
    /// Bytes read from the socket that the library has not read yet.
    received: BytesMut,
    /// How many of them are known to belong to the response.
    inspected: usize,
    reuse: Rc<EndpointReuse>,
    _open: OpenConnection,
    /// When the last response was complete. `None` before the first one.
    idle_since: Option<Instant>,
    request: CurrentRequest,
    comparison: ResponseComparison,
    /// The present response if it may be a second copy of the one before it.
    held: Option<HeldResponse>,
}

/// A response whose end is not passed on until it is known whether it is a copy.
#[derive(Debug, Default)]
struct HeldResponse {
    /// Limits the wait for another response. `None` until the held one is complete.
    wait: Option<Pin<Box<Sleep>>>,
}

/// The result of reading from a response.
enum ReadResult {
    /// Bytes were given to the library, or the connection ended.
    Delivered,
    /// The response was a copy and was dropped, because another one followed.
    CopyDropped,
}

impl EndpointConnection {
    /// Wraps an established connection.
    pub fn new(socket: TcpStream, reuse: Rc<EndpointReuse>, open: OpenConnection) -> Self {
        EndpointConnection {
            socket: Uninterrupted(socket),
            state: ReadState::Idle,
            received: BytesMut::new(),
            reuse,
            _open: open,
            idle_since: None,
            request: CurrentRequest::default(),
            inspected: 0,
            comparison: ResponseComparison::default(),
            held: None,
        }
    }

    /// Begins a request whose first bytes are `head`.
    fn begin_request(&mut self, head: &[u8]) {
        self.state = ReadState::Head { interim: 0 };
        let idle_before = self.idle_since.map(|since| since.elapsed());
        // Fails only outside an attempt, where no callback is set.
        let _ = PROGRESS.try_with(|on_progress| on_progress(AttemptProgress::WriteStarted));
        self.comparison.next_response();
        let identity = RequestIdentity::from_head(head);
        self.request = CurrentRequest {
            idle_before,
            is_head: head.starts_with(b"HEAD "),
            begun_at: Some(Instant::now()),
            identity,
            pair: RequestPair::new(self.request.identity, identity),
            expiry: ExpiryCorrection::for_head(head),
            ..CurrentRequest::default()
        };
    }

    /// Records the outcome of a request on a connection that was idle before it.
    fn record_reuse(&mut self, outcome: ReuseOutcome) {
        if let Some(idle) = self.request.idle_before.take() {
            self.reuse.record(idle, outcome);
        }
    }

    /// Reads more bytes from the socket. Returns their number, which is 0 at the end of the stream.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.received.reserve(READ_SIZE);
        tokio_util::io::poll_read_buf(Pin::new(&mut self.socket), cx, &mut self.received)
    }

    /// Skips interim responses, reads the head of the final one, and returns the state to read the rest in.
    fn poll_head(&mut self, cx: &mut Context<'_>, mut interim: u32) -> Poll<io::Result<ReadState>> {
        loop {
            match response_head::parse(&self.received)? {
                Some(head) if head.status / 100 == 1 => {
                    self.received.advance(head.length);
                    interim += 1;
                    self.state = ReadState::Head { interim };
                    if interim > MAX_INTERIM_RESPONSES {
                        return Poll::Ready(Err(FramingError::NoFinalResponse.into()));
                    }
                }
                Some(head) => return Poll::Ready(Ok(self.state_after_head(&head))),
                None if self.received.len() >= MAX_HEAD_SIZE => {
                    return Poll::Ready(Err(FramingError::HeadTooLarge.into()))
                }
                None if ready!(self.poll_receive_head(cx))? == 0 => {
                    return Poll::Ready(Ok(ReadState::UntilClose))
                }
                None => self.notify_response_started(),
            }
        }
    }

    /// Reads more bytes of a head, and records whether a reused connection answered or was reset.
    fn poll_receive_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let received = ready!(self.poll_receive(cx));
        let is_answered = received.as_ref().is_ok_and(|count| *count > 0);
        self.record_reuse(if is_answered { ReuseOutcome::Answered } else { ReuseOutcome::Reset });
        Poll::Ready(received)
    }

    /// Reports that the final response has begun, as soon as the first digit of its status shows that it is
    /// not an interim one. Slow endpoints write a head in several parts, so the rest of it may follow late.
    fn notify_response_started(&mut self) {
        let is_final = self.received.get(STATUS_OFFSET).is_some_and(|digit| *digit != b'1');
        if is_final && !self.request.response_started {
            self.request.response_started = true;
            let _ = PROGRESS.try_with(|on_progress| on_progress(AttemptProgress::ResponseStarted));
        }
    }

    /// Determines where the response ends (RFC 9112, 6.3).
    fn state_after_head(&mut self, head: &ResponseHead) -> ReadState {
        self.request.status = head.status;
        self.request.head_remaining = head.length;
        // A rejection may prove that its request never ran, so nothing that could be a second copy of one may
        // be read on this connection.
        self.request.is_last = matches!(head.status, SERVICE_UNAVAILABLE | GATEWAY_TIMEOUT);
        if self.request.is_head || matches!(head.status, 204 | 304) {
            return ReadState::Sized { remaining: head.length as u64 };
        }
        match head.framing {
            BodyFraming::ContentLength(body) => ReadState::Sized { remaining: head.length as u64 + body },
            BodyFraming::Chunked => {
                ReadState::Chunked { head_remaining: head.length, body: ChunkedBody::new() }
            }
            BodyFraming::UntilClose => {
                // In an HTTP/1.1 response without framing headers the library assumes that there is no body.
                // In an HTTP/1.0 response it reads until the connection closes.
                if self.received.starts_with(b"HTTP/1.1") {
                    self.received[MINOR_VERSION_OFFSET] = b'0';
                }
                ReadState::UntilClose
            }
        }
    }

    /// Checks whether an idle connection can be reused. The library reads from it for that, and an end of the
    /// stream says that it cannot. The kernel is asked directly, because tokio's readiness is only as recent
    /// as its last poll of all sockets.
    fn poll_idle(&mut self) -> Poll<io::Result<()>> {
        if self.idle_since.is_some_and(|since| !self.reuse.allows(since.elapsed())) {
            self.state = ReadState::Ended;
            return Poll::Ready(Ok(()));
        }
        match SockRef::from(&self.socket.0).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if is_idle_error(&error) => return Poll::Pending,
            Ok(count) if count > 0 => self.reuse.record_stray_bytes(),
            Ok(_) | Err(_) => {}
        }
        self.state = ReadState::Ended;
        Poll::Ready(Ok(()))
    }

    /// Gives the library the bytes of the response that have been received, including its head.
    fn poll_response(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<ReadResult>> {
        self.inspect_received();
        while self.deliverable() == 0 {
            if self.held.is_some() && self.state.is_complete() {
                ready!(self.poll_held(cx))?;
                if self.request.copy_dropped {
                    return Poll::Ready(Ok(ReadResult::CopyDropped));
                }
                continue;
            }
            if ready!(self.poll_receive(cx))? == 0 {
                return Poll::Ready(self.finish_connection().map(|()| ReadResult::Delivered));
            }
            self.inspect_received();
        }
        let count = self.deliverable().min(out.remaining());
        out.put_slice(&self.received[..count]);
        self.received.advance(count);
        self.inspected -= count;
        self.request.head_remaining = self.request.head_remaining.saturating_sub(count);
        self.request.is_passed_on = true;
        if self.inspected == 0 && self.state.is_complete() {
            self.finish_response();
        }
        Poll::Ready(Ok(ReadResult::Delivered))
    }

    /// Determines how many of the received bytes belong to the response, and compares them with the response
    /// before it.
    fn inspect_received(&mut self) {
        let added = self.state.advance(&self.received[self.inspected..]);
        let end = self.inspected + added;
        let is_complete = self.state.is_complete();
        let comparison = self.comparison.add(&self.received[self.inspected..end], is_complete);
        self.inspected = end;
        if let Some(comparison) = comparison {
            self.handle_comparison(comparison);
        }
    }

    /// Holds the response if it may be a second copy of the one before it. The connection carries no request
    /// after a response that is equal to the one before it, because the true one might follow then.
    fn handle_comparison(&mut self, comparison: Comparison) {
        let response_time = self.request.begun_at.map_or(Duration::ZERO, |at| at.elapsed());
        let CurrentRequest { pair, identity, .. } = self.request;
        let is_allowed = self.reuse.repeats().allows(pair, identity, comparison, response_time);
        self.request.is_last |= comparison == Comparison::Equal;
        // Only the content of a response that is served matters. A second equal response is no copy of a copy.
        if !is_allowed && self.request.status == OK && !self.request.copy_dropped {
            self.held = Some(HeldResponse::default());
        }
    }

    /// Returns how many bytes the library may read now. The body is held back until it differs from the
    /// response before. Of a held response the end is held back. A response that ends with the connection is
    /// no copy, because the one before it did not.
    fn deliverable(&self) -> usize {
        if self.state == ReadState::UntilClose {
            return self.inspected;
        }
        if self.comparison.is_undecided() {
            return self.inspected.min(self.request.head_remaining);
        }
        match &self.held {
            Some(_) if self.state.is_complete() => 0,
            Some(_) => self.inspected.saturating_sub(1),
            None => self.inspected,
        }
    }

    /// Waits until another response follows the held one, which shows that the held one is a copy, or until
    /// the wait is over.
    ///
    /// # Errors
    /// The response can't be served: it is a copy of which a part has been passed on, or it is not known
    /// whether it is a copy.
    fn poll_held(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.received.len() > self.inspected {
            return Poll::Ready(self.drop_copy());
        }
        match self.poll_receive(cx) {
            Poll::Ready(Ok(0)) => {
                self.state = ReadState::Ended;
                Poll::Ready(Err(io::ErrorKind::UnexpectedEof.into()))
            }
            Poll::Ready(Ok(_)) => Poll::Ready(self.drop_copy()),
            Poll::Ready(Err(error)) => Poll::Ready(Err(error)),
            Poll::Pending => {
                ready!(self.poll_hold_time(cx));
                Poll::Ready(self.end_hold())
            }
        }
    }

    /// Drops the held response, which is a copy. The next one answers the request.
    fn drop_copy(&mut self) -> io::Result<()> {
        self.held = None;
        self.reuse.record_stray_bytes();
        self.reuse.repeats().record_copy(self.request.pair);
        if self.request.is_passed_on {
            self.state = ReadState::Ended;
            return Err(FramingError::RepeatedResponse.into());
        }
        self.received.advance(self.inspected);
        self.inspected = 0;
        self.comparison.next_response();
        self.request.copy_dropped = true;
        self.state = ReadState::Head { interim: 0 };
        Ok(())
    }

    /// Ends the wait for another response, of which none came.
    fn end_hold(&mut self) -> io::Result<()> {
        self.held = None;
        if self.reuse.repeats().record_genuine(self.request.pair) {
            return Ok(());
        }
        self.state = ReadState::Ended;
        Err(FramingError::RepeatedResponse.into())
    }

    fn poll_hold_time(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let hold_time = self.hold_time();
        let Some(held) = &mut self.held else { return Poll::Ready(()) };
        let wait = held.wait.get_or_insert_with(|| Box::pin(tokio::time::sleep(hold_time)));
        wait.as_mut().poll(cx)
    }

    /// Returns how long the response is held: at most for half the time that the attempt has left.
    fn hold_time(&self) -> Duration {
        let max_hold = self.reuse.repeats().max_hold(self.request.pair);
        let deadline = DEADLINE.try_with(|deadline| *deadline).ok().flatten();
        let Some(deadline) = deadline else { return max_hold.min(DEFAULT_HOLD) };
        let half = deadline.saturating_duration_since(Instant::now()) / 2;
        let limit = if self.request.is_passed_on { half.min(DEFAULT_HOLD) } else { half };
        max_hold.min(limit)
    }

    /// Handles the end of the connection within a response. A chunked body is incomplete then (RFC 9112, 8),
    /// which the library would not notice, so it is reported as an error.
    fn finish_connection(&mut self) -> io::Result<()> {
        let is_truncated = matches!(self.state, ReadState::Chunked { .. });
        self.state = ReadState::Ended;
        if is_truncated {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// Handles the end of a response. Bytes received after it belong to no request.
    fn finish_response(&mut self) {
        self.state = if self.request.is_last { ReadState::Ended } else { ReadState::Idle };
        if !self.received.is_empty() {
            self.reuse.record_stray_bytes();
            self.state = ReadState::Ended;
        }
        self.received = BytesMut::new();
        self.inspected = 0;
        self.idle_since = Some(Instant::now());
    }
}

/// Returns whether a failed peek means that the connection is open and no bytes have been received.
fn is_idle_error(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl Drop for EndpointConnection {
    /// Resets a connection whose request is given up: the system would go on sending what it has buffered of the
    /// request, and the endpoint would run it later.
    fn drop(&mut self) {
        if matches!(self.state, ReadState::Head { .. }) && !self.request.response_started {
            let _ = SockRef::from(&self.socket.0).set_linger(Some(Duration::ZERO));
        }
    }
}

impl AsyncRead for EndpointConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        loop {
            if let ReadState::Head { interim } = self.state {
                let next = ready!(self.poll_head(cx, interim));
                self.state = next.inspect_err(|_| self.state = ReadState::Ended)?;
            }
            match self.state {
                ReadState::Idle => return self.poll_idle(),
                ReadState::Head { .. } | ReadState::Ended => return Poll::Ready(Ok(())),
                ReadState::Sized { .. } | ReadState::Chunked { .. } | ReadState::UntilClose => {
                    match ready!(self.poll_response(cx, out))? {
                        ReadResult::Delivered => return Poll::Ready(Ok(())),
                        ReadResult::CopyDropped => {}
                    }
                }
            }
        }
    }
}

impl AsyncWrite for EndpointConnection {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.state == ReadState::Idle {
            self.begin_request(bytes);
        }
        let this = &mut *self;
        let corrected = this.request.expiry.as_ref().and_then(|expiry| expiry.next(bytes));
        let written = ready!(Pin::new(&mut this.socket).poll_write(cx, corrected.unwrap_or(bytes)))?;
        if corrected.is_none() {
            this.request.expiry = None;
        } else if let Some(expiry) = &mut this.request.expiry {
            expiry.record_written(written);
        }
        Poll::Ready(Ok(written))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl ActixStream for EndpointConnection {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket, cx)
    }
}
