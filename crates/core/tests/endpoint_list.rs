//! Tests of the endpoint list parser: lists with invalid entries, and long lists.

use shaletack_core::endpoint_list::{read, ParsedList};
use shaletack_core::interface::Readiness;

fn entry(id: &str, cell: &str, phase: &str) -> String {
    format!(r#"{{"id":"{id}","host_port":"10.1.0.1:5000","cell":{cell},"phase":"{phase}","up_since_ms":0}}"#)
}

fn list(entries: &[String]) -> Vec<u8> {
    format!(r#"{{"revision":4,"complete":true,"members":[{}]}}"#, entries.join(",")).into_bytes()
}

/// A list holds invalid entries. If they made the whole list unreadable, the watch would be closed and opened
/// again for as long as such an entry is listed, and no change would be received.
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
        // A draining endpoint and its replacement hold the same shard.
        entry("s-6", "5", "up"),
    ];
    let ParsedList { list, errors } = read(&mut list(&entries)).unwrap();
    let ids: Vec<&str> = list.entries.iter().map(|entry| entry.id.as_str()).collect();
    assert_eq!(ids, ["s-1", "s-5", "s-6"]);
    assert_eq!(list.entries[1].readiness, Readiness::Draining, "the last entry must be used");
    assert_eq!(errors.len(), 5, "{errors:?}");
    let texts: Vec<String> = errors.iter().map(ToString::to_string).collect();
    assert!(texts[0].contains("s-2") && texts[1].contains("s-3"), "{texts:?}");
}

#[test]
fn a_list_of_5000_entries_is_read_completely() {
    let entries: Vec<String> =
        (0..5000).map(|n| entry(&format!("s-{n}"), &(n % 60).to_string(), "up")).collect();
    let ParsedList { list, errors } = read(&mut list(&entries)).unwrap();
    assert_eq!((list.entries.len(), errors.len()), (5000, 0));
}
