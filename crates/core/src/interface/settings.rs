//! Settings: request classes, plans, the rules shared by all initiators, and the features that a site allows.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether a request may be repeated.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A repeat does no harm.
    #[default]
    Idempotent,
    /// The endpoints of the class's [`DedupScope`] drop a repeat within the deduplication window.
    Keyed,
    /// A repeat would take effect again.
    NotIdempotent,
}

/// The endpoints that drop repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// All endpoints.
    #[default]
    All,
    /// The endpoints of the zone of the first attempt.
    Zone,
    /// The endpoints of the shard of the first attempt.
    Shard,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// The class's name.
    pub name: String,
    /// The time within which an answer earns the full priority weight.
    pub latency_objective: Duration,
    /// How long a client waits in total, over all of its attempts.
    pub deadline: Duration,
    /// The fraction of the priority weight that an answer after the latency objective still earns, from 0 to
    /// 1.
    pub late_weight: f64,
    /// The value of one answered request, relative to other classes.
    pub priority_weight: f64,
    /// Whether a request may be repeated.
    pub idempotency: Idempotency,
    /// The endpoints that drop repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, counted from the send of the first attempt that may have run.
    pub dedup_window: Duration,
    /// Whether requests with the same key run one at a time, in the order of their arrival.
    pub ordered: bool,
    /// The maximum number of attempts for one request; 0: [`Settings::max_attempts`] applies.
    pub max_attempts: u32,
    /// Whether newer settings dropped the class: only requests that arrived before keep it.
    pub retired: bool,
}

/// One plan. Its figures apply to each of its volumes, over all initiators and endpoints together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// The plan's name.
    pub name: String,
    /// The rate that a volume of the plan is sized for, in units per second.
    pub rate: f64,
    /// The rate that earns its full weight, in units per second.
    pub reserve: f64,
    /// The fill rate of the limit's token bucket, in units per second; 0: no limit.
    pub limit: f64,
    /// The capacity of the limit's token bucket, in units.
    pub burst: f64,
    /// How many units the limit's token bucket may be overdrawn.
    pub tolerance: f64,
    /// The plan's share of the capacity beyond the reserves, relative to the weights of other plans.
    pub weight: f64,
    /// A factor on the value of the plan's requests.
    pub price: f64,
    /// Whether newer settings dropped the plan.
    pub retired: bool,
}

/// The rules that all initiators follow without coordination.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedRules {
    /// The time after which an initiator counts as notified of changes that it may not have received; 0: no
    /// such time.
    pub notified_within: Duration,
    /// The fraction of its usual work that an endpoint can do just after its start, at least.
    pub slow_start_capacity: f64,
    /// The time after its start from which an endpoint can do all of its usual work.
    pub slow_start_duration: Duration,
    /// An endpoint in slow start fails when all initiators together send it more than this many times the
    /// work that it can do, over `overload_window`; 0: not stated.
    pub overload_factor: f64,
    /// The window over which work sent to an endpoint in slow start is counted.
    pub overload_window: Duration,
    /// How long the requests of a key wait after an attempt that may still run.
    pub ordering_pause: Duration,
    /// The window over which retries are counted; 0: no retry budget.
    pub retry_budget_window: Duration,
    /// The number of retries always allowed in the window; `None`: none if a ratio is given, else no retry
    /// budget.
    pub retry_budget_minimum: Option<f64>,
    /// The number of retries for each request that arrived in the window; `None`: none if a minimum is given,
    /// else no retry budget.
    pub retry_budget_ratio: Option<f64>,
}

/// How many attempts beyond the first of each request are allowed within `retry_budget_window`.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct RetryBudgetRules {
    /// Always allowed.
    pub minimum: f64,
    /// Allowed in addition for each request that arrived in the window.
    pub ratio: f64,
}

impl SharedRules {
    /// Returns the retry budget; `None`: retries are not limited by a budget.
    pub fn retry_budget(&self) -> Option<RetryBudgetRules> {
        let is_stated = self.retry_budget_minimum.or(self.retry_budget_ratio).is_some();
        if self.retry_budget_window.is_zero() || !is_stated {
            return None;
        }
        let minimum = self.retry_budget_minimum.unwrap_or(0.0);
        Some(RetryBudgetRules { minimum, ratio: self.retry_budget_ratio.unwrap_or(0.0) })
    }
}

/// The settings of a scheduler.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// The number of initiators, this one included.
    pub initiators: u32,
    /// This initiator's number among all initiators, from 0.
    pub rank: u32,
    /// This initiator's zone.
    pub zone: u16,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The minimum interval between batches of events.
    pub min_batch_interval: Duration,
    /// Whether the endpoint list is sent only on request.
    pub endpoint_list_polled: bool,
    /// The classes, by number.
    pub classes: Vec<RequestClass>,
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// The rules shared by all initiators.
    pub rules: SharedRules,
    /// The maximum number of attempts for one request; 0: no such limit.
    pub max_attempts: u32,
    /// Whether a request may have two attempts in flight.
    pub hedging_allowed: bool,
    /// Whether [`Action::SendPeerMessage`](super::Action::SendPeerMessage) is allowed.
    pub peer_messages_allowed: bool,
    /// Whether [`Action::HealthCheck`](super::Action::HealthCheck) is allowed.
    pub health_checks_allowed: bool,
    /// Whether [`Action::Cancel`](super::Action::Cancel) is allowed.
    pub cancellation_allowed: bool,
    /// The longest retry-after time that a rejected client follows; 0: not stated.
    pub max_retry_after: Duration,
    /// Units that an endpoint of any age can take within the overload window, from all initiators together.
    pub slow_start_units: f64,
    /// The time after which an endpoint closes an idle connection.
    pub keep_alive_timeout: Duration,
    /// The time after which a connection that is not established is abandoned; 0: not stated.
    pub connect_timeout: Duration,
    /// The maximum number of open requests at this initiator, since clients have no connections for more; 0:
    /// not stated.
    pub max_open_requests: usize,
    /// The maximum number of volumes whose state is held at a time; 0: unlimited. A request of a further volume is
    /// rejected unless the state of another one can be dropped.
    pub max_volumes: usize,
    /// The names of the figures in load reports, in their order.
    pub load_report_fields: Vec<String>,
    /// The period over which the meter sums up usage; 0: no meter.
    pub meter_period: Duration,
    /// The mean size of a request, in units.
    pub mean_request_units: f64,
    /// The size of the largest request, in units.
    pub max_request_units: f64,
    /// The fraction of its weight that work beyond the reserve, but within the volume's share, earns, from 0
    /// to 1.
    pub within_share_weight: f64,
    /// The fraction of its weight that work beyond both reserve and share earns, from 0 to 1.
    pub beyond_share_weight: f64,
}

impl Settings {
    /// Returns the class of that number; the default class if there is none.
    pub fn class(&self, number: u16) -> RequestClass {
        self.classes.get(number as usize).cloned().unwrap_or_default()
    }

    /// Returns whether a request of `class` that had `attempts` attempts may have another one.
    pub fn attempts_left(&self, class: &RequestClass, attempts: usize) -> bool {
        let max_attempts = if class.max_attempts > 0 { class.max_attempts } else { self.max_attempts };
        max_attempts == 0 || attempts < max_attempts as usize
    }

    /// Returns the longest time that a client waits, over all classes.
    pub fn longest_deadline(&self) -> Duration {
        self.classes.iter().map(|c| c.deadline).max().unwrap_or_default()
    }

    /// Returns these settings as the successors of `older` ones.
    ///
    /// A class or plan that is the same in both keeps its number. One that only the older settings have keeps
    /// its number too and is retired, so that a number in use never changes its meaning.
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

    /// Returns the shortest latency objective of the current classes in nanoseconds; one second if there is
    /// no class.
    pub fn shortest_latency_objective_nanos(&self) -> f64 {
        let current = self.classes.iter().filter(|c| !c.retired);
        current.map(|c| c.latency_objective).min().unwrap_or(Duration::from_secs(1)).as_nanos() as f64
    }

    /// Returns the greatest priority weight of the current classes.
    pub fn max_priority_weight(&self) -> f64 {
        self.classes.iter().filter(|c| !c.retired).map(|c| c.priority_weight).fold(0.0, f64::max)
    }

    /// Returns the mean weight of the current plans.
    pub fn mean_weight(&self) -> f64 {
        let current = || self.plans.iter().filter(|p| !p.retired);
        current().map(|p| p.weight).sum::<f64>() / current().count().max(1) as f64
    }
}
