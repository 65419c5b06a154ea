//! Tests of which messages count, from which senders, and for how long.

use crate::network::{address, member, page_of, MILLISECOND, SECOND};
use shaletack_gossip::aggregation::{
    pack_amount, shard_of, short_key, unpack_amount, Aggregation, Envelope, Key, Layout, Message,
    PackedTotal, Page, PageKind, Total, TotalsPage,
};
use std::time::Duration;

const KEY: Key = Key::Demand(1);

fn partial_of(sequence: u32, amount: u64) -> Message {
    Message::Partial(page_of(KEY, sequence, amount))
}

/// One of two pages of partial sums.
fn partial_page(page: u8, sequence: u32, amount: u64) -> Message {
    Message::Partial(Page { page, page_count: 2, ..page_of(KEY, sequence, amount) })
}

/// Delivers a message from an incarnation of node 1, and returns the answers.
fn receive(
    aggregation: &mut Aggregation,
    now: Duration,
    incarnation: u64,
    message: Message,
) -> Vec<Envelope> {
    aggregation.receive(now, address(1), incarnation, message)
}

/// The totals in the answers to a node, if they are the only answer.
fn totals_to(answers: &[Envelope], node: usize) -> Option<&TotalsPage> {
    match answers {
        [Envelope { to, message: Message::Totals(totals) }] if *to == address(node) => Some(totals),
        _ => None,
    }
}

/// Lets a node contribute 10, and returns the sum and the number of contributors in the answer.
fn answer(aggregation: &mut Aggregation, now: Duration, node: usize, sequence: u32) -> Option<(u64, u32)> {
    let contribution = Message::Contribution(page_of(KEY, sequence, 10));
    let answers = aggregation.receive(now, address(node), 1, contribution);
    let total = totals_to(&answers, node)?.totals[0];
    Some((unpack_amount(total.amount), total.contributors))
}

/// A process that does not own the shard in its cell sends partial sums, because it is faulty or its view of
/// the members differs. Only the partial sums of the owner may count.
#[test]
fn partial_sums_count_only_from_the_owner() {
    let members = (1..6).map(|node| member(node, 1, 3)).collect();
    let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
    aggregation.set_members(SECOND, members);
    aggregation.set_amounts(SECOND, vec![(KEY, 10)]);
    // Exactly one of the five members of the other zone is the owner. Node 6 is no member, nor is incarnation
    // 2 of any node.
    let mut counted = Vec::new();
    for node in 1..7 {
        for incarnation in [2, 1] {
            let now = SECOND * (20 * node as u32 - 10 * incarnation as u32);
            assert!(aggregation.receive(now, address(node), incarnation, partial_of(1, 100)).is_empty());
            aggregation.tick(now + SECOND);
            aggregation.tick(now + 2 * SECOND);
            let total = aggregation.total(now + 2 * SECOND, KEY);
            if let Some(total) = total.filter(|total| total.others == 100) {
                counted.push((node, incarnation));
                // The age counts from the receipt of the partial, two seconds ago.
                let age = total.age;
                assert!(age >= 2 * SECOND && age <= 2 * SECOND + 20 * MILLISECOND, "{age:?}");
            }
        }
    }
    let [(owner, incarnation)] = counted[..] else { panic!("{counted:?}") };
    assert_eq!(incarnation, 1);
    // A member of another cell cannot contribute here.
    let contribution = Message::Contribution(page_of(KEY, 9, 100));
    assert!(aggregation.receive(200 * SECOND, address(owner), 1, contribution).is_empty());
}

/// Pages arrive late or twice, and a process restarts its sequence numbers. No page may be counted twice
/// or replace a later one.
#[test]
fn late_and_duplicated_pages_change_nothing() {
    let contribution = |sequence, amount| Message::Contribution(page_of(KEY, sequence, amount));
    let shard = shard_of(short_key(KEY)) as u8;
    let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
    aggregation.set_members(SECOND, vec![member(1, 1, 0)]);
    let total = |answers: &[Envelope]| {
        totals_to(answers, 1).map(|totals| (totals.sequence, unpack_amount(totals.totals[0].amount)))
    };
    assert_eq!(total(&receive(&mut aggregation, SECOND, 1, contribution(5, 100))), Some((5, 100)));
    assert_eq!(receive(&mut aggregation, 2 * SECOND, 1, contribution(5, 100)), vec![]);
    assert_eq!(receive(&mut aggregation, 2 * SECOND, 1, contribution(4, 900)), vec![]);
    assert_eq!(total(&receive(&mut aggregation, 3 * SECOND, 1, contribution(6, 200))), Some((6, 200)));
    // Unknown keys are requested, and the earlier page stays until it expires.
    let unchanged = Page { layout: Layout::Unchanged(1), ..page_of(KEY, 7, 300) };
    let unknown = Message::LayoutUnknown { kind: PageKind::Contribution, shard, page: 0 };
    let asked = vec![Envelope { to: address(1), message: unknown }];
    assert_eq!(receive(&mut aggregation, 4 * SECOND, 1, Message::Contribution(unchanged)), asked);
    // A later incarnation starts with lower sequence numbers, and the earlier incarnation is ignored.
    aggregation.set_members(4 * SECOND, vec![member(1, 2, 0)]);
    assert_eq!(total(&receive(&mut aggregation, 5 * SECOND, 2, contribution(1, 50))), Some((1, 50)));
    assert_eq!(receive(&mut aggregation, 6 * SECOND, 1, contribution(9, 900)), vec![]);
    assert_eq!(total(&receive(&mut aggregation, 7 * SECOND, 2, contribution(2, 50))), Some((2, 50)));
}

/// A member restarts or fails. From the moment that membership reports this, no answer may include what the
/// earlier incarnation sent.
#[test]
fn a_contribution_is_dropped_at_once_when_its_incarnation_is_no_longer_a_member() {
    for (later, other) in [(vec![member(1, 2, 0)], "another incarnation"), (vec![], "no incarnation")] {
        let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
        aggregation.set_members(SECOND, vec![member(1, 1, 0), member(2, 1, 0)]);
        aggregation.receive(SECOND, address(1), 1, Message::Contribution(page_of(KEY, 1, 100)));
        assert_eq!(answer(&mut aggregation, SECOND, 2, 1), Some((110, 2)));
        let now = SECOND + 300 * MILLISECOND;
        aggregation.set_members(now, [vec![member(2, 1, 0)], later].concat());
        assert_eq!(answer(&mut aggregation, now, 2, 2), Some((10, 1)), "{other} is a member");
    }
}

/// An owner in another cell fails, and a new owner takes over with fewer pages. The pages of the previous
/// owner must not be added to those of the new one.
#[test]
fn a_new_owners_partial_replaces_all_that_the_previous_owner_sent() {
    let mut owners = 0;
    for (before, after) in [(1, 2), (2, 1)] {
        let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
        let (own_cell, new_owner) = (member(9, 1, 0), member(after, 1, 3));
        let members = vec![own_cell.clone(), member(before, 1, 3), new_owner.clone()];
        aggregation.set_members(SECOND, members);
        aggregation.receive(SECOND, address(before), 1, partial_page(1, 50, 100));
        // Only one of the two nodes is the owner of the key in the other cell.
        if answer(&mut aggregation, SECOND, 9, 1) == Some((10, 1)) {
            continue;
        }
        owners += 1;
        aggregation.set_members(SECOND + 100 * MILLISECOND, vec![own_cell, new_owner]);
        aggregation.receive(SECOND + 200 * MILLISECOND, address(after), 1, partial_page(0, 1, 30));
        assert_eq!(answer(&mut aggregation, SECOND + 300 * MILLISECOND, 9, 2), Some((40, 2)));
    }
    assert_eq!(owners, 1);
}

/// An answer takes half a second to arrive, and its oldest partial was three seconds old when the
/// contribution was sent. The total may be used for another half second only.
#[test]
fn a_total_expires_four_seconds_after_its_oldest_partial_came() {
    let keys: Vec<(Key, u64)> = (0..64).map(|volume| (Key::Demand(volume), 10)).collect();
    let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
    let now = 100 * SECOND;
    aggregation.set_members(now, vec![member(1, 1, 0)]);
    aggregation.set_amounts(now, keys.clone());
    let contributed_at = now + 200 * MILLISECOND;
    let out = aggregation.tick(contributed_at);
    let contributed = out.iter().find_map(|envelope| match &envelope.message {
        Message::Contribution(page) => Some(page),
        _ => None,
    });
    let Page { shard, page, sequence, amounts, .. } =
        contributed.expect("a shard that the other node owns").clone();
    let totals = vec![PackedTotal { amount: pack_amount(500), contributors: 2 }; amounts.len()];
    let totals = TotalsPage { shard, page, sequence, age_ticks: 150, missing_cells: 0, totals };
    let answered_at = contributed_at + 500 * MILLISECOND;
    aggregation.receive(answered_at, address(1), 1, Message::Totals(totals));
    let mut keys = keys.iter().map(|(key, _)| *key);
    let key = keys
        .find(|key| shard_of(short_key(*key)) == usize::from(shard))
        .expect("a key of the contributed shard");
    let total = Total { others: 490, contributors: 2, age: 3500 * MILLISECOND, missing_cells: 0 };
    assert_eq!(aggregation.total(answered_at, key), Some(total));
    assert!(aggregation.total(contributed_at + SECOND, key).is_some());
    assert_eq!(aggregation.total(contributed_at + SECOND + MILLISECOND, key), None);
}
