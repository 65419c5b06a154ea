//! What a host and the scheduler say to each other: settings, events and actions.
//!
//! A point in time is the span since the zero of the host's clock, which never goes backwards. Figures called units are
//! the sizes of requests, in which reserves, limits and worth are counted.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number the host gives a request; never used twice.
pub type RequestId = u64;
/// The number of a storage node; stays the same when its process restarts.
pub type EndpointId = u32;
/// The number of a volume.
pub type VolumeId = u64;

/// What a repeat of a request may do.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum Idempotency {
    /// A repeat does no harm.
    #[default]
    Idempotent,
    /// Nodes of one group drop a repeat while they remember the first.
    Keyed,
    /// A repeat would take effect again.
    NotIdempotent,
}

/// Which nodes drop the repeats of a keyed request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default)]
pub enum DedupScope {
    /// Every node.
    #[default]
    All,
    /// The nodes of one zone.
    Zone,
    /// The nodes holding one shard.
    Shard,
}

/// One class of requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestClass {
    /// Its name.
    pub name: String,
    /// Full worth is earned by an answer within this time.
    pub latency_objective: Duration,
    /// The client's whole wait.
    pub deadline: Duration,
    /// The part of the worth that an answer after the aim still earns.
    pub late_weight: f64,
    /// What one request is worth.
    pub priority_weight: f64,
    /// What a repeat may do.
    pub idempotency: Idempotency,
    /// Who drops repeats of a keyed request.
    pub dedup_scope: DedupScope,
    /// How long repeats are dropped, from the first attempt that may have run.
    pub dedup_window: Duration,
    /// Requests with the same key run one at a time, in the order taken.
    pub ordered: bool,
    /// The most attempts of one of its requests; 0: the settings' `try_limit`.
    pub max_attempts: u32,
    /// Newer settings have it no more: only requests taken under it stay.
    pub retired: bool,
}

/// One plan; its figures hold for each of its volumes, over all hosts and nodes together.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Plan {
    /// Its name.
    pub name: String,
    /// Units a second such a volume is sized for.
    pub rate: f64,
    /// Units a second that earn their full worth.
    pub reserve: f64,
    /// Units a second at which the limit's store fills; 0: no limit.
    pub limit: f64,
    /// The most the limit's store holds.
    pub burst: f64,
    /// How far that store may go below 0.
    pub tolerance: f64,
    /// Its part of what nodes can do beyond the reserves.
    pub weight: f64,
    /// A factor on the worth of its requests.
    pub price: f64,
    /// Newer settings have it no more.
    pub retired: bool,
}

/// The figures of the rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct SharedRules {
    /// A host that may not have heard of changes for this long counts as told of them; 0: none.
    pub notified_within: Duration,
    /// A node just started can do at least this part of its usual work.
    pub slow_start_capacity: f64,
    /// A node is warm this long after its start.
    pub slow_start_duration: Duration,
    /// A cold node falls over when sent more than this many times what it can do, all hosts together,
    /// for `tip_after`; 0: not stated.
    pub overload_factor: f64,
    /// The span over which work sent to a cold node is counted.
    pub overload_window: Duration,
    /// How long a key rests after an attempt that may still run.
    pub ordering_pause: Duration,
    /// The span over which further attempts are counted; 0: no budget.
    pub retry_budget_window: Duration,
    /// Further attempts always allowed in that span; `None`: no budget.
    pub retry_budget_minimum: Option<f64>,
    /// Further attempts for each request taken in that span; `None`: no budget.
    pub retry_budget_ratio: Option<f64>,
}

/// All that a scheduler is told at its start.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Settings {
    /// How many hosts there are, this one included.
    pub initiators: u32,
    /// This host's number among them.
    pub rank: u32,
    /// This host's zone.
    pub zone: u16,
    /// The names of the zones, by number.
    pub zones: Vec<String>,
    /// The shortest time between batches.
    pub min_batch_interval: Duration,
    /// The list of nodes comes only when asked for.
    pub endpoint_list_polled: bool,
    /// The classes, by number.
    pub classes: Vec<RequestClass>,
    /// The plans, by number.
    pub plans: Vec<Plan>,
    /// The figures of the rules.
    pub rules: SharedRules,
    /// The most attempts a request may have; 0: no such limit.
    pub max_attempts: u32,
    /// One request may have two attempts out.
    pub hedging_allowed: bool,
    /// The host may send [`Action::Tell`].
    pub peer_messages_allowed: bool,
    /// The host may send [`Action::Probe`].
    pub health_checks_allowed: bool,
    /// The host may send [`Action::Cancel`].
    pub cancellation_allowed: bool,
    /// The longest wait that they keep; 0: not stated.
    pub max_retry_after: Duration,
    /// Units within `tip_after`, from all hosts together, that a cold node always bears.
    pub slow_start_units: f64,
    /// An idle connection to a node is closed by the node after this long.
    pub keep_alive_timeout: Duration,
    /// A connection not made by then is given up.
    pub connect_timeout: Duration,
    /// The most requests that may be open at this host: its clients have no connections for more; 0: not stated.
    pub max_open_requests: usize,
    /// The names of the figures in load reports, in their order.
    pub load_report_fields: Vec<String>,
    /// The period over which the meter adds up use; 0: no meter.
    pub meter_period: Duration,
    /// Mean units of a request.
    pub mean_request_units: f64,
    /// The most units of one request.
    pub max_request_units: f64,
    /// Part of the worth earned beyond the reserve, inside the share.
    pub within_share_weight: f64,
    /// Part of the worth earned beyond reserve and share.
    pub beyond_share_weight: f64,
}

impl SharedRules {
    /// Further attempts always allowed in `budget_span`, and for each request taken; `None`: no budget.
    pub fn retry_budget(&self) -> Option<(f64, f64)> {
        let stated = !self.retry_budget_window.is_zero()
            && self.retry_budget_minimum.or(self.retry_budget_ratio).is_some();
        stated.then_some((self.retry_budget_minimum.unwrap_or(0.0), self.retry_budget_ratio.unwrap_or(0.0)))
    }
}

impl Settings {
    /// A class by its number; the default one where there is none.
    pub fn class(&self, number: u16) -> RequestClass {
        self.classes.get(number as usize).cloned().unwrap_or_default()
    }

    /// A request of this class that was tried so often may be tried again.
    pub fn attempts_left(&self, class: &RequestClass, tried: usize) -> bool {
        let most = if class.max_attempts > 0 { class.max_attempts } else { self.max_attempts };
        most == 0 || tried < most as usize
    }

    /// The longest that a client waits.
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

    /// The shortest aim of all classes, in nanoseconds; a second where there are none.
    pub fn shortest_latency_objective_nanos(&self) -> f64 {
        let current = self.classes.iter().filter(|c| !c.retired);
        current.map(|c| c.latency_objective).min().unwrap_or(Duration::from_secs(1)).as_nanos() as f64
    }

    /// What a request of the class worth most is worth.
    pub fn max_priority_weight(&self) -> f64 {
        self.classes.iter().filter(|c| !c.retired).map(|c| c.priority_weight).fold(0.0, f64::max)
    }

    /// The mean weight of the plans.
    pub fn mean_weight(&self) -> f64 {
        let current = || self.plans.iter().filter(|p| !p.retired);
        current().map(|p| p.weight).sum::<f64>() / current().count().max(1) as f64
    }
}

/// A request that has come in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class, by number.
    pub class: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by number.
    pub plan: u16,
    /// Through how many hosts the volume's requests come.
    pub initiators: f64,
    /// The piece of data; 0: none.
    pub key: u64,
    /// The shard that holds the data; `None`: a new object, which any node can take.
    pub shard: Option<u16>,
    /// Its size.
    pub units: f64,
    /// How long until the client gives up.
    pub time_remaining: Duration,
    /// The client marked it as a repeat of its own.
    pub client_retry: bool,
}

/// What a node is ready for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Readiness {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes its work; nothing new may be sent.
    Draining,
    /// Removed.
    #[serde(rename = "Gone")]
    Removed,
}

/// One line of the list of nodes.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Which node.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: u16,
    /// The shard it holds.
    pub shard: u16,
    /// What it is ready for.
    pub readiness: Readiness,
    /// When it last started; 0: long ago.
    pub started_at: Duration,
    /// A number for that start that is the same at every host; 0: `born` is.
    pub start_id: u64,
}

/// What a report on the list of nodes holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the lines that changed.
    Delta,
    /// The whole list.
    Full,
    /// The whole list as this host last saw it, perhaps long ago.
    Cached,
    /// A call failed or the subscription broke; the old list stands.
    Failed,
}

/// A node's own figures, as it last measured them.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time without waiting, in milliseconds.
    pub service_ms: Option<f64>,
    /// Requests waiting.
    pub queued: Option<f64>,
    /// Part of its cores in use.
    pub utilization: Option<f64>,
    /// Requests in hand.
    pub in_flight: Option<f64>,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The node answered with an error; it may have run.
    Error,
    /// Turned away unseen; it did not run.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run or still run.
    ConnectionLost,
    /// Cancelled; it may have run or still run.
    Cancelled,
    /// Never sent; it did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Proof that nothing of the attempt ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Whose attempt.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u8,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long since it was sent.
    pub elapsed: Duration,
    /// The request is over, by this or before it.
    pub request_complete: bool,
    /// Units served for the volume everywhere in a finished period, in parts of the plan's rate.
    pub volume_usage: Option<f64>,
    /// Units this node's shard served the volume through other hosts since its last answer here.
    pub units_elsewhere: f64,
    /// The node's figures, where some came along.
    pub load_report: LoadReport,
}

/// What other hosts say, as far as it bears on what is sent; it replaces what they said before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerGossip {
    /// Nodes that fail elsewhere are held back until then.
    pub held_back_until: Vec<(EndpointId, Duration)>,
    /// Units that others sent a cold node within the window that the rules name.
    pub units_sent: Vec<(EndpointId, f64)>,
    /// Units a second that others are asked for, for a volume, and when that was seen.
    pub demand: Vec<(VolumeId, f64, Duration)>,
}

/// What happened, in order of arrival.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// News of the list of nodes.
    EndpointList {
        /// What it holds.
        kind: EndpointListKind,
        /// Its lines.
        lines: Vec<EndpointUpdate>,
    },
    /// A request came in.
    Request(Request),
    /// The answer to a streamed request has begun; its deadline no longer counts.
    ResponseStreaming(RequestId),
    /// The first bytes of the answer to its last attempt are there.
    ResponseStarted(RequestId),
    /// The body of a request goes out as its client sends it, or its last byte has gone.
    RequestBody {
        /// Whose.
        request: RequestId,
        /// It is on its way.
        moves: bool,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The settings from now on; numbers of classes and plans mean what they meant, and there may be more.
    Settings(Box<Settings>),
    /// This process has so much of every budget; another one of the same host has the rest.
    BudgetShare(f64),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer,
    /// What other hosts say.
    Gossip(PeerGossip),
    /// A probe came back.
    HealthChecked {
        /// Which node.
        node: EndpointId,
        /// It answered.
        ok: bool,
        /// Its figures.
        load: LoadReport,
    },
    /// Another host's message.
    PeerMessage {
        /// Which host.
        from: u16,
        /// What it said.
        bytes: Vec<u8>,
    },
}

/// What the host is asked to do, in order.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; it ends when the client gives up.
    Send {
        /// Whose.
        request: RequestId,
        /// Where.
        node: EndpointId,
        /// Time-out; 0: when the client gives up.
        timeout: Duration,
    },
    /// Final answer: turned away, a retry is harmless.
    Reject {
        /// Which request.
        request: RequestId,
        /// How long its client should stay away; 0: no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, nothing is promised of its effect.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Whose.
        request: RequestId,
        /// Which.
        number: u8,
    },
    /// Bring [`Event::Timer`] at or after this time.
    SetTimer(Duration),
    /// Probe a node.
    HealthCheck(EndpointId),
    /// Close idle connections to a node.
    CloseIdle(EndpointId),
    /// Send a message to another host, or to all.
    SendPeerMessage {
        /// To which; `None`: all.
        to: Option<u16>,
        /// What.
        bytes: Vec<u8>,
    },
    /// A line for the log.
    Log(String),
    /// Subscribe to changes of the list, or end that.
    WatchEndpointList(bool),
    /// Ask for the whole list once.
    FetchEndpointList,
}
