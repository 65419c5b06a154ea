//! Outlier detection: derives the health of an endpoint from answers, time-outs and broken connections. The
//! health sets the endpoint's window, which is the number of attempts that may be in flight to it from this
//! initiator, and how long the endpoint is held back.

use super::endpoints::Endpoint;
use super::times::{FOREVER, SECOND, SMOOTHING_TIME};
use crate::interface::{AttemptOutcome, EndedAttempt, Settings};
use crate::measure::{backoff, from_nanos, nanos, seconds, TokenBucket};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The most attempts in flight to an endpoint from one initiator; more would only move the queue to the
/// endpoint.
const MAX_WINDOW: f64 = 2.0;
/// The window halves once the round trip exceeds this fraction of the shortest latency objective.
const SLOW_ROUND_TRIP_RATIO: f64 = 0.2;
/// Minimum gain of the smoothed round trip (EWMA) for a new observation.
const MIN_ROUND_TRIP_GAIN: f64 = 0.2;
/// First backoff after an endpoint could not be reached.
const FIRST_BACKOFF: Duration = Duration::from_millis(100);
/// Longest backoff after an endpoint could not be reached.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// Shortest time that an endpoint is held back after it rejected an attempt: 10 ms.
const MIN_REJECTION_HOLD_NANOS: f64 = 1e7;
/// Time-outs in a row are counted up to this; the count is an exponent in the pacing of sends.
const MAX_TIMEOUTS_IN_A_ROW: u32 = 8;
/// An answer that comes this soon after connections broke shows that the process did not restart.
const PROMPT_ANSWER: Duration = SECOND;

/// Parameters for the evaluation of an ended attempt, beside the state of its endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct HealthRules {
    pub(super) now: Duration,
    /// The shortest latency objective of all classes.
    pub(super) latency_objective_nanos: f64,
    pub(super) slow_start_duration: Duration,
    /// A connection that is not established within this time has been given up.
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

/// The health of one endpoint, as observed by this initiator.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct EndpointHealth {
    /// When the endpoint's connections broke, until an answer, a failed connection or a listed restart shows
    /// what happened to its process.
    #[serde(rename = "broke_at")]
    pub(super) connections_lost_at: Option<Duration>,
    /// Attempts presumed lost since the last answer, except those that others overtook.
    #[serde(rename = "quiet")]
    pub(super) lost_in_a_row: u32,
    /// Time-outs longer than the latency objective since the last answer.
    #[serde(rename = "unheard")]
    pub(super) timeouts_in_a_row: u32,
    /// How many attempts may be in flight to the endpoint from this initiator.
    pub(super) window: f64,
    /// When the window was last halved.
    #[serde(rename = "shrunk_at")]
    window_halved_at: Duration,
    /// Smoothed round trip (EWMA); 0 before the first observation.
    #[serde(rename = "lag")]
    pub(super) round_trip_nanos: f64,
    /// The service time without queueing that the endpoint last reported; 0 where it reported none.
    #[serde(rename = "service")]
    pub(super) service_nanos: f64,
    /// Connection failures since the last answer.
    #[serde(rename = "fails")]
    connection_failures: u32,
    /// No request is sent to the endpoint before this time.
    #[serde(rename = "hold_until")]
    pub(super) held_back_until: Duration,
    /// When the endpoint last answered, or its round trip was last raised because an answer was late.
    #[serde(rename = "seen_at")]
    pub(super) round_trip_updated_at: Duration,
}

impl EndpointHealth {
    /// Creates the health of a newly listed endpoint, with a full window.
    pub(super) fn new() -> Self {
        EndpointHealth { window: MAX_WINDOW, ..EndpointHealth::default() }
    }

    /// Forgets connection failures and the hold-back after the endpoint list reported a restart.
    pub(super) fn restarted(&mut self) {
        self.connections_lost_at = None;
        self.connection_failures = 0;
        self.held_back_until = Duration::ZERO;
    }

    /// Returns the estimated round trip: the observed one decays to the service time as the observation ages.
    pub(super) fn estimated_round_trip_nanos(&self, now: Duration) -> f64 {
        let age = seconds(now.saturating_sub(self.round_trip_updated_at));
        let freshness = (-age / seconds(SMOOTHING_TIME)).exp();
        self.service_nanos + (self.round_trip_nanos - self.service_nanos).max(0.0) * freshness
    }

    /// Replaces the smoothed round trip by an observed one.
    pub(super) fn set_round_trip(&mut self, now: Duration, nanos: f64) {
        self.round_trip_nanos = nanos;
        self.round_trip_updated_at = now;
    }

    /// Halves the window, at most once per round trip.
    fn halve_window(&mut self, now: Duration) {
        if now >= self.window_halved_at + from_nanos(self.round_trip_nanos) {
            self.window = (self.window / 2.0).max(1.0);
            self.window_halved_at = now;
        }
    }

    /// Adds a round trip to the average. An observation weighs more the older the average is.
    fn smooth_round_trip(&mut self, now: Duration, round_trip_nanos: f64) {
        let age = seconds(now - self.round_trip_updated_at);
        let gain = (1.0 - (-age / seconds(SMOOTHING_TIME)).exp()).max(MIN_ROUND_TRIP_GAIN);
        self.round_trip_nanos += if self.round_trip_nanos > 0.0 {
            gain * (round_trip_nanos - self.round_trip_nanos)
        } else {
            round_trip_nanos
        };
        self.round_trip_updated_at = now;
    }

    /// Adjusts the window after an answer: halves it while answers are slow; otherwise, while the window is
    /// in use, grows it by one for each window of answers.
    fn adapt_window(&mut self, slots_used: f64, rules: &HealthRules) {
        if self.round_trip_nanos > SLOW_ROUND_TRIP_RATIO * rules.latency_objective_nanos {
            self.halve_window(rules.now);
        } else if slots_used + 2.0 > self.window {
            self.window = (self.window + 1.0 / self.window).min(MAX_WINDOW);
        }
    }

    /// Records a time-out. One within the latency objective does not count towards the time-outs in a row.
    fn timed_out(&mut self, elapsed: Duration, rules: &HealthRules) {
        let is_long = nanos(elapsed) > rules.latency_objective_nanos;
        self.timeouts_in_a_row = (self.timeouts_in_a_row + u32::from(is_long)).min(MAX_TIMEOUTS_IN_A_ROW);
        self.halve_window(rules.now);
    }

    /// Halves the window after the endpoint rejected an attempt, and holds the endpoint back for its service
    /// time, but at least 10 ms.
    fn rejected(&mut self, now: Duration) {
        self.halve_window(now);
        self.held_back_until = now + from_nanos(self.service_nanos.max(MIN_REJECTION_HOLD_NANOS));
    }

    /// Records that a connection broke or could not be established. The endpoint is held back with
    /// exponential backoff, except after the first failure if that is a broken connection.
    fn connection_failed(&mut self, now: Duration, outcome: AttemptOutcome) {
        self.halve_window(now);
        let delay = backoff(FIRST_BACKOFF, MAX_BACKOFF, self.connection_failures);
        let broke = outcome == AttemptOutcome::ConnectionLost;
        let is_first = self.connection_failures == 0;
        self.held_back_until = if broke && is_first { Duration::ZERO } else { now + delay };
        let only_broke = broke && (is_first || self.connections_lost_at.is_some());
        self.connections_lost_at = only_broke.then_some(now);
        self.connection_failures += 1;
    }

    /// Returns whether an answer shows that the process did not restart when its connections broke: its
    /// attempt was sent before they broke, or the answer came too soon after that for a restart.
    fn outlived_lost_connections(&self, now: Duration, elapsed: Duration) -> bool {
        let is_proof = |lost_at: Duration| now - elapsed.min(now) < lost_at || now < lost_at + PROMPT_ANSWER;
        self.connections_lost_at.is_some_and(is_proof)
    }
}

impl Endpoint {
    /// Records the outcome of an attempt. `savings` are the units saved for the endpoint's slow start, for
    /// the case that its process may have restarted.
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

    /// Records a served attempt, which resets the counts of connection failures and time-outs.
    fn record_answer(&mut self, attempt: &EndedAttempt, rules: &HealthRules) {
        let now = rules.now;
        self.health.smooth_round_trip(now, nanos(attempt.elapsed));
        self.health.connection_failures = 0;
        self.health.timeouts_in_a_row = 0;
        if self.health.outlived_lost_connections(now, attempt.elapsed) {
            self.start.revert_to_listed_start();
        }
        self.health.connections_lost_at = None;
        let slots_used = self.slots_used();
        self.health.adapt_window(slots_used, rules);
    }

    /// Records a connection failure. The process may have restarted before the endpoint list reports it, so
    /// slow start begins again.
    fn record_connection_failure(
        &mut self,
        attempt: &EndedAttempt,
        rules: &HealthRules,
        savings: TokenBucket,
    ) {
        let connect_failed = attempt.outcome == AttemptOutcome::ConnectFailed;
        let is_first = self.health.connection_failures == 0;
        // A single connection that times out may have been lost in transit. A process that is starting
        // refuses connections instead.
        if connect_failed && is_first && attempt.elapsed >= rules.connect_timeout {
            self.health.connection_failures = 1;
            return;
        }
        self.health.connection_failed(rules.now, attempt.outcome);
        self.start.presume_restart(rules.now, savings, rules.slow_start_duration);
    }
}
