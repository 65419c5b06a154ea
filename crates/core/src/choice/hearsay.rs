//! What other hosts say, where it bears on a decision: it only ever takes away.

use super::{Scheduler, LEASE, SECOND, STALE_LEASES};
use crate::interface::{EndpointId, Event, PeerGossip, Request, SharedRules, VolumeId};
use crate::measure::{nanos, Rate};
use std::collections::BTreeMap;
use std::time::Duration;

/// The last of what was said, by box and volume, and when.
#[derive(Clone, Debug, Default)]
pub(super) struct Said {
    spent: BTreeMap<EndpointId, (f64, Duration)>,
    demand: BTreeMap<VolumeId, (f64, Duration)>,
    /// The moments of what was said that volumes go by.
    used: BTreeMap<VolumeId, Duration>,
}

impl Scheduler {
    /// What is no event of the scheduler's own.
    pub(super) fn hear(&mut self, event: &Event) {
        let Event::Gossip(PeerGossip { held_back_until: holds, units_sent: spent, demand }) = event else {
            return;
        };
        for (id, until) in holds {
            if let Some(node) = self.nodes.get_mut(id) {
                node.hold_until = node.hold_until.max(*until);
            }
        }
        let now = self.now;
        self.said.spent = spent.iter().map(|(id, units)| (*id, (*units, now))).collect();
        self.said.demand = demand.iter().map(|(id, rate, seen)| (*id, (*rate, *seen))).collect();
        // What boxes say of a volume's other hosts is nearer to them, and goes first while it is news.
        self.said.used.retain(|id, _| self.volumes.contains_key(id));
        for (id, rate, seen) in demand {
            let Some(volume) = self.volumes.get_mut(id) else { continue };
            let by_boxes = volume.news_at.filter(|at| self.said.used.get(id) != Some(at));
            if by_boxes.is_none_or(|at| now > at + STALE_LEASES * LEASE) {
                volume.others = Rate { value: *rate, at: now };
                volume.news_at = Some(*seen);
                self.said.used.insert(*id, *seen);
            }
        }
    }

    /// By how much a node can do more than just after its start, at that age.
    pub(super) fn grown(&self, age: Duration) -> f64 {
        let start = self.set.rules.slow_start_capacity.min(1.0);
        (start + (1.0 - start) * nanos(age) / nanos(self.set.rules.slow_start_duration)) / start
    }

    /// What a node may be sent: what others say they sent a cold one comes off what all together may send it.
    /// No word adds to the own part.
    pub(super) fn room_left(&mut self, id: EndpointId) -> f64 {
        let room = self.room(id);
        let (now, rules) = (self.now, &self.set.rules);
        let window = rules.overload_window;
        let said = self.said.spent.get(&id).filter(|(_, at)| now < *at + window);
        let (Some((others, at)), Some(node)) = (said.copied(), self.nodes.get(&id)) else { return room };
        if !room.is_finite() || room <= 0.0 {
            return room;
        }
        let age = node.born.map_or(rules.slow_start_duration, |born| now.saturating_sub(born));
        let own = node.sent.sum((now + super::NANO).saturating_sub(window));
        let all = self.bears() * self.grown(age);
        let left = all - own - others;
        if left < room {
            self.wake_by((at + window).min(now + SECOND / 10));
        }
        room.min(left)
    }

    /// A volume met for the first time gets its first slice by what others are asked for, while that is news.
    pub(super) fn meet(&mut self, req: &Request) {
        let is_new = !self.volumes.contains_key(&req.volume);
        self.meet_volume(req);
        let said = self.said.demand.get(&req.volume).filter(|_| is_new);
        let fresh = said.filter(|(_, seen)| self.now <= *seen + STALE_LEASES * LEASE).copied();
        if let (Some((rate, seen)), Some(volume)) = (fresh, self.volumes.get_mut(&req.volume)) {
            volume.others = Rate { value: rate, at: self.now };
            volume.news_at = Some(seen);
            self.said.used.insert(req.volume, seen);
        }
    }

    /// The figures of the rules.
    pub fn rules(&self) -> &SharedRules {
        &self.set.rules
    }

    /// Units this host sent a node within a window, of those that count against a cold node's budget.
    pub fn spent(&self, id: EndpointId, window: Duration, now: Duration) -> f64 {
        self.nodes.get(&id).map_or(0.0, |node| node.sent.sum((now + super::NANO).saturating_sub(window)))
    }

    /// Units a second that this host is asked for, by volume.
    pub fn demands(&self, now: Duration) -> impl Iterator<Item = (VolumeId, f64)> + '_ {
        let rates = self.volumes.iter().map(move |(id, v)| (*id, v.demand.get(now, LEASE)));
        rates.filter(|(_, rate)| *rate > 1e-3)
    }
}
