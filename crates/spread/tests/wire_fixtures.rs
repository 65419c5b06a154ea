//! Initiators of two releases gossip with each other during each upgrade. The files in `fixtures` are datagrams and keys
//! as the release of 2 December 2026 encodes them: each has to mean the same now, and to be encoded to the same bytes.

use shaletack_knowledge::{Observer, Standing, Told, What};
use shaletack_spread::datagram::{decode, encode, Body, Card, Item, Message, Still};
use shaletack_spread::sums::{self, Key, Layout, Page};
use shaletack_spread::Place;
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures")).join(name)
}

fn read(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).unwrap_or_else(|why| panic!("{name}: {why}"))
}

fn process(name: &str) -> Observer {
    Observer { name: name.into(), life: 0x0123_4567_89ab_cdef }
}

fn report(what: What, hops: u8) -> Item {
    let (by, start, age) = (process("initiator-1"), 1_764_700_000_123, Duration::new(7, 250_000_000));
    Item::Fact(Told { what, by, start, hops, age })
}

fn record(at: &str) -> Item {
    let place = Place { region: "south".into(), zone: "south-b".into() };
    Item::Card(Card { who: process("initiator-2"), at: at.parse().unwrap(), place })
}

fn refresh() -> Item {
    let ids = vec![0, 1, 0x8000_0000, u32::MAX];
    Item::Still(Still { by: process("initiator-3"), hops: 2, age: Duration::from_millis(1500), ids })
}

/// One item of each kind, and of each claim.
fn items() -> Vec<Item> {
    vec![
        report(What::Standing("endpoint-1".into(), Standing::Ready), 0),
        report(What::Standing("endpoint-2".into(), Standing::Draining), 1),
        report(What::Standing("endpoint-3".into(), Standing::Gone), 32),
        report(What::Failing("endpoint-4".into(), true), 0),
        report(What::Failing("endpoint-4".into(), false), 0),
        report(What::Started("endpoint-5".into(), Duration::from_millis(4321)), 3),
        report(What::Spent("endpoint-6".into(), 123_456), 0),
        report(What::Demand(77, u64::MAX), 0),
        record("10.1.2.3:7700"),
        record("[fd00::1]:7700"),
        refresh(),
    ]
}

fn page(layout: Layout, amounts: Vec<u16>) -> Page {
    Page { shard: 15, page: 7, pages: 8, split: 3, seq: 70_000, layout, amounts }
}

fn full() -> Layout {
    Layout::Full(vec![([1, 2, 3, 4, 15], 1), ([200, 201, 202, 203, 255], 300)])
}

fn totals() -> sums::Message {
    let totals = vec![(0, 0), (1023, 1), (u16::MAX, u32::MAX)];
    sums::Message::Totals { shard: 3, page: 1, seq: 99, age: 200, missing: 513, totals }
}

fn lost(part: bool) -> sums::Message {
    sums::Message::Lost { part, shard: 9, page: 2 }
}

/// Each kind of message in each variant, under the name of its file.
fn messages() -> Vec<(&'static str, Message)> {
    let named = |body| Message { from: process("initiator-9"), body };
    let nameless = |body| Message { from: process(""), body };
    let sums = |message| nameless(Body::Sums(message));
    vec![
        ("push.bin", named(Body::News(items()))),
        ("push-empty.bin", named(Body::News(Vec::new()))),
        ("digest-overall.bin", nameless(Body::Digest(0xdead_beef, vec![0x0102_0304]))),
        ("digest-ranges.bin", nameless(Body::Digest(7, (0..16).map(|n| n * 0x1111_1111).collect()))),
        ("differences.bin", nameless(Body::Differs(7, 0x8421, vec![1, 0x1000_0000, 0xf000_0000]))),
        ("differences-none.bin", nameless(Body::Differs(u32::MAX, 0, Vec::new()))),
        ("request.bin", nameless(Body::Want(vec![5, 0xffff_ffff]))),
        ("records.bin", named(Body::Records(items()))),
        ("report-full.bin", sums(sums::Message::Tell(page(full(), vec![9, 40_000])))),
        ("report-unchanged.bin", sums(sums::Message::Tell(page(Layout::Same(0x0a0b_0c0d), vec![1023])))),
        ("partial-full.bin", sums(sums::Message::Part(page(full(), vec![0, u16::MAX])))),
        ("partial-unchanged.bin", sums(sums::Message::Part(page(Layout::Same(0), Vec::new())))),
        ("totals.bin", sums(totals())),
        ("layout-unknown-report.bin", sums(lost(false))),
        ("layout-unknown-partial.bin", sums(lost(true))),
    ]
}

fn keys() -> Vec<(&'static str, Key)> {
    vec![
        ("key-demand.bin", Key::Demand(300)),
        ("key-slow-start-spend.bin", Key::Spent(u64::MAX)),
        ("key-config-version.bin", Key::InForce(0)),
    ]
}

#[test]
fn datagrams_of_the_previous_release_mean_the_same_and_are_encoded_to_the_same_bytes() {
    for (name, message) in messages() {
        let bytes = read(name);
        let decoded = decode(&bytes).unwrap_or_else(|why| panic!("{name}: {why}"));
        assert_eq!(decoded, message, "{name}");
        assert_eq!(encode(&decoded), bytes, "{name}");
    }
}

#[test]
fn keys_and_localities_of_the_previous_release_mean_the_same_and_are_encoded_to_the_same_bytes() {
    for (name, key) in keys() {
        let bytes = read(name);
        assert_eq!(postcard::from_bytes::<Key>(&bytes).unwrap(), key, "{name}");
        assert_eq!(postcard::to_allocvec(&key).unwrap(), bytes, "{name}");
    }
    let bytes = read("locality.bin");
    let place = Place { region: "south".into(), zone: "south-b".into() };
    assert_eq!(postcard::from_bytes::<Place>(&bytes).unwrap(), place);
    assert_eq!(postcard::to_allocvec(&place).unwrap(), bytes);
}

#[test]
fn every_fixture_is_tested() {
    let files = std::fs::read_dir(fixture("")).unwrap();
    let files: BTreeSet<String> =
        files.map(|file| file.unwrap().file_name().into_string().unwrap()).collect();
    let tested = messages().into_iter().map(|(name, _)| name).chain(keys().into_iter().map(|(name, _)| name));
    assert_eq!(files, tested.chain(["locality.bin"]).map(str::to_owned).collect());
}
