//! Decides whether an observation is new, and which observations share a record id.
//!
//! Many initiators observe the same event at about the same time. If each of them started an update of its
//! own, one event would cost the fleet one push storm per initiator. Observations that state the same within
//! a time window are therefore treated as one, whoever made them.

use shaletack_observations::{
    Claim, Observation, ObservationStore, FAILURE_HOLD_DURATION, OBSERVATION_LIFETIME,
};
use std::cmp::Ordering;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// A readiness that is observed again within this time is not new.
pub(crate) const SAME_STATE_WINDOW: Duration = Duration::from_secs(20);
/// Two start times of an endpoint that differ by at most this are taken for the same start.
const SAME_START_WINDOW: Duration = Duration::from_secs(1);
/// An observation that expires sooner than this is left out of digests.
const MIN_REMAINING_LIFETIME: Duration = Duration::from_secs(5);

/// How an observation compares with the known one of its subject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Novelty {
    /// The observation replaces the known one.
    New,
    /// The observation states what is known already.
    Same,
    /// The known observation is newer and states something else.
    Outdated,
}

/// Compares an observation with the known one of its subject.
pub(crate) fn novelty(known: &ObservationStore, observation: &Observation) -> Novelty {
    let Some(known) = known.get(&observation.subject()) else { return Novelty::New };
    if is_same_event(known, observation) {
        Novelty::Same
    } else if known.cmp(observation) == Ordering::Less {
        Novelty::New
    } else if known.claim == observation.claim {
        Novelty::Same
    } else {
        Novelty::Outdated
    }
}

/// Returns whether both observations stem from the same event, whoever observed it.
fn is_same_event(known: &Observation, new: &Observation) -> bool {
    let time_between = known.observed_at.abs_diff(new.observed_at);
    let same = match (&known.claim, &new.claim) {
        (Claim::Started { .. }, Claim::Started { .. }) => {
            let (known_start, new_start) = (
                known.endpoint_started_at().unwrap_or_default(),
                new.endpoint_started_at().unwrap_or_default(),
            );
            known_start.abs_diff(new_start) <= SAME_START_WINDOW
        }
        (Claim::Health { health: a, .. }, Claim::Health { health: b, .. }) => {
            a == b && time_between < FAILURE_HOLD_DURATION
        }
        (Claim::Readiness { readiness: a, .. }, Claim::Readiness { readiness: b, .. }) => {
            a == b && time_between < SAME_STATE_WINDOW
        }
        // Amounts are reported first-hand only, and each report replaces the previous one.
        _ => false,
    };
    same && known.endpoint_incarnation == new.endpoint_incarnation
}

/// Returns the id of a record: a hash of its encoding.
pub(crate) fn record_id<T: serde::Serialize>(record: &T) -> u32 {
    postcard::to_allocvec(record).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}

/// Returns the record id of an observation, which depends on its claim, not on its observer or time.
pub(crate) fn observation_id(observation: &Observation) -> u32 {
    let claim = match &observation.claim {
        // Observers of one start may differ in the start time, so the uptime is left out.
        Claim::Started { endpoint: id, .. } => {
            Claim::Started { endpoint: id.clone(), uptime: Duration::ZERO }
        }
        other => other.clone(),
    };
    record_id(&(claim, observation.endpoint_incarnation))
}

/// Returns whether digests cover an observation: it does not expire soon, and is not an amount.
pub(crate) fn is_digested(observation: &Observation, now: Duration) -> bool {
    match observation.claim {
        Claim::Readiness { .. } | Claim::Started { .. } => {
            observation.age(now) + MIN_REMAINING_LIFETIME < OBSERVATION_LIFETIME
        }
        Claim::Health { .. } => observation.age(now) < FAILURE_HOLD_DURATION,
        Claim::SlowStartUnits { .. } | Claim::Demand { .. } => false,
    }
}
