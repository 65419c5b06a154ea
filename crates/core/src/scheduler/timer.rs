//! The timer of a scheduler: rules ask to be run again at certain times, and a single timer is set for the
//! earliest.

use super::times::{FOREVER, NANOSECOND};
use std::time::Duration;

/// How early a timer may fire and still count as the one that was set, because the initiator's clock may be
/// coarser.
const FIRING_TOLERANCE: Duration = Duration::from_millis(1);

/// The next time at which a rule has to run, and the timer that is set.
#[derive(Clone, Debug)]
pub(super) struct Timer {
    next: Duration,
    set_for: Option<Duration>,
}

impl Timer {
    pub(super) fn new() -> Self {
        Timer { next: FOREVER, set_for: None }
    }

    /// Begins a batch, in which the rules ask for their times again.
    pub(super) fn begin_batch(&mut self) {
        self.next = FOREVER;
    }

    /// Asks for a batch at a time or earlier.
    pub(super) fn wake_by(&mut self, at: Duration) {
        self.next = self.next.min(at);
    }

    /// Clears the timer if the one that fired is the one that was set.
    pub(super) fn fired(&mut self, now: Duration, min_batch_interval: Duration) {
        if self.set_for.is_some_and(|at| at <= now + min_batch_interval.max(FIRING_TOLERANCE)) {
            self.set_for = None;
        }
    }

    /// Returns the time to set a timer for, or `None` where none is needed or the one that is set is early
    /// enough.
    pub(super) fn set(&mut self, now: Duration) -> Option<Duration> {
        if self.next == FOREVER || self.set_for.is_some_and(|at| self.next >= at && at >= now) {
            return None;
        }
        let at = self.next.max(now + NANOSECOND);
        self.set_for = Some(at);
        Some(at)
    }
}
