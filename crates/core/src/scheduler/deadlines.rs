//! Deadlines: the time by which each request gets its final answer. An answer after its client has left is
//! wasted work.

use super::requests::PendingRequest;
use super::Scheduler;
use crate::interface::{Idempotency, RequestClass, RequestId};
use crate::measure::{from_nanos, nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that was never sent waits at least this fraction of its client's time.
const MIN_UNSENT_WAIT_RATIO: f64 = 0.1;
/// A request that was never sent waits less than half of its client's time: a client that is told later has
/// no time left for another attempt.
const MAX_UNSENT_WAIT_RATIO: f64 = 0.49;

/// Requests that expire by the same margin before their deadlines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineGroup {
    /// An attempt of the request is in flight.
    pub(super) in_flight: bool,
    /// The shard that holds the data; `None` for a new object.
    pub(super) shard: Option<u16>,
}

/// The time by which each request must be answered. Each request is held once.
#[derive(Clone, Debug, Default)]
pub(super) struct DeadlineQueue {
    groups: BTreeMap<DeadlineGroup, BTreeSet<(Duration, RequestId)>>,
    entries: BTreeMap<RequestId, (DeadlineGroup, Duration)>,
}

impl DeadlineQueue {
    /// Sets the time for a request, in place of an earlier one.
    pub(super) fn insert(&mut self, id: RequestId, group: DeadlineGroup, at: Duration) {
        self.remove(id);
        self.groups.entry(group).or_default().insert((at, id));
        self.entries.insert(id, (group, at));
    }

    pub(super) fn remove(&mut self, id: RequestId) {
        let Some((group, at)) = self.entries.remove(&id) else { return };
        let Some(deadlines) = self.groups.get_mut(&group) else { return };
        deadlines.remove(&(at, id));
        if deadlines.is_empty() {
            self.groups.remove(&group);
        }
    }

    /// Returns the entry of a group that is due first.
    pub(super) fn first(&self, group: DeadlineGroup) -> Option<(Duration, RequestId)> {
        self.groups.get(&group)?.first().copied()
    }

    /// Returns the groups that have entries.
    pub(super) fn groups(&self) -> Vec<DeadlineGroup> {
        self.groups.keys().copied().collect()
    }
}

/// Returns the time by which a request that an endpoint can still serve must be answered. This is the
/// client's deadline, with two exceptions: where a repeat has to be deduplicated, the answer is due before
/// the first attempt leaves the deduplication window, and a request that was never sent is answered early.
pub(super) fn answer_by(
    pending: &PendingRequest,
    class: &RequestClass,
    priority_factor: f64,
    connect_timeout: Duration,
) -> Duration {
    let needs_deduplication = class.idempotency == Idempotency::Keyed && !pending.is_in_flight();
    let first_run = pending.first_possible_run().filter(|_| needs_deduplication);
    // Establishing a connection may take this long before the repeat is written.
    let window = class.dedup_window.saturating_sub(connect_timeout);
    let latest =
        first_run.map_or(pending.deadline, |run| pending.deadline.min(run.sent_at.saturating_add(window)));
    if pending.attempts.is_empty() {
        latest.min(pending.arrived_at + unsent_wait(pending, class, priority_factor))
    } else {
        latest
    }
}

/// Returns how long a request may wait for its first attempt. Past its latency objective a request earns
/// little and delays others past theirs. The wait is therefore the client's time multiplied by the ratio of
/// the class's objective to its deadline, and shorter for a class that earns less.
fn unsent_wait(pending: &PendingRequest, class: &RequestClass, priority_factor: f64) -> Duration {
    let ratio = nanos(class.latency_objective) / nanos(class.deadline).max(1.0) / priority_factor;
    let client_time = nanos(pending.deadline - pending.arrived_at);
    from_nanos(client_time * ratio.clamp(MIN_UNSENT_WAIT_RATIO, MAX_UNSENT_WAIT_RATIO))
}

impl Scheduler {
    /// Gives the final answer to requests that can no longer be served before their clients leave, or not
    /// without the risk that they run twice. A request without an attempt in flight still needs half a round
    /// trip to be served.
    pub(super) fn answer_expired(&mut self) {
        for group in self.deadlines.groups() {
            let margin = if group.in_flight {
                0.0
            } else {
                self.endpoints.shortest_round_trip_nanos(group.shard, self.now) * 0.5
            };
            let margin = from_nanos(margin);
            while let Some((answer_by, id)) = self.deadlines.first(group) {
                if answer_by > self.now + margin {
                    self.timer.wake_by(answer_by - margin);
                    break;
                }
                self.reject_or_fail(id);
            }
        }
    }
}
