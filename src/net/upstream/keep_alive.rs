//! Which idle connections may carry another request. A network element on the way may forget idle connections sooner than
//! the settings say, and resets the next request on them, which may have run.

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

/// After an endpoint has sent bytes that belong to no request, none of its connections carries a second request for so long:
/// bytes as late as that would be taken for the next request's response.
const DISTRUST_TIME: Duration = Duration::from_secs(30);
/// Ranges of idle times that resets are counted in.
const IDLE_RANGES: usize = 10;
/// The upper end of the first range; each further one ends at twice the last.
const FIRST_IDLE_RANGE: Duration = Duration::from_millis(25);
/// A range is not used where at least so many of its requests were reset,
const MIN_RESETS: u32 = 3;
/// and at least this part of them. Resets that have nothing to do with idle time are rarer, and come after short idle times too.
const MIN_RESET_RATIO: f64 = 0.2;
/// Counts are halved after each such time.
const HALVING_INTERVAL: Duration = Duration::from_secs(30);

/// How long connections may be idle and still be used, learnt from all endpoints.
#[derive(Debug)]
pub struct KeepAlivePolicy {
    max_idle: Cell<Duration>,
    ranges: RefCell<[IdleRange; IDLE_RANGES]>,
    halved_at: Cell<Instant>,
}

/// What became of requests on connections that were idle for a time of one range.
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

    fn is_harmful(&self) -> bool {
        self.resets >= MIN_RESETS && f64::from(self.resets) >= MIN_RESET_RATIO * f64::from(self.requests)
    }
}

/// Whether the first request on a connection that had been idle got an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReuseOutcome {
    /// Bytes of its response came.
    Answered,
    /// The connection ended first.
    Reset,
}

impl KeepAlivePolicy {
    /// With the longest idle time that the settings allow.
    pub fn new(max_idle: Duration) -> Self {
        KeepAlivePolicy {
            max_idle: Cell::new(max_idle),
            ranges: RefCell::default(),
            halved_at: Cell::new(Instant::now()),
        }
    }

    /// Takes the longest idle time of newer settings.
    pub fn set_max_idle(&self, max_idle: Duration) {
        self.max_idle.set(max_idle);
    }

    /// Whether a connection that was idle for so long may be used.
    pub fn allows(&self, idle: Duration) -> bool {
        let mut ranges = self.ranges.borrow_mut();
        if self.halved_at.get().elapsed() > HALVING_INTERVAL {
            self.halved_at.set(Instant::now());
            ranges.iter_mut().for_each(IdleRange::halve);
        }
        idle < self.max_idle.get() && !ranges[..=range_index(idle)].iter().any(IdleRange::is_harmful)
    }

    /// Records a request on a connection that had been idle for so long.
    pub fn record(&self, idle: Duration, outcome: ReuseOutcome) {
        let range = &mut self.ranges.borrow_mut()[range_index(idle)];
        range.requests += 1;
        if outcome == ReuseOutcome::Reset {
            range.resets += 1;
        }
    }
}

fn range_index(idle: Duration) -> usize {
    let lower_ends = (1..IDLE_RANGES).map(|range| FIRST_IDLE_RANGE * (1 << (range - 1)));
    lower_ends.take_while(|lower_end| idle >= *lower_end).count()
}

/// Whether connections to one endpoint may be used again.
#[derive(Debug)]
pub struct EndpointReuse {
    policy: Rc<KeepAlivePolicy>,
    stray_bytes_at: Cell<Option<Instant>>,
}

impl EndpointReuse {
    /// Of an endpoint that nothing is known of; `policy` is all endpoints'.
    pub fn new(policy: Rc<KeepAlivePolicy>) -> Self {
        EndpointReuse { policy, stray_bytes_at: Cell::new(None) }
    }

    /// The endpoint has sent bytes that belong to no request.
    pub fn stray_bytes_received(&self) {
        self.stray_bytes_at.set(Some(Instant::now()));
    }

    /// Whether a connection that was idle for so long may be used.
    pub fn allows(&self, idle: Duration) -> bool {
        let is_trusted = self.stray_bytes_at.get().is_none_or(|at| at.elapsed() > DISTRUST_TIME);
        is_trusted && self.policy.allows(idle)
    }

    /// Records a request on a connection that had been idle for so long.
    pub fn record(&self, idle: Duration, outcome: ReuseOutcome) {
        self.policy.record(idle, outcome);
    }
}
