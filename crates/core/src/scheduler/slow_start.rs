//! Slow start: an endpoint that has just started fails when all initiators together send it too much.
//! Initiators don't coordinate, so each gets an even part of the endpoint's capacity. Where an even part does
//! not hold the largest request, the answers of the endpoint pace the sends: each answer in time allows its
//! initiator one more request (a follow-up). Where an even part hardly holds any request, initiators save up
//! their parts until they hold one.

use super::endpoints::Endpoint;
use super::times::{FOREVER, NANOSECOND, REPORT_LIFETIME, SECOND};
use crate::interface::{EndpointId, Settings};
use crate::measure::{from_nanos, nanos, seconds, splitmix64, SlidingWindow, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// Largest fraction of its savings with which a restarted initiator starts, because its previous run may have
/// spent some.
const MAX_RESTARTED_SAVINGS: f64 = 0.85;
/// Minimum of the rules' overload factor in the computation of the safe fraction of a capacity.
const MIN_OVERLOAD_FACTOR: f64 = 1.5;
/// Factor by which the estimated speed of warm endpoints changes per answer, so that it follows the median.
const SPEED_STEP: f64 = 1.1;

/// The last start of an endpoint, and what the endpoint was sent since.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct EndpointStart {
    /// When the endpoint started, as listed or as presumed from connection failures; `None` means long ago.
    #[serde(rename = "born")]
    pub(super) started_at: Option<Duration>,
    /// When the endpoint started, as listed.
    #[serde(rename = "listed")]
    pub(super) listed_at: Option<Duration>,
    /// Units sent recently, except those of follow-ups.
    #[serde(rename = "sent")]
    pub(super) units_sent: SlidingWindow,
    /// Units saved up from this initiator's even parts.
    #[serde(rename = "saved", default)]
    pub(super) savings: TokenBucket,
    /// Requests beyond the even part that the endpoint's answers allow.
    #[serde(rename = "relays")]
    pub(super) follow_ups: u32,
    /// When the follow-ups expire.
    #[serde(rename = "relay_until")]
    pub(super) follow_ups_until: Duration,
}

impl EndpointStart {
    /// Begins slow start after the endpoint list reported a start.
    pub(super) fn record_listed_start(&mut self, started_at: Duration, savings: TokenBucket) {
        self.started_at = Some(started_at);
        self.listed_at = self.started_at;
        self.follow_ups = 0;
        self.savings = savings;
    }

    /// Begins slow start after connection failures that suggest a restart which the endpoint list does not
    /// report yet.
    pub(super) fn presume_restart(
        &mut self,
        now: Duration,
        savings: TokenBucket,
        slow_start_duration: Duration,
    ) {
        self.started_at = Some(now);
        self.follow_ups = 0;
        self.savings = savings;
        // Units sent to a process that may be dead don't count against its successor, unless the listed start
        // is so recent that the process may still be in slow start.
        if self.listed_at.is_none_or(|listed| now >= listed + slow_start_duration) {
            self.units_sent.clear();
        }
    }

    /// Returns to the listed start: the process turned out not to have restarted when its connections broke.
    pub(super) fn revert_to_listed_start(&mut self) {
        self.started_at = self.listed_at;
    }

    /// Returns whether a follow-up may be sent.
    pub(super) fn has_follow_up(&self, now: Duration) -> bool {
        self.follow_ups > 0 && self.follow_ups_until >= now
    }

    /// Allows one follow-up after an answer in time: the endpoint can serve as much again within the overload
    /// window.
    pub(super) fn allow_follow_up(&mut self, now: Duration, overload_window: Duration) {
        self.follow_ups = if self.follow_ups_until >= now { self.follow_ups + 1 } else { 1 };
        self.follow_ups_until = now + overload_window;
    }

    /// Counts units that are sent: as a follow-up if one is allowed, else against this initiator's even part.
    pub(super) fn record_sent(&mut self, now: Duration, units: f64, overload_window: Duration) {
        if self.has_follow_up(now) {
            self.follow_ups -= 1;
        } else {
            self.units_sent.add(now, units);
            self.savings.tokens -= units;
        }
        self.units_sent.prune_and_sum(now.saturating_sub(overload_window));
    }

    /// Returns the units sent within the last `window`, except those of follow-ups.
    pub(super) fn units_sent_within(&self, window: Duration, now: Duration) -> f64 {
        self.units_sent.sum_since((now + NANOSECOND).saturating_sub(window))
    }

    /// Returns whether slow start is over.
    pub(super) fn is_warm(&self, now: Duration, slow_start_duration: Duration) -> bool {
        self.started_at.is_none_or(|started| now >= started + slow_start_duration)
    }
}

/// Units that an endpoint may be sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvailableCapacity {
    /// Infinite where slow start doesn't limit them.
    pub(super) units: f64,
    /// When more may be available, where that is known.
    pub(super) more_at: Option<Duration>,
}

impl AvailableCapacity {
    const UNLIMITED: AvailableCapacity = AvailableCapacity { units: f64::INFINITY, more_at: None };
    pub(super) const NONE: AvailableCapacity = AvailableCapacity { units: 0.0, more_at: None };
}

/// Parameters of slow start, beside the state of the endpoint.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartContext {
    pub(super) now: Duration,
    /// When the scheduler of this initiator started.
    pub(super) scheduler_started_at: Duration,
    /// This process's share of the initiator's budgets.
    pub(super) budget_share: f64,
    /// The number of endpoints that accept new requests.
    pub(super) ready_endpoints: usize,
    /// The number of initiators, this one included.
    pub(super) initiators: u32,
    /// This initiator's number among them, from 0.
    pub(super) rank: u32,
    /// Fraction of its usual work that an endpoint can do just after its start.
    pub(super) start_capacity: f64,
    /// How long after its start an endpoint can do all of its usual work.
    pub(super) duration: Duration,
    /// An endpoint in slow start fails when it is sent more than this many times what it can do within
    /// `overload_window`.
    pub(super) overload_factor: f64,
    /// The span over which work sent to an endpoint in slow start is counted.
    pub(super) overload_window: Duration,
    /// Units within the overload window, from all initiators, that an endpoint can take at any age.
    pub(super) guaranteed_units: f64,
    pub(super) mean_request_units: f64,
    pub(super) max_request_units: f64,
}

impl SlowStartContext {
    /// Takes the parameters from the settings.
    pub(super) fn new(
        settings: &Settings,
        now: Duration,
        scheduler_started_at: Duration,
        budget_share: f64,
        ready_endpoints: usize,
    ) -> Self {
        SlowStartContext {
            now,
            scheduler_started_at,
            budget_share,
            ready_endpoints,
            initiators: settings.initiators,
            rank: settings.rank,
            start_capacity: settings.rules.slow_start_capacity,
            duration: settings.rules.slow_start_duration,
            overload_factor: settings.rules.overload_factor,
            overload_window: settings.rules.overload_window,
            guaranteed_units: settings.slow_start_units,
            mean_request_units: settings.mean_request_units,
            max_request_units: settings.max_request_units,
        }
    }
}

/// Observations of this initiator from which it estimates what an endpoint in slow start can take.
#[derive(Clone, Debug)]
pub(super) struct SlowStart {
    /// When a request for each shard last arrived.
    shards_requested: BTreeMap<u16, Duration>,
    /// Units per second of the median answer of warm endpoints. The initial value is less than that of any
    /// endpoint.
    warm_units_per_second: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> Self {
        SlowStart { shards_requested: BTreeMap::new(), warm_units_per_second: settings.mean_request_units }
    }

    /// Records that a request for a shard arrived.
    pub(super) fn record_request(&mut self, shard: Option<u16>, now: Duration) {
        if let Some(shard) = shard {
            self.shards_requested.insert(shard, now);
        }
    }

    /// Records that a warm endpoint served units in `elapsed`: moves the estimated median one step towards
    /// their rate.
    pub(super) fn record_warm_answer(&mut self, units: f64, elapsed: Duration) {
        let is_faster = units * 1e9 > self.warm_units_per_second * nanos(elapsed);
        self.warm_units_per_second *= if is_faster { SPEED_STEP } else { 1.0 / SPEED_STEP };
    }

    /// Returns the units that an endpoint can take within an overload window just after its start, from all
    /// initiators: the greater of the guaranteed units and of the safe fraction of what the observed speed of
    /// warm endpoints allows. If an even part of this capacity does not hold the largest request, only the
    /// safe fraction of the capacity counts.
    pub(super) fn starting_capacity(&self, context: &SlowStartContext) -> f64 {
        let safe_fraction = 1.0 - 1.0 / context.overload_factor.max(MIN_OVERLOAD_FACTOR);
        let observed = self.warm_units_per_second
            * context.start_capacity
            * context.overload_factor
            * seconds(context.overload_window)
            * safe_fraction;
        let capacity = context.guaranteed_units.max(observed) * context.budget_share;
        let even_part = capacity / self.expected_contenders(context);
        capacity * if even_part < context.max_request_units { safe_fraction } else { 1.0 }
    }

    /// Returns the expected number of initiators that send to one endpoint at the same time, if each of them
    /// gets requests for as many shards as this one recently did.
    pub(super) fn expected_contenders(&self, context: &SlowStartContext) -> f64 {
        let (now, window) = (context.now, REPORT_LIFETIME);
        let recent = self.shards_requested.values().filter(|at| **at + window >= now);
        let requested = recent.count().max(1) as f64;
        let observed = seconds(now - context.scheduler_started_at) / seconds(window);
        let wanted = requested / observed.clamp(1e-3, 1.0) / context.ready_endpoints.max(1) as f64;
        (f64::from(context.initiators) * wanted.min(1.0)).max(1.0)
    }

    /// Returns whether an even part of a starting endpoint's capacity does not hold the largest request.
    pub(super) fn even_part_is_small(&self, context: &SlowStartContext) -> bool {
        self.even_part(context) < context.max_request_units
    }

    /// Returns this initiator's even part of a starting endpoint's capacity, in units.
    fn even_part(&self, context: &SlowStartContext) -> f64 {
        self.starting_capacity(context) / self.expected_contenders(context)
    }

    /// Returns the units that this initiator may send an endpoint now.
    pub(super) fn available_capacity(
        &self,
        start: &mut EndpointStart,
        context: &SlowStartContext,
    ) -> AvailableCapacity {
        let now = context.now;
        let age = start.started_at.map_or(FOREVER, |started| now.saturating_sub(started));
        let is_configured = context.start_capacity.min(context.guaranteed_units * context.budget_share) > 0.0;
        let is_warm = age >= context.duration;
        if start.has_follow_up(now) || is_warm || !is_configured || context.overload_window.is_zero() {
            return AvailableCapacity::UNLIMITED;
        }
        let even_part = self.even_part(context);
        let part_now = even_part * capacity_growth(context, age);
        if even_part < context.mean_request_units / 2.0 {
            saved_capacity(start, part_now, context)
        } else {
            remaining_capacity(start, part_now, context)
        }
    }

    /// Returns the units that an endpoint in slow start can still take from all initiators, if others sent it
    /// `units_by_others` recently.
    pub(super) fn capacity_after_others(
        &self,
        start: &EndpointStart,
        units_by_others: f64,
        context: &SlowStartContext,
    ) -> f64 {
        let age = start.started_at.map_or(context.duration, |started| context.now.saturating_sub(started));
        let own = start.units_sent_within(context.overload_window, context.now);
        let all = self.starting_capacity(context) * capacity_growth(context, age);
        all - own - units_by_others
    }
}

/// Returns the capacity of an endpoint at an age as a multiple of its capacity just after its start.
fn capacity_growth(context: &SlowStartContext, age: Duration) -> f64 {
    let start = context.start_capacity.min(1.0);
    (start + (1.0 - start) * nanos(age) / nanos(context.duration)) / start
}

/// Returns what is left within the overload window of an even part of this many units.
fn remaining_capacity(start: &mut EndpointStart, part: f64, context: &SlowStartContext) -> AvailableCapacity {
    let (now, window) = (context.now, context.overload_window);
    let spent = start.units_sent.prune_and_sum((now + NANOSECOND).saturating_sub(window));
    // The previous run of an initiator that started after the endpoint may have used the part already.
    let may_have_spent = now < context.scheduler_started_at + window
        && context.scheduler_started_at >= start.started_at.unwrap_or_default();
    let more_at = start.units_sent.oldest().map_or(now + SECOND / 10, |at| at + window);
    let units = if may_have_spent { 0.0 } else { part - spent };
    AvailableCapacity { units, more_at: Some(more_at) }
}

/// Returns the capacity where an even part hardly holds a request: the initiator saves up its parts until
/// they hold one of mean size. The savings may be overdrawn by one request of any size: all initiators
/// together still send no more than their parts hold over any span.
fn saved_capacity(start: &mut EndpointStart, part: f64, context: &SlowStartContext) -> AvailableCapacity {
    let (now, mean) = (context.now, context.mean_request_units);
    let rate = (part / seconds(context.overload_window)).max(1e-9);
    let missing = mean - start.savings.refill(now, rate, mean);
    if missing <= 0.0 {
        let units = context.max_request_units.max(mean);
        return AvailableCapacity { units, more_at: None };
    }
    let wait = from_nanos((missing / rate * 1e9).clamp(1e6, nanos(SECOND / 2)));
    AvailableCapacity { units: 0.0, more_at: Some(now + wait) }
}

/// Returns the savings of an initiator when an endpoint starts, as if it had been saving for a long time.
/// Initiators that are running by then have amounts that are spread evenly by rank, so that their first sends
/// follow each other. Initiators that start later draw a random amount.
pub(super) fn initial_savings(
    endpoint: EndpointId,
    started_at: Duration,
    start_id: u64,
    context: &SlowStartContext,
    hash: impl Fn(u64) -> u64,
) -> TokenBucket {
    let start = u64::from(endpoint) ^ start_id;
    let fraction = |number: u64| (number % (1 << 20)) as f64 / f64::from(1 << 20);
    let rank = f64::from(context.rank) / f64::from(context.initiators.max(1));
    let part = if context.scheduler_started_at <= started_at {
        (rank + fraction(splitmix64(start))).fract()
    } else {
        MAX_RESTARTED_SAVINGS * fraction(hash(start))
    };
    TokenBucket::holding(context.mean_request_units * part, context.now)
}

impl Endpoint {
    /// Records that units are sent to the endpoint.
    pub(super) fn record_sent(&mut self, now: Duration, units: f64, overload_window: Duration) {
        self.start.record_sent(now, units, overload_window);
        self.last_sent_at = now;
    }
}
