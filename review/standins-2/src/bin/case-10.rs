//! Clients stop in the middle of a write and stay, while another client reads.

use review_standins_2::nbd::{FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN, WRITE};
use review_standins_2::operator::{Deployment, Running};
use review_standins_2::{run, trouble, Verdict};
use std::io::Write;
use std::time::{Duration, Instant};

/// How many clients stop in the middle of a write.
const STOPPED: usize = 70;
const MIB: u32 = 1 << 20;
const LENGTH: u32 = 4096;
const READS: u64 = 20;
/// The deadline of `leitura`, the half second in which an answer only earns nothing, and the 50 ms by which every
/// time limit is longer on sockets.
const LOST_AFTER: Duration = Duration::from_millis(1200 + 500 + 50);

fn main() {
    run(|record| {
        let running = Running::start(
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
        let first = client.read(0, LENGTH).expect("a reply to a read");
        record.say(&format!("client reads before: error {}", first.error));
        let mut stopped = Vec::new();
        if trouble() != "0" {
            for _ in 0..STOPPED {
                let mut bad = running.client();
                let mut begun = bad.encode(WRITE, 0, 0, MIB).1;
                begun.extend(vec![0; 4096]);
                bad.stream.write_all(&begun).expect("the beginning of a write can be written");
                stopped.push(bad);
            }
            record.say(&format!("{STOPPED} clients have sent 4 KiB of a write of 1 MiB, and stay"));
        }
        let mut lost = 0;
        for number in 0..READS {
            let sent_at = Instant::now();
            let reply = client.read(number * u64::from(LENGTH), LENGTH).expect("a reply to a read");
            let took = sent_at.elapsed();
            record.say(&format!("client reads: error {} after {} ms", reply.error, took.as_millis()));
            lost += u32::from(took > LOST_AFTER);
        }
        record.attach("box 0", &running.box_log(0), |line| line.contains(" read "));
        record
            .say(&format!("{lost} of {READS} reads were answered later than {} ms", LOST_AFTER.as_millis()));
        if lost == 0 {
            Verdict::Held
        } else {
            Verdict::Broken
        }
    })
}
