//! Models the network between hollow initiators: delays, packet loss, duplication, partitions, and the
//! traffic of each initiator.

use crate::fleet::SECOND;
use bytes::Bytes;
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// One-way delays within a zone, between zones of a region, and between regions.
const ONE_WAY_DELAYS: [Duration; 3] =
    [Duration::from_micros(500), Duration::from_millis(2), Duration::from_millis(60)];
/// Bytes of the headers of a UDP datagram over IPv4, without options.
pub const UDP_HEADER_BYTES: usize = 28;
/// Bytes of the headers of a TCP segment over IPv4, without options.
const TCP_HEADER_BYTES: usize = 40;
/// Maximum payload of a TCP segment.
pub const MAX_SEGMENT_BYTES: usize = 1460;
/// Segments that a new TCP connection sends before the first acknowledgement.
const INITIAL_WINDOW_SEGMENTS: usize = 10;
/// Minimum time before a lost TCP segment is retransmitted (on Linux); for a lost SYN it is one second.
pub const RETRANSMISSION_TIMEOUT: Duration = Duration::from_millis(200);
/// Port of all initiators.
const PORT: u16 = 10_950;

/// Region and zone of an initiator.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Placement {
    /// Number of the region.
    pub region: usize,
    /// Numbered across all regions.
    pub zone: usize,
}

impl Placement {
    /// Assigns initiators to zones and zones to regions in round-robin order.
    pub fn of(i: usize, regions: usize, zones: usize) -> Self {
        Placement { region: i % zones % regions, zone: i % zones }
    }

    /// Returns the one-way delay to another initiator.
    pub fn one_way_delay(self, to: Placement) -> Duration {
        let [near, between, far] = ONE_WAY_DELAYS;
        match (self.region == to.region, self.zone == to.zone) {
            (false, _) => far,
            (true, false) => between,
            (true, true) => near,
        }
    }
}

/// Returns the address of an initiator.
pub fn initiator_address(i: usize) -> SocketAddr {
    SocketAddr::from((Ipv4Addr::from(0x0a00_0000 + i as u32), PORT))
}

/// Returns the initiator that has this address.
pub fn initiator_index(at: SocketAddr) -> usize {
    match at {
        SocketAddr::V4(at) => (u32::from(*at.ip()) & 0xff_ffff) as usize,
        SocketAddr::V6(_) => usize::MAX,
    }
}

/// Packet loss, duplication and partitions of the network.
#[derive(Clone, Debug)]
pub struct Links {
    /// Fraction of packets that are lost.
    pub loss: f64,
    /// Fraction of datagrams that arrive twice.
    pub duplication: f64,
    /// The partition of each initiator; only initiators of the same partition reach each other.
    pub partitions: Vec<u8>,
}

impl Links {
    /// Returns links without duplication or partitions.
    pub fn new(initiators: usize, loss: f64) -> Self {
        Links { loss, duplication: 0.0, partitions: vec![0; initiators] }
    }

    /// Returns whether two initiators are in the same partition.
    pub fn connected(&self, a: usize, b: usize) -> bool {
        self.partitions.get(a).is_some_and(|side| self.partitions.get(b) == Some(side))
    }
}

/// Traffic of an exchange: one message in each direction over a new TCP connection.
#[derive(Clone, Copy, Debug)]
pub struct TcpExchange {
    /// Bytes on the wire from the side that connects, and from the other side.
    pub bytes: [usize; 2],
}

impl TcpExchange {
    /// Counts all packets from SYN to FIN, with one acknowledgement for every two segments of the other side.
    pub fn new(asked: usize, answered: usize) -> Self {
        let segments = [asked, answered].map(|bytes| bytes.div_ceil(MAX_SEGMENT_BYTES));
        // The connecting side sends SYN, ACK, FIN and an ACK of the other's FIN; the other side sends
        // SYN-ACK, an ACK of the FIN, and FIN.
        let bare = [4 + segments[1].div_ceil(2), 3 + segments[0].div_ceil(2)];
        let packets = [segments[0] + bare[0], segments[1] + bare[1]];
        let bytes = [packets[0] * TCP_HEADER_BYTES + asked, packets[1] * TCP_HEADER_BYTES + answered];
        TcpExchange { bytes }
    }

    /// Returns the number of round trips that a message waits for acknowledgements while the window doubles.
    pub fn window_round_trips(message: usize) -> u32 {
        let (mut window, mut left, mut window_round_trips) =
            (INITIAL_WINDOW_SEGMENTS, message.div_ceil(MAX_SEGMENT_BYTES), 0);
        while left > window {
            (left, window, window_round_trips) = (left - window, window * 2, window_round_trips + 1);
        }
        window_round_trips
    }
}

/// Traffic of one initiator in both directions.
#[derive(Clone, Copy, Debug, Default)]
pub struct Traffic {
    /// Bytes in all.
    pub total_bytes: u64,
    /// Bytes to and from other regions.
    pub cross_region_bytes: u64,
    /// Datagrams sent.
    pub datagrams: u64,
    /// The most bytes in one second of virtual time.
    pub worst_second: u64,
    second: u64,
    second_bytes: u64,
    limit_per_second: Option<u64>,
    /// Number of seconds in which the limit was exceeded.
    pub limit_exceeded_seconds: u64,
}

impl Traffic {
    /// Returns a counter that also counts the seconds with more bytes than the limit.
    pub fn bounded(limit_per_second: f64) -> Self {
        Traffic { limit_per_second: Some(limit_per_second as u64), ..Traffic::default() }
    }

    /// Counts the bytes of one packet or exchange.
    pub fn add(&mut self, now: Duration, bytes: usize, cross_region: bool) {
        let second = (now.as_nanos() / SECOND.as_nanos()) as u64;
        if second != self.second {
            (self.second, self.second_bytes) = (second, 0);
        }
        let was = self.second_bytes;
        self.second_bytes += bytes as u64;
        self.limit_exceeded_seconds +=
            u64::from(self.limit_per_second.is_some_and(|limit| was <= limit && self.second_bytes > limit));
        self.worst_second = self.worst_second.max(self.second_bytes);
        self.total_bytes += bytes as u64;
        self.cross_region_bytes += if cross_region { bytes as u64 } else { 0 };
    }
}

/// Size of a socket's receive buffer, which holds the datagrams of a stopped process.
pub const RECEIVE_BUFFER_BYTES: usize = 212_992;

/// Returns the space that a datagram takes in the receive buffer.
pub fn receive_buffer_charge(bytes: &Bytes) -> usize {
    // The kernel adds its own overhead to each datagram.
    bytes.len() + 768
}
