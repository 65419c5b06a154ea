//! Dispatch: endpoints with free slots are offered the queued requests, and the request that ranks first is sent.

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

/// A run of requests with one key may go on past the window by so many,
const RUN_BEYOND_WINDOW: f64 = 1.0;
/// and is looked for, like a request that fits the capacity, among so many of a queue.
const QUEUE_SEARCH_DEPTH: usize = 64;
/// Part of a limit's burst that late work leaves to what can be in time.
const BURST_LEFT_BY_LATE_WORK: f64 = 0.5;

/// Which requests an endpoint is offered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Offer {
    /// Those with the key that it was sent last: they cost it less.
    SameKey,
    /// The first of each queue.
    FirstOfEachQueue,
}

/// A request that may be sent.
#[derive(Clone, Copy, Debug)]
struct Candidate {
    request: RequestId,
    /// Its latency objective passes before its answer can come.
    is_late: bool,
}

/// How a request's units count for its volume; the first goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum Level {
    WithinReserve,
    BeyondReserve,
    Late,
}

/// The order in which requests are sent: by level, then by virtual time.
#[derive(Clone, Copy, Debug)]
struct Rank {
    level: Level,
    virtual_time: f64,
}

impl Rank {
    fn compare(&self, other: &Self) -> Ordering {
        self.level.cmp(&other.level).then(self.virtual_time.total_cmp(&other.virtual_time))
    }
}

impl Scheduler {
    pub(super) fn dispatch(&mut self) {
        let serving = self.queues.shards().flat_map(|shard| self.endpoints.serving(shard));
        let wanted: BTreeSet<EndpointId> = serving.collect();
        for endpoint in self.endpoints.by_expected_wait(wanted, self.now, &self.random) {
            while let Some(request) = self.next_for(endpoint) {
                self.send(request, endpoint);
            }
        }
    }

    /// What an endpoint is sent next, if anything.
    fn next_for(&mut self, id: EndpointId) -> Option<RequestId> {
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
        if slots_used < window + RUN_BEYOND_WINDOW {
            next = self.pick(id, Offer::SameKey);
        }
        if next.is_none() && slots_used < window {
            next = self.pick(id, Offer::FirstOfEachQueue);
        }
        next
    }

    /// Cancels an attempt that is late by a whole latency objective, where a request that can be in time waits for its
    /// slot. An endpoint may go on with what was cancelled, which wastes work: hence only so late.
    fn cancel_late(&mut self, id: EndpointId) {
        let Some(endpoint) = self.endpoints.get(id) else { return };
        let reachable = self.earliest_answer(endpoint);
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
        self.answer_unserved(request);
    }

    /// When the answer to what is sent now can come at the earliest: in half a round trip.
    fn earliest_answer(&self, endpoint: &Endpoint) -> Duration {
        self.now + from_nanos(endpoint.health.believed_round_trip_nanos(self.now) * 0.5)
    }

    /// The request that ranks first among those that an endpoint may be sent now.
    fn pick(&mut self, id: EndpointId, offer: Offer) -> Option<RequestId> {
        let capacity = self.capacity_left(id);
        let candidates = self.candidates(self.endpoints.get(id)?, offer, capacity);
        let ranked = candidates.into_iter().filter_map(|candidate| {
            let rank = self.rank(candidate, id, offer)?;
            Some((rank, candidate.request))
        });
        ranked.min_by(|(a, _), (b, _)| a.compare(b)).map(|(_, request)| request)
    }

    /// Queued requests that fit an endpoint's capacity, by queue.
    fn candidates(&self, endpoint: &Endpoint, offer: Offer, capacity: f64) -> Vec<Candidate> {
        // New objects can go elsewhere than to an endpoint in slow start.
        let shards = [Some(endpoint.shard), None].into_iter().take(if capacity.is_finite() { 1 } else { 2 });
        let queues = shards.filter_map(|shard| self.queues.of_shard(shard));
        match offer {
            Offer::SameKey => {
                let queues = queues.filter_map(|queues| queues.get(&endpoint.last_queue));
                queues.flat_map(|queue| self.same_key(queue, endpoint, capacity)).collect()
            }
            Offer::FirstOfEachQueue => {
                let queues = queues.flat_map(|queues| queues.values());
                queues.filter_map(|queue| self.first_of(queue, endpoint, capacity)).collect()
            }
        }
    }

    /// Requests of a queue that can be in time and have the endpoint's last key.
    fn same_key(&self, queue: &ClassQueue, endpoint: &Endpoint, capacity: f64) -> Vec<Candidate> {
        let in_time = queue.from(self.earliest_answer(endpoint)).take(QUEUE_SEARCH_DEPTH);
        let fits = |pending: &PendingRequest| {
            pending.request.units <= capacity && endpoint.has_last_key(&pending.request)
        };
        let same = in_time.filter(|id| self.requests.get(id).is_some_and(fits));
        same.map(|request| Candidate { request, is_late: false }).collect()
    }

    /// The first request of a queue that can be in time; a late one only for an idle endpoint.
    fn first_of(&self, queue: &ClassQueue, endpoint: &Endpoint, capacity: f64) -> Option<Candidate> {
        let fits = |pending: &PendingRequest| pending.request.units <= capacity;
        let first = |from: Duration| {
            let mut requests = queue.from(from).take(QUEUE_SEARCH_DEPTH);
            requests.find(|id| self.requests.get(id).is_some_and(fits))
        };
        if let Some(request) = first(self.earliest_answer(endpoint)) {
            return Some(Candidate { request, is_late: false });
        }
        let is_idle = endpoint.slots_used() == 0.0;
        let late = if is_idle { first(Duration::ZERO) } else { None };
        late.map(|request| Candidate { request, is_late: true })
    }

    /// How a request ranks for an endpoint; `None` where it may not be sent there now.
    fn rank(&mut self, candidate: Candidate, id: EndpointId, offer: Offer) -> Option<Rank> {
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
        // Clients that leave before their answers and come again must not gain by it.
        let served_ratio = volume.usage.served_ratio(now, max_units);
        let weight = volume.weight();
        let earns = self.earned_part(level, class);
        let send_at = self.paced_send_at(id, weight * earns * served_ratio.min(1.0), level, earns);
        if send_at > now && offer != Offer::SameKey {
            self.timer.wake_by(send_at);
            return None;
        }
        Some(Rank { level, virtual_time })
    }

    /// The retry policy, the retry budget and the volume's limit allow an attempt at an endpoint now.
    fn may_be_sent(&mut self, candidate: Candidate, id: EndpointId) -> bool {
        let Some(pending) = self.requests.get(&candidate.request) else { return false };
        let request = &pending.request;
        let (units, volume, units_drawn) = (request.units, request.volume, pending.units_drawn);
        let is_retry = !pending.attempts.is_empty();
        let may_repeat = may_attempt_again(pending, &self.settings.class(request.class), &self.settings)
            && self.may_go_to(pending, id);
        if is_retry && !(may_repeat && self.retry_budget_allows()) {
            return false;
        }
        units_drawn || self.limit_allows(volume, units, candidate.is_late)
    }

    /// The part of its priority weight that a request of this level earns.
    fn earned_part(&self, level: Level, class: u16) -> f64 {
        match level {
            Level::WithinReserve => 1.0,
            Level::BeyondReserve => self.settings.within_share_weight,
            Level::Late => self.settings.class(class).late_weight,
        }
    }

    /// When a request may be sent to an endpoint. Work that earns less yields from shorter round trips on: late work
    /// always, other work the more requests end late here.
    fn paced_send_at(&self, id: EndpointId, weight: f64, level: Level, earns: f64) -> Duration {
        let Some(endpoint) = self.endpoints.get(id) else { return Duration::ZERO };
        let tolerance =
            if level == Level::Late { earns } else { earns.powf(self.overload.severity(self.now)) };
        let context = PacingContext {
            now: self.now,
            initiators: self.settings.initiators,
            endpoints: self.endpoints.len(),
            latency_objective_nanos: self.settings.shortest_latency_objective_nanos(),
            mean_weight: self.settings.mean_weight(),
        };
        paced_send_at(endpoint, &context, weight, tolerance)
    }

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

    /// A volume's limit covers a request of this size now. Late work earns little: it leaves units to what can be in
    /// time, and goes where the bucket would fill unused.
    fn limit_allows(&mut self, id: VolumeId, units: f64, is_late: bool) -> bool {
        let Some(volume) = self.volumes.get_mut(id) else { return false };
        let own = volume.own_limit_share(self.budget_share);
        let left = if is_late { BURST_LEFT_BY_LATE_WORK * volume.plan.burst * own } else { 0.0 };
        let connection_lifetime = self.settings.keep_alive_timeout.max(SMOOTHING_TIME);
        let missing = volume.missing_units(self.now, units + left, self.budget_share, connection_lifetime);
        if missing <= 0.0 {
            return true;
        }
        let nanos = (missing / (volume.plan.limit * own) * 1e9).clamp(1e6, 1e9);
        self.timer.wake_by(self.now + from_nanos(nanos));
        self.request_units(id);
        false
    }

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
