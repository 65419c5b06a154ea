//! A peer's word against own news. Nothing here gives: advice stops, holds back, makes cold and counts off.

use crate::fact::{Observer, Standing, Topic, What};
use crate::{Knowledge, HELD, RATES, TRUSTED};
use std::time::Duration;

/// What this process knows of a box by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Own {
    /// The start that the own list names.
    pub start: u64,
    /// When the own list last spoke; `None`: it is the one that the program was started with, of any age.
    pub dated: Option<Duration>,
    /// When this process first knew of that start.
    pub met: Duration,
    /// When the box last answered here.
    pub answered: Option<Duration>,
    /// When attempts last failed here, where they fail in a row.
    pub failing: Option<Duration>,
    /// Another box can serve what this one does.
    pub replaced: bool,
}

/// What follows from what peers say of a box.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Nothing new is sent to it until then.
    pub stop_until: Option<Duration>,
    /// It is held back until then.
    pub hold_until: Option<Duration>,
    /// It started then: it is cold, if it was not known to be.
    pub born: Option<Duration>,
}

impl Advice {
    /// When it comes to say something else, with no further news.
    pub fn changes_at(&self) -> Option<Duration> {
        self.stop_until.into_iter().chain(self.hold_until).min()
    }
}

/// What to make of what peers say of a box.
pub fn weigh(known: &Knowledge, id: &str, own: &Own, now: Duration) -> Advice {
    // What was seen of an earlier start says nothing of the process that runs now.
    let fact = |topic: &Topic| known.get(topic).filter(|f| f.start >= own.start);
    let standing = fact(&Topic::Standing(id.into()));
    let stops = |w: &What| matches!(w, What::Standing(_, Standing::Draining | Standing::Gone));
    let newer = |seen: Duration| own.dated.is_none_or(|dated| seen > dated);
    let stop = standing.filter(|f| stops(&f.what) && newer(f.seen)).map(|f| f.seen + TRUSTED);
    let health = fact(&Topic::Health(id.into()));
    let fails = |w: &What| matches!(w, What::Failing(_, true));
    let unheard = |seen: Duration| own.answered.is_none_or(|at| at < seen);
    let failed = health.filter(|f| fails(&f.what) && unheard(f.seen)).map(|f| f.seen).max(own.failing);
    // Where no other box serves the same, a trial is better than to serve nobody.
    let held = failed.filter(|_| own.replaced).map(|seen| seen + HELD);
    let start = fact(&Topic::Start(id.into()));
    // It can't have started after this process knew of that start.
    let born =
        start.and_then(|f| Some(if f.start == own.start { f.born()?.min(own.met) } else { f.born()? }));
    let later = |until: &Duration| *until > now;
    Advice { stop_until: stop.filter(later), hold_until: held.filter(later), born }
}

/// What peers say they have spent at a cold box within a window that ends now, in thousandths of a unit.
pub fn spent(known: &Knowledge, id: &str, start: u64, window: Duration, now: Duration) -> u64 {
    let topic = |t: &Topic| matches!(t, Topic::Spent(of, _) if of == id);
    let counts = known.amounts(topic).filter(|f| f.start >= start && f.age(now) < window);
    let units = counts.map(|f| if let What::Spent(_, units) = f.what { units } else { 0 });
    units.fold(0, u64::saturating_add)
}

/// What peers are asked for, for a volume, a second, in thousandths of a unit, and how old the oldest part is;
/// `None`: nobody said so of late. The last life of a process of this name is not a peer.
pub fn demand(known: &Knowledge, volume: u64, me: &Observer, now: Duration) -> Option<(u64, Duration)> {
    let topic = |t: &Topic| matches!(t, Topic::Demand(of, by) if *of == volume && by.name != me.name);
    let parts = known.amounts(topic).filter(|f| f.age(now) <= RATES);
    let rate = |w: &What| if let What::Demand(_, rate) = w { *rate } else { 0 };
    parts.fold(None, |sum: Option<(u64, Duration)>, f| {
        let (rates, age) = sum.unwrap_or_default();
        Some((rates.saturating_add(rate(&f.what)), age.max(f.age(now))))
    })
}
