//! Round trips to each locality, so that an observation is never taken for younger than it is.
//!
//! Processes share no clock: an observation travels with its age, and half a round trip is added on arrival.

use crate::Locality;
use std::collections::BTreeMap;
use std::time::Duration;

/// Half a round trip to where none was measured of late.
const DEFAULT_ONE_WAY: Duration = Duration::from_millis(150);
/// How long a measured round trip counts.
const MEASUREMENT_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Measurement {
    round_trip: Duration,
    at: Duration,
}

/// The longest round trip of late to each locality.
#[derive(Debug, Default)]
pub(crate) struct RoundTrips {
    longest: BTreeMap<Locality, Measurement>,
}

impl RoundTrips {
    /// Half of the longest round trip of late to that locality.
    pub(crate) fn one_way(&self, now: Duration, locality: Option<&Locality>) -> Duration {
        let measured = locality.and_then(|locality| self.longest.get(locality));
        let current = measured.filter(|measured| now <= measured.at + MEASUREMENT_TTL);
        current.map_or(DEFAULT_ONE_WAY, |measured| measured.round_trip / 2)
    }

    /// Takes a measurement.
    pub(crate) fn measured(&mut self, now: Duration, locality: &Locality, round_trip: Duration) {
        let measurement = Measurement { round_trip, at: now };
        let longest = self.longest.entry(locality.clone()).or_insert(measurement);
        if round_trip >= longest.round_trip || now > longest.at + MEASUREMENT_TTL {
            *longest = measurement;
        }
    }
}
