//! Floods of clients that send or read slowly, stop, or send more than they should, beside a sound client.

use super::platform::{request, Client, ClientOutcome};
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The memory of a process, in KiB, as the system counts it.
#[derive(Clone, Copy, Debug)]
pub struct Memory {
    /// The most that was ever resident.
    pub peak: u64,
    /// The resident pages of files, which are mostly the program itself.
    pub files: u64,
    /// The resident anonymous pages.
    pub anonymous: u64,
}

impl Memory {
    /// Returns the memory of a running process.
    pub fn of(pid: u32) -> Self {
        let status = std::fs::read_to_string(format!("/proc/{pid}/status")).unwrap();
        let field = |name: &str| {
            let line = status.lines().find(|line| line.starts_with(name)).unwrap_or_default();
            line.split_whitespace().nth(1).map_or(0, |kib| kib.parse().unwrap())
        };
        Memory { peak: field("VmHWM:"), files: field("RssFile:"), anonymous: field("RssAnon:") }
    }

    /// Returns the resident pages. A build for debugging is counted with the pages of an optimised program, which is
    /// what deployments run.
    pub fn optimised_resident(&self) -> u64 {
        self.anonymous + self.optimised_files()
    }

    /// The same for the most that was ever resident.
    pub fn optimised_peak(&self) -> u64 {
        self.peak.saturating_sub(self.files) + self.optimised_files()
    }

    fn optimised_files(&self) -> u64 {
        const OPTIMISED_PROGRAM_KIB: u64 = 8 << 10;
        if cfg!(debug_assertions) {
            OPTIMISED_PROGRAM_KIB
        } else {
            self.files
        }
    }
}

/// How a client of a flood behaves.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Kind {
    /// Sends requests with bodies of just under 64 KiB at the slowest rate that is allowed to clients.
    SlowWriter,
    /// Sends half of a large request and stops.
    StalledUpload,
    /// Sends heads with as many short fields as fit.
    ShortFields,
    /// Sends many requests with many short fields behind one that is not answered.
    PipelinedShortFields,
    /// Sends as much as it can behind a request that is not answered.
    PipelinedBytes,
    /// Reads a long response slowly.
    SlowReader,
    /// Reads nothing of responses that are just short enough to be buffered.
    SlowBufferedReader,
    /// Sends small reads in batches, and reads the answers to one before it sends the next.
    ReadBatches,
    /// Sends small writes in batches without waiting, and reads the answers slowly.
    WriteBatches,
    /// Sends small reads in batches, with another volume and another plan in each request.
    NewNames,
    /// Sends whole bodies that are just buffered, one after the other, and reads no answers.
    WholeBodies,
    /// Sends a large request at the slowest rate that is allowed to clients.
    SlowUpload,
    /// Sends a large request at full speed to an endpoint that reads slowly.
    UploadToSlowEndpoint,
    /// Sends heads with far more fields than are accepted.
    ManyFields,
    /// Sends requests without the headers that are required.
    Unsound,
}

impl Kind {
    /// The kinds that make the process hold memory by being slow, or by sending ahead.
    pub const SLOW: [Kind; 7] = [
        Kind::SlowWriter,
        Kind::StalledUpload,
        Kind::ShortFields,
        Kind::PipelinedShortFields,
        Kind::PipelinedBytes,
        Kind::SlowReader,
        Kind::SlowBufferedReader,
    ];
    /// All kinds.
    pub const ALL: [Kind; 15] = [
        Kind::SlowWriter,
        Kind::StalledUpload,
        Kind::ShortFields,
        Kind::PipelinedShortFields,
        Kind::PipelinedBytes,
        Kind::SlowReader,
        Kind::SlowBufferedReader,
        Kind::ReadBatches,
        Kind::WriteBatches,
        Kind::NewNames,
        Kind::WholeBodies,
        Kind::SlowUpload,
        Kind::UploadToSlowEndpoint,
        Kind::ManyFields,
        Kind::Unsound,
    ];

    /// Returns whether clients of this kind do nothing but send or read slowly, or stop.
    pub fn is_slow(self) -> bool {
        matches!(
            self,
            Kind::SlowWriter
                | Kind::StalledUpload
                | Kind::SlowReader
                | Kind::SlowBufferedReader
                | Kind::SlowUpload
        )
    }

    /// Returns all that a client sends on one connection, or in one batch.
    fn bytes(self) -> Vec<u8> {
        match self {
            Kind::SlowWriter => get_or_put("PUT", '0', &"x".repeat(60_000), ""),
            Kind::StalledUpload => {
                let mut half = get_or_put("PUT", '0', &"x".repeat(4 << 20), "");
                half.truncate(half.len() / 2);
                half
            }
            Kind::ShortFields => get_or_put("GET", 'd', "", &short_fields(MAX_FIELDS - 8)),
            Kind::PipelinedShortFields => {
                let fields = short_fields(MAX_FIELDS - 8);
                let first = get_or_put("GET", 'd', "", "");
                let next = format!("GET / HTTP/1.1\r\n{fields}\r\n");
                [first, next.repeat(200).into_bytes()].concat()
            }
            Kind::PipelinedBytes => {
                let first = get_or_put("GET", 'd', "", "");
                let next = get_or_put("PUT", 'd', &"x".repeat(60_000), "");
                [first, next.repeat(20)].concat()
            }
            Kind::SlowReader => get_or_put("GET", 'f', "", ""),
            Kind::SlowBufferedReader => get_or_put("GET", 'e', "", "").repeat(8),
            Kind::ReadBatches => (0..BATCH).flat_map(|_| get_or_put("GET", '0', "", "")).collect(),
            Kind::WriteBatches => {
                (0..BATCH).flat_map(|_| get_or_put("PUT", '0', &"x".repeat(1000), "")).collect()
            }
            Kind::NewNames => (0..BATCH).flat_map(|_| with_new_names()).collect(),
            Kind::WholeBodies => get_or_put("PUT", '0', &"x".repeat(60_000), ""),
            Kind::SlowUpload => get_or_put("PUT", '0', &"x".repeat(4 << 20), ""),
            Kind::UploadToSlowEndpoint => get_or_put("PUT", 'c', &"x".repeat(16 << 20), ""),
            Kind::ManyFields => get_or_put("GET", '0', "", &short_fields(4000)),
            Kind::Unsound => b"GET /leitura/0 HTTP/1.1\r\nHost: api\r\n\r\n".to_vec(),
        }
    }

    /// Returns how many bytes a client sends in this time.
    fn bytes_within(self, time: Duration) -> usize {
        match self {
            Kind::SlowWriter | Kind::SlowUpload => (64_000.0 * time.as_secs_f64()) as usize,
            _ => MAX_PER_TURN,
        }
    }

    /// Returns how many bytes a client reads in this time.
    fn read_within(self, time: Duration) -> usize {
        match self {
            Kind::SlowReader => (100_000.0 * time.as_secs_f64()) as usize,
            Kind::WriteBatches => (10_000.0 * time.as_secs_f64()) as usize,
            Kind::SlowBufferedReader | Kind::WholeBodies => 0,
            _ => MAX_PER_TURN,
        }
    }

    /// Returns how many answers a client reads before it sends the next batch; `None`: it sends one batch on a
    /// connection.
    fn answers_per_batch(self) -> Option<usize> {
        match self {
            Kind::ReadBatches | Kind::NewNames => Some(BATCH),
            Kind::WriteBatches | Kind::WholeBodies => Some(0),
            _ => None,
        }
    }
}

/// How many small requests are sent at once.
const BATCH: usize = 50;
/// The most fields that a head of the HTTP library may have.
const MAX_FIELDS: usize = 96;

fn short_fields(count: usize) -> String {
    (0..count).map(|number| format!("{number:x}:\r\n")).collect()
}

/// Returns a request whose key ends in this digit, with further header fields.
fn get_or_put(method: &str, digit: char, body: &str, fields: &str) -> Vec<u8> {
    let (text, trace) = request(method, "leitura", 0, Duration::from_millis(1500), body);
    let text = String::from_utf8(text).unwrap();
    let key = format!("{}{digit}", &trace[1..]);
    let text = text.replacen(&format!("/leitura/{trace}"), &format!("/leitura/{key}"), 1);
    text.replacen("\r\nHost: api\r\n", &format!("\r\nHost: api\r\n{fields}"), 1).into_bytes()
}

/// Returns a small request of a volume and a plan that no other request has.
fn with_new_names() -> Vec<u8> {
    let text = String::from_utf8(get_or_put("GET", '0', "", "")).unwrap();
    let trace = text.split("X-Trace-Id: ").nth(1).unwrap()[..16].to_owned();
    let text = text.replacen("volume=00000000000000a1", &format!("volume={trace}"), 1);
    text.replacen("Policy: basico", &format!("Policy: p{trace}"), 1).into_bytes()
}

/// How long a turn over all clients of a flood takes at least.
const TURN: Duration = Duration::from_millis(4);
/// How many bytes a client sends and reads at most in one turn.
const MAX_PER_TURN: usize = 256 << 10;
/// How many threads play the clients of a flood.
const FLOOD_THREADS: usize = 3;
/// What each response begins with.
const RESPONSE_START: &[u8] = b"HTTP/1.1 ";

struct FloodClient {
    kind: Kind,
    stream: Option<TcpStream>,
    to_send: Vec<u8>,
    sent: usize,
    last_turn: Instant,
    /// How many bytes the client's rates allow to be sent and read now.
    sendable: usize,
    readable: usize,
    /// How many answers to the last batch have not come yet.
    awaited: usize,
}

impl FloodClient {
    fn new(kind: Kind) -> Self {
        FloodClient {
            kind,
            stream: None,
            to_send: Vec::new(),
            sent: 0,
            last_turn: Instant::now(),
            sendable: 0,
            readable: 0,
            awaited: 0,
        }
    }

    /// Sends and reads as much as the client does in one turn, on a new connection if the last one ended.
    fn turn(&mut self, to: SocketAddr, report: &mut FloodReport) {
        if self.stream.is_none() {
            let Ok(stream) = TcpStream::connect(to) else { return };
            let _ = stream.set_nonblocking(true);
            self.stream = Some(stream);
            self.begin_batch();
            report.connections += 1;
        }
        let elapsed = self.last_turn.elapsed();
        self.last_turn = Instant::now();
        self.sendable = (self.sendable + self.kind.bytes_within(elapsed)).min(MAX_PER_TURN);
        self.readable = (self.readable + self.kind.read_within(elapsed)).min(MAX_PER_TURN);
        if self.exchange(report).is_err() {
            self.stream = None;
        }
    }

    fn begin_batch(&mut self) {
        (self.to_send, self.sent) = (self.kind.bytes(), 0);
        self.awaited = self.kind.answers_per_batch().unwrap_or(0);
    }

    fn exchange(&mut self, report: &mut FloodReport) -> io::Result<()> {
        let Some(stream) = &mut self.stream else { return Ok(()) };
        let rest = &self.to_send[self.sent..];
        let part = &rest[..rest.len().min(self.sendable)];
        if !part.is_empty() {
            let sent = ignore_would_block(stream.write(part))?;
            self.sent += sent;
            self.sendable -= sent;
        }
        let mut buffer = vec![0; self.readable];
        if !buffer.is_empty() {
            let read = match stream.read(&mut buffer) {
                Ok(0) => return Err(io::ErrorKind::UnexpectedEof.into()),
                read => ignore_would_block(read)?,
            };
            self.readable -= read;
            let answers = buffer[..read].windows(RESPONSE_START.len()).filter(|part| *part == RESPONSE_START);
            let answers = answers.count();
            report.answers += answers;
            self.awaited = self.awaited.saturating_sub(answers);
        }
        let is_repeated = self.kind.answers_per_batch().is_some();
        if is_repeated && self.sent == self.to_send.len() && self.awaited == 0 {
            self.begin_batch();
        }
        Ok(())
    }
}

fn ignore_would_block(result: io::Result<usize>) -> io::Result<usize> {
    match result {
        Err(error) if error.kind() == io::ErrorKind::WouldBlock => Ok(0),
        result => result,
    }
}

/// What a flood did.
#[derive(Debug, Default)]
pub struct FloodReport {
    pub connections: usize,
    pub answers: usize,
}

/// A running flood.
pub struct Flood(Vec<std::thread::JoinHandle<FloodReport>>);

impl Flood {
    /// Starts clients of these kinds in turn. A client whose connection ends connects again.
    pub fn start(to: SocketAddr, clients: usize, kinds: &[Kind], duration: Duration) -> Self {
        let kinds: Vec<_> = kinds.iter().cycle().take(clients).copied().collect();
        let until = Instant::now() + duration;
        let threads = kinds.chunks(clients.div_ceil(FLOOD_THREADS)).map(|kinds| {
            let clients: Vec<_> = kinds.iter().copied().map(FloodClient::new).collect();
            std::thread::spawn(move || play(clients, to, until))
        });
        Flood(threads.collect())
    }

    /// Waits until the flood ends.
    pub fn join(self) -> FloodReport {
        let mut total = FloodReport::default();
        for thread in self.0 {
            let report = thread.join().unwrap();
            total.connections += report.connections;
            total.answers += report.answers;
        }
        total
    }
}

fn play(mut clients: Vec<FloodClient>, to: SocketAddr, until: Instant) -> FloodReport {
    let mut report = FloodReport::default();
    while Instant::now() < until {
        let next_turn = Instant::now() + TURN;
        clients.iter_mut().for_each(|client| client.turn(to, &mut report));
        std::thread::sleep(next_turn.saturating_duration_since(Instant::now()));
    }
    report
}

/// The answers to a sound client beside a flood.
#[derive(Debug, Default)]
pub struct SoundReport {
    pub served: usize,
    pub rejected: usize,
    pub failed: usize,
    /// Requests on a connection that was used before, which ended without an answer to them.
    pub closed: usize,
    /// Requests on a new connection that ended without an answer.
    pub closed_new: usize,
    /// Requests without an answer long after their time.
    pub silent: usize,
    pub slowest: Duration,
}

impl SoundReport {
    /// Adds the answers to another sound client.
    pub fn add(&mut self, other: &SoundReport) {
        self.served += other.served;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.closed += other.closed;
        self.closed_new += other.closed_new;
        self.silent += other.silent;
        self.slowest = self.slowest.max(other.slowest);
    }

    /// Returns how many requests were sent.
    pub fn sent(&self) -> usize {
        self.served + self.rejected + self.failed + self.closed + self.closed_new + self.silent
    }
}

/// Runs `count` sound clients until `until`, and returns what they saw together.
pub fn sound_clients(to: SocketAddr, count: usize, until: Instant) -> SoundReport {
    let clients: Vec<_> = (0..count).map(|_| std::thread::spawn(move || sound_client(to, until))).collect();
    let mut total = SoundReport::default();
    for client in clients {
        total.add(&client.join().unwrap());
    }
    total
}

/// The shard that the sound client asks for.
pub const SOUND_SHARD: u16 = 1;
/// How often the sound client asks.
const SOUND_INTERVAL: Duration = Duration::from_millis(20);
/// How long the sound client waits beyond the time of its request.
const SOUND_TIMEOUT: Duration = Duration::from_millis(2500);

/// Sends small reads on one connection until `until`, and on a new one where that is closed.
pub fn sound_client(to: SocketAddr, until: Instant) -> SoundReport {
    let mut report = SoundReport::default();
    let mut client: Option<(Client, bool)> = None;
    while Instant::now() < until {
        let (mut connection, used) = match client.take() {
            Some(client) => client,
            None => match Client::connect(to) {
                Ok(connection) => (connection, false),
                Err(_) => continue,
            },
        };
        let start = Instant::now();
        let text = String::from_utf8(get_or_put("GET", '0', "", "")).unwrap();
        let request = text.replace("shard=0", &format!("shard={SOUND_SHARD}")).into_bytes();
        let outcome = connection.ask(&request, SOUND_TIMEOUT).unwrap_or(ClientOutcome::Closed);
        match &outcome {
            ClientOutcome::Answered { status: 200, .. } => report.served += 1,
            ClientOutcome::Answered { status: 503, .. } => report.rejected += 1,
            ClientOutcome::Answered { .. } => report.failed += 1,
            ClientOutcome::Closed if used => report.closed += 1,
            ClientOutcome::Closed => report.closed_new += 1,
            ClientOutcome::Silent => report.silent += 1,
        }
        report.slowest = report.slowest.max(start.elapsed());
        if outcome.keeps_connection() {
            client = Some((connection, true));
        }
        std::thread::sleep(SOUND_INTERVAL);
    }
    report
}

/// What a client sends at full speed on one connection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Busy {
    /// Small reads, each of another volume and another key, sent several at once.
    NewNames,
    /// Small requests under a plan that does not exist, on a new connection whenever one is closed.
    Unsound,
}

/// How many requests a busy client sends before it reads their answers.
const BUSY_BATCH: usize = 32;

impl Busy {
    fn batch(self) -> (Vec<u8>, usize) {
        match self {
            Busy::NewNames => {
                let next = || {
                    let text = String::from_utf8(get_or_put("GET", '0', "", "")).unwrap();
                    let trace = text.split("X-Trace-Id: ").nth(1).unwrap()[..16].to_owned();
                    text.replacen("volume=00000000000000a1", &format!("volume={trace}"), 1)
                };
                ((0..BUSY_BATCH).map(|_| next()).collect::<String>().into_bytes(), BUSY_BATCH)
            }
            Busy::Unsound => {
                let text = String::from_utf8(get_or_put("GET", '0', "", "")).unwrap();
                (text.replace("basico", "none").into_bytes(), 1)
            }
        }
    }
}

/// Sends requests at full speed until `until`, and returns how many were answered.
pub fn busy_client(to: SocketAddr, busy: Busy, until: Instant) -> usize {
    let mut answered = 0;
    let mut client: Option<Client> = None;
    while Instant::now() < until {
        let Some(connection) = client.as_mut() else {
            client = Client::connect(to).ok();
            continue;
        };
        let (batch, count) = busy.batch();
        let is_sent = connection.send(&batch).is_ok();
        let mut keeps = is_sent;
        for _ in 0..count {
            let outcome = connection.answer(SOUND_TIMEOUT);
            answered += usize::from(matches!(outcome, ClientOutcome::Answered { .. }));
            keeps &= outcome.keeps_connection();
            if !keeps {
                break;
            }
        }
        if !keeps {
            client = None;
        }
    }
    answered
}
