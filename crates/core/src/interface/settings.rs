//! Settings: request classes, plans, the rules that all initiators share, and what this site allows.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A repeat does no harm.
    #[default]
    Idempotent,
    /// The endpoints of one scope drop a repeat within the deduplication window.
    Keyed,
    /// A repeat would take effect again.
    NotIdempotent,
}

/// Which endpoints drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// Every endpoint.
    #[default]
    All,
    /// Those of the zone of its first attempt.
    Zone,
    /// Those of the shard of its first attempt.
    Shard,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// An answer within this time earns the full priority weight.
    pub latency_objective: Duration,
    /// How long a client waits in all, over all of its tries.
    pub deadline: Duration,
    /// The part of the priority weight that an answer after the latency objective still earns, from 0 to 1.
    pub late_weight: f64,
    /// What one answered request counts.
    pub priority_weight: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, from the send of the first attempt that may have run.
    pub dedup_window: Duration,
    /// Requests with the same key run one at a time, in the order taken.
    pub ordered: bool,
    /// The most attempts of one of its requests; 0: the settings' `max_attempts`.
    pub max_attempts: u32,
    /// Newer settings have it no more: only requests taken under it stay.
    pub retired: bool,
}

/// One plan; its figures hold for each of its volumes, over all initiators and endpoints together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second that such a volume is sized for.
    pub rate: f64,
    /// Units a second that earn their full weight.
    pub reserve: f64,
    /// Units a second at which the limit's bucket fills; 0: no limit.
    pub limit: f64,
    /// The most units that the limit's bucket holds.
    pub burst: f64,
    /// How many units that bucket may go below 0.
    pub tolerance: f64,
    /// Its part of what endpoints can do beyond the reserves, against the other plans' weights.
    pub weight: f64,
    /// A factor on what its requests count.
    pub price: f64,
    /// Newer settings have it no more.
    pub retired: bool,
}

/// The rules that all initiators keep with no agreement between them.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedRules {
    /// An initiator that may not have heard of changes for this long counts as notified of them; 0: no such time.
    pub notified_within: Duration,
    /// The part of its usual work that an endpoint can do just after its start, at least.
    pub slow_start_capacity: f64,
    /// An endpoint can do all of its usual work this long after its start.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start fails when all initiators together send it more than so many times what it can do,
    /// over `overload_window`; 0: not stated.
    pub overload_factor: f64,
    /// The span over which work sent to an endpoint in slow start is counted.
    pub overload_window: Duration,
    /// How long the requests of a key wait after an attempt that may still run.
    pub ordering_pause: Duration,
    /// The span over which retries are counted; 0: no retry budget.
    pub retry_budget_window: Duration,
    /// Retries always allowed in that span; `None`: none, or no retry budget.
    pub retry_budget_minimum: Option<f64>,
    /// Retries for each request taken in that span; `None`: none, or no retry budget.
    pub retry_budget_ratio: Option<f64>,
}

/// How many attempts beyond the first of each request are allowed within `retry_budget_window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRules {
    /// Always allowed.
    pub minimum: f64,
    /// Allowed for each request taken in the window.
    pub ratio: f64,
}

impl SharedRules {
    /// The retry budget; `None`: retries are not counted.
    pub fn retry_budget(&self) -> Option<RetryBudgetRules> {
        let is_stated = self.retry_budget_minimum.or(self.retry_budget_ratio).is_some();
        if self.retry_budget_window.is_zero() || !is_stated {
            return None;
        }
        let minimum = self.retry_budget_minimum.unwrap_or(0.0);
        Some(RetryBudgetRules { minimum, ratio: self.retry_budget_ratio.unwrap_or(0.0) })
    }
}

/// All that a scheduler is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many initiators there are, this one included.
    pub initiators: u32,
    /// This initiator's number among them, from 0.
    pub rank: u32,
    /// This initiator's zone.
    pub zone: u16,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The shortest time between batches of events.
    pub min_batch_interval: Duration,
    /// The endpoint list comes only when asked for.
    pub endpoint_list_polled: bool,
    /// The classes, by number.
    pub classes: Vec<RequestClass>,
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// The rules that all initiators keep.
    pub rules: SharedRules,
    /// The most attempts of one request; 0: no such limit.
    pub max_attempts: u32,
    /// A request may have two attempts in flight.
    pub hedging_allowed: bool,
    /// [`Action::SendPeerMessage`](super::Action::SendPeerMessage) is allowed.
    pub peer_messages_allowed: bool,
    /// [`Action::HealthCheck`](super::Action::HealthCheck) is allowed.
    pub health_checks_allowed: bool,
    /// [`Action::Cancel`](super::Action::Cancel) is allowed.
    pub cancellation_allowed: bool,
    /// The longest time that a rejected client stays away; 0: not stated.
    pub max_retry_after: Duration,
    /// Units within the overload window, from all initiators together, that an endpoint takes at any age.
    pub slow_start_units: f64,
    /// An endpoint closes a connection that is idle for this long.
    pub keep_alive_timeout: Duration,
    /// A connection that is not up by then is given up; 0: not stated.
    pub connect_timeout: Duration,
    /// The most requests that may be open here, for clients have no connections for more; 0: not stated.
    pub max_open_requests: usize,
    /// The names of the figures in load reports, in their order.
    pub load_report_fields: Vec<String>,
    /// The period over which the meter adds up use; 0: no meter.
    pub meter_period: Duration,
    /// Mean size of a request, in units.
    pub mean_request_units: f64,
    /// Size of the largest request, in units.
    pub max_request_units: f64,
    /// Part of its weight that work beyond the reserve and within the volume's share earns, from 0 to 1.
    pub within_share_weight: f64,
    /// Part of its weight that work beyond reserve and share earns, from 0 to 1.
    pub beyond_share_weight: f64,
}

impl Settings {
    /// A class by its number; the default one where there is none.
    pub fn class(&self, number: u16) -> RequestClass {
        self.classes.get(number as usize).cloned().unwrap_or_default()
    }

    /// A request of this class that had so many attempts may have another one.
    pub fn attempts_left(&self, class: &RequestClass, tried: usize) -> bool {
        let most = if class.max_attempts > 0 { class.max_attempts } else { self.max_attempts };
        most == 0 || tried < most as usize
    }

    /// The longest time that a client waits, over all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// These in place of older ones. A class or plan that is the same in both keeps its number, and one that only
    /// the older have keeps it too, retired: numbers that are in use never come to mean something else.
    pub fn replacing(mut self, older: &Settings) -> Settings {
        let mut classes: Vec<_> =
            older.classes.iter().cloned().map(|c| RequestClass { retired: true, ..c }).collect();
        for class in std::mem::take(&mut self.classes) {
            let same = |c: &&mut RequestClass| **c == RequestClass { retired: true, ..class.clone() };
            match classes.iter_mut().find(same) {
                Some(old) => old.retired = false,
                None => classes.push(class),
            }
        }
        let mut plans: Vec<_> = older.plans.iter().cloned().map(|p| Plan { retired: true, ..p }).collect();
        for plan in std::mem::take(&mut self.plans) {
            match plans.iter_mut().find(|p| **p == Plan { retired: true, ..plan.clone() }) {
                Some(old) => old.retired = false,
                None => plans.push(plan),
            }
        }
        Settings { classes, plans, ..self }
    }

    /// The shortest latency objective of all classes, in nanoseconds; a second where there are none.
    pub fn shortest_latency_objective_nanos(&self) -> f64 {
        let current = self.classes.iter().filter(|c| !c.retired);
        current.map(|c| c.latency_objective).min().unwrap_or(Duration::from_secs(1)).as_nanos() as f64
    }

    /// The greatest priority weight of all classes.
    pub fn max_priority_weight(&self) -> f64 {
        self.classes.iter().filter(|c| !c.retired).map(|c| c.priority_weight).fold(0.0, f64::max)
    }

    /// The mean weight of the plans.
    pub fn mean_weight(&self) -> f64 {
        let current = || self.plans.iter().filter(|p| !p.retired);
        current().map(|p| p.weight).sum::<f64>() / current().count().max(1) as f64
    }
}
