//! Maps instants of the host's monotonic clock to the core's time, which a successor process continues.

use std::time::{Duration, Instant};

/// The core's clock, which starts at any reading and advances with the monotonic clock. It is not a wall
/// clock: Unix times are converted by [`StartTimes`](crate::start_times::StartTimes).
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    time_at_anchor: Duration,
}

impl Clock {
    /// Creates a clock that shows `time_at_anchor` at `anchor`.
    pub fn new(anchor: Instant, time_at_anchor: Duration) -> Self {
        Clock { anchor, time_at_anchor }
    }

    /// Returns the time that the clock shows at an instant.
    pub(super) fn time(&self, instant: Instant) -> Duration {
        self.time_at_anchor + instant.saturating_duration_since(self.anchor)
    }

    /// Returns the instant at which the clock shows `time`.
    pub(super) fn instant(&self, time: Duration) -> Instant {
        self.anchor + time.saturating_sub(self.time_at_anchor)
    }
}
