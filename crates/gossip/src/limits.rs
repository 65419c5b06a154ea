//! Bounds on what gossip sends, takes in and keeps, so that neither a flood of news nor a faulty peer costs more than
//! this. The aggregation has bounds of its own (see [`crate::aggregation`]).

use crate::codec::{IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES};
use crate::rate_limiter::RateLimiter;
use shaletack_observations::MAX_NAME_BYTES;
use std::time::Duration;

/// Bytes a second that updates and digests may send together, headers included; half of it each.
pub const GOSSIP_BYTES_PER_SECOND: f64 = 3000.0;
/// Bytes that they may send at once.
pub const GOSSIP_BURST_BYTES: f64 = 24_576.0;
/// Datagrams a second that are read, and twice as many at once; more are dropped unread.
pub const MAX_DATAGRAMS_PER_SECOND: f64 = 300.0;
/// Updates that are pushed at a time; past it the least urgent are left to digests.
pub const MAX_UPDATES: usize = 256;
/// Membership records that are kept.
pub const MAX_MEMBERSHIP_RECORDS: usize = 4096;
/// Record ids in one datagram.
pub(crate) const MAX_RECORD_IDS: usize = 220;
/// Bytes of items that a datagram is filled up to.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1200;
/// Bytes that any one item fits into.
pub(crate) const MAX_ITEM_BYTES: usize = 2 * MAX_NAME_BYTES + 64;
/// Bytes that surround the items of a datagram: headers, and the sender with the longest name.
pub(crate) const ENVELOPE_BYTES: usize = IP_UDP_HEADER_BYTES + MAX_NAME_BYTES + 24;

const _: () = assert!(MAX_PAYLOAD_BYTES + 100 < MAX_DATAGRAM_BYTES);

/// A limiter of one half of the bytes: updates and digests each have one, so neither delays the other.
pub(crate) fn half_of_gossip_bytes(now: Duration) -> RateLimiter {
    RateLimiter::new(GOSSIP_BYTES_PER_SECOND / 2.0, GOSSIP_BURST_BYTES / 2.0, now)
}

/// A limiter of the datagrams that are read.
pub(crate) fn received_datagrams(now: Duration) -> RateLimiter {
    RateLimiter::new(MAX_DATAGRAMS_PER_SECOND, 2.0 * MAX_DATAGRAMS_PER_SECOND, now)
}
