//! A quarter of the boxes drain for a while, with writes for them in the buffer, and come back.

use review_standins_2::nbd::{FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN};
use review_standins_2::operator::{Deployment, Running, WriteBack, EXTENT};
use review_standins_2::{run, trouble, wait_until, Verdict};
use std::time::{Duration, Instant};

/// The boxes that drain: a quarter of 8.
const DRAINING: [usize; 2] = [0, 1];
/// What the client writes to each of them, in MiB. The log takes 48 MiB of data.
const MIB_EACH: u64 = 22;
const MIB: u32 = 1 << 20;
/// How long they drain.
const DRAIN: Duration = Duration::from_secs(75);
/// How long the initiator has, once they are back, to take a write again and to send what it holds.
const RECOVERY: Duration = Duration::from_secs(20);

fn log_bytes(running: &Running) -> u64 {
    let files = std::fs::read_dir(running.folder.file("log")).into_iter().flatten().flatten();
    files.filter_map(|file| file.metadata().ok()).map(|file| file.len()).sum()
}

/// The writes that reached the boxes that drained.
fn written(running: &Running) -> usize {
    let lines = DRAINING.iter().flat_map(|index| running.box_lines(*index));
    lines.filter(|line| line.contains(" runs write")).count()
}

fn main() {
    run(|record| {
        let mut running = Running::start(
            "case-8",
            record,
            Deployment {
                writes: "at_most_once",
                write_back: Some(WriteBack { most_mib: 64, attempt_lives_ms: 10_000 }),
                flags: FLAG_HAS_FLAGS | FLAG_FLUSH | FLAG_FUA | FLAG_MULTI_CONN,
                work_ms: 1,
            },
        );
        let set_phase = |running: &mut Running, phase: &'static str| {
            DRAINING.iter().for_each(|index| running.phases[*index] = phase);
            running.write_file();
            running.initiator.as_ref().expect("the initiator").signal("HUP");
            record.say(&format!("boxes {DRAINING:?} are {phase}"));
        };
        let disrupted = trouble() != "0";
        if disrupted {
            set_phase(&mut running, "draining");
            std::thread::sleep(Duration::from_secs(1));
        }
        let drained_at = Instant::now();
        let mut client = running.client();
        for index in DRAINING {
            for block in 0..MIB_EACH {
                let offset = index as u64 * EXTENT + block * u64::from(MIB);
                let reply = client.write(offset, 1, MIB, 0).expect("a reply to a write");
                if reply.error != 0 {
                    record.say(&format!("the write at {offset} got error {}", reply.error));
                    return Verdict::NotRun;
                }
            }
        }
        let flushed = client.flush().expect("a reply to a flush");
        record.say(&format!(
            "client wrote {MIB_EACH} MiB for each of {DRAINING:?} and flushed: error {}",
            flushed.error
        ));
        while disrupted && drained_at.elapsed() < DRAIN {
            std::thread::sleep(Duration::from_secs(5));
            record.say(&format!("the log has {} KiB", log_bytes(&running) >> 10));
        }
        if disrupted {
            set_phase(&mut running, "up");
        }
        // By hand: whether a new start helps.
        if trouble() == "restart" {
            std::thread::sleep(Duration::from_secs(5));
            running.initiator.take().expect("the initiator").kill();
            running.start_initiator();
            client = running.client();
        }
        // A write to a box that never drained, as long as none is taken.
        let back_at = Instant::now();
        let offset = 5 * EXTENT;
        let taken = wait_until(RECOVERY, || {
            let reply = client.write(offset, 2, 4096, 0).expect("a reply to a write");
            record.say(&format!("client writes to box 5: error {}", reply.error));
            reply.error == 0
        });
        let pieces = (MIB_EACH * 2 * u64::from(MIB)).div_ceil(6 * 16384) as usize;
        let sent = wait_until(RECOVERY.saturating_sub(back_at.elapsed()), || written(&running) >= pieces);
        record.say(&format!(
            "{:.0} s after the boxes are back: a write is taken: {taken}; {} writes of about {pieces} are at their boxes; the log has {} KiB",
            back_at.elapsed().as_secs_f64(),
            written(&running),
            log_bytes(&running) >> 10
        ));
        record.attach("initiator", &running.folder.file("initiator.log"), |line| !line.contains("counters"));
        match taken && sent {
            true => Verdict::Held,
            false => Verdict::Broken,
        }
    })
}
