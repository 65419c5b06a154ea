//! Long responses that their endpoint writes slowly, tested on the real process: they reach the client whole.

mod common;
use common::platform::*;
use common::program::*;
use std::io::{BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::time::Duration;

const DEADLINE: Duration = Duration::from_millis(500);
const RESPONSE_BYTES: usize = 200_000;

/// How the endpoint frames its response.
#[derive(Clone, Copy, Debug)]
enum Framing {
    Sized,
    Chunked,
    /// The response ends with its connection.
    Closed,
}

/// How the endpoint writes its response: pieces of this many bytes, and a pause behind each.
#[derive(Clone, Copy, Debug)]
struct Pace {
    piece_bytes: usize,
    pause: Duration,
}

fn start_endpoint(framing: Framing, pace: Pace) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let address = listener.local_addr().unwrap();
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            std::thread::spawn(move || respond(stream, framing, pace));
        }
    });
    address
}

fn respond(stream: TcpStream, framing: Framing, pace: Pace) -> Option<()> {
    let mut stream = BufReader::new(stream);
    read_message(&mut stream)?;
    let stream = stream.get_mut();
    let framing_header = match framing {
        Framing::Sized => format!("Content-Length: {RESPONSE_BYTES}"),
        Framing::Chunked => "Transfer-Encoding: chunked".into(),
        Framing::Closed => "Connection: close".into(),
    };
    stream.write_all(format!("HTTP/1.1 200 OK\r\n{framing_header}\r\n\r\n").as_bytes()).ok()?;
    for piece in vec![b'x'; RESPONSE_BYTES].chunks(pace.piece_bytes) {
        if matches!(framing, Framing::Chunked) {
            stream.write_all(format!("{:x}\r\n", piece.len()).as_bytes()).ok()?;
        }
        stream.write_all(piece).ok()?;
        if matches!(framing, Framing::Chunked) {
            stream.write_all(b"\r\n").ok()?;
        }
        std::thread::sleep(pace.pause);
    }
    if matches!(framing, Framing::Chunked) {
        stream.write_all(b"0\r\n\r\n").ok()?;
    }
    Some(())
}

/// Requests the response, and returns how many bytes of its body arrive.
fn received(framing: Framing, pace: Pace) -> usize {
    let agent = StubDiscoveryAgent::start(&[entry("s-1", start_endpoint(framing, pace), 0, "up", 0)]);
    let text = configuration(agent.address, DEADLINE.as_millis() as u64, "", "");
    let name = format!("slow-response-{framing:?}-{}-{}.json", pace.piece_bytes, std::process::id());
    let (_process, lines, address) = Running::start(&mut shaletack(&["--config", &file(&name, &text)]));
    std::thread::spawn(move || lines.for_each(drop));
    let mut client = TcpStream::connect(address).unwrap();
    client.set_read_timeout(Some(Duration::from_secs(15))).unwrap();
    client.write_all(&request("GET", "leitura", 0, DEADLINE, "").0).unwrap();
    let (mut bytes, mut part) = (0, [0; 65_536]);
    while bytes < RESPONSE_BYTES {
        match client.read(&mut part) {
            Ok(0) | Err(_) => break,
            Ok(count) => bytes += part[..count].iter().filter(|byte| **byte == b'x').count(),
        }
    }
    bytes
}

/// Guards against a long response being cut off while its endpoint is still writing it.
#[test]
fn a_long_response_that_is_written_slowly_reaches_its_client_whole() {
    let paces = [
        Pace { piece_bytes: 10_000, pause: Duration::from_millis(300) },
        Pace { piece_bytes: 500, pause: Duration::from_millis(10) },
        Pace { piece_bytes: 70_000, pause: Duration::from_millis(3000) },
    ];
    let mut plays = Vec::new();
    for framing in [Framing::Sized, Framing::Chunked, Framing::Closed] {
        plays.extend(paces.map(|pace| (framing, pace, std::thread::spawn(move || received(framing, pace)))));
    }
    for (framing, pace, play) in plays {
        assert_eq!(play.join().unwrap(), RESPONSE_BYTES, "{framing:?}, {pace:?}");
    }
}
