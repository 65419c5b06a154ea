//! Compatibility with frames and membership datagrams as the release of 2 December 2026 encoded them.
//!
//! Two releases run side by side in one installation, so each release has to decode these bytes and encode
//! the same ones.

use foca::{Codec, Header, Message, PostcardCodec};
use shaletack_membership::frame::{decode, encode, status_request, GOSSIP_CAPABLE};
use shaletack_membership::{Effect, Input, Member, Membership, DATAGRAM_VERSION};
use shaletack_observations::{Claim, EndpointHealth, Observer, Report, ReportedReadiness};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MAGIC: u8 = 0xd7;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// Parses a fixture file: the recorded bytes by name.
fn parse_fixture(text: &str) -> BTreeMap<String, Vec<u8>> {
    let line = |line: &str| {
        let (name, digits) = line.split_once(' ').unwrap();
        let byte = |at: usize| u8::from_str_radix(&digits[at..at + 2], 16).unwrap();
        (name.to_owned(), (0..digits.len()).step_by(2).map(byte).collect())
    };
    text.lines().map(line).collect()
}

fn observer() -> Observer {
    Observer { name: "n1".into(), incarnation: u64::MAX - 7 }
}

fn reports() -> Vec<(&'static str, Report)> {
    let id = || "s-00000001".to_owned();
    let claims = [
        ("ready", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Ready }),
        ("draining", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Draining }),
        ("gone", Claim::Readiness { endpoint: id(), readiness: ReportedReadiness::Removed }),
        ("failing", Claim::Health { endpoint: id(), health: EndpointHealth::Failing }),
        ("well", Claim::Health { endpoint: id(), health: EndpointHealth::Healthy }),
        ("started", Claim::Started { endpoint: id(), uptime: Duration::new(12, 345_678_901) }),
        ("spent", Claim::SlowStartUnits { endpoint: id(), milli_units: 1_234_567 }),
        ("demand", Claim::Demand { volume: 4_242, milli_units_per_second: u64::MAX }),
    ];
    let report = |(name, claim): (&'static str, Claim)| {
        let hops = if claim.is_contribution() { 0 } else { 3 };
        let report = Report {
            claim,
            observer: observer(),
            endpoint_incarnation: 1_700_000_000_000,
            hops,
            age: Duration::from_millis(2500),
        };
        (name, report)
    };
    claims.into_iter().map(report).collect()
}

/// Returns the name, the round trip and the reports of each recorded frame.
fn frames() -> Vec<(String, Duration, Vec<Report>)> {
    let round_trip = Duration::new(0, 1_250_000);
    let mut frames = vec![("empty".to_owned(), round_trip, Vec::new())];
    for (name, report) in reports() {
        frames.push((name.to_owned(), round_trip, vec![report]));
    }
    let all: Vec<Report> = reports().into_iter().map(|(_, report)| report).collect();
    frames.push(("all".to_owned(), round_trip, all.clone()));
    frames.push(("answer".to_owned(), GOSSIP_CAPABLE, all));
    frames
}

#[test]
fn frames_of_the_previous_release_round_trip() {
    let mut recorded = parse_fixture(include_str!("fixtures/frames.hex"));
    assert_eq!(hex(&recorded.remove("status").unwrap()), hex(&status_request()));
    for (name, round_trip, reports) in frames() {
        let bytes = recorded.remove(&name).unwrap_or_else(|| panic!("the fixture has no frame {name}"));
        let message = decode(&bytes).unwrap();
        assert_eq!(
            (&message.from, message.round_trip, &message.reports),
            (&observer(), round_trip, &reports),
            "{name}"
        );
        assert_eq!(hex(&encode(&message.from, message.round_trip, message.reports)), hex(&bytes), "{name}");
    }
    assert!(recorded.is_empty(), "fixture entries that no case uses: {:?}", recorded.keys());
}

/// A decoded membership datagram: its header and its member updates.
struct Datagram {
    header: Header<Member>,
    members: Option<Vec<foca::Member<Member>>>,
}

/// Decodes a datagram by foca's packet format: a header, the number of updates, and the updates.
fn read_datagram(bytes: &[u8]) -> Datagram {
    assert_eq!(bytes[..2], [MAGIC, DATAGRAM_VERSION]);
    let mut rest = &bytes[2..];
    let header = PostcardCodec.decode_header(&mut rest).unwrap();
    if rest.is_empty() {
        return Datagram { header, members: None };
    }
    let (count, mut rest) = rest.split_first_chunk::<2>().unwrap();
    let count = u16::from_be_bytes(*count);
    let members = (0..count).map(|_| PostcardCodec.decode_member(&mut rest).unwrap()).collect();
    assert!(rest.is_empty());
    Datagram { header, members: Some(members) }
}

fn write_datagram(datagram: &Datagram) -> Vec<u8> {
    let mut bytes = vec![MAGIC, DATAGRAM_VERSION];
    PostcardCodec.encode_header(&datagram.header, &mut bytes).unwrap();
    if let Some(members) = &datagram.members {
        bytes.extend((members.len() as u16).to_be_bytes());
        for member in members {
            PostcardCodec.encode_member(member, &mut bytes).unwrap();
        }
    }
    bytes
}

fn kind(message: &Message<Member>) -> &'static str {
    match message {
        Message::Ping(_) => "ping",
        Message::Ack(_) => "ack",
        Message::PingReq { .. } => "ping-request",
        Message::IndirectPing { .. } => "indirect-ping",
        Message::IndirectAck { .. } => "indirect-ack",
        Message::ForwardedAck { .. } => "forwarded-ack",
        Message::Announce => "announce",
        Message::Feed => "feed",
        Message::Gossip => "gossip",
        Message::Broadcast => "broadcast",
        Message::TurnUndead => "turn-undead",
    }
}

#[test]
fn membership_datagrams_of_the_previous_release_round_trip() {
    let recorded = parse_fixture(include_str!("fixtures/membership.hex"));
    let mut kinds = BTreeSet::new();
    for (name, bytes) in recorded {
        let datagram = read_datagram(&bytes);
        assert_eq!(name.split('.').next(), Some(kind(&datagram.header.message)));
        kinds.insert(kind(&datagram.header.message));
        assert_eq!(hex(&write_datagram(&datagram)), hex(&bytes), "{name}");
        // The receiver accepts the datagram unchanged.
        let mut receiver = Membership::new(datagram.header.dst, Vec::new(), 1);
        let effects = receiver.step(Duration::from_secs(1), Input::DatagramReceived(bytes.into()));
        assert!(
            !effects.iter().any(|effect| matches!(effect, Effect::DatagramFailed(_))),
            "{name}: {effects:?}"
        );
    }
    let all =
        "ack announce feed forwarded-ack gossip indirect-ack indirect-ping ping ping-request turn-undead";
    assert_eq!(
        kinds.into_iter().collect::<Vec<_>>().join(" "),
        all,
        "every kind of message except custom broadcasts, which are not used"
    );
}
