//! An NBD write that has run at its box, whose FLUSH the box turns away because it begins to drain.

use crate::nbd::{NbdBox, NbdClient};
use crate::platform::free_address;
use crate::process::Initiator;
use crate::{Run, Verdict};
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant, SystemTime};

/// How long the write takes at a box. Writes take 27 ms in the mean, and count 2.02 units; this one is of the
/// largest size, 6 units.
const WORK: Duration = Duration::from_millis(80);
/// The size of the write: 6 units of 16 KiB.
const WRITE_BYTES: u32 = 6 * 16384;
/// How long after the write has come the box begins to drain.
const DRAIN_AFTER: Duration = Duration::from_millis(20);
const EXPORT_BYTES: u64 = 1 << 20;

fn entry(id: &str, address: SocketAddr, cell: u16, phase: &str, up_since_ms: u128) -> String {
    format!(
        r#"{{"id":"{id}","host_port":"{address}","locality":"caxias-sala","cell":{cell},"phase":"{phase}","up_since_ms":{up_since_ms}}}"#
    )
}

/// Returns the operator's file: one export over two shards, and the classes and rules of caxias-sala.
fn operator_file(listen: SocketAddr, boxes: &[String]) -> String {
    let half = EXPORT_BYTES / 2;
    format!(
        r#"{{"listen":"{listen}","unit_bytes":16384,"large_from":65536,"box_export":"","sockets":1024,
"teams":[{{"name":"leituras","contracts":[{{"plan":"prioritario","reserve":40,"limit":0,"weight":3,"burst":0}}]}}],
"exports":[{{"name":"leituras-serra","team":"leituras","plan":"prioritario","volume":"0000000000000001","hosts":1,"size":{EXPORT_BYTES},
"extents":[{{"length":{half},"shard":0,"at":0}},{{"length":{half},"shard":1,"at":0}}]}}],
"boxes":[{}],
"settings":{{"balancers":1,"rank":0,"my-zone":0,"zones":["caxias-sala"],"step":2000000,"membership-mode":"pushed",
"lanes":[
{{"name":"leitura","aim":150000000,"deadline":1200000000,"idempotency":"idempotent","group":"all","late-worth":0.1,"memory-span":5000000000,"value":2.0}},
{{"name":"gravacao","aim":200000000,"deadline":1500000000,"idempotency":"at_most_once","group":"all","late-worth":0.15,"memory-span":5000000000,"value":2.0}},
{{"name":"exportacao","aim":750000000,"deadline":2500000000,"idempotency":"idempotent","group":"all","late-worth":0.3,"memory-span":5000000000,"value":1.0}}],
"limits":{{"cancelling":true,"connect-timeout":250000000,"keepalive":15000000000,"max-retry-after":500000000,"try-limit":4,"second-copies":false}},
"domain":{{"cold-bears":16.0,"unit-mean":2.0,"units-top":6,"share-worth":0.35,"beyond-share":0.1}},
"invariants":{{"start-capacity":0.16,"warm-up":16000000000,"overload-factor":3.0,"tip-after":3000000000,"stop-sending-within":1000000000}}}}}}"#,
        boxes.join(",")
    )
}

pub fn run(run: &Run) -> io::Result<Verdict> {
    let record = &run.record;
    let old = NbdBox::start("box 1 (shard 0)", WORK, EXPORT_BYTES, record)?;
    let other = NbdBox::start("box 2 (shard 1)", WORK, EXPORT_BYTES, record)?;
    let replacement = NbdBox::start("box 3 (shard 0, replaces box 1)", WORK, EXPORT_BYTES, record)?;
    let listen = free_address()?;
    let file = run.folder.join("operator.json");
    let before =
        [entry("s-00000001", old.address, 0, "up", 0), entry("s-00000002", other.address, 1, "up", 0)];
    std::fs::write(&file, operator_file(listen, &before))?;
    let arguments = format!("serve --operator {}", file.display());
    let initiator = Initiator::start(&run.root, &run.folder, &arguments, &[], record)?;
    let mut client = mount(listen)?;

    let data: Vec<u8> = (0..WRITE_BYTES).map(|index| (index * 7 % 251) as u8 + 1).collect();
    record.note(format!("client: WRITE of {WRITE_BYTES} bytes at 0 sent"));
    client.send_write(1, 0, &data)?;
    let sent_at = Instant::now();
    while old.received(&data) == 0 && sent_at.elapsed() < Duration::from_secs(1) {
        std::thread::sleep(Duration::from_millis(1));
    }
    if run.trouble {
        std::thread::sleep(DRAIN_AFTER);
        old.drain();
        let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).map_err(io::Error::other)?;
        let after = [
            entry("s-00000001", old.address, 0, "draining", 0),
            entry("s-00000002", other.address, 1, "up", 0),
            entry("s-00000003", replacement.address, 0, "up", now.as_millis()),
        ];
        std::fs::write(&file, operator_file(listen, &after))?;
        record.note("list: box 1 drains, box 3 is up");
        initiator.signal("HUP")?;
    }
    match client.write_reply() {
        Ok(error) => record.note(format!("client: the write was answered with error {error} (0: success)")),
        Err(why) => record.note(format!("client: the write was not answered: {why}")),
    }
    std::thread::sleep(Duration::from_millis(500));
    initiator.note_log();
    let runs = old.run(&data) + replacement.run(&data);
    record.note(format!("the write ran {runs} times at the boxes of its shard"));
    match runs {
        0 => Err(io::Error::other("the write never ran")),
        1 => Ok(Verdict::Held),
        _ => Ok(Verdict::Broken(format!("a gravacao ran {runs} times"))),
    }
}

/// Mounts the export once the initiator accepts clients.
fn mount(listen: SocketAddr) -> io::Result<NbdClient> {
    let until = Instant::now() + Duration::from_secs(10);
    loop {
        match NbdClient::mount(listen, "leituras-serra", Duration::from_secs(5)) {
            Err(_) if Instant::now() < until => std::thread::sleep(Duration::from_millis(20)),
            result => return result,
        }
    }
}
