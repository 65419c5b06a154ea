//! Crowds of clients of each kind, of pairs of kinds and of all kinds beside sound clients, on the real process: its
//! memory with the buffers of its sockets stays within its limit, and the sound clients are served.

mod common;
use common::crowded_node::*;
use common::flood::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::SeedableRng;
use shaletack::runtime::socket_memory::SocketMemory;
use std::time::{Duration, Instant};

/// The least memory that deployments grant, in MiB.
const LEAST_MEMORY_MIB: u64 = 32;
const DESCRIPTORS: usize = 1024;
const CLIENTS: usize = 300;
const SOUND_CLIENTS: usize = 8;
const PLAY_TIME: Duration = Duration::from_millis(2500);
/// How long before a crowd the sound clients begin.
const HEAD_START: Duration = Duration::from_millis(300);
/// How often the memory is read.
const SAMPLE_INTERVAL: Duration = Duration::from_millis(20);
/// How long after its time an answer may still come.
const MAX_LATENESS: Duration = Duration::from_millis(500);
/// How many connections a crowd makes at least.
const MIN_FLOOD_CONNECTIONS: usize = 150;
/// The seed of the pairs that are played in CI, and their number.
const SEED: u64 = 66;
const PAIRS: usize = 6;

/// What a process is granted, and what clients it has.
#[derive(Clone, Copy, Debug)]
struct Play {
    memory_mib: u64,
    descriptors: usize,
    clients: usize,
    time: Duration,
}

impl Default for Play {
    fn default() -> Self {
        Play { memory_mib: LEAST_MEMORY_MIB, descriptors: DESCRIPTORS, clients: CLIENTS, time: PLAY_TIME }
    }
}

/// The most memory that a process was seen to hold, in KiB.
#[derive(Clone, Copy, Debug, Default)]
struct PeakMemory {
    /// Resident pages and socket buffers at one time.
    total: u64,
    resident: u64,
    sockets: u64,
}

impl PeakMemory {
    /// Reads the memory of a process until `until`.
    fn watch(pid: u32, until: Instant) -> Self {
        let mut peak = PeakMemory::default();
        while Instant::now() < until {
            let resident = Memory::of(pid).optimised_resident();
            let sockets = SocketMemory::of_process(Some(pid)).unwrap().total() >> 10;
            peak.total = peak.total.max(resident + sockets);
            peak.resident = peak.resident.max(resident);
            peak.sockets = peak.sockets.max(sockets);
            std::thread::sleep(SAMPLE_INTERVAL);
        }
        peak.total = peak.total.max(Memory::of(pid).optimised_peak());
        peak
    }
}

/// What was seen in a play.
#[derive(Debug)]
struct Seen {
    peak: PeakMemory,
    sound: SoundReport,
    flood: FloodReport,
}

impl Seen {
    /// Returns what was wrong in a play of these kinds.
    fn faults(&self, kinds: &[Kind], play: Play) -> Vec<String> {
        let sound = &self.sound;
        let mut faults = Vec::new();
        let mut check = |holds: bool, fault: &str| {
            if !holds {
                faults.push(format!("{kinds:?}: {fault}: {self:?}"));
            }
        };
        check(self.flood.connections >= play.clients.min(MIN_FLOOD_CONNECTIONS), "the crowd did not connect");
        check(self.peak.total <= play.memory_mib << 10, "the memory limit was passed");
        check(sound.closed + sound.closed_new == 0, "sound requests were closed without an answer");
        check(sound.silent + sound.failed == 0, "sound requests failed or were not answered");
        check(sound.slowest < DEADLINE + MAX_LATENESS, "a sound request was answered late");
        let is_slow = kinds.iter().all(|kind| kind.is_slow());
        check(
            !is_slow || sound.served * 10 >= sound.sent() * 9,
            "sound clients beside slow ones were refused",
        );
        faults
    }
}

/// Plays a crowd of these kinds beside sound clients that were there before it.
fn play(name: &str, kinds: &[Kind], play: Play) -> Seen {
    let (process, address) = start(name, play.memory_mib, play.descriptors);
    let pid = process.0.id();
    let until = Instant::now() + HEAD_START + play.time;
    let sound = std::thread::spawn(move || sound_clients(address, SOUND_CLIENTS, until));
    std::thread::sleep(HEAD_START);
    let flood = Flood::start(address, play.clients, kinds, play.time);
    let peak = PeakMemory::watch(pid, until);
    let seen = Seen { peak, sound: sound.join().unwrap(), flood: flood.join() };
    println!("{kinds:?}: {seen:?}");
    seen
}

/// Plays each of these crowds, and fails with everything that was wrong.
fn check(name: &str, crowds: &[Vec<Kind>]) {
    let faults =
        crowds.iter().flat_map(|kinds| play(name, kinds, Play::default()).faults(kinds, Play::default()));
    let faults: Vec<_> = faults.collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

/// Guards against kinds of clients that make the process pass its memory limit, socket buffers included, or that
/// keep sound clients from being served.
#[test]
fn each_kind_of_crowd_leaves_memory_and_service_to_sound_clients() {
    check("kinds", &Kind::ALL.map(|kind| vec![kind]));
}

/// The same for pairs of kinds, chosen from a seed.
#[test]
fn pairs_of_crowds_leave_memory_and_service_to_sound_clients() {
    let mut random = StdRng::seed_from_u64(SEED);
    check("pairs", &(0..PAIRS).map(|_| pair(&mut random)).collect::<Vec<_>>());
}

/// The same for all kinds at once.
#[test]
fn a_crowd_of_all_kinds_leaves_memory_and_service_to_sound_clients() {
    check("all", &[Kind::ALL.to_vec()]);
}

/// Guards against uploads that take every connection to endpoints for as long as they last: with 256 descriptors those
/// are fewer than the clients.
#[test]
fn slow_uploads_leave_connections_to_endpoints_to_small_requests() {
    let few_descriptors = Play { memory_mib: 192, descriptors: 256, clients: 150, ..Play::default() };
    let kinds = [Kind::SlowUpload];
    let faults = play("uploads", &kinds, few_descriptors).faults(&kinds, few_descriptors);
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

fn pair(random: &mut StdRng) -> Vec<Kind> {
    Kind::ALL.sample(random, 2).copied().collect()
}

/// Plays the crowds that the environment describes, and prints what was seen: `KINDS` (names, separated by commas;
/// or the number of pairs that `SEED` chooses), `CLIENTS`, `SECONDS`, `MEMORY_MIB` and `DESCRIPTORS`.
#[test]
#[ignore = "started by hand"]
fn crowds_of_the_environment() {
    let variable =
        |name: &str, default: u64| std::env::var(name).map_or(default, |text| text.parse().unwrap());
    let play_by_hand = Play {
        memory_mib: variable("MEMORY_MIB", LEAST_MEMORY_MIB),
        descriptors: variable("DESCRIPTORS", DESCRIPTORS as u64) as usize,
        clients: variable("CLIENTS", CLIENTS as u64) as usize,
        time: Duration::from_secs(variable("SECONDS", 4)),
    };
    let mut random = StdRng::seed_from_u64(variable("SEED", SEED));
    let text = std::env::var("KINDS").unwrap_or_default();
    let crowds: Vec<Vec<Kind>> = match text.parse::<usize>() {
        Ok(pairs) => (0..pairs).map(|_| pair(&mut random)).collect(),
        Err(_) if text.is_empty() => Kind::ALL.iter().map(|kind| vec![*kind]).collect(),
        Err(_) => vec![text.split(',').map(kind_named).collect()],
    };
    let faults =
        crowds.iter().flat_map(|kinds| play("by-hand", kinds, play_by_hand).faults(kinds, play_by_hand));
    let faults: Vec<_> = faults.collect();
    assert!(faults.is_empty(), "{}", faults.join("\n"));
}

fn kind_named(name: &str) -> Kind {
    *Kind::ALL.iter().find(|kind| format!("{kind:?}") == name).expect("a kind")
}
