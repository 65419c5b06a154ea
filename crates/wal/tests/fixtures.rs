//! Logs written by the release of 2 December 2026 stay readable, and the same records are encoded to the same
//! bytes.

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
const SECTOR_BYTES: usize = 512;

type Segments = BTreeMap<u64, Vec<u8>>;

/// Reads the segments of a fixture, whose files are named as the program names them.
fn read_fixture(case: &str) -> Segments {
    let folder = PathBuf::from(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures").join(case);
    let files = std::fs::read_dir(folder).unwrap().map(|entry| entry.unwrap().path());
    let number =
        |path: &PathBuf| u64::from_str_radix(path.file_stem().unwrap().to_str().unwrap(), 16).unwrap();
    files.map(|path| (number(&path), std::fs::read(path).unwrap())).collect()
}

fn record(number: RecordNumber) -> Vec<u8> {
    (0..=number * 60).map(|i| (number * 31 + i) as u8).collect()
}

fn write_commit(segments: &mut Segments, commit: &Commit, length: usize) {
    let file = segments.entry(commit.segment).or_default();
    let end = commit.offset as usize + commit.bytes.len();
    file.resize(file.len().max(end), 0);
    file[commit.offset as usize..][..length].copy_from_slice(&commit.bytes[..length]);
}

fn commit_all(log: &mut Log, segments: &mut Segments) {
    while let Some(commit) = log.next_commit() {
        write_commit(segments, &commit, commit.bytes.len());
        log.commit_succeeded();
    }
}

/// Two batches, the first with two records and the second with one. No record is released.
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
    write_commit(&mut segments, &seal, seal.bytes.len());
    segments
}

/// Only the first sector of the last batch has reached the disk.
fn torn_tail() -> Segments {
    let (mut log, mut segments) = unsealed();
    log.append(RecordKind::Data, record(40)).unwrap();
    let commit = log.next_commit().unwrap();
    write_commit(&mut segments, &commit, SECTOR_BYTES);
    segments
}

/// Seven segments, of which the first two are no longer in use and removed, and an eighth with the batch that
/// names the third as the oldest.
fn removed_start() -> Segments {
    let (mut log, mut segments) = (Log::new(IDENTITY, CONFIG), Segments::new());
    for number in 1..=13 {
        log.append(RecordKind::Data, record(number)).unwrap();
        commit_all(&mut log, &mut segments);
    }
    (1..=5).for_each(|number| log.release(number));
    log.append(RecordKind::Rewritten, record(14)).unwrap();
    while let Some(commit) = log.next_commit() {
        assert_eq!(log.pop_removable(), None);
        write_commit(&mut segments, &commit, commit.bytes.len());
        log.commit_succeeded();
    }
    while let Some(segment) = log.pop_removable() {
        segments.remove(&segment);
    }
    segments
}

fn recovered(case: &str) -> RecoveredLog {
    let stored = read_fixture(case).into_iter().map(|(number, bytes)| StoredSegment { number, bytes });
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
    let expected =
        RecoveredLog { records, segments: vec![used(1, 2 * BLOCK)], last_record: 3, torn_tail: None };
    assert_eq!(recovered("unsealed"), expected);
}

#[test]
fn a_stored_log_that_was_sealed_is_recovered_with_the_segment_of_the_seal() {
    let records = vec![in_segment(1, 1), in_segment(2, 1), in_segment(3, 1)];
    let segments = vec![used(1, 2 * BLOCK), used(2, BLOCK)];
    assert_eq!(recovered("sealed"), RecoveredLog { records, segments, last_record: 3, torn_tail: None });
}

#[test]
fn a_stored_log_with_a_torn_tail_is_recovered_up_to_it() {
    let records = vec![in_segment(1, 1), in_segment(2, 1), in_segment(3, 1)];
    let segments = vec![used(1, 2 * BLOCK), used(2, 0)];
    assert_eq!(
        recovered("torn_tail"),
        RecoveredLog {
            records,
            segments,
            last_record: 3,
            torn_tail: Some(TornTail { segment: 2, offset: 0 })
        }
    );
}

#[test]
fn a_stored_log_whose_oldest_segments_were_removed_is_recovered_from_its_first_remaining_segment() {
    let records = (5..=14).map(|number: u64| in_segment(number, number.div_ceil(2))).collect();
    let mut segments: Vec<RecoveredSegment> = (3..=7).map(|segment| used(segment, 2 * BLOCK)).collect();
    segments.push(used(8, BLOCK));
    assert_eq!(
        recovered("removed_start"),
        RecoveredLog { records, segments, last_record: 14, torn_tail: None }
    );
}

#[test]
fn the_same_records_are_encoded_to_the_same_bytes() {
    assert!(read_fixture("unsealed") == unsealed().1);
    assert!(read_fixture("sealed") == sealed());
    assert!(read_fixture("torn_tail") == torn_tail());
    assert!(read_fixture("removed_start") == removed_start());
}
