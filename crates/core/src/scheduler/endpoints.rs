//! Endpoints: which there are, which shards they serve, and what is in flight to each.

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

/// Part of its units that a request costs an endpoint which has just taken the same key.
const REPEATED_KEY_COST: f64 = 0.5;

/// An attempt whose outcome is still to come.
#[derive(Clone, Debug)]
pub(super) struct InFlightAttempt {
    pub(super) request: RequestId,
    pub(super) number: u8,
    pub(super) sent_at: Duration,
    /// How many that were sent after it were answered before it.
    pub(super) overtaken_by: u32,
    /// It is taken for lost on the way.
    pub(super) presumed_lost: bool,
    /// The endpoint doesn't work on it: its answer has begun, or its body is not complete yet.
    pub(super) needs_no_slot: bool,
}

impl InFlightAttempt {
    pub(super) fn new(request: RequestId, number: u8, sent_at: Duration) -> Self {
        let (presumed_lost, needs_no_slot) = (false, false);
        InFlightAttempt { request, number, sent_at, overtaken_by: 0, presumed_lost, needs_no_slot }
    }

    /// It counts against the endpoint's window.
    pub(super) fn holds_slot(&self) -> bool {
        !self.presumed_lost && !self.needs_no_slot
    }
}

/// One endpoint as this initiator knows it.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Endpoint {
    pub(super) zone: u16,
    pub(super) shard: u16,
    /// It takes new work.
    pub(super) ready: bool,
    /// The endpoint list has it no more.
    #[serde(rename = "gone")]
    pub(super) removed: bool,
    #[serde(flatten)]
    pub(super) start: EndpointStart,
    #[serde(flatten)]
    pub(super) health: EndpointHealth,
    #[serde(skip)]
    pub(super) in_flight: Vec<InFlightAttempt>,
    /// When it was last sent something.
    #[serde(rename = "sent_at")]
    pub(super) last_sent_at: Duration,
    pub(super) last_key: u64,
    #[serde(rename = "last_lane")]
    pub(super) last_queue: QueueKey,
}

impl Endpoint {
    /// One that was not known before.
    fn first_listed() -> Self {
        Endpoint { health: EndpointHealth::new(), ..Endpoint::default() }
    }

    /// A request has the key that it was sent last.
    pub(super) fn has_last_key(&self, request: &Request) -> bool {
        request.key != 0 && request.key == self.last_key
    }

    /// What a request costs it, in units.
    pub(super) fn cost(&self, request: &Request) -> f64 {
        request.units * if self.has_last_key(request) { REPEATED_KEY_COST } else { 1.0 }
    }

    /// How many attempts count against its window.
    pub(super) fn slots_used(&self) -> f64 {
        self.in_flight.iter().filter(|attempt| attempt.holds_slot()).count() as f64
    }

    /// The attempts of one request that are in flight here.
    pub(super) fn attempts_of(&mut self, id: RequestId) -> impl Iterator<Item = &mut InFlightAttempt> {
        self.in_flight.iter_mut().filter(move |attempt| attempt.request == id)
    }

    /// Takes a line of the endpoint list; `savings` is what is saved for it if it has just started.
    fn update(&mut self, update: &EndpointUpdate, savings: TokenBucket) {
        self.zone = update.zone;
        self.shard = update.shard;
        self.ready = update.readiness == Readiness::Ready;
        self.removed = update.readiness == Readiness::Removed;
        let started_again = self.start.listed_at.is_none_or(|listed| update.started_at > listed);
        if !update.started_at.is_zero() && started_again {
            self.start.listed(update.started_at, savings);
            self.health.restarted();
        }
    }
}

/// All endpoints of the list, and those removed of late.
#[derive(Clone, Debug, Default)]
pub(super) struct Endpoints {
    by_id: BTreeMap<EndpointId, Endpoint>,
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

    /// How many there are, with those removed of late.
    pub(super) fn len(&self) -> usize {
        self.by_id.len()
    }

    /// How many take new work.
    pub(super) fn ready_count(&self) -> usize {
        self.ready_count
    }

    /// The ready endpoints that may serve a shard; a new object (`None`) may go to any.
    pub(super) fn serving(&self, shard: Option<u16>) -> Vec<EndpointId> {
        match shard {
            Some(shard) => self.ready_by_shard.get(&shard).cloned().unwrap_or_default(),
            None => self.ready_by_shard.values().flatten().copied().collect(),
        }
    }

    /// The shortest round trip, as believed now, to a ready endpoint of a shard, in nanoseconds; 0 where none is known.
    pub(super) fn shortest_round_trip_nanos(&self, shard: Option<u16>, now: Duration) -> f64 {
        let endpoints = self.serving(shard).into_iter().filter_map(|id| self.get(id));
        endpoints
            .map(|endpoint| endpoint.health.believed_round_trip_nanos(now))
            .reduce(f64::min)
            .unwrap_or(0.0)
    }

    /// Those that a complete list does not name are removed.
    pub(super) fn remove_unlisted(&mut self, lines: &[EndpointUpdate]) {
        let listed: BTreeSet<EndpointId> = lines.iter().map(|line| line.endpoint).collect();
        for (_, endpoint) in self.by_id.iter_mut().filter(|(id, _)| !listed.contains(id)) {
            endpoint.ready = false;
            endpoint.removed = true;
        }
    }

    /// Takes a line of the endpoint list; `savings` is what is saved for an endpoint that has just started.
    pub(super) fn update(&mut self, update: &EndpointUpdate, savings: TokenBucket) {
        self.by_id.entry(update.endpoint).or_insert_with(Endpoint::first_listed).update(update, savings);
    }

    /// Forgets removed endpoints with nothing in flight that were sent nothing for `quiet_for`, and indexes the rest.
    pub(super) fn index(&mut self, now: Duration, quiet_for: Duration) {
        self.by_id.retain(|_, endpoint| {
            !endpoint.removed || !endpoint.in_flight.is_empty() || endpoint.last_sent_at + quiet_for > now
        });
        self.ready_by_shard.clear();
        for (id, endpoint) in self.by_id.iter().filter(|(_, endpoint)| endpoint.ready) {
            self.ready_by_shard.entry(endpoint.shard).or_default().push(*id);
        }
        self.ready_count = self.ready_by_shard.values().map(Vec::len).sum();
    }

    /// Endpoints by their expected wait, the least first: new objects go to the first that may take them. What was
    /// observed long ago counts as the mean. Ties fall by the seed: initiators that know nothing must not all choose
    /// the same endpoint.
    pub(super) fn by_expected_wait(
        &self,
        wanted: BTreeSet<EndpointId>,
        now: Duration,
        random: &SeededRandom,
    ) -> Vec<EndpointId> {
        if wanted.len() < 2 {
            return wanted.into_iter().collect(); // The mean over thousands of endpoints is not free.
        }
        let mean = self.mean_round_trip_nanos();
        let wait = |endpoint: &Endpoint| {
            let health = &endpoint.health;
            let freshness = (-seconds(now - health.answered_at) / seconds(SMOOTHING_TIME)).exp();
            let round_trip = mean + (health.round_trip_nanos - mean) * freshness;
            (round_trip * (endpoint.slots_used() + 1.0)) as u64
        };
        let known = wanted.iter().filter_map(|id| Some((*id, self.get(*id)?)));
        let mut order: Vec<(u64, u64, EndpointId)> =
            known.map(|(id, endpoint)| (wait(endpoint), random.hash(u64::from(id)), id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// The mean round trip of ready endpoints that have answered.
    fn mean_round_trip_nanos(&self) -> f64 {
        let ready = self.by_id.values().filter(|endpoint| endpoint.ready);
        let known: Vec<f64> =
            ready.map(|endpoint| endpoint.health.round_trip_nanos).filter(|nanos| *nanos > 0.0).collect();
        known.iter().sum::<f64>() / known.len().max(1) as f64
    }
}
