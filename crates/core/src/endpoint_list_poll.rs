//! The schedule on which an initiator calls for the endpoint list, and calls again after a failure.
//!
//! Where the list is pushed to an agent on the same host, a call costs nothing, and a broken watch is opened
//! again at once. Where the list is polled, one service of fixed capacity serves the calls of all initiators
//! in turn: a call that has waited too long fails and has cost as much as one that was served. If initiators
//! call again at once, the queue of the service stays so long that no call is served in time, although the
//! service could serve all initiators once in little time. Initiators therefore spread calls that they would
//! make at the same instant, and each doubles its wait until there is capacity.

use crate::interface::Settings;
use crate::measure::{backoff, splitmix64};
use std::time::Duration;

/// The time after which an initiator counts as notified of a change, from when discovery had the change and
/// could be reached, whatever happened to earlier calls. An abandoned call, the wait after it and the answer
/// to the next call together take no longer, for any fleet size.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// A watch is broken if nothing was received on it for this long: discovery sends at least an empty line
/// every 2 s.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// The bounds of an exponential backoff.
struct BackoffBounds {
    /// The wait after the first failure.
    first: Duration,
    max: Duration,
}

/// The backoff where the list is pushed; a call costs nothing there.
const PUSHED_BACKOFF: BackoffBounds =
    BackoffBounds { first: Duration::from_millis(100), max: Duration::from_millis(500) };
/// The timeout of a call where the list is pushed. An agent answers at once: one that is silent for this long
/// is down, or the call is lost, and another call costs nothing.
const PUSHED_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// The timeout of a call where the list is polled, until the answer's head; the call may have to wait for its
/// turn.
const POLLED_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// The timeout from the head of an answer to its first object, where the list is polled.
const POLLED_FIRST_OBJECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// The first wait after a rejected call, where the list is polled. Once calls have been rejected for
/// [`NOTIFIED_WITHIN`], the longest wait is this much for each initiator, but no less than
/// [`REJECTED_MAX_BACKOFF`].
const POLLED_FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// The longest wait in a small fleet once calls have been rejected for [`NOTIFIED_WITHIN`].
///
/// If the service cannot serve all initiators within that time, its queue fills with calls whose callers have
/// given up, and no initiator is served. A long wait does no harm by then: an initiator that was rejected for
/// so long counts as notified of changes, and sends nothing new until it has a list. With
/// [`POLLED_FIRST_BACKOFF`] for each initiator, a large fleet makes about two calls a second, at which any
/// queue drains.
const REJECTED_MAX_BACKOFF: Duration = Duration::from_secs(10);
/// How much each initiator adds to the span over which the fleet spreads calls that would be made at the same
/// instant.
const SPREAD_PER_INITIATOR: Duration = Duration::from_millis(20);

/// How a call or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The connection was lost or silent for too long, perhaps at all initiators at once.
    ConnectionLost,
    /// The service answered that it could not serve the call.
    Rejected,
    /// No answer came within the timeout of the call.
    TimedOut,
}

/// The schedule of one initiator's calls for the list.
#[derive(Clone, Debug)]
pub struct EndpointListPoll {
    seed: u64,
    /// How many random numbers were drawn from the seed.
    drawn: u64,
    /// The number of consecutive failures since a call last brought a list or changes.
    failures: u32,
}

impl EndpointListPoll {
    /// Creates the schedule of an initiator that has made no call yet.
    pub fn new(seed: u64) -> Self {
        EndpointListPoll { seed, drawn: 0, failures: 0 }
    }

    /// Returns how long after its start an initiator makes its first call; all initiators may start at once.
    pub fn first_wait(&mut self, settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            self.random_below(spread_span(settings))
        } else {
            Duration::ZERO
        }
    }

    /// Returns the timeout from a call to the beginning of its answer.
    pub fn call_timeout(settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            POLLED_CALL_TIMEOUT
        } else {
            PUSHED_CALL_TIMEOUT
        }
    }

    /// Returns the timeout from the beginning of an answer to its first object or empty line.
    pub fn first_object_timeout(settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            POLLED_FIRST_OBJECT_TIMEOUT
        } else {
            PUSHED_CALL_TIMEOUT
        }
    }

    /// Returns how long a watch may bring nothing complete before it counts as broken.
    pub fn silence_limit() -> Duration {
        WATCH_SILENCE_LIMIT
    }

    /// Returns how long after the end of a call or a watch the next call is made.
    ///
    /// `brought_changes` states whether the call had brought a list or changes; `rejected_for` is how long
    /// calls have been answered with rejections and with nothing else.
    pub fn next_wait(
        &mut self,
        settings: &Settings,
        brought_changes: bool,
        end: CallEnd,
        rejected_for: Duration,
    ) -> Duration {
        self.failures = if brought_changes { 1 } else { self.failures.saturating_add(1) };
        if settings.endpoint_list_polled {
            self.polled_wait(settings, end, rejected_for)
        } else if brought_changes {
            PUSHED_BACKOFF.first / 2
        } else {
            backoff(PUSHED_BACKOFF.first, PUSHED_BACKOFF.max, self.failures)
        }
    }

    fn polled_wait(&mut self, settings: &Settings, end: CallEnd, rejected_for: Duration) -> Duration {
        // The next call may use its full timeout out of the time until a change counts as notified. A call
        // that timed out has already used as much again.
        let remaining = NOTIFIED_WITHIN - POLLED_CALL_TIMEOUT;
        let max_wait = match end {
            CallEnd::ConnectionLost => return self.random_below(spread_span(settings)),
            CallEnd::Rejected if rejected_for >= NOTIFIED_WITHIN => {
                REJECTED_MAX_BACKOFF.max(settings.initiators * POLLED_FIRST_BACKOFF)
            }
            CallEnd::Rejected => remaining,
            CallEnd::TimedOut => remaining - POLLED_CALL_TIMEOUT,
        };
        let wait = backoff(POLLED_FIRST_BACKOFF, max_wait, self.failures);
        wait / 2 + self.random_below(wait / 2)
    }

    fn random_below(&mut self, span: Duration) -> Duration {
        self.drawn = self.drawn.wrapping_add(1);
        let bound = (span.as_nanos() as u64).max(1);
        Duration::from_nanos(splitmix64(self.seed.wrapping_add(self.drawn)) % bound)
    }
}

/// Returns the span over which initiators spread calls that they would make at the same instant. It is short
/// enough that a watch that fell silent is opened again, with time for the call to wait its turn, before the
/// changes that it missed count as notified.
fn spread_span(settings: &Settings) -> Duration {
    let from_settings = Some(settings.rules.notified_within).filter(|within| !within.is_zero());
    let notified_within = from_settings.unwrap_or(NOTIFIED_WITHIN);
    let fleet_span = settings.initiators * SPREAD_PER_INITIATOR;
    fleet_span.min(notified_within / 4).min((NOTIFIED_WITHIN - WATCH_SILENCE_LIMIT) / 2)
}
