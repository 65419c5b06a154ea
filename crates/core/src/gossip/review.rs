//! Weighs all that is known of endpoints anew: which are stopped, held back or in slow start by what peers report and by what
//! fails here.

use super::{GossipState, KnownEndpoint, KnownEndpoints, KnownStart};
use shaletack_observations::{Advice, AttemptHistory, LocalView, OBSERVATION_LIFETIME};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What changed of the advice on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceChange {
    /// Its name.
    pub id: String,
    /// The advice now.
    pub advice: Advice,
    /// It says something else than before, and not only for a longer or shorter time.
    pub news: bool,
}

/// The endpoints that there may be advice on, by name.
type Candidates<'a> = Vec<(&'a str, &'a KnownEndpoint<'a>)>;

impl GossipState {
    /// Weighs everything anew; which endpoints' advice changed. Only endpoints that somebody reports of, or that fail
    /// here, are weighed one by one: there is no advice on the others.
    pub fn review(&mut self, now: Duration, known: &KnownEndpoints) -> Vec<AdviceChange> {
        self.forget_removed(now, known);
        self.note_endpoints(now, known);
        let fresh = self.weigh_candidates(now, known);
        let old = std::mem::replace(&mut self.advice, fresh);
        self.changes(&old)
    }

    fn forget_removed(&mut self, now: Duration, known: &KnownEndpoints) {
        self.reported.expire(now, |id| known.contains_key(id));
        self.starts.retain(|id, _| known.contains_key(id.as_str()));
        self.not_ready_at
            .retain(|id, seen| known.contains_key(id.as_str()) && now <= *seen + OBSERVATION_LIFETIME);
        if !self.health.is_empty() {
            let numbers: BTreeSet<_> = known.values().map(|endpoint| endpoint.endpoint).collect();
            self.health.retain(|number, _| numbers.contains(number));
        }
    }

    /// Notes when each start was first known, and which endpoints take no work now.
    fn note_endpoints(&mut self, now: Duration, known: &KnownEndpoints) {
        for (id, endpoint) in known {
            let start_ms = endpoint.start_ms();
            if self.starts.get(*id).is_none_or(|start| start.start_ms != start_ms) {
                self.starts.insert((*id).to_owned(), KnownStart { start_ms, known_since: now });
            }
            if !endpoint.is_ready() {
                self.not_ready_at.insert((*id).to_owned(), now);
            }
        }
    }

    fn weigh_candidates(&self, now: Duration, known: &KnownEndpoints) -> BTreeMap<String, Advice> {
        let candidates = self.candidates(known);
        let mut serving = self.serving_by_shard(now, known, &candidates);
        let mut fresh = BTreeMap::new();
        for (id, endpoint) in candidates {
            // Each endpoint that is held back leaves one fewer to serve its shard.
            let others = serving.entry(endpoint.record.shard).or_default();
            let advice = Advice::from_observations(
                &self.reported,
                id,
                &self.own_view(now, id, endpoint, *others > 1),
                now,
            );
            if advice.hold_until.is_some() && advice.stop_until.is_none() && endpoint.is_ready() {
                *others -= 1;
            }
            if advice != Advice::default() {
                fresh.insert(id.to_owned(), advice);
            }
        }
        fresh
    }

    /// Endpoints that a peer reports of, or that fail here, in order of their names.
    fn candidates<'a>(&'a self, known: &'a KnownEndpoints) -> Candidates<'a> {
        let reported = self.reported.iter().filter_map(|observation| observation.claim.endpoint());
        let failing = known.iter().filter(|(_, endpoint)| self.failing_at(endpoint).is_some());
        let ids: BTreeSet<&str> = reported.chain(failing.map(|(id, _)| *id)).collect();
        ids.into_iter().filter_map(|id| Some((id, known.get(id)?))).collect()
    }

    fn failing_at(&self, endpoint: &KnownEndpoint) -> Option<Duration> {
        self.health.get(&endpoint.endpoint).and_then(AttemptHistory::failing_at)
    }

    /// How many endpoints serve each shard: those that are ready and that no report stops.
    fn serving_by_shard(
        &self,
        now: Duration,
        known: &KnownEndpoints,
        candidates: &Candidates,
    ) -> BTreeMap<u16, usize> {
        let mut serving: BTreeMap<u16, usize> = BTreeMap::new();
        for endpoint in known.values() {
            *serving.entry(endpoint.record.shard).or_default() += usize::from(endpoint.is_ready());
        }
        for (id, endpoint) in candidates.iter().filter(|(_, endpoint)| endpoint.is_ready()) {
            let advice =
                Advice::from_observations(&self.reported, id, &self.own_view(now, id, endpoint, false), now);
            if advice.stop_until.is_some() {
                *serving.entry(endpoint.record.shard).or_default() -= 1;
            }
        }
        serving
    }

    /// What this process knows of an endpoint by itself. `has_alternative`: another one can serve its shard.
    fn own_view(
        &self,
        now: Duration,
        id: &str,
        endpoint: &KnownEndpoint,
        has_alternative: bool,
    ) -> LocalView {
        LocalView {
            endpoint_incarnation: endpoint.start_ms(),
            list_confirmed_at: self.list_received_at,
            incarnation_known_since: self.starts.get(id).map_or(now, |start| start.known_since),
            last_success: self.health.get(&endpoint.endpoint).and_then(AttemptHistory::last_success),
            failing_at: self.failing_at(endpoint),
            has_alternative,
        }
    }

    fn changes(&self, old: &BTreeMap<String, Advice>) -> Vec<AdviceChange> {
        let ids: BTreeSet<&String> = old.keys().chain(self.advice.keys()).collect();
        let change = |id: &String| {
            let (before, advice) = (old.get(id).copied().unwrap_or_default(), self.advice(id));
            let news = kind_of(&before) != kind_of(&advice);
            (before != advice).then(|| AdviceChange { id: id.clone(), advice, news })
        };
        ids.into_iter().filter_map(change).collect()
    }
}

/// What a piece of advice says, apart from how long it holds.
fn kind_of(advice: &Advice) -> impl PartialEq {
    (advice.stop_until.is_some(), advice.hold_until.is_some(), advice.started_at)
}
