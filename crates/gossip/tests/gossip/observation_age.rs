//! Observations keep their age on the way, and live as long as somebody sees them.

use crate::network::{
    address, datagram, draining, first_hand, process, push_of, ready, Network, MILLISECOND, SECOND,
};
use shaletack_gossip::{Effect, Gossip, Input, Locality};
use shaletack_observations::Subject;
use shaletack_observations::{Claim, Report, OBSERVATION_LIFETIME};
use std::time::Duration;

/// Clocks run off by a thousandth and latencies differ. An observation that looked younger than it is could undo a later
/// one, so no copy of it is younger than it.
#[test]
fn no_observation_looks_younger_than_it_is() {
    let mut network = Network::settled(60, 3, 10);
    let observed_at = network.now;
    network.observe(4, draining("s-1"));
    network.run(4 * SECOND);
    for (learned_at, report) in network.nodes.iter().flat_map(|node| node.learned.iter()) {
        let age = *learned_at - observed_at;
        assert!(report.age + 20 * MILLISECOND >= age, "{age:?} old, reported as {:?}", report.age);
        assert!(report.age <= age + 2 * SECOND, "nor much older: {age:?}, reported as {:?}", report.age);
    }
    for node in &network.nodes {
        let known = node.gossip.observations().get(&Subject::Readiness("s-1".into())).unwrap();
        assert!(known.age(node.clock(network.now)) + 20 * MILLISECOND >= network.now - observed_at);
    }
}

/// Endpoints drain for minutes, longer than an observation lives. Two initiators still see it, then one of them dies, then
/// nobody sees it any more.
#[test]
fn observations_that_somebody_still_sees_are_refreshed_and_others_expire() {
    let mut network = Network::settled(40, 2, 11);
    let claims: Vec<Claim> = (0..30).map(|number| draining(&format!("s-{number}"))).collect();
    let observe_all = |network: &mut Network, node: usize| {
        let process = &network.nodes[node].process;
        let reports = claims.iter().map(|what| first_hand(process, what.clone())).collect();
        network.step(node, Input::LocalObservations(reports));
    };
    let all_known = |network: &Network| claims.iter().all(|what| network.all_know(what));
    // Two of them follow a list that is read each two seconds.
    for _ in 0..100 {
        observe_all(&mut network, 3);
        observe_all(&mut network, 4);
        network.run(2 * SECOND);
        assert!(network.now < 30 * SECOND || all_known(&network), "lost at {:?}", network.now);
    }
    let mean = network.traffic(200 * SECOND).mean;
    assert!(mean < 450.0, "refreshed for {mean} bytes a second");
    // The first of the two dies, the second goes on.
    for _ in 0..40 {
        observe_all(&mut network, 4);
        network.run(2 * SECOND);
        assert!(all_known(&network), "lost at {:?}", network.now);
    }
    network.run(OBSERVATION_LIFETIME + 3 * SECOND);
    let all_expired = network.nodes.iter().all(|node| node.gossip.observations().is_empty());
    assert!(all_expired, "nobody sees it any more");
}

/// The clock of a process begins at zero with it. What is older than the process looks no younger for that, and of two
/// such observations the later one counts.
#[test]
fn an_observation_older_than_its_receiver_keeps_its_age_and_order() {
    let mut gossip = Gossip::new(process(0, 1), address(0), Locality::default(), 1, Duration::ZERO);
    let push =
        |age: Duration, what: Claim| datagram(1, push_of(Report { age, ..first_hand(&process(1, 1), what) }));
    // Drained 50 s ago and back 10 s ago; the two come in either order.
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
