//! The pages' terms at their extremes, on real processes over loopback: `docs/terms-audit.md` names each test's row.

mod common;
use common::faults::Faults;
use common::platform::*;
use common::program::*;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};

const SECOND: Duration = Duration::from_secs(1);

/// Starts the program by a configuration of this text, in a folder of its own.
fn start(name: &str, text: &str, faults: &Faults) -> (Running, Box<dyn Iterator<Item = String>>, SocketAddr) {
    let path = file(&format!("terms-{}-{name}.json", std::process::id()), text);
    let folder = std::path::Path::new(env!("CARGO_TARGET_TMPDIR"))
        .join(format!("terms-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let mut command = shaletack(&["--config", &path]);
    let (child, lines, address) = Running::start(faults.on(&mut command).env("TMPDIR", folder));
    (child, Box::new(lines), address.parse().unwrap())
}

/// Clients that ask for reads of a shard without a rest, until told to stop.
fn keep_reading(to: SocketAddr, clients: usize, shard: u16) -> Arc<AtomicBool> {
    let stop = Arc::<AtomicBool>::default();
    for _ in 0..clients {
        let stop = stop.clone();
        std::thread::spawn(move || {
            let patience = Duration::from_millis(1200);
            let mut client = Client::connect(to).unwrap();
            while !stop.load(Ordering::Relaxed) {
                let (request, _) = request("GET", "leitura", shard, patience, "");
                match client.ask(&request, 2 * patience) {
                    Ok(Ending::Answered { kept: true, .. }) => {}
                    _ => client = Client::connect(to).unwrap(),
                }
            }
        });
    }
    stop
}

/// What a box in slow start bears within a second, by the standing page, with `cold-bears` 20, a warm-up of 6 s from 0.16
/// of its capacity, and that age at the second's end.
fn slow_start_bears(age: f64) -> usize {
    let n = 20.0 * (0.16 + 0.84 * (age / 6.0).min(1.0)) / 0.16;
    let slack = if n < 30.0 { 3.0 * f64::sqrt(n) + 3.0 } else { 2.0 * f64::sqrt(n) + 2.0 };
    (n + slack) as usize
}

/// How a wall clock misbehaves: at the process's start, and after the list was first heard; and by how much the box's own
/// start is off, in milliseconds.
struct ClockPlay {
    name: &'static str,
    at_start_ms: i64,
    later_ms: i64,
    box_ms: i64,
}

/// A box that joins is in slow start for its warm-up, whatever the wall clock does; and not for longer.
#[test]
fn slow_start_is_kept_by_the_clock_that_runs_on() {
    const HOUR: i64 = 3_600_000;
    let play = |name, at_start_ms, later_ms, box_ms| ClockPlay { name, at_start_ms, later_ms, box_ms };
    let plays = [
        play("true", 0, 0, 0),
        play("an hour ahead", HOUR, HOUR, 0),
        play("four seconds ahead", 4_000, 4_000, 0),
        play("an hour behind", -HOUR, -HOUR, 0),
        play("set right after the start", HOUR, 0, 0),
        play("all clocks step forward", 0, HOUR, HOUR),
        play("all clocks step back", 0, -HOUR, -HOUR),
        play("all clocks step four seconds back", 0, -4_000, -4_000),
    ];
    let domain = r#""cold-bears":20,"unit-mean":1,"units-top":1,"shards":2"#;
    let rules = r#""overload-factor":3,"start-capacity":0.16,"tip-after":1000000000,"warm-up":6000000000,"stop-sending-within":1000000000"#;
    let played: Vec<_> = plays
        .into_iter()
        .enumerate()
        .map(|(number, play)| {
            std::thread::spawn(move || {
                let old = StandInBox::start(Duration::from_millis(5));
                let agent = StandInAgent::start(&[entry("s-00000001", old.address, 1, "up", 0)]);
                let faults = Faults::new(&format!("clock{number}"), &format!("clock {}\n", play.at_start_ms));
                let text = configuration(agent.address, 1200, domain, rules);
                let (_child, _lines, at) = start(&format!("clock{number}"), &text, &faults);
                std::thread::sleep(SECOND);
                faults.set(&format!("clock {}\n", play.later_ms));
                std::thread::sleep(SECOND);
                let joins = StandInBox::start(Duration::from_millis(5));
                let from = Instant::now();
                let born = (unix_ms() as i64 + play.box_ms) as u64;
                agent.tell(entry("s-00000002", joins.address, 0, "up", born));
                let stop = keep_reading(at, 12, 0);
                std::thread::sleep(9 * SECOND);
                stop.store(true, Ordering::Relaxed);
                (play.name, joins.by_second(from, 9))
            })
        })
        .collect();
    let mut wrong = Vec::new();
    for play in played {
        let (name, counts) = play.join().unwrap();
        for (second, count) in counts.iter().enumerate().take(5) {
            let bears = slow_start_bears(second as f64 + 1.0);
            if *count > bears {
                wrong.push(format!("{name}: second {second} has {count} of {bears}: {counts:?}"));
            }
        }
        // Warm by then, and sent what it takes.
        if counts[8] < 200 {
            wrong.push(format!("{name}: still cold: {counts:?}"));
        }
    }
    assert!(wrong.is_empty(), "{wrong:#?}");
}
