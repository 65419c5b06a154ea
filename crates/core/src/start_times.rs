//! When boxes started, on the core's own clock, which is never stepped.
//!
//! A list gives a start as Unix time. Wall clocks may be stepped at any time, by seconds or by an hour, and this
//! machine's may be wrong. So only the first list is taken against it, when nothing else is known. What a list that is
//! followed tells later is taken against the starts heard before it: when a start is heard, the fleet's clock shows at
//! least that time. An age found so is never too great, and a box that is taken for younger than it is gets less work
//! for a few seconds; one that is taken for older falls over.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Lists may run late by so much: a start that a followed list tells as older than that, and than the time since its last
/// word, is of a clock that was stepped.
const LATE_MOST: Duration = Duration::from_secs(15);
/// A wall clock that moved by more than this against the core's own was stepped; a process may be held up between
/// reading one and the other.
const STEP_LEAST: Duration = Duration::from_millis(250);
/// Two clocks drift apart: what a start says of the fleet's clock counts for so long.
const COUNTS: Duration = Duration::from_secs(600);

/// A reading of one clock, and the core's time at that moment.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct Reading {
    shown: Duration,
    at: Duration,
}

impl Reading {
    /// What the clock shows later, if it was not stepped.
    fn later(&self, at: Duration) -> Duration {
        self.shown + at.saturating_sub(self.at)
    }
}

/// What turns listed starts into the core's time.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct StartTimes {
    /// This machine's wall clock, as last read.
    wall: Option<Reading>,
    /// The fleet's clock showed this, or more.
    fleet: Option<Reading>,
    /// When a list that is followed last spoke.
    heard_at: Option<Duration>,
}

impl StartTimes {
    /// The wall clock shows this now. Where it was stepped, what older starts say of the fleet's clock is void.
    pub fn read_wall_clock(&mut self, at: Duration, shown: Duration) {
        let stepped = self.wall.is_some_and(|last| last.later(at).abs_diff(shown) > STEP_LEAST);
        if stepped {
            self.fleet = None;
        }
        self.wall = Some(Reading { shown, at });
    }

    /// When a box started that a list just told of as started at that Unix time. Never later than now.
    pub fn started_at(&self, at: Duration, listed: Duration) -> Duration {
        at.saturating_sub(self.age(at, listed))
    }

    /// What a list tells now for the first time was not so before this.
    pub fn earliest(&self, at: Duration) -> Duration {
        self.heard_at.map_or(Duration::ZERO, |heard_at| heard_at.min(at).saturating_sub(LATE_MOST))
    }

    fn age(&self, at: Duration, listed: Duration) -> Duration {
        let Some(heard_at) = self.heard_at else {
            let wall = self.wall.map_or(at, |wall| wall.later(at));
            return wall.saturating_sub(listed);
        };
        let fleet = self.fleet.filter(|fleet| at < fleet.at + COUNTS);
        let age = fleet.map_or(Duration::ZERO, |fleet| fleet.later(at).saturating_sub(listed));
        let most = at.saturating_sub(heard_at) + LATE_MOST;
        if age > most {
            Duration::ZERO
        } else {
            age
        }
    }

    /// The list that is followed has spoken, and this is the latest start among what it told.
    pub fn heard(&mut self, at: Duration, latest: Option<Duration>) {
        self.heard_at = Some(at);
        let Some(latest) = latest else { return };
        let known = self.fleet.filter(|fleet| at < fleet.at + COUNTS && fleet.later(at) >= latest);
        self.fleet = known.or(Some(Reading { shown: latest, at }));
    }
}
