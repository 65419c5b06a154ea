//! When a host asks for the list of nodes, and when again after that failed.
//!
//! Where the list is sent to an agent beside the host, asking costs nothing, and a broken watch is opened again at
//! once. Where it is asked for, one service of a fixed capacity has all hosts' calls in turn: a call that has waited
//! too long fails, and has cost as much as one served. Hosts that ask again at once keep its queue so long that no
//! call is served in time any more, however few it would take to serve them all once. So hosts spread what they would
//! do together, and each doubles its wait until there is room.

use crate::interface::Settings;
use crate::measure::{backoff, scramble};
use std::time::Duration;

/// A change counts as told so long after discovery had it and could be reached, whatever became of the calls before.
/// A call that is given up, the wait after it and the next call's answer together take no longer, at any fleet's size.
pub const TOLD: Duration = Duration::from_secs(6);
/// Discovery sends at least an empty line every 2 s: a watch on which nothing has come for so long is broken.
const SILENT: Duration = Duration::from_secs(3);
/// The first and the longest wait where asking costs nothing.
const FREE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
/// An agent that answers at once and is silent for so long is down, or the call is lost: another one costs nothing.
const AT_ONCE: Duration = Duration::from_millis(500);
/// A call that waits its turn may take so long,
const IN_TURN: Duration = Duration::from_millis(2500);
/// and what it brings so long from its head on.
const FIRST_WORD: Duration = Duration::from_millis(1000);
/// Where it costs: the first wait after a call was turned away.
const DEAR: Duration = Duration::from_millis(500);
/// The longest wait of a few hosts that were refused for longer than that, and what each host adds to it: where all
/// can't have their turn in that time, a queue of calls that nobody waits for any more lets nobody have it. Who is
/// refused so long sends nothing new meanwhile, for changes count as told; two calls a second come out of any queue.
const LONGEST: Duration = Duration::from_secs(10);
/// What each host adds to the span over which all spread what they do at the same instant.
const EACH: Duration = Duration::from_millis(20);

/// How a call or a watch ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// The connection broke or fell silent, perhaps everywhere at once.
    Broke,
    /// The service answered that it could not serve the call.
    Refused,
    /// There was no answer in the time that a call may take.
    GivenUp,
}

/// One host's asking.
#[derive(Clone, Debug)]
pub struct EndpointListPoll {
    seed: u64,
    drawn: u64,
    failures: u32,
}

impl EndpointListPoll {
    /// Nothing was asked yet.
    pub fn new(seed: u64) -> Self {
        EndpointListPoll { seed, drawn: 0, failures: 0 }
    }

    /// How long after its start a host asks: all may start at once.
    pub fn first(&mut self, set: &Settings) -> Duration {
        if set.endpoint_list_polled {
            self.within(together(set))
        } else {
            Duration::ZERO
        }
    }

    /// How long a call waits for its answer to begin.
    pub fn patience(set: &Settings) -> Duration {
        if set.endpoint_list_polled {
            IN_TURN
        } else {
            AT_ONCE
        }
    }

    /// How long the first object or sign of life may take once an answer has begun.
    pub fn first_word(set: &Settings) -> Duration {
        if set.endpoint_list_polled {
            FIRST_WORD
        } else {
            AT_ONCE
        }
    }

    /// A watch on which nothing whole came for so long has fallen silent.
    pub fn silence() -> Duration {
        SILENT
    }

    /// How long after a call or a watch ended a host asks again. `brought`: it had brought news. `refused_for`: how
    /// long its calls have been answered with refusals, and with nothing else.
    pub fn again(&mut self, set: &Settings, brought: bool, over: CallEnd, refused_for: Duration) -> Duration {
        self.failures = if brought { 1 } else { self.failures.saturating_add(1) };
        if !set.endpoint_list_polled {
            return if brought { FREE.0 / 2 } else { backoff(FREE.0, FREE.1, self.failures) };
        }
        // Of the time that the rule leaves, the next call may take as long as one that waits its turn; a call that
        // was given up has had the other part.
        let left = TOLD - IN_TURN;
        let wait = match over {
            CallEnd::Broke => return self.within(together(set)),
            CallEnd::Refused if refused_for >= TOLD => {
                backoff(DEAR, LONGEST.max(set.initiators * DEAR), self.failures)
            }
            CallEnd::Refused => backoff(DEAR, left, self.failures),
            CallEnd::GivenUp => backoff(DEAR, left - IN_TURN, self.failures),
        };
        wait / 2 + self.within(wait / 2)
    }

    fn within(&mut self, span: Duration) -> Duration {
        self.drawn = self.drawn.wrapping_add(1);
        let bound = (span.as_nanos() as u64).max(1);
        Duration::from_nanos(scramble(self.seed.wrapping_add(self.drawn)) % bound)
    }
}

/// The span over which all hosts spread what they do at the same instant: a watch that fell silent is asked for again
/// before what it missed counts as told, with time for its turn.
fn together(set: &Settings) -> Duration {
    let within = Some(set.rules.notified_within).filter(|within| !within.is_zero()).unwrap_or(TOLD);
    (set.initiators * EACH).min(within / 4).min((TOLD - SILENT) / 2)
}
