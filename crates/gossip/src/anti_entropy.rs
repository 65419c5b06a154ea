//! Anti-entropy: digests that find what pushes missed.
//!
//! Push gossip reaches nearly all, and nobody who was paused or cut off. So every second each process sends one random
//! peer a hash of all records it holds. Where the two differ, the peer answers with a hash for each range of record ids,
//! and a few of the ranges that differ are compared id by id. A process keeps no state for a peer but the digests that
//! wait for an answer.

use crate::codec::{encoded_len, Body, Item};
use crate::limits::{half_of_gossip_bytes, MAX_PAYLOAD_BYTES, MAX_RECORD_IDS};
use crate::push::Subject;
use crate::rate_limiter::RateLimiter;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The mean time between two digests.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1100);
/// The highest bits of a record's id, which say its range.
const RANGE_BITS: u32 = 4;
/// Ranges of record ids that a digest tells apart.
const RANGES: usize = 1 << RANGE_BITS;
/// Digests that wait for an answer; of more, the oldest are given up.
const MAX_PENDING_DIGESTS: usize = 8;
/// Ranges that one answer compares, drawn anew each time: the ids of all ranges would leave no room for their records.
const RANGES_PER_ANSWER: usize = 4;
/// Datagrams of records in one answer.
const MAX_RECORD_DATAGRAMS: usize = 8;

/// A record as digests see it.
pub(crate) struct Record {
    pub(crate) id: u32,
    pub(crate) subject: Subject,
}

#[derive(Clone, Copy, Debug)]
struct PendingDigest {
    token: u32,
    peer: SocketAddr,
    sent_at: Duration,
}

/// When the next digest is due, and the digests that wait for an answer.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    next_digest_at: Duration,
    pending: VecDeque<PendingDigest>,
    limiter: RateLimiter,
}

impl AntiEntropy {
    pub(crate) fn new(now: Duration) -> Self {
        AntiEntropy { next_digest_at: now, pending: VecDeque::new(), limiter: half_of_gossip_bytes(now) }
    }

    pub(crate) fn next_digest_at(&self) -> Duration {
        self.next_digest_at
    }

    /// The next digest goes out at once.
    pub(crate) fn digest_now(&mut self, now: Duration) {
        self.next_digest_at = now;
    }

    /// Whether a digest is due; the next one is then a random interval away.
    pub(crate) fn take_due(&mut self, now: Duration, rng: &mut StdRng) -> bool {
        let due = now >= self.next_digest_at;
        if due {
            self.next_digest_at = now + DIGEST_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
        }
        due
    }

    /// Takes the bytes of a digest, or of an answer, from the limiter.
    pub(crate) fn try_acquire(&mut self, now: Duration, bytes: usize) -> bool {
        self.limiter.try_acquire(now, bytes)
    }

    /// A digest was sent.
    pub(crate) fn expect_answer(&mut self, now: Duration, token: u32, peer: SocketAddr) {
        self.pending.push_back(PendingDigest { token, peer, sent_at: now });
        if self.pending.len() > MAX_PENDING_DIGESTS {
            self.pending.pop_front();
        }
    }

    /// The round trip of a digest that is answered now; `None`: that peer was not asked.
    pub(crate) fn answered(&mut self, now: Duration, token: u32, peer: SocketAddr) -> Option<Duration> {
        let position = self.pending.iter().position(|digest| digest.token == token && digest.peer == peer)?;
        let digest = self.pending.remove(position)?;
        Some(now.saturating_sub(digest.sent_at))
    }
}

const _: () = assert!(RANGES == u16::BITS as usize, "an answer has a bit for each range");

/// The range that a record's id falls into.
fn range_of(id: u32) -> usize {
    (id >> (u32::BITS - RANGE_BITS)) as usize
}

/// Whether a bit set of ranges has the range of that record.
fn has_range_of(ranges: u16, id: u32) -> bool {
    ranges & (1 << range_of(id)) != 0
}

/// A hash of the records in each range.
pub(crate) fn range_hashes(records: &[Record]) -> Vec<u32> {
    let mut hashes = vec![0; RANGES];
    records.iter().for_each(|record| hashes[range_of(record.id)] ^= record.id);
    hashes
}

/// One hash of all ranges. Nearly always two processes hold the same, and this is all that they exchange.
pub(crate) fn overall_hash(range_hashes: &[u32]) -> u32 {
    range_hashes.iter().fold(0, |all: u32, hash| all.rotate_left(1) ^ hash)
}

/// The answer to a digest by ranges: the ids of what is held in some of the ranges that differ.
pub(crate) fn differences(token: u32, theirs: &[u32], records: &[Record], rng: &mut StdRng) -> Body {
    let own = range_hashes(records);
    let mut differing: Vec<usize> =
        (0..RANGES).filter(|range| own.get(*range) != theirs.get(*range)).collect();
    differing.shuffle(rng);
    let (mut ranges, mut record_ids) = (0_u16, Vec::new());
    for range in differing.into_iter().take(RANGES_PER_ANSWER) {
        let ids = records.iter().map(|record| record.id);
        let mut ids: Vec<u32> = ids.filter(|id| range_of(*id) == range).collect();
        // A range too large for one datagram goes by a part of it, drawn anew each time.
        if ids.len() > MAX_RECORD_IDS && record_ids.is_empty() {
            ids.shuffle(rng);
            ids.truncate(MAX_RECORD_IDS);
        }
        if record_ids.len() + ids.len() <= MAX_RECORD_IDS {
            ranges |= 1 << range;
            record_ids.extend(ids);
        }
    }
    Body::Differences { token, ranges, record_ids }
}

/// What two processes lack of each other's records.
pub(crate) struct Reconciliation {
    /// Ids of what this process lacks.
    pub(crate) missing_here: Vec<u32>,
    /// What the peer lacks.
    pub(crate) missing_there: Vec<Subject>,
}

/// Compares the records of those ranges with the ids that a peer holds in them.
pub(crate) fn reconcile(records: Vec<Record>, ranges: u16, peer_ids: Vec<u32>) -> Reconciliation {
    let here: BTreeSet<u32> = records.iter().map(|record| record.id).collect();
    let there: BTreeSet<u32> = peer_ids.into_iter().take(MAX_RECORD_IDS).collect();
    let missing_here = there.difference(&here).copied().filter(|id| has_range_of(ranges, *id)).collect();
    let lacks = |record: &Record| has_range_of(ranges, record.id) && !there.contains(&record.id);
    let missing_there = records.into_iter().filter(lacks).map(|record| record.subject).collect();
    Reconciliation { missing_here, missing_there }
}

/// The subjects of the records that a peer requests.
pub(crate) fn requested(records: Vec<Record>, ids: Vec<u32>) -> Vec<Subject> {
    let ids: BTreeSet<u32> = ids.into_iter().take(MAX_RECORD_IDS).collect();
    let wanted = records.into_iter().filter(|record| ids.contains(&record.id));
    wanted.map(|record| record.subject).collect()
}

/// Items as the payloads of a few datagrams, in their order; the rest is left to the next digest.
pub(crate) fn payloads(items: Vec<Item>) -> impl Iterator<Item = Vec<Item>> {
    let (mut payload, mut room, mut payloads) = (Vec::new(), MAX_PAYLOAD_BYTES, Vec::new());
    for item in items {
        let length = encoded_len(&item);
        if length > room {
            payloads.push(std::mem::take(&mut payload));
            room = MAX_PAYLOAD_BYTES;
        }
        room = room.saturating_sub(length);
        payload.push(item);
    }
    payloads.push(payload);
    payloads.into_iter().filter(|payload| !payload.is_empty()).take(MAX_RECORD_DATAGRAMS)
}
