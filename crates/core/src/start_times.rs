//! Converts the start times of endpoints to the core's own clock, which is never stepped.
//!
//! The endpoint list gives a start as Unix time. Wall clocks may be stepped at any time, by seconds or by an
//! hour, and the wall clock of this host may be wrong. Only the starts of the first list are therefore
//! compared with the wall clock, because nothing else is known at that point. The starts that a watched list
//! reports later are compared with the starts it reported before: when a start is listed, the fleet's clock
//! shows at least that time. An age computed in this way is never too great. An endpoint that is presumed
//! younger than it is receives less work for a few seconds; one that is presumed older is overloaded during
//! its slow start and fails.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The maximum delay of a list. A start that a watched list reports for the first time cannot be older than
/// this plus the time since the list's last message; an older one was read on a clock that was stepped.
const MAX_LIST_DELAY: Duration = Duration::from_secs(15);
/// A wall clock that moved by more than this relative to the core's clock was stepped. A smaller difference
/// may be a process that was delayed between reading the two clocks.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);
/// How long a reading of the fleet's clock is used: two clocks drift apart.
const READING_LIFETIME: Duration = Duration::from_secs(600);

/// A reading of another clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Reading {
    /// The Unix time that the clock showed.
    shown: Duration,
    /// When the clock was read, by the core's clock.
    #[serde(rename = "at")]
    read_at: Duration,
}

impl Reading {
    /// Returns the time that the clock shows now, if it was not stepped since.
    fn extrapolate(&self, now: Duration) -> Duration {
        self.shown + now.saturating_sub(self.read_at)
    }

    fn is_valid(&self, now: Duration) -> bool {
        now < self.read_at + READING_LIFETIME
    }
}

/// Converts listed starts, which are Unix times, to the core's time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartTimes {
    /// The last reading of this host's wall clock.
    #[serde(rename = "wall")]
    wall_clock: Option<Reading>,
    /// A lower bound of the time that the fleet's clock showed.
    #[serde(rename = "fleet")]
    fleet_clock: Option<Reading>,
    /// When the last message of a watched list was received.
    #[serde(rename = "heard_at")]
    list_received_at: Option<Duration>,
}

impl StartTimes {
    /// Records the time that the wall clock shows now. If the wall clock was stepped, the reading of the
    /// fleet's clock is discarded.
    pub fn read_wall_clock(&mut self, now: Duration, shown: Duration) {
        let moved = self.wall_clock.map(|last| last.extrapolate(now).abs_diff(shown));
        if moved.is_some_and(|moved| moved > MIN_CLOCK_STEP) {
            self.fleet_clock = None;
        }
        self.wall_clock = Some(Reading { shown, read_at: now });
    }

    /// Returns when an endpoint started that a list now reports as started at `unix_time`. Never later than
    /// `now`.
    pub fn started_at(&self, now: Duration, unix_time: Duration) -> Duration {
        now.saturating_sub(self.age(now, unix_time))
    }

    /// Returns the earliest time at which a start can have happened that a list reports now for the first
    /// time.
    pub fn earliest_start(&self, now: Duration) -> Duration {
        let last_list = self.list_received_at.unwrap_or_default().min(now);
        last_list.saturating_sub(MAX_LIST_DELAY)
    }

    fn age(&self, now: Duration, unix_time: Duration) -> Duration {
        let Some(received_at) = self.list_received_at else {
            let wall_clock = self.wall_clock.map_or(now, |reading| reading.extrapolate(now));
            return wall_clock.saturating_sub(unix_time);
        };
        let fleet_clock = self.fleet_clock.filter(|reading| reading.is_valid(now));
        let age =
            fleet_clock.map_or(Duration::ZERO, |reading| reading.extrapolate(now).saturating_sub(unix_time));
        let max_age = now.saturating_sub(received_at) + MAX_LIST_DELAY;
        if age > max_age {
            Duration::ZERO
        } else {
            age
        }
    }

    /// Records a message of the watched list. `latest_start` is the latest start in the message, as Unix
    /// time.
    pub fn list_received(&mut self, now: Duration, latest_start: Option<Duration>) {
        self.list_received_at = Some(now);
        let Some(latest_start) = latest_start else { return };
        let known = self.fleet_clock.filter(|reading| reading.is_valid(now));
        let known = known.filter(|reading| reading.extrapolate(now) >= latest_start);
        self.fleet_clock = known.or(Some(Reading { shown: latest_start, read_at: now }));
    }
}
