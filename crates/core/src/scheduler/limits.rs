//! Limits: a plan may cap the units per second that all initiators together send for one volume.
//!
//! Initiators keep the limit without coordination. Each has two token buckets and sends a request only if
//! both hold enough. The demand bucket fills by the initiator's share of the volume's demand, which it learns
//! from reports. The even bucket fills at an even share of the limit, and so keeps the limit even if the
//! reports are wrong. A part of each limit is pooled at one initiator, the volume's home, which grants units
//! to initiators that lack them (`unit_grants`).

use super::times::SMOOTHING_TIME;
use crate::interface::Plan;
use crate::measure::{from_nanos, SlidingWindow, TokenBucket};
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Fraction of a limit and of its burst that is pooled at the volume's home. Applies only if initiators may
/// message each other and several of them send requests for the volume; else nothing is pooled.
pub(super) const POOLED_RATIO: f64 = 0.5;
/// Fraction of the plan's tolerance that the even buckets of all initiators together may hold beyond the part
/// of the burst that is not pooled.
const EVEN_BUCKET_TOLERANCE: f64 = 0.5;
/// Fraction of the plan's tolerance by which the home's bucket may refill while granted units are unspent.
/// This fraction and [`EVEN_BUCKET_TOLERANCE`] add up to less than 1, so both together stay within the
/// tolerance.
const GRANT_TOLERANCE: f64 = 0.4;
/// Minimum fill rate of the demand bucket, as a fraction of the limit.
const MIN_DEMAND_FILL: f64 = 1e-3;

/// An unanswered request that asks the volume's home for units.
#[derive(Clone, Copy, Debug)]
pub(super) struct GrantRequest {
    /// Matches the grant to this request.
    pub(super) number: u32,
    pub(super) asked_at: Duration,
}

/// What this process's part of a limit depends on, beside the plan.
#[derive(Clone, Copy, Debug)]
pub(super) struct LimitContext {
    /// The number of initiators that send requests for the volume.
    pub(super) initiators: f64,
    /// This process's share of the initiator's budgets, from 0 to 1.
    pub(super) budget_share: f64,
    /// This initiator's share of the volume's demand, from 0 to 1.
    pub(super) demand_share: f64,
    /// Use by other initiators, in units per second.
    pub(super) others_rate: f64,
    /// Use by all initiators in units per second, as the meter last reported; 0 if it has not reported yet.
    pub(super) metered_total: f64,
}

/// The units of one volume's limit that this initiator may send.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct VolumeLimit {
    /// Factor on the demand bucket's rate; below 1 where all initiators together used more than the limit.
    #[serde(rename = "scale")]
    overuse_factor: f64,
    /// When `overuse_factor` was last computed.
    #[serde(rename = "scaled_at")]
    overuse_checked_at: Duration,
    /// Fills in proportion to this initiator's share of the demand.
    #[serde(rename = "slice")]
    demand_bucket: TokenBucket,
    /// Fills at an even share of the limit, independent of reports.
    #[serde(rename = "sure")]
    even_bucket: TokenBucket,
    /// Fraction of the limit that is pooled at the volume's home; 0 if the volume has no home.
    #[serde(rename = "pooled")]
    pub(super) pooled_ratio: f64,
    /// The last request to the home, until its grant arrives.
    #[serde(skip)]
    grant_request: Option<GrantRequest>,
    /// Granted units that are not spent yet.
    #[serde(rename = "given")]
    granted_units: f64,
    /// From when on `granted_units` can't be spent any more.
    #[serde(rename = "given_until")]
    grant_expires_at: Duration,
    /// Units of requests that have been sent and are not settled yet.
    #[serde(skip)]
    units_in_flight: f64,
    /// Units of recently abandoned requests, which may still reach their endpoints.
    #[serde(rename = "gone", default)]
    units_abandoned: SlidingWindow,
}

impl VolumeLimit {
    /// Creates the limit of a volume that is seen for the first time. The buckets start empty and fill from
    /// `scheduler_started_at`, because a restarted initiator can't know what it drew in its previous run.
    pub(super) fn new(now: Duration, scheduler_started_at: Duration) -> Self {
        VolumeLimit {
            overuse_factor: 1.0,
            overuse_checked_at: now,
            demand_bucket: TokenBucket::holding(0.0, scheduler_started_at),
            even_bucket: TokenBucket::holding(0.0, scheduler_started_at),
            ..VolumeLimit::default()
        }
    }

    /// Draws the units of a request that is sent for the first time: all of them from the demand bucket, and
    /// those that no granted units cover from the even bucket. They stay in flight until the request is
    /// settled, because they count against the limit from when the request reaches its endpoint, which may
    /// still happen until then.
    pub(super) fn draw(&mut self, now: Duration, units: f64) {
        let granted = self.unexpired_grant(now).min(units);
        self.granted_units -= granted;
        self.demand_bucket.tokens -= units;
        self.even_bucket.tokens -= units - granted;
        self.units_in_flight += units;
    }

    /// Settles the units of a request that has nothing in flight any more. `may_still_arrive` means that no
    /// attempt is known to have reached its endpoint, but an abandoned one may still do so.
    pub(super) fn settle(&mut self, now: Duration, units: f64, may_still_arrive: bool) {
        self.units_in_flight = (self.units_in_flight - units).max(0.0);
        if may_still_arrive {
            self.units_abandoned.add(now, units);
        }
    }

    /// Returns the units that may still reach endpoints. Those of abandoned requests count for
    /// `connection_lifetime`, the longest time that a connection lives after its last answer.
    pub(super) fn outstanding_units(&mut self, now: Duration, connection_lifetime: Duration) -> f64 {
        self.units_in_flight + self.units_abandoned.prune_and_sum(now.saturating_sub(connection_lifetime))
    }

    /// Multiplies the tokens in both buckets by `factor`. A debt is not scaled.
    pub(super) fn scale_tokens(&mut self, factor: f64) {
        self.demand_bucket.scale(factor);
        self.even_bucket.scale(factor);
    }

    /// Refills both buckets and returns how many units they lack for a request of this size; zero or less if
    /// the request may be sent. `outstanding` are the units from [`VolumeLimit::outstanding_units`].
    pub(super) fn missing_units(
        &mut self,
        now: Duration,
        plan: &Plan,
        context: &LimitContext,
        units: f64,
        outstanding: f64,
    ) -> f64 {
        self.update_overuse(now, plan, context, units);
        let (limit, budget_share) = (plan.limit, context.budget_share);
        let even_share = 1.0 / context.initiators;
        // This initiator may also use what the others leave unused.
        let unused_share = 1.0 - context.others_rate / limit;
        let demand_fill =
            (context.demand_share.max(unused_share) * self.overuse_factor).clamp(MIN_DEMAND_FILL, 1.0);
        let unpooled = 1.0 - self.pooled_ratio;
        let even_capacity = plan.burst * unpooled + EVEN_BUCKET_TOLERANCE * plan.tolerance;
        // Outstanding units count against the limit only when they reach an endpoint. A bucket that refilled
        // to its full capacity meanwhile would let a whole burst arrive in addition to them, so the capacity
        // of both buckets is lower by the outstanding units.
        let by_even_share = self.even_bucket.refill(
            now,
            limit * unpooled * even_share * budget_share,
            even_capacity * even_share * budget_share - outstanding,
        ) + self.unexpired_grant(now);
        let burst = plan.burst * budget_share;
        let by_demand = self.demand_bucket.refill(
            now,
            limit * demand_fill * budget_share,
            burst * demand_fill.max(even_share) - outstanding,
        );
        units - by_even_share.min(by_demand)
    }

    /// Computes `overuse_factor` from the metered use and the limit, at intervals that are shorter while the
    /// demand bucket lacks units for a request of this size.
    fn update_overuse(&mut self, now: Duration, plan: &Plan, context: &LimitContext, units: f64) {
        let lacks_units = self.demand_bucket.tokens < units;
        let interval = if lacks_units { SMOOTHING_TIME / 4 } else { SMOOTHING_TIME };
        if now < self.overuse_checked_at + interval {
            return;
        }
        self.overuse_checked_at = now;
        let total = context.metered_total;
        let factor = if total > 0.0 { plan.limit / total } else { 1.0 };
        self.overuse_factor = factor.min(1.0);
    }

    /// Returns whether neither bucket has been used since a time. Both are always refilled together, so the
    /// even bucket tells for both.
    pub(super) fn unused_since(&self, at: Duration) -> bool {
        self.even_bucket.refilled_at <= at
    }

    /// Returns the granted units that may still be spent.
    fn unexpired_grant(&self, now: Duration) -> f64 {
        if now < self.grant_expires_at {
            self.granted_units
        } else {
            0.0
        }
    }

    /// Returns when the home may be asked for units next: at once if no request is unanswered, else a quarter
    /// of the grant lifetime after the unanswered one.
    pub(super) fn next_grant_request(&self, plan: &Plan) -> Duration {
        self.grant_request.map_or(Duration::ZERO, |request| request.asked_at + grant_lifetime(plan) / 4)
    }

    /// Records a request to the home.
    pub(super) fn grant_requested(&mut self, request: GrantRequest) {
        self.grant_request = Some(request);
    }

    /// Takes granted units if the grant answers the last request. They replace what is unspent of an earlier
    /// grant.
    pub(super) fn accept_grant(&mut self, plan: &Plan, units: f64, number: u32) {
        let Some(request) = self.grant_request.filter(|request| request.number == number) else { return };
        // The home's bucket refills from the moment of the request, so the lifetime counts from there: units
        // of a late grant must not be spent in addition to the refill.
        self.grant_expires_at = request.asked_at + grant_lifetime(plan);
        self.granted_units = units;
        self.grant_request = None;
    }
}

/// Returns how long granted units may be kept, counted from the request: until the home's bucket has refilled
/// as far as the tolerance allows.
fn grant_lifetime(plan: &Plan) -> Duration {
    from_nanos(GRANT_TOLERANCE * plan.tolerance / (POOLED_RATIO * plan.limit) * 1e9)
}
