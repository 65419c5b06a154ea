//! Compatibility of the scheduler's hand-over state with older releases: this release reads theirs, and
//! writes its own in the form that they read.

use shaletack_core::scheduler::SchedulerSnapshot;
use simd_json::OwnedValue;

/// A snapshot of the release of 2 December 2026, taken after answers, time-outs, a broken connection and a
/// rejection.
const SNAPSHOT: &str = include_str!("fixtures/scheduler-snapshot.json");

fn parse(text: &str) -> OwnedValue {
    simd_json::to_owned_value(&mut text.as_bytes().to_vec()).expect("JSON")
}

#[test]
fn a_snapshot_of_an_older_release_is_read_and_written_with_the_same_names_and_values() {
    let snapshot: SchedulerSnapshot =
        simd_json::serde::from_slice(&mut SNAPSHOT.as_bytes().to_vec()).expect("a snapshot");
    let written = simd_json::serde::to_string(&snapshot).expect("JSON");
    assert_eq!(parse(&written), parse(SNAPSHOT));
}

/// Two fields were added by later releases, so a snapshot without them must still be read.
#[test]
fn a_snapshot_without_savings_and_abandoned_units_is_read() {
    let start = SNAPSHOT.find(",\"saved\":").expect("savings");
    let end = start + SNAPSHOT[start..].find("}}").expect("their end") + 2;
    let without = format!("{}{}", &SNAPSHOT[..start], &SNAPSHOT[end..]);
    let start = without.find(",\"gone\":[").expect("abandoned units");
    let end = start + without[start..].find("]}").expect("their end") + 1;
    let without = format!("{}{}", &without[..start], &without[end..]);
    simd_json::serde::from_slice::<SchedulerSnapshot>(&mut without.into_bytes()).expect("a snapshot");
}
