//! What is played with a fleet of hollow initiators, and what of it is measured.

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

/// The part of packets lost in the measured plans.
pub const LOSS: f64 = 0.05;
/// The part of all pairs that know each other before a plan begins: at this loss there may always be some
/// that are just taken for dead.
const MET: f64 = 0.995;
/// They do so soon after a start at once, or the plan is given up.
const MEETING: Duration = Duration::from_secs(120);
/// Who has not acted on a drain by then never does.
pub const NEVER: Duration = Duration::from_secs(30);
const DRAINS: usize = 6;
const DRAIN_EVERY: Duration = Duration::from_secs(3);

/// Takes rows of one plan.
pub struct Book<'a> {
    pub rows: &'a mut Vec<Row>,
    pub arm: &'static str,
    pub plan: &'a str,
    pub initiators: usize,
    pub seed: u64,
}

impl Book<'_> {
    pub fn note(&mut self, measure: impl Into<String>, value: f64) {
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

/// A fleet whose initiators know each other, and whose brokers talk since a moment.
pub fn met(size: Size, arm: Arm, seed: u64) -> Result<Fleet, String> {
    let mut fleet = Fleet::new(size, arm, LOSS, seed);
    while fleet.met_part() < MET {
        if fleet.now >= MEETING {
            return Err(format!("{} initiators have not met within {MEETING:?}", size.initiators));
        }
        fleet.play(fleet.now + SECOND);
    }
    fleet.talk();
    // Those that speak the spread find out of each other after the start: what that costs is not what a day
    // costs.
    while fleet.unmet_part() > 1.0 - MET && fleet.now < 2 * MEETING {
        fleet.play(fleet.now + SECOND);
    }
    Ok(fleet)
}

/// Bytes and processor time of a span, by initiator.
fn costs(fleet: &mut Fleet, span: Duration, book: &mut Book) {
    fleet.count_anew();
    let (seen, from) = (fleet.seen, fleet.now);
    fleet.play(from + span);
    let (count, secs) = (fleet.hollows.len() as f64, span.as_secs_f64());
    let sum = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).sum::<f64>();
    let most = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).fold(0.0, f64::max);
    book.note("bytes", sum(&|h| h.traffic.all as f64) / count / secs);
    book.note("bytes_greatest", most(&|h| h.traffic.all as f64) / secs);
    book.note("bytes_worst_second", most(&|h| h.traffic.worst_second as f64));
    book.note("bytes_across", sum(&|h| h.traffic.across as f64) / count / secs);
    book.note("datagrams", sum(&|h| h.traffic.datagrams as f64) / count / secs);
    book.note("core_percent", 100.0 * sum(&|h| h.cpu.iter().sum::<Duration>().as_secs_f64()) / count / secs);
    book.note(
        "core_percent_greatest",
        100.0 * most(&|h| h.cpu.iter().sum::<Duration>().as_secs_f64()) / secs,
    );
    for (part, name) in ["core_members", "core_broker", "core_spread"].into_iter().enumerate() {
        book.note(name, 100.0 * sum(&|h| h.cpu[part].as_secs_f64()) / count / secs);
    }
    book.note("bytes_sent_news", sum(&|h| h.news.all as f64) / count / secs);
    book.note("bytes_sent_sums", sum(&|h| h.sums.all as f64) / count / secs);
    let begun = fleet.seen.exchanges - seen.exchanges;
    book.note("ceilings_passed", sum(&|h| (h.news.passed + h.sums.passed) as f64));
    book.note("totals", (fleet.seen.totals - seen.totals) as f64 / count / secs);
    book.note("exchanges", begun as f64 / count / secs);
    book.note("exchanges_failed", (fleet.seen.failed - seen.failed) as f64 / begun.max(1) as f64);
    book.note("taken_for_dead", (fleet.seen.taken_for_dead - seen.taken_for_dead) as f64);
}

/// What control costs, where nothing happens or clients use volumes, and what the fleet takes in memory then.
pub fn cost(size: Size, arm: Arm, busy: bool, seed: u64, book: &mut Book) -> Result<(), String> {
    let before = crate::ALLOCATOR.allocated();
    let mut fleet = met(size, arm, seed)?;
    book.note("met_after_s", fleet.now.as_secs_f64());
    if busy {
        fleet.grow_busy();
    }
    // Demand is smoothed over two seconds, and counts for four.
    fleet.play(fleet.now + 8 * SECOND);
    costs(&mut fleet, 10 * SECOND, book);
    let grown = crate::ALLOCATOR.allocated().saturating_sub(before);
    book.note("memory_megabytes", grown as f64 / 1e6 / size.initiators as f64);
    Ok(())
}

/// So many of them, no one twice.
pub fn some(rng: &mut StdRng, of: usize, count: usize) -> Vec<usize> {
    let mut all: Vec<usize> = (0..of).collect();
    all.shuffle(rng);
    all.truncate(count);
    all
}

/// Every few seconds a box drains, and one initiator alone hears of it from its list.
pub fn spread(size: Size, arm: Arm, seed: u64, book: &mut Book) -> Result<(), String> {
    let mut fleet = met(size, arm, seed)?;
    fleet.play(fleet.now + 3 * SECOND);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xd7a1);
    let boxes = some(&mut rng, size.boxes, DRAINS);
    let teller = rng.random_range(0..size.initiators);
    let mut told: BTreeMap<usize, Duration> = BTreeMap::new();
    for b in &boxes {
        fleet.play(fleet.now + DRAIN_EVERY - Duration::from_micros(rng.random_range(0..1_000_000)));
        told.insert(*b, fleet.now);
        fleet.list_says(teller, [*b], Readiness::Draining);
    }
    fleet.play(fleet.now + NEVER);
    let mut acted: BTreeSet<(usize, usize)> = BTreeSet::new();
    let mut times: BTreeMap<u64, u64> = BTreeMap::new();
    for (when, i, b) in &fleet.acted {
        let Some(from) = told.get(b).filter(|_| *i != teller) else { continue };
        let took = when.saturating_sub(*from);
        if took <= NEVER && acted.insert((*b, *i)) {
            *times.entry(took.as_millis() as u64).or_default() += 1;
        }
    }
    times.into_iter().for_each(|(ms, count)| book.note(format!("known_after_ms:{ms}"), count as f64));
    book.note("pairs", (boxes.len() * (size.initiators - 1)) as f64);
    book.note("taken_for_dead", fleet.seen.taken_for_dead as f64);
    Ok(())
}

/// The part of a sum's truth that an estimate hits, in percent: 100 within what the truth was of late.
fn hit(estimate: Option<u64>, truths: &[u64]) -> f64 {
    let (Some(least), Some(most)) = (truths.iter().min(), truths.iter().max()) else { return 100.0 };
    let Some(estimate) = estimate else { return if *least == 0 { 100.0 } else { 0.0 } };
    let off = least.saturating_sub(estimate).max(estimate.saturating_sub(*most));
    (100.0 * (1.0 - off as f64 / (*most).max(1) as f64)).max(0.0)
}

/// What all were asked for at a moment by volume, and what each was.
type Moment = (BTreeMap<u64, u64>, Vec<BTreeMap<u64, u64>>);

/// Clients use volumes: what each is told that the others are asked for, against what they are. Then a tenth
/// dies.
pub fn sums(size: Size, arm: Arm, seed: u64, book: &mut Book) -> Result<(), String> {
    let mut fleet = met(size, arm, seed)?;
    fleet.grow_busy();
    fleet.play(fleet.now + 8 * SECOND);
    // What each was asked for over the last four seconds, and the sums of it.
    let mut past: VecDeque<Moment> = VecDeque::new();
    let mut hits: BTreeMap<u64, u64> = BTreeMap::new();
    let (mut samples, mut twice) = (0, 0);
    for step in 0..24 {
        fleet.play(fleet.now + SECOND / 2);
        let own: Vec<_> = fleet.hollows.iter().map(|h| h.own.clone()).collect();
        let mut all = BTreeMap::new();
        own.iter().flatten().for_each(|(volume, rate)| *all.entry(*volume).or_default() += rate);
        past.push_back((all, own));
        if past.len() > 8 {
            past.pop_front();
        }
        if step < 8 || step % 2 == 1 {
            continue;
        }
        let used = users(&fleet);
        for (i, hollow) in fleet.hollows.iter().enumerate() {
            for volume in hollow.own.keys() {
                let truth = |(all, own): &Moment| {
                    let at = |of: &BTreeMap<u64, u64>| of.get(volume).copied().unwrap_or_default();
                    at(all) - at(&own[i])
                };
                let truths: Vec<u64> = past.iter().map(truth).collect();
                let told = hollow.others.get(volume);
                *hits.entry(hit(told.map(|t| t.others), &truths) as u64).or_default() += 1;
                samples += 1;
                twice += u64::from(told.is_some_and(|t| u64::from(t.contributors) > used[volume]));
            }
        }
    }
    hits.into_iter().for_each(|(percent, count)| book.note(format!("hit_percent:{percent}"), count as f64));
    book.note("samples", samples as f64);
    book.note("counted_twice", twice as f64);
    let mut rng = StdRng::seed_from_u64(seed ^ 0xdead);
    some(&mut rng, size.initiators, size.initiators / 10).into_iter().for_each(|i| fleet.kill(i));
    fleet.play(fleet.now + 10 * SECOND);
    let mut of_dead = 0;
    for _ in 0..6 {
        let used = users(&fleet);
        for hollow in fleet.hollows.iter().filter(|h| h.alive) {
            let more = |(volume, told): (&u64, &Total)| {
                u64::from(told.contributors) > used.get(volume).copied().unwrap_or_default()
            };
            of_dead += hollow.others.iter().filter(|told| more(*told)).count();
        }
        fleet.play(fleet.now + SECOND / 2);
    }
    book.note("of_dead", of_dead as f64);
    Ok(())
}

/// How many that live use each volume.
fn users(fleet: &Fleet) -> BTreeMap<u64, u64> {
    let mut used = BTreeMap::new();
    let alive = fleet.hollows.iter().filter(|h| h.alive);
    alive.flat_map(|h| h.own.keys()).for_each(|volume| *used.entry(*volume).or_default() += 1);
    used
}
