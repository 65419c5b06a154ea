//! Background tasks and the classes that they belong to.

use std::time::Duration;

/// The number of a task. Chosen by the caller and unique among the scheduled tasks.
pub type TaskId = u64;

/// The limits of one class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// Tasks of the class with the lower number start first.
    pub priority: u8,
    /// The budget in units per second. 0 means no limit.
    pub units_per_second: u64,
    /// The budget in bytes per second. 0 means no limit.
    pub bytes_per_second: u64,
    /// The time over which unused budget accumulates.
    pub burst: Duration,
    /// The maximum number of tasks in flight over all resources.
    pub max_in_flight: usize,
    /// The maximum number of tasks in flight at one resource.
    pub max_in_flight_per_resource: usize,
    /// The waiting time after which a task is overdue. An overdue task starts before all others, even if
    /// clients need its resource. Budgets and limits still apply.
    pub max_age: Duration,
}

/// A background task, which puts load on one resource.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// The index of the task's class.
    pub class: usize,
    /// The resource that the task puts load on.
    pub resource: u32,
    /// The task's size in units.
    pub units: u64,
    /// The task's size in bytes.
    pub bytes: u64,
    /// When the task began to wait.
    pub waiting_since: Duration,
}
