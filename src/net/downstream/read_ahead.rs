//! Pipelined requests (RFC 9112, section 9.3.2): holds the bytes that a client sends before its previous
//! request is answered, and when they arrived.
//!
//! A client counts the time that a request may take from the request's own last byte, also if the request has
//! to wait for the responses to earlier ones. So the arrival time of each request is kept.

use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The maximum number of bytes that are held for one connection.
const MAX_READ_AHEAD: usize = 256 * 1024;
/// The number of bytes that are held for a connection however many others hold.
pub const FIRST_READ_BYTES: usize = 4096;
/// The maximum number of bytes that are held for all connections of a front together, beside the first ones.
const MAX_READ_AHEAD_TOTAL: usize = 2 << 20;
/// The buffer for them grows by this many bytes.
const GROWTH_BYTES: usize = 4096;
/// The number of arrival times that are kept for one connection.
const MAX_READS: usize = 128;
/// Reads that follow another one within this time share its arrival time.
const SAME_READ_INTERVAL: Duration = Duration::from_millis(2);

/// The total number of bytes that had arrived after a read.
#[derive(Debug)]
struct Read {
    bytes_arrived: u64,
    at: Instant,
}

/// The arrival times of the bytes of one connection, counted from when the connection was last idle.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// In order of arrival. Reads that end before the last byte taken are dropped.
    reads: VecDeque<Read>,
    bytes_arrived: u64,
    bytes_taken: u64,
}

impl ArrivalTimes {
    /// Forgets all bytes. Called when every request before the next byte has been answered.
    pub fn restart(&mut self) {
        *self = ArrivalTimes::default();
    }

    /// Records that `bytes` bytes arrived at `now`.
    pub fn arrived(&mut self, now: Instant, bytes: usize) {
        self.bytes_arrived += bytes as u64;
        let count = self.reads.len();
        match self.reads.back_mut() {
            Some(last) if now.saturating_duration_since(last.at) < SAME_READ_INTERVAL => {
                last.bytes_arrived = self.bytes_arrived;
            }
            // Bytes that arrive late count as if they had arrived earlier, so that no request gets too much time.
            Some(last) if count >= MAX_READS => last.bytes_arrived = self.bytes_arrived,
            _ => self.reads.push_back(Read { bytes_arrived: self.bytes_arrived, at: now }),
        }
    }

    /// Records that `count` bytes arrived at `now` of the one request of which all bytes are that are not taken. Only
    /// its last byte matters, so no further time is kept.
    pub fn arrived_of_one_request(&mut self, now: Instant, count: usize) {
        self.bytes_arrived += count as u64;
        let read = Read { bytes_arrived: self.bytes_arrived, at: now };
        self.reads.clear();
        self.reads.push_back(read);
    }

    /// Returns how many bytes have arrived and have not been taken.
    pub fn untaken(&self) -> u64 {
        self.bytes_arrived - self.bytes_taken
    }

    /// Takes the next `bytes` bytes, those of one request, and returns when the last of them arrived;
    /// `None` if no arrival is recorded. A size beyond the bytes that have arrived counts as all of them.
    pub fn take(&mut self, bytes: u64) -> Option<Instant> {
        self.bytes_taken = (self.bytes_taken + bytes).min(self.bytes_arrived);
        while self.reads.front().is_some_and(|read| read.bytes_arrived < self.bytes_taken) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}

/// The number of bytes that are held for all connections of a front. Clones share the same count.
#[derive(Clone, Debug, Default)]
pub struct ReadAheadTotal(Rc<Cell<usize>>);

/// The bytes of one connection that were read and that the HTTP library has not been given.
#[derive(Debug)]
pub struct ReadAhead {
    bytes: Vec<u8>,
    /// How many of the bytes at the beginning are consumed.
    consumed: usize,
    total: ReadAheadTotal,
}

impl ReadAhead {
    /// Creates an empty buffer whose bytes count towards `total`.
    pub fn new(total: ReadAheadTotal) -> Self {
        ReadAhead { bytes: Vec::new(), consumed: 0, total }
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    /// Returns whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Returns the bytes held.
    pub fn bytes(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Returns whether all connections together may hold `count` more bytes. A connection's first bytes always have
    /// room, so that what others send ahead keeps no small request from being read.
    pub fn has_total_room(&self, count: usize) -> bool {
        self.len() + count <= FIRST_READ_BYTES || self.total.0.get() + count <= MAX_READ_AHEAD_TOTAL
    }

    /// Appends bytes. Returns `false`, and appends nothing, if that would exceed a limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let has_room = self.len() + bytes.len() <= MAX_READ_AHEAD && self.has_total_room(bytes.len());
        if has_room {
            self.make_room(bytes.len());
            self.bytes.extend_from_slice(bytes);
            self.total.0.set(self.total.0.get() + bytes.len());
        }
        has_room
    }

    /// Consumes the first `count` bytes.
    pub fn consume(&mut self, count: usize) {
        let count = count.min(self.len());
        self.total.0.set(self.total.0.get() - count);
        self.consumed += count;
        if self.is_empty() {
            (self.bytes, self.consumed) = (Vec::new(), 0);
        } else if self.bytes.capacity() > 2 * self.len() + GROWTH_BYTES {
            (self.bytes, self.consumed) = (self.bytes().to_vec(), 0);
        }
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.consume(self.len());
    }

    /// Makes room for `count` more bytes, and for few beyond them: the bytes that are held are counted, and the
    /// capacity for them is at most twice as much.
    fn make_room(&mut self, count: usize) {
        if self.bytes.capacity() - self.bytes.len() < count {
            let mut grown = Vec::with_capacity((self.len() + count).next_multiple_of(GROWTH_BYTES));
            grown.extend_from_slice(self.bytes());
            (self.bytes, self.consumed) = (grown, 0);
        }
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.clear();
    }
}
