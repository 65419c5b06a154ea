//! What clients do: requests come in, bodies and answers are streamed, clients leave.

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
    pub(super) fn on_request(&mut self, request: &Request) {
        if self.requests.contains_key(&request.id) {
            return;
        }
        let units = if request.units.is_finite() { request.units.max(0.0) } else { 0.0 };
        let request = Request { units, ..request.clone() };
        let (id, key) = (request.id, request.key);
        self.retry_budget.record_request(self.now, &self.settings.rules);
        self.record_demand(&request);
        self.slow_start.record_request(request.shard, self.now);
        let is_ordered = self.settings.class(request.class).ordered && key != 0;
        let pending = self.pending_request(request);
        self.requests.insert(id, pending);
        self.schedule_answer(id);
        if !is_ordered || self.key_order.push(key, id, self.now) {
            self.enqueue(id);
        }
    }

    /// A client that waits less long than others of its class has spent the rest on earlier tries: its latency objective
    /// counts from the first.
    fn pending_request(&mut self, request: Request) -> PendingRequest {
        let deadline = self.now.saturating_add(request.time_remaining);
        let longest = self.longest_waits.entry(request.class).or_default();
        *longest = request.time_remaining.max(*longest);
        let spent = *longest - request.time_remaining;
        let objective = self.settings.class(request.class).latency_objective.saturating_sub(spent);
        let objective_at = self.now.saturating_add(objective).min(deadline);
        PendingRequest { request, arrived_at: self.now, objective_at, deadline, ..PendingRequest::default() }
    }

    /// A request may be sent from now on.
    pub(super) fn enqueue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.phase == Phase::Waiting)
        else {
            return;
        };
        pending.phase = Phase::Queued;
        let entry = QueueEntry { objective_at: pending.objective_at, request: id };
        self.queues.insert(pending.request.shard, pending.queue_key(), entry);
        if let Some(volume) = self.volumes.get_mut(pending.request.volume) {
            volume.queued += 1;
        }
    }

    /// A request goes out, or is given up.
    pub(super) fn dequeue(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get_mut(&id).filter(|pending| pending.is_queued()) else { return };
        pending.phase = Phase::Waiting;
        let entry = QueueEntry { objective_at: pending.objective_at, request: id };
        self.queues.remove(pending.request.shard, pending.queue_key(), entry);
        if let Some(volume) = self.volumes.get_mut(pending.request.volume) {
            volume.queued -= 1;
        }
    }

    /// Notes by when a request has to be answered; at once where no endpoint may repeat it.
    pub(super) fn schedule_answer(&mut self, id: RequestId) {
        let Some(pending) = self.requests.get(&id) else { return };
        let class = self.settings.class(pending.request.class);
        let factor = priority_factor(&self.settings, pending.request.class);
        let at = answer_by(pending, &class, factor, self.settings.connect_timeout);
        let in_flight = pending.is_in_flight();
        let at = if !in_flight && self.is_stuck(pending) { self.now } else { at };
        self.deadlines.insert(id, DeadlineGroup { in_flight, shard: pending.request.shard }, at);
    }

    /// There are endpoints that serve its shard, and it may go to none of them.
    fn is_stuck(&self, pending: &PendingRequest) -> bool {
        let serving = self.endpoints.serving(pending.request.shard);
        !serving.is_empty() && !serving.iter().any(|id| self.may_go_to(pending, *id))
    }

    /// A request that may have run goes only where its repeat does no harm.
    pub(super) fn may_go_to(&self, pending: &PendingRequest, next: EndpointId) -> bool {
        let Some(first_run) = pending.first_possible_run() else { return true };
        let (first, next) = (self.endpoints.get(first_run.endpoint), self.endpoints.get(next));
        let (Some(first), Some(next)) = (first, next) else { return false };
        repeat_is_safe_at(&self.settings.class(pending.request.class), first, next)
    }

    /// The answer is being streamed: it belongs to the client, and has no deadline.
    pub(super) fn on_response_streaming(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.streaming = true;
            self.deadlines.remove(id);
        }
    }

    /// A request whose answer has begun, or whose body is not complete yet, is no work for its endpoint.
    pub(super) fn free_slot(&mut self, id: RequestId) {
        let Some(last) = self.requests.get(&id).and_then(|pending| pending.attempts.last()) else { return };
        let Some(endpoint) = self.endpoints.get_mut(last.endpoint) else { return };
        endpoint.attempts_of(id).for_each(|attempt| attempt.needs_no_slot = true);
    }

    /// A body on its way takes as long as its client does; from its last byte on, time counts as if it came now.
    pub(super) fn on_request_body(&mut self, id: RequestId, streaming: bool) {
        self.free_slot(id);
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let (objective, remaining) = if streaming {
            (FOREVER, FOREVER)
        } else {
            let class = self.settings.class(pending.request.class);
            (class.latency_objective, pending.request.time_remaining)
        };
        pending.objective_at = self.now.saturating_add(objective);
        pending.deadline = self.now.saturating_add(remaining);
        if !streaming {
            self.restart_attempt(id, self.now);
        }
        self.schedule_answer(id);
    }

    /// The last attempt's body is complete: its endpoint begins to work on it.
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

    /// What is in flight for a client that left is work for nobody.
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
