//! The one timer of a scheduler: rules name the moments at which they have to look again, the earliest is set.

use super::times::{FOREVER, NANOSECOND};
use std::time::Duration;

/// How early a timer may fire and still be the one that was set; the initiator's clock may be coarser.
const EARLIEST_FIRING: Duration = Duration::from_millis(1);

/// The next moment to look again, and the timer set so far.
#[derive(Clone, Debug)]
pub(super) struct Timer {
    next: Duration,
    set_for: Option<Duration>,
}

impl Timer {
    pub(super) fn new() -> Self {
        Timer { next: FOREVER, set_for: None }
    }

    /// A batch begins: its rules name their moments anew.
    pub(super) fn begin_batch(&mut self) {
        self.next = FOREVER;
    }

    /// A rule has to look again at that time at the latest.
    pub(super) fn wake_by(&mut self, at: Duration) {
        self.next = self.next.min(at);
    }

    /// A timer fired.
    pub(super) fn fired(&mut self, now: Duration, min_batch_interval: Duration) {
        if self.set_for.is_some_and(|at| at <= now + min_batch_interval.max(EARLIEST_FIRING)) {
            self.set_for = None;
        }
    }

    /// The time to set a timer for, where none that is set is early enough.
    pub(super) fn set(&mut self, now: Duration) -> Option<Duration> {
        if self.next == FOREVER || self.set_for.is_some_and(|at| self.next >= at && at >= now) {
            return None;
        }
        let at = self.next.max(now + NANOSECOND);
        self.set_for = Some(at);
        Some(at)
    }
}
