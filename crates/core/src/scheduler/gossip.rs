//! What other initiators say, where it bears on a decision: it only ever takes away from what this one may send.

use super::slow_start::AvailableCapacity;
use super::times::{REPORT_LIFETIME, SECOND, SMOOTHING_TIME};
use super::volumes::Volumes;
use super::Scheduler;
use crate::interface::{EndpointId, PeerGossip, Request, SharedRules, VolumeId};
use std::collections::BTreeMap;
use std::time::Duration;

/// Demands below so many units a second are not passed on.
const MIN_REPORTED_DEMAND: f64 = 1e-3;

/// A figure that other initiators gave.
#[derive(Clone, Copy, Debug)]
struct PeerFigure {
    /// Units, or units a second.
    value: f64,
    at: Duration,
}

/// The last of what other initiators said.
#[derive(Clone, Debug, Default)]
pub(super) struct GossipReports {
    /// Units that they sent an endpoint in slow start within the overload window, and when they said so.
    units_sent: BTreeMap<EndpointId, PeerFigure>,
    /// Units a second that they are asked for, and when that was observed.
    demand: BTreeMap<VolumeId, PeerFigure>,
    /// When the reports that volumes go by now were observed.
    adopted: BTreeMap<VolumeId, Duration>,
}

impl GossipReports {
    /// Takes new reports in place of the older ones. What endpoints say of a volume's other initiators is nearer to
    /// them, and goes first while it is fresh.
    fn replace(&mut self, gossip: &PeerGossip, volumes: &mut Volumes, now: Duration) {
        let sent = gossip.units_sent.iter();
        self.units_sent = sent.map(|(id, units)| (*id, PeerFigure { value: *units, at: now })).collect();
        let demand = gossip.demand.iter();
        self.demand = demand.map(|(id, rate, at)| (*id, PeerFigure { value: *rate, at: *at })).collect();
        self.adopted.retain(|id, _| volumes.contains(*id));
        for (id, rate, observed_at) in &gossip.demand {
            let Some(volume) = volumes.get_mut(*id) else { continue };
            let by_endpoints = volume.usage.reported_at.filter(|at| self.adopted.get(id) != Some(at));
            if by_endpoints.is_none_or(|at| now > at + REPORT_LIFETIME) {
                volume.usage.adopt_others(now, *rate, *observed_at);
                self.adopted.insert(*id, *observed_at);
            }
        }
    }

    /// Units that others say they sent an endpoint in slow start, while that is fresh.
    fn units_sent_to(&self, id: EndpointId, window: Duration, now: Duration) -> Option<PeerFigure> {
        self.units_sent.get(&id).filter(|sent| now < sent.at + window).copied()
    }

    /// A volume met for the first time goes by what others say of it, while that is fresh.
    fn introduce(&mut self, id: VolumeId, volumes: &mut Volumes, now: Duration) {
        let fresh = self.demand.get(&id).filter(|demand| now <= demand.at + REPORT_LIFETIME);
        if let (Some(demand), Some(volume)) = (fresh, volumes.get_mut(id)) {
            volume.usage.adopt_others(now, demand.value, demand.at);
            self.adopted.insert(id, demand.at);
        }
    }
}

impl Scheduler {
    pub(super) fn on_gossip(&mut self, gossip: &PeerGossip) {
        for (id, until) in &gossip.held_back_until {
            if let Some(endpoint) = self.endpoints.get_mut(*id) {
                endpoint.health.held_back_until = endpoint.health.held_back_until.max(*until);
            }
        }
        self.gossip.replace(gossip, &mut self.volumes, self.now);
    }

    /// Counts a request's demand; a volume met for the first time learns of others' demand.
    pub(super) fn record_demand(&mut self, request: &Request) {
        let is_new = !self.volumes.contains(request.volume);
        self.volumes.record_request(request, &self.settings, self.started_at, self.now);
        if is_new {
            self.gossip.introduce(request.volume, &mut self.volumes, self.now);
        }
    }

    /// Units that an endpoint may be sent now: of its capacity in slow start, what others say they sent it comes off.
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
        let left = self.slow_start.capacity_beside_others(&endpoint.start, sent.value, &context);
        if left < capacity.units {
            self.timer.wake_by((sent.at + window).min(now + SECOND / 10));
        }
        capacity.units.min(left)
    }

    /// The rules that all initiators share.
    pub fn rules(&self) -> &SharedRules {
        &self.settings.rules
    }

    /// Units that this initiator sent an endpoint within `window`, of those that count against its slow start.
    pub fn units_sent(&self, id: EndpointId, window: Duration, now: Duration) -> f64 {
        self.endpoints.get(id).map_or(0.0, |endpoint| endpoint.start.units_sent_within(window, now))
    }

    /// Units a second that this initiator is asked for, by volume.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (VolumeId, f64)> + '_ {
        let rates =
            self.volumes.iter().map(move |(id, volume)| (id, volume.usage.demand.get(now, SMOOTHING_TIME)));
        rates.filter(|(_, rate)| *rate > MIN_REPORTED_DEMAND)
    }
}
