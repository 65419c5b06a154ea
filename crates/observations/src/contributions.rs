//! Sums of the contributions that other initiators report about themselves.
//!
//! The contribution of each observer is a separate [`Subject`](crate::Subject), so each counts exactly once.

use crate::{Claim, Observation, ObservationStore, Observer, DEMAND_LIFETIME};
use std::time::Duration;

/// The total demand for a volume by the clients of other initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedDemand {
    /// Demand in thousandths of a unit per second.
    pub milli_units_per_second: u64,
    /// The age of the oldest contribution to the sum.
    pub age: Duration,
}

/// Returns the units that other initiators report to have sent to an endpoint in slow start, in thousandths
/// of a unit.
///
/// The sum covers reports that are younger than `window` and excludes those about a run of the endpoint that
/// is earlier than `endpoint_incarnation`.
pub fn reported_slow_start_units(
    store: &ObservationStore,
    endpoint: &str,
    endpoint_incarnation: u64,
    window: Duration,
    now: Duration,
) -> u64 {
    let is_current = |o: &&Observation| o.endpoint_incarnation >= endpoint_incarnation && o.age(now) < window;
    let contributions = store.iter().filter(is_current).filter_map(|observation| match &observation.claim {
        Claim::SlowStartUnits { endpoint: reported, milli_units } if reported == endpoint => {
            Some(*milli_units)
        }
        _ => None,
    });
    contributions.fold(0, u64::saturating_add)
}

/// Returns the demand for a volume that other initiators report, or `None` without a recent report.
///
/// Reports of an earlier process with the name of `me` are excluded: that process is not another initiator.
pub fn reported_demand(
    store: &ObservationStore,
    volume: u64,
    me: &Observer,
    now: Duration,
) -> Option<ReportedDemand> {
    let mut sum: Option<ReportedDemand> = None;
    for observation in store.iter() {
        let Claim::Demand { volume: reported, milli_units_per_second } = observation.claim else { continue };
        let age = observation.age(now);
        if reported != volume || observation.observer.name == me.name || age > DEMAND_LIFETIME {
            continue;
        }
        let previous = sum.unwrap_or(ReportedDemand { milli_units_per_second: 0, age: Duration::ZERO });
        sum = Some(ReportedDemand {
            milli_units_per_second: previous.milli_units_per_second.saturating_add(milli_units_per_second),
            age: previous.age.max(age),
        });
    }
    sum
}
