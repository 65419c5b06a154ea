//! A piece of background work, and the class that it belongs to.

use std::time::Duration;

/// The number of a task. Given by the caller, and never used twice at a time.
pub type TaskId = u64;

/// The limits of one class of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct WorkClass {
    /// Of two tasks that could start, the one whose class has the lower number does.
    pub priority: u8,
    /// The budget in units a second; 0: no limit.
    pub units_per_second: u64,
    /// The budget in bytes a second; 0: no limit.
    pub bytes_per_second: u64,
    /// Unused budget is saved up for this long.
    pub burst: Duration,
    /// The most tasks in flight, over all resources.
    pub max_in_flight: usize,
    /// The most tasks in flight at one resource.
    pub max_in_flight_per_resource: usize,
    /// A task that has waited this long is overdue: it starts before all others and whether or not clients need
    /// its resource. Budgets and limits hold all the same.
    pub max_age: Duration,
}

/// A piece of work.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Task {
    /// The index of its class.
    pub class: usize,
    /// What it puts load on.
    pub resource: u32,
    /// Its size in units.
    pub units: u64,
    /// Its size in bytes.
    pub bytes: u64,
    /// Since when it waits.
    pub since: Duration,
}
