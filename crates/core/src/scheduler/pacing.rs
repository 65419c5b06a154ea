//! Pacing: many initiators with one request in flight each still crowd an endpoint. Each pauses between two sends, the
//! longer the longer its last round trips were, and the shorter the more its request weighs.

use super::endpoints::Endpoint;
use super::times::SMOOTHING_TIME;
use crate::measure::{from_nanos, nanos};
use std::time::Duration;

/// Initiators pause once round trips take so many times the shortest latency objective,
const LONG_ROUND_TRIP: f64 = 2.0;
/// by this power of how many times they do,
const PAUSE_EXPONENT: f64 = 2.0;
/// and at most so many times the span over which a round trip is news.
const MAX_PAUSE: f64 = 2.0;
/// A pause is reckoned anew after this long, for it shortens meanwhile.
const RECHECK_AFTER: Duration = Duration::from_millis(250);

/// What a pause depends on, beside the endpoint itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacingContext {
    pub(super) now: Duration,
    pub(super) initiators: u32,
    pub(super) endpoints: usize,
    /// The shortest latency objective of all classes.
    pub(super) latency_objective_nanos: f64,
    /// The mean weight of the plans.
    pub(super) mean_weight: f64,
}

/// When a request may be sent to an endpoint. `weight` is its plan's, by what it earns; a `tolerance` below 1 makes it
/// pause from shorter round trips on.
pub(super) fn paced_send_at(
    endpoint: &Endpoint,
    context: &PacingContext,
    weight: f64,
    tolerance: f64,
) -> Duration {
    let PacingContext { now, initiators, .. } = *context;
    let health = &endpoint.health;
    let long = (LONG_ROUND_TRIP * context.latency_objective_nanos * tolerance).max(1e6);
    // Time-outs tell that it has no capacity: attempts get rarer, down to the work of one core by all initiators.
    let core = (f64::from(initiators) * health.service_nanos).max(nanos(SMOOTHING_TIME));
    let news = (nanos(SMOOTHING_TIME) * f64::from(1 << health.timeouts_in_a_row)).min(core);
    let age = nanos(now.saturating_sub(health.answered_at)) / news;
    let round_trip = long + (health.round_trip_nanos - long).max(0.0) * (-age).exp();
    let crowd = f64::from(initiators.max(1) - 1) / context.endpoints.max(1) as f64;
    let excess = (round_trip / long).powf(PAUSE_EXPONENT) - 1.0;
    let pause = crowd * round_trip * excess * context.mean_weight / weight.max(1e-6);
    let send_at = endpoint.last_sent_at + from_nanos(pause.min(MAX_PAUSE * news));
    send_at.min(now + RECHECK_AFTER)
}
