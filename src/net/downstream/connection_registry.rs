//! All connections of a front, and which of them close for the others' sake.
//!
//! Clients may hold far more connections than there are descriptors. Connections that ask nothing close the earlier the
//! more places are taken; those that are slow have a clock of their own; while clients are to go elsewhere, and at a
//! shutdown, all close on which there is no request.

use super::client_stream::ClientStream;
use super::connection::{Connection, DrainTimes};
use super::read_ahead::ReadAheadTotal;
use crate::runtime::host::Host;
use crate::runtime::shutdown::Shutdown;
use crate::runtime::sockets::Uninterrupted;
use std::cell::RefCell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tracing::warn;

/// How often connections are looked at.
const REVIEW_INTERVAL: Duration = Duration::from_millis(20);
/// How often it is logged at most that no place is left.
const FULL_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// When connections close after an operator drained the initiator: newcomers stop 0.3 s after the first unready
/// `_health`, and at 4 s no connection may be idle or have had a request in 2 s.
const DRAIN_TIMES: DrainTimes =
    DrainTimes { idle: Duration::from_millis(1000), all: Duration::from_millis(1600) };
/// The same once a successor takes the newcomers: what is asked more than 0.7 s after SIGTERM may be cut off.
const SUCCEEDED_TIMES: DrainTimes =
    DrainTimes { idle: Duration::from_millis(250), all: Duration::from_millis(600) };

/// How long a connection on which nothing is asked may stay.
struct IdleTimeout {
    /// From this part of the places taken on,
    from_taken: f64,
    /// this long.
    timeout: Duration,
}

/// Clients can have a third of the descriptors for requests, less than half of the places: those that asked once and keep
/// their connection would fill it, and requests of others would find none.
const IDLE_TIMEOUTS: [IdleTimeout; 3] = [
    IdleTimeout { from_taken: 0.4, timeout: Duration::from_millis(300) },
    IdleTimeout { from_taken: 0.25, timeout: Duration::from_millis(2100) },
    IdleTimeout { from_taken: 0.0, timeout: Duration::from_secs(20) },
];
/// How long it may stay while no place is left.
const IDLE_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);

/// All connections of a front.
#[derive(Clone, Default)]
pub struct ConnectionRegistry {
    connections: Rc<RefCell<Vec<Weak<Connection>>>>,
    read_ahead: ReadAheadTotal,
}

/// How the places of a front are taken.
#[derive(Clone, Copy)]
struct Occupancy {
    open: usize,
    max: usize,
    /// Others wait for a place.
    full: bool,
}

impl Occupancy {
    fn idle_timeout(&self) -> Duration {
        if self.full {
            return IDLE_TIMEOUT_WHEN_FULL;
        }
        let applies = |idle: &&IdleTimeout| self.open as f64 >= idle.from_taken * self.max as f64;
        IDLE_TIMEOUTS.iter().find(applies).map_or(IDLE_TIMEOUT_WHEN_FULL, |idle| idle.timeout)
    }
}

impl ConnectionRegistry {
    /// Registers a connection that was just accepted.
    pub fn register(&self, socket: TcpStream) -> ClientStream {
        let socket = Rc::new(RefCell::new(Uninterrupted(socket)));
        let connection = Rc::new(Connection::new(Rc::downgrade(&socket)));
        self.connections.borrow_mut().push(Rc::downgrade(&connection));
        ClientStream::new(socket, connection, self.read_ahead.clone())
    }

    /// Closes connections whose time is over, for as long as the front serves; `max` are accepted.
    pub async fn review(self, host: Host, max: usize, shutdown: Shutdown) {
        let mut logged_at: Option<Instant> = None;
        loop {
            tokio::time::sleep(REVIEW_INTERVAL).await;
            let now = Instant::now();
            let occupancy = self.occupancy(&host, max, &shutdown);
            let closed = self.review_once(now, &host, &shutdown, occupancy);
            if occupancy.full && logged_at.is_none_or(|at| now > at + FULL_LOG_INTERVAL) {
                warn!(
                    open = occupancy.open,
                    closed, "the connection limit is reached: silent and idle connections are closed"
                );
                logged_at = Some(now);
            }
        }
    }

    fn occupancy(&self, host: &Host, max: usize, shutdown: &Shutdown) -> Occupancy {
        let mut connections = self.connections.borrow_mut();
        connections.retain(|connection| connection.strong_count() > 0);
        let open = connections.len();
        let max = (max as f64 * host.budget_share()).ceil() as usize;
        let taken = open >= max || shutdown.is_short_of_descriptors();
        // Nobody waits for a place of a process that another one has succeeded.
        Occupancy { open, max, full: taken && host.handed_over_since().is_none() }
    }

    /// Lets go what has to; how many connections that was for the sake of others.
    fn review_once(&self, now: Instant, host: &Host, shutdown: &Shutdown, occupancy: Occupancy) -> usize {
        let connections = self.live();
        let abandoned = connections.iter().filter(|c| c.has_request() && c.is_closed_by_client());
        abandoned.for_each(|connection| connection.close.notify_one());
        let closed = if shutdown.is_closing() {
            connections.iter().for_each(|connection| connection.close_when_idle());
            0
        } else if let Some((since, times)) = drain(host) {
            let leaving = connections.iter().filter(|connection| connection.may_drain(now, since, times));
            leaving.for_each(|connection| connection.close_when_idle());
            0
        } else {
            close_idle(&connections, now, occupancy.idle_timeout())
        };
        let shutting_down = shutdown.is_closing();
        let timed_out = connections.iter().filter(|c| c.is_timed_out(now, occupancy.full, shutting_down));
        closed + timed_out.map(|connection| connection.close.notify_one()).count()
    }

    fn live(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow().iter().filter_map(Weak::upgrade).collect()
    }
}

/// Since when clients are to go elsewhere, if they are, and when connections close then.
fn drain(host: &Host) -> Option<(Instant, DrainTimes)> {
    let succeeded = host.handed_over_since().map(|since| (since, SUCCEEDED_TIMES));
    succeeded.or_else(|| host.drained_since().map(|since| (since, DRAIN_TIMES)))
}

/// Closes those that have been idle for too long; how many.
fn close_idle(connections: &[Rc<Connection>], now: Instant, timeout: Duration) -> usize {
    let mut closed = 0;
    for connection in connections {
        connection.closes_when_idle.set(false);
        if connection.is_idle_longer_than(now, timeout) {
            connection.close_when_idle();
            closed += 1;
        }
    }
    closed
}
