//! One hollow initiator: the program's reducers, its clock and its counters.

use super::event::Event;
use super::{Fleet, Size};
use crate::fleet::{settings, FleetConfig, UNIX_START};
use crate::model::EndpointFigures;
use crate::scale::net::{initiator_address, Placement, Traffic};
use rand::RngExt;
use shaletack_core::broker::{Broker, Clock};
use shaletack_core::interface::{Plan, Settings};
use shaletack_gossip::aggregation::{Total, ANSWER_BYTES_PER_SECOND, OWNER_BYTES_PER_SECOND};
use shaletack_gossip::limits::{GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND};
use shaletack_gossip::{Gossip, Locality};
use shaletack_membership::{self as membership, Membership};
use shaletack_observations::Observer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// Maximum drift of a process's clock, as a fraction.
const MAX_CLOCK_DRIFT: f64 = 0.001;
/// Volumes that the clients of a busy initiator use.
const VOLUMES_PER_INITIATOR: usize = 100;
/// The two initiators that every process is configured to join.
pub const JOIN_TARGETS: [usize; 2] = [0, 1];

/// A reducer of a process. Each has its own timer, and its processor time is measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reducer {
    Membership,
    Broker,
    Gossip,
}

/// State of one hollow initiator.
pub struct Hollow {
    /// Its region and zone.
    pub placement: Placement,
    /// Whether its process runs or is stopped, as opposed to killed.
    pub alive: bool,
    /// Whether its process is stopped.
    pub paused: bool,
    /// Whether it leaves exchanges unanswered and sends no gossip datagrams.
    pub unresponsive: bool,
    /// All its traffic.
    pub traffic: Traffic,
    /// Processor time spent in membership, in the broker's handling of control traffic, and in gossip or the
    /// frames of exchanges.
    pub cpu_time: [Duration; 3],
    /// Endpoints that its broker avoids on the advice of peers.
    pub avoided_endpoints: BTreeSet<usize>,
    /// The membership reducer.
    pub membership: Membership,
    /// The gossip reducer.
    pub gossip: Gossip,
    /// Gossip datagrams sent with observations and digests.
    pub observation_traffic: Traffic,
    /// Gossip datagrams sent with sums.
    pub aggregation_traffic: Traffic,
    /// Its latest contribution to the sums, by volume.
    pub own_demand: BTreeMap<u64, u64>,
    /// The latest sums over the other initiators, by volume.
    pub peer_demand: BTreeMap<u64, Total>,
    /// Identifies the current run of the process.
    pub(super) generation: u64,
    /// The fleet's time at which the process started.
    pub(super) started_at: Duration,
    /// Drift of the process's clock, as a fraction.
    pub(super) clock_drift: f64,
    /// Name and incarnation.
    pub(super) identity: Observer,
    /// The broker.
    pub(super) broker: Broker,
    /// The id and the time of each reducer's timer.
    pub(super) timers: [(u64, Duration); 3],
    /// The member with which it last exchanged reports.
    pub(super) last_exchanged: Option<SocketAddr>,
    /// Events that arrived while the process was stopped.
    pub(super) deferred_events: Vec<Event>,
    /// Space that deferred datagrams take in the receive buffer.
    pub(super) deferred_bytes: usize,
    /// Volumes that its clients use.
    pub(super) volumes_used: Vec<u64>,
}

impl Hollow {
    /// Converts the fleet's time to the process's: the time since its start, by its drifting clock.
    pub(super) fn local_time(&self, now: Duration) -> Duration {
        now.saturating_sub(self.started_at).mul_f64(1.0 + self.clock_drift)
    }

    /// Converts the process's time to the fleet's, rounded up: a timer that fired early would only be set
    /// again.
    pub(super) fn fleet_time(&self, local: Duration) -> Duration {
        self.started_at + local.div_f64(1.0 + self.clock_drift) + Duration::from_micros(1)
    }
}

impl Fleet {
    /// Creates a process with the name of the initiator `name_of`, which knows the first endpoint list and
    /// two peer addresses.
    pub(super) fn new_hollow(&mut self, initiator: usize, name_of: usize, generation: u64) -> Hollow {
        let incarnation = self.rng.random();
        let identity = Observer { name: format!("init-{name_of:04}"), incarnation };
        let epoch = (UNIX_START + self.now).as_millis() as u64;
        let peer = membership::Member {
            name: identity.name.clone(),
            incarnation,
            epoch,
            address: initiator_address(initiator),
        };
        let settings = Settings { rank: initiator as u32, ..fleet_settings(&self.size) };
        let clock = Clock::new(self.origin, UNIX_START + self.now);
        let broker =
            Broker::new(settings, self.rng.random(), clock, self.origin).with_peers(identity.clone());
        let volumes_used = VOLUMES_PER_INITIATOR.min(self.size.volumes);
        let from = self.rng.random_range(0..self.size.volumes as u64);
        let placement = Placement::of(initiator, self.size.regions, self.size.zones);
        let numbered = |kind: &str, number: usize| format!("{kind}{number}");
        let locality =
            Locality { region: numbered("r", placement.region), zone: numbered("z", placement.zone) };
        let gossip = Gossip::new(
            identity.clone(),
            initiator_address(initiator),
            locality,
            self.rng.random(),
            Duration::ZERO,
        );
        Hollow {
            placement,
            alive: true,
            paused: false,
            unresponsive: false,
            traffic: Traffic::default(),
            cpu_time: [Duration::ZERO; 3],
            gossip,
            observation_traffic: Traffic::bounded(GOSSIP_BYTES_PER_SECOND + GOSSIP_BURST_BYTES),
            aggregation_traffic: Traffic::bounded(2.0 * (OWNER_BYTES_PER_SECOND + ANSWER_BYTES_PER_SECOND)),
            own_demand: BTreeMap::new(),
            peer_demand: BTreeMap::new(),
            avoided_endpoints: BTreeSet::new(),
            membership: Membership::new(
                peer,
                JOIN_TARGETS.map(initiator_address).to_vec(),
                self.rng.random(),
            ),
            generation,
            started_at: self.now,
            clock_drift: self.rng.random_range(-MAX_CLOCK_DRIFT..=MAX_CLOCK_DRIFT),
            identity,
            broker,
            timers: [(0, Duration::MAX); 3],
            last_exchanged: None,
            deferred_events: Vec::new(),
            deferred_bytes: 0,
            volumes_used: (0..volumes_used as u64)
                .map(|v| (from + v * 7) % self.size.volumes as u64)
                .collect(),
        }
    }
}

/// Returns the settings of an initiator, except for its rank.
fn fleet_settings(size: &Size) -> Settings {
    let endpoints = EndpointFigures {
        capacity: 4000.0,
        slow_start_capacity: 0.16,
        slow_start_duration: Duration::from_secs(16),
        overload_factor: 3.0,
        overload_window: Duration::from_secs(3),
    };
    let (initiators, shards) = (size.initiators, size.shards());
    let config = FleetConfig {
        initiators,
        shards,
        replicas_per_shard: 2,
        rate: 0.0,
        write_fraction: 0.0,
        peers: true,
        endpoints,
        slow_start_units: 16.0,
    };
    let settings = settings(&config);
    let plans = settings.plans.iter().map(|plan| Plan { rate: 1e6, ..plan.clone() }).collect();
    Settings { plans, ..settings }
}

/// Returns the processor time of this thread so far.
fn thread_cpu_time() -> Duration {
    let spent = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

/// Runs `work` and adds the processor time that it took to `cpu_time`.
pub fn measure_cpu<T>(cpu_time: &mut Duration, work: impl FnOnce() -> T) -> T {
    let start = thread_cpu_time();
    let done = work();
    *cpu_time += thread_cpu_time().saturating_sub(start);
    done
}
