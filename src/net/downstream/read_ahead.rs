//! What a client sends ahead of an answer (HTTP pipelining): when each of its bytes came, and those that wait for their
//! turn. A request behind others has the time that its client counts, which is from its own last byte.

use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The most bytes of one connection that wait,
const MAX_READ_AHEAD: usize = 256 * 1024;
/// and of all connections of a front.
const MAX_READ_AHEAD_TOTAL: usize = 2 << 20;
/// Reads this close together count as one.
const SAME_READ: Duration = Duration::from_millis(2);

/// How many bytes had come by some moment.
#[derive(Debug)]
struct Read {
    bytes_arrived: u64,
    at: Instant,
}

/// When the bytes of one connection came, from when it last rested.
#[derive(Debug, Default)]
pub struct ArrivalTimes {
    /// In the order they came.
    reads: VecDeque<Read>,
    bytes_arrived: u64,
    bytes_taken: u64,
}

impl ArrivalTimes {
    /// Nothing of what came before is still to be taken.
    pub fn restart(&mut self) {
        *self = ArrivalTimes::default();
    }

    /// So many bytes have come now.
    pub fn arrived(&mut self, now: Instant, count: usize) {
        self.bytes_arrived += count as u64;
        match self.reads.back_mut() {
            Some(last) if now.saturating_duration_since(last.at) < SAME_READ => {
                last.bytes_arrived = self.bytes_arrived;
            }
            _ => self.reads.push_back(Read { bytes_arrived: self.bytes_arrived, at: now }),
        }
    }

    /// The next request is complete, and had this many bytes: when its last byte came.
    pub fn take(&mut self, bytes: u64) -> Option<Instant> {
        self.bytes_taken = (self.bytes_taken + bytes).min(self.bytes_arrived);
        while self.reads.front().is_some_and(|read| read.bytes_arrived < self.bytes_taken) {
            self.reads.pop_front();
        }
        self.reads.front().map(|read| read.at)
    }
}

/// How many bytes wait on all connections of a front.
#[derive(Clone, Debug, Default)]
pub struct ReadAheadTotal(Rc<Cell<usize>>);

/// Bytes of one connection that were read and wait for their turn.
#[derive(Debug)]
pub struct ReadAhead {
    bytes: BytesMut,
    total: ReadAheadTotal,
}

impl ReadAhead {
    /// Nothing yet.
    pub fn new(total: ReadAheadTotal) -> Self {
        ReadAhead { bytes: BytesMut::new(), total }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Adds more; false where there is no room for them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let has_room = self.len() + bytes.len() <= MAX_READ_AHEAD
            && self.total.0.get() + bytes.len() <= MAX_READ_AHEAD_TOTAL;
        if has_room {
            self.bytes.extend_from_slice(bytes);
            self.total.0.set(self.total.0.get() + bytes.len());
        }
        has_room
    }

    /// Takes the first of them, at most `count`.
    pub fn pop(&mut self, count: usize) -> BytesMut {
        let bytes = self.bytes.split_to(count.min(self.bytes.len()));
        self.total.0.set(self.total.0.get() - bytes.len());
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        bytes
    }

    /// Drops them all.
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
