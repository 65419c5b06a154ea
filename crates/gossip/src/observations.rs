//! When two observations are one record, and when one is news.
//!
//! Many initiators see the same event at about the same time. Each of them starting an update of its own would cost the
//! fleet one push storm an initiator; so what says the same within a while counts as one, whoever saw it.

use shaletack_observations::{
    Claim, Observation, ObservationStore, FAILURE_HOLD_DURATION, OBSERVATION_LIFETIME,
};
use std::cmp::Ordering;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// An observed state that is seen again within this is the same news.
pub(crate) const SAME_STATE_WINDOW: Duration = Duration::from_secs(20);
/// Two moments of one start that differ by at most this are the same news.
const SAME_START_WINDOW: Duration = Duration::from_secs(1);
/// What is forgotten sooner than this is in no digest.
const MIN_DIGEST_LIFETIME: Duration = Duration::from_secs(5);

/// A new observation against the one that is known of its topic.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Novelty {
    /// It replaces the known one.
    New,
    /// It says what is known.
    Same,
    /// The known one is newer.
    Outdated,
}

/// Compares an observation with what is known.
pub(crate) fn novelty(known: &ObservationStore, observation: &Observation) -> Novelty {
    let Some(known) = known.get(&observation.subject()) else { return Novelty::New };
    if is_same_news(known, observation) {
        Novelty::Same
    } else if known.cmp(observation) == Ordering::Less {
        Novelty::New
    } else if known.claim == observation.claim {
        Novelty::Same
    } else {
        Novelty::Outdated
    }
}

fn is_same_news(known: &Observation, new: &Observation) -> bool {
    let seen_apart = known.observed_at.abs_diff(new.observed_at);
    let same = match (&known.claim, &new.claim) {
        (Claim::Started { .. }, Claim::Started { .. }) => {
            let (known_start, new_start) = (
                known.endpoint_started_at().unwrap_or_default(),
                new.endpoint_started_at().unwrap_or_default(),
            );
            known_start.abs_diff(new_start) <= SAME_START_WINDOW
        }
        (Claim::Health { health: a, .. }, Claim::Health { health: b, .. }) => {
            a == b && seen_apart < FAILURE_HOLD_DURATION
        }
        (Claim::Readiness { readiness: a, .. }, Claim::Readiness { readiness: b, .. }) => {
            a == b && seen_apart < SAME_STATE_WINDOW
        }
        // Amounts come first-hand only, and each replaces the last.
        _ => false,
    };
    same && known.endpoint_incarnation == new.endpoint_incarnation
}

/// A record's id: the hash of its encoding.
pub(crate) fn record_id<T: serde::Serialize>(record: &T) -> u32 {
    postcard::to_allocvec(record).map_or(0, |bytes| xxh3_64(&bytes) as u32)
}

/// An observation's id: of what it says, not of who saw it when.
pub(crate) fn observation_id(observation: &Observation) -> u32 {
    let claim = match &observation.claim {
        // Observers of one start may differ in its moment.
        Claim::Started { endpoint: id, .. } => {
            Claim::Started { endpoint: id.clone(), uptime: Duration::ZERO }
        }
        other => other.clone(),
    };
    record_id(&(claim, observation.endpoint_incarnation))
}

/// Whether an observation is in digests: it lives on for a while, and is no amount.
pub(crate) fn is_digested(observation: &Observation, now: Duration) -> bool {
    match observation.claim {
        Claim::Readiness { .. } | Claim::Started { .. } => {
            observation.age(now) + MIN_DIGEST_LIFETIME < OBSERVATION_LIFETIME
        }
        Claim::Health { .. } => observation.age(now) < FAILURE_HOLD_DURATION,
        Claim::SlowStartUnits { .. } | Claim::Demand { .. } => false,
    }
}
