//! What goes wrong in a large fleet, and how long after it all know again what they should.

use super::fleet::{Arm, Fleet, Size};
use super::plans::{met, some, Book};
use crate::fleet::{MILLISECOND, SECOND};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_core::interface::Readiness::{self, Draining, Ready};
use std::collections::BTreeSet;
use std::time::Duration;

/// Who does not know by then never does.
const NEVER: Duration = Duration::from_secs(60);
/// So long after links heal or processes go on, members may still be taken for dead by what was said before.
const AFTERMATH: Duration = Duration::from_secs(20);
/// Stale facts of a zone that was cut off.
const STALE: usize = 400;
/// An hour's cut is played with no more initiators than this.
const HOUR_MOST: usize = 90;

/// A plan leaves the fleet at the moment from which healing counts.
pub type Plan = fn(&mut Stage);

pub const PLANS: [(&str, Plan); 12] = [
    ("tenth-killed", |s| s.kill(10)),
    ("third-killed", |s| s.kill(3)),
    ("tenth-restarted", restarted),
    ("zone-cut-for-a-minute", zone_cut),
    ("regions-cut-for-an-hour", regions_cut),
    ("all-started-at-once", |s| s.pass(10 * SECOND).drain(1)),
    ("partners-that-never-answer", mute),
    ("loss-of-a-fifth-and-doubling", lossy),
    ("box-that-flaps", flapping),
    ("two-lives-of-one-name", twins),
    ("noise", noise),
    ("stopped-for-20-s", stopped),
];

/// A fleet and what its initiators should know.
pub struct Stage {
    fleet: Fleet,
    rng: StdRng,
    /// The one whose list speaks.
    teller: usize,
    /// Boxes that take no work.
    out: BTreeSet<usize>,
    /// Those whose own list says so.
    exempt: BTreeSet<usize>,
}

impl Stage {
    fn pass(&mut self, span: Duration) -> &mut Self {
        self.fleet.play(self.fleet.now + span);
        self
    }

    fn says(&mut self, teller: usize, boxes: &[usize], readiness: Readiness) {
        self.exempt.insert(teller);
        self.fleet.list_says(teller, boxes.iter().copied(), readiness);
        match readiness {
            Ready => self.out.retain(|b| !boxes.contains(b)),
            _ => self.out.extend(boxes),
        }
    }

    /// So many boxes drain.
    fn drain(&mut self, count: usize) {
        let boxes = some(&mut self.rng, self.fleet.size.boxes, count);
        self.says(self.teller, &boxes, Draining);
    }

    /// One of so many dies, all at once; a box drains just then.
    fn kill(&mut self, of: usize) {
        let teller = self.teller;
        let dying = some(&mut self.rng, self.fleet.size.initiators, self.fleet.size.initiators / of);
        dying.into_iter().filter(|i| *i != teller).for_each(|i| self.fleet.kill(i));
        self.drain(1);
    }

    fn others(&mut self, count: usize) -> Vec<usize> {
        let teller = self.teller;
        let drawn = some(&mut self.rng, self.fleet.size.initiators, count + 1);
        drawn.into_iter().filter(|i| *i != teller).take(count).collect()
    }

    fn sides(&mut self, side: impl Fn(usize) -> u8) {
        self.fleet.links.sides = (0..self.fleet.size.initiators).map(side).collect();
        self.fleet.troubled_until = Duration::MAX;
    }

    fn heal(&mut self) {
        self.fleet.links.sides.fill(0);
        self.fleet.troubled_until = self.fleet.now + AFTERMATH;
    }

    fn healed(&self) -> bool {
        let hollows = self.fleet.hollows.iter().enumerate();
        let bound = |(i, h): &(usize, &super::fleet::Hollow)| h.alive && !h.mute && !self.exempt.contains(i);
        hollows.filter(bound).all(|(_, h)| h.stopped == self.out)
    }
}

fn restarted(s: &mut Stage) {
    s.drain(1);
    s.pass(10 * SECOND);
    let those = s.others(s.fleet.size.initiators / 10);
    s.fleet.troubled_until = s.fleet.now + AFTERMATH;
    those.into_iter().for_each(|i| s.fleet.restart(i));
}

fn zone_cut(s: &mut Stage) {
    let (zones, boxes) = (s.fleet.size.zones, s.fleet.size.boxes);
    let cut_off = (s.teller + 1) % zones;
    let within = (0..s.fleet.size.initiators).find(|i| i % zones == cut_off).unwrap_or(s.teller);
    s.sides(|i| u8::from(i % zones == cut_off));
    s.pass(30 * SECOND);
    let stale = some(&mut s.rng, boxes, STALE.min(boxes / 2));
    s.says(within, &stale, Draining);
    s.says(s.teller, &stale, Draining);
    s.pass(15 * SECOND);
    s.says(s.teller, &stale, Ready);
    s.pass(15 * SECOND);
    s.heal();
}

fn regions_cut(s: &mut Stage) {
    let regions = s.fleet.size.regions;
    let zones = s.fleet.size.zones;
    s.sides(|i| (i % zones % regions) as u8);
    s.pass(3590 * SECOND);
    s.drain(30);
    s.pass(10 * SECOND);
    s.heal();
}

fn mute(s: &mut Stage) {
    let those = s.others(s.fleet.size.initiators / 50 + 1);
    those.into_iter().for_each(|i| s.fleet.hollows[i].mute = true);
    s.pass(2 * SECOND).drain(2);
}

fn lossy(s: &mut Stage) {
    (s.fleet.links.loss, s.fleet.links.doubling) = (0.2, 0.2);
    s.pass(20 * SECOND).drain(2);
}

fn flapping(s: &mut Stage) {
    let b = s.rng.random_range(0..s.fleet.size.boxes);
    for _ in 0..5 {
        s.says(s.teller, &[b], Draining);
        s.pass(SECOND);
        s.says(s.teller, &[b], Ready);
        s.pass(SECOND);
    }
    s.drain(1);
}

fn twins(s: &mut Stage) {
    let [one, other] = s.others(2)[..] else { return };
    s.fleet.troubled_until = s.fleet.now + AFTERMATH;
    s.fleet.restart_as(other, one);
    s.pass(5 * SECOND);
    let boxes = some(&mut s.rng, s.fleet.size.boxes, 2);
    s.says(one, &boxes[..1], Draining);
    s.pass(SECOND);
    // Its list speaks later, and names both.
    s.says(other, &boxes, Draining);
}

fn noise(s: &mut Stage) {
    for _ in 0..100 {
        s.fleet.noise(20);
        s.pass(20 * MILLISECOND);
    }
    s.drain(2);
    for _ in 0..50 {
        s.fleet.noise(20);
        s.pass(20 * MILLISECOND);
    }
}

fn stopped(s: &mut Stage) {
    let those = s.others(s.fleet.size.initiators / 50 + 1);
    s.fleet.troubled_until = Duration::MAX;
    those.iter().for_each(|i| s.fleet.pause(*i));
    s.pass(5 * SECOND).drain(2);
    s.pass(15 * SECOND);
    those.iter().for_each(|i| s.fleet.resume(*i));
    s.fleet.troubled_until = s.fleet.now + AFTERMATH;
}

/// Plays one plan, and notes how long healing took and what it cost.
pub fn play(size: Size, arm: Arm, name: &str, plan: Plan, seed: u64, book: &mut Book) -> Result<(), String> {
    let hour = name.contains("hour");
    let initiators = if hour { size.initiators.min(HOUR_MOST) } else { size.initiators };
    let size = Size { initiators, ..size };
    let mut fleet = if name.starts_with("all-started") {
        let mut fleet = Fleet::new(size, arm, super::plans::LOSS, seed);
        fleet.talk_at_once();
        fleet
    } else {
        met(size, arm, seed)?
    };
    if fleet.now > Duration::ZERO {
        fleet.play(fleet.now + 2 * SECOND);
    }
    fleet.count_anew();
    let dead = fleet.seen.taken_for_dead;
    let mut rng = StdRng::seed_from_u64(seed ^ 0xfa17);
    let teller = rng.random_range(0..initiators);
    let (out, exempt) = (BTreeSet::new(), BTreeSet::new());
    let mut stage = Stage { fleet, rng, teller, out, exempt };
    plan(&mut stage);
    let from = stage.fleet.now;
    while !stage.healed() && stage.fleet.now < from + NEVER {
        stage.pass(50 * MILLISECOND);
    }
    let healed = if stage.healed() { (stage.fleet.now - from).as_secs_f64() } else { f64::INFINITY };
    book.note(format!("{name}:healed_s"), healed);
    stage.pass(5 * SECOND);
    let fleet = &stage.fleet;
    let sum = |of: &dyn Fn(&super::fleet::Hollow) -> u64| fleet.hollows.iter().map(of).sum::<u64>();
    let most = |of: &dyn Fn(&super::fleet::Hollow) -> f64| fleet.hollows.iter().map(of).fold(0.0, f64::max);
    book.note(format!("{name}:initiators"), initiators as f64);
    book.note(format!("{name}:taken_for_dead"), (fleet.seen.taken_for_dead - dead) as f64);
    book.note(format!("{name}:bytes_worst_second"), most(&|h| h.traffic.worst_second as f64));
    book.note(format!("{name}:not_taken"), fleet.seen.bad as f64);
    book.note(format!("{name}:ceilings_passed"), sum(&|h| h.news.passed + h.sums.passed) as f64);
    book.note(format!("{name}:met_part"), fleet.met_part());
    Ok(())
}
