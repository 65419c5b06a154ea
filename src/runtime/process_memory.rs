//! What the process really holds: resident pages, allocated bytes and the buffers of its sockets.

use super::socket_memory::SocketMemory;
use std::io;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// How often the buffers of sockets are read at most.
const SOCKETS_INTERVAL: Duration = Duration::from_millis(100);
/// Reading the buffers of sockets may take one of this many parts of the time.
const SOCKETS_TIME_DIVISOR: u32 = 50;

static ALLOCATED_BYTES: OnceLock<fn() -> u64> = OnceLock::new();

/// Sets how the allocator tells what is allocated. Without it, nothing is reported as allocated.
pub fn set_allocated_bytes(allocated_bytes: fn() -> u64) {
    // A second call, which changes nothing, is made only by tests.
    let _ = ALLOCATED_BYTES.set(allocated_bytes);
}

/// What the process holds, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessMemory {
    /// The resident pages, with those of the program.
    pub resident: u64,
    /// What is allocated.
    pub allocated: u64,
    /// The buffers of the sockets, as they were read last.
    pub sockets: SocketMemory,
}

impl ProcessMemory {
    /// Returns all that counts against the limit of the process.
    pub fn total(&self) -> u64 {
        self.resident + self.sockets.total()
    }
}

/// Reads what the process holds.
#[derive(Debug, Default)]
pub struct MemoryReader {
    sockets: SocketMemory,
    /// When the buffers of sockets are read again.
    next_sockets_at: Option<Instant>,
}

impl MemoryReader {
    /// Reads what the process holds now. The buffers of sockets are read less often, as that takes longer; what the
    /// system does not tell stays as it was.
    pub fn read(&mut self, now: Instant) -> ProcessMemory {
        if self.next_sockets_at.is_none_or(|at| now >= at) {
            self.sockets = SocketMemory::of_process(None).unwrap_or(self.sockets);
            let next = (now.elapsed() * SOCKETS_TIME_DIVISOR).max(SOCKETS_INTERVAL);
            self.next_sockets_at = Some(Instant::now() + next);
        }
        ProcessMemory {
            resident: resident_bytes().unwrap_or(0),
            allocated: ALLOCATED_BYTES.get().map_or(0, |allocated_bytes| allocated_bytes()),
            sockets: self.sockets,
        }
    }
}

/// Returns the resident pages of the process, in bytes.
fn resident_bytes() -> io::Result<u64> {
    let status = std::fs::read_to_string("/proc/self/statm")?;
    let pages = status.split(' ').nth(1).and_then(|pages| pages.parse::<u64>().ok());
    let pages = pages.ok_or_else(|| io::Error::from(io::ErrorKind::InvalidData))?;
    Ok(pages * rustix::param::page_size() as u64)
}
