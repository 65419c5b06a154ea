//! Hollow initiators on one virtual clock: the program's membership, broker and gossip reducers, without
//! sockets, client data or endpoints.
//!
//! This module holds the fleet and the operations on it. [`event`] defines the events and [`hollow`] one
//! initiator; [`delivery`], [`reducers`] and [`exchange`] handle the events at an initiator.

mod delivery;
mod event;
mod exchange;
mod hollow;
mod reducers;

use super::net::{initiator_address, Links, Traffic};
use event::{Entry, Event};
use exchange::EXCHANGE_INTERVAL;
pub use hollow::Hollow;
use hollow::JOIN_TARGETS;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reducers::REQUEST_INTERVAL;
use shaletack_core::broker::Input;
use shaletack_core::endpoint_list::{EndpointList, EndpointRecord};
use shaletack_core::interface::{EndpointListKind, Readiness};
use shaletack_gossip as gossip;
use shaletack_membership as membership;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How reports travel from one initiator to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// Each initiator exchanges one frame in each direction over TCP with one member per second, in the order
    /// of addresses.
    Before,
    /// New observations go to a few members at once, and digests and sums travel in datagrams, as in
    /// `src/peers`.
    After,
}

/// Size of the fleet.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    /// Number of initiators.
    pub initiators: usize,
    /// Number of endpoints in each list.
    pub endpoints: usize,
    /// Number of volumes.
    pub volumes: usize,
    /// Number of regions.
    pub regions: usize,
    /// Number of zones in all regions together.
    pub zones: usize,
}

impl Size {
    /// Returns the number of shards; each is held by two endpoints.
    pub fn shards(&self) -> u16 {
        self.endpoints.div_ceil(2) as u16
    }
}

/// Counts of events since the start of the run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Counters {
    /// Exchanges that were started.
    pub exchanges: u64,
    /// Exchanges that failed.
    pub failed: u64,
    /// Times that a live, reachable member was considered dead.
    pub false_deaths: u64,
    /// Updates of the sums that brokers received.
    pub totals: u64,
    /// Datagrams and frames that were rejected.
    pub rejected_messages: u64,
}

/// The initiators and the events that are scheduled for them.
pub struct Fleet {
    /// Virtual time since the start of the run.
    pub now: Duration,
    /// Size of the fleet.
    pub size: Size,
    /// State of the network.
    pub links: Links,
    /// The initiators.
    pub hollows: Vec<Hollow>,
    /// Counts of events since the start of the run.
    pub counters: Counters,
    /// Reactions to drains: the time, the initiator and the endpoint that it stopped using.
    pub drain_reactions: Vec<(Duration, usize, usize)>,
    /// Until this time, partitions or stopped processes explain that a member is considered dead.
    pub faults_until: Duration,
    arm: Arm,
    origin: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<Entry>>,
    last_sequence: u64,
    revision: u64,
    /// Whether initiators exchange reports.
    gossip_enabled: bool,
    /// Whether clients use volumes.
    busy: bool,
}

impl Fleet {
    /// Creates a fleet whose initiators all start at once. They exchange no reports until
    /// [`Fleet::start_gossip`].
    pub fn new(size: Size, arm: Arm, loss: f64, seed: u64) -> Self {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            size,
            links: Links::new(size.initiators, loss),
            hollows: Vec::with_capacity(size.initiators),
            counters: Counters::default(),
            drain_reactions: Vec::new(),
            faults_until: Duration::ZERO,
            arm,
            origin: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            last_sequence: 0,
            revision: 1,
            gossip_enabled: false,
            busy: false,
        };
        for initiator in 0..size.initiators {
            let hollow = fleet.new_hollow(initiator, initiator, 0);
            fleet.hollows.push(hollow);
        }
        (0..size.initiators).for_each(|initiator| fleet.start_hollow(initiator, EndpointListKind::Full));
        fleet
    }

    /// Gives an initiator its first list and starts its membership.
    fn start_hollow(&mut self, initiator: usize, kind: EndpointListKind) {
        let entries = (0..self.size.endpoints)
            .map(|endpoint| self.endpoint_record(endpoint, Readiness::Ready))
            .collect();
        self.broker_input(initiator, Input::EndpointList(EndpointList { revision: 1, kind, entries }), false);
        self.membership_input(initiator, membership::Input::TimerExpired);
        if self.gossip_enabled {
            // All configured peers are asked at once, before anything else.
            for to in JOIN_TARGETS.into_iter().filter(|to| *to != initiator) {
                self.start_exchange(initiator, to);
            }
            self.schedule_gossip(initiator);
        }
    }

    /// Starts to exchange reports, as in a fleet that has run for hours.
    pub fn start_gossip(&mut self) {
        self.enable_gossip();
        // Exchanges take different times, so that after some hours each initiator is at a different position
        // in the order of addresses.
        for initiator in 0..self.hollows.len() {
            let last = self.rng.random_range(0..self.hollows.len());
            self.hollows[initiator].last_exchanged = Some(initiator_address(last));
        }
        (0..self.hollows.len()).for_each(|initiator| self.schedule_gossip(initiator));
    }

    /// Starts to exchange reports, as in a fleet that has just started: each initiator begins with the first
    /// member in the order of addresses.
    pub fn start_gossip_at_once(&mut self) {
        self.enable_gossip();
        (0..self.hollows.len()).for_each(|initiator| self.schedule_gossip(initiator));
    }

    /// Enables gossip and tells it of the members that are known.
    fn enable_gossip(&mut self) {
        self.gossip_enabled = true;
        for initiator in 0..self.hollows.len() {
            let members: Vec<membership::Member> =
                self.hollows[initiator].membership.others().cloned().collect();
            for peer in members {
                self.gossip_input(
                    initiator,
                    gossip::Input::MemberUp { address: peer.address, incarnation: peer.incarnation },
                );
            }
        }
    }

    /// Schedules an initiator's first exchange and contribution.
    fn schedule_gossip(&mut self, initiator: usize) {
        let generation = self.hollows[initiator].generation;
        let first = Duration::from_nanos(self.rng.random_range(0..EXCHANGE_INTERVAL.as_nanos() as u64));
        self.schedule(self.now + first, Event::ExchangeDue { at: initiator, generation });
        if self.arm == Arm::After {
            self.gossip_input(initiator, gossip::Input::ConfigVersion(Some(1)));
            self.schedule(self.now + first / 2, Event::ContributionDue { at: initiator, generation });
        }
        if self.busy {
            self.schedule_requests(initiator);
        }
    }

    /// Starts the clients of all initiators, which use volumes at varying rates.
    pub fn start_load(&mut self) {
        self.busy = true;
        (0..self.hollows.len()).for_each(|initiator| self.schedule_requests(initiator));
    }

    /// Schedules the first request of an initiator's clients.
    fn schedule_requests(&mut self, initiator: usize) {
        let first = self.rng.random_range(0..REQUEST_INTERVAL.as_nanos() as u64);
        let generation = self.hollows[initiator].generation;
        self.schedule(
            self.now + Duration::from_nanos(first),
            Event::RequestDue { at: initiator, generation, number: 1 },
        );
    }

    fn endpoint_record(&self, endpoint: usize, readiness: Readiness) -> EndpointRecord {
        EndpointRecord {
            id: format!("s-{endpoint:08x}"),
            address: Some(SocketAddr::from(([127, 0, 0, 1], 10_000 + endpoint as u16))),
            zone: format!("z{}", endpoint % self.size.zones),
            shard: (endpoint / 2) as u16,
            readiness,
            up_since: None,
        }
    }

    /// Sends a change of the endpoint list to one initiator; the others receive none.
    pub fn deliver_list_change(
        &mut self,
        initiator: usize,
        endpoints: impl IntoIterator<Item = usize>,
        readiness: Readiness,
    ) {
        self.revision += 1;
        let entries =
            endpoints.into_iter().map(|endpoint| self.endpoint_record(endpoint, readiness)).collect();
        let kind = EndpointListKind::Delta;
        self.broker_input(
            initiator,
            Input::EndpointList(EndpointList { revision: self.revision, kind, entries }),
            false,
        );
    }

    /// Kills an initiator's process.
    pub fn kill(&mut self, initiator: usize) {
        let hollow = &mut self.hollows[initiator];
        (hollow.alive, hollow.generation) = (false, hollow.generation + 1);
    }

    /// Starts a new process at the address of an initiator.
    pub fn restart(&mut self, initiator: usize) {
        self.restart_as(initiator, initiator);
    }

    /// Starts a new process at the address of an initiator, under the name of another one.
    pub fn restart_as(&mut self, initiator: usize, name_of: usize) {
        let generation = self.hollows[initiator].generation + 1;
        let traffic = self.hollows[initiator].traffic;
        self.hollows[initiator] = Hollow { traffic, ..self.new_hollow(initiator, name_of, generation) };
        self.start_hollow(initiator, EndpointListKind::Cached);
    }

    /// Sends `count` datagrams with random contents to initiators drawn at random, like datagrams that no
    /// initiator sent or that were truncated or altered on the way.
    pub fn noise(&mut self, count: usize) {
        for _ in 0..count {
            let (from, to) =
                (self.rng.random_range(0..self.hollows.len()), self.rng.random_range(0..self.hollows.len()));
            let length = self.rng.random_range(0..=1500);
            let mut bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
            // Some begin with the header of a membership datagram, of this version or another, or of a gossip
            // datagram.
            let heads: [&[u8]; 4] = [&[], &[0xd7, 1], &[0xd7, 9], &[0xd8, 1]];
            let head = heads[self.rng.random_range(0..heads.len())];
            bytes.iter_mut().zip(head).for_each(|(byte, is)| *byte = *is);
            self.schedule(self.now, Event::Datagram { to, from, bytes: bytes.into() });
        }
    }

    /// Stops an initiator's process.
    pub fn pause(&mut self, initiator: usize) {
        self.hollows[initiator].paused = true;
    }

    /// Resumes an initiator's process; all events that were deferred arrive at once.
    pub fn resume(&mut self, initiator: usize) {
        let hollow = &mut self.hollows[initiator];
        hollow.paused = false;
        hollow.deferred_bytes = 0;
        for event in std::mem::take(&mut hollow.deferred_events) {
            self.schedule(self.now, event);
        }
    }

    /// Returns the fraction of all pairs of live processes in which the first knows the second.
    pub fn known_pair_fraction(&self) -> f64 {
        let alive = self.hollows.iter().filter(|h| h.alive).count();
        let known = self.hollows.iter().filter(|h| h.alive).map(|h| h.membership.others().count());
        known.sum::<usize>() as f64 / (alive * (alive - 1)).max(1) as f64
    }

    /// Returns the fraction of all pairs in which the first has the second as a member, but has no
    /// confirmation that it supports gossip datagrams.
    pub fn unconfirmed_pair_fraction(&self) -> f64 {
        let alive = self.hollows.iter().filter(|h| h.alive).count();
        let unconfirmed = self
            .hollows
            .iter()
            .filter(|h| h.alive && self.arm == Arm::After)
            .map(|h| h.gossip.unconfirmed_members().count());
        unconfirmed.sum::<usize>() as f64 / (alive * (alive - 1)).max(1) as f64
    }

    /// Resets the counts of bytes and processor time.
    pub fn reset_costs(&mut self) {
        for hollow in &mut self.hollows {
            (hollow.traffic, hollow.cpu_time) = (Traffic::default(), [Duration::ZERO; 3]);
            (
                hollow.observation_traffic.limit_exceeded_seconds,
                hollow.aggregation_traffic.limit_exceeded_seconds,
            ) = (0, 0);
            (hollow.observation_traffic.total_bytes, hollow.aggregation_traffic.total_bytes) = (0, 0);
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.push(Reverse(Entry { at: (at, self.last_sequence), event }));
    }

    /// Handles all events up to and including `until`, and sets the clock to it.
    pub fn run_until(&mut self, until: Duration) {
        while self.events.peek().is_some_and(|Reverse(first)| first.at.0 <= until) {
            let Some(Reverse(Entry { at, event })) = self.events.pop() else { break };
            self.now = self.now.max(at.0);
            self.handle_event(event);
        }
        self.now = until;
    }
}
