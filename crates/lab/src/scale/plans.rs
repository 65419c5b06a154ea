//! The plans that a fleet of hollow initiators runs, and what each of them measures.

use super::fleet::{Arm, Fleet, Size};
use super::Row;
use crate::fleet::SECOND;
use rand::rngs::StdRng;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use shaletack_core::interface::Readiness;
use shaletack_gossip::aggregation::Total;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// Fraction of packets that are lost in the measured plans.
pub const PACKET_LOSS: f64 = 0.05;
/// Fraction of all pairs of initiators that must know each other before a plan begins. It is below 1 because
/// at this packet loss, some members may be wrongly considered dead at any time.
const CONVERGED_FRACTION: f64 = 0.995;
/// Virtual time within which a fleet whose initiators all start at once must converge; otherwise the plan
/// fails.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(120);
/// An initiator that has not reacted to a drain within this time counts as never reacting.
pub const REACTION_TIMEOUT: Duration = Duration::from_secs(30);
/// Number of drains in the `spread` plan.
const DRAINS: usize = 6;
/// Longest time between two drains; up to one second is subtracted at random.
const DRAIN_INTERVAL: Duration = Duration::from_secs(3);

/// Collects the rows of one plan.
pub struct Recorder<'a> {
    /// The rows collected so far.
    pub rows: &'a mut Vec<Row>,
    /// Name of the arm.
    pub arm: &'static str,
    /// Name of the plan.
    pub plan: &'a str,
    /// Number of initiators.
    pub initiators: usize,
    /// The seed.
    pub seed: u64,
}

impl Recorder<'_> {
    /// Adds the value of one measure.
    pub fn record(&mut self, measure: impl Into<String>, value: f64) {
        self.rows.push(Row {
            arm: self.arm.into(),
            plan: self.plan.into(),
            initiators: self.initiators,
            seed: self.seed,
            measure: measure.into(),
            value,
        });
    }
}

/// Returns a fleet whose initiators know each other and have just started to exchange reports.
pub fn converged_fleet(size: Size, arm: Arm, seed: u64) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(size, arm, PACKET_LOSS, seed);
    while fleet.known_pair_fraction() < CONVERGED_FRACTION {
        if fleet.now >= CONVERGENCE_TIMEOUT {
            return Err(format!(
                "{} initiators did not learn of each other within {CONVERGENCE_TIMEOUT:?}",
                size.initiators
            ));
        }
        fleet.run_until(fleet.now + SECOND);
    }
    fleet.start_gossip();
    // Initiators confirm each other's support of gossip datagrams after the start. The cost of that is
    // excluded, because it does not recur.
    while fleet.unconfirmed_pair_fraction() > 1.0 - CONVERGED_FRACTION && fleet.now < 2 * CONVERGENCE_TIMEOUT
    {
        fleet.run_until(fleet.now + SECOND);
    }
    Ok(fleet)
}

/// Runs the fleet for a span and records the bytes and the processor time of an initiator in it.
fn costs(fleet: &mut Fleet, span: Duration, recorder: &mut Recorder) {
    fleet.reset_costs();
    let (counters, from) = (fleet.counters, fleet.now);
    fleet.run_until(from + span);
    let (count, secs) = (fleet.hollows.len() as f64, span.as_secs_f64());
    let sum = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).sum::<f64>();
    let most = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).fold(0.0, f64::max);
    recorder.record("bytes", sum(&|h| h.traffic.total_bytes as f64) / count / secs);
    recorder.record("bytes_greatest", most(&|h| h.traffic.total_bytes as f64) / secs);
    recorder.record("bytes_worst_second", most(&|h| h.traffic.worst_second as f64));
    recorder.record("bytes_across", sum(&|h| h.traffic.cross_region_bytes as f64) / count / secs);
    recorder.record("datagrams", sum(&|h| h.traffic.datagrams as f64) / count / secs);
    recorder.record(
        "core_percent",
        100.0 * sum(&|h| h.cpu_time.iter().sum::<Duration>().as_secs_f64()) / count / secs,
    );
    recorder.record(
        "core_percent_greatest",
        100.0 * most(&|h| h.cpu_time.iter().sum::<Duration>().as_secs_f64()) / secs,
    );
    for (part, name) in ["core_members", "core_broker", "core_spread"].into_iter().enumerate() {
        recorder.record(name, 100.0 * sum(&|h| h.cpu_time[part].as_secs_f64()) / count / secs);
    }
    recorder.record("bytes_sent_news", sum(&|h| h.observation_traffic.total_bytes as f64) / count / secs);
    recorder.record("bytes_sent_sums", sum(&|h| h.aggregation_traffic.total_bytes as f64) / count / secs);
    let started = fleet.counters.exchanges - counters.exchanges;
    recorder.record(
        "ceilings_passed",
        sum(&|h| {
            (h.observation_traffic.limit_exceeded_seconds + h.aggregation_traffic.limit_exceeded_seconds)
                as f64
        }),
    );
    recorder.record("totals", (fleet.counters.totals - counters.totals) as f64 / count / secs);
    recorder.record("exchanges", started as f64 / count / secs);
    recorder
        .record("exchanges_failed", (fleet.counters.failed - counters.failed) as f64 / started.max(1) as f64);
    recorder.record("taken_for_dead", (fleet.counters.false_deaths - counters.false_deaths) as f64);
}

/// Measures what the control traffic costs while the fleet is idle or, with `busy`, while clients use
/// volumes, and how much memory the fleet uses.
pub fn cost(size: Size, arm: Arm, busy: bool, seed: u64, recorder: &mut Recorder) -> Result<(), String> {
    let before = crate::ALLOCATOR.allocated();
    let mut fleet = converged_fleet(size, arm, seed)?;
    recorder.record("met_after_s", fleet.now.as_secs_f64());
    if busy {
        fleet.start_load();
    }
    // Demand is smoothed over two seconds and stays valid for four.
    fleet.run_until(fleet.now + 8 * SECOND);
    costs(&mut fleet, 10 * SECOND, recorder);
    let grown = crate::ALLOCATOR.allocated().saturating_sub(before);
    recorder.record("memory_megabytes", grown as f64 / 1e6 / size.initiators as f64);
    Ok(())
}

/// Draws `count` distinct numbers below `of`.
pub fn sample(rng: &mut StdRng, of: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(count);
    all
}

/// Measures how soon a drain is known: every few seconds an endpoint drains, and the endpoint list of only
/// one initiator shows it.
pub fn spread(size: Size, arm: Arm, seed: u64, recorder: &mut Recorder) -> Result<(), String> {
    let mut fleet = converged_fleet(size, arm, seed)?;
    fleet.run_until(fleet.now + 3 * SECOND);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xd7a1);
    let endpoints = sample(&mut rng, size.endpoints, DRAINS);
    let notified_initiator = rng.random_range(0..size.initiators);
    let mut notified_at: BTreeMap<usize, Duration> = BTreeMap::new();
    for b in &endpoints {
        fleet.run_until(fleet.now + DRAIN_INTERVAL - Duration::from_micros(rng.random_range(0..1_000_000)));
        notified_at.insert(*b, fleet.now);
        fleet.deliver_list_change(notified_initiator, [*b], Readiness::Draining);
    }
    fleet.run_until(fleet.now + REACTION_TIMEOUT);
    let mut counted: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut times: BTreeMap<u64, u64> = BTreeMap::new();
    for (when, i, b) in &fleet.drain_reactions {
        let Some(from) = notified_at.get(b).filter(|_| *i != notified_initiator) else { continue };
        let delay = when.saturating_sub(*from);
        if delay <= REACTION_TIMEOUT && counted.insert((*b, *i)) {
            *times.entry(delay.as_millis() as u64).or_default() += 1;
        }
    }
    times.into_iter().for_each(|(ms, count)| recorder.record(format!("known_after_ms:{ms}"), count as f64));
    recorder.record("pairs", (endpoints.len() * (size.initiators - 1)) as f64);
    recorder.record("taken_for_dead", fleet.counters.false_deaths as f64);
    Ok(())
}

/// Returns the accuracy of an estimated sum in percent: 100 if the estimate lies within the range of the
/// recent true values.
fn accuracy_percent(estimate: Option<u64>, truths: &[u64]) -> f64 {
    let (Some(least), Some(most)) = (truths.iter().min(), truths.iter().max()) else { return 100.0 };
    let Some(estimate) = estimate else { return if *least == 0 { 100.0 } else { 0.0 } };
    let deviation = least.saturating_sub(estimate).max(estimate.saturating_sub(*most));
    (100.0 * (1.0 - deviation as f64 / (*most).max(1) as f64)).max(0.0)
}

/// The demand at one moment by volume: of all initiators together, and of each of them.
type DemandSample = (BTreeMap<u64, u64>, Vec<BTreeMap<u64, u64>>);

/// Measures the accuracy of the summed demand: while clients use volumes, compares what each initiator is
/// told of the others' demand with the true value. Then a tenth of the initiators is killed, and the plan
/// counts the sums that still include dead ones ten seconds later.
pub fn sums(size: Size, arm: Arm, seed: u64, recorder: &mut Recorder) -> Result<(), String> {
    let mut fleet = converged_fleet(size, arm, seed)?;
    fleet.start_load();
    fleet.run_until(fleet.now + 8 * SECOND);
    // The demand of each initiator in the last four seconds, and its sums.
    let mut past: VecDeque<DemandSample> = VecDeque::new();
    let mut accuracies: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut samples, mut counted_twice) = (0, 0);
    for step in 0..24 {
        fleet.run_until(fleet.now + SECOND / 2);
        let own_demand: Vec<_> = fleet.hollows.iter().map(|h| h.own_demand.clone()).collect();
        let mut all = BTreeMap::new();
        own_demand.iter().flatten().for_each(|(volume, rate)| *all.entry(*volume).or_default() += rate);
        past.push_back((all, own_demand));
        if past.len() > 8 {
            past.pop_front();
        }
        if step < 8 || step % 2 == 1 {
            continue;
        }
        let users = volume_users(&fleet);
        for (i, hollow) in fleet.hollows.iter().enumerate() {
            for volume in hollow.own_demand.keys() {
                let truth = |(all, own_demand): &DemandSample| {
                    let at = |of: &BTreeMap<u64, u64>| of.get(volume).copied().unwrap_or_default();
                    at(all) - at(&own_demand[i])
                };
                let truths: Vec<u64> = past.iter().map(truth).collect();
                let total = hollow.peer_demand.get(volume);
                *accuracies.entry(accuracy_percent(total.map(|t| t.others), &truths) as u64).or_default() +=
                    1;
                samples += 1;
                counted_twice += u64::from(total.is_some_and(|t| u64::from(t.contributors) > users[volume]));
            }
        }
    }
    accuracies
        .into_iter()
        .for_each(|(percent, count)| recorder.record(format!("hit_percent:{percent}"), count as f64));
    recorder.record("samples", samples as f64);
    recorder.record("counted_twice", counted_twice as f64);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xdead);
    sample(&mut rng, size.initiators, size.initiators / 10).into_iter().for_each(|i| fleet.kill(i));
    fleet.run_until(fleet.now + 10 * SECOND);
    let mut of_dead = 0;
    for _ in 0..6 {
        let users = volume_users(&fleet);
        for hollow in fleet.hollows.iter().filter(|h| h.alive) {
            let more = |(volume, total): (&u64, &Total)| {
                u64::from(total.contributors) > users.get(volume).copied().unwrap_or_default()
            };
            of_dead += hollow.peer_demand.iter().filter(|total| more(*total)).count();
        }
        fleet.run_until(fleet.now + SECOND / 2);
    }
    recorder.record("of_dead", of_dead as f64);
    Ok(())
}

/// Returns how many live initiators use each volume.
fn volume_users(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let mut users = BTreeMap::new();
    let alive = fleet.hollows.iter().filter(|h| h.alive);
    alive.flat_map(|h| h.own_demand.keys()).for_each(|volume| *users.entry(*volume).or_default() += 1);
    users
}
