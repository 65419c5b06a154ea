//! Initiators in virtual time, a simulated network between them, and each initiator's own view of the
//! members.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_gossip::aggregation::{
    encoded_len, pack_amount, shard_of, short_key, Aggregation, Envelope, Key, KeyRow, Layout, Member,
    Message, Page, Total, DATAGRAM_OVERHEAD_BYTES, TOTAL_TTL, WHOLE_REGION_SPLIT,
};
use shaletack_gossip::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

pub const MILLISECOND: Duration = Duration::from_millis(1);
pub const SECOND: Duration = Duration::from_secs(1);

pub fn address(node: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (node / 250) as u8, (node % 250) as u8], 7700))
}

pub fn node_of(address: SocketAddr) -> usize {
    match address {
        SocketAddr::V4(address) => {
            let [_, _, high, low] = address.ip().octets();
            usize::from(high) * 250 + usize::from(low)
        }
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// A member in one of the zones; three zones make a region.
pub fn member(node: usize, incarnation: u64, zone: usize) -> Member {
    let locality = Locality { region: format!("region-{}", zone / 3), zone: format!("zone-{zone}") };
    Member { address: address(node), incarnation, locality }
}

/// A page with one key.
pub fn page_of(key: Key, sequence: u32, amount: u64) -> Page {
    Page {
        shard: shard_of(short_key(key)) as u8,
        page: 0,
        page_count: 1,
        split: WHOLE_REGION_SPLIT,
        sequence,
        layout: Layout::Full(vec![KeyRow { key: short_key(key), contributors: 1 }]),
        amounts: vec![pack_amount(amount)],
    }
}

struct Datagram {
    from: usize,
    incarnation: u64,
    to: usize,
    message: Message,
    bytes: usize,
}

enum Event {
    Datagram(Datagram),
    /// A new view of the members at one node. A node ignores a view whose number is not greater than the last
    /// one's.
    View {
        node: usize,
        number: u64,
        members: Vec<Member>,
    },
}

pub struct Node {
    pub aggregation: Aggregation,
    pub incarnation: u64,
    pub zone: usize,
    pub is_up: bool,
    pub amounts: BTreeMap<Key, u64>,
    wake_at: Duration,
    view_number: u64,
    /// The bytes sent and received, headers included.
    pub bytes: usize,
    pub datagrams: usize,
    pub longest_message: usize,
}

pub struct Network {
    pub now: Duration,
    pub rng: StdRng,
    pub nodes: Vec<Node>,
    events: BTreeMap<(Duration, u64), Event>,
    wakes: BTreeSet<(Duration, usize)>,
    event_count: u64,
    pub loss: f64,
    pub duplication: f64,
    /// Zones that exchange no messages with other zones.
    pub partitioned_zones: BTreeSet<usize>,
    incarnations: u64,
    view_round: u64,
}

impl Network {
    pub fn new(initiators: usize, zones: usize, seed: u64) -> Self {
        let mut network = Network {
            now: SECOND,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            wakes: BTreeSet::new(),
            event_count: 0,
            loss: 0.0,
            duplication: 0.0,
            partitioned_zones: BTreeSet::new(),
            incarnations: 0,
            view_round: 0,
        };
        for node in 0..initiators {
            network.join(node % zones);
        }
        network.schedule_views(Duration::ZERO);
        network
    }

    /// Updates when a node has to be called next.
    pub fn reschedule(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.wakes.remove(&(node.wake_at, index));
        node.wake_at = if node.is_up { node.aggregation.wake_at() } else { Duration::MAX };
        self.wakes.insert((node.wake_at, index));
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.event_count += 1;
        self.events.insert((self.now + after, self.event_count), event);
    }

    /// Delivers a message at once, as sent by `from`.
    pub fn deliver(&mut self, from: usize, to: usize, message: Message) {
        let incarnation = self.nodes[from].incarnation;
        let datagram = Datagram { from, incarnation, to, message, bytes: 0 };
        self.schedule(Duration::ZERO, Event::Datagram(datagram));
    }

    pub fn members(&self) -> Vec<Member> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.is_up);
        up.map(|(index, node)| member(index, node.incarnation, node.zone)).collect()
    }

    /// Schedules a view of the nodes that are up now at each node, at a random time within `within`.
    pub fn schedule_views(&mut self, within: Duration) {
        let members = self.members();
        self.begin_view_round();
        for node in 0..self.nodes.len() {
            self.schedule_view(node, within, members.clone());
        }
    }

    /// Makes the views that are scheduled from now on replace earlier ones.
    pub fn begin_view_round(&mut self) {
        self.view_round += 1;
    }

    /// Schedules a view of these members at one node, at a random time within `within`.
    pub fn schedule_view(&mut self, node: usize, within: Duration, members: Vec<Member>) {
        let after = if within.is_zero() { within } else { self.rng.random_range(Duration::ZERO..within) };
        self.schedule(after, Event::View { node, number: self.view_round, members });
    }

    pub fn set_amounts(&mut self, index: usize, amounts: &[(Key, u64)]) {
        let node = &mut self.nodes[index];
        node.amounts = amounts.iter().copied().collect();
        node.aggregation.set_amounts(self.now, amounts.to_vec());
        self.reschedule(index);
    }

    /// Sets the same amounts at all nodes.
    pub fn set_all_amounts(&mut self, amounts: &[(Key, u64)]) {
        (0..self.nodes.len()).for_each(|node| self.set_amounts(node, amounts));
    }

    pub fn join(&mut self, zone: usize) {
        self.incarnations += 1;
        let (index, incarnation) = (self.nodes.len(), self.incarnations);
        let aggregation = Aggregation::new(member(index, incarnation, zone), self.rng.random());
        self.nodes.push(Node {
            aggregation,
            incarnation,
            zone,
            is_up: true,
            amounts: BTreeMap::new(),
            wake_at: SECOND,
            view_number: 0,
            bytes: 0,
            datagrams: 0,
            longest_message: 0,
        });
    }

    pub fn kill(&mut self, index: usize) {
        self.nodes[index].is_up = false;
        self.nodes[index].amounts.clear();
        self.reschedule(index);
    }

    pub fn restart(&mut self, index: usize) {
        self.incarnations += 1;
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.aggregation = Aggregation::new(member(index, self.incarnations, node.zone), seed);
        (node.incarnation, node.is_up) = (self.incarnations, true);
        node.amounts.clear();
        self.reschedule(index);
    }

    fn latency(a: usize, b: usize) -> Duration {
        match (a == b, a / 3 == b / 3) {
            (true, _) => MILLISECOND / 2,
            (_, true) => 2 * MILLISECOND,
            _ => 60 * MILLISECOND,
        }
    }

    fn send(&mut self, from: usize, out: Vec<Envelope>) {
        for Envelope { to, message } in out {
            let to = node_of(to);
            let length = encoded_len(&message);
            let bytes = length + DATAGRAM_OVERHEAD_BYTES;
            let sender = &mut self.nodes[from];
            sender.bytes += bytes;
            sender.datagrams += 1;
            sender.longest_message = sender.longest_message.max(length);
            let incarnation = sender.incarnation;
            let (a, b) = (sender.zone, self.nodes[to].zone);
            if a != b && (self.partitioned_zones.contains(&a) || self.partitioned_zones.contains(&b)) {
                continue;
            }
            let latency = Self::latency(a, b);
            let copies = 1 + usize::from(self.rng.random_bool(self.duplication));
            for copy in 0..copies {
                if self.rng.random_bool(self.loss) {
                    continue;
                }
                let max_delay = if copy == 0 { latency / 5 } else { 700 * MILLISECOND };
                let after = latency + self.rng.random_range(Duration::ZERO..max_delay);
                let message = message.clone();
                self.schedule(after, Event::Datagram(Datagram { from, incarnation, to, message, bytes }));
            }
        }
    }

    pub fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let event = self.events.keys().next().map_or(Duration::MAX, |(due, _)| *due);
            let wake = self.wakes.first().map_or(Duration::MAX, |(due, _)| *due);
            if event.min(wake) > end {
                break;
            }
            self.now = self.now.max(event.min(wake));
            if wake < event {
                self.wake_next();
            } else if let Some((_, event)) = self.events.pop_first() {
                self.handle(event);
            }
        }
        self.now = end;
    }

    fn wake_next(&mut self) {
        if let Some((_, index)) = self.wakes.pop_first() {
            let out = self.nodes[index].aggregation.tick(self.now);
            self.reschedule(index);
            self.send(index, out);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::View { node: index, number, members } if number > self.nodes[index].view_number => {
                self.nodes[index].view_number = number;
                let others = members.into_iter().filter(|member| member.address != address(index));
                self.nodes[index].aggregation.set_members(self.now, others.collect());
                self.reschedule(index);
            }
            Event::Datagram(datagram) if self.nodes[datagram.to].is_up => {
                let Datagram { from, incarnation, to, message, bytes } = datagram;
                let node = &mut self.nodes[to];
                node.bytes += bytes;
                node.datagrams += 1;
                let out = node.aggregation.receive(self.now, address(from), incarnation, message);
                self.reschedule(to);
                self.send(to, out);
            }
            Event::View { .. } | Event::Datagram(_) => {}
        }
    }

    /// The true sum of a key over all nodes but the reader.
    pub fn true_sum(&self, reader: usize, key: Key) -> u64 {
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != reader);
        others.filter_map(|(_, node)| node.amounts.get(&key)).sum()
    }

    pub fn contributors(&self, key: Key) -> u32 {
        let contributes = |node: &&Node| node.amounts.get(&key).is_some_and(|amount| *amount > 0);
        self.nodes.iter().filter(contributes).count() as u32
    }

    pub fn total(&self, reader: usize, key: Key) -> Option<Total> {
        self.nodes[reader].aggregation.total(self.now, key)
    }

    /// Each node that is up, with each of its keys.
    pub fn readings(&self) -> Vec<(usize, Key)> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.is_up);
        up.flat_map(|(index, node)| node.amounts.keys().map(move |key| (index, *key))).collect()
    }

    /// Asserts that every node knows the exact total of each of its keys.
    pub fn assert_exact(&self) {
        for (reader, key) in self.readings() {
            let total = self.total(reader, key).unwrap_or_else(|| panic!("{reader} has no total of {key:?}"));
            assert_eq!(total.others, self.true_sum(reader, key), "{reader} {key:?} {total:?}");
            assert_eq!(total.contributors, self.contributors(key), "{reader} {key:?} {total:?}");
            assert_eq!(total.missing_cells, 0, "{reader} {key:?} {total:?}");
            assert!(total.age <= TOTAL_TTL);
        }
    }

    /// Sets random amounts of `1..max` thousandths at each node, for `each` of `volumes` volumes.
    pub fn set_random_amounts(&mut self, each: usize, volumes: u64, max: u64) {
        for index in 0..self.nodes.len() {
            let mut amounts = BTreeMap::new();
            while amounts.len() < each {
                let volume = self.rng.random_range(0..volumes);
                amounts.insert(Key::Demand(volume), self.rng.random_range(1..max));
            }
            self.set_amounts(index, &amounts.into_iter().collect::<Vec<_>>());
        }
    }
}
