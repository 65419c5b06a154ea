//! Clients write at 64 kB a second, while another client reads.

use review_standins_2::nbd::{Client, FLAG_FLUSH, FLAG_FUA, FLAG_HAS_FLAGS, FLAG_MULTI_CONN, WRITE};
use review_standins_2::operator::{Deployment, Running, BOXES, EXTENT};
use review_standins_2::{run, trouble, Verdict};
use std::io::{self, Write};
use std::thread;
use std::time::{Duration, Instant};

/// How many clients write. None of them stops.
const WRITERS: usize = 70;
const MIB: u32 = 1 << 20;
/// What a slow client sends in each pause: 64 kB a second.
const PIECE: usize = 3200;
const PAUSE: Duration = Duration::from_millis(50);
const LENGTH: u32 = 4096;
const READS: u64 = 20;
/// The deadline of `leitura`, the half second in which an answer only earns nothing, and the 50 ms by which every
/// time limit is longer on sockets.
const LOST_AFTER: Duration = Duration::from_millis(1200 + 500 + 50);

/// Writes 1 MiB, in one go or slowly, and returns the error of the reply.
fn write(client: &mut Client, offset: u64, slowly: bool) -> io::Result<u32> {
    let head = client.encode(WRITE, 0, offset, MIB).1;
    client.stream.write_all(&head)?;
    let data = vec![7; MIB as usize];
    if slowly {
        let started = Instant::now();
        for (number, piece) in data.chunks(PIECE).enumerate() {
            thread::sleep((PAUSE * number as u32).saturating_sub(started.elapsed()));
            client.stream.write_all(piece)?;
        }
    } else {
        client.stream.write_all(&data)?;
    }
    client.receive().map(|reply| reply.error)
}

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
        let slowly = trouble() != "0";
        let writers: Vec<_> = (0..WRITERS)
            .map(|index| {
                let mut writer = running.client();
                let record = record.clone();
                let offset = (index % BOXES) as u64 * EXTENT + (1 + index as u64) * u64::from(MIB) / 4;
                thread::spawn(move || {
                    let result = write(&mut writer, offset, slowly);
                    record.say(&format!("writer {index}: {result:?}"));
                })
            })
            .collect();
        let speed = if slowly { "at 64 kB a second" } else { "in one go" };
        record.say(&format!("{WRITERS} clients write 1 MiB each, {speed}"));
        thread::sleep(Duration::from_millis(500));
        let mut lost = 0;
        for number in 0..READS {
            let sent_at = Instant::now();
            let reply = client.read(number * u64::from(LENGTH), LENGTH).expect("a reply to a read");
            let took = sent_at.elapsed();
            record.say(&format!("client reads: error {} after {} ms", reply.error, took.as_millis()));
            lost += u32::from(took > LOST_AFTER);
        }
        for writer in writers {
            let _ = writer.join();
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
