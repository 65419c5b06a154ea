//! Exponentially decaying averages (EWMA) of rates and ratios.

use super::seconds;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Units a second, of which what is older than the time constant counts ever less.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    /// Units a second at `updated_at`.
    #[serde(rename = "value")]
    pub(crate) per_second: f64,
    #[serde(rename = "at")]
    pub(crate) updated_at: Duration,
}

impl DecayingRate {
    /// Units a second now.
    pub(crate) fn get(&self, now: Duration, time_constant: Duration) -> f64 {
        let age = seconds(now.saturating_sub(self.updated_at));
        self.per_second * (-age / seconds(time_constant)).exp()
    }

    /// Counts units that came now.
    pub(crate) fn add(&mut self, now: Duration, units: f64, time_constant: Duration) {
        self.per_second = self.get(now, time_constant) + units / seconds(time_constant);
        self.updated_at = now;
    }
}

/// Which part of recent events is of one sort; below the true part while there are few.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingRatio {
    matching: DecayingRate,
    all: DecayingRate,
}

impl DecayingRatio {
    /// Counts one event.
    pub(crate) fn add(&mut self, now: Duration, matches: bool, time_constant: Duration) {
        self.matching.add(now, f64::from(u8::from(matches)), time_constant);
        self.all.add(now, 1.0, time_constant);
    }

    /// The part now, from 0 to 1.
    pub(crate) fn get(&self, now: Duration, time_constant: Duration) -> f64 {
        self.matching.get(now, time_constant) / (self.all.get(now, time_constant) + 1.0)
    }
}
