//! The platform around one initiator: discovery's agent, targets over HTTP behind a proxy that delays, and the
//! configuration.

use crate::process::Process;
use crate::record::Record;
use crate::{free_port, wait_until, TempFolder};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::process::Command;
use std::sync::mpsc::{channel, Receiver, RecvTimeoutError};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

/// A message of HTTP/1.1: its head, and the body of stated length.
pub struct Message {
    pub head: String,
    pub body: Vec<u8>,
}

impl Message {
    /// Reads the next message. `None`: the connection ended.
    pub fn read(stream: &mut impl BufRead) -> Option<Message> {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if stream.read_line(&mut head).ok()? == 0 {
                return None;
            }
        }
        let mut message = Message { head, body: Vec::new() };
        let length = message.header("content-length").and_then(|value| value.parse().ok()).unwrap_or(0);
        message.body = vec![0; length];
        stream.read_exact(&mut message.body).ok()?;
        Some(message)
    }

    /// Returns the value of a header.
    pub fn header(&self, name: &str) -> Option<&str> {
        let mut lines = self.head.lines().filter_map(|line| line.split_once(':'));
        lines.find(|(key, _)| key.eq_ignore_ascii_case(name)).map(|(_, value)| value.trim())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        self.head.split(' ').nth(1).and_then(|status| status.parse().ok()).unwrap_or(0)
    }
}

/// What a target does beyond serving.
#[derive(Clone, Copy)]
pub struct Copies {
    /// How late a second copy of an answer is sent. `None`: none is.
    pub late: Option<Duration>,
    /// How many answers a target gives before it sends its one second copy.
    pub after: usize,
}

/// What the targets did with each request, by its id.
#[derive(Default)]
pub struct Seen {
    pub ran: Vec<String>,
    pub cancelled: Vec<String>,
    pub copies: usize,
}

enum Event {
    Request(Message),
    Ended,
}

/// Starts a target that answers each request with the same two bytes after `work`, and stops its work when the
/// connection of the request ends. Returns its port.
pub fn start_target(
    record: &Record,
    name: usize,
    work: Duration,
    copies: Copies,
    seen: Arc<Mutex<Seen>>,
) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("the port's number").port();
    let record = record.clone();
    thread::spawn(move || {
        let state = Arc::new(Mutex::new((0, false)));
        for stream in listener.incoming().flatten() {
            let (record, seen, state) = (record.clone(), seen.clone(), state.clone());
            thread::spawn(move || serve_target(stream, &record, name, work, copies, &seen, &state));
        }
    });
    port
}

fn serve_target(
    mut stream: TcpStream,
    record: &Record,
    name: usize,
    work: Duration,
    copies: Copies,
    seen: &Mutex<Seen>,
    state: &Mutex<(usize, bool)>,
) -> Option<()> {
    const ANSWER: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok";
    stream.set_nodelay(true).ok()?;
    let events = read_events(stream.try_clone().ok()?);
    let mut on_connection = 0;
    let mut next = None;
    loop {
        let event = match next.take() {
            Some(event) => event,
            None => events.recv().ok()?,
        };
        let Event::Request(request) = event else { return None };
        let id = request.header("x-trace-id").unwrap_or_default().to_owned();
        record.say(&format!("target {name} has {id}"));
        // One request at a time travels on a connection: what comes during the work is its end.
        if !matches!(events.recv_timeout(work), Err(RecvTimeoutError::Timeout)) {
            record.say(&format!("target {name} stops its work on {id}: the connection ended"));
            seen.lock().ok()?.cancelled.push(id);
            return None;
        }
        record.say(&format!("target {name} has run {id}, and answers"));
        seen.lock().ok()?.ran.push(id);
        stream.write_all(ANSWER).ok()?;
        on_connection += 1;
        let copy_due = {
            let mut state = state.lock().ok()?;
            state.0 += 1;
            let due = copies.late.is_some() && state.0 > copies.after && !state.1 && on_connection == 1;
            state.1 |= due;
            due
        };
        if let Some(late) = copies.late.filter(|_| copy_due) {
            // Only if nothing else is waiting on the connection by then.
            match events.recv_timeout(late) {
                Err(RecvTimeoutError::Timeout) => {
                    record
                        .say(&format!("target {name} sends a second copy of its last answer, {late:?} late"));
                    seen.lock().ok()?.copies += 1;
                    stream.write_all(ANSWER).ok()?;
                }
                Err(RecvTimeoutError::Disconnected) => return None,
                Ok(event) => next = Some(event),
            }
        }
    }
}

fn read_events(stream: TcpStream) -> Receiver<Event> {
    let (sender, events) = channel();
    thread::spawn(move || {
        let mut stream = BufReader::new(stream);
        while let Some(message) = Message::read(&mut stream) {
            if sender.send(Event::Request(message)).is_err() {
                return;
            }
        }
        let _ = sender.send(Event::Ended);
    });
    events
}

/// Starts a proxy that passes everything on after `delay`, each way. Returns its port.
pub fn start_proxy(to: u16, delay: Duration) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("the port's number").port();
    thread::spawn(move || {
        for client in listener.incoming().flatten() {
            let Ok(server) = TcpStream::connect(("127.0.0.1", to)) else { continue };
            let ends = (client.try_clone(), server.try_clone());
            if let (Ok(client_too), Ok(server_too)) = ends {
                pass_on(client, server, delay);
                pass_on(server_too, client_too, delay);
            }
        }
    });
    port
}

fn pass_on(mut from: TcpStream, mut to: TcpStream, delay: Duration) {
    let (sender, pieces) = channel::<(Instant, Vec<u8>)>();
    let _ = to.set_nodelay(true);
    thread::spawn(move || {
        let mut buffer = [0; 65536];
        loop {
            let count = from.read(&mut buffer).unwrap_or(0);
            if sender.send((Instant::now() + delay, buffer[..count].to_vec())).is_err() || count == 0 {
                return;
            }
        }
    });
    thread::spawn(move || {
        for (at, piece) in pieces {
            thread::sleep(at.saturating_duration_since(Instant::now()));
            if piece.is_empty() || to.write_all(&piece).is_err() {
                let _ = to.shutdown(Shutdown::Write);
                return;
            }
        }
    });
}

/// Starts discovery's agent, which answers each watch with the whole list, and then with an empty line a second.
pub fn start_agent(members: String) -> u16 {
    let listener = TcpListener::bind("127.0.0.1:0").expect("a port");
    let port = listener.local_addr().expect("the port's number").port();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let members = members.clone();
            thread::spawn(move || {
                let mut out = stream.try_clone().ok()?;
                Message::read(&mut BufReader::new(stream))?;
                let line = format!("{members}\n");
                let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
                out.write_all(format!("{head}{:x}\r\n{line}\r\n", line.len()).as_bytes()).ok()?;
                loop {
                    thread::sleep(Duration::from_secs(1));
                    out.write_all(b"1\r\n\n\r\n").ok()?;
                }
                #[allow(unreachable_code)]
                Some(())
            });
        }
    });
    port
}

/// Returns the list of targets in discovery's form, one for each port, which is also its shard's number.
pub fn members(ports: &[u16]) -> String {
    let entry = |(shard, port): (usize, &u16)| {
        format!(
            r#"{{"id":"s-{:08x}","host_port":"127.0.0.1:{port}","locality":"room-b","flavor":"small-2core","cell":{shard},"phase":"up","size":1.0,"up_since_ms":0}}"#,
            shard + 1
        )
    };
    let entries: Vec<String> = ports.iter().enumerate().map(entry).collect();
    format!(r#"{{"revision":1,"complete":true,"members":[{}]}}"#, entries.join(","))
}

/// Starts one initiator with the settings of the second deployment and waits until it is ready. Returns it with the
/// port for clients.
pub fn start_initiator(folder: &TempFolder, agent: u16, members: &str) -> (Process, u16) {
    let port = free_port();
    let settings = r#"{"balancers":1,"rank":0,"my-zone":0,"zones":["room-a","room-b"],"step":2000000,"family":"stores","kinds":["small-2core"],
 "membership-mode":"pushed","tier":0,"tiers":["booking-store"],"weights":"nominal","clients":{"marks-retry":true},
 "domain":{"beyond-share":0.08,"changes-data":[false,true,false],"cold-bears":16.0,"meter-period":2000000000,"says-others":false,"shards":4,"share-worth":1.0,"unit-mean":2.0,"units-top":8},
 "invariants":{"ask-within":10000000000,"grace-to-answer":8000000,"overload-factor":4.0,"start-capacity":0.19,"stop-sending-within":250000000,"tip-after":1500000000,"warm-up":17000000000},
 "lanes":[
  {"aim":300000000,"deadline":2500000000,"group":"all","idempotency":"idempotent","late-worth":0.1,"memory-span":5000000000,"name":"table-lookup","streamed":false,"value":2.0},
  {"aim":400000000,"deadline":3000000000,"group":"zone","idempotency":"deduplicated","late-worth":0.15,"memory-span":5000000000,"name":"booking-write","streamed":false,"value":2.0},
  {"aim":1200000000,"deadline":4000000000,"group":"all","idempotency":"idempotent","late-worth":0.3,"memory-span":5000000000,"name":"member-export","streamed":false,"value":1.0}],
 "limits":{"cancelling":true,"connect-timeout":250000000,"cpu-us-per-request":0.0,"cpu-us-per-s":500000,"keepalive":30000000000,"max-open":20710,"max-retry-after":1000000000,"max-streams":1,"peers":false,"probes":true,"retry-after":true,"second-copies":true,"try-limit":3},
 "plans":[{"base-rate":5.0,"guaranteed":0.0,"limit-burst":0.0,"name":"standard","never-over":0.0,"price":0.9,"shares":2.0,"tolerance":0.0}],
 "report":{"fields":["utilization","outstanding"],"how":"pull"}}"#;
    let text = format!(
        r#"{{"name":"n1","listen":"127.0.0.1:{port}","discovery":"127.0.0.1:{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},"known":{members},"settings":{settings}}}"#
    );
    let config = folder.file("config.json");
    std::fs::write(&config, text).expect("the configuration can be written");
    let temporary = folder.file("tmp");
    std::fs::create_dir_all(&temporary).expect("a folder");
    let mut command = Command::new("target/release/shaletack");
    command
        .env("ROUTER_NAME", "n1")
        .env("ROUTER_LISTEN", format!("127.0.0.1:{port}"))
        .env("ROUTER_DISCOVERY", format!("127.0.0.1:{agent}"))
        .env("ROUTER_CONFIG", &config)
        .env("TMPDIR", &temporary);
    let process = Process::start_guarded(&mut command, &folder.file("initiator.log"));
    let ready = || health(port) == Some(200);
    assert!(wait_until(Duration::from_secs(30), ready), "the initiator is ready");
    (process, port)
}

fn health(port: u16) -> Option<u16> {
    let mut stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.write_all(b"GET /_health HTTP/1.1\r\nHost: api.internal\r\n\r\n").ok()?;
    Message::read(&mut BufReader::new(stream)).map(|answer| answer.status())
}
