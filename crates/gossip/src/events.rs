//! The inputs and effects of the gossip state machine.

use crate::aggregation::{Key, Total};
use crate::codec::DecodeError;
use crate::ConfigRollout;
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// An event that [`crate::Gossip::step`] handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// Membership reports that a member is alive.
    MemberUp {
        /// The address at which the member receives datagrams.
        address: SocketAddr,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// Membership reports that a member has left or failed.
    MemberDown {
        /// The address at which the member received datagrams.
        address: SocketAddr,
        /// The member's incarnation.
        incarnation: u64,
    },
    /// The process at this address is known to speak this protocol version.
    SupportConfirmed(SocketAddr),
    /// Everything that this process observes first-hand now. Only new observations are pushed, and those that
    /// still hold are refreshed before they expire.
    LocalObservations(Vec<Report>),
    /// An exchange of reports with a peer over TCP has completed.
    Exchanged {
        /// The peer.
        from: Observer,
        /// The round-trip time of the exchange.
        round_trip: Duration,
        /// The reports that the peer sent.
        reports: Vec<Report>,
    },
    /// This process's amounts, in thousandths of a unit; they replace all earlier amounts. An amount of 0
    /// requests the total of its key without adding a contributor.
    LocalAmounts(Vec<(Key, u64)>),
    /// The configuration version that is in force in this process from now on; `None` if its configuration
    /// names no version.
    ConfigVersion(Option<u64>),
    /// A datagram arrived.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// The time of the last [`Effect::WakeAt`] has come.
    TimerFired,
}

/// An action that the caller of [`crate::Gossip::step`] has to carry out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram. The caller need not resend a lost datagram: the protocol makes up for losses.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// The whole datagram.
        bytes: Vec<u8>,
    },
    /// Validated observations that were new to this process.
    Learned(Vec<Report>),
    /// The sums over all other initiators that are known now, except those of configuration versions.
    Totals(Vec<(Key, Total)>),
    /// The progress of this process's configuration version across the fleet has changed.
    ConfigRollout(ConfigRollout),
    /// A datagram could not be decoded and was dropped.
    DatagramRejected {
        /// The sender's address.
        from: SocketAddr,
        /// The reason.
        error: DecodeError,
    },
    /// A peer sent items that are out of range, or first-hand items in the name of another observer.
    InvalidItems {
        /// The peer's name.
        from: String,
        /// The number of such items in one datagram.
        count: usize,
    },
    /// Send [`Input::TimerFired`] at this time. Replaces any earlier timer.
    WakeAt(Duration),
}
