//! The queue of one class of work: its waiting tasks by resource, its tasks in flight and its budgets.

use crate::budget::Budget;
use crate::task::{Task, TaskId, WorkClass};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A waiting task. Ordered by age, the oldest first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct WaitingTask {
    pub waiting_since: Duration,
    pub id: TaskId,
}

/// The oldest waiting task of a resource.
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
    waiting_by_resource: BTreeMap<u32, BTreeSet<WaitingTask>>,
    in_flight: usize,
    in_flight_by_resource: BTreeMap<u32, usize>,
    /// The resource of the last started task, from which the round robin continues.
    last_resource: u32,
}

impl ClassQueue {
    pub fn new(class: WorkClass, now: Duration) -> Self {
        ClassQueue {
            class,
            units: Budget::new(class.units_per_second, class.burst, now),
            bytes: Budget::new(class.bytes_per_second, class.burst, now),
            waiting_by_resource: BTreeMap::new(),
            in_flight: 0,
            in_flight_by_resource: BTreeMap::new(),
            last_resource: 0,
        }
    }

    pub fn in_flight(&self) -> usize {
        self.in_flight
    }

    pub fn push(&mut self, id: TaskId, task: &Task) {
        let waiting = self.waiting_by_resource.entry(task.resource).or_default();
        waiting.insert(WaitingTask { waiting_since: task.waiting_since, id });
    }

    /// Removes a waiting task.
    pub fn remove_waiting(&mut self, id: TaskId, task: &Task) {
        let Some(waiting) = self.waiting_by_resource.get_mut(&task.resource) else { return };
        waiting.remove(&WaitingTask { waiting_since: task.waiting_since, id });
        if waiting.is_empty() {
            self.waiting_by_resource.remove(&task.resource);
        }
    }

    /// Removes a task in flight.
    pub fn remove_in_flight(&mut self, task: &Task) {
        self.in_flight -= 1;
        let at_resource = self.in_flight_by_resource.entry(task.resource).or_default();
        *at_resource -= 1;
        if *at_resource == 0 {
            self.in_flight_by_resource.remove(&task.resource);
        }
    }

    /// Returns the oldest waiting task of each resource at which the limits allow one more task in flight.
    pub fn candidates(&self) -> impl Iterator<Item = Candidate> + '_ {
        let is_below_limit = self.in_flight < self.class.max_in_flight;
        let limit_per_resource = self.class.max_in_flight_per_resource;
        let resources = self.waiting_by_resource.iter().filter(move |(resource, _)| {
            is_below_limit
                && self.in_flight_by_resource.get(resource).copied().unwrap_or(0) < limit_per_resource
        });
        resources.filter_map(|(resource, waiting)| {
            waiting.first().map(|oldest| Candidate { resource: *resource, oldest: *oldest })
        })
    }

    /// Returns the time at which a task becomes overdue.
    pub fn overdue_at(&self, task: WaitingTask) -> Duration {
        task.waiting_since + self.class.max_age
    }

    /// Returns the round-robin sort key of a resource. The resources after the one of the last started task
    /// come first.
    pub fn round_robin_key(&self, resource: u32) -> (bool, u32) {
        (resource <= self.last_resource, resource)
    }

    /// Adds the tokens that accrued since the last refill.
    pub fn refill_budgets(&mut self, now: Duration) {
        self.units.refill(now);
        self.bytes.refill(now);
    }

    /// Returns the earliest time at which the budgets allow a task.
    pub fn budget_available_at(&self, task: &Task, now: Duration) -> Duration {
        self.units.available_at(task.units, now).max(self.bytes.available_at(task.bytes, now))
    }

    /// Moves a waiting task to the tasks in flight and charges it to the budgets.
    pub fn start(&mut self, id: TaskId, task: &Task) {
        self.units.spend(task.units);
        self.bytes.spend(task.bytes);
        self.remove_waiting(id, task);
        self.in_flight += 1;
        *self.in_flight_by_resource.entry(task.resource).or_default() += 1;
        self.last_resource = task.resource;
    }

    /// Refunds the charge for a task to the budgets.
    pub fn refund(&mut self, task: &Task) {
        self.units.refund(task.units);
        self.bytes.refund(task.bytes);
    }

    /// Returns when the oldest waiting task began to wait.
    pub fn oldest_waiting_since(&self) -> Option<Duration> {
        self.waiting_by_resource
            .values()
            .filter_map(|waiting| waiting.first())
            .map(|oldest| oldest.waiting_since)
            .min()
    }
}
