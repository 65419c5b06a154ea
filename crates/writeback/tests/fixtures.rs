//! Logs written by the release of 2 December 2026 are recovered to the same states, and the same inputs are
//! encoded to the same bytes.

use bytes::Bytes;
use shaletack_wal::{
    recover, Commit, Identity, LogConfig, RecordNumber, RecoveredLog, StoredSegment, TornTail,
};
use shaletack_writeback::{
    AttemptOutcome, Buffer, Config, Effect, InDoubtPolicy, Input, Piece, PieceId, RecoveredBuffer,
    UnsettledPiece,
};
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

const IDENTITY: Identity = Identity { log: 1, purpose: 2 };
const VOLUME: u64 = 77;
const BLOCK: u64 = 4096;
const SECTOR_BYTES: usize = 512;
const WRITE_TIME: Duration = Duration::from_secs(3);
const RESTART_TIME: Duration = Duration::from_secs(100);
const ATTEMPT_LIFETIME: Duration = Duration::from_secs(5);
const CONFIG: Config = Config {
    log: LogConfig { segment_bytes: 4 * BLOCK, max_bytes: 32 * BLOCK, reserved_bytes: 8 * BLOCK },
    attempt_lifetime: ATTEMPT_LIFETIME,
    in_doubt_policy: InDoubtPolicy::AskOperator,
};

type Segments = BTreeMap<u64, Vec<u8>>;

/// Reads the segments of a fixture, whose files are named as the program names them.
fn read_fixture(case: &str) -> Segments {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(case);
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let number =
        |path: &PathBuf| u64::from_str_radix(path.file_stem().unwrap().to_str().unwrap(), 16).unwrap();
    files.map(|path| (number(&path), std::fs::read(path).unwrap())).collect()
}

fn write_commit(segments: &mut Segments, commit: &Commit, length: usize) {
    let file = segments.entry(commit.segment).or_default();
    let end = commit.offset as usize + commit.bytes.len();
    file.resize(file.len().max(end), 0);
    file[commit.offset as usize..][..length].copy_from_slice(&commit.bytes[..length]);
}

/// A buffer with an in-memory disk that keeps every commit.
struct RecordingBuffer {
    buffer: Buffer,
    segments: Segments,
}

impl RecordingBuffer {
    fn new() -> Self {
        RecordingBuffer { buffer: Buffer::new(IDENTITY, CONFIG), segments: Segments::new() }
    }

    fn step(&mut self, input: Input) {
        let mut effects = self.buffer.step(WRITE_TIME, input);
        while !effects.is_empty() {
            let mut next = Vec::new();
            for effect in effects {
                match effect {
                    Effect::Commit(commit) => {
                        write_commit(&mut self.segments, &commit, commit.bytes.len());
                        next.extend(self.buffer.step(WRITE_TIME, Input::CommitSucceeded));
                    }
                    Effect::RemoveSegment(segment) => drop(self.segments.remove(&segment)),
                    _ => {}
                }
            }
            effects = next;
        }
    }

    fn write(&mut self, pieces: Vec<Piece>) {
        self.step(Input::Write { command: 1, volume: VOLUME, pieces, fua: true });
    }

    /// Starts one attempt and ends it with this outcome.
    fn attempt(&mut self, id: PieceId, outcome: AttemptOutcome) {
        self.step(Input::Start(id));
        self.step(Input::AttemptEnded { piece: id, outcome });
    }
}

fn piece(export_offset: u64, shard: u16, endpoint_offset: u64, data: &'static [u8]) -> Piece {
    Piece { export_offset, shard, endpoint_offset, data: Bytes::from_static(data) }
}

/// Contains each kind of record: a write of two pieces, an intent, an outcome, an attempt that never ran, and
/// another intent. Piece 1 is settled, 2 is in flight, 3 was never sent, and 4 may have run.
fn every_kind() -> RecordingBuffer {
    let mut log = RecordingBuffer::new();
    log.write(vec![piece(0, 0, 512, b"first"), piece(5, 1, 65536, b"second")]);
    log.attempt(1, AttemptOutcome::Completed);
    log.attempt(2, AttemptOutcome::NeverRan);
    log.step(Input::Start(2));
    log.write(vec![piece(300, 0, 812, b"third")]);
    log.write(vec![piece(70_000, 3, 4096, b"fourth")]);
    log.attempt(4, AttemptOutcome::Unknown);
    log
}

fn sealed() -> Segments {
    let mut log = every_kind();
    log.step(Input::Idle);
    log.segments
}

/// Only the first sector of the last write's batch has reached the disk.
fn torn_tail() -> Segments {
    let mut log = every_kind();
    let pieces = vec![piece(200_000, 0, 0, &[5; 900])];
    let write = Input::Write { command: 2, volume: VOLUME, pieces, fua: true };
    let effects = log.buffer.step(WRITE_TIME, write);
    let commit =
        effects.iter().find_map(|e| if let Effect::Commit(commit) = e { Some(commit) } else { None });
    write_commit(&mut log.segments, commit.unwrap(), SECTOR_BYTES);
    log.segments
}

/// Two old pieces, of which one may have run, were rewritten so that their segments and the ones after these
/// could be removed.
fn rewritten() -> Segments {
    let mut log = RecordingBuffer::new();
    log.write(vec![piece(0, 0, 0, b"sent")]);
    log.attempt(1, AttemptOutcome::Unknown);
    log.write(vec![piece(1000, 1, 0, b"never sent")]);
    for id in 3..=8 {
        log.write(vec![piece(id * 1000, 0, id * 1000, b"settled")]);
        log.attempt(id, AttemptOutcome::Completed);
    }
    log.segments
}

fn recover_log(segments: Segments) -> RecoveredLog {
    let stored = segments.into_iter().map(|(number, bytes)| StoredSegment { number, bytes });
    recover(IDENTITY, &stored.collect::<Vec<StoredSegment>>()).unwrap()
}

fn recover_buffer(case: &str) -> (Vec<UnsettledPiece>, Vec<Effect>) {
    let RecoveredBuffer { buffer, effects } =
        Buffer::recover(IDENTITY, CONFIG, &recover_log(read_fixture(case)), RESTART_TIME).unwrap();
    (buffer.list(), effects)
}

fn unsettled(id: PieceId, piece: &Piece, may_have_run: bool) -> UnsettledPiece {
    UnsettledPiece {
        id,
        volume: VOLUME,
        export_offset: piece.export_offset,
        length: piece.data.len(),
        shard: piece.shard,
        endpoint_offset: piece.endpoint_offset,
        may_have_run,
        in_doubt: false,
        since: RESTART_TIME,
    }
}

fn three_unsettled() -> Vec<UnsettledPiece> {
    vec![
        unsettled(2, &piece(5, 1, 65536, b"second"), true),
        unsettled(3, &piece(300, 0, 812, b"third"), false),
        unsettled(4, &piece(70_000, 3, 4096, b"fourth"), true),
    ]
}

#[test]
fn each_kind_of_record_is_read_from_a_stored_log() {
    for case in ["every_kind", "sealed", "torn_tail"] {
        let (list, effects) = recover_buffer(case);
        assert_eq!(list, three_unsettled(), "{case}");
        assert_eq!(effects, [Effect::Ready(3), Effect::SetTimer(RESTART_TIME + ATTEMPT_LIFETIME)], "{case}");
    }
    assert_eq!(
        recover_log(read_fixture("torn_tail")).torn_tail,
        Some(TornTail { segment: 3, offset: BLOCK })
    );
    assert_eq!(recover_log(read_fixture("sealed")).torn_tail, None);
}

#[test]
fn rewritten_records_keep_the_state_of_their_pieces_in_a_stored_log() {
    let (list, effects) = recover_buffer("rewritten");
    let expected = [
        unsettled(1, &piece(0, 0, 0, b"sent"), true),
        unsettled(2, &piece(1000, 1, 0, b"never sent"), false),
    ];
    assert_eq!(list, expected);
    assert_eq!(effects, [Effect::Ready(2), Effect::SetTimer(RESTART_TIME + ATTEMPT_LIFETIME)]);
}

/// The encoding is positional: the kind, then the fields in their order, with variable-length integers.
#[test]
fn each_kind_of_record_has_its_stored_encoding() {
    let stored_bytes = |case: &str, number: RecordNumber| {
        let records = recover_log(read_fixture(case)).records;
        records.into_iter().find(|record| record.number == number).unwrap().bytes
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
fn the_same_inputs_are_encoded_to_the_same_bytes() {
    assert!(read_fixture("every_kind") == every_kind().segments);
    assert!(read_fixture("sealed") == sealed());
    assert!(read_fixture("torn_tail") == torn_tail());
    assert!(read_fixture("rewritten") == rewritten());
}
