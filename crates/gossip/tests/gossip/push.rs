//! Tests that updates reach all initiators soon, at a bounded cost.

use crate::network::{
    address, datagram, draining, first_hand, process, push_of, ready, sent_bodies, Network, MILLISECOND,
    SECOND,
};
use shaletack_gossip::codec::{Body, Item};
use shaletack_gossip::Input;
use shaletack_observations::{Claim, EndpointHealth, Report};
use std::collections::BTreeSet;

/// The latency between regions is 60 ms, and one datagram in twenty is lost.
#[test]
fn an_observation_reaches_all_within_seconds_at_a_cost_that_does_not_grow_with_the_fleet() {
    let mut means = Vec::new();
    for count in [30, 180] {
        let mut network = Network::settled(count, 3, 5);
        network.loss = 0.05;
        network.run(10 * SECOND);
        let idle = network.traffic(10 * SECOND).mean;
        let mut took = Vec::new();
        for number in 0..10 {
            let started = network.now;
            let claim = draining(&format!("s-{number}"));
            network.observe(number * 7 % count, claim.clone());
            let reached = network.run_until(6 * SECOND, |network| network.all_know(&claim));
            assert!(reached, "{count}: {number} did not reach all");
            took.push(network.now - started);
            network.run(500 * MILLISECOND);
        }
        took.sort();
        assert!(took[5] < 1500 * MILLISECOND, "{count}: {took:?}");
        network.clear_sent();
        network.observe(1, draining("s-last"));
        network.run(10 * SECOND);
        let traffic = network.traffic(10 * SECOND);
        let (max, mean) = (traffic.max, traffic.mean);
        assert!(idle < 300.0 && mean < 400.0 && max < 900.0, "{count}: {idle} {mean} {max}");
        means.push(mean);
    }
    assert!(means[1] < 1.3 * means[0], "the cost per initiator grows with the fleet: {means:?}");
}

#[test]
fn an_event_that_all_observe_at_once_costs_each_a_few_datagrams() {
    let mut network = Network::settled(120, 3, 6);
    let claim = draining("s-1");
    (0..120).for_each(|node| network.observe(node, claim.clone()));
    network.run(600 * MILLISECOND);
    let traffic = network.traffic(SECOND);
    let (max, mean) = (traffic.max, traffic.mean);
    assert!(mean < 1500.0 && max < 2500.0, "{mean} {max}");
    let learned: usize = network.nodes.iter().map(|node| node.learned.len()).sum();
    assert_eq!(learned, 0, "no initiator should learn what it observes itself");
}

/// The network loses one datagram in five and duplicates three in ten. Observations still have to reach all,
/// only later.
#[test]
fn with_a_fifth_lost_and_a_third_duplicated_observations_still_reach_all() {
    let mut network = Network::settled(90, 3, 8);
    (network.loss, network.duplication) = (0.2, 0.3);
    for number in 0..8 {
        let claim = draining(&format!("s-{number}"));
        network.observe(number * 11, claim.clone());
        assert!(network.run_until(8 * SECOND, |network| network.all_know(&claim)), "{number}");
    }
}

/// An endpoint flaps: it drains and returns every second, observed by two initiators in turn. Updates about
/// the endpoint overtake each other, and still all initiators have to end up with its last state.
#[test]
fn all_learn_the_last_state_of_an_endpoint_that_flaps_five_times() {
    let mut network = Network::settled(60, 3, 9);
    for turn in 0..5 {
        network.observe(turn % 2, draining("s-1"));
        network.run(SECOND);
        network.observe(turn % 2, ready("s-1"));
        network.run(SECOND);
    }
    assert!(network.run_until(3 * SECOND, |network| network.all_know(&ready("s-1"))));
    network.observe(3, draining("s-1"));
    assert!(network.run_until(3 * SECOND, |network| network.all_know(&draining("s-1"))));
}

/// An update is pushed nine times after no or five redundant receipts, and not at all after six.
#[test]
fn an_update_goes_to_three_peers_in_three_rounds_and_stops_after_six_redundant_receipts() {
    for redundant in [0, 5, 6] {
        let mut network = Network::settled(8, 1, 18);
        let mut now = network.nodes[0].clock(network.now);
        let gossip = &mut network.nodes[0].gossip;
        gossip.step(now, Input::LocalObservations(vec![first_hand(&process(0, 1), draining("s-1"))]));
        for _ in 0..redundant {
            gossip.step(now, datagram(1, push_of(first_hand(&process(1, 1), draining("s-1")))));
        }
        let mut rounds = Vec::new();
        for _ in 0..1000 {
            now += MILLISECOND;
            let sent = sent_bodies(&gossip.step(now, Input::TimerFired));
            let pushes = sent.iter().filter(|(_, body)| matches!(body, Body::Push(_)));
            let to: Vec<_> = pushes.map(|(to, _)| *to).collect();
            if !to.is_empty() {
                assert_eq!(
                    to.iter().collect::<BTreeSet<_>>().len(),
                    to.len(),
                    "a peer was chosen twice: {to:?}"
                );
                rounds.push(to.len());
            }
        }
        let expected = if redundant < 6 { vec![3, 3, 3] } else { vec![] };
        assert_eq!(rounds, expected, "{redundant} redundant receipts");
    }
}

#[test]
fn a_peer_that_pushes_an_outdated_observation_gets_the_newer_one() {
    let mut network = Network::settled(3, 1, 19);
    network.observe(0, ready("s-1"));
    let now = network.nodes[0].clock(network.now);
    let outdated = Report { age: 30 * SECOND, ..first_hand(&process(1, 1), draining("s-1")) };
    let effects = network.nodes[0].gossip.step(now, datagram(1, push_of(outdated)));
    let newer = Body::Records(vec![Item::Observation(first_hand(&process(0, 1), ready("s-1")))]);
    assert_eq!(sent_bodies(&effects), [(address(1), newer)]);
    assert!(network.knows(0, &ready("s-1")));
}

#[test]
fn draining_endpoints_go_first_when_updates_exceed_a_datagram() {
    let mut network = Network::settled(5, 1, 22);
    let now = network.nodes[0].clock(network.now);
    let own = process(0, 1);
    let failing = (0..100).map(|number| {
        first_hand(&own, Claim::Health { endpoint: format!("f-{number}"), health: EndpointHealth::Failing })
    });
    let draining_last = [first_hand(&own, draining("a-1")), first_hand(&own, draining("z-1"))];
    let reports = failing.chain(draining_last).collect();
    let gossip = &mut network.nodes[0].gossip;
    gossip.step(now, Input::LocalObservations(reports));
    let sent = sent_bodies(&gossip.step(now + 20 * MILLISECOND, Input::TimerFired));
    let pushed =
        sent.iter().find_map(|(_, body)| if let Body::Push(items) = body { Some(items) } else { None });
    let pushed = pushed.expect("the updates were not pushed");
    assert!(pushed.len() > 10 && pushed.len() < 100, "{}", pushed.len());
    for (item, endpoint) in pushed.iter().zip(["a-1", "z-1"]) {
        assert!(matches!(item, Item::Observation(report) if report.claim == draining(endpoint)), "{item:?}");
    }
}
