//! Members of the release before do not gossip. They are polled by exchanges, which also finds out who is one.

use crate::peers::Peers;
use rand::seq::IteratorRandom;
use std::time::Duration;

/// How often one of them, drawn at random, is polled.
const POLL_INTERVAL: Duration = Duration::from_secs(1);

/// Polls for as long as the process runs.
pub(in crate::peers) async fn poll_without_gossip(peers: Peers) {
    loop {
        tokio::time::sleep(POLL_INTERVAL).await;
        if let Some(address) = peers.members_to_poll().into_iter().choose(&mut rand::rng()) {
            peers.exchange(address).await;
        }
    }
}
