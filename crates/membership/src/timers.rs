//! The pending timers of the protocol, ordered by expiry.

use std::collections::BTreeMap;
use std::time::Duration;

/// Pending timers. Timers with the same expiry fire in the order in which they were set.
pub(crate) struct Timers<T> {
    /// Keyed by expiry, then by sequence number.
    pending: BTreeMap<(Duration, u64), T>,
    last_sequence: u64,
}

impl<T> Timers<T> {
    pub(crate) fn new() -> Self {
        Timers { pending: BTreeMap::new(), last_sequence: 0 }
    }

    pub(crate) fn set(&mut self, expires_at: Duration, timer: T) {
        self.last_sequence += 1;
        self.pending.insert((expires_at, self.last_sequence), timer);
    }

    /// Returns the expiry of the earliest timer.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.pending.keys().next().map(|(expires_at, _)| *expires_at)
    }

    /// Removes and returns the earliest timer if it has expired.
    pub(crate) fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let next = self.pending.first_entry()?;
        let (expires_at, _) = *next.key();
        (expires_at <= now).then(|| next.remove())
    }
}
