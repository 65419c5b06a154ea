//! Dispatch: fills the free slots of endpoints with queued requests, in order of rank.

use super::admission::priority_factor;
use super::endpoints::{Endpoint, InFlightAttempt};
use super::pacing::{paced_send_at, PacingContext};
use super::queueing::ClassQueue;
use super::requests::{Attempt, PendingRequest};
use super::retry_policy::{may_attempt_again, RetryBudgetDecision};
use super::times::SMOOTHING_TIME;
use super::Scheduler;
use crate::interface::{Action, EndpointId, RequestId, VolumeId};
use crate::measure::from_nanos;
use std::cmp::Ordering;
use std::collections::BTreeSet;
use std::time::Duration;

/// Slots beyond an endpoint's window for requests with the key that the endpoint was sent last.
const SAME_KEY_EXTRA_SLOTS: f64 = 1.0;
/// How many requests of a queue are searched for the same key, or for one that fits the endpoint's capacity.
const QUEUE_SEARCH_DEPTH: usize = 64;
/// Fraction of a limit's burst that late requests leave to requests that can still be in time.
const BURST_LEFT_BY_LATE_REQUESTS: f64 = 0.5;
/// Shortest wait before a limit that lacks units is checked again.
const MIN_LIMIT_RECHECK_NANOS: f64 = 1e6;
/// Longest wait before a limit that lacks units is checked again.
const MAX_LIMIT_RECHECK_NANOS: f64 = 1e9;

/// Which queued requests are candidates for a slot of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CandidateSet {
    /// Requests with the key that the endpoint was sent last, which cost it less.
    SameKey,
    /// The first suitable request of each queue.
    FirstOfEachQueue,
}

/// A queued request that fits an endpoint.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    request: RequestId,
    /// The latency objective passes before a response can arrive.
    is_late: bool,
}

/// How a request counts for its volume. Requests of an earlier variant are sent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    /// The volume's reserve covers the request.
    WithinReserve,
    /// The volume's reserve does not cover the request.
    BeyondReserve,
    /// The request can't meet its latency objective.
    Late,
}

/// The order in which requests are sent: by level, then by virtual time of the volume.
#[derive(Clone, Copy, Debug)]
struct DispatchRank {
    level: Level,
    virtual_time: f64,
}

impl DispatchRank {
    fn compare(&self, other: &Self) -> Ordering {
        self.level.cmp(&other.level).then(self.virtual_time.total_cmp(&other.virtual_time))
    }
}

impl Scheduler {
    /// Sends queued requests to the endpoints that serve their shards, the endpoint with the shortest
    /// expected wait first, until no endpoint can take another one.
    pub(super) fn dispatch(&mut self) {
        let serving = self.queues.shards().flat_map(|shard| self.endpoints.serving(shard));
        let wanted: BTreeSet<EndpointId> = serving.collect();
        for endpoint in self.endpoints.by_expected_wait(wanted, self.now, &self.random) {
            while let Some(request) = self.next_request_for(endpoint) {
                self.send(request, endpoint);
            }
        }
    }

    /// Returns the request to send to an endpoint next, if one may be sent now.
    fn next_request_for(&mut self, id: EndpointId) -> Option<RequestId> {
        let endpoint = self.endpoints.get(id)?;
        let window = (endpoint.health.window * self.budget_share).max(1.0).floor();
        let (slots_used, held_back_until) = (endpoint.slots_used(), endpoint.health.held_back_until);
        if held_back_until > self.now {
            self.timer.wake_by(held_back_until);
            return None;
        }
        if slots_used >= window && self.settings.cancellation_allowed {
            self.cancel_late(id);
        }
        let mut next = None;
        if slots_used < window + SAME_KEY_EXTRA_SLOTS {
            next = self.first_ranked(id, CandidateSet::SameKey);
        }
        if next.is_none() && slots_used < window {
            next = self.first_ranked(id, CandidateSet::FirstOfEachQueue);
        }
        next
    }

    /// Cancels one attempt of a request that is late by a whole latency objective, where another request that
    /// can still be in time waits for the slot. An endpoint may continue a cancelled attempt, which wastes
    /// work, so attempts that are less late are left alone.
    fn cancel_late(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        let reachable = self.earliest_response_at(endpoint);
        let waits_in_time = |queue: &ClassQueue| queue.from(reachable).next().is_some();
        let queues = self.queues.of_shard(Some(endpoint.shard));
        if !queues.is_some_and(|queues| queues.values().any(waits_in_time)) {
            return;
        }
        let objective = from_nanos(self.settings.shortest_latency_objective_nanos());
        let latest = self.now.saturating_sub(objective);
        let is_late = |pending: &PendingRequest| !pending.is_answered() && pending.objective_at <= latest;
        let mut in_flight = endpoint.in_flight.iter().filter(|attempt| attempt.holds_slot());
        let late = in_flight.find(|attempt| self.requests.get(&attempt.request).is_some_and(is_late));
        let Some(InFlightAttempt { request, number, .. }) = late.cloned() else { return };
        self.actions.push(Action::Cancel { request, number });
        self.reject_or_fail(request);
    }

    /// Returns the earliest time at which a request sent now can be answered: in half a round trip.
    fn earliest_response_at(&self, endpoint: &Endpoint) -> Duration {
        self.now + from_nanos(endpoint.health.estimated_round_trip_nanos(self.now) * 0.5)
    }

    /// Returns the request that ranks first among the candidates that may be sent to an endpoint now.
    fn first_ranked(&mut self, id: EndpointId, set: CandidateSet) -> Option<RequestId> {
        let capacity = self.capacity_left(id);
        let candidates = self.candidates(self.endpoints.get(id)?, set, capacity);
        let ranked = candidates.into_iter().filter_map(|candidate| {
            let rank = self.rank(candidate, id, set)?;
            Some((rank, candidate.request))
        });
        ranked.min_by(|(a, _), (b, _)| a.compare(b)).map(|(_, request)| request)
    }

    /// Returns the queued requests of a candidate set that fit the capacity of an endpoint.
    fn candidates(&self, endpoint: &Endpoint, set: CandidateSet, capacity: f64) -> Vec<Candidate> {
        // New objects can go to any endpoint, so none go to an endpoint in slow start, whose capacity is
        // finite.
        let shards = [Some(endpoint.shard), None].into_iter().take(if capacity.is_finite() { 1 } else { 2 });
        let queues = shards.filter_map(|shard| self.queues.of_shard(shard));
        match set {
            CandidateSet::SameKey => {
                let queues = queues.filter_map(|queues| queues.get(&endpoint.last_queue));
                queues.flat_map(|queue| self.same_key(queue, endpoint, capacity)).collect()
            }
            CandidateSet::FirstOfEachQueue => {
                let queues = queues.flat_map(|queues| queues.values());
                queues.filter_map(|queue| self.first_of(queue, endpoint, capacity)).collect()
            }
        }
    }

    /// Returns the requests of a queue that can be in time and have the key that the endpoint was sent last.
    fn same_key(&self, queue: &ClassQueue, endpoint: &Endpoint, capacity: f64) -> Vec<Candidate> {
        let in_time = queue.from(self.earliest_response_at(endpoint)).take(QUEUE_SEARCH_DEPTH);
        let fits = |pending: &PendingRequest| {
            pending.request.units <= capacity && endpoint.has_last_key(&pending.request)
        };
        let same = in_time.filter(|id| self.requests.get(id).is_some_and(fits));
        same.map(|request| Candidate { request, is_late: false }).collect()
    }

    /// Returns the first request of a queue that can be in time. If there is none and the endpoint is idle,
    /// returns the first late one.
    fn first_of(&self, queue: &ClassQueue, endpoint: &Endpoint, capacity: f64) -> Option<Candidate> {
        let fits = |pending: &PendingRequest| pending.request.units <= capacity;
        let first = |from: Duration| {
            let mut requests = queue.from(from).take(QUEUE_SEARCH_DEPTH);
            requests.find(|id| self.requests.get(id).is_some_and(fits))
        };
        if let Some(request) = first(self.earliest_response_at(endpoint)) {
            return Some(Candidate { request, is_late: false });
        }
        let is_idle = endpoint.slots_used() == 0.0;
        let late = if is_idle { first(Duration::ZERO) } else { None };
        late.map(|request| Candidate { request, is_late: true })
    }

    /// Returns how a request ranks for an endpoint, or `None` where it may not be sent there now.
    fn rank(&mut self, candidate: Candidate, id: EndpointId, set: CandidateSet) -> Option<DispatchRank> {
        let now = self.now;
        let request = &self.requests.get(&candidate.request)?.request;
        let (units, class, volume_id) = (request.units, request.class, request.volume);
        let cost = self.endpoints.get(id)?.cost(request) * priority_factor(&self.settings, class);
        if !self.may_be_sent(candidate, id) {
            return None;
        }
        let max_units = self.settings.max_request_units;
        let volume = self.volumes.get_mut(volume_id)?;
        let is_reserved = volume.reserve_covers(now, units, max_units);
        let virtual_time = volume.virtual_time_after(cost);
        let level = match (candidate.is_late, is_reserved) {
            (true, _) => Level::Late,
            (false, true) => Level::WithinReserve,
            (false, false) => Level::BeyondReserve,
        };
        // The pacing weight falls with the fraction of sent units that was served: clients that leave before
        // the answer and send the request again must not gain by it.
        let served_ratio = volume.usage.served_ratio(now, max_units);
        let weight = volume.weight();
        let earned = self.earned_fraction(level, class);
        let send_at = self.paced_send_at(id, weight * earned * served_ratio.min(1.0), level, earned);
        if send_at > now && set != CandidateSet::SameKey {
            self.timer.wake_by(send_at);
            return None;
        }
        Some(DispatchRank { level, virtual_time })
    }

    /// Returns whether the retry policy, the retry budget and the volume's limit allow an attempt at an
    /// endpoint now.
    fn may_be_sent(&mut self, candidate: Candidate, id: EndpointId) -> bool {
        let Some(pending) = self.requests.get(&candidate.request) else { return false };
        let request = &pending.request;
        let (units, volume, units_drawn) = (request.units, request.volume, pending.units_drawn);
        let is_retry = !pending.attempts.is_empty();
        let may_repeat = may_attempt_again(pending, &self.settings.class(request.class), &self.settings)
            && self.may_send_to(pending, id);
        if is_retry && !(may_repeat && self.retry_budget_allows()) {
            return false;
        }
        units_drawn || self.limit_allows(volume, units, candidate.is_late)
    }

    /// Returns the fraction of its priority weight that a request of this level earns.
    fn earned_fraction(&self, level: Level, class: u16) -> f64 {
        match level {
            Level::WithinReserve => 1.0,
            Level::BeyondReserve => self.settings.within_share_weight,
            Level::Late => self.settings.class(class).late_weight,
        }
    }

    /// Returns when a request may be sent to an endpoint. A request that earns less is paced from shorter
    /// round trips on: a late one always, any other one increasingly so as the overload grows.
    fn paced_send_at(&self, id: EndpointId, weight: f64, level: Level, earned: f64) -> Duration {
        let Some(endpoint) = self.endpoints.get(id) else { return Duration::ZERO };
        let tolerance =
            if level == Level::Late { earned } else { earned.powf(self.overload.severity(self.now)) };
        let context = PacingContext {
            now: self.now,
            initiators: self.settings.initiators,
            endpoints: self.endpoints.len(),
            latency_objective_nanos: self.settings.shortest_latency_objective_nanos(),
            mean_weight: self.settings.mean_weight(),
        };
        paced_send_at(endpoint, &context, weight, tolerance)
    }

    /// Returns whether the retry budget allows a retry now; if not, wakes the scheduler when it may.
    fn retry_budget_allows(&mut self) -> bool {
        match self.retry_budget.decide(self.now, &self.settings.rules) {
            RetryBudgetDecision::Allowed => true,
            RetryBudgetDecision::Spent { until } => {
                if let Some(at) = until {
                    self.timer.wake_by(at);
                }
                false
            }
        }
    }

    /// Returns whether a volume's limit covers a request of this size now; if not, asks the volume's home for
    /// units. Late requests earn little: they leave units to requests that can be in time, and use units that
    /// would go unused.
    fn limit_allows(&mut self, id: VolumeId, units: f64, is_late: bool) -> bool {
        let Some(volume) = self.volumes.get_mut(id) else { return false };
        let own = volume.own_limit_share(self.budget_share);
        let units_to_leave =
            if is_late { BURST_LEFT_BY_LATE_REQUESTS * volume.plan.burst * own } else { 0.0 };
        let connection_lifetime = self.settings.keep_alive_timeout.max(SMOOTHING_TIME);
        let missing =
            volume.missing_units(self.now, units + units_to_leave, self.budget_share, connection_lifetime);
        if missing <= 0.0 {
            return true;
        }
        let nanos = (missing / (volume.plan.limit * own) * 1e9)
            .clamp(MIN_LIMIT_RECHECK_NANOS, MAX_LIMIT_RECHECK_NANOS);
        self.timer.wake_by(self.now + from_nanos(nanos));
        self.request_units(id);
        false
    }

    /// Sends a request to an endpoint and records the attempt.
    fn send(&mut self, id: RequestId, to: EndpointId) {
        self.dequeue(id);
        let now = self.now;
        let (Some(pending), Some(endpoint)) = (self.requests.get_mut(&id), self.endpoints.get_mut(to)) else {
            return;
        };
        if !pending.attempts.is_empty() {
            self.retry_budget.record_retry(now, &self.settings.rules);
        }
        let number = pending.attempts.len() as u8;
        pending.attempts.push(Attempt { endpoint: to, sent_at: now, in_flight: true });
        let units = pending.request.units;
        let cost = endpoint.cost(&pending.request);
        endpoint.in_flight.push(InFlightAttempt::new(id, number, now));
        endpoint.record_sent(now, units, self.settings.rules.overload_window);
        endpoint.last_key = pending.request.key;
        endpoint.last_queue = pending.queue_key();
        if let Some(volume) = self.volumes.get_mut(pending.request.volume) {
            volume.record_sent(now, units, cost);
            if !pending.units_drawn {
                volume.limit.draw(now, units);
            }
        }
        pending.units_drawn = true;
        self.schedule_answer(id);
        self.actions.push(Action::Send { request: id, endpoint: to, timeout: Duration::ZERO });
    }
}
