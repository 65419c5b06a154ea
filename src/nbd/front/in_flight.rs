//! Limits on what commands in work may hold, so that clients that send much and read little can't use up the process's
//! memory. A command that finds no place waits, and its connection is not read meanwhile.

use std::io;
use std::sync::Arc;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// Commands of one connection that may be in work at a time.
const MAX_COMMANDS_PER_CONNECTION: usize = 16;
/// What the commands of all connections may hold together, in KiB: a third of the platform's memory.
const MAX_MEMORY_KIB: usize = 64 << 10;
/// Memory is reserved in steps of so many bytes.
const BYTES_PER_KIB: u32 = 1024;

/// The memory that the commands of all connections share.
pub(super) struct MemoryBudget {
    kibibytes: Arc<Semaphore>,
}

/// Memory of one command; it is free again when the last clone is dropped.
#[derive(Clone)]
pub(super) struct MemoryReservation {
    _permit: Arc<OwnedSemaphorePermit>,
}

impl MemoryBudget {
    /// All of it is free.
    pub fn new() -> Self {
        MemoryBudget { kibibytes: Arc::new(Semaphore::new(MAX_MEMORY_KIB)) }
    }

    /// Waits until there is memory for a command with so many bytes of data.
    pub async fn reserve(&self, data_bytes: u32) -> io::Result<MemoryReservation> {
        let kibibytes = 1 + data_bytes / BYTES_PER_KIB;
        let permit = self.kibibytes.clone().acquire_many_owned(kibibytes).await;
        let permit = permit.map_err(|_| io::ErrorKind::BrokenPipe)?;
        Ok(MemoryReservation { _permit: Arc::new(permit) })
    }
}

/// The places for commands of one connection.
pub(super) struct CommandSlots {
    slots: Arc<Semaphore>,
}

/// The place of one command, free again when it is dropped.
pub(super) struct CommandSlot {
    _permit: OwnedSemaphorePermit,
}

impl CommandSlots {
    /// All of them are free.
    pub fn new() -> Self {
        CommandSlots { slots: Arc::new(Semaphore::new(MAX_COMMANDS_PER_CONNECTION)) }
    }

    /// Waits until one is free.
    pub async fn acquire(&self) -> io::Result<CommandSlot> {
        let permit = self.slots.clone().acquire_owned().await;
        Ok(CommandSlot { _permit: permit.map_err(|_| io::ErrorKind::BrokenPipe)? })
    }
}
