//! Tests that failures never count an initiator twice, and that failed initiators soon leave the sums.

use crate::network::{node_of, Network, MILLISECOND, SECOND};
use proptest::prelude::{
    any, prop_assert, prop_assert_eq, prop_oneof, proptest, Just, ProptestConfig, Strategy,
};
use proptest::test_runner::TestCaseError;
use shaletack_gossip::aggregation::{Key, Total, TOTAL_TTL};
use std::time::Duration;

/// A third of the fleet fails at once, owners among them. Whether or not membership reports this, no sum
/// may include their amounts after ten seconds.
#[test]
fn failed_members_leave_the_sums_within_ten_seconds_with_and_without_membership() {
    for membership_reports in [true, false] {
        let mut network = Network::new(90, 9, 13);
        network.set_random_amounts(10, 30, 20);
        network.run(5 * SECOND);
        network.assert_exact();
        (0..90).filter(|node| node % 3 == 1).for_each(|node| network.kill(node));
        if membership_reports {
            network.run(4 * SECOND);
            network.schedule_views(2 * SECOND);
            network.run(6 * SECOND);
            network.assert_exact();
        } else {
            network.run(10 * SECOND);
        }
        for (reader, key) in network.readings() {
            if let Some(total) = network.total(reader, key) {
                assert!(total.others <= network.true_sum(reader, key), "{reader} {key:?} {total:?}");
                assert!(total.contributors <= network.contributors(key));
            }
        }
    }
}

/// A rolling upgrade restarts one in four initiators at a time. A restarted process has a new incarnation at
/// its old address, while owners may still store what the earlier incarnation sent.
#[test]
fn an_address_that_restarts_is_counted_once() {
    let mut network = Network::new(27, 9, 17);
    let key = Key::Demand(1);
    network.set_all_amounts(&[(key, 10)]);
    network.run(5 * SECOND);
    for round in 0..4 {
        for node in (0..27).filter(|node| node % 4 == round) {
            network.restart(node);
            network.set_amounts(node, &[(key, 10)]);
        }
        network.schedule_views(SECOND);
        for _ in 0..12 {
            network.run(SECOND / 2);
            for reader in 0..27 {
                if let Some(total) = network.total(reader, key) {
                    assert!(total.others <= 260 && total.contributors <= 27, "{total:?}");
                }
            }
        }
        network.assert_exact();
    }
}

/// One zone of nine is partitioned. Before membership notices, both sides have to report missing cells. After
/// each side has declared the other dead, the sums of its own side are complete. Then the partition heals.
#[test]
fn a_partitioned_zone_reports_incomplete_sums_and_recovers() {
    let is_partitioned = |node: usize| node % 9 == 4;
    let mut network = Network::new(153, 9, 19);
    let key = Key::Demand(1);
    network.set_all_amounts(&[(key, 10)]);
    network.run(5 * SECOND);
    network.assert_exact();
    network.partitioned_zones.insert(4);
    network.run(8 * SECOND);
    let counts = |total: Total| (total.others, total.contributors, total.missing_cells);
    for reader in 0..153 {
        let total = network.total(reader, key).expect("the sum of the own side");
        let expected = if is_partitioned(reader) { (160, 17, 8) } else { (1350, 136, 1) };
        assert_eq!(counts(total), expected, "{reader}");
    }
    // Membership reports the other side as failed: the sums of each side are complete again.
    let members = network.members();
    network.begin_view_round();
    for node in 0..153 {
        let is_own_side = |other: usize| is_partitioned(other) == is_partitioned(node);
        let own_side = members.iter().filter(|member| is_own_side(node_of(member.address)));
        let own_side = own_side.cloned().collect();
        network.schedule_view(node, 4 * SECOND, own_side);
    }
    network.run(52 * SECOND);
    for reader in 0..153 {
        let total = network.total(reader, key).expect("the own side's sum");
        let expected = if is_partitioned(reader) { (160, 17, 0) } else { (1350, 136, 0) };
        assert_eq!(counts(total), expected, "{reader}");
    }
    network.partitioned_zones.clear();
    network.schedule_views(2 * SECOND);
    network.run(7 * SECOND);
    network.assert_exact();
}

/// The network loses all messages, so no owner answers. The readers must have no sum rather than an outdated
/// one.
#[test]
fn readers_whose_owners_are_all_silent_have_no_sum() {
    let mut network = Network::new(10, 1, 29);
    network.set_all_amounts(&[(Key::Demand(1), 10), (Key::Demand(2), 10)]);
    network.run(5 * SECOND);
    network.assert_exact();
    network.loss = 1.0;
    network.run(TOTAL_TTL + SECOND / 2);
    // Only owners still have sums, and the contributions in them expire as well.
    let mut unknown = 0;
    for (reader, key) in network.readings() {
        match network.total(reader, key) {
            None => unknown += 1,
            Some(total) => assert_eq!((total.others, total.contributors), (0, 1), "{reader}: {total:?}"),
        }
    }
    assert!(unknown >= 18, "{unknown} of 20");
    network.loss = 0.0;
    network.run(4 * SECOND);
    network.assert_exact();
}

/// The network loses one message in five and duplicates one in five, with the copy up to 0.7 s late.
#[test]
fn with_a_fifth_lost_and_a_fifth_duplicated_sums_are_close_and_nobody_is_counted_twice() {
    let mut network = Network::new(90, 9, 31);
    (network.loss, network.duplication) = (0.2, 0.2);
    network.set_random_amounts(20, 60, 40);
    network.run(10 * SECOND);
    let (mut readings, mut accurate, mut unknown) = (0, 0, 0);
    for _ in 0..20 {
        network.run(SECOND);
        for (reader, key) in network.readings() {
            let (true_sum, contributors) = (network.true_sum(reader, key), network.contributors(key));
            readings += 1;
            let Some(total) = network.total(reader, key) else {
                unknown += 1;
                continue;
            };
            let in_bounds = total.others <= true_sum && total.contributors <= contributors;
            assert!(in_bounds, "{total:?} of {true_sum}, {contributors}");
            accurate += usize::from(total.others * 10 >= true_sum * 9);
        }
    }
    println!("20% lost, 20% duplicated: {readings} readings, {accurate} with 90% or more, {unknown} unknown");
    assert!(accurate * 100 >= readings * 90, "{accurate} of {readings}");
    network.loss = 0.0;
    network.run(8 * SECOND);
    network.assert_exact();
}

/// A zone grows beyond the size of one cell and shrinks again. Each process splits and merges the zone at a
/// different time. An owner that added sums of the whole zone to those of its slices would count members
/// twice.
#[test]
fn no_member_is_counted_twice_while_a_zone_is_split_or_merged() {
    for seed in 0..4 {
        let mut network = Network::new(128, 1, seed);
        // Readers in another region.
        (0..4).for_each(|_| network.join(3));
        let keys: Vec<(Key, u64)> = (0..8).map(|volume| (Key::Demand(volume), 1)).collect();
        network.set_all_amounts(&keys);
        network.schedule_views(Duration::ZERO);
        network.run(6 * SECOND);
        network.assert_exact();
        for joins in [true, false] {
            if joins {
                network.join(0);
                network.set_amounts(132, &keys);
            } else {
                network.kill(132);
            }
            network.schedule_views(3 * SECOND);
            for _ in 0..60 {
                network.run(100 * MILLISECOND);
                for (reader, key) in network.readings() {
                    let total = network.total(reader, key);
                    let in_bounds = |total: Total| total.others <= 132 && total.contributors <= 133;
                    assert!(total.is_none_or(in_bounds), "{total:?}");
                }
            }
            network.run(4 * SECOND);
            network.assert_exact();
        }
    }
}

const NODES: usize = 30;
const KEYS: u64 = 3;

/// An event in the fleet.
#[derive(Clone, Debug)]
enum Step {
    RunMs(u64),
    Kill(usize),
    Restart(usize),
    ScheduleViewsWithinMs(u64),
    PartitionZone(usize),
    HealPartitions,
    /// The percentages of messages that are lost and duplicated.
    SetMessageFaults {
        loss: u32,
        duplication: u32,
    },
    /// A node drops its key, or adds it again.
    SetAmounts {
        node: usize,
        has_key: bool,
    },
}

fn message_faults() -> impl Strategy<Value = Step> {
    (0_u32..30, 0_u32..50).prop_map(|(loss, duplication)| Step::SetMessageFaults { loss, duplication })
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (200_u64..2500).prop_map(Step::RunMs),
        2 => (0..NODES).prop_map(Step::Kill),
        2 => (0..NODES).prop_map(Step::Restart),
        3 => (0_u64..3000).prop_map(Step::ScheduleViewsWithinMs),
        1 => (0_usize..5).prop_map(Step::PartitionZone),
        1 => Just(Step::HealPartitions),
        1 => message_faults(),
        2 => (0..NODES, 0_u64..3).prop_map(|(node, draw)| Step::SetAmounts { node, has_key: draw != 0 }),
    ]
}

/// The key and amount of a node: node n has amount 2^(n / 3) of key n % 3. The bits of a sum below 1,024 show
/// which nodes are in it. If a node is counted twice, the sum has fewer bits set than contributors.
fn own_amount(node: usize) -> (Key, u64) {
    (Key::Demand(node as u64 % KEYS), 1 << (node / KEYS as usize))
}

fn set_own_amount(network: &mut Network, node: usize) {
    network.set_amounts(node, &[own_amount(node)]);
}

/// Checks that no sum counts a node twice, or a node that has been without an amount for more than 10 s.
/// `last_present` is when each node last had an amount.
fn check_sums(network: &Network, last_present: &[Duration]) -> Result<(), TestCaseError> {
    for (reader, key) in network.readings() {
        let Some(total) = network.total(reader, key) else { continue };
        let own = network.nodes[reader].amounts[&key];
        prop_assert!(total.others < 1024, "{reader} {key:?} {total:?}");
        prop_assert_eq!(total.others & own, 0, "{} {:?} {:?}", reader, key, total);
        prop_assert_eq!((total.others | own).count_ones(), total.contributors, "{:?}", total);
        for node in (0..NODES).filter(|node| own_amount(*node).0 == key) {
            let is_counted = total.others & own_amount(node).1 != 0;
            let is_recent = network.now <= last_present[node] + 10 * SECOND;
            prop_assert!(!is_counted || is_recent, "{node} had no amount for 10 s: {reader} {total:?}");
        }
    }
    Ok(())
}

fn run_checked(
    network: &mut Network,
    time: Duration,
    last_present: &mut [Duration],
) -> Result<(), TestCaseError> {
    let end = network.now + time;
    while network.now < end {
        network.run(100 * MILLISECOND);
        for (node, last_present) in last_present.iter_mut().enumerate() {
            if !network.nodes[node].amounts.is_empty() {
                *last_present = network.now;
            }
        }
        check_sums(network, last_present)?;
    }
    Ok(())
}

fn apply(network: &mut Network, step: Step, last_present: &mut [Duration]) -> Result<(), TestCaseError> {
    match step {
        Step::RunMs(ms) => return run_checked(network, ms as u32 * MILLISECOND, last_present),
        Step::Kill(node) => network.kill(node),
        Step::Restart(node) => {
            network.restart(node);
            set_own_amount(network, node);
        }
        Step::ScheduleViewsWithinMs(ms) => network.schedule_views((ms as u32 + 1) * MILLISECOND),
        Step::PartitionZone(zone) => {
            network.partitioned_zones.insert(zone);
        }
        Step::HealPartitions => network.partitioned_zones.clear(),
        Step::SetMessageFaults { loss, duplication } => {
            network.loss = f64::from(loss) / 100.0;
            network.duplication = f64::from(duplication) / 100.0;
        }
        Step::SetAmounts { node, has_key } if network.nodes[node].is_up => {
            let amounts = if has_key { vec![own_amount(node)] } else { Vec::new() };
            network.set_amounts(node, &amounts);
        }
        Step::SetAmounts { .. } => {}
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Initiators fail, restart and leave, zones are partitioned, messages are lost and duplicated, and each
    /// initiator learns of membership changes at a different time. No sum may count anybody twice at any
    /// time, and after all failures are repaired every total has to be exact.
    #[test]
    fn no_sequence_of_failures_counts_anybody_twice(
        steps in proptest::collection::vec(step(), 5..40),
        seed in any::<u64>(),
    ) {
        let mut network = Network::new(NODES, 5, seed);
        (0..NODES).for_each(|node| set_own_amount(&mut network, node));
        network.run(2 * SECOND);
        let mut last_present = [network.now; NODES];
        for step in steps {
            apply(&mut network, step, &mut last_present)?;
        }
        network.partitioned_zones.clear();
        (network.loss, network.duplication) = (0.0, 0.0);
        network.schedule_views(SECOND);
        network.run(11 * SECOND);
        network.assert_exact();
    }
}
