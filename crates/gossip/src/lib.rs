//! Gossip between the initiators of a large fleet, without the sockets.
//!
//! Every initiator has to learn within seconds what any other one has seen, and what all of them together are asked for,
//! at a cost that does not grow with their number and with no process that all depend on. Three mechanisms do this:
//!
//! - push gossip: an update goes to a few random peers at once, until most of them already had it;
//! - anti-entropy: peers compare digests at intervals, and exchange the records that one of them lacks;
//! - decentralised aggregation ([`aggregation`]): sums over all initiators, each counted once.
//!
//! [`Gossip`] is one process's part in all three, as a state machine: datagrams, local events and moments come in;
//! datagrams, learned observations and the next moment go out. It opens no socket, reads no clock, draws no seed, and does
//! not judge what peers report. No input makes it panic.

pub mod aggregation;
mod anti_entropy;
pub mod codec;
mod config_rollout;
mod directory;
mod events;
mod gossip;
pub mod limits;
mod local_observations;
mod merge;
mod observations;
mod peer_selection;
mod push;
pub mod rate_limiter;
mod replica;
mod round_trips;

pub use config_rollout::ConfigRollout;
pub use events::{Effect, Input};
pub use gossip::Gossip;

use serde::{Deserialize, Serialize};

/// Where an initiator stands: a region and, in it, a zone.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The region's name.
    pub region: String,
    /// The zone's name within the region.
    pub zone: String,
}
