//! Which response belongs to which request on a connection to an endpoint, tested on the real process with
//! endpoints that send second copies of their responses.

mod common;
use common::platform::*;
use common::program::*;
use std::collections::BTreeMap;
use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// How long the endpoint works on a request.
const SERVICE_TIME: Duration = Duration::from_millis(25);
const DEADLINE: Duration = Duration::from_millis(1500);
/// How long the clients wait between two requests. Connections to endpoints rest for less time than this
/// before they are reused.
const CLIENT_PAUSE: Duration = Duration::from_millis(10);
const REQUESTS: usize = 12;

/// How the endpoint frames its responses.
#[derive(Clone, Copy, Debug)]
enum Form {
    /// With `Content-Length` and a body of this many bytes.
    Sized(usize),
    /// In two chunks, with a body of this many bytes.
    Chunked(usize),
    /// With `Content-Length` and the same body in every response.
    Constant,
}

/// Which responses the endpoint sends twice.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Copies {
    /// None.
    None,
    /// One in three.
    Responses,
    /// One in three, which are rejections and say that the request never ran.
    Rejections,
}

impl Form {
    /// Returns the body of the response to a request: its trace id, repeated up to the length.
    fn body(self, trace: &str) -> Vec<u8> {
        let (Form::Sized(length) | Form::Chunked(length)) = self else { return b"done".to_vec() };
        trace.bytes().cycle().take(length.max(trace.len())).collect()
    }

    fn is_streamed(self) -> bool {
        matches!(self, Form::Sized(length) | Form::Chunked(length) if length > 64 * 1024)
    }

    fn response(self, trace: &str) -> Vec<u8> {
        let body = self.body(trace);
        let text = match self {
            Form::Sized(_) | Form::Constant => {
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len())
            }
            Form::Chunked(_) => "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned(),
        };
        let mut response = text.into_bytes();
        match self {
            Form::Sized(_) | Form::Constant => response.extend_from_slice(&body),
            Form::Chunked(_) => {
                for chunk in body.chunks(body.len().div_ceil(2)) {
                    response.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
                    response.extend_from_slice(chunk);
                    response.extend_from_slice(b"\r\n");
                }
                response.extend_from_slice(b"0\r\n\r\n");
            }
        }
        response
    }
}

/// An endpoint that sends responses twice. The second copy arrives behind the first byte of the next request
/// on its connection, as it does on a path of some milliseconds.
struct RepeatingEndpoint {
    address: SocketAddr,
    /// How often the endpoint ran each request, by trace id.
    runs: Arc<Mutex<BTreeMap<String, usize>>>,
}

impl RepeatingEndpoint {
    fn start(form: Form, copies: Copies) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::<Mutex<BTreeMap<String, usize>>>::default();
        let (counted, requests) = (runs.clone(), Arc::new(AtomicUsize::new(0)));
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let (runs, requests) = (counted.clone(), requests.clone());
                std::thread::spawn(move || serve(stream, form, copies, &requests, &runs));
            }
        });
        RepeatingEndpoint { address, runs }
    }
}

fn serve(
    stream: TcpStream,
    form: Form,
    copies: Copies,
    requests: &AtomicUsize,
    runs: &Mutex<BTreeMap<String, usize>>,
) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    let mut second_copy = Vec::new();
    loop {
        let (head, _) = read_message(&mut stream)?;
        stream.get_mut().write_all(&std::mem::take(&mut second_copy)).ok()?;
        let trace = header_of(&head, "x-trace-id").unwrap_or_default();
        std::thread::sleep(SERVICE_TIME);
        let is_repeated = requests.fetch_add(1, Ordering::Relaxed) % 3 == 1;
        let response = if copies == Copies::Rejections && is_repeated {
            b"HTTP/1.1 503 Busy\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n".to_vec()
        } else {
            *runs.lock().unwrap().entry(trace.to_owned()).or_default() += 1;
            form.response(trace)
        };
        if copies != Copies::None && is_repeated {
            second_copy = response.clone();
        }
        stream.get_mut().write_all(&response).ok()?;
    }
}

/// Sends requests one after another. Returns how many were served.
///
/// # Panics
/// A request was served with the response to another one.
fn send_requests(front: SocketAddr, method: &str, class: &str, form: Form) -> usize {
    let mut client = Client::connect(front).unwrap();
    let mut served = 0;
    for _ in 0..REQUESTS {
        let (request, trace) = request(method, class, 0, DEADLINE, if method == "PUT" { "data" } else { "" });
        let outcome = client.ask(&request, 2 * DEADLINE).unwrap();
        if let ClientOutcome::Answered { status: 200, body, .. } = &outcome {
            let is_own = *body == form.body(&trace);
            assert!(is_own, "{method} {trace} was served with the response to {:?}", body.get(..16));
            served += 1;
        }
        if !outcome.keeps_connection() {
            client = Client::connect(front).unwrap();
        }
        std::thread::sleep(CLIENT_PAUSE);
    }
    served
}

/// Plays one row: starts the process with one endpoint, and sends it reads and writes.
fn play(name: &str, form: Form, copies: Copies) {
    let endpoint = RepeatingEndpoint::start(form, copies);
    let agent = StubDiscoveryAgent::start(&[entry("s-00000001", endpoint.address, 0, "up", 0)]);
    let domain = r#""unit-mean":1,"units-top":1,"shards":1,"changes-data":[false,true]"#;
    let text = configuration(agent.address, DEADLINE.as_millis() as u64, domain, "");
    let path = file(&format!("attribution-{}-{name}.json", std::process::id()), &text);
    let (_child, _lines, front) = Running::start(&mut shaletack(&["--config", &path]));
    let front: SocketAddr = front.parse().unwrap();
    let served = [("GET", "leitura"), ("PUT", "gravacao")]
        .map(|(method, class)| send_requests(front, method, class, form));
    // A copy that is streamed can only be broken off.
    let broken_off = usize::from(form.is_streamed() && copies == Copies::Responses);
    assert!(served.iter().all(|served| *served + broken_off >= REQUESTS), "{name}: served {served:?}");
    let runs = endpoint.runs.lock().unwrap();
    let repeated: Vec<_> = runs.iter().filter(|(_, runs)| **runs > 1).collect();
    assert!(repeated.is_empty(), "{name}: requests that ran more than once: {repeated:?}");
}

/// Guards against a late second copy of a response being served as the response to the next request on its
/// connection, after which every response there went to the request behind its own.
#[test]
fn a_late_second_copy_of_a_response_serves_no_other_request() {
    play("sized", Form::Sized(0), Copies::Responses);
    play("chunked", Form::Chunked(0), Copies::Responses);
    play("sized-streamed", Form::Sized(150_000), Copies::Responses);
    play("chunked-streamed", Form::Chunked(150_000), Copies::Responses);
    play("constant", Form::Constant, Copies::Responses);
}

/// Guards against equal responses of an endpoint that answers every request alike being taken for copies.
#[test]
fn equal_responses_that_are_no_copies_are_served_by_one_attempt() {
    play("constant-without-copies", Form::Constant, Copies::None);
    play("sized-without-copies", Form::Sized(0), Copies::None);
}

/// Guards against a late second copy of a rejection being taken to say that the next request on its
/// connection never ran: a write was then sent again although it ran.
#[test]
fn a_late_second_copy_of_a_rejection_repeats_no_write() {
    play("rejection", Form::Sized(0), Copies::Rejections);
}
