//! An observation, dated on the clock of the process that holds it, and the order in which observations
//! supersede each other.

use crate::{Claim, Report, Subject, MAX_HOPS, OBSERVATION_LIFETIME};
use serde::{Deserialize, Serialize};
use std::cmp::{Ordering, Reverse};
use std::time::Duration;

/// The identity of an observing process. A restarted process with the same name is a different observer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Observer {
    /// The initiator's name.
    pub name: String,
    /// A random number, drawn when the process starts.
    pub incarnation: u64,
}

/// A claim, its observer, and its time on the clock of the process that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// The observed fact.
    pub claim: Claim,
    /// The process that made the observation.
    pub observer: Observer,
    /// The run of the endpoint that the claim is about. The value is the start time in the endpoint list,
    /// which is the same at every initiator regardless of its clock. A later run has a greater value. 0 if
    /// the list states no start time, and for claims about a volume.
    pub endpoint_incarnation: u64,
    /// How many times the observation was forwarded. 0 if it came from its observer directly.
    pub hops: u8,
    /// When the observation was made.
    pub observed_at: Duration,
}

impl Observation {
    /// Returns what the observation is about.
    pub fn subject(&self) -> Subject {
        self.claim.subject(&self.observer)
    }

    /// Returns when the endpoint started, or `None` if the observation is not about its start.
    pub fn endpoint_started_at(&self) -> Option<Duration> {
        match self.claim {
            Claim::Started { uptime, .. } => Some(self.observed_at.saturating_sub(uptime)),
            _ => None,
        }
    }

    /// Returns the time since the observation was made.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// Returns the report that `me` sends of this observation, or `None` if it must not be sent: it is too
    /// old, was forwarded too often, or is another observer's contribution.
    pub fn to_report(&self, now: Duration, me: &Observer) -> Option<Report> {
        let hops = if self.observer == *me { 0 } else { self.hops + 1 };
        let may_forward = hops <= MAX_HOPS && !self.claim.is_contribution();
        let age = self.age(now);
        if (hops > 0 && !may_forward) || age > OBSERVATION_LIFETIME {
            return None;
        }
        Some(Report {
            claim: self.claim.clone(),
            observer: self.observer.clone(),
            endpoint_incarnation: self.endpoint_incarnation,
            hops,
            age,
        })
    }
}

/// Orders the observations of one subject; the greater one supersedes the other.
///
/// The later run of the endpoint is greater, then the later observation, then the one that was forwarded
/// fewer times. Of two claims about the start of the same run, the later start is greater, so that an earlier
/// one cannot end a slow start. The order is total, so all initiators agree regardless of the order in which
/// reports arrive.
impl Ord for Observation {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |observation: &Observation| {
            let started_at = observation.endpoint_started_at();
            (observation.endpoint_incarnation, started_at, observation.observed_at, Reverse(observation.hops))
        };
        rank(self)
            .cmp(&rank(other))
            .then_with(|| self.observer.cmp(&other.observer))
            .then_with(|| self.claim.cmp(&other.claim))
    }
}

impl PartialOrd for Observation {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
