//! Usual clients that send large bodies at once, as many as the limits allow. Reported only.

use crate::platform::{
    configuration_with_limits, free_address, read_answer, start_agent, wait_ready, ClientRequest, End, Target,
};
use crate::process::Initiator;
use crate::record::Record;
use crate::{Run, Verdict};
use std::io::{self, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The limits that the bench's days gave to most initiators.
const MEMORY_MB: usize = 48;
const DESCRIPTORS: usize = 672;
/// For requests, clients hold at most a third of the descriptors.
const CLIENTS: usize = DESCRIPTORS / 3;
const ROUNDS: u32 = 5;
/// 224 requests in 2.4 s are 93 a second; up to 200 may come.
const PERIOD: Duration = Duration::from_millis(2400);
const LARGE_BODY_BYTES: usize = 8_000_000;
const SMALL_BODY_BYTES: usize = 500;

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let mut targets = Vec::new();
    for _ in 0..8 {
        targets.push(Target::start("target", Duration::from_millis(20), &Record::new())?);
    }
    let entries: Vec<String> =
        targets.iter().zip(0u16..).map(|(t, cell)| t.entry(&format!("s-5be2a07{cell}"), cell)).collect();
    let (listen, agent) = (free_address()?, start_agent(&entries)?);
    let file = run.folder.join("config.json");
    std::fs::write(&file, configuration_with_limits(listen, agent, &entries, MEMORY_MB, DESCRIPTORS))?;
    let variables = run.variables(listen, agent, &file);
    let initiator = Initiator::start(&run.root, &run.folder, "", &variables, record)?;
    wait_ready(listen, Duration::from_secs(10))?;

    let bytes = if run.trouble { LARGE_BODY_BYTES } else { SMALL_BODY_BYTES };
    record
        .note(format!("{CLIENTS} clients send {ROUNDS} bodies of {bytes} bytes each, one every {PERIOD:?}"));
    let mut sending = Vec::new();
    for client in 0..CLIENTS {
        let task = move || send_rounds(client, listen, bytes);
        sending.push(std::thread::Builder::new().stack_size(128 << 10).spawn(task)?);
    }
    let mut most = 0;
    while sending.iter().any(|task| !task.is_finished()) {
        let now = initiator.memory()?;
        if now > most + 4096 {
            record.note(format!("the initiator holds {now} KiB of {} KiB", MEMORY_MB << 10));
            most = now;
        }
        std::thread::sleep(Duration::from_millis(20));
    }
    initiator.note_log();
    if most > MEMORY_MB << 10 {
        return Ok(Verdict::Broken(format!("the initiator held {most} KiB of {} KiB", MEMORY_MB << 10)));
    }
    Ok(Verdict::Held)
}

/// Sends one request in each round, each on a connection of its own, and waits for its end.
fn send_rounds(client: usize, initiator: SocketAddr, bytes: usize) {
    let started_at = Instant::now();
    for round in 0..ROUNDS {
        let due = PERIOD * round + Duration::from_millis(5 * client as u64);
        std::thread::sleep(due.saturating_sub(started_at.elapsed()));
        let trace_id = format!("{:08x}{client:08x}", round + 1);
        let request = ClientRequest {
            method: "PUT",
            class: "gravacao",
            key: client as u64 + 1,
            trace_id: &trace_id,
            expires_in: Duration::from_millis(1500),
            shard: (client % 8) as u16,
            units: 1,
            body_bytes: bytes,
        };
        let mut message = request.head().into_bytes();
        message.resize(message.len() + bytes, b'w');
        let Ok(mut stream) = TcpStream::connect(initiator) else { continue };
        // A body that is refused before its end can't be written whole.
        let _ = stream.write_all(&message);
        let (End::Answered { .. } | End::Closed { .. } | End::Silent) =
            read_answer(&stream, Duration::from_secs(3));
    }
}
