//! Sums over all initiators on a small network in virtual time.

use proptest::prelude::*;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_spread::sums::{
    encoded_len, pack, shard_of, short, unpack, Key, Layout, Message, Page, Sums, Total, AMOUNT_MOST,
    ANSWERS, AROUND, LASTS, OWN_KEYS, PAGE_KEYS, SHARDS, TELLS,
};
use shaletack_spread::Place;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn at(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (index / 250) as u8, (index % 250) as u8], 7700))
}

fn index_of(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => usize::from(at.ip().octets()[2]) * 250 + usize::from(at.ip().octets()[3]),
        SocketAddr::V6(_) => usize::MAX,
    }
}

fn place(zone: usize) -> Place {
    Place { region: format!("region-{}", zone / 3), zone: format!("zone-{zone}") }
}

/// How a region of few members is parted, see [`Page::split`].
const WHOLE_REGION: u8 = 8;

enum Event {
    Datagram(usize, SocketAddr, u64, Message, usize),
    /// A node's own view, and its number: a later one is never followed by an earlier one.
    View(usize, u64, Vec<(SocketAddr, u64, Place)>),
}

struct Node {
    sums: Sums,
    life: u64,
    zone: usize,
    up: bool,
    asked: BTreeMap<Key, u64>,
    wake: Duration,
    view: u64,
    bytes: usize,
    datagrams: usize,
    longest: usize,
}

impl Node {
    fn new(sums: Sums, life: u64, zone: usize) -> Self {
        let asked = BTreeMap::new();
        Node { sums, life, zone, up: true, asked, wake: S, view: 0, bytes: 0, datagrams: 0, longest: 0 }
    }
}

struct Net {
    now: Duration,
    rng: StdRng,
    nodes: Vec<Node>,
    events: BTreeMap<(Duration, u64), Event>,
    wakes: BTreeSet<(Duration, usize)>,
    number: u64,
    loss: f64,
    double: f64,
    /// Zones that nobody outside reaches.
    cut: BTreeSet<usize>,
    lives: u64,
    views: u64,
}

impl Net {
    fn new(initiators: usize, zones: usize, seed: u64) -> Self {
        let mut net = Net {
            now: S,
            rng: StdRng::seed_from_u64(seed),
            nodes: Vec::new(),
            events: BTreeMap::new(),
            wakes: BTreeSet::new(),
            number: 0,
            loss: 0.0,
            double: 0.0,
            cut: BTreeSet::new(),
            lives: 0,
            views: 0,
        };
        for index in 0..initiators {
            net.join(index % zones);
        }
        net.tell_views(Duration::ZERO);
        net
    }

    /// Looks up when a node wants to be called next.
    fn touch(&mut self, index: usize) {
        let node = &mut self.nodes[index];
        self.wakes.remove(&(node.wake, index));
        node.wake = if node.up { node.sums.wake_at() } else { Duration::MAX };
        self.wakes.insert((node.wake, index));
    }

    fn push(&mut self, after: Duration, event: Event) {
        self.number += 1;
        self.events.insert((self.now + after, self.number), event);
    }

    fn members(&self) -> Vec<(SocketAddr, u64, Place)> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
        up.map(|(index, node)| (at(index), node.life, place(node.zone))).collect()
    }

    /// Each learns who is up now, within that time, each at its own moment.
    fn tell_views(&mut self, within: Duration) {
        let members = self.members();
        self.views += 1;
        for index in 0..self.nodes.len() {
            let after = if within.is_zero() { within } else { self.rng.random_range(Duration::ZERO..within) };
            self.push(after, Event::View(index, self.views, members.clone()));
        }
    }

    fn ask(&mut self, index: usize, amounts: &[(Key, u64)]) {
        let node = &mut self.nodes[index];
        node.asked = amounts.iter().copied().collect();
        node.sums.own(self.now, amounts.to_vec());
        self.touch(index);
    }

    fn join(&mut self, zone: usize) {
        self.lives += 1;
        let (index, life) = (self.nodes.len(), self.lives);
        let sums = Sums::new(at(index), life, place(zone), self.rng.random());
        self.nodes.push(Node::new(sums, life, zone));
    }

    fn kill(&mut self, index: usize) {
        self.nodes[index].up = false;
        self.nodes[index].asked.clear();
        self.touch(index);
    }

    fn restart(&mut self, index: usize) {
        self.lives += 1;
        let seed = self.rng.random();
        let node = &mut self.nodes[index];
        node.sums = Sums::new(at(index), self.lives, place(node.zone), seed);
        (node.life, node.up) = (self.lives, true);
        node.asked.clear();
        self.touch(index);
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Message)>) {
        for (to, message) in out {
            let to = index_of(to);
            let length = encoded_len(&message) + AROUND;
            let sender = &mut self.nodes[from];
            sender.bytes += length;
            sender.datagrams += 1;
            sender.longest = sender.longest.max(length - AROUND);
            let life = sender.life;
            let (a, b) = (sender.zone, self.nodes[to].zone);
            if a != b && (self.cut.contains(&a) || self.cut.contains(&b)) {
                continue;
            }
            let way = match (a == b, a / 3 == b / 3) {
                (true, _) => MS / 2,
                (_, true) => 2 * MS,
                _ => 60 * MS,
            };
            let copies = 1 + usize::from(self.rng.random_bool(self.double));
            for copy in 0..copies {
                if self.rng.random_bool(self.loss) {
                    continue;
                }
                let late = if copy == 0 { way / 5 } else { 700 * MS };
                let way = way + self.rng.random_range(Duration::ZERO..late);
                self.push(way, Event::Datagram(to, at(from), life, message.clone(), length));
            }
        }
    }

    /// Runs for so long.
    fn run(&mut self, time: Duration) {
        let end = self.now + time;
        loop {
            let event = self.events.keys().next().map_or(Duration::MAX, |(due, _)| *due);
            let wake = self.wakes.first().map_or(Duration::MAX, |(due, _)| *due);
            if event.min(wake) > end {
                break;
            }
            self.now = self.now.max(event.min(wake));
            if wake < event {
                if let Some((_, index)) = self.wakes.pop_first() {
                    let out = self.nodes[index].sums.tick(self.now);
                    self.touch(index);
                    self.send(index, out);
                }
                continue;
            }
            match self.events.pop_first() {
                Some((_, Event::View(index, view, members))) if view > self.nodes[index].view => {
                    self.nodes[index].view = view;
                    let others: Vec<_> =
                        members.into_iter().filter(|(member, ..)| *member != at(index)).collect();
                    self.nodes[index].sums.view(self.now, &others);
                    self.touch(index);
                }
                Some((_, Event::Datagram(to, from, life, message, length))) if self.nodes[to].up => {
                    self.nodes[to].bytes += length;
                    self.nodes[to].datagrams += 1;
                    let out = self.nodes[to].sums.hear(self.now, from, life, message);
                    self.touch(to);
                    self.send(to, out);
                }
                _ => {}
            }
        }
        self.now = end;
    }

    fn truth(&self, reader: usize, key: Key) -> u64 {
        let others = self.nodes.iter().enumerate().filter(|(index, _)| *index != reader);
        others.filter_map(|(_, node)| node.asked.get(&key)).sum()
    }

    fn askers(&self, key: Key) -> u32 {
        self.nodes.iter().filter(|node| node.asked.get(&key).is_some_and(|amount| *amount > 0)).count() as u32
    }

    fn total(&self, reader: usize, key: Key) -> Option<Total> {
        self.nodes[reader].sums.total(self.now, key)
    }

    /// Each reader of each of its keys.
    fn readings(&self) -> Vec<(usize, Key)> {
        let up = self.nodes.iter().enumerate().filter(|(_, node)| node.up);
        up.flat_map(|(index, node)| node.asked.keys().map(move |key| (index, *key))).collect()
    }

    /// All know exactly what is so.
    fn assert_exact(&self) {
        for (reader, key) in self.readings() {
            let total = self.total(reader, key).unwrap_or_else(|| panic!("{reader} has no total of {key:?}"));
            assert_eq!(total.others, self.truth(reader, key), "{reader} {key:?} {total:?}");
            assert_eq!(total.count, self.askers(key), "{reader} {key:?} {total:?}");
            assert_eq!(total.missing, 0, "{reader} {key:?} {total:?}");
            assert!(total.age <= LASTS);
        }
    }
}

/// Each is asked for `each` of `volumes`, for `1..most` thousandths of each.
fn spread_out(net: &mut Net, each: usize, volumes: u64, most: u64) {
    for index in 0..net.nodes.len() {
        let mut amounts = BTreeMap::new();
        while amounts.len() < each {
            let volume = net.rng.random_range(0..volumes);
            amounts.insert(Key::Demand(volume), net.rng.random_range(1..most));
        }
        net.ask(index, &amounts.into_iter().collect::<Vec<_>>());
    }
}

#[test]
fn at_rest_each_knows_the_exact_sum_of_all_others() {
    for (initiators, zones) in [(1, 1), (2, 2), (3, 1), (60, 9), (20, 1)] {
        let mut net = Net::new(initiators, zones, 7);
        spread_out(&mut net, 8, 20, 15);
        net.run(5 * S);
        net.assert_exact();
        // What is spent of a box's budget is another key than the volume of that number.
        let mut amounts: Vec<(Key, u64)> =
            net.nodes[0].asked.iter().map(|(key, amount)| (*key, *amount)).collect();
        amounts.extend((0..20).map(|number| (Key::Spent(number), 3)));
        net.ask(0, &amounts);
        net.run(5 * S);
        net.assert_exact();
        assert_eq!(net.nodes[0].sums.totals(net.now).count(), 28);
    }
}

#[test]
fn a_change_is_known_to_all_within_four_seconds_and_none_sees_more_than_there_is() {
    let mut net = Net::new(90, 9, 11);
    let key = Key::Demand(5);
    (0..90).for_each(|index| net.ask(index, &[(key, 1000), (Key::Demand(6), 10)]));
    net.run(6 * S);
    // All at once, up, down and to nothing; one that asks for nothing reads the total all the same.
    for amounts in [3000, 500, 700, 40_000, 0, 900] {
        let before: Vec<u64> = (0..90).map(|reader| net.truth(reader, key)).collect();
        (0..90).filter(|index| index % 3 != 0).for_each(|index| net.ask(index, &[(key, amounts)]));
        for step in 1..=8 {
            net.run(S / 2);
            for (reader, before) in before.iter().enumerate() {
                let truth = net.truth(reader, key);
                let total = net.total(reader, key).expect("known all the time");
                let most = truth.max(*before);
                assert!(total.others <= most, "{reader} after {step}: {total:?} of {before} to {truth}");
                assert!(total.count <= 90);
            }
        }
        for reader in 0..90 {
            let (truth, total) = (net.truth(reader, key), net.total(reader, key).expect("known"));
            assert!(total.others * 100 >= truth * 90, "{reader}: {total:?} of {truth}");
            assert!(total.others <= truth, "{reader}: {total:?} of {truth}");
            assert_eq!(total.count, net.askers(key));
        }
        // At last within the rounding: three floats of 11 bits.
        net.run(2 * S);
        for reader in 0..90 {
            let (truth, total) = (net.truth(reader, key), net.total(reader, key).expect("known"));
            assert!(
                total.others <= truth && total.others + truth * 3 / 1024 + 1000 >= truth,
                "{total:?} {truth}"
            );
        }
    }
    // Who asks no more is in no sum after four seconds.
    (0..90).filter(|index| index % 3 != 0).for_each(|index| net.ask(index, &[]));
    net.run(4 * S);
    for reader in (0..90).step_by(3) {
        let total = net.total(reader, key).expect("known");
        assert_eq!((total.others, total.count), (29_000, 30), "{reader}");
    }
    assert!((0..90).all(|index| net.total(index, key).is_some() == (index % 3 == 0)));
}

#[test]
fn small_changes_wait_for_the_quiet_round_only() {
    let mut net = Net::new(40, 4, 23);
    let key = Key::Demand(1);
    (0..40).for_each(|index| net.ask(index, &[(key, 1_000_000)]));
    net.run(6 * S);
    // 3% each: held back at first, told with the quiet round all the same.
    (0..40).for_each(|index| net.ask(index, &[(key, 1_030_000)]));
    net.run(4 * S);
    for reader in 0..40 {
        let total = net.total(reader, key).expect("known");
        assert!(total.others <= 39 * 1_030_000 && total.others >= 39 * 1_030_000 * 1021 / 1024, "{total:?}");
    }
}

#[test]
fn the_dead_are_forgotten_within_ten_seconds_with_and_without_membership() {
    for told in [true, false] {
        let mut net = Net::new(90, 9, 13);
        spread_out(&mut net, 10, 30, 20);
        net.run(5 * S);
        net.assert_exact();
        let dead: Vec<usize> = (0..90).filter(|index| index % 3 == 1).collect();
        dead.iter().for_each(|index| net.kill(*index));
        if told {
            net.run(4 * S);
            net.tell_views(2 * S);
            net.run(6 * S);
            net.assert_exact();
        } else {
            net.run(10 * S);
        }
        for (reader, key) in net.readings() {
            if let Some(total) = net.total(reader, key) {
                assert!(total.others <= net.truth(reader, key), "{reader} {key:?} {total:?}");
                assert!(total.count <= net.askers(key));
            }
        }
    }
}

#[test]
fn an_address_that_restarts_is_counted_once() {
    let mut net = Net::new(27, 9, 17);
    let key = Key::Demand(1);
    (0..27).for_each(|index| net.ask(index, &[(key, 10)]));
    net.run(5 * S);
    for round in 0..4 {
        for index in (0..27).filter(|index| index % 4 == round) {
            net.restart(index);
            net.ask(index, &[(key, 10)]);
        }
        net.tell_views(S);
        for _ in 0..12 {
            net.run(S / 2);
            for reader in 0..27 {
                if let Some(total) = net.total(reader, key) {
                    assert!(total.others <= 260 && total.count <= 27, "{total:?}");
                }
            }
        }
        net.assert_exact();
    }
}

#[test]
fn a_zone_that_is_cut_off_knows_that_its_sum_is_not_whole_and_heals() {
    let mut net = Net::new(153, 9, 19);
    let key = Key::Demand(1);
    (0..153).for_each(|index| net.ask(index, &[(key, 10)]));
    net.run(5 * S);
    net.assert_exact();
    net.cut.insert(4);
    net.run(8 * S);
    for reader in 0..153 {
        let total = net.total(reader, key).expect("the own side's sum");
        let (others, count, missing) = if reader % 9 == 4 { (160, 17, 8) } else { (1350, 136, 1) };
        assert_eq!((total.others, total.count, total.missing), (others, count, missing), "{reader}");
    }
    // Once membership says so too, each side is whole to itself.
    let members = net.members();
    net.views += 1;
    for index in 0..153 {
        let side = |zone: usize| (zone == 4) == (index % 9 == 4);
        let own: Vec<_> = members.iter().filter(|(at, ..)| side(index_of(*at) % 9)).cloned().collect();
        let after = net.rng.random_range(Duration::ZERO..4 * S);
        net.push(after, Event::View(index, net.views, own));
    }
    net.run(52 * S);
    for reader in 0..153 {
        let total = net.total(reader, key).expect("the own side's sum");
        let (others, count) = if reader % 9 == 4 { (160, 17) } else { (1350, 136) };
        assert_eq!((total.others, total.count, total.missing), (others, count, 0), "{reader}");
    }
    net.cut.clear();
    net.tell_views(2 * S);
    net.run(7 * S);
    net.assert_exact();
}

#[test]
fn readers_whose_owners_are_all_silent_have_no_sum() {
    let mut net = Net::new(10, 1, 29);
    (0..10).for_each(|index| net.ask(index, &[(Key::Demand(1), 10), (Key::Demand(2), 10)]));
    net.run(5 * S);
    net.assert_exact();
    net.loss = 1.0;
    net.run(LASTS + S / 2);
    // Only owners know what others told them, and that runs out as well.
    for (reader, key) in net.readings() {
        let total = net.total(reader, key);
        assert!(total.is_none_or(|total| (total.others, total.count) == (0, 1)), "{reader}: {total:?}");
    }
    let unknown =
        net.readings().into_iter().filter(|(reader, key)| net.total(*reader, *key).is_none()).count();
    assert!(unknown >= 18, "{unknown} of 20");
    net.loss = 0.0;
    net.run(4 * S);
    net.assert_exact();
}

#[test]
fn a_fifth_lost_and_a_fifth_doubled_still_sums_up_and_nobody_counts_twice() {
    let mut net = Net::new(90, 9, 31);
    (net.loss, net.double) = (0.2, 0.2);
    spread_out(&mut net, 20, 60, 40);
    net.run(10 * S);
    let (mut readings, mut enough, mut unknown) = (0, 0, 0);
    for _ in 0..20 {
        net.run(S);
        for (reader, key) in net.readings() {
            let (truth, askers) = (net.truth(reader, key), net.askers(key));
            readings += 1;
            let Some(total) = net.total(reader, key) else {
                unknown += 1;
                continue;
            };
            assert!(total.others <= truth && total.count <= askers, "{total:?} of {truth}, {askers}");
            enough += usize::from(total.others * 10 >= truth * 9);
        }
    }
    println!("20% lost, 20% doubled: {readings} readings, {enough} with 90% or more, {unknown} unknown");
    assert!(enough * 100 >= readings * 90, "{enough} of {readings}");
    net.loss = 0.0;
    net.run(8 * S);
    net.assert_exact();
}

#[derive(Clone, Debug)]
enum Step {
    Run(u64),
    Kill(usize),
    Restart(usize),
    Views(u64),
    Cut(usize),
    Heal,
    Weather(u32, u32),
    Leave(usize, u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (200_u64..2500).prop_map(Step::Run),
        2 => (0_usize..30).prop_map(Step::Kill),
        2 => (0_usize..30).prop_map(Step::Restart),
        3 => (0_u64..3000).prop_map(Step::Views),
        1 => (0_usize..5).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        1 => (0_u32..30, 0_u32..50).prop_map(|(loss, double)| Step::Weather(loss, double)),
        2 => (0_usize..30, 0_u64..3).prop_map(|(node, key)| Step::Leave(node, key)),
    ]
}

/// Node n tells the (n / 3)-th power of two of key n % 3, so that a sum below 1,024 shows who is in it: if
/// anybody is in it twice, its ones are fewer than the count.
fn ask_own_bit(net: &mut Net, index: usize) {
    net.ask(index, &[(Key::Demand(index as u64 % 3), 1 << (index / 3))]);
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    #[test]
    fn whatever_happens_nobody_is_counted_twice(
        steps in proptest::collection::vec(step(), 5..40),
        seed: u64,
    ) {
        let mut net = Net::new(30, 5, seed);
        (0..30).for_each(|index| ask_own_bit(&mut net, index));
        net.run(2 * S);
        // When each was last among those who ask.
        let mut last = [net.now; 30];
        for step in steps {
            match step {
                Step::Run(ms) => {
                    let end = net.now + ms as u32 * MS;
                    while net.now < end {
                        net.run(100 * MS);
                        for (index, last) in last.iter_mut().enumerate() {
                            if !net.nodes[index].asked.is_empty() {
                                *last = net.now;
                            }
                        }
                        for (reader, key) in net.readings() {
                            let Some(total) = net.total(reader, key) else { continue };
                            let own = net.nodes[reader].asked[&key];
                            prop_assert!(total.others < 1024, "{reader} {key:?} {total:?}");
                            prop_assert_eq!(total.others & own, 0, "{} {:?} {:?}", reader, key, total);
                            prop_assert_eq!((total.others | own).count_ones(), total.count, "{:?}", total);
                            for index in (0..30).filter(|index| Key::Demand(*index as u64 % 3) == key) {
                                let is_in = total.others & (1 << (index / 3)) != 0;
                                let young = net.now <= last[index] + 10 * S;
                                prop_assert!(!is_in || young, "{index} is long gone: {reader} {total:?}");
                            }
                        }
                    }
                }
                Step::Kill(index) => net.kill(index),
                Step::Restart(index) => {
                    net.restart(index);
                    ask_own_bit(&mut net, index);
                }
                Step::Views(ms) => net.tell_views((ms as u32 + 1) * MS),
                Step::Cut(zone) => {
                    net.cut.insert(zone);
                }
                Step::Heal => net.cut.clear(),
                Step::Weather(loss, double) => {
                    (net.loss, net.double) = (f64::from(loss) / 100.0, f64::from(double) / 100.0);
                }
                Step::Leave(index, key) => {
                    if net.nodes[index].up {
                        let own = Key::Demand(index as u64 % 3);
                        let amounts = if key == 0 { vec![] } else { vec![(own, 1 << (index / 3))] };
                        net.ask(index, &amounts);
                    }
                }
            }
        }
        // And when all is well again, all know all.
        net.cut.clear();
        (net.loss, net.double) = (0.0, 0.0);
        net.tell_views(S);
        net.run(11 * S);
        net.assert_exact();
    }

    #[test]
    fn amounts_are_rounded_down_by_less_than_one_in_1024(
        amount: u64,
        other: u64,
        bits: u16,
        shift in 0_u32..64,
    ) {
        let amount = amount >> shift;
        let read = unpack(pack(amount));
        let most = amount.min(AMOUNT_MOST);
        prop_assert!(read <= most && most - read <= most / 1024, "{amount} {read}");
        prop_assert!(amount >= 1024 || read == amount);
        prop_assert!(unpack(bits) <= AMOUNT_MOST);
        prop_assert!((pack(amount) <= pack(other)) || amount > other);
    }

    #[test]
    fn whatever_a_member_says_nothing_breaks(
        messages in proptest::collection::vec(message(), 1..80),
        seed: u64,
    ) {
        let mut net = Net::new(6, 2, seed);
        (0..6).for_each(|index| net.ask(index, &[(Key::Demand(1), 10), (Key::Demand(2), u64::MAX)]));
        net.run(3 * S);
        for (gap, from, to, message) in messages {
            let life = net.nodes[from].life;
            net.push(Duration::ZERO, Event::Datagram(to, at(from), life, message, 0));
            net.run(gap as u32 * MS);
            for (reader, key) in net.readings() {
                prop_assert!(net.total(reader, key).is_none_or(|total| total.others <= AMOUNT_MOST));
            }
        }
        // Node 0 may have said what it liked of itself; of the others all is as it was.
        net.run(10 * S);
        for reader in 0..6 {
            let total = net.total(reader, Key::Demand(1));
            prop_assert!(total.is_some_and(|total| (total.others, total.count) == (50, 6)), "{total:?}");
        }
    }
}

fn page() -> impl Strategy<Value = Page> {
    let full = proptest::collection::vec((any::<[u8; 5]>(), any::<u16>()), 0..20).prop_map(|mut keys| {
        keys.sort_unstable();
        keys.dedup_by_key(|(key, _)| *key);
        Layout::Full(keys)
    });
    let mine = any::<u16>().prop_map(|count| Layout::Full(vec![(short(Key::Demand(1)), count)]));
    let layout = prop_oneof![2 => full, 3 => mine, 1 => any::<u32>().prop_map(Layout::Same)];
    let shard = prop_oneof![3 => Just(shard_of(short(Key::Demand(1))) as u8), 1 => any::<u8>()];
    let amounts = proptest::collection::vec(any::<u16>(), 0..3);
    (shard, 0_u8..10, any::<u8>(), 6_u8..10, 0_u32..60, layout, amounts).prop_map(
        |(shard, page, pages, split, seq, layout, mut amounts)| {
            if let Layout::Full(keys) = &layout {
                amounts.resize(keys.len(), u16::MAX);
            }
            Page { shard, page, pages, split, seq, layout, amounts }
        },
    )
}

fn message() -> impl Strategy<Value = (u64, usize, usize, Message)> {
    let totals = (any::<u8>(), 0_u8..3, 0_u32..60, any::<u8>(), any::<u16>()).prop_flat_map(
        |(shard, page, seq, age, missing)| {
            proptest::collection::vec(any::<(u16, u32)>(), 0..5).prop_map(move |totals| Message::Totals {
                shard,
                page,
                seq,
                age,
                missing,
                totals,
            })
        },
    );
    let lost = (any::<bool>(), any::<u8>(), any::<u8>());
    let lost = lost.prop_map(|(part, shard, page)| Message::Lost { part, shard, page });
    let (tell, part) = (page().prop_map(Message::Tell), page().prop_map(Message::Part));
    let message = prop_oneof![3 => tell, 3 => part, 1 => totals, 1 => lost];
    (0_u64..300, 0_usize..1, 1_usize..6, message)
}

#[test]
fn what_is_said_of_others_counts_only_from_the_owner() {
    let key = Key::Demand(1);
    let shard = shard_of(short(key)) as u8;
    let page = |seq, amount| Page {
        shard,
        page: 0,
        pages: 1,
        split: WHOLE_REGION,
        seq,
        layout: Layout::Full(vec![(short(key), 1)]),
        amounts: vec![pack(amount)],
    };
    let members: Vec<_> = (1..6).map(|index| (at(index), 1, place(3))).collect();
    let mut sums = Sums::new(at(0), 1, place(0), 1);
    sums.view(S, &members);
    sums.own(S, vec![(key, 10)]);
    // Of the five in the other zone exactly one is its owner; a stranger and another life are nobody.
    let mut counted = Vec::new();
    for index in 1..7 {
        for life in [2, 1] {
            let now = S * (20 * index as u32 - 10 * life as u32);
            assert!(sums.hear(now, at(index), life, Message::Part(page(1, 100))).is_empty());
            sums.tick(now + S);
            sums.tick(now + 2 * S);
            if sums.total(now + 2 * S, key).is_some_and(|total| total.others == 100) {
                counted.push((index, life));
                // The part came two seconds ago, whenever it was asked for.
                let age = sums.total(now + 2 * S, key).map(|total| total.age);
                assert!(age.is_some_and(|age| age >= 2 * S && age <= 2 * S + 20 * MS), "{age:?}");
            }
        }
    }
    assert_eq!(counted.len(), 1, "{counted:?}");
    assert_eq!(counted[0].1, 1);
    // A member of another zone can't tell here, and nobody can tell in another's name.
    let now = 200 * S;
    assert!(sums.hear(now, at(counted[0].0), 1, Message::Tell(page(9, 100))).is_empty());
}

#[test]
fn late_and_doubled_pages_change_nothing() {
    let key = Key::Demand(1);
    let shard = shard_of(short(key)) as u8;
    let tell = |seq, amount, layout| {
        Message::Tell(Page {
            shard,
            page: 0,
            pages: 1,
            split: WHOLE_REGION,
            seq,
            layout,
            amounts: vec![pack(amount)],
        })
    };
    let full = || Layout::Full(vec![(short(key), 1)]);
    let mut sums = Sums::new(at(0), 1, place(0), 1);
    sums.view(S, &[(at(1), 1, place(0))]);
    let total = |answer: &[(SocketAddr, Message)]| match answer {
        [(to, Message::Totals { totals, seq, .. })] if *to == at(1) => Some((*seq, unpack(totals[0].0))),
        _ => None,
    };
    assert_eq!(total(&sums.hear(S, at(1), 1, tell(5, 100, full()))), Some((5, 100)));
    assert_eq!(sums.hear(2 * S, at(1), 1, tell(5, 100, full())), vec![]);
    assert_eq!(sums.hear(2 * S, at(1), 1, tell(4, 900, full())), vec![]);
    assert_eq!(total(&sums.hear(3 * S, at(1), 1, tell(6, 200, full()))), Some((6, 200)));
    // Keys that are not known are asked for, and what came before stays until it runs out.
    let lost = Message::Lost { part: false, shard, page: 0 };
    assert_eq!(sums.hear(4 * S, at(1), 1, tell(7, 300, Layout::Same(1))), vec![(at(1), lost)]);
    // A later life begins anew, also with lower numbers; the earlier one is nobody then.
    sums.view(4 * S, &[(at(1), 2, place(0))]);
    assert_eq!(total(&sums.hear(5 * S, at(1), 2, tell(1, 50, full()))), Some((1, 50)));
    assert_eq!(sums.hear(6 * S, at(1), 1, tell(9, 900, full())), vec![]);
    assert_eq!(total(&sums.hear(7 * S, at(1), 2, tell(2, 50, full()))), Some((2, 50)));
}

#[test]
fn many_keys_go_in_further_datagrams_and_each_is_short_enough() {
    let mut net = Net::new(8, 2, 37);
    let amounts: Vec<(Key, u64)> =
        (0..OWN_KEYS as u64 + 500).map(|volume| (Key::Demand(volume), 100_000_000 - volume)).collect();
    (0..8).for_each(|index| net.ask(index, &amounts));
    net.run(30 * S);
    let most = net.nodes.iter().map(|node| node.longest).max().expect("some");
    assert!(most <= 1200, "{most}");
    // Of too many keys the smallest amounts are left out. What the ceilings allow is known, the rest is
    // unknown.
    for node in &net.nodes {
        let totals: Vec<(Key, Total)> = node.sums.totals(net.now).collect();
        assert!(totals.len() > 500 && totals.len() <= OWN_KEYS, "{}", totals.len());
        assert!(totals.iter().all(|(key, _)| *key < Key::Demand(OWN_KEYS as u64)));
        assert!(totals.iter().all(|(_, total)| total.count <= 8 && total.others <= 700_000_000));
    }
    // A shard of several pages whose keys move from page to page counts each once, by its last amount.
    let shard: Vec<(Key, u64)> = amounts
        .iter()
        .copied()
        .filter(|(key, _)| shard_of(short(*key)) == 0)
        .map(|(key, _)| (key, 64))
        .collect();
    assert!(shard.len() > 2 * PAGE_KEYS);
    (0..8).for_each(|index| net.ask(index, &shard));
    net.run(12 * S);
    net.assert_exact();
    let half = |round: usize| -> Vec<(Key, u64)> {
        shard[round * 20..].iter().map(|(key, amount)| (*key, *amount >> round)).collect()
    };
    for round in 1..6 {
        (0..8).for_each(|index| net.ask(index, &half(round)));
        for _ in 0..20 {
            net.run(S / 4);
            for (reader, key) in net.readings() {
                let total = net.total(reader, key);
                let most = 7 * (64 >> (round - 1));
                assert!(total.is_none_or(|total| total.others <= most && total.count <= 8), "{total:?}");
            }
        }
        net.assert_exact();
    }
}

#[test]
fn a_zone_of_many_is_parted_and_the_sums_stay_whole_here_and_elsewhere() {
    for seed in 0..4 {
        let mut net = Net::new(128, 1, seed);
        // Readers in another region.
        (0..4).for_each(|_| net.join(3));
        let keys: Vec<(Key, u64)> = (0..8).map(|volume| (Key::Demand(volume), 1)).collect();
        (0..132).for_each(|index| net.ask(index, &keys));
        net.tell_views(Duration::ZERO);
        net.run(6 * S);
        net.assert_exact();
        // One more parts the zone in two, one less makes it whole again: at each its own moment, and nobody
        // counts twice meanwhile.
        for joins in [true, false] {
            if joins {
                net.join(0);
                net.ask(132, &keys);
            } else {
                net.kill(132);
            }
            net.tell_views(3 * S);
            for _ in 0..60 {
                net.run(100 * MS);
                for (reader, key) in net.readings() {
                    let total = net.total(reader, key);
                    assert!(total.is_none_or(|total| total.others <= 132 && total.count <= 133), "{total:?}");
                }
            }
            net.run(4 * S);
            net.assert_exact();
        }
    }
}

#[test]
fn a_liar_floods_and_the_ceilings_hold() {
    let mut net = Net::new(18, 6, 43);
    (0..18).for_each(|index| net.ask(index, &[(Key::Demand(1), 10)]));
    net.run(5 * S);
    let (mut out, mut seq) = (0, 1000);
    let begin = net.now;
    let victim = 3;
    while net.now < begin + 10 * S {
        net.run(10 * MS);
        for _ in 0..20 {
            seq += 1;
            let shard = net.rng.random_range(0..SHARDS as u8);
            let mut keys: Vec<([u8; 5], u16)> = (0..PAGE_KEYS)
                .map(|_| {
                    let mut key: [u8; 5] = net.rng.random();
                    key[4] = shard;
                    (key, u16::MAX)
                })
                .collect();
            keys.sort_unstable();
            let page = Page {
                shard,
                page: net.rng.random_range(0..8),
                pages: 8,
                split: WHOLE_REGION,
                seq,
                amounts: vec![u16::MAX; keys.len()],
                layout: if seq % 3 == 0 { Layout::Same(seq) } else { Layout::Full(keys) },
            };
            let message = if seq % 2 == 0 { Message::Tell(page) } else { Message::Part(page) };
            let life = net.nodes[0].life;
            let now = net.now;
            let answers = net.nodes[victim].sums.hear(now, at(0), life, message);
            net.touch(victim);
            out += answers.iter().map(|(_, message)| encoded_len(message) + AROUND).sum::<usize>();
        }
    }
    println!("a liar's 20,000 messages: {out} bytes of answers in 10 s");
    assert!(out > 0 && out as f64 <= 11.0 * ANSWERS, "{out}");
    let sent = net.nodes[victim].bytes as f64 / 16.0;
    assert!(sent <= 2.0 * (TELLS + ANSWERS), "{sent}");
    net.run(10 * S);
    net.assert_exact();
}

#[test]
fn answers_stay_within_their_ceiling_whoever_asks() {
    let members: Vec<_> = (1..40).map(|index| (at(index), 1, place(0))).collect();
    let mut sums = Sums::new(at(0), 1, place(0), 1);
    sums.view(S, &members);
    let (mut bytes, mut seq) = (0, 0);
    for round in 0..40 {
        for index in 1..40 {
            for shard in 0..SHARDS as u8 {
                seq += 1;
                let layout = Layout::Full(vec![([1, 2, 3, 4, shard], 1)]);
                let (split, amounts) = (WHOLE_REGION, vec![1]);
                let page = Page { shard, page: 0, pages: 1, split, seq, layout, amounts };
                for (_, answer) in sums.hear(S + 250 * MS * round, at(index), 1, Message::Tell(page)) {
                    bytes += encoded_len(&answer) + AROUND;
                }
            }
        }
    }
    let (bytes, most) = (bytes as f64, 11.0 * ANSWERS);
    assert!(bytes <= most && bytes >= most / 2.0, "{bytes}");
}

/// What a second costs each, sent and received, headers included: mean, worst, and the worst's datagrams.
fn cost(initiators: usize, zones: usize, each: usize, noise: f64) -> (f64, f64, f64, f64) {
    let mut net = Net::new(initiators, zones, 47);
    spread_out(&mut net, each, 1000, 12_000);
    let wanted: Vec<Vec<(Key, u64)>> = net
        .nodes
        .iter()
        .map(|node| node.asked.iter().map(|(key, amount)| (*key, *amount)).collect())
        .collect();
    for second in 0..10 {
        if second == 4 {
            net.nodes.iter_mut().for_each(|node| (node.bytes, node.datagrams) = (0, 0));
        }
        for (index, amounts) in wanted.iter().enumerate() {
            let mut now = amounts.clone();
            for (_, amount) in &mut now {
                *amount = (*amount as f64 * net.rng.random_range(1.0 - noise..=1.0 + noise)) as u64;
            }
            net.ask(index, &now);
        }
        net.run(S);
    }
    let mut sums: BTreeMap<Key, (u64, u64, u32)> = BTreeMap::new();
    for (node, wanted) in net.nodes.iter().zip(&wanted) {
        for (key, wanted) in wanted {
            let (sum, most, count) = sums.entry(*key).or_default();
            *sum += node.asked[key];
            *most += (*wanted as f64 * (1.0 + noise)) as u64 + 1;
            *count += 1;
        }
    }
    let mut shares = Vec::new();
    for (reader, key) in net.readings() {
        let (sum, most, count) = sums[&key];
        let own = net.nodes[reader].asked[&key];
        let share = net.total(reader, key).map_or(0.0, |total| {
            assert!(total.others <= most, "{reader} {key:?} {total:?} of {sum}");
            assert!(total.count <= count, "{reader} {key:?} {total:?} of {count}");
            if sum == own {
                1.0
            } else {
                total.others as f64 / (sum - own) as f64
            }
        });
        shares.push(share);
    }
    shares.sort_by(f64::total_cmp);
    let worst = shares.get(shares.len() / 100).copied().unwrap_or(1.0);
    let bytes: Vec<f64> = net.nodes.iter().map(|node| node.bytes as f64 / 6.0).collect();
    let mean = bytes.iter().sum::<f64>() / bytes.len() as f64;
    let most = bytes.iter().copied().fold(0.0, f64::max);
    let datagrams = net.nodes.iter().map(|node| node.datagrams).max().unwrap_or(0) as f64 / 6.0;
    println!(
        "{initiators} in {zones} zones, {each} of 1,000 volumes, noise {noise}: mean {mean:.0} bytes/s, \
         worst {most:.0} bytes/s in {datagrams:.0} datagrams; share at the worst hundredth {worst:.3}"
    );
    (mean, most, datagrams, worst)
}

#[test]
fn what_a_second_costs_does_not_grow_with_the_fleet() {
    assert_eq!(cost(300, 9, 0, 0.0).0, 0.0);
    let means: Vec<f64> = [30, 100, 300, 570, 1000]
        .into_iter()
        .map(|initiators| {
            let (mean, most, _, share) = cost(initiators, 9, 100, 0.04);
            assert!(mean <= 5_500.0, "{initiators}: {mean}");
            assert!(most <= 2.0 * (TELLS + ANSWERS), "{initiators}: {most}");
            assert!(share >= 0.9, "{initiators}: {share}");
            mean
        })
        .collect();
    assert!(means[4] <= 1.3 * means[1], "{means:?}");
}

#[test]
fn amounts_that_jump_each_second_cost_at_most_twice_as_much() {
    let (quiet, ..) = cost(100, 9, 100, 0.0);
    let (busy, ..) = cost(100, 9, 100, 0.3);
    assert!(busy <= 2.0 * quiet, "{busy} {quiet}");
}

/// A page of one key.
fn page_of(key: Key, (page, pages): (u8, u8), seq: u32, amount: u64) -> Page {
    let layout = Layout::Full(vec![(short(key), 1)]);
    let shard = shard_of(short(key)) as u8;
    Page { shard, page, pages, split: WHOLE_REGION, seq, layout, amounts: vec![pack(amount)] }
}

/// What a member at that address is answered when it tells 10: the sum and the number of initiators in it.
fn answer(sums: &mut Sums, now: Duration, member: usize, key: Key, seq: u32) -> Option<(u64, u32)> {
    let out = sums.hear(now, at(member), 1, Message::Tell(page_of(key, (0, 1), seq, 10)));
    match &out[..] {
        [(to, Message::Totals { totals, .. })] if *to == at(member) => {
            Some((unpack(totals[0].0), totals[0].1))
        }
        _ => None,
    }
}

#[test]
fn a_contribution_goes_at_once_when_membership_has_that_life_no_more() {
    let key = Key::Demand(1);
    for (later, other) in [(vec![(at(1), 2, place(0))], "another life"), (vec![], "nobody")] {
        let mut sums = Sums::new(at(0), 1, place(0), 1);
        sums.view(S, &[(at(1), 1, place(0)), (at(2), 1, place(0))]);
        sums.hear(S, at(1), 1, Message::Tell(page_of(key, (0, 1), 1, 100)));
        assert_eq!(answer(&mut sums, S, 2, key, 1), Some((110, 2)));
        sums.view(S + 300 * MS, &[&[(at(2), 1, place(0))], &later[..]].concat());
        assert_eq!(answer(&mut sums, S + 300 * MS, 2, key, 2), Some((10, 1)), "{other} is there");
    }
}

#[test]
fn a_new_owners_part_replaces_all_that_the_owner_before_it_said() {
    let key = Key::Demand(1);
    let mut owners = 0;
    for (before, after) in [(1, 2), (2, 1)] {
        let mut sums = Sums::new(at(0), 1, place(0), 1);
        let others = [(at(9), 1, place(0)), (at(before), 1, place(3)), (at(after), 1, place(3))];
        sums.view(S, &others);
        sums.hear(S, at(before), 1, Message::Part(page_of(key, (1, 2), 50, 100)));
        // One of the two is the owner of the key there.
        if answer(&mut sums, S, 9, key, 1) == Some((10, 1)) {
            continue;
        }
        owners += 1;
        sums.view(S + 100 * MS, &[others[0].clone(), others[2].clone()]);
        sums.hear(S + 200 * MS, at(after), 1, Message::Part(page_of(key, (0, 2), 1, 30)));
        assert_eq!(answer(&mut sums, S + 300 * MS, 9, key, 2), Some((40, 2)));
    }
    assert_eq!(owners, 1);
}

#[test]
fn a_total_ends_four_seconds_after_its_oldest_part_came() {
    let keys: Vec<(Key, u64)> = (0..64).map(|volume| (Key::Demand(volume), 10)).collect();
    let mut sums = Sums::new(at(0), 1, place(0), 1);
    let now = 100 * S;
    sums.view(now, &[(at(1), 1, place(0))]);
    sums.own(now, keys.clone());
    let asked = now + 200 * MS;
    let out = sums.tick(asked);
    let told = out.iter().find_map(|(_, m)| if let Message::Tell(page) = m { Some(page) } else { None });
    let Page { shard, page, seq, amounts, .. } = told.expect("a shard whose owner is the other").clone();
    let totals = vec![(pack(500), 2); amounts.len()];
    let totals = Message::Totals { shard, page, seq, age: 150, missing: 0, totals };
    // Half a second on the way, and its oldest part was three seconds old when it was asked for.
    sums.hear(asked + 500 * MS, at(1), 1, totals);
    let key =
        keys.iter().find(|(key, _)| shard_of(short(*key)) == usize::from(shard)).expect("one of them").0;
    let total = Total { others: 490, count: 2, age: 3500 * MS, missing: 0 };
    assert_eq!(sums.total(asked + 500 * MS, key), Some(total));
    assert!(sums.total(asked + S, key).is_some());
    assert_eq!(sums.total(asked + S + MS, key), None);
}

#[test]
fn of_all_bits_none_read_as_more_than_the_greatest_amount() {
    let amounts: Vec<u64> = (0..=u16::MAX).map(unpack).collect();
    assert!(amounts.is_sorted());
    assert_eq!(amounts.last(), Some(&AMOUNT_MOST));
    assert!(amounts.iter().all(|amount| unpack(pack(*amount)) == *amount));
}
