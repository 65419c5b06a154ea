//! Admission: which requests are given up when there are too many, and what their clients are told.

use super::random::SeededRandom;
use super::requests::PendingRequest;
use super::times::{FOREVER, NANOSECOND, SMOOTHING_TIME};
use super::volumes::Volume;
use super::Scheduler;
use crate::interface::{RequestId, Settings};
use crate::measure::DecayingRatio;
use std::cmp::Ordering;
use std::time::Duration;

/// The part of recent requests that ended late or unserved.
#[derive(Clone, Debug, Default)]
pub(super) struct OverloadRatio {
    ended_badly: DecayingRatio,
}

impl OverloadRatio {
    pub(super) fn record_end(&mut self, now: Duration, pending: &PendingRequest) {
        let is_bad = now > pending.objective_at || pending.attempts.is_empty();
        self.ended_badly.add(now, is_bad, SMOOTHING_TIME);
    }

    /// From 0 to 1; 1 means that half of them or more did.
    pub(super) fn severity(&self, now: Duration) -> f64 {
        (2.0 * self.ended_badly.get(now, SMOOTHING_TIME)).min(1.0)
    }
}

/// What a unit of a class costs for what it earns, against the class with the greatest priority weight.
pub(super) fn priority_factor(settings: &Settings, class: u16) -> f64 {
    let own = Some(settings.class(class).priority_weight).filter(|own| *own > 0.0);
    own.map_or(1.0, |own| settings.max_priority_weight().max(1e-6) / own)
}

/// The order in which unsent requests are given up while there are too many: the greatest first.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedRank {
    /// Its latency objective has passed.
    is_late: bool,
    /// Its volume's reserve does not cover it.
    beyond_reserve: bool,
    /// What its volume would have been sent for its weight.
    virtual_time: f64,
}

impl ShedRank {
    pub(super) fn new(pending: &PendingRequest, volume: Option<&Volume>, factor: f64, now: Duration) -> Self {
        let units = pending.request.units;
        ShedRank {
            is_late: pending.objective_at <= now,
            beyond_reserve: volume.is_none_or(|volume| volume.reserve.tokens < units),
            virtual_time: volume.map_or(0.0, |volume| volume.virtual_time_after(units * factor)),
        }
    }

    pub(super) fn compare(&self, other: &Self) -> Ordering {
        let flags = |rank: &Self| (rank.is_late, rank.beyond_reserve);
        flags(self).cmp(&flags(other)).then(self.virtual_time.total_cmp(&other.virtual_time))
    }
}

/// How long a rejected client should stay away: about as long as its request waited for nothing and one round trip
/// (`wait`), spread so that clients rejected together do not return together.
pub(super) fn retry_after(wait: Duration, max_retry_after: Duration, random: &mut SeededRandom) -> Duration {
    let max = if max_retry_after.is_zero() { FOREVER } else { max_retry_after };
    (wait / 2 + random.span_below(wait)).clamp(NANOSECOND, max)
}

impl Scheduler {
    /// Clients have so many connections: more open requests would keep out others that earn more.
    pub(super) fn shed_load(&mut self) {
        let max = self.settings.max_open_requests;
        let mut open = self.requests.values().filter(|pending| !pending.is_answered()).count();
        while max > 0 && open > max {
            let Some(id) = self.least_wanted() else { return };
            self.answer_unserved(id);
            open -= 1;
        }
    }

    /// The queued request that was never sent and is the first to be given up.
    fn least_wanted(&self) -> Option<RequestId> {
        let is_unsent = |pending: &PendingRequest| pending.is_queued() && pending.attempts.is_empty();
        let unsent = self.requests.iter().filter(|(_, pending)| is_unsent(pending));
        let ranked = unsent.map(|(id, pending)| {
            let volume = self.volumes.get(pending.request.volume);
            let factor = priority_factor(&self.settings, pending.request.class);
            (ShedRank::new(pending, volume, factor, self.now), *id)
        });
        ranked.max_by(|(a, _), (b, _)| a.compare(b)).map(|(_, id)| id)
    }
}
