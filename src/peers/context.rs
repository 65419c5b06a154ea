//! What all tasks of this process's part among the peers share.

use crate::runtime::host::Host;
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::net::UdpSocket;

/// The core, this process's identity, the clock that the state machines use, and the socket for datagrams.
pub(super) struct Context {
    /// The core and its loop.
    pub(super) host: Host,
    /// This process.
    pub(super) me: Observer,
    /// For membership and gossip alike.
    pub(super) socket: UdpSocket,
    /// The origin of the clock.
    pub(super) started_at: Instant,
}

impl Context {
    /// How long this process has been among the peers.
    pub(super) fn now(&self) -> Duration {
        self.started_at.elapsed()
    }

    /// Sends a datagram. Whatever becomes of it, the protocols notice what was lost.
    pub(super) async fn send(&self, to: SocketAddr, datagram: &[u8]) {
        let _ = self.socket.send_to(datagram, to).await;
    }

    /// What this process reports in an exchange.
    pub(super) fn reports(&self) -> Vec<Report> {
        let now = Instant::now();
        self.host.with_broker(|broker| broker.peer_reports(now))
    }
}
