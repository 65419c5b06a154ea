//! A client that sends the id of another client's open request, whose body is still on its way.

use crate::platform::{
    configuration, free_address, read_answer, start_agent, wait_ready, ClientRequest, End, Target,
};
use crate::process::Initiator;
use crate::{upload, Run, Verdict};
use std::io::{self, Write};
use std::net::TcpStream;
use std::time::Duration;

/// The size of the body. At 64 kB a second it takes 8.2 s.
const BODY_BYTES: usize = 512 * 1024;
/// When the other client sends the id, from the beginning of the first request.
const REPEATED_AFTER: Duration = Duration::from_millis(6500);
const TRACE_ID: &str = "9b1f03aa5c7e2d41";

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let target = Target::start("target", Duration::from_millis(20), record)?;
    let entries = [target.entry("s-5be2a07c", 0)];
    let (listen, agent) = (free_address()?, start_agent(&entries)?);
    let file = run.folder.join("config.json");
    std::fs::write(&file, configuration(listen, agent, &entries))?;
    let variables = run.variables(listen, agent, &file);
    let initiator = Initiator::start(&run.root, &run.folder, "", &variables, record)?;
    wait_ready(listen, Duration::from_secs(10))?;

    let request = ClientRequest {
        method: "PUT",
        class: "gravacao",
        key: 0x7f3a_9c21_e0b4_d655,
        trace_id: TRACE_ID,
        expires_in: Duration::from_millis(1500),
        shard: 0,
        units: 6,
        body_bytes: BODY_BYTES,
    };
    let first = TcpStream::connect(listen)?;
    let (sender, head, first_record) = (first.try_clone()?, request.head(), record.clone());
    record.note(format!("client 1: begins to send gravacao {TRACE_ID} with {BODY_BYTES} bytes, 64 kB/s"));
    let sending = std::thread::spawn(move || {
        let sent = upload(sender, head.as_bytes(), BODY_BYTES);
        first_record.note(match &sent {
            Ok(()) => "client 1: the last byte is sent".into(),
            Err(why) => format!("client 1: could not send the whole body: {why}"),
        });
        sent
    });
    let mut other_answer = None;
    if run.trouble {
        std::thread::sleep(REPEATED_AFTER);
        let mut other = TcpStream::connect(listen)?;
        let body = [b'x'; 200];
        let request = ClientRequest { key: 0x11, units: 1, body_bytes: body.len(), ..request };
        other.write_all(&[request.head().as_bytes(), &body].concat())?;
        record.note(format!("client 2: sent a gravacao with the id of client 1's open request, {TRACE_ID}"));
        let end = read_answer(&other, Duration::from_secs(3));
        record.note(format!("client 2: {end}"));
        other_answer = Some(end);
    }
    sending.join().map_err(|_| io::Error::other("the client panicked"))??;
    let end = read_answer(&first, Duration::from_secs(4));
    record.note(format!("client 1: {end}"));
    std::thread::sleep(Duration::from_millis(300));
    initiator.note_log();

    let runs = target.runs_of(TRACE_ID);
    record.note(format!("the target ran id {TRACE_ID} {runs} times"));
    if matches!(other_answer, Some(End::Answered { status: 200, .. })) {
        return Ok(Verdict::Broken(format!(
            "client 2 was served under the id of client 1's open request, and gravacao {TRACE_ID} ran {runs} times"
        )));
    }
    if runs > 1 {
        return Ok(Verdict::Broken(format!("gravacao {TRACE_ID} ran {runs} times")));
    }
    match end {
        End::Answered { status: 200, .. } => Ok(Verdict::Held),
        _ => Err(io::Error::other("client 1 was not served")),
    }
}
