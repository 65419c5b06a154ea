//! Targets that confirm every write with the same bytes, and one second copy of a confirmation from each.

use review_standins_2::platform::{
    members, start_agent, start_initiator, start_proxy, start_target, Copies, Message, Seen,
};
use review_standins_2::record::Record;
use review_standins_2::{run, trouble, TempFolder, Verdict};
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

/// How many targets there are. One client writes to each.
const TARGETS: usize = 4;
/// How many writes a client sends, one at a time, and how long it rests between two.
const WRITES: usize = 40;
const REST: Duration = Duration::from_millis(3);
/// The way between the two rooms, one way.
const WAY: Duration = Duration::from_millis(2);
/// The work of one write.
const WORK: Duration = Duration::from_millis(40);
/// How late a second copy is sent.
const LATE: Duration = Duration::from_millis(6);

/// Sends the writes of one client to one shard. Returns the ids that were answered 200.
fn client(record: &Record, port: u16, shard: usize) -> Option<Vec<String>> {
    let stream = TcpStream::connect(("127.0.0.1", port)).ok()?;
    stream.set_nodelay(true).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(10))).ok()?;
    let mut stream = BufReader::new(stream);
    let mut served = Vec::new();
    for number in 0..WRITES {
        let id = format!("{:08x}{number:08x}", shard + 1);
        let request = format!(
            "PUT /booking-write/{id} HTTP/1.1\r\nHost: api.internal\r\nX-Trace-Id: {id}\r\nX-Qos-Policy: standard\r\n\
             X-Expires-In: 3.000\r\nIdempotency-Key: k{id}\r\nX-Placement: volume={:016x},units=2,shard={shard},hosts=1\r\n\
             Content-Length: 16\r\n\r\n{id}",
            shard + 1
        );
        stream.get_mut().write_all(request.as_bytes()).ok()?;
        let answer = Message::read(&mut stream)?;
        record.say(&format!("client {shard}: {id} is answered {}", answer.status()));
        if answer.status() == 200 {
            served.push(id);
        }
        thread::sleep(REST);
    }
    Some(served)
}

fn main() {
    run(|record| {
        let late = (trouble() != "0").then_some(LATE);
        let seen = Arc::new(Mutex::new(Seen::default()));
        let copies = Copies { late, after: WRITES / 2 };
        let start = |name| start_proxy(start_target(record, name, WORK, copies, seen.clone()), WAY);
        let ports: Vec<u16> = (0..TARGETS).map(start).collect();
        let members = members(&ports);
        let folder = TempFolder::new("case-6");
        let (_initiator, port) = start_initiator(&folder, start_agent(members.clone()), &members);
        record.say("the initiator is ready");
        let clients: Vec<_> = (0..TARGETS)
            .map(|shard| {
                let record = record.clone();
                thread::spawn(move || client(&record, port, shard))
            })
            .collect();
        let mut served = Vec::new();
        for client in clients {
            match client.join() {
                Ok(Some(ids)) => served.extend(ids),
                _ => return Verdict::NotRun,
            }
        }
        // Whatever is still on its way has come by then.
        thread::sleep(Duration::from_millis(500));
        let Ok(seen) = seen.lock() else { return Verdict::NotRun };
        let lost: Vec<&String> = served.iter().filter(|id| !seen.ran.contains(id)).collect();
        record.say(&format!(
            "{} writes were answered 200, {} ran, {} second copies were sent",
            served.len(),
            seen.ran.len(),
            seen.copies
        ));
        lost.iter().for_each(|id| record.say(&format!("{id} was answered 200 and never ran")));
        match lost.is_empty() {
            true => Verdict::Held,
            false => Verdict::Broken,
        }
    })
}
