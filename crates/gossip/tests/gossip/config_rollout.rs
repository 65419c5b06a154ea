//! Tests of aggregation over gossip: demand, and the rollout of configuration versions.

use crate::network::{Network, SECOND};
use shaletack_gossip::aggregation::Key;
use shaletack_gossip::{ConfigRollout, Input};
use std::net::SocketAddr;

#[test]
fn every_initiator_learns_the_demand_on_all_others() {
    let mut network = Network::settled(45, 3, 18);
    for node in 0..45 {
        let spend = (Key::SlowStartSpend(9), 10 * node as u64);
        network.step(node, Input::LocalAmounts(vec![(Key::Demand(7), 1000), spend]));
    }
    network.run(4 * SECOND);
    for (index, node) in network.nodes.iter().enumerate() {
        // The sum is rounded down three times, by less than 1/1000 each time.
        let demand = node.totals[&Key::Demand(7)];
        assert!(
            demand.contributors == 45 && (43_870..=44_000).contains(&demand.others),
            "{index}: {demand:?}"
        );
        // Node 0 spent nothing: it is not a contributor, and still receives the total of the others.
        let spend = node.totals[&Key::SlowStartSpend(9)];
        let all: u64 = (0..45).map(|node| 10 * node).sum();
        let expected = all - 10 * index as u64;
        assert!(
            spend.contributors == 44 && spend.others <= expected && spend.others * 1000 >= expected * 990,
            "{index}: {spend:?} of {expected}"
        );
    }
}

/// Runs for some seconds, and sets the amounts every second, as the program does.
fn run_with_amounts(network: &mut Network, seconds: usize) {
    for _ in 0..seconds {
        for node in 0..network.nodes.len() {
            network.step(node, Input::LocalAmounts(vec![(Key::Demand(node as u64), 5)]));
        }
        network.run(SECOND);
    }
}

fn counts(rollout: &ConfigRollout) -> (u64, usize, usize, bool) {
    (rollout.version, rollout.applied, rollout.initiators, rollout.is_complete())
}

/// The configuration changes 420 times a day, and each change has to be in force within 13 s. Every initiator
/// contributes to the sum of its version. If some initiators do not receive a version, the others have to
/// report how many lack it.
#[test]
fn a_rollout_is_reported_as_complete_or_with_the_number_of_initiators_that_lack_it() {
    let mut network = Network::settled(40, 2, 19);
    let previous_release = SocketAddr::from(([127, 0, 0, 1], 9));
    (0..40).for_each(|node| network.step(node, Input::ConfigVersion(Some(7))));
    run_with_amounts(&mut network, 5);
    for node in &network.nodes {
        let last = node.rollouts.last().map(|(_, rollout)| counts(rollout));
        assert_eq!(last, Some((7, 40, 40, true)));
        assert_eq!(node.rollouts.len(), 1, "one report: {:?}", node.rollouts);
    }
    // All but three initiators receive a new version.
    let changed = network.now;
    (0..37).for_each(|node| network.step(node, Input::ConfigVersion(Some(8))));
    run_with_amounts(&mut network, 13);
    for node in &network.nodes[..37] {
        let (at, last) = node.rollouts.last().copied().unwrap();
        assert_eq!(counts(&last), (8, 37, 40, false));
        assert!(at <= changed + 13 * SECOND && node.rollouts.len() == 2, "{:?}", node.rollouts);
    }
    (37..40).for_each(|node| network.step(node, Input::ConfigVersion(Some(8))));
    run_with_amounts(&mut network, 5);
    for node in &network.nodes {
        let last = node.rollouts.last().map(|(_, rollout)| (rollout.is_complete(), rollout.version));
        assert_eq!(last, Some((true, 8)));
    }
    // A configuration without a version ends the rollout reports of this process.
    network.step(5, Input::ConfigVersion(None));
    let clock = network.nodes[5].clock(network.now);
    assert_eq!(network.nodes[5].gossip.config_rollout(clock), None);
    // An initiator of the previous release does not report its configuration, so it counts as lacking the
    // version.
    network.step(0, Input::MemberUp { address: previous_release, incarnation: 5 });
    let clock = network.nodes[0].clock(network.now);
    let last = network.nodes[0].gossip.config_rollout(clock).unwrap();
    assert_eq!((last.applied, last.initiators, last.is_complete()), (40, 41, false));
}
