//! The way in and out that all fronts share: accepting, and ending as the platform asks.

use super::host::Host;
use super::sockets::is_shortage;
use socket2::SockRef;
use std::cell::Cell;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::time::Instant;
use tracing::{info, warn};

/// So many connections may wait to be accepted, where the system allows it: after a restart thousands of clients
/// come at one instant. Where it is full the system answers by SYN cookies and forgets whom it answered: an NBD
/// client, to whom the server speaks first, would wait for ever.
const BACKLOG_MOST: i32 = 4096;
/// How long a stopping program still accepts: clients keep coming until they know.
const STILL_ACCEPTS: Duration = Duration::from_millis(450);
/// Connections no request is on are closed that long after the signal: what comes after 0.7 s may be cut off by a kill, and a
/// process that is held up for 0.15 s still has to be in time.
const IDLE_CLOSES: Duration = Duration::from_millis(450);
/// What waits in the backlog at the stop, and finds no descriptor, waits so long for one that is given back.
const BACKLOG: Duration = Duration::from_millis(2000);
/// After two connections in a row could not be accepted for want of a descriptor places are taken for full so long.
const SHORT: Duration = Duration::from_millis(500);
/// After a failure to accept, the next try: at once where one connection was at fault, and not for want of a descriptor.
const ACCEPT_AGAIN: Duration = Duration::from_millis(1);
const SHORT_AGAIN: Duration = Duration::from_millis(10);
/// What an answer may take on its way out once it is final.
const LAST_ANSWERS: Duration = Duration::from_millis(500);
/// A large answer that has begun may take this much longer to pass on; its request was answered in time.
const LAST_BODIES: Duration = Duration::from_secs(60);

/// Tells connections to close once they are idle.
#[derive(Clone, Default)]
pub struct Closing(Rc<(Cell<bool>, Notify, Cell<Option<Instant>>)>);

impl Closing {
    /// Ends when connections are to close.
    pub async fn told(self) {
        let told = self.0 .1.notified();
        if !self.0 .0.get() {
            told.await;
        }
    }

    /// Whether they are.
    pub fn is_told(&self) -> bool {
        self.0 .0.get()
    }

    /// Whether connections wait that no descriptor was left for, whatever the places say.
    pub fn is_short(&self) -> bool {
        self.0 .2.get().is_some_and(|at| at.elapsed() < SHORT)
    }

    fn fall_short(&self) {
        self.0 .2.set(Some(Instant::now()));
    }

    fn tell(&self) {
        self.0 .0.set(true);
        self.0 .1.notify_waiters();
    }
}

/// One front's listener.
pub struct Gate {
    /// Where clients come in.
    pub listener: TcpListener,
    /// The core.
    pub host: Host,
    /// The most connections at a time; more wait in the backlog.
    pub most: usize,
    /// Tells this front's connections to close.
    pub closing: Closing,
    /// Asked at the stop: whether another process takes the clients from now on.
    pub succeeded: Rc<dyn Fn() -> bool>,
}

struct Count {
    open: Cell<usize>,
    fell: Notify,
}

/// One connection's place; given back however its task ends.
struct Place(Rc<Count>);

impl Drop for Place {
    fn drop(&mut self) {
        self.0.open.set(self.0.open.get() - 1);
        self.0.fell.notify_waiters();
    }
}

impl Count {
    async fn below(&self, most: impl Fn() -> usize) {
        while self.open.get() >= most() {
            // The most may change without a place given back.
            let _ = tokio::time::timeout(Duration::from_millis(100), self.fell.notified()).await;
        }
    }
}

impl Gate {
    /// Serves each connection until `stop` ends, then goes on accepting for a while, closes the listener
    /// and idle connections, and finishes what was taken.
    pub async fn serve<F: Future<Output = ()> + 'static>(
        self,
        stop: impl Future<Output = ()>,
        serve: impl Fn(TcpStream) -> F,
    ) {
        let Gate { listener, host, most, closing, succeeded } = self;
        // Also of a socket that the program was handed: a second call sets the length anew.
        if let Err(why) = SockRef::from(&listener).listen(BACKLOG_MOST) {
            warn!(%why, "the listener keeps the backlog that it has");
        }
        let count = Rc::new(Count { open: Cell::new(0), fell: Notify::new() });
        let start = |stream: TcpStream| {
            // Answers are small; waiting to fill a segment would make them late.
            let _ = stream.set_nodelay(true);
            count.open.set(count.open.get() + 1);
            let (connection, place) = (serve(stream), Place(count.clone()));
            actix_rt::spawn(async move {
                connection.await;
                drop(place);
            });
        };
        let mut stop = std::pin::pin!(stop);
        let mut stopped_at: Option<Instant> = None;
        let mut was_short = false;
        loop {
            let accepted = async {
                count.below(|| (most as f64 * host.part()).ceil() as usize).await;
                listener.accept().await
            };
            tokio::select! {
                accepted = accepted => match accepted {
                    Ok((stream, _)) => {
                        was_short = false;
                        start(stream);
                    }
                    Err(error) => {
                        warn!(why = %error, "a connection could not be accepted");
                        let is_short = is_shortage(&error);
                        if is_short && std::mem::replace(&mut was_short, is_short) {
                            closing.fall_short();
                        }
                        tokio::time::sleep(if is_short { SHORT_AGAIN } else { ACCEPT_AGAIN }).await;
                    }
                },
                () = &mut stop, if stopped_at.is_none() => {
                    if succeeded() {
                        info!(connections = count.open.get(), requests = host.open(), "a successor takes over");
                        host.succeed();
                        break;
                    }
                    info!(connections = count.open.get(), requests = host.open(), "stopping");
                    host.stop();
                    stopped_at = Some(Instant::now());
                }
                () = after(stopped_at, STILL_ACCEPTS), if stopped_at.is_some() => break,
            }
        }
        // What waits in the backlog was taken: a closed listener would reset it.
        // A successor listens on the same socket, and what waits there is its own.
        let until = Instant::now() + BACKLOG;
        while host.succeeded_since().is_none() {
            match tokio::time::timeout(Duration::from_millis(1), listener.accept()).await {
                Ok(Ok((stream, _))) => start(stream),
                Ok(Err(error)) if Instant::now() < until => {
                    if is_shortage(&error) {
                        closing.fall_short();
                        closing.tell();
                        // Who was told gives its descriptor back; without a word it is looked at again.
                        let _ = tokio::time::timeout(SHORT_AGAIN, count.fell.notified()).await;
                    }
                }
                _ => break,
            }
        }
        drop(listener);
        if host.succeeded_since().is_none() {
            after(stopped_at, IDLE_CLOSES).await;
            closing.tell();
        }
        let longest = host.settings().longest_deadline();
        let done = || count.below(|| 1);
        let mut whole = tokio::time::timeout(longest + LAST_ANSWERS, done()).await.is_ok();
        if !whole {
            let passed = async {
                while host.passing() > 0 {
                    tokio::time::sleep(Duration::from_millis(20)).await;
                }
            };
            // Either way the connections say below what was left.
            let _ = tokio::time::timeout(LAST_BODIES, passed).await;
            whole = tokio::time::timeout(LAST_ANSWERS, done()).await.is_ok();
        }
        match whole {
            true => info!("stopped: all that was taken is answered"),
            false => warn!(connections = count.open.get(), "stopped: time ran out"),
        }
    }
}

async fn after(start: Option<Instant>, span: Duration) {
    if let Some(start) = start {
        tokio::time::sleep_until(start + span).await;
    }
}
