//! What each knows of the sum over all others while nothing fails.

use crate::network::{Network, SECOND};
use shaletack_gossip::aggregation::{shard_of, short_key, Key, Total, MAX_OWN_KEYS, MAX_PAGE_KEYS};

#[test]
fn at_rest_each_knows_the_exact_sum_of_all_others() {
    for (initiators, zones) in [(1, 1), (2, 2), (3, 1), (60, 9), (20, 1)] {
        let mut network = Network::new(initiators, zones, 7);
        network.draw_amounts(8, 20, 15);
        network.run(5 * SECOND);
        network.assert_exact();
        // What is spent at an endpoint is another key than the demand of the volume of that number.
        let mut amounts: Vec<(Key, u64)> =
            network.nodes[0].amounts.iter().map(|(key, amount)| (*key, *amount)).collect();
        amounts.extend((0..20).map(|number| (Key::SlowStartSpend(number), 3)));
        network.set_amounts(0, &amounts);
        network.run(5 * SECOND);
        network.assert_exact();
        assert_eq!(network.nodes[0].aggregation.totals(network.now).count(), 28);
    }
}

/// One in three initiators keeps its amount, and all others change theirs.
fn changes(node: &usize) -> bool {
    !node.is_multiple_of(3)
}

#[test]
fn a_change_is_known_to_all_within_four_seconds_and_none_sees_more_than_there_is() {
    let mut network = Network::new(90, 9, 11);
    let key = Key::Demand(5);
    network.set_all_amounts(&[(key, 1000), (Key::Demand(6), 10)]);
    network.run(6 * SECOND);
    // All at once, up, down and to nothing; one that has no amount reads the total all the same.
    for amount in [3000, 500, 700, 40_000, 0, 900] {
        let before: Vec<u64> = (0..90).map(|reader| network.truth(reader, key)).collect();
        (0..90).filter(changes).for_each(|node| network.set_amounts(node, &[(key, amount)]));
        for step in 1..=8 {
            network.run(SECOND / 2);
            for (reader, before) in before.iter().enumerate() {
                let truth = network.truth(reader, key);
                let total = network.total(reader, key).expect("known all the time");
                let most = truth.max(*before);
                assert!(total.others <= most, "{reader} after {step}: {total:?} of {before} to {truth}");
                assert!(total.contributors <= 90);
            }
        }
        for reader in 0..90 {
            let (truth, total) = (network.truth(reader, key), network.total(reader, key).expect("known"));
            assert!(total.others * 100 >= truth * 90, "{reader}: {total:?} of {truth}");
            assert!(total.others <= truth, "{reader}: {total:?} of {truth}");
            assert_eq!(total.contributors, network.contributors(key));
        }
        // At last within the rounding: three floats of 11 bits.
        network.run(2 * SECOND);
        for reader in 0..90 {
            let (truth, total) = (network.truth(reader, key), network.total(reader, key).expect("known"));
            let least = truth.saturating_sub(truth * 3 / 1024 + 1000);
            assert!((least..=truth).contains(&total.others), "{total:?} {truth}");
        }
    }
    // Who has no key any more is in no sum after four seconds.
    (0..90).filter(changes).for_each(|node| network.set_amounts(node, &[]));
    network.run(4 * SECOND);
    for reader in (0..90).step_by(3) {
        let total = network.total(reader, key).expect("known");
        assert_eq!((total.others, total.contributors), (29_000, 30), "{reader}");
    }
    assert!((0..90).all(|node| network.total(node, key).is_some() != changes(&node)));
}

#[test]
fn small_changes_wait_for_the_quiet_round_only() {
    let mut network = Network::new(40, 4, 23);
    let key = Key::Demand(1);
    network.set_all_amounts(&[(key, 1_000_000)]);
    network.run(6 * SECOND);
    // 3% each: held back at first, sent with the quiet round all the same.
    network.set_all_amounts(&[(key, 1_030_000)]);
    network.run(4 * SECOND);
    for reader in 0..40 {
        let total = network.total(reader, key).expect("known");
        assert!(total.others <= 39 * 1_030_000 && total.others >= 39 * 1_030_000 * 1021 / 1024, "{total:?}");
    }
}

#[test]
fn many_keys_go_in_further_datagrams_and_those_that_move_between_pages_count_once() {
    let mut network = Network::new(8, 2, 37);
    let amounts: Vec<(Key, u64)> =
        (0..MAX_OWN_KEYS as u64 + 500).map(|volume| (Key::Demand(volume), 100_000_000 - volume)).collect();
    network.set_all_amounts(&amounts);
    network.run(30 * SECOND);
    let longest = network.nodes.iter().map(|node| node.longest_message).max().expect("some");
    assert!(longest <= 1200, "{longest}");
    // Of too many keys the smallest amounts are left out. What the limits allow is known, the rest is unknown.
    for node in &network.nodes {
        let totals: Vec<(Key, Total)> = node.aggregation.totals(network.now).collect();
        assert!(totals.len() > 500 && totals.len() <= MAX_OWN_KEYS, "{}", totals.len());
        assert!(totals.iter().all(|(key, _)| *key < Key::Demand(MAX_OWN_KEYS as u64)));
        let in_bounds = |total: &Total| total.contributors <= 8 && total.others <= 700_000_000;
        assert!(totals.iter().all(|(_, total)| in_bounds(total)));
    }
    // A shard of several pages whose keys move from page to page counts each once, by its last amount.
    let keys = amounts.iter().map(|(key, _)| *key);
    let shard: Vec<(Key, u64)> =
        keys.filter(|key| shard_of(short_key(*key)) == 0).map(|key| (key, 64)).collect();
    assert!(shard.len() > 2 * MAX_PAGE_KEYS);
    network.set_all_amounts(&shard);
    network.run(12 * SECOND);
    network.assert_exact();
    (1..6).for_each(|round| halve_and_move(&mut network, &shard, round));
}

/// The first keys go, so that the others move between pages, and all amounts are halved.
fn halve_and_move(network: &mut Network, shard: &[(Key, u64)], round: usize) {
    let halved: Vec<(Key, u64)> =
        shard[round * 20..].iter().map(|(key, amount)| (*key, *amount >> round)).collect();
    network.set_all_amounts(&halved);
    for _ in 0..20 {
        network.run(SECOND / 4);
        for (reader, key) in network.readings() {
            let total = network.total(reader, key);
            let most = 7 * (64 >> (round - 1));
            let in_bounds = |total: Total| total.others <= most && total.contributors <= 8;
            assert!(total.is_none_or(in_bounds), "{total:?}");
        }
    }
    network.assert_exact();
}
