//! State that all peer tasks of this process share.

use crate::runtime::host::Host;
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// The core, this process's identity, the clock of the state machines, and the datagram socket.
pub(super) struct Context {
    /// The core and its event loop.
    pub(super) host: Host,
    /// The identity of this process.
    pub(super) me: Observer,
    /// The UDP socket that membership and gossip share.
    pub(super) socket: UdpSocket,
    /// The origin of the state machines' clock.
    pub(super) started_at: Instant,
}

impl Context {
    /// Returns the current time of the state machines: the time since `started_at`.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sends a datagram. Errors are ignored: both protocols tolerate lost datagrams.
    pub(super) async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let _ = self.socket.send_to(datagram, to).await;
    }

    /// Returns the reports that this process sends in an exchange.
    pub(super) fn reports(&self) -> Vec<Report> {
        let now = Instant::now();
        self.host.with_broker(|broker| broker.peer_reports(now))
    }
}
