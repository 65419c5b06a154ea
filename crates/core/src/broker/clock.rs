//! Maps instants of the host's monotonic clock to the core's own time, which is the same for two processes that follow each
//! other.

use std::time::{Duration, Instant};

/// The core's clock. It starts at any reading and follows a monotonic clock, so it is no wall clock: what is told in Unix
/// time is converted by [`StartTimes`](crate::start_times::StartTimes).
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    time_at_anchor: Duration,
}

impl Clock {
    /// A clock that shows `time_at_anchor` at `anchor`.
    pub fn new(anchor: Instant, time_at_anchor: Duration) -> Self {
        Clock { anchor, time_at_anchor }
    }

    /// What the clock shows at an instant.
    pub(super) fn time(&self, instant: Instant) -> Duration {
        self.time_at_anchor + instant.saturating_duration_since(self.anchor)
    }

    /// The instant at which the clock shows `time`.
    pub(super) fn instant(&self, time: Duration) -> Instant {
        self.anchor + time.saturating_sub(self.time_at_anchor)
    }
}
