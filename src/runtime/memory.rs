//! The memory that clients make the process hold. All of it is reserved in one budget before it is taken, so
//! that no number and no behaviour of clients exceeds what the process is granted.
//!
//! What is really held goes before the reservations: near the limit of the process nothing large is reserved any more,
//! then nothing at all, and then whoever holds most has to end ([`MemoryPressure`]).
//!
//! Small reservations, those of a connection, of a request's head and of a small body, may use the whole budget.
//! Large ones leave a quarter of it to the small ones, so that large requests do not keep out small ones.

use super::process_memory::ProcessMemory;
use std::sync::atomic::{AtomicU64, AtomicU8, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use tokio::sync::Notify;

/// The part of the budget that large reservations may use, in quarters.
const BULK_QUARTERS: usize = 3;
/// The largest reservation that counts as small, in bytes.
const MAX_SMALL_BYTES: usize = 24 << 10;
/// For how long after a reservation failed the budget counts as awaited.
const RECENTLY: Duration = Duration::from_millis(100);

/// At which part of its limit a process is under pressure, in percent: by the level of pressure.
const PRESSURE_PERCENT: [(MemoryPressure, u64); 3] =
    [(MemoryPressure::Close, 96), (MemoryPressure::Refuse, 92), (MemoryPressure::StopReading, 87)];
/// The allocator keeps pages that it uses again. There is pressure only while what is allocated is at most this much
/// below what is resident, in percent of the limit.
const MAX_UNUSED_PERCENT: u64 = 15;

/// How near a process is to its memory limit.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum MemoryPressure {
    /// Not near.
    #[default]
    None,
    /// Nothing large is reserved, so that large requests are not read on.
    StopReading,
    /// Nothing is reserved, so that requests are refused.
    Refuse,
    /// Connections are closed as well, those that hold most first.
    Close,
}

impl MemoryPressure {
    fn from_level(level: u8) -> Self {
        let levels = [Self::None, Self::StopReading, Self::Refuse, Self::Close];
        levels.get(usize::from(level)).copied().unwrap_or_default()
    }

    /// Returns the pressure of a process with this limit in bytes; 0: it has none.
    pub fn of(memory: ProcessMemory, limit: u64) -> Self {
        let reaches = |percent: u64| {
            limit > 0
                && memory.total() * 100 >= limit * percent
                && memory.in_use() * 100 >= limit * (percent - MAX_UNUSED_PERCENT)
        };
        let level = PRESSURE_PERCENT.into_iter().find(|(_, percent)| reaches(*percent));
        level.map_or(Self::None, |(pressure, _)| pressure)
    }
}

/// A budget that all clients share. Clones share the same budget.
#[derive(Clone, Debug)]
pub struct MemoryBudget(Arc<Budget>);

#[derive(Debug)]
struct Budget {
    /// The whole budget in bytes.
    granted: usize,
    /// The part of it that this process may use now.
    limit: AtomicUsize,
    reserved: AtomicUsize,
    /// The number of reservations that wait.
    waiting: AtomicUsize,
    /// When a reservation failed last.
    refused_at: Mutex<Option<Instant>>,
    /// Notified when bytes are released.
    released: Notify,
    /// The limit of the process in bytes; 0: it has none.
    process_limit: u64,
    /// The [`MemoryPressure`].
    pressure: AtomicU8,
    /// The number of reservations that failed.
    refused: AtomicU64,
}

impl MemoryBudget {
    /// Creates a budget of `limit` bytes in a process without a limit.
    pub fn new(limit: usize) -> Self {
        Self::in_process(limit, 0)
    }

    /// Creates a budget of `limit` bytes in a process that may hold `process_limit` bytes; 0: any number.
    pub fn in_process(limit: usize, process_limit: u64) -> Self {
        MemoryBudget(Arc::new(Budget {
            granted: limit,
            limit: AtomicUsize::new(limit),
            reserved: AtomicUsize::new(0),
            waiting: AtomicUsize::new(0),
            refused_at: Mutex::new(None),
            released: Notify::new(),
            process_limit,
            pressure: AtomicU8::default(),
            refused: AtomicU64::default(),
        }))
    }

    /// Records what the process holds, and returns the pressure from now on. The process may use `share` of its limit.
    pub fn observe(&self, memory: ProcessMemory, share: f64) -> MemoryPressure {
        let limit = (self.0.process_limit as f64 * share) as u64;
        let pressure = MemoryPressure::of(memory, limit);
        let before = self.0.pressure.swap(pressure as u8, Ordering::Relaxed);
        if (pressure as u8) < before {
            self.0.released.notify_waiters();
        }
        pressure
    }

    /// Returns how near the process was to its limit when that was observed last.
    pub fn pressure(&self) -> MemoryPressure {
        MemoryPressure::from_level(self.0.pressure.load(Ordering::Relaxed))
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.0.reserved.load(Ordering::Relaxed)
    }

    /// Returns how many reservations failed.
    pub fn refused(&self) -> u64 {
        self.0.refused.load(Ordering::Relaxed)
    }

    /// Opens an account without reservations.
    pub fn open_account(&self) -> MemoryAccount {
        MemoryAccount { budget: self.clone(), reserved: AtomicUsize::new(0) }
    }

    /// Returns whether somebody waits for memory.
    pub fn is_awaited(&self) -> bool {
        let refused_at = *self.0.refused_at.lock().unwrap_or_else(PoisonError::into_inner);
        self.0.waiting.load(Ordering::Relaxed) > 0 || refused_at.is_some_and(|at| at.elapsed() < RECENTLY)
    }

    /// Sets the share of the budget that this process may use, from 0 to 1: two processes share it while one
    /// takes over from the other.
    pub fn set_share(&self, share: f64) {
        self.0.limit.store((self.0.granted as f64 * share) as usize, Ordering::Relaxed);
    }

    fn limit(&self) -> usize {
        self.0.limit.load(Ordering::Relaxed)
    }

    /// Returns how much may be reserved by an account that holds `bytes` bytes then.
    fn limit_for(&self, bytes: usize) -> usize {
        match (self.pressure(), bytes <= MAX_SMALL_BYTES) {
            (MemoryPressure::None | MemoryPressure::StopReading, true) => self.limit(),
            (MemoryPressure::None, false) => self.limit() / 4 * BULK_QUARTERS,
            _ => 0,
        }
    }

    /// Reserves bytes if no more than `limit` are reserved then.
    fn try_reserve(&self, bytes: usize, limit: usize) -> bool {
        let add = |reserved: usize| reserved.checked_add(bytes).filter(|total| *total <= limit);
        self.0.reserved.fetch_update(Ordering::Relaxed, Ordering::Relaxed, add).is_ok()
    }

    fn release(&self, bytes: usize) {
        self.0.reserved.fetch_sub(bytes, Ordering::Relaxed);
        self.0.released.notify_waiters();
    }
}

/// What one holder has reserved. It is released when the account is dropped.
#[derive(Debug)]
pub struct MemoryAccount {
    budget: MemoryBudget,
    reserved: AtomicUsize,
}

impl MemoryAccount {
    /// Opens another account of the same budget.
    pub fn sibling(&self) -> Self {
        self.budget.open_account()
    }

    /// Returns the number of bytes that are reserved.
    pub fn reserved(&self) -> usize {
        self.reserved.load(Ordering::Relaxed)
    }

    /// Makes a reservation at once. Returns `false`, and reserves nothing, if the budget has no room for it: an
    /// account that holds little may use the whole budget, one that holds more leaves a part of it to others.
    pub fn try_reserve(&self, bytes: usize) -> bool {
        if bytes == 0 {
            return true;
        }
        let limit = self.budget.limit_for(self.reserved() + bytes);
        let is_reserved = self.budget.try_reserve(bytes, limit);
        if is_reserved {
            self.reserved.fetch_add(bytes, Ordering::Relaxed);
        } else {
            self.budget.0.refused.fetch_add(1, Ordering::Relaxed);
            let refused_at = &self.budget.0.refused_at;
            *refused_at.lock().unwrap_or_else(PoisonError::into_inner) = Some(Instant::now());
        }
        is_reserved
    }

    /// Makes a reservation of any size, as soon as the budget has room for it. One that exceeds the whole budget
    /// waits until nothing else is reserved.
    pub async fn reserve(&self, bytes: usize) {
        let _waiting = Waiting::new(&self.budget.0.waiting);
        loop {
            let released = self.budget.0.released.notified();
            let limit = match self.budget.limit_for(self.reserved() + bytes) {
                0 => 0,
                limit => limit.max(bytes),
            };
            if self.budget.try_reserve(bytes, limit) {
                self.reserved.fetch_add(bytes, Ordering::Relaxed);
                return;
            }
            released.await;
        }
    }

    /// Reserves bytes that are held already, whether the budget has room for them or not.
    pub fn reserve_held(&self, bytes: usize) {
        self.budget.0.reserved.fetch_add(bytes, Ordering::Relaxed);
        self.reserved.fetch_add(bytes, Ordering::Relaxed);
    }

    /// Releases bytes, at most as many as are reserved.
    pub fn release(&self, bytes: usize) {
        let bytes = bytes.min(self.reserved());
        if bytes > 0 {
            self.reserved.fetch_sub(bytes, Ordering::Relaxed);
            self.budget.release(bytes);
        }
    }

    /// Releases everything.
    pub fn release_all(&self) {
        self.release(usize::MAX);
    }
}

impl Drop for MemoryAccount {
    fn drop(&mut self) {
        self.release_all();
    }
}

/// Counts one reservation as waiting until it is dropped.
struct Waiting<'a>(&'a AtomicUsize);

impl<'a> Waiting<'a> {
    fn new(count: &'a AtomicUsize) -> Self {
        count.fetch_add(1, Ordering::Relaxed);
        Waiting(count)
    }
}

impl Drop for Waiting<'_> {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
