//! The memory that clients make the process hold, tested on the real process with the least memory and the
//! descriptors that deployments grant: hundreds of clients at once, each kind alone and mixed.

mod common;
use common::crowded_node::*;
use common::flood::*;
use std::time::{Duration, Instant};

/// The memory that the configuration grants, in MiB.
const MEMORY_MIB: u64 = 32;
/// The descriptors that the configuration grants.
const DESCRIPTORS: usize = 1024;
const CLIENTS: usize = 400;
const FLOOD_TIME: Duration = Duration::from_secs(4);
/// How many connections a flood makes at least, and how many requests of the sound client are served.
const MIN_FLOOD_CONNECTIONS: usize = 192;
const MIN_SERVED: usize = 10;
/// A memory in which the states of ever new names are many within seconds, also for a build for debugging.
const SMALL_MEMORY_MIB: u64 = 12;
/// What the states of volumes and the ids of requests may take: three sixteenths of the memory.
const STATE_KIB: u64 = (SMALL_MEMORY_MIB << 10) * 3 / 16;
/// What the process and a handful of connections may take beside that.
const MAX_FEW_CLIENTS_KIB: u64 = 3 << 10;
const BUSY_TIME: Duration = Duration::from_secs(10);
const MIN_BUSY_ANSWERS: usize = 1000;
/// How long after its time an answer may still come.
const MAX_LATENESS: Duration = Duration::from_millis(500);

/// Runs a flood of clients beside a sound client, and checks the memory of the process and the answers to the
/// sound client.
fn check(name: &str, kinds: &[Kind]) {
    let (process, address) = start(&name.replace(' ', "-"), MEMORY_MIB, DESCRIPTORS);
    let flood = Flood::start(address, CLIENTS, kinds, FLOOD_TIME);
    let sound = sound_client(address, Instant::now() + FLOOD_TIME);
    let flood = flood.join();
    let memory = Memory::of(process.0.id());
    println!("{name}: {memory:?}; {flood:?}; {sound:?}");
    assert!(
        memory.optimised_peak() <= MEMORY_MIB << 10,
        "{name}: {} KiB of {MEMORY_MIB} MiB",
        memory.optimised_peak()
    );
    assert!(flood.connections >= MIN_FLOOD_CONNECTIONS, "{name}: the flood connected");
    assert_eq!(
        (sound.closed, sound.closed_new, sound.silent, sound.failed),
        (0, 0, 0, 0),
        "{name}: {sound:?}"
    );
    assert!(sound.served >= MIN_SERVED && sound.slowest < DEADLINE + MAX_LATENESS, "{name}: {sound:?}");
}

/// Guards against clients that make the process pass its memory limit by writing slowly, stopping within a
/// request, sending many short fields or much ahead, or reading slowly: each kind alone.
#[test]
fn no_kind_of_client_makes_the_process_pass_its_memory() {
    for (name, kind) in [
        ("slow writers", Kind::SlowWriter),
        ("stalled uploads", Kind::StalledUpload),
        ("short fields", Kind::ShortFields),
        ("pipelined short fields", Kind::PipelinedShortFields),
        ("pipelined bytes", Kind::PipelinedBytes),
        ("slow readers", Kind::SlowReader),
        ("slow readers of buffered responses", Kind::SlowBufferedReader),
    ] {
        check(name, &[kind]);
    }
}

/// The same with all kinds at once.
#[test]
fn a_mix_of_clients_does_not_make_the_process_pass_its_memory() {
    check("mixed", &Kind::SLOW);
}

/// Guards against memory that grows with every new name, and against other clients that wait, while a few
/// connections send small or unsound requests at full speed.
#[test]
fn busy_connections_with_ever_new_names_hold_little_and_keep_nobody_waiting() {
    for (busy, count) in [(Busy::NewNames, 1), (Busy::NewNames, 4), (Busy::Unsound, 4)] {
        let (process, address) = start(&format!("busy-{busy:?}-{count}"), SMALL_MEMORY_MIB, DESCRIPTORS);
        let until = Instant::now() + BUSY_TIME;
        let client = |_| std::thread::spawn(move || busy_client(address, busy, until));
        let clients: Vec<_> = (0..count).map(client).collect();
        let sound = sound_client(address, until);
        let answered: usize = clients.into_iter().map(|client| client.join().unwrap()).sum();
        let memory = Memory::of(process.0.id());
        println!("{busy:?} {count}: {memory:?}; {answered} answered; {sound:?}");
        assert!(answered >= MIN_BUSY_ANSWERS, "{busy:?} {count}: {answered} requests were answered");
        let max_kib = STATE_KIB + MAX_FEW_CLIENTS_KIB;
        assert!(memory.anonymous <= max_kib, "{busy:?} {count}: {} KiB of {max_kib}", memory.anonymous);
        assert_eq!((sound.closed, sound.closed_new, sound.silent, sound.failed), (0, 0, 0, 0), "{sound:?}");
        assert!(sound.served >= MIN_SERVED && sound.slowest < DEADLINE, "{busy:?} {count}: {sound:?}");
        assert!(sound.rejected * 10 <= sound.served, "{busy:?} {count}: {sound:?}");
    }
}
