//! What one process knows: by topic the greatest fact. The merge is a join.

use crate::fact::{Fact, Observer, Told, Topic};
use crate::{FACTS_MOST, HOPS_EXCHANGED, HOPS_MOST, KEPT};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many of a peer's facts were not taken, and why.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Refused {
    /// Out of range, or first-hand in another's name.
    pub unsound: usize,
    /// What this process said itself, back from a circle.
    pub own: usize,
}

/// Facts by topic.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Knowledge {
    facts: BTreeMap<Topic, Fact>,
}

impl Knowledge {
    /// Takes one fact; whether it was news.
    pub fn learn(&mut self, fact: Fact) -> bool {
        let topic = fact.topic();
        match self.facts.get(&topic) {
            Some(known) if *known >= fact => false,
            _ => {
                self.facts.insert(topic, fact);
                true
            }
        }
    }

    /// All that another knows, by the same clock: commutative, associative, idempotent.
    pub fn join(&mut self, other: Knowledge) {
        for fact in other.facts.into_values() {
            self.learn(fact);
        }
    }

    /// Takes what a peer told over an exchange of that round trip; the boxes of which there is news, and what
    /// was not taken.
    pub fn hear(
        &mut self,
        now: Duration,
        trip: Duration,
        me: &Observer,
        from: &Observer,
        told: Vec<Told>,
    ) -> (BTreeSet<String>, Refused) {
        let (mut news, mut refused) = (BTreeSet::new(), Refused::default());
        for told in told {
            if told.by == *me {
                refused.own += 1;
                continue;
            }
            if !told.is_sound() || (told.hops == 0) != (told.by == *from) {
                refused.unsound += 1;
                continue;
            }
            let fact = told.heard(now, trip / 2);
            let about = fact.what.about().map(str::to_owned);
            if self.learn(fact) {
                news.extend(about);
            }
        }
        (news, refused)
    }

    /// Forgets what is too old, and past the bound what is least of use.
    pub fn forget(&mut self, now: Duration, is_known: impl Fn(&str) -> bool) {
        self.facts.retain(|_, fact| fact.age(now) <= KEPT);
        let over = self.facts.len().saturating_sub(FACTS_MOST);
        if over > 0 {
            let use_of = |fact: &Fact| (fact.what.about().is_none_or(&is_known), fact.seen);
            let mut ranked: Vec<_> = self.facts.iter().map(|(t, f)| (use_of(f), t.clone())).collect();
            ranked.sort_unstable();
            for (_, topic) in ranked.into_iter().take(over) {
                self.facts.remove(&topic);
            }
        }
    }

    /// What is known under a topic.
    pub fn get(&self, topic: &Topic) -> Option<&Fact> {
        self.facts.get(topic)
    }

    /// All facts.
    pub fn facts(&self) -> impl Iterator<Item = &Fact> {
        self.facts.values()
    }

    /// How many facts there are.
    pub fn len(&self) -> usize {
        self.facts.len()
    }

    /// Whether nothing is known.
    pub fn is_empty(&self) -> bool {
        self.facts.is_empty()
    }

    /// What goes to a peer, most needed first: `own` is first-hand, the rest is passed on. Who holds an own
    /// fact and an older one from elsewhere tells the greater.
    pub fn tell(&self, now: Duration, me: &Observer, own: Vec<Fact>) -> Vec<Told> {
        let mut all = Knowledge::default();
        let passed = self.facts.values().filter(|f| f.hops < HOPS_MOST && f.by != *me);
        for fact in passed.cloned().chain(own) {
            all.learn(fact);
        }
        let told = all.facts.into_values().filter_map(|f| f.told(now, me));
        let mut told: Vec<Told> = told.map(|t| Told { hops: t.hops.min(HOPS_EXCHANGED), ..t }).collect();
        told.sort_by_key(|t| (t.what.need(), t.hops, t.age));
        told
    }

    /// The observers that amounts of a topic come from.
    pub(crate) fn amounts<'a>(&'a self, of: impl Fn(&Topic) -> bool + 'a) -> impl Iterator<Item = &'a Fact> {
        self.facts.iter().filter(move |(t, _)| of(t)).map(|(_, f)| f)
    }
}
