//! Pipelined requests (RFC 9112, section 9.3.2): holds the bytes that a client sends before its previous
//! request is answered, and when they arrived.
//!
//! A client counts the time that a request may take from the request's own last byte, also if the request has
//! to wait for the responses to earlier ones. So the arrival time of each request is kept.

use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The maximum number of bytes that are held for one connection.
const MAX_READ_AHEAD: usize = 256 * 1024;
/// The maximum number of bytes that are held for all connections of a front together.
const MAX_READ_AHEAD_TOTAL: usize = 2 << 20;
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

    /// Records that `count` bytes arrived at `now`.
    pub fn arrived(&mut self, now: Instant, count: usize) {
        self.bytes_arrived += count as u64;
        match self.reads.back_mut() {
            Some(last) if now.saturating_duration_since(last.at) < SAME_READ_INTERVAL => {
                last.bytes_arrived = self.bytes_arrived;
            }
            _ => self.reads.push_back(Read { bytes_arrived: self.bytes_arrived, at: now }),
        }
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

/// The bytes of one connection that were read and are to be processed once earlier requests are answered.
#[derive(Debug)]
pub struct ReadAhead {
    bytes: BytesMut,
    total: ReadAheadTotal,
}

impl ReadAhead {
    /// Creates an empty buffer whose bytes count towards `total`.
    pub fn new(total: ReadAheadTotal) -> Self {
        ReadAhead { bytes: BytesMut::new(), total }
    }

    /// Returns the number of bytes held.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Returns whether no bytes are held.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Appends bytes. Returns `false`, and appends nothing, if that would exceed a limit.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let has_room = self.len() + bytes.len() <= MAX_READ_AHEAD
            && self.total.0.get() + bytes.len() <= MAX_READ_AHEAD_TOTAL;
        if has_room {
            self.bytes.extend_from_slice(bytes);
            self.total.0.set(self.total.0.get() + bytes.len());
        }
        has_room
    }

    /// Removes and returns the first bytes, at most `count`.
    pub fn pop(&mut self, count: usize) -> BytesMut {
        let bytes = self.bytes.split_to(count.min(self.bytes.len()));
        self.total.0.set(self.total.0.get() - bytes.len());
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        bytes
    }

    /// Drops all bytes.
    pub fn clear(&mut self) {
        self.total.0.set(self.total.0.get() - self.bytes.remaining());
        self.bytes = BytesMut::new();
    }
}

impl Drop for ReadAhead {
    fn drop(&mut self) {
        self.clear();
    }
}
