//! Stand-ins of the platform: discovery's agent, targets, and helpers for clients, as the PROTOCOL page
//! describes them.

use crate::record::Record;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// A message: its start line and headers, and its body.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads one message with a body of stated length. `None`: the connection ended before.
    pub fn read(stream: &mut BufReader<TcpStream>) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let mut message = Message { head, body: Vec::new() };
        let length = message.header("content-length").map_or(0, |value| value.parse().unwrap_or(0));
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    pub fn start_line(&self) -> &str {
        self.head.lines().next().unwrap_or_default()
    }

    pub fn trace_id(&self) -> &str {
        self.header("x-trace-id").unwrap_or_default()
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.head.get(9..12).and_then(|digits| digits.parse().ok()).unwrap_or(0)
    }
}

/// How a target treats requests.
#[derive(Clone, Default)]
pub struct TargetControl {
    /// While set, the target takes connections, and reads, runs and answers nothing.
    pub hangs: Arc<AtomicBool>,
}

/// A target that runs and answers each request.
pub struct Target {
    pub address: SocketAddr,
    pub control: TargetControl,
    /// The id of each request that was run.
    runs: Arc<Mutex<Vec<String>>>,
}

impl Target {
    /// Starts a target whose requests take `work`.
    pub fn start(name: &'static str, work: Duration, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let target = Target { address, control: TargetControl::default(), runs: Arc::default() };
        let (control, runs, record) = (target.control.clone(), target.runs.clone(), record.clone());
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (control, runs, record) = (control.clone(), runs.clone(), record.clone());
                std::thread::spawn(move || serve_target(name, stream, work, &control, &runs, &record));
            }
        });
        Ok(target)
    }

    /// Returns the target's entry in discovery's list.
    pub fn entry(&self, id: &str, cell: u16) -> String {
        format!(
            r#"{{"id":"{id}","host_port":"{}","locality":"caxias-sala","flavor":"box-padrao","cell":{cell},"phase":"up","size":1.0,"up_since_ms":0}}"#,
            self.address
        )
    }

    /// Returns how often the request of this id was run.
    pub fn runs_of(&self, trace_id: &str) -> usize {
        self.runs.lock().unwrap().iter().filter(|id| *id == trace_id).count()
    }
}

/// Returns the body of a target's answer to the request of this id.
pub fn answer_body(trace_id: &str) -> String {
    format!("answer to {trace_id}")
}

fn serve_target(
    name: &str,
    stream: TcpStream,
    work: Duration,
    control: &TargetControl,
    runs: &Mutex<Vec<String>>,
    record: &Record,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        while control.hangs.load(Ordering::Relaxed) {
            std::thread::sleep(Duration::from_millis(10));
        }
        let request = Message::read(&mut stream)?;
        let trace_id = request.trace_id().to_owned();
        let (line, bytes) = (request.start_line(), request.body.len());
        record.note(format!("{name}: received whole: {line}, id {trace_id}, body of {bytes} bytes"));
        if control.hangs.load(Ordering::Relaxed) {
            record.note(format!("{name}: hangs with id {trace_id}"));
            // Reads until the initiator gives the attempt up.
            let _ = stream.read(&mut [0]);
            record.note(format!("{name}: the initiator closed the connection of id {trace_id}"));
            return None;
        }
        std::thread::sleep(work);
        runs.lock().unwrap().push(trace_id.clone());
        record.note(format!("{name}: ran id {trace_id}"));
        let body = answer_body(&trace_id);
        let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        stream.get_mut().write_all(answer.as_bytes()).ok()?;
    }
}

/// Starts discovery's agent with a list that does not change, and returns its address.
pub fn start_agent(entries: &[String]) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let list = format!(r#"{{"revision":41,"complete":true,"members":[{}]}}"#, entries.join(","));
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let list = list.clone();
            std::thread::spawn(move || serve_agent(stream, &list));
        }
    });
    Ok(address)
}

fn serve_agent(stream: TcpStream, list: &str) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        let call = Message::read(&mut stream)?;
        let out = stream.get_mut();
        if !call.start_line().contains("stream=1") {
            let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{list}", list.len());
            out.write_all(answer.as_bytes()).ok()?;
            continue;
        }
        let first = format!("{:x}\r\n{list}\n\r\n", list.len() + 1);
        out.write_all(format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{first}").as_bytes())
            .ok()?;
        loop {
            std::thread::sleep(Duration::from_secs(2));
            out.write_all(b"1\r\n\n\r\n").ok()?;
        }
    }
}

/// Returns a port of loopback that is free at present.
pub fn free_address() -> io::Result<SocketAddr> {
    TcpListener::bind("127.0.0.1:0")?.local_addr()
}

/// Returns the platform's configuration, with the classes, plans and rules of caxias-sala.
pub fn configuration(listen: SocketAddr, agent: SocketAddr, entries: &[String]) -> String {
    configuration_with_limits(listen, agent, entries, 192, 1024)
}

/// Like [`configuration`], with these limits on memory, in MB, and on descriptors.
pub fn configuration_with_limits(
    listen: SocketAddr,
    agent: SocketAddr,
    entries: &[String],
    memory_mb: usize,
    sockets: usize,
) -> String {
    let lane = |name: &str, aim: u64, deadline: u64, effect: &str, late: f64, value: f64| {
        format!(
            r#"{{"name":"{name}","aim":{},"deadline":{},"idempotency":"{effect}","group":"all","late-worth":{late},"memory-span":5000000000,"streamed":false,"value":{value}}}"#,
            aim * 1_000_000,
            deadline * 1_000_000
        )
    };
    let lanes = [
        lane("leitura", 150, 1200, "idempotent", 0.1, 2.0),
        lane("gravacao", 200, 1500, "at_most_once", 0.15, 2.0),
        lane("exportacao", 750, 2500, "idempotent", 0.3, 1.0),
    ]
    .join(",");
    let plans = r#"{"name":"basico","base-rate":2.3,"guaranteed":0,"never-over":23,"limit-burst":37,"tolerance":6,"shares":1,"price":0.72},{"name":"prioritario","base-rate":3.4,"guaranteed":2.7,"never-over":0,"limit-burst":0,"tolerance":0,"shares":3,"price":1}"#;
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":{memory_mb},"sockets":{sockets}}},
"known":{{"revision":41,"complete":true,"members":[{}]}},
"settings":{{"balancers":3,"rank":0,"my-zone":0,"zones":["caxias-sala"],"kinds":["box-padrao"],"family":"stores","step":2000000,"membership-mode":"pushed",
"clients":{{"marks-retry":false}},
"lanes":[{lanes}],"plans":[{plans}],
"limits":{{"cancelling":true,"connect-timeout":250000000,"keepalive":15000000000,"max-retry-after":500000000,"second-copies":false,"try-limit":4,"probes":true}},
"domain":{{"beyond-share":0.1,"changes-data":[false,true,false],"cold-bears":16.0,"meter-period":1000000000,"says-others":true,"shards":8,"share-worth":0.35,"unit-mean":2.02,"units-top":6}},
"invariants":{{"grace-to-answer":8000000,"overload-factor":3.0,"start-capacity":0.16,"stop-sending-within":1000000000,"tip-after":3000000000,"warm-up":16000000000}}}}}}"#,
        entries.join(",")
    )
}

/// What a client sends.
pub struct ClientRequest<'a> {
    pub method: &'a str,
    pub class: &'a str,
    pub key: u64,
    pub trace_id: &'a str,
    pub expires_in: Duration,
    pub shard: u16,
    pub units: u32,
    pub body_bytes: usize,
}

impl ClientRequest<'_> {
    /// Returns the head of the request.
    pub fn head(&self) -> String {
        let length = match self.method {
            "PUT" => format!("Content-Length: {}\r\n", self.body_bytes),
            _ => String::new(),
        };
        format!(
            "{} /{}/{:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {}\r\nX-Qos-Policy: prioritario\r\nX-Expires-In: {:.3}\r\n{length}X-Placement: volume=00000003b4d60021,units={},shard={},hosts=1\r\n\r\n",
            self.method, self.class, self.key, self.trace_id, self.expires_in.as_secs_f64(), self.units, self.shard
        )
    }
}

/// How a request ended for its client.
pub enum End {
    /// A whole answer came.
    Answered { status: u16, body: Vec<u8> },
    /// The connection ended before a whole answer.
    Closed { why: String },
    /// No whole answer came in time.
    Silent,
}

impl std::fmt::Display for End {
    fn fmt(&self, out: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        match self {
            End::Answered { status, body, .. } => {
                write!(out, "answered {status} with {:?}", String::from_utf8_lossy(body))
            }
            End::Closed { why, .. } => write!(out, "the connection ended without a whole answer: {why}"),
            End::Silent => write!(out, "no answer"),
        }
    }
}

/// Reads the answer to a request, for at most `timeout`.
pub fn read_answer(stream: &TcpStream, timeout: Duration) -> End {
    let until = Instant::now() + timeout;
    let mut received = Vec::new();
    let mut stream = stream;
    loop {
        if let Some(end) = whole_answer(&received) {
            return end;
        }
        let left = until.saturating_duration_since(Instant::now());
        if left.is_zero() || stream.set_read_timeout(Some(left)).is_err() {
            return End::Silent;
        }
        let mut part = [0; 4096];
        match stream.read(&mut part) {
            Ok(0) => return End::Closed { why: "end of stream".into() },
            Ok(count) => received.extend_from_slice(&part[..count]),
            Err(error) if matches!(error.kind(), io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut) => {}
            Err(error) => return End::Closed { why: error.to_string() },
        }
    }
}

/// Returns the answer once it is whole.
fn whole_answer(received: &[u8]) -> Option<End> {
    let end = received.windows(4).position(|bytes| bytes == b"\r\n\r\n")? + 4;
    let head = String::from_utf8_lossy(&received[..end]).into_owned();
    let message = Message { head, body: Vec::new() };
    let length = message.header("content-length").map_or(0, |value| value.parse().unwrap_or(0));
    let body = received.get(end..end + length)?.to_vec();
    Some(End::Answered { status: message.status(), body })
}

/// Waits until the initiator answers `GET /_health` with 200.
pub fn wait_ready(initiator: SocketAddr, timeout: Duration) -> io::Result<()> {
    let until = Instant::now() + timeout;
    while Instant::now() < until {
        if let Ok(mut stream) = TcpStream::connect(initiator) {
            stream.write_all(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n")?;
            if matches!(read_answer(&stream, Duration::from_secs(1)), End::Answered { status: 200, .. }) {
                return Ok(());
            }
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    Err(io::Error::other("the initiator did not become ready"))
}
