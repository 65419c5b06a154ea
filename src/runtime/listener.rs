//! The accept loop that all fronts share, and the graceful shutdown of the connections that it accepted.
//!
//! A shutdown goes through these phases:
//!
//! 1. The listener goes on accepting for a short time, because clients keep connecting until they learn of
//!    the shutdown.
//! 2. Connections that wait in the backlog are accepted, because closing the listening socket would reset
//!    them.
//! 3. Idle connections close.
//! 4. Accepted requests are answered.
//! 5. Large responses whose streaming has begun are streamed to their end.
//!
//! If a successor accepts from the same socket, the first two phases are left to the successor. The third is
//! left to the front, which closes its idle connections once [`Host::handed_over_since`] returns a time.

use super::host::Host;
use super::shutdown::Shutdown;
use super::sockets::is_shortage;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};

/// The length of the listen backlog, if the system allows as much: after a restart thousands of clients
/// connect at the same instant. With a full backlog the kernel answers with SYN cookies and keeps no state
/// for the connection, so an NBD client, which waits for the server to send first, would wait for ever.
const MAX_BACKLOG: i32 = 4096;
/// How long a stopping process goes on accepting connections after the signal.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(450);
/// How long after the signal idle connections are closed. A request that arrives more than 0.7 s after the
/// signal may be cut off by SIGKILL, and a process that is delayed by 0.15 s must still close its idle
/// connections before then.
const CLOSE_IDLE_AFTER_STOP: Duration = Duration::from_millis(450);
/// How long a shutdown retries after failures to accept from the backlog, while other connections give their
/// file descriptors back.
const BACKLOG_RETRY_TIMEOUT: Duration = Duration::from_secs(2);
/// How long one attempt to accept from the backlog waits at a shutdown. A connection in the backlog is
/// accepted at once, so a timeout means that the backlog is empty.
const BACKLOG_ACCEPT_TIMEOUT: Duration = Duration::from_millis(1);
/// The pause after accepting failed because of the connection itself.
const ACCEPT_ERROR_BACKOFF: Duration = Duration::from_millis(1);
/// The pause after accepting failed for lack of a file descriptor or of memory.
const SHORTAGE_BACKOFF: Duration = Duration::from_millis(10);
/// How long a shutdown waits for final answers to be written, and their connections to close: once after the
/// last deadline, and once more after the wait for streamed responses.
const FINAL_ANSWER_TIMEOUT: Duration = Duration::from_millis(500);
/// How long a shutdown waits, after the last deadline, for large responses that are being streamed. Their
/// requests have been answered in time.
const STREAMED_RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);
/// How often a shutdown checks whether responses are still being streamed.
const STREAMED_RESPONSE_POLL: Duration = Duration::from_millis(20);
/// How often the connection limit is computed again while it is reached, because the limit may change
/// although no connection closes.
const LIMIT_POLL: Duration = Duration::from_millis(100);

/// The listening socket of one front, and what the accept loop needs.
pub struct FrontListener {
    /// The socket that clients connect to.
    pub listener: TcpListener,
    /// Runs the core. The listener tells it that the process stops, and reads from it how many requests are
    /// open and how many responses are streaming.
    pub host: Host,
    /// The maximum number of connections at a time, over both processes during a hand-over. Further clients
    /// wait in the backlog.
    pub max_connections: usize,
    /// Tells this front's connections to close at a shutdown.
    pub shutdown: Shutdown,
    /// Called once at a shutdown. If there is a successor, which accepts clients from the same socket, hands
    /// over to the successor and returns `true`.
    pub hand_over: Rc<dyn Fn() -> bool>,
}

/// Counts the open connections of one front.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    /// Notified each time a connection closes.
    closed: Notify,
}

impl OpenConnections {
    /// Waits until fewer connections are open than `limit` returns, which is called again at least once per
    /// [`LIMIT_POLL`].
    async fn wait_below(&self, limit: impl Fn() -> usize) {
        while self.count.get() >= limit() {
            let _ = tokio::time::timeout(LIMIT_POLL, self.closed.notified()).await;
        }
    }

    async fn wait_for_none(&self) {
        self.wait_below(|| 1).await;
    }
}

/// Counts one connection as open until the guard is dropped, which also happens when the connection's task
/// panics or is aborted.
struct OpenConnectionGuard(Rc<OpenConnections>);

impl OpenConnectionGuard {
    fn new(open: &Rc<OpenConnections>) -> Self {
        open.count.set(open.count.get() + 1);
        OpenConnectionGuard(open.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.closed.notify_waiters();
    }
}

/// Who accepts clients after this process was told to stop.
#[derive(Clone, Copy)]
enum Stop {
    /// Nobody: there is no successor. The process was told to stop at this time.
    WithoutSuccessor(Instant),
    /// A successor accepts clients from the same socket.
    HandedOver,
}

impl FrontListener {
    /// Accepts connections and serves each in a task of its own until `stop` completes, then shuts down as
    /// the module's documentation describes.
    pub async fn serve<F: Future<Output = ()> + 'static>(
        self,
        stop: impl Future<Output = ()>,
        serve_connection: impl Fn(TcpStream) -> F,
    ) {
        // An inherited socket has the backlog length of the process that opened it; listen(2) can be called
        // again to change it.
        if let Err(why) = SockRef::from(&self.listener).listen(MAX_BACKLOG) {
            warn!(%why, "the length of the listen backlog could not be set");
        }
        let open = Rc::new(OpenConnections::default());
        let start = |stream: TcpStream| {
            // Most responses are small, and Nagle's algorithm would delay those.
            let _ = stream.set_nodelay(true);
            let guard = OpenConnectionGuard::new(&open);
            let connection = serve_connection(stream);
            actix_rt::spawn(async move {
                connection.await;
                drop(guard);
            });
        };
        let stop = self.accept_until_stopped(stop, &open, &start).await;
        if matches!(stop, Stop::WithoutSuccessor(_)) {
            self.accept_backlog(&open, &start).await;
        }
        let FrontListener { listener, host, shutdown, .. } = self;
        drop(listener);
        if let Stop::WithoutSuccessor(at) = stop {
            tokio::time::sleep_until(at + CLOSE_IDLE_AFTER_STOP).await;
            shutdown.begin_closing();
        }
        finish(&host, &open).await;
    }

    /// Accepts connections until the process is told to stop, and for [`ACCEPT_AFTER_STOP`] longer if it has
    /// no successor.
    async fn accept_until_stopped(
        &self,
        stop: impl Future<Output = ()>,
        open: &OpenConnections,
        start: &impl Fn(TcpStream),
    ) -> Stop {
        let mut stop = std::pin::pin!(stop);
        let mut stopped_at: Option<Instant> = None;
        let mut shortage_before = false;
        loop {
            let accept = async {
                open.wait_below(|| self.connection_limit()).await;
                self.listener.accept().await
            };
            tokio::select! {
                accepted = accept => match accepted {
                    Ok((stream, _)) => {
                        shortage_before = false;
                        start(stream);
                    }
                    Err(error) => {
                        let shortage = self.report_accept_error(&error, shortage_before);
                        shortage_before |= shortage;
                        let backoff = if shortage { SHORTAGE_BACKOFF } else { ACCEPT_ERROR_BACKOFF };
                        tokio::time::sleep(backoff).await;
                    }
                },
                () = &mut stop, if stopped_at.is_none() => {
                    let (connections, requests) = (open.count.get(), self.host.open_requests());
                    if (self.hand_over)() {
                        info!(connections, requests, "a successor takes over");
                        self.host.stop_after_handover();
                        return Stop::HandedOver;
                    }
                    info!(connections, requests, "stopping");
                    self.host.stop();
                    stopped_at = Some(Instant::now());
                }
                at = accepting_ends(stopped_at), if stopped_at.is_some() => {
                    return Stop::WithoutSuccessor(at);
                }
            }
        }
    }

    /// Returns this process's share of the connection limit: during a hand-over two processes share the
    /// clients.
    fn connection_limit(&self) -> usize {
        (self.max_connections as f64 * self.host.budget_share()).ceil() as usize
    }

    /// Logs a failure to accept, and returns whether it was a shortage of file descriptors or memory.
    /// `shortage_before` tells whether there was a shortage since the last accepted connection. From the
    /// second shortage in a row on, with no connection accepted in between, idle connections are closed early
    /// to free descriptors.
    fn report_accept_error(&self, error: &io::Error, shortage_before: bool) -> bool {
        warn!(why = %error, "a connection could not be accepted");
        let shortage = is_shortage(error);
        if shortage && shortage_before {
            self.shutdown.report_shortage();
        }
        shortage
    }

    /// Accepts the connections that wait in the backlog, even beyond the connection limit.
    async fn accept_backlog(&self, open: &OpenConnections, start: &impl Fn(TcpStream)) {
        let retry_until = Instant::now() + BACKLOG_RETRY_TIMEOUT;
        loop {
            match tokio::time::timeout(BACKLOG_ACCEPT_TIMEOUT, self.listener.accept()).await {
                Ok(Ok((stream, _))) => start(stream),
                Ok(Err(error)) if Instant::now() < retry_until => {
                    if is_shortage(&error) {
                        self.shutdown.report_shortage();
                        self.shutdown.begin_closing();
                        // A connection that closes frees its descriptor. If none closes in time, accepting is
                        // retried.
                        let _ = tokio::time::timeout(SHORTAGE_BACKOFF, open.closed.notified()).await;
                    }
                }
                _ => return,
            }
        }
    }
}

/// Completes when a process that was told to stop at `stopped_at` is to accept no more connections. Returns
/// `stopped_at`.
async fn accepting_ends(stopped_at: Option<Instant>) -> Instant {
    // `select!` creates this future even while its precondition is false, but does not poll it then: the
    // time that takes the place of `None` is never used.
    let at = stopped_at.unwrap_or_else(Instant::now);
    tokio::time::sleep_until(at + ACCEPT_AFTER_STOP).await;
    at
}

/// Waits until all accepted requests are answered, and large responses are streamed to their end.
async fn finish(host: &Host, open: &OpenConnections) {
    let longest_deadline = host.settings().longest_deadline();
    let mut complete =
        tokio::time::timeout(longest_deadline + FINAL_ANSWER_TIMEOUT, open.wait_for_none()).await.is_ok();
    if !complete {
        let streamed = async {
            while host.streaming_responses() > 0 {
                tokio::time::sleep(STREAMED_RESPONSE_POLL).await;
            }
        };
        // The result is not needed: if a response is still being streamed, its connection is counted as open
        // below.
        let _ = tokio::time::timeout(STREAMED_RESPONSE_TIMEOUT, streamed).await;
        complete = tokio::time::timeout(FINAL_ANSWER_TIMEOUT, open.wait_for_none()).await.is_ok();
    }
    if complete {
        info!("stopped: every accepted request is answered");
    } else {
        warn!(connections = open.count.get(), "stopped: connections were still open at the time limit");
    }
}
