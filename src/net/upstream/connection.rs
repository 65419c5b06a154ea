//! A connection to an endpoint, which lets the HTTP library read exactly one final response for each request
//! and no bytes beyond it.

use super::attempt_context::PROGRESS;
use super::chunked::ChunkedBody;
use super::expiry_header::ExpiryCorrection;
use super::keep_alive::{EndpointReuse, ReuseOutcome};
use super::open_connections::OpenConnection;
use super::response_head::{self, BodyFraming, FramingError, ResponseHead};
use crate::broker::AttemptProgress;
use crate::runtime::sockets::Uninterrupted;
use actix_rt::net::{ActixStream, Ready};
use bytes::{Buf, BytesMut};
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The largest head of a response, in bytes.
const MAX_HEAD_SIZE: usize = 16 * 1024;
/// The maximum number of interim (1xx) responses before a final one (RFC 9110, 15.2).
const MAX_INTERIM_RESPONSES: u32 = 16;
/// The offset of the first digit of the status code in a head, in bytes.
const STATUS_OFFSET: usize = 9;
/// The offset of the minor version digit in a head, in bytes.
const MINOR_VERSION_OFFSET: usize = 7;
/// The least buffer space for one read from the socket, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// What is being read from the connection.
#[derive(Debug, PartialEq)]
enum ReadState {
    /// No response is expected, so any bytes that arrive belong to no request.
    Idle,
    /// The head of a response.
    Head {
        /// The number of interim responses that preceded it.
        interim: u32,
    },
    /// A response of known length.
    Sized {
        /// Bytes of the head and the body that the library has not read yet.
        remaining: u64,
    },
    /// A response with a chunked body.
    Chunked {
        /// Bytes of the head that the library has not read yet.
        head_remaining: usize,
        /// The position in the body.
        body: ChunkedBody,
    },
    /// A response that ends with its connection.
    UntilClose,
    /// Nothing more is read, and the connection is not reused: it was closed or reset, has been idle for too
    /// long, or sent bytes that belong to no request or are malformed.
    Ended,
}

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
    reuse: Rc<EndpointReuse>,
    _open: OpenConnection,
    /// When the last response was complete. `None` before the first one.
    idle_since: Option<Instant>,
    request: CurrentRequest,
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
        }
    }

    /// Begins a request whose first bytes are `head`.
    fn begin_request(&mut self, head: &[u8]) {
        self.state = ReadState::Head { interim: 0 };
        let idle_before = self.idle_since.map(|since| since.elapsed());
        // Fails only outside an attempt, where no callback is set.
        let _ = PROGRESS.try_with(|on_progress| on_progress(AttemptProgress::WriteStarted));
        self.request = CurrentRequest {
            idle_before,
            is_head: head.starts_with(b"HEAD "),
            response_started: false,
            expiry: ExpiryCorrection::for_head(head),
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
    fn poll_response(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.received.is_empty() && ready!(self.poll_receive(cx))? == 0 {
            return Poll::Ready(self.finish_connection());
        }
        let available = self.received.len().min(out.remaining());
        let count = self.state.advance(&self.received[..available]);
        out.put_slice(&self.received[..count]);
        self.received.advance(count);
        if self.state.is_complete() {
            self.finish_response();
        }
        Poll::Ready(Ok(()))
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
        self.state = ReadState::Idle;
        if !self.received.is_empty() {
            self.reuse.record_stray_bytes();
            self.state = ReadState::Ended;
        }
        self.received = BytesMut::new();
        self.idle_since = Some(Instant::now());
    }
}

impl ReadState {
    /// Returns how many of `bytes` belong to the response, and counts them as read by the library.
    fn advance(&mut self, bytes: &[u8]) -> usize {
        match self {
            ReadState::Sized { remaining } => {
                let count = bytes.len().min(usize::try_from(*remaining).unwrap_or(usize::MAX));
                *remaining -= count as u64;
                count
            }
            ReadState::Chunked { head_remaining, .. } if *head_remaining > 0 => {
                let count = bytes.len().min(*head_remaining);
                *head_remaining -= count;
                count
            }
            ReadState::Chunked { body, .. } => body.advance(bytes),
            ReadState::UntilClose => bytes.len(),
            ReadState::Idle | ReadState::Head { .. } | ReadState::Ended => 0,
        }
    }

    /// Returns whether the library has read the whole response.
    fn is_complete(&self) -> bool {
        match self {
            ReadState::Sized { remaining } => *remaining == 0,
            ReadState::Chunked { body, .. } => *body == ChunkedBody::Complete,
            _ => false,
        }
    }
}

/// Returns whether a failed peek means that the connection is open and no bytes have been received.
fn is_idle_error(error: &io::Error) -> bool {
    matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::Interrupted)
}

impl AsyncRead for EndpointConnection {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if let ReadState::Head { interim } = self.state {
            let next = ready!(self.poll_head(cx, interim));
            self.state = next.inspect_err(|_| self.state = ReadState::Ended)?;
        }
        match self.state {
            ReadState::Idle => self.poll_idle(),
            ReadState::Head { .. } | ReadState::Ended => Poll::Ready(Ok(())),
            ReadState::Sized { .. } | ReadState::Chunked { .. } | ReadState::UntilClose => {
                self.poll_response(cx, out)
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
