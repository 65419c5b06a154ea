//! Pacing: many initiators can overload an endpoint even with one request in flight from each. Each initiator
//! pauses between two sends to an endpoint. The pause grows with the recent round trips and shrinks with the
//! request's weight.

use super::endpoints::Endpoint;
use super::times::SMOOTHING_TIME;
use crate::measure::{from_nanos, nanos};
use std::time::Duration;

/// Initiators pause once the round trip exceeds this many times the shortest latency objective.
const ROUND_TRIP_THRESHOLD: f64 = 2.0;
/// Minimum of the round trip from which on initiators pause.
const MIN_THRESHOLD_NANOS: f64 = 1e6;
/// The pause grows with this power of the ratio of the round trip to the threshold.
const PAUSE_EXPONENT: f64 = 2.0;
/// Longest pause, as a multiple of the time constant by which an observed round trip decays.
const MAX_PAUSE: f64 = 2.0;
/// A pause is computed again after this long, because it shortens as the observed round trip decays.
const RECHECK_AFTER: Duration = Duration::from_millis(250);

/// Parameters of a pause, beside the state of the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct PacingContext {
    pub(super) now: Duration,
    /// The number of initiators, this one included.
    pub(super) initiators: u32,
    /// The number of known endpoints.
    pub(super) endpoints: usize,
    /// The shortest latency objective of all classes.
    pub(super) latency_objective_nanos: f64,
    /// The mean weight of the plans.
    pub(super) mean_weight: f64,
}

/// Returns when a request may be sent to an endpoint. `weight` is the weight of the request's plan times the
/// fraction of it that the request earns. A `tolerance` below 1 lowers the round trip from which on the
/// initiator pauses.
pub(super) fn paced_send_at(
    endpoint: &Endpoint,
    context: &PacingContext,
    weight: f64,
    tolerance: f64,
) -> Duration {
    let PacingContext { now, initiators, .. } = *context;
    let health = &endpoint.health;
    let threshold =
        (ROUND_TRIP_THRESHOLD * context.latency_objective_nanos * tolerance).max(MIN_THRESHOLD_NANOS);
    // Time-outs show that the endpoint has no capacity. The decay slows with each time-out, so attempts
    // become rarer, until the attempts of all initiators together are the work of one core.
    let one_core = (f64::from(initiators) * health.service_nanos).max(nanos(SMOOTHING_TIME));
    let decay_time = (nanos(SMOOTHING_TIME) * f64::from(1 << health.timeouts_in_a_row)).min(one_core);
    let age = nanos(now.saturating_sub(health.round_trip_updated_at)) / decay_time;
    let round_trip = threshold + (health.round_trip_nanos - threshold).max(0.0) * (-age).exp();
    let other_initiators_per_endpoint = f64::from(initiators.max(1) - 1) / context.endpoints.max(1) as f64;
    let excess = (round_trip / threshold).powf(PAUSE_EXPONENT) - 1.0;
    let pause = other_initiators_per_endpoint * round_trip * excess * context.mean_weight / weight.max(1e-6);
    let send_at = endpoint.last_sent_at + from_nanos(pause.min(MAX_PAUSE * decay_time));
    send_at.min(now + RECHECK_AFTER)
}
