//! Where records go, what shares a commit, and how much there may be.

use crate::form::{batch, size, BLOCK, RECORD_MOST};
use crate::{Commit, Identity, Recovered, Seq};
use std::collections::{BTreeMap, VecDeque};

/// The log's bounds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Config {
    /// Bytes of a segment.
    pub segment: u64,
    /// Bytes of all segments together.
    pub most: u64,
    /// Of these, bytes that only control records may take: settling must go on when the log is full.
    pub reserved: u64,
}

/// What a record is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    /// It brings something new: refused while there is no room.
    Data,
    /// It says what became of others. It is of use only as long as those are, which lie before it.
    Control,
    /// It is a record of use written anew, to free the segment that it lay in.
    Moved,
}

/// Why a record is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refused {
    /// There is no room until something is settled.
    Full,
    /// It is larger than any record is.
    TooLarge,
    /// A commit failed: nothing more is taken.
    Failed,
}

/// How far the log is to be trusted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum State {
    /// It takes records.
    Open,
    /// A commit failed. What was durable before it still is; nothing after it is.
    Failed,
}

#[derive(Clone, Debug, Default)]
struct Segment {
    used: u64,
    /// Records of use that lie in it.
    live: u64,
}

/// A segment of no more use that is still on disk.
#[derive(Clone, Copy, Debug)]
struct Retired {
    segment: u64,
    used: u64,
    /// The commits issued before it was retired still say that it is of use.
    issued: u64,
}

/// A record that no commit has taken yet.
#[derive(Clone, Debug)]
struct Waiting {
    seq: Seq,
    kind: Kind,
    record: Vec<u8>,
}

/// The log's state.
#[derive(Clone, Debug)]
pub struct Log {
    identity: Identity,
    config: Config,
    state: State,
    segments: BTreeMap<u64, Segment>,
    /// Where each record of use lies, and the bytes that it takes.
    live: BTreeMap<Seq, (u64, u64)>,
    pending: VecDeque<Waiting>,
    pending_bytes: u64,
    out: Option<Seq>,
    last: Seq,
    durable: Seq,
    sealed: bool,
    retired: VecDeque<Retired>,
    issued: u64,
}

impl Log {
    /// An empty log, of which nothing is on disk yet.
    pub fn new(identity: Identity, config: Config) -> Self {
        Log {
            identity,
            config,
            state: State::Open,
            segments: BTreeMap::new(),
            live: BTreeMap::new(),
            pending: VecDeque::new(),
            pending_bytes: 0,
            out: None,
            last: 0,
            durable: 0,
            sealed: true,
            retired: VecDeque::new(),
            issued: 0,
        }
    }

    /// One that goes on where another process was. Every record counts as of use until it is released.
    pub fn resume(identity: Identity, config: Config, found: &Recovered) -> Self {
        let mut log = Log::new(identity, config);
        for (segment, used) in &found.segments {
            log.segments.insert(*segment, Segment { used: *used, live: 0 });
        }
        for (seq, segment, record) in &found.records {
            log.live.insert(*seq, (*segment, record.len() as u64));
            log.segments.entry(*segment).or_default().live += 1;
        }
        (log.last, log.durable) = (found.last, found.last);
        log
    }

    fn roll(&mut self) -> u64 {
        let next = self.segments.keys().next_back().map_or(1, |last| last + 1);
        self.segments.insert(next, Segment::default());
        next
    }

    fn oldest(&self) -> u64 {
        self.segments.keys().next().copied().unwrap_or(1)
    }

    /// How far it is to be trusted.
    pub fn state(&self) -> State {
        self.state
    }

    /// All records up to this one are on stable storage.
    pub fn durable(&self) -> Seq {
        self.durable
    }

    /// The number of the last record taken.
    pub fn last(&self) -> Seq {
        self.last
    }

    /// Bytes on disk, and those that wait to go there.
    pub fn used(&self) -> u64 {
        let retired: u64 = self.retired.iter().map(|r| r.used).sum();
        self.segments.values().map(|s| s.used).sum::<u64>() + retired + self.pending_bytes
    }

    /// Whether records of these lengths would all be taken.
    pub fn takes(&self, kind: Kind, lengths: impl Iterator<Item = usize>) -> Result<(), Refused> {
        if self.state == State::Failed {
            return Err(Refused::Failed);
        }
        let mut bytes = 0;
        for length in lengths {
            let takes = size([length].into_iter()) as u64;
            if length > RECORD_MOST || takes > self.config.segment {
                return Err(Refused::TooLarge);
            }
            bytes += takes;
        }
        let most = self.config.most - if kind == Kind::Data { self.config.reserved } else { 0 };
        if self.used() + bytes > most {
            return Err(Refused::Full);
        }
        Ok(())
    }

    /// Takes a record; it is durable once [`Log::durable`] has come to its number.
    pub fn append(&mut self, kind: Kind, record: Vec<u8>) -> Result<Seq, Refused> {
        self.takes(kind, [record.len()].into_iter())?;
        let takes = size([record.len()].into_iter()) as u64;
        self.last += 1;
        self.pending_bytes += takes;
        self.pending.push_back(Waiting { seq: self.last, kind, record });
        Ok(self.last)
    }

    /// What is to be made durable next: all that waits and fits into one segment. One at a time.
    pub fn commit(&mut self) -> Option<Commit> {
        if self.state == State::Failed || self.out.is_some() {
            return None;
        }
        if self.pending.is_empty() {
            // What is of no more use goes only behind a batch that says so, be it an empty one.
            let waits = self.retired.back().is_some_and(|r| r.issued == self.issued);
            return if waits { self.empty_batch() } else { None };
        }
        let tail = self.segments.iter().next_back().map(|(n, s)| (*n, s.used));
        let whole = self.config.segment;
        let fits = |used: u64, waiting: &VecDeque<Waiting>| {
            let room = whole.saturating_sub(used) as usize;
            let mut lengths = Vec::new();
            for each in waiting {
                lengths.push(each.record.len());
                if size(lengths.iter().copied()) > room {
                    return lengths.len() - 1;
                }
            }
            lengths.len()
        };
        let (segment, at, count) = match tail.map(|(n, used)| (n, used, fits(used, &self.pending))) {
            Some((n, used, count)) if count > 0 => (n, used, count),
            _ => (self.roll(), 0, fits(0, &self.pending)),
        };
        let taken: Vec<Waiting> = self.pending.drain(..count).collect();
        let (first, last) = (taken.first()?.seq, taken.last()?.seq);
        let mut of_use = 0;
        for Waiting { seq, kind, record } in &taken {
            self.pending_bytes -= size([record.len()].into_iter()) as u64;
            if *kind != Kind::Control {
                self.live.insert(*seq, (segment, record.len() as u64));
                of_use += 1;
            }
        }
        let records: Vec<Vec<u8>> = taken.into_iter().map(|each| each.record).collect();
        let bytes = batch(self.identity, segment, first, self.oldest(), &records);
        let place = self.segments.entry(segment).or_default();
        place.live += of_use;
        place.used = at + bytes.len() as u64;
        self.out = Some(last);
        self.issued += 1;
        self.sealed = false;
        Some(Commit { segment, create: at == 0, at, bytes })
    }

    /// A batch without records behind the last one: a flaw in the last batch that held some is then told from a
    /// write that was cut off. For when nothing else is to be written.
    pub fn seal(&mut self) -> Option<Commit> {
        let idle = self.state == State::Open && self.out.is_none() && self.pending.is_empty();
        if idle && !self.sealed && !self.segments.is_empty() {
            self.empty_batch()
        } else {
            None
        }
    }

    fn empty_batch(&mut self) -> Option<Commit> {
        let room = |s: &Segment| s.used + BLOCK as u64 <= self.config.segment;
        let segment = match self.segments.iter().next_back() {
            Some((segment, place)) if room(place) => *segment,
            _ => self.roll(),
        };
        let bytes = batch(self.identity, segment, self.last + 1, self.oldest(), &[]);
        let place = self.segments.entry(segment).or_default();
        let at = place.used;
        place.used += bytes.len() as u64;
        (self.sealed, self.out) = (true, Some(self.last));
        self.issued += 1;
        Some(Commit { segment, create: at == 0, at, bytes })
    }

    /// The commit that was out ended so.
    pub fn committed(&mut self, whole: bool) {
        match (self.out.take(), whole) {
            (Some(seq), true) => self.durable = seq,
            (Some(_), false) => self.state = State::Failed,
            (None, _) => {}
        }
    }

    /// A record is of no more use.
    pub fn release(&mut self, seq: Seq) {
        if let Some((segment, _)) = self.live.remove(&seq) {
            if let Some(place) = self.segments.get_mut(&segment) {
                place.live -= 1;
            }
        }
    }

    /// A segment to be removed: the oldest, once nothing in it is of use and a batch that does without it is
    /// durable. Only ever the oldest, so that what says how a record ended never goes before the record. The last
    /// one stays.
    pub fn removable(&mut self) -> Option<u64> {
        while self.segments.len() > 1 {
            let Some(oldest) = self.segments.first_entry().filter(|entry| entry.get().live == 0) else {
                break;
            };
            let (segment, place) = oldest.remove_entry();
            self.retired.push_back(Retired { segment, used: place.used, issued: self.issued });
        }
        let done = self.issued - u64::from(self.out.is_some());
        let first = self.retired.front().filter(|r| r.issued < done)?;
        let segment = first.segment;
        self.retired.pop_front();
        Some(segment)
    }

    /// Records of use that keep the oldest segment, where little of it is: they are to be appended anew and then
    /// released, so that one old record does not hold the whole log.
    pub fn stragglers(&self) -> Vec<Seq> {
        let Some((&oldest, place)) = self.segments.first_key_value().filter(|_| self.segments.len() > 1)
        else {
            return Vec::new();
        };
        let held = self.live.iter().filter(|(_, (segment, _))| *segment == oldest);
        let bytes: u64 = held.clone().map(|(_, (_, bytes))| bytes).sum();
        let tight = self.used() * 2 > self.config.most && bytes * 4 < place.used;
        if tight {
            held.map(|(seq, _)| *seq).collect()
        } else {
            Vec::new()
        }
    }
}
