//! Gossip between the initiators of a large fleet, as a state machine without I/O.
//!
//! Every initiator has to learn within seconds what any other initiator has observed, and the total demand on
//! all initiators. The cost per initiator must not grow with the size of the fleet, and no single process may
//! be required. Three mechanisms provide this:
//!
//! - push gossip: an update is sent to a few random peers at once, until most peers already have it;
//! - anti-entropy: peers compare digests at intervals, and exchange the records that one of them lacks;
//! - decentralised aggregation ([`aggregation`]): sums over all initiators, each counted once.
//!
//! [`Gossip`] implements one process's part in all three. Its inputs are datagrams, local events and the
//! current time; its outputs are datagrams, learned observations and the time of the next timer. The crate
//! opens no socket, reads no clock and generates no seed. It validates what peers report, but does not judge
//! whether a report is true. No input causes a panic.

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

/// The location of an initiator: a region and a zone within it.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Locality {
    /// The name of the region.
    pub region: String,
    /// The name of the zone within the region.
    pub zone: String,
}
