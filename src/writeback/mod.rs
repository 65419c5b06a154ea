//! Write-back for exports whose writes are buffered on this initiator's disk: the files, sockets and timers
//! around `shaletack-writeback`. Disabled unless the operator's file enables it; not available on the
//! platform.
//!
//! [`WriteBackCache`] executes the effects of the buffer. Commits are written to the segment files, and
//! repeated until they are durable. Pieces that are ready go to the background scheduler, and from there to
//! the core as ordinary requests, so that limits and priorities apply to them. The buffer alone decides the
//! order of writes and which of them are in doubt. [`offline`] lets operators list and settle the writes of a
//! log that no process has open.

mod attempts;
mod cache;
mod client_demand;
mod error;
mod identity;
mod log_writer;
pub mod offline;
mod pending_commands;
mod segment_files;

pub use cache::WriteBackCache;
pub use client_demand::ClientDemandGuard;
pub use error::{OpenError, OpenFailure, WriteError};
