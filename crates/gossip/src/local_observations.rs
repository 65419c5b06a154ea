//! What this process sees itself: news goes out at once, and what still holds is refreshed before it is forgotten.
//!
//! An endpoint that drains for an hour is seen by every initiator that reads its list. Were each of them to say so again
//! and again, most of the traffic would be repeats. So all are ranked by a hash of their address, and who ranks first
//! refreshes first; a refresh by one keeps the others silent.

use crate::limits::MAX_RECORD_IDS;
use crate::merge::FRESH_FOR;
use crate::observations::{novelty, observation_id, Novelty, SAME_STATE_WINDOW};
use crate::peer_selection::Peers;
use crate::push::{RefreshState, Subject};
use crate::replica::{Replica, REFRESH_PRIORITY};
use shaletack_observations::{Claim, Observation, Report, OBSERVATION_LIFETIME};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::xxh3_64;

/// Processes that refresh one after another; the rest follows at random.
const RANKED_REFRESHERS: u32 = 5;
/// Between two of them.
const REFRESH_STAGGER: Duration = Duration::from_secs(2);
/// The age at which the rest refreshes, at the earliest, and over how long it is spread.
const LATE_REFRESH_AGE: Duration = Duration::from_secs(30);
const LATE_REFRESH_SPREAD: Duration = Duration::from_secs(20);

/// What this process still sees of what is known.
#[derive(Default)]
struct StillSeen {
    record_ids: Vec<u32>,
    oldest_age: Duration,
    last_seen_at: Duration,
}

/// Takes everything that this process sees now. Known observations are refreshed once the oldest is of `refresh_age`.
pub(crate) fn observe(replica: &mut Replica, now: Duration, reports: Vec<Report>, refresh_age: Duration) {
    let mut still_seen = StillSeen::default();
    for report in reports.into_iter().filter(|report| !report.claim.is_contribution()) {
        let own = replica.own_process().clone();
        let observation =
            Observation { hops: 0, observer: own, ..report.into_observation(now, Duration::ZERO) };
        let known = replica.observations.get(&observation.subject());
        if let Some(known) = known.filter(|known| still_holds(known, &observation, now)) {
            still_seen.oldest_age = still_seen.oldest_age.max(known.age(now));
            still_seen.last_seen_at = still_seen.last_seen_at.max(observation.observed_at);
            still_seen.record_ids.push(observation_id(&observation));
        } else if novelty(&replica.observations, &observation) == Novelty::New {
            let (subject, priority) =
                (Subject::Observation(observation.subject()), observation.claim.send_order());
            replica.observations.merge(observation);
            replica.updates.start(now, subject, priority);
        }
    }
    // A list that is silent has seen nothing of late.
    let is_current = now.saturating_sub(still_seen.last_seen_at) < FRESH_FOR;
    if still_seen.oldest_age >= refresh_age && is_current {
        refresh(replica, now, still_seen);
    }
}

/// Whether this process sees again what is known.
fn still_holds(known: &Observation, observation: &Observation, now: Duration) -> bool {
    matches!(observation.claim, Claim::Readiness { .. })
        && known.claim == observation.claim
        && known.endpoint_incarnation == observation.endpoint_incarnation
        && known.age(now) <= OBSERVATION_LIFETIME
}

fn refresh(replica: &mut Replica, now: Duration, mut still_seen: StillSeen) {
    still_seen.record_ids.truncate(MAX_RECORD_IDS);
    let ids: BTreeSet<u32> = still_seen.record_ids.iter().copied().collect();
    let named = replica.observations.iter().filter(|known| ids.contains(&observation_id(known)));
    let named: Vec<Observation> = named.cloned().collect();
    let own = replica.own_process().clone();
    for known in named {
        let refreshed =
            Observation { observer: own.clone(), hops: 0, observed_at: still_seen.last_seen_at, ..known };
        replica.observations.merge(refreshed);
    }
    let state = RefreshState { seen_at: still_seen.last_seen_at, hops: 0, record_ids: still_seen.record_ids };
    replica.updates.start_refresh(now, own, REFRESH_PRIORITY, state);
}

/// The age of an observation at which this process refreshes it, by its rank among all.
pub(crate) fn refresh_age(own: SocketAddr, peers: &Peers) -> Duration {
    let hash = |address: &SocketAddr| xxh3_64(address.to_string().as_bytes());
    let own_hash = hash(&own);
    let rank = peers.iter().filter(|address| hash(address) < own_hash).count() as u32;
    if rank < RANKED_REFRESHERS {
        SAME_STATE_WINDOW + REFRESH_STAGGER * rank
    } else {
        let spread_ms = LATE_REFRESH_SPREAD.as_millis() as u64;
        LATE_REFRESH_AGE + Duration::from_millis(own_hash % spread_ms)
    }
}
