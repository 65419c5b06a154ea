//! Lists with faults, and long ones.

use shaletack_core::endpoint_list::{read, ReadList};
use shaletack_core::interface::Readiness;

fn entry(id: &str, cell: &str, phase: &str) -> String {
    format!(r#"{{"id":"{id}","host_port":"10.1.0.1:5000","cell":{cell},"phase":"{phase}","up_since_ms":0}}"#)
}

fn list(entries: &[String]) -> Vec<u8> {
    format!(r#"{{"revision":4,"complete":true,"members":[{}]}}"#, entries.join(",")).into_bytes()
}

/// One entry of a list is bad. Were the whole list unreadable for it, the watch would be broken off and opened again for as
/// long as the entry stands, and no change would be received.
#[test]
fn a_bad_entry_is_named_and_skipped_and_the_rest_counts() {
    let entries = [
        entry("s-1", "1", "up"),
        entry("s-2", "2", "asleep"),
        entry("s-3", "\"three\"", "up"),
        entry("", "4", "up"),
        "7".to_string(),
        entry("s-5", "5", "up"),
        entry("s-5", "5", "draining"),
        // An endpoint that drains and the one that takes its place hold the same shard.
        entry("s-6", "5", "up"),
    ];
    let ReadList { list, faults } = read(&mut list(&entries)).unwrap();
    let ids: Vec<&str> = list.entries.iter().map(|m| m.id.as_str()).collect();
    assert_eq!(ids, ["s-1", "s-5", "s-6"]);
    assert_eq!(list.entries[1].readiness, Readiness::Draining, "the last entry counts");
    assert_eq!(faults.len(), 5, "{faults:?}");
    let texts: Vec<String> = faults.iter().map(ToString::to_string).collect();
    assert!(texts[0].contains("s-2") && texts[1].contains("s-3"), "{texts:?}");
}

#[test]
fn a_list_of_5000_entries_is_read_completely() {
    let entries: Vec<String> =
        (0..5000).map(|n| entry(&format!("s-{n}"), &(n % 60).to_string(), "up")).collect();
    let ReadList { list, faults } = read(&mut list(&entries)).unwrap();
    assert_eq!((list.entries.len(), faults.len()), (5000, 0));
}
