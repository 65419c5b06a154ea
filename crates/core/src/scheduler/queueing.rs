//! Queues of requests that may be sent: one for each shard, volume and class, ordered by latency objective.

use crate::interface::{RequestId, VolumeId};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// Identifies the queue of a volume's requests of one class.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(from = "(VolumeId, u16)", into = "(VolumeId, u16)")]
pub(super) struct QueueKey {
    pub(super) volume: VolumeId,
    pub(super) class: u16,
}

impl From<(VolumeId, u16)> for QueueKey {
    fn from((volume, class): (VolumeId, u16)) -> Self {
        QueueKey { volume, class }
    }
}

impl From<QueueKey> for (VolumeId, u16) {
    fn from(key: QueueKey) -> Self {
        (key.volume, key.class)
    }
}

/// A queued request, ordered by the time at which its latency objective passes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct QueueEntry {
    pub(super) objective_at: Duration,
    pub(super) request: RequestId,
}

/// The queued requests of one volume and class.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueue {
    entries: BTreeSet<QueueEntry>,
}

impl ClassQueue {
    /// Returns the requests whose latency objective passes at a time or later, the earliest first.
    pub(super) fn from(&self, objective_at: Duration) -> impl Iterator<Item = RequestId> + '_ {
        self.entries.range(QueueEntry { objective_at, request: 0 }..).map(|entry| entry.request)
    }
}

/// All queues, by shard (`None` for new objects) and key. Empty queues are dropped.
#[derive(Clone, Debug, Default)]
pub(super) struct ClassQueues {
    shards: BTreeMap<Option<u16>, BTreeMap<QueueKey, ClassQueue>>,
}

impl ClassQueues {
    pub(super) fn insert(&mut self, shard: Option<u16>, key: QueueKey, entry: QueueEntry) {
        let queues = self.shards.entry(shard).or_default();
        queues.entry(key).or_default().entries.insert(entry);
    }

    pub(super) fn remove(&mut self, shard: Option<u16>, key: QueueKey, entry: QueueEntry) {
        let Some(queues) = self.shards.get_mut(&shard) else { return };
        if let Some(queue) = queues.get_mut(&key) {
            queue.entries.remove(&entry);
            if queue.entries.is_empty() {
                queues.remove(&key);
            }
        }
        if queues.is_empty() {
            self.shards.remove(&shard);
        }
    }

    /// Returns the queues of a shard, if any request is queued for it.
    pub(super) fn of_shard(&self, shard: Option<u16>) -> Option<&BTreeMap<QueueKey, ClassQueue>> {
        self.shards.get(&shard)
    }

    /// Returns the shards for which requests are queued.
    pub(super) fn shards(&self) -> impl Iterator<Item = Option<u16>> + '_ {
        self.shards.keys().copied()
    }
}
