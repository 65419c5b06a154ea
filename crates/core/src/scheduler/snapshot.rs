//! What one process of an initiator hands over to the next; nothing is decided here.

use super::endpoints::Endpoint;
use super::volumes::Volume;
use super::Scheduler;
use crate::interface::{EndpointId, VolumeId};
use crate::measure::TokenBucket;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a scheduler has learnt and spent, for the process that takes its place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SchedulerSnapshot {
    #[serde(rename = "started")]
    started_at: Duration,
    volumes: Vec<(VolumeId, Volume)>,
    #[serde(rename = "nodes")]
    endpoints: Vec<(EndpointId, Endpoint)>,
}

impl Scheduler {
    /// What it has learnt and spent, for a process that takes this part of its budgets.
    pub fn snapshot(&self, budget_part: f64) -> SchedulerSnapshot {
        let mut volumes: Vec<_> = self.volumes.iter().map(|(id, volume)| (id, volume.clone())).collect();
        volumes.iter_mut().for_each(|(_, volume)| volume.limit.scale_tokens(budget_part));
        let endpoints = self.endpoints.iter().map(|(id, endpoint)| (id, self.without_savings(endpoint)));
        SchedulerSnapshot { started_at: self.started_at, volumes, endpoints: endpoints.collect() }
    }

    /// Savings for an endpoint in slow start stay with this process; an overdraft binds both.
    fn without_savings(&self, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let overdraft = endpoint.start.savings.tokens.min(0.0);
        endpoint.start.savings = TokenBucket::holding(overdraft, self.now);
        endpoint
    }

    /// Goes on where another process of this initiator was. The endpoint list has come already: who serves what stays
    /// as it says.
    pub fn restore(&mut self, snapshot: SchedulerSnapshot) {
        self.started_at = snapshot.started_at;
        self.volumes.extend(snapshot.volumes);
        for (id, restored) in snapshot.endpoints {
            if let Some(own) = self.endpoints.get_mut(id) {
                let Endpoint { ready, removed, shard, zone, .. } = *own;
                *own = Endpoint { ready, removed, shard, zone, ..restored };
            }
        }
    }
}
