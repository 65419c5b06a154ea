//! Many clients of one process, and what became of their requests.

use super::platform::{answer_to, request, Client, Ending};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// An answer may be so late and only earn nothing.
const LATE: Duration = Duration::from_millis(500);

/// What became of the requests of many clients.
#[derive(Debug, Default)]
pub struct Outcomes {
    pub served: usize,
    pub refused: usize,
    pub failed_reads: usize,
    pub failed_writes: usize,
    /// Read and closed with no answer, or never answered.
    pub lost: Vec<String>,
    /// Answered with what was made for another request.
    pub foreign: usize,
    /// Trace ids of all writes, and of those that were refused.
    pub writes: Vec<String>,
    pub refused_writes: Vec<String>,
    /// Nobody listened any more.
    pub turned_away: usize,
}

impl Outcomes {
    fn add(&mut self, other: Outcomes) {
        self.served += other.served;
        self.refused += other.refused;
        self.failed_reads += other.failed_reads;
        self.failed_writes += other.failed_writes;
        self.lost.extend(other.lost);
        self.foreign += other.foreign;
        self.writes.extend(other.writes);
        self.refused_writes.extend(other.refused_writes);
        self.turned_away += other.turned_away;
    }
}

/// Clients that read and write by turns on connections that they keep, for so long, or until nobody listens.
pub fn traffic(to: SocketAddr, clients: usize, shards: u16, patience: Duration, lasts: Duration) -> Outcomes {
    let until = Instant::now() + lasts;
    let start =
        |number| std::thread::spawn(move || TrafficClient::new(to, patience).run(number, shards, until));
    let threads: Vec<_> = (0..clients).map(start).collect();
    let mut all = Outcomes::default();
    threads.into_iter().for_each(|thread| all.add(thread.join().unwrap()));
    all
}

struct TrafficClient {
    to: SocketAddr,
    patience: Duration,
    begins: Instant,
    connection: Option<Client>,
    outcomes: Outcomes,
}

impl TrafficClient {
    fn new(to: SocketAddr, patience: Duration) -> Self {
        TrafficClient {
            to,
            patience,
            begins: Instant::now(),
            connection: None,
            outcomes: Outcomes::default(),
        }
    }

    fn run(mut self, number: usize, shards: u16, until: Instant) -> Outcomes {
        for turn in number.. {
            if Instant::now() >= until {
                break;
            }
            let writes = turn.is_multiple_of(3);
            let (method, class) = if writes { ("PUT", "gravacao") } else { ("GET", "leitura") };
            let body = "data".repeat(if !writes { 0 } else { 1 + turn % 5 * 1000 });
            let (request, trace) = request(method, class, turn as u16 % shards, self.patience, &body);
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

    /// On the connection that there is; where its close crossed the request, once more on a new one. `Err`: nobody
    /// listens.
    fn ask(&mut self, request: &[u8]) -> io::Result<Ending> {
        let patience = self.patience + LATE;
        if let Some(mut kept) = self.connection.take() {
            match kept.ask(request, patience) {
                Ok(Ending::Closed) | Err(_) => {}
                Ok(ending) => {
                    self.connection = ending.keeps().then_some(kept);
                    return Ok(ending);
                }
            }
        }
        let mut fresh = Client::connect(self.to)?;
        let ending = fresh.ask(request, patience).unwrap_or(Ending::Closed);
        self.connection = ending.keeps().then_some(fresh);
        Ok(ending)
    }

    fn count(&mut self, ending: Ending, trace: String, writes: bool, sent: Instant) {
        let class = if writes { "write" } else { "read" };
        let outcomes = &mut self.outcomes;
        match ending {
            Ending::Answered { status: 200, body, .. } if body == answer_to(&trace).as_bytes() => {
                outcomes.served += 1
            }
            Ending::Answered { status: 200, .. } => outcomes.foreign += 1,
            Ending::Answered { status: 503, .. } => {
                outcomes.refused += 1;
                outcomes.refused_writes.extend(writes.then_some(trace));
            }
            // The id was taken before: the first was read, and its connection closed with no answer.
            Ending::Answered { status: 409, .. } | Ending::Closed | Ending::Silent => {
                let (from, span) = (sent - self.begins, sent.elapsed());
                outcomes
                    .lost
                    .push(format!("{trace} ({class}) sent after {from:?}: {ending:?} after {span:?}"));
            }
            Ending::Answered { .. } if writes => outcomes.failed_writes += 1,
            Ending::Answered { .. } => outcomes.failed_reads += 1,
        }
    }
}
