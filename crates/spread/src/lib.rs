//! How news and sums reach every initiator of a large fleet, without the sockets.
//!
//! It owns the spread of facts ([`spread`]: rumours pushed to a few partners at once, and digests that find what was
//! missed), the form of a datagram ([`datagram`]), ceilings ([`pace`]) and the sums of what initiators are asked for
//! ([`sums`]). All are state machines: bytes and moments come in, bytes and moments go out.
//!
//! It never opens a socket, reads a clock or draws a seed, and it does not weigh what peers say: that is
//! `shaletack-knowledge`'s. Whatever bytes come in, it answers with a reason or a value, never with a panic.

pub mod datagram;
pub mod pace;
pub mod spread;
pub mod sums;

use serde::{Deserialize, Serialize};

/// The place of an initiator in the fleet: its region and, in it, its zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Place {
    /// The region's name.
    pub region: String,
    /// The zone's name within the region.
    pub zone: String,
}
