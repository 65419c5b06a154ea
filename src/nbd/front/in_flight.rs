//! Limits on the commands in flight and the memory that they hold, so that clients that send many commands
//! and read few replies cannot exhaust the process's memory. A command that exceeds a limit waits, and its
//! connection is not read meanwhile.

use std::io;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The maximum number of commands in flight on one connection.
const MAX_COMMANDS_PER_CONNECTION: usize = 16;
/// The maximum memory of the commands of all connections together, in KiB: a third of the memory that the
/// platform gives the process.
const MAX_MEMORY_KIB: usize = 64 << 10;
/// The granularity at which memory is reserved, in bytes.
const BYTES_PER_KIB: u32 = 1024;

/// The memory budget that the commands of all connections share.
pub(super) struct MemoryBudget {
    kibibytes: Arc<Semaphore>,
}

/// The memory that is reserved for one command. It is released when the last clone is dropped.
#[derive(Clone)]
pub(super) struct MemoryReservation {
    _permit: Arc<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// Creates a budget of which nothing is reserved.
    pub fn new() -> Self {
        MemoryBudget { kibibytes: Arc::new(Semaphore::new(MAX_MEMORY_KIB)) }
    }

    /// Waits until memory is free for a command with `data_bytes` bytes of data, and reserves it.
    pub async fn reserve(&self, data_bytes: u32) -> io::Result<MemoryReservation> {
        let kibibytes = 1 + data_bytes / BYTES_PER_KIB;
        let permit = self.kibibytes.clone().acquire_many_owned(kibibytes).await;
        let permit = permit.map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(MemoryReservation { _permit: Arc::new(permit) })
    }
}

/// The limit on commands in flight on one connection.
pub(super) struct CommandSlots {
    slots: Arc<Semaphore>,
}

/// The slot of one command in flight. It is released when dropped.
pub(super) struct CommandSlot {
    _permit: OwnedSemaphorePermit,
}

impl CommandSlots {
    /// Creates the slots of a connection, all of them free.
    pub fn new() -> Self {
        CommandSlots { slots: Arc::new(Semaphore::new(MAX_COMMANDS_PER_CONNECTION)) }
    }

    /// Waits until a slot is free, and takes it.
    pub async fn acquire(&self) -> io::Result<CommandSlot> {
        let permit = self.slots.clone().acquire_owned().await;
        Ok(CommandSlot { _permit: permit.map_err(|_| io::ErrorKind::BrokenPipe)? })
    }
}
