//! Client connections: what each is at and for how long, and when one is ended for the others' sake.
//!
//! actix-http has one clock for a connection's first head, one for an idle connection and none for a body;
//! it reads up to 128 KiB of a head, and as much again of requests sent ahead. Here each has its own bound.

use super::ahead::{Arrivals, KeptByAll};
use super::client::ClientStream;
use crate::runtime::host::Host;
use crate::runtime::shutdown::Shutdown;
use crate::runtime::sockets::Uninterrupted;
use futures_util::FutureExt;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::{Rc, Weak};
use std::task::Waker;
use std::time::{Duration, Instant};
use tokio::io::Interest;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tracing::warn;

/// Connections are looked at so often.
const LOOK: Duration = Duration::from_millis(20);
/// A client that connects has something to ask: its first byte comes within this.
const FIRST_BYTE: Duration = Duration::from_secs(2);
/// A head comes within this of its first byte; a connection's first one within this of the connect. Slow clients
/// take 2 s, and half a request is owed an end within 3 s of the connect.
const WHOLE_HEAD: Duration = Duration::from_millis(2500);
/// A body may be behind such a rate, in bytes a second, by this much; slow clients send 64 kB a second.
const BODY_RATE: f64 = 48e3;
const BODY_BEHIND: Duration = Duration::from_millis(2000);
/// How long a connection on which nothing is asked may stay, by the part of the places that are taken. Clients can
/// have a third of the descriptors for requests, less than half of the places: those that asked once and keep their
/// connection would fill it, and requests of others would find none.
const IDLE: [(f64, Duration); 3] =
    [(0.4, Duration::from_millis(300)), (0.25, Duration::from_millis(2100)), (0.0, Duration::from_secs(20))];
/// What still comes behind a last answer is read for so long; at a stop, which is to end before a kill, for so long.
const LEAVING: Duration = Duration::from_millis(2100);
const LEAVING_AT_STOP: Duration = Duration::from_millis(300);
/// Where no place is left, others wait unheard: those that are silent or idle have only so long, and one on
/// whose request nothing comes has the third.
const FULL: (Duration, Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(200), Duration::from_millis(700));
/// While clients are to go elsewhere, connections that rest are closed from the first on and every one without
/// a request from the second on: newcomers stop 0.3 s after the first no, and at 4 s no connection may be idle
/// or have had a request in 2 s.
const LEAVE: (Duration, Duration) = (Duration::from_millis(1000), Duration::from_millis(1600));
/// The same where a successor takes the newcomers: what is asked more than 0.7 s after SIGTERM may be cut off.
const SUCCEEDED: (Duration, Duration) = (Duration::from_millis(250), Duration::from_millis(600));
/// On a connection that rested so long the next request is not expected just now.
const LEAVE_REST: Duration = Duration::from_millis(250);
/// A head, with what of its body is read along with it.
const HEAD_MOST: usize = 32 * 1024;
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) enum Stage {
    /// Nothing has come yet.
    Fresh,
    /// A request has begun to come.
    Head,
    /// Its head is whole.
    Body,
    /// Its body is passed on as it comes, at the pace of who takes it.
    Moving,
    /// It is with the core.
    Taken,
    /// Every request is answered.
    Idle,
    /// It ends; what still comes is read and dropped, so that the last answer is not lost by a reset.
    Leaving,
}

/// One client's connection.
#[derive(Debug)]
pub struct Line {
    pub(super) stage: Cell<Stage>,
    since: Cell<Instant>,
    /// Bytes of the head that is coming, or sent ahead of an answer.
    pub(super) bytes: Cell<usize>,
    /// When the last byte came.
    pub(super) heard: Cell<Instant>,
    pub(super) reader: RefCell<Option<Waker>>,
    pub(super) cut: Notify,
    /// It is to end once nothing more has come on it.
    pub(super) ends: Cell<bool>,
    /// More came ahead of an answer than is kept.
    pub(super) floods: Cell<bool>,
    /// Bytes that were read ahead of an answer and are still to be taken.
    pub(super) kept: Cell<usize>,
    /// When what came on it came.
    pub(super) arrivals: RefCell<Arrivals>,
    socket: Weak<RefCell<Uninterrupted<TcpStream>>>,
}

impl Line {
    pub(super) fn put(&self, stage: Stage) {
        // A connection's first head counts from the connect.
        if (self.stage.get(), stage) != (Stage::Fresh, Stage::Head) {
            self.since.set(Instant::now());
        }
        self.stage.set(stage);
        self.bytes.set(0);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// A request's head is whole; its body may be still to come.
    pub fn has_head(&self) {
        self.put(Stage::Body);
    }

    /// The core has the request, and its body is still to come.
    pub fn moves(&self) {
        self.put(Stage::Moving);
    }

    /// The request is whole, and answered in its own time.
    pub fn is_taken(&self) {
        self.put(Stage::Taken);
    }

    /// Its last answer is on the way out.
    pub fn leaves(&self) {
        self.put(Stage::Leaving);
    }

    /// Its answer is on the way out; what was sent ahead comes next.
    pub fn is_answered(&self) {
        if matches!(self.stage.get(), Stage::Leaving) {
            return;
        }
        let ahead = self.stage.get() == Stage::Taken && self.bytes.get() > 0;
        self.put(if ahead { Stage::Head } else { Stage::Idle });
    }

    /// A request of that size is whole: when its last byte came. It may have waited behind others.
    pub fn request_came(&self, size: u64) -> Instant {
        self.arrivals.borrow_mut().take(size).unwrap_or_else(Instant::now)
    }

    /// Ends when the connection is to be closed.
    pub async fn cut(&self) {
        self.cut.notified().await;
    }

    /// More came ahead of an answer than is kept: nothing behind that answer can be served.
    pub fn floods(&self) -> bool {
        self.floods.get()
    }

    /// Requests were read that are still to be answered: it does not end with the present answer.
    pub fn has_more(&self) -> bool {
        self.kept.get() > 0 && !self.floods()
    }

    /// Fails where a head goes on and on.
    pub(super) fn head_has_room(&self) -> io::Result<()> {
        if self.stage.get() == Stage::Head && self.bytes.get() > HEAD_MOST {
            return Err(io::Error::new(io::ErrorKind::InvalidData, "a head without end"));
        }
        Ok(())
    }

    /// It has a request that its client waits for.
    pub(super) fn is_waited_for(&self) -> bool {
        matches!(self.stage.get(), Stage::Body | Stage::Moving | Stage::Taken)
    }

    /// Whether its client has closed it, or its sending half, behind whatever is still unread.
    fn is_left(&self) -> bool {
        let Some(socket) = self.socket.upgrade() else { return false };
        let socket = socket.borrow();
        let ready = socket.0.ready(Interest::READABLE).now_or_never();
        ready.is_some_and(|ready| ready.is_ok_and(|ready| ready.is_read_closed()))
    }

    /// Lets it end as if its client had closed it, unless a request has come that nobody read yet.
    fn end_quietly(&self) {
        self.ends.set(true);
        if let Some(reader) = self.reader.take() {
            reader.wake();
        }
    }

    /// Whether it may go while clients are to go elsewhere, which began so long ago: long after the last
    /// newcomer those that rest, and a little later all without a request.
    fn may_leave(&self, now: Instant, since: Instant, leave: (Duration, Duration)) -> bool {
        let ago = now.saturating_duration_since(since);
        let rest = now.saturating_duration_since(self.since.get());
        match self.stage.get() {
            Stage::Fresh | Stage::Idle => ago > leave.1 || ago > leave.0 && rest > LEAVE_REST,
            _ => false,
        }
    }

    fn rests(&self, now: Instant, most: Duration) -> bool {
        self.stage.get() == Stage::Idle && now.saturating_duration_since(self.since.get()) > most
    }

    fn is_over(&self, now: Instant, full: bool, stops: bool) -> bool {
        let most = match self.stage.get() {
            Stage::Fresh if full => FULL.0,
            Stage::Fresh => FIRST_BYTE,
            Stage::Leaving if full => FULL.1,
            Stage::Head | Stage::Body if full && now.saturating_duration_since(self.heard.get()) > FULL.2 => {
                return true
            }
            Stage::Head => WHOLE_HEAD,
            Stage::Body => BODY_BEHIND + Duration::from_secs_f64(self.bytes.get() as f64 / BODY_RATE),
            Stage::Leaving if stops => LEAVING_AT_STOP,
            Stage::Leaving => LEAVING,
            Stage::Idle | Stage::Taken | Stage::Moving => return false,
        };
        now.saturating_duration_since(self.since.get()) > most
    }
}

/// All connections of a front.
#[derive(Clone, Default)]
pub struct Crowd {
    lines: Rc<RefCell<Vec<Weak<Line>>>>,
    kept: KeptByAll,
}

impl Crowd {
    /// A connection that was just accepted.
    pub fn join(&self, socket: TcpStream) -> ClientStream {
        let socket = Rc::new(RefCell::new(Uninterrupted(socket)));
        let line = Rc::new(Line {
            stage: Cell::new(Stage::Fresh),
            since: Cell::new(Instant::now()),
            bytes: Cell::new(0),
            heard: Cell::new(Instant::now()),
            reader: RefCell::new(None),
            cut: Notify::new(),
            ends: Cell::new(false),
            floods: Cell::new(false),
            kept: Cell::new(0),
            arrivals: RefCell::default(),
            socket: Rc::downgrade(&socket),
        });
        self.lines.borrow_mut().push(Rc::downgrade(&line));
        ClientStream::new(socket, line, self.kept.clone())
    }

    /// Ends connections whose time is over, for as long as the front serves; `most` are let in. Once `shutdown` is
    /// told every one ends on which nothing is asked.
    pub async fn keep(self, host: Host, most: usize, shutdown: Shutdown) {
        let mut told = None;
        loop {
            tokio::time::sleep(LOOK).await;
            let now = Instant::now();
            let mut lines = self.lines.borrow_mut();
            lines.retain(|line| line.strong_count() > 0);
            // Nobody waits for a place of a process that another one has succeeded.
            let most = (most as f64 * host.part()).ceil() as usize;
            let full = lines.len() >= most || shutdown.is_short_of_descriptors();
            let (open, full) = (lines.len(), full && host.succeeded_since().is_none());
            let mut cut = 0;
            let live = || lines.iter().filter_map(Weak::upgrade);
            live().filter(|l| l.is_waited_for() && l.is_left()).for_each(|line| line.cut.notify_one());
            let succeeded = host.succeeded_since().map(|since| (since, SUCCEEDED));
            if shutdown.is_closing() {
                live().for_each(|line| line.end_quietly());
            } else if let Some((since, leave)) = succeeded.or(host.leaves_since().map(|since| (since, LEAVE)))
            {
                live().filter(|l| l.may_leave(now, since, leave)).for_each(|line| line.end_quietly());
            } else {
                let taken = |part: &&(f64, Duration)| open as f64 >= part.0 * most as f64;
                let idle = IDLE.iter().find(taken).map_or(FULL.1, |(_, idle)| *idle);
                let idle = if full { FULL.1 } else { idle };
                for line in live() {
                    line.ends.set(false);
                    if line.rests(now, idle) {
                        line.end_quietly();
                        cut += 1;
                    }
                }
            }
            let stops = shutdown.is_closing();
            cut += live().filter(|l| l.is_over(now, full, stops)).map(|line| line.cut.notify_one()).count();
            if full && told.is_none_or(|at| now > at + Duration::from_secs(1)) {
                warn!(
                    open,
                    closed = cut,
                    "no place is left for connections: silent and idle ones are closed"
                );
                told = Some(now);
            }
        }
    }
}
