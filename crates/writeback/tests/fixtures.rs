//! Buffers as the release of 2 December 2026 left them in the log are recovered to the same states, and the same
//! inputs become the same bytes.

use bytes::Bytes;
use shaletack_wal::{recover, Commit, Config as LogConfig, Identity, Recovered};
use shaletack_writeback::{Buffer, Config, Effect, Held, Input, NewPiece, PieceId, Proof, Unsettled};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const IDENTITY: Identity = Identity { log: 1, purpose: 2 };
const EXPORT: u64 = 77;
const BLOCK: u64 = 4096;
const SECTOR: usize = 512;
const NOW: Duration = Duration::from_secs(3);
const RESTART: Duration = Duration::from_secs(100);
const LIVES: Duration = Duration::from_secs(5);
const CONFIG: Config = Config {
    log: LogConfig { segment: 4 * BLOCK, most: 32 * BLOCK, reserved: 8 * BLOCK },
    attempt_lives: LIVES,
    unsettled: Unsettled::Ask,
};

type Segments = BTreeMap<u64, Vec<u8>>;

/// The segments of one fixture, as files of the names that the program gives them.
fn stored(case: &str) -> Segments {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(case);
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let number =
        |path: &PathBuf| u64::from_str_radix(path.file_stem().unwrap().to_str().unwrap(), 16).unwrap();
    files.map(|path| (number(&path), std::fs::read(path).unwrap())).collect()
}

fn put(segments: &mut Segments, commit: &Commit, length: usize) {
    let file = segments.entry(commit.segment).or_default();
    let end = commit.at as usize + commit.bytes.len();
    file.resize(file.len().max(end), 0);
    file[commit.at as usize..][..length].copy_from_slice(&commit.bytes[..length]);
}

/// A buffer over a disk in memory that keeps every commit.
struct Recorded {
    buffer: Buffer,
    segments: Segments,
}

impl Recorded {
    fn new() -> Self {
        Recorded { buffer: Buffer::new(IDENTITY, CONFIG), segments: Segments::new() }
    }

    fn step(&mut self, input: Input) {
        let mut effects = self.buffer.step(NOW, input);
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Commit(commit) => {
                        put(&mut self.segments, &commit, commit.bytes.len());
                        next.extend(self.buffer.step(NOW, Input::Committed(true)));
                    }
                    Effect::Remove(segment) => drop(self.segments.remove(&segment)),
                    _ => {}
                }
            }
            effects = next;
        }
    }

    fn write(&mut self, pieces: Vec<NewPiece>) {
        self.step(Input::Write { token: 1, export: EXPORT, pieces, fua: true });
    }

    /// One attempt that ends like this.
    fn attempt(&mut self, id: PieceId, proof: Proof) {
        self.step(Input::Start(id));
        self.step(Input::Ended(id, proof));
    }
}

fn piece(from: u64, shard: u16, at: u64, data: &'static [u8]) -> NewPiece {
    NewPiece { from, shard, at, data: Bytes::from_static(data) }
}

/// Each kind of record: a write of two pieces, an intent, an end, an attempt that never ran, and one more intent.
/// Piece 1 is settled, 2 is out, 3 was never sent, 4 may have run.
fn every_kind() -> Recorded {
    let mut log = Recorded::new();
    log.write(vec![piece(0, 0, 512, b"first"), piece(5, 1, 65536, b"second")]);
    log.attempt(1, Proof::Ran);
    log.attempt(2, Proof::NeverRan);
    log.step(Input::Start(2));
    log.write(vec![piece(300, 0, 812, b"third")]);
    log.write(vec![piece(70_000, 3, 4096, b"fourth")]);
    log.attempt(4, Proof::Unknown);
    log
}

fn sealed() -> Segments {
    let mut log = every_kind();
    log.step(Input::Idle);
    log.segments
}

/// A write whose batch has reached the disk with its first sector only.
fn torn_tail() -> Segments {
    let mut log = every_kind();
    let pieces = vec![piece(200_000, 0, 0, &[5; 900])];
    let write = Input::Write { token: 2, export: EXPORT, pieces, fua: true };
    let effects = log.buffer.step(NOW, write);
    let commit =
        effects.iter().find_map(|e| if let Effect::Commit(commit) = e { Some(commit) } else { None });
    put(&mut log.segments, commit.unwrap(), SECTOR);
    log.segments
}

/// Two old pieces, of which one may have run, were written anew to free the segments behind them.
fn rewritten() -> Segments {
    let mut log = Recorded::new();
    log.write(vec![piece(0, 0, 0, b"sent")]);
    log.attempt(1, Proof::Unknown);
    log.write(vec![piece(1000, 1, 0, b"never sent")]);
    for id in 3..=8 {
        log.write(vec![piece(id * 1000, 0, id * 1000, b"settled")]);
        log.attempt(id, Proof::Ran);
    }
    log.segments
}

fn found(segments: Segments) -> Recovered {
    recover(IDENTITY, &segments.into_iter().collect::<Vec<_>>()).unwrap()
}

fn restarted(case: &str) -> (Vec<Held>, Vec<Effect>) {
    let (buffer, effects) = Buffer::recover(IDENTITY, CONFIG, &found(stored(case)), RESTART).unwrap();
    (buffer.list(), effects)
}

fn held(id: PieceId, piece: &NewPiece, may_have_run: bool) -> Held {
    Held {
        id,
        export: EXPORT,
        from: piece.from,
        length: piece.data.len(),
        shard: piece.shard,
        at: piece.at,
        may_have_run,
        in_doubt: false,
        since: RESTART,
    }
}

fn three_unsettled() -> Vec<Held> {
    vec![
        held(2, &piece(5, 1, 65536, b"second"), true),
        held(3, &piece(300, 0, 812, b"third"), false),
        held(4, &piece(70_000, 3, 4096, b"fourth"), true),
    ]
}

#[test]
fn each_kind_of_record_is_read_from_a_stored_log() {
    for case in ["every_kind", "sealed", "torn_tail"] {
        let (list, effects) = restarted(case);
        assert_eq!(list, three_unsettled(), "{case}");
        assert_eq!(effects, [Effect::Ready(3), Effect::Wake(RESTART + LIVES)], "{case}");
    }
    assert_eq!(found(stored("torn_tail")).torn, Some((3, BLOCK)));
    assert_eq!(found(stored("sealed")).torn, None);
}

#[test]
fn records_written_anew_keep_the_state_of_their_pieces_in_a_stored_log() {
    let (list, effects) = restarted("rewritten");
    let expected =
        [held(1, &piece(0, 0, 0, b"sent"), true), held(2, &piece(1000, 1, 0, b"never sent"), false)];
    assert_eq!(list, expected);
    assert_eq!(effects, [Effect::Ready(2), Effect::Wake(RESTART + LIVES)]);
}

/// The encoding is by position: kind, then the fields in their order, as variable-length integers.
#[test]
fn each_kind_of_record_has_its_stored_encoding() {
    let stored_bytes = |case: &str, seq: u64| {
        let records = found(stored(case)).records;
        records.into_iter().find(|record| record.0 == seq).unwrap().2
    };
    assert_eq!(stored_bytes("every_kind", 2), *b"\0\x02\x4d\x05\x01\x80\x80\x04\0\x06second", "write");
    assert_eq!(
        stored_bytes("rewritten", 18),
        *b"\0\x01\x4d\0\0\0\x01\x04sent",
        "write with an intent before it"
    );
    assert_eq!(stored_bytes("every_kind", 5), [1, 2], "intent");
    assert_eq!(stored_bytes("every_kind", 6), [2, 2], "never ran");
    assert_eq!(stored_bytes("every_kind", 4), [3, 1], "settled");
}

#[test]
fn the_same_inputs_become_the_same_bytes() {
    assert!(stored("every_kind") == every_kind().segments);
    assert!(stored("sealed") == sealed());
    assert!(stored("torn_tail") == torn_tail());
    assert!(stored("rewritten") == rewritten());
}
