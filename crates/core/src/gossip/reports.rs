//! The reports that this initiator sends to its peers: its observations of endpoints, the units it sent to
//! endpoints in slow start, and the demand of its clients.

use super::totals::{Contribution, EndpointUsage, VolumeDemand, MILLI_UNITS};
use super::{GossipState, KnownEndpoint, KnownEndpoints};
use crate::interface::{Readiness, SharedRules};
use crate::scheduler::Scheduler;
use shaletack_observations::{AttemptHistory, Claim, Observation, Report, ReportedReadiness, Subject};
use std::time::Duration;

impl GossipState {
    /// Returns the reports for a peer in an exchange: this process's own observations, units sent and demand,
    /// and the reports of others.
    pub fn exchange_reports(
        &self,
        now: Duration,
        known: &KnownEndpoints,
        scheduler: &Scheduler,
    ) -> Vec<Report> {
        let mut own = self.observations(now, known, scheduler);
        for usage in self.usage(now, known, scheduler).into_iter().filter(|usage| usage.milli_units > 0) {
            let claim = Claim::SlowStartUnits { endpoint: usage.id, milli_units: usage.milli_units };
            own.push(self.observation(claim, usage.start_ms, now));
        }
        for demand in demands(now, scheduler) {
            let claim = Claim::Demand { volume: demand.volume, milli_units_per_second: demand.rate };
            own.push(self.observation(claim, 0, now));
        }
        self.reported.reports_for_exchange(now, &self.me, own)
    }

    /// Returns this process's first-hand observations, for all peers.
    pub fn broadcast_reports(
        &mut self,
        now: Duration,
        known: &KnownEndpoints,
        scheduler: &Scheduler,
    ) -> Vec<Report> {
        self.broadcast_at = now;
        let own = self.observations(now, known, scheduler);
        own.iter().filter_map(|observation| observation.to_report(now, &self.me)).collect()
    }

    /// Returns this process's contribution to the sums over all initiators.
    pub fn contribution(&self, now: Duration, known: &KnownEndpoints, scheduler: &Scheduler) -> Contribution {
        let demand = demands(now, scheduler).collect();
        Contribution { demand, slow_start_usage: self.usage(now, known, scheduler) }
    }

    /// Returns the units that this process sent to each endpoint in slow start within the settings' overload
    /// window.
    fn usage(&self, now: Duration, known: &KnownEndpoints, scheduler: &Scheduler) -> Vec<EndpointUsage> {
        let rules = scheduler.rules();
        let mut usage = Vec::new();
        for (id, endpoint) in known {
            if self.slow_start_since(id, endpoint, rules, now).is_none() {
                continue;
            }
            let units = scheduler.units_sent(endpoint.endpoint, rules.overload_window, now);
            let milli_units = (units * MILLI_UNITS).ceil() as u64;
            usage.push(EndpointUsage { id: (*id).to_owned(), start_ms: endpoint.start_ms(), milli_units });
        }
        usage
    }

    /// Returns when an endpoint started; `None` if the endpoint takes no work or is not in slow start.
    fn slow_start_since(
        &self,
        id: &str,
        endpoint: &KnownEndpoint,
        rules: &SharedRules,
        now: Duration,
    ) -> Option<Duration> {
        if endpoint.started_at.is_zero() || !endpoint.is_ready() {
            return None;
        }
        // An endpoint cannot have started after its start was first known, whatever this process's clock
        // shows.
        let known_since = self.starts.get(id).map_or(now, |start| start.known_since);
        let started_at = endpoint.started_at.min(known_since);
        Some(started_at).filter(|started_at| now < *started_at + rules.slow_start_duration)
    }

    fn observations(&self, now: Duration, known: &KnownEndpoints, scheduler: &Scheduler) -> Vec<Observation> {
        let mut own = Vec::new();
        for (id, endpoint) in known {
            let start_ms = endpoint.start_ms();
            let name = || (*id).to_owned();
            if let Some((readiness, observed_at)) = self.reportable_readiness(id, endpoint, now) {
                let claim = Claim::Readiness { endpoint: name(), readiness };
                own.push(self.observation(claim, start_ms, observed_at));
            }
            let history = self.health.get(&endpoint.endpoint);
            if let Some(observed) = history.and_then(AttemptHistory::observed_health) {
                let claim = Claim::Health { endpoint: name(), health: observed.health };
                own.push(self.observation(claim, start_ms, observed.observed_at));
            }
            if let Some(started_at) = self.slow_start_since(id, endpoint, scheduler.rules(), now) {
                let uptime = now.saturating_sub(started_at);
                own.push(self.observation(Claim::Started { endpoint: name(), uptime }, start_ms, now));
            }
        }
        own
    }

    /// Returns a first-hand observation of this process.
    fn observation(&self, claim: Claim, start_ms: u64, observed_at: Duration) -> Observation {
        let observer = self.me.clone();
        Observation { claim, observer, endpoint_incarnation: start_ms, hops: 0, observed_at }
    }

    /// Returns an endpoint's readiness by the list or an operator, and when that was observed. That an
    /// endpoint takes work is reported only if some initiator may hold the opposite.
    fn reportable_readiness(
        &self,
        id: &str,
        endpoint: &KnownEndpoint,
        now: Duration,
    ) -> Option<(ReportedReadiness, Duration)> {
        if endpoint.suspended {
            return Some((ReportedReadiness::Draining, now));
        }
        let observed_at = self.list_received_at?;
        match endpoint.record.readiness {
            Readiness::Ready if !self.is_readiness_disputed(id) => None,
            Readiness::Ready => Some((ReportedReadiness::Ready, observed_at)),
            Readiness::Draining => Some((ReportedReadiness::Draining, observed_at)),
            Readiness::Removed => Some((ReportedReadiness::Removed, observed_at)),
        }
    }

    /// Returns whether an endpoint was recently known here to take no work, or a peer reports that it takes
    /// none.
    fn is_readiness_disputed(&self, id: &str) -> bool {
        let reported = self.reported.get(&Subject::Readiness(id.to_owned()));
        let ready =
            |claim: &Claim| matches!(claim, Claim::Readiness { readiness: ReportedReadiness::Ready, .. });
        self.not_ready_at.contains_key(id) || reported.is_some_and(|observation| !ready(&observation.claim))
    }
}

/// Returns the demand of this process's clients, by volume.
fn demands(now: Duration, scheduler: &Scheduler) -> impl Iterator<Item = VolumeDemand> + '_ {
    let demands = scheduler.demands(now);
    demands.map(|(volume, rate)| VolumeDemand { volume, rate: (rate * MILLI_UNITS) as u64 })
}
