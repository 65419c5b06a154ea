//! Receives datagrams and hands each to the protocol whose mark it bears.

use super::context::Context;
use super::gossip::GossipTask;
use super::membership::MembershipTask;
use shaletack_gossip::codec::MAGIC as GOSSIP_MARK;
use shaletack_membership::MAX_DATAGRAM_BYTES;
use std::rc::Rc;
use std::time::Duration;

/// The pause after an error of the socket, so that one that persists does not take the core's time.
const ERROR_PAUSE: Duration = Duration::from_millis(10);

/// Receives for as long as the process runs.
pub(super) async fn receive(context: Rc<Context>, membership: Rc<MembershipTask>, gossip: Rc<GossipTask>) {
    // One byte more than any datagram has, so that a longer one is not taken for a whole one.
    let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
    loop {
        match context.socket.recv_from(&mut buffer).await {
            Ok((length, from)) => match &buffer[..length] {
                datagram @ [GOSSIP_MARK, ..] => gossip.receive(from, datagram).await,
                datagram => membership.receive(datagram).await,
            },
            // Where nobody receives what was sent, the next call may say so: no news.
            Err(_) => tokio::time::sleep(ERROR_PAUSE).await,
        }
    }
}
