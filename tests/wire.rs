//! The frame layout of the simulator, by its documented example frames, and the rejection of malformed
//! frames.

use shaletack::simulator::{serve, Adapter};

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<u8> = text.bytes().filter(u8::is_ascii_hexdigit).collect();
    digits.chunks(2).map(|p| u8::from_str_radix(std::str::from_utf8(p).unwrap(), 16).unwrap()).collect()
}

/// An event record that begins with these bytes; the rest is zero.
fn padded(text: &str) -> Vec<u8> {
    let mut record = hex(text);
    record.resize(56, 0);
    record
}

fn frame(clock: u64, records: &[Vec<u8>], tail: &[u8]) -> Vec<u8> {
    let length = 16 + 56 * records.len() + tail.len();
    let mut out = (length as u32).to_le_bytes().to_vec();
    out.extend(clock.to_le_bytes());
    out.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|r| out.extend(r));
    out.extend(tail);
    out
}

const CONFIG: &str = r#"{"balancers": 1, "lanes": [{"aim": 500000000, "deadline": 3000000000,
 "idempotency": "idempotent", "group": "all", "novel": 1}], "plans": [{"never-over": 0, "shares": 1}],
 "limits": {"try-limit": 3}, "membership-mode": "on_request", "report": {"fields": ["recent_ms"]}}"#;
const CLOCK: u64 = 8_418_000_784;

/// Creates instance 3 and lists the two endpoints of the documented example list.
fn start() -> (Vec<Vec<u8>>, Vec<u8>) {
    let endpoints = hex("074a1203 0000 0000 0000 01 0000803f 0000000000000000
                     f211902c 0000 0000 0100 01 0000c03f 009d966b01000000");
    let mut create = padded("08 0300 2a00000000000000");
    create[15..19].copy_from_slice(&(CONFIG.len() as u32).to_le_bytes());
    let mut list = padded("09 0300 2900000000000000 02");
    list[12..16].copy_from_slice(&(CONFIG.len() as u32).to_le_bytes());
    list[16] = 2;
    (vec![create, list], [CONFIG.as_bytes(), &endpoints].concat())
}

fn submit() -> Vec<u8> {
    padded(
        "07 0300 c4913a5d83e30b00 00004040 0000 640ad2557c3bf091 00000000 107cf3d901648e2b 0100
            001c4e0e00000000 00000040 0000",
    )
}

#[test]
fn an_empty_batch_is_answered() {
    let reply = Adapter::new().answer(&hex("10000000 90bf68f501000000 00000000")).unwrap();
    assert_eq!(reply, hex("00000000 08000000"));
}

#[test]
fn the_example_request_is_sent_to_the_endpoint_with_its_shard() {
    let (mut records, tail) = start();
    records.push(submit());
    let reply = Adapter::new().answer(&frame(CLOCK, &records, &tail)).unwrap();
    assert_eq!(reply.len() as u32, u32::from_le_bytes(reply[4..8].try_into().unwrap()));
    let actions: Vec<&[u8]> = reply[8..].chunks(24).collect();
    let sent = hex("01 0300 c4913a5d83e30b00 0000000000000000 074a1203 00");
    assert!(actions.iter().any(|action| *action == sent), "{actions:?}");
    assert!(
        actions.iter().any(|action| action[..4] == hex("0b 0300 01")[..]),
        "the endpoint list is watched"
    );
}

#[test]
fn the_example_outcome_ends_the_request() {
    let (mut records, tail) = start();
    records.push(submit());
    let mut adapter = Adapter::new();
    adapter.answer(&frame(CLOCK, &records, &tail)).unwrap();
    let outcome = padded("03 0300 c4913a5d83e30b00 00 074a1203 00 a0491a0100000000 01 5600 0300 01 00006841");
    adapter.answer(&frame(CLOCK + 1, &[outcome], &[])).unwrap();
    let late = frame(CLOCK + 4_000_000_000, &[padded("04 0300")], &[]);
    let reply = adapter.answer(&late).unwrap();
    assert!(
        !reply[8..].chunks(24).any(|action| matches!(action[0], 2 | 3)),
        "the request was answered twice"
    );
}

#[test]
fn removing_and_creating_an_instance_in_one_batch_leaves_it_empty() {
    let (records, tail) = start();
    let mut adapter = Adapter::new();
    adapter.answer(&frame(CLOCK, &[&records[..], &[submit()]].concat(), &tail)).unwrap();
    let recreate = [&[padded("01 0300")], &records[..], &[padded("0a 0300 c4913a5d83e30b00")]].concat();
    adapter.answer(&frame(CLOCK + 1, &recreate, &tail)).unwrap();
    let reply = adapter.answer(&frame(CLOCK + 4_000_000_000, &[padded("04 0300")], &[])).unwrap();
    assert!(
        !reply[8..].chunks(24).any(|action| matches!(action[0], 2 | 3)),
        "a request of the removed instance was answered"
    );
}

#[test]
fn events_of_unknown_or_removed_instances_are_ignored() {
    let mut adapter = Adapter::new();
    let reply =
        adapter.answer(&frame(CLOCK, &[submit(), padded("01 0300"), padded("04 0300")], &[])).unwrap();
    assert_eq!(reply, hex("00000000 08000000"));
}

#[test]
fn malformed_frames_are_rejected_with_a_one_line_error() {
    let (records, tail) = start();
    let good = frame(CLOCK, &records, &tail);
    let mut short = good.clone();
    short[12] = 200;
    let mut outside_tail = records.clone();
    outside_tail[1][12..16].copy_from_slice(&u32::MAX.to_le_bytes());
    let unknown_readiness = [&tail[..CONFIG.len() + 10], &[9], &tail[CONFIG.len() + 11..]].concat();
    for bad in [
        short,
        frame(CLOCK, &outside_tail, &tail),
        frame(CLOCK, &[padded("63 0300")], &[]),
        frame(CLOCK, &[padded("03 0300 c4913a5d83e30b00 00 074a1203 07")], &[]),
        frame(CLOCK, &records, &[b'x'; 900]),
        frame(CLOCK, &records, &unknown_readiness),
        good[..good.len() - 1].to_vec(),
    ] {
        let error = Adapter::new().answer(&bad).unwrap_err().to_string();
        assert!(!error.is_empty() && !error.contains('\n'));
    }
}

#[test]
fn input_that_ends_inside_a_frame_is_an_error_and_between_frames_is_not() {
    let empty = hex("10000000 90bf68f501000000 00000000");
    let mut out = Vec::new();
    serve(&mut [&empty[..], &empty[..]].concat().as_slice(), &mut out).unwrap();
    assert_eq!(out, hex("00000000 08000000 00000000 08000000"));
    assert!(serve(&mut &empty[..9], &mut Vec::new()).is_err());
    assert!(serve(&mut &empty[..3], &mut Vec::new()).is_err());
    assert!(serve(&mut &hex("03000000")[..], &mut Vec::new()).is_err());
}

#[test]
fn settings_of_the_wrong_type_are_an_error() {
    for config in ["[1]", "nonsense", r#"{"balancers": "three"}"#, r#"{"lanes": 5}"#] {
        let mut create = padded("08 0300 2a00000000000000");
        create[15] = config.len() as u8;
        assert!(Adapter::new().answer(&frame(CLOCK, &[create], config.as_bytes())).is_err(), "{config}");
    }
}
