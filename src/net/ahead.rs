//! What a client sends ahead of an answer: when each of its bytes came, and those that wait for their turn.

use bytes::{Buf, BytesMut};
use std::cell::Cell;
use std::collections::VecDeque;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Bytes of one connection that wait, and of all connections of a front.
const KEPT_MOST: usize = 256 * 1024;
const KEPT_BY_ALL: usize = 2 << 20;
/// Reads this close together count as one.
const TOGETHER: Duration = Duration::from_millis(2);

/// When the bytes of one connection came, from when it last rested.
#[derive(Debug, Default)]
pub struct Arrivals {
    /// How many bytes had come by then, in rising order.
    reads: VecDeque<(u64, Instant)>,
    came: u64,
    taken: u64,
}

impl Arrivals {
    /// Nothing of what came before is still to be taken.
    pub fn restart(&mut self) {
        *self = Arrivals::default();
    }

    /// So many bytes have come now.
    pub fn came(&mut self, now: Instant, count: usize) {
        self.came += count as u64;
        match self.reads.back_mut() {
            Some((until, at)) if now.saturating_duration_since(*at) < TOGETHER => *until = self.came,
            _ => self.reads.push_back((self.came, now)),
        }
    }

    /// The next request is whole, and had this size: when its last byte came.
    pub fn take(&mut self, size: u64) -> Option<Instant> {
        self.taken = (self.taken + size).min(self.came);
        while self.reads.front().is_some_and(|(until, _)| *until < self.taken) {
            self.reads.pop_front();
        }
        self.reads.front().map(|(_, at)| *at)
    }
}

/// Bytes that all connections of a front keep.
#[derive(Clone, Debug, Default)]
pub struct KeptByAll(Rc<Cell<usize>>);

/// Bytes of one connection that were read and wait for their turn.
#[derive(Debug)]
pub struct Kept {
    bytes: BytesMut,
    all: KeptByAll,
}

impl Kept {
    /// Nothing yet.
    pub fn new(all: KeptByAll) -> Self {
        Kept { bytes: BytesMut::new(), all }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Takes more, if there is room for them.
    pub fn push(&mut self, bytes: &[u8]) -> bool {
        let has_room = self.len() + bytes.len() <= KEPT_MOST && self.all.0.get() + bytes.len() <= KEPT_BY_ALL;
        if has_room {
            self.bytes.extend_from_slice(bytes);
            self.all.0.set(self.all.0.get() + bytes.len());
        }
        has_room
    }

    /// Gives the first of them, no more than so many.
    pub fn pop(&mut self, most: usize) -> BytesMut {
        let bytes = self.bytes.split_to(most.min(self.bytes.len()));
        self.all.0.set(self.all.0.get() - bytes.len());
        if self.bytes.is_empty() {
            self.bytes = BytesMut::new();
        }
        bytes
    }

    /// Forgets them all.
    pub fn clear(&mut self) {
        self.all.0.set(self.all.0.get() - self.bytes.remaining());
        self.bytes = BytesMut::new();
    }
}

impl Drop for Kept {
    fn drop(&mut self) {
        self.clear();
    }
}
