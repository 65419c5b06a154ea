//! The ids of recent requests. Each request must have an id of its own, because an endpoint would take a
//! second request with the same id for the first.

use std::collections::{HashSet, VecDeque};
use std::time::{Duration, Instant};

/// A request's id and when the request was received.
struct ReceivedId {
    received_at: Instant,
    id: String,
}

/// The ids of the requests of the last two longest deadlines, during which a request may still be open.
#[derive(Default)]
pub struct RequestIds {
    known: HashSet<String>,
    oldest_first: VecDeque<ReceivedId>,
}

impl RequestIds {
    /// Returns all ids, oldest first, and how long ago each request was received.
    pub fn all(&self) -> Vec<(Duration, String)> {
        let ids = self.oldest_first.iter();
        ids.map(|received| (received.received_at.elapsed(), received.id.clone())).collect()
    }

    /// Adds the ids of requests that a predecessor received, and how long ago it received each.
    pub fn restore(&mut self, ids: Vec<(Duration, String)>) {
        let now = Instant::now();
        for (age, id) in ids {
            self.add(id, now.checked_sub(age).unwrap_or(now));
        }
    }

    /// Adds the id of a request that was received now. Returns `false` if a request with the same id was
    /// received within the last two `longest_deadline`s.
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

    /// Adds an id. Returns `false` if the id is known already.
    fn add(&mut self, id: String, received_at: Instant) -> bool {
        let is_new = self.known.insert(id.clone());
        if is_new {
            self.oldest_first.push_back(ReceivedId { received_at, id });
        }
        is_new
    }
}
