//! Loss detection: attempts and answers may be lost in transit, and would hold a slot until the deadline. An
//! endpoint serves requests in order of arrival, so an attempt that later ones have overtaken, or that is
//! very late, is presumed lost and holds no slot.

use super::endpoints::Endpoint;
use super::times::{FOREVER, SMOOTHING_TIME};
use super::Scheduler;
use crate::interface::{AttemptOutcome, EndedAttempt};
use crate::measure::{from_nanos, nanos, DecayingRate};
use std::collections::BTreeSet;
use std::time::Duration;

/// An attempt counts as overtaken once this many that were sent later have been answered before it.
const OVERTAKEN_THRESHOLD: u32 = 3;
/// Age, in round trips, at which an overtaken attempt is presumed lost.
const OVERTAKEN_ROUND_TRIPS: f64 = 2.0;
/// Age, in round trips, at which any other attempt is presumed lost. This age doubles with each attempt that
/// was presumed lost since the last answer.
const SILENT_ROUND_TRIPS: f64 = 6.0;
/// Losses in a row are counted up to this, which bounds the doubling.
const MAX_LOST_IN_A_ROW: u32 = 8;
/// Up to this rate of losses, a missing answer is attributed to a slow endpoint.
const RARE_LOSSES_PER_SECOND: f64 = 0.05;
/// Minimum round trip by which the age of an attempt is measured.
const MIN_ROUND_TRIP_NANOS: f64 = 1e6;

/// The rate at which attempts are lost in transit.
#[derive(Clone, Debug, Default)]
pub(super) struct LossRate {
    lost: DecayingRate,
}

impl LossRate {
    /// Counts an attempt that was lost in transit.
    pub(super) fn record_loss(&mut self, now: Duration) {
        self.lost.add(now, 1.0, SMOOTHING_TIME);
    }

    /// Returns whether losses are so rare that a missing answer points to a slow endpoint.
    pub(super) fn is_low(&self, now: Duration) -> bool {
        self.lost.get(now, SMOOTHING_TIME) <= RARE_LOSSES_PER_SECOND
    }
}

impl Endpoint {
    /// Removes an ended attempt from those in flight. Returns whether it was lost in transit.
    pub(super) fn remove_attempt(&mut self, attempt: &EndedAttempt) -> bool {
        let is_same = |number: u8, request| number == attempt.number && request == attempt.request;
        let position = self.in_flight.iter().position(|sent| is_same(sent.number, sent.request));
        let Some(sent) = position.map(|position| self.in_flight.remove(position)) else { return false };
        // An overloaded endpoint answers late as well: only an attempt that others overtook can have been
        // lost.
        sent.presumed_lost && attempt.outcome == AttemptOutcome::TimedOut && sent.overtaken_by > 0
    }

    /// Records the answer to an attempt sent at `sent_at`: it overtook the attempts in flight that were sent
    /// earlier.
    pub(super) fn record_overtaken(&mut self, elapsed: Duration, sent_at: Duration) {
        self.health.lost_in_a_row = 0;
        // An answer that overtook an attempt presumed lost shows that the endpoint is not overloaded: its
        // round trip replaces the estimate.
        if self.in_flight.iter().any(|sent| sent.presumed_lost && sent.sent_at < sent_at) {
            self.health.round_trip_nanos = nanos(elapsed);
        }
        for sent in self.in_flight.iter_mut().filter(|sent| sent.sent_at < sent_at) {
            sent.overtaken_by += 1;
        }
    }

    /// Presumes attempts lost that are old enough. Returns the earliest time at which another attempt may be
    /// presumed lost.
    pub(super) fn presume_lost(&mut self, now: Duration, losses_are_rare: bool) -> Duration {
        let health = &mut self.health;
        let round_trip = health.round_trip_nanos.max(health.service_nanos).max(MIN_ROUND_TRIP_NANOS);
        let mut next = FOREVER;
        for sent in self.in_flight.iter_mut().filter(|sent| sent.holds_slot()) {
            let is_overtaken = sent.overtaken_by >= OVERTAKEN_THRESHOLD;
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
            // The missing answer is an observation as well: the round trip is at least this long.
            let age = nanos(now - sent.sent_at);
            if losses_are_rare && age > health.round_trip_nanos {
                health.set_round_trip(now, age);
            }
        }
        next
    }
}

impl Scheduler {
    /// Presumes attempts lost at the endpoints with attempts in flight. Those are few of possibly thousands,
    /// so they are found through the requests.
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
