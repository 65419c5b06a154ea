//! Compatibility with reports on endpoints and volumes as the release of 2 December 2026 encoded them.
//!
//! Two releases run side by side in one installation, so each release has to decode these bytes and encode
//! the same ones.

use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletack_observations::{Claim, EndpointHealth, Observer, Report, ReportedReadiness};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

fn observer() -> Observer {
    Observer { name: "n1".into(), incarnation: u64::MAX - 7 }
}

fn readinesses() -> Vec<(&'static str, ReportedReadiness)> {
    vec![
        ("standing.ready", ReportedReadiness::Ready),
        ("standing.draining", ReportedReadiness::Draining),
        ("standing.gone", ReportedReadiness::Removed),
    ]
}

fn claims() -> Vec<(&'static str, Claim)> {
    let id = || "s-00000001".to_owned();
    vec![
        ("claim.ready", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Ready }),
        ("claim.draining", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Draining }),
        ("claim.gone", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Removed }),
        ("claim.failing", Claim::Health { endpoint: id(), health: EndpointHealth::Failing }),
        ("claim.well", Claim::Health { endpoint: id(), health: EndpointHealth::Healthy }),
        ("claim.started", Claim::Started { endpoint: id(), uptime: Duration::new(12, 345_678_901) }),
        ("claim.spent", Claim::SlowStartUnits { endpoint: id(), milli_units: 1_234_567 }),
        ("claim.demand", Claim::Demand { volume: 4_242, milli_units_per_second: u64::MAX }),
    ]
}

fn reports() -> Vec<(String, Report)> {
    let report = |(number, (name, claim)): (usize, (&str, Claim))| {
        let hops = if claim.is_contribution() { 0 } else { number as u8 * 7 };
        let age = Duration::new(number as u64, 500_000_000 + number as u32);
        let start = 1_700_000_000_000 * number as u64;
        (
            name.replace("claim", "report"),
            Report { claim, observer: observer(), endpoint_incarnation: start, hops, age },
        )
    };
    claims().into_iter().enumerate().map(report).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses the fixture file: the recorded bytes by name.
fn parse_fixture() -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        (name.to_owned(), (0..digits.len()).step_by(2).map(byte).collect())
    };
    include_str!("fixtures/reports.hex").lines().map(line).collect()
}

/// Asserts that `value` is decoded from the recorded bytes and encoded to the same bytes.
fn assert_round_trip<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    recorded: &mut BTreeMap<String, Vec<u8>>,
    name: &str,
    value: &T,
) {
    let bytes = recorded.remove(name).unwrap_or_else(|| panic!("the fixture has no entry {name}"));
    let read: T = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, *value, "{name}");
    assert_eq!(hex(&postcard::to_allocvec(&read).unwrap()), hex(&bytes), "{name}");
}

#[test]
fn reports_of_the_previous_release_round_trip() {
    let mut recorded = parse_fixture();
    assert_round_trip(&mut recorded, "observer", &observer());
    for (name, readiness) in readinesses() {
        assert_round_trip(&mut recorded, name, &readiness);
    }
    for (name, claim) in claims() {
        assert_round_trip(&mut recorded, name, &claim);
    }
    for (name, report) in reports() {
        assert_round_trip(&mut recorded, &name, &report);
    }
    assert!(recorded.is_empty(), "fixture entries that no case uses: {:?}", recorded.keys());
}
