//! Limits: a plan may state units a second that a volume is sent at most, by all initiators together and with no
//! agreement between them. Each initiator draws from two buckets, one sized by its share of the demand, one by an even
//! share, which holds also where reports are wrong. A part of each limit waits at the volume's home (`unit_grants`).

use super::times::SMOOTHING_TIME;
use crate::interface::Plan;
use crate::measure::{from_nanos, SlidingWindow, TokenBucket};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Part of a limit that waits at the volume's home, where initiators may message each other.
pub(super) const POOLED_RATIO: f64 = 0.5;
/// Part of a volume's tolerance that the even buckets of all initiators may hold beyond the burst.
const TOLERANCE_USED: f64 = 0.5;
/// Part of the tolerance by which the home's bucket may refill while granted units are unspent.
const GRANT_TOLERANCE: f64 = 0.4;
/// The demand bucket never fills at less than this part of the limit.
const MIN_SHARE: f64 = 1e-3;

/// A question to the volume's home that has no answer yet.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantRequest {
    pub(super) number: u32,
    pub(super) asked_at: Duration,
}

/// Who shares a limit, and in which parts.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitShares {
    /// How many initiators the volume's requests come through.
    pub(super) initiators: f64,
    /// This process's part of this initiator's budgets.
    pub(super) budget_share: f64,
    /// This initiator's part of the volume's demand.
    pub(super) demand_share: f64,
    /// What other initiators use, in units a second.
    pub(super) others_rate: f64,
    /// What all use, as the meter last reported; 0: not known.
    pub(super) metered_total: f64,
}

/// The units of one volume's limit that this initiator may send.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct VolumeLimit {
    /// Factor on the demand bucket's rate: below 1 where all together used more than the limit.
    #[serde(rename = "scale")]
    overuse_factor: f64,
    #[serde(rename = "scaled_at")]
    overuse_checked_at: Duration,
    /// Fills by this initiator's share of the demand.
    #[serde(rename = "slice")]
    demand_bucket: TokenBucket,
    /// Fills by an even share, whatever is reported.
    #[serde(rename = "sure")]
    even_bucket: TokenBucket,
    /// Part of the limit that the volume's home grants.
    #[serde(rename = "pooled")]
    pub(super) pooled_ratio: f64,
    #[serde(skip)]
    grant_request: Option<GrantRequest>,
    #[serde(rename = "given")]
    granted_units: f64,
    #[serde(rename = "given_until")]
    grant_expires_at: Duration,
    /// Units of requests that are in flight.
    #[serde(skip)]
    units_in_flight: f64,
    /// Units given up of late, which may still come to their endpoints.
    #[serde(rename = "gone", default)]
    units_abandoned: SlidingWindow,
}

impl VolumeLimit {
    /// The limit of a volume met for the first time. A restarted initiator can't know what it drew before: the buckets
    /// start empty.
    pub(super) fn new(now: Duration, scheduler_started_at: Duration) -> Self {
        VolumeLimit {
            overuse_factor: 1.0,
            overuse_checked_at: now,
            demand_bucket: TokenBucket::holding(0.0, scheduler_started_at),
            even_bucket: TokenBucket::holding(0.0, scheduler_started_at),
            ..VolumeLimit::default()
        }
    }

    /// A request is sent for the first time; its units count from when it comes to its endpoint.
    pub(super) fn draw(&mut self, now: Duration, units: f64) {
        let granted = self.unexpired_grant(now).min(units);
        self.granted_units -= granted;
        self.demand_bucket.tokens -= units;
        self.even_bucket.tokens -= units - granted;
        self.units_in_flight += units;
    }

    /// Nothing of a request is in flight any more; where all of it was given up, it may still come to its endpoint.
    pub(super) fn settle(&mut self, now: Duration, units: f64, may_still_come: bool) {
        self.units_in_flight = (self.units_in_flight - units).max(0.0);
        if may_still_come {
            self.units_abandoned.add(now, units);
        }
    }

    /// Units that may still come to endpoints; a connection lives that long after its last answer at most.
    pub(super) fn outstanding_units(&mut self, now: Duration, connection_lifetime: Duration) -> f64 {
        self.units_in_flight + self.units_abandoned.prune_and_sum(now.saturating_sub(connection_lifetime))
    }

    /// Keeps only this part of what the buckets hold.
    pub(super) fn scale_tokens(&mut self, part: f64) {
        self.demand_bucket.scale(part);
        self.even_bucket.scale(part);
    }

    /// How many units the buckets lack for a request of this size; zero or less where it may go.
    pub(super) fn missing_units(
        &mut self,
        now: Duration,
        plan: &Plan,
        shares: &LimitShares,
        units: f64,
        outstanding: f64,
    ) -> f64 {
        self.update_overuse(now, plan, shares, units);
        let (limit, whole) = (plan.limit, shares.budget_share);
        let even = 1.0 / shares.initiators;
        // What the others leave is this initiator's as well.
        let unused = 1.0 - shares.others_rate / limit;
        let part = (shares.demand_share.max(unused) * self.overuse_factor).clamp(MIN_SHARE, 1.0);
        let own = 1.0 - self.pooled_ratio;
        let even_capacity = plan.burst * own + TOLERANCE_USED * plan.tolerance;
        // What is outstanding takes its units when it comes: no bucket fills beside it.
        let by_even_share = self.even_bucket.refill(
            now,
            limit * own * even * whole,
            even_capacity * even * whole - outstanding,
        ) + self.unexpired_grant(now);
        let full = plan.burst * whole;
        let by_demand =
            self.demand_bucket.refill(now, limit * part * whole, full * part.max(even) - outstanding);
        units - by_even_share.min(by_demand)
    }

    /// Compares use and limit again: once in a while, sooner where the demand bucket is empty.
    fn update_overuse(&mut self, now: Duration, plan: &Plan, shares: &LimitShares, units: f64) {
        let is_empty = self.demand_bucket.tokens < units;
        let interval = if is_empty { SMOOTHING_TIME / 4 } else { SMOOTHING_TIME };
        if now < self.overuse_checked_at + interval {
            return;
        }
        self.overuse_checked_at = now;
        let total = shares.metered_total;
        let factor = if total > 0.0 { plan.limit / total } else { 1.0 };
        self.overuse_factor = factor.min(1.0);
    }

    /// Neither bucket was used since that time.
    pub(super) fn unused_since(&self, at: Duration) -> bool {
        self.even_bucket.refilled_at <= at
    }

    fn unexpired_grant(&self, now: Duration) -> f64 {
        if now < self.grant_expires_at {
            self.granted_units
        } else {
            0.0
        }
    }

    /// When the home may be asked for units again.
    pub(super) fn next_grant_request(&self, plan: &Plan) -> Duration {
        self.grant_request.map_or(Duration::ZERO, |request| request.asked_at + grant_lifetime(plan) / 4)
    }

    pub(super) fn grant_requested(&mut self, request: GrantRequest) {
        self.grant_request = Some(request);
    }

    /// Takes units that the home grants, if they answer the open question.
    pub(super) fn accept_grant(&mut self, plan: &Plan, units: f64, number: u32) {
        let Some(request) = self.grant_request.filter(|request| request.number == number) else { return };
        // The home's bucket has refilled meanwhile: what comes late must not be spent as well.
        self.grant_expires_at = request.asked_at + grant_lifetime(plan);
        self.granted_units = units;
        self.grant_request = None;
    }
}

/// How long granted units may be kept, from when they were asked for: until the home's bucket has refilled as far as
/// the tolerance allows.
fn grant_lifetime(plan: &Plan) -> Duration {
    from_nanos(GRANT_TOLERANCE * plan.tolerance / (POOLED_RATIO * plan.limit) * 1e9)
}
