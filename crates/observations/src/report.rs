//! An observation on its way between two processes.

use crate::{Claim, Observation, Observer, MAX_HOPS, MAX_NAME_BYTES, OBSERVATION_LIFETIME};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// An observation as it is sent: it has an age in place of a time, so that no two clocks have to agree.
///
/// Sent by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// What was observed.
    pub claim: Claim,
    /// Who observed it.
    pub observer: Observer,
    /// The run of the endpoint that the claim is about; see [`Observation::endpoint_incarnation`].
    pub endpoint_incarnation: u64,
    /// How often it was forwarded, this time included; 0: the sender observed it.
    pub hops: u8,
    /// How long ago it was observed.
    pub age: Duration,
}

impl Report {
    /// The observation by the clock of the receiver. `one_way_delay` is how long the report was under way.
    pub fn into_observation(self, now: Duration, one_way_delay: Duration) -> Observation {
        let Report { claim, observer, endpoint_incarnation, hops, age } = self;
        let observed_at = now.saturating_sub(age).saturating_sub(one_way_delay);
        Observation { claim, observer, endpoint_incarnation, hops, observed_at }
    }

    /// Whether a correct process may have sent it: names that are neither empty nor too long, hops and age within
    /// their limits, and no forwarded contribution.
    pub fn is_valid(&self) -> bool {
        let is_name = |name: &str| !name.is_empty() && name.len() <= MAX_NAME_BYTES;
        is_name(&self.observer.name)
            && self.claim.endpoint().is_none_or(is_name)
            && self.hops <= MAX_HOPS
            && self.age <= OBSERVATION_LIFETIME
            && !(self.hops > 0 && self.claim.is_contribution())
    }
}
