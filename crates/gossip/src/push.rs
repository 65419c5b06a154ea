//! Push gossip: the updates that are in progress, and when each of them is sent next.
//!
//! An update is sent to a few peers in each of a few rounds. Each receipt of the same update from a peer
//! shows that the peer already has it; after a number of such redundant receipts the update stops, because
//! nearly all peers have it. Anti-entropy reaches the few that it missed.

use crate::limits::{
    gossip_rate_limiter, MAX_DATAGRAM_OVERHEAD_BYTES, MAX_ITEM_BYTES, MAX_PAYLOAD_BYTES, MAX_UPDATES,
};
use crate::rate_limiter::RateLimiter;
use shaletack_observations::{Observer, Subject as ObservationSubject};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The number of peers that an update is sent to in each round.
pub(crate) const FANOUT: usize = 3;
/// The number of rounds of an update.
const PUSH_ROUNDS: u8 = 3;
/// The time between two rounds of an update.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// The delay before a new update is sent, so that updates that start at about the same time share a datagram.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// The number of redundant receipts after which an update stops.
const MAX_REDUNDANT_RECEIPTS: u8 = 6;

/// The subject of an update. There is at most one update for each subject at a time.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// The observation of that subject.
    Observation(ObservationSubject),
    /// The observations that this observer still makes.
    Refresh(Observer),
    /// The membership record of the initiator at that address.
    Member(SocketAddr),
}

/// The content of a [`Subject::Refresh`] update.
#[derive(Clone, Debug)]
pub(crate) struct RefreshState {
    pub(crate) observed_at: Duration,
    /// How often the refresh has been forwarded, the next time included; 0 if it is this process's own.
    pub(crate) hops: u8,
    pub(crate) record_ids: Vec<u32>,
}

/// An update in progress.
#[derive(Clone, Debug)]
struct Update {
    rounds_left: u8,
    redundant_receipts: u8,
    due: Duration,
    /// 0 is the most urgent.
    priority: u64,
    refresh: Option<RefreshState>,
}

/// The updates in progress, and the byte limit for pushes.
#[derive(Debug)]
pub(crate) struct PushQueue {
    updates: BTreeMap<Subject, Update>,
    next_push_at: Option<Duration>,
    limiter: RateLimiter,
}

impl PushQueue {
    pub(crate) fn new(now: Duration) -> Self {
        PushQueue { updates: BTreeMap::new(), next_push_at: None, limiter: gossip_rate_limiter(now) }
    }

    /// Starts an update, which replaces an earlier one on the same subject. `priority` 0 is the most urgent.
    pub(crate) fn start(&mut self, now: Duration, subject: Subject, priority: u64) {
        self.insert(now, subject, priority, None);
    }

    /// Starts an update that refreshes records.
    pub(crate) fn start_refresh(
        &mut self,
        now: Duration,
        observer: Observer,
        priority: u64,
        state: RefreshState,
    ) {
        self.insert(now, Subject::Refresh(observer), priority, Some(state));
    }

    fn insert(&mut self, now: Duration, subject: Subject, priority: u64, refresh: Option<RefreshState>) {
        let due = now + BATCH_DELAY;
        let update = Update { rounds_left: PUSH_ROUNDS, redundant_receipts: 0, due, priority, refresh };
        self.updates.insert(subject, update);
        self.next_push_at = Some(self.next_push_at.map_or(due, |at| at.min(due)));
        if self.updates.len() > MAX_UPDATES {
            self.drop_least_urgent();
        }
    }

    fn drop_least_urgent(&mut self) {
        let least = self.updates.iter().max_by_key(|(_, update)| (update.priority, update.due));
        if let Some(subject) = least.map(|(subject, _)| subject.clone()) {
            self.updates.remove(&subject);
        }
    }

    /// Counts the receipt of an update that this process already has, and stops the update after
    /// [`MAX_REDUNDANT_RECEIPTS`].
    pub(crate) fn record_redundant_receipt(&mut self, subject: &Subject) {
        let Some(update) = self.updates.get_mut(subject) else { return };
        update.redundant_receipts += 1;
        if update.redundant_receipts >= MAX_REDUNDANT_RECEIPTS {
            self.updates.remove(subject);
        }
    }

    pub(crate) fn remove(&mut self, subject: &Subject) {
        self.updates.remove(subject);
    }

    pub(crate) fn refresh_state(&self, subject: &Subject) -> Option<&RefreshState> {
        self.updates.get(subject)?.refresh.as_ref()
    }

    /// Returns when the next push is due, or `None` if no update is in progress.
    pub(crate) fn next_push_at(&self) -> Option<Duration> {
        self.next_push_at
    }

    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.next_push_at.is_some_and(|at| at <= now)
    }

    /// Returns the subjects of the updates that are due, or due within [`BATCH_DELAY`], the most urgent
    /// first.
    pub(crate) fn due_subjects(&self, now: Duration) -> Vec<Subject> {
        let due = self.updates.iter().filter(|(_, update)| update.due <= now + BATCH_DELAY);
        let mut due: Vec<(u64, Duration, &Subject)> =
            due.map(|(subject, update)| (update.priority, update.due, subject)).collect();
        due.sort();
        due.into_iter().map(|(.., subject)| subject.clone()).collect()
    }

    /// Returns the bytes of items that the limiter allows in a push now.
    ///
    /// Returns `None` and postpones the push if the limiter does not allow an item of the greatest size.
    pub(crate) fn payload_budget(&mut self, now: Duration) -> Option<usize> {
        // Near the limit the most urgent update is sent alone, rather than waiting until all fit.
        let per_peer = self.limiter.available(now) / FANOUT;
        let budget = per_peer.saturating_sub(MAX_DATAGRAM_OVERHEAD_BYTES).min(MAX_PAYLOAD_BYTES);
        if budget < MAX_ITEM_BYTES {
            let needed = FANOUT * (MAX_ITEM_BYTES + MAX_DATAGRAM_OVERHEAD_BYTES);
            self.next_push_at = Some(self.limiter.available_at(now, needed).max(now + BATCH_DELAY));
            return None;
        }
        Some(budget)
    }

    /// Takes the bytes of a push from the limiter, and returns whether they were available. If not, postpones
    /// the push.
    pub(crate) fn try_acquire(&mut self, now: Duration, bytes: usize) -> bool {
        let acquired = self.limiter.try_acquire(now, bytes);
        if !acquired {
            self.next_push_at = Some(self.limiter.available_at(now, bytes));
        }
        acquired
    }

    /// Records that one more round of these updates was sent, and removes those that have no rounds left.
    pub(crate) fn complete_round(&mut self, now: Duration, subjects: &[Subject]) {
        for subject in subjects {
            let Some(update) = self.updates.get_mut(subject) else { continue };
            update.rounds_left -= 1;
            update.due = now + ROUND_INTERVAL;
            if update.rounds_left == 0 {
                self.updates.remove(subject);
            }
        }
    }

    /// Schedules the next push for the updates that remain.
    pub(crate) fn schedule(&mut self, now: Duration) {
        let next = self.updates.values().map(|update| update.due).min();
        self.next_push_at = next.map(|due| due.max(now + BATCH_DELAY));
    }
}
