//! Tests that arbitrary messages do no lasting harm, and that the limits hold.

use crate::network::{address, member, Network, MILLISECOND, SECOND};
use proptest::prelude::{any, prop_assert, prop_oneof, proptest, Just, ProptestConfig, Strategy};
use rand::RngExt;
use shaletack_gossip::aggregation::{
    encoded_len, shard_of, short_key, Aggregation, Envelope, Key, KeyRow, Layout, Message, PackedTotal, Page,
    PageKind, ShortKey, TotalsPage, ANSWER_BYTES_PER_SECOND, DATAGRAM_OVERHEAD_BYTES, MAX_AMOUNT,
    MAX_PAGE_KEYS, OWNER_BYTES_PER_SECOND, SHARDS, WHOLE_REGION_SPLIT,
};
use std::time::Duration;

const KEY: Key = Key::Demand(1);

fn rows() -> impl Strategy<Value = Vec<KeyRow>> {
    proptest::collection::vec((any::<ShortKey>(), any::<u16>()), 0..20).prop_map(|rows| {
        let mut rows: Vec<KeyRow> =
            rows.into_iter().map(|(key, contributors)| KeyRow { key, contributors }).collect();
        rows.sort_unstable();
        rows.dedup_by_key(|row| row.key);
        rows
    })
}

fn layout() -> impl Strategy<Value = Layout> {
    let of_key = any::<u16>()
        .prop_map(|contributors| Layout::Full(vec![KeyRow { key: short_key(KEY), contributors }]));
    prop_oneof![
        2 => rows().prop_map(Layout::Full),
        3 => of_key,
        1 => any::<u32>().prop_map(Layout::Unchanged),
    ]
}

fn page() -> impl Strategy<Value = Page> {
    let shard = prop_oneof![3 => Just(shard_of(short_key(KEY)) as u8), 1 => any::<u8>()];
    let amounts = proptest::collection::vec(any::<u16>(), 0..3);
    (shard, 0_u8..10, any::<u8>(), 6_u8..10, 0_u32..60, layout(), amounts).prop_map(
        |(shard, page, page_count, split, sequence, layout, mut amounts)| {
            if let Layout::Full(rows) = &layout {
                amounts.resize(rows.len(), u16::MAX);
            }
            Page { shard, page, page_count, split, sequence, layout, amounts }
        },
    )
}

fn totals() -> impl Strategy<Value = Message> {
    let total = any::<(u16, u32)>().prop_map(|(amount, contributors)| PackedTotal { amount, contributors });
    let totals = proptest::collection::vec(total, 0..5);
    (any::<u8>(), 0_u8..3, 0_u32..60, any::<u8>(), any::<u16>(), totals).prop_map(
        |(shard, page, sequence, age_ticks, missing_cells, totals)| {
            Message::Totals(TotalsPage { shard, page, sequence, age_ticks, missing_cells, totals })
        },
    )
}

fn message() -> impl Strategy<Value = Message> {
    let layout_unknown = (any::<bool>(), any::<u8>(), any::<u8>()).prop_map(|(is_partial, shard, page)| {
        Message::LayoutUnknown { kind: PageKind::from(is_partial), shard, page }
    });
    prop_oneof![
        3 => page().prop_map(Message::Contribution),
        3 => page().prop_map(Message::Partial),
        1 => totals(),
        1 => layout_unknown,
    ]
}

/// A message from node 0, and the time since the previous one.
#[derive(Clone, Debug)]
struct Sent {
    gap_ms: u64,
    to: usize,
    message: Message,
}

fn sent() -> impl Strategy<Value = Sent> {
    (0_u64..300, 1_usize..6, message()).prop_map(|(gap_ms, to, message)| Sent { gap_ms, to, message })
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 48, ..ProptestConfig::default() })]

    /// One member sends arbitrary messages. No total may exceed the maximum amount, and soon after the member
    /// stops, the totals have to be exact again.
    #[test]
    fn arbitrary_messages_of_a_member_do_no_lasting_harm(
        messages in proptest::collection::vec(sent(), 1..80),
        seed in any::<u64>(),
    ) {
        let mut network = Network::new(6, 2, seed);
        network.set_all_amounts(&[(KEY, 10), (Key::Demand(2), u64::MAX)]);
        network.run(3 * SECOND);
        for Sent { gap_ms, to, message } in messages {
            network.deliver(0, to, message);
            network.run(gap_ms as u32 * MILLISECOND);
            for (reader, key) in network.readings() {
                let total = network.total(reader, key);
                prop_assert!(total.is_none_or(|total| total.others <= MAX_AMOUNT));
            }
        }
        network.run(10 * SECOND);
        for reader in 0..6 {
            let total = network.total(reader, KEY);
            let counts = total.map(|total| (total.others, total.contributors));
            prop_assert!(counts == Some((50, 6)), "{total:?}");
        }
    }
}

/// A full page of random keys in a random shard.
fn random_page(network: &mut Network, sequence: u32) -> Page {
    let shard = network.rng.random_range(0..SHARDS as u8);
    let mut rows: Vec<KeyRow> = (0..MAX_PAGE_KEYS)
        .map(|_| {
            let mut key: ShortKey = network.rng.random();
            key[4] = shard;
            KeyRow { key, contributors: u16::MAX }
        })
        .collect();
    rows.sort_unstable();
    Page {
        shard,
        page: network.rng.random_range(0..8),
        page_count: 8,
        split: WHOLE_REGION_SPLIT,
        sequence,
        amounts: vec![u16::MAX; rows.len()],
        layout: if sequence.is_multiple_of(3) { Layout::Unchanged(sequence) } else { Layout::Full(rows) },
    }
}

fn bytes_of(answers: &[Envelope]) -> usize {
    answers.iter().map(|answer| encoded_len(&answer.message) + DATAGRAM_OVERHEAD_BYTES).sum()
}

/// A faulty member sends 2,000 pages per second. The answers of the receiver have to stay within the limits,
/// and so does its other traffic.
#[test]
fn a_flood_of_pages_is_answered_within_the_limits() {
    const SENDER: usize = 0;
    const RECEIVER: usize = 3;
    let mut network = Network::new(18, 6, 43);
    network.set_all_amounts(&[(KEY, 10)]);
    network.run(5 * SECOND);
    let (mut answered, mut sequence) = (0, 1000);
    let end = network.now + 10 * SECOND;
    while network.now < end {
        network.run(10 * MILLISECOND);
        for _ in 0..20 {
            sequence += 1;
            let page = random_page(&mut network, sequence);
            let message =
                if sequence.is_multiple_of(2) { Message::Contribution(page) } else { Message::Partial(page) };
            let incarnation = network.nodes[SENDER].incarnation;
            let receiver = &mut network.nodes[RECEIVER].aggregation;
            answered += bytes_of(&receiver.receive(network.now, address(SENDER), incarnation, message));
            network.reschedule(RECEIVER);
        }
    }
    println!("a flood of 20,000 pages: {answered} bytes of answers in 10 s");
    assert!(answered > 0 && answered as f64 <= 11.0 * ANSWER_BYTES_PER_SECOND, "{answered}");
    let bytes_per_second = network.nodes[RECEIVER].bytes as f64 / 16.0;
    let limit = 2.0 * (OWNER_BYTES_PER_SECOND + ANSWER_BYTES_PER_SECOND);
    assert!(bytes_per_second <= limit, "{bytes_per_second}");
    network.run(10 * SECOND);
    network.assert_exact();
}

#[test]
fn answers_stay_within_their_limit_however_many_members_contribute() {
    let members = (1..40).map(|node| member(node, 1, 0)).collect();
    let mut aggregation = Aggregation::new(member(0, 1, 0), 1);
    aggregation.set_members(SECOND, members);
    let (mut answered, mut sequence) = (0, 0);
    for round in 0..40 {
        let now = SECOND + Duration::from_millis(250) * round;
        for node in 1..40 {
            for shard in 0..SHARDS as u8 {
                sequence += 1;
                let contribution = Message::Contribution(Page {
                    shard,
                    page: 0,
                    page_count: 1,
                    split: WHOLE_REGION_SPLIT,
                    sequence,
                    layout: Layout::Full(vec![KeyRow { key: [1, 2, 3, 4, shard], contributors: 1 }]),
                    amounts: vec![1],
                });
                answered += bytes_of(&aggregation.receive(now, address(node), 1, contribution));
            }
        }
    }
    let (answered, limit) = (answered as f64, 11.0 * ANSWER_BYTES_PER_SECOND);
    assert!(answered <= limit && answered >= limit / 2.0, "{answered}");
}
