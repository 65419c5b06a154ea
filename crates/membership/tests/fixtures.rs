//! What initiators send each other, frames and datagrams of membership, as the release of 2 December 2026 wrote them.
//! Two releases run side by side in one installation, so each has to read these bytes and to write the same ones.

use foca::{Codec, Header, Message, PostcardCodec};
use shaletack_membership::frame::{decode, encode, status_request, GOSSIP_CAPABLE};
use shaletack_membership::{Effect, Input, Member, Membership, DATAGRAM_VERSION};
use shaletack_observations::{Claim, EndpointHealth, Observer, Report, ReportedReadiness};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

const MARK: u8 = 0xd7;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

/// The kept bytes by name.
fn kept(text: &str) -> BTreeMap<String, Vec<u8>> {
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
    let report = |(name, what): (&'static str, Claim)| {
        let hops = if what.is_contribution() { 0 } else { 3 };
        let told = Report {
            claim: what,
            observer: observer(),
            endpoint_incarnation: 1_700_000_000_000,
            hops,
            age: Duration::from_millis(2500),
        };
        (name, told)
    };
    claims.into_iter().map(report).collect()
}

/// Each frame's name, the round trip that it says, and its reports.
fn frames() -> Vec<(String, Duration, Vec<Report>)> {
    let trip = Duration::new(0, 1_250_000);
    let mut frames = vec![("empty".to_owned(), trip, Vec::new())];
    for (name, report) in reports() {
        frames.push((name.to_owned(), trip, vec![report]));
    }
    let all: Vec<Report> = reports().into_iter().map(|(_, report)| report).collect();
    frames.push(("all".to_owned(), trip, all.clone()));
    frames.push(("answer".to_owned(), GOSSIP_CAPABLE, all));
    frames
}

#[test]
fn frames_of_the_release_before_are_read_and_written_the_same() {
    let mut kept = kept(include_str!("fixtures/frames.hex"));
    assert_eq!(hex(&kept.remove("status").unwrap()), hex(&status_request()));
    for (name, trip, facts) in frames() {
        let bytes = kept.remove(&name).unwrap_or_else(|| panic!("{name} is not among the kept"));
        let message = decode(&bytes).unwrap();
        assert_eq!(
            (&message.from, message.round_trip, &message.reports),
            (&observer(), trip, &facts),
            "{name}"
        );
        assert_eq!(hex(&encode(&message.from, message.round_trip, message.reports)), hex(&bytes), "{name}");
    }
    assert!(kept.is_empty(), "kept, but read by nothing: {:?}", kept.keys());
}

/// A datagram of membership: its header, and what it says of members.
struct Datagram {
    header: Header<Member>,
    members: Option<Vec<foca::Member<Member>>>,
}

/// By foca's description of a packet: a header, the number of updates, and the updates.
fn read_datagram(bytes: &[u8]) -> Datagram {
    assert_eq!(bytes[..2], [MARK, DATAGRAM_VERSION]);
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
    let mut bytes = vec![MARK, DATAGRAM_VERSION];
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
fn membership_datagrams_of_the_release_before_are_read_and_written_the_same() {
    let kept = kept(include_str!("fixtures/membership.hex"));
    let mut kinds = BTreeSet::new();
    for (name, bytes) in kept {
        let datagram = read_datagram(&bytes);
        assert_eq!(name.split('.').next(), Some(kind(&datagram.header.message)));
        kinds.insert(kind(&datagram.header.message));
        assert_eq!(hex(&write_datagram(&datagram)), hex(&bytes), "{name}");
        // Whom it was sent to takes it as it is.
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
        "all but custom broadcasts, of which there are none"
    );
}
