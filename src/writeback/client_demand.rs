//! How many requests of clients wait for each shard: background work leaves these shards alone.

use super::cache::WriteBackCache;
use std::collections::BTreeMap;

/// Requests of clients by shard.
#[derive(Debug, Default)]
pub(super) struct ClientDemand {
    requests: BTreeMap<u16, usize>,
}

impl ClientDemand {
    /// Counts a request; returns how many there are now.
    pub fn add(&mut self, shard: u16) -> usize {
        let requests = self.requests.entry(shard).or_default();
        *requests += 1;
        *requests
    }

    /// Counts a request no more; returns how many are left.
    pub fn remove(&mut self, shard: u16) -> usize {
        let requests = self.requests.entry(shard).or_default();
        *requests = requests.saturating_sub(1);
        *requests
    }
}

/// A request of a client that waits for a shard until this is dropped.
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
        self.cache.client_request_ended(self.shard);
    }
}
