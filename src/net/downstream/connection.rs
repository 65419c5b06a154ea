//! The state of one client connection: its stage, since when it is in it, and whether that stage has timed
//! out.
//!
//! actix-http has one timeout for a connection's first head, one for an idle connection and none for a
//! body. It reads up to 128 KiB of a head. Here each of these has a limit of its own.

use super::memory::ConnectionMemory;
use super::read_ahead::ArrivalTimes;
use super::request_framing::{BodyEnd, RequestFraming, RequestPart};
use super::request_ids::ConnectionNumber;
use crate::net::upstream::request_body::ArrivedBytes;
use crate::runtime::sockets::Uninterrupted;
use futures_util::FutureExt;
use rustix::io::ioctl_fionread;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::rc::Weak;
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long after the connect the first byte may arrive. A client that connects has a request to send.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// How long a head may take from its first byte, or from the connect if it is the connection's first. Slow
/// clients take 2 s for a head, and a connection with an incomplete request must be closed within 3 s of the
/// connect.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// The minimum rate of a body, in bytes per second. Slow clients send 64 kB per second.
const MIN_BODY_RATE: f64 = 48e3;
/// How far a body may lag behind the minimum rate.
const BODY_SLACK: Duration = Duration::from_millis(2000);
/// How long a closing connection is read after the last response, until the client closes it too.
const CLOSING_TIMEOUT: Duration = Duration::from_millis(2100);
/// The same at a shutdown, which has to end before the process is killed.
const CLOSING_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(300);
/// How long after the connect the first byte may arrive while the connection limit is reached.
const FIRST_BYTE_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(100);
/// How long a closing connection is read while the connection limit is reached.
const CLOSING_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);
/// The maximum time between two reads of an incomplete request while the connection limit is reached, or while
/// others wait for memory.
pub(super) const READ_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(700);
/// How long a connection must have been idle to count as long idle during a drain: its next request is not
/// expected at this instant.
const LONG_IDLE: Duration = Duration::from_millis(250);
/// The maximum length of a head, in bytes.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// The stage of a connection, or of the request on it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// No byte has arrived yet.
    New,
    /// The first bytes of a request have arrived.
    ReadingHead,
    /// The head is complete, and the body is being buffered.
    ReadingBody,
    /// The body is streamed to the endpoint, at the pace at which the endpoint reads it.
    StreamingBody,
    /// The request is complete, and is waiting for its response.
    InProgress,
    /// Every request has been answered.
    Idle,
    /// The last response is being sent. Further bytes are read and dropped: closing with unread bytes would
    /// reset the connection, and the response could be lost.
    Closing,
}

/// When connections close during a drain, counted from the beginning of the drain.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainSchedule {
    /// From then on, connections that have been idle for longer than [`LONG_IDLE`] close.
    pub(super) close_long_idle_after: Duration,
    /// From then on, all connections without a request close.
    pub(super) close_all_idle_after: Duration,
}

/// What the HTTP library is given next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum NextPart {
    /// The next head, which is not known to be complete.
    Head,
    /// This many bytes of a head.
    RestOfHead(usize),
    /// Bytes of a body.
    Body,
    /// Nothing before it has parsed a head, or answered the request.
    Nothing,
}

/// One client's connection.
#[derive(Debug)]
pub struct Connection {
    /// A number that no other connection of the process has.
    pub(super) number: ConnectionNumber,
    pub(super) stage: Cell<Stage>,
    stage_since: Cell<Instant>,
    /// The number of bytes read in the present stage: of a head, of a body, or of pipelined requests.
    pub(super) stage_bytes: Cell<usize>,
    /// When bytes were last read.
    pub(super) last_read_at: Cell<Instant>,
    /// Wakes the task that waits to read from the connection.
    pub(super) reader: RefCell<Option<Waker>>,
    /// Notified when the connection is to be closed at once.
    pub(super) close_requested: Notify,
    /// Whether the connection is to close as soon as it has no request and no unread bytes.
    pub(super) closes_when_idle: Cell<bool>,
    /// Whether the client sent more pipelined requests than are held.
    pub(super) read_ahead_overflowed: Cell<bool>,
    /// The position in the client's requests.
    pub(super) framing: RefCell<RequestFraming>,
    /// Whether a part of a response could not be written yet.
    pub(super) is_write_blocked: Cell<bool>,
    /// The number of bytes that are held outside actix-http.
    pub(super) read_ahead_bytes: Cell<usize>,
    /// The bytes of a body that the library was given since its reader last took some.
    body_given: Cell<usize>,
    /// Whether the reader of a body waits for more bytes.
    is_body_awaited: Cell<bool>,
    /// The memory that the connection holds.
    pub(super) memory: ConnectionMemory,
    /// When the bytes of the requests arrived.
    pub(super) arrivals: RefCell<ArrivalTimes>,
    socket: Weak<RefCell<Uninterrupted<TcpStream>>>,
}

impl Connection {
    /// Creates the state of a connection that was just accepted.
    pub(super) fn new(
        number: ConnectionNumber,
        socket: Weak<RefCell<Uninterrupted<TcpStream>>>,
        memory: ConnectionMemory,
    ) -> Self {
        Connection {
            number,
            stage: Cell::new(Stage::New),
            stage_since: Cell::new(Instant::now()),
            stage_bytes: Cell::new(0),
            last_read_at: Cell::new(Instant::now()),
            reader: RefCell::new(None),
            close_requested: Notify::new(),
            closes_when_idle: Cell::new(false),
            read_ahead_overflowed: Cell::new(false),
            framing: RefCell::default(),
            is_write_blocked: Cell::new(false),
            read_ahead_bytes: Cell::new(0),
            body_given: Cell::new(0),
            is_body_awaited: Cell::new(false),
            memory,
            arrivals: RefCell::default(),
            socket,
        }
    }

    /// Enters a stage, resets its byte count, and wakes the reader.
    pub(super) fn enter(&self, stage: Stage) {
        // The timeout of a connection's first head runs from the connect.
        if (self.stage.get(), stage) != (Stage::New, Stage::ReadingHead) {
            self.stage_since.set(Instant::now());
        }
        self.stage.set(stage);
        self.stage_bytes.set(0);
        self.wake_reader();
    }

    /// Wakes the task that waits to read from the connection.
    pub(super) fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Records that the library has parsed a request's head, and that this body follows.
    pub fn head_complete(&self, body: BodyEnd) {
        self.framing.borrow_mut().head_parsed(body);
        self.body_given.set(0);
        self.is_body_awaited.set(false);
        self.enter(Stage::ReadingBody);
    }

    /// Returns what the library is given next.
    pub(super) fn next_part(&self) -> NextPart {
        match self.framing.borrow_mut().part() {
            RequestPart::Head { remaining: 0 } => NextPart::Head,
            RequestPart::Head { remaining } => NextPart::RestOfHead(*remaining),
            RequestPart::Body(_) => NextPart::Body,
            RequestPart::ParsingHead | RequestPart::Complete => NextPart::Nothing,
        }
    }

    /// Records that the library was given bytes of a body.
    pub(super) fn body_given(&self, bytes: usize) {
        self.body_given.set(self.body_given.get() + bytes);
    }

    /// Records that the reader of a body took bytes of it.
    pub(super) fn body_taken(&self) {
        self.body_given.set(0);
        self.is_body_awaited.set(false);
    }

    /// Records that the reader of a body waits for more bytes.
    pub(super) fn body_awaited(&self) {
        if !self.is_body_awaited.replace(true) {
            self.wake_reader();
        }
    }

    /// Returns whether the library is to be given bytes: it holds no more than `max_unwanted` bytes of a body
    /// for which nobody waits.
    pub(super) fn wants_bytes(&self, max_unwanted: usize) -> bool {
        let is_body = matches!(self.stage.get(), Stage::ReadingBody | Stage::StreamingBody);
        !is_body || self.is_body_awaited.get() || self.body_given.get() < max_unwanted
    }

    /// Records that the core has the request, and that its body is being streamed.
    pub fn body_streaming(&self) {
        self.enter(Stage::StreamingBody);
    }

    /// Records that the request is complete. The response has no timeout here.
    pub fn request_in_progress(&self) {
        self.enter(Stage::InProgress);
    }

    /// Records that the last response is being sent, after which the connection closes.
    pub fn closing(&self) {
        self.enter(Stage::Closing);
    }

    /// Records that the request's response is being sent. Pipelined requests are read next.
    pub fn answered(&self) {
        self.memory.request_ended();
        self.framing.borrow_mut().answered();
        if self.stage.get() == Stage::Closing {
            return;
        }
        let next_has_begun = self.has_requests_waiting();
        self.enter(if next_has_begun { Stage::ReadingHead } else { Stage::Idle });
    }

    /// Takes a complete request of `bytes` bytes, and returns when its last byte arrived. That may be long
    /// ago if the request was pipelined.
    pub fn request_arrived(&self, bytes: u64) -> Instant {
        self.arrivals.borrow_mut().take(bytes).unwrap_or_else(Instant::now)
    }

    /// Returns the bytes that have arrived of the request that is being read, and of pipelined ones behind it.
    pub fn arrived_bytes(&self) -> ArrivedBytes {
        let unread = self.unread_bytes();
        ArrivedBytes { total: self.arrivals.borrow().untaken() + unread, unread }
    }

    /// Returns how many bytes can be read from the socket, or 1 if their number is not available.
    pub(super) fn unread_bytes(&self) -> u64 {
        let Some(socket) = self.socket.upgrade() else { return 0 };
        let socket = socket.borrow();
        ioctl_fionread(&socket.0).unwrap_or_else(|_| {
            let peeked = SockRef::from(&socket.0).peek(&mut [MaybeUninit::uninit()]);
            u64::from(peeked.is_ok_and(|count| count > 0))
        })
    }

    /// Waits until the connection is to be closed at once.
    pub async fn close_requested(&self) {
        self.close_requested.notified().await;
    }

    /// Returns whether the client sent more pipelined requests than are held. None of them can be served, and
    /// the connection closes after the present response.
    pub fn has_read_ahead_overflowed(&self) -> bool {
        self.read_ahead_overflowed.get()
    }

    /// Returns whether pipelined requests are held, so that the connection cannot close after the present
    /// response.
    pub fn has_requests_waiting(&self) -> bool {
        self.read_ahead_bytes.get() > 0 && !self.has_read_ahead_overflowed()
    }

    /// Checks the length of an incomplete head of which `length` bytes have arrived.
    ///
    /// # Errors
    /// The head is longer than 32 KiB.
    pub(super) fn check_head_size(&self, length: usize) -> io::Result<()> {
        if length > MAX_HEAD_BYTES {
            let message = format!("the request head is longer than {MAX_HEAD_BYTES} bytes");
            return Err(io::Error::new(io::ErrorKind::InvalidData, message));
        }
        Ok(())
    }

    /// Returns whether there is no request on the connection.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage.get(), Stage::New | Stage::Idle)
    }

    /// Returns whether there is a request with a complete head that has not been answered.
    pub(super) fn has_request(&self) -> bool {
        matches!(self.stage.get(), Stage::ReadingBody | Stage::StreamingBody | Stage::InProgress)
    }

    /// Returns whether the client has closed the connection, or its sending half, after whatever is still
    /// unread.
    pub(super) fn is_closed_by_client(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        let socket = socket.borrow();
        let ready = socket.0.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Makes the connection end as if the client had closed it, unless it has a request or unread bytes.
    pub(super) fn close_when_idle(&self) {
        self.closes_when_idle.set(true);
        self.wake_reader();
    }

    /// Returns whether the connection is to close at `now` in a drain that began at `since`: first
    /// connections that have been idle for long, later all without a request.
    pub(super) fn is_due_to_drain(&self, now: Instant, since: Instant, schedule: DrainSchedule) -> bool {
        let draining_for = now.saturating_duration_since(since);
        let idle_for = now.saturating_duration_since(self.stage_since.get());
        let long_idle = draining_for > schedule.close_long_idle_after && idle_for > LONG_IDLE;
        self.is_idle() && (draining_for > schedule.close_all_idle_after || long_idle)
    }

    /// Returns whether all requests were answered longer than `timeout` ago.
    pub(super) fn is_idle_longer_than(&self, now: Instant, timeout: Duration) -> bool {
        self.stage.get() == Stage::Idle && now.saturating_duration_since(self.stage_since.get()) > timeout
    }

    /// Returns whether the present stage has timed out. Timeouts are shorter if the connection limit is
    /// reached (`full`) and at a shutdown. A client whose bytes wait to be read is not late.
    pub(super) fn is_timed_out(&self, now: Instant, full: bool, shutting_down: bool) -> bool {
        let waits_for_client =
            matches!(self.stage.get(), Stage::New | Stage::ReadingHead | Stage::ReadingBody);
        self.has_stage_timed_out(now, full, shutting_down)
            && !(waits_for_client && !self.memory.is_starved() && self.unread_bytes() > 0)
    }

    fn has_stage_timed_out(&self, now: Instant, full: bool, shutting_down: bool) -> bool {
        let silent_for = now.saturating_duration_since(self.last_read_at.get());
        let timeout = match self.stage.get() {
            // The head is not read before the response to the last request is written.
            Stage::ReadingHead if self.is_write_blocked.get() => return false,
            Stage::New if full => FIRST_BYTE_TIMEOUT_WHEN_FULL,
            Stage::New => FIRST_BYTE_TIMEOUT,
            Stage::Closing if full => CLOSING_TIMEOUT_WHEN_FULL,
            Stage::ReadingHead | Stage::ReadingBody if full && silent_for > READ_TIMEOUT_WHEN_FULL => {
                return true;
            }
            Stage::ReadingHead => HEAD_TIMEOUT,
            Stage::ReadingBody => self.body_timeout(),
            Stage::Closing if shutting_down => CLOSING_TIMEOUT_AT_SHUTDOWN,
            Stage::Closing => CLOSING_TIMEOUT,
            Stage::Idle | Stage::InProgress | Stage::StreamingBody => return false,
        };
        now.saturating_duration_since(self.stage_since.get()) > timeout
    }

    /// Returns how much the connection holds for a request that is not complete, weighted by how long it has
    /// been incomplete. `None` if it has no such request, if bytes of the request wait to be read, or if bytes
    /// came within the last `max_silence`.
    pub(super) fn incomplete_request_weight(&self, now: Instant, max_silence: Duration) -> Option<u64> {
        let is_incomplete = match self.stage.get() {
            Stage::ReadingHead => true,
            // Somebody waits for more of the body, so its client has not sent all of it.
            Stage::ReadingBody | Stage::StreamingBody => self.is_body_awaited.get(),
            _ => false,
        };
        let silent_for = now.saturating_duration_since(self.last_read_at.get());
        let held = self.memory.request_bytes() as u64;
        if !is_incomplete || held == 0 || silent_for < max_silence || self.unread_bytes() > 0 {
            return None;
        }
        let age = now.saturating_duration_since(self.stage_since.get());
        Some(held * age.as_millis() as u64)
    }

    /// Returns how much the connection holds beside what every open connection does, weighted by how long it has been
    /// in its stage; `None`: nothing.
    pub(super) fn held_weight(&self, now: Instant) -> Option<u64> {
        let held = self.memory.held_bytes() as u64;
        let age = now.saturating_duration_since(self.stage_since.get());
        (held > 0).then(|| held * (1 + age.as_millis() as u64))
    }

    /// Returns how long the bytes of the body that have arrived may have taken since the head was complete.
    fn body_timeout(&self) -> Duration {
        BODY_SLACK + Duration::from_secs_f64(self.stage_bytes.get() as f64 / MIN_BODY_RATE)
    }
}
