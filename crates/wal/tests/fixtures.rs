//! Logs as the release of 2 December 2026 wrote them stay readable, and the same records become the same bytes.

use shaletack_wal::format::BLOCK_BYTES;
use shaletack_wal::{
    recover, Commit, Identity, Log, LogConfig, RecordKind, RecordNumber, RecoveredLog, RecoveredRecord,
    RecoveredSegment, SegmentNumber, StoredSegment, TornTail,
};
use std::collections::BTreeMap;
use std::path::PathBuf;

const IDENTITY: Identity = Identity { log: 7, purpose: 9 };
const BLOCK: u64 = BLOCK_BYTES as u64;
const CONFIG: LogConfig =
    LogConfig { segment_bytes: 2 * BLOCK, max_bytes: 64 * BLOCK, reserved_bytes: 8 * BLOCK };
const SECTOR: usize = 512;

type Segments = BTreeMap<u64, Vec<u8>>;

/// The segments of one fixture, as files of the names that the program gives them.
fn stored(case: &str) -> Segments {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(case);
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let number =
        |path: &PathBuf| u64::from_str_radix(path.file_stem().unwrap().to_str().unwrap(), 16).unwrap();
    files.map(|path| (number(&path), std::fs::read(path).unwrap())).collect()
}

fn record(seq: u64) -> Vec<u8> {
    (0..=seq * 60).map(|i| (seq * 31 + i) as u8).collect()
}

fn put(segments: &mut Segments, commit: &Commit, length: usize) {
    let file = segments.entry(commit.segment).or_default();
    let end = commit.offset as usize + commit.bytes.len();
    file.resize(file.len().max(end), 0);
    file[commit.offset as usize..][..length].copy_from_slice(&commit.bytes[..length]);
}

fn commit_all(log: &mut Log, segments: &mut Segments) {
    while let Some(commit) = log.next_commit() {
        put(segments, &commit, commit.bytes.len());
        log.commit_succeeded();
    }
}

/// Two batches, the first of two records and the second of one, which releases nothing.
fn unsealed() -> (Log, Segments) {
    let (mut log, mut segments) = (Log::new(IDENTITY, CONFIG), Segments::new());
    log.append(RecordKind::Data, record(1)).unwrap();
    log.append(RecordKind::Control, record(2)).unwrap();
    commit_all(&mut log, &mut segments);
    log.append(RecordKind::Data, record(3)).unwrap();
    commit_all(&mut log, &mut segments);
    (log, segments)
}

fn sealed() -> Segments {
    let (mut log, mut segments) = unsealed();
    let seal = log.seal().unwrap();
    put(&mut segments, &seal, seal.bytes.len());
    segments
}

/// Of the last batch only its first sector has reached the disk.
fn torn_tail() -> Segments {
    let (mut log, mut segments) = unsealed();
    log.append(RecordKind::Data, record(40)).unwrap();
    let commit = log.next_commit().unwrap();
    put(&mut segments, &commit, SECTOR);
    segments
}

/// Seven segments, of which the first two are of no more use and removed, and the batch that says so.
fn removed_start() -> Segments {
    let (mut log, mut segments) = (Log::new(IDENTITY, CONFIG), Segments::new());
    for seq in 1..=13 {
        log.append(RecordKind::Data, record(seq)).unwrap();
        commit_all(&mut log, &mut segments);
    }
    (1..=5).for_each(|seq| log.release(seq));
    log.append(RecordKind::Rewritten, record(14)).unwrap();
    while let Some(commit) = log.next_commit() {
        assert_eq!(log.pop_removable(), None);
        put(&mut segments, &commit, commit.bytes.len());
        log.commit_succeeded();
    }
    while let Some(segment) = log.pop_removable() {
        segments.remove(&segment);
    }
    segments
}

fn recovered(case: &str) -> RecoveredLog {
    let stored = stored(case).into_iter().map(|(number, bytes)| StoredSegment { number, bytes });
    let segments: Vec<StoredSegment> = stored.collect();
    recover(IDENTITY, &segments).unwrap()
}

fn in_segment(number: RecordNumber, segment: SegmentNumber) -> RecoveredRecord {
    RecoveredRecord { number, segment, bytes: record(number) }
}

fn used(number: SegmentNumber, used_bytes: u64) -> RecoveredSegment {
    RecoveredSegment { number, used_bytes }
}

#[test]
fn a_stored_log_that_was_not_sealed_is_recovered_to_its_last_record() {
    let records = vec![in_segment(1, 1), in_segment(2, 1), in_segment(3, 1)];
    let expected = RecoveredLog { records, segments: vec![used(1, 2 * BLOCK)], last: 3, torn_tail: None };
    assert_eq!(recovered("unsealed"), expected);
}

#[test]
fn a_stored_log_that_was_sealed_is_recovered_with_the_segment_of_the_seal() {
    let records = vec![in_segment(1, 1), in_segment(2, 1), in_segment(3, 1)];
    let segments = vec![used(1, 2 * BLOCK), used(2, BLOCK)];
    assert_eq!(recovered("sealed"), RecoveredLog { records, segments, last: 3, torn_tail: None });
}

#[test]
fn a_stored_log_with_a_torn_tail_is_recovered_up_to_it() {
    let records = vec![in_segment(1, 1), in_segment(2, 1), in_segment(3, 1)];
    let segments = vec![used(1, 2 * BLOCK), used(2, 0)];
    assert_eq!(
        recovered("torn_tail"),
        RecoveredLog { records, segments, last: 3, torn_tail: Some(TornTail { segment: 2, offset: 0 }) }
    );
}

#[test]
fn a_stored_log_whose_oldest_segments_were_removed_is_recovered_from_where_it_begins() {
    let records = (5..=14).map(|number: u64| in_segment(number, number.div_ceil(2))).collect();
    let mut segments: Vec<RecoveredSegment> = (3..=7).map(|segment| used(segment, 2 * BLOCK)).collect();
    segments.push(used(8, BLOCK));
    assert_eq!(recovered("removed_start"), RecoveredLog { records, segments, last: 14, torn_tail: None });
}

#[test]
fn the_same_records_become_the_same_bytes() {
    assert!(stored("unsealed") == unsealed().1);
    assert!(stored("sealed") == sealed());
    assert!(stored("torn_tail") == torn_tail());
    assert!(stored("removed_start") == removed_start());
}
