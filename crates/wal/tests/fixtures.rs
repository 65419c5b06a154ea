//! Logs as the release of 2 December 2026 wrote them stay readable, and the same records become the same bytes.

use shaletack_wal::form::BLOCK;
use shaletack_wal::{recover, Commit, Config, Identity, Kind, Log, Recovered};
use std::collections::BTreeMap;
use std::path::PathBuf;

const IDENTITY: Identity = Identity { log: 7, purpose: 9 };
const CONFIG: Config =
    Config { segment: 2 * BLOCK as u64, most: 64 * BLOCK as u64, reserved: 8 * BLOCK as u64 };
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
    let end = commit.at as usize + commit.bytes.len();
    file.resize(file.len().max(end), 0);
    file[commit.at as usize..][..length].copy_from_slice(&commit.bytes[..length]);
}

fn commit_all(log: &mut Log, segments: &mut Segments) {
    while let Some(commit) = log.commit() {
        put(segments, &commit, commit.bytes.len());
        log.committed(true);
    }
}

/// Two batches, the first of two records and the second of one, which releases nothing.
fn unsealed() -> (Log, Segments) {
    let (mut log, mut segments) = (Log::new(IDENTITY, CONFIG), Segments::new());
    log.append(Kind::Data, record(1)).unwrap();
    log.append(Kind::Control, record(2)).unwrap();
    commit_all(&mut log, &mut segments);
    log.append(Kind::Data, record(3)).unwrap();
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
    log.append(Kind::Data, record(40)).unwrap();
    let commit = log.commit().unwrap();
    put(&mut segments, &commit, SECTOR);
    segments
}

/// Seven segments, of which the first two are of no more use and removed, and the batch that says so.
fn removed_start() -> Segments {
    let (mut log, mut segments) = (Log::new(IDENTITY, CONFIG), Segments::new());
    for seq in 1..=13 {
        log.append(Kind::Data, record(seq)).unwrap();
        commit_all(&mut log, &mut segments);
    }
    (1..=5).for_each(|seq| log.release(seq));
    log.append(Kind::Moved, record(14)).unwrap();
    while let Some(commit) = log.commit() {
        assert_eq!(log.removable(), None);
        put(&mut segments, &commit, commit.bytes.len());
        log.committed(true);
    }
    while let Some(segment) = log.removable() {
        segments.remove(&segment);
    }
    segments
}

fn recovered(case: &str) -> Recovered {
    let segments: Vec<(u64, Vec<u8>)> = stored(case).into_iter().collect();
    recover(IDENTITY, &segments).unwrap()
}

const BLOCK_BYTES: u64 = BLOCK as u64;

#[test]
fn a_stored_log_that_was_not_sealed_is_recovered_to_its_last_record() {
    let records = vec![(1, 1, record(1)), (2, 1, record(2)), (3, 1, record(3))];
    let expected = Recovered { records, segments: vec![(1, 2 * BLOCK_BYTES)], last: 3, torn: None };
    assert_eq!(recovered("unsealed"), expected);
}

#[test]
fn a_stored_log_that_was_sealed_is_recovered_with_the_segment_of_the_seal() {
    let records = vec![(1, 1, record(1)), (2, 1, record(2)), (3, 1, record(3))];
    let segments = vec![(1, 2 * BLOCK_BYTES), (2, BLOCK_BYTES)];
    assert_eq!(recovered("sealed"), Recovered { records, segments, last: 3, torn: None });
}

#[test]
fn a_stored_log_with_a_torn_tail_is_recovered_up_to_it() {
    let records = vec![(1, 1, record(1)), (2, 1, record(2)), (3, 1, record(3))];
    let segments = vec![(1, 2 * BLOCK_BYTES), (2, 0)];
    assert_eq!(recovered("torn_tail"), Recovered { records, segments, last: 3, torn: Some((2, 0)) });
}

#[test]
fn a_stored_log_whose_oldest_segments_were_removed_is_recovered_from_where_it_begins() {
    let records = (5..=14).map(|seq: u64| (seq, seq.div_ceil(2), record(seq))).collect();
    let mut segments: Vec<(u64, u64)> = (3..=7).map(|segment| (segment, 2 * BLOCK_BYTES)).collect();
    segments.push((8, BLOCK_BYTES));
    assert_eq!(recovered("removed_start"), Recovered { records, segments, last: 14, torn: None });
}

#[test]
fn the_same_records_become_the_same_bytes() {
    assert!(stored("unsealed") == unsealed().1);
    assert!(stored("sealed") == sealed());
    assert!(stored("torn_tail") == torn_tail());
    assert!(stored("removed_start") == removed_start());
}
