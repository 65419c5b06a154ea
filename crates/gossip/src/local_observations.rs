//! First-hand observations of this process: new ones are pushed at once, and those that still hold are
//! refreshed before they expire.
//!
//! An endpoint that drains for an hour is observed by every initiator that reads its endpoint list. If each
//! initiator repeated the observation, most of the traffic would be repeats. All initiators are therefore
//! ranked by a hash of their address, and the first in rank refreshes first. A refresh by one initiator
//! resets the age of the observation everywhere, so the others do not refresh it.

use crate::limits::MAX_RECORD_IDS;
use crate::merge::FRESHNESS_WINDOW;
use crate::observations::{novelty, observation_id, Novelty, SAME_STATE_WINDOW};
use crate::peer_selection::Peers;
use crate::push::{RefreshState, Subject};
use crate::replica::{Replica, REFRESH_PRIORITY};
use shaletack_observations::{Claim, Observation, Report, OBSERVATION_LIFETIME};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// The number of initiators that refresh one after another, by rank. The others are spread by their hash.
const RANKED_REFRESHER_COUNT: u32 = 5;
/// The delay between the refreshes of two ranked initiators.
const REFRESH_STAGGER: Duration = Duration::from_secs(2);
/// The age of an observation from which the unranked initiators refresh it.
const LATE_REFRESH_AGE: Duration = Duration::from_secs(30);
/// The period over which the refreshes of the unranked initiators are spread.
const LATE_REFRESH_SPREAD: Duration = Duration::from_secs(20);

/// The known observations that this process observes again.
#[derive(Default)]
struct Reobserved {
    record_ids: Vec<u32>,
    oldest_age: Duration,
    last_observed_at: Duration,
}

/// Merges everything that this process observes now.
///
/// Pushes new observations, and refreshes the known ones once the oldest of them has reached `refresh_age`.
pub(crate) fn merge_local_observations(
    replica: &mut Replica,
    now: Duration,
    reports: Vec<Report>,
    refresh_age: Duration,
) {
    let mut reobserved = Reobserved::default();
    for report in reports.into_iter().filter(|report| !report.claim.is_contribution()) {
        let own = replica.own_process().clone();
        let observation =
            Observation { hops: 0, observer: own, ..report.into_observation(now, Duration::ZERO) };
        let known = replica.observations.get(&observation.subject());
        if let Some(known) = known.filter(|known| is_reobserved(known, &observation, now)) {
            reobserved.oldest_age = reobserved.oldest_age.max(known.age(now));
            reobserved.last_observed_at = reobserved.last_observed_at.max(observation.observed_at);
            reobserved.record_ids.push(observation_id(&observation));
        } else if novelty(&replica.observations, &observation) == Novelty::New {
            let (subject, priority) =
                (Subject::Observation(observation.subject()), observation.claim.send_order());
            replica.observations.merge(observation);
            replica.updates.start(now, subject, priority);
        }
    }
    // Reports from an endpoint list that is silent are old, and prove nothing about the present state.
    let is_current = now.saturating_sub(reobserved.last_observed_at) < FRESHNESS_WINDOW;
    if reobserved.oldest_age >= refresh_age && is_current {
        refresh(replica, now, reobserved);
    }
}

/// Returns whether `observation` repeats a readiness that is known and has not expired.
fn is_reobserved(known: &Observation, observation: &Observation, now: Duration) -> bool {
    matches!(observation.claim, Claim::Readiness { .. })
        && known.claim == observation.claim
        && known.endpoint_incarnation == observation.endpoint_incarnation
        && known.age(now) <= OBSERVATION_LIFETIME
}

/// Dates the observations anew, and starts an update that makes other processes do the same.
fn refresh(replica: &mut Replica, now: Duration, mut reobserved: Reobserved) {
    reobserved.record_ids.truncate(MAX_RECORD_IDS);
    let ids: BTreeSet<u32> = reobserved.record_ids.iter().copied().collect();
    let named = replica.observations.iter().filter(|known| ids.contains(&observation_id(known)));
    let named: Vec<Observation> = named.cloned().collect();
    let own = replica.own_process().clone();
    for known in named {
        let refreshed =
            Observation { observer: own.clone(), hops: 0, observed_at: reobserved.last_observed_at, ..known };
        replica.observations.merge(refreshed);
    }
    let state =
        RefreshState { observed_at: reobserved.last_observed_at, hops: 0, record_ids: reobserved.record_ids };
    replica.updates.start_refresh(now, own, REFRESH_PRIORITY, state);
}

/// Returns the age of an observation at which this process refreshes it, by its rank among all initiators.
pub(crate) fn refresh_age(own: SocketAddr, peers: &Peers) -> Duration {
    let hash = |address: &SocketAddr| xxh3_64(address.to_string().as_bytes());
    let own_hash = hash(&own);
    let rank = peers.iter().filter(|address| hash(address) < own_hash).count() as u32;
    if rank < RANKED_REFRESHER_COUNT {
        SAME_STATE_WINDOW + REFRESH_STAGGER * rank
    } else {
        let spread_ms = LATE_REFRESH_SPREAD.as_millis() as u64;
        LATE_REFRESH_AGE + Duration::from_millis(own_hash % spread_ms)
    }
}
