//! Tests that observations keep their age between processes, and are refreshed for as long as they are made.

use crate::network::{
    address, datagram, draining, first_hand, process, push_of, ready, Network, MILLISECOND, SECOND,
};
use shaletack_gossip::{Effect, Gossip, Input, Locality};
use shaletack_observations::{Claim, Report, Subject, OBSERVATION_LIFETIME};
use std::time::Duration;

/// Clocks drift by 1/1000 and latencies differ. An observation that looked younger than it is could replace a
/// later one, so no received copy may look younger than the original.
#[test]
fn no_observation_looks_younger_than_it_is() {
    let mut network = Network::settled(60, 3, 10);
    let observed_at = network.now;
    network.observe(4, draining("s-1"));
    network.run(4 * SECOND);
    for (learned_at, report) in network.nodes.iter().flat_map(|node| node.learned.iter()) {
        let age = *learned_at - observed_at;
        assert!(report.age + 20 * MILLISECOND >= age, "{age:?} old, reported as {:?}", report.age);
        assert!(report.age <= age + 2 * SECOND, "{age:?} old, reported as much older: {:?}", report.age);
    }
    for node in &network.nodes {
        let known = node.gossip.observations().get(&Subject::Readiness("s-1".into())).unwrap();
        assert!(known.age(node.clock(network.now)) + 20 * MILLISECOND >= network.now - observed_at);
    }
}

/// Endpoints drain for minutes, longer than the lifetime of an observation. At first two initiators observe
/// them, then one of the two stops, and at last nobody does.
#[test]
fn observations_that_are_still_made_are_refreshed_and_others_expire() {
    let mut network = Network::settled(40, 2, 11);
    let claims: Vec<Claim> = (0..30).map(|number| draining(&format!("s-{number}"))).collect();
    let observe_all = |network: &mut Network, node: usize| {
        let process = &network.nodes[node].process;
        let reports = claims.iter().map(|claim| first_hand(process, claim.clone())).collect();
        network.step(node, Input::LocalObservations(reports));
    };
    let all_known = |network: &Network| claims.iter().all(|claim| network.all_know(claim));
    // Two initiators read an endpoint list every two seconds.
    for _ in 0..100 {
        observe_all(&mut network, 3);
        observe_all(&mut network, 4);
        network.run(2 * SECOND);
        assert!(network.now < 30 * SECOND || all_known(&network), "lost at {:?}", network.now);
    }
    let mean = network.traffic(200 * SECOND).mean;
    assert!(mean < 450.0, "refreshes cost {mean} bytes per second");
    // The first of the two stops observing, and the second continues.
    for _ in 0..40 {
        observe_all(&mut network, 4);
        network.run(2 * SECOND);
        assert!(all_known(&network), "lost at {:?}", network.now);
    }
    network.run(OBSERVATION_LIFETIME + 3 * SECOND);
    let all_expired = network.nodes.iter().all(|node| node.gossip.observations().is_empty());
    assert!(all_expired, "observations outlived their lifetime");
}

/// The clock of a process may start at zero. An observation from before the start must not look younger than
/// it is, and of two such observations the later one has to be kept.
#[test]
fn an_observation_older_than_its_receiver_keeps_its_age_and_order() {
    let mut gossip = Gossip::new(process(0, 1), address(0), Locality::default(), 1, Duration::ZERO);
    let push = |age: Duration, claim: Claim| {
        datagram(1, push_of(Report { age, ..first_hand(&process(1, 1), claim) }))
    };
    // The endpoint drained 50 s ago and returned 10 s ago. The later observation arrives first.
    gossip.step(SECOND, push(10 * SECOND, ready("s-1")));
    let effects = gossip.step(SECOND, push(50 * SECOND, draining("s-1")));
    let effects = [effects, gossip.step(SECOND, push(50 * SECOND, draining("s-2")))].concat();
    let learned = effects.iter().flat_map(|effect| match effect {
        Effect::Learned(reports) => reports.clone(),
        _ => Vec::new(),
    });
    let learned: Vec<(Claim, Duration)> = learned.map(|report| (report.claim, report.age)).collect();
    let known = gossip.observations().get(&Subject::Readiness("s-1".into())).map(|known| known.claim.clone());
    assert_eq!(known, Some(ready("s-1")));
    assert!(learned.iter().all(|(_, age)| *age >= 50 * SECOND), "{learned:?}");
}
