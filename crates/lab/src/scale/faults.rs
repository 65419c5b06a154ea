//! Faults in a large fleet, and the time until all initiators know again which endpoints drain.

use super::fleet::{Arm, Fleet, Size};
use super::plans::{converged_fleet, sample, Recorder};
use crate::fleet::{MILLISECOND, SECOND};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_core::interface::Readiness::{self, Draining, Ready};
use std::collections::BTreeSet;
use std::time::Duration;

/// A fleet that has not healed within this time counts as never healing.
const HEALING_TIMEOUT: Duration = Duration::from_secs(60);
/// Time after links are restored or processes resume during which live members may still be considered dead,
/// owing to messages from before.
const RECOVERY_GRACE: Duration = Duration::from_secs(20);
/// Number of endpoints about which a partitioned zone holds stale reports.
const STALE_REPORTS: usize = 400;
/// Maximum number of initiators in a partition that lasts an hour.
const MAX_INITIATORS_FOR_HOUR: usize = 90;

/// Applies a fault. The time to heal is measured from the moment at which the function returns.
pub type Plan = fn(&mut FaultScenario);

/// All fault plans by name.
pub const PLANS: [(&str, Plan); 12] = [
    ("tenth-killed", |s| s.kill(10)),
    ("third-killed", |s| s.kill(3)),
    ("tenth-restarted", restarted),
    ("zone-cut-for-a-minute", zone_cut),
    ("regions-cut-for-an-hour", regions_cut),
    ("all-started-at-once", |s| s.advance(10 * SECOND).drain(1)),
    ("partners-that-never-answer", unresponsive),
    ("loss-of-a-fifth-and-doubling", lossy),
    ("box-that-flaps", flapping),
    ("two-lives-of-one-name", twins),
    ("noise", noise),
    ("stopped-for-20-s", stopped),
];

/// A fleet and what its initiators should know.
pub struct FaultScenario {
    fleet: Fleet,
    rng: StdRng,
    /// The initiator that receives changes of the endpoint list.
    notified_initiator: usize,
    /// Endpoints that drain at present.
    draining: BTreeSet<usize>,
    /// Initiators whose own endpoint list shows the drains, so that they do not depend on their peers.
    notified: BTreeSet<usize>,
}

impl FaultScenario {
    /// Runs the fleet for a span.
    fn advance(&mut self, span: Duration) -> &mut Self {
        self.fleet.run_until(self.fleet.now + span);
        self
    }

    /// Sends a change of the endpoint list to one initiator.
    fn announce(&mut self, initiator: usize, endpoints: &[usize], readiness: Readiness) {
        self.notified.insert(initiator);
        self.fleet.deliver_list_change(initiator, endpoints.iter().copied(), readiness);
        match readiness {
            Ready => self.draining.retain(|b| !endpoints.contains(b)),
            _ => self.draining.extend(endpoints),
        }
    }

    /// Drains `count` endpoints drawn at random.
    fn drain(&mut self, count: usize) {
        let endpoints = sample(&mut self.rng, self.fleet.size.endpoints, count);
        self.announce(self.notified_initiator, &endpoints, Draining);
    }

    /// Kills one in `of` initiators at once and drains an endpoint at the same time.
    fn kill(&mut self, of: usize) {
        let notified_initiator = self.notified_initiator;
        let dying = sample(&mut self.rng, self.fleet.size.initiators, self.fleet.size.initiators / of);
        dying.into_iter().filter(|i| *i != notified_initiator).for_each(|i| self.fleet.kill(i));
        self.drain(1);
    }

    /// Draws `count` initiators other than the one that receives list changes.
    fn other_initiators(&mut self, count: usize) -> Vec<usize> {
        let notified_initiator = self.notified_initiator;
        let drawn = sample(&mut self.rng, self.fleet.size.initiators, count + 1);
        drawn.into_iter().filter(|i| *i != notified_initiator).take(count).collect()
    }

    /// Partitions the network; `side` gives the partition of each initiator.
    fn partition(&mut self, side: impl Fn(usize) -> u8) {
        self.fleet.links.partitions = (0..self.fleet.size.initiators).map(side).collect();
        self.fleet.faults_until = Duration::MAX;
    }

    /// Removes all partitions.
    fn heal(&mut self) {
        self.fleet.links.partitions.fill(0);
        self.fleet.faults_until = self.fleet.now + RECOVERY_GRACE;
    }

    /// Returns whether every initiator that depends on its peers avoids exactly the draining endpoints.
    fn healed(&self) -> bool {
        let hollows = self.fleet.hollows.iter().enumerate();
        let must_know = |(i, h): &(usize, &super::fleet::Hollow)| {
            h.alive && !h.unresponsive && !self.notified.contains(i)
        };
        hollows.filter(must_know).all(|(_, h)| h.avoided_endpoints == self.draining)
    }
}

fn restarted(s: &mut FaultScenario) {
    s.drain(1);
    s.advance(10 * SECOND);
    let affected = s.other_initiators(s.fleet.size.initiators / 10);
    s.fleet.faults_until = s.fleet.now + RECOVERY_GRACE;
    affected.into_iter().for_each(|i| s.fleet.restart(i));
}

fn zone_cut(s: &mut FaultScenario) {
    let (zones, endpoints) = (s.fleet.size.zones, s.fleet.size.endpoints);
    let cut_off = (s.notified_initiator + 1) % zones;
    let within = (0..s.fleet.size.initiators).find(|i| i % zones == cut_off).unwrap_or(s.notified_initiator);
    s.partition(|i| u8::from(i % zones == cut_off));
    s.advance(30 * SECOND);
    let stale = sample(&mut s.rng, endpoints, STALE_REPORTS.min(endpoints / 2));
    s.announce(within, &stale, Draining);
    s.announce(s.notified_initiator, &stale, Draining);
    s.advance(15 * SECOND);
    s.announce(s.notified_initiator, &stale, Ready);
    s.advance(15 * SECOND);
    s.heal();
}

fn regions_cut(s: &mut FaultScenario) {
    let regions = s.fleet.size.regions;
    let zones = s.fleet.size.zones;
    s.partition(|i| (i % zones % regions) as u8);
    s.advance(3590 * SECOND);
    s.drain(30);
    s.advance(10 * SECOND);
    s.heal();
}

fn unresponsive(s: &mut FaultScenario) {
    let affected = s.other_initiators(s.fleet.size.initiators / 50 + 1);
    affected.into_iter().for_each(|i| s.fleet.hollows[i].unresponsive = true);
    s.advance(2 * SECOND).drain(2);
}

fn lossy(s: &mut FaultScenario) {
    (s.fleet.links.loss, s.fleet.links.duplication) = (0.2, 0.2);
    s.advance(20 * SECOND).drain(2);
}

fn flapping(s: &mut FaultScenario) {
    let b = s.rng.random_range(0..s.fleet.size.endpoints);
    for _ in 0..5 {
        s.announce(s.notified_initiator, &[b], Draining);
        s.advance(SECOND);
        s.announce(s.notified_initiator, &[b], Ready);
        s.advance(SECOND);
    }
    s.drain(1);
}

fn twins(s: &mut FaultScenario) {
    let [one, other] = s.other_initiators(2)[..] else { return };
    s.fleet.faults_until = s.fleet.now + RECOVERY_GRACE;
    s.fleet.restart_as(other, one);
    s.advance(5 * SECOND);
    let endpoints = sample(&mut s.rng, s.fleet.size.endpoints, 2);
    s.announce(one, &endpoints[..1], Draining);
    s.advance(SECOND);
    // The list of the second process changes later and covers both endpoints.
    s.announce(other, &endpoints, Draining);
}

fn noise(s: &mut FaultScenario) {
    for _ in 0..100 {
        s.fleet.noise(20);
        s.advance(20 * MILLISECOND);
    }
    s.drain(2);
    for _ in 0..50 {
        s.fleet.noise(20);
        s.advance(20 * MILLISECOND);
    }
}

fn stopped(s: &mut FaultScenario) {
    let affected = s.other_initiators(s.fleet.size.initiators / 50 + 1);
    s.fleet.faults_until = Duration::MAX;
    affected.iter().for_each(|i| s.fleet.pause(*i));
    s.advance(5 * SECOND).drain(2);
    s.advance(15 * SECOND);
    affected.iter().for_each(|i| s.fleet.resume(*i));
    s.fleet.faults_until = s.fleet.now + RECOVERY_GRACE;
}

/// Runs one fault plan and records how long the fleet took to heal and what that cost.
pub fn run(
    size: Size,
    arm: Arm,
    name: &str,
    plan: Plan,
    seed: u64,
    recorder: &mut Recorder,
) -> Result<(), String> {
    let hour = name.contains("hour");
    let initiators = if hour { size.initiators.min(MAX_INITIATORS_FOR_HOUR) } else { size.initiators };
    let size = Size { initiators, ..size };
    let mut fleet = if name.starts_with("all-started") {
        let mut fleet = Fleet::new(size, arm, super::plans::PACKET_LOSS, seed);
        fleet.start_gossip_at_once();
        fleet
    } else {
        converged_fleet(size, arm, seed)?
    };
    if fleet.now > Duration::ZERO {
        fleet.run_until(fleet.now + 2 * SECOND);
    }
    fleet.reset_costs();
    let dead = fleet.counters.false_deaths;
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let notified_initiator = rng.random_range(0..initiators);
    let (draining, notified) = (BTreeSet::new(), BTreeSet::new());
    let mut scenario = FaultScenario { fleet, rng, notified_initiator, draining, notified };
    plan(&mut scenario);
    let from = scenario.fleet.now;
    while !scenario.healed() && scenario.fleet.now < from + HEALING_TIMEOUT {
        scenario.advance(50 * MILLISECOND);
    }
    let healed = if scenario.healed() { (scenario.fleet.now - from).as_secs_f64() } else { f64::INFINITY };
    recorder.record(format!("{name}:healed_s"), healed);
    scenario.advance(5 * SECOND);
    let fleet = &scenario.fleet;
    let sum = |of: &dyn Fn(&super::fleet::Hollow) -> u64| fleet.hollows.iter().map(of).sum::<u64>();
    let most = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).fold(0.0, f64::max);
    recorder.record(format!("{name}:initiators"), initiators as f64);
    recorder.record(format!("{name}:taken_for_dead"), (fleet.counters.false_deaths - dead) as f64);
    recorder.record(format!("{name}:bytes_worst_second"), most(&|h| h.traffic.worst_second as f64));
    recorder.record(format!("{name}:not_taken"), fleet.counters.rejected_messages as f64);
    recorder.record(
        format!("{name}:ceilings_passed"),
        sum(&|h| h.observation_traffic.limit_exceeded_seconds + h.aggregation_traffic.limit_exceeded_seconds)
            as f64,
    );
    recorder.record(format!("{name}:met_part"), fleet.known_pair_fraction());
    Ok(())
}
