//! The identity of a process in the membership protocol.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// Added to the epoch when a process that was declared down renews its identity. Clocks are set back by less
/// than this, so a process that restarted after its clock was set back can still rejoin.
const RENEWAL_STEP: Duration = Duration::from_secs(3600);

/// One process among its peers, as SWIM identifies it.
///
/// Encoded by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The initiator's name.
    pub name: String,
    /// A random number, drawn when the process starts.
    pub incarnation: u64,
    /// When the process started, in Unix milliseconds. Of two processes at one address, the one with the
    /// later epoch replaces the other.
    pub epoch: u64,
    /// The address where the process receives datagrams and accepts exchanges.
    pub address: SocketAddr,
}

impl Member {
    /// A placeholder for the unknown process at an address, to which a joining process announces itself.
    pub(crate) fn unknown_at(address: SocketAddr) -> Self {
        Member { name: String::new(), incarnation: 0, epoch: 0, address }
    }
}

impl Identity for Member {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        let epoch = self.epoch.saturating_add(RENEWAL_STEP.as_millis() as u64);
        Some(Member { epoch, ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.address
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.epoch, self.incarnation) > (other.epoch, other.incarnation)
    }
}
