//! Anti-entropy: digests find the records that pushes did not deliver.
//!
//! Push gossip reaches nearly all processes, but none that was paused or partitioned. About every second,
//! each process therefore sends a hash of all its records to one random peer. If the hashes of the two
//! differ, the peer answers with a hash for each range of record ids, and a few of the ranges that differ are
//! compared id by id. The only state that a process keeps about a peer is its own digests that wait for an
//! answer.

use crate::codec::{encoded_len, Body, Item};
use crate::limits::{gossip_rate_limiter, MAX_PAYLOAD_BYTES, MAX_RECORD_IDS};
use crate::push::Subject;
use crate::rate_limiter::RateLimiter;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::RngExt;
use std::collections::{BTreeSet, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The mean time between two digests; each interval varies by up to 20%.
const DIGEST_INTERVAL: Duration = Duration::from_millis(1100);
/// The number of leading bits of a record id that select its range.
const RANGE_BITS: u32 = 4;
/// The number of ranges of record ids that a digest distinguishes.
const RANGES: usize = 1 << RANGE_BITS;
/// The most digests that wait for an answer; above the limit the oldest is given up.
const MAX_PENDING_DIGESTS: usize = 8;
/// The number of ranges that one answer compares, chosen at random each time. The ids of all ranges would use
/// up the bytes that their records need.
const RANGES_PER_ANSWER: usize = 4;
/// The most datagrams of records in one answer.
const MAX_RECORD_DATAGRAMS: usize = 8;

/// The id of a record, and its subject.
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

/// The timer, the unanswered digests and the byte limit of anti-entropy.
#[derive(Debug)]
pub(crate) struct AntiEntropy {
    next_digest_at: Duration,
    pending: VecDeque<PendingDigest>,
    limiter: RateLimiter,
}

impl AntiEntropy {
    pub(crate) fn new(now: Duration) -> Self {
        AntiEntropy { next_digest_at: now, pending: VecDeque::new(), limiter: gossip_rate_limiter(now) }
    }

    pub(crate) fn next_digest_at(&self) -> Duration {
        self.next_digest_at
    }

    /// Makes the next digest due at once.
    pub(crate) fn schedule_digest_now(&mut self, now: Duration) {
        self.next_digest_at = now;
    }

    /// Returns whether a digest is due, and if so schedules the next one after a random interval.
    pub(crate) fn take_due(&mut self, now: Duration, rng: &mut StdRng) -> bool {
        let due = now >= self.next_digest_at;
        if due {
            self.next_digest_at = now + DIGEST_INTERVAL.mul_f64(rng.random_range(0.8..1.2));
        }
        due
    }

    /// Takes the bytes of a digest or an answer from the limiter. Returns whether they were available.
    pub(crate) fn try_acquire(&mut self, now: Duration, bytes: usize) -> bool {
        self.limiter.try_acquire(now, bytes)
    }

    /// Records that a digest was sent to `peer`, and waits for an answer with its token.
    pub(crate) fn expect_answer(&mut self, now: Duration, token: u32, peer: SocketAddr) {
        self.pending.push_back(PendingDigest { token, peer, sent_at: now });
        if self.pending.len() > MAX_PENDING_DIGESTS {
            self.pending.pop_front();
        }
    }

    /// Completes a digest that is answered now, and returns its round trip. Returns `None` if no such digest
    /// was sent to that peer, or it was given up.
    pub(crate) fn complete_digest(
        &mut self,
        now: Duration,
        token: u32,
        peer: SocketAddr,
    ) -> Option<Duration> {
        let position = self.pending.iter().position(|digest| digest.token == token && digest.peer == peer)?;
        let digest = self.pending.remove(position)?;
        Some(now.saturating_sub(digest.sent_at))
    }
}

const _: () = assert!(RANGES == u16::BITS as usize, "an answer has a bit for each range");

/// Returns the range that contains a record id.
fn range_of(id: u32) -> usize {
    (id >> (u32::BITS - RANGE_BITS)) as usize
}

/// Returns whether a bit set of ranges includes the range of a record id.
fn has_range_of(ranges: u16, id: u32) -> bool {
    ranges & (1 << range_of(id)) != 0
}

/// Returns a hash of the records in each range.
pub(crate) fn range_hashes(records: &[Record]) -> Vec<u32> {
    let mut hashes = vec![0; RANGES];
    records.iter().for_each(|record| hashes[range_of(record.id)] ^= record.id);
    hashes
}

/// Combines the hashes of all ranges into one. Two processes nearly always hold the same records, and then
/// this hash is all that they exchange.
pub(crate) fn overall_hash(range_hashes: &[u32]) -> u32 {
    range_hashes.iter().fold(0, |all: u32, hash| all.rotate_left(1) ^ hash)
}

/// Builds the answer to a digest of all ranges: the ids of the records held in some of the ranges that
/// differ.
pub(crate) fn differences(token: u32, theirs: &[u32], records: &[Record], rng: &mut StdRng) -> Body {
    let own = range_hashes(records);
    let mut differing: Vec<usize> =
        (0..RANGES).filter(|range| own.get(*range) != theirs.get(*range)).collect();
    differing.shuffle(rng);
    let (mut ranges, mut record_ids) = (0_u16, Vec::new());
    for range in differing.into_iter().take(RANGES_PER_ANSWER) {
        let ids = records.iter().map(|record| record.id);
        let mut ids: Vec<u32> = ids.filter(|id| range_of(*id) == range).collect();
        // Of a range that is too large for one datagram, a random part of the ids is sent each time.
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

/// The records that one of two processes holds and the other lacks.
pub(crate) struct Reconciliation {
    /// The ids of the records that this process lacks.
    pub(crate) missing_locally: Vec<u32>,
    /// The subjects of the records that the peer lacks.
    pub(crate) missing_at_peer: Vec<Subject>,
}

/// Compares the own records in the given ranges with the ids of the records that a peer holds there.
pub(crate) fn reconcile(records: Vec<Record>, ranges: u16, peer_ids: Vec<u32>) -> Reconciliation {
    let here: BTreeSet<u32> = records.iter().map(|record| record.id).collect();
    let there: BTreeSet<u32> = peer_ids.into_iter().take(MAX_RECORD_IDS).collect();
    let missing_locally = there.difference(&here).copied().filter(|id| has_range_of(ranges, *id)).collect();
    let lacks = |record: &Record| has_range_of(ranges, record.id) && !there.contains(&record.id);
    let missing_at_peer = records.into_iter().filter(lacks).map(|record| record.subject).collect();
    Reconciliation { missing_locally, missing_at_peer }
}

/// Returns the subjects of the records that a peer requests.
pub(crate) fn requested_subjects(records: Vec<Record>, ids: Vec<u32>) -> Vec<Subject> {
    let ids: BTreeSet<u32> = ids.into_iter().take(MAX_RECORD_IDS).collect();
    let wanted = records.into_iter().filter(|record| ids.contains(&record.id));
    wanted.map(|record| record.subject).collect()
}

/// Splits items, in order, into the payloads of at most [`MAX_RECORD_DATAGRAMS`] datagrams. The remaining
/// items are left to later digests.
pub(crate) fn split_into_payloads(items: Vec<Item>) -> impl Iterator<Item = Vec<Item>> {
    let (mut payload, mut remaining, mut payloads) = (Vec::new(), MAX_PAYLOAD_BYTES, Vec::new());
    for item in items {
        let length = encoded_len(&item);
        if length > remaining {
            payloads.push(std::mem::take(&mut payload));
            remaining = MAX_PAYLOAD_BYTES;
        }
        remaining = remaining.saturating_sub(length);
        payload.push(item);
    }
    payloads.push(payload);
    payloads.into_iter().filter(|payload| !payload.is_empty()).take(MAX_RECORD_DATAGRAMS)
}
