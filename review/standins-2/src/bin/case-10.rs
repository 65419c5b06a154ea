//! A box crashes and comes back between a write and the flush that covers it; nothing is buffered here.

use review_standins_2::nbd::{FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN};
use review_standins_2::operator::{Deployment, Running};
use review_standins_2::{run, trouble, wait_until, Verdict};
use std::time::Duration;

/// Where the client writes: on box 0.
const OFFSET: u64 = 40 * 4096;
const LENGTH: u32 = 4096;

fn main() {
    run(|record| {
        let mut running = Running::start(
            "case-10",
            record,
            Deployment {
                writes: "at_most_once",
                write_back: None,
                flags: FLAG_HAS_FLAGS | FLAG_FLUSH | FLAG_FUA | FLAG_MULTI_CONN,
                work_ms: 5,
            },
        );
        let mut client = running.client();
        let wrote = client.write(OFFSET, 1, LENGTH, 0).expect("a reply to a write");
        record.say(&format!("client writes value 1: error {}", wrote.error));
        if wrote.error != 0 {
            return Verdict::NotRun;
        }
        if trouble() != "0" {
            running.restart_box(0, Duration::from_secs(2));
        }
        // Until the client is told that all it has written is on stable storage.
        let flushed = wait_until(Duration::from_secs(10), || {
            let reply = client.flush().expect("a reply to a flush");
            record.say(&format!("client flushes: error {}", reply.error));
            reply.error == 0
        });
        let read = client.read(OFFSET, LENGTH).expect("a reply to a read");
        record.say(&format!("client reads: error {} value {:?}", read.error, read.data.first()));
        record.attach("box 0", &running.box_log(0), |_| true);
        if !flushed || read.error != 0 {
            return Verdict::NotRun;
        }
        if read.data.iter().all(|byte| *byte == 1) {
            Verdict::Held
        } else {
            record.say("the write, acknowledged and then flushed, is lost");
            Verdict::Broken
        }
    })
}
