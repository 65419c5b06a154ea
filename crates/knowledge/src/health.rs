//! What a process says of its own attempts at one box.

use std::time::Duration;

/// So many failures in a row make a box a failing one: one may be chance.
const FAILURES: u32 = 2;

/// How attempts at a box went of late.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Health {
    /// When it last answered well.
    pub answered: Option<Duration>,
    /// When an attempt last failed.
    pub failed: Option<Duration>,
    row: u32,
}

impl Health {
    /// An attempt came back well.
    pub fn answers(&mut self, now: Duration) {
        (self.answered, self.row) = (Some(now), 0);
    }

    /// An attempt failed in a way that speaks against the box; whether that makes it a failing one.
    pub fn fails(&mut self, now: Duration) -> bool {
        (self.failed, self.row) = (Some(now), self.row.saturating_add(1));
        self.row >= FAILURES
    }

    /// When it last failed, where it fails in a row.
    pub fn failing(&self) -> Option<Duration> {
        self.failed.filter(|_| self.row >= FAILURES)
    }

    /// What there is to tell, and when it was seen; `None`: nothing.
    pub fn verdict(&self) -> Option<(bool, Duration)> {
        match (self.row, self.failed, self.answered) {
            (FAILURES.., Some(failed), _) => Some((true, failed)),
            // Said only of boxes that failed before: nobody else waits for it.
            (_, Some(failed), Some(answered)) if answered > failed => Some((false, answered)),
            _ => None,
        }
    }
}
