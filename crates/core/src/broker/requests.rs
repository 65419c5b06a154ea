//! Open requests and attempts in flight: their deadlines, the outcome of each attempt, the final answer to
//! each request, and the withdrawal of attempts that have not been written yet.

use super::effect::{Answer, Effect, Rejection};
use super::input::{AttemptId, AttemptProgress, AttemptResult, IncomingRequest};
use super::step::Step;
use crate::counters::Counters;
use crate::interface::{AttemptOutcome, EndedAttempt, EndpointId, Event, LoadReport, Request, RequestId};
use crate::outcome::TransportOutcome;
use bytes::Bytes;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

/// The final answer is given at the latest this long before the client stops waiting, so that the answer
/// reaches the client in time.
const RESPONSE_MARGIN: Duration = Duration::from_millis(10);
/// The retry-after time in the rejection of a request that never ran and whose body cannot be sent again. A
/// shorter [`max_retry_after`](crate::interface::Settings::max_retry_after) takes its place.
const UNREPEATABLE_RETRY_AFTER: Duration = Duration::from_millis(100);

/// A request without a final answer.
#[derive(Debug)]
struct OpenRequest {
    class: u16,
    units: f64,
    /// The latest time of the final answer; `Duration::MAX` while the client is known to be still sending.
    deadline: Duration,
    /// The earliest time at which the client can have sent the last byte; `None` while it is known to be
    /// still sending.
    client_done_at: Option<Duration>,
    /// How long the client still waited when the request arrived, less [`RESPONSE_MARGIN`].
    time_remaining: Duration,
    /// The number of attempts started, which is also the number of the next attempt.
    attempts_started: u8,
    /// Whether an attempt has ended that may have run.
    may_have_run: bool,
}

impl OpenRequest {
    /// Sets the deadline of the request and of its attempt: a client's time counts from the last byte that it
    /// sent, whenever that byte is read and forwarded.
    fn apply_client_time(&mut self, id: RequestId, attempt: &mut InFlightAttempt, step: &mut Step) {
        let deadline = self.client_done_at.map(|done_at| done_at.saturating_add(self.time_remaining));
        self.deadline = deadline.unwrap_or(Duration::MAX);
        attempt.deadline = self.deadline;
        let remaining = deadline.map(|deadline| deadline.saturating_sub(step.now));
        step.events.push(Event::ClientTime { request: id, remaining });
    }
}

/// An attempt without an outcome.
#[derive(Debug)]
struct InFlightAttempt {
    endpoint: EndpointId,
    /// When the attempt was sent, or when the streaming of its body last began or ended.
    sent_at: Duration,
    /// When the attempt times out; `Duration::MAX` while its client is known to be still sending.
    deadline: Duration,
    response_started_at: Option<Duration>,
    /// Whether the body is being sent as the client sends it.
    body_streaming: bool,
    /// Whether the writing of the request has begun, so that the endpoint may have received it.
    write_started: bool,
}

impl InFlightAttempt {
    /// Returns the end of the attempt's round trip: the start of the response, or `now` if no response has
    /// begun. A response that has begun but ends late says nothing about the endpoint's latency.
    fn round_trip_end(&self, now: Duration) -> Duration {
        self.response_started_at.unwrap_or(now)
    }
}

/// All open requests, all attempts in flight, and the counters of both.
#[derive(Debug)]
pub(super) struct Requests {
    open: BTreeMap<RequestId, OpenRequest>,
    in_flight: BTreeMap<AttemptId, InFlightAttempt>,
    pub(super) counters: Counters,
}

impl Requests {
    pub(super) fn new(counters: Counters) -> Self {
        Requests { open: BTreeMap::new(), in_flight: BTreeMap::new(), counters }
    }

    /// Returns the number of requests without a final answer.
    pub(super) fn open_count(&self) -> usize {
        self.open.len()
    }

    /// Returns when the next attempt times out; `None` while no attempt has a deadline.
    pub(super) fn next_deadline(&self) -> Option<Duration> {
        let deadlines = self.in_flight.values().map(|attempt| attempt.deadline);
        deadlines.filter(|deadline| *deadline < Duration::MAX).min()
    }

    /// Adds a new request. Does nothing if a request with this id is already open.
    pub(super) fn arrived(&mut self, id: RequestId, request: IncomingRequest, step: &mut Step) {
        if self.open.contains_key(&id) {
            return;
        }
        let time_remaining = request.time_remaining.saturating_sub(RESPONSE_MARGIN);
        let open = OpenRequest {
            class: request.class,
            units: request.units,
            deadline: step.now.saturating_add(time_remaining),
            client_done_at: Some(step.now),
            time_remaining,
            attempts_started: 0,
            may_have_run: false,
        };
        self.open.insert(id, open);
        self.counters.count(request.class, |counters| counters.taken += 1);
        step.events.push(Event::Request(Request {
            id,
            class: request.class,
            volume: request.volume,
            plan: request.plan,
            initiators: request.initiators,
            key: request.key,
            shard: request.shard,
            units: request.units,
            time_remaining,
            client_retry: request.client_retry,
            at_most_once: request.at_most_once,
        }));
    }

    /// Closes a request whose client left: no answer is owed any more.
    pub(super) fn client_left(&mut self, id: RequestId, step: &mut Step) {
        if let Some(open) = self.open.remove(&id) {
            self.counters.count(open.class, |counters| counters.client_left += 1);
            step.events.push(Event::ClientLeft(id));
        }
    }

    /// Answers a request as rejected. Does nothing if it is no longer open.
    pub(super) fn reject(&mut self, request: RequestId, retry_after: Duration, step: &mut Step) {
        let Some(open) = self.open.remove(&request) else { return };
        self.counters.count(open.class, |counters| counters.rejected += 1);
        let may_have_run = open.may_have_run || self.may_still_run(request);
        let rejection = Rejection { retry_after, may_have_run };
        step.effects.push(Effect::Respond { request, answer: Answer::Rejected(rejection) });
    }

    /// Returns whether an endpoint may have received an attempt of a request that is in flight.
    fn may_still_run(&self, request: RequestId) -> bool {
        let attempts = AttemptId::new(request, 0)..=AttemptId::new(request, u8::MAX);
        self.in_flight.range(attempts).any(|(_, attempt)| attempt.write_started)
    }

    /// Answers a request as failed. Does nothing if it is no longer open.
    pub(super) fn fail(&mut self, request: RequestId, step: &mut Step) {
        let Some(open) = self.open.remove(&request) else { return };
        self.counters.count(open.class, |counters| counters.failed += 1);
        step.effects.push(Effect::Respond { request, answer: Answer::Failed });
    }

    /// Answers a request with the endpoint's response. Does nothing if it is no longer open.
    fn serve(&mut self, request: RequestId, body: Bytes, step: &mut Step) {
        let Some(open) = self.open.remove(&request) else { return };
        self.counters.count(open.class, |counters| {
            counters.served += 1;
            counters.units += open.units;
        });
        step.effects.push(Effect::Respond { request, answer: Answer::Served(body) });
    }

    /// Starts the next attempt of a request. If `timeout` is zero, the attempt times out only at the deadline
    /// of the request. If the address of the endpoint is no longer known, the attempt ends at once as not
    /// sent.
    pub(super) fn start_attempt(
        &mut self,
        request: RequestId,
        endpoint: EndpointId,
        timeout: Duration,
        address: Option<SocketAddr>,
        step: &mut Step,
    ) {
        let Some(open) = self.open.get_mut(&request) else { return };
        let attempt = AttemptId { request, number: open.attempts_started };
        open.attempts_started = open.attempts_started.saturating_add(1);
        let deadline = match timeout.is_zero() {
            true => open.deadline,
            false => open.deadline.min(step.now.saturating_add(timeout)),
        };
        let in_flight = InFlightAttempt {
            endpoint,
            sent_at: step.now,
            deadline,
            response_started_at: None,
            body_streaming: false,
            write_started: false,
        };
        let Some(to) = address else {
            let outcome = TransportOutcome::NoAddress.attempt_outcome();
            let ended = self.ended_attempt(attempt, &in_flight, outcome, step.now);
            step.events.push(Event::AttemptEnded(ended));
            return;
        };
        self.in_flight.insert(attempt, in_flight);
        let timeout = deadline.saturating_sub(step.now);
        step.effects.push(Effect::StartAttempt { attempt, to, timeout });
    }

    /// Records the progress of an attempt.
    pub(super) fn progressed(&mut self, id: AttemptId, progress: AttemptProgress, step: &mut Step) {
        let Some(attempt) = self.in_flight.get_mut(&id) else { return };
        let Some(open) = self.open.get_mut(&id.request) else { return };
        match progress {
            AttemptProgress::WriteStarted => attempt.write_started = true,
            AttemptProgress::ResponseStarted => {
                attempt.response_started_at = Some(step.now);
                step.events.push(Event::ResponseStarted(id.request));
            }
            AttemptProgress::BodyStreaming | AttemptProgress::BodySent => {
                attempt.body_streaming = progress == AttemptProgress::BodyStreaming;
                attempt.sent_at = step.now;
                if !attempt.body_streaming {
                    // Until now the client was sending.
                    open.client_done_at.get_or_insert(step.now);
                }
                let streaming = attempt.body_streaming;
                step.events.push(Event::RequestBody { request: id.request, streaming });
                open.apply_client_time(id.request, attempt, step);
            }
            AttemptProgress::ClientSending => {
                open.client_done_at = None;
                open.apply_client_time(id.request, attempt, step);
            }
            AttemptProgress::ClientMayBeDone => {
                open.client_done_at = Some(step.now);
                open.apply_client_time(id.request, attempt, step);
            }
        }
    }

    /// Handles the result of an attempt. `max_retry_after` is the longest retry-after time that a client
    /// follows; 0: not stated.
    pub(super) fn ended(
        &mut self,
        id: AttemptId,
        result: AttemptResult,
        max_retry_after: Duration,
        step: &mut Step,
    ) {
        self.finish_body(id, step);
        // An attempt that was aborted already has its outcome.
        let Some(attempt) = self.in_flight.remove(&id) else { return };
        self.counters.count_attempt(result.transport);
        let outcome = result.transport.attempt_outcome();
        if outcome == AttemptOutcome::Served {
            self.serve(id.request, result.body, step);
        }
        self.record_outcome(id.request, outcome);
        if result.body_consumed {
            self.end_unrepeatable(id.request, max_retry_after, step);
        }
        let ended = self.ended_attempt(id, &attempt, outcome, attempt.round_trip_end(step.now));
        step.events.push(Event::AttemptEnded(EndedAttempt {
            volume_usage: result.volume_usage,
            units_elsewhere: result.units_elsewhere,
            ..ended
        }));
    }

    /// Gives a request that cannot be sent again its final answer. The request is rejected if none of its
    /// attempts can have run, else failed. Does nothing if the request is already answered.
    fn end_unrepeatable(&mut self, request: RequestId, max_retry_after: Duration, step: &mut Step) {
        let Some(open) = self.open.get(&request) else { return };
        if open.may_have_run {
            return self.fail(request, step);
        }
        let retry_after = match max_retry_after.is_zero() {
            true => UNREPEATABLE_RETRY_AFTER,
            false => UNREPEATABLE_RETRY_AFTER.min(max_retry_after),
        };
        self.reject(request, retry_after, step);
    }

    /// Aborts the attempts whose deadline has passed.
    pub(super) fn time_out_attempts(&mut self, step: &mut Step) {
        for id in self.attempts_where(|_, attempt| attempt.deadline <= step.now) {
            self.abort(id, TransportOutcome::TimedOut, step);
        }
    }

    /// Withdraws the unwritten attempts of requests that are no longer open. An unwritten attempt may be
    /// withdrawn even if the settings do not allow the cancellation of attempts that were sent.
    pub(super) fn withdraw_unwanted(&mut self, step: &mut Step) {
        let unwanted = |id: &AttemptId| !self.open.contains_key(&id.request);
        for id in self.attempts_where(|id, attempt| !attempt.write_started && unwanted(id)) {
            self.withdraw(id, step);
        }
    }

    /// Withdraws the unwritten attempts to endpoints that take nothing new. An attempt that waits for a
    /// connection would otherwise be written when the connection is established, which may be later than the
    /// settings allow sends to such an endpoint.
    pub(super) fn withdraw_from(&mut self, unavailable: impl Fn(EndpointId) -> bool, step: &mut Step) {
        for id in self.attempts_where(|_, attempt| !attempt.write_started && unavailable(attempt.endpoint)) {
            self.withdraw(id, step);
        }
    }

    fn withdraw(&mut self, id: AttemptId, step: &mut Step) {
        self.finish_body(id, step);
        self.abort(id, TransportOutcome::Withdrawn, step);
    }

    /// Ends an attempt from this side, without a result from its endpoint. `transport` becomes its outcome.
    pub(super) fn abort(&mut self, id: AttemptId, transport: TransportOutcome, step: &mut Step) {
        let Some(attempt) = self.in_flight.remove(&id) else { return };
        self.counters.count_attempt(transport);
        step.effects.push(Effect::AbortAttempt(id));
        let outcome = transport.attempt_outcome();
        self.record_outcome(id.request, outcome);
        let ended = self.ended_attempt(id, &attempt, outcome, attempt.round_trip_end(step.now));
        step.events.push(Event::AttemptEnded(ended));
    }

    /// Records whether an ended attempt may have run, if its request is still open.
    fn record_outcome(&mut self, request: RequestId, outcome: AttemptOutcome) {
        if let Some(open) = self.open.get_mut(&request) {
            open.may_have_run |= !outcome.never_ran();
        }
    }

    /// If the body of an attempt that ends is still streaming, ends the streaming.
    fn finish_body(&mut self, id: AttemptId, step: &mut Step) {
        if self.in_flight.get(&id).is_some_and(|attempt| attempt.body_streaming) {
            self.progressed(id, AttemptProgress::BodySent, step);
        }
    }

    /// Returns the ids of the attempts in flight that `wanted` selects.
    fn attempts_where(&self, wanted: impl Fn(&AttemptId, &InFlightAttempt) -> bool) -> Vec<AttemptId> {
        self.in_flight.iter().filter(|(id, attempt)| wanted(id, attempt)).map(|(id, _)| *id).collect()
    }

    /// Describes the end of an attempt to the scheduler, without the reports that a response may carry.
    fn ended_attempt(
        &self,
        id: AttemptId,
        attempt: &InFlightAttempt,
        outcome: AttemptOutcome,
        ended_at: Duration,
    ) -> EndedAttempt {
        EndedAttempt {
            request: id.request,
            number: id.number,
            endpoint: attempt.endpoint,
            outcome,
            elapsed: ended_at.saturating_sub(attempt.sent_at),
            request_complete: !self.open.contains_key(&id.request),
            volume_usage: None,
            units_elsewhere: 0.0,
            load_report: LoadReport::default(),
        }
    }
}
