//! Tests that floods cost no more than the limits allow.

use crate::network::{datagram, draining, first_hand, process, push_of, Network, MILLISECOND, SECOND};
use shaletack_gossip::limits::{GOSSIP_BURST_BYTES, GOSSIP_BYTES_PER_SECOND, MAX_DATAGRAMS_PER_SECOND};
use shaletack_gossip::Input;
use shaletack_observations::{Claim, EndpointHealth};

/// Ten initiators report failures of hundreds of endpoints per second, as after a large outage. Each
/// initiator has to stay within its byte limit, and an endpoint that drains meanwhile must not wait behind
/// the failures.
#[test]
fn a_flood_of_observations_stays_within_the_byte_limits_and_draining_endpoints_go_first() {
    let mut network = Network::settled(40, 2, 15);
    let started = network.now;
    for round in 0..40 {
        let node = round % 10;
        let process = &network.nodes[node].process;
        let failing = (0..100)
            .map(|number| {
                first_hand(
                    process,
                    Claim::Health {
                        endpoint: format!("f-{round}-{number}"),
                        health: EndpointHealth::Failing,
                    },
                )
            })
            .collect();
        network.step(node, Input::LocalObservations(failing));
        network.run(100 * MILLISECOND);
    }
    let observed_at = network.now;
    let claim = draining("s-1");
    network.observe(20, claim.clone());
    let reached = network.run_until(4 * SECOND, |network| network.all_know(&claim));
    assert!(reached, "the draining endpoint waited behind the flood");
    assert!(network.now - observed_at < 3 * SECOND, "{:?}", network.now - observed_at);
    let seconds = (network.now - started).as_secs_f64();
    for node in &network.nodes {
        let sent = node.sent_bytes();
        let limit = GOSSIP_BYTES_PER_SECOND * (seconds + 0.1) + GOSSIP_BURST_BYTES;
        assert!((sent as f64) <= limit, "{sent} bytes in {seconds} s");
    }
}

/// A faulty peer sends thousands of datagrams per second. They have to be decoded only up to the limit, and
/// the others dropped.
#[test]
fn a_flood_of_datagrams_is_read_at_the_limit() {
    let mut network = Network::settled(3, 1, 16);
    for number in 0..5000 {
        let report = first_hand(&process(1, 1), draining(&format!("x-{number}")));
        network.step(0, datagram(1, push_of(report)));
    }
    let known = network.nodes[0].gossip.observations().len();
    assert!(known as f64 <= 2.0 * MAX_DATAGRAMS_PER_SECOND + 10.0, "{known}");
    assert!(known > 100, "{known}");
}
