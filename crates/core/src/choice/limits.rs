//! Limits: units that a volume may be sent from here, by its plan, by what is heard of other hosts, and by what a home deals
//! out; and the budget for further attempts.

use super::*;

const LEFT: f64 = 0.5; // Part of a limit's store that late work leaves.

impl Scheduler {
    pub(super) fn hear_meter(&mut self, volume: VolumeId, a: &EndedAttempt, units: f64) {
        let now = self.now;
        let Some(volume) = self.volumes.get_mut(&volume) else { return };
        if a.outcome == AttemptOutcome::Served {
            volume.served.add(now, units, LEASE);
        }
        if a.units_elsewhere.is_finite() && a.units_elsewhere > 0.0 {
            volume.others.add(now, a.units_elsewhere, LEASE);
            volume.news_at = Some(now);
        }
        if let Some(used) = a.volume_usage.filter(|u| u.is_finite()) {
            volume.total = used * volume.plan.rate;
            volume.news_at = Some(now);
        }
    }

    /// Late work earns little: it leaves units to what can be in time, and goes where the store fills unused.
    pub(super) fn limit_allows(&mut self, id: VolumeId, units: f64, late: bool) -> bool {
        let now = self.now;
        let Some(volume) = self.volumes.get_mut(&id) else { return false };
        let own = (1.0 - volume.pooled) / volume.hosts * self.part;
        let units = units + if late { LEFT * volume.plan.burst * own } else { 0.0 };
        let owed = volume.owed(now, self.set.keep_alive_timeout.max(LEASE));
        let missing = if volume.plan.limit > 0.0 { volume.missing(now, units, self.part, owed) } else { 0.0 };
        if missing <= 0.0 {
            return true;
        }
        let wait = span_of((missing / (volume.plan.limit * own) * 1e9).clamp(1e6, 1e9));
        self.wake_by(now + wait);
        self.ask_home(id);
        false
    }

    /// Part of each limit waits at one host, the volume's home, for those that lack units: even parts
    /// leave those of idle hosts unused. What a lost message or a dead home takes with it is not spent.
    pub(super) fn ask_home(&mut self, id: VolumeId) {
        let number = self.random(1 << 32) as u32;
        let (now, mean, rank) = (self.now, self.set.mean_request_units, self.set.rank as u16);
        let Some(volume) = self.volumes.get_mut(&id).filter(|v| v.pooled > 0.0) else { return };
        let again = volume.asked.map_or(Duration::ZERO, |(_, at)| at + volume.hold() / 4);
        if again > now {
            return self.wake_by(again);
        }
        volume.asked = Some((number, now));
        let units = volume.held as f64 * mean;
        let plan = self.set.plans.iter().position(|p| *p == volume.plan).unwrap_or(0) as u16;
        let ask = UnitsMessage::Request { volume: id, plan, units, number };
        self.tell((scramble(id) % u64::from(self.set.initiators.max(1))) as u16, rank, ask);
    }

    pub(super) fn tell(&mut self, to: u16, from: u16, memo: UnitsMessage) {
        if to == self.set.rank as u16 {
            self.on_told(from, &memo.bytes());
        } else {
            self.acts.push(Action::SendPeerMessage { to: Some(to), bytes: memo.bytes() });
        }
    }

    pub(super) fn on_told(&mut self, from: u16, bytes: &[u8]) {
        let now = self.now;
        match UnitsMessage::parse(bytes) {
            Some(UnitsMessage::Request { volume, plan, units, number }) => {
                let Some(plan) = self.set.plans.get(plan as usize).filter(|p| p.limit > 0.0) else { return };
                let pool = self.pools.entry(volume).or_insert(Bucket { tokens: 0.0, at: self.started });
                let units = pool.fill(now, POOLED * plan.limit, POOLED * plan.burst).min(units);
                if units >= 1.0 {
                    pool.tokens -= units;
                    self.tell(from, from, UnitsMessage::Grant { volume, units, number });
                }
            }
            Some(UnitsMessage::Grant { volume, units, number }) => {
                let Some(volume) = self.volumes.get_mut(&volume) else { return };
                let Some((_, at)) = volume.asked.filter(|a| a.0 == number) else { return };
                // The home's store has filled again meanwhile: what comes late must not be spent as well.
                volume.given_until = at + volume.hold();
                volume.given = units;
                volume.asked = None;
            }
            None => {}
        }
    }

    pub(super) fn budget_allows(&mut self) -> bool {
        let Some((free, share)) = self.set.rules.retry_budget() else { return true };
        let span = self.set.rules.retry_budget_window;
        let since = (self.now + NANO).saturating_sub(span);
        let (taken, further) = (self.taken.since(since), self.further.since(since));
        let allowed = further + 1.0 <= free + share * taken;
        if let (false, Some(at)) = (allowed, self.further.first()) {
            self.wake_by(at + span);
        }
        allowed
    }
}

impl Volume {
    /// This host's part of the volume: own demand over all demand; the static part while news is old.
    pub(super) fn share(&self, now: Duration) -> f64 {
        let even = 1.0 / self.hosts;
        let fresh = self.news_at.is_some_and(|at| now <= at + STALE_LEASES * LEASE);
        let (own, others) = (self.demand.get(now, LEASE), self.others_rate(now));
        if !fresh || own + others <= 0.0 {
            return even;
        }
        own / (own + others)
    }

    pub(super) fn others_rate(&self, now: Duration) -> f64 {
        self.others.get(now, LEASE).max(self.total - self.served.get(now, LEASE))
    }

    /// How many units the buckets lack for a request of this size.
    pub(super) fn missing(&mut self, now: Duration, units: f64, whole: f64, owed: f64) -> f64 {
        let limit = self.plan.limit;
        let full = self.plan.burst * whole;
        let empty = self.slice.tokens < units;
        if now >= self.scaled_at + LEASE || empty && now >= self.scaled_at + LEASE / 4 {
            self.scaled_at = now;
            let over = if self.total > 0.0 { limit / self.total } else { 1.0 };
            self.scale = over.min(1.0);
        }
        let floor = 1.0 - self.others_rate(now) / limit;
        let part = (self.share(now).max(floor) * self.scale).clamp(1e-3, 1.0);
        // The guard of rule 7: whatever the news, no host draws past rate and burst over the host count.
        let (even, own) = (1.0 / self.hosts, 1.0 - self.pooled);
        let cap = self.plan.burst * own + 0.5 * self.plan.tolerance;
        // What is out, or was given up and may still come, takes its units then: no store fills beside it.
        let sure =
            self.sure.fill(now, limit * own * even * whole, cap * even * whole - owed) + self.gift(now);
        let slice = self.slice.fill(now, limit * part * whole, full * part.max(even) - owed);
        units - sure.min(slice)
    }

    /// How long given units may be held: the home's store must not fill past the tolerance meanwhile.
    pub(super) fn hold(&self) -> Duration {
        span_of(0.4 * self.plan.tolerance / (POOLED * self.plan.limit) * 1e9)
    }
}
