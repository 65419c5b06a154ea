//! When endpoints started, on the core's own clock, which is never stepped.
//!
//! A list gives a start as Unix time. Wall clocks may be stepped at any time, by seconds or by an hour, and this machine's
//! may be wrong. So only the first list is compared with it, when nothing else is known. What a followed list tells later is
//! compared with the starts listed before: when a start is listed, the fleet's clock shows at least that time. An age found
//! so is never too great. An endpoint that is taken for younger than it is gets less work for a few seconds; one that is
//! taken for older is overloaded in its slow start and fails.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Lists may run late by this much: a start that a followed list tells as older than that, and than the time since its last
/// message, is of a clock that was stepped.
const MAX_LIST_DELAY: Duration = Duration::from_secs(15);
/// A wall clock that moved by more than this against the core's own was stepped. A process may be held up for less
/// between reading one and the other.
const MIN_CLOCK_STEP: Duration = Duration::from_millis(250);
/// What a start says of the fleet's clock counts for this long: two clocks drift apart.
const READING_VALID: Duration = Duration::from_secs(600);

/// A reading of another clock.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Reading {
    /// What that clock showed, as Unix time.
    shown: Duration,
    /// When it was read, by the core's clock.
    #[serde(rename = "at")]
    read_at: Duration,
}

impl Reading {
    /// What the clock shows now, if it was not stepped.
    fn extrapolate(&self, now: Duration) -> Duration {
        self.shown + now.saturating_sub(self.read_at)
    }

    fn is_valid(&self, now: Duration) -> bool {
        now < self.read_at + READING_VALID
    }
}

/// Converts listed starts, which are Unix times, to the core's time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartTimes {
    /// This machine's wall clock, as last read.
    #[serde(rename = "wall")]
    wall_clock: Option<Reading>,
    /// The fleet's clock showed this, or more.
    #[serde(rename = "fleet")]
    fleet_clock: Option<Reading>,
    /// When a followed list last spoke.
    #[serde(rename = "heard_at")]
    list_received_at: Option<Duration>,
}

impl StartTimes {
    /// The wall clock shows this now. Where it was stepped, what older starts say of the fleet's clock is void.
    pub fn read_wall_clock(&mut self, now: Duration, shown: Duration) {
        let moved = self.wall_clock.map(|last| last.extrapolate(now).abs_diff(shown));
        if moved.is_some_and(|moved| moved > MIN_CLOCK_STEP) {
            self.fleet_clock = None;
        }
        self.wall_clock = Some(Reading { shown, read_at: now });
    }

    /// When an endpoint started that a list just told of as started at that Unix time. Never later than now.
    pub fn started_at(&self, now: Duration, unix_time: Duration) -> Duration {
        now.saturating_sub(self.age(now, unix_time))
    }

    /// What a list tells now for the first time did not happen before this.
    pub fn earliest(&self, now: Duration) -> Duration {
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

    /// The followed list has spoken; `latest_start` is the latest start among what it told, as Unix time.
    pub fn list_received(&mut self, now: Duration, latest_start: Option<Duration>) {
        self.list_received_at = Some(now);
        let Some(latest_start) = latest_start else { return };
        let known = self.fleet_clock.filter(|reading| reading.is_valid(now));
        let known = known.filter(|reading| reading.extrapolate(now) >= latest_start);
        self.fleet_clock = known.or(Some(Reading { shown: latest_start, read_at: now }));
    }
}
