//! Durations that several of the scheduler's rules share.

use std::time::Duration;

pub(super) const SECOND: Duration = Duration::from_secs(1);
/// The resolution of the clock.
pub(super) const NANOSECOND: Duration = Duration::from_nanos(1);
/// Later than any time of the clock, and longer than any duration.
pub(super) const FOREVER: Duration = Duration::from_nanos(u64::MAX);
/// Time constant of measured rates, and of the decay of an observed round trip.
pub(super) const SMOOTHING_TIME: Duration = SECOND.saturating_mul(2);
/// How long a report about a volume is fresh. Without a fresh report, each initiator takes an even share.
pub(super) const REPORT_LIFETIME: Duration = SMOOTHING_TIME.saturating_mul(2);
