//! A planned restart while a client is still sending a body, with one of four targets that hang just then.

use crate::platform::{
    answer_body, configuration, free_address, read_answer, start_agent, wait_ready, ClientRequest, End,
    Target,
};
use crate::process::Initiator;
use crate::{upload, Run, Verdict};
use std::io;
use std::net::TcpStream;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

/// The size of the body. At 64 kB a second it takes 3.2 s.
const BODY_BYTES: usize = 200 * 1024;
/// When SIGTERM is sent, from the beginning of the request.
const STOP_AFTER: Duration = Duration::from_millis(500);
/// How long the client waits for the answer, counted from the last byte of its request.
const EXPIRES_IN: Duration = Duration::from_millis(1500);
/// The answer may come this much after the client's time, and only earns nothing then.
const LATE_ANSWER: Duration = Duration::from_millis(500);
const TRACE_ID: &str = "9b1f03aa5c7e2d42";

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let work = Duration::from_millis(20);
    let names = ["target 0", "target 1", "target 2", "target 3"];
    let targets = names.map(|name| Target::start(name, work, record));
    let mut running = Vec::new();
    for target in targets {
        running.push(target?);
    }
    let entries: Vec<String> =
        running.iter().zip(0u16..).map(|(t, cell)| t.entry(&format!("s-5be2a07{cell}"), cell)).collect();
    let (listen, agent) = (free_address()?, start_agent(&entries)?);
    let file = run.folder.join("config.json");
    std::fs::write(&file, configuration(listen, agent, &entries))?;
    let variables = run.variables(listen, agent, &file);
    let mut initiator = Initiator::start(&run.root, &run.folder, "", &variables, record)?;
    wait_ready(listen, Duration::from_secs(10))?;

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
    let client = TcpStream::connect(listen)?;
    let (sender, head) = (client.try_clone()?, request.head());
    record.note(format!("client: begins to send gravacao {TRACE_ID} with {BODY_BYTES} bytes, 64 kB/s"));
    let sending = std::thread::spawn(move || {
        let sent = upload(sender, head.as_bytes(), BODY_BYTES);
        (sent, Instant::now())
    });
    if run.trouble {
        std::thread::sleep(STOP_AFTER);
        running[0].control.hangs.store(true, Ordering::Relaxed);
        record.note("target 0 hangs from now on; targets 1 to 3 don't");
        initiator.signal("TERM")?;
    }
    let (sent, taken_at) = sending.join().map_err(|_| io::Error::other("the client panicked"))?;
    if let Err(why) = sent {
        // The last byte was never written, so the request was not taken.
        record.note(format!("client: could not send the whole body: {why}"));
        return Ok(Verdict::Held);
    }
    record.note("client: the last byte is sent: the initiator has taken the request");
    let end = read_answer(&client, EXPIRES_IN + LATE_ANSWER + Duration::from_millis(50));
    record.note(format!("client: {end}, {:.3} s after the last byte", taken_at.elapsed().as_secs_f64()));
    if run.trouble {
        initiator.wait(Duration::from_secs(10))?;
    }
    initiator.note_log();
    match end {
        End::Answered { status: 200, body, .. } if body != answer_body(TRACE_ID).into_bytes() => {
            Ok(Verdict::Broken("the client was served with what no target made for it".into()))
        }
        End::Answered { .. } => Ok(Verdict::Held),
        End::Closed { .. } => Ok(Verdict::Broken(
            "the initiator ended the connection of a request that it had taken, without an answer".into(),
        )),
        End::Silent => Ok(Verdict::Broken("a request that was taken got no answer".into())),
    }
}
