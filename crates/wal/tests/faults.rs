//! The log over a disk in memory that loses, tears, reorders and flips, against a plain model.

use proptest::prelude::*;
use shaletack_wal::format::{decode_batch, BLOCK_BYTES};
use shaletack_wal::{
    recover, AppendError, Commit, Identity, Log, LogConfig, RecordKind, RecordNumber, RecoveredLog,
    RecoveryError, SegmentStore, StoredSegment,
};
use std::collections::BTreeMap;
use std::io;

const SECTOR: usize = 512;
const IDENTITY: Identity = Identity { log: 7, purpose: 9 };
const BLOCK: u64 = BLOCK_BYTES as u64;
const CONFIG: LogConfig =
    LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 64 * BLOCK, reserved_bytes: 8 * BLOCK };

/// A disk in memory: what is durable, and what is written and not synced.
#[derive(Clone, Default)]
struct FaultyDisk {
    durable: BTreeMap<u64, Vec<u8>>,
    unsynced: Vec<UnsyncedSector>,
    fail_sync: bool,
}

/// A sector that was written and not synced.
#[derive(Clone)]
struct UnsyncedSector {
    segment: u64,
    offset: usize,
    bytes: Vec<u8>,
}

fn put(file: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    file.resize(file.len().max(at + bytes.len()), 0);
    file[at..at + bytes.len()].copy_from_slice(bytes);
}

impl FaultyDisk {
    fn write(&mut self, commit: &Commit) {
        for (i, sector) in commit.bytes.chunks(SECTOR).enumerate() {
            let offset = commit.offset as usize + i * SECTOR;
            self.unsynced.push(UnsyncedSector { segment: commit.segment, offset, bytes: sector.to_vec() });
        }
    }

    fn sync(&mut self) {
        for UnsyncedSector { segment, offset, bytes } in self.unsynced.drain(..) {
            put(self.durable.entry(segment).or_default(), offset, &bytes);
        }
    }

    /// The power fails: of what was not synced each sector is there or not, as drawn; a new name may be lost with all.
    fn crash(&mut self, drawn: u64) {
        for (i, sector) in std::mem::take(&mut self.unsynced).into_iter().enumerate() {
            let UnsyncedSector { segment, offset, bytes } = sector;
            let named = self.durable.contains_key(&segment) || drawn & 1 == 1;
            if named && (drawn >> (i % 61 + 2)) & 1 == 1 {
                put(self.durable.entry(segment).or_default(), offset, &bytes);
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

    fn truncate(&mut self, segment: u64, at: u64) -> io::Result<()> {
        self.durable.entry(segment).or_default().truncate(at as usize);
        Ok(())
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.durable.remove(&segment);
        Ok(())
    }
}

fn found(disk: &mut FaultyDisk) -> Result<RecoveredLog, RecoveryError> {
    let numbers = disk.segments().unwrap();
    let read = |number| StoredSegment { number, bytes: disk.read(number).unwrap() };
    let segments: Vec<StoredSegment> = numbers.into_iter().map(read).collect();
    recover(IDENTITY, &segments)
}

fn reopen(disk: &mut FaultyDisk) -> Result<(Log, RecoveredLog), RecoveryError> {
    let found = found(disk)?;
    if let Some(torn) = found.torn_tail {
        disk.truncate(torn.segment, torn.offset).unwrap();
    }
    Ok((Log::resume(IDENTITY, CONFIG, &found), found))
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
    /// The power fails before the next commit, or in the midst of it.
    Crash(u64),
    /// And again, in the midst of recovery.
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

    /// After any crash: all that was reported durable and not released is there, whole and in order, and
    /// nothing is there that was never appended.
    #[test]
    fn what_is_durable_survives_and_nothing_else_appears(steps in steps()) {
        let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
        // What is in use, and what was in use when the power failed and may be back.
        let mut model: BTreeMap<RecordNumber, Vec<u8>> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Append(size) => {
                    let seq = log.last() + 1;
                    if let Ok(taken) = log.append(RecordKind::Data, record(seq, size)) {
                        prop_assert_eq!(taken, seq);
                        model.insert(seq, record(seq, size));
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
                    prop_assert_eq!(log.durable(), log.last());
                }
                Step::Seal => {
                    if let Some(commit) = log.seal() {
                        disk.commit(&commit).unwrap();
log.commit_succeeded();
                    }
                }
                Step::Release(pick) => {
                    let durable: Vec<RecordNumber> = model.keys().filter(|s| **s <= log.durable()).copied().collect();
                    if let Some(seq) = durable.get(pick) {
                        log.release(*seq);
                        model.remove(seq);
                    }
                    while let Some(segment) = log.pop_removable() {
                        disk.remove(segment).unwrap();
                    }
                    // One that frees whole segments at a time.
                    if pick == 39 {
                        let durable: Vec<RecordNumber> = model.keys().filter(|s| **s <= log.durable()).copied().collect();
                        durable.into_iter().for_each(|seq| {
                            log.release(seq);
                            model.remove(&seq);
                        });
                    }
                }
                Step::Crash(drawn) | Step::CrashTwice(drawn, _) => {
                    let durable = log.durable();
                    if let Some(commit) = log.next_commit() {
                        disk.write(&commit);
                    }
                    disk.crash(drawn);
                    if let Step::CrashTwice(_, again) = step {
                        // Recovery has read, and cut or not, when the power fails again.
                        let found = found(&mut disk).unwrap();
                        if let Some(torn) = found.torn_tail.filter(|_| again & 1 == 0) {
                            disk.truncate(torn.segment, torn.offset).unwrap();
                        }
                    }
                    let (next, found) = reopen(&mut disk).unwrap();
                    let there: BTreeMap<RecordNumber, Vec<u8>> =
                        found.records.iter().map(|r| (r.number, r.bytes.clone())).collect();
                    for (seq, bytes) in model.range(..=durable) {
                        prop_assert_eq!(there.get(seq), Some(bytes), "record {} is lost", seq);
                    }
                    for (seq, bytes) in &there {
                        prop_assert!(bytes == &record(*seq, bytes.len()), "record {} is not what was appended", seq);
                    }
                    // The caller releases again what it knows to be settled; here, all that the model has not.
                    log = next;
                    model.retain(|seq, _| there.contains_key(seq));
                    there.keys().filter(|s| !model.contains_key(s)).for_each(|s| log.release(*s));
                    model.extend(there.into_iter().filter(|(s, _)| *s > durable));
                    model.keys().for_each(|s| assert!(found.records.iter().any(|r| r.number == *s)));
                }
            }
        }
    }

    /// A flipped bit in any batch that another one follows is reported, never taken for a torn end.
    #[test]
    fn a_flipped_bit_before_the_last_batch_is_reported_as_damage(
        sizes in prop::collection::vec(1usize..6000, 2..12),
        at in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
        let mut last = (0, 0);
        for size in sizes {
            log.append(RecordKind::Data, record(log.last() + 1, size)).unwrap();
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
        // Any byte of a batch before the last one that is not padding.
        let mut used = Vec::new();
        for (segment, bytes) in &disk.durable {
            let mut p = 0;
            while let Ok(batch) = decode_batch(&bytes[p..], IDENTITY, *segment) {
                let before = (*segment, p as u64) < last;
                used.extend((0..64 + batch.header.record_bytes as usize).filter(|_| before).map(|b| (*segment, p + b)));
                p += batch.size_bytes;
            }
        }
        prop_assume!(!used.is_empty());
        let (segment, byte) = used[at.index(used.len())];
        disk.durable.get_mut(&segment).unwrap()[byte] ^= 1 << bit;
        prop_assert!(found(&mut disk).is_err(), "byte {} of segment {} was swallowed", byte, segment);
    }
}

/// An fsync fails. The kernel may have dropped the pages that it could not write, and call the next fsync good. So
/// nothing of the commit counts as durable, nothing else is issued meanwhile, and only the whole commit written
/// again makes it durable; what was durable before stays so throughout.
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
        assert_eq!(log.append(RecordKind::Control, record(3, 1)), Ok(log.last()));
        assert_eq!(log.durable(), 1);
        assert!(log.next_commit().is_none() && log.seal().is_none() && log.pop_removable().is_none());
        // A power failure now, whatever of the commit has reached the disk, loses nothing durable.
        for kept_sectors in [0, 0b1011 << 2, u64::MAX] {
            let mut crashed = disk.clone();
            crashed.crash(kept_sectors);
            assert_eq!(found(&mut crashed).unwrap().records[0].bytes, record(1, 100));
        }
    }
    // The failed writes are gone from the page cache, and the next sync alone would bring none of them back.
    disk.unsynced.clear();
    disk.fail_sync = false;
    disk.commit(&second).unwrap();
    log.commit_succeeded();
    assert_eq!(log.durable(), 2);
    disk.crash(0);
    let records = found(&mut disk).unwrap().records;
    let bytes: Vec<Vec<u8>> = records.into_iter().map(|record| record.bytes).collect();
    assert_eq!(bytes, [record(1, 100), record(2, 100)]);
    assert!(log.next_commit().is_some(), "what was appended meanwhile");
}

#[test]
fn a_full_log_rejects_data_and_still_takes_control_records() {
    let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
    let mut taken = 0;
    while log.append(RecordKind::Data, record(taken + 1, 4000)).is_ok() {
        taken += 1;
        while let Some(commit) = log.next_commit() {
            disk.commit(&commit).unwrap();
            log.commit_succeeded();
        }
    }
    assert_eq!(taken, 56);
    assert_eq!(log.append(RecordKind::Data, vec![1]), Err(AppendError::Full));
    assert_eq!(log.append(RecordKind::Data, vec![1; 9 * BLOCK_BYTES]), Err(AppendError::TooLarge));
    (0..8).for_each(|_| assert!(log.append(RecordKind::Control, vec![1; 30]).is_ok()));
    assert_eq!(log.append(RecordKind::Control, vec![1; 30]), Err(AppendError::Full));
    // Settled from the newest on: nothing is freed before the oldest is.
    for seq in (2..=taken).rev() {
        log.release(seq);
    }
    while let Some(commit) = log.next_commit() {
        disk.commit(&commit).unwrap();
        log.commit_succeeded();
    }
    assert_eq!(log.pop_removable(), None);
    assert_eq!(log.stragglers(), [1], "one old record holds the whole log");
    log.release(1);
    assert_eq!(log.pop_removable(), None, "not before a batch that does without them is durable");
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
    assert!(log.append(RecordKind::Data, record(taken + 9, 4000)).is_ok());
}

#[test]
fn many_records_share_one_commit_and_none_is_issued_while_one_is_in_flight() {
    let mut log = Log::new(IDENTITY, CONFIG);
    (1..=20).for_each(|seq| assert_eq!(log.append(RecordKind::Data, record(seq, 50)), Ok(seq)));
    let commit = log.next_commit().unwrap();
    assert_eq!((commit.bytes.len(), commit.creates_segment), (BLOCK_BYTES, true));
    log.append(RecordKind::Data, record(21, 50)).unwrap();
    assert!(log.next_commit().is_none() && log.seal().is_none());
    assert_eq!(log.durable(), 0);
    log.commit_succeeded();
    assert_eq!(log.durable(), 20);
    assert_eq!(log.next_commit().unwrap().offset, BLOCK);
}

#[test]
fn other_versions_logs_and_missing_segments_are_rejected_clearly() {
    let (mut disk, mut log) = (FaultyDisk::default(), Log::new(IDENTITY, CONFIG));
    for seq in 1..=30 {
        log.append(RecordKind::Data, record(seq, 4000)).unwrap();
        while let Some(commit) = log.next_commit() {
            disk.commit(&commit).unwrap();
            log.commit_succeeded();
        }
    }
    let message = |disk: &mut FaultyDisk| found(disk).unwrap_err().to_string();
    let other = Identity { purpose: 1, ..IDENTITY };
    let stored = |(number, bytes)| StoredSegment { number, bytes };
    let segments: Vec<StoredSegment> = disk.durable.clone().into_iter().map(stored).collect();
    assert_eq!(recover(other, &segments).unwrap_err(), RecoveryError::Foreign(IDENTITY));
    let mut newer = disk.clone();
    newer.durable.get_mut(&1).unwrap()[6] = 2;
    assert_eq!(message(&mut newer), "the log is of version 2; this program reads version 1");
    let mut hole = disk.clone();
    hole.durable.remove(&2);
    assert_eq!(message(&mut hole), "segment 2 is missing");
    let mut start = disk.clone();
    start.durable.remove(&1);
    assert_eq!(message(&mut start), "segment 1 is missing");
    let mut short = disk;
    short.durable.get_mut(&1).unwrap().truncate(3 * BLOCK_BYTES);
    assert!(message(&mut short).starts_with("segment 2 is damaged"), "{}", message(&mut short));
}
