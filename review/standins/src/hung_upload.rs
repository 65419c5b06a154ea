//! A large request to a target that hangs: one of four takes connections and reads nothing.

use crate::platform::{
    answer_body, configuration, free_address, read_answer, start_agent, wait_ready, ClientRequest, End,
    Target,
};
use crate::process::Initiator;
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

const BODY_BYTES: usize = 6_000_000;
/// How long the client waits for the answer, counted from the last byte of its request.
const EXPIRES_IN: Duration = Duration::from_millis(1500);
/// Up to this much after the client's time, an answer only earns nothing.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// On sockets every time limit is this much longer.
const SOCKET_SLACK: Duration = Duration::from_millis(50);
/// How long the client goes on reading, to see when the answer comes.
const WATCHED_FOR: Duration = Duration::from_secs(40);
const TRACE_ID: &str = "9b1f03aa5c7e2d43";

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let mut targets = Vec::new();
    for name in ["target 0", "target 1", "target 2", "target 3"] {
        targets.push(Target::start(name, Duration::from_millis(80), record)?);
    }
    let entries: Vec<String> =
        targets.iter().zip(0u16..).map(|(t, cell)| t.entry(&format!("s-5be2a07{cell}"), cell)).collect();
    let (listen, agent) = (free_address()?, start_agent(&entries)?);
    let file = run.folder.join("config.json");
    std::fs::write(&file, configuration(listen, agent, &entries))?;
    let variables = run.variables(listen, agent, &file);
    let initiator = Initiator::start(&run.root, &run.folder, "", &variables, record)?;
    wait_ready(listen, Duration::from_secs(10))?;

    if run.trouble {
        targets[0].control.hangs.store(true, Ordering::Relaxed);
        record.note("target 0 hangs from now on; targets 1 to 3 don't");
    }
    let request = ClientRequest {
        method: "PUT",
        class: "gravacao",
        key: 0x7f3a_9c21_e0b4_d655,
        trace_id: TRACE_ID,
        expires_in: EXPIRES_IN,
        shard: 0,
        units: 6,
        body_bytes: BODY_BYTES,
    };
    let mut client = TcpStream::connect(listen)?;
    client.set_nodelay(true)?;
    client.set_write_timeout(Some(Duration::from_secs(5)))?;
    record.note(format!("client: sends gravacao {TRACE_ID} with {BODY_BYTES} bytes"));
    let mut message = request.head().into_bytes();
    message.resize(message.len() + BODY_BYTES, b'w');
    if let Err(why) = client.write_all(&message) {
        // Its last byte was not written, so the request was not taken.
        return Err(io::Error::other(format!("the system took only a part of the request: {why}")));
    }
    let taken_at = Instant::now();
    record.note("client: the last byte is written: the initiator has taken the request");
    let due = EXPIRES_IN + LATE_ANSWER + SOCKET_SLACK;
    let in_time = read_answer(&client, due);
    record.note(format!("client: {:.3} s after the last byte: {in_time}", taken_at.elapsed().as_secs_f64()));
    if matches!(in_time, End::Silent) {
        let late = read_answer(&client, WATCHED_FOR);
        record.note(format!("client: {:.3} s after the last byte: {late}", taken_at.elapsed().as_secs_f64()));
    }
    initiator.note_log();
    match in_time {
        End::Answered { status: 200, body } if body != answer_body(TRACE_ID).into_bytes() => {
            Ok(Verdict::Broken("the client was served with what no target made for it".into()))
        }
        End::Answered { .. } => Ok(Verdict::Held),
        End::Closed { .. } => {
            Ok(Verdict::Broken("the initiator ended the connection without an answer".into()))
        }
        End::Silent => Ok(Verdict::Broken(format!(
            "a request that was taken had no answer {:.3} s later",
            due.as_secs_f64()
        ))),
    }
}
