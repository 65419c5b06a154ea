//! The ids of recent requests. Each request must have an id of its own, because an endpoint would take a
//! second request with the same id for the first.

use std::collections::hash_map::Entry;
use std::collections::{HashMap, VecDeque};
use std::time::{Duration, Instant};

/// A request's id, in as little memory as it takes.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
enum RequestId {
    /// 16 lower-case hexadecimal digits.
    Number(u64),
    Text(Box<str>),
}

impl RequestId {
    fn new(id: &str) -> Self {
        let number = u64::from_str_radix(id, 16).ok().filter(|number| format!("{number:016x}") == id);
        number.map_or_else(|| RequestId::Text(id.into()), RequestId::Number)
    }

    fn text(&self) -> String {
        match self {
            RequestId::Number(number) => format!("{number:016x}"),
            RequestId::Text(text) => text.to_string(),
        }
    }
}

/// A request's id and when the request was received.
struct ReceivedId {
    received_at: Instant,
    id: RequestId,
    connection: ConnectionNumber,
}

/// Identifies the connection over which a request came; 0: a connection of a predecessor.
pub type ConnectionNumber = u64;

/// Why an id is not added.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestIdError {
    /// A request with the same id is open, or ended within the last two longest deadlines.
    Known,
    /// There is no room, or only as much as the connection's own ids take already: a connection that sends very
    /// many requests leaves room to the others. No id is forgotten early, because its request could run again.
    Full,
}

/// The ids of all open requests, and of those that ended within the last two longest deadlines: an attempt of
/// such a request may still run.
#[derive(Default)]
pub struct RequestIds {
    /// For each id the number of entries in `oldest_first`, and one more while its request is open.
    known: HashMap<RequestId, u32>,
    oldest_first: VecDeque<ReceivedId>,
    /// The ids of open requests, and their connections.
    open: HashMap<RequestId, ConnectionNumber>,
    /// The number of ids of each connection.
    by_connection: HashMap<ConnectionNumber, usize>,
    /// The maximum number of ids; 0: not limited.
    max: usize,
}

impl RequestIds {
    /// Creates an empty set of at most `max` ids; 0: not limited.
    pub fn new(max: usize) -> Self {
        RequestIds { max, ..RequestIds::default() }
    }

    /// Returns all ids, oldest first, and how long ago each request was received or ended. An open request counts
    /// as received now.
    pub fn all(&self) -> Vec<(Duration, String)> {
        let ids = self.oldest_first.iter();
        let mut all: Vec<_> =
            ids.map(|received| (received.received_at.elapsed(), received.id.text())).collect();
        all.extend(self.open.keys().map(|id| (Duration::ZERO, id.text())));
        all
    }

    /// Adds the ids of requests that a predecessor received, and how long ago it received each.
    pub fn restore(&mut self, ids: Vec<(Duration, String)>) {
        let now = Instant::now();
        for (age, id) in ids {
            self.add(RequestId::new(&id), now.checked_sub(age).unwrap_or(now), 0);
        }
    }

    /// Adds the id of a request that was received now, and that is open until [`Self::request_ended`].
    ///
    /// # Errors
    /// The id is known, or there is no room for another one.
    pub fn insert(
        &mut self,
        id: &str,
        connection: ConnectionNumber,
        longest_deadline: Duration,
    ) -> Result<(), RequestIdError> {
        let now = Instant::now();
        while self.oldest_first.front().is_some_and(|oldest| now > oldest.received_at + 2 * longest_deadline)
        {
            self.forget_oldest();
        }
        let id = RequestId::new(id);
        if self.known.contains_key(&id) {
            return Err(RequestIdError::Known);
        }
        let own = self.by_connection.get(&connection).copied().unwrap_or(0);
        if self.max > 0 && self.known.len() + own >= self.max {
            return Err(RequestIdError::Full);
        }
        self.open.insert(id.clone(), connection);
        self.known.insert(id, 1);
        *self.by_connection.entry(connection).or_default() += 1;
        Ok(())
    }

    /// Records that a request was answered or that its client left. Its id is remembered for two more longest
    /// deadlines.
    pub fn request_ended(&mut self, id: &str) {
        let id = RequestId::new(id);
        if let Some(connection) = self.open.remove(&id) {
            self.oldest_first.push_back(ReceivedId { received_at: Instant::now(), id, connection });
        }
    }

    /// Adds the id of a request that has ended.
    fn add(&mut self, id: RequestId, received_at: Instant, connection: ConnectionNumber) {
        *self.known.entry(id.clone()).or_default() += 1;
        *self.by_connection.entry(connection).or_default() += 1;
        self.oldest_first.push_back(ReceivedId { received_at, id, connection });
    }

    fn forget_oldest(&mut self) {
        let Some(oldest) = self.oldest_first.pop_front() else { return };
        if let Entry::Occupied(mut entries) = self.known.entry(oldest.id) {
            *entries.get_mut() -= 1;
            if *entries.get() == 0 {
                entries.remove();
            }
        }
        if let Entry::Occupied(mut count) = self.by_connection.entry(oldest.connection) {
            *count.get_mut() -= 1;
            if *count.get() == 0 {
                count.remove();
            }
        }
    }
}
