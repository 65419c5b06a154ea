//! What goes into the state machine and what comes out of it.

use crate::aggregation::{Key, Total};
use crate::codec::DecodeError;
use crate::ConfigRollout;
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// Membership has a member of that incarnation at that address.
    MemberUp {
        /// Where it receives datagrams.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Membership has it no more.
    MemberDown {
        /// Where it received datagrams.
        address: SocketAddr,
        /// Its incarnation.
        incarnation: u64,
    },
    /// Whoever is at that address speaks this protocol version.
    SupportConfirmed(SocketAddr),
    /// Everything that this process sees first-hand now. Only what is new to it is passed on.
    LocalObservations(Vec<Report>),
    /// What an exchange over TCP brought.
    Exchanged {
        /// Who answered.
        from: Observer,
        /// The exchange's round trip.
        round_trip: Duration,
        /// What it reported.
        reports: Vec<Report>,
    },
    /// This process's amounts, in thousandths of a unit; replaces the last ones. 0 asks for a key's total and adds nobody.
    LocalAmounts(Vec<(Key, u64)>),
    /// This process has that configuration version in force from now on; `None`: its configuration names no version.
    ConfigVersion(Option<u64>),
    /// A datagram arrived.
    Datagram {
        /// The sender's address.
        from: SocketAddr,
        /// All of its bytes.
        bytes: Vec<u8>,
    },
    /// The moment of the last [`Effect::WakeAt`] has come.
    TimerFired,
}

/// What the caller has to do.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram. A loss is made up for.
    Send {
        /// The receiver's address.
        to: SocketAddr,
        /// All of its bytes.
        bytes: Vec<u8>,
    },
    /// Observations that were new, already validated.
    Learned(Vec<Report>),
    /// The sums over all other initiators as they are now.
    Totals(Vec<(Key, Total)>),
    /// How far this process's configuration version is in force, when that has changed.
    ConfigRollout(ConfigRollout),
    /// A datagram was dropped.
    DatagramRejected {
        /// The sender's address.
        from: SocketAddr,
        /// Why.
        error: DecodeError,
    },
    /// A peer sent items that are out of range or in another's name.
    InvalidItems {
        /// The peer's name.
        from: String,
        /// How many.
        count: usize,
    },
    /// Send [`Input::TimerFired`] at that moment; an earlier timer is void.
    WakeAt(Duration),
}
