//! When the endpoint list is fetched, and when again after that failed.
//!
//! Where the list is pushed to an agent beside the initiator, a call costs nothing, and a broken watch is opened again at
//! once. Where it is polled, one service of fixed capacity serves all initiators' calls in turn: a call that has waited too
//! long fails and has cost as much as one served. Initiators that call again at once keep its queue so long that no call is
//! served in time any more, however little it would take to serve them all once. So initiators spread what they would do
//! at the same instant, and each doubles its wait until there is capacity.

use crate::interface::Settings;
use crate::measure::{backoff, splitmix64};
use std::time::Duration;

/// A change counts as notified this long after discovery had it and could be reached, whatever became of the calls before.
/// A call that is given up, the wait after it and the next call's answer together take no longer, at any fleet's size.
pub const NOTIFIED_WITHIN: Duration = Duration::from_secs(6);
/// Discovery sends at least an empty line every 2 s: a watch on which nothing has come for this long is broken.
const WATCH_SILENCE_LIMIT: Duration = Duration::from_secs(3);

/// Exponential backoff: the wait after the first failure, and the longest.
struct BackoffSpan {
    first: Duration,
    longest: Duration,
}

/// Where the list is pushed, a call costs nothing.
const PUSHED_BACKOFF: BackoffSpan =
    BackoffSpan { first: Duration::from_millis(100), longest: Duration::from_millis(500) };
/// An agent answers at once. One that is silent for this long is down, or the call is lost: another one costs nothing.
const PUSHED_CALL_TIMEOUT: Duration = Duration::from_millis(500);
/// Where the list is polled, a call that waits its turn may take this long,
const POLLED_CALL_TIMEOUT: Duration = Duration::from_millis(2500);
/// and the first object of its answer this long from the answer's head on.
const POLLED_FIRST_OBJECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// Where the list is polled: the first wait after a call was rejected. Also what each initiator adds to the longest wait
/// once calls have been rejected for [`NOTIFIED_WITHIN`].
const POLLED_FIRST_BACKOFF: Duration = Duration::from_millis(500);
/// The longest wait of a few initiators that were rejected for longer than [`NOTIFIED_WITHIN`]. Where not all can have their
/// turn in that time, a queue of calls that nobody waits for any more lets nobody have it. Who is rejected for so long sends
/// nothing new meanwhile, for changes count as notified; two calls a second come out of any queue.
const REJECTED_LONGEST_BACKOFF: Duration = Duration::from_secs(10);
/// What each initiator adds to the span over which all spread what they do at the same instant.
const SPREAD_PER_INITIATOR: Duration = Duration::from_millis(20);

/// How a call or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The connection was lost or fell silent, perhaps at all initiators at once.
    ConnectionLost,
    /// The service answered that it could not serve the call.
    Rejected,
    /// There was no answer in the time that a call may take.
    TimedOut,
}

/// One initiator's schedule of calls for the list.
#[derive(Clone, Debug)]
pub struct EndpointListPoll {
    seed: u64,
    /// How many random numbers were drawn from the seed.
    drawn: u64,
    /// Calls in a row that brought nothing.
    failures: u32,
}

impl EndpointListPoll {
    /// Nothing was called yet.
    pub fn new(seed: u64) -> Self {
        EndpointListPoll { seed, drawn: 0, failures: 0 }
    }

    /// How long after its start an initiator makes its first call: all may start at once.
    pub fn first_wait(&mut self, settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            self.random_below(spread_span(settings))
        } else {
            Duration::ZERO
        }
    }

    /// How long a call waits for its answer to begin.
    pub fn call_timeout(settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            POLLED_CALL_TIMEOUT
        } else {
            PUSHED_CALL_TIMEOUT
        }
    }

    /// How long the first object, or sign of life, may take once an answer has begun.
    pub fn first_object_timeout(settings: &Settings) -> Duration {
        if settings.endpoint_list_polled {
            POLLED_FIRST_OBJECT_TIMEOUT
        } else {
            PUSHED_CALL_TIMEOUT
        }
    }

    /// A watch on which nothing complete came for this long is broken.
    pub fn silence_limit() -> Duration {
        WATCH_SILENCE_LIMIT
    }

    /// How long after a call or a watch ended the next call is made. `brought_news`: it had brought a list or changes.
    /// `rejected_for`: how long calls have been answered with rejections, and with nothing else.
    pub fn next_wait(
        &mut self,
        settings: &Settings,
        brought_news: bool,
        end: CallEnd,
        rejected_for: Duration,
    ) -> Duration {
        self.failures = if brought_news { 1 } else { self.failures.saturating_add(1) };
        if settings.endpoint_list_polled {
            self.polled_wait(settings, end, rejected_for)
        } else if brought_news {
            PUSHED_BACKOFF.first / 2
        } else {
            backoff(PUSHED_BACKOFF.first, PUSHED_BACKOFF.longest, self.failures)
        }
    }

    fn polled_wait(&mut self, settings: &Settings, end: CallEnd, rejected_for: Duration) -> Duration {
        // Of the time until a change counts as notified, the next call may take as much as one that waits its turn, and a
        // call that timed out has had that much already.
        let remaining = NOTIFIED_WITHIN - POLLED_CALL_TIMEOUT;
        let longest = match end {
            CallEnd::ConnectionLost => return self.random_below(spread_span(settings)),
            CallEnd::Rejected if rejected_for >= NOTIFIED_WITHIN => {
                REJECTED_LONGEST_BACKOFF.max(settings.initiators * POLLED_FIRST_BACKOFF)
            }
            CallEnd::Rejected => remaining,
            CallEnd::TimedOut => remaining - POLLED_CALL_TIMEOUT,
        };
        let wait = backoff(POLLED_FIRST_BACKOFF, longest, self.failures);
        wait / 2 + self.random_below(wait / 2)
    }

    fn random_below(&mut self, span: Duration) -> Duration {
        self.drawn = self.drawn.wrapping_add(1);
        let bound = (span.as_nanos() as u64).max(1);
        Duration::from_nanos(splitmix64(self.seed.wrapping_add(self.drawn)) % bound)
    }
}

/// The span over which all initiators spread what they do at the same instant: a watch that fell silent is opened again
/// before what it missed counts as notified, with time for its turn.
fn spread_span(settings: &Settings) -> Duration {
    let stated = Some(settings.rules.notified_within).filter(|within| !within.is_zero());
    let within = stated.unwrap_or(NOTIFIED_WITHIN);
    let all = settings.initiators * SPREAD_PER_INITIATOR;
    all.min(within / 4).min((NOTIFIED_WITHIN - WATCH_SILENCE_LIMIT) / 2)
}
