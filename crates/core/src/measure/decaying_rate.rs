//! Exponentially weighted moving averages (EWMA) of rates and ratios.

use super::seconds;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// A rate in units per second, in which the weight of each unit decays exponentially with its age.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct DecayingRate {
    /// The rate at `updated_at`, in units per second.
    #[serde(rename = "value")]
    pub(crate) per_second: f64,
    /// When units were last counted.
    #[serde(rename = "at")]
    pub(crate) updated_at: Duration,
}

impl DecayingRate {
    /// Returns the rate at `now`, in units per second.
    pub(crate) fn get(&self, now: Duration, time_constant: Duration) -> f64 {
        let age = seconds(now.saturating_sub(self.updated_at));
        self.per_second * (-age / seconds(time_constant)).exp()
    }

    /// Counts units at `now`.
    pub(crate) fn add(&mut self, now: Duration, units: f64, time_constant: Duration) {
        self.per_second = self.get(now, time_constant) + units / seconds(time_constant);
        self.updated_at = now;
    }
}

/// The fraction of recent events that match a condition. An underestimate while there are few events.
#[derive(Clone, Debug, Default)]
pub(crate) struct DecayingRatio {
    matching: DecayingRate,
    all: DecayingRate,
}

impl DecayingRatio {
    /// Counts one event at `now`.
    pub(crate) fn add(&mut self, now: Duration, matches: bool, time_constant: Duration) {
        self.matching.add(now, f64::from(u8::from(matches)), time_constant);
        self.all.add(now, 1.0, time_constant);
    }

    /// Returns the fraction at `now`, from 0 to 1.
    pub(crate) fn get(&self, now: Duration, time_constant: Duration) -> f64 {
        self.matching.get(now, time_constant) / (self.all.get(now, time_constant) + 1.0)
    }
}
