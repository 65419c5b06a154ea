//! A target that sends a second copy of an answer some milliseconds late, while the next request is still on
//! its way.

use crate::network::DelayedPath;
use crate::platform::{answer_body, free_address, read_answer, start_agent, wait_ready, End, Message};
use crate::process::Initiator;
use crate::record::Record;
use crate::{Run, Verdict};
use std::io::{self, BufReader, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::Arc;
use std::time::Duration;

/// The time between the two rooms, one way.
const ONE_WAY: Duration = Duration::from_millis(2);
/// How late the second copy is sent.
const SECOND_AFTER: Duration = Duration::from_millis(2);
/// One of this many answers is sent twice.
const SECOND_EVERY: usize = 10;
const WORK: Duration = Duration::from_millis(25);
/// How many requests each of the two clients sends.
const REQUESTS: u64 = 40;

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let target = start_target(run.trouble, record)?;
    let path = DelayedPath::start(target, ONE_WAY)?;
    record.note(format!("target: reached with {ONE_WAY:?} one way"));
    let entries = [format!(
        r#"{{"id":"s-5be2a07c","host_port":"{}","locality":"room-b","flavor":"small-2core","cell":0,"phase":"up","size":1.0,"up_since_ms":0}}"#,
        path.address
    )];
    let (listen, agent) = (free_address()?, start_agent(&entries)?);
    let file = run.folder.join("config.json");
    std::fs::write(&file, configuration(listen, agent, &entries))?;
    let variables = run.variables(listen, agent, &file);
    let initiator = Initiator::start(&run.root, &run.folder, "", &variables, record)?;
    wait_ready(listen, Duration::from_secs(10))?;

    let clients = [("client 1", 0xa1), ("client 2", 0xb2)].map(|(name, volume)| {
        let record = record.clone();
        std::thread::spawn(move || ask(name, volume, listen, &record))
    });
    let (mut served, mut foreign) = (0, Vec::new());
    for client in clients {
        let answers = client.join().map_err(|_| io::Error::other("a client panicked"))??;
        served += answers.served;
        foreign.extend(answers.foreign);
    }
    initiator.note_log();
    record.note(format!(
        "{served} of {} requests were served, {} with foreign data",
        2 * REQUESTS,
        foreign.len()
    ));
    match foreign.first() {
        Some(first) => Ok(Verdict::Broken(format!("a client got the data of another request: {first}"))),
        None if served == 0 => Err(io::Error::other("no request was served")),
        None => Ok(Verdict::Held),
    }
}

/// What a client got.
struct Answers {
    served: usize,
    /// What it was served that was made for another request.
    foreign: Vec<String>,
}

/// Sends requests of one volume, one after the other.
fn ask(name: &str, volume: u64, initiator: SocketAddr, record: &Record) -> io::Result<Answers> {
    let mut stream = TcpStream::connect(initiator)?;
    stream.set_nodelay(true)?;
    let mut answers = Answers { served: 0, foreign: Vec::new() };
    for number in 0..REQUESTS {
        let key = volume << 32 | number;
        let trace_id = format!("{key:016x}");
        let request = format!(
            "GET /table-lookup/{key:016x} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {trace_id}\r\nX-Qos-Policy: premium\r\nX-Expires-In: 2.500\r\nX-Placement: volume={volume:016x},units=1,shard=0,hosts=1\r\n\r\n"
        );
        stream.write_all(request.as_bytes())?;
        let end = read_answer(&stream, Duration::from_secs(4));
        record.note(format!("{name} (volume {volume:x}): id {trace_id}: {end}"));
        if let End::Answered { status: 200, body } = &end {
            answers.served += 1;
            if *body != answer_body(&trace_id).into_bytes() {
                let text = String::from_utf8_lossy(body);
                answers.foreign.push(format!("{name} asked for {trace_id} and got {text:?}"));
            }
        }
    }
    Ok(answers)
}

/// Starts a target in the other room that answers in chunks, and sends some answers twice.
fn start_target(sends_twice: bool, record: &Record) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0")?;
    let address = listener.local_addr()?;
    let (answers, record) = (Arc::new(AtomicUsize::new(0)), record.clone());
    std::thread::spawn(move || {
        for stream in listener.incoming().map_while(Result::ok) {
            let (answers, record) = (answers.clone(), record.clone());
            std::thread::spawn(move || serve(stream, sends_twice, &answers, &record));
        }
    });
    Ok(address)
}

fn serve(stream: TcpStream, sends_twice: bool, answers: &AtomicUsize, record: &Record) -> Option<()> {
    stream.set_nodelay(true).ok()?;
    let mut stream = BufReader::new(stream);
    loop {
        let request = Message::read(&mut stream)?;
        let trace_id = request.trace_id().to_owned();
        std::thread::sleep(WORK);
        let body = answer_body(&trace_id);
        let answer = format!(
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{body}\r\n0\r\n\r\n",
            body.len()
        );
        stream.get_mut().write_all(answer.as_bytes()).ok()?;
        record.note(format!("target: answered id {trace_id}"));
        let number = answers.fetch_add(1, Ordering::Relaxed) + 1;
        if sends_twice && number % SECOND_EVERY == 0 {
            std::thread::sleep(SECOND_AFTER);
            if is_nothing_waiting(&stream) {
                stream.get_mut().write_all(answer.as_bytes()).ok()?;
                record
                    .note(format!("target: sent the answer to id {trace_id} again; nothing else waits here"));
            }
        }
    }
}

/// Returns whether no byte of another request has come on this connection.
fn is_nothing_waiting(stream: &BufReader<TcpStream>) -> bool {
    let socket = stream.get_ref();
    if !stream.buffer().is_empty() || socket.set_nonblocking(true).is_err() {
        return false;
    }
    let peeked = socket.peek(&mut [0]);
    let nothing = matches!(peeked, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
    socket.set_nonblocking(false).is_ok() && nothing
}

/// Returns the platform's configuration, with the classes, plans and rules of perth-main.
fn configuration(listen: SocketAddr, agent: SocketAddr, entries: &[String]) -> String {
    format!(
        r#"{{"name":"n1","listen":"{listen}","discovery":"{agent}","seed":"8c1f30d27a5be964",
"limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"known":{{"revision":41,"complete":true,"members":[{}]}},
"settings":{{"balancers":3,"rank":0,"my-zone":0,"zones":["room-a","room-b"],"kinds":["small-2core"],"family":"stores","step":2000000,"membership-mode":"pushed",
"clients":{{"marks-retry":false}},
"lanes":[
{{"name":"table-lookup","aim":300000000,"deadline":2500000000,"idempotency":"idempotent","group":"all","late-worth":0.1,"memory-span":5000000000,"streamed":false,"value":2}},
{{"name":"booking-write","aim":400000000,"deadline":3000000000,"idempotency":"deduplicated","group":"zone","late-worth":0.15,"memory-span":5000000000,"streamed":false,"value":2}},
{{"name":"member-export","aim":1200000000,"deadline":4000000000,"idempotency":"idempotent","group":"all","late-worth":0.3,"memory-span":5000000000,"streamed":false,"value":1}}],
"plans":[
{{"name":"basic","base-rate":3,"guaranteed":0,"never-over":30,"limit-burst":48,"tolerance":8,"shares":1,"price":0.72}},
{{"name":"standard","base-rate":4.5,"guaranteed":0,"never-over":0,"limit-burst":0,"tolerance":0,"shares":2,"price":0.9}},
{{"name":"premium","base-rate":7.5,"guaranteed":0,"never-over":0,"limit-burst":0,"tolerance":0,"shares":4,"price":1.4}}],
"limits":{{"cancelling":true,"connect-timeout":250000000,"keepalive":15000000000,"max-retry-after":500000000,"second-copies":true,"try-limit":3,"probes":true}},
"domain":{{"beyond-share":0.08,"changes-data":[false,true,false],"cold-bears":24.0,"meter-period":2000000000,"says-others":false,"shards":10,"share-worth":1.0,"unit-mean":2.0,"units-top":8}},
"invariants":{{"grace-to-answer":8000000,"overload-factor":4.0,"start-capacity":0.19,"stop-sending-within":250000000,"tip-after":1500000000,"warm-up":17000000000}}}}}}"#,
        entries.join(",")
    )
}
