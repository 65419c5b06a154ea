//! Reads see buffered writes through the overlay.

use bytes::Bytes;
use shaletack_wal::{Identity, LogConfig};
use shaletack_writeback::{Buffer, Config, Effect, InDoubtPolicy, Input, Overlay, OverlaySpan, Piece};
use std::time::Duration;

const BLOCK: u64 = 4096;
const VOLUME: u64 = 77;

fn overlay(spans: &[(u64, &'static [u8])]) -> Overlay {
    let span = |(offset, data): &(u64, &'static [u8])| OverlaySpan {
        offset: *offset,
        data: Bytes::from_static(data),
    };
    Overlay::new(spans.iter().map(span).collect())
}

#[test]
fn spans_are_applied_to_the_data_of_a_read_and_the_later_one_wins() {
    let spans = overlay(&[(8, b"aaaa"), (10, b"bbbb"), (18, b"cccc"), (30, b"dd")]);
    // Only parts of the first and third span lie within the range, and the last lies outside.
    assert_eq!(spans.apply(10, b"..........".to_vec()), b"bbbb....cc");
    assert_eq!(spans.apply(0, b"........".to_vec()), b"........");
    assert_eq!(Overlay::default().apply(5, b"..".to_vec()), b"..");
}

#[test]
fn a_range_is_covered_only_without_gaps() {
    let spans = overlay(&[(20, b"cccc"), (10, b"aaaaaa"), (14, b"bbbbbb")]);
    assert!(spans.covers(10, 14) && spans.covers(12, 4) && spans.covers(23, 1));
    assert!(!spans.covers(9, 2) && !spans.covers(23, 2) && !spans.covers(30, 1));
    let gap = overlay(&[(10, b"aaaa"), (15, b"bbbb")]);
    assert!(gap.covers(10, 4) && gap.covers(15, 4) && !gap.covers(10, 9));
    assert!(Overlay::default().is_empty() && !Overlay::default().covers(0, 1));
}

/// A write is visible from its acknowledgement on, to its own volume only, and writes apply in the order of
/// arrival.
#[test]
fn a_buffered_write_is_in_the_overlay_of_its_volume_at_once() {
    let log = LogConfig { segment_bytes: 8 * BLOCK, max_bytes: 48 * BLOCK, reserved_bytes: 12 * BLOCK };
    let config =
        Config { log, attempt_lifetime: Duration::from_secs(5), in_doubt_policy: InDoubtPolicy::AskOperator };
    let mut buffer = Buffer::new(Identity { log: 1, purpose: 2 }, config);
    for (command, export_offset, data) in [(1, 100, &b"older"[..]), (2, 103, &b"newer"[..])] {
        let piece = Piece { export_offset, shard: 0, endpoint_offset: 0, data: Bytes::from_static(data) };
        let write = Input::Write { command, volume: VOLUME, pieces: vec![piece], fua: false };
        let effects = buffer.step(Duration::ZERO, write);
        assert!(effects.contains(&Effect::Acknowledge(command)));
    }
    assert_eq!(buffer.overlay(VOLUME, 100, 8), overlay(&[(100, b"older"), (103, b"newer")]));
    assert_eq!(buffer.overlay(VOLUME, 100, 8).apply(100, b"........".to_vec()), b"oldnewer");
    assert_eq!(buffer.overlay(VOLUME, 100, 3), overlay(&[(100, b"older")]));
    assert!(buffer.overlay(VOLUME, 108, 8).is_empty() && buffer.overlay(VOLUME, 92, 8).is_empty());
    assert!(buffer.overlay(VOLUME + 1, 100, 8).is_empty());
}
