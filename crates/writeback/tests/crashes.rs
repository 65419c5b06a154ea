//! Simulates a buffer with a disk that tears writes, an endpoint whose attempts end in any way, and crashes
//! of both at any point. No acknowledged data is lost, no write reaches the endpoint twice, and overlapping writes
//! keep their order.

use bytes::Bytes;
use proptest::prelude::*;
use shaletack_wal::{recover, Commit, Identity, LogConfig, StoredSegment};
use shaletack_writeback::{
    AttemptOutcome, Buffer, CommandId, Config, Effect, InDoubtPolicy, Input, OperatorDecision, Piece,
    PieceId, PieceState, RecoveredBuffer, RejectReason, StoredData,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const ATTEMPT_LIFETIME: Duration = Duration::from_secs(5);
const BLOCK: u64 = 4096;
const IDENTITY: Identity = Identity { log: 1, purpose: 2 };
/// Size of the export, in cells of four bytes. Each of two shards holds half of it.
const CELLS: u64 = 32;
const VOLUME: u64 = 77;

fn config(in_doubt_policy: InDoubtPolicy) -> Config {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 48 * BLOCK, reserved_bytes: 12 * BLOCK };
    Config { log, attempt_lifetime: ATTEMPT_LIFETIME, in_doubt_policy }
}

/// A disk on which any subset of the unsynced sectors may survive a crash.
#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<u64, Vec<u8>>,
}

impl Disk {
    fn write_commit(&mut self, commit: &Commit, keep: impl Fn(usize) -> bool) {
        for (i, sector) in commit.bytes.chunks(512).enumerate().filter(|(i, _)| keep(*i)) {
            let (file, at) =
                (self.files.entry(commit.segment).or_default(), commit.offset as usize + i * 512);
            file.resize(file.len().max(at + sector.len()), 0);
            file[at..at + sector.len()].copy_from_slice(sector);
        }
    }
}

/// The values written to one cell.
#[derive(Clone)]
struct CellHistory {
    /// All values, oldest first.
    values: Vec<u32>,
    /// Index of the oldest value that may still be visible: all values before it are durably overwritten.
    floor: usize,
}

/// An attempt that the endpoint has received and may still run.
#[derive(Clone)]
struct Attempt {
    piece: PieceId,
    endpoint_offset: u64,
    data: Bytes,
    expiry: Duration,
}

struct Simulation {
    now: Duration,
    disk: Disk,
    buffer: Buffer,
    in_doubt_policy: InDoubtPolicy,
    commit: Option<Commit>,
    ready: BTreeSet<PieceId>,
    in_doubt: BTreeSet<PieceId>,
    read_backs: Vec<PieceId>,
    in_flight: Vec<PieceId>,
    attempts: Vec<Attempt>,
    endpoint_cells: Vec<u32>,
    /// The cells that survive a crash of the endpoint.
    stable_cells: Vec<u32>,
    /// How often each value was written to each cell of the endpoint, by value and cell.
    write_counts: BTreeMap<(u32, u64), u32>,
    history: Vec<CellHistory>,
    acknowledged: BTreeSet<CommandId>,
    rejected: BTreeSet<CommandId>,
    /// For each flush and FUA write without a result: the floor of every cell once the command is
    /// acknowledged.
    durability_floors: BTreeMap<CommandId, Vec<usize>>,
    last_command: u32,
}

impl Simulation {
    fn new(in_doubt_policy: InDoubtPolicy) -> Self {
        Simulation {
            now: Duration::ZERO,
            disk: Disk::default(),
            buffer: Buffer::new(IDENTITY, config(in_doubt_policy)),
            in_doubt_policy,
            commit: None,
            ready: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            read_backs: Vec::new(),
            in_flight: Vec::new(),
            attempts: Vec::new(),
            endpoint_cells: vec![0; CELLS as usize],
            stable_cells: vec![0; CELLS as usize],
            write_counts: BTreeMap::new(),
            history: vec![CellHistory { values: vec![0], floor: 0 }; CELLS as usize],
            acknowledged: BTreeSet::new(),
            rejected: BTreeSet::new(),
            durability_floors: BTreeMap::new(),
            last_command: 0,
        }
    }

    fn step(&mut self, input: Input) {
        let effects = self.buffer.step(self.now, input);
        self.execute(effects);
    }

    fn execute(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit(commit) => {
                    assert!(self.commit.replace(commit).is_none(), "only one commit may be in flight")
                }
                Effect::RemoveSegment(segment) => drop(self.disk.files.remove(&segment)),
                Effect::Acknowledge(command) => {
                    assert!(self.acknowledged.insert(command), "a command is acknowledged once");
                    for (cell, floor) in
                        self.durability_floors.remove(&command).into_iter().flatten().enumerate()
                    {
                        let own = &mut self.history[cell].floor;
                        *own = (*own).max(floor);
                    }
                }
                Effect::Reject { command, reason } => {
                    assert!(
                        reason == RejectReason::LogFull && self.rejected.insert(command),
                        "a command is rejected once"
                    );
                    // A rejected command has no effect.
                    self.durability_floors.remove(&command);
                    self.history.iter_mut().for_each(|h| h.values.retain(|v| u64::from(*v) != command));
                }
                Effect::Ready(id) => assert!(self.ready.insert(id)),
                Effect::Withdraw(id) => assert!(self.ready.remove(&id)),
                Effect::Send(id) => {
                    let Piece { endpoint_offset, data, .. } = self.buffer.piece(id).unwrap().clone();
                    let expiry = self.now + ATTEMPT_LIFETIME;
                    self.attempts.push(Attempt { piece: id, endpoint_offset, data, expiry });
                    self.in_flight.push(id);
                }
                Effect::ReadBack(id) => self.read_backs.push(id),
                Effect::InDoubt(id) => drop(self.in_doubt.insert(id)),
                Effect::SetTimer(_) => {}
            }
        }
    }

    fn write(&mut self, from: u64, count: u64, fua: bool) {
        self.last_command += 1;
        let (command, value, end) =
            (u64::from(self.last_command), self.last_command, (from + count).min(CELLS));
        let piece = |a: u64, b: u64, shard| Piece {
            export_offset: a * 4,
            shard,
            endpoint_offset: a * 4,
            data: value.to_le_bytes().repeat((b - a) as usize).into(),
        };
        let half = CELLS / 2;
        let pieces = match (from < half, end > half) {
            (true, true) => vec![piece(from, half, 0), piece(half, end, 1)],
            (left, _) => vec![piece(from, end, u16::from(!left))],
        };
        (from..end).for_each(|c| self.history[c as usize].values.push(value));
        if fua {
            // Once the write is acknowledged, its value is the floor of its cells.
            let floor =
                |c: u64| if (from..end).contains(&c) { self.history[c as usize].values.len() - 1 } else { 0 };
            self.durability_floors.insert(command, (0..CELLS).map(floor).collect());
        }
        self.step(Input::Write { command, volume: VOLUME, pieces, fua });
    }

    fn flush(&mut self) {
        self.last_command += 1;
        let floors = self.history.iter().map(|h| h.values.len() - 1).collect();
        self.durability_floors.insert(u64::from(self.last_command), floors);
        self.step(Input::Flush { command: u64::from(self.last_command), volume: VOLUME });
    }

    fn finish_commit(&mut self) {
        if let Some(commit) = self.commit.take() {
            self.disk.write_commit(&commit, |_| true);
            self.step(Input::CommitSucceeded);
        }
    }

    /// Runs an attempt: its data is in the endpoint's memory.
    fn run_attempt(&mut self, n: usize) -> PieceId {
        let Attempt { piece, endpoint_offset, data, .. } = self.attempts.remove(n);
        for (i, value) in data.chunks(4).enumerate() {
            let (cell, value) =
                (endpoint_offset / 4 + i as u64, u32::from_le_bytes(value.try_into().unwrap()));
            self.endpoint_cells[cell as usize] = value;
            *self.write_counts.entry((value, cell)).or_default() += 1;
        }
        piece
    }

    /// Ends one of the attempts in flight. The bits of `random` choose the attempt and its outcome.
    fn end_attempt(&mut self, random: u64) {
        let Some(id) = self.in_flight.get(random as usize % self.in_flight.len().max(1)).copied() else {
            return;
        };
        self.in_flight.retain(|f| *f != id);
        let n = self.attempts.iter().rposition(|a| a.piece == id).unwrap();
        match random >> 8 & 3 {
            0 | 1 => {
                self.run_attempt(n);
                self.flush_endpoint();
                self.step(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::Completed });
            }
            2 => {
                drop(self.attempts.remove(n));
                self.step(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::NeverRan });
            }
            // The endpoint keeps the attempt, which may run until it expires.
            _ => self.step(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::Unknown }),
        }
    }

    /// Lets time pass. An attempt that the endpoint has kept may run, and expired attempts are dropped.
    fn advance_time(&mut self, duration: Duration, random: u64) {
        if !self.attempts.is_empty() && random & 1 == 1 {
            let n = random as usize / 2 % self.attempts.len();
            // Attempts that are still in flight are run by `end_attempt`.
            if !self.in_flight.contains(&self.attempts[n].piece) {
                self.run_attempt(n);
            }
        }
        self.now += duration;
        let (now, in_flight) = (self.now, self.in_flight.clone());
        self.attempts.retain(|a| a.expiry > now || in_flight.contains(&a.piece));
        self.step(Input::TimerFired);
    }

    fn flush_endpoint(&mut self) {
        self.stable_cells.clone_from(&self.endpoint_cells);
    }

    /// Crashes the endpoint. Writes that it held in memory only did not run.
    fn crash_endpoint(&mut self) {
        for (cell, lost) in self.endpoint_cells.iter().enumerate() {
            if *lost != self.stable_cells[cell] {
                self.write_counts.remove(&(*lost, cell as u64));
            }
        }
        self.endpoint_cells.clone_from(&self.stable_cells);
    }

    fn read_back(&mut self, random: u64) {
        let Some(id) = self.read_backs.pop() else { return };
        let Some(piece) = self.buffer.piece(id) else { return };
        let cells = &self.endpoint_cells[(piece.endpoint_offset / 4) as usize..][..piece.data.len() / 4];
        let stored = cells.iter().flat_map(|v| v.to_le_bytes()).collect::<Vec<u8>>();
        let data = match random & 7 {
            0 | 1 => StoredData::Unreadable,
            2 | 3 => StoredData::MaybeVolatile(stored.into()),
            _ => {
                self.flush_endpoint();
                StoredData::Durable(stored.into())
            }
        };
        self.step(Input::ReadBack { piece: id, data });
    }

    /// An operator looks up whether a piece in doubt has run, and decides accordingly.
    fn decide(&mut self) {
        let Some(id) = self.in_doubt.pop_first() else { return };
        let piece = self.buffer.piece(id).unwrap();
        let value = u32::from_le_bytes(piece.data[..4].try_into().unwrap());
        let ran = self.write_counts.contains_key(&(value, piece.endpoint_offset / 4));
        let decision = if ran {
            self.flush_endpoint();
            OperatorDecision::Drop
        } else {
            OperatorDecision::Resend
        };
        self.step(Input::Decide { piece: id, decision });
    }

    fn crash(&mut self, random: u64) {
        if let Some(commit) = self.commit.take() {
            let has_directory_entry = self.disk.files.contains_key(&commit.segment) || random & 1 == 1;
            self.disk.write_commit(&commit, |i| has_directory_entry && random >> (i % 61 + 2) & 1 == 1);
        }
        // The connections of all attempts are closed. An attempt that the endpoint has received may run until
        // it expires.
        let now = self.now;
        self.attempts.iter_mut().for_each(|a| a.expiry = a.expiry.min(now + ATTEMPT_LIFETIME));
        (self.ready, self.in_doubt, self.read_backs, self.in_flight) = Default::default();
        self.durability_floors = BTreeMap::new();
        let stored = |(number, bytes)| StoredSegment { number, bytes };
        let segments: Vec<StoredSegment> = self.disk.files.clone().into_iter().map(stored).collect();
        let recovered = recover(IDENTITY, &segments).expect("the log is intact");
        if let Some(torn) = recovered.torn_tail {
            self.disk.files.entry(torn.segment).or_default().truncate(torn.offset as usize);
        }
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(IDENTITY, config(self.in_doubt_policy), &recovered, now)
                .expect("all records can be decoded");
        self.buffer = buffer;
        self.execute(effects);
        // Each cell now shows one of the values since its floor. Values written after that one are lost for
        // good.
        let visible = self.visible_cells();
        for (cell, value) in visible.into_iter().enumerate() {
            let CellHistory { values, floor } = &mut self.history[cell];
            let index =
                values.iter().rposition(|v| *v == value).expect("only values that were written are visible");
            assert!(
                index >= *floor,
                "cell {cell}: {value} is older than the last durable value: {values:?} from {floor}"
            );
            values.truncate(index + 1);
            *floor = index;
        }
    }

    fn visible_cells(&self) -> Vec<u32> {
        let mut cells = self.endpoint_cells.clone();
        for span in self.buffer.overlay(VOLUME, 0, CELLS * 4).spans() {
            for (i, value) in span.data.chunks(4).enumerate() {
                cells[(span.offset / 4) as usize + i] = u32::from_le_bytes(value.try_into().unwrap());
            }
        }
        cells
    }

    fn check(&self) {
        for ((value, cell), times) in &self.write_counts {
            assert!(*times <= 1, "{value} reached cell {cell} of the endpoint {times} times");
        }
        for (cell, value) in self.visible_cells().into_iter().enumerate() {
            let newest = self.history[cell].values.last().copied().unwrap();
            assert_eq!(value, newest, "cell {cell}");
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, u64)>> {
    prop::collection::vec((0u8..21, any::<u64>()), 1..160)
}

fn run_simulation(in_doubt_policy: InDoubtPolicy, steps: Vec<(u8, u64)>) {
    let mut simulation = Simulation::new(in_doubt_policy);
    for (kind, random) in steps {
        match kind {
            0..=4 => simulation.write(random % CELLS, 1 + random / 64 % 8, random >> 32 & 3 == 0),
            5 => simulation.flush(),
            6..=9 => simulation.finish_commit(),
            10..=12 => {
                if let Some(id) = simulation.ready.pop_first() {
                    simulation.step(Input::Start(id));
                }
            }
            13 | 14 => simulation.end_attempt(random),
            15 => simulation.advance_time(Duration::from_millis(random % 2000), random >> 20),
            16 => simulation.read_back(random),
            17 => simulation.step(Input::Idle),
            18 => {
                simulation.decide();
            }
            19 => simulation.crash_endpoint(),
            _ => simulation.crash(random),
        }
        simulation.check();
    }
    // In the end every write reaches the endpoint once. An operator decides about those in doubt.
    for _ in 0..400 {
        simulation.finish_commit();
        simulation.advance_time(SECOND, 0);
        simulation.finish_commit();
        while !simulation.read_backs.is_empty() {
            simulation.read_back(7);
        }
        while let Some(id) = simulation.ready.pop_first() {
            simulation.step(Input::Start(id));
        }
        simulation.finish_commit();
        while !simulation.in_flight.is_empty() {
            simulation.end_attempt(0);
        }
        simulation.check();
        if simulation.buffer.usage().pieces == 0 && simulation.commit.is_none() {
            break;
        }
        // A piece in doubt blocks the pieces that overlap it until an operator decides.
        let without_operator = simulation.buffer.usage().pieces - simulation.buffer.in_doubt_count();
        if without_operator == 0 || simulation.ready.is_empty() && simulation.in_flight.is_empty() {
            simulation.decide();
        }
    }
    assert_eq!(simulation.buffer.usage().pieces, 0, "some pieces are never settled");
    let newest: Vec<u32> = simulation.history.iter().map(|h| *h.values.last().unwrap()).collect();
    assert_eq!(simulation.endpoint_cells, newest, "the endpoint holds the last written values");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn no_crash_loses_acknowledged_writes_or_sends_a_write_twice(steps in steps()) {
        run_simulation(InDoubtPolicy::AskOperator, steps);
    }

    #[test]
    fn no_crash_loses_acknowledged_writes_or_sends_a_write_twice_when_pieces_are_resent(steps in steps()) {
        run_simulation(InDoubtPolicy::Resend, steps);
    }
}

/// If the log has no space even for control records, no piece starts: an intent must not precede the recorded
/// outcome of an earlier piece.
#[test]
fn a_start_without_log_space_is_postponed_and_retried() {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 16 * BLOCK, reserved_bytes: BLOCK };
    let config = Config { log, ..config(InDoubtPolicy::AskOperator) };
    let mut buffer = Buffer::new(IDENTITY, config);
    let piece = |n: u64| Piece {
        export_offset: n * 4000,
        shard: 0,
        endpoint_offset: n * 4000,
        data: vec![1; 3900].into(),
    };
    let mut ready = Vec::new();
    for n in 0..15 {
        let write = Input::Write { command: n, volume: 1, pieces: vec![piece(n)], fua: false };
        let mut effects = buffer.step(SECOND, write);
        while effects.iter().any(|e| matches!(e, Effect::Commit(_))) {
            effects = buffer.step(SECOND, Input::CommitSucceeded);
            ready.extend(
                effects.iter().filter_map(|e| if let Effect::Ready(id) = e { Some(*id) } else { None }),
            );
        }
    }
    assert_eq!(ready.len(), 15);
    let full = Input::Write { command: 99, volume: 1, pieces: vec![piece(99)], fua: false };
    assert!(buffer
        .step(SECOND, full)
        .contains(&Effect::Reject { command: 99, reason: RejectReason::LogFull }));
    // The intent of piece 1 takes the last block. While that commit is in flight, no space is left for
    // another intent.
    assert!(matches!(buffer.step(SECOND, Input::Start(1))[..], [Effect::Commit(_)]));
    assert!(buffer
        .step(SECOND, Input::Start(2))
        .contains(&Effect::SetTimer(SECOND + Duration::from_millis(100))));
    assert_eq!(buffer.state(2), Some(PieceState::Durable));
    assert!(buffer.step(SECOND, Input::CommitSucceeded).contains(&Effect::Send(1)));
    let later = SECOND + Duration::from_millis(100);
    assert!(buffer.step(later, Input::TimerFired).contains(&Effect::Ready(2)));
}

/// The outcome of a write may have to wait for log space. It must still precede the intent of a later write
/// that overlaps: a restart in between would treat the first write as unsettled, and could send it after the
/// second.
#[test]
fn an_intent_is_never_appended_before_a_pending_outcome() {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 16 * BLOCK, reserved_bytes: 4 * BLOCK };
    let mut buffer = Buffer::new(IDENTITY, Config { log, ..config(InDoubtPolicy::AskOperator) });
    for n in 1..=12u64 {
        // The second write overlaps the first in part. All others overlap nothing.
        let from = if n == 2 { 2000 } else { n * 8000 - 8000 };
        let piece =
            Piece { export_offset: from, shard: 0, endpoint_offset: from, data: vec![1; 3900].into() };
        let write = Input::Write { command: n, volume: 1, pieces: vec![piece], fua: false };
        assert!(buffer.step(SECOND, write).iter().any(|e| matches!(e, Effect::Commit(_))));
        buffer.step(SECOND, Input::CommitSucceeded);
    }
    buffer.step(SECOND, Input::Start(1));
    assert!(buffer.step(SECOND, Input::CommitSucceeded).contains(&Effect::Send(1)));
    // One intent is in flight and two wait for its commit: the log is full to its last block.
    [3, 4, 5].into_iter().for_each(|id| drop(buffer.step(SECOND, Input::Start(id))));
    assert!(buffer
        .step(SECOND, Input::AttemptEnded { piece: 1, outcome: AttemptOutcome::Completed })
        .contains(&Effect::Ready(2)));
    // The two intents share a block, which leaves space for one record.
    buffer.step(SECOND, Input::CommitSucceeded);
    buffer.step(SECOND, Input::Start(2));
    assert_eq!(
        buffer.state(2),
        Some(PieceState::Durable),
        "the outcome of the first write is appended first"
    );
    buffer.step(SECOND, Input::CommitSucceeded);
    buffer.step(SECOND, Input::CommitSucceeded);
    let again = buffer.step(SECOND + Duration::from_millis(100), Input::TimerFired);
    assert!(again.contains(&Effect::Ready(2)));
}
