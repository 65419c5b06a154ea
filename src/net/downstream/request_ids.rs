//! The ids of recent requests. Each request has its own: an endpoint would take a second one under it for the first.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// An id and when its request was received.
struct ReceivedId {
    received_at: Instant,
    id: String,
}

/// The ids of requests, from when each was received and for as long as any can be open.
#[derive(Default)]
pub struct RequestIds {
    known: HashSet<String>,
    oldest_first: VecDeque<ReceivedId>,
}

impl RequestIds {
    /// All of them, and how long ago each request was received.
    pub fn all(&self) -> Vec<(Duration, String)> {
        let ids = self.oldest_first.iter();
        ids.map(|received| (received.received_at.elapsed(), received.id.clone())).collect()
    }

    /// Adds those that a predecessor received, and how long ago.
    pub fn restore(&mut self, ids: Vec<(Duration, String)>) {
        let now = Instant::now();
        for (age, id) in ids {
            self.add(id, now.checked_sub(age).unwrap_or(now));
        }
    }

    /// Adds an id that was received now; false where one like it was within two of the longest deadlines.
    pub fn insert(&mut self, id: &str, longest_deadline: Duration) -> bool {
        let now = Instant::now();
        while self.oldest_first.front().is_some_and(|oldest| now > oldest.received_at + 2 * longest_deadline)
        {
            if let Some(expired) = self.oldest_first.pop_front() {
                self.known.remove(&expired.id);
            }
        }
        self.add(id.to_owned(), now)
    }

    fn add(&mut self, id: String, received_at: Instant) -> bool {
        let is_new = self.known.insert(id.clone());
        if is_new {
            self.oldest_first.push_back(ReceivedId { received_at, id });
        }
        is_new
    }
}
