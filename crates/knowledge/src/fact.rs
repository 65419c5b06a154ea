//! Facts: what is so, of which start of a box, who saw it, and when.

use crate::{HOPS_MOST, KEPT, NAME_MOST};
use serde::{Deserialize, Serialize};
use std::cmp::{Ordering, Reverse};
use std::time::Duration;

/// Who saw something: a process. A restart under the same name is somebody else.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Observer {
    /// The initiator's name.
    pub name: String,
    /// Drawn at the start of the process.
    pub life: u64,
}

/// What a box is ready for, from best to worst.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Standing {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    Gone,
}

/// What is so. Amounts are in thousandths of a unit, so that facts have a total order.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum What {
    /// The list, or an operator, says so of the box.
    Standing(String, Standing),
    /// Attempts at the box fail, or came back well.
    Failing(String, bool),
    /// The box started so long before this was seen. Told only of boxes that are not warm yet.
    Started(String, Duration),
    /// So much of a cold box's budget the observer spent within the window that the rules name.
    Spent(String, u64),
    /// So much a second the observer is asked for, for a volume.
    Demand(u64, u64),
}

/// What a fact is about: there is one fact for each of these.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// A box's standing.
    Standing(String),
    /// A box's health.
    Health(String),
    /// A box's start.
    Start(String),
    /// What one observer spent at a box.
    Spent(String, Observer),
    /// What one observer is asked for.
    Demand(u64, Observer),
}

/// A fact by the clock of the process that holds it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Fact {
    /// What is so.
    pub what: What,
    /// Who saw it.
    pub by: Observer,
    /// The start of the box that it speaks of: the list's text as a number, a name and no time.
    pub start: u64,
    /// How often it was passed on; 0: first-hand.
    pub hops: u8,
    /// When it was seen.
    pub seen: Duration,
}

/// A fact on its way between two processes: it holds no time of day.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Told {
    /// What is so.
    pub what: What,
    /// Who saw it.
    pub by: Observer,
    /// The start of the box.
    pub start: u64,
    /// How often it was passed on, this time included; 0: the teller saw it.
    pub hops: u8,
    /// How long ago it was seen.
    pub age: Duration,
}

impl What {
    /// The box that it is about, if it is about one.
    pub fn about(&self) -> Option<&str> {
        match self {
            What::Standing(id, _) | What::Failing(id, _) | What::Started(id, _) | What::Spent(id, _) => {
                Some(id)
            }
            What::Demand(..) => None,
        }
    }

    /// How needed it is, the most needed first: what is left out first when not all fits has the greatest number.
    pub fn need(&self) -> u64 {
        match self {
            What::Spent(..) => 0,
            What::Started(..) => 1,
            What::Standing(_, Standing::Draining | Standing::Gone) => 2,
            What::Failing(_, true) => 3,
            What::Standing(..) => 4,
            What::Failing(_, false) => 5,
            What::Demand(_, rate) => u64::MAX - rate.min(&(u64::MAX - 6)),
        }
    }

    /// Amounts count only from who counted them: passed on, they would be counted twice.
    pub fn is_amount(&self) -> bool {
        matches!(self, What::Spent(..) | What::Demand(..))
    }
}

impl Fact {
    /// What it is about.
    pub fn topic(&self) -> Topic {
        match &self.what {
            What::Standing(id, _) => Topic::Standing(id.clone()),
            What::Failing(id, _) => Topic::Health(id.clone()),
            What::Started(id, _) => Topic::Start(id.clone()),
            What::Spent(id, _) => Topic::Spent(id.clone(), self.by.clone()),
            What::Demand(volume, _) => Topic::Demand(*volume, self.by.clone()),
        }
    }

    /// When the box started, by this process's clock, if that is what the fact says.
    pub fn born(&self) -> Option<Duration> {
        match self.what {
            What::Started(_, ago) => Some(self.seen.saturating_sub(ago)),
            _ => None,
        }
    }

    /// How old it is.
    pub fn age(&self, now: Duration) -> Duration {
        now.saturating_sub(self.seen)
    }

    /// As it is passed on by a process that is `me`; `None`: it goes no further.
    pub fn told(&self, now: Duration, me: &Observer) -> Option<Told> {
        let hops = if self.by == *me { 0 } else { self.hops + 1 };
        let further = hops == 0 || hops <= HOPS_MOST && !self.what.is_amount();
        let age = self.age(now);
        let told = || Told { what: self.what.clone(), by: self.by.clone(), start: self.start, hops, age };
        (further && age <= KEPT).then(told)
    }
}

impl Told {
    /// By the clock of who hears it, after half a round trip.
    pub fn heard(self, now: Duration, half_trip: Duration) -> Fact {
        let Told { what, by, start, hops, age } = self;
        let seen = now.saturating_sub(age).saturating_sub(half_trip);
        Fact { what, by, start, hops, seen }
    }

    /// Whether it is within what any honest process says.
    pub fn is_sound(&self) -> bool {
        let names = [Some(self.by.name.as_str()), self.what.about()];
        let named = names.into_iter().flatten().all(|n| !n.is_empty() && n.len() <= NAME_MOST);
        named && self.hops <= HOPS_MOST && self.age <= KEPT && !(self.hops > 0 && self.what.is_amount())
    }
}

/// The merge takes the greater: of the later start, then the later seen, then nearer to who saw it. Of two
/// claims of one start the younger counts: an early one must not make a box warm.
impl Ord for Fact {
    fn cmp(&self, other: &Self) -> Ordering {
        let rank = |f: &Fact| (f.start, f.born(), f.seen, Reverse(f.hops));
        rank(self)
            .cmp(&rank(other))
            .then_with(|| self.by.cmp(&other.by))
            .then_with(|| self.what.cmp(&other.what))
    }
}

impl PartialOrd for Fact {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}
