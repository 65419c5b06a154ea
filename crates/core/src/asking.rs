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

/// The first and the longest wait where asking costs nothing.
const FREE: (Duration, Duration) = (Duration::from_millis(100), Duration::from_millis(500));
/// An agent that answers at once and is silent for so long is down, or the call is lost: another one costs nothing.
const AT_ONCE: Duration = Duration::from_millis(500);
/// A call that waits its turn may take so long.
const IN_TURN: Duration = Duration::from_secs(5);
/// Where it costs: the first wait after a call was turned away, and what each host adds to the longest one, so that a
/// service which has room for two calls a second comes out of any queue,
const DEAR: Duration = Duration::from_millis(500);
/// the longest wait of a few hosts,
const LONGEST: Duration = Duration::from_secs(10);
/// and what each adds to the span over which all spread what they do at the same instant.
const EACH: Duration = Duration::from_millis(20);

/// One host's asking.
#[derive(Clone, Debug)]
pub struct Asking {
    seed: u64,
    drawn: u64,
    failures: u32,
}

impl Asking {
    /// Nothing was asked yet.
    pub fn new(seed: u64) -> Self {
        Asking { seed, drawn: 0, failures: 0 }
    }

    /// How long after its start a host asks: all may start at once.
    pub fn first(&mut self, set: &Settings) -> Duration {
        if set.list_on_request {
            self.within(together(set))
        } else {
            Duration::ZERO
        }
    }

    /// How long a call waits for its answer to begin.
    pub fn patience(set: &Settings) -> Duration {
        if set.list_on_request {
            IN_TURN
        } else {
            AT_ONCE
        }
    }

    /// How long after a call or a watch failed a host asks again. `brought`: it had brought news. `refused`: the
    /// service answered that it could not serve it; else it broke, perhaps everywhere at once.
    pub fn again(&mut self, set: &Settings, brought: bool, refused: bool) -> Duration {
        self.failures = if brought { 1 } else { self.failures.saturating_add(1) };
        if !set.list_on_request {
            return if brought { FREE.0 / 2 } else { backoff(FREE.0, FREE.1, self.failures) };
        }
        let wait =
            if refused { backoff(DEAR, LONGEST.max(set.hosts * DEAR), self.failures) } else { together(set) };
        wait / 2 + self.within(wait)
    }

    fn within(&mut self, span: Duration) -> Duration {
        self.drawn = self.drawn.wrapping_add(1);
        let bound = (span.as_nanos() as u64).max(1);
        Duration::from_nanos(scramble(self.seed.wrapping_add(self.drawn)) % bound)
    }
}

/// The span over which all hosts spread what they do at the same instant: well before they have to have asked.
fn together(set: &Settings) -> Duration {
    let within = Some(set.rules.ask_within).filter(|within| !within.is_zero()).unwrap_or(LONGEST);
    (set.hosts * EACH).min(within / 4)
}
