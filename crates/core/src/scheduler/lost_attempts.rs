//! Attempts and answers may vanish on the way, and would hold a slot until the deadline. An endpoint serves in turn of
//! arrival: an attempt that later ones have overtaken, or that is very late, is presumed lost and holds no slot.

use super::endpoints::Endpoint;
use super::times::{FOREVER, SMOOTHING_TIME};
use super::Scheduler;
use crate::interface::{AttemptOutcome, EndedAttempt};
use crate::measure::{from_nanos, nanos, DecayingRate};
use std::collections::BTreeSet;
use std::time::Duration;

/// An attempt is overtaken once so many that were sent later were answered before it.
const OVERTAKEN_BY: u32 = 3;
/// An overtaken attempt is presumed lost when it is so many round trips old,
const OVERTAKEN_ROUND_TRIPS: f64 = 2.0;
/// and any other when it is so many round trips old, doubled with each that was lost since the last answer.
const SILENT_ROUND_TRIPS: f64 = 6.0;
/// Losses in a row are counted up to this.
const MAX_LOST_IN_A_ROW: u32 = 8;
/// Up to so many losses a second, silence is taken for a slow endpoint.
const RARE_LOSSES_PER_SECOND: f64 = 0.05;
/// The shortest round trip that lateness is measured by.
const MIN_ROUND_TRIP_NANOS: f64 = 1e6;

/// How often attempts get lost on the way.
#[derive(Clone, Debug, Default)]
pub(super) struct LossRate {
    lost: DecayingRate,
}

impl LossRate {
    pub(super) fn record_loss(&mut self, now: Duration) {
        self.lost.add(now, 1.0, SMOOTHING_TIME);
    }

    pub(super) fn is_low(&self, now: Duration) -> bool {
        self.lost.get(now, SMOOTHING_TIME) <= RARE_LOSSES_PER_SECOND
    }
}

impl Endpoint {
    /// Takes an ended attempt off the endpoint; true where it was lost on the way.
    pub(super) fn remove_attempt(&mut self, attempt: &EndedAttempt) -> bool {
        let is_it = |number: u8, request| number == attempt.number && request == attempt.request;
        let position = self.in_flight.iter().position(|sent| is_it(sent.number, sent.request));
        let Some(sent) = position.map(|position| self.in_flight.remove(position)) else { return false };
        // An overloaded endpoint is late too; only what later ones overtook can have been lost.
        sent.presumed_lost && attempt.outcome == AttemptOutcome::TimedOut && sent.overtaken_by > 0
    }

    /// An attempt sent at that time was answered: those sent before it were overtaken.
    pub(super) fn record_overtaken(&mut self, elapsed: Duration, sent_at: Duration) {
        self.health.lost_in_a_row = 0;
        // The endpoint answered past one presumed lost: it is not overloaded, the round trip is this one's.
        if self.in_flight.iter().any(|sent| sent.presumed_lost && sent.sent_at < sent_at) {
            self.health.round_trip_nanos = nanos(elapsed);
        }
        for sent in self.in_flight.iter_mut().filter(|sent| sent.sent_at < sent_at) {
            sent.overtaken_by += 1;
        }
    }

    /// Looks for attempts that are to be presumed lost; returns when the next one may be.
    pub(super) fn presume_lost(&mut self, now: Duration, losses_are_rare: bool) -> Duration {
        let health = &mut self.health;
        let round_trip = health.round_trip_nanos.max(health.service_nanos).max(MIN_ROUND_TRIP_NANOS);
        let mut next = FOREVER;
        for sent in self.in_flight.iter_mut().filter(|sent| sent.holds_slot()) {
            let is_overtaken = sent.overtaken_by >= OVERTAKEN_BY;
            let round_trips = if is_overtaken {
                OVERTAKEN_ROUND_TRIPS
            } else {
                SILENT_ROUND_TRIPS * f64::from(1 << health.lost_in_a_row)
            };
            let lost_at = sent.sent_at.saturating_add(from_nanos(round_trips * round_trip));
            if lost_at > now {
                next = next.min(lost_at);
                continue;
            }
            sent.presumed_lost = true;
            if is_overtaken {
                continue;
            }
            health.lost_in_a_row = (health.lost_in_a_row + 1).min(MAX_LOST_IN_A_ROW);
            // No answer is news as well: the round trip is at least this long by now.
            let late = nanos(now - sent.sent_at);
            if losses_are_rare && late > health.round_trip_nanos {
                health.set_round_trip(now, late);
            }
        }
        next
    }
}

impl Scheduler {
    /// Of thousands of endpoints few have something in flight: they are found by the requests.
    pub(super) fn presume_lost_attempts(&mut self) {
        let losses_are_rare = self.losses.is_low(self.now);
        let attempts = self.requests.values().flat_map(|pending| pending.attempts.iter());
        let busy: BTreeSet<_> =
            attempts.filter(|attempt| attempt.in_flight).map(|attempt| attempt.endpoint).collect();
        for id in busy {
            let Some(endpoint) = self.endpoints.get_mut(id) else { continue };
            let next = endpoint.presume_lost(self.now, losses_are_rare);
            self.timer.wake_by(next);
        }
    }
}
