//! Push gossip: which updates are under way, and when each goes out next.
//!
//! An update goes to a few peers in each of a few rounds. A peer that already had it says so by pushing it back; after
//! some of these the update stops, since nearly everybody has it. Anti-entropy reaches the few that it missed.

use crate::limits::{half_of_gossip_bytes, ENVELOPE_BYTES, MAX_ITEM_BYTES, MAX_PAYLOAD_BYTES, MAX_UPDATES};
use crate::rate_limiter::RateLimiter;
use shaletack_observations::Observer;
use shaletack_observations::Subject as ObservationSubject;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// Peers that an update is pushed to in each round.
pub(crate) const FANOUT: usize = 3;
/// Rounds of an update.
const PUSH_ROUNDS: u8 = 3;
/// Between two rounds.
const ROUND_INTERVAL: Duration = Duration::from_millis(100);
/// Updates that start within this go out together.
const BATCH_DELAY: Duration = Duration::from_millis(10);
/// An update that was received again so often stops.
const MAX_REDUNDANT_RECEIPTS: u8 = 6;

/// What an update is about; there is one at a time for each.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum Subject {
    /// An observation.
    Observation(ObservationSubject),
    /// Observations that somebody still sees.
    Refresh(Observer),
    /// The membership record of that address.
    Member(SocketAddr),
}

/// What a [`Subject::Refresh`] says.
#[derive(Clone, Debug)]
pub(crate) struct RefreshState {
    pub(crate) seen_at: Duration,
    /// How often it has been passed on once it is sent.
    pub(crate) hops: u8,
    pub(crate) record_ids: Vec<u32>,
}

/// An update under way.
#[derive(Clone, Debug)]
struct Update {
    rounds_left: u8,
    redundant_receipts: u8,
    due: Duration,
    /// 0 is the most urgent.
    priority: u64,
    refresh: Option<RefreshState>,
}

/// The updates under way.
#[derive(Debug)]
pub(crate) struct PushQueue {
    updates: BTreeMap<Subject, Update>,
    next_push_at: Option<Duration>,
    limiter: RateLimiter,
}

impl PushQueue {
    pub(crate) fn new(now: Duration) -> Self {
        PushQueue { updates: BTreeMap::new(), next_push_at: None, limiter: half_of_gossip_bytes(now) }
    }

    /// Starts an update, in place of an earlier one on the same subject. `priority` 0 is the most urgent.
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

    /// A peer sent what it is about: an update that most have stops.
    pub(crate) fn received_again(&mut self, subject: &Subject) {
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

    /// When the next update is due.
    pub(crate) fn next_push_at(&self) -> Option<Duration> {
        self.next_push_at
    }

    pub(crate) fn is_due(&self, now: Duration) -> bool {
        self.next_push_at.is_some_and(|at| at <= now)
    }

    /// The updates that go out now, the most urgent first.
    pub(crate) fn due(&self, now: Duration) -> Vec<Subject> {
        let due = self.updates.iter().filter(|(_, update)| update.due <= now + BATCH_DELAY);
        let mut due: Vec<(u64, Duration, &Subject)> =
            due.map(|(subject, update)| (update.priority, update.due, subject)).collect();
        due.sort();
        due.into_iter().map(|(.., subject)| subject.clone()).collect()
    }

    /// Bytes of items that the limiter allows in a push now. `None`: too few for one item; the push waits.
    pub(crate) fn payload_budget(&mut self, now: Duration) -> Option<usize> {
        // Near the limit the most urgent update goes alone, and does not wait for the rest.
        let per_peer = self.limiter.available(now) / FANOUT;
        let budget = per_peer.saturating_sub(ENVELOPE_BYTES).min(MAX_PAYLOAD_BYTES);
        if budget < MAX_ITEM_BYTES {
            let needed = FANOUT * (MAX_ITEM_BYTES + ENVELOPE_BYTES);
            self.next_push_at = Some(self.limiter.available_at(now, needed).max(now + BATCH_DELAY));
            return None;
        }
        Some(budget)
    }

    /// Takes the bytes of a push from the limiter. If they are not available the push waits.
    pub(crate) fn try_acquire(&mut self, now: Duration, bytes: usize) -> bool {
        let acquired = self.limiter.try_acquire(now, bytes);
        if !acquired {
            self.next_push_at = Some(self.limiter.available_at(now, bytes));
        }
        acquired
    }

    /// These updates were pushed once more.
    pub(crate) fn round_done(&mut self, now: Duration, subjects: &[Subject]) {
        for subject in subjects {
            let Some(update) = self.updates.get_mut(subject) else { continue };
            update.rounds_left -= 1;
            update.due = now + ROUND_INTERVAL;
            if update.rounds_left == 0 {
                self.updates.remove(subject);
            }
        }
    }

    /// Sets the next push by the updates that are left.
    pub(crate) fn schedule(&mut self, now: Duration) {
        let next = self.updates.values().map(|update| update.due).min();
        self.next_push_at = next.map(|due| due.max(now + BATCH_DELAY));
    }
}
