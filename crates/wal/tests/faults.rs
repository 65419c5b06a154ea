//! Runs the log on an in-memory disk that loses, tears and reorders writes and flips bits, and compares the
//! recovered log with a simple model.

use proptest::prelude::*;
use shaletack_wal::format::{decode_batch, BLOCK_BYTES};
use shaletack_wal::{
    recover, AppendError, Commit, Identity, Log, LogConfig, RecordKind, RecordNumber, RecoveredLog,
    RecoveryError, SegmentStore, StoredSegment,
};
use std::collections::BTreeMap;
use std::io;

const SECTOR_BYTES: usize = 512;
const IDENTITY: Identity = Identity { log: 7, purpose: 9 };
const BLOCK: u64 = BLOCK_BYTES as u64;
const CONFIG: LogConfig =
    LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 64 * BLOCK, reserved_bytes: 8 * BLOCK };

/// A disk in memory: durable segments, and sectors that are written but not synced.
#[derive(Clone, Default)]
struct FaultyDisk {
    durable: BTreeMap<u64, Vec<u8>>,
    unsynced: Vec<UnsyncedSector>,
    fail_sync: bool,
}

/// A sector that is written but not synced.
#[derive(Clone)]
struct UnsyncedSector {
    segment: u64,
    offset: usize,
    bytes: Vec<u8>,
}

fn write_at(file: &mut Vec<u8>, offset: usize, bytes: &[u8]) {
    file.resize(file.len().max(offset + bytes.len()), 0);
    file[offset..offset + bytes.len()].copy_from_slice(bytes);
}

impl FaultyDisk {
    fn write(&mut self, commit: &Commit) {
        for (i, sector) in commit.bytes.chunks(SECTOR_BYTES).enumerate() {
            let offset = commit.offset as usize + i * SECTOR_BYTES;
            self.unsynced.push(UnsyncedSector { segment: commit.segment, offset, bytes: sector.to_vec() });
        }
    }

    fn sync(&mut self) {
        for UnsyncedSector { segment, offset, bytes } in self.unsynced.drain(..) {
            write_at(self.durable.entry(segment).or_default(), offset, &bytes);
        }
    }

    /// Simulates a power failure. The bits of `random` decide for each unsynced sector whether it reached the
    /// disk, and whether the directory entry of a new segment did: without it the whole segment is lost.
    fn crash(&mut self, random: u64) {
        for (i, sector) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            let UnsyncedSector { segment, offset, bytes } = sector;
            let has_directory_entry = self.durable.contains_key(&segment) || random & 1 == 1;
            if has_directory_entry && (random >> (i % 61 + 2)) & 1 == 1 {
                write_at(self.durable.entry(segment).or_default(), offset, &bytes);
            }
        }
    }
}

impl SegmentStore for FaultyDisk {
    fn segments(&mut self) -> io::Result<Vec<u64>> {
        Ok(self.durable.keys().copied().collect())
    }

    fn read(&mut self, segment: u64) -> io::Result<Vec<u8>> {
        self.durable.get(&segment).cloned().ok_or(io::ErrorKind::NotFound.into())
    }

    fn commit(&mut self, commit: &Commit) -> io::Result<()> {
        self.write(commit);
        if self.fail_sync {
            return Err(io::Error::other("fsync"));
        }
        self.sync();
        Ok(())
    }

    fn truncate(&mut self, segment: u64, length: u64) -> io::Result<()> {
        self.durable.entry(segment).or_default().truncate(length as usize);
        Ok(())
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.durable.remove(&segment);
        Ok(())
    }
}

fn recover_from(disk: &mut FaultyDisk) -> Result<RecoveredLog, RecoveryError> {
    let numbers = disk.segments().unwrap();
    let read = |number| StoredSegment { number, bytes: disk.read(number).unwrap() };
    let segments: Vec<StoredSegment> = numbers.into_iter().map(read).collect();
    recover(IDENTITY, &segments)
}

fn reopen(disk: &mut FaultyDisk) -> Result<(Log, RecoveredLog), RecoveryError> {
    let recovered = recover_from(disk)?;
    if let Some(torn) = recovered.torn_tail {
        disk.truncate(torn.segment, torn.offset).unwrap();
    }
    Ok((Log::resume(IDENTITY, CONFIG, &recovered), recovered))
}

fn durable_records(model: &BTreeMap<RecordNumber, Vec<u8>>, log: &Log) -> Vec<RecordNumber> {
    model.keys().filter(|number| **number <= log.durable_record()).copied().collect()
}

fn record(number: RecordNumber, size: usize) -> Vec<u8> {
    (0..size).map(|i| (number as usize * 31 + i) as u8 | 1).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Append(usize),
    Commit,
    Seal,
    Release(usize),
    /// Power failure before the next commit or in the middle of it.
    Crash(u64),
    /// Power failure, followed by a second one in the middle of recovery.
    CrashTwice(u64, u64),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        6 => (0usize..9000).prop_map(Step::Append),
        4 => Just(Step::Commit),
        1 => Just(Step::Seal),
        3 => (0usize..40).prop_map(Step::Release),
        1 => any::<u64>().prop_map(Step::Crash),
        1 => (any::<u64>(), any::<u64>()).prop_map(|(a, b)| Step::CrashTwice(a, b)),
    ];
    prop::collection::vec(step, 1..80)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(400) })]

    /// After any crash, every record that was reported durable and not released is recovered intact and in
    /// order, and no record is recovered that was never appended.
    #[test]
    fn durable_records_survive_crashes_and_no_others_appear(steps in steps()) {
        let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
        // The records in use, and those that were not durable at a power failure and were recovered all the
        // same.
        let mut model: BTreeMap<RecordNumber, Vec<u8>> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Append(size) => {
                    let number = log.last_record() + 1;
                    if let Ok(accepted) = log.append(RecordKind::Data, record(number, size)) {
                        prop_assert_eq!(accepted, number);
                        model.insert(number, record(number, size));
                    }
                    prop_assert!(log.used_bytes() <= CONFIG.max_bytes - CONFIG.reserved_bytes);
                }
                Step::Commit => {
                    while let Some(commit) = log.next_commit() {
                        prop_assert!((commit.offset as usize).is_multiple_of(BLOCK_BYTES));
                        prop_assert!(commit.offset + commit.bytes.len() as u64 <= CONFIG.segment_bytes);
                        disk.commit(&commit).unwrap();
                        log.commit_succeeded();
                    }
                    prop_assert_eq!(log.durable_record(), log.last_record());
                }
                Step::Seal => {
                    if let Some(commit) = log.seal() {
                        disk.commit(&commit).unwrap();
                        log.commit_succeeded();
                    }
                }
                Step::Release(pick) => {
                    let durable = durable_records(&model, &log);
                    if let Some(number) = durable.get(pick) {
                        log.release(*number);
                        model.remove(number);
                    }
                    while let Some(segment) = log.pop_removable() {
                        disk.remove(segment).unwrap();
                    }
                    // One value of `pick` releases all durable records, which frees whole segments at a time.
                    if pick == 39 {
                        let durable = durable_records(&model, &log);
                        durable.into_iter().for_each(|number| {
                            log.release(number);
                            model.remove(&number);
                        });
                    }
                }
                Step::Crash(random) | Step::CrashTwice(random, _) => {
                    let durable = log.durable_record();
                    if let Some(commit) = log.next_commit() {
                        disk.write(&commit);
                    }
                    disk.crash(random);
                    if let Step::CrashTwice(_, again) = step {
                        // The second failure hits after recovery has read the log, before or after the
                        // truncation.
                        let recovered = recover_from(&mut disk).unwrap();
                        if let Some(torn) = recovered.torn_tail.filter(|_| again & 1 == 0) {
                            disk.truncate(torn.segment, torn.offset).unwrap();
                        }
                    }
                    let (resumed, recovered) = reopen(&mut disk).unwrap();
                    let present: BTreeMap<RecordNumber, Vec<u8>> =
                        recovered.records.iter().map(|r| (r.number, r.bytes.clone())).collect();
                    for (number, bytes) in model.range(..=durable) {
                        let found = present.get(number);
                        prop_assert_eq!(found, Some(bytes), "durable record {} was lost", number);
                    }
                    for (number, bytes) in &present {
                        let appended = record(*number, bytes.len());
                        prop_assert!(bytes == &appended, "record {} differs from what was appended", number);
                    }
                    // The caller releases again the records that it knows to be settled: here, those not in
                    // the model.
                    log = resumed;
                    model.retain(|number, _| present.contains_key(number));
                    present.keys().filter(|s| !model.contains_key(s)).for_each(|s| log.release(*s));
                    model.extend(present.into_iter().filter(|(s, _)| *s > durable));
                    model.keys().for_each(|s| assert!(recovered.records.iter().any(|r| r.number == *s)));
                }
            }
        }
    }

    /// A flipped bit in any batch but the last is reported as damage, and never treated as a torn tail.
    #[test]
    fn a_flipped_bit_before_the_last_batch_is_reported_as_damage(
        sizes in prop::collection::vec(1usize..6000, 2..12),
        position in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
        let mut last = (0, 0);
        for size in sizes {
            log.append(RecordKind::Data, record(log.last_record() + 1, size)).unwrap();
            let commit = log.next_commit().unwrap();
            last = (commit.segment, commit.offset);
            disk.commit(&commit).unwrap();
            log.commit_succeeded();
        }
        let seal = log.seal();
        if let Some(seal) = &seal {
            last = (seal.segment, seal.offset);
            disk.commit(seal).unwrap();
            log.commit_succeeded();
        }
        // All bytes of the batches before the last one, without their padding.
        let mut used = Vec::new();
        for (segment, bytes) in &disk.durable {
            let mut offset = 0;
            while let Ok(batch) = decode_batch(&bytes[offset..], IDENTITY, *segment) {
                let is_before_last = (*segment, offset as u64) < last;
                let written = 0..64 + batch.header.record_bytes as usize;
                used.extend(written.filter(|_| is_before_last).map(|byte| (*segment, offset + byte)));
                offset += batch.size_bytes;
            }
        }
        prop_assume!(!used.is_empty());
        let (segment, byte) = used[position.index(used.len())];
        disk.durable.get_mut(&segment).unwrap()[byte] ^= 1 << bit;
        let result = recover_from(&mut disk);
        prop_assert!(result.is_err(), "flipped bit in byte {} of segment {} was not reported", byte, segment);
    }
}

/// After a failed fsync the kernel may drop the dirty pages and let the next fsync succeed. No part of the
/// commit may count as durable then, no other commit may be issued, and only writing the whole commit again
/// makes it durable. Records that were durable before stay durable throughout.
#[test]
fn a_commit_whose_fsync_fails_stays_in_flight_until_all_of_it_is_written_again() {
    let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
    log.append(RecordKind::Data, record(1, 100)).unwrap();
    let first = log.next_commit().unwrap();
    disk.commit(&first).unwrap();
    log.commit_succeeded();
    log.append(RecordKind::Data, record(2, 100)).unwrap();
    let second = log.next_commit().unwrap();
    disk.fail_sync = true;
    for _ in 0..3 {
        assert!(disk.commit(&second).is_err());
        assert_eq!(log.append(RecordKind::Control, record(3, 1)), Ok(log.last_record()));
        assert_eq!(log.durable_record(), 1);
        assert!(log.next_commit().is_none() && log.seal().is_none() && log.pop_removable().is_none());
        // A power failure at this point loses no durable record, whichever sectors of the commit reached the
        // disk.
        for kept_sectors in [0, 0b1011 << 2, u64::MAX] {
            let mut crashed = disk.clone();
            crashed.crash(kept_sectors);
            assert_eq!(recover_from(&mut crashed).unwrap().records[0].bytes, record(1, 100));
        }
    }
    // The failed writes are gone from the page cache, and the next sync alone would not restore them.
    disk.unsynced.clear();
    disk.fail_sync = false;
    disk.commit(&second).unwrap();
    log.commit_succeeded();
    assert_eq!(log.durable_record(), 2);
    disk.crash(0);
    let records = recover_from(&mut disk).unwrap().records;
    let bytes: Vec<Vec<u8>> = records.into_iter().map(|record| record.bytes).collect();
    assert_eq!(bytes, [record(1, 100), record(2, 100)]);
    assert!(log.next_commit().is_some(), "records appended meanwhile are committed next");
}

#[test]
fn a_full_log_rejects_data_and_still_takes_control_records() {
    let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
    let mut accepted = 0;
    while log.append(RecordKind::Data, record(accepted + 1, 4000)).is_ok() {
        accepted += 1;
        while let Some(commit) = log.next_commit() {
            disk.commit(&commit).unwrap();
            log.commit_succeeded();
        }
    }
    assert_eq!(accepted, 56);
    assert_eq!(log.append(RecordKind::Data, vec![1]), Err(AppendError::Full));
    assert_eq!(log.append(RecordKind::Data, vec![1; 9 * BLOCK_BYTES]), Err(AppendError::TooLarge));
    (0..8).for_each(|_| assert!(log.append(RecordKind::Control, vec![1; 30]).is_ok()));
    assert_eq!(log.append(RecordKind::Control, vec![1; 30]), Err(AppendError::Full));
    // Releasing the newest records first frees no segment before the oldest record is released.
    for number in (2..=accepted).rev() {
        log.release(number);
    }
    while let Some(commit) = log.next_commit() {
        disk.commit(&commit).unwrap();
        log.commit_succeeded();
    }
    assert_eq!(log.pop_removable(), None);
    assert_eq!(log.records_to_rewrite(), [1], "one old record keeps every segment from being removed");
    log.release(1);
    assert_eq!(log.pop_removable(), None, "no durable batch names a later segment as the oldest yet");
    let commit = log.next_commit().unwrap();
    assert_eq!((log.pop_removable(), log.append(RecordKind::Data, vec![1])), (None, Err(AppendError::Full)));
    disk.commit(&commit).unwrap();
    log.commit_succeeded();
    let mut removed = 0;
    while let Some(segment) = log.pop_removable() {
        disk.remove(segment).unwrap();
        removed += 1;
    }
    assert_eq!(removed, 7);
    assert!(log.append(RecordKind::Data, record(accepted + 9, 4000)).is_ok());
}

#[test]
fn many_records_share_one_commit_and_none_is_issued_while_one_is_in_flight() {
    let mut log = Log::new(IDENTITY, CONFIG);
    (1..=20).for_each(|number| assert_eq!(log.append(RecordKind::Data, record(number, 50)), Ok(number)));
    let commit = log.next_commit().unwrap();
    assert_eq!((commit.bytes.len(), commit.creates_segment), (BLOCK_BYTES, true));
    log.append(RecordKind::Data, record(21, 50)).unwrap();
    assert!(log.next_commit().is_none() && log.seal().is_none());
    assert_eq!(log.durable_record(), 0);
    log.commit_succeeded();
    assert_eq!(log.durable_record(), 20);
    assert_eq!(log.next_commit().unwrap().offset, BLOCK);
}

#[test]
fn other_versions_other_logs_and_missing_segments_are_rejected_with_the_reason() {
    let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
    for number in 1..=30 {
        log.append(RecordKind::Data, record(number, 4000)).unwrap();
        while let Some(commit) = log.next_commit() {
            disk.commit(&commit).unwrap();
            log.commit_succeeded();
        }
    }
    let message = |disk: &mut FaultyDisk| recover_from(disk).unwrap_err().to_string();
    let other = Identity { purpose: 1, ..IDENTITY };
    let stored = |(number, bytes)| StoredSegment { number, bytes };
    let segments: Vec<StoredSegment> = disk.durable.clone().into_iter().map(stored).collect();
    assert_eq!(recover(other, &segments).unwrap_err(), RecoveryError::Foreign(IDENTITY));
    let mut newer = disk.clone();
    newer.durable.get_mut(&1).unwrap()[6] = 2;
    assert_eq!(message(&mut newer), "the log has format version 2; this program reads version 1");
    let mut without_middle = disk.clone();
    without_middle.durable.remove(&2);
    assert_eq!(message(&mut without_middle), "segment 2 is missing");
    let mut without_start = disk.clone();
    without_start.durable.remove(&1);
    assert_eq!(message(&mut without_start), "segment 1 is missing");
    let mut truncated = disk;
    truncated.durable.get_mut(&1).unwrap().truncate(3 * BLOCK_BYTES);
    assert!(message(&mut truncated).starts_with("segment 2 is damaged"), "{}", message(&mut truncated));
}
