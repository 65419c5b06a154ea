//! The scheduler: which tasks of all classes start now.

use crate::class_queue::{Candidate, ClassQueue};
use crate::task::{Task, TaskId, WorkClass};
use std::collections::BTreeMap;
use std::time::Duration;

/// Whether a task that comes back has used the budget that it took.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetUse {
    /// Some of it ran.
    Spent,
    /// Nothing of it ran: its budget is given back.
    Unused,
}

/// How many tasks there are.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct TaskCounts {
    /// Tasks that wait.
    pub waiting: usize,
    /// Tasks that were started and not removed.
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

/// Tasks that are considered in one pass over the classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Pass {
    /// Overdue tasks, oldest first, whatever their resources.
    Overdue,
    /// Other tasks, resource by resource, where no client needs the resource.
    Regular,
}

/// All background work of one process.
#[derive(Clone, Debug)]
pub struct Scheduler {
    queues: Vec<ClassQueue>,
    tasks: BTreeMap<TaskId, ScheduledTask>,
    /// Requests of clients that wait for a resource. Resources without any are not there.
    client_demand: BTreeMap<u32, usize>,
    next_start_at: Option<Duration>,
}

impl Scheduler {
    /// A scheduler without tasks. Tasks name a class by its index.
    pub fn new(classes: &[WorkClass], now: Duration) -> Self {
        Scheduler {
            queues: classes.iter().map(|class| ClassQueue::new(*class, now)).collect(),
            tasks: BTreeMap::new(),
            client_demand: BTreeMap::new(),
            next_start_at: None,
        }
    }

    /// Takes a task. `false`: its number is in use or its class unknown, and it is not taken.
    pub fn add(&mut self, id: TaskId, task: Task) -> bool {
        if self.tasks.contains_key(&id) {
            return false;
        }
        let Some(queue) = self.queues.get_mut(task.class) else { return false };
        queue.push(id, &task);
        self.tasks.insert(id, ScheduledTask { task, state: TaskState::Waiting });
        true
    }

    /// A task is done, or is not to be done any more. What it took of a budget stays taken.
    pub fn remove(&mut self, id: TaskId) {
        let Some(ScheduledTask { task, state }) = self.tasks.remove(&id) else { return };
        let queue = &mut self.queues[task.class];
        match state {
            TaskState::Waiting => queue.remove_waiting(id, &task),
            TaskState::InFlight => queue.remove_in_flight(&task),
        }
    }

    /// A task that was started came back undone: it waits again, with the age that it has.
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

    /// How many requests of clients wait for a resource now.
    pub fn set_client_demand(&mut self, resource: u32, requests: usize) {
        if requests == 0 {
            self.client_demand.remove(&resource);
        } else {
            self.client_demand.insert(resource, requests);
        }
    }

    /// Starts all tasks that may go now, and returns them in their order. Each is in flight until it is removed
    /// or requeued.
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

    /// When [`Scheduler::start_ready`] may start more, with nothing else happening. Set by its last call.
    pub fn next_start_at(&self) -> Option<Duration> {
        self.next_start_at
    }

    /// How many tasks there are.
    pub fn counts(&self) -> TaskCounts {
        let in_flight = self.queues.iter().map(ClassQueue::in_flight).sum();
        TaskCounts { waiting: self.tasks.len() - in_flight, in_flight }
    }

    /// How long the oldest waiting task of a class has waited.
    pub fn oldest_age(&self, class: usize, now: Duration) -> Option<Duration> {
        let since = self.queues.get(class)?.oldest_since()?;
        Some(now.saturating_sub(since))
    }

    fn start_one(&mut self, class: usize, pass: Pass, now: Duration) -> Option<TaskId> {
        if let Some(at) = self.next_overdue_at(class, now) {
            self.come_back_at(at);
        }
        let id = self.choose(class, pass, now)?.oldest.id;
        let scheduled = self.tasks.get_mut(&id)?;
        let queue = &mut self.queues[class];
        let at = queue.budget_available_at(&scheduled.task, now);
        if at > now {
            self.come_back_at(at);
            return None;
        }
        queue.start(id, &scheduled.task);
        scheduled.state = TaskState::InFlight;
        Some(id)
    }

    /// The task of a class that starts next in a pass, if budgets allow it.
    fn choose(&self, class: usize, pass: Pass, now: Duration) -> Option<Candidate> {
        let queue = &self.queues[class];
        let is_overdue = |candidate: &Candidate| queue.overdue_at(candidate.oldest) <= now;
        match pass {
            Pass::Overdue => {
                let overdue = queue.candidates().filter(is_overdue);
                overdue.min_by_key(|candidate| (candidate.oldest.since, candidate.resource))
            }
            Pass::Regular => {
                let regular = queue.candidates().filter(|candidate| !is_overdue(candidate));
                let undisturbed = regular.filter(|c| !self.client_demand.contains_key(&c.resource));
                undisturbed.min_by_key(|candidate| queue.turn(candidate.resource))
            }
        }
    }

    /// When the next task of a class becomes overdue where one more may start.
    fn next_overdue_at(&self, class: usize, now: Duration) -> Option<Duration> {
        let queue = &self.queues[class];
        queue.candidates().map(|candidate| queue.overdue_at(candidate.oldest)).filter(|at| *at > now).min()
    }

    fn come_back_at(&mut self, at: Duration) {
        self.next_start_at = Some(self.next_start_at.map_or(at, |next| next.min(at)));
    }
}
