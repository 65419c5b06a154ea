//! The network between hollow initiators: ways, loss, doubling, cuts, and what goes over each one's wire.

use crate::fleet::SECOND;
use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// One way within a zone, between zones of a region, and between regions.
const WAYS: [Duration; 3] = [Duration::from_micros(500), Duration::from_millis(2), Duration::from_millis(60)];
/// Headers of a UDP datagram and of a TCP segment over IPv4, without options, in bytes.
pub const UDP_HEADER: usize = 28;
const TCP_HEADER: usize = 40;
/// The most payload of one TCP segment, and how many segments a new connection sends before the first
/// acknowledgement.
const SEGMENT: usize = 1460;
const INITIAL_WINDOW: usize = 10;
/// Before a lost segment goes again, at least (Linux); a lost SYN waits a second.
pub const RETRANSMITTED_AFTER: Duration = Duration::from_millis(200);
const PORT: u16 = 10_950;

/// Where an initiator stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Place {
    pub region: usize,
    /// Counted over all regions.
    pub zone: usize,
}

impl Place {
    /// Initiators are dealt out over the zones in turn, zones over the regions in turn.
    pub fn of(i: usize, regions: usize, zones: usize) -> Self {
        Place { region: i % zones % regions, zone: i % zones }
    }

    /// One way to another place.
    pub fn way(self, to: Place) -> Duration {
        let [near, between, far] = WAYS;
        match (self.region == to.region, self.zone == to.zone) {
            (false, _) => far,
            (true, false) => between,
            (true, true) => near,
        }
    }
}

/// The address of an initiator.
pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i as u32), PORT))
}

/// Whose address it is.
pub fn index(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => (u32::from(*at.ip()) & 0xff_ffff) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// How links behave, and which are cut.
#[derive(Clone, Debug)]
pub struct Links {
    /// The part of packets that is lost, and of datagrams that come twice.
    pub loss: f64,
    pub doubling: f64,
    /// The side of each initiator: only those of one side hear each other.
    pub sides: Vec<u8>,
}

impl Links {
    pub fn new(initiators: usize, loss: f64) -> Self {
        Links { loss, doubling: 0.0, sides: vec![0; initiators] }
    }

    pub fn joins(&self, a: usize, b: usize) -> bool {
        self.sides.get(a).is_some_and(|side| self.sides.get(b) == Some(side))
    }
}

/// One message each way over a TCP connection of its own: what each side puts on the wire.
#[derive(Clone, Copy, Debug)]
pub struct Connection {
    /// What the side that connects puts on the wire, and what the other one does.
    pub bytes: [usize; 2],
}

impl Connection {
    /// SYN to FIN, an acknowledgement for every two segments of the other side.
    pub fn of(asked: usize, answered: usize) -> Self {
        let segments = [asked, answered].map(|bytes| bytes.div_ceil(SEGMENT));
        // Who connects: SYN, ACK, FIN, ACK of the other's FIN. The other: SYN-ACK, ACK of the FIN, FIN.
        let bare = [4 + segments[1].div_ceil(2), 3 + segments[0].div_ceil(2)];
        let packets = [segments[0] + bare[0], segments[1] + bare[1]];
        let bytes = [packets[0] * TCP_HEADER + asked, packets[1] * TCP_HEADER + answered];
        Connection { bytes }
    }

    /// Round trips that a message waits for acknowledgements, as the window doubles.
    pub fn waits(message: usize) -> u32 {
        let (mut window, mut left, mut waits) = (INITIAL_WINDOW, message.div_ceil(SEGMENT), 0);
        while left > window {
            (left, window, waits) = (left - window, window * 2, waits + 1);
        }
        waits
    }
}

/// What goes over one initiator's wire, both directions, in bytes.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    pub all: u64,
    pub across: u64,
    pub datagrams: u64,
    /// The most in one second of virtual time.
    pub worst_second: u64,
    second: u64,
    in_second: u64,
    most: Option<u64>,
    /// Seconds with more than the most that there may be.
    pub passed: u64,
}

impl Traffic {
    /// Of which there may be so much in one second.
    pub fn bounded(most: f64) -> Self {
        Traffic { most: Some(most as u64), ..Traffic::default() }
    }

    pub fn add(&mut self, now: Duration, bytes: usize, across: bool) {
        let second = (now.as_nanos() / SECOND.as_nanos()) as u64;
        if second != self.second {
            (self.second, self.in_second) = (second, 0);
        }
        let was = self.in_second;
        self.in_second += bytes as u64;
        self.passed += u64::from(self.most.is_some_and(|most| was <= most && self.in_second > most));
        self.worst_second = self.worst_second.max(self.in_second);
        self.all += bytes as u64;
        self.across += if across { bytes as u64 } else { 0 };
    }
}

/// What an initiator's kernel keeps for a process that is stopped.
pub const HELD_MOST: usize = 212_992;

/// A datagram's place in that.
pub fn held(bytes: &Bytes) -> usize {
    // The kernel counts its own bookkeeping with each.
    bytes.len() + 768
}
