//! The subscription to the endpoint list, where the list is sent only on request.

use super::random::SeededRandom;
use super::times::SECOND;
use crate::interface::Settings;
use crate::measure::backoff;
use std::time::Duration;

/// Delay after the first failed call.
const FIRST_RETRY_DELAY: Duration = Duration::from_millis(500);
/// Longest delay after a failed call.
const MAX_RETRY_DELAY: Duration = Duration::from_secs(2);

/// Decides when to subscribe next, with backoff after failures.
#[derive(Clone, Debug)]
pub(super) struct EndpointListSubscription {
    /// Failed calls since the last list or change.
    failures: u32,
    /// `None` while a subscription is open, or where the list needs none.
    subscribe_at: Option<Duration>,
}

impl EndpointListSubscription {
    /// Schedules the first call at a random time: all initiators may start at once, and must not all call at
    /// once. The calls are spread over 20 ms for each initiator, but at most over a quarter of
    /// `notified_within`.
    pub(super) fn new(settings: &Settings, random: &mut SeededRandom, now: Duration) -> Self {
        let spread = (settings.initiators * SECOND / 50).min(settings.rules.notified_within / 4);
        let first = now + random.duration_below(spread);
        let subscribe_at = settings.endpoint_list_polled.then_some(first);
        EndpointListSubscription { failures: 0, subscribe_at }
    }

    /// Schedules another call after a call failed or the subscription broke.
    pub(super) fn failed(&mut self, random: &mut SeededRandom, now: Duration) {
        self.failures += 1;
        let delay = backoff(FIRST_RETRY_DELAY, MAX_RETRY_DELAY, self.failures);
        self.subscribe_at = Some(now + delay / 2 + random.duration_below(delay));
    }

    /// Resets the backoff after a list or a change of it arrived.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    /// Returns when the next call is due, if one is scheduled.
    pub(super) fn subscribe_at(&self) -> Option<Duration> {
        self.subscribe_at
    }

    /// Records that the scheduled call has been made.
    pub(super) fn subscribed(&mut self) {
        self.subscribe_at = None;
    }
}
