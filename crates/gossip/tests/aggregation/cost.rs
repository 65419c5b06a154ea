//! Tests of the cost of the sums, and of how close they are to the true sums.

use crate::network::{Network, SECOND};
use rand::RngExt;
use shaletack_gossip::aggregation::{Key, ANSWER_BYTES_PER_SECOND, OWNER_BYTES_PER_SECOND};
use std::collections::BTreeMap;

const VOLUMES: u64 = 1000;
const SETTLE_SECONDS: usize = 4;
const MEASURED_SECONDS: usize = 6;

/// The bytes per second that an initiator sends and receives, headers included, and the accuracy of the
/// totals.
struct Cost {
    mean_bytes: f64,
    max_bytes: f64,
    /// The share of the true sum that is known, at the first percentile of all readings.
    worst_share: f64,
}

/// The true sum of a key, and the most that a total may be while amounts change.
#[derive(Clone, Copy, Default)]
struct ExpectedSum {
    sum: u64,
    max: u64,
    contributors: u32,
}

type Amounts = Vec<(Key, u64)>;

/// Measures a network. `noise` is the fraction by which amounts vary up and down every second.
fn measure(initiators: usize, zones: usize, volumes_each: usize, noise: f64) -> Cost {
    let mut network = Network::new(initiators, zones, 47);
    network.set_random_amounts(volumes_each, VOLUMES, 12_000);
    let amounts = network.nodes.iter().map(|node| node.amounts.iter());
    let means: Vec<Amounts> =
        amounts.map(|amounts| amounts.map(|(key, amount)| (*key, *amount)).collect()).collect();
    for second in 0..SETTLE_SECONDS + MEASURED_SECONDS {
        if second == SETTLE_SECONDS {
            network.nodes.iter_mut().for_each(|node| (node.bytes, node.datagrams) = (0, 0));
        }
        change_amounts(&mut network, &means, noise);
        network.run(SECOND);
    }
    let shares = known_shares(&network, &expected_sums(&network, &means, noise));
    let worst_share = shares.get(shares.len() / 100).copied().unwrap_or(1.0);
    let seconds = MEASURED_SECONDS as f64;
    let bytes: Vec<f64> = network.nodes.iter().map(|node| node.bytes as f64 / seconds).collect();
    let mean_bytes = bytes.iter().sum::<f64>() / bytes.len() as f64;
    let max_bytes = bytes.iter().copied().fold(0.0, f64::max);
    let max_datagrams = network.nodes.iter().map(|node| node.datagrams).max().unwrap_or(0) as f64 / seconds;
    println!(
        "{initiators} in {zones} zones, {volumes_each} of 1,000 volumes, noise {noise}: \
         mean {mean_bytes:.0} bytes/s, worst {max_bytes:.0} bytes/s in {max_datagrams:.0} datagrams; \
         share at the worst hundredth {worst_share:.3}"
    );
    Cost { mean_bytes, max_bytes, worst_share }
}

fn change_amounts(network: &mut Network, means: &[Amounts], noise: f64) {
    for (index, means) in means.iter().enumerate() {
        let mut amounts = means.clone();
        for (_, amount) in &mut amounts {
            *amount = (*amount as f64 * network.rng.random_range(1.0 - noise..=1.0 + noise)) as u64;
        }
        network.set_amounts(index, &amounts);
    }
}

fn expected_sums(network: &Network, means: &[Amounts], noise: f64) -> BTreeMap<Key, ExpectedSum> {
    let mut expected_sums: BTreeMap<Key, ExpectedSum> = BTreeMap::new();
    for (node, means) in network.nodes.iter().zip(means) {
        for (key, mean) in means {
            let expected = expected_sums.entry(*key).or_default();
            expected.sum += node.amounts[key];
            expected.max += (*mean as f64 * (1.0 + noise)) as u64 + 1;
            expected.contributors += 1;
        }
    }
    expected_sums
}

/// The share of the true sum that each reading knows, in ascending order.
fn known_shares(network: &Network, expected_sums: &BTreeMap<Key, ExpectedSum>) -> Vec<f64> {
    let mut shares = Vec::new();
    for (reader, key) in network.readings() {
        let ExpectedSum { sum, max, contributors } = expected_sums[&key];
        let others = sum - network.nodes[reader].amounts[&key];
        let share = network.total(reader, key).map_or(0.0, |total| {
            assert!(total.others <= max, "{reader} {key:?} {total:?} of {sum}");
            assert!(total.contributors <= contributors, "{reader} {key:?} {total:?} of {contributors}");
            if others == 0 {
                1.0
            } else {
                total.others as f64 / others as f64
            }
        });
        shares.push(share);
    }
    shares.sort_by(f64::total_cmp);
    shares
}

#[test]
fn the_cost_per_initiator_does_not_grow_with_the_fleet() {
    assert_eq!(measure(300, 9, 0, 0.0).mean_bytes, 0.0);
    let mean_bytes_of = |initiators: usize| {
        let Cost { mean_bytes, max_bytes, worst_share } = measure(initiators, 9, 100, 0.04);
        assert!(mean_bytes <= 5_500.0, "{initiators}: {mean_bytes}");
        let limit = 2.0 * (OWNER_BYTES_PER_SECOND + ANSWER_BYTES_PER_SECOND);
        assert!(max_bytes <= limit, "{initiators}: {max_bytes}");
        assert!(worst_share >= 0.9, "{initiators}: {worst_share}");
        mean_bytes
    };
    let means = [30, 100, 300, 570, 1000].map(mean_bytes_of);
    assert!(means[4] <= 1.3 * means[1], "{means:?}");
}

#[test]
fn amounts_that_jump_each_second_cost_at_most_twice_as_much() {
    let quiet = measure(100, 9, 100, 0.0).mean_bytes;
    let busy = measure(100, 9, 100, 0.3).mean_bytes;
    assert!(busy <= 2.0 * quiet, "{busy} {quiet}");
}
