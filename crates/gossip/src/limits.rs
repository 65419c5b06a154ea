//! Limits on what gossip sends, receives and stores.
//!
//! The limits bound the cost of a flood of updates and of a faulty peer. Aggregation has limits of its own,
//! see [`crate::aggregation`].

use crate::codec::{IP_UDP_HEADER_BYTES, MAX_DATAGRAM_BYTES};
use crate::rate_limiter::RateLimiter;
use shaletack_observations::MAX_NAME_BYTES;
use std::time::Duration;

/// Bytes per second, headers included, that updates and digests may send together. Each of the two gets half.
pub const GOSSIP_BYTES_PER_SECOND: f64 = 3000.0;
/// Burst size, in bytes, of updates and digests together. Each of the two gets half.
pub const GOSSIP_BURST_BYTES: f64 = 24_576.0;
/// Datagrams per second that are decoded, with a burst of twice as many. Datagrams above the limit are
/// dropped without being decoded.
pub const MAX_DATAGRAMS_PER_SECOND: f64 = 300.0;
/// The most updates that are pushed at the same time. Above the limit the least urgent updates are dropped,
/// and their records spread by anti-entropy only.
pub const MAX_UPDATES: usize = 256;
/// The most membership records that are stored.
pub const MAX_MEMBERSHIP_RECORDS: usize = 4096;
/// The most record ids in one datagram.
pub(crate) const MAX_RECORD_IDS: usize = 220;
/// The most bytes of items in one datagram.
pub(crate) const MAX_PAYLOAD_BYTES: usize = 1200;
/// An upper bound of the encoded size of one item, in bytes.
pub(crate) const MAX_ITEM_BYTES: usize = 2 * MAX_NAME_BYTES + 64;
/// The most bytes of a datagram besides its items: IP, UDP and gossip headers, and a sender with the longest
/// name.
pub(crate) const MAX_DATAGRAM_OVERHEAD_BYTES: usize = IP_UDP_HEADER_BYTES + MAX_NAME_BYTES + 24;

const _: () = assert!(MAX_PAYLOAD_BYTES + 100 < MAX_DATAGRAM_BYTES);

/// Creates a limiter for half of the gossip bytes. Updates and digests have one each, so neither delays the
/// other.
pub(crate) fn gossip_rate_limiter(now: Duration) -> RateLimiter {
    RateLimiter::new(GOSSIP_BYTES_PER_SECOND / 2.0, GOSSIP_BURST_BYTES / 2.0, now)
}

/// Creates a limiter for the datagrams that are decoded.
pub(crate) fn datagram_rate_limiter(now: Duration) -> RateLimiter {
    RateLimiter::new(MAX_DATAGRAMS_PER_SECOND, 2.0 * MAX_DATAGRAMS_PER_SECOND, now)
}
