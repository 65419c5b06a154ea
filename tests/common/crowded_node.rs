//! A real process with little memory, whose endpoints answer at once, never, slowly or with long responses, as the
//! last digit of a request's key says.

use super::flood::SOUND_SHARD;
use super::platform::*;
use super::program::*;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::LazyLock;
use std::time::Duration;

/// The deadline of requests.
pub const DEADLINE: Duration = Duration::from_millis(1500);
const LONG_RESPONSE_BYTES: usize = 8 << 20;
/// The longest response that stays below the limit of streamed bodies in round numbers.
const LONGEST_RESPONSE_BYTES: usize = 32 << 20;
/// The size of the largest response that the process buffers whole.
const BUFFERED_RESPONSE_BYTES: usize = 60_000;
/// At what rate a slow endpoint reads a body, in bytes per second, and how many bytes at a time.
const SLOW_ENDPOINT_RATE: f64 = 80e3;
const SLOW_ENDPOINT_READ: usize = 4096;

/// The bytes that responses are taken from.
static LONGEST_RESPONSE: LazyLock<Vec<u8>> = LazyLock::new(|| vec![b'x'; LONGEST_RESPONSE_BYTES]);

/// Starts an endpoint whose behaviour follows the last digit of a request's key: `b` and `f` are answered with long
/// responses, `c` is read slowly, `d` is never answered, `e` is answered with a response that is just buffered, and
/// others with their trace id.
pub fn start_endpoint() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || answer_all(stream));
        }
    });
    address
}

fn answer_all(stream: TcpStream) -> Option<()> {
    let _ = stream.set_nodelay(true);
    let mut stream = BufReader::with_capacity(SLOW_ENDPOINT_READ, stream);
    loop {
        let head = read_head(&mut stream)?;
        let digit = *head.split(' ').nth(1)?.as_bytes().last()?;
        let length = header_of(&head, "content-length").map_or(0, |value| value.parse().unwrap());
        read_body(&mut stream, length, digit == b'c')?;
        let trace = header_of(&head, "x-trace-id").unwrap_or_default().to_owned();
        let body = match digit {
            b'b' => &LONGEST_RESPONSE[..],
            b'f' => &LONGEST_RESPONSE[..LONG_RESPONSE_BYTES],
            b'e' => &LONGEST_RESPONSE[..BUFFERED_RESPONSE_BYTES],
            b'd' => {
                let _ = stream.read(&mut [0]);
                return None;
            }
            _ => trace.as_bytes(),
        };
        let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
        stream.get_mut().write_all(head.as_bytes()).ok()?;
        stream.get_mut().write_all(body).ok()?;
    }
}

fn read_head(stream: &mut BufReader<TcpStream>) -> Option<String> {
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if stream.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    Some(head)
}

/// Reads a body of this length; slowly or at full speed.
fn read_body(stream: &mut BufReader<TcpStream>, length: usize, is_slow: bool) -> Option<()> {
    let mut rest = length;
    let mut part = [0; SLOW_ENDPOINT_READ];
    while rest > 0 {
        let count = stream.read(&mut part[..rest.min(SLOW_ENDPOINT_READ)]).ok().filter(|count| *count > 0)?;
        rest -= count;
        if is_slow {
            std::thread::sleep(Duration::from_secs_f64(count as f64 / SLOW_ENDPOINT_RATE));
        }
    }
    Some(())
}

/// Starts the process with this much memory, and an endpoint for each of two shards.
pub fn start(name: &str, memory_mib: u64, descriptors: usize) -> (Running, SocketAddr) {
    let agent = StubDiscoveryAgent::start(&[
        entry("s-1", start_endpoint(), 0, "up", 0),
        entry("s-2", start_endpoint(), SOUND_SHARD, "up", 0),
        entry("s-3", start_endpoint(), 2, "up", 0),
        entry("s-4", start_endpoint(), 3, "up", 0),
    ]);
    let text = configuration(agent.address, DEADLINE.as_millis() as u64, "", "")
        .replace("\"memory_mb\":192", &format!("\"memory_mb\":{memory_mib}"))
        .replace("\"sockets\":1024", &format!("\"sockets\":{descriptors}"));
    let config = file(&format!("client-memory-{name}-{}.json", std::process::id()), &text);
    let (process, lines, address) = Running::start(&mut shaletack(&["--config", &config]));
    std::thread::spawn(move || lines.for_each(drop));
    (process, address.parse().unwrap())
}
