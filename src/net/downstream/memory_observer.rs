//! Compares what the process really holds with its limit, logs it by kind, and ends connections near the limit.

use super::connection::Connection;
use crate::runtime::memory::{MemoryBudget, MemoryPressure};
use crate::runtime::process_memory::{MemoryReader, ProcessMemory};
use std::rc::Rc;
use std::time::{Duration, Instant};
use tracing::{info, warn};

/// How often the memory is logged without pressure.
const LOG_INTERVAL: Duration = Duration::from_secs(10);
/// How often it is logged at least while there is pressure.
const PRESSURE_LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Observes the memory of the process.
pub struct MemoryObserver {
    budget: MemoryBudget,
    reader: MemoryReader,
    last: ProcessMemory,
    pressure: MemoryPressure,
    logged_at: Instant,
}

impl MemoryObserver {
    /// Creates an observer that tells the budget how near the process is to its limit.
    pub fn new(budget: MemoryBudget) -> Self {
        MemoryObserver {
            budget,
            reader: MemoryReader::default(),
            last: ProcessMemory::default(),
            pressure: MemoryPressure::None,
            logged_at: Instant::now(),
        }
    }

    /// Reads what the process holds, of whose limit it may use `share`, and returns how near it is to that.
    pub fn observe(&mut self, now: Instant, share: f64, connections: &[Rc<Connection>]) -> MemoryPressure {
        self.last = self.reader.read(now);
        let pressure = self.budget.observe(self.last, share);
        let interval = if pressure == MemoryPressure::None { LOG_INTERVAL } else { PRESSURE_LOG_INTERVAL };
        if pressure > self.pressure || now.saturating_duration_since(self.logged_at) >= interval {
            self.log(pressure, connections);
            self.logged_at = now;
        }
        self.pressure = pressure;
        pressure
    }

    /// Closes the connection that has held most for longest.
    pub fn close_largest(&self, now: Instant, connections: &[Rc<Connection>]) {
        let weighted =
            connections.iter().filter_map(|connection| Some((connection.held_weight(now)?, connection)));
        if let Some((_, largest)) = weighted.max_by_key(|(weight, _)| *weight) {
            let (connection, stage) = (largest.number, largest.stage.get());
            let held_kib = largest.memory.held_bytes() >> 10;
            warn!(connection, ?stage, held_kib, "a connection is closed: the memory limit is near");
            largest.close_requested.notify_one();
        }
    }

    fn log(&self, pressure: MemoryPressure, connections: &[Rc<Connection>]) {
        let ProcessMemory { program, anonymous, allocated, sockets } = self.last;
        let (resident_kib, allocated_kib) = ((program + anonymous) >> 10, allocated >> 10);
        let (received_kib, sent_kib) = (sockets.received >> 10, sockets.sent >> 10);
        let reserved_kib = self.budget.reserved() >> 10;
        let refused = self.budget.refused();
        let unread: Vec<_> = connections
            .iter()
            .filter(|connection| connection.memory.is_starved())
            .map(|c| c.number)
            .collect();
        let (unread, first_unread) = (unread.len(), unread.first().copied());
        if pressure == MemoryPressure::None {
            info!(
                resident_kib,
                allocated_kib,
                reserved_kib,
                received_kib,
                sent_kib,
                refused,
                unread,
                ?first_unread,
                "memory"
            );
        } else {
            warn!(
                ?pressure,
                resident_kib,
                allocated_kib,
                reserved_kib,
                received_kib,
                sent_kib,
                refused,
                unread,
                ?first_unread,
                "the memory limit is near"
            );
        }
    }
}
