//! What peers say, beside the core's own news: what of it bears on which box, and what the core tells them.
//! There is none of this where peers are off.

use crate::choice::Scheduler;
use crate::interface::{Attempt, Ending, Event, Hearsay, NodeId, Readiness, VolumeId};
use crate::members::Member;
use shaletack_knowledge::fact::Topic;
use shaletack_knowledge::{
    demand, spent, weigh, Advice, Fact, Health, Knowledge, Observer, Own, Refused, Standing, Told, What, KEPT,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A thousandth of a unit, in which amounts travel.
const MILLI: f64 = 1000.0;

/// One box as the own list and operators have it.
#[derive(Clone, Copy, Debug)]
pub struct Listed<'a> {
    /// Its number at the scheduler.
    pub node: NodeId,
    /// Its entry.
    pub member: &'a Member,
    /// An operator took it out.
    pub suspended: bool,
    /// When it last started, as far as the core knows by itself.
    pub born: Duration,
}

impl Listed<'_> {
    fn start(&self) -> u64 {
        start_of(self.member)
    }

    fn is_ready(&self) -> bool {
        !self.suspended && self.member.readiness == Readiness::Ready
    }
}

/// The list's word for a start, the same at every initiator; 0: long ago.
fn start_of(member: &Member) -> u64 {
    member.up_since.map_or(0, |at| at.as_millis() as u64)
}

/// What changed of the advice on one box.
#[derive(Clone, Debug, PartialEq)]
pub struct Change {
    /// Its name.
    pub id: String,
    /// What peers' words amount to now.
    pub advice: Advice,
    /// Whether an operator would call it news.
    pub news: bool,
}

/// Peers' words and their weight.
#[derive(Clone, Debug)]
pub struct Peers {
    me: Observer,
    knowledge: Knowledge,
    /// When the own list last spoke.
    dated: Option<Duration>,
    /// The start that each box had when it was last listed, and when that was first known.
    met: BTreeMap<String, (u64, Duration)>,
    /// When the own list last said that a box takes no work.
    unready: BTreeMap<String, Duration>,
    health: BTreeMap<NodeId, Health>,
    advice: BTreeMap<String, Advice>,
}

impl Peers {
    /// Nothing is known yet.
    pub fn new(me: Observer) -> Self {
        Peers {
            me,
            knowledge: Knowledge::default(),
            dated: None,
            met: BTreeMap::new(),
            unready: BTreeMap::new(),
            health: BTreeMap::new(),
            advice: BTreeMap::new(),
        }
    }

    /// The list that is followed has spoken, be it to say that nothing changed.
    pub fn listed(&mut self, at: Duration) {
        self.dated = Some(at);
    }

    /// Takes what a peer told.
    pub fn hear(&mut self, at: Duration, trip: Duration, from: &Observer, told: Vec<Told>) -> Refused {
        self.knowledge.hear(at, trip, &self.me, from, told).1
    }

    /// Keeps what attempts say of their boxes; whether one of them fails now.
    pub fn watch(&mut self, at: Duration, events: &[Event]) -> bool {
        let mut failing = false;
        for event in events {
            let Event::Attempt(Attempt { node, ending, .. }) = event else { continue };
            let health = self.health.entry(*node).or_default();
            match ending {
                Ending::Served => health.answers(at),
                Ending::Error | Ending::TimedOut | Ending::Broken | Ending::NoConnection => {
                    failing |= health.fails(at);
                }
                Ending::TurnedAway | Ending::Cancelled | Ending::Void => {}
            }
        }
        failing
    }

    /// The advice on a box, as last reviewed.
    pub fn advice(&self, id: &str) -> Advice {
        self.advice.get(id).copied().unwrap_or_default()
    }

    /// When advice comes to say something else by itself.
    pub fn changes_at(&self) -> Option<Duration> {
        self.advice.values().filter_map(Advice::changes_at).min()
    }

    /// Weighs all anew: which boxes' advice changed.
    pub fn review(&mut self, at: Duration, boxes: &BTreeMap<&str, Listed>) -> Vec<Change> {
        self.knowledge.forget(at, |id| boxes.contains_key(id));
        self.met.retain(|id, _| boxes.contains_key(id.as_str()));
        self.unready.retain(|id, seen| boxes.contains_key(id.as_str()) && at <= *seen + KEPT);
        let nodes: BTreeSet<NodeId> = boxes.values().map(|b| b.node).collect();
        self.health.retain(|node, _| nodes.contains(node));
        for (id, listed) in boxes {
            let start = listed.start();
            let met = self.met.entry((*id).to_owned()).or_insert((start, at));
            if met.0 != start {
                *met = (start, at);
            }
            if !listed.is_ready() {
                self.unready.insert((*id).to_owned(), at);
            }
        }
        let own = |id: &str, listed: &Listed, replaced: bool| Own {
            start: listed.start(),
            dated: self.dated,
            met: self.met.get(id).map_or(at, |(_, met)| *met),
            answered: self.health.get(&listed.node).and_then(|h| h.answered),
            failing: self.health.get(&listed.node).and_then(Health::failing),
            replaced,
        };
        // What serves a shard: what is neither stopped nor held back, each hold taking one away.
        let mut serving: BTreeMap<u16, usize> = BTreeMap::new();
        for (id, listed) in boxes {
            let stopped = weigh(&self.knowledge, id, &own(id, listed, false), at).stop_until.is_some();
            *serving.entry(listed.member.shard).or_default() += usize::from(listed.is_ready() && !stopped);
        }
        let mut fresh = BTreeMap::new();
        for (id, listed) in boxes {
            let others = serving.entry(listed.member.shard).or_default();
            let advice = weigh(&self.knowledge, id, &own(id, listed, *others > 1), at);
            if advice.hold_until.is_some() && advice.stop_until.is_none() && listed.is_ready() {
                *others -= 1;
            }
            if advice != Advice::default() {
                fresh.insert((*id).to_owned(), advice);
            }
        }
        let old = std::mem::replace(&mut self.advice, fresh);
        let ids: BTreeSet<&String> = old.keys().chain(self.advice.keys()).collect();
        let change = |id: &&String| {
            let (was, is) = (old.get(*id).copied().unwrap_or_default(), self.advice(id));
            let shape = |a: Advice| (a.stop_until.is_some(), a.hold_until.is_some(), a.born);
            let news = shape(was) != shape(is);
            (was != is).then(|| Change { id: (*id).clone(), advice: is, news })
        };
        ids.iter().filter_map(change).collect()
    }

    /// What bears on boxes and volumes beside the list's lines.
    pub fn hearsay(&self, at: Duration, window: Duration, boxes: &BTreeMap<&str, Listed>) -> Hearsay {
        let holds = boxes.iter().filter_map(|(id, b)| Some((b.node, self.advice(id).hold_until?)));
        let spent = boxes.iter().map(|(id, b)| {
            let units = spent(&self.knowledge, id, b.start(), window, at);
            (b.node, units as f64 / MILLI)
        });
        let asked = self.knowledge.facts().filter_map(|f| match f.what {
            What::Demand(volume, _) => Some(volume),
            _ => None,
        });
        let volumes: BTreeSet<VolumeId> = asked.collect();
        let demand = volumes.into_iter().filter_map(|volume| {
            let (rate, age) = demand(&self.knowledge, volume, &self.me, at)?;
            Some((volume, rate as f64 / MILLI, at.saturating_sub(age)))
        });
        Hearsay {
            holds: holds.collect(),
            spent: spent.filter(|(_, units)| *units > 0.0).collect(),
            demand: demand.collect(),
        }
    }

    /// What a peer is told.
    pub fn tell(&self, at: Duration, boxes: &BTreeMap<&str, Listed>, scheduler: &Scheduler) -> Vec<Told> {
        let mut own = Vec::new();
        let mut say = |what, start, seen| own.push(Fact { what, by: self.me.clone(), start, hops: 0, seen });
        let rules = scheduler.rules();
        for (id, listed) in boxes {
            let (id, start) = (|| (*id).to_owned(), listed.start());
            let standing = match listed.member.readiness {
                _ if listed.suspended => Some((Standing::Draining, at)),
                Readiness::Ready => self.dated.map(|seen| (Standing::Ready, seen)),
                Readiness::Draining => self.dated.map(|seen| (Standing::Draining, seen)),
                Readiness::Gone => self.dated.map(|seen| (Standing::Gone, seen)),
            };
            // That a box takes work is news only where somebody may think otherwise.
            let known = self.knowledge.get(&Topic::Standing(id()));
            let doubted = known.is_some_and(|f| !matches!(f.what, What::Standing(_, Standing::Ready)));
            let needed = |s: Standing| s != Standing::Ready || doubted || self.unready.contains_key(&id());
            if let Some((standing, seen)) = standing.filter(|(s, _)| needed(*s)) {
                say(What::Standing(id(), standing), start, seen);
            }
            if let Some((failing, seen)) = self.health.get(&listed.node).and_then(Health::verdict) {
                say(What::Failing(id(), failing), start, seen);
            }
            // It can't have started after it was first known to have, whatever this process's clock says.
            let met = self.met.get(&id()).map_or(at, |(_, met)| *met);
            let born = listed.born.min(met);
            let cold = !listed.born.is_zero() && at < born + rules.warm_up;
            if cold && listed.is_ready() {
                say(What::Started(id(), at.saturating_sub(born)), start, at);
                let units = scheduler.spent(listed.node, rules.tip_after, at);
                if units > 0.0 {
                    say(What::Spent(id(), (units * MILLI).ceil() as u64), start, at);
                }
            }
        }
        for (volume, rate) in scheduler.demands(at) {
            say(What::Demand(volume, (rate * MILLI) as u64), 0, at);
        }
        self.knowledge.tell(at, &self.me, own)
    }
}
