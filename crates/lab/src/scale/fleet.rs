//! Hollow initiators on one virtual clock: the program's membership, broker and exchange of facts, without
//! sockets, clients' bytes or disk boxes.

use super::net::{address, held, index, Connection, Links, Place, Traffic};
use super::net::{HELD_MOST, RETRANSMITTED_AFTER, UDP_HEADER};
use crate::fleet::{settings, Shape, MS, S, UNIX};
use crate::model::Figures;
use bytes::Bytes;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_core::broker::{AttemptId, AttemptResult, Broker, Clock, Effect, IncomingRequest, Input};
use shaletack_core::endpoint_list::{EndpointList, EndpointRecord};
use shaletack_core::gossip::{Aged, PeerTotals, VolumeDemand};
use shaletack_core::interface::{EndpointListKind, Plan, Readiness, Settings};
use shaletack_core::operator_event::OperatorEvent;
use shaletack_core::outcome::TransportOutcome;
use shaletack_gossip as gossip;
use shaletack_gossip::aggregation::{Key, Total, ANSWER_BYTES_PER_SECOND, OWNER_BYTES_PER_SECOND};
use shaletack_gossip::codec::{HEADER_BYTES as GOSSIP_HEADER_BYTES, MAGIC as GOSSIP_MAGIC};
use shaletack_gossip::limits::{GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND};
use shaletack_gossip::{Gossip, Locality};
use shaletack_membership::frame;
use shaletack_membership::{self as membership, Membership};
use shaletack_observations::{Observer, MAX_EXCHANGE_HOPS, MAX_HOPS};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BTreeSet, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// How often the exchange before asked one member, and how long one exchange could take (`src/peers`).
const ASKED_EVERY: Duration = S;
const EXCHANGE: Duration = Duration::from_millis(300);
/// How often what a process adds to the sums is looked at (`src/peers`).
const ADDED_EVERY: Duration = Duration::from_millis(500);
/// Clocks run off by so much at most.
const DRIFT: f64 = 0.001;
/// Volumes in use at a busy initiator, and how often each is asked for.
const VOLUMES_USED: usize = 100;
const ASKED_AGAIN: Duration = Duration::from_secs(2);
/// The two that every process is told of.
const JOINED: [usize; 2] = [0, 1];
/// How long a box serves a request.
const SERVED_IN: Duration = MS;

/// How facts go from one initiator to the others.
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

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Part {
    Members,
    Broker,
    Spread,
}

#[derive(Debug)]
enum Event {
    Datagram {
        to: usize,
        from: usize,
        bytes: Bytes,
    },
    Wakes {
        at: usize,
        boot: u64,
        part: Part,
        number: u64,
    },
    /// The next member is asked.
    Turn {
        at: usize,
        boot: u64,
    },
    /// The asker's frame is there; the answer goes back, and is there then.
    Asked {
        to: usize,
        from: usize,
        boot: u64,
        began: Duration,
        sent: Duration,
        frame: Vec<u8>,
    },
    Answered {
        to: usize,
        boot: u64,
        trip: Duration,
        frame: Vec<u8>,
    },
    /// What this process adds to the sums is looked at.
    Adds {
        at: usize,
        boot: u64,
    },
    Request {
        at: usize,
        boot: u64,
        number: u64,
    },
    Ended {
        at: usize,
        boot: u64,
        request: u64,
        number: u8,
    },
}

struct Entry {
    at: (Duration, u64),
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}

/// One hollow initiator.
pub struct Hollow {
    pub place: Place,
    pub alive: bool,
    pub paused: bool,
    /// Its peers get no answer to an exchange.
    pub mute: bool,
    pub traffic: Traffic,
    /// Processor time in the reducers' calls: membership, the broker's part, and the spread or the exchange's
    /// frames.
    pub cpu: [Duration; 3],
    /// Boxes that its broker sends nothing to by peers' word.
    pub stopped: BTreeSet<usize>,
    pub membership: Membership,
    pub spread: Gossip,
    /// What it sends of news and digests, and of sums.
    pub news: Traffic,
    pub sums: Traffic,
    /// What it last added to the sums, and what it was last told of the others.
    pub own: BTreeMap<u64, u64>,
    pub others: BTreeMap<u64, Total>,
    boot: u64,
    born: Duration,
    drift: f64,
    me: Observer,
    broker: Broker,
    wakes: [(u64, Duration); 3],
    last_asked: Option<SocketAddr>,
    held: Vec<Event>,
    held_bytes: usize,
    used: Vec<u64>,
}

impl Hollow {
    fn local(&self, now: Duration) -> Duration {
        now.saturating_sub(self.born).mul_f64(1.0 + self.drift)
    }

    /// A little late rather than early: a wake before its time only asks for another one.
    fn global(&self, local: Duration) -> Duration {
        self.born + local.div_f64(1.0 + self.drift) + Duration::from_micros(1)
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

/// Whether a datagram of the spread's is one of the sums: the last of the kinds, after a head and who sends
/// it.
fn is_sum(bytes: &[u8]) -> bool {
    let name = usize::from(bytes.get(GOSSIP_HEADER_BYTES).copied().unwrap_or_default());
    let life = bytes.get(GOSSIP_HEADER_BYTES + 1 + name..).unwrap_or_default();
    life.iter().skip_while(|byte| **byte >= 0x80).nth(1) == Some(&5)
}

/// Processor time of this thread so far.
fn processor() -> Duration {
    let spent = rustix::time::clock_gettime(rustix::time::ClockId::ThreadCPUTime);
    Duration::new(spent.tv_sec as u64, spent.tv_nsec as u32)
}

/// Does it, and adds what it took.
fn timed<T>(cpu: &mut Duration, work: impl FnOnce() -> T) -> T {
    let start = processor();
    let done = work();
    *cpu += processor().saturating_sub(start);
    done
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

    /// A process that knows its list as it was and two addresses.
    fn hollow(&mut self, i: usize, named: usize, boot: u64) -> Hollow {
        let life = self.rng.random();
        let me = Observer { name: format!("init-{named:04}"), incarnation: life };
        let epoch = (UNIX + self.now).as_millis() as u64;
        let peer =
            membership::Member { name: me.name.clone(), incarnation: life, epoch, address: address(i) };
        let boxes = Figures {
            capacity: 4000.0,
            start: 0.16,
            warm_up: Duration::from_secs(16),
            overload: 3.0,
            window: Duration::from_secs(3),
        };
        let (initiators, shards) = (self.size.initiators, self.shards());
        let shape =
            Shape { initiators, shards, copies: 2, rate: 0.0, writes: 0.0, peers: true, boxes, bears: 16.0 };
        let set = settings(&shape);
        let plans = set.plans.iter().map(|plan| Plan { rate: 1e6, ..plan.clone() }).collect();
        let set = Settings { rank: i as u32, plans, ..set };
        let clock = Clock::new(self.zero, UNIX + self.now);
        let broker = Broker::new(set, self.rng.random(), clock, self.zero).among_peers(me.clone());
        let used = VOLUMES_USED.min(self.size.volumes);
        let from = self.rng.random_range(0..self.size.volumes as u64);
        let place = Place::of(i, self.size.regions, self.size.zones);
        let named = |kind: &str, number: usize| format!("{kind}{number}");
        let stands = Locality { region: named("r", place.region), zone: named("z", place.zone) };
        let spread = Gossip::new(me.clone(), address(i), stands, self.rng.random(), Duration::ZERO);
        Hollow {
            place,
            alive: true,
            paused: false,
            mute: false,
            traffic: Traffic::default(),
            cpu: [Duration::ZERO; 3],
            spread,
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

    fn shards(&self) -> u16 {
        self.size.boxes.div_ceil(2) as u16
    }

    fn begin(&mut self, i: usize, kind: EndpointListKind) {
        let entries = (0..self.size.boxes).map(|b| self.member(b, Readiness::Ready)).collect();
        self.broker(i, Input::EndpointList(EndpointList { revision: 1, kind, entries }), false);
        self.members(i, membership::Input::TimerExpired);
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
                self.spread(
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
            self.spread(i, gossip::Input::ConfigVersion(Some(1)));
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
        self.broker(i, Input::EndpointList(EndpointList { revision: self.revision, kind, entries }), false);
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
            // Some begin as membership's of this version, of another, or as the spread's.
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
    /// the spread.
    pub fn unmet_part(&self) -> f64 {
        let alive = self.hollows.iter().filter(|h| h.alive).count();
        let unmet = self
            .hollows
            .iter()
            .filter(|h| h.alive && self.arm == Arm::After)
            .map(|h| h.spread.unconfirmed_members().count());
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

    /// Whether the process that an event is for is still there, and hears it now.
    fn hears(&mut self, i: usize, boot: Option<u64>, event: impl FnOnce() -> (Event, usize)) -> bool {
        let hollow = &mut self.hollows[i];
        if !hollow.alive || boot.is_some_and(|boot| boot != hollow.boot) {
            return false;
        }
        if hollow.paused {
            let (event, bytes) = event();
            if hollow.held_bytes + bytes <= HELD_MOST {
                hollow.held_bytes += bytes;
                hollow.held.push(event);
            }
            return false;
        }
        true
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, bytes } => {
                if !self.links.joins(from, to) {
                    return;
                }
                let again = || (Event::Datagram { to, from, bytes: bytes.clone() }, held(&bytes));
                if self.hears(to, None, again) {
                    self.count(to, from, bytes.len() + UDP_HEADER);
                    if self.arm == Arm::After && bytes.first() == Some(&GOSSIP_MAGIC) {
                        self.spread(
                            to,
                            gossip::Input::Datagram { from: address(from), bytes: bytes.to_vec() },
                        );
                    } else {
                        self.members(to, membership::Input::DatagramReceived(bytes));
                    }
                }
            }
            Event::Wakes { at, boot, part, number } => {
                let again = || (Event::Wakes { at, boot, part, number }, 0);
                if !self.hears(at, Some(boot), again) || self.hollows[at].wakes[part as usize].0 != number {
                    return;
                }
                self.hollows[at].wakes[part as usize].1 = Duration::MAX;
                match part {
                    Part::Members => self.members(at, membership::Input::TimerExpired),
                    // Nearly all of these are for requests.
                    Part::Broker => self.broker(at, Input::TimerFired, false),
                    Part::Spread => self.spread(at, gossip::Input::TimerFired),
                }
            }
            Event::Turn { at, boot } => {
                if self.hears(at, Some(boot), || (Event::Turn { at, boot }, 0)) {
                    self.turn(at, boot);
                }
            }
            Event::Asked { to, from, boot, began, sent, frame } => {
                // A process that is stopped answers when nobody waits any more.
                let hollow = &self.hollows[to];
                if hollow.alive && !hollow.paused && !hollow.mute && self.links.joins(from, to) {
                    self.answer(to, from, boot, began, sent, &frame);
                }
            }
            Event::Answered { to, boot, trip, frame } => {
                if self
                    .hears(to, Some(boot), || (Event::Answered { to, boot, trip, frame: frame.clone() }, 0))
                {
                    self.hear(to, trip, &frame);
                }
            }
            Event::Adds { at, boot } => {
                if self.hears(at, Some(boot), || (Event::Adds { at, boot }, 0)) {
                    self.add(at);
                    self.at(self.now + ADDED_EVERY, Event::Adds { at, boot });
                }
            }
            Event::Request { at, boot, number } => {
                if self.hears(at, Some(boot), || (Event::Request { at, boot, number }, 0)) {
                    self.request(at, boot, number);
                }
            }
            Event::Ended { at, boot, request, number } => {
                if self.hears(at, Some(boot), || (Event::Ended { at, boot, request, number }, 0)) {
                    self.broker(
                        at,
                        Input::AttemptEnded {
                            attempt: AttemptId::new(request, number),
                            result: AttemptResult::without_response(TransportOutcome::Complete),
                        },
                        false,
                    );
                }
            }
        }
    }

    fn count(&mut self, at: usize, other: usize, bytes: usize) {
        let across = self.hollows[at].place.region != self.hollows[other].place.region;
        self.hollows[at].traffic.add(self.now, bytes, across);
    }

    fn wake(&mut self, i: usize, part: Part, local: Duration) {
        let hollow = &self.hollows[i];
        let (boot, then) = (hollow.boot, hollow.global(local).max(self.now));
        if hollow.wakes[part as usize].1 == then {
            return;
        }
        self.numbered += 1;
        let number = self.numbered;
        self.hollows[i].wakes[part as usize] = (number, then);
        self.at(then, Event::Wakes { at: i, boot, part, number });
    }

    fn members(&mut self, i: usize, input: membership::Input) {
        let hollow = &mut self.hollows[i];
        let now = hollow.local(self.now);
        let effects = timed(&mut hollow.cpu[Part::Members as usize], || hollow.membership.step(now, input));
        for effect in effects {
            match effect {
                membership::Effect::Send { to, datagram: bytes } => self.send(i, index(to), bytes),
                membership::Effect::SetTimer(at) => self.wake(i, Part::Members, at),
                membership::Effect::MemberDown(peer) => {
                    let of = index(peer.address);
                    let there =
                        self.hollows.get(of).is_some_and(|h| h.alive && h.me.incarnation == peer.incarnation);
                    let troubled = self.now < self.troubled_until || !self.links.joins(i, of);
                    self.seen.taken_for_dead += u64::from(there && !troubled);
                    self.spread(
                        i,
                        gossip::Input::MemberDown { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::MemberUp(peer) => {
                    self.spread(
                        i,
                        gossip::Input::MemberUp { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::DuplicateName { .. } => {}
                membership::Effect::DatagramFailed(_) => self.seen.bad += 1,
            }
        }
    }

    /// Gives the spread an input and carries out what it asks for.
    fn spread(&mut self, i: usize, input: gossip::Input) {
        if self.arm == Arm::Before || !self.talks {
            return;
        }
        let hollow = &mut self.hollows[i];
        let now = hollow.local(self.now);
        let effects = timed(&mut hollow.cpu[Part::Spread as usize], || hollow.spread.step(now, input));
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => {
                    let hollow = &mut self.hollows[i];
                    if hollow.mute {
                        continue;
                    }
                    let traffic = if is_sum(&bytes) { &mut hollow.sums } else { &mut hollow.news };
                    traffic.add(self.now, bytes.len() + UDP_HEADER, false);
                    self.send(i, index(to), bytes.into());
                }
                gossip::Effect::Learned(told) => self.broker(i, Input::GossipMerged(told), true),
                gossip::Effect::Totals(totals) => {
                    self.seen.totals += 1;
                    let mut all = PeerTotals::default();
                    self.hollows[i].others.clear();
                    for (key, total) in totals {
                        if let Key::Demand(volume) = key {
                            let value = VolumeDemand { volume, rate: total.others };
                            all.demand.push(Aged { value, age: total.age });
                            self.hollows[i].others.insert(volume, total);
                        }
                    }
                    self.broker(i, Input::PeerTotals(all), true);
                }
                gossip::Effect::WakeAt(at) => self.wake(i, Part::Spread, at),
                gossip::Effect::ConfigRollout(_) => {}
                gossip::Effect::DatagramRejected { .. } | gossip::Effect::InvalidItems { .. } => {
                    self.seen.bad += 1
                }
            }
        }
    }

    /// What this process adds to the sums, from now on.
    fn add(&mut self, i: usize) {
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let amounts = timed(&mut hollow.cpu[Part::Broker as usize], || hollow.broker.contribution(now));
        hollow.own = amounts.demand.iter().map(|demand| (demand.volume, demand.rate)).collect();
        let keys = amounts.demand.into_iter().map(|demand| (Key::Demand(demand.volume), demand.rate));
        self.spread(i, gossip::Input::LocalAmounts(keys.collect()));
    }

    fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        if to >= self.hollows.len() {
            return;
        }
        self.count(from, to, bytes.len() + UDP_HEADER);
        self.hollows[from].traffic.datagrams += 1;
        let way = self.hollows[from].place.way(self.hollows[to].place);
        let copies = 1 + usize::from(self.links.doubling > 0.0 && self.rng.random_bool(self.links.doubling));
        for copy in 0..copies {
            if self.links.loss == 0.0 || !self.rng.random_bool(self.links.loss) {
                let bytes = bytes.clone();
                self.at(self.now + way * (1 + copy as u32), Event::Datagram { to, from, bytes });
            }
        }
    }

    /// `counted`: it is a call that control causes, not a client's or a box's.
    fn broker(&mut self, i: usize, input: Input, counted: bool) {
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let mut apart = Duration::ZERO;
        let cpu = if counted { &mut hollow.cpu[Part::Broker as usize] } else { &mut apart };
        let effects = timed(cpu, || hollow.broker.step(now, input));
        let boot = hollow.boot;
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt: AttemptId { request, number }, .. } => {
                    self.at(self.now + SERVED_IN, Event::Ended { at: i, boot, request, number });
                }
                Effect::SetTimer(at) => {
                    // As coarse as the timers of the program's runtime.
                    let local = at.saturating_duration_since(self.zero);
                    let soonest = self.hollows[i].local(self.now) + MS;
                    self.wake(i, Part::Broker, local.max(soonest));
                }
                Effect::Log(OperatorEvent::AdviceChanged { id, stopped, .. }) => {
                    self.advised(i, &id, stopped)
                }
                Effect::Broadcast(told) => self.spread(i, gossip::Input::LocalObservations(told)),
                Effect::Log(_) | Effect::Respond { .. } | Effect::AbortAttempt(..) => {}
            }
        }
    }

    fn advised(&mut self, i: usize, id: &str, stopped: bool) {
        let number = id.rsplit('-').next().and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let Some(b) = number else { return };
        if !stopped {
            self.hollows[i].stopped.remove(&b);
        } else if self.hollows[i].stopped.insert(b) {
            self.acted.push((self.now, i, b));
        }
    }

    fn request(&mut self, i: usize, boot: u64, number: u64) {
        let hollow = &self.hollows[i];
        let place = number as usize % hollow.used.len();
        let volume = hollow.used[place];
        // Slow waves, each volume's of its own phase.
        let turns = self.now.as_secs_f64() / 20.0 + place as f64 / hollow.used.len() as f64;
        let units = 2.0 * (1.0 + 0.8 * (turns * std::f64::consts::TAU).sin());
        let ask = IncomingRequest {
            volume,
            initiators: self.size.initiators as f64,
            key: number,
            shard: Some((volume % u64::from(self.shards())) as u16),
            units,
            time_remaining: 1200 * MS,
            ..IncomingRequest::default()
        };
        let gap = ASKED_AGAIN / hollow.used.len() as u32;
        self.broker(i, Input::RequestArrived { id: number, request: ask }, false);
        self.at(self.now + gap, Event::Request { at: i, boot, number: number + 1 });
    }

    /// The exchange before: one member after another, in an order that goes round all of them.
    fn turn(&mut self, i: usize, boot: u64) {
        let hollow = &mut self.hollows[i];
        if self.arm == Arm::After {
            // One that is not known to speak the spread, drawn anew.
            let unmet: Vec<SocketAddr> = hollow.spread.unconfirmed_members().collect();
            if !unmet.is_empty() {
                let drawn = self.rng.random_range(0..unmet.len());
                self.ask(i, index(unmet[drawn]));
            }
            self.at(self.now + ASKED_EVERY, Event::Turn { at: i, boot });
            return;
        }
        let last = hollow.last_asked;
        let next = timed(&mut hollow.cpu[Part::Spread as usize], || {
            let mut peers: Vec<SocketAddr> = hollow.membership.others().map(|peer| peer.address).collect();
            peers.sort();
            let after = |at: &&SocketAddr| last.is_none_or(|last| **at > last);
            peers.iter().find(after).or(peers.first()).copied()
        });
        hollow.last_asked = next;
        let took = next.map_or(Duration::ZERO, |to| self.ask(i, index(to)));
        self.at(self.now + took + ASKED_EVERY, Event::Turn { at: i, boot });
    }

    /// Begins an exchange; how long the asker is at it. It fails as a whole: a lost packet of the handshake
    /// waits a second, one of the data 200 ms and a round trip, and all of it has 300 ms.
    fn ask(&mut self, i: usize, to: usize) -> Duration {
        self.seen.exchanges += 1;
        let way = self.hollows[i].place.way(self.hollows[to].place);
        let connects = self.hollows[to].alive && self.links.joins(i, to);
        let lost = |rng: &mut StdRng, loss: f64| loss > 0.0 && rng.random_bool(loss);
        if !connects || lost(&mut self.rng, self.links.loss) || lost(&mut self.rng, self.links.loss) {
            self.count(i, to, Connection::of(0, 0).bytes[0] / 4);
            self.seen.failed += 1;
            return EXCHANGE;
        }
        // The program makes the frame when the connection stands. That round trip changes none of what is in
        // it but ages, which the receiver corrects by half a trip.
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let frame = timed(&mut hollow.cpu[Part::Spread as usize], || {
            frame::encode(&hollow.me, 2 * way, hollow.broker.peer_reports(now))
        });
        let boot = hollow.boot;
        let (began, sent) = (self.now, self.now + 2 * way);
        let there =
            sent + way + 2 * way * Connection::waits(frame.len()) + self.retransmits(way, frame.len());
        self.at(there, Event::Asked { to, from: i, boot, began, sent, frame });
        let whole = 4 * way;
        whole.min(EXCHANGE)
    }

    /// What lost segments of a message add.
    fn retransmits(&mut self, way: Duration, message: usize) -> Duration {
        let segments = message.div_ceil(1460) as i32;
        let whole = (1.0 - self.links.loss).powi(segments);
        if whole < 1.0 && !self.rng.random_bool(whole) {
            RETRANSMITTED_AFTER + 2 * way
        } else {
            Duration::ZERO
        }
    }

    fn answer(&mut self, i: usize, asker: usize, boot: u64, began: Duration, sent: Duration, asked: &[u8]) {
        if self.now > began + EXCHANGE {
            self.seen.failed += 1;
            return;
        }
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let answers = if self.arm == Arm::After { frame::GOSSIP_CAPABLE } else { Duration::ZERO };
        let answer = timed(&mut hollow.cpu[Part::Spread as usize], || {
            frame::encode(&hollow.me, answers, hollow.broker.peer_reports(now))
        });
        let way = hollow.place.way(self.hollows[asker].place);
        let wire = Connection::of(asked.len(), answer.len()).bytes;
        for at in [asker, i] {
            self.count(at, asker + i - at, wire.iter().sum());
        }
        let waits = 2 * way * Connection::waits(answer.len());
        let there = self.now + way + waits + self.retransmits(way, answer.len());
        if there <= began + EXCHANGE {
            let trip = there - sent;
            self.at(there, Event::Answered { to: asker, boot, trip, frame: answer });
        } else {
            self.seen.failed += 1;
        }
        let trip = 2 * way;
        self.hear(i, trip, asked);
    }

    fn at_of(&self, who: &Observer) -> SocketAddr {
        address(self.hollows.iter().position(|h| h.me == *who).unwrap_or(self.hollows.len()))
    }

    fn hear(&mut self, i: usize, trip: Duration, bytes: &[u8]) {
        let hollow = &mut self.hollows[i];
        match timed(&mut hollow.cpu[Part::Spread as usize], || frame::decode(bytes)) {
            Ok(message) if message.from != hollow.me => {
                let (trip, from, mut facts) = (trip.min(EXCHANGE), message.from, message.reports);
                match self.arm {
                    // What has gone three hops went no further before.
                    Arm::Before => {
                        let last = facts.iter_mut().filter(|told| told.hops >= MAX_EXCHANGE_HOPS);
                        last.for_each(|told| told.hops = MAX_HOPS);
                    }
                    Arm::After => {
                        if message.round_trip == frame::GOSSIP_CAPABLE {
                            let at = self.at_of(&from);
                            self.spread(i, gossip::Input::SupportConfirmed(at));
                        }
                        facts.retain(|told| !told.claim.is_contribution());
                        let input = gossip::Input::Exchanged {
                            from: from.clone(),
                            round_trip: trip,
                            reports: facts.clone(),
                        };
                        self.spread(i, input);
                    }
                }
                self.broker(i, Input::PeerReports { from, round_trip: trip, reports: facts }, true);
            }
            Ok(_) => {}
            Err(_) => self.seen.bad += 1,
        }
    }
}
