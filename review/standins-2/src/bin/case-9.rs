//! One of eight boxes fails 6 of 10 requests for a while, and later crashes and comes back.

use review_standins_2::nbd::{FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN};
use review_standins_2::operator::{Deployment, Running, WriteBack};
use review_standins_2::{run, trouble, wait_until, Verdict};
use std::time::Duration;

/// Where the client writes: on box 0.
const OFFSET: u64 = 40 * 4096;
const LENGTH: u32 = 4096;
/// How long the box fails 6 of 10 requests.
const FAILS: Duration = Duration::from_secs(12);

fn main() {
    run(|record| {
        let mut running = Running::start(
            "case-9",
            record,
            Deployment {
                writes: "at_most_once",
                write_back: Some(WriteBack { most_mib: 64, attempt_lives_ms: 2000 }),
                flags: FLAG_HAS_FLAGS | FLAG_FLUSH | FLAG_FUA | FLAG_MULTI_CONN,
                work_ms: 5,
            },
        );
        let mut client = running.client();
        let (fails, crashes) = (["1", "fail"].contains(&&*trouble()), ["1", "crash"].contains(&&*trouble()));
        if fails {
            running.boxes[0].tell("fail 6");
            record.say("box 0 fails 6 of 10 requests from now on");
            std::thread::sleep(Duration::from_millis(100));
        }
        let wrote = client.write(OFFSET, 1, LENGTH, 0).expect("a reply to a write");
        let flushed = client.flush().expect("a reply to a flush");
        record.say(&format!(
            "client writes value 1: error {}, and flushes: error {}",
            wrote.error, flushed.error
        ));
        if wrote.error != 0 || flushed.error != 0 {
            return Verdict::NotRun;
        }
        std::thread::sleep(FAILS);
        if fails {
            running.boxes[0].tell("fail 0");
            record.say("box 0 fails no more");
        }
        // Time for what may still be sent.
        std::thread::sleep(Duration::from_secs(5));
        if crashes {
            running.restart_box(0, Duration::from_secs(2));
        }
        let mut value = None;
        wait_until(Duration::from_secs(15), || {
            let read = running.client().read(OFFSET, LENGTH).expect("a reply to a read");
            record.say(&format!("client reads: error {} value {:?}", read.error, read.data.first()));
            value = read.data.first().copied();
            read.error == 0
        });
        record.attach("box 0", &running.box_log(0), |_| true);
        record.attach("initiator", &running.folder.file("initiator.log"), |line| line.contains("write-back"));
        match value {
            Some(1) => Verdict::Held,
            Some(_) => {
                record.say("the write, acknowledged and flushed, is lost");
                Verdict::Broken
            }
            None => Verdict::NotRun,
        }
    })
}
