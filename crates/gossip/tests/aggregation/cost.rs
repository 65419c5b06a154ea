//! What the sums cost, and how near the truth they are.

use crate::network::{Network, SECOND};
use rand::RngExt;
use shaletack_gossip::aggregation::{Key, ANSWER_BYTES_PER_SECOND, OWNER_BYTES_PER_SECOND};
use std::collections::BTreeMap;

const VOLUMES: u64 = 1000;
const SETTLE_SECONDS: usize = 4;
const MEASURED_SECONDS: usize = 6;

/// What a second costs each, sent and received, headers included.
struct Cost {
    mean_bytes: f64,
    greatest_bytes: f64,
    /// The share of the truth that is known, at the worst hundredth of all readings.
    worst_share: f64,
}

/// The sum of a key, and what it may be at most.
#[derive(Clone, Copy, Default)]
struct Truth {
    sum: u64,
    most: u64,
    contributors: u32,
}

type Amounts = Vec<(Key, u64)>;

/// `noise`: by which part amounts change up and down each second.
fn measure(initiators: usize, zones: usize, volumes_each: usize, noise: f64) -> Cost {
    let mut network = Network::new(initiators, zones, 47);
    network.draw_amounts(volumes_each, VOLUMES, 12_000);
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
    let shares = known_shares(&network, &truths(&network, &means, noise));
    let worst_share = shares.get(shares.len() / 100).copied().unwrap_or(1.0);
    let seconds = MEASURED_SECONDS as f64;
    let bytes: Vec<f64> = network.nodes.iter().map(|node| node.bytes as f64 / seconds).collect();
    let mean_bytes = bytes.iter().sum::<f64>() / bytes.len() as f64;
    let greatest_bytes = bytes.iter().copied().fold(0.0, f64::max);
    let most_datagrams = network.nodes.iter().map(|node| node.datagrams).max().unwrap_or(0) as f64 / seconds;
    println!(
        "{initiators} in {zones} zones, {volumes_each} of 1,000 volumes, noise {noise}: \
         mean {mean_bytes:.0} bytes/s, worst {greatest_bytes:.0} bytes/s in {most_datagrams:.0} datagrams; \
         share at the worst hundredth {worst_share:.3}"
    );
    Cost { mean_bytes, greatest_bytes, worst_share }
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

fn truths(network: &Network, means: &[Amounts], noise: f64) -> BTreeMap<Key, Truth> {
    let mut truths: BTreeMap<Key, Truth> = BTreeMap::new();
    for (node, means) in network.nodes.iter().zip(means) {
        for (key, mean) in means {
            let truth = truths.entry(*key).or_default();
            truth.sum += node.amounts[key];
            truth.most += (*mean as f64 * (1.0 + noise)) as u64 + 1;
            truth.contributors += 1;
        }
    }
    truths
}

/// Which share of the truth each reading is, in ascending order.
fn known_shares(network: &Network, truths: &BTreeMap<Key, Truth>) -> Vec<f64> {
    let mut shares = Vec::new();
    for (reader, key) in network.readings() {
        let Truth { sum, most, contributors } = truths[&key];
        let others = sum - network.nodes[reader].amounts[&key];
        let share = network.total(reader, key).map_or(0.0, |total| {
            assert!(total.others <= most, "{reader} {key:?} {total:?} of {sum}");
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
fn what_a_second_costs_does_not_grow_with_the_fleet() {
    assert_eq!(measure(300, 9, 0, 0.0).mean_bytes, 0.0);
    let mean_bytes_of = |initiators: usize| {
        let Cost { mean_bytes, greatest_bytes, worst_share } = measure(initiators, 9, 100, 0.04);
        assert!(mean_bytes <= 5_500.0, "{initiators}: {mean_bytes}");
        let most = 2.0 * (OWNER_BYTES_PER_SECOND + ANSWER_BYTES_PER_SECOND);
        assert!(greatest_bytes <= most, "{initiators}: {greatest_bytes}");
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
