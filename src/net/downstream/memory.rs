//! The memory that one client connection holds: what is reserved before it is read, and what is released when
//! the request it belongs to has ended.

use super::read_ahead::FIRST_READ_BYTES;
use crate::runtime::memory::{MemoryAccount, MemoryBudget};
use std::cell::Cell;

/// What an open connection takes with a small request: its state, the library's buffers, the first bytes that are
/// read, and a small parsed head.
pub const OPEN_CONNECTION_BYTES: usize = 36 << 10;
/// What of that is for a parsed head.
const SMALL_HEAD_BYTES: usize = 8 << 10;
/// What a byte of a parsed head takes: the library keeps the buffer that it was read into.
const BYTES_PER_HEAD_BYTE: usize = 2;
/// What the library's buffer takes at most beside what an open connection takes, once a head was large.
const LARGE_BUFFER_BYTES: usize = 64 << 10;
/// What a field of a parsed head takes at most beside its own bytes.
const BYTES_PER_FIELD: usize = 320;
/// What a byte of pipelined requests takes: their buffer may be half empty.
const BYTES_PER_READ_AHEAD_BYTE: usize = 2;
/// What a body takes at most while it is streamed: in the library, and on its way to the endpoint.
pub const STREAMED_BODY_BYTES: usize = 20 << 10;

/// The memory of one connection.
#[derive(Debug)]
pub struct ConnectionMemory {
    connection: MemoryAccount,
    /// Whether the library has a large buffer to read into, which it keeps as long as the connection is open.
    has_large_buffer: Cell<bool>,
    /// The head and the body of the request that the library has.
    request: MemoryAccount,
    /// The response, until it is written.
    response: MemoryAccount,
    /// Bytes that were read and that the library has not been given.
    read_ahead: MemoryAccount,
    /// Their number.
    read_ahead_bytes: Cell<usize>,
    /// Whether the connection is not read, because no memory is left.
    starved: Cell<bool>,
}

impl ConnectionMemory {
    /// Reserves the memory of a connection that was accepted.
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        let connection = budget.open_account();
        connection.reserve_held(OPEN_CONNECTION_BYTES);
        ConnectionMemory {
            connection,
            has_large_buffer: Cell::new(false),
            request: budget.open_account(),
            response: budget.open_account(),
            read_ahead: budget.open_account(),
            read_ahead_bytes: Cell::new(0),
            starved: Cell::new(false),
        }
    }

    /// Returns whether the connection is not read, because no memory is left.
    pub(super) fn is_starved(&self) -> bool {
        self.starved.get()
    }

    /// Records whether the connection is not read, because no memory is left.
    pub(super) fn set_starved(&self, starved: bool) {
        self.starved.set(starved);
    }

    /// Returns the number of bytes that are reserved for the request and for what was read behind it.
    pub(super) fn request_bytes(&self) -> usize {
        self.request.reserved() + self.read_ahead.reserved()
    }

    /// Returns the number of bytes that are reserved beside those of the open connection.
    pub(super) fn held_bytes(&self) -> usize {
        self.request_bytes() + self.response.reserved()
    }

    /// Reserves the memory of a parsed head of `bytes` bytes and `fields` fields. Returns `false` if none is left. A
    /// small head always has its memory.
    pub(super) fn reserve_head(&self, bytes: usize, fields: usize) -> bool {
        let parsed = bytes * BYTES_PER_HEAD_BYTE + fields * BYTES_PER_FIELD;
        let is_reserved = self.reserve_large_buffer(bytes)
            && self.request.try_reserve(parsed.saturating_sub(SMALL_HEAD_BYTES));
        self.starved.set(!is_reserved);
        is_reserved
    }

    /// Reserves the library's large buffer if a head of `bytes` bytes needs it. Returns `false` if none is left.
    fn reserve_large_buffer(&self, bytes: usize) -> bool {
        if bytes > FIRST_READ_BYTES && !self.has_large_buffer.get() {
            self.has_large_buffer.set(self.connection.try_reserve(LARGE_BUFFER_BYTES));
            return self.has_large_buffer.get();
        }
        true
    }

    /// Reserves memory to read `bytes` bytes ahead of the library. Returns `false` if none is left. The first bytes
    /// always have their memory.
    pub(super) fn reserve_read_ahead(&self, bytes: usize) -> bool {
        let held = self.read_ahead_bytes.get();
        let is_reserved = self.read_ahead.try_reserve(read_ahead_cost(held + bytes) - read_ahead_cost(held));
        if is_reserved {
            self.read_ahead_bytes.set(held + bytes);
        }
        self.starved.set(!is_reserved);
        is_reserved
    }

    /// Releases bytes that are not held ahead of the library any more.
    pub(super) fn release_read_ahead(&self, bytes: usize) {
        let held = self.read_ahead_bytes.get();
        let rest = held.saturating_sub(bytes);
        self.read_ahead_bytes.set(rest);
        self.read_ahead.release(read_ahead_cost(held) - read_ahead_cost(rest));
    }

    /// Waits for `bytes` bytes of memory for a body.
    pub(super) async fn reserve_body(&self, bytes: usize) {
        self.request.reserve(bytes).await;
    }

    /// Releases what the request took.
    pub(super) fn request_ended(&self) {
        self.request.release_all();
    }

    /// Reserves a response of `bytes` bytes that waits to be written.
    pub(super) fn response_ready(&self, bytes: usize) {
        self.response.reserve_held(bytes);
    }

    /// Releases what was written of the response.
    pub(super) fn response_written(&self, bytes: usize) {
        self.response.release(bytes);
    }
}

/// Returns what `bytes` bytes that are read ahead take beside what an open connection takes.
fn read_ahead_cost(bytes: usize) -> usize {
    bytes.saturating_sub(FIRST_READ_BYTES) * BYTES_PER_READ_AHEAD_BYTE
}
