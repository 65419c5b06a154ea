//! Write-back of exports whose writes are buffered on this initiator's disk: files, sockets and timers round
//! `shaletack-writeback`. Off unless the operator's file says otherwise, and never on the platform.
//!
//! [`WriteBackCache`] carries out what the buffer asks for. Commits go to the segment files, and are repeated until
//! they are durable. Pieces that are ready go to the background scheduler, and from there to the core as requests
//! like any other, so that limits and priorities hold. The order of writes and what is in doubt are decided in the
//! buffer, not here. [`offline`] is what operators do to a log that no process has open.

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
