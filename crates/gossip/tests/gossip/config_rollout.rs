//! Aggregation goes beside updates: demand, and who has which configuration.

use crate::network::{Network, SECOND};
use shaletack_gossip::aggregation::Key;
use shaletack_gossip::{ConfigRollout, Input};
use std::net::SocketAddr;

#[test]
fn each_knows_what_all_others_are_asked_for() {
    let mut network = Network::settled(45, 3, 18);
    for node in 0..45 {
        let spend = (Key::SlowStartSpend(9), 10 * node as u64);
        network.step(node, Input::LocalAmounts(vec![(Key::Demand(7), 1000), spend]));
    }
    network.run(4 * SECOND);
    for (index, node) in network.nodes.iter().enumerate() {
        // Rounded down three times, by less than a thousandth each.
        let demand = node.totals[&Key::Demand(7)];
        assert!(
            demand.contributors == 45 && (43_870..=44_000).contains(&demand.others),
            "{index}: {demand:?}"
        );
        // The first one spent nothing, so adds nobody, and learns of the others all the same.
        let spend = node.totals[&Key::SlowStartSpend(9)];
        let all: u64 = (0..45).map(|node| 10 * node).sum();
        let due = all - 10 * index as u64;
        assert!(
            spend.contributors == 44 && spend.others <= due && spend.others * 1000 >= due * 990,
            "{index}: {spend:?} of {due}"
        );
    }
}

/// Keeps amounts coming, as the program does, for so many seconds.
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

/// The configuration changes 420 times a day, each to be in force within 13 s. Whoever has a version says so; where some
/// initiators do not get it, the others report how many these are.
#[test]
fn a_version_is_reported_as_in_force_everywhere_or_by_how_many_lack_it() {
    let mut network = Network::settled(40, 2, 19);
    let previous_release = SocketAddr::from(([127, 0, 0, 1], 9));
    (0..40).for_each(|node| network.step(node, Input::ConfigVersion(Some(7))));
    run_with_amounts(&mut network, 5);
    for node in &network.nodes {
        let last = node.rollouts.last().map(|(_, rollout)| counts(rollout));
        assert_eq!(last, Some((7, 40, 40, true)));
        assert_eq!(node.rollouts.len(), 1, "one report: {:?}", node.rollouts);
    }
    // A new version at all but three.
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
    // Who reads a file that names none has none in force.
    network.step(5, Input::ConfigVersion(None));
    let clock = network.nodes[5].clock(network.now);
    assert_eq!(network.nodes[5].gossip.config_rollout(clock), None);
    // One of the previous release says nothing of its configuration: so it is not known to have it.
    network.step(0, Input::MemberUp { address: previous_release, incarnation: 5 });
    let clock = network.nodes[0].clock(network.now);
    let last = network.nodes[0].gossip.config_rollout(clock).unwrap();
    assert_eq!((last.applied, last.initiators, last.is_complete()), (40, 41, false));
}
