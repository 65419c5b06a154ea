//! The queue of one class of work: what waits at which resource, what is in flight, and what its budgets allow.

use crate::budget::Budget;
use crate::task::{Task, TaskId, WorkClass};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A task that waits. The oldest comes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingTask {
    pub since: Duration,
    pub id: TaskId,
}

/// The oldest task that waits at a resource.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Candidate {
    pub resource: u32,
    pub oldest: WaitingTask,
}

#[derive(Clone, Debug)]
pub(crate) struct ClassQueue {
    pub class: WorkClass,
    units: Budget,
    bytes: Budget,
    waiting: BTreeMap<u32, BTreeSet<WaitingTask>>,
    in_flight: usize,
    in_flight_at: BTreeMap<u32, usize>,
    /// Where the last task started: the turn goes on from there.
    last_resource: u32,
}

impl ClassQueue {
    pub fn new(class: WorkClass, now: Duration) -> Self {
        ClassQueue {
            class,
            units: Budget::new(class.units_per_second, class.burst, now),
            bytes: Budget::new(class.bytes_per_second, class.burst, now),
            waiting: BTreeMap::new(),
            in_flight: 0,
            in_flight_at: BTreeMap::new(),
            last_resource: 0,
        }
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub fn push(&mut self, id: TaskId, task: &Task) {
        let waiting = self.waiting.entry(task.resource).or_default();
        waiting.insert(WaitingTask { since: task.since, id });
    }

    /// A task that waits does so no more.
    pub fn remove_waiting(&mut self, id: TaskId, task: &Task) {
        let Some(waiting) = self.waiting.get_mut(&task.resource) else { return };
        waiting.remove(&WaitingTask { since: task.since, id });
        if waiting.is_empty() {
            self.waiting.remove(&task.resource);
        }
    }

    /// A task that was in flight is so no more.
    pub fn remove_in_flight(&mut self, task: &Task) {
        self.in_flight -= 1;
        let at = self.in_flight_at.entry(task.resource).or_default();
        *at -= 1;
        if *at == 0 {
            self.in_flight_at.remove(&task.resource);
        }
    }

    /// The oldest task of each resource where one more may start.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> + '_ {
        let has_room = self.in_flight < self.class.max_in_flight;
        let limit = self.class.max_in_flight_per_resource;
        let resources = self.waiting.iter().filter(move |(resource, _)| {
            has_room && self.in_flight_at.get(resource).copied().unwrap_or(0) < limit
        });
        resources.filter_map(|(resource, waiting)| {
            waiting.first().map(|oldest| Candidate { resource: *resource, oldest: *oldest })
        })
    }

    /// When a task is overdue.
    pub fn overdue_at(&self, task: WaitingTask) -> Duration {
        task.since + self.class.max_age
    }

    /// The distance of a resource in turn from where the last task started.
    pub fn turn(&self, resource: u32) -> (bool, u32) {
        (resource <= self.last_resource, resource)
    }

    pub fn refill_budgets(&mut self, now: Duration) {
        self.units.refill(now);
        self.bytes.refill(now);
    }

    /// When the budgets allow a task.
    pub fn budget_available_at(&self, task: &Task, now: Duration) -> Duration {
        self.units.available_at(task.units, now).max(self.bytes.available_at(task.bytes, now))
    }

    /// A task that waits is in flight now, and paid for.
    pub fn start(&mut self, id: TaskId, task: &Task) {
        self.units.spend(task.units);
        self.bytes.spend(task.bytes);
        self.remove_waiting(id, task);
        self.in_flight += 1;
        *self.in_flight_at.entry(task.resource).or_default() += 1;
        self.last_resource = task.resource;
    }

    /// Gives back what a task has paid.
    pub fn refund(&mut self, task: &Task) {
        self.units.refund(task.units);
        self.bytes.refund(task.bytes);
    }

    /// Since when the oldest waiting task waits.
    pub fn oldest_since(&self) -> Option<Duration> {
        self.waiting.values().filter_map(|waiting| waiting.first()).map(|oldest| oldest.since).min()
    }
}
