//! Tracks all connections of a front, and closes those that are idle or too slow.
//!
//! Clients may keep far more connections open than there are file descriptors. The idle timeout is
//! therefore shorter the closer the front is to its connection limit. Slow connections have timeouts for
//! each stage of a request. During a drain, after a hand-over and at a shutdown, connections without a
//! request are closed.

use super::client_stream::ClientStream;
use super::connection::{Connection, DrainSchedule, READ_TIMEOUT_WHEN_FULL};
use super::memory::ConnectionMemory;
use super::memory_observer::MemoryObserver;
use super::read_ahead::ReadAheadTotal;
use super::request_ids::ConnectionNumber;
use crate::runtime::host::Host;
use crate::runtime::memory::{MemoryBudget, MemoryPressure};
use crate::runtime::shutdown::Shutdown;
use crate::runtime::sockets::Uninterrupted;
use std::cell::{Cell, RefCell};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::net::TcpStream;
use tracing::warn;

/// How often connections are checked for their timeouts.
const CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The minimum interval between two warnings that the connection limit is reached.
const LIMIT_LOG_INTERVAL: Duration = Duration::from_secs(1);
/// How long others wait for memory before a connection is closed whose client is still sending.
const MAX_MEMORY_WAIT: Duration = Duration::from_millis(1000);
/// When connections close after an operator has drained the initiator. New clients stop arriving 0.3 s
/// after the first `_health` response that says not ready, and at 4 s no connection may be idle or have had
/// a request in the last 2 s.
const OPERATOR_DRAIN: DrainSchedule = DrainSchedule {
    close_long_idle_after: Duration::from_millis(1000),
    close_all_idle_after: Duration::from_millis(1600),
};
/// When connections close after a successor has begun to accept clients. A request that arrives more than
/// 0.7 s after SIGTERM may be cut off by SIGKILL.
const HANDOVER_DRAIN: DrainSchedule = DrainSchedule {
    close_long_idle_after: Duration::from_millis(250),
    close_all_idle_after: Duration::from_millis(600),
};

/// The idle timeout from a number of open connections on.
struct IdleTimeout {
    /// The number of open connections from which the timeout applies, as a fraction of the connection limit.
    min_occupancy: f64,
    /// How long a connection may be idle.
    timeout: Duration,
}

/// The idle timeouts, by falling occupancy. Clients have a third of the file descriptors for their requests,
/// which is less than half of the connection limit. Clients that keep a connection open after one request
/// would use up that third, and leave none for the requests of others.
const IDLE_TIMEOUTS: [IdleTimeout; 3] = [
    IdleTimeout { min_occupancy: 0.4, timeout: Duration::from_millis(300) },
    IdleTimeout { min_occupancy: 0.25, timeout: Duration::from_millis(2100) },
    IdleTimeout { min_occupancy: 0.0, timeout: Duration::from_secs(20) },
];
/// The idle timeout while the connection limit is reached.
const IDLE_TIMEOUT_WHEN_FULL: Duration = Duration::from_millis(200);

/// The connections of a front. Clones share the same connections.
#[derive(Clone)]
pub struct ConnectionRegistry {
    connections: Rc<RefCell<Vec<Weak<Connection>>>>,
    read_ahead: ReadAheadTotal,
    memory: MemoryBudget,
    last_number: Rc<Cell<ConnectionNumber>>,
    /// Since when others wait for memory without a break, or when a connection was last closed for that.
    memory_awaited_since: Rc<Cell<Option<Instant>>>,
}

/// How many connections of a front are open, and how many may be.
#[derive(Clone, Copy)]
struct Occupancy {
    open: usize,
    max: usize,
    /// Whether further clients cannot connect to this process until a connection closes.
    full: bool,
}

impl Occupancy {
    fn idle_timeout(&self) -> Duration {
        if self.full {
            return IDLE_TIMEOUT_WHEN_FULL;
        }
        let applies = |idle: &&IdleTimeout| self.open as f64 >= idle.min_occupancy * self.max as f64;
        IDLE_TIMEOUTS.iter().find(applies).map_or(IDLE_TIMEOUT_WHEN_FULL, |idle| idle.timeout)
    }
}

impl ConnectionRegistry {
    /// Creates a registry without connections, which take their memory from `memory`.
    pub fn new(memory: MemoryBudget) -> Self {
        ConnectionRegistry {
            connections: Rc::default(),
            read_ahead: ReadAheadTotal::default(),
            memory,
            last_number: Rc::default(),
            memory_awaited_since: Rc::default(),
        }
    }

    /// Registers a connection that was just accepted, and returns the stream to serve it from.
    pub fn register(&self, socket: TcpStream) -> ClientStream {
        let socket = Rc::new(RefCell::new(Uninterrupted(socket)));
        let memory = ConnectionMemory::new(&self.memory);
        let connection = Rc::new(Connection::new(self.next_number(), Rc::downgrade(&socket), memory));
        self.connections.borrow_mut().push(Rc::downgrade(&connection));
        ClientStream::new(socket, connection, self.read_ahead.clone())
    }

    /// Returns the number of the next connection, from 1.
    fn next_number(&self) -> ConnectionNumber {
        self.last_number.set(self.last_number.get() + 1);
        self.last_number.get()
    }

    /// Closes connections that have timed out, at an interval of 20 ms. Never completes; the caller aborts it
    /// once the front has stopped. At most `max` connections are accepted at a time.
    pub async fn close_timed_out(self, host: Host, max: usize, shutdown: Shutdown) {
        let mut logged_at: Option<Instant> = None;
        let mut observer = MemoryObserver::new(self.memory.clone());
        loop {
            tokio::time::sleep(CHECK_INTERVAL).await;
            let now = Instant::now();
            let connections = self.live();
            if observer.observe(now, host.budget_share(), &connections) == MemoryPressure::Close {
                observer.close_largest(now, &connections);
            }
            let occupancy = self.occupancy(&host, max, &shutdown);
            let closed = self.check_connections(now, &host, &shutdown, occupancy);
            if occupancy.full && logged_at.is_none_or(|at| now > at + LIMIT_LOG_INTERVAL) {
                warn!(
                    open = occupancy.open,
                    closed, "the connection limit is reached: idle and slow connections are closed early"
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
        self.memory.set_share(host.budget_share());
        let limit_reached = open >= max || shutdown.is_short_of_descriptors();
        // After a hand-over the successor accepts all further clients, so none wait for this process.
        Occupancy { open, max, full: limit_reached && host.handed_over_since().is_none() }
    }

    /// Closes the connections whose client has left, whose timeout has expired, or that are to close
    /// because of a drain or a shutdown. Returns how many of them were closed for a timeout.
    fn check_connections(
        &self,
        now: Instant,
        host: &Host,
        shutdown: &Shutdown,
        occupancy: Occupancy,
    ) -> usize {
        let connections = self.live();
        let abandoned = connections.iter().filter(|c| c.has_request() && c.is_closed_by_client());
        abandoned.for_each(|connection| connection.close_requested.notify_one());
        let closed = if shutdown.is_closing() {
            connections.iter().for_each(|connection| connection.close_when_idle());
            0
        } else if let Some((since, schedule)) = current_drain(host) {
            let leaving =
                connections.iter().filter(|connection| connection.is_due_to_drain(now, since, schedule));
            leaving.for_each(|connection| connection.close_when_idle());
            0
        } else {
            close_idle(&connections, now, occupancy.idle_timeout())
        };
        connections.iter().filter(|c| c.memory.is_starved()).for_each(|c| c.wake_reader());
        self.free_memory(&connections, now);
        let shutting_down = shutdown.is_closing();
        let timed_out = connections.iter().filter(|c| c.is_timed_out(now, occupancy.full, shutting_down));
        closed + timed_out.map(|connection| connection.close_requested.notify_one()).count()
    }

    /// While others wait for memory, closes the connection that has held most of it for longest for a request
    /// that is still incomplete: one that has stopped sending at once, one that is still sending after a while.
    fn free_memory(&self, connections: &[Rc<Connection>], now: Instant) {
        if !self.memory.is_awaited() {
            return self.memory_awaited_since.set(None);
        }
        let since = self.memory_awaited_since.get().unwrap_or(now);
        self.memory_awaited_since.set(Some(since));
        if let Some(stalled) = largest_incomplete(connections, now, READ_TIMEOUT_WHEN_FULL) {
            stalled.close_requested.notify_one();
        } else if now.saturating_duration_since(since) > MAX_MEMORY_WAIT {
            largest_incomplete(connections, now, Duration::ZERO).inspect(|c| c.close_requested.notify_one());
            self.memory_awaited_since.set(Some(now));
        }
    }

    fn live(&self) -> Vec<Rc<Connection>> {
        self.connections.borrow().iter().filter_map(Weak::upgrade).collect()
    }
}

/// Returns since when this process is handed over or drained, and the schedule by which its connections
/// close; `None` if it is neither.
fn current_drain(host: &Host) -> Option<(Instant, DrainSchedule)> {
    let handed_over = host.handed_over_since().map(|since| (since, HANDOVER_DRAIN));
    handed_over.or_else(|| host.drained_since().map(|since| (since, OPERATOR_DRAIN)))
}

/// Returns the connection that has held most memory for longest for an incomplete request, of those that have
/// sent nothing for `max_silence`.
fn largest_incomplete(
    connections: &[Rc<Connection>],
    now: Instant,
    max_silence: Duration,
) -> Option<&Rc<Connection>> {
    let weighted =
        connections.iter().filter_map(|c| Some((c.incomplete_request_weight(now, max_silence)?, c)));
    weighted.max_by_key(|(weight, _)| *weight).map(|(_, connection)| connection)
}

/// Closes the connections that have been idle for longer than `timeout`, and returns how many.
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
