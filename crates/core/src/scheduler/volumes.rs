//! Volumes: the virtual time of each, by which weighted fair queueing chooses between them, and the state of
//! its reserve, its use and its limit.

use super::limits::{LimitContext, VolumeLimit, POOLED_RATIO};
use super::times::{SECOND, SMOOTHING_TIME};
use super::usage::VolumeUsage;
use crate::interface::{Plan, Request, Settings, VolumeId};
use crate::measure::TokenBucket;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A volume without requests for this long is dropped; its buckets are full by then.
const IDLE_TIMEOUT: Duration = SECOND.saturating_mul(60);
/// How often lagging virtual times are raised. Equal to the span over which results are counted.
const RAISE_INTERVAL: Duration = SECOND;
/// When too many volumes are held, one of this many is dropped, of those that were idle for longest.
const DROPPED_DIVISOR: usize = 8;
/// Minimum of a plan's weight, by which units are divided.
const MIN_WEIGHT: f64 = 1e-6;

/// One volume at this initiator.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(super) struct Volume {
    pub(super) plan: Plan,
    /// The number of initiators that send requests for the volume.
    #[serde(rename = "hosts")]
    pub(super) initiators: f64,
    /// Cost sent by this initiator, in units divided by the plan's weight. The volume with the smallest value
    /// is served first.
    #[serde(rename = "tag")]
    pub(super) virtual_time: f64,
    /// The number of queued requests.
    #[serde(skip)]
    pub(super) queued: usize,
    #[serde(flatten)]
    pub(super) usage: VolumeUsage,
    #[serde(flatten)]
    pub(super) limit: VolumeLimit,
    /// This initiator's share of the units that the plan reserves.
    pub(super) reserve: TokenBucket,
}

impl Volume {
    /// Returns the plan's weight, which is never zero.
    pub(super) fn weight(&self) -> f64 {
        self.plan.weight.max(MIN_WEIGHT)
    }

    /// Returns the virtual time once a request of this cost has been sent.
    pub(super) fn virtual_time_after(&self, cost: f64) -> f64 {
        self.virtual_time + cost / self.weight()
    }

    /// Returns whether the reserve covers a request of this size.
    pub(super) fn reserve_covers(&mut self, now: Duration, units: f64, max_request_units: f64) -> bool {
        let rate = self.plan.reserve * self.usage.share(now, self.initiators);
        rate > 0.0 && self.reserve.refill(now, rate, rate + max_request_units) >= units
    }

    /// Records a request that is sent. Its cost to the endpoint may be less than its units.
    pub(super) fn record_sent(&mut self, now: Duration, units: f64, cost: f64) {
        self.virtual_time = self.virtual_time_after(cost);
        self.usage.sent.add(now, units, SMOOTHING_TIME);
        self.reserve.tokens = (self.reserve.tokens - units).max(0.0);
    }

    /// Returns this process's even share of the limit, from 0 to 1, without the part that is pooled at the
    /// volume's home.
    pub(super) fn own_limit_share(&self, budget_share: f64) -> f64 {
        (1.0 - self.limit.pooled_ratio) / self.initiators * budget_share
    }

    /// Returns how many units the limit lacks for a request of this size; zero or less if it may be sent.
    pub(super) fn missing_units(
        &mut self,
        now: Duration,
        units: f64,
        budget_share: f64,
        connection_lifetime: Duration,
    ) -> f64 {
        let outstanding = self.limit.outstanding_units(now, connection_lifetime);
        if self.plan.limit <= 0.0 {
            return 0.0;
        }
        let context = LimitContext {
            initiators: self.initiators,
            budget_share,
            demand_share: self.usage.share(now, self.initiators),
            others_rate: self.usage.others_rate(now),
            metered_total: self.usage.metered_total,
        };
        self.limit.missing_units(now, &self.plan, &context, units, outstanding)
    }
}

/// The volumes for which this initiator has requests, or recently had.
#[derive(Clone, Debug)]
pub(super) struct Volumes {
    by_id: BTreeMap<VolumeId, Volume>,
    /// The volumes with queued requests.
    waiting: BTreeSet<VolumeId>,
    /// When virtual times were last raised.
    raised_at: Duration,
}

impl Volumes {
    /// Creates the table without volumes.
    pub(super) fn new(now: Duration) -> Self {
        Volumes { by_id: BTreeMap::new(), waiting: BTreeSet::new(), raised_at: now }
    }

    pub(super) fn get(&self, id: VolumeId) -> Option<&Volume> {
        self.by_id.get(&id)
    }

    pub(super) fn get_mut(&mut self, id: VolumeId) -> Option<&mut Volume> {
        self.by_id.get_mut(&id)
    }

    pub(super) fn contains(&self, id: VolumeId) -> bool {
        self.by_id.contains_key(&id)
    }

    pub(super) fn iter(&self) -> impl Iterator<Item = (VolumeId, &Volume)> {
        self.by_id.iter().map(|(id, volume)| (*id, volume))
    }

    pub(super) fn extend(&mut self, volumes: impl IntoIterator<Item = (VolumeId, Volume)>) {
        self.by_id.extend(volumes);
    }

    /// Counts one more queued request of a volume.
    pub(super) fn request_queued(&mut self, id: VolumeId) {
        if let Some(volume) = self.by_id.get_mut(&id) {
            volume.queued += 1;
            self.waiting.insert(id);
        }
    }

    /// Counts one queued request of a volume less.
    pub(super) fn request_dequeued(&mut self, id: VolumeId) {
        let Some(volume) = self.by_id.get_mut(&id) else { return };
        volume.queued -= 1;
        if volume.queued == 0 {
            self.waiting.remove(&id);
        }
    }

    /// Makes room for the state of a volume where `max` volumes are held already; 0: unlimited. Drops idle
    /// volumes without a limit, whose state decides about fairness only. Returns `false` if there are none.
    pub(super) fn make_room_for(&mut self, id: VolumeId, max: usize) -> bool {
        if max == 0 || self.by_id.len() < max || self.by_id.contains_key(&id) {
            return true;
        }
        let is_droppable = |volume: &Volume| volume.queued == 0 && volume.plan.limit <= 0.0;
        let droppable = self.by_id.values().filter(|volume| is_droppable(volume));
        let mut last_used: Vec<Duration> = droppable.map(|volume| volume.usage.demand.updated_at).collect();
        if last_used.is_empty() {
            return false;
        }
        // Many are dropped at a time, so that not every request of a new volume walks all of them.
        let dropped = (last_used.len() - 1).min(max / DROPPED_DIVISOR);
        let (_, &mut threshold, _) = last_used.select_nth_unstable(dropped);
        self.by_id.retain(|_, volume| !is_droppable(volume) || volume.usage.demand.updated_at > threshold);
        true
    }

    /// Scales the tokens that the buckets of all limits hold.
    pub(super) fn scale_tokens(&mut self, factor: f64) {
        self.by_id.values_mut().for_each(|volume| volume.limit.scale_tokens(factor));
    }

    /// Counts a new request towards the demand of its volume, and applies the plan that the request names.
    pub(super) fn record_request(
        &mut self,
        request: &Request,
        settings: &Settings,
        started_at: Duration,
        now: Duration,
    ) {
        let plan = settings.plans.get(request.plan as usize).cloned().unwrap_or_default();
        let waiting = self.waiting.iter().filter_map(|id| self.by_id.get(id));
        let least_waiting = waiting.map(|volume| volume.virtual_time).fold(f64::INFINITY, f64::min);
        let volume = self.by_id.entry(request.volume).or_insert_with(|| Volume {
            limit: VolumeLimit::new(now, started_at),
            reserve: TokenBucket::holding(plan.reserve + settings.max_request_units, now),
            ..Volume::default()
        });
        volume.plan = plan;
        let initiators = if request.initiators.is_finite() { request.initiators } else { 0.0 };
        volume.initiators = volume.initiators.max(initiators).max(1.0);
        let has_home = settings.peer_messages_allowed && volume.initiators > 1.0;
        volume.limit.pooled_ratio = if has_home { POOLED_RATIO } else { 0.0 };
        // A volume that was idle gains no advantage over volumes with queued requests.
        if volume.queued == 0 && least_waiting.is_finite() {
            volume.virtual_time = volume.virtual_time.max(least_waiting);
        }
        volume.usage.demand.add(now, request.units, SMOOTHING_TIME);
    }

    /// Halves the gap of each virtual time to the largest one and drops idle volumes, once per
    /// [`RAISE_INTERVAL`]. Returns since when a dropped volume has been idle, or `None` where the interval
    /// has not passed.
    pub(super) fn raise_virtual_times(&mut self, now: Duration) -> Option<Duration> {
        if now < self.raised_at + RAISE_INTERVAL {
            return None;
        }
        self.raised_at = now;
        let largest = self.by_id.values().map(|volume| volume.virtual_time).fold(0.0, f64::max);
        for volume in self.by_id.values_mut() {
            volume.virtual_time += (largest - volume.virtual_time) / 2.0;
        }
        // Buckets that were unused for so long are full. Those of a volume that comes back are full as well,
        // because new buckets fill from the start of the scheduler.
        let since = now.saturating_sub(IDLE_TIMEOUT);
        let in_use = |volume: &Volume| {
            volume.queued > 0 || volume.usage.demand.updated_at > since || !volume.limit.unused_since(since)
        };
        self.by_id.retain(|_, volume| in_use(volume));
        Some(since)
    }
}
