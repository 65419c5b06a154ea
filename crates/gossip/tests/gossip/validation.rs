//! Tests that invalid input from peers is rejected and does no harm.

use crate::network::{address, datagram, draining, first_hand, process, push_of, Network, SECOND};
use proptest::prelude::{any, prop, prop_assert, proptest, ProptestConfig};
use shaletack_gossip::codec::{decode, encode, Body, Item, MembershipRecord, Message, Refresh};
use shaletack_gossip::{Effect, Gossip, Input, Locality};
use shaletack_observations::{Claim, Report, MAX_HOPS, OBSERVATION_LIFETIME};

/// A faulty or malicious peer sends first-hand items in another's name, forwards contributions, or sends
/// values out of range. All of these items have to be dropped and counted.
#[test]
fn items_out_of_range_or_in_anothers_name_are_rejected() {
    let mut network = Network::settled(3, 1, 14);
    let (sender, other) = (process(1, 1), process(2, 1));
    let valid = first_hand(&sender, draining("s-1"));
    let items = vec![
        Item::Observation(first_hand(&other, draining("s-1"))),
        Item::Observation(Report { hops: 1, ..valid.clone() }),
        Item::Observation(Report { hops: MAX_HOPS + 1, observer: other.clone(), ..valid.clone() }),
        Item::Observation(Report { age: OBSERVATION_LIFETIME + SECOND, ..valid.clone() }),
        Item::Observation(first_hand(
            &sender,
            Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 9 },
        )),
        Item::Observation(first_hand(&sender, Claim::Demand { volume: 1, milli_units_per_second: 9 })),
        Item::Observation(first_hand(&sender, draining(""))),
        Item::Refresh(Refresh { observer: other.clone(), hops: 0, age: SECOND, record_ids: vec![1] }),
        Item::Refresh(Refresh {
            observer: sender.clone(),
            hops: 0,
            age: OBSERVATION_LIFETIME + SECOND,
            record_ids: vec![1],
        }),
        Item::Member(MembershipRecord {
            process: process(9, 1),
            address: address(40),
            locality: Locality { region: "x".repeat(999), zone: String::new() },
        }),
    ];
    let count = items.len();
    network.step(0, datagram(1, Body::Push(items)));
    assert_eq!(network.nodes[0].rejected, [Effect::InvalidItems { from: "n1".into(), count }]);
    assert!(network.nodes[0].gossip.observations().is_empty() && network.nodes[0].learned.is_empty());
    // An own observation that a peer forwards back is not new either.
    let own = first_hand(&network.nodes[0].process.clone(), draining("s-9"));
    network.step(0, datagram(1, push_of(Report { hops: 1, ..own })));
    assert!(network.nodes[0].gossip.observations().is_empty());
}

#[test]
fn a_refresh_of_more_hops_than_allowed_is_rejected() {
    let mut network = Network::settled(3, 1, 21);
    let invalid = Effect::InvalidItems { from: "n1".into(), count: 1 };
    for (hops, rejected) in [(MAX_HOPS, vec![]), (MAX_HOPS + 1, vec![invalid])] {
        let refresh = Refresh { observer: process(2, 1), hops, age: SECOND, record_ids: vec![1] };
        network.step(0, datagram(1, Body::Push(vec![Item::Refresh(refresh)])));
        assert_eq!(network.nodes[0].rejected, rejected, "{hops}");
    }
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    /// Random bytes, a datagram with one byte altered, a truncated one, and one with an additional byte.
    #[test]
    fn bytes_that_were_not_sent_as_a_datagram_are_rejected(
        noise in prop::collection::vec(any::<u8>(), 0..300),
        position in 0usize..200,
        flip in 1u8..=255,
        cut in 0usize..200,
    ) {
        let item = Item::Observation(first_hand(&process(1, 1), draining("s-1")));
        let good = encode(&Message { from: process(1, 1), body: Body::Push(vec![item; 3]) });
        prop_assert!(decode(&good).is_ok());
        let mut altered = good.clone();
        altered[position % good.len()] ^= flip;
        let mut gossip = Gossip::new(process(0, 1), address(0), Locality::default(), 1, SECOND);
        for bytes in [noise, altered, good[..cut % good.len()].to_vec(), [&good[..], &[0]].concat()] {
            prop_assert!(decode(&bytes).is_err());
            let effects = gossip.step(2 * SECOND, Input::Datagram { from: address(1), bytes });
            let is_rejected = |effect: &Effect| matches!(effect, Effect::DatagramRejected { .. });
            prop_assert!(effects.iter().any(is_rejected));
            prop_assert!(gossip.observations().is_empty());
        }
    }

    /// A well-formed datagram with arbitrary content is accepted or rejected, and the number of answers is
    /// bounded.
    #[test]
    fn no_message_breaks_the_receiver(
        ids in prop::collection::vec(any::<u32>(), 0..600),
        token in any::<u32>(),
        ranges in any::<u16>(),
        kind in 0u8..5,
    ) {
        let mut network = Network::settled(2, 1, 17);
        let refresh = |record_ids| {
            Item::Refresh(Refresh { observer: process(1, 1), hops: 0, age: SECOND, record_ids })
        };
        let body = match kind {
            0 => Body::Digest { token, range_hashes: ids },
            1 => Body::Differences { token, ranges, record_ids: ids },
            2 => Body::Request(ids),
            3 => Body::Records(vec![refresh(ids)]),
            _ => Body::Push(vec![refresh(ids)]),
        };
        network.observe(0, draining("s-1"));
        let before = network.nodes[0].sent.len();
        network.step(0, datagram(1, body));
        prop_assert!(network.nodes[0].sent.len() <= before + 10);
        network.run(2 * SECOND);
        prop_assert!(network.knows(0, &draining("s-1")));
    }
}
