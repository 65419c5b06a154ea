//! Sums over all initiators: this initiator's contribution, the totals of all others, and the part of them
//! that affects the scheduler's decisions.

use super::{GossipState, KnownEndpoints};
use crate::interface::{EndpointId, PeerGossip, VolumeId};
use shaletack_observations::{reported_demand, reported_slow_start_units, Claim, DEMAND_LIFETIME};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Milli-units in a unit. Amounts are sent as whole milli-units.
pub(super) const MILLI_UNITS: f64 = 1000.0;

/// The demand of clients on a volume.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct VolumeDemand {
    /// The volume.
    pub volume: VolumeId,
    /// The demand, in milli-units per second.
    pub rate: u64,
}

/// The units sent to an endpoint in slow start within the settings' overload window.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EndpointUsage {
    /// The endpoint's name.
    pub id: String,
    /// The endpoint's start as listed, in milliseconds of Unix time.
    pub start_ms: u64,
    /// The units sent, in milli-units.
    pub milli_units: u64,
}

/// This process's contribution to the sums over all initiators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contribution {
    /// The demand of this process's clients.
    pub demand: Vec<VolumeDemand>,
    /// The units sent to each endpoint in slow start. Endpoints to which nothing was sent are included, since
    /// only the contributors to a sum receive it.
    pub slow_start_usage: Vec<EndpointUsage>,
}

/// A sum, with the age of its oldest part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Aged<T> {
    /// The sum.
    pub value: T,
    /// The age of its oldest part.
    pub age: Duration,
}

/// The totals of all other initiators.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct PeerTotals {
    /// The demand of their clients.
    pub demand: Vec<Aged<VolumeDemand>>,
    /// The units that they sent to endpoints in slow start.
    pub slow_start_usage: Vec<Aged<EndpointUsage>>,
}

/// A sum in milli-units or milli-units per second, and when its oldest part was observed.
#[derive(Clone, Copy, Debug)]
struct Sum {
    milli_units: u64,
    seen_at: Duration,
}

/// The latest sums over all other initiators.
#[derive(Clone, Debug, Default)]
pub(super) struct PeerSums {
    demand: BTreeMap<VolumeId, Sum>,
    /// By the endpoint's name and listed start in milliseconds of Unix time.
    slow_start_usage: BTreeMap<(String, u64), Sum>,
}

impl PeerSums {
    pub(super) fn new(now: Duration, totals: PeerTotals) -> Self {
        let sum = |milli_units, age| Sum { milli_units, seen_at: now.saturating_sub(age) };
        let demand = totals.demand.into_iter();
        let usage = totals.slow_start_usage.into_iter();
        PeerSums {
            demand: demand.map(|total| (total.value.volume, sum(total.value.rate, total.age))).collect(),
            slow_start_usage: usage
                .map(|Aged { value, age }| ((value.id, value.start_ms), sum(value.milli_units, age)))
                .collect(),
        }
    }
}

impl GossipState {
    /// Returns the part of peers' reports and sums that affects what is sent. `window` is the settings'
    /// overload window.
    pub fn for_scheduler(&self, now: Duration, window: Duration, known: &KnownEndpoints) -> PeerGossip {
        let holds =
            known.iter().filter_map(|(id, endpoint)| Some((endpoint.endpoint, self.advice(id).hold_until?)));
        PeerGossip {
            held_back_until: holds.collect(),
            units_sent: self.units_sent(now, window, known),
            demand: self.demand(now),
        }
    }

    /// Returns the units that others sent to each endpoint in slow start within the window. Peers of the
    /// previous release send reports and are not in the sums; all other peers are in the sums.
    fn units_sent(&self, now: Duration, window: Duration, known: &KnownEndpoints) -> Vec<(EndpointId, f64)> {
        let reported = self.reported.iter().filter_map(|observation| match &observation.claim {
            Claim::SlowStartUnits { endpoint, .. } => Some(endpoint.as_str()),
            _ => None,
        });
        let summed = self.sums.slow_start_usage.keys().map(|(id, _)| id.as_str());
        let ids: BTreeSet<&str> = reported.chain(summed).collect();
        let units = ids.into_iter().filter_map(|id| {
            let endpoint = known.get(id)?;
            let start_ms = endpoint.start_ms();
            let reported = reported_slow_start_units(&self.reported, id, start_ms, window, now);
            let summed = self.sums.slow_start_usage.get(&(id.to_owned(), start_ms));
            let summed = summed.filter(|sum| now < sum.seen_at + window).map_or(0, |sum| sum.milli_units);
            Some((endpoint.endpoint, reported.saturating_add(summed) as f64 / MILLI_UNITS))
        });
        units.filter(|(_, units)| *units > 0.0).collect()
    }

    /// Returns the demand on other initiators in units per second, by volume, and when its oldest part was
    /// observed.
    fn demand(&self, now: Duration) -> Vec<(VolumeId, f64, Duration)> {
        let reported = self.reported.iter().filter_map(|observation| match observation.claim {
            Claim::Demand { volume, .. } => Some(volume),
            _ => None,
        });
        let volumes: BTreeSet<VolumeId> = reported.chain(self.sums.demand.keys().copied()).collect();
        let demand = volumes.into_iter().filter_map(|volume| {
            let (rate, age) = self.volume_demand(volume, now)?;
            Some((volume, rate as f64 / MILLI_UNITS, now.saturating_sub(age)))
        });
        demand.collect()
    }

    /// Returns the demand on other initiators in milli-units per second, and the age of its oldest part;
    /// `None` if nothing recent is known.
    fn volume_demand(&self, volume: VolumeId, now: Duration) -> Option<(u64, Duration)> {
        let reported = reported_demand(&self.reported, volume, &self.me, now);
        let reported = reported.map(|demand| (demand.milli_units_per_second, demand.age));
        let summed = self.sums.demand.get(&volume).filter(|sum| now <= sum.seen_at + DEMAND_LIFETIME);
        let summed = summed.map(|sum| (sum.milli_units, now.saturating_sub(sum.seen_at)));
        match (reported, summed) {
            (Some((reported, reported_age)), Some((summed, summed_age))) => {
                Some((reported.saturating_add(summed), reported_age.max(summed_age)))
            }
            (one, other) => one.or(other),
        }
    }
}
