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

/// Guards against an id running twice that comes again while its first request is still being sent, or after
/// the client of that left.
#[test]
fn an_id_that_comes_again_runs_once_however_long_its_first_request_took() {
    for leaves in [false, true] {
        let (endpoint, arrivals) = start_endpoint(8 << 20, Duration::ZERO);
        let (_process, address) = start(&format!("id-{leaves}"), endpoint);
        let (upload, trace) = request("PUT", "gravacao", 0, DEADLINE, &"x".repeat(200_000));
        let mut first = TcpStream::connect(address).unwrap();
        // 100 kB a second: the request takes four times as long as ids of short requests are remembered.
        let (last, most) = upload.split_last_chunk::<40_000>().map(|(most, last)| (last, most)).unwrap();
        for part in most.chunks(10_000) {
            first.write_all(part).unwrap();
            std::thread::sleep(Duration::from_millis(100));
        }
        let mut first = Some(first);
        if leaves {
            first = None;
            std::thread::sleep(Duration::from_millis(100));
        }
        let (again, other) = request("PUT", "gravacao", 0, DEADLINE, "again");
        let again = String::from_utf8(again).unwrap().replace(&other, &trace);
        let outcome =
            Client::connect(address).unwrap().ask(again.as_bytes(), Duration::from_secs(2)).unwrap();
        let is_refused = matches!(outcome, ClientOutcome::Answered { status: 409, .. });
        assert!(is_refused, "leaves: {leaves}: {outcome:?}");
        if let Some(first) = &mut first {
            first.write_all(last).unwrap();
            std::thread::sleep(Duration::from_millis(300));
        }
        let runs = arrivals.lock().unwrap().iter().filter(|(_, id)| *id == trace).count();
        assert_eq!(runs, usize::from(!leaves), "leaves: {leaves}: how often the id ran");
    }
}
