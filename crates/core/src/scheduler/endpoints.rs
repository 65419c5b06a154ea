//! Endpoint table: the known endpoints, the shards that they serve and the attempts in flight to each.

use super::health::EndpointHealth;
use super::queueing::QueueKey;
use super::random::SeededRandom;
use super::slow_start::EndpointStart;
use super::times::SMOOTHING_TIME;
use crate::interface::{EndpointId, EndpointUpdate, Readiness, Request, RequestId};
use crate::measure::{seconds, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Cost of a request, as a fraction of its units, at an endpoint that was last sent the same key.
const REPEATED_KEY_COST: f64 = 0.5;

/// An attempt whose outcome is not known yet.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    pub(super) number: u8,
    pub(super) sent_at: Duration,
    /// How many attempts that were sent later have been answered before this one.
    pub(super) overtaken_by: u32,
    /// The attempt or its answer is presumed lost in transit.
    pub(super) presumed_lost: bool,
    /// The endpoint does not work on the attempt: the response has begun, or the body is incomplete.
    pub(super) needs_no_slot: bool,
}

impl InFlightAttempt {
    pub(super) fn new(request: RequestId, number: u8, sent_at: Duration) -> Self {
        let (presumed_lost, needs_no_slot) = (false, false);
        InFlightAttempt { request, number, sent_at, overtaken_by: 0, presumed_lost, needs_no_slot }
    }

    /// Returns whether the attempt counts against the endpoint's window.
    pub(super) fn holds_slot(&self) -> bool {
        !self.presumed_lost && !self.needs_no_slot
    }
}

/// What this initiator knows about one endpoint.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) zone: u16,
    pub(super) shard: u16,
    /// The endpoint accepts new requests.
    pub(super) ready: bool,
    /// The endpoint list no longer names the endpoint.
    #[serde(rename = "gone")]
    pub(super) removed: bool,
    #[serde(flatten)]
    pub(super) start: EndpointStart,
    #[serde(flatten)]
    pub(super) health: EndpointHealth,
    #[serde(skip)]
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// When a request was last sent to the endpoint.
    #[serde(rename = "sent_at")]
    pub(super) last_sent_at: Duration,
    /// The key of the request sent last; 0 for none.
    pub(super) last_key: u64,
    /// The queue of the request sent last.
    #[serde(rename = "last_lane")]
    pub(super) last_queue: QueueKey,
}

impl Endpoint {
    /// Creates an endpoint that was not known before.
    fn newly_listed() -> Self {
        Endpoint { health: EndpointHealth::new(), ..Endpoint::default() }
    }

    /// Returns whether a request has the key that the endpoint was sent last.
    pub(super) fn has_last_key(&self, request: &Request) -> bool {
        request.key != 0 && request.key == self.last_key
    }

    /// Returns what a request costs the endpoint, in units.
    pub(super) fn cost(&self, request: &Request) -> f64 {
        request.units * if self.has_last_key(request) { REPEATED_KEY_COST } else { 1.0 }
    }

    /// Returns how many attempts count against the window.
    pub(super) fn slots_used(&self) -> f64 {
        self.in_flight.iter().filter(|attempt| attempt.holds_slot()).count() as f64
    }

    /// Returns the attempts of one request that are in flight to this endpoint.
    pub(super) fn attempts_of(&mut self, id: RequestId) -> impl Iterator<Item = &mut InFlightAttempt> {
        self.in_flight.iter_mut().filter(move |attempt| attempt.request == id)
    }

    /// Applies a line of the endpoint list. If the line reports a new start, slow start begins with `savings`
    /// as the units that this initiator has saved for the endpoint.
    fn update(&mut self, update: &EndpointUpdate, savings: TokenBucket) {
        self.zone = update.zone;
        self.shard = update.shard;
        self.ready = update.readiness == Readiness::Ready;
        self.removed = update.readiness == Readiness::Removed;
        let started_again = self.start.listed_at.is_none_or(|listed| update.started_at > listed);
        if !update.started_at.is_zero() && started_again {
            self.start.record_listed_start(update.started_at, savings);
            self.health.restarted();
        }
    }
}

/// All listed endpoints, and those removed recently.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
    /// The ready endpoints of each shard, as of the last [`Endpoints::prune_and_index`].
    ready_by_shard: BTreeMap<u16, Vec<EndpointId>>,
    ready_count: usize,
}

impl Endpoints {
    pub(super) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: EndpointId) -> Option<&mut Endpoint> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (EndpointId, &Endpoint)> {
        self.by_id.iter().map(|(id, endpoint)| (*id, endpoint))
    }

    /// Returns the number of endpoints, including those removed recently.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// Returns the number of endpoints that accept new requests.
    pub(super) fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// Returns the ready endpoints that serve a shard. A new object (`None`) may go to any ready endpoint.
    pub(super) fn serving(&self, shard: Option<u16>) -> Vec<EndpointId> {
        match shard {
            Some(shard) => self.ready_by_shard.get(&shard).cloned().unwrap_or_default(),
            None => self.ready_by_shard.values().flatten().copied().collect(),
        }
    }

    /// Returns the shortest estimated round trip to a ready endpoint of a shard, in nanoseconds; 0 where none
    /// is known.
    pub(super) fn shortest_round_trip_nanos(&self, shard: Option<u16>, now: Duration) -> f64 {
        let endpoints = self.serving(shard).into_iter().filter_map(|id| self.get(id));
        endpoints
            .map(|endpoint| endpoint.health.estimated_round_trip_nanos(now))
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// Marks the endpoints that a complete list does not name as removed.
    pub(super) fn remove_unlisted(&mut self, lines: &[EndpointUpdate]) {
        let listed: BTreeSet<EndpointId> = lines.iter().map(|line| line.endpoint).collect();
        for (_, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.ready = false;
            endpoint.removed = true;
        }
    }

    /// Applies a line of the endpoint list; see [`Endpoint::update`].
    pub(super) fn update(&mut self, update: &EndpointUpdate, savings: TokenBucket) {
        self.by_id.entry(update.endpoint).or_insert_with(Endpoint::newly_listed).update(update, savings);
    }

    /// Drops removed endpoints that have nothing in flight and were sent nothing for `idle_timeout`, and
    /// indexes the ready ones by shard.
    pub(super) fn prune_and_index(&mut self, now: Duration, idle_timeout: Duration) {
        self.by_id.retain(|_, endpoint| {
            !endpoint.removed || !endpoint.in_flight.is_empty() || endpoint.last_sent_at + idle_timeout > now
        });
        self.ready_by_shard.clear();
        for (id, endpoint) in self.by_id.iter().filter(|(_, endpoint)| endpoint.ready) {
            self.ready_by_shard.entry(endpoint.shard).or_default().push(*id);
        }
        self.ready_count = self.ready_by_shard.values().map(Vec::len).sum();
    }

    /// Sorts endpoints by expected wait, the shortest first; new objects go to the first one that may take
    /// them. The round trip of an endpoint decays to the mean of all as the observation ages. The seed breaks
    /// ties, so that initiators without observations do not all choose the same endpoint.
    pub(super) fn by_expected_wait(
        &self,
        endpoints: BTreeSet<EndpointId>,
        now: Duration,
        random: &SeededRandom,
    ) -> Vec<EndpointId> {
        if endpoints.len() < 2 {
            // Saves the computation of the mean, which may run over thousands of endpoints.
            return endpoints.into_iter().collect();
        }
        let mean = self.mean_round_trip_nanos();
        let wait = |endpoint: &Endpoint| {
            let health = &endpoint.health;
            let freshness = (-seconds(now - health.round_trip_updated_at) / seconds(SMOOTHING_TIME)).exp();
            let round_trip = mean + (health.round_trip_nanos - mean) * freshness;
            (round_trip * (endpoint.slots_used() + 1.0)) as u64
        };
        let known = endpoints.iter().filter_map(|id| Some((*id, self.get(*id)?)));
        let mut order: Vec<(u64, u64, EndpointId)> =
            known.map(|(id, endpoint)| (wait(endpoint), random.hash(u64::from(id)), id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Returns the mean round trip of the ready endpoints with an observed one, in nanoseconds; 0 where there
    /// is none.
    fn mean_round_trip_nanos(&self) -> f64 {
        let ready = self.by_id.values().filter(|endpoint| endpoint.ready);
        let known: Vec<f64> =
            ready.map(|endpoint| endpoint.health.round_trip_nanos).filter(|nanos| *nanos > 0.0).collect();
        known.iter().sum::<f64>() / known.len().max(1) as f64
    }
}
