//! Client events: new requests, streamed request bodies and responses, and clients that leave.

use super::admission::priority_factor;
use super::deadlines::{answer_by, DeadlineGroup};
use super::queueing::QueueEntry;
use super::requests::{PendingRequest, Phase};
use super::retry_policy::repeat_is_safe_at;
use super::times::FOREVER;
use super::Scheduler;
use crate::interface::{Action, EndpointId, Request, RequestId};
use std::time::Duration;

impl Scheduler {
    /// Takes a new request. Ignores one whose id is already known.
    pub(super) fn on_request(&mut self, request: &Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let units = if request.units.is_finite() { request.units.max(0.0) } else { 0.0 };
        let request = Request { units, ..request.clone() };
        let (id, key) = (request.id, request.key);
        self.retry_budget.record_request(self.now, &self.settings.rules);
        let has_room = self.volumes.make_room_for(request.volume, self.settings.max_volumes);
        if has_room {
            self.record_demand(&request);
        }
        self.slow_start.record_request(request.shard, self.now);
        let is_ordered = self.settings.class(request.class).ordered && key != 0;
        let pending = self.pending_request(request);
        self.requests.insert(id, pending);
        if !has_room {
            return self.reject_or_fail(id);
        }
        self.schedule_answer(id);
        if !is_ordered || self.key_order.push(key, id, self.now) {
            self.enqueue(id);
        }
    }

    /// Creates the state of a new request. A client with less time remaining than the longest seen in its
    /// class is taken to have spent the difference on earlier attempts: the latency objective counts from the
    /// first of those.
    fn pending_request(&mut self, request: Request) -> PendingRequest {
        let deadline = self.now.saturating_add(request.time_remaining);
        let longest = self.longest_time_remaining.entry(request.class).or_default();
        *longest = request.time_remaining.max(*longest);
        let spent = *longest - request.time_remaining;
        let objective = self.settings.class(request.class).latency_objective.saturating_sub(spent);
        let objective_at = self.now.saturating_add(objective).min(deadline);
        PendingRequest { request, arrived_at: self.now, objective_at, deadline, ..PendingRequest::default() }
    }

    /// Queues a request for dispatch, unless it is queued already or answered.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.phase == Phase::NotQueued)
        else {
            return;
        };
        pending.phase = Phase::Queued;
        let entry = QueueEntry { objective_at: pending.objective_at, request: id };
        self.queues.insert(pending.request.shard, pending.queue_key(), entry);
        self.volumes.request_queued(pending.request.volume);
    }

    /// Takes a request off its queue, because it is sent or closed.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.is_queued()) else { return };
        pending.phase = Phase::NotQueued;
        let entry = QueueEntry { objective_at: pending.objective_at, request: id };
        self.queues.remove(pending.request.shard, pending.queue_key(), entry);
        self.volumes.request_dequeued(pending.request.volume);
    }

    /// Sets the time by which a request needs its final answer. The answer is due at once if nothing of the
    /// request is in flight and none of the endpoints that serve its shard may repeat it.
    pub(super) fn schedule_answer(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = self.settings.class(pending.request.class);
        let factor = priority_factor(&self.settings, pending.request.class);
        let at = answer_by(pending, &class, factor, self.settings.connect_timeout);
        let in_flight = pending.is_in_flight();
        let at = if !in_flight && self.is_unroutable(pending) { self.now } else { at };
        self.deadlines.insert(id, DeadlineGroup { in_flight, shard: pending.request.shard }, at);
    }

    /// Returns whether endpoints serve the shard of a request, but the request may be sent to none of them.
    /// Where no endpoint serves the shard at all, the request waits for one.
    fn is_unroutable(&self, pending: &PendingRequest) -> bool {
        let serving = self.endpoints.serving(pending.request.shard);
        !serving.is_empty() && !serving.iter().any(|id| self.may_send_to(pending, *id))
    }

    /// Returns whether a request may be sent to an endpoint. One that may have run goes only where a repeat
    /// is safe.
    pub(super) fn may_send_to(&self, pending: &PendingRequest, next: EndpointId) -> bool {
        let Some(first_run) = pending.first_possible_run() else { return true };
        let (first, next) = (self.endpoints.get(first_run.endpoint), self.endpoints.get(next));
        let (Some(first), Some(next)) = (first, next) else { return false };
        let request = &pending.request;
        repeat_is_safe_at(request, &self.settings.class(request.class), first, next)
    }

    /// Removes the deadline of a request whose response is being streamed to its client.
    pub(super) fn on_response_streaming(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.streaming = true;
            self.deadlines.remove(id);
        }
    }

    /// Frees the slots that a request holds at the endpoint of its last attempt: an endpoint does no work for
    /// a request whose response has begun or whose body is incomplete.
    pub(super) fn free_slot(&mut self, id: RequestId) {
        let Some(last) = self.requests.get(&id).and_then(|pending| pending.attempts.last()) else { return };
        let Some(endpoint) = self.endpoints.get_mut(last.endpoint) else { return };
        endpoint.attempts_of(id).for_each(|attempt| attempt.needs_no_slot = true);
    }

    /// Suspends the deadline and the latency objective of a request while its body is being sent. After the
    /// last byte both restart, as if the request had just arrived. [`Self::on_client_time`] sets both by what
    /// is known of the client.
    pub(super) fn on_request_body(&mut self, id: RequestId, is_streaming: bool) {
        self.free_slot(id);
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let (objective, remaining) = if is_streaming {
            (FOREVER, FOREVER)
        } else {
            let class = self.settings.class(pending.request.class);
            (class.latency_objective, pending.request.time_remaining)
        };
        pending.objective_at = self.now.saturating_add(objective);
        pending.deadline = self.now.saturating_add(remaining);
        if !is_streaming {
            self.restart_attempt(id, self.now);
        }
        self.schedule_answer(id);
    }

    /// Sets the deadline and the latency objective of a request whose body is streamed by the time that its
    /// client still waits. `None` suspends both.
    pub(super) fn on_client_time(&mut self, id: RequestId, remaining: Option<Duration>) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| !pending.is_queued()) else { return };
        let class = self.settings.class(pending.request.class);
        let (objective, remaining) = match remaining {
            None => (FOREVER, FOREVER),
            Some(remaining) => {
                let waited = pending.request.time_remaining.saturating_sub(remaining);
                (class.latency_objective.saturating_sub(waited), remaining)
            }
        };
        pending.objective_at = self.now.saturating_add(objective);
        pending.deadline = self.now.saturating_add(remaining);
        self.schedule_answer(id);
    }

    /// Restarts the clock of the last attempt once its body is complete: only now does the endpoint work on
    /// it.
    fn restart_attempt(&mut self, id: RequestId, now: Duration) {
        let Some(last) = self.requests.get_mut(&id).and_then(|pending| pending.attempts.last_mut()) else {
            return;
        };
        last.sent_at = now;
        let Some(endpoint) = self.endpoints.get_mut(last.endpoint) else { return };
        for attempt in endpoint.attempts_of(id) {
            attempt.sent_at = now;
            attempt.needs_no_slot = false;
        }
    }

    /// Closes a request whose client has left. Cancels its attempts where that is allowed, unless the
    /// response is being streamed.
    pub(super) fn on_client_left(&mut self, id: RequestId) {
        let may_cancel = self.settings.cancellation_allowed;
        if let Some(pending) = self.requests.get(&id).filter(|pending| may_cancel && !pending.streaming) {
            let attempts = pending.attempts.iter().enumerate();
            let in_flight = attempts.filter(|(_, attempt)| attempt.in_flight);
            let cancel = |number: usize| Action::Cancel { request: id, number: number as u8 };
            self.actions.extend(in_flight.map(|(number, _)| cancel(number)));
        }
        self.close(id);
    }
}
