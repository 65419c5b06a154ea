//! The state of one client connection: what it is doing, since when, and whether its time is over.
//!
//! actix-http has one clock for a connection's first head, one for an idle connection and none for a body, and reads up
//! to 128 KiB of a head and as much again of requests sent ahead. Here each of these has a bound of its own.

use super::read_ahead::ArrivalTimes;
use crate::runtime::sockets::Uninterrupted;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Weak;
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// A client that connects has something to ask: its first byte comes within this time.
const FIRST_BYTE_TIMEOUT: Duration = Duration::from_secs(2);
/// A head is complete within this time of its first byte; a connection's first one within this time of the connect. Slow
/// clients take 2 s, and half a request is owed an end within 3 s of the connect.
const HEAD_TIMEOUT: Duration = Duration::from_millis(2500);
/// A body comes at this rate, in bytes a second; slow clients send 64 kB a second.
const MIN_BODY_RATE: f64 = 48e3;
/// A body may be this far behind that rate.
const BODY_SLACK: Duration = Duration::from_millis(2000);
/// What still comes behind a last answer is read for this long,
const CLOSING_TIMEOUT: Duration = Duration::from_millis(2100);
/// and for this long at a shutdown, which ends before a kill.
const CLOSING_TIMEOUT_AT_SHUTDOWN: Duration = Duration::from_millis(300);
/// While no place is left for others, a connection on which nothing came yet has this long,
const FIRST_BYTE_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(100);
/// one that is closing this long,
const CLOSING_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);
/// and one whose request has begun this long between two reads.
const READ_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(700);
/// On a connection that has been idle for this long the next request is not expected just now.
const IDLE_BEFORE_DRAIN: Duration = Duration::from_millis(250);
/// The longest head, in bytes, with what of its body is read along with it.
const MAX_HEAD_BYTES: usize = 32 * 1024;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Nothing has come yet.
    New,
    /// A request has begun to come.
    ReadingHead,
    /// Its head is complete.
    ReadingBody,
    /// Its body is passed on as it comes, at the pace of who takes it.
    StreamingBody,
    /// The core has the request.
    InProgress,
    /// Every request is answered.
    Idle,
    /// It ends; what still comes is read and dropped, so that the last answer is not lost by a reset.
    Closing,
}

/// When connections close while clients are to go elsewhere, counted from when that began.
#[derive(Clone, Copy, Debug)]
pub(super) struct DrainTimes {
    /// From then on those that have been idle for a while close,
    pub(super) idle: Duration,
    /// and from then on all on which there is no request.
    pub(super) all: Duration,
}

/// One client's connection.
#[derive(Debug)]
pub struct Connection {
    pub(super) stage: Cell<Stage>,
    stage_since: Cell<Instant>,
    /// Bytes of the head that is coming, or sent ahead of an answer.
    pub(super) stage_bytes: Cell<usize>,
    /// When the last byte came.
    pub(super) last_read_at: Cell<Instant>,
    /// The task that reads the connection, while it waits.
    pub(super) reader: RefCell<Option<Waker>>,
    /// Notified when the connection is to be closed at once.
    pub(super) close: Notify,
    /// The connection ends once nothing more has come on it.
    pub(super) closes_when_idle: Cell<bool>,
    /// More came ahead of an answer than is held.
    pub(super) flooded: Cell<bool>,
    /// Bytes that were read ahead of an answer and wait for their turn.
    pub(super) read_ahead_bytes: Cell<usize>,
    /// When what came on the connection came.
    pub(super) arrivals: RefCell<ArrivalTimes>,
    socket: Weak<RefCell<Uninterrupted<TcpStream>>>,
}

impl Connection {
    /// A connection that was just accepted.
    pub(super) fn new(socket: Weak<RefCell<Uninterrupted<TcpStream>>>) -> Self {
        Connection {
            stage: Cell::new(Stage::New),
            stage_since: Cell::new(Instant::now()),
            stage_bytes: Cell::new(0),
            last_read_at: Cell::new(Instant::now()),
            reader: RefCell::new(None),
            close: Notify::new(),
            closes_when_idle: Cell::new(false),
            flooded: Cell::new(false),
            read_ahead_bytes: Cell::new(0),
            arrivals: RefCell::default(),
            socket,
        }
    }

    pub(super) fn enter(&self, stage: Stage) {
        // A connection's first head counts from the connect.
        if (self.stage.get(), stage) != (Stage::New, Stage::ReadingHead) {
            self.stage_since.set(Instant::now());
        }
        self.stage.set(stage);
        self.stage_bytes.set(0);
        self.wake_reader();
    }

    fn wake_reader(&self) {
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// A request's head is complete; its body may be still to come.
    pub fn head_complete(&self) {
        self.enter(Stage::ReadingBody);
    }

    /// The core has the request, and its body is still to come.
    pub fn body_streaming(&self) {
        self.enter(Stage::StreamingBody);
    }

    /// The request is complete, and answered in its own time.
    pub fn request_in_progress(&self) {
        self.enter(Stage::InProgress);
    }

    /// The last answer is on the way out.
    pub fn closing(&self) {
        self.enter(Stage::Closing);
    }

    /// The request's answer is on the way out; what was sent ahead comes next.
    pub fn answered(&self) {
        if self.stage.get() == Stage::Closing {
            return;
        }
        let next_has_begun = self.stage.get() == Stage::InProgress && self.stage_bytes.get() > 0;
        self.enter(if next_has_begun { Stage::ReadingHead } else { Stage::Idle });
    }

    /// A request of that many bytes is complete: when its last byte came. It may have waited behind others.
    pub fn request_arrived(&self, bytes: u64) -> Instant {
        self.arrivals.borrow_mut().take(bytes).unwrap_or_else(Instant::now)
    }

    /// Waits until the connection is to be closed.
    pub async fn closed(&self) {
        self.close.notified().await;
    }

    /// More came ahead of an answer than is held: nothing behind that answer can be served.
    pub fn is_flooded(&self) -> bool {
        self.flooded.get()
    }

    /// Requests were read that are still to be answered: the connection does not end with the present answer.
    pub fn has_requests_waiting(&self) -> bool {
        self.read_ahead_bytes.get() > 0 && !self.is_flooded()
    }

    /// # Errors
    /// A head goes on and on.
    pub(super) fn check_head_size(&self) -> io::Result<()> {
        if self.stage.get() == Stage::ReadingHead && self.stage_bytes.get() > MAX_HEAD_BYTES {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a head without end"));
        }
        Ok(())
    }

    /// There is no request on it.
    pub(super) fn is_idle(&self) -> bool {
        matches!(self.stage.get(), Stage::New | Stage::Idle)
    }

    /// There is a request that its client waits for.
    pub(super) fn has_request(&self) -> bool {
        matches!(self.stage.get(), Stage::ReadingBody | Stage::StreamingBody | Stage::InProgress)
    }

    /// Whether its client has closed it, or its sending half, behind whatever is still unread.
    pub(super) fn is_closed_by_client(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        let socket = socket.borrow();
        let ready = socket.0.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Lets it end as if its client had closed it, unless a request has come that nobody read yet.
    pub(super) fn close_when_idle(&self) {
        self.closes_when_idle.set(true);
        self.wake_reader();
    }

    /// Whether it may close while clients are to go elsewhere, which began at `since`: first those that have been idle
    /// for a while, later all without a request.
    pub(super) fn may_drain(&self, now: Instant, since: Instant, times: DrainTimes) -> bool {
        let draining_for = now.saturating_duration_since(since);
        let idle_for = now.saturating_duration_since(self.stage_since.get());
        let idle_long = draining_for > times.idle && idle_for > IDLE_BEFORE_DRAIN;
        self.is_idle() && (draining_for > times.all || idle_long)
    }

    /// Whether all its requests were answered longer ago than `timeout`.
    pub(super) fn is_idle_longer_than(&self, now: Instant, timeout: Duration) -> bool {
        self.stage.get() == Stage::Idle && now.saturating_duration_since(self.stage_since.get()) > timeout
    }

    /// Whether its present stage takes too long; `full`: no place is left for others.
    pub(super) fn is_timed_out(&self, now: Instant, full: bool, shutting_down: bool) -> bool {
        let quiet_for = now.saturating_duration_since(self.last_read_at.get());
        let timeout = match self.stage.get() {
            Stage::New if full => FIRST_BYTE_TIMEOUT_WHEN_FULL,
            Stage::New => FIRST_BYTE_TIMEOUT,
            Stage::Closing if full => CLOSING_TIMEOUT_WHEN_FULL,
            Stage::ReadingHead | Stage::ReadingBody if full && quiet_for > READ_TIMEOUT_WHEN_FULL => {
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

    /// What the bytes that have come may have taken.
    fn body_timeout(&self) -> Duration {
        BODY_SLACK + Duration::from_secs_f64(self.stage_bytes.get() as f64 / MIN_BODY_RATE)
    }
}
