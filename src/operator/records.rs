//! The operator's file as typed records: what may stand in it, with its bounds. Their JSON Schema is what
//! `shaletack schema` prints and what a file is checked against before anything is read from it.

use crate::interface::{self, DedupScope, RequestClass, Settings, SharedRules};
use schemars::JsonSchema;
use serde::Deserialize;
use std::time::Duration;

/// The operator's file.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
#[schemars(title = "shaletack operator's file")]
pub struct File {
    /// Where NBD clients connect: a loopback address and a port.
    pub listen: String,
    /// How many bytes one unit stands for.
    #[schemars(range(min = 512, max = 1_048_576))]
    pub unit_bytes: u32,
    /// Reads of more bytes than this are large: they belong to the reading class with the longest aim, others to
    /// the one with the shortest.
    #[schemars(range(min = 1, max = 33_554_432))]
    pub large_from: u32,
    /// The name of the export that the boxes give.
    #[serde(default)]
    pub box_export: String,
    /// How many file descriptors the process may hold.
    #[serde(default = "sockets")]
    #[schemars(range(min = 16))]
    pub sockets: usize,
    /// The teams and what they have contracted.
    pub teams: Vec<Team>,
    /// What clients mount.
    #[schemars(length(min = 1))]
    pub exports: Vec<Export>,
    /// The disk boxes as they are at the start.
    #[serde(default)]
    pub boxes: Vec<DiskBox>,
    /// Where the list of boxes is followed, if anywhere.
    // Not the schema of an option: of a fault within, that would say only that neither form fits.
    #[serde(default)]
    #[schemars(with = "Etcd")]
    pub etcd: Option<Etcd>,
    /// The version of this configuration: whoever changes it raises it. Peers tell each other how many have it in
    /// force.
    #[serde(default)]
    #[schemars(with = "u64")]
    pub version: Option<u64>,
    /// The other initiators of the installation, where they talk to each other.
    #[serde(default)]
    #[schemars(with = "Peers")]
    pub peers: Option<Peers>,
    /// The buffer for writes, needed by exports that say so.
    #[serde(default)]
    #[schemars(with = "WriteBack")]
    pub write_back: Option<WriteBack>,
    /// The scheduler's settings, in the platform's form.
    pub settings: Scheduling,
}

fn sockets() -> usize {
    1024
}

fn one() -> f64 {
    1.0
}

/// A team.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Its name.
    #[schemars(length(min = 1))]
    pub name: String,
    /// The plans its volumes may stand on.
    pub contracts: Vec<Contract>,
}

/// One plan of a team; its figures hold for each volume on it.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Contract {
    /// The plan's name.
    #[schemars(length(min = 1))]
    pub plan: String,
    /// Units a second that earn their full worth.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub reserve: f64,
    /// Units a second at most; 0: no limit.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub limit: f64,
    /// The most that the limit's store holds, in units.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub burst: f64,
    /// Its part of what boxes can do beyond the reserves.
    #[serde(default = "one")]
    #[schemars(extend("exclusiveMinimum" = 0))]
    pub weight: f64,
}

/// What a client mounts.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Export {
    /// The name that clients ask for.
    pub name: String,
    /// The team that it belongs to.
    pub team: String,
    /// Which of the team's plans it stands on.
    pub plan: String,
    /// Its volume, in hex digits.
    #[schemars(regex(pattern = r"^[0-9a-fA-F]{1,16}$"))]
    pub volume: String,
    /// Through how many initiators its requests come.
    #[serde(default = "one")]
    #[schemars(range(min = 1))]
    pub hosts: f64,
    /// Its size in bytes.
    #[schemars(range(min = 1))]
    pub size: u64,
    /// Writes are buffered; see `write_back` of the file.
    #[serde(default)]
    pub write_back: bool,
    /// Where its data lies, in order and without gaps.
    pub extents: Vec<Extent>,
}

/// A part of an export on one shard.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Extent {
    /// How many bytes it holds.
    #[schemars(range(min = 1))]
    pub length: u64,
    /// The shard.
    pub shard: u16,
    /// Where it starts on the shard's box, in bytes.
    #[serde(default)]
    pub at: u64,
}

/// A disk box, in discovery's form.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct DiskBox {
    /// Its name, alike at every initiator.
    #[schemars(length(min = 1))]
    pub id: String,
    /// Its address and port; a removed one needs none.
    #[serde(default)]
    pub host_port: String,
    /// Its zone.
    #[serde(default)]
    pub locality: String,
    /// The shard it holds.
    #[serde(default)]
    pub cell: u16,
    /// What it is ready for.
    pub phase: Phase,
    /// When it last started, in Unix milliseconds; 0: long ago.
    #[serde(default)]
    pub up_since_ms: u64,
}

/// What a box is ready for.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Phase {
    /// Takes work.
    Up,
    /// Finishes its work.
    Draining,
    /// Is gone.
    Removed,
}

/// Where the list of boxes is kept in etcd.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Etcd {
    /// Its JSON gateway: a loopback address and a port.
    pub address: String,
    /// The keys below which each box has its entry.
    #[serde(default)]
    pub prefix: String,
}

/// The other initiators, told and asked what each knows of boxes.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct Peers {
    /// This initiator's name, no other's.
    #[schemars(length(min = 1, max = 64))]
    pub name: String,
    /// Where it hears its peers, by UDP and TCP alike: a loopback address and a port.
    pub listen: String,
    /// Peers that may be there; any one of them is enough to know all.
    #[schemars(length(max = 64))]
    pub join: Vec<String>,
    /// The region that this initiator stands in, where there is more than one.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub region: String,
    /// Its zone within the region: most news goes to peers of the same zone first.
    #[serde(default)]
    #[schemars(length(max = 64))]
    pub zone: String,
}

/// The buffer for writes.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields)]
pub struct WriteBack {
    /// Where its log lies: a folder of its own, on a disk that lasts.
    #[schemars(length(min = 1))]
    pub folder: String,
    /// The most that the log takes, in MiB; writes wait beyond.
    #[serde(default = "most_mib")]
    #[schemars(range(min = 64, max = 65_536))]
    pub most_mib: u64,
    /// The longest that an attempt may still run at a box after its connection closed, in milliseconds.
    #[schemars(range(min = 100, max = 3_600_000))]
    pub attempt_lives_ms: u64,
    /// What becomes of a write that is not at its box after that.
    #[serde(default)]
    pub unsettled: Unsettled,
    /// Units a second sent to boxes at most; 0: no bound.
    #[serde(default)]
    pub units: u64,
    /// A write that has waited so long is sent even while clients need its box, in milliseconds.
    #[serde(default = "age_ms")]
    #[schemars(range(min = 1))]
    pub age_ms: u64,
}

fn most_mib() -> u64 {
    256
}

fn age_ms() -> u64 {
    3000
}

/// What becomes of a write that is not at its box after its attempt can't run any more.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Unsettled {
    /// It waits for an operator.
    #[default]
    Ask,
    /// It is sent again: the operator vouches for `attempt_lives_ms`, and that nobody else writes there.
    Resend,
}

/// The scheduler's settings. Spans are in nanoseconds.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Scheduling {
    /// How many initiators there are.
    #[schemars(range(min = 1, max = 65_536))]
    pub balancers: u32,
    /// This one's number among them.
    #[serde(default)]
    pub rank: u32,
    /// This one's zone, by its number.
    #[serde(default)]
    pub my_zone: u16,
    /// The zones' names.
    #[serde(default)]
    pub zones: Vec<String>,
    /// The shortest time between batches.
    #[serde(default)]
    pub step: u64,
    /// How the list of boxes comes.
    #[serde(default)]
    pub membership_mode: Membership,
    /// The classes of requests: one that writes and one or more that read, see `domain.changes-data`.
    pub lanes: Vec<Lane>,
    /// None here: contracts stand under `teams`.
    #[serde(default)]
    #[schemars(length(max = 0))]
    pub plans: Vec<()>,
    /// Bounds.
    #[serde(default)]
    pub limits: Limits,
    /// Figures of the field.
    #[serde(default)]
    pub domain: Domain,
    /// Figures of the rules.
    #[serde(default)]
    pub invariants: Invariants,
}

/// How the list of boxes comes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Membership {
    /// By itself.
    #[default]
    Pushed,
    /// When it is asked for.
    OnRequest,
}

/// One class of requests.
#[derive(Debug, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case")]
pub struct Lane {
    /// Its name.
    pub name: String,
    /// Full worth is earned by an answer within this time.
    pub aim: u64,
    /// A client's whole wait.
    #[schemars(range(min = 1))]
    pub deadline: u64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Who drops repeats.
    #[serde(default)]
    pub group: Dropping,
    /// The part of the worth that a late answer earns.
    #[serde(default)]
    #[schemars(range(min = 0, max = 1))]
    pub late_worth: f64,
    /// How long repeats are dropped.
    #[serde(default)]
    pub memory_span: u64,
    /// What one request is worth.
    #[serde(default)]
    #[schemars(range(min = 0))]
    pub value: f64,
    /// Requests of one key run one at a time.
    #[serde(default)]
    pub keep_order: bool,
}

/// What a repeat may do.
#[derive(Clone, Copy, Debug, Deserialize, JsonSchema)]
#[serde(rename_all = "snake_case")]
pub enum Idempotency {
    /// No harm.
    Idempotent,
    /// Boxes of the group drop it.
    Deduplicated,
    /// It would take effect again.
    AtMostOnce,
}

/// Which boxes drop repeats.
#[derive(Clone, Copy, Debug, Default, Deserialize, JsonSchema)]
#[serde(rename_all = "lowercase")]
pub enum Dropping {
    /// Every box.
    All,
    /// Those of one zone.
    Zone,
    /// Those of one shard; the platform's word for one is `cell`.
    #[default]
    Shard,
    /// The same.
    Cell,
}

/// Bounds.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Limits {
    /// Attempts may be called off.
    pub cancelling: bool,
    /// A connection not made by then is given up; 0: 250 ms.
    pub connect_timeout: u64,
    /// Idle box connections end after this; 0: 5 s.
    pub keepalive: u64,
    /// The longest wait that a refusal names; 0: none stated.
    pub max_retry_after: u64,
    /// The most attempts of a request; 0: no such limit.
    pub try_limit: u32,
    /// A request may have two attempts out; no front asks for it.
    pub second_copies: bool,
    /// The most requests open at a time; 0: not stated.
    pub open_requests: usize,
}

/// Figures of the field.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Domain {
    /// Units within `tip-after`, from all initiators together, that a cold box bears.
    #[schemars(range(min = 0))]
    pub cold_bears: f64,
    /// Mean units of a request.
    #[schemars(range(min = 0))]
    pub unit_mean: f64,
    /// The most units of a request.
    #[schemars(range(min = 0))]
    pub units_top: f64,
    /// Part of the worth beyond the reserve, inside the share.
    #[schemars(range(min = 0, max = 1))]
    pub share_worth: f64,
    /// Part of the worth beyond both.
    #[schemars(range(min = 0, max = 1))]
    pub beyond_share: f64,
    /// The period over which the meter adds up use; 0: no meter.
    pub meter_period: u64,
    /// For each class: it writes. Where it is left out, those write that are not `idempotent`.
    pub changes_data: Vec<bool>,
}

/// Figures of the rules.
#[derive(Debug, Default, Deserialize, JsonSchema)]
#[serde(deny_unknown_fields, rename_all = "kebab-case", default)]
pub struct Invariants {
    /// The part of its usual work that a box just started can do.
    #[schemars(range(min = 0, max = 1))]
    pub start_capacity: f64,
    /// A box is warm this long after its start.
    pub warm_up: u64,
    /// A cold box falls over when sent more than so many times what it can do.
    #[schemars(range(min = 0))]
    pub overload_factor: f64,
    /// The span over which work sent to a cold box is counted.
    pub tip_after: u64,
    /// Work stops within this of a drain that was told. It stops at once, whatever stands here.
    pub stop_sending_within: u64,
}

impl From<Scheduling> for Settings {
    fn from(set: Scheduling) -> Settings {
        let span = Duration::from_nanos;
        let Scheduling { limits, domain, invariants, .. } = set;
        let class = |lane: Lane| RequestClass {
            name: lane.name,
            latency_objective: span(lane.aim),
            deadline: span(lane.deadline),
            late_weight: lane.late_worth,
            priority_weight: lane.value,
            idempotency: match lane.idempotency {
                Idempotency::Idempotent => interface::Idempotency::Idempotent,
                Idempotency::Deduplicated => interface::Idempotency::Keyed,
                Idempotency::AtMostOnce => interface::Idempotency::NotIdempotent,
            },
            dedup_scope: match lane.group {
                Dropping::All => DedupScope::All,
                Dropping::Zone => DedupScope::Zone,
                Dropping::Shard | Dropping::Cell => DedupScope::Shard,
            },
            dedup_window: span(lane.memory_span),
            ordered: lane.keep_order,
            max_attempts: limits.try_limit,
            retired: false,
        };
        Settings {
            initiators: set.balancers,
            rank: set.rank,
            zone: set.my_zone,
            zones: set.zones,
            min_batch_interval: span(set.step),
            endpoint_list_polled: set.membership_mode == Membership::OnRequest,
            classes: set.lanes.into_iter().map(class).collect(),
            rules: SharedRules {
                slow_start_capacity: invariants.start_capacity,
                slow_start_duration: span(invariants.warm_up),
                overload_factor: invariants.overload_factor,
                overload_window: span(invariants.tip_after),
                ..SharedRules::default()
            },
            max_attempts: limits.try_limit,
            hedging_allowed: limits.second_copies,
            cancellation_allowed: limits.cancelling,
            max_retry_after: span(limits.max_retry_after),
            slow_start_units: domain.cold_bears,
            keep_alive_timeout: span(limits.keepalive),
            connect_timeout: span(limits.connect_timeout),
            max_open_requests: limits.open_requests,
            meter_period: span(domain.meter_period),
            mean_request_units: domain.unit_mean,
            max_request_units: domain.units_top,
            within_share_weight: domain.share_worth,
            beyond_share_weight: domain.beyond_share,
            ..Settings::default()
        }
    }
}
