//! Load from many clients on one process, and the outcomes of their requests.

use super::platform::{request, response_body, Client, ClientOutcome};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How long after its deadline a response may still arrive. A response that late earns nothing, but its
/// request does not count as lost.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// The outcomes of the requests of many clients.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub served: usize,
    pub rejected: usize,
    pub failed_reads: usize,
    pub failed_writes: usize,
    /// Requests that got no response: the connection was closed, or nothing arrived in time.
    pub lost: Vec<String>,
    /// Requests that were answered with the response to another request.
    pub foreign: usize,
    /// The trace ids of all writes.
    pub writes: Vec<String>,
    /// The trace ids of the writes that were rejected.
    pub rejected_writes: Vec<String>,
    /// Clients that ended because nobody listened any more.
    pub turned_away: usize,
}

impl Outcomes {
    fn add(&mut self, other: Outcomes) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed_reads += other.failed_reads;
        self.failed_writes += other.failed_writes;
        self.lost.extend(other.lost);
        self.foreign += other.foreign;
        self.writes.extend(other.writes);
        self.rejected_writes.extend(other.rejected_writes);
        self.turned_away += other.turned_away;
    }
}

/// Runs clients that send reads and writes on persistent connections for `duration`, or until nobody listens,
/// and returns the outcomes of their requests. A request has the time budget `timeout`.
pub fn traffic(
    to: SocketAddr,
    clients: usize,
    shards: u16,
    timeout: Duration,
    duration: Duration,
) -> Outcomes {
    let until = Instant::now() + duration;
    let start =
        |number| std::thread::spawn(move || TrafficClient::new(to, timeout).run(number, shards, until));
    let threads: Vec<_> = (0..clients).map(start).collect();
    let mut all = Outcomes::default();
    threads.into_iter().for_each(|thread| all.add(thread.join().unwrap()));
    all
}

struct TrafficClient {
    to: SocketAddr,
    timeout: Duration,
    begins: Instant,
    connection: Option<Client>,
    outcomes: Outcomes,
}

impl TrafficClient {
    fn new(to: SocketAddr, timeout: Duration) -> Self {
        TrafficClient { to, timeout, begins: Instant::now(), connection: None, outcomes: Outcomes::default() }
    }

    fn run(mut self, number: usize, shards: u16, until: Instant) -> Outcomes {
        for turn in number.. {
            if Instant::now() >= until {
                break;
            }
            let writes = turn.is_multiple_of(3);
            let (method, class) = if writes { ("PUT", "gravacao") } else { ("GET", "leitura") };
            let body = "data".repeat(if !writes { 0 } else { 1 + turn % 5 * 1000 });
            let (request, trace) = request(method, class, turn as u16 % shards, self.timeout, &body);
            if writes {
                self.outcomes.writes.push(trace.clone());
            }
            let sent = Instant::now();
            match self.ask(&request) {
                Ok(ending) => self.count(ending, trace, writes, sent),
                Err(_) => {
                    self.outcomes.turned_away += 1;
                    break;
                }
            }
        }
        self.outcomes
    }

    /// Sends a request on the open connection. Where the connection was closed at the same time, sends the
    /// request once more on a new one. `Err`: nobody listens.
    fn ask(&mut self, request: &[u8]) -> io::Result<ClientOutcome> {
        let timeout = self.timeout + MAX_LATENESS;
        if let Some(mut kept) = self.connection.take() {
            match kept.ask(request, timeout) {
                Ok(ClientOutcome::Closed) | Err(_) => {}
                Ok(ending) => {
                    self.connection = ending.keeps_connection().then_some(kept);
                    return Ok(ending);
                }
            }
        }
        let mut fresh = Client::connect(self.to)?;
        let ending = fresh.ask(request, timeout).unwrap_or(ClientOutcome::Closed);
        self.connection = ending.keeps_connection().then_some(fresh);
        Ok(ending)
    }

    fn count(&mut self, ending: ClientOutcome, trace: String, writes: bool, sent: Instant) {
        let class = if writes { "write" } else { "read" };
        let outcomes = &mut self.outcomes;
        match ending {
            ClientOutcome::Answered { status: 200, body, .. } if body == response_body(&trace).as_bytes() => {
                outcomes.served += 1
            }
            ClientOutcome::Answered { status: 200, .. } => outcomes.foreign += 1,
            ClientOutcome::Answered { status: 503, .. } => {
                outcomes.rejected += 1;
                outcomes.rejected_writes.extend(writes.then_some(trace));
            }
            // 409 means that the id is already in use: the first copy of the request was read, and its
            // connection was closed without a response.
            ClientOutcome::Answered { status: 409, .. } | ClientOutcome::Closed | ClientOutcome::Silent => {
                let (from, span) = (sent - self.begins, sent.elapsed());
                outcomes
                    .lost
                    .push(format!("{trace} ({class}) sent after {from:?}: {ending:?} after {span:?}"));
            }
            ClientOutcome::Answered { .. } if writes => outcomes.failed_writes += 1,
            ClientOutcome::Answered { .. } => outcomes.failed_reads += 1,
        }
    }
}
