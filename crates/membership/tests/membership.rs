//! Members over a network in virtual time, which may lose and delay datagrams and be partitioned.

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
struct Net {
    now: Duration,
    nodes: BTreeMap<u16, (Membership, Option<Duration>)>,
    /// By when, to whom.
    in_flight: BTreeMap<(Duration, usize), (u16, bytes::Bytes)>,
    sent: usize,
    /// Groups that hear only themselves.
    partitions: Vec<BTreeSet<u16>>,
    news: Vec<(Duration, u16, Effect)>,
    /// Of a thousand datagrams this many are lost.
    loss_per_thousand: u64,
    /// How long a datagram is under way.
    one_way_delay: Duration,
    random_state: u64,
}

impl Net {
    fn start(&mut self, me: Member, seeds: &[u16]) {
        let port = me.address.port();
        let seeds = seeds.iter().map(|p| address(*p)).collect();
        self.nodes.insert(port, (Membership::new(me, seeds, u64::from(port)), Some(self.now)));
    }

    fn step(&mut self, port: u16, input: Input) {
        let Some((node, wake)) = self.nodes.get_mut(&port) else { return };
        *wake = None;
        for effect in node.step(self.now, input) {
            match effect {
                Effect::Send { to, datagram: bytes } => {
                    assert!(bytes.len() <= MAX_DATAGRAM_BYTES);
                    self.sent += 1;
                    let together =
                        |group: &BTreeSet<u16>| group.contains(&port) && group.contains(&to.port());
                    // A linear congruence: the same losses on each run.
                    self.random_state =
                        self.random_state.wrapping_mul(6364136223846793005).wrapping_add(1442695040888963407);
                    let is_lost = (self.random_state >> 33) % 1000 < self.loss_per_thousand;
                    if !is_lost && (self.partitions.is_empty() || self.partitions.iter().any(together)) {
                        let one_way_delay = self.one_way_delay.max(2 * MS);
                        self.in_flight.insert((self.now + one_way_delay, self.sent), (to.port(), bytes));
                    }
                }
                Effect::SetTimer(at) => *wake = Some(at),
                other => self.news.push((self.now, port, other)),
            }
        }
    }

    fn pass(&mut self, span: Duration) {
        let until = self.now + span;
        while self.now < until {
            self.now += MS;
            while let Some(entry) = self.in_flight.first_entry().filter(|e| e.key().0 <= self.now) {
                let (port, bytes) = entry.remove();
                self.step(port, Input::DatagramReceived(bytes));
            }
            let due: Vec<u16> =
                self.nodes.iter().filter(|n| n.1 .1.is_some_and(|w| w <= self.now)).map(|n| *n.0).collect();
            due.into_iter().for_each(|port| self.step(port, Input::TimerExpired));
        }
    }

    fn sees(&self, port: u16) -> Vec<String> {
        let mut names: Vec<String> = self.nodes[&port].0.others().map(|p| p.name.clone()).collect();
        names.sort();
        names
    }

    fn four() -> Self {
        let mut net = Net::default();
        net.start(member("a", 1, 1), &[2]);
        net.start(member("b", 2, 1), &[1]);
        net.start(member("c", 3, 1), &[2]);
        net.start(member("d", 4, 1), &[3]);
        net.pass(5 * S);
        net
    }
}

#[test]
fn any_one_listed_member_joins_all_even_when_it_starts_later() {
    let net = Net::four();
    assert_eq!(net.sees(1), ["b", "c", "d"]);
    assert_eq!(net.sees(4), ["a", "b", "c"]);
    let mut late = Net::default();
    late.start(member("a", 1, 1), &[2]);
    late.pass(10 * S);
    assert!(late.sees(1).is_empty());
    late.start(member("b", 2, 1), &[]);
    late.pass(3 * S);
    assert_eq!((late.sees(1), late.sees(2)), (vec!["b".to_owned()], vec!["a".to_owned()]));
}

#[test]
fn a_dead_member_is_down_within_seconds_and_a_short_silence_is_not() {
    let mut net = Net::four();
    net.partitions = vec![BTreeSet::from([1, 2, 3])];
    net.pass(1500 * MS);
    net.partitions.clear();
    net.pass(10 * S);
    let downs = net.news.iter().filter(|n| matches!(n.2, Effect::MemberDown(_))).count();
    assert_eq!(downs, 0, "a silence of 1.5 s is suspicion at most");
    let died = net.now;
    net.nodes.remove(&4);
    net.pass(12 * S);
    assert_eq!(net.sees(1), ["b", "c"]);
    let noticed = net.news.iter().find(|n| matches!(&n.2, Effect::MemberDown(p) if p.name == "d")).unwrap().0;
    assert!(noticed - died < 10 * S && noticed - died >= 3 * S, "after {:?}", noticed - died);
}

/// A twentieth of all datagrams is lost and delays are long: no live member is declared down, and one that is killed is
/// down at all others within 10 s.
#[test]
fn over_a_network_that_loses_datagrams_no_live_member_is_declared_down() {
    const ALL: u16 = 150;
    let mut net = Net { loss_per_thousand: 50, one_way_delay: 30 * MS, ..Net::default() };
    for port in 1..=ALL {
        net.start(member(&format!("n{port}"), port, 1), &[1, 2]);
    }
    net.pass(25 * S);
    assert!((1..=ALL).all(|port| net.sees(port).len() == usize::from(ALL) - 1), "all have met");
    net.news.clear();
    net.pass(90 * S);
    let downs = net.news.iter().filter(|n| matches!(n.2, Effect::MemberDown(_))).count();
    assert_eq!(downs, 0, "declared down, over {ALL} members' views in 90 s");
    let died = net.now;
    net.nodes.remove(&ALL);
    net.pass(10 * S);
    let knows = |port: &u16| net.sees(*port).len() == usize::from(ALL) - 2;
    assert!((1..ALL).all(|port| knows(&port)), "not known to all after {:?}", net.now - died);
}

#[test]
fn a_graceful_leave_is_known_at_once() {
    let mut net = Net::four();
    let left = net.now;
    net.step(4, Input::Leave);
    net.nodes.remove(&4);
    net.pass(2 * S);
    assert_eq!(net.sees(1), ["b", "c"]);
    let last =
        net.news.iter().filter(|n| matches!(&n.2, Effect::MemberDown(p) if p.name == "d")).map(|n| n.0).max();
    assert!(last.unwrap() - left < 2 * S);
}

#[test]
fn a_restart_at_the_same_address_replaces_the_dead_member_without_waiting() {
    let mut net = Net::four();
    net.start(member("d", 4, 2), &[3]);
    net.pass(2 * S);
    assert_eq!(net.sees(4), ["a", "b", "c"]);
    assert_eq!(net.sees(1), ["b", "c", "d"]);
    let epoch = net.nodes[&1].0.others().find(|p| p.name == "d").unwrap().epoch;
    assert_eq!(epoch, 2);
    // One whose clock was set back comes in as well, later.
    net.start(member("d", 4, 0), &[3]);
    net.pass(30 * S);
    assert_eq!((net.sees(4).len(), net.sees(1).len()), (3, 3));
}

#[test]
fn a_healed_partition_joins_both_sides_again() {
    let mut net = Net::four();
    net.partitions = vec![BTreeSet::from([1, 2]), BTreeSet::from([3, 4])];
    net.pass(15 * S);
    assert_eq!((net.sees(1), net.sees(4)), (vec!["b".to_owned()], vec!["c".to_owned()]));
    net.partitions.clear();
    net.pass(25 * S);
    assert_eq!((net.sees(1).len(), net.sees(2).len(), net.sees(3).len(), net.sees(4).len()), (3, 3, 3, 3));
}

#[test]
fn two_processes_of_one_name_are_reported() {
    let mut net = Net::four();
    net.start(member("b", 5, 1), &[1]);
    net.pass(3 * S);
    let told: BTreeSet<u16> = net
        .news
        .iter()
        .filter(|n| matches!(&n.2, Effect::DuplicateName { known: x, joined: y } if x.name == "b" && y.name == "b"))
        .map(|n| n.1)
        .collect();
    assert!(told.contains(&2) && told.contains(&5) && told.contains(&1), "{told:?}");
    assert_eq!(net.sees(1), ["b", "b", "c", "d"]);
}

#[test]
fn noise_and_other_versions_are_rejected_and_change_nothing() {
    let mut net = Net::four();
    net.news.clear();
    for bytes in
        [&b"GET / HTTP/1.1"[..], &[], &[0xd7], &[0xd7, 9, 1, 2], &[0xd7, 1], &[0xd7, 1, 255, 255, 255, 3]]
    {
        net.step(1, Input::DatagramReceived(bytes::Bytes::copy_from_slice(bytes)));
    }
    let bad: Vec<String> = net
        .news
        .iter()
        .filter_map(|n| if let Effect::DatagramFailed(why) = &n.2 { Some(why.to_string()) } else { None })
        .collect();
    assert_eq!(bad.len(), 6, "{bad:?}");
    assert!(bad[3].starts_with("version 9"));
    assert_eq!(net.sees(1).len(), 3);
}
