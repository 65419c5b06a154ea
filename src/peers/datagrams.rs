//! Receives datagrams and dispatches each by its magic byte to gossip or membership.

use super::context::Context;
use super::gossip::GossipTask;
use super::membership::MembershipTask;
use shaletack_gossip::codec::MAGIC as GOSSIP_MAGIC;
use shaletack_membership::MAX_DATAGRAM_BYTES;
use std::rc::Rc;
use std::time::Duration;

/// The pause after a socket error, so that a persistent error does not keep the core's thread busy.
const ERROR_BACKOFF: Duration = Duration::from_millis(10);

/// Receives datagrams for as long as the process runs.
pub(super) async fn receive(context: Rc<Context>, membership: Rc<MembershipTask>, gossip: Rc<GossipTask>) {
    // One byte longer than the largest datagram, so that an oversized one is not mistaken for a complete one.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match context.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match &buffer[..length] {
                datagram @ [GOSSIP_MAGIC, ..] => gossip.receive(from, datagram).await,
                datagram => membership.receive(datagram).await,
            },
            // After a datagram was sent to a closed port, the next call may return an error. It needs no
            // handling.
            Err(_) => tokio::time::sleep(ERROR_BACKOFF).await,
        }
    }
}
