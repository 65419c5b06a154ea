//! Admission control: sheds unsent requests while too many are open, and computes the retry delay that
//! rejected clients are given.

use super::random::SeededRandom;
use super::requests::PendingRequest;
use super::times::{FOREVER, NANOSECOND, SMOOTHING_TIME};
use super::volumes::Volume;
use super::Scheduler;
use crate::interface::{RequestId, Settings};
use crate::measure::DecayingRatio;
use std::cmp::Ordering;
use std::time::Duration;

/// The fraction of recent requests that ended past their latency objective or without an attempt.
#[derive(Clone, Debug, Default)]
pub(super) struct OverloadRatio {
    late_or_unsent: DecayingRatio,
}

impl OverloadRatio {
    /// Counts a request that is closed at `now`.
    pub(super) fn record_end(&mut self, now: Duration, pending: &PendingRequest) {
        let late_or_unsent = now > pending.objective_at || pending.attempts.is_empty();
        self.late_or_unsent.add(now, late_or_unsent, SMOOTHING_TIME);
    }

    /// Returns the severity of the overload from 0 to 1; 1 means that at least half of the recent requests
    /// ended late or unsent.
    pub(super) fn severity(&self, now: Duration) -> f64 {
        (2.0 * self.late_or_unsent.get(now, SMOOTHING_TIME)).min(1.0)
    }
}

/// Returns the factor on the virtual-time cost of a class's units: the greatest priority weight of all
/// classes divided by that of this class. Units of a class that earns less cost more.
pub(super) fn priority_factor(settings: &Settings, class: u16) -> f64 {
    let own = Some(settings.class(class).priority_weight).filter(|own| *own > 0.0);
    own.map_or(1.0, |own| settings.max_priority_weight().max(1e-6) / own)
}

/// The order in which unsent requests are shed: the request with the greatest rank goes first.
#[derive(Clone, Copy, Debug)]
pub(super) struct ShedRank {
    /// The latency objective has passed.
    is_late: bool,
    /// The volume's reserve does not cover the request.
    beyond_reserve: bool,
    /// The virtual time of the volume once the request has been sent.
    virtual_time: f64,
}

impl ShedRank {
    /// Ranks an unsent request; `factor` is the [`priority_factor`] of its class.
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

/// Returns how long the client of a rejected request should wait before it retries: between half and one and
/// a half times `wait`, which is the time that the request waited plus one round trip. The delay is
/// randomized so that clients rejected together do not return together. It is never zero, which would mean
/// that no delay is advised; a `max_retry_after` of zero sets no maximum.
pub(super) fn retry_after(wait: Duration, max_retry_after: Duration, random: &mut SeededRandom) -> Duration {
    let max = if max_retry_after.is_zero() { FOREVER } else { max_retry_after };
    (wait / 2 + random.duration_below(wait)).clamp(NANOSECOND, max)
}

impl Scheduler {
    /// Sheds unsent requests while more than `max_open_requests` are open. Clients have no connections for
    /// more, so each excess request would keep out another one that may earn more.
    pub(super) fn shed_load(&mut self) {
        let max = self.settings.max_open_requests;
        let mut open = self.requests.values().filter(|pending| !pending.is_answered()).count();
        while max > 0 && open > max {
            let Some(id) = self.next_to_shed() else { return };
            self.reject_or_fail(id);
            open -= 1;
        }
    }

    /// Returns the queued request that was never sent and has the greatest [`ShedRank`].
    fn next_to_shed(&self) -> Option<RequestId> {
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
