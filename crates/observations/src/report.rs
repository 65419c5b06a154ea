//! The form in which an observation is sent between processes.

use crate::{Claim, Observation, Observer, MAX_HOPS, MAX_NAME_BYTES, OBSERVATION_LIFETIME};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An observation as it is sent. It carries an age instead of a time, so the clocks of processes need not
/// agree.
///
/// Encoded by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// The observed fact.
    pub claim: Claim,
    /// The process that made the observation.
    pub observer: Observer,
    /// The run of the endpoint that the claim is about; see [`Observation::endpoint_incarnation`].
    pub endpoint_incarnation: u64,
    /// How many times the observation was forwarded, including this time. 0 if the sender is the observer.
    pub hops: u8,
    /// The time since the observation was made.
    pub age: Duration,
}

impl Report {
    /// Converts the report to an observation on the clock of the receiver. `one_way_delay` is how long the
    /// report was in transit.
    pub fn into_observation(self, now: Duration, one_way_delay: Duration) -> Observation {
        let Report { claim, observer, endpoint_incarnation, hops, age } = self;
        let observed_at = now.saturating_sub(age).saturating_sub(one_way_delay);
        Observation { claim, observer, endpoint_incarnation, hops, observed_at }
    }

    /// Returns whether a correct process could have sent this report: its names are neither empty nor longer
    /// than [`MAX_NAME_BYTES`], its hops and age are within their limits, and it is not a forwarded
    /// contribution.
    pub fn is_valid(&self) -> bool {
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        is_name(&self.observer.name)
            && self.claim.endpoint().is_none_or(is_name)
            && self.hops <= MAX_HOPS
            && self.age <= OBSERVATION_LIFETIME
            && !(self.hops > 0 && self.claim.is_contribution())
    }
}
