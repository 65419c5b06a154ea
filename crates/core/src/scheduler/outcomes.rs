//! Ends of attempts and requests: what an outcome shows about the endpoint, retries after failures, and final
//! answers.

use super::admission::retry_after;
use super::health::HealthRules;
use super::requests::Phase;
use super::retry_policy::{may_attempt_again, may_reject};
use super::slow_start::initial_savings;
use super::Scheduler;
use crate::interface::{Action, AttemptOutcome, EndedAttempt, EndpointId, Request, RequestId};
use crate::measure::{from_nanos, nanos};

impl Scheduler {
    /// Applies the end of an attempt. Ignores one that is not in flight.
    pub(super) fn on_attempt_ended(&mut self, ended: &EndedAttempt) {
        let Some(pending) = self.requests.get_mut(&ended.request) else { return };
        let attempt = pending.attempts.get_mut(ended.number as usize).filter(|attempt| attempt.in_flight);
        let Some(attempt) = attempt else { return };
        attempt.in_flight = false;
        let sent = *attempt;
        if !ended.outcome.never_ran() && pending.may_have_run.is_none() {
            pending.may_have_run = Some(sent);
        }
        pending.reached_endpoint |= reached_endpoint(ended.outcome);
        let request = pending.request.clone();
        self.pause_key(&request, ended.outcome);
        self.remove_attempt(sent.endpoint, ended);
        self.record_endpoint_outcome(sent.endpoint, ended, request.units);
        if ended.outcome == AttemptOutcome::Served {
            if let Some(endpoint) = self.endpoints.get_mut(sent.endpoint) {
                endpoint.record_overtaken(ended.elapsed, sent.sent_at);
            }
        }
        if let Some(volume) = self.volumes.get_mut(request.volume) {
            volume.usage.record(self.now, ended, request.units, volume.plan.rate);
        }
        if ended.request_complete {
            self.close(ended.request);
        } else {
            self.retry_or_answer(ended.request);
        }
        self.remove_if_finished(ended.request);
    }

    /// In ordered classes, holds back the next requests of the key after an attempt that may still run.
    fn pause_key(&mut self, request: &Request, outcome: AttemptOutcome) {
        let may_still_run = matches!(
            outcome,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if may_still_run && self.settings.class(request.class).ordered {
            let until = self.now.saturating_add(self.settings.rules.ordering_pause);
            self.key_order.pause(request.key, until);
        }
    }

    /// Removes an attempt from its endpoint and counts it if it was lost in transit.
    fn remove_attempt(&mut self, id: EndpointId, ended: &EndedAttempt) {
        let endpoint = self.endpoints.get_mut(id);
        if endpoint.is_some_and(|endpoint| endpoint.remove_attempt(ended)) {
            self.losses.record_loss(self.now);
        }
    }

    /// Updates slow start and health of an endpoint from an ended attempt of a request of this many units.
    fn record_endpoint_outcome(&mut self, id: EndpointId, ended: &EndedAttempt, units: f64) {
        let now = self.now;
        let context = self.slow_start_context();
        let even_part_is_small = self.slow_start.even_part_is_small(&context);
        let rules = HealthRules::new(&self.settings, now);
        let Some(endpoint) = self.endpoints.get_mut(id) else { return };
        if ended.outcome == AttemptOutcome::Served {
            // What the endpoint has served in time it can serve again within the overload window, even if
            // this initiator's even part of its capacity is spent.
            if even_part_is_small && nanos(ended.elapsed) <= rules.latency_objective_nanos {
                endpoint.start.allow_follow_up(now, context.overload_window);
            }
            if endpoint.start.is_warm(now, context.duration) {
                self.slow_start.record_warm_answer(units, ended.elapsed);
            }
        }
        let hash = |number| self.random.hash(number);
        let savings = initial_savings(id, now, now.as_nanos() as u64, &context, hash);
        endpoint.record_outcome(ended, &rules, savings);
    }

    /// Continues a request after an attempt ended without completing it: queues a retry where that is
    /// allowed, else gives the final answer.
    fn retry_or_answer(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        if pending.is_answered() || pending.is_in_flight() {
            return;
        }
        let class = self.settings.class(pending.request.class);
        let deadline_passed = pending.deadline <= self.now;
        if deadline_passed || pending.streaming || !may_attempt_again(pending, &class, &self.settings) {
            self.reject_or_fail(id);
        } else {
            self.schedule_answer(id);
            self.enqueue(id);
        }
    }

    /// Gives up a request: rejects it where its client may safely send it again, else fails it.
    pub(super) fn reject_or_fail(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id).filter(|pending| !pending.is_answered()) else { return };
        let class = self.settings.class(pending.request.class);
        let rejected = may_reject(pending, &class);
        let round_trip = self.endpoints.shortest_round_trip_nanos(pending.request.shard, self.now);
        let wait = self.now.saturating_sub(pending.arrived_at) + from_nanos(round_trip);
        let retry_after = retry_after(wait, self.settings.max_retry_after, &mut self.random);
        self.actions.push(if rejected {
            Action::Reject { request: id, retry_after }
        } else {
            Action::Fail { request: id }
        });
        self.close(id);
    }

    /// Closes a request to which no answer is owed any more. Its attempts may still be in flight.
    pub(super) fn close(&mut self, id: RequestId) {
        self.dequeue(id);
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.phase = Phase::Answered;
            self.overload.record_end(self.now, pending);
            self.deadlines.remove(id);
            self.remove_if_finished(id);
        }
    }

    /// Drops a request that is answered and has nothing in flight, and lets the next request of its key run.
    fn remove_if_finished(&mut self, id: RequestId) {
        let is_finished = |id| self.requests.get(id).is_some_and(|p| p.is_answered() && !p.is_in_flight());
        if !is_finished(&id) {
            return;
        }
        let Some(pending) = self.requests.remove(&id) else { return };
        let request = &pending.request;
        if let Some(volume) = self.volumes.get_mut(request.volume).filter(|_| pending.units_drawn) {
            let may_still_arrive = !pending.reached_endpoint && pending.may_have_run.is_some();
            volume.limit.settle(self.now, request.units, may_still_arrive);
        }
        if self.settings.class(request.class).ordered && request.key != 0 {
            self.key_order.remove(request.key, id);
            self.advance_key(request.key);
        }
    }

    /// Queues the request of a key that may run now, unless it has been sent before.
    pub(super) fn advance_key(&mut self, key: u64) {
        let Some(first) = self.key_order.next(key, self.now) else { return };
        if self.requests.get(&first).is_some_and(|pending| pending.attempts.is_empty()) {
            self.enqueue(first);
        }
    }
}

/// Returns whether an attempt with this outcome reached its endpoint or ended with a broken connection, so
/// that nothing of it can arrive later.
fn reached_endpoint(outcome: AttemptOutcome) -> bool {
    !matches!(
        outcome,
        AttemptOutcome::TimedOut
            | AttemptOutcome::Cancelled
            | AttemptOutcome::ConnectFailed
            | AttemptOutcome::NotSent
    )
}
