//! Clients that leave, tested on the real process: nothing of theirs is sent on afterwards, and their ids do not
//! run a second time.

mod common;
use common::platform::*;
use common::program::*;
use socket2::SockRef;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

const DEADLINE: Duration = Duration::from_millis(500);

/// When each complete request arrived, and its trace id.
type Arrivals = Arc<Mutex<Vec<(Instant, String)>>>;

/// Starts an endpoint that reads bodies at `bytes_per_second` and answers after `service_time`.
fn start_endpoint(bytes_per_second: usize, service_time: Duration) -> (SocketAddr, Arrivals) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let (address, arrivals) = (listener.local_addr().unwrap(), Arrivals::default());
    let seen = arrivals.clone();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let seen = seen.clone();
            std::thread::spawn(move || serve(stream, bytes_per_second, service_time, &seen));
        }
    });
    (address, arrivals)
}

fn serve(stream: TcpStream, rate: usize, service_time: Duration, seen: &Arrivals) -> Option<()> {
    let _ = SockRef::from(&stream).set_recv_buffer_size(64 << 10);
    let mut stream = BufReader::new(stream);
    loop {
        let mut head = String::new();
        while !head.ends_with("\r\n\r\n") {
            if std::io::BufRead::read_line(&mut stream, &mut head).ok()? == 0 {
                return None;
            }
        }
        let trace = header_of(&head, "x-trace-id").unwrap_or_default().to_owned();
        let mut rest: usize = header_of(&head, "content-length").map_or(0, |length| length.parse().unwrap());
        while rest > 0 {
            let mut part = vec![0; rest.min(rate / 50)];
            stream.read_exact(&mut part).ok()?;
            rest -= part.len();
            std::thread::sleep(Duration::from_millis(20));
        }
        seen.lock().unwrap().push((Instant::now(), trace));
        std::thread::sleep(service_time);
        stream.get_mut().write_all(b"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok").ok()?;
    }
}

fn start(name: &str, endpoint: SocketAddr) -> (Running, SocketAddr) {
    let agent = StubDiscoveryAgent::start(&[entry("s-1", endpoint, 0, "up", 0)]);
    let text = configuration(agent.address, DEADLINE.as_millis() as u64, "", "");
    let config = file(&format!("departed-{name}-{}.json", std::process::id()), &text);
    let (process, lines, address) = Running::start(&mut shaletack(&["--config", &config]));
    std::thread::spawn(move || lines.for_each(drop));
    (process, address.parse().unwrap())
}

/// How long after its client closed a request may still begin.
const CLOSE_TOLERANCE: Duration = Duration::from_millis(100);

/// Guards against requests being sent on whose client closed its connection behind much that was still unread.
#[test]
fn nothing_is_sent_on_after_a_close_behind_much_that_is_unread() {
    let small = || request("GET", "leitura", 0, DEADLINE, "").0;
    let body = || request("PUT", "gravacao", 0, DEADLINE, &"x".repeat(60_000)).0;
    let large = |bytes: usize| request("PUT", "gravacao", 0, DEADLINE, &"x".repeat(bytes)).0;
    let rows: [(&str, Vec<u8>); 4] = [
        ("small requests", std::iter::repeat_with(small).take(600).flatten().collect()),
        ("requests with bodies", std::iter::repeat_with(body).take(20).flatten().collect()),
        ("a large request", large(3 << 20)),
        ("a large request behind a small one", [small(), large(3 << 20)].concat()),
    ];
    for (name, bytes) in rows {
        for abort in [false, true] {
            let (endpoint, arrivals) = start_endpoint(1 << 20, Duration::from_millis(60));
            let (_process, address) = start(&format!("{}-{abort}", name.replace(' ', "-")), endpoint);
            let mut client = TcpStream::connect(address).unwrap();
            client.set_nonblocking(true).unwrap();
            let (start, mut sent) = (Instant::now(), 0);
            while sent < bytes.len() && start.elapsed() < Duration::from_millis(300) {
                match client.write(&bytes[sent..]) {
                    Ok(count) => sent += count,
                    Err(_) => std::thread::sleep(Duration::from_millis(1)),
                }
            }
            if abort {
                SockRef::from(&client).set_linger(Some(Duration::ZERO)).unwrap();
            }
            drop(client);
            let closed_at = Instant::now();
            std::thread::sleep(Duration::from_millis(4000));
            let arrivals = arrivals.lock().unwrap();
            let late =
                arrivals.iter().filter_map(|(at, _)| at.checked_duration_since(closed_at + CLOSE_TOLERANCE));
            let late: Vec<Duration> = late.collect();
            assert!(late.is_empty(), "{name}, reset: {abort}, {sent} bytes: sent on {late:?} too late");
        }
    }
}
