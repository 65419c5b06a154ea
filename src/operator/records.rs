//! The schema of the operator's file: one type for each JSON object, with the bounds of its values.
//!
//! `shaletack schema` prints the JSON Schema of these types, and a file is checked against it before it is
//! deserialized. The doc comments are the schema's descriptions. Fields have the names of the keys in the
//! file; the terms of the code are those of [`OperatorConfig`](super::OperatorConfig) and [`Settings`]. A
//! type whose name differs from its name in the schema has a `rename` attribute.

use crate::interface::{self, DedupScope, RequestClass, Settings, SharedRules};
use schemars::JsonSchema;
use serde::Deserialize;
use std::time::Duration;

/// The operator's file.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "shaletack operator's file")]
pub struct OperatorFile {
    /// The address that NBD clients connect to: a loopback address and a port.
    pub listen: String,
    /// The size of one unit, in bytes.
    #[schemars(range(min = 512, max = 1_048_576))]
    pub unit_bytes: u32,
    /// Reads of more than this many bytes are large. Large reads belong to the read class with the longest
    /// latency objective (`aim`), other reads to the one with the shortest.
    #[schemars(range(min = 1, max = 33_554_432))]
    pub large_from: u32,
    /// The name of the NBD export that the endpoints serve.
    #[serde(default)]
    pub box_export: String,
    /// The most file descriptors that the process may hold.
    #[serde(default = "default_sockets")]
    #[schemars(range(min = 16))]
    pub sockets: usize,
    /// The teams and their contracts.
    pub teams: Vec<Team>,
    /// The exports that NBD clients mount.
    #[schemars(length(min = 1))]
    pub exports: Vec<Export>,
    /// The endpoints that are known at startup.
    #[serde(default)]
    pub boxes: Vec<Endpoint>,
    /// Where the endpoint list is watched in etcd. Without it, the endpoint list is `boxes`.
    // The schema of an `Option` would report an error inside the object only as a match of neither
    // alternative, object or null.
    #[serde(default)]
    #[schemars(with = "Etcd")]
    pub etcd: Option<Etcd>,
    /// The version of this configuration, to be raised with each change. Peers tell each other how many of
    /// them have it in force.
    #[serde(default)]
    #[schemars(with = "u64")]
    pub version: Option<u64>,
    /// Gossip with the other initiators of the installation; off if missing.
    #[serde(default)]
    #[schemars(with = "Peers")]
    pub peers: Option<Peers>,
    /// The write-back cache, required by exports with `write_back`.
    #[serde(default)]
    #[schemars(with = "WriteBack")]
    pub write_back: Option<WriteBack>,
    /// The scheduler's settings, with the keys of the platform's configuration.
    pub settings: SchedulerSettings,
}

fn default_sockets() -> usize {
    1024
}

fn one() -> f64 {
    1.0
}

/// A team that has contracted plans for its volumes.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// The name of the team.
    #[schemars(length(min = 1))]
    pub name: String,
    /// The plans that volumes of the team may have.
    pub contracts: Vec<Contract>,
}

/// One plan of a team. Its values apply to each volume that has the plan, over all initiators and endpoints
/// together.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The name of the plan.
    #[schemars(length(min = 1))]
    pub plan: String,
    /// The reserve, in units per second: work within it earns its full priority weight.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub reserve: f64,
    /// The limit, in units per second; 0: no limit.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub limit: f64,
    /// The burst: the capacity of the limit's token bucket, in units.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub burst: f64,
    /// The share of the endpoints' capacity beyond the reserves, relative to the weights of the other plans.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub weight: f64,
}

/// One volume as an NBD export.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// The export name that clients request.
    pub name: String,
    /// The name of the team that owns the volume.
    pub team: String,
    /// The plan of the volume, one of the team's contracts.
    pub plan: String,
    /// The volume id, in hexadecimal digits.
    #[schemars(regex(pattern = r"^[0-9a-fA-F]{1,16}$"))]
    pub volume: String,
    /// The number of initiators that send requests of this volume.
    #[serde(default = "one")]
    #[schemars(range(min = 1))]
    pub hosts: f64,
    /// The size, in bytes.
    #[schemars(range(min = 1))]
    pub size: u64,
    /// Whether writes go to the write-back cache, see `write_back` of the file.
    #[serde(default)]
    pub write_back: bool,
    /// The extents that hold the data, in order and without gaps.
    pub extents: Vec<Extent>,
}

/// A part of an export that one shard holds.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Extent {
    /// The length, in bytes.
    #[schemars(range(min = 1))]
    pub length: u64,
    /// The shard that holds the extent.
    pub shard: u16,
    /// The offset at the shard's endpoint, in bytes.
    #[serde(default)]
    pub at: u64,
}

/// An endpoint, with the keys that discovery uses.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(rename = "DiskBox")]
pub struct Endpoint {
    /// The name, the same at every initiator.
    #[schemars(length(min = 1))]
    pub id: String,
    /// The IP address and the port; a removed endpoint needs none.
    #[serde(default)]
    pub host_port: String,
    /// The name of the zone.
    #[serde(default)]
    pub locality: String,
    /// The shard that the endpoint holds.
    #[serde(default)]
    pub cell: u16,
    /// Whether the endpoint takes requests.
    pub phase: Phase,
    /// The time of the last start, in milliseconds since the Unix epoch; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// The endpoint takes requests.
    Up,
    /// The endpoint finishes the requests that it has.
    Draining,
    /// The endpoint no longer exists.
    Removed,
}

/// Where etcd holds the endpoint list.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Etcd {
    /// The JSON gateway of etcd: a loopback address and a port.
    pub address: String,
    /// The key prefix below which each endpoint has its entry.
    #[serde(default)]
    pub prefix: String,
}

/// Gossip with the other initiators, which exchange what each observes of the endpoints.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// The name of this initiator, unique among the initiators.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// The address at which peers reach this initiator, by both UDP and TCP: a loopback address and a port.
    pub listen: String,
    /// The addresses of peers that may be running. One running peer is enough to find all others.
    #[schemars(length(max = 64))]
    pub join: Vec<String>,
    /// The region of this initiator, if there is more than one.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub region: String,
    /// The zone within the region: most gossip goes to peers in the same zone first.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub zone: String,
}

/// The write-back cache, which buffers writes in a log.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WriteBack {
    /// The directory of the log, on a persistent disk and used for nothing else.
    #[schemars(length(min = 1))]
    pub folder: String,
    /// The maximum size of the log, in MiB; writes wait while the log is full.
    #[serde(default = "default_most_mib")]
    #[schemars(range(min = 64, max = 65_536))]
    pub most_mib: u64,
    /// The longest time that an attempt may still run at an endpoint after its connection closed, in
    /// milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub attempt_lives_ms: u64,
    /// What happens to a write that is not at its endpoint after that time.
    #[serde(default)]
    pub unsettled: UnsettledPolicy,
    /// The most units per second that are sent to endpoints; 0: no limit.
    #[serde(default)]
    pub units: u64,
    /// The age from which a write is sent even while clients need its endpoint, in milliseconds.
    #[serde(default = "default_age_ms")]
    #[schemars(range(min = 1))]
    pub age_ms: u64,
}

fn default_most_mib() -> u64 {
    256
}

fn default_age_ms() -> u64 {
    3000
}

/// What happens to a write that is not at its endpoint when its attempt can't run any more.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Unsettled")]
pub enum UnsettledPolicy {
    /// The write waits for an operator's decision.
    #[default]
    Ask,
    /// The write is sent again. The operator guarantees that no attempt outlives `attempt_lives_ms`, and that
    /// nobody else writes to the same place.
    Resend,
}

/// The scheduler's settings. Durations are in nanoseconds.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Scheduling")]
pub struct SchedulerSettings {
    /// The number of initiators, this one included.
    #[schemars(range(min = 1, max = 65_536))]
    pub balancers: u32,
    /// The rank of this initiator among them, from 0.
    #[serde(default)]
    pub rank: u32,
    /// The zone of this initiator, by number.
    #[serde(default)]
    pub my_zone: u16,
    /// The names of the zones, in the order of their numbers.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The shortest time between batches of events.
    #[serde(default)]
    pub step: u64,
    /// How the endpoint list is delivered.
    #[serde(default)]
    pub membership_mode: MembershipMode,
    /// The request classes: one that writes data and one or more that read, see `domain.changes-data`.
    pub lanes: Vec<ClassSettings>,
    /// Must be empty: the plans are the contracts under `teams`.
    #[serde(default)]
    #[schemars(length(max = 0))]
    pub plans: Vec<()>,
    /// Limits on attempts, connections and open requests.
    #[serde(default)]
    pub limits: Limits,
    /// The sizes, weights and metering of work.
    #[serde(default)]
    pub domain: Domain,
    /// The rules that all initiators keep with endpoints that start or drain.
    #[serde(default)]
    pub invariants: Invariants,
}

/// How the endpoint list is delivered.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
#[schemars(rename = "Membership")]
pub enum MembershipMode {
    /// Changes are sent without a request.
    #[default]
    Pushed,
    /// The list is sent on request only.
    OnRequest,
}

/// One request class.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
#[schemars(rename = "Lane")]
pub struct ClassSettings {
    /// The name of the class.
    pub name: String,
    /// The latency objective: an answer within this time earns the full priority weight.
    pub aim: u64,
    /// The deadline: the time that a client waits in all.
    #[schemars(range(min = 1))]
    pub deadline: u64,
    /// The effect of a repeated request.
    pub idempotency: Idempotency,
    /// Which endpoints drop repeated requests.
    #[serde(default)]
    pub group: DedupGroup,
    /// The fraction of the priority weight that an answer after the latency objective earns.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub late_worth: f64,
    /// How long endpoints drop repeated requests.
    #[serde(default)]
    pub memory_span: u64,
    /// The priority weight of one request.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub value: f64,
    /// Whether requests with the same key run one at a time.
    #[serde(default)]
    pub keep_order: bool,
}

/// The effect of a repeated request.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// A repeat does no harm.
    Idempotent,
    /// The endpoints of the group drop a repeat.
    Deduplicated,
    /// A repeat would take effect again.
    AtMostOnce,
}

/// Which endpoints drop repeated requests.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
#[schemars(rename = "Dropping")]
pub enum DedupGroup {
    /// All endpoints.
    All,
    /// The endpoints of one zone.
    Zone,
    /// The endpoints of one shard, which the platform calls a cell.
    #[default]
    Shard,
    /// The same as `shard`.
    Cell,
}

/// Limits on attempts, connections and open requests.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Whether attempts may be cancelled.
    pub cancelling: bool,
    /// The time after which connecting to an endpoint is given up; 0: 250 ms.
    pub connect_timeout: u64,
    /// The time after which an endpoint closes an idle connection; 0: 5 s.
    pub keepalive: u64,
    /// The longest delay that a rejected request is told to wait before a retry; 0: no maximum.
    pub max_retry_after: u64,
    /// The maximum number of attempts of one request; 0: no maximum.
    pub try_limit: u32,
    /// Whether a request may have two attempts in flight (a hedged request); no front asks for one.
    pub second_copies: bool,
    /// The maximum number of open requests; 0: not stated.
    pub open_requests: usize,
}

/// The sizes, weights and metering of work.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Domain {
    /// The units within `tip-after`, from all initiators together, that an endpoint in slow start takes.
    #[schemars(range(min = 0))]
    pub cold_bears: f64,
    /// The mean size of a request, in units.
    #[schemars(range(min = 0))]
    pub unit_mean: f64,
    /// The size of the largest request, in units.
    #[schemars(range(min = 0))]
    pub units_top: f64,
    /// The fraction of the priority weight that work beyond the reserve and within the volume's share earns.
    #[schemars(range(min = 0, max = 1))]
    pub share_worth: f64,
    /// The fraction of the priority weight that work beyond both the reserve and the share earns.
    #[schemars(range(min = 0, max = 1))]
    pub beyond_share: f64,
    /// The period over which the meter sums up usage; 0: no meter.
    pub meter_period: u64,
    /// For each class in `lanes`, whether it writes data. If missing, classes that are not `idempotent`
    /// write.
    pub changes_data: Vec<bool>,
}

/// The rules that all initiators keep with endpoints that start or drain.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Invariants {
    /// The fraction of its usual work that an endpoint can do just after its start.
    #[schemars(range(min = 0, max = 1))]
    pub start_capacity: f64,
    /// The duration of slow start: an endpoint can do all of its usual work this long after its start.
    pub warm_up: u64,
    /// An endpoint in slow start fails when it is sent more than this many times what it can do.
    #[schemars(range(min = 0))]
    pub overload_factor: f64,
    /// The window over which work sent to an endpoint in slow start is counted.
    pub tip_after: u64,
    /// The time after the announcement of a drain within which requests to the endpoint stop. The value has
    /// no effect: requests stop at once.
    pub stop_sending_within: u64,
}

impl From<SchedulerSettings> for Settings {
    fn from(settings: SchedulerSettings) -> Settings {
        let nanos = Duration::from_nanos;
        let SchedulerSettings { limits, domain, invariants, .. } = settings;
        let class = |lane: ClassSettings| RequestClass {
            name: lane.name,
            latency_objective: nanos(lane.aim),
            deadline: nanos(lane.deadline),
            late_weight: lane.late_worth,
            priority_weight: lane.value,
            idempotency: match lane.idempotency {
                Idempotency::Idempotent => interface::Idempotency::Idempotent,
                Idempotency::Deduplicated => interface::Idempotency::Keyed,
                Idempotency::AtMostOnce => interface::Idempotency::NotIdempotent,
            },
            dedup_scope: match lane.group {
                DedupGroup::All => DedupScope::All,
                DedupGroup::Zone => DedupScope::Zone,
                DedupGroup::Shard | DedupGroup::Cell => DedupScope::Shard,
            },
            dedup_window: nanos(lane.memory_span),
            ordered: lane.keep_order,
            max_attempts: limits.try_limit,
            retired: false,
        };
        Settings {
            initiators: settings.balancers,
            rank: settings.rank,
            zone: settings.my_zone,
            zones: settings.zones,
            min_batch_interval: nanos(settings.step),
            endpoint_list_polled: settings.membership_mode == MembershipMode::OnRequest,
            classes: settings.lanes.into_iter().map(class).collect(),
            rules: SharedRules {
                slow_start_capacity: invariants.start_capacity,
                slow_start_duration: nanos(invariants.warm_up),
                overload_factor: invariants.overload_factor,
                overload_window: nanos(invariants.tip_after),
                ..SharedRules::default()
            },
            max_attempts: limits.try_limit,
            hedging_allowed: limits.second_copies,
            cancellation_allowed: limits.cancelling,
            max_retry_after: nanos(limits.max_retry_after),
            slow_start_units: domain.cold_bears,
            keep_alive_timeout: nanos(limits.keepalive),
            connect_timeout: nanos(limits.connect_timeout),
            max_open_requests: limits.open_requests,
            max_volumes: 0,
            meter_period: nanos(domain.meter_period),
            mean_request_units: domain.unit_mean,
            max_request_units: domain.units_top,
            within_share_weight: domain.share_worth,
            beyond_share_weight: domain.beyond_share,
            ..Settings::default()
        }
    }
}
