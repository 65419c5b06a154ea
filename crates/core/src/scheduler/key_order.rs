//! Key order: in ordered classes, requests with the same key run one at a time, in order of arrival.

use crate::interface::RequestId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The requests of one key, in order of arrival.
#[derive(Clone, Debug, Default)]
struct KeyQueue {
    requests: VecDeque<RequestId>,
    /// The next request waits until this time, because an earlier attempt may still run.
    paused_until: Duration,
}

/// The requests of all keys, and the keys that are paused.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyOrder {
    queues: BTreeMap<u64, KeyQueue>,
    /// When each pause ends, with its key.
    paused: BTreeSet<(Duration, u64)>,
}

impl KeyOrder {
    /// Appends a request to its key's queue. Returns whether the request may run at once.
    pub(super) fn push(&mut self, key: u64, id: RequestId, now: Duration) -> bool {
        let queue = self.queues.entry(key).or_default();
        queue.requests.push_back(id);
        queue.requests.len() == 1 && queue.paused_until <= now
    }

    /// Holds back the requests of a key until a time, because an attempt with this key may still run.
    pub(super) fn pause(&mut self, key: u64, until: Duration) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.paused_until = until;
        }
    }

    /// Removes a request that is finished.
    pub(super) fn remove(&mut self, key: u64, id: RequestId) {
        if let Some(queue) = self.queues.get_mut(&key) {
            queue.requests.retain(|&request| request != id);
        }
    }

    /// Returns the request of a key that may run now, or `None` while the key is paused or has no requests
    /// left. A pause found here is scheduled for [`KeyOrder::next_resumption`].
    pub(super) fn next(&mut self, key: u64, now: Duration) -> Option<RequestId> {
        let queue = self.queues.get(&key)?;
        if queue.paused_until > now {
            self.paused.insert((queue.paused_until, key));
            return None;
        }
        let first = queue.requests.front().copied();
        if first.is_none() {
            self.queues.remove(&key);
        }
        first
    }

    /// Returns when the next pause ends, and its key.
    pub(super) fn next_resumption(&self) -> Option<(Duration, u64)> {
        self.paused.first().copied()
    }

    /// Removes a pause that has ended.
    pub(super) fn resumed(&mut self, at: Duration, key: u64) {
        self.paused.remove(&(at, key));
    }
}
