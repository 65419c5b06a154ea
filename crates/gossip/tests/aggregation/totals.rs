//! Tests of the totals that each initiator knows while nothing fails.

use crate::network::{Network, SECOND};
use shaletack_gossip::aggregation::{shard_of, short_key, Key, Total, MAX_OWN_KEYS, MAX_PAGE_KEYS};

#[test]
fn without_changes_each_knows_the_exact_sum_of_all_others() {
    for (initiators, zones) in [(1, 1), (2, 2), (3, 1), (60, 9), (20, 1)] {
        let mut network = Network::new(initiators, zones, 7);
        network.set_random_amounts(8, 20, 15);
        network.run(5 * SECOND);
        network.assert_exact();
        // The spending at an endpoint and the demand on a volume of the same number are different keys.
        let mut amounts: Vec<(Key, u64)> =
            network.nodes[0].amounts.iter().map(|(key, amount)| (*key, *amount)).collect();
        amounts.extend((0..20).map(|number| (Key::SlowStartSpend(number), 3)));
        network.set_amounts(0, &amounts);
        network.run(5 * SECOND);
        network.assert_exact();
        assert_eq!(network.nodes[0].aggregation.totals(network.now).count(), 28);
    }
}

/// Whether an initiator changes its amounts; every third one keeps them.
fn has_changes(node: &usize) -> bool {
    !node.is_multiple_of(3)
}

#[test]
fn a_change_is_known_to_all_within_four_seconds_and_no_total_exceeds_the_true_sum() {
    let mut network = Network::new(90, 9, 11);
    let key = Key::Demand(5);
    network.set_all_amounts(&[(key, 1000), (Key::Demand(6), 10)]);
    network.run(6 * SECOND);
    // All change at once: up, down and to 0. An initiator with an amount of 0 still reads the total.
    for amount in [3000, 500, 700, 40_000, 0, 900] {
        let before: Vec<u64> = (0..90).map(|reader| network.true_sum(reader, key)).collect();
        (0..90).filter(has_changes).for_each(|node| network.set_amounts(node, &[(key, amount)]));
        for step in 1..=8 {
            network.run(SECOND / 2);
            for (reader, before) in before.iter().enumerate() {
                let true_sum = network.true_sum(reader, key);
                let total = network.total(reader, key).expect("the total is known all the time");
                let limit = true_sum.max(*before);
                assert!(total.others <= limit, "{reader} after {step}: {total:?} of {before} to {true_sum}");
                assert!(total.contributors <= 90);
            }
        }
        for reader in 0..90 {
            let (true_sum, total) =
                (network.true_sum(reader, key), network.total(reader, key).expect("known"));
            assert!(total.others * 100 >= true_sum * 90, "{reader}: {total:?} of {true_sum}");
            assert!(total.others <= true_sum, "{reader}: {total:?} of {true_sum}");
            assert_eq!(total.contributors, network.contributors(key));
        }
        // In the end the error is that of the rounding, three times to 11 bits.
        network.run(2 * SECOND);
        for reader in 0..90 {
            let (true_sum, total) =
                (network.true_sum(reader, key), network.total(reader, key).expect("known"));
            let least = true_sum.saturating_sub(true_sum * 3 / 1024 + 1000);
            assert!((least..=true_sum).contains(&total.others), "{total:?} {true_sum}");
        }
    }
    // An initiator without keys is in no sum after four seconds.
    (0..90).filter(has_changes).for_each(|node| network.set_amounts(node, &[]));
    network.run(4 * SECOND);
    for reader in (0..90).step_by(3) {
        let total = network.total(reader, key).expect("known");
        assert_eq!((total.others, total.contributors), (29_000, 30), "{reader}");
    }
    assert!((0..90).all(|node| network.total(node, key).is_some() != has_changes(&node)));
}

#[test]
fn small_changes_wait_for_the_quiet_interval_only() {
    let mut network = Network::new(40, 4, 23);
    let key = Key::Demand(1);
    network.set_all_amounts(&[(key, 1_000_000)]);
    network.run(6 * SECOND);
    // A change of 3% is negligible: it is held back at first, and sent after the quiet interval.
    network.set_all_amounts(&[(key, 1_030_000)]);
    network.run(4 * SECOND);
    for reader in 0..40 {
        let total = network.total(reader, key).expect("known");
        assert!(total.others <= 39 * 1_030_000 && total.others >= 39 * 1_030_000 * 1021 / 1024, "{total:?}");
    }
}

#[test]
fn many_keys_are_sent_in_pages_and_those_that_move_between_pages_count_once() {
    let mut network = Network::new(8, 2, 37);
    let amounts: Vec<(Key, u64)> =
        (0..MAX_OWN_KEYS as u64 + 500).map(|volume| (Key::Demand(volume), 100_000_000 - volume)).collect();
    network.set_all_amounts(&amounts);
    network.run(30 * SECOND);
    let longest = network.nodes.iter().map(|node| node.longest_message).max().expect("a node");
    assert!(longest <= 1200, "{longest}");
    // If there are too many keys, those with the smallest amounts are left out. As many totals are known as
    // the limits allow.
    for node in &network.nodes {
        let totals: Vec<(Key, Total)> = node.aggregation.totals(network.now).collect();
        assert!(totals.len() > 500 && totals.len() <= MAX_OWN_KEYS, "{}", totals.len());
        assert!(totals.iter().all(|(key, _)| *key < Key::Demand(MAX_OWN_KEYS as u64)));
        let in_bounds = |total: &Total| total.contributors <= 8 && total.others <= 700_000_000;
        assert!(totals.iter().all(|(_, total)| in_bounds(total)));
    }
    // A shard has several pages, and its keys move between them. Each key counts once, by its last amount.
    let keys = amounts.iter().map(|(key, _)| *key);
    let shard: Vec<(Key, u64)> =
        keys.filter(|key| shard_of(short_key(*key)) == 0).map(|key| (key, 64)).collect();
    assert!(shard.len() > 2 * MAX_PAGE_KEYS);
    network.set_all_amounts(&shard);
    network.run(12 * SECOND);
    network.assert_exact();
    (1..6).for_each(|round| halve_and_move(&mut network, &shard, round));
}

/// Removes the first keys, so that the others move between pages, and halves all amounts.
fn halve_and_move(network: &mut Network, shard: &[(Key, u64)], round: usize) {
    let halved: Vec<(Key, u64)> =
        shard[round * 20..].iter().map(|(key, amount)| (*key, *amount >> round)).collect();
    network.set_all_amounts(&halved);
    for _ in 0..20 {
        network.run(SECOND / 4);
        for (reader, key) in network.readings() {
            let total = network.total(reader, key);
            let limit = 7 * (64 >> (round - 1));
            let in_bounds = |total: Total| total.others <= limit && total.contributors <= 8;
            assert!(total.is_none_or(in_bounds), "{total:?}");
        }
    }
    network.assert_exact();
}
