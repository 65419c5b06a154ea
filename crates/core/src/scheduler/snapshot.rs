//! Hand-over state of the scheduler: what one process of an initiator passes to the next.

use super::endpoints::Endpoint;
use super::volumes::Volume;
use super::Scheduler;
use crate::interface::{EndpointId, VolumeId};
use crate::measure::TokenBucket;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// What a scheduler has observed and spent, for the process that succeeds its own.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SchedulerSnapshot {
    #[serde(rename = "started")]
    started_at: Duration,
    volumes: Vec<(VolumeId, Volume)>,
    #[serde(rename = "nodes")]
    endpoints: Vec<(EndpointId, Endpoint)>,
}

impl Scheduler {
    /// Returns what the scheduler has observed and spent, for a process that takes over this share of its
    /// budgets.
    pub fn snapshot(&self, budget_share: f64) -> SchedulerSnapshot {
        let mut volumes: Vec<_> = self.volumes.iter().map(|(id, volume)| (id, volume.clone())).collect();
        volumes.iter_mut().for_each(|(_, volume)| volume.limit.scale_tokens(budget_share));
        let endpoints = self.endpoints.iter().map(|(id, endpoint)| (id, self.without_savings(endpoint)));
        SchedulerSnapshot { started_at: self.started_at, volumes, endpoints: endpoints.collect() }
    }

    /// Returns a copy of an endpoint without the savings for its slow start, which stay with this process. An
    /// overdraft is kept, because it counts for both processes.
    fn without_savings(&self, endpoint: &Endpoint) -> Endpoint {
        let mut endpoint = endpoint.clone();
        let overdraft = endpoint.start.savings.tokens.min(0.0);
        endpoint.start.savings = TokenBucket::holding(overdraft, self.now);
        endpoint
    }

    /// Continues from the state of another process of this initiator. The endpoint list has arrived already,
    /// so the readiness, shard and zone of an endpoint stay as listed. Endpoints that are not listed are
    /// ignored.
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
