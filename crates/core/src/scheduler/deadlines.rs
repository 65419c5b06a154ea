//! Deadlines: by when each request gets its final answer. Work for a client that has left is work for nobody.

use super::requests::PendingRequest;
use super::Scheduler;
use crate::interface::{Idempotency, RequestClass, RequestId};
use crate::measure::{from_nanos, nanos};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A request that was never sent waits at least this part of its time,
const MIN_UNSENT_WAIT: f64 = 0.1;
/// and less than half of it: a client that is told later has lost the time for another try.
const MAX_UNSENT_WAIT: f64 = 0.49;

/// Requests whose deadlines are looked at together.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct DeadlineGroup {
    pub(super) in_flight: bool,
    /// The shard that holds the data; `None`: a new object.
    pub(super) shard: Option<u16>,
}

/// The latest moment of each request's answer, each request once.
#[derive(Clone, Debug, Default)]
pub(super) struct DeadlineQueue {
    groups: BTreeMap<DeadlineGroup, BTreeSet<(Duration, RequestId)>>,
    entries: BTreeMap<RequestId, (DeadlineGroup, Duration)>,
}

impl DeadlineQueue {
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

    pub(super) fn first(&self, group: DeadlineGroup) -> Option<(Duration, RequestId)> {
        self.groups.get(&group)?.first().copied()
    }

    pub(super) fn groups(&self) -> Vec<DeadlineGroup> {
        self.groups.keys().copied().collect()
    }
}

/// The latest moment of a request's answer while an endpoint can still serve it: before its client leaves; where a
/// repeat is needed, before the first attempt leaves the deduplication window; and early where it was never sent.
pub(super) fn answer_by(
    pending: &PendingRequest,
    class: &RequestClass,
    priority_factor: f64,
    connect_timeout: Duration,
) -> Duration {
    let needs_deduplication = class.idempotency == Idempotency::Keyed && !pending.is_in_flight();
    let first_run = pending.first_possible_run().filter(|_| needs_deduplication);
    // A connection may take this long until the repeat is written.
    let window = class.dedup_window.saturating_sub(connect_timeout);
    let latest =
        first_run.map_or(pending.deadline, |run| pending.deadline.min(run.sent_at.saturating_add(window)));
    if pending.attempts.is_empty() {
        latest.min(pending.arrived_at + unsent_wait(pending, class, priority_factor))
    } else {
        latest
    }
}

/// How long a request may wait unsent. Past its latency objective it earns little and keeps others from theirs: it
/// waits the part of its time that the objective is of the class's deadline, and less where it earns less.
fn unsent_wait(pending: &PendingRequest, class: &RequestClass, priority_factor: f64) -> Duration {
    let part = nanos(class.latency_objective) / nanos(class.deadline).max(1.0) / priority_factor;
    let patience = nanos(pending.deadline - pending.arrived_at);
    from_nanos(patience * part.clamp(MIN_UNSENT_WAIT, MAX_UNSENT_WAIT))
}

impl Scheduler {
    /// Answers what could no longer be answered before its client leaves, or not without doing it twice.
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
                self.answer_unserved(id);
            }
        }
    }
}
