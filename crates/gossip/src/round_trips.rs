//! Recent round-trip times to each locality, from which the transit time of a datagram is estimated.
//!
//! Processes share no clock: an observation is sent with its age, and the receiver adds half a round trip.
//! The longest recent round trip is used, so that no observation looks younger than it is.

use crate::Locality;
use std::collections::BTreeMap;
use std::time::Duration;

/// The one-way delay that is assumed for a locality without a recent measurement.
const DEFAULT_ONE_WAY_DELAY: Duration = Duration::from_millis(150);
/// How long a measured round trip is used.
const MEASUREMENT_TTL: Duration = Duration::from_secs(60);

#[derive(Clone, Copy, Debug)]
struct Measurement {
    round_trip: Duration,
    measured_at: Duration,
}

/// The longest recent round trip to each locality.
#[derive(Debug, Default)]
pub(crate) struct RoundTrips {
    longest: BTreeMap<Locality, Measurement>,
}

impl RoundTrips {
    /// Returns half of the longest recent round trip to `locality`, or [`DEFAULT_ONE_WAY_DELAY`] if there is
    /// none.
    pub(crate) fn one_way_delay(&self, now: Duration, locality: Option<&Locality>) -> Duration {
        let measured = locality.and_then(|locality| self.longest.get(locality));
        let current = measured.filter(|measured| now <= measured.measured_at + MEASUREMENT_TTL);
        current.map_or(DEFAULT_ONE_WAY_DELAY, |measured| measured.round_trip / 2)
    }

    /// Records a measured round trip. A shorter one replaces the stored one only after [`MEASUREMENT_TTL`].
    pub(crate) fn record(&mut self, now: Duration, locality: &Locality, round_trip: Duration) {
        let measurement = Measurement { round_trip, measured_at: now };
        let longest = self.longest.entry(locality.clone()).or_insert(measurement);
        if round_trip >= longest.round_trip || now > longest.measured_at + MEASUREMENT_TTL {
            *longest = measurement;
        }
    }
}
