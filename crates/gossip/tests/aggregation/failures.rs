//! Whatever fails, nobody is counted twice, and what is gone is soon forgotten.

use crate::network::{node_of, Network, MILLISECOND, SECOND};
use proptest::prelude::{
    any, prop_assert, prop_assert_eq, prop_oneof, proptest, Just, ProptestConfig, Strategy,
};
use proptest::test_runner::TestCaseError;
use shaletack_gossip::aggregation::{Key, Total, TOTAL_TTL};
use std::time::Duration;

/// A third of the fleet dies at once, owners among them. With or without membership telling it, their amounts are in no sum
/// after ten seconds.
#[test]
fn the_dead_are_forgotten_within_ten_seconds_with_and_without_membership() {
    for is_told in [true, false] {
        let mut network = Network::new(90, 9, 13);
        network.draw_amounts(10, 30, 20);
        network.run(5 * SECOND);
        network.assert_exact();
        (0..90).filter(|node| node % 3 == 1).for_each(|node| network.kill(node));
        if is_told {
            network.run(4 * SECOND);
            network.tell_views(2 * SECOND);
            network.run(6 * SECOND);
            network.assert_exact();
        } else {
            network.run(10 * SECOND);
        }
        for (reader, key) in network.readings() {
            if let Some(total) = network.total(reader, key) {
                assert!(total.others <= network.truth(reader, key), "{reader} {key:?} {total:?}");
                assert!(total.contributors <= network.contributors(key));
            }
        }
    }
}

/// A rolling upgrade restarts one in four at a time. A restarted process has a new incarnation at an old address, and owners
/// may still hold what the earlier one sent.
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
        network.tell_views(SECOND);
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

/// One zone of nine is cut off. First membership has not noticed, and both sides have to say that something is missing;
/// then each side takes the other for dead, and is whole to itself; then the cut heals.
#[test]
fn a_zone_that_is_cut_off_knows_that_its_sum_is_not_complete_and_heals() {
    let is_cut_off = |node: usize| node % 9 == 4;
    let mut network = Network::new(153, 9, 19);
    let key = Key::Demand(1);
    network.set_all_amounts(&[(key, 10)]);
    network.run(5 * SECOND);
    network.assert_exact();
    network.cut_zones.insert(4);
    network.run(8 * SECOND);
    let counts = |total: Total| (total.others, total.contributors, total.missing_cells);
    for reader in 0..153 {
        let total = network.total(reader, key).expect("the own side's sum");
        let expected = if is_cut_off(reader) { (160, 17, 8) } else { (1350, 136, 1) };
        assert_eq!(counts(total), expected, "{reader}");
    }
    // Once membership says so too, each side is whole to itself.
    let members = network.members();
    network.begin_views();
    for node in 0..153 {
        let is_own_side = |other: usize| is_cut_off(other) == is_cut_off(node);
        let own_side = members.iter().filter(|member| is_own_side(node_of(member.address)));
        let own_side = own_side.cloned().collect();
        network.tell_view(node, 4 * SECOND, own_side);
    }
    network.run(52 * SECOND);
    for reader in 0..153 {
        let total = network.total(reader, key).expect("the own side's sum");
        let expected = if is_cut_off(reader) { (160, 17, 0) } else { (1350, 136, 0) };
        assert_eq!(counts(total), expected, "{reader}");
    }
    network.cut_zones.clear();
    network.tell_views(2 * SECOND);
    network.run(7 * SECOND);
    network.assert_exact();
}

/// The network loses everything. No owner answers, so no reader has a sum, rather than an old one.
#[test]
fn readers_whose_owners_are_all_silent_have_no_sum() {
    let mut network = Network::new(10, 1, 29);
    network.set_all_amounts(&[(Key::Demand(1), 10), (Key::Demand(2), 10)]);
    network.run(5 * SECOND);
    network.assert_exact();
    network.loss = 1.0;
    network.run(TOTAL_TTL + SECOND / 2);
    // Only owners know what others sent to them, and that expires as well.
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

/// A poor network loses one message in five and doubles one in five, up to 0.7 s late.
#[test]
fn with_a_fifth_lost_and_a_fifth_doubled_sums_are_near_and_nobody_counts_twice() {
    let mut network = Network::new(90, 9, 31);
    (network.loss, network.duplication) = (0.2, 0.2);
    network.draw_amounts(20, 60, 40);
    network.run(10 * SECOND);
    let (mut readings, mut enough, mut unknown) = (0, 0, 0);
    for _ in 0..20 {
        network.run(SECOND);
        for (reader, key) in network.readings() {
            let (truth, contributors) = (network.truth(reader, key), network.contributors(key));
            readings += 1;
            let Some(total) = network.total(reader, key) else {
                unknown += 1;
                continue;
            };
            let in_bounds = total.others <= truth && total.contributors <= contributors;
            assert!(in_bounds, "{total:?} of {truth}, {contributors}");
            enough += usize::from(total.others * 10 >= truth * 9);
        }
    }
    println!("20% lost, 20% doubled: {readings} readings, {enough} with 90% or more, {unknown} unknown");
    assert!(enough * 100 >= readings * 90, "{enough} of {readings}");
    network.loss = 0.0;
    network.run(8 * SECOND);
    network.assert_exact();
}

/// A zone grows past the size of one cell and shrinks again. Each process splits and unsplits it at its own moment; whoever
/// added whole and split sums would count members twice.
#[test]
fn a_zone_of_many_is_split_and_the_sums_stay_whole_here_and_elsewhere() {
    for seed in 0..4 {
        let mut network = Network::new(128, 1, seed);
        // Readers in another region.
        (0..4).for_each(|_| network.join(3));
        let keys: Vec<(Key, u64)> = (0..8).map(|volume| (Key::Demand(volume), 1)).collect();
        network.set_all_amounts(&keys);
        network.tell_views(Duration::ZERO);
        network.run(6 * SECOND);
        network.assert_exact();
        for joins in [true, false] {
            if joins {
                network.join(0);
                network.set_amounts(132, &keys);
            } else {
                network.kill(132);
            }
            network.tell_views(3 * SECOND);
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

/// What happens to the fleet.
#[derive(Clone, Debug)]
enum Step {
    RunMs(u64),
    Kill(usize),
    Restart(usize),
    ViewsWithinMs(u64),
    Cut(usize),
    Heal,
    /// Per cent of messages.
    Weather {
        loss: u32,
        duplication: u32,
    },
    /// Drops its key, or takes it up again.
    SetAmounts {
        node: usize,
        has_key: bool,
    },
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        4 => (200_u64..2500).prop_map(Step::RunMs),
        2 => (0..NODES).prop_map(Step::Kill),
        2 => (0..NODES).prop_map(Step::Restart),
        3 => (0_u64..3000).prop_map(Step::ViewsWithinMs),
        1 => (0_usize..5).prop_map(Step::Cut),
        1 => Just(Step::Heal),
        1 => (0_u32..30, 0_u32..50).prop_map(|(loss, duplication)| Step::Weather { loss, duplication }),
        2 => (0..NODES, 0_u64..3).prop_map(|(node, draw)| Step::SetAmounts { node, has_key: draw != 0 }),
    ]
}

/// Node n has the (n / 3)-th power of two of key n % 3, so that a sum below 1,024 shows who is in it: if anybody is in it
/// twice, its ones are fewer than the contributors.
fn own_bit(node: usize) -> (Key, u64) {
    (Key::Demand(node as u64 % KEYS), 1 << (node / KEYS as usize))
}

fn set_own_bit(network: &mut Network, node: usize) {
    network.set_amounts(node, &[own_bit(node)]);
}

/// No sum has anybody twice, or somebody who is long gone. `last_present`: when each had an amount last.
fn check_sums(network: &Network, last_present: &[Duration]) -> Result<(), TestCaseError> {
    for (reader, key) in network.readings() {
        let Some(total) = network.total(reader, key) else { continue };
        let own = network.nodes[reader].amounts[&key];
        prop_assert!(total.others < 1024, "{reader} {key:?} {total:?}");
        prop_assert_eq!(total.others & own, 0, "{} {:?} {:?}", reader, key, total);
        prop_assert_eq!((total.others | own).count_ones(), total.contributors, "{:?}", total);
        for node in (0..NODES).filter(|node| own_bit(*node).0 == key) {
            let is_in = total.others & own_bit(node).1 != 0;
            let is_recent = network.now <= last_present[node] + 10 * SECOND;
            prop_assert!(!is_in || is_recent, "{node} is long gone: {reader} {total:?}");
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
            set_own_bit(network, node);
        }
        Step::ViewsWithinMs(ms) => network.tell_views((ms as u32 + 1) * MILLISECOND),
        Step::Cut(zone) => {
            network.cut_zones.insert(zone);
        }
        Step::Heal => network.cut_zones.clear(),
        Step::Weather { loss, duplication } => {
            network.loss = f64::from(loss) / 100.0;
            network.duplication = f64::from(duplication) / 100.0;
        }
        Step::SetAmounts { node, has_key } if network.nodes[node].is_up => {
            let amounts = if has_key { vec![own_bit(node)] } else { Vec::new() };
            network.set_amounts(node, &amounts);
        }
        Step::SetAmounts { .. } => {}
    }
    Ok(())
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// Initiators die, restart and leave, zones are cut off, messages are lost and doubled, and each learns of the members
    /// at its own moment. All the while no sum has anybody twice; and when all is well again, all know all.
    #[test]
    fn whatever_happens_nobody_is_counted_twice(
        steps in proptest::collection::vec(step(), 5..40),
        seed in any::<u64>(),
    ) {
        let mut network = Network::new(NODES, 5, seed);
        (0..NODES).for_each(|node| set_own_bit(&mut network, node));
        network.run(2 * SECOND);
        let mut last_present = [network.now; NODES];
        for step in steps {
            apply(&mut network, step, &mut last_present)?;
        }
        network.cut_zones.clear();
        (network.loss, network.duplication) = (0.0, 0.0);
        network.tell_views(SECOND);
        network.run(11 * SECOND);
        network.assert_exact();
    }
}
