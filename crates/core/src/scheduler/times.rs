//! Spans of time that several of the scheduler's rules share.

use std::time::Duration;

pub(super) const SECOND: Duration = Duration::from_secs(1);
/// The smallest step of the clock.
pub(super) const NANOSECOND: Duration = Duration::from_nanos(1);
/// Later than any time of the clock, longer than any span of it.
pub(super) const FOREVER: Duration = Duration::from_nanos(u64::MAX);
/// Time constant of measured rates, and how long an observed round trip is news.
pub(super) const SMOOTHING_TIME: Duration = SECOND.saturating_mul(2);
/// A report about a volume counts for this long; where there is none, each initiator takes an even share.
pub(super) const REPORT_LIFETIME: Duration = SMOOTHING_TIME.saturating_mul(2);
