//! The log over a disk in memory that loses, tears, reorders and flips, against a plain model.

use proptest::prelude::*;
use shaletack_wal::form::BLOCK;
use shaletack_wal::*;
use std::collections::BTreeMap;
use std::io;

const SECTOR: usize = 512;
const IDENTITY: Identity = Identity { log: 7, purpose: 9 };
const CONFIG: Config =
    Config { segment: 8 * BLOCK as u64, most: 64 * BLOCK as u64, reserved: 8 * BLOCK as u64 };

/// What is on the platters, and what is only on its way there.
#[derive(Clone, Default)]
struct Faulty {
    durable: BTreeMap<u64, Vec<u8>>,
    /// Sectors written and not synced.
    loose: Vec<(u64, usize, Vec<u8>)>,
    fail_sync: bool,
}

fn put(file: &mut Vec<u8>, at: usize, bytes: &[u8]) {
    file.resize(file.len().max(at + bytes.len()), 0);
    file[at..at + bytes.len()].copy_from_slice(bytes);
}

impl Faulty {
    fn write(&mut self, commit: &Commit) {
        for (i, sector) in commit.bytes.chunks(SECTOR).enumerate() {
            self.loose.push((commit.segment, commit.at as usize + i * SECTOR, sector.to_vec()));
        }
    }

    fn sync(&mut self) {
        for (segment, at, bytes) in self.loose.drain(..) {
            put(self.durable.entry(segment).or_default(), at, &bytes);
        }
    }

    /// The power goes: of what was loose each sector is there or not, as drawn; a new name may be lost with all.
    fn crash(&mut self, drawn: u64) {
        for (i, (segment, at, bytes)) in std::mem::take(&mut self.loose).into_iter().enumerate() {
            let named = self.durable.contains_key(&segment) || drawn & 1 == 1;
            if named && (drawn >> (i % 61 + 2)) & 1 == 1 {
                put(self.durable.entry(segment).or_default(), at, &bytes);
            }
        }
    }
}

impl Disk for Faulty {
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

    fn cut(&mut self, segment: u64, at: u64) -> io::Result<()> {
        self.durable.entry(segment).or_default().truncate(at as usize);
        Ok(())
    }

    fn remove(&mut self, segment: u64) -> io::Result<()> {
        self.durable.remove(&segment);
        Ok(())
    }
}

fn found(disk: &mut Faulty) -> Result<Recovered, Damage> {
    let segments = disk.segments().unwrap();
    let segments: Vec<_> = segments.into_iter().map(|n| (n, disk.read(n).unwrap())).collect();
    recover(IDENTITY, &segments)
}

fn reopen(disk: &mut Faulty) -> Result<(Log, Recovered), Damage> {
    let found = found(disk)?;
    if let Some((segment, at)) = found.torn {
        disk.cut(segment, at).unwrap();
    }
    Ok((Log::resume(IDENTITY, CONFIG, &found), found))
}

fn record(seq: Seq, size: usize) -> Vec<u8> {
    (0..size).map(|i| (seq as usize * 31 + i) as u8 | 1).collect()
}

#[derive(Clone, Debug)]
enum Step {
    Append(usize),
    Commit,
    Seal,
    Release(usize),
    /// The power goes before the commit that is due, or in the midst of it.
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
        let (mut disk, mut log) = (Faulty::default(), Log::new(IDENTITY, CONFIG));
        // What is of use, and what was of use when the power went and may be back.
        let mut model: BTreeMap<Seq, Vec<u8>> = BTreeMap::new();
        for step in steps {
            match step {
                Step::Append(size) => {
                    let seq = log.last() + 1;
                    if let Ok(taken) = log.append(Kind::Data, record(seq, size)) {
                        prop_assert_eq!(taken, seq);
                        model.insert(seq, record(seq, size));
                    }
                    prop_assert!(log.used() <= CONFIG.most - CONFIG.reserved);
                }
                Step::Commit => {
                    while let Some(commit) = log.commit() {
                        prop_assert!((commit.at as usize).is_multiple_of(BLOCK));
                        prop_assert!(commit.at + commit.bytes.len() as u64 <= CONFIG.segment);
                        log.committed(disk.commit(&commit).is_ok());
                    }
                    prop_assert_eq!(log.durable(), log.last());
                }
                Step::Seal => {
                    if let Some(commit) = log.seal() {
                        log.committed(disk.commit(&commit).is_ok());
                    }
                }
                Step::Release(pick) => {
                    let durable: Vec<Seq> = model.keys().filter(|s| **s <= log.durable()).copied().collect();
                    if let Some(seq) = durable.get(pick) {
                        log.release(*seq);
                        model.remove(seq);
                    }
                    while let Some(segment) = log.removable() {
                        disk.remove(segment).unwrap();
                    }
                    // One that frees whole segments at a time.
                    if pick == 39 {
                        let durable: Vec<Seq> = model.keys().filter(|s| **s <= log.durable()).copied().collect();
                        durable.into_iter().for_each(|seq| {
                            log.release(seq);
                            model.remove(&seq);
                        });
                    }
                }
                Step::Crash(drawn) | Step::CrashTwice(drawn, _) => {
                    let durable = log.durable();
                    if let Some(commit) = log.commit() {
                        disk.write(&commit);
                    }
                    disk.crash(drawn);
                    if let Step::CrashTwice(_, again) = step {
                        // Recovery has read, and cut or not, when the power goes again.
                        let found = found(&mut disk).unwrap();
                        if let Some((segment, at)) = found.torn.filter(|_| again & 1 == 0) {
                            disk.cut(segment, at).unwrap();
                        }
                    }
                    let (next, found) = reopen(&mut disk).unwrap();
                    let there: BTreeMap<Seq, Vec<u8>> =
                        found.records.iter().map(|(s, _, r)| (*s, r.clone())).collect();
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
                    model.keys().for_each(|s| assert!(found.records.iter().any(|r| r.0 == *s)));
                }
            }
        }
    }

    /// A flipped bit in any batch that another one follows is told, never taken for a torn end.
    #[test]
    fn a_flipped_bit_before_the_last_batch_is_damage(
        sizes in prop::collection::vec(1usize..6000, 2..12),
        at in any::<prop::sample::Index>(),
        bit in 0u8..8,
    ) {
        let (mut disk, mut log) = (Faulty::default(), Log::new(IDENTITY, CONFIG));
        let mut last = (0, 0);
        for size in sizes {
            log.append(Kind::Data, record(log.last() + 1, size)).unwrap();
            let commit = log.commit().unwrap();
            last = (commit.segment, commit.at);
            log.committed(disk.commit(&commit).is_ok());
        }
        let seal = log.seal();
        if let Some(seal) = &seal {
            last = (seal.segment, seal.at);
            log.committed(disk.commit(seal).is_ok());
        }
        // Any byte of a batch before the last one that is not padding.
        let mut used = Vec::new();
        for (segment, bytes) in &disk.durable {
            let mut p = 0;
            while let Ok((head, _, size)) = form::read(&bytes[p..], IDENTITY, *segment) {
                let before = (*segment, p as u64) < last;
                used.extend((0..64 + head.length as usize).filter(|_| before).map(|b| (*segment, p + b)));
                p += size;
            }
        }
        prop_assume!(!used.is_empty());
        let (segment, byte) = used[at.index(used.len())];
        disk.durable.get_mut(&segment).unwrap()[byte] ^= 1 << bit;
        prop_assert!(found(&mut disk).is_err(), "byte {} of segment {} was swallowed", byte, segment);
    }
}

#[test]
fn an_fsync_that_fails_is_the_last_and_what_was_durable_stays() {
    let (mut disk, mut log) = (Faulty::default(), Log::new(IDENTITY, CONFIG));
    log.append(Kind::Data, record(1, 100)).unwrap();
    let commit = log.commit().unwrap();
    log.committed(disk.commit(&commit).is_ok());
    log.append(Kind::Data, record(2, 100)).unwrap();
    disk.fail_sync = true;
    let commit = log.commit().unwrap();
    log.committed(disk.commit(&commit).is_ok());
    // The next one would succeed, and prove nothing.
    disk.fail_sync = false;
    assert_eq!((log.state(), log.durable()), (State::Failed, 1));
    assert_eq!(log.append(Kind::Control, record(3, 1)), Err(Refused::Failed));
    assert!(log.commit().is_none() && log.seal().is_none());
    disk.crash(u64::MAX);
    assert!(found(&mut disk).unwrap().records.iter().any(|r| r.0 == 1));
}

#[test]
fn a_full_log_refuses_what_is_new_and_still_takes_what_settles() {
    let (mut disk, mut log) = (Faulty::default(), Log::new(IDENTITY, CONFIG));
    let mut taken = 0;
    while log.append(Kind::Data, record(taken + 1, 4000)).is_ok() {
        taken += 1;
        while let Some(commit) = log.commit() {
            log.committed(disk.commit(&commit).is_ok());
        }
    }
    assert_eq!(taken, 56);
    assert_eq!(log.append(Kind::Data, vec![1]), Err(Refused::Full));
    assert_eq!(log.append(Kind::Data, vec![1; 9 * BLOCK]), Err(Refused::TooLarge));
    (0..8).for_each(|_| assert!(log.append(Kind::Control, vec![1; 30]).is_ok()));
    assert_eq!(log.append(Kind::Control, vec![1; 30]), Err(Refused::Full));
    // Settled from the newest on: nothing is freed before the oldest is.
    for seq in (2..=taken).rev() {
        log.release(seq);
    }
    while let Some(commit) = log.commit() {
        log.committed(disk.commit(&commit).is_ok());
    }
    assert_eq!(log.removable(), None);
    assert_eq!(log.stragglers(), [1], "one old record holds the whole log");
    log.release(1);
    assert_eq!(log.removable(), None, "not before a batch that does without them is durable");
    let commit = log.commit().unwrap();
    assert_eq!((log.removable(), log.append(Kind::Data, vec![1])), (None, Err(Refused::Full)));
    log.committed(disk.commit(&commit).is_ok());
    let mut removed = 0;
    while let Some(segment) = log.removable() {
        disk.remove(segment).unwrap();
        removed += 1;
    }
    assert_eq!(removed, 7);
    assert!(log.append(Kind::Data, record(taken + 9, 4000)).is_ok());
}

#[test]
fn many_records_share_one_commit_and_none_goes_while_one_is_out() {
    let mut log = Log::new(IDENTITY, CONFIG);
    (1..=20).for_each(|seq| assert_eq!(log.append(Kind::Data, record(seq, 50)), Ok(seq)));
    let commit = log.commit().unwrap();
    assert_eq!((commit.bytes.len(), commit.create), (BLOCK, true));
    log.append(Kind::Data, record(21, 50)).unwrap();
    assert!(log.commit().is_none() && log.seal().is_none());
    assert_eq!(log.durable(), 0);
    log.committed(true);
    assert_eq!(log.durable(), 20);
    assert_eq!(log.commit().unwrap().at, BLOCK as u64);
}

#[test]
fn other_versions_logs_and_holes_are_refused_clearly() {
    let (mut disk, mut log) = (Faulty::default(), Log::new(IDENTITY, CONFIG));
    for seq in 1..=30 {
        log.append(Kind::Data, record(seq, 4000)).unwrap();
        while let Some(commit) = log.commit() {
            log.committed(disk.commit(&commit).is_ok());
        }
    }
    let told = |disk: &mut Faulty| found(disk).unwrap_err().to_string();
    let other = Identity { purpose: 1, ..IDENTITY };
    let segments: Vec<_> = disk.durable.clone().into_iter().collect();
    assert_eq!(recover(other, &segments).unwrap_err(), Damage::Foreign(IDENTITY));
    let mut newer = disk.clone();
    newer.durable.get_mut(&1).unwrap()[6] = 2;
    assert_eq!(told(&mut newer), "the log is of version 2; this program reads version 1");
    let mut hole = disk.clone();
    hole.durable.remove(&2);
    assert_eq!(told(&mut hole), "segment 2 is missing");
    let mut start = disk.clone();
    start.durable.remove(&1);
    assert_eq!(told(&mut start), "segment 1 is missing");
    let mut short = disk;
    short.durable.get_mut(&1).unwrap().truncate(3 * BLOCK);
    assert!(told(&mut short).starts_with("segment 2 is damaged"), "{}", told(&mut short));
}
