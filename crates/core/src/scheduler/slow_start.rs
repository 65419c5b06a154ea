//! Slow start: an endpoint that has just started falls over when all initiators together send it too much. With no
//! agreement between them, what it can take is dealt out in even parts. Where an even part does not hold the largest
//! request, the endpoint's own answers say who goes on: each allows one request more. Where it hardly holds a request at
//! all, initiators save their parts up until it does.

use super::endpoints::Endpoint;
use super::times::{FOREVER, NANOSECOND, REPORT_LIFETIME, SECOND};
use crate::interface::{EndpointId, Settings};
use crate::measure::{from_nanos, nanos, seconds, splitmix64, SlidingWindow, TokenBucket};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::Duration;

/// A restarted initiator starts with at most this part of its savings: its last run may have spent some.
const RESTARTED_SAVINGS: f64 = 0.85;
/// The rules' overload factor is taken for at least this where the safe part below it is reckoned.
const MIN_OVERLOAD_FACTOR: f64 = 1.5;
/// Step by which the estimate of warm endpoints' speed follows their median answer.
const SPEED_STEP: f64 = 1.1;

/// One endpoint's start, and what it was sent since.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct EndpointStart {
    /// When it started, as listed or as guessed from failures; `None`: long ago.
    #[serde(rename = "born")]
    pub(super) started_at: Option<Duration>,
    /// When it started, as listed.
    #[serde(rename = "listed")]
    pub(super) listed_at: Option<Duration>,
    /// Units sent of late, except those that its answers allowed.
    #[serde(rename = "sent")]
    pub(super) units_sent: SlidingWindow,
    /// Units saved up from this initiator's even part.
    #[serde(rename = "saved", default)]
    pub(super) savings: TokenBucket,
    /// Requests that its answers allow beyond the even part,
    #[serde(rename = "relays")]
    pub(super) follow_ups: u32,
    /// until then.
    #[serde(rename = "relay_until")]
    pub(super) follow_ups_until: Duration,
}

impl EndpointStart {
    /// The endpoint list says that it started.
    pub(super) fn listed(&mut self, started_at: Duration, savings: TokenBucket) {
        self.started_at = Some(started_at);
        self.listed_at = self.started_at;
        self.follow_ups = 0;
        self.savings = savings;
    }

    /// Its connections say that it may have started just now; the list does not say so yet.
    pub(super) fn presumed(&mut self, now: Duration, savings: TokenBucket, slow_start_duration: Duration) {
        self.started_at = Some(now);
        self.follow_ups = 0;
        self.savings = savings;
        // What a process that may be dead took does not burden its successor.
        if self.listed_at.is_none_or(|listed| now >= listed + slow_start_duration) {
            self.units_sent.clear();
        }
    }

    /// Its connections broke under a process that lives on.
    pub(super) fn not_restarted(&mut self) {
        self.started_at = self.listed_at;
    }

    pub(super) fn has_follow_up(&self, now: Duration) -> bool {
        self.follow_ups > 0 && self.follow_ups_until >= now
    }

    /// It did something in time; it can do as much again within the overload window.
    pub(super) fn allow_follow_up(&mut self, now: Duration, overload_window: Duration) {
        self.follow_ups = if self.follow_ups_until >= now { self.follow_ups + 1 } else { 1 };
        self.follow_ups_until = now + overload_window;
    }

    pub(super) fn record_sent(&mut self, now: Duration, units: f64, overload_window: Duration) {
        if self.has_follow_up(now) {
            self.follow_ups -= 1;
        } else {
            self.units_sent.add(now, units);
            self.savings.tokens -= units;
        }
        self.units_sent.prune_and_sum(now.saturating_sub(overload_window));
    }

    /// Units sent within the last `window`, except those that its answers allowed.
    pub(super) fn units_sent_within(&self, window: Duration, now: Duration) -> f64 {
        self.units_sent.sum_since((now + NANOSECOND).saturating_sub(window))
    }

    pub(super) fn is_warm(&self, now: Duration, slow_start_duration: Duration) -> bool {
        self.started_at.is_none_or(|started| now >= started + slow_start_duration)
    }
}

/// Units that may be sent now.
#[derive(Clone, Copy, Debug)]
pub(super) struct AvailableCapacity {
    /// Infinite where nothing limits it.
    pub(super) units: f64,
    /// When there may be more, where that is known.
    pub(super) more_at: Option<Duration>,
}

impl AvailableCapacity {
    const UNLIMITED: AvailableCapacity = AvailableCapacity { units: f64::INFINITY, more_at: None };
    pub(super) const NONE: AvailableCapacity = AvailableCapacity { units: 0.0, more_at: None };
}

/// What the rules of slow start go by, beside the endpoint itself.
#[derive(Clone, Copy, Debug)]
pub(super) struct SlowStartContext {
    pub(super) now: Duration,
    /// When this initiator started.
    pub(super) scheduler_started_at: Duration,
    /// This process's part of this initiator's budgets.
    pub(super) budget_share: f64,
    /// How many endpoints take new work.
    pub(super) ready_endpoints: usize,
    pub(super) initiators: u32,
    pub(super) rank: u32,
    /// Part of its usual work that an endpoint can do just after its start.
    pub(super) start_capacity: f64,
    pub(super) duration: Duration,
    /// An endpoint in slow start fails when sent so many times what it can do,
    pub(super) overload_factor: f64,
    /// over this span.
    pub(super) overload_window: Duration,
    /// Units within the overload window that an endpoint takes in any case.
    pub(super) certain_units: f64,
    pub(super) mean_request_units: f64,
    pub(super) max_request_units: f64,
}

impl SlowStartContext {
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
            certain_units: settings.slow_start_units,
            mean_request_units: settings.mean_request_units,
            max_request_units: settings.max_request_units,
        }
    }
}

/// What this initiator has seen that bears on endpoints in slow start.
#[derive(Clone, Debug)]
pub(super) struct SlowStart {
    /// When each shard was last asked for.
    shards_requested: BTreeMap<u16, Duration>,
    /// Units a second of the median answer of warm endpoints; at first less than any does.
    warm_units_per_second: f64,
}

impl SlowStart {
    pub(super) fn new(settings: &Settings) -> Self {
        SlowStart { shards_requested: BTreeMap::new(), warm_units_per_second: settings.mean_request_units }
    }

    pub(super) fn record_request(&mut self, shard: Option<u16>, now: Duration) {
        if let Some(shard) = shard {
            self.shards_requested.insert(shard, now);
        }
    }

    /// A warm endpoint served so many units in `elapsed`: the estimate of the median goes one step its way.
    pub(super) fn record_warm_answer(&mut self, units: f64, elapsed: Duration) {
        let is_faster = units * 1e9 > self.warm_units_per_second * nanos(elapsed);
        self.warm_units_per_second *= if is_faster { SPEED_STEP } else { 1.0 / SPEED_STEP };
    }

    /// Units that an endpoint takes within an overload window just after its start, from all initiators: what is
    /// stated, or what its part of a warm endpoint's work allows, as far as that was seen.
    pub(super) fn starting_capacity(&self, context: &SlowStartContext) -> f64 {
        let safe_part = 1.0 - 1.0 / context.overload_factor.max(MIN_OVERLOAD_FACTOR);
        let seen = self.warm_units_per_second
            * context.start_capacity
            * context.overload_factor
            * seconds(context.overload_window)
            * safe_part;
        let capacity = context.certain_units.max(seen) * context.budget_share;
        let even_part = capacity / self.expected_contenders(context);
        capacity * if even_part < context.max_request_units { safe_part } else { 1.0 }
    }

    /// How many initiators want something of one endpoint at the same time, if each is asked for as many shards as this
    /// one of late.
    pub(super) fn expected_contenders(&self, context: &SlowStartContext) -> f64 {
        let (now, window) = (context.now, REPORT_LIFETIME);
        let recent = self.shards_requested.values().filter(|at| **at + window >= now);
        let requested = recent.count().max(1) as f64;
        let observed = seconds(now - context.scheduler_started_at) / seconds(window);
        let wanted = requested / observed.clamp(1e-3, 1.0) / context.ready_endpoints.max(1) as f64;
        (f64::from(context.initiators) * wanted.min(1.0)).max(1.0)
    }

    /// An even part of what a starting endpoint takes does not hold the largest request.
    pub(super) fn parts_are_small(&self, context: &SlowStartContext) -> bool {
        let even_part = self.starting_capacity(context) / self.expected_contenders(context);
        even_part < context.max_request_units
    }

    /// Units that this initiator may send an endpoint now.
    pub(super) fn available_capacity(
        &self,
        start: &mut EndpointStart,
        context: &SlowStartContext,
    ) -> AvailableCapacity {
        let now = context.now;
        let age = start.started_at.map_or(FOREVER, |started| now.saturating_sub(started));
        let stated = context.start_capacity.min(context.certain_units * context.budget_share) > 0.0;
        let is_warm = age >= context.duration;
        if start.has_follow_up(now) || is_warm || !stated || context.overload_window.is_zero() {
            return AvailableCapacity::UNLIMITED;
        }
        let even_part = self.starting_capacity(context) / self.expected_contenders(context);
        let part_now = even_part * capacity_growth(context, age);
        if even_part < context.mean_request_units / 2.0 {
            capacity_saved(start, part_now, context)
        } else {
            capacity_left(start, part_now, context)
        }
    }

    /// Units that an endpoint in slow start can still take from all initiators, when others say that they sent it
    /// `units_by_others` of late.
    pub(super) fn capacity_beside_others(
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

/// By how much an endpoint can do more at that age than just after its start.
fn capacity_growth(context: &SlowStartContext, age: Duration) -> f64 {
    let start = context.start_capacity.min(1.0);
    (start + (1.0 - start) * nanos(age) / nanos(context.duration)) / start
}

/// What is left of an even part of so many units, within the overload window.
fn capacity_left(start: &mut EndpointStart, part: f64, context: &SlowStartContext) -> AvailableCapacity {
    let (now, window) = (context.now, context.overload_window);
    let spent = start.units_sent.prune_and_sum((now + NANOSECOND).saturating_sub(window));
    // An initiator that started after the endpoint may have used its part in its last run.
    let may_have_spent = now < context.scheduler_started_at + window
        && context.scheduler_started_at >= start.started_at.unwrap_or_default();
    let more_at = start.units_sent.oldest().map_or(now + SECOND / 10, |at| at + window);
    let units = if may_have_spent { 0.0 } else { part - spent };
    AvailableCapacity { units, more_at: Some(more_at) }
}

/// Where an even part hardly holds a request, an initiator saves it up until it does. The savings may be overdrawn by one
/// request of any size: all initiators together still send no more than their parts hold over any span.
fn capacity_saved(start: &mut EndpointStart, part: f64, context: &SlowStartContext) -> AvailableCapacity {
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

/// What an initiator has saved when an endpoint starts, as if it had saved for long. Initiators that run by then have
/// amounts spread evenly over them, so that their first sends follow each other; ones that start later draw theirs.
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
        RESTARTED_SAVINGS * fraction(hash(start))
    };
    TokenBucket::holding(context.mean_request_units * part, context.now)
}

impl Endpoint {
    /// Counts units that it is sent.
    pub(super) fn record_sent(&mut self, now: Duration, units: f64, overload_window: Duration) {
        self.start.record_sent(now, units, overload_window);
        self.last_sent_at = now;
    }
}
