//! Buffered writes over a disk that tears and an endpoint that answers as it likes, with crashes anywhere: nothing
//! acknowledged is lost, nothing reaches the endpoint twice, and what overlaps keeps its order.

use bytes::Bytes;
use proptest::prelude::*;
use shaletack_wal::{recover, Commit, Identity, LogConfig, StoredSegment};
use shaletack_writeback::{
    AttemptOutcome, Buffer, CommandId, Config, DoubtPolicy, Effect, Input, OperatorDecision, Piece, PieceId,
    PieceState, RecoveredBuffer, RejectReason,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const ATTEMPT_LIFETIME: Duration = Duration::from_secs(5);
const BLOCK: u64 = 4096;
const IDENTITY: Identity = Identity { log: 1, purpose: 2 };
/// The export, in cells of four bytes, half of it on each of two shards.
const CELLS: u64 = 32;
const VOLUME: u64 = 77;

fn config(doubt_policy: DoubtPolicy) -> Config {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 48 * BLOCK, reserved_bytes: 12 * BLOCK };
    Config { log, attempt_lifetime: ATTEMPT_LIFETIME, doubt_policy }
}

/// A disk of which unsynced sectors may or may not be there after a crash.
#[derive(Clone, Default)]
struct Disk {
    files: BTreeMap<u64, Vec<u8>>,
}

impl Disk {
    fn put(&mut self, commit: &Commit, keep: impl Fn(usize) -> bool) {
        for (i, sector) in commit.bytes.chunks(512).enumerate().filter(|(i, _)| keep(*i)) {
            let (file, at) =
                (self.files.entry(commit.segment).or_default(), commit.offset as usize + i * 512);
            file.resize(file.len().max(at + sector.len()), 0);
            file[at..at + sector.len()].copy_from_slice(sector);
        }
    }
}

/// What was written to one cell.
#[derive(Clone)]
struct CellHistory {
    /// All values, oldest first.
    values: Vec<u32>,
    /// The index of the oldest value that may still be seen: all before it are overwritten for good.
    floor: usize,
}

/// An attempt that the endpoint has read and may still run.
#[derive(Clone)]
struct Attempt {
    piece: PieceId,
    endpoint_offset: u64,
    data: Bytes,
    until: Duration,
}

struct Simulation {
    now: Duration,
    disk: Disk,
    buffer: Buffer,
    doubt_policy: DoubtPolicy,
    commit: Option<Commit>,
    ready: BTreeSet<PieceId>,
    in_doubt: BTreeSet<PieceId>,
    read_backs: Vec<PieceId>,
    in_flight: Vec<PieceId>,
    attempts: Vec<Attempt>,
    cells: Vec<u32>,
    /// How often each value was written to each cell of the endpoint.
    ran: BTreeMap<(u32, u64), u32>,
    history: Vec<CellHistory>,
    acknowledged: BTreeSet<CommandId>,
    rejected: BTreeSet<CommandId>,
    /// Commands that promise durability, and the values that stood when they were given.
    promises: BTreeMap<CommandId, Vec<usize>>,
    last: u32,
}

impl Simulation {
    fn new(doubt_policy: DoubtPolicy) -> Self {
        Simulation {
            now: Duration::ZERO,
            disk: Disk::default(),
            buffer: Buffer::new(IDENTITY, config(doubt_policy)),
            doubt_policy,
            commit: None,
            ready: BTreeSet::new(),
            in_doubt: BTreeSet::new(),
            read_backs: Vec::new(),
            in_flight: Vec::new(),
            attempts: Vec::new(),
            cells: vec![0; CELLS as usize],
            ran: BTreeMap::new(),
            history: vec![CellHistory { values: vec![0], floor: 0 }; CELLS as usize],
            acknowledged: BTreeSet::new(),
            rejected: BTreeSet::new(),
            promises: BTreeMap::new(),
            last: 0,
        }
    }

    fn feed(&mut self, input: Input) {
        let effects = self.buffer.step(self.now, input);
        self.carry_out(effects);
    }

    fn carry_out(&mut self, effects: Vec<Effect>) {
        for effect in effects {
            match effect {
                Effect::Commit(commit) => assert!(self.commit.replace(commit).is_none(), "one at a time"),
                Effect::RemoveSegment(segment) => drop(self.disk.files.remove(&segment)),
                Effect::Acknowledge(command) => {
                    assert!(self.acknowledged.insert(command), "one answer");
                    for (cell, floor) in self.promises.remove(&command).into_iter().flatten().enumerate() {
                        let own = &mut self.history[cell].floor;
                        *own = (*own).max(floor);
                    }
                }
                Effect::Reject { command, reason } => {
                    assert!(reason == RejectReason::LogFull && self.rejected.insert(command), "one answer");
                    // Nothing of it has come to pass.
                    self.promises.remove(&command);
                    self.history.iter_mut().for_each(|h| h.values.retain(|v| u64::from(*v) != command));
                }
                Effect::Ready(id) => assert!(self.ready.insert(id)),
                Effect::Withdraw(id) => assert!(self.ready.remove(&id)),
                Effect::Send(id) => {
                    let Piece { endpoint_offset, data, .. } = self.buffer.piece(id).unwrap().clone();
                    let until = self.now + ATTEMPT_LIFETIME;
                    self.attempts.push(Attempt { piece: id, endpoint_offset, data, until });
                    self.in_flight.push(id);
                }
                Effect::ReadBack(id) => self.read_backs.push(id),
                Effect::InDoubt(id) => drop(self.in_doubt.insert(id)),
                Effect::SetTimer(_) => {}
            }
        }
    }

    fn write(&mut self, from: u64, count: u64, fua: bool) {
        self.last += 1;
        let (command, value, end) = (u64::from(self.last), self.last, (from + count).min(CELLS));
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
            // Once acknowledged, this value is the floor of its cells.
            let floor =
                |c: u64| if (from..end).contains(&c) { self.history[c as usize].values.len() - 1 } else { 0 };
            self.promises.insert(command, (0..CELLS).map(floor).collect());
        }
        self.feed(Input::Write { command, volume: VOLUME, pieces, fua });
    }

    fn flush(&mut self) {
        self.last += 1;
        let floors = self.history.iter().map(|h| h.values.len() - 1).collect();
        self.promises.insert(u64::from(self.last), floors);
        self.feed(Input::Flush { command: u64::from(self.last), volume: VOLUME });
    }

    fn finish_commit(&mut self) {
        if let Some(commit) = self.commit.take() {
            self.disk.put(&commit, |_| true);
            self.feed(Input::CommitSucceeded);
        }
    }

    fn run(&mut self, n: usize) -> PieceId {
        let Attempt { piece, endpoint_offset, data, .. } = self.attempts.remove(n);
        for (i, value) in data.chunks(4).enumerate() {
            let (cell, value) =
                (endpoint_offset / 4 + i as u64, u32::from_le_bytes(value.try_into().unwrap()));
            self.cells[cell as usize] = value;
            *self.ran.entry((value, cell)).or_default() += 1;
        }
        piece
    }

    /// Of what is out, one comes to an end, as drawn.
    fn end_attempt(&mut self, drawn: u64) {
        let Some(id) = self.in_flight.get(drawn as usize % self.in_flight.len().max(1)).copied() else {
            return;
        };
        self.in_flight.retain(|f| *f != id);
        let n = self.attempts.iter().rposition(|a| a.piece == id).unwrap();
        match drawn >> 8 & 3 {
            0 | 1 => {
                self.run(n);
                self.feed(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::Completed });
            }
            2 => {
                drop(self.attempts.remove(n));
                self.feed(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::NeverRan });
            }
            // It stands: it may run until its time is over, or not.
            _ => self.feed(Input::AttemptEnded { piece: id, outcome: AttemptOutcome::Unknown }),
        }
    }

    /// Time passes; what stands at the endpoint runs, or is lost with its time.
    fn advance_time(&mut self, span: Duration, drawn: u64) {
        if !self.attempts.is_empty() && drawn & 1 == 1 {
            let n = drawn as usize / 2 % self.attempts.len();
            // Those whose answer is awaited are answered by `end_attempt`.
            if !self.in_flight.contains(&self.attempts[n].piece) {
                self.run(n);
            }
        }
        self.now += span;
        let (now, in_flight) = (self.now, self.in_flight.clone());
        self.attempts.retain(|a| a.until > now || in_flight.contains(&a.piece));
        self.feed(Input::TimerFired);
    }

    fn read_back(&mut self, drawn: u64) {
        let Some(id) = self.read_backs.pop() else { return };
        let Some(piece) = self.buffer.piece(id) else { return };
        let cells = &self.cells[(piece.endpoint_offset / 4) as usize..][..piece.data.len() / 4];
        let there = cells.iter().flat_map(|v| v.to_le_bytes()).collect::<Vec<u8>>();
        let data = (drawn & 3 != 0).then(|| there.into());
        self.feed(Input::ReadBack { piece: id, data });
    }

    /// An operator looks at what is in doubt, and says what is so.
    fn decide(&mut self) {
        let Some(id) = self.in_doubt.pop_first() else { return };
        let piece = self.buffer.piece(id).unwrap();
        let value = u32::from_le_bytes(piece.data[..4].try_into().unwrap());
        let ran = self.ran.contains_key(&(value, piece.endpoint_offset / 4));
        let decision = if ran { OperatorDecision::Drop } else { OperatorDecision::Resend };
        self.feed(Input::Decide { piece: id, decision });
    }

    fn crash(&mut self, drawn: u64) {
        if let Some(commit) = self.commit.take() {
            let named = self.disk.files.contains_key(&commit.segment) || drawn & 1 == 1;
            self.disk.put(&commit, |i| named && drawn >> (i % 61 + 2) & 1 == 1);
        }
        // What was out is closed; what the endpoint has read may run until its time is over.
        let now = self.now;
        self.attempts.iter_mut().for_each(|a| a.until = a.until.min(now + ATTEMPT_LIFETIME));
        (self.ready, self.in_doubt, self.read_backs, self.in_flight) = Default::default();
        self.promises = BTreeMap::new();
        let stored = |(number, bytes)| StoredSegment { number, bytes };
        let segments: Vec<StoredSegment> = self.disk.files.clone().into_iter().map(stored).collect();
        let found = recover(IDENTITY, &segments).expect("the log is whole");
        if let Some(torn) = found.torn_tail {
            self.disk.files.entry(torn.segment).or_default().truncate(torn.offset as usize);
        }
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(IDENTITY, config(self.doubt_policy), &found, now).expect("readable");
        self.buffer = buffer;
        self.carry_out(effects);
        // What is seen now is one of the values since the last promise; what came after it is lost for good.
        let seen = self.visible();
        for (cell, value) in seen.into_iter().enumerate() {
            let CellHistory { values, floor } = &mut self.history[cell];
            let place = values.iter().rposition(|v| *v == value).expect("a value that was written");
            assert!(place >= *floor, "cell {cell}: {value} is older than promised: {values:?} from {floor}");
            values.truncate(place + 1);
            *floor = place;
        }
    }

    fn visible(&self) -> Vec<u32> {
        let mut cells = self.cells.clone();
        for span in self.buffer.overlay(VOLUME, 0, CELLS * 4).spans() {
            for (i, value) in span.data.chunks(4).enumerate() {
                cells[(span.offset / 4) as usize + i] = u32::from_le_bytes(value.try_into().unwrap());
            }
        }
        cells
    }

    fn check(&self) {
        for ((value, cell), times) in &self.ran {
            assert!(*times <= 1, "{value} reached cell {cell} of the endpoint {times} times");
        }
        for (cell, value) in self.visible().into_iter().enumerate() {
            let newest = self.history[cell].values.last().copied().unwrap();
            assert_eq!(value, newest, "cell {cell}");
        }
    }
}

fn steps() -> impl Strategy<Value = Vec<(u8, u64)>> {
    prop::collection::vec((0u8..20, any::<u64>()), 1..160)
}

fn play(doubt_policy: DoubtPolicy, steps: Vec<(u8, u64)>) {
    let mut simulation = Simulation::new(doubt_policy);
    for (kind, drawn) in steps {
        match kind {
            0..=4 => simulation.write(drawn % CELLS, 1 + drawn / 64 % 8, drawn >> 32 & 3 == 0),
            5 => simulation.flush(),
            6..=9 => simulation.finish_commit(),
            10..=12 => {
                if let Some(id) = simulation.ready.pop_first() {
                    simulation.feed(Input::Start(id));
                }
            }
            13 | 14 => simulation.end_attempt(drawn),
            15 => simulation.advance_time(Duration::from_millis(drawn % 2000), drawn >> 20),
            16 => simulation.read_back(drawn),
            17 => simulation.feed(Input::Idle),
            18 => {
                simulation.decide();
            }
            _ => simulation.crash(drawn),
        }
        simulation.check();
    }
    // In the end all of it reaches the endpoint, each write once, but for what only an operator can settle.
    for _ in 0..400 {
        simulation.finish_commit();
        simulation.advance_time(S, 0);
        simulation.finish_commit();
        while !simulation.read_backs.is_empty() {
            simulation.read_back(1);
        }
        while let Some(id) = simulation.ready.pop_first() {
            simulation.feed(Input::Start(id));
        }
        simulation.finish_commit();
        while !simulation.in_flight.is_empty() {
            simulation.end_attempt(0);
        }
        simulation.check();
        if simulation.buffer.usage().pieces == 0 && simulation.commit.is_none() {
            break;
        }
        // What is in doubt holds back what overlaps it, until somebody looks.
        let sure = simulation.buffer.usage().pieces - simulation.buffer.in_doubt();
        if sure == 0 || simulation.ready.is_empty() && simulation.in_flight.is_empty() {
            simulation.decide();
        }
    }
    assert_eq!(simulation.buffer.usage().pieces, 0, "something never goes");
    let newest: Vec<u32> = simulation.history.iter().map(|h| *h.values.last().unwrap()).collect();
    assert_eq!(simulation.cells, newest, "the endpoint holds what was written last");
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    #[test]
    fn no_crash_loses_what_is_promised_or_sends_twice(steps in steps()) {
        play(DoubtPolicy::AskOperator, steps);
    }

    #[test]
    fn no_crash_loses_what_is_promised_or_sends_twice_when_pieces_are_resent(steps in steps()) {
        play(DoubtPolicy::Resend, steps);
    }
}

/// Where not even what settles has room, nothing starts: an intent must not overtake the end of what came before.
#[test]
fn a_start_that_the_log_has_no_room_for_is_postponed_and_comes_again() {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 16 * BLOCK, reserved_bytes: BLOCK };
    let config = Config { log, ..config(DoubtPolicy::AskOperator) };
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
        let mut effects = buffer.step(S, write);
        while effects.iter().any(|e| matches!(e, Effect::Commit(_))) {
            effects = buffer.step(S, Input::CommitSucceeded);
            ready.extend(
                effects.iter().filter_map(|e| if let Effect::Ready(id) = e { Some(*id) } else { None }),
            );
        }
    }
    assert_eq!(ready.len(), 15);
    let full = Input::Write { command: 99, volume: 1, pieces: vec![piece(99)], fua: false };
    assert!(buffer.step(S, full).contains(&Effect::Reject { command: 99, reason: RejectReason::LogFull }));
    // The first takes the last block, and what comes while it is on its way has none.
    assert!(matches!(buffer.step(S, Input::Start(1))[..], [Effect::Commit(_)]));
    assert!(buffer.step(S, Input::Start(2)).contains(&Effect::SetTimer(S + Duration::from_millis(100))));
    assert_eq!(buffer.state(2), Some(PieceState::Durable));
    assert!(buffer.step(S, Input::CommitSucceeded).contains(&Effect::Send(1)));
    let later = S + Duration::from_millis(100);
    assert!(buffer.step(later, Input::TimerFired).contains(&Effect::Ready(2)));
}

/// The end of a write that the log had no room for yet must stand before the intent of what waited for it: a
/// restart in between would take the first for unsettled, and could send it behind the second.
#[test]
fn an_intent_never_stands_before_an_end_that_is_owed() {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 16 * BLOCK, reserved_bytes: 4 * BLOCK };
    let mut buffer = Buffer::new(IDENTITY, Config { log, ..config(DoubtPolicy::AskOperator) });
    for n in 1..=12u64 {
        // The second overlaps the first in part; all others lie alone.
        let from = if n == 2 { 2000 } else { n * 8000 - 8000 };
        let piece =
            Piece { export_offset: from, shard: 0, endpoint_offset: from, data: vec![1; 3900].into() };
        let write = Input::Write { command: n, volume: 1, pieces: vec![piece], fua: false };
        assert!(buffer.step(S, write).iter().any(|e| matches!(e, Effect::Commit(_))));
        buffer.step(S, Input::CommitSucceeded);
    }
    buffer.step(S, Input::Start(1));
    assert!(buffer.step(S, Input::CommitSucceeded).contains(&Effect::Send(1)));
    // One intent on its way, two that wait for it: the log is full to its last block.
    [3, 4, 5].into_iter().for_each(|id| drop(buffer.step(S, Input::Start(id))));
    assert!(buffer
        .step(S, Input::AttemptEnded { piece: 1, outcome: AttemptOutcome::Completed })
        .contains(&Effect::Ready(2)));
    // The two share a block, so that there is room for one record again.
    buffer.step(S, Input::CommitSucceeded);
    buffer.step(S, Input::Start(2));
    assert_eq!(buffer.state(2), Some(PieceState::Durable), "the end of the first comes first");
    buffer.step(S, Input::CommitSucceeded);
    buffer.step(S, Input::CommitSucceeded);
    let again = buffer.step(S + Duration::from_millis(100), Input::TimerFired);
    assert!(again.contains(&Effect::Ready(2)));
}
