//! The protocol's timers, in the order in which they expire.

use std::collections::BTreeMap;
use std::time::Duration;

/// Pending timers. Those that expire at one time do so in the order in which they were set.
pub(crate) struct Timers<T> {
    pending: BTreeMap<(Duration, u64), T>,
    set_so_far: u64,
}

impl<T> Timers<T> {
    pub(crate) fn new() -> Self {
        Timers { pending: BTreeMap::new(), set_so_far: 0 }
    }

    pub(crate) fn set(&mut self, expires_at: Duration, timer: T) {
        self.set_so_far += 1;
        self.pending.insert((expires_at, self.set_so_far), timer);
    }

    /// When the next one expires.
    pub(crate) fn next_expiry(&self) -> Option<Duration> {
        self.pending.keys().next().map(|(expires_at, _)| *expires_at)
    }

    /// The next one that has expired.
    pub(crate) fn pop_expired(&mut self, now: Duration) -> Option<T> {
        let next = self.pending.first_entry()?;
        let (expires_at, _) = *next.key();
        (expires_at <= now).then(|| next.remove())
    }
}
