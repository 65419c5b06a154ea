//! Outlier detection: what answers, time-outs and broken connections say of an endpoint, how many requests it may have in
//! flight from here, and how long it is held back.

use super::endpoints::Endpoint;
use super::times::{FOREVER, SECOND, SMOOTHING_TIME};
use crate::interface::{AttemptOutcome, EndedAttempt, Settings};
use crate::measure::{backoff, from_nanos, nanos, seconds, TokenBucket};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most attempts in flight from one initiator; more only move the queue to the endpoint.
const MAX_WINDOW: f64 = 2.0;
/// The window halves once round trips take this part of the shortest latency objective.
const SLOW_ANSWER: f64 = 0.2;
/// An answer moves the smoothed round trip by at least this part of the difference.
const MIN_ROUND_TRIP_GAIN: f64 = 0.2;
/// First pause after an endpoint could not be reached.
const FIRST_HOLD: Duration = Duration::from_millis(100);
/// Longest pause after an endpoint could not be reached.
const MAX_HOLD: Duration = Duration::from_secs(2);
/// Shortest pause after an endpoint rejected an attempt.
const MIN_HOLD_AFTER_REJECTION_NANOS: f64 = 1e7;
/// Failures in a row are counted up to this.
const MAX_COUNTED: u32 = 8;

/// What the judgement of attempts goes by, beside the endpoint itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthRules {
    pub(super) now: Duration,
    /// The shortest latency objective of all classes.
    pub(super) latency_objective_nanos: f64,
    pub(super) slow_start_duration: Duration,
    /// A connection that is not up by then has been given up.
    pub(super) connect_timeout: Duration,
}

impl HealthRules {
    pub(super) fn new(settings: &Settings, now: Duration) -> Self {
        let stated = Some(settings.connect_timeout).filter(|timeout| !timeout.is_zero());
        HealthRules {
            now,
            latency_objective_nanos: settings.shortest_latency_objective_nanos(),
            slow_start_duration: settings.rules.slow_start_duration,
            connect_timeout: stated.unwrap_or(FOREVER),
        }
    }
}

/// How one endpoint does, as seen from here.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct EndpointHealth {
    /// When its connections broke and nothing else was seen of it since.
    #[serde(rename = "broke_at")]
    pub(super) connections_lost_at: Option<Duration>,
    /// Attempts taken for lost, with none that overtook them, since its last answer.
    #[serde(rename = "quiet")]
    pub(super) lost_in_a_row: u32,
    /// Time-outs since its last answer.
    #[serde(rename = "unheard")]
    pub(super) timeouts_in_a_row: u32,
    /// How many attempts it may have in flight from this initiator.
    pub(super) window: f64,
    #[serde(rename = "shrunk_at")]
    window_halved_at: Duration,
    /// Smoothed round trip; 0: none seen.
    #[serde(rename = "lag")]
    pub(super) round_trip_nanos: f64,
    /// Its service time without waiting, as it last reported; 0: not reported.
    #[serde(rename = "service")]
    pub(super) service_nanos: f64,
    /// Failed connections since its last answer.
    #[serde(rename = "fails")]
    connection_failures: u32,
    /// Nothing is sent until then.
    #[serde(rename = "hold_until")]
    pub(super) held_back_until: Duration,
    /// When it last answered, or was last seen to be late.
    #[serde(rename = "seen_at")]
    pub(super) answered_at: Duration,
}

impl EndpointHealth {
    pub(super) fn new() -> Self {
        EndpointHealth { window: MAX_WINDOW, ..EndpointHealth::default() }
    }

    /// The endpoint list says that it started again.
    pub(super) fn restarted(&mut self) {
        self.connections_lost_at = None;
        self.connection_failures = 0;
        self.held_back_until = Duration::ZERO;
    }

    /// The round trip as believed now: an observed one falls back to the service time as it gets old.
    pub(super) fn believed_round_trip_nanos(&self, now: Duration) -> f64 {
        let age = seconds(now.saturating_sub(self.answered_at));
        let freshness = (-age / seconds(SMOOTHING_TIME)).exp();
        self.service_nanos + (self.round_trip_nanos - self.service_nanos).max(0.0) * freshness
    }

    /// A round trip of this length was seen.
    pub(super) fn set_round_trip(&mut self, now: Duration, nanos: f64) {
        self.round_trip_nanos = nanos;
        self.answered_at = now;
    }

    /// Halves the window, once a round trip at most.
    fn halve_window(&mut self, now: Duration) {
        if now >= self.window_halved_at + from_nanos(self.round_trip_nanos) {
            self.window = (self.window / 2.0).max(1.0);
            self.window_halved_at = now;
        }
    }

    fn smooth_round_trip(&mut self, now: Duration, round_trip_nanos: f64) {
        let age = seconds(now - self.answered_at);
        let gain = (1.0 - (-age / seconds(SMOOTHING_TIME)).exp()).max(MIN_ROUND_TRIP_GAIN);
        self.round_trip_nanos += if self.round_trip_nanos > 0.0 {
            gain * (round_trip_nanos - self.round_trip_nanos)
        } else {
            round_trip_nanos
        };
        self.answered_at = now;
    }

    /// The window grows by one a window's worth of answers while it is used, and halves when answers are slow.
    fn adapt_window(&mut self, slots_used: f64, rules: &HealthRules) {
        if self.round_trip_nanos > SLOW_ANSWER * rules.latency_objective_nanos {
            self.halve_window(rules.now);
        } else if slots_used + 2.0 > self.window {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        }
    }

    fn timed_out(&mut self, elapsed: Duration, rules: &HealthRules) {
        let is_long = nanos(elapsed) > rules.latency_objective_nanos;
        self.timeouts_in_a_row = (self.timeouts_in_a_row + u32::from(is_long)).min(MAX_COUNTED);
        self.halve_window(rules.now);
    }

    fn rejected(&mut self, now: Duration) {
        self.halve_window(now);
        self.held_back_until = now + from_nanos(self.service_nanos.max(MIN_HOLD_AFTER_REJECTION_NANOS));
    }

    /// A connection broke, or could not be made.
    fn connection_failed(&mut self, now: Duration, outcome: AttemptOutcome) {
        self.halve_window(now);
        let pause = backoff(FIRST_HOLD, MAX_HOLD, self.connection_failures);
        let broke = outcome == AttemptOutcome::ConnectionLost;
        let is_first = self.connection_failures == 0;
        self.held_back_until = if broke && is_first { Duration::ZERO } else { now + pause };
        let only_broke = broke && (is_first || self.connections_lost_at.is_some());
        self.connections_lost_at = only_broke.then_some(now);
        self.connection_failures += 1;
    }

    /// An answer that shows that the process did not restart when its connections broke: it was sent before the break, or
    /// came at once.
    fn outlived_lost_connections(&self, now: Duration, elapsed: Duration) -> bool {
        let is_proof = |lost_at: Duration| now - elapsed.min(now) < lost_at || now < lost_at + SECOND;
        self.connections_lost_at.is_some_and(is_proof)
    }
}

impl Endpoint {
    /// Takes how an attempt ended. `savings` is what is saved for the endpoint if it turns out to have restarted.
    pub(super) fn record_outcome(
        &mut self,
        attempt: &EndedAttempt,
        rules: &HealthRules,
        savings: TokenBucket,
    ) {
        let now = rules.now;
        if let Some(milliseconds) = attempt.load_report.service_ms.filter(|ms| *ms > 0.0) {
            self.health.service_nanos = milliseconds * 1e6;
        }
        let took_longer = nanos(attempt.elapsed) > self.health.round_trip_nanos;
        match attempt.outcome {
            AttemptOutcome::Served => self.record_answer(attempt, rules),
            AttemptOutcome::Cancelled if took_longer => {
                self.health.set_round_trip(now, nanos(attempt.elapsed));
            }
            AttemptOutcome::Error | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            AttemptOutcome::TimedOut => self.health.timed_out(attempt.elapsed, rules),
            AttemptOutcome::Rejected => self.health.rejected(now),
            AttemptOutcome::ConnectFailed | AttemptOutcome::ConnectionLost => {
                self.record_connection_failure(attempt, rules, savings);
            }
        }
    }

    fn record_answer(&mut self, attempt: &EndedAttempt, rules: &HealthRules) {
        let now = rules.now;
        self.health.smooth_round_trip(now, nanos(attempt.elapsed));
        self.health.connection_failures = 0;
        self.health.timeouts_in_a_row = 0;
        if self.health.outlived_lost_connections(now, attempt.elapsed) {
            self.start.not_restarted();
        }
        self.health.connections_lost_at = None;
        let slots_used = self.slots_used();
        self.health.adapt_window(slots_used, rules);
    }

    /// The process may have restarted, and the endpoint list does not say so yet: slow start begins anew.
    fn record_connection_failure(
        &mut self,
        attempt: &EndedAttempt,
        rules: &HealthRules,
        savings: TokenBucket,
    ) {
        let connect_failed = attempt.outcome == AttemptOutcome::ConnectFailed;
        let is_first = self.health.connection_failures == 0;
        // One connection that does not come up in time may be lost on the way; a process that starts refuses.
        if connect_failed && is_first && attempt.elapsed >= rules.connect_timeout {
            self.health.connection_failures = 1;
            return;
        }
        self.health.connection_failed(rules.now, attempt.outcome);
        self.start.presumed(rules.now, savings, rules.slow_start_duration);
    }
}
