//! Polls members that are not known to gossip.
//!
//! Members of the previous release do not support gossip, so their reports are fetched by exchanges over TCP.
//! The answer also shows whether the member supports gossip.

use crate::peers::Peers;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// The interval at which one of these members, chosen at random, is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls members without gossip for as long as the process runs.
pub(in crate::peers) async fn poll_members_without_gossip(peers: Peers) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Some(address) = peers.members_to_poll().into_iter().choose(&mut rand::rng()) {
            peers.exchange(address).await;
        }
    }
}
