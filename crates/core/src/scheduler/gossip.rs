//! Reports from other initiators, as far as they affect what is sent. Reported hold-backs and slow-start
//! units can only reduce what this initiator may send to an endpoint. Reported demand sets this initiator's
//! share of a volume.

use super::slow_start::AvailableCapacity;
use super::times::{REPORT_LIFETIME, SECOND, SMOOTHING_TIME};
use super::volumes::Volumes;
use super::Scheduler;
use crate::interface::{EndpointId, PeerGossip, Request, SharedRules, VolumeId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Demand below this rate, in units per second, is not reported to other initiators.
const MIN_REPORTED_DEMAND: f64 = 1e-3;

/// A value that other initiators reported.
#[derive(Clone, Copy, Debug)]
struct ReportedValue {
    /// Units, or units per second.
    value: f64,
    /// When the value was received or observed.
    at: Duration,
}

/// The latest reports from other initiators.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipReports {
    /// Units that other initiators sent an endpoint in slow start within the overload window, and when the
    /// report came.
    units_sent: BTreeMap<EndpointId, ReportedValue>,
    /// Demand at other initiators in units per second, and when it was observed.
    demand: BTreeMap<VolumeId, ReportedValue>,
    /// When the demand report that each volume currently uses was observed.
    adopted: BTreeMap<VolumeId, Duration>,
}

impl GossipReports {
    /// Replaces the older reports. What endpoints report about a volume's use through other initiators is
    /// more direct, and takes precedence while it is fresh.
    fn replace(&mut self, gossip: &PeerGossip, volumes: &mut Volumes, now: Duration) {
        let sent = gossip.units_sent.iter();
        self.units_sent = sent.map(|(id, units)| (*id, ReportedValue { value: *units, at: now })).collect();
        let demand = gossip.demand.iter();
        self.demand = demand.map(|(id, rate, at)| (*id, ReportedValue { value: *rate, at: *at })).collect();
        self.adopted.retain(|id, _| volumes.contains(*id));
        for (id, rate, observed_at) in &gossip.demand {
            let Some(volume) = volumes.get_mut(*id) else { continue };
            let endpoint_report_at = volume.usage.reported_at.filter(|at| self.adopted.get(id) != Some(at));
            if endpoint_report_at.is_none_or(|at| now > at + REPORT_LIFETIME) {
                volume.usage.adopt_others(now, *rate, *observed_at);
                self.adopted.insert(*id, *observed_at);
            }
        }
    }

    /// Returns the units that others reported to have sent an endpoint in slow start, if the report is
    /// younger than `window`.
    fn units_sent_to(&self, id: EndpointId, window: Duration, now: Duration) -> Option<ReportedValue> {
        self.units_sent.get(&id).filter(|sent| now < sent.at + window).copied()
    }

    /// Applies the reported demand to a volume that is seen for the first time, if the report is fresh.
    fn apply_to_new_volume(&mut self, id: VolumeId, volumes: &mut Volumes, now: Duration) {
        let fresh = self.demand.get(&id).filter(|demand| now <= demand.at + REPORT_LIFETIME);
        if let (Some(demand), Some(volume)) = (fresh, volumes.get_mut(id)) {
            volume.usage.adopt_others(now, demand.value, demand.at);
            self.adopted.insert(id, demand.at);
        }
    }
}

impl Scheduler {
    /// Applies new reports from other initiators; a reported hold-back never shortens the local one.
    pub(super) fn on_gossip(&mut self, gossip: &PeerGossip) {
        for (id, until) in &gossip.held_back_until {
            if let Some(endpoint) = self.endpoints.get_mut(*id) {
                endpoint.health.held_back_until = endpoint.health.held_back_until.max(*until);
            }
        }
        self.gossip.replace(gossip, &mut self.volumes, self.now);
    }

    /// Counts a request towards its volume's demand. A volume seen for the first time also gets the reported
    /// demand.
    pub(super) fn record_demand(&mut self, request: &Request) {
        let is_new = !self.volumes.contains(request.volume);
        self.volumes.record_request(request, &self.settings, self.started_at, self.now);
        if is_new {
            self.gossip.apply_to_new_volume(request.volume, &mut self.volumes, self.now);
        }
    }

    /// Returns the units that an endpoint may be sent now. In slow start this is at most its capacity less
    /// the units that others reported to have sent it.
    pub(super) fn capacity_left(&mut self, id: EndpointId) -> f64 {
        let context = self.slow_start_context();
        let (now, window) = (self.now, self.settings.rules.overload_window);
        let capacity = match self.endpoints.get_mut(id) {
            Some(endpoint) => self.slow_start.available_capacity(&mut endpoint.start, &context),
            None => AvailableCapacity::NONE,
        };
        if let Some(at) = capacity.more_at {
            self.timer.wake_by(at);
        }
        let sent = self.gossip.units_sent_to(id, window, now);
        let (Some(sent), Some(endpoint)) = (sent, self.endpoints.get(id)) else { return capacity.units };
        if !capacity.units.is_finite() || capacity.units <= 0.0 {
            return capacity.units;
        }
        let left = self.slow_start.capacity_after_others(&endpoint.start, sent.value, &context);
        if left < capacity.units {
            self.timer.wake_by((sent.at + window).min(now + SECOND / 10));
        }
        capacity.units.min(left)
    }

    /// Returns the rules that all initiators share.
    pub fn rules(&self) -> &SharedRules {
        &self.settings.rules
    }

    /// Returns the units sent to an endpoint within `window`, as far as they count against its slow start.
    pub fn units_sent(&self, id: EndpointId, window: Duration, now: Duration) -> f64 {
        self.endpoints.get(id).map_or(0.0, |endpoint| endpoint.start.units_sent_within(window, now))
    }

    /// Returns the demand at this initiator by volume, in units per second.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (VolumeId, f64)> + '_ {
        let rates =
            self.volumes.iter().map(move |(id, volume)| (id, volume.usage.demand.get(now, SMOOTHING_TIME)));
        rates.filter(|(_, rate)| *rate > MIN_REPORTED_DEMAND)
    }
}
