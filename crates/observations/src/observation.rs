//! An observation as the process that holds it dates it, and which of two observations counts.

use crate::{Claim, Report, Subject, MAX_HOPS, OBSERVATION_LIFETIME};
use serde::{Deserialize, Serialize};
use std::cmp::{Ordering, Reverse};
use std::time::Duration;

/// A process that observes. A restart under the same name is another observer.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Observer {
    /// The initiator's name.
    pub name: String,
    /// A random number, drawn when the process starts.
    pub incarnation: u64,
}

/// A claim, who made it, and when by the clock of the process that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Observation {
    /// What was observed.
    pub claim: Claim,
    /// Who observed it.
    pub observer: Observer,
    /// The run of the endpoint that the claim is about: the start time in the endpoint list, the same number at every
    /// initiator whatever its clock says. A later run has a greater one; 0 where none is listed, or for a volume.
    pub endpoint_incarnation: u64,
    /// How often it was forwarded; 0: by its observer itself.
    pub hops: u8,
    /// When it was observed.
    pub observed_at: Duration,
}

impl Observation {
    /// What it is about.
    pub fn subject(&self) -> Subject {
        self.claim.subject(&self.observer)
    }

    /// When the endpoint started; `None`: the observation is not about that.
    pub fn endpoint_started_at(&self) -> Option<Duration> {
        match self.claim {
            Claim::Started { uptime, .. } => Some(self.observed_at.saturating_sub(uptime)),
            _ => None,
        }
    }

    /// How long ago it was made.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.observed_at)
    }

    /// The report that `me` sends of it; `None`: it goes no further.
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

/// Of two observations of one subject the greater counts: of the later run of the endpoint, then the later one, then
/// the one that was forwarded less often. Of two claims about the start of one run the later start counts, so that no
/// early one ends a slow start. The order is total, so that all initiators decide alike in whatever order reports come.
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
