//! What initiators send each other of endpoints and volumes, as the release of 2 December 2026 wrote it. Two releases
//! run side by side in one installation, so each has to read these bytes and to write the same ones.

use serde::de::DeserializeOwned;
use serde::Serialize;
use shaletack_knowledge::{Observer, Standing, Told, What};
use std::collections::BTreeMap;
use std::fmt::Debug;
use std::time::Duration;

fn observer() -> Observer {
    Observer { name: "n1".into(), life: u64::MAX - 7 }
}

fn standings() -> Vec<(&'static str, Standing)> {
    vec![
        ("standing.ready", Standing::Ready),
        ("standing.draining", Standing::Draining),
        ("standing.gone", Standing::Gone),
    ]
}

fn claims() -> Vec<(&'static str, What)> {
    let id = || "s-00000001".to_owned();
    vec![
        ("claim.ready", What::Standing(id(), Standing::Ready)),
        ("claim.draining", What::Standing(id(), Standing::Draining)),
        ("claim.gone", What::Standing(id(), Standing::Gone)),
        ("claim.failing", What::Failing(id(), true)),
        ("claim.well", What::Failing(id(), false)),
        ("claim.started", What::Started(id(), Duration::new(12, 345_678_901))),
        ("claim.spent", What::Spent(id(), 1_234_567)),
        ("claim.demand", What::Demand(4_242, u64::MAX)),
    ]
}

fn reports() -> Vec<(String, Told)> {
    let report = |(number, (name, what)): (usize, (&str, What))| {
        let hops = if what.is_amount() { 0 } else { number as u8 * 7 };
        let age = Duration::new(number as u64, 500_000_000 + number as u32);
        let start = 1_700_000_000_000 * number as u64;
        (name.replace("claim", "report"), Told { what, by: observer(), start, hops, age })
    };
    claims().into_iter().enumerate().map(report).collect()
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The kept bytes by name.
fn kept() -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        (name.to_owned(), (0..digits.len()).step_by(2).map(byte).collect())
    };
    include_str!("fixtures/reports.hex").lines().map(line).collect()
}

fn is_read_and_written<T: Serialize + DeserializeOwned + PartialEq + Debug>(
    kept: &mut BTreeMap<String, Vec<u8>>,
    name: &str,
    value: &T,
) {
    let bytes = kept.remove(name).unwrap_or_else(|| panic!("{name} is not among the kept"));
    let read: T = postcard::from_bytes(&bytes).unwrap();
    assert_eq!(read, *value, "{name}");
    assert_eq!(hex(&postcard::to_allocvec(&read).unwrap()), hex(&bytes), "{name}");
}

#[test]
fn what_the_release_before_sent_is_read_and_written_the_same() {
    let mut kept = kept();
    is_read_and_written(&mut kept, "observer", &observer());
    for (name, standing) in standings() {
        is_read_and_written(&mut kept, name, &standing);
    }
    for (name, claim) in claims() {
        is_read_and_written(&mut kept, name, &claim);
    }
    for (name, report) in reports() {
        is_read_and_written(&mut kept, &name, &report);
    }
    assert!(kept.is_empty(), "kept, but read by nothing: {:?}", kept.keys());
}
