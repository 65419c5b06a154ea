//! The accept loop that all fronts share, and the graceful shutdown of what it accepted.
//!
//! A shutdown goes through these phases: the listener accepts a little longer, because clients keep coming until they
//! know; what waits in the backlog is accepted, since closing the socket would reset it; idle connections close; requests
//! that were taken are answered; large responses that have begun are passed on. Where a successor accepts from the same
//! socket, the first two are left to it.

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

/// The most connections that wait to be accepted, where the system allows it: after a restart thousands of clients come
/// at one instant. Where the backlog is full the system answers by SYN cookies and forgets whom it answered: an NBD
/// client, to whom the server speaks first, would wait for ever.
const MAX_BACKLOG: i32 = 4096;
/// How long a stopping process still accepts.
const ACCEPT_AFTER_STOP: Duration = Duration::from_millis(450);
/// Idle connections close this long after the signal: what comes after 0.7 s may be cut off by a kill, and a process that
/// is held up for 0.15 s still has to be in time.
const CLOSE_IDLE_AFTER_STOP: Duration = Duration::from_millis(450);
/// How long connections in the backlog wait at a shutdown for descriptors that others give back.
const BACKLOG_TIMEOUT: Duration = Duration::from_secs(2);
/// How long the backlog is waited on for a connection that is already there.
const BACKLOG_POLL: Duration = Duration::from_millis(1);
/// The pause after a failure to accept where that connection was at fault,
const ACCEPT_PAUSE: Duration = Duration::from_millis(1);
/// and where there was no descriptor for it.
const SHORTAGE_PAUSE: Duration = Duration::from_millis(10);
/// How long a final answer may take on its way out.
const LAST_ANSWERS: Duration = Duration::from_millis(500);
/// How much longer a large response that has begun may be passed on; its request was answered in time.
const LAST_RESPONSE_BODIES: Duration = Duration::from_secs(60);
/// How often responses that are being passed on are counted meanwhile.
const RESPONSE_BODY_POLL: Duration = Duration::from_millis(20);
/// How often the limit on connections is looked at: it may change without a connection's end.
const LIMIT_POLL: Duration = Duration::from_millis(100);

/// One front's listener.
pub struct FrontListener {
    /// Where clients connect.
    pub listener: TcpListener,
    /// The core.
    pub host: Host,
    /// The most connections at a time; more wait in the backlog.
    pub max_connections: usize,
    /// Tells this front's connections to close.
    pub shutdown: Shutdown,
    /// Asked at a shutdown: whether a successor accepts clients from now on.
    pub succeeded: Rc<dyn Fn() -> bool>,
}

/// How many connections are open.
#[derive(Default)]
struct OpenConnections {
    count: Cell<usize>,
    fell: Notify,
}

impl OpenConnections {
    async fn wait_below(&self, limit: impl Fn() -> usize) {
        while self.count.get() >= limit() {
            let _ = tokio::time::timeout(LIMIT_POLL, self.fell.notified()).await;
        }
    }

    async fn wait_for_none(&self) {
        self.wait_below(|| 1).await;
    }
}

/// Counts one connection until its task ends, however it does.
struct OpenConnection(Rc<OpenConnections>);

impl OpenConnection {
    fn new(open: &Rc<OpenConnections>) -> Self {
        open.count.set(open.count.get() + 1);
        OpenConnection(open.clone())
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.count.set(self.0.count.get() - 1);
        self.0.fell.notify_waiters();
    }
}

/// How a process was told to stop.
#[derive(Clone, Copy)]
enum Stop {
    /// It stops at that moment, and nobody takes its clients.
    At(Instant),
    /// A successor accepts from the same socket.
    Succeeded,
}

impl FrontListener {
    /// Serves each connection until `stop` ends, then shuts down as the module says.
    pub async fn serve<F: Future<Output = ()> + 'static>(
        self,
        stop: impl Future<Output = ()>,
        serve_connection: impl Fn(TcpStream) -> F,
    ) {
        // Also of a socket that the program was handed: a second call sets the length anew.
        if let Err(why) = SockRef::from(&self.listener).listen(MAX_BACKLOG) {
            warn!(%why, "the listener keeps the backlog that it has");
        }
        let open = Rc::new(OpenConnections::default());
        let start = |stream: TcpStream| {
            // Answers are small; waiting to fill a segment would make them late.
            let _ = stream.set_nodelay(true);
            let counted = OpenConnection::new(&open);
            let connection = serve_connection(stream);
            actix_rt::spawn(async move {
                connection.await;
                drop(counted);
            });
        };
        let stop = self.accept_until_stopped(stop, &open, &start).await;
        if matches!(stop, Stop::At(_)) {
            self.accept_backlog(&open, &start).await;
        }
        let FrontListener { listener, host, shutdown, .. } = self;
        drop(listener);
        if let Stop::At(at) = stop {
            tokio::time::sleep_until(at + CLOSE_IDLE_AFTER_STOP).await;
            shutdown.begin_closing();
        }
        finish(&host, &open).await;
    }

    /// Accepts until the process is told to stop, and a little longer where nobody takes its clients.
    async fn accept_until_stopped(
        &self,
        stop: impl Future<Output = ()>,
        open: &OpenConnections,
        start: &impl Fn(TcpStream),
    ) -> Stop {
        let mut stop = std::pin::pin!(stop);
        let mut stopped_at: Option<Instant> = None;
        let mut was_short = false;
        loop {
            let accept = async {
                open.wait_below(|| self.connection_limit()).await;
                self.listener.accept().await
            };
            tokio::select! {
                accepted = accept => match accepted {
                    Ok((stream, _)) => {
                        was_short = false;
                        start(stream);
                    }
                    Err(error) => {
                        let is_short = self.report_accept_error(&error, was_short);
                        was_short |= is_short;
                        tokio::time::sleep(if is_short { SHORTAGE_PAUSE } else { ACCEPT_PAUSE }).await;
                    }
                },
                () = &mut stop, if stopped_at.is_none() => {
                    let (connections, requests) = (open.count.get(), self.host.open());
                    if (self.succeeded)() {
                        info!(connections, requests, "a successor takes over");
                        self.host.succeed();
                        return Stop::Succeeded;
                    }
                    info!(connections, requests, "stopping");
                    self.host.stop();
                    stopped_at = Some(Instant::now());
                }
                at = stop_accepting(stopped_at), if stopped_at.is_some() => return Stop::At(at),
            }
        }
    }

    /// This process's part of the limit, where it shares the clients with another one.
    fn connection_limit(&self) -> usize {
        (self.max_connections as f64 * self.host.part()).ceil() as usize
    }

    /// Whether there was no descriptor for the connection. A second shortage in a row, with no connection accepted
    /// between them, makes idle clients leave early.
    fn report_accept_error(&self, error: &io::Error, was_short: bool) -> bool {
        warn!(why = %error, "a connection could not be accepted");
        let is_short = is_shortage(error);
        if is_short && was_short {
            self.shutdown.report_shortage();
        }
        is_short
    }

    /// Accepts what waits in the backlog.
    async fn accept_backlog(&self, open: &OpenConnections, start: &impl Fn(TcpStream)) {
        let until = Instant::now() + BACKLOG_TIMEOUT;
        loop {
            match tokio::time::timeout(BACKLOG_POLL, self.listener.accept()).await {
                Ok(Ok((stream, _))) => start(stream),
                Ok(Err(error)) if Instant::now() < until => {
                    if is_shortage(&error) {
                        self.shutdown.report_shortage();
                        self.shutdown.begin_closing();
                        // A connection that closes gives its descriptor back; without one it is tried again.
                        let _ = tokio::time::timeout(SHORTAGE_PAUSE, open.fell.notified()).await;
                    }
                }
                _ => return,
            }
        }
    }
}

/// Ends, with the moment of the stop, when a stopped process accepts no more.
async fn stop_accepting(stopped_at: Option<Instant>) -> Instant {
    let at = stopped_at.unwrap_or_else(Instant::now);
    tokio::time::sleep_until(at + ACCEPT_AFTER_STOP).await;
    at
}

/// Waits for the answers to what was taken, and for large responses that are being passed on.
async fn finish(host: &Host, open: &OpenConnections) {
    let longest = host.settings().longest_deadline();
    let mut complete = tokio::time::timeout(longest + LAST_ANSWERS, open.wait_for_none()).await.is_ok();
    if !complete {
        let passed_on = async {
            while host.passing() > 0 {
                tokio::time::sleep(RESPONSE_BODY_POLL).await;
            }
        };
        // Whether or not they end in time, the connections below say what was left.
        let _ = tokio::time::timeout(LAST_RESPONSE_BODIES, passed_on).await;
        complete = tokio::time::timeout(LAST_ANSWERS, open.wait_for_none()).await.is_ok();
    }
    if complete {
        info!("stopped: every accepted request is answered");
    } else {
        warn!(connections = open.count.get(), "stopped: time ran out");
    }
}
