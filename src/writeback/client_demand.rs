//! Counts the client requests that wait for each shard, so that background work leaves these shards to
//! clients.

use super::cache::WriteBackCache;
use std::collections::BTreeMap;

/// Number of waiting client requests by shard.
#[derive(Debug, Default)]
pub(super) struct ClientDemand {
    requests: BTreeMap<u16, usize>,
}

impl ClientDemand {
    /// Adds a request and returns the new number of requests of the shard.
    pub fn add(&mut self, shard: u16) -> usize {
        let requests = self.requests.entry(shard).or_default();
        *requests += 1;
        *requests
    }

    /// Removes a request and returns the remaining number of requests of the shard.
    pub fn remove(&mut self, shard: u16) -> usize {
        let requests = self.requests.entry(shard).or_default();
        *requests = requests.saturating_sub(1);
        *requests
    }
}

/// Counts a client's request as waiting for a shard until the guard is dropped.
pub struct ClientDemandGuard {
    cache: WriteBackCache,
    shard: u16,
}

impl ClientDemandGuard {
    pub(super) fn new(cache: WriteBackCache, shard: u16) -> Self {
        ClientDemandGuard { cache, shard }
    }
}

impl Drop for ClientDemandGuard {
    fn drop(&mut self) {
        self.cache.unregister_client_request(self.shard);
    }
}
