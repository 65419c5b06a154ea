//! Who a process is among the others.

use foca::Identity;
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::time::Duration;

/// How much later the epoch of a renewed identity is than that of the one which was declared down: more than clocks are
/// set back, so that a process whose clock was set back is not kept out.
const RENEWAL_STEP: Duration = Duration::from_secs(3600);

/// One process among its peers, as SWIM identifies it.
///
/// Sent by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// The initiator's name.
    pub name: String,
    /// A random number, drawn when the process starts.
    pub incarnation: u64,
    /// When the process started, in Unix milliseconds. Of two processes at one address the one with the later epoch
    /// counts.
    pub epoch: u64,
    /// Where it receives datagrams and accepts exchanges.
    pub address: SocketAddr,
}

impl Member {
    /// Whoever listens at an address: a process announces itself there before it knows who that is.
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
