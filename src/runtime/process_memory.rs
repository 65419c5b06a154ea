//! What the process really holds: resident pages, allocated bytes and the buffers of its sockets.

use super::socket_memory::SocketMemory;
use std::io;
use std::sync::OnceLock;
use std::time::{Duration, Instant};

/// The most that the pages of an optimised program take.
const MAX_PROGRAM_BYTES: u64 = 8 << 20;
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
    /// The resident pages of the program.
    pub program: u64,
    /// All other resident pages.
    pub anonymous: u64,
    /// What is allocated.
    pub allocated: u64,
    /// The buffers of the sockets, as they were read last.
    pub sockets: SocketMemory,
}

impl ProcessMemory {
    /// Returns all that counts against the limit of the process. A program that is not optimised counts like one that
    /// is.
    pub fn total(&self) -> u64 {
        self.counted_program() + self.anonymous + self.sockets.total()
    }

    /// Returns what of that is in use: the allocator keeps pages that it uses again.
    pub fn in_use(&self) -> u64 {
        self.counted_program() + self.allocated + self.sockets.total()
    }

    fn counted_program(&self) -> u64 {
        self.program.min(MAX_PROGRAM_BYTES)
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
        let (program, anonymous) = resident_bytes().unwrap_or_default();
        ProcessMemory {
            program,
            anonymous,
            allocated: ALLOCATED_BYTES.get().map_or(0, |allocated_bytes| allocated_bytes()),
            sockets: self.sockets,
        }
    }
}

/// Returns the resident pages of the program and all others, in bytes.
fn resident_bytes() -> io::Result<(u64, u64)> {
    let status = std::fs::read_to_string("/proc/self/statm")?;
    let mut pages = status.split(' ').skip(1).map_while(|pages| pages.parse::<u64>().ok());
    let (Some(resident), Some(of_files)) = (pages.next(), pages.next()) else {
        return Err(io::ErrorKind::InvalidData.into());
    };
    let page_size = rustix::param::page_size() as u64;
    Ok((of_files * page_size, resident.saturating_sub(of_files) * page_size))
}
