//! A box stands still in the middle of one buffered write, and carries it out later, within `attempt_lives_ms`.

use review_standins_2::nbd::{FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN, FUA};
use review_standins_2::operator::{Deployment, Running, WriteBack};
use review_standins_2::{run, trouble, wait_until, Verdict};
use std::time::Duration;

/// Where the client writes: on box 0.
const OFFSET: u64 = 40 * 4096;
const LENGTH: u32 = 4096;
/// How long the box stands still. `attempt_lives_ms` is 10 s.
const STANDS_STILL_MS: u64 = 5000;

fn main() {
    run(|record| {
        let writes = if trouble() == "at_most_once" { "at_most_once" } else { "idempotent" };
        let mut running = Running::start(
            "case-7",
            record,
            Deployment {
                writes,
                write_back: Some(WriteBack { most_mib: 64, attempt_lives_ms: 10_000 }),
                flags: FLAG_HAS_FLAGS | FLAG_FLUSH | FLAG_FUA | FLAG_MULTI_CONN,
                work_ms: 5,
            },
        );
        let mut client = running.client();
        if trouble() != "0" {
            running.boxes[0].tell(&format!("stick {OFFSET} {STANDS_STILL_MS}"));
            record
                .say(&format!("box 0 will stand still for {STANDS_STILL_MS} ms in the middle of one write"));
        }
        for value in [1, 2] {
            let reply = client.write(OFFSET, value, LENGTH, FUA).expect("a reply to a write");
            record.say(&format!("client writes value {value} with FUA: error {}", reply.error));
            if reply.error != 0 {
                return Verdict::NotRun;
            }
            // The second write comes once the first has gone out.
            let began = || running.box_lines(0).iter().any(|line| line.contains("begins write"));
            if !wait_until(Duration::from_secs(5), began) {
                record.say("the first write never went out");
                return Verdict::NotRun;
            }
        }
        let flushed = client.flush().expect("a reply to a flush");
        record.say(&format!("client flushes: error {}", flushed.error));
        // Past the time that the box may still carry out an attempt, and one more to read back and settle.
        std::thread::sleep(Duration::from_secs(if trouble() == "0" { 3 } else { 16 }));
        let read = running.client().read(OFFSET, LENGTH).expect("a reply to a read");
        record.say(&format!("client reads: error {} value {:?}", read.error, read.data.first()));
        record.attach("box 0", &running.box_log(0), |line| line.contains("write"));
        record.attach("initiator", &running.folder.file("initiator.log"), |line| line.contains("write-back"));
        let runs = |value: u8| {
            let ends = format!("value {value}");
            running
                .box_lines(0)
                .iter()
                .filter(|line| line.contains(" runs write") && line.ends_with(&ends))
                .count()
        };
        record.say(&format!(
            "the first write ran {} times at its box, the second {} times",
            runs(1),
            runs(2)
        ));
        let lost = read.error == 0 && read.data.iter().any(|byte| *byte != 2);
        if lost {
            record.say("the second write, acknowledged with FUA and flushed, is lost");
        }
        if lost || runs(1) > 1 || runs(2) > 1 {
            Verdict::Broken
        } else {
            Verdict::Held
        }
    })
}
