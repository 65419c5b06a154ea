//! Slow start: what a node that has just started is sent, so that all hosts together, with no agreement, never push it over.

use super::*;

const REBORN: f64 = 0.85; // Part of a chance amount that a reborn host has saved; its last life may be in it.

impl Scheduler {
    /// Units that a node may be sent now. All hosts together must not push a cold node over, with no
    /// agreement: what it bears is dealt out in even parts. Where those hold no largest request, what it does
    /// itself is left to those it has answered, one request each; where they hold hardly one, hosts save up.
    pub(super) fn room(&mut self, id: EndpointId) -> f64 {
        let Some(node) = self.nodes.get(&id) else { return 0.0 };
        let (now, rules) = (self.now, &self.set.rules);
        let age = node.born.map_or(FOREVER, |born| now.saturating_sub(born));
        let follows = node.relays > 0 && node.relay_until >= now;
        let stated = rules.slow_start_capacity.min(self.set.slow_start_units * self.part) > 0.0;
        if follows || age >= rules.slow_start_duration || !stated || rules.overload_window.is_zero() {
            return f64::INFINITY;
        }
        let (bears, grown) = (self.bears(), self.grown(age));
        let even = bears / self.rivals();
        if even < self.set.mean_request_units / 2.0 {
            self.saved_room(id, even * grown)
        } else {
            self.part_room(id, even * grown)
        }
    }

    /// Units that a node bears within a fall window just after its start, from all hosts: what is stated, or
    /// what its part of a warm node's work allows, as far as this host has seen that.
    pub(super) fn bears(&self) -> f64 {
        let (rules, sure) = (&self.set.rules, 1.0 - 1.0 / self.set.rules.overload_factor.max(1.5));
        let seen = self.pace
            * rules.slow_start_capacity
            * rules.overload_factor
            * seconds(rules.overload_window)
            * sure;
        let all = self.set.slow_start_units.max(seen) * self.part;
        all * if all / self.rivals() < self.set.max_request_units { sure } else { 1.0 }
    }

    /// How many hosts want something of one node, if each was asked for as many shards as this one of late.
    pub(super) fn rivals(&self) -> f64 {
        let span = STALE_LEASES * LEASE;
        let asked = self.asked.values().filter(|at| **at + span >= self.now).count().max(1) as f64;
        let seen = (seconds(self.now - self.started) / seconds(span)).clamp(1e-3, 1.0);
        let spread = asked / seen / self.ready_nodes.max(1) as f64;
        (f64::from(self.set.initiators) * spread.min(1.0)).max(1.0)
    }

    /// What is left of an even part of what a cold node bears.
    pub(super) fn part_room(&mut self, id: EndpointId, part: f64) -> f64 {
        let Some(node) = self.nodes.get_mut(&id) else { return 0.0 };
        let span = self.set.rules.overload_window;
        let spent = node.sent.since((self.now + NANO).saturating_sub(span));
        // A reborn host may have used its part in its last life.
        let reborn = self.now < self.started + span && self.started >= node.born.unwrap_or_default();
        let next = node.sent.first().map_or(self.now + SECOND / 10, |at| at + span);
        self.wake_by(next);
        if reborn {
            0.0
        } else {
            part - spent
        }
    }

    /// What a host has saved when a node starts, as if it had saved for long: hosts that run then have
    /// amounts spread evenly over them, so that their first sends follow each other; later ones draw.
    pub(super) fn first_saved(&self, id: EndpointId, born: Duration, start: u64) -> Bucket {
        let start = u64::from(id) ^ start;
        let drawn = |from: u64| (scramble(from) % (1 << 20)) as f64 / f64::from(1 << 20);
        let even = f64::from(self.set.rank) / f64::from(self.set.initiators.max(1)) + drawn(start);
        let part = if self.started <= born { even.fract() } else { REBORN * drawn(self.seed ^ start) };
        Bucket { tokens: self.set.mean_request_units * part, at: self.now }
    }

    /// Where an even part holds hardly a request, a host saves its part until it does: it may be overdrawn
    /// by one, of any size. Reborn hosts start from chance amounts as well: so all together send what their
    /// parts hold in any span, within the chance that the rule leaves.
    pub(super) fn saved_room(&mut self, id: EndpointId, part: f64) -> f64 {
        let (now, mean) = (self.now, self.set.mean_request_units);
        let Some(node) = self.nodes.get_mut(&id) else { return 0.0 };
        let rate = (part / seconds(self.set.rules.overload_window)).max(1e-9);
        let missing = mean - node.saved.fill(now, rate, mean);
        if missing <= 0.0 {
            return self.set.max_request_units.max(mean);
        }
        self.wake_by(now + span_of((missing / rate * 1e9).clamp(1e6, nanos(SECOND / 2))));
        0.0
    }
}
