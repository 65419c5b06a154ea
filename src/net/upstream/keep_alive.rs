//! Decides which idle connections may carry another request.
//!
//! A network element on the path may drop idle connections earlier than the settings allow for, and then
//! resets the next request on them. Such a request may have run. So the outcome of requests on reused
//! connections is recorded by the time for which the connection was idle, and idle times after which resets
//! are frequent are avoided.

use super::repeat_evidence::RepeatEvidence;
use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// How long the connections of an endpoint are not reused after it has sent bytes that belong to no request.
/// Such bytes may arrive late, and would be taken for the response to the next request on the connection.
const STRAY_BYTES_COOLDOWN: Duration = Duration::from_secs(30);
/// The number of ranges of idle time in which resets are counted.
const IDLE_RANGES: usize = 10;
/// The upper end of the first range. Each further range ends at twice the end of the one before.
const FIRST_IDLE_RANGE: Duration = Duration::from_millis(25);
/// The minimum number of resets in a range before its idle times are avoided.
const MIN_RESETS: u32 = 3;
/// The minimum proportion of resets among the requests of a range before its idle times are avoided. Resets
/// that are not caused by the idle time are rarer, and come after short idle times too.
const MIN_RESET_RATIO: f64 = 0.2;
/// How often the counts are halved, so that older outcomes weigh less.
const HALVING_INTERVAL: Duration = Duration::from_secs(30);

/// How long connections may be idle and still be reused, and whether equal responses are copies, learnt from
/// the connections to all endpoints.
#[derive(Debug)]
pub struct KeepAlivePolicy {
    max_idle: Cell<Duration>,
    ranges: RefCell<[IdleRange; IDLE_RANGES]>,
    halved_at: Cell<Instant>,
    repeats: RepeatEvidence,
}

/// The outcomes of requests on connections whose idle time was in one range.
#[derive(Clone, Copy, Debug, Default)]
struct IdleRange {
    requests: u32,
    resets: u32,
}

impl IdleRange {
    fn halve(&mut self) {
        self.requests /= 2;
        self.resets /= 2;
    }

    /// Returns whether idle times of this range are to be avoided.
    fn has_frequent_resets(&self) -> bool {
        self.resets >= MIN_RESETS && f64::from(self.resets) >= MIN_RESET_RATIO * f64::from(self.requests)
    }
}

/// The outcome of a request on a connection that had been idle.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// Bytes of the response were received.
    Answered,
    /// The connection ended before any byte of the response.
    Reset,
}

impl KeepAlivePolicy {
    /// Returns a policy with `max_idle` as the longest idle time that the settings allow.
    pub fn new(max_idle: Duration) -> Self {
        KeepAlivePolicy {
            max_idle: Cell::new(max_idle),
            ranges: RefCell::default(),
            halved_at: Cell::new(Instant::now()),
            repeats: RepeatEvidence::default(),
        }
    }

    /// Sets the longest idle time, from newer settings.
    pub fn set_max_idle(&self, max_idle: Duration) {
        self.max_idle.set(max_idle);
    }

    /// Returns whether a connection that has been idle for `idle` may be reused: that is within the settings'
    /// limit, and neither its range nor any shorter one has had frequent resets.
    pub fn allows(&self, idle: Duration) -> bool {
        let mut ranges = self.ranges.borrow_mut();
        if self.halved_at.get().elapsed() > HALVING_INTERVAL {
            self.halved_at.set(Instant::now());
            ranges.iter_mut().for_each(IdleRange::halve);
        }
        idle < self.max_idle.get() && !ranges[..=range_index(idle)].iter().any(IdleRange::has_frequent_resets)
    }

    /// Records the outcome of a request on a connection that had been idle for `idle`.
    pub fn record(&self, idle: Duration, outcome: ReuseOutcome) {
        let range = &mut self.ranges.borrow_mut()[range_index(idle)];
        range.requests += 1;
        if outcome == ReuseOutcome::Reset {
            range.resets += 1;
        }
    }
}

/// Returns the index of the range that contains `idle`.
fn range_index(idle: Duration) -> usize {
    let lower_ends = (1..IDLE_RANGES).map(|range| FIRST_IDLE_RANGE * (1 << (range - 1)));
    lower_ends.take_while(|lower_end| idle >= *lower_end).count()
}

/// Decides whether connections to one endpoint may be reused.
#[derive(Debug)]
pub struct EndpointReuse {
    policy: Rc<KeepAlivePolicy>,
    stray_bytes_at: Cell<Option<Instant>>,
}

impl EndpointReuse {
    /// Returns the state for an endpoint that has sent no stray bytes yet. `policy` is shared by all
    /// endpoints.
    pub fn new(policy: Rc<KeepAlivePolicy>) -> Self {
        EndpointReuse { policy, stray_bytes_at: Cell::new(None) }
    }

    /// Records that the endpoint has sent bytes that belong to no request.
    pub fn record_stray_bytes(&self) {
        self.stray_bytes_at.set(Some(Instant::now()));
    }

    /// Returns whether a connection that has been idle for `idle` may be reused.
    pub fn allows(&self, idle: Duration) -> bool {
        let is_trusted = self.stray_bytes_at.get().is_none_or(|at| at.elapsed() > STRAY_BYTES_COOLDOWN);
        is_trusted && self.policy.allows(idle)
    }

    /// Records the outcome of a request on a connection that had been idle for `idle`.
    pub fn record(&self, idle: Duration, outcome: ReuseOutcome) {
        self.policy.record(idle, outcome);
    }
    /// Returns the evidence on responses that are equal to the one before them, shared by all endpoints.
    pub fn repeats(&self) -> &RepeatEvidence {
        &self.policy.repeats
    }
}
