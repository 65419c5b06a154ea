//! One hollow initiator: the program's reducers, its clock, and what is counted of it.

use super::event::Event;
use super::{Fleet, Size};
use crate::fleet::{settings, FleetConfig, UNIX_START};
use crate::model::EndpointFigures;
use crate::scale::net::{address, Place, Traffic};
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

/// Clocks run off by so much at most.
const DRIFT: f64 = 0.001;
/// Volumes in use at a busy initiator.
const VOLUMES_USED: usize = 100;
/// The two initiators that every process is given to join.
pub const JOINED: [usize; 2] = [0, 1];

/// The reducers of a process, which are woken and whose processor time is measured each on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Part {
    Membership,
    Broker,
    Gossip,
}

/// One hollow initiator.
pub struct Hollow {
    pub place: Place,
    pub alive: bool,
    pub paused: bool,
    /// Its peers get no answer to an exchange.
    pub mute: bool,
    pub traffic: Traffic,
    /// Processor time in the reducers' calls: membership, the broker's part, and gossip or the exchange's
    /// frames.
    pub cpu: [Duration; 3],
    /// Boxes that its broker sends nothing to by peers' word.
    pub stopped: BTreeSet<usize>,
    pub membership: Membership,
    pub gossip: Gossip,
    /// What it sends of news and digests, and of sums.
    pub news: Traffic,
    pub sums: Traffic,
    /// What it last added to the sums, and what it was last told of the others.
    pub own: BTreeMap<u64, u64>,
    pub others: BTreeMap<u64, Total>,
    pub(super) boot: u64,
    pub(super) born: Duration,
    pub(super) drift: f64,
    pub(super) me: Observer,
    pub(super) broker: Broker,
    pub(super) wakes: [(u64, Duration); 3],
    pub(super) last_asked: Option<SocketAddr>,
    pub(super) held: Vec<Event>,
    pub(super) held_bytes: usize,
    pub(super) used: Vec<u64>,
}

impl Hollow {
    /// The process's own time at a moment of the fleet's: since its start, by a clock that runs off.
    pub(super) fn local(&self, now: Duration) -> Duration {
        now.saturating_sub(self.born).mul_f64(1.0 + self.drift)
    }

    /// A little late rather than early: a wake before its time only asks for another one.
    pub(super) fn global(&self, local: Duration) -> Duration {
        self.born + local.div_f64(1.0 + self.drift) + Duration::from_micros(1)
    }
}

impl Fleet {
    /// A process that knows its list as it was and two addresses.
    pub(super) fn hollow(&mut self, i: usize, named: usize, boot: u64) -> Hollow {
        let life = self.rng.random();
        let me = Observer { name: format!("init-{named:04}"), incarnation: life };
        let epoch = (UNIX_START + self.now).as_millis() as u64;
        let peer =
            membership::Member { name: me.name.clone(), incarnation: life, epoch, address: address(i) };
        let set = Settings { rank: i as u32, ..fleet_settings(&self.size) };
        let clock = Clock::new(self.zero, UNIX_START + self.now);
        let broker = Broker::new(set, self.rng.random(), clock, self.zero).with_peers(me.clone());
        let used = VOLUMES_USED.min(self.size.volumes);
        let from = self.rng.random_range(0..self.size.volumes as u64);
        let place = Place::of(i, self.size.regions, self.size.zones);
        let named = |kind: &str, number: usize| format!("{kind}{number}");
        let stands = Locality { region: named("r", place.region), zone: named("z", place.zone) };
        let gossip = Gossip::new(me.clone(), address(i), stands, self.rng.random(), Duration::ZERO);
        Hollow {
            place,
            alive: true,
            paused: false,
            mute: false,
            traffic: Traffic::default(),
            cpu: [Duration::ZERO; 3],
            gossip,
            news: Traffic::bounded(GOSSIP_BYTES_PER_SECOND + GOSSIP_BURST_BYTES),
            sums: Traffic::bounded(2.0 * (OWNER_BYTES_PER_SECOND + ANSWER_BYTES_PER_SECOND)),
            own: BTreeMap::new(),
            others: BTreeMap::new(),
            stopped: BTreeSet::new(),
            membership: Membership::new(peer, JOINED.map(address).to_vec(), self.rng.random()),
            boot,
            born: self.now,
            drift: self.rng.random_range(-DRIFT..=DRIFT),
            me,
            broker,
            wakes: [(0, Duration::MAX); 3],
            last_asked: None,
            held: Vec::new(),
            held_bytes: 0,
            used: (0..used as u64).map(|v| (from + v * 7) % self.size.volumes as u64).collect(),
        }
    }
}

/// What the program of every initiator is set to, but for its rank.
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
    let set = settings(&config);
    let plans = set.plans.iter().map(|plan| Plan { rate: 1e6, ..plan.clone() }).collect();
    Settings { plans, ..set }
}

/// Processor time of this thread so far.
fn processor() -> Duration {
    let spent = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

/// Does it, and adds what it took.
pub fn timed<T>(cpu: &mut Duration, work: impl FnOnce() -> T) -> T {
    let start = processor();
    let done = work();
    *cpu += processor().saturating_sub(start);
    done
}
