//! Membership over a simulated network in virtual time. The network can lose and delay datagrams and be
//! partitioned.

use shaletack_membership::{Effect, Input, Member, Membership, MAX_DATAGRAM_BYTES};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);

fn address(port: u16) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], port))
}

fn member(name: &str, port: u16, epoch: u64) -> Member {
    Member { name: name.into(), incarnation: u64::from(port) + epoch, epoch, address: address(port) }
}

#[derive(Default)]
struct SimulatedNetwork {
    now: Duration,
    /// The members and their pending timers, by port.
    nodes: BTreeMap<u16, (Membership, Option<Duration>)>,
    /// Datagrams and their receivers' ports, by arrival time and sequence number.
    in_flight: BTreeMap<(Duration, usize), (u16, bytes::Bytes)>,
    /// The number of datagrams sent so far.
    sent: usize,
    /// Groups whose members reach only each other. If empty, all members are connected.
    partitions: Vec<BTreeSet<u16>>,
    /// All effects but datagrams and timers, with their times and the ports of their members.
    notifications: Vec<(Duration, u16, Effect)>,
    /// The number of lost datagrams per thousand.
    loss_per_thousand: u64,
    /// The transit time of a datagram; at least 2 ms are used.
    one_way_delay: Duration,
    random_state: u64,
}

impl SimulatedNetwork {
    fn start(&mut self, me: Member, seeds: &[u16]) {
        let port = me.address.port();
        let seeds = seeds.iter().map(|p| address(*p)).collect();
        self.nodes.insert(port, (Membership::new(me, seeds, u64::from(port)), Some(self.now)));
    }

    fn step(&mut self, port: u16, input: Input) {
        let Some((node, timer)) = self.nodes.get_mut(&port) else { return };
        *timer = None;
        for effect in node.step(self.now, input) {
            match effect {
                Effect::Send { to, datagram: bytes } => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.sent += 1;
                    let is_connected =
                        |group: &BTreeSet<u16>| group.contains(&port) && group.contains(&to.port());
                    // A linear congruential generator, so that the same datagrams are lost in each run.
                    self.random_state =
                        self.random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    let is_lost = (self.random_state >> 33) % 1000 < self.loss_per_thousand;
                    if !is_lost && (self.partitions.is_empty() || self.partitions.iter().any(is_connected)) {
                        let one_way_delay = self.one_way_delay.max(2 * MS);
                        self.in_flight.insert((self.now + one_way_delay, self.sent), (to.port(), bytes));
                    }
                }
                Effect::SetTimer(at) => *timer = Some(at),
                other => self.notifications.push((self.now, port, other)),
            }
        }
    }

    fn advance(&mut self, duration: Duration) {
        let until = self.now + duration;
        while self.now < until {
            self.now += MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let (port, bytes) = entry.remove();
                self.step(port, Input::DatagramReceived(bytes));
            }
            let expired: Vec<u16> =
                self.nodes.iter().filter(|n| n.1 .1.is_some_and(|w| w <= self.now)).map(|n| *n.0).collect();
            expired.into_iter().for_each(|port| self.step(port, Input::TimerExpired));
        }
    }

    fn names_known_to(&self, port: u16) -> Vec<String> {
        let mut names: Vec<String> = self.nodes[&port].0.others().map(|p| p.name.clone()).collect();
        names.sort();
        names
    }

    fn with_four_members() -> Self {
        let mut network = SimulatedNetwork::default();
        network.start(member("a", 1, 1), &[2]);
        network.start(member("b", 2, 1), &[1]);
        network.start(member("c", 3, 1), &[2]);
        network.start(member("d", 4, 1), &[3]);
        network.advance(5 * S);
        network
    }
}

#[test]
fn any_one_listed_member_joins_all_even_when_it_starts_later() {
    let network = SimulatedNetwork::with_four_members();
    assert_eq!(network.names_known_to(1), ["b", "c", "d"]);
    assert_eq!(network.names_known_to(4), ["a", "b", "c"]);
    let mut late = SimulatedNetwork::default();
    late.start(member("a", 1, 1), &[2]);
    late.advance(10 * S);
    assert!(late.names_known_to(1).is_empty());
    late.start(member("b", 2, 1), &[]);
    late.advance(3 * S);
    assert_eq!(
        (late.names_known_to(1), late.names_known_to(2)),
        (vec!["b".to_owned()], vec!["a".to_owned()])
    );
}

#[test]
fn a_dead_member_is_down_within_seconds_and_a_short_silence_is_not() {
    let mut network = SimulatedNetwork::with_four_members();
    network.partitions = vec![BTreeSet::from([1, 2, 3])];
    network.advance(1500 * MS);
    network.partitions.clear();
    network.advance(10 * S);
    let down_count = network.notifications.iter().filter(|n| matches!(n.2, Effect::MemberDown(_))).count();
    assert_eq!(down_count, 0, "a silence of 1.5 s causes at most a suspicion");
    let died_at = network.now;
    network.nodes.remove(&4);
    network.advance(12 * S);
    assert_eq!(network.names_known_to(1), ["b", "c"]);
    let noticed_at = network
        .notifications
        .iter()
        .find(|n| matches!(&n.2, Effect::MemberDown(p) if p.name == "d"))
        .unwrap()
        .0;
    assert!(
        noticed_at - died_at < 10 * S && noticed_at - died_at >= 3 * S,
        "after {:?}",
        noticed_at - died_at
    );
}

/// With 5 % loss and a transit time of 30 ms, no live member is declared down, and all others declare a
/// killed member down within 10 s.
#[test]
fn over_a_network_that_loses_datagrams_no_live_member_is_declared_down() {
    const MEMBERS: u16 = 150;
    let mut network =
        SimulatedNetwork { loss_per_thousand: 50, one_way_delay: 30 * MS, ..SimulatedNetwork::default() };
    for port in 1..=MEMBERS {
        network.start(member(&format!("n{port}"), port, 1), &[1, 2]);
    }
    network.advance(25 * S);
    assert!(
        (1..=MEMBERS).all(|port| network.names_known_to(port).len() == usize::from(MEMBERS) - 1),
        "not all members know each other"
    );
    network.notifications.clear();
    network.advance(90 * S);
    let down_count = network.notifications.iter().filter(|n| matches!(n.2, Effect::MemberDown(_))).count();
    assert_eq!(down_count, 0, "live members were declared down among {MEMBERS} members within 90 s");
    let died_at = network.now;
    network.nodes.remove(&MEMBERS);
    network.advance(10 * S);
    let sees_it_down = |port: &u16| network.names_known_to(*port).len() == usize::from(MEMBERS) - 2;
    assert!(
        (1..MEMBERS).all(|port| sees_it_down(&port)),
        "the failure is not known to all members after {:?}",
        network.now - died_at
    );
}

#[test]
fn a_graceful_leave_is_known_within_two_seconds() {
    let mut network = SimulatedNetwork::with_four_members();
    let left_at = network.now;
    network.step(4, Input::Leave);
    network.nodes.remove(&4);
    network.advance(2 * S);
    assert_eq!(network.names_known_to(1), ["b", "c"]);
    let last = network
        .notifications
        .iter()
        .filter(|n| matches!(&n.2, Effect::MemberDown(p) if p.name == "d"))
        .map(|n| n.0)
        .max();
    assert!(last.unwrap() - left_at < 2 * S);
}

#[test]
fn a_restart_at_the_same_address_replaces_the_dead_member_without_waiting() {
    let mut network = SimulatedNetwork::with_four_members();
    network.start(member("d", 4, 2), &[3]);
    network.advance(2 * S);
    assert_eq!(network.names_known_to(4), ["a", "b", "c"]);
    assert_eq!(network.names_known_to(1), ["b", "c", "d"]);
    let epoch = network.nodes[&1].0.others().find(|p| p.name == "d").unwrap().epoch;
    assert_eq!(epoch, 2);
    // A process that restarted after its clock was set back rejoins too, but later.
    network.start(member("d", 4, 0), &[3]);
    network.advance(30 * S);
    assert_eq!((network.names_known_to(4).len(), network.names_known_to(1).len()), (3, 3));
}

#[test]
fn a_healed_partition_joins_both_sides_again() {
    let mut network = SimulatedNetwork::with_four_members();
    network.partitions = vec![BTreeSet::from([1, 2]), BTreeSet::from([3, 4])];
    network.advance(15 * S);
    assert_eq!(
        (network.names_known_to(1), network.names_known_to(4)),
        (vec!["b".to_owned()], vec!["c".to_owned()])
    );
    network.partitions.clear();
    network.advance(25 * S);
    assert_eq!(
        (
            network.names_known_to(1).len(),
            network.names_known_to(2).len(),
            network.names_known_to(3).len(),
            network.names_known_to(4).len()
        ),
        (3, 3, 3, 3)
    );
}

#[test]
fn two_processes_with_the_same_name_are_reported() {
    let mut network = SimulatedNetwork::with_four_members();
    network.start(member("b", 5, 1), &[1]);
    network.advance(3 * S);
    let is_duplicate_of_b = |effect: &Effect| match effect {
        Effect::DuplicateName { known, joined } => known.name == "b" && joined.name == "b",
        _ => false,
    };
    let reporters: BTreeSet<u16> =
        network.notifications.iter().filter(|n| is_duplicate_of_b(&n.2)).map(|n| n.1).collect();
    assert!(reporters.contains(&2) && reporters.contains(&5) && reporters.contains(&1), "{reporters:?}");
    assert_eq!(network.names_known_to(1), ["b", "b", "c", "d"]);
}

#[test]
fn invalid_datagrams_and_other_versions_are_rejected_without_effect() {
    let mut network = SimulatedNetwork::with_four_members();
    network.notifications.clear();
    for bytes in
        [&b"GET / HTTP/1.1"[..], &[], &[0xd7], &[0xd7, 9, 1, 2], &[0xd7, 1], &[0xd7, 1, 255, 255, 255, 3]]
    {
        network.step(1, Input::DatagramReceived(bytes::Bytes::copy_from_slice(bytes)));
    }
    let errors: Vec<String> = network
        .notifications
        .iter()
        .filter_map(|n| if let Effect::DatagramFailed(why) = &n.2 { Some(why.to_string()) } else { None })
        .collect();
    assert_eq!(errors.len(), 6, "{errors:?}");
    assert!(errors[3].starts_with("unsupported membership protocol version 9"));
    assert_eq!(network.names_known_to(1).len(), 3);
}
