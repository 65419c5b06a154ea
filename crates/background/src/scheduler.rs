//! The scheduler: selects the tasks of all classes that start now.

use crate::class_queue::{Candidate, ClassQueue};
use crate::task::{Task, TaskId, WorkClass};
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a requeued task consumed the budget that it was charged for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetUse {
    /// The task ran at least in part.
    Spent,
    /// The task did not run at all; its budget is refunded.
    Unused,
}

/// The number of tasks by state.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that wait to be started.
    pub waiting: usize,
    /// Tasks that were started and not yet removed or requeued.
    pub in_flight: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TaskState {
    Waiting,
    InFlight,
}

#[derive(Clone, Copy, Debug)]
struct ScheduledTask {
    task: Task,
    state: TaskState,
}

/// The tasks that one pass over the classes considers.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    /// Overdue tasks of any resource, oldest first.
    Overdue,
    /// All other tasks at resources without client demand, round robin by resource.
    Regular,
}

/// Schedules the background work of one process.
#[derive(Clone, Debug)]
pub struct Scheduler {
    queues: Vec<ClassQueue>,
    tasks: BTreeMap<TaskId, ScheduledTask>,
    /// The number of client requests that wait for each resource. Resources without any have no entry.
    client_demand: BTreeMap<u32, usize>,
    next_start_at: Option<Duration>,
}

impl Scheduler {
    /// Creates a scheduler without tasks. Tasks refer to a class by its index in `classes`.
    pub fn new(classes: &[WorkClass], now: Duration) -> Self {
        Scheduler {
            queues: classes.iter().map(|class| ClassQueue::new(*class, now)).collect(),
            tasks: BTreeMap::new(),
            client_demand: BTreeMap::new(),
            next_start_at: None,
        }
    }

    /// Adds a waiting task. Returns `false`, and does not add the task, if its number is in use or its class
    /// is unknown.
    pub fn add(&mut self, id: TaskId, task: Task) -> bool {
        if self.tasks.contains_key(&id) {
            return false;
        }
        let Some(queue) = self.queues.get_mut(task.class) else { return false };
        queue.push(id, &task);
        self.tasks.insert(id, ScheduledTask { task, state: TaskState::Waiting });
        true
    }

    /// Removes a task that was completed or cancelled. Its charge to the budgets is not refunded.
    pub fn remove(&mut self, id: TaskId) {
        let Some(ScheduledTask { task, state }) = self.tasks.remove(&id) else { return };
        let queue = &mut self.queues[task.class];
        match state {
            TaskState::Waiting => queue.remove_waiting(id, &task),
            TaskState::InFlight => queue.remove_in_flight(&task),
        }
    }

    /// Returns a started task that was not completed to its queue. The task keeps its age.
    pub fn requeue(&mut self, id: TaskId, budget: BudgetUse) {
        let Some(scheduled) = self.tasks.get_mut(&id) else { return };
        if scheduled.state != TaskState::InFlight {
            return;
        }
        scheduled.state = TaskState::Waiting;
        let task = scheduled.task;
        let queue = &mut self.queues[task.class];
        queue.remove_in_flight(&task);
        queue.push(id, &task);
        if budget == BudgetUse::Unused {
            queue.refund(&task);
        }
    }

    /// Sets the number of client requests that currently wait for a resource.
    pub fn set_client_demand(&mut self, resource: u32, requests: usize) {
        if requests == 0 {
            self.client_demand.remove(&resource);
        } else {
            self.client_demand.insert(resource, requests);
        }
    }

    /// Starts all tasks that may start now and returns them in start order. Each stays in flight until it is
    /// removed or requeued.
    pub fn start_ready(&mut self, now: Duration) -> Vec<TaskId> {
        self.next_start_at = None;
        for queue in &mut self.queues {
            queue.refill_budgets(now);
        }
        let mut by_priority: Vec<usize> = (0..self.queues.len()).collect();
        by_priority.sort_by_key(|class| (self.queues[*class].class.priority, *class));
        let mut started = Vec::new();
        for pass in [Pass::Overdue, Pass::Regular] {
            for class in by_priority.iter().copied() {
                while let Some(id) = self.start_one(class, pass, now) {
                    started.push(id);
                }
            }
        }
        started
    }

    /// Returns when [`Scheduler::start_ready`] can start more tasks without any further input. Updated by
    /// each call of that method.
    pub fn next_start_at(&self) -> Option<Duration> {
        self.next_start_at
    }

    /// Returns the number of tasks by state.
    pub fn counts(&self) -> TaskCounts {
        let in_flight = self.queues.iter().map(ClassQueue::in_flight).sum();
        TaskCounts { waiting: self.tasks.len() - in_flight, in_flight }
    }

    /// Returns how long the oldest waiting task of a class has waited.
    pub fn oldest_age(&self, class: usize, now: Duration) -> Option<Duration> {
        let since = self.queues.get(class)?.oldest_waiting_since()?;
        Some(now.saturating_sub(since))
    }

    /// Starts the next task of a class in a pass, or records when one may start.
    fn start_one(&mut self, class: usize, pass: Pass, now: Duration) -> Option<TaskId> {
        if let Some(at) = self.next_overdue_at(class, now) {
            self.schedule_next_start(at);
        }
        let id = self.choose(class, pass, now)?.oldest.id;
        let scheduled = self.tasks.get_mut(&id)?;
        let queue = &mut self.queues[class];
        let at = queue.budget_available_at(&scheduled.task, now);
        if at > now {
            self.schedule_next_start(at);
            return None;
        }
        queue.start(id, &scheduled.task);
        scheduled.state = TaskState::InFlight;
        Some(id)
    }

    /// Returns the task of a class that is next to start in a pass, regardless of budgets.
    fn choose(&self, class: usize, pass: Pass, now: Duration) -> Option<Candidate> {
        let queue = &self.queues[class];
        let is_overdue = |candidate: &Candidate| queue.overdue_at(candidate.oldest) <= now;
        match pass {
            Pass::Overdue => {
                let overdue = queue.candidates().filter(is_overdue);
                overdue.min_by_key(|candidate| (candidate.oldest.waiting_since, candidate.resource))
            }
            Pass::Regular => {
                let regular = queue.candidates().filter(|candidate| !is_overdue(candidate));
                let without_demand =
                    regular.filter(|candidate| !self.client_demand.contains_key(&candidate.resource));
                without_demand.min_by_key(|candidate| queue.round_robin_key(candidate.resource))
            }
        }
    }

    /// Returns when the next task of a class becomes overdue, among the resources at which one more may
    /// start.
    fn next_overdue_at(&self, class: usize, now: Duration) -> Option<Duration> {
        let queue = &self.queues[class];
        queue.candidates().map(|candidate| queue.overdue_at(candidate.oldest)).filter(|at| *at > now).min()
    }

    fn schedule_next_start(&mut self, at: Duration) {
        self.next_start_at = Some(self.next_start_at.map_or(at, |next| next.min(at)));
    }
}
