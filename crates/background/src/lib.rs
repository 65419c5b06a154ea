//! Scheduling of background work.
//!
//! Work that no client waits for (write-back, scrubs, moves, compaction) must neither slow down client
//! requests nor starve. [`Scheduler`] keeps a queue for each class of work and chooses the next task by
//! priority, by budgets of units and bytes per second, by limits on the tasks in flight, and by age: no task
//! starts at a resource that clients need until the task is overdue.
//!
//! The crate executes no work, reads no clock, and treats resources as opaque numbers. Tasks that it starts
//! still pass through the request scheduler, which may delay them. Budgets are integers, so they add up
//! exactly.

mod budget;
mod class_queue;
mod scheduler;
mod task;

pub use scheduler::{BudgetUse, Scheduler, TaskCounts};
pub use task::{Task, TaskId, WorkClass};
