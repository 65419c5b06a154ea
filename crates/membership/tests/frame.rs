//! Encoding and decoding of frames, and the reasons for which invalid frames are rejected.

use proptest::prelude::*;
use shaletack_membership::frame::{
    decode, encode, FrameError, GOSSIP_CAPABLE, HEADER_BYTES, MAX_MESSAGE_BYTES,
};
use shaletack_observations::{Claim, EndpointHealth, Observer, Report};
use std::time::Duration;

fn me() -> Observer {
    Observer { name: "a".into(), incarnation: 9 }
}

fn reports(count: usize) -> Vec<Report> {
    let report = |i: usize| Report {
        claim: Claim::Health {
            endpoint: format!("s-{i:08x}"),
            health: [EndpointHealth::Healthy, EndpointHealth::Failing][usize::from(i.is_multiple_of(2))],
        },
        observer: me(),
        endpoint_incarnation: 1_700_000_000_000 + i as u64,
        hops: 0,
        age: Duration::from_millis(i as u64),
    };
    (0..count).map(report).collect()
}

fn frame(count: usize) -> Vec<u8> {
    encode(&me(), Duration::from_millis(3), reports(count))
}

#[test]
fn a_frame_round_trips_and_drops_the_last_reports_if_not_all_fit() {
    let message = decode(&frame(100)).unwrap();
    assert_eq!(
        (message.from, message.round_trip, message.reports),
        (me(), Duration::from_millis(3), reports(100))
    );
    let large = frame(50_000);
    assert!(
        large.len() <= HEADER_BYTES + MAX_MESSAGE_BYTES && large.len() > MAX_MESSAGE_BYTES - 512,
        "{}",
        large.len()
    );
    let decoded = decode(&large).unwrap().reports;
    assert!(decoded.len() > 1000 && decoded[..] == reports(50_000)[..decoded.len()]);
}

/// The previous release decodes exactly these bytes. It takes the marker [`GOSSIP_CAPABLE`] of an answer for
/// a negligible round trip.
#[test]
fn a_frame_has_the_bytes_that_the_previous_release_reads() {
    let report = Report {
        claim: Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing },
        observer: me(),
        endpoint_incarnation: 300,
        hops: 1,
        age: Duration::from_millis(1500),
    };
    let bytes = encode(&me(), GOSSIP_CAPABLE, vec![report]);
    let head = [b'S', b'T', b'P', b'X', 0, 1, 0, 0, 0, 24];
    assert_eq!(bytes[..10], head);
    // Name and incarnation; seconds and nanoseconds; one report: its claim, observer, endpoint incarnation,
    // hops and age.
    let message =
        [1, b'a', 9, 0, 1, 1, 1, 3, b's', b'-', b'1', 1, 1, b'a', 9, 172, 2, 1, 1, 128, 202, 181, 238, 1];
    assert_eq!(bytes[HEADER_BYTES..], message);
}

#[test]
fn an_incomplete_altered_or_foreign_frame_is_rejected_with_its_reason() {
    let valid = frame(3);
    let error_with = |at: usize, bytes: &[u8]| {
        let mut frame = valid.clone();
        frame[at..at + bytes.len()].copy_from_slice(bytes);
        decode(&frame).unwrap_err()
    };
    assert_eq!(error_with(0, b"HTTP"), FrameError::NotAFrame);
    assert_eq!(error_with(4, &[0, 2]), FrameError::UnsupportedVersion { theirs: 2 });
    assert_eq!(error_with(6, &[0xff; 4]), FrameError::TooLong { length: u32::MAX });
    assert_eq!(error_with(10, &[0; 4]), FrameError::ChecksumMismatch);
    assert_eq!(error_with(valid.len() - 1, &[0xee]), FrameError::ChecksumMismatch);
    assert_eq!(decode(&valid[..HEADER_BYTES - 1]).unwrap_err(), FrameError::Truncated);
    assert_eq!(decode(&valid[..valid.len() - 1]).unwrap_err(), FrameError::Truncated);
    assert_eq!(decode(&[&valid[..], &[0]].concat()).unwrap_err(), FrameError::ChecksumMismatch);
    // The checksum matches, but the bytes are not a message.
    let mut empty = valid[..HEADER_BYTES].to_vec();
    empty[6..14].fill(0);
    assert_eq!(decode(&empty).unwrap_err(), FrameError::Malformed);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn no_altered_bytes_are_accepted(
        noise in prop::collection::vec(any::<u8>(), 0..300),
        at in 0usize..200,
        flip in 1u8..=255,
    ) {
        prop_assert!(decode(&noise).is_err());
        let mut altered = frame(4);
        let at = at % altered.len();
        altered[at] ^= flip;
        prop_assert!(decode(&altered).is_err(), "byte {} of a frame", at);
    }
}
