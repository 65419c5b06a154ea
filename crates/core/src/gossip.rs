//! What peers say, beside the core's own news: what of it bears on which box, and what the core tells them.
//! There is none of this where peers are off.

use crate::endpoint_list::EndpointRecord;
use crate::interface::{
    AttemptOutcome, EndedAttempt, EndpointId, Event, PeerGossip, Readiness, SharedRules, VolumeId,
};
use crate::scheduler::Scheduler;
use shaletack_observations::{
    reported_demand, reported_slow_start_units, Advice, AttemptHistory, Claim, EndpointHealth, LocalView,
    Observation, ObservationStore, Observer, RejectedReports, Report, ReportedReadiness, Subject,
    DEMAND_LIFETIME, OBSERVATION_LIFETIME,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// What attempts say of a box that goes on failing is told this often.
const TOLD_EVERY: Duration = Duration::from_secs(1);

/// A thousandth of a unit, in which amounts travel.
const MILLI: f64 = 1000.0;

/// One box as the own list and operators have it.
#[derive(Clone, Copy, Debug)]
pub struct KnownEndpoint<'a> {
    /// Its number at the scheduler.
    pub node: EndpointId,
    /// Its entry.
    pub member: &'a EndpointRecord,
    /// An operator took it out.
    pub suspended: bool,
    /// When it last started, as far as the core knows by itself.
    pub born: Duration,
}

impl KnownEndpoint<'_> {
    fn start(&self) -> u64 {
        start_of(self.member)
    }

    fn is_ready(&self) -> bool {
        !self.suspended && self.member.readiness == Readiness::Ready
    }
}

/// The list's word for a start, the same at every initiator; 0: long ago.
fn start_of(member: &EndpointRecord) -> u64 {
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
    knowledge: ObservationStore,
    /// When the own list last spoke.
    dated: Option<Duration>,
    /// The start that each box had when it was last listed, and when that was first known.
    met: BTreeMap<String, (u64, Duration)>,
    /// When the own list last said that a box takes no work.
    unready: BTreeMap<String, Duration>,
    health: BTreeMap<EndpointId, AttemptHistory>,
    advice: BTreeMap<String, Advice>,
    /// When this process last said what it sees.
    said_at: Duration,
    /// What all others together are asked for by volume, and when that was so.
    demand: BTreeMap<VolumeId, (u64, Duration)>,
    /// What all others together spent at a cold box since that start of it, and when.
    spent: BTreeMap<(String, u64), (u64, Duration)>,
}

/// What this process adds to the sums over all, in thousandths of a unit.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Contribution {
    /// What it is asked for a second, by volume.
    pub demand: Vec<(VolumeId, u64)>,
    /// What it spent at cold boxes within the window that the rules name, by name and start; none spent as well, since
    /// only who adds to a sum hears of it.
    pub spent: Vec<(String, u64, u64)>,
}

/// What all others together add, and how old the oldest part of each sum is.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// By volume, in thousandths of a unit a second.
    pub demand: Vec<(VolumeId, u64, Duration)>,
    /// By a cold box's name and start, in thousandths of a unit.
    pub spent: Vec<(String, u64, u64, Duration)>,
}

/// What attempts brought.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Watched {
    /// A box fails: its advice is due for review.
    pub failing: bool,
    /// It is for others to know.
    pub tells: bool,
}

impl Peers {
    /// Nothing is known yet.
    pub fn new(me: Observer) -> Self {
        Peers {
            me,
            knowledge: ObservationStore::default(),
            dated: None,
            met: BTreeMap::new(),
            unready: BTreeMap::new(),
            health: BTreeMap::new(),
            advice: BTreeMap::new(),
            said_at: Duration::ZERO,
            demand: BTreeMap::new(),
            spent: BTreeMap::new(),
        }
    }

    /// The list that is followed has spoken, be it to say that nothing changed.
    pub fn listed(&mut self, at: Duration) {
        self.dated = Some(at);
    }

    /// Takes what a peer told.
    pub fn hear(
        &mut self,
        at: Duration,
        trip: Duration,
        from: &Observer,
        told: Vec<Report>,
    ) -> RejectedReports {
        self.knowledge.merge_reports(at, trip, &self.me, from, told).rejected
    }

    /// Takes what was news among the peers, checked by whoever brings it.
    pub fn learn(&mut self, at: Duration, told: Vec<Report>) {
        for told in told.into_iter().filter(|told| told.observer != self.me) {
            self.knowledge.merge(told.into_observation(at, Duration::ZERO));
        }
    }

    /// Takes the sums over all others; what is not among them is not known.
    pub fn sum(&mut self, at: Duration, totals: Totals) {
        let Totals { demand, spent } = totals;
        let seen = |age: Duration| at.saturating_sub(age);
        self.demand = demand.into_iter().map(|(volume, others, age)| (volume, (others, seen(age)))).collect();
        self.spent =
            spent.into_iter().map(|(id, start, others, age)| ((id, start), (others, seen(age)))).collect();
    }

    /// Keeps what attempts say of their boxes.
    pub fn watch(&mut self, at: Duration, events: &[Event]) -> Watched {
        let mut watched = Watched::default();
        let again = at >= self.said_at + TOLD_EVERY;
        for event in events {
            let Event::AttemptEnded(EndedAttempt { endpoint: node, outcome: ending, .. }) = event else {
                continue;
            };
            let health = self.health.entry(*node).or_default();
            let was = health.verdict().map(|verdict| verdict.health);
            match ending {
                AttemptOutcome::Served => health.record_success(at),
                AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::ConnectFailed => {
                    watched.failing |= health.record_failure(at);
                }
                AttemptOutcome::Rejected | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            }
            let is = health.verdict().map(|verdict| verdict.health);
            watched.tells |= is != was || (again && is == Some(EndpointHealth::Failing));
        }
        watched
    }

    /// The advice on a box, as last reviewed.
    pub fn advice(&self, id: &str) -> Advice {
        self.advice.get(id).copied().unwrap_or_default()
    }

    /// When advice comes to say something else by itself.
    pub fn changes_at(&self) -> Option<Duration> {
        self.advice.values().filter_map(Advice::next_change).min()
    }

    /// Weighs all anew: which boxes' advice changed. Only boxes that somebody speaks of, or that fail here, are looked
    /// at one by one: there is no advice on the others.
    pub fn review(&mut self, at: Duration, boxes: &BTreeMap<&str, KnownEndpoint>) -> Vec<Change> {
        self.knowledge.expire(at, |id| boxes.contains_key(id));
        self.met.retain(|id, _| boxes.contains_key(id.as_str()));
        self.unready.retain(|id, seen| boxes.contains_key(id.as_str()) && at <= *seen + OBSERVATION_LIFETIME);
        if !self.health.is_empty() {
            let nodes: BTreeSet<EndpointId> = boxes.values().map(|b| b.node).collect();
            self.health.retain(|node, _| nodes.contains(node));
        }
        let mut spoken_of: BTreeSet<&str> =
            self.knowledge.iter().filter_map(|f| f.claim.endpoint()).collect();
        for (id, listed) in boxes {
            let start = listed.start();
            match self.met.get_mut(*id) {
                Some(met) if met.0 == start => {}
                Some(met) => *met = (start, at),
                None => {
                    self.met.insert((*id).to_owned(), (start, at));
                }
            }
            if !listed.is_ready() {
                self.unready.insert((*id).to_owned(), at);
            }
            if self.health.get(&listed.node).is_some_and(|health| health.failing_at().is_some()) {
                spoken_of.insert(id);
            }
        }
        let own = |id: &str, listed: &KnownEndpoint, replaced: bool| LocalView {
            endpoint_incarnation: listed.start(),
            list_confirmed_at: self.dated,
            incarnation_known_since: self.met.get(id).map_or(at, |(_, met)| *met),
            last_success: self.health.get(&listed.node).and_then(AttemptHistory::last_success),
            failing_at: self.health.get(&listed.node).and_then(AttemptHistory::failing_at),
            has_alternative: replaced,
        };
        let spoken_of: Vec<(&str, &KnownEndpoint)> =
            spoken_of.into_iter().filter_map(|id| Some((id, boxes.get(id)?))).collect();
        // What serves a shard: what is neither stopped nor held back, each hold taking one away.
        let mut serving: BTreeMap<u16, usize> = BTreeMap::new();
        for listed in boxes.values() {
            *serving.entry(listed.member.shard).or_default() += usize::from(listed.is_ready());
        }
        for (id, listed) in &spoken_of {
            let stopped = Advice::from_observations(&self.knowledge, id, &own(id, listed, false), at)
                .stop_until
                .is_some();
            if stopped && listed.is_ready() {
                *serving.entry(listed.member.shard).or_default() -= 1;
            }
        }
        let mut fresh = BTreeMap::new();
        for (id, listed) in spoken_of {
            let others = serving.entry(listed.member.shard).or_default();
            let advice = Advice::from_observations(&self.knowledge, id, &own(id, listed, *others > 1), at);
            if advice.hold_until.is_some() && advice.stop_until.is_none() && listed.is_ready() {
                *others -= 1;
            }
            if advice != Advice::default() {
                fresh.insert(id.to_owned(), advice);
            }
        }
        let old = std::mem::replace(&mut self.advice, fresh);
        let ids: BTreeSet<&String> = old.keys().chain(self.advice.keys()).collect();
        let change = |id: &&String| {
            let (was, is) = (old.get(*id).copied().unwrap_or_default(), self.advice(id));
            let shape = |a: Advice| (a.stop_until.is_some(), a.hold_until.is_some(), a.started_at);
            let news = shape(was) != shape(is);
            (was != is).then(|| Change { id: (*id).clone(), advice: is, news })
        };
        ids.iter().filter_map(change).collect()
    }

    /// What bears on boxes and volumes beside the list's lines.
    pub fn hearsay(
        &self,
        at: Duration,
        window: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
    ) -> PeerGossip {
        let holds = boxes.iter().filter_map(|(id, b)| Some((b.node, self.advice(id).hold_until?)));
        // Facts come from those of the release before, which are in no sum; the rest is in the sums.
        let at_boxes = self.knowledge.iter().filter_map(|f| match &f.claim {
            Claim::SlowStartUnits { endpoint: id, .. } => Some(id.as_str()),
            _ => None,
        });
        let at_boxes: BTreeSet<&str> = at_boxes.chain(self.spent.keys().map(|(id, _)| id.as_str())).collect();
        let spent = at_boxes.into_iter().filter_map(|id| {
            let listed = boxes.get(id)?;
            let told = reported_slow_start_units(&self.knowledge, id, listed.start(), window, at);
            let summed = self.spent.get(&(id.to_owned(), listed.start()));
            let summed = summed.filter(|(_, seen)| at < *seen + window).map_or(0, |(units, _)| *units);
            Some((listed.node, told.saturating_add(summed) as f64 / MILLI))
        });
        let asked = self.knowledge.iter().filter_map(|f| match f.claim {
            Claim::Demand { volume, .. } => Some(volume),
            _ => None,
        });
        let summed =
            |volume: &VolumeId| self.demand.get(volume).filter(|(_, seen)| at <= *seen + DEMAND_LIFETIME);
        let volumes: BTreeSet<VolumeId> = asked.chain(self.demand.keys().copied()).collect();
        let demand = volumes.into_iter().filter_map(|volume| {
            let told = reported_demand(&self.knowledge, volume, &self.me, at);
            let told = told.map(|told| (told.milli_units_per_second, told.age));
            let summed = summed(&volume).map(|(rate, seen)| (*rate, at.saturating_sub(*seen)));
            let (rate, age) = match (told, summed) {
                (Some(a), Some(b)) => (a.0.saturating_add(b.0), a.1.max(b.1)),
                (one, other) => one.or(other)?,
            };
            Some((volume, rate as f64 / MILLI, at.saturating_sub(age)))
        });
        PeerGossip {
            held_back_until: holds.collect(),
            units_sent: spent.filter(|(_, units)| *units > 0.0).collect(),
            demand: demand.collect(),
        }
    }

    /// What a peer is told in an exchange: what this process sees, spent and is asked for, and what it heard.
    pub fn tell(
        &self,
        at: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
        scheduler: &Scheduler,
    ) -> Vec<Report> {
        let mut own = self.sees(at, boxes, scheduler);
        let mut say = |what, start| {
            own.push(Observation {
                claim: what,
                observer: self.me.clone(),
                endpoint_incarnation: start,
                hops: 0,
                observed_at: at,
            })
        };
        for (id, start, units) in self.spends(at, boxes, scheduler).into_iter().filter(|s| s.2 > 0) {
            say(Claim::SlowStartUnits { endpoint: id, milli_units: units }, start);
        }
        for (volume, rate) in scheduler.demands(at) {
            say(Claim::Demand { volume, milli_units_per_second: (rate * MILLI) as u64 }, 0);
        }
        self.knowledge.reports_for_exchange(at, &self.me, own)
    }

    /// What this process sees first-hand, for all to hear.
    pub fn say(
        &mut self,
        at: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
        scheduler: &Scheduler,
    ) -> Vec<Report> {
        self.said_at = at;
        self.sees(at, boxes, scheduler).iter().filter_map(|fact| fact.to_report(at, &self.me)).collect()
    }

    /// What this process spent at cold boxes within the window that the rules name, in thousandths of a unit, by box
    /// and start.
    fn spends(
        &self,
        at: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
        scheduler: &Scheduler,
    ) -> Vec<(String, u64, u64)> {
        let rules = scheduler.rules();
        let cold = boxes.iter().filter(|(id, listed)| self.cold_since(id, listed, rules, at).is_some());
        let spent = cold.map(|(id, listed)| {
            let units = scheduler.units_sent(listed.node, rules.overload_window, at);
            ((*id).to_owned(), listed.start(), (units * MILLI).ceil() as u64)
        });
        spent.collect()
    }

    /// What this process adds to the sums over all.
    pub fn amounts(
        &self,
        at: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
        scheduler: &Scheduler,
    ) -> Contribution {
        let demand = scheduler.demands(at).map(|(volume, rate)| (volume, (rate * MILLI) as u64));
        Contribution { demand: demand.collect(), spent: self.spends(at, boxes, scheduler) }
    }

    /// When a box that takes work but is not warm yet started.
    fn cold_since(
        &self,
        id: &str,
        listed: &KnownEndpoint,
        rules: &SharedRules,
        at: Duration,
    ) -> Option<Duration> {
        if listed.born.is_zero() || !listed.is_ready() {
            return None;
        }
        // It can't have started after it was first known to have, whatever this process's clock says.
        let met = self.met.get(id).map_or(at, |(_, met)| *met);
        Some(listed.born.min(met)).filter(|born| at < *born + rules.slow_start_duration)
    }

    fn sees(
        &self,
        at: Duration,
        boxes: &BTreeMap<&str, KnownEndpoint>,
        scheduler: &Scheduler,
    ) -> Vec<Observation> {
        let mut own = Vec::new();
        let mut say = |what, start, seen| {
            own.push(Observation {
                claim: what,
                observer: self.me.clone(),
                endpoint_incarnation: start,
                hops: 0,
                observed_at: seen,
            })
        };
        let rules = scheduler.rules();
        for (id, listed) in boxes {
            let (name, start) = (|| (*id).to_owned(), listed.start());
            let standing = match listed.member.readiness {
                _ if listed.suspended => Some((ReportedReadiness::Draining, at)),
                Readiness::Ready => self.dated.map(|seen| (ReportedReadiness::Ready, seen)),
                Readiness::Draining => self.dated.map(|seen| (ReportedReadiness::Draining, seen)),
                Readiness::Removed => self.dated.map(|seen| (ReportedReadiness::Removed, seen)),
            };
            // That a box takes work is news only where somebody may think otherwise.
            let doubted = || {
                let known = self.knowledge.get(&Subject::Readiness(name()));
                known.is_some_and(|f| {
                    !matches!(f.claim, Claim::Readiness { readiness: ReportedReadiness::Ready, .. })
                })
            };
            let needed = |s: ReportedReadiness| {
                s != ReportedReadiness::Ready || self.unready.contains_key(*id) || doubted()
            };
            if let Some((standing, seen)) = standing.filter(|(s, _)| needed(*s)) {
                say(Claim::Readiness { endpoint: name(), readiness: standing }, start, seen);
            }
            if let Some(verdict) = self.health.get(&listed.node).and_then(AttemptHistory::verdict) {
                say(Claim::Health { endpoint: name(), health: verdict.health }, start, verdict.observed_at);
            }
            if let Some(born) = self.cold_since(id, listed, rules, at) {
                say(Claim::Started { endpoint: name(), uptime: at.saturating_sub(born) }, start, at);
            }
        }
        own
    }
}
