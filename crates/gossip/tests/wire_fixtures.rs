//! Tests of wire compatibility: initiators of two releases gossip with each other during every upgrade.
//!
//! The files in `fixtures` are datagrams and keys as encoded by the release of 2 December 2026. Each has to
//! decode to the same value, and that value has to be encoded to the same bytes.

use shaletack_gossip::aggregation::{self, Key, KeyRow, Layout, PackedTotal, Page, PageKind, TotalsPage};
use shaletack_gossip::codec::{decode, encode, Body, Item, MembershipRecord, Message, Refresh};
use shaletack_gossip::Locality;
use shaletack_observations::{Claim, EndpointHealth, Observer, Report, ReportedReadiness};
use std::collections::BTreeSet;
use std::path::PathBuf;
use std::time::Duration;

fn fixture(name: &str) -> PathBuf {
    PathBuf::from(concat!(env!("CARGO_MANIFEST_DIR"), "/tests/fixtures")).join(name)
}

fn read(name: &str) -> Vec<u8> {
    std::fs::read(fixture(name)).unwrap_or_else(|error| panic!("{name}: {error}"))
}

fn process(name: &str) -> Observer {
    Observer { name: name.into(), incarnation: 0x0123_4567_89ab_cdef }
}

fn report(claim: Claim, hops: u8) -> Item {
    let (observer, start, age) = (process("initiator-1"), 1_764_700_000_123, Duration::new(7, 250_000_000));
    Item::Observation(Report { claim, observer, endpoint_incarnation: start, hops, age })
}

fn record(address: &str) -> Item {
    let locality = Locality { region: "south".into(), zone: "south-b".into() };
    Item::Member(MembershipRecord {
        process: process("initiator-2"),
        address: address.parse().unwrap(),
        locality,
    })
}

fn refresh() -> Item {
    let record_ids = vec![0, 1, 0x8000_0000, u32::MAX];
    let age = Duration::from_millis(1500);
    Item::Refresh(Refresh { observer: process("initiator-3"), hops: 2, age, record_ids })
}

/// One item of each kind, with an observation for each claim.
fn items() -> Vec<Item> {
    vec![
        report(Claim::Readiness { endpoint: "endpoint-1".into(), readiness: ReportedReadiness::Ready }, 0),
        report(Claim::Readiness { endpoint: "endpoint-2".into(), readiness: ReportedReadiness::Draining }, 1),
        report(Claim::Readiness { endpoint: "endpoint-3".into(), readiness: ReportedReadiness::Removed }, 32),
        report(Claim::Health { endpoint: "endpoint-4".into(), health: EndpointHealth::Failing }, 0),
        report(Claim::Health { endpoint: "endpoint-4".into(), health: EndpointHealth::Healthy }, 0),
        report(Claim::Started { endpoint: "endpoint-5".into(), uptime: Duration::from_millis(4321) }, 3),
        report(Claim::SlowStartUnits { endpoint: "endpoint-6".into(), milli_units: 123_456 }, 0),
        report(Claim::Demand { volume: 77, milli_units_per_second: u64::MAX }, 0),
        record("10.1.2.3:7700"),
        record("[fd00::1]:7700"),
        refresh(),
    ]
}

fn page(layout: Layout, amounts: Vec<u16>) -> Page {
    Page { shard: 15, page: 7, page_count: 8, split: 3, sequence: 70_000, layout, amounts }
}

fn full() -> Layout {
    let row = |key, contributors| KeyRow { key, contributors };
    Layout::Full(vec![row([1, 2, 3, 4, 15], 1), row([200, 201, 202, 203, 255], 300)])
}

fn totals() -> aggregation::Message {
    let total = |amount, contributors| PackedTotal { amount, contributors };
    let totals = vec![total(0, 0), total(1023, 1), total(u16::MAX, u32::MAX)];
    let (sequence, age_ticks, missing_cells) = (99, 200, 513);
    aggregation::Message::Totals(TotalsPage { shard: 3, page: 1, sequence, age_ticks, missing_cells, totals })
}

fn layout_unknown(kind: PageKind) -> aggregation::Message {
    aggregation::Message::LayoutUnknown { kind, shard: 9, page: 2 }
}

fn digest(token: u32, range_hashes: Vec<u32>) -> Body {
    Body::Digest { token, range_hashes }
}

fn differences(token: u32, ranges: u16, record_ids: Vec<u32>) -> Body {
    Body::Differences { token, ranges, record_ids }
}

/// Each kind of message in each variant, with the name of its fixture file.
fn messages() -> Vec<(&'static str, Message)> {
    let named = |body| Message { from: process("initiator-9"), body };
    let nameless = |body| Message { from: process(""), body };
    let sums = |message| nameless(Body::Aggregation(message));
    vec![
        ("push.bin", named(Body::Push(items()))),
        ("push-empty.bin", named(Body::Push(Vec::new()))),
        ("digest-overall.bin", nameless(digest(0xdead_beef, vec![0x0102_0304]))),
        ("digest-ranges.bin", nameless(digest(7, (0..16).map(|n| n * 0x1111_1111).collect()))),
        ("differences.bin", nameless(differences(7, 0x8421, vec![1, 0x1000_0000, 0xf000_0000]))),
        ("differences-none.bin", nameless(differences(u32::MAX, 0, Vec::new()))),
        ("request.bin", nameless(Body::Request(vec![5, 0xffff_ffff]))),
        ("records.bin", named(Body::Records(items()))),
        ("report-full.bin", sums(aggregation::Message::Contribution(page(full(), vec![9, 40_000])))),
        (
            "report-unchanged.bin",
            sums(aggregation::Message::Contribution(page(Layout::Unchanged(0x0a0b_0c0d), vec![1023]))),
        ),
        ("partial-full.bin", sums(aggregation::Message::Partial(page(full(), vec![0, u16::MAX])))),
        (
            "partial-unchanged.bin",
            sums(aggregation::Message::Partial(page(Layout::Unchanged(0), Vec::new()))),
        ),
        ("totals.bin", sums(totals())),
        ("layout-unknown-report.bin", sums(layout_unknown(PageKind::Contribution))),
        ("layout-unknown-partial.bin", sums(layout_unknown(PageKind::Partial))),
    ]
}

fn keys() -> Vec<(&'static str, Key)> {
    vec![
        ("key-demand.bin", Key::Demand(300)),
        ("key-slow-start-spend.bin", Key::SlowStartSpend(u64::MAX)),
        ("key-config-version.bin", Key::ConfigVersion(0)),
    ]
}

#[test]
fn datagrams_of_the_previous_release_decode_and_encode_unchanged() {
    for (name, message) in messages() {
        let bytes = read(name);
        let decoded = decode(&bytes).unwrap_or_else(|error| panic!("{name}: {error}"));
        assert_eq!(decoded, message, "{name}");
        assert_eq!(encode(&decoded), bytes, "{name}");
    }
}

#[test]
fn keys_and_localities_of_the_previous_release_decode_and_encode_unchanged() {
    for (name, key) in keys() {
        let bytes = read(name);
        assert_eq!(postcard::from_bytes::<Key>(&bytes).unwrap(), key, "{name}");
        assert_eq!(postcard::to_allocvec(&key).unwrap(), bytes, "{name}");
    }
    let bytes = read("locality.bin");
    let locality = Locality { region: "south".into(), zone: "south-b".into() };
    assert_eq!(postcard::from_bytes::<Locality>(&bytes).unwrap(), locality);
    assert_eq!(postcard::to_allocvec(&locality).unwrap(), bytes);
}

#[test]
fn every_fixture_is_tested() {
    let files = std::fs::read_dir(fixture("")).unwrap();
    let files: BTreeSet<String> =
        files.map(|file| file.unwrap().file_name().into_string().unwrap()).collect();
    let tested = messages().into_iter().map(|(name, _)| name).chain(keys().into_iter().map(|(name, _)| name));
    assert_eq!(files, tested.chain(["locality.bin"]).map(str::to_owned).collect());
}
