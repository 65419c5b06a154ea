//! The review of endpoints: computes which endpoints are stopped, held back or in slow start according to the
//! reports of peers and the failures of own attempts.

use super::{GossipState, KnownEndpoint, KnownEndpoints, KnownStart};
use shaletack_observations::{Advice, AttemptHistory, LocalView, OBSERVATION_LIFETIME};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A change of the advice on one endpoint.
#[derive(Clone, Debug, PartialEq)]
pub struct AdviceChange {
    /// The endpoint's name.
    pub id: String,
    /// The advice in force.
    pub advice: Advice,
    /// Whether the advice changed in more than its duration.
    pub kind_changed: bool,
}

/// The endpoints on which there may be advice, by name.
type Candidates<'a> = Vec<(&'a str, &'a KnownEndpoint<'a>)>;

impl GossipState {
    /// Recomputes the advice on all endpoints and returns the changes.
    ///
    /// Only endpoints on which there are reports or that fail here are evaluated: there is no advice on the
    /// others.
    pub fn review(&mut self, now: Duration, known: &KnownEndpoints) -> Vec<AdviceChange> {
        self.forget_removed(now, known);
        self.record_endpoints(now, known);
        let advice = self.evaluate_candidates(now, known);
        let previous = std::mem::replace(&mut self.advice, advice);
        self.changes(&previous)
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

    /// Records when each start was first known, and which endpoints currently take no work.
    fn record_endpoints(&mut self, now: Duration, known: &KnownEndpoints) {
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

    fn evaluate_candidates(&self, now: Duration, known: &KnownEndpoints) -> BTreeMap<String, Advice> {
        let candidates = self.candidates(known);
        let mut serving = self.serving_by_shard(now, known, &candidates);
        let mut advice_by_id = BTreeMap::new();
        for (id, endpoint) in candidates {
            // Each endpoint that is held back leaves one fewer to serve its shard.
            let serving_shard = serving.entry(endpoint.record.shard).or_default();
            let advice = Advice::from_observations(
                &self.reported,
                id,
                &self.local_view(now, id, endpoint, *serving_shard > 1),
                now,
            );
            if advice.hold_until.is_some() && advice.stop_until.is_none() && endpoint.is_ready() {
                *serving_shard -= 1;
            }
            if advice != Advice::default() {
                advice_by_id.insert(id.to_owned(), advice);
            }
        }
        advice_by_id
    }

    /// Returns the endpoints on which there are reports of peers or that fail here, in the order of their
    /// names.
    fn candidates<'a>(&'a self, known: &'a KnownEndpoints) -> Candidates<'a> {
        let reported = self.reported.iter().filter_map(|observation| observation.claim.endpoint());
        let failing = known.iter().filter(|(_, endpoint)| self.failing_at(endpoint).is_some());
        let ids: BTreeSet<&str> = reported.chain(failing.map(|(id, _)| *id)).collect();
        ids.into_iter().filter_map(|id| Some((id, known.get(id)?))).collect()
    }

    fn failing_at(&self, endpoint: &KnownEndpoint) -> Option<Duration> {
        self.health.get(&endpoint.endpoint).and_then(AttemptHistory::failing_at)
    }

    /// Returns the number of endpoints that serve each shard: those that are ready and not stopped by a
    /// report.
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
            let advice = Advice::from_observations(
                &self.reported,
                id,
                &self.local_view(now, id, endpoint, false),
                now,
            );
            if advice.stop_until.is_some() {
                *serving.entry(endpoint.record.shard).or_default() -= 1;
            }
        }
        serving
    }

    /// Returns what this process knows about an endpoint without reports. `has_alternative` states whether
    /// another endpoint can serve the same shard.
    fn local_view(
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

    fn changes(&self, previous: &BTreeMap<String, Advice>) -> Vec<AdviceChange> {
        let ids: BTreeSet<&String> = previous.keys().chain(self.advice.keys()).collect();
        let change = |id: &String| {
            let (before, advice) = (previous.get(id).copied().unwrap_or_default(), self.advice(id));
            let kind_changed = kind_of(&before) != kind_of(&advice);
            (before != advice).then(|| AdviceChange { id: id.clone(), advice, kind_changed })
        };
        ids.into_iter().filter_map(change).collect()
    }
}

/// Returns the advice without its duration.
fn kind_of(advice: &Advice) -> impl PartialEq {
    (advice.stop_until.is_some(), advice.hold_until.is_some(), advice.started_at)
}
