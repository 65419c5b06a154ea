//! The peer status that `shaletack peers` shows to an operator.

use super::Peers;
use serde_json::{json, Value};
use shaletack_gossip::Gossip;
use std::time::Duration;

/// Returns the number of members, the number of known observations and the rollout of the configuration, as
/// JSON.
pub(super) fn status(peers: &Peers) -> Value {
    let now = peers.0.context.now();
    peers.0.gossip.read(|gossip| {
        let without_gossip: Vec<String> =
            gossip.unconfirmed_members().map(|address| address.to_string()).collect();
        json!({
            "name": peers.0.context.me.name,
            "members": peers.0.membership.count(),
            "of_the_release_before": without_gossip,
            "facts": gossip.observations().len(),
            "configuration": configuration(gossip, now),
        })
    })
}

fn configuration(gossip: &Gossip, now: Duration) -> Option<Value> {
    let rollout = gossip.config_rollout(now)?;
    Some(json!({
        "version": rollout.version,
        "have": rollout.applied,
        "of": rollout.initiators,
        "everywhere": rollout.is_complete(),
        "since_ms": rollout.in_force_for.as_millis() as u64,
    }))
}
