//! Initiators in virtual time, and a simulated network between them.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_gossip::aggregation::{Key, Total};
use shaletack_gossip::codec::{decode, encode, Body, Item, Message, IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES};
use shaletack_gossip::{ConfigRollout, Effect, Gossip, Input, Locality};
use shaletack_observations::{Claim, Observation, Observer, Report, ReportedReadiness};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub const MILLISECOND: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

const FIRST_PORT: u16 = 1000;

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], FIRST_PORT + node as u16))
}

pub fn process(node: usize, incarnation: u64) -> Observer {
    Observer { name: format!("n{node}"), incarnation }
}

pub fn draining(endpoint: &str) -> Claim {
    Claim::Readiness { endpoint: endpoint.into(), readiness: ReportedReadiness::Draining }
}

pub fn ready(endpoint: &str) -> Claim {
    Claim::Readiness { endpoint: endpoint.into(), readiness: ReportedReadiness::Ready }
}

/// A report of what a process observes now.
pub fn first_hand(observer: &Observer, claim: Claim) -> Report {
    Report { claim, observer: observer.clone(), endpoint_incarnation: 0, hops: 0, age: Duration::ZERO }
}

/// A datagram from the first incarnation of a node.
pub fn datagram(from: usize, body: Body) -> Input {
    Input::Datagram { from: address(from), bytes: encode(&Message { from: process(from, 1), body }) }
}

/// A push of one observation.
pub fn push_of(report: Report) -> Body {
    Body::Push(vec![Item::Observation(report)])
}

/// The receivers and bodies of the messages that a process sends.
pub fn sent_bodies(effects: &[Effect]) -> Vec<(SocketAddr, Body)> {
    let sent = effects.iter().filter_map(|effect| match effect {
        Effect::Send { to, bytes } => Some((*to, decode(bytes).expect("an own datagram").body)),
        _ => None,
    });
    sent.collect()
}

pub struct SentDatagram {
    pub at: Duration,
    /// The size, with IP and UDP headers.
    pub bytes: usize,
}

pub struct Node {
    pub gossip: Gossip,
    pub process: Observer,
    locality: Locality,
    wake_at: Duration,
    /// The fraction by which the node's clock runs fast.
    clock_skew: f64,
    pub learned: Vec<(Duration, Report)>,
    pub sent: Vec<SentDatagram>,
    pub rejected: Vec<Effect>,
    pub totals: BTreeMap<Key, Total>,
    pub rollouts: Vec<(Duration, ConfigRollout)>,
}

impl Node {
    fn new(node: usize, incarnation: u64, locality: Locality, seed: u64, now: Duration) -> Self {
        let process = process(node, incarnation);
        let clock_skew = if node.is_multiple_of(2) { 1e-3 } else { -1e-3 };
        let clock = local_clock(now, clock_skew);
        Node {
            gossip: Gossip::new(process.clone(), address(node), locality.clone(), seed, clock),
            process,
            locality,
            wake_at: Duration::ZERO,
            clock_skew,
            learned: Vec::new(),
            sent: Vec::new(),
            rejected: Vec::new(),
            totals: BTreeMap::new(),
            rollouts: Vec::new(),
        }
    }

    /// The time on the node's own clock.
    pub fn clock(&self, now: Duration) -> Duration {
        local_clock(now, self.clock_skew)
    }

    pub fn sent_bytes(&self) -> usize {
        self.sent.iter().map(|datagram| datagram.bytes).sum()
    }
}

fn local_clock(now: Duration, skew: f64) -> Duration {
    Duration::from_secs(1000) + now.mul_f64(1.0 + skew)
}

struct InFlight {
    from: usize,
    to: usize,
    bytes: Vec<u8>,
}

/// The bytes per second that nodes send.
pub struct Traffic {
    pub max: f64,
    pub mean: f64,
}

pub struct Network {
    pub now: Duration,
    pub nodes: Vec<Node>,
    in_flight: BTreeMap<(Duration, usize), InFlight>,
    sent_count: usize,
    pub rng: StdRng,
    pub loss: f64,
    pub duplication: f64,
    /// The side of a partition that a node is on. Nodes on different sides cannot reach each other.
    pub partition: Option<fn(usize) -> bool>,
    pub paused: BTreeSet<usize>,
}

impl Network {
    /// Creates `count` initiators, spread over regions of three zones each, which are all members and
    /// confirmed.
    fn connected(count: usize, regions: usize, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let nodes = (0..count).map(|node| {
            let (region, zone) = (node % regions, node / regions % 3);
            let locality = Locality { region: format!("r{region}"), zone: format!("z{zone}") };
            Node::new(node, 1, locality, rng.random(), Duration::ZERO)
        });
        let nodes = nodes.collect();
        let mut network = Network {
            now: Duration::ZERO,
            nodes,
            in_flight: BTreeMap::new(),
            sent_count: 0,
            rng,
            loss: 0.0,
            duplication: 0.0,
            partition: None,
            paused: BTreeSet::new(),
        };
        for to in 0..count {
            for other in (0..count).filter(|other| *other != to) {
                network.step(to, Input::MemberUp { address: address(other), incarnation: 1 });
                network.step(to, Input::SupportConfirmed(address(other)));
            }
        }
        network
    }

    /// Creates a connected network, and runs it until every initiator has all membership records.
    pub fn settled(count: usize, regions: usize, seed: u64) -> Self {
        let mut network = Self::connected(count, regions, seed);
        network.run(12 * SECOND);
        let settled = |node: &&Node| node.gossip.membership_records().count() == count - 1;
        assert_eq!(
            network.nodes.iter().filter(settled).count(),
            count,
            "every node has all membership records"
        );
        network.clear_sent();
        network
    }

    fn latency(&self, from: usize, to: usize) -> Duration {
        match (&self.nodes[from].locality, &self.nodes[to].locality) {
            (a, b) if a == b => MILLISECOND / 2,
            (a, b) if a.region == b.region => 2 * MILLISECOND,
            _ => 60 * MILLISECOND,
        }
    }

    pub fn step(&mut self, node: usize, input: Input) {
        let clock = self.nodes[node].clock(self.now);
        for effect in self.nodes[node].gossip.step(clock, input) {
            self.apply_effect(node, effect);
        }
    }

    fn apply_effect(&mut self, index: usize, effect: Effect) {
        let now = self.now;
        let node = &mut self.nodes[index];
        match effect {
            Effect::Send { to, bytes } => self.send(index, to, bytes),
            Effect::Learned(reports) => {
                node.learned.extend(reports.into_iter().map(|report| (now, report)));
            }
            Effect::WakeAt(at) => node.wake_at = now + at.saturating_sub(node.clock(now)),
            Effect::Totals(totals) => node.totals = totals.into_iter().collect(),
            Effect::ConfigRollout(rollout) => node.rollouts.push((now, rollout)),
            rejected @ (Effect::DatagramRejected { .. } | Effect::InvalidItems { .. }) => {
                node.rejected.push(rejected);
            }
        }
    }

    fn send(&mut self, from: usize, to: SocketAddr, bytes: Vec<u8>) {
        assert!(bytes.len() <= MAX_DATAGRAM_BYTES, "{} bytes", bytes.len());
        let sent = SentDatagram { at: self.now, bytes: bytes.len() + IP_UDP_HEADER_BYTES };
        self.nodes[from].sent.push(sent);
        let to = usize::from(to.port() - FIRST_PORT);
        let is_partitioned = self.partition.is_some_and(|side| side(from) != side(to));
        let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
        for _ in 0..copies {
            if is_partitioned || self.rng.random_bool(self.loss) || to >= self.nodes.len() {
                continue;
            }
            self.sent_count += 1;
            let due = self.now + self.latency(from, to) + MILLISECOND.mul_f64(self.rng.random());
            let datagram = InFlight { from, to, bytes: bytes.clone() };
            self.in_flight.insert((due, self.sent_count), datagram);
        }
    }

    pub fn run(&mut self, time: Duration) {
        self.run_until(time, |_| false);
    }

    /// Runs until a condition holds, for at most `time`. Returns whether the condition holds.
    pub fn run_until(&mut self, time: Duration, done: impl Fn(&Network) -> bool) -> bool {
        let end = self.now + time;
        loop {
            if done(self) {
                return true;
            }
            let next = self.next_event().unwrap_or(end);
            if next > end {
                self.now = end;
                return done(self);
            }
            self.now = next.max(self.now + MILLISECOND);
            self.deliver();
            self.wake();
        }
    }

    fn next_event(&self) -> Option<Duration> {
        let running = self.nodes.iter().enumerate().filter(|(node, _)| !self.paused.contains(node));
        let wakes = running.map(|(_, node)| node.wake_at);
        wakes.chain(self.in_flight.keys().map(|(due, _)| *due).next()).min()
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.in_flight.first_entry().filter(|entry| entry.key().0 <= self.now) {
            let InFlight { from, to, bytes } = entry.remove();
            if !self.paused.contains(&to) {
                self.step(to, Input::Datagram { from: address(from), bytes });
            }
        }
    }

    fn wake(&mut self) {
        for node in 0..self.nodes.len() {
            if self.nodes[node].wake_at <= self.now && !self.paused.contains(&node) {
                self.step(node, Input::TimerFired);
            }
        }
    }

    /// Lets a node make an observation.
    pub fn observe(&mut self, node: usize, claim: Claim) {
        let report = first_hand(&self.nodes[node].process, claim);
        self.step(node, Input::LocalObservations(vec![report]));
    }

    pub fn knows(&self, node: usize, claim: &Claim) -> bool {
        let observation = Observation {
            claim: claim.clone(),
            observer: process(0, 0),
            endpoint_incarnation: 0,
            hops: 0,
            observed_at: self.now,
        };
        let known = self.nodes[node].gossip.observations().get(&observation.subject());
        known.is_some_and(|known| known.claim == *claim)
    }

    pub fn all_know(&self, claim: &Claim) -> bool {
        (0..self.nodes.len()).all(|node| self.knows(node, claim))
    }

    /// The traffic since [`Network::clear_sent`], averaged over `time`.
    pub fn traffic(&self, time: Duration) -> Traffic {
        let rate = |node: &Node| node.sent_bytes() as f64 / time.as_secs_f64();
        let rates: Vec<f64> = self.nodes.iter().map(rate).collect();
        let mean = rates.iter().sum::<f64>() / rates.len() as f64;
        Traffic { max: rates.into_iter().fold(0.0, f64::max), mean }
    }

    pub fn clear_sent(&mut self) {
        self.nodes.iter_mut().for_each(|node| node.sent.clear());
    }

    pub fn restart(&mut self, index: usize, incarnation: u64) {
        let locality = self.nodes[index].locality.clone();
        let seed = self.rng.random();
        self.nodes[index] = Node::new(index, incarnation, locality, seed, self.now);
        for other in (0..self.nodes.len()).filter(|other| *other != index) {
            self.step(other, Input::MemberUp { address: address(index), incarnation });
            let incarnation = self.nodes[other].process.incarnation;
            self.step(index, Input::MemberUp { address: address(other), incarnation });
        }
    }
}
