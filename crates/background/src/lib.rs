//! Which background work goes next.
//!
//! Work that no client waits for (write-back, scrubs, moves, compaction) must not slow down the requests of
//! clients, and must not wait forever either. [`Scheduler`] holds a queue for each class of work and decides by
//! priorities, a budget of units and of bytes a second, limits on what is in flight, and aging: a resource that
//! clients need is left alone until work at it is overdue.
//!
//! The crate does no work itself, reads no clock, and does not know what a resource is. What it starts still goes
//! through the request scheduler, which may let it wait. Budgets are whole numbers, so that they add up exactly.

mod budget;
mod class_queue;
mod scheduler;
mod task;

pub use scheduler::{BudgetUse, Scheduler, TaskCounts};
pub use task::{Task, TaskId, WorkClass};
