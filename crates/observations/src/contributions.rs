//! Sums over what other initiators report of themselves. Each observer's part counts once, since each is a subject of
//! its own.

use crate::{Claim, ObservationStore, Observer, DEMAND_LIFETIME};
use std::time::Duration;

/// What the clients of other initiators ask of a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReportedDemand {
    /// Thousandths of a unit a second.
    pub milli_units_per_second: u64,
    /// How old the oldest part of the sum is.
    pub age: Duration,
}

/// What other initiators report to have sent an endpoint in slow start within `window`, which ends now, in thousandths
/// of a unit. Reports of an earlier run than `endpoint_incarnation` do not count.
pub fn reported_slow_start_units(
    store: &ObservationStore,
    endpoint: &str,
    endpoint_incarnation: u64,
    window: Duration,
    now: Duration,
) -> u64 {
    let counts =
        store.iter().filter(|o| o.endpoint_incarnation >= endpoint_incarnation && o.age(now) < window);
    let parts = counts.filter_map(|observation| match &observation.claim {
        Claim::SlowStartUnits { endpoint: of, milli_units } if of == endpoint => Some(*milli_units),
        _ => None,
    });
    parts.fold(0, u64::saturating_add)
}

/// What other initiators report to be asked of a volume; `None`: there is no recent report. An earlier process under
/// the name of `me` is no other initiator.
pub fn reported_demand(
    store: &ObservationStore,
    volume: u64,
    me: &Observer,
    now: Duration,
) -> Option<ReportedDemand> {
    let mut sum: Option<ReportedDemand> = None;
    for observation in store.iter() {
        let Claim::Demand { volume: of, milli_units_per_second } = observation.claim else { continue };
        let age = observation.age(now);
        if of != volume || observation.observer.name == me.name || age > DEMAND_LIFETIME {
            continue;
        }
        let before = sum.unwrap_or(ReportedDemand { milli_units_per_second: 0, age: Duration::ZERO });
        sum = Some(ReportedDemand {
            milli_units_per_second: before.milli_units_per_second.saturating_add(milli_units_per_second),
            age: before.age.max(age),
        });
    }
    sum
}
