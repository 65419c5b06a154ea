//! Order by key: in ordered classes, requests with one key run one at a time, in the order taken.

use crate::interface::RequestId;
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

/// The requests of one key, in the order taken.
#[derive(Clone, Debug, Default)]
struct KeyFifo {
    requests: VecDeque<RequestId>,
    /// An attempt may still run: the next request waits until then.
    paused_until: Duration,
}

/// The order of all keys.
#[derive(Clone, Debug, Default)]
pub(super) struct KeyOrder {
    fifos: BTreeMap<u64, KeyFifo>,
    paused: BTreeSet<(Duration, u64)>,
}

impl KeyOrder {
    /// Adds a request behind the others of its key; true if it may run at once.
    pub(super) fn push(&mut self, key: u64, id: RequestId, now: Duration) -> bool {
        let fifo = self.fifos.entry(key).or_default();
        fifo.requests.push_back(id);
        fifo.requests.len() == 1 && fifo.paused_until <= now
    }

    /// An attempt of this key may still run: what comes after waits until then.
    pub(super) fn pause(&mut self, key: u64, until: Duration) {
        if let Some(fifo) = self.fifos.get_mut(&key) {
            fifo.paused_until = until;
        }
    }

    pub(super) fn remove(&mut self, key: u64, id: RequestId) {
        if let Some(fifo) = self.fifos.get_mut(&key) {
            fifo.requests.retain(|&request| request != id);
        }
    }

    /// The request that has the turn; `None` while the key is paused or where none is left.
    pub(super) fn next(&mut self, key: u64, now: Duration) -> Option<RequestId> {
        let fifo = self.fifos.get(&key)?;
        if fifo.paused_until > now {
            self.paused.insert((fifo.paused_until, key));
            return None;
        }
        let first = fifo.requests.front().copied();
        if first.is_none() {
            self.fifos.remove(&key);
        }
        first
    }

    /// When the next pause ends, and of which key.
    pub(super) fn next_resumption(&self) -> Option<(Duration, u64)> {
        self.paused.first().copied()
    }

    pub(super) fn resumed(&mut self, at: Duration, key: u64) {
        self.paused.remove(&(at, key));
    }
}
