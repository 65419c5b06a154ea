//! A connection to an endpoint as the HTTP library reads it: one final response for each request, and not a byte more.

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

/// The longest head of a response, in bytes.
const MAX_HEAD: usize = 16 * 1024;
/// The most interim (1xx) responses before a final one (RFC 9110, 15.2).
const MAX_INTERIM_RESPONSES: u32 = 16;
/// Where the first digit of the status stands in a head, in bytes.
const STATUS_OFFSET: usize = 9;
/// Where the minor digit of the version stands in a head, in bytes.
const MINOR_VERSION_OFFSET: usize = 7;
/// How much is read from the socket at a time at least, in bytes.
const READ_SIZE: usize = 8 * 1024;

/// What is read at present.
#[derive(Debug, PartialEq)]
enum ReadState {
    /// No response is expected: whatever comes belongs to no request.
    Idle,
    /// The head of a response.
    Head {
        /// Interim responses that came before it.
        interim: u32,
    },
    /// A response of known length.
    Sized {
        /// Bytes of head and body that are still to be passed on.
        remaining: u64,
    },
    /// A response with a chunked body.
    Chunked {
        /// Bytes of the head that are still to be passed on.
        head_remaining: usize,
        /// How far the body has come.
        body: ChunkedBody,
    },
    /// A response that ends with its connection.
    UntilClose,
    /// Nothing more is read: bytes came that belong to no request, or that are malformed.
    Ended,
}

/// The request that is on the connection, or was last.
#[derive(Debug, Default)]
struct CurrentRequest {
    /// How long the connection was idle before it; taken once that is recorded, `None` for the first request.
    idle_before: Option<Duration>,
    /// Its method is HEAD: no body follows (RFC 9112, 6.3, item 1).
    is_head: bool,
    /// Its final response has begun to come.
    response_started: bool,
    /// What its head is to say of the time that is left.
    expiry: Option<ExpiryCorrection>,
}

/// One connection.
#[derive(Debug)]
pub struct EndpointConnection {
    socket: Uninterrupted<TcpStream>,
    state: ReadState,
    /// Read from the socket and not passed on yet.
    received: BytesMut,
    reuse: Rc<EndpointReuse>,
    _open: OpenConnection,
    /// Since when no response is expected; `None` before the first request.
    idle_since: Option<Instant>,
    request: CurrentRequest,
}

impl EndpointConnection {
    /// A connection that is established.
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

    fn begin_request(&mut self, head: &[u8]) {
        self.state = ReadState::Head { interim: 0 };
        let idle_before = self.idle_since.map(|since| since.elapsed());
        // Where nobody waits for progress there is nobody to notify.
        let _ = PROGRESS.try_with(|notify| notify(AttemptProgress::WriteStarted));
        self.request = CurrentRequest {
            idle_before,
            is_head: head.starts_with(b"HEAD "),
            response_started: false,
            expiry: ExpiryCorrection::for_head(head),
        };
    }

    /// Records what became of a request on a connection that was idle before it.
    fn record_reuse(&mut self, outcome: ReuseOutcome) {
        if let Some(idle) = self.request.idle_before.take() {
            self.reuse.record(idle, outcome);
        }
    }

    /// Reads more bytes from the socket; how many came, 0 at its end.
    fn poll_receive(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.received.reserve(READ_SIZE);
        tokio_util::io::poll_read_buf(Pin::new(&mut self.socket), cx, &mut self.received)
    }

    /// Reads as far as the final response's head, passes over interim ones, and says what is read next.
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
                None if self.received.len() >= MAX_HEAD => {
                    return Poll::Ready(Err(FramingError::HeadTooLarge.into()))
                }
                None if ready!(self.poll_receive_head(cx))? == 0 => {
                    return Poll::Ready(Ok(ReadState::UntilClose))
                }
                None => self.notify_response_started(),
            }
        }
    }

    fn poll_receive_head(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        let received = ready!(self.poll_receive(cx));
        let is_answered = received.as_ref().is_ok_and(|count| *count > 0);
        self.record_reuse(if is_answered { ReuseOutcome::Answered } else { ReuseOutcome::Reset });
        Poll::Ready(received)
    }

    /// Slow endpoints write a head in pieces: past the first digit of its status it is no interim response.
    fn notify_response_started(&mut self) {
        let is_final = self.received.get(STATUS_OFFSET).is_some_and(|digit| *digit != b'1');
        if is_final && !self.request.response_started {
            self.request.response_started = true;
            let _ = PROGRESS.try_with(|notify| notify(AttemptProgress::ResponseStarted));
        }
    }

    /// Where the response ends (RFC 9112, 6.3).
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
                // Of HTTP/1.1 the library takes such a response for one without a body.
                if self.received.starts_with(b"HTTP/1.1") {
                    self.received[MINOR_VERSION_OFFSET] = b'0';
                }
                ReadState::UntilClose
            }
        }
    }

    /// The library reads from an idle connection to see whether it can be used again; an end says that it can't. The system
    /// is asked: what tokio knows of the socket is as old as its last look at all of them.
    fn poll_idle(&mut self) -> Poll<io::Result<()>> {
        if self.idle_since.is_some_and(|since| !self.reuse.allows(since.elapsed())) {
            self.state = ReadState::Ended;
            return Poll::Ready(Ok(()));
        }
        match SockRef::from(&self.socket.0).peek(&mut [MaybeUninit::uninit()]) {
            Err(error) if is_quiet(&error) => return Poll::Pending,
            Ok(count) if count > 0 => self.reuse.stray_bytes_received(),
            Ok(_) | Err(_) => {}
        }
        self.state = ReadState::Ended;
        Poll::Ready(Ok(()))
    }

    /// Passes on what has come of the response, head included.
    fn poll_response(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.received.is_empty() && ready!(self.poll_receive(cx))? == 0 {
            return Poll::Ready(self.end_of_connection());
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

    /// The library would take the chunks that came for all of them (RFC 9112, 8).
    fn end_of_connection(&mut self) -> io::Result<()> {
        let is_truncated = matches!(self.state, ReadState::Chunked { .. });
        self.state = ReadState::Ended;
        if is_truncated {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        Ok(())
    }

    /// What came behind the response belongs to no request.
    fn finish_response(&mut self) {
        self.state = ReadState::Idle;
        if !self.received.is_empty() {
            self.reuse.stray_bytes_received();
            self.state = ReadState::Ended;
        }
        self.received = BytesMut::new();
        self.idle_since = Some(Instant::now());
    }
}

impl ReadState {
    /// How many of these bytes belong to the response; they count as passed on.
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

    /// All of the response is passed on.
    fn is_complete(&self) -> bool {
        match self {
            ReadState::Sized { remaining } => *remaining == 0,
            ReadState::Chunked { body, .. } => *body == ChunkedBody::Complete,
            _ => false,
        }
    }
}

/// Nothing has come, and the connection is still there.
fn is_quiet(error: &io::Error) -> bool {
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
        let wrote = ready!(Pin::new(&mut this.socket).poll_write(cx, corrected.unwrap_or(bytes)))?;
        if corrected.is_none() {
            this.request.expiry = None;
        } else if let Some(expiry) = &mut this.request.expiry {
            expiry.wrote(wrote);
        }
        Poll::Ready(Ok(wrote))
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
