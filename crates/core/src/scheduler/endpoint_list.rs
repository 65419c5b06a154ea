//! The subscription to the endpoint list, where the list comes only when it is asked for.

use super::random::SeededRandom;
use super::times::SECOND;
use crate::interface::Settings;
use crate::measure::backoff;
use std::time::Duration;

/// Pause after the first failed call.
const FIRST_RETRY: Duration = Duration::from_millis(500);
/// Longest pause between failed calls.
const MAX_RETRY: Duration = Duration::from_secs(2);

/// When to subscribe next.
#[derive(Clone, Debug)]
pub(super) struct EndpointListSubscription {
    failures: u32,
    subscribe_at: Option<Duration>,
}

impl EndpointListSubscription {
    /// The first call comes at a random moment: all initiators may start at once, and would all call at once.
    pub(super) fn new(settings: &Settings, random: &mut SeededRandom, now: Duration) -> Self {
        let spread = (settings.initiators * SECOND / 50).min(settings.rules.notified_within / 4);
        let first = now + random.span_below(spread);
        let subscribe_at = settings.endpoint_list_polled.then_some(first);
        EndpointListSubscription { failures: 0, subscribe_at }
    }

    /// A call failed, or the subscription broke.
    pub(super) fn failed(&mut self, random: &mut SeededRandom, now: Duration) {
        self.failures += 1;
        let pause = backoff(FIRST_RETRY, MAX_RETRY, self.failures);
        self.subscribe_at = Some(now + pause / 2 + random.span_below(pause));
    }

    /// A list or a change of it came.
    pub(super) fn succeeded(&mut self) {
        self.failures = 0;
    }

    pub(super) fn subscribe_at(&self) -> Option<Duration> {
        self.subscribe_at
    }

    /// The call is made.
    pub(super) fn subscribed(&mut self) {
        self.subscribe_at = None;
    }
}
