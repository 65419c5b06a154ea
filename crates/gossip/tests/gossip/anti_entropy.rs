//! Digests make up for what pushes missed.

use crate::network::{address, draining, first_hand, ready, Network, Node, MILLISECOND, SECOND};
use shaletack_gossip::limits::{GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND};
use shaletack_gossip::Input;
use shaletack_observations::Subject;
use shaletack_observations::{Claim, Observation, OBSERVATION_LIFETIME};
use std::collections::BTreeSet;

/// The nodes of one zone.
fn is_in_cut_zone(node: usize) -> bool {
    node.is_multiple_of(2) && (node / 2).is_multiple_of(3)
}

/// The topics that either side knows and that nobody is about to forget.
fn lasting_topics(network: &Network) -> BTreeSet<Subject> {
    // What has little left to live is worth nobody's while.
    let lasts = |node: &Node, known: &Observation| {
        known.age(node.clock(network.now)) + 8 * SECOND < OBSERVATION_LIFETIME
    };
    let sides = network.nodes[..2].iter();
    let known = sides.flat_map(|node| node.gossip.observations().iter().map(move |known| (node, known)));
    known.filter(|(node, known)| lasts(node, known)).map(|(_, known)| known.subject()).collect()
}

/// A zone is cut off for a minute. Meanwhile both sides see hundreds of endpoints drain. When the cut heals, nobody pushes
/// these any more: only digests can tell either side what it missed, and they must not flood the network with it.
#[test]
fn a_zone_that_was_partitioned_for_a_minute_catches_up_on_four_hundred_observations() {
    let mut network = Network::settled(60, 2, 7);
    network.partition = Some(is_in_cut_zone);
    for number in 0..400 {
        network.observe([0, 1][number % 2], draining(&format!("s-{number:03}")));
        network.run(75 * MILLISECOND);
    }
    let inside = network.nodes[0].gossip.observations().len();
    assert!((150..=250).contains(&inside), "its own half: {inside}");
    network.run(15 * SECOND);
    network.partition = None;
    let is_healed = |network: &Network| {
        let topics = lasting_topics(network);
        let has_all =
            |node: &Node| topics.iter().all(|topic| node.gossip.observations().get(topic).is_some());
        !topics.is_empty() && network.nodes.iter().all(has_all)
    };
    let healed = network.now;
    assert!(network.run_until(15 * SECOND, is_healed), "not healed");
    assert!(network.now - healed < 12 * SECOND, "healed after {:?}", network.now - healed);
    for node in &network.nodes {
        let from = healed.saturating_sub(SECOND);
        let burst: usize = node.sent.iter().filter(|sent| sent.at > from).map(|sent| sent.bytes).sum();
        let seconds = (network.now - from).as_secs_f64();
        let most = GOSSIP_BYTES_PER_SECOND * (seconds + 0.1) + GOSSIP_BURST_BYTES;
        assert!((burst as f64) <= most, "{burst} in {seconds} s");
    }
}

fn endpoints(claim: fn(&str) -> Claim) -> impl Iterator<Item = Claim> {
    (0..400).map(move |number| claim(&format!("s-{number:03}")))
}

fn observe_all(network: &mut Network, node: usize, claim: fn(&str) -> Claim) {
    let reports = endpoints(claim).map(|what| first_hand(&network.nodes[node].process, what)).collect();
    network.step(node, Input::LocalObservations(reports));
}

/// A zone is cut off for so long that both sides take each other for dead, and they come to think otherwise of four hundred
/// endpoints. After they have met again, the later state has to be with all soon, long before the earlier one expires.
#[test]
fn sides_that_took_each_other_for_dead_agree_on_four_hundred_endpoints() {
    let mut network = Network::settled(60, 2, 23);
    network.partition = Some(is_in_cut_zone);
    let pairs: Vec<(usize, usize)> = (0..60)
        .flat_map(|a| (0..60).map(move |b| (a, b)))
        .filter(|(a, b)| is_in_cut_zone(*a) != is_in_cut_zone(*b))
        .collect();
    network.run(8 * SECOND);
    for (a, b) in &pairs {
        network.step(*a, Input::MemberDown { address: address(*b), incarnation: 1 });
    }
    network.run(20 * SECOND);
    observe_all(&mut network, 0, draining);
    observe_all(&mut network, 1, draining);
    network.run(15 * SECOND);
    observe_all(&mut network, 1, ready);
    network.run(15 * SECOND);
    network.partition = None;
    for (a, b) in &pairs {
        network.step(*a, Input::MemberUp { address: address(*b), incarnation: 1 });
    }
    let healed = network.now;
    network.run(16 * SECOND);
    let agreed = endpoints(ready).all(|what| network.all_know(&what));
    let missing = (0..60).map(|node| endpoints(ready).filter(|what| !network.knows(node, what)).count());
    assert!(agreed, "after {:?}: {:?}", network.now - healed, missing.collect::<Vec<_>>());
}

/// One process is paused, as by a stopped virtual machine, while others see endpoints drain; another one restarts and
/// knows nothing. Both miss every push, and catch up within seconds.
#[test]
fn a_process_that_was_paused_and_one_that_restarts_catch_up_by_digests() {
    let mut network = Network::settled(50, 2, 12);
    network.paused = BTreeSet::from([7]);
    for node in 0..20 {
        network.observe(node, draining(&format!("s-{node}")));
        network.run(SECOND);
    }
    network.paused.clear();
    network.restart(9, 2);
    network.step(9, Input::SupportConfirmed(address(1)));
    let knows_all = |network: &Network, node| {
        (0..20).all(|number| network.knows(node, &draining(&format!("s-{number}"))))
    };
    assert!(network.run_until(6 * SECOND, |network| knows_all(network, 7) && knows_all(network, 9)));
    let records = |network: &Network| network.nodes[9].gossip.membership_records().count();
    assert!(network.run_until(8 * SECOND, |network| records(network) == 49), "{} records", records(&network));
    // And all know the record of its new incarnation, not of the one before.
    let incarnations = |node: &Node| -> Vec<u64> {
        let records = node.gossip.membership_records().filter(|record| record.address == address(9));
        records.map(|record| record.process.incarnation).collect()
    };
    let is_replaced = |network: &Network| {
        let mut others = network.nodes.iter().enumerate().filter(|(node, _)| *node != 9);
        others.all(|(_, node)| incarnations(node) == [2])
    };
    assert!(network.run_until(8 * SECOND, is_replaced));
}
