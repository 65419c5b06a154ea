//! Hollow initiators on one virtual clock: the program's membership, broker and gossip, without sockets, clients'
//! bytes or endpoints. Here are the fleet and what is done to it; [`event`] is what happens in it, [`hollow`] one
//! initiator, [`delivery`], [`reducers`] and [`exchange`] what an event does there.

mod delivery;
mod event;
mod exchange;
mod hollow;
mod reducers;

use super::net::{address, Links, Traffic};
use event::{Entry, Event};
use exchange::ASKED_EVERY;
pub use hollow::Hollow;
use hollow::JOINED;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use reducers::ASKED_AGAIN;
use shaletack_core::broker::Input;
use shaletack_core::endpoint_list::{EndpointList, EndpointRecord};
use shaletack_core::interface::{EndpointListKind, Readiness};
use shaletack_gossip as gossip;
use shaletack_membership as membership;
use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How reports go from one initiator to the others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Arm {
    /// One member a second in the order of addresses, a frame each way over TCP.
    Before,
    /// News to a few partners at once, digests and sums by datagrams, as `src/peers` does it.
    After,
}

/// The fleet's size.
#[derive(Clone, Copy, Debug)]
pub struct Size {
    pub initiators: usize,
    pub boxes: usize,
    pub volumes: usize,
    pub regions: usize,
    pub zones: usize,
}

impl Size {
    /// Two endpoints hold each shard.
    pub fn shards(&self) -> u16 {
        self.boxes.div_ceil(2) as u16
    }
}

/// What was seen on the way.
#[derive(Clone, Copy, Debug, Default)]
pub struct Seen {
    /// Exchanges begun, and failed.
    pub exchanges: u64,
    pub failed: u64,
    /// Members that live and can be reached, taken for dead.
    pub taken_for_dead: u64,
    /// Sums that came to brokers anew.
    pub totals: u64,
    /// Datagrams and frames that were not taken.
    pub bad: u64,
}

pub struct Fleet {
    pub now: Duration,
    pub size: Size,
    pub links: Links,
    pub hollows: Vec<Hollow>,
    pub seen: Seen,
    /// Who acted on the drain of which box, and when.
    pub acted: Vec<(Duration, usize, usize)>,
    /// Links were cut, or processes stopped, until then: who is taken for dead soon after may well be.
    pub troubled_until: Duration,
    arm: Arm,
    zero: Instant,
    rng: StdRng,
    events: BinaryHeap<Reverse<Entry>>,
    numbered: u64,
    revision: u64,
    /// Brokers talk to each other.
    talks: bool,
    busy: bool,
}

impl Fleet {
    /// All start at once; brokers are silent until [`Fleet::talk`].
    pub fn new(size: Size, arm: Arm, loss: f64, seed: u64) -> Self {
        let mut fleet = Fleet {
            now: Duration::ZERO,
            size,
            links: Links::new(size.initiators, loss),
            hollows: Vec::with_capacity(size.initiators),
            seen: Seen::default(),
            acted: Vec::new(),
            troubled_until: Duration::ZERO,
            arm,
            zero: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            events: BinaryHeap::new(),
            numbered: 0,
            revision: 1,
            talks: false,
            busy: false,
        };
        for i in 0..size.initiators {
            let hollow = fleet.hollow(i, i, 0);
            fleet.hollows.push(hollow);
        }
        (0..size.initiators).for_each(|i| fleet.begin(i, EndpointListKind::Full));
        fleet
    }

    fn begin(&mut self, i: usize, kind: EndpointListKind) {
        let entries = (0..self.size.boxes).map(|b| self.member(b, Readiness::Ready)).collect();
        self.broker_input(i, Input::EndpointList(EndpointList { revision: 1, kind, entries }), false);
        self.membership_input(i, membership::Input::TimerExpired);
        if self.talks {
            // All that are listed are asked at once, before anything else.
            for to in JOINED.into_iter().filter(|to| *to != i) {
                self.ask(i, to);
            }
            self.join_talk(i);
        }
    }

    /// From now on brokers tell each other what they know.
    pub fn talk(&mut self) {
        self.start_talk();
        // A fleet that has run for hours: exchanges take unlike times, so each is elsewhere in the order.
        for i in 0..self.hollows.len() {
            let last = self.rng.random_range(0..self.hollows.len());
            self.hollows[i].last_asked = Some(address(last));
        }
        (0..self.hollows.len()).for_each(|i| self.join_talk(i));
    }

    /// The same for a fleet that starts just now: each begins with the first in the order.
    pub fn talk_at_once(&mut self) {
        self.start_talk();
        (0..self.hollows.len()).for_each(|i| self.join_talk(i));
    }

    fn start_talk(&mut self) {
        self.talks = true;
        for i in 0..self.hollows.len() {
            let members: Vec<membership::Member> = self.hollows[i].membership.others().cloned().collect();
            for peer in members {
                self.gossip_input(
                    i,
                    gossip::Input::MemberUp { address: peer.address, incarnation: peer.incarnation },
                );
            }
        }
    }

    fn join_talk(&mut self, i: usize) {
        let boot = self.hollows[i].boot;
        let first = Duration::from_nanos(self.rng.random_range(0..ASKED_EVERY.as_nanos() as u64));
        self.at(self.now + first, Event::Turn { at: i, boot });
        if self.arm == Arm::After {
            self.gossip_input(i, gossip::Input::ConfigVersion(Some(1)));
            self.at(self.now + first / 2, Event::Adds { at: i, boot });
        }
        if self.busy {
            self.use_volumes(i);
        }
    }

    /// From now on every initiator's clients use volumes, at rates that move.
    pub fn grow_busy(&mut self) {
        self.busy = true;
        (0..self.hollows.len()).for_each(|i| self.use_volumes(i));
    }

    fn use_volumes(&mut self, i: usize) {
        let first = self.rng.random_range(0..ASKED_AGAIN.as_nanos() as u64);
        let boot = self.hollows[i].boot;
        self.at(self.now + Duration::from_nanos(first), Event::Request { at: i, boot, number: 1 });
    }

    fn member(&self, b: usize, readiness: Readiness) -> EndpointRecord {
        EndpointRecord {
            id: format!("s-{b:08x}"),
            address: Some(SocketAddr::from(([127, 0, 0, 1], 10_000 + b as u16))),
            zone: format!("z{}", b % self.size.zones),
            shard: (b / 2) as u16,
            readiness,
            up_since: None,
        }
    }

    /// One initiator's list speaks of boxes; every other one's stays silent.
    pub fn list_says(&mut self, i: usize, boxes: impl IntoIterator<Item = usize>, readiness: Readiness) {
        self.revision += 1;
        let entries = boxes.into_iter().map(|b| self.member(b, readiness)).collect();
        let kind = EndpointListKind::Delta;
        self.broker_input(
            i,
            Input::EndpointList(EndpointList { revision: self.revision, kind, entries }),
            false,
        );
    }

    pub fn kill(&mut self, i: usize) {
        let hollow = &mut self.hollows[i];
        (hollow.alive, hollow.boot) = (false, hollow.boot + 1);
    }

    /// A new process at the same address.
    pub fn restart(&mut self, i: usize) {
        self.restart_as(i, i);
    }

    /// The same, under the name of another.
    pub fn restart_as(&mut self, i: usize, named: usize) {
        let boot = self.hollows[i].boot + 1;
        let traffic = self.hollows[i].traffic;
        self.hollows[i] = Hollow { traffic, ..self.hollow(i, named, boot) };
        self.begin(i, EndpointListKind::Cached);
    }

    /// So many datagrams that no initiator sent, or that were cut or altered on the way, at initiators drawn.
    pub fn noise(&mut self, count: usize) {
        for _ in 0..count {
            let (from, to) =
                (self.rng.random_range(0..self.hollows.len()), self.rng.random_range(0..self.hollows.len()));
            let length = self.rng.random_range(0..=1500);
            let mut bytes: Vec<u8> = (0..length).map(|_| self.rng.random()).collect();
            // Some begin as membership's of this version, of another, or as gossip's.
            let heads: [&[u8]; 4] = [&[], &[0xd7, 1], &[0xd7, 9], &[0xd8, 1]];
            let head = heads[self.rng.random_range(0..heads.len())];
            bytes.iter_mut().zip(head).for_each(|(byte, is)| *byte = *is);
            self.at(self.now, Event::Datagram { to, from, bytes: bytes.into() });
        }
    }

    pub fn pause(&mut self, i: usize) {
        self.hollows[i].paused = true;
    }

    /// All that came meanwhile is there at once.
    pub fn resume(&mut self, i: usize) {
        let hollow = &mut self.hollows[i];
        hollow.paused = false;
        hollow.held_bytes = 0;
        for event in std::mem::take(&mut hollow.held) {
            self.at(self.now, event);
        }
    }

    /// The part of all pairs of processes that live of which the first knows the second.
    pub fn met_part(&self) -> f64 {
        let alive = self.hollows.iter().filter(|h| h.alive).count();
        let known = self.hollows.iter().filter(|h| h.alive).map(|h| h.membership.others().count());
        known.sum::<usize>() as f64 / (alive * (alive - 1)).max(1) as f64
    }

    /// The part of all pairs of which the first has the second for a member, and does not know that it speaks
    /// gossip.
    pub fn unmet_part(&self) -> f64 {
        let alive = self.hollows.iter().filter(|h| h.alive).count();
        let unmet = self
            .hollows
            .iter()
            .filter(|h| h.alive && self.arm == Arm::After)
            .map(|h| h.gossip.unconfirmed_members().count());
        unmet.sum::<usize>() as f64 / (alive * (alive - 1)).max(1) as f64
    }

    /// Counts bytes and processor time from now on.
    pub fn count_anew(&mut self) {
        for hollow in &mut self.hollows {
            (hollow.traffic, hollow.cpu) = (Traffic::default(), [Duration::ZERO; 3]);
            (hollow.news.passed, hollow.sums.passed) = (0, 0);
            (hollow.news.all, hollow.sums.all) = (0, 0);
        }
    }

    fn at(&mut self, at: Duration, event: Event) {
        self.numbered += 1;
        self.events.push(Reverse(Entry { at: (at, self.numbered), event }));
    }

    /// Plays on until then.
    pub fn play(&mut self, until: Duration) {
        while self.events.peek().is_some_and(|Reverse(first)| first.at.0 <= until) {
            let Some(Reverse(Entry { at, event })) = self.events.pop() else { break };
            self.now = self.now.max(at.0);
            self.happen(event);
        }
        self.now = until;
    }
}
