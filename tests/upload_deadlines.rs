//! When requests with large bodies are answered, tested on the real process: a client's time counts from the
//! last byte that it sent, whatever the endpoint does with the body.

mod common;
use common::platform::*;
use common::program::*;
use std::io::{Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::{Duration, Instant};

/// How long after its deadline a client still waits for an answer.
const LATE_ANSWER_TIMEOUT: Duration = Duration::from_millis(550);
/// The size of one write of a client.
const WRITE_BYTES: usize = 64 * 1024;

/// How the client frames its body.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Sized,
    Chunked,
}

/// What the endpoint does with a connection after it has accepted it.
#[derive(Clone, Copy, Debug)]
enum Reading {
    /// Reads this many bytes and then nothing more.
    Stops { after: usize },
    /// Reads up to 64 KiB at this interval.
    Slow { interval: Duration },
    /// Reads the whole request and answers it.
    All,
}

/// How the client sends its body.
struct Sending {
    framing: Framing,
    body_bytes: usize,
    /// How long the client waits before each write of the body but the first.
    pause: Duration,
}

/// Starts an endpoint that reads requests as told.
fn start_endpoint(reading: Reading) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || read_request(stream, reading));
        }
    });
    address
}

/// Reads one request. The connection closes when the initiator has closed it.
fn read_request(mut stream: TcpStream, reading: Reading) -> Option<()> {
    match reading {
        Reading::Stops { after } => {
            stream.read_exact(&mut vec![0; after]).ok()?;
            // Far longer than any deadline here.
            std::thread::sleep(Duration::from_secs(40));
        }
        Reading::Slow { interval } => {
            while stream.read(&mut [0; WRITE_BYTES]).ok()? > 0 {
                std::thread::sleep(interval);
            }
        }
        Reading::All => {
            let mut stream = std::io::BufReader::new(stream);
            while read_message(&mut stream).is_some() {
                stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\ndone").ok()?;
            }
        }
    }
    Some(())
}

/// Starts the process with one endpoint. Returns the address for clients.
fn start(name: &str, endpoint: SocketAddr) -> (Running, SocketAddr) {
    let agent = StubDiscoveryAgent::start(&[entry("s-00000001", endpoint, 0, "up", 0)]);
    let domain = r#""unit-mean":1,"units-top":1,"shards":1,"changes-data":[false,true]"#;
    let text = configuration(agent.address, 1500, domain, "");
    let path = file(&format!("upload-{}-{name}.json", std::process::id()), &text);
    let (child, _lines, address) = Running::start(&mut shaletack(&["--config", &path]));
    (child, address.parse().unwrap())
}

/// Sends a write, and waits for its answer until that is no longer in time. Returns the status, or `None` if
/// there was no answer, and how long after the last byte it came.
fn send(front: SocketAddr, sending: &Sending, deadline: Duration) -> (Option<u16>, Duration) {
    let mut stream = TcpStream::connect(front).unwrap();
    stream.set_nodelay(true).unwrap();
    let (text, _) = request("PUT", "gravacao", 0, deadline, "");
    let text = String::from_utf8(text).unwrap();
    let framing = match sending.framing {
        Framing::Sized => format!("Content-Length: {}", sending.body_bytes),
        Framing::Chunked => "Transfer-Encoding: chunked".to_owned(),
    };
    stream.write_all(text.replace("Content-Length: 0", &framing).as_bytes()).unwrap();
    let body = vec![b'w'; sending.body_bytes];
    for (number, part) in body.chunks(WRITE_BYTES).enumerate() {
        if number > 0 {
            std::thread::sleep(sending.pause);
        }
        let part = match sending.framing {
            Framing::Sized => part.to_vec(),
            Framing::Chunked => [format!("{:x}\r\n", part.len()).as_bytes(), part, b"\r\n"].concat(),
        };
        stream.write_all(&part).expect("the system accepts the whole body");
    }
    if matches!(sending.framing, Framing::Chunked) {
        stream.write_all(b"0\r\n\r\n").unwrap();
    }
    let sent_at = Instant::now();
    stream.set_read_timeout(Some(deadline + LATE_ANSWER_TIMEOUT)).unwrap();
    let mut head = [0; 12];
    let status = stream.read_exact(&mut head).ok();
    let status = status.map(|()| String::from_utf8_lossy(&head[9..]).parse().unwrap());
    (status, sent_at.elapsed())
}

const AT_ONCE: Duration = Duration::ZERO;

/// Guards against a request that was sent whole being answered many seconds late, because its endpoint does
/// not read its body and the client was believed to be still sending.
#[test]
fn a_large_request_is_answered_in_time_whatever_its_endpoint_reads() {
    let rows = [
        ("hangs-sized", Framing::Sized, 5_000_000, Reading::Stops { after: 0 }),
        ("hangs-chunked", Framing::Chunked, 5_000_000, Reading::Stops { after: 0 }),
        ("hangs-late", Framing::Sized, 5_500_000, Reading::Stops { after: 1_000_000 }),
        ("hangs-small", Framing::Sized, 100_000, Reading::Stops { after: 0 }),
        ("slow-sized", Framing::Sized, 5_000_000, Reading::Slow { interval: Duration::from_millis(100) }),
        ("slow-chunked", Framing::Chunked, 5_000_000, Reading::Slow { interval: Duration::from_millis(100) }),
    ];
    for (name, framing, body_bytes, reading) in rows {
        let (_child, front) = start(name, start_endpoint(reading));
        let sending = Sending { framing, body_bytes, pause: AT_ONCE };
        let deadline = Duration::from_millis(1000);
        let (status, took) = send(front, &sending, deadline);
        assert!(
            status.is_some(),
            "{name}: no answer {took:?} after the last byte, with {deadline:?} to live"
        );
    }
}

/// Guards against each attempt at a large request beginning its client's time anew.
#[test]
fn a_large_request_is_answered_in_time_where_connections_never_come_up() {
    let endpoint = StubEndpoint::start_with_full_backlog(Duration::ZERO);
    let (_child, front) = start("no-connection", endpoint.address);
    for (framing, deadline_ms) in [(Framing::Sized, 300), (Framing::Chunked, 300), (Framing::Sized, 500)] {
        let deadline = Duration::from_millis(deadline_ms);
        let sending = Sending { framing, body_bytes: 100_000, pause: AT_ONCE };
        let (status, took) = send(front, &sending, deadline);
        assert!(status.is_some(), "{framing:?}: no answer after {took:?}, with {deadline:?} to live");
    }
}

/// Guards against the time of a client that is still sending running out.
#[test]
fn a_client_that_sends_slowly_or_pauses_is_served() {
    let (_child, front) = start("slow-client", start_endpoint(Reading::All));
    for (framing, body_bytes, pause_ms) in
        [(Framing::Sized, 500_000, 300), (Framing::Sized, 200_000, 900), (Framing::Chunked, 200_000, 900)]
    {
        let pause = Duration::from_millis(pause_ms);
        let sending = Sending { framing, body_bytes, pause };
        let (status, took) = send(front, &sending, Duration::from_millis(400));
        assert_eq!(status, Some(200), "{framing:?}, {body_bytes} bytes with pauses of {pause:?}: {took:?}");
    }
}
