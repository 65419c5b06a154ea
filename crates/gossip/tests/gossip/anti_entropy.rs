//! Tests that digests find what pushes did not deliver.

use crate::network::{address, draining, first_hand, ready, Network, Node, MILLISECOND, SECOND};
use shaletack_gossip::limits::{GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND};
use shaletack_gossip::Input;
use shaletack_observations::{Claim, Observation, Subject, OBSERVATION_LIFETIME};
use std::collections::BTreeSet;

/// Whether a node is in the zone that gets partitioned.
fn is_in_partitioned_zone(node: usize) -> bool {
    node.is_multiple_of(2) && (node / 2).is_multiple_of(3)
}

/// The subjects that either side of the partition knows and that do not expire soon.
fn lasting_subjects(network: &Network) -> BTreeSet<Subject> {
    // An observation that expires soon is not reconciled.
    let lasts = |node: &Node, known: &Observation| {
        known.age(node.clock(network.now)) + 8 * SECOND < OBSERVATION_LIFETIME
    };
    let sides = network.nodes[..2].iter();
    let known = sides.flat_map(|node| node.gossip.observations().iter().map(move |known| (node, known)));
    known.filter(|(node, known)| lasts(node, known)).map(|(_, known)| known.subject()).collect()
}

/// A zone is partitioned for a minute, while both sides observe hundreds of draining endpoints. When the
/// partition heals, these observations are not pushed any more: only digests can find what either side
/// missed. They must not exceed the byte limits.
#[test]
fn a_zone_that_was_partitioned_for_a_minute_catches_up_on_four_hundred_observations() {
    let mut network = Network::settled(60, 2, 7);
    network.partition = Some(is_in_partitioned_zone);
    for number in 0..400 {
        network.observe([0, 1][number % 2], draining(&format!("s-{number:03}")));
        network.run(75 * MILLISECOND);
    }
    let inside = network.nodes[0].gossip.observations().len();
    assert!((150..=250).contains(&inside), "node 0 should know only its own side's half: {inside}");
    network.run(15 * SECOND);
    network.partition = None;
    let is_healed = |network: &Network| {
        let subjects = lasting_subjects(network);
        let has_all =
            |node: &Node| subjects.iter().all(|subject| node.gossip.observations().get(subject).is_some());
        !subjects.is_empty() && network.nodes.iter().all(has_all)
    };
    let healed = network.now;
    assert!(network.run_until(15 * SECOND, is_healed), "not healed");
    assert!(network.now - healed < 12 * SECOND, "healed after {:?}", network.now - healed);
    for node in &network.nodes {
        let from = healed.saturating_sub(SECOND);
        let burst: usize = node.sent.iter().filter(|sent| sent.at > from).map(|sent| sent.bytes).sum();
        let seconds = (network.now - from).as_secs_f64();
        let limit = GOSSIP_BYTES_PER_SECOND * (seconds + 0.1) + GOSSIP_BURST_BYTES;
        assert!((burst as f64) <= limit, "{burst} in {seconds} s");
    }
}

fn endpoints(claim: fn(&str) -> Claim) -> impl Iterator<Item = Claim> {
    (0..400).map(move |number| claim(&format!("s-{number:03}")))
}

fn observe_all(network: &mut Network, node: usize, claim: fn(&str) -> Claim) {
    let reports = endpoints(claim).map(|claim| first_hand(&network.nodes[node].process, claim)).collect();
    network.step(node, Input::LocalObservations(reports));
}

/// A zone is partitioned for so long that both sides declare each other dead, and they observe different
/// states of four hundred endpoints. After the partition heals, all nodes have to learn the later state, long
/// before the earlier one expires.
#[test]
fn partition_sides_that_declared_each_other_dead_agree_on_four_hundred_endpoints() {
    let mut network = Network::settled(60, 2, 23);
    network.partition = Some(is_in_partitioned_zone);
    let pairs: Vec<(usize, usize)> = (0..60)
        .flat_map(|a| (0..60).map(move |b| (a, b)))
        .filter(|(a, b)| is_in_partitioned_zone(*a) != is_in_partitioned_zone(*b))
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
    let agreed = endpoints(ready).all(|claim| network.all_know(&claim));
    let missing = (0..60).map(|node| endpoints(ready).filter(|claim| !network.knows(node, claim)).count());
    assert!(agreed, "after {:?}: {:?}", network.now - healed, missing.collect::<Vec<_>>());
}

/// One process is paused, like a stopped virtual machine, while others observe draining endpoints; another
/// one restarts and knows nothing. Both miss every push, and have to catch up within seconds.
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
    // All others replace the record of its previous incarnation.
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
