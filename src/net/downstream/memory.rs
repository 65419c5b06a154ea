//! The memory that one client connection holds: what is reserved before it is read, and what is released when
//! the request it belongs to has ended.

use crate::runtime::memory::{MemoryAccount, MemoryBudget};
use std::cell::Cell;

/// What an open connection takes without any request: its state, and the library's buffers.
const OPEN_CONNECTION_BYTES: usize = 24 << 10;
/// What a byte of a head takes at most until the head is parsed: in the library's table a field of four bytes
/// takes 300.
const BYTES_PER_HEAD_BYTE: usize = 75;
/// What heads take at most beside their own bytes. The library accepts 96 fields in each, and as many bytes as
/// are read at a time hold no more than two such heads.
const MAX_FIELDS_BYTES: usize = 2 * 96 * BYTES_PER_FIELD;
/// What a field of a parsed head takes at most beside its own bytes.
const BYTES_PER_FIELD: usize = 320;
/// What a byte of a body that is buffered takes: once in the request, once on its way to the endpoint.
const BYTES_PER_BODY_BYTE: usize = 2;
/// What a byte of pipelined requests takes: their buffer grows by doubling.
const BYTES_PER_READ_AHEAD_BYTE: usize = 2;
/// What the library holds at most of a body that is being read.
const BODY_IN_LIBRARY_BYTES: usize = 32 << 10;
/// What a body takes at most while it is streamed: in the library, and on its way to the endpoint.
const STREAMED_BODY_BYTES: usize = 128 << 10;

/// The memory of one connection.
#[derive(Debug)]
pub struct ConnectionMemory {
    _connection: MemoryAccount,
    /// The head and the body of the request, and pipelined requests that the library has.
    request: MemoryAccount,
    /// The response, until it is written.
    response: MemoryAccount,
    /// Pipelined requests that are held outside the library.
    read_ahead: MemoryAccount,
    /// Bytes of heads that were reserved for and are not parsed yet.
    head_bytes: Cell<usize>,
    /// Whether the connection is not read, because no memory is left.
    starved: Cell<bool>,
}

impl ConnectionMemory {
    /// Reserves the memory of a connection that was accepted.
    pub(super) fn new(budget: &MemoryBudget) -> Self {
        let connection = budget.open_account();
        connection.reserve_held(OPEN_CONNECTION_BYTES);
        ConnectionMemory {
            _connection: connection,
            request: budget.open_account(),
            response: budget.open_account(),
            read_ahead: budget.open_account(),
            head_bytes: Cell::new(0),
            starved: Cell::new(false),
        }
    }

    /// Returns whether the connection is not read, because no memory is left.
    pub(super) fn is_starved(&self) -> bool {
        self.starved.get()
    }

    /// Returns the number of bytes that are reserved for the request.
    pub(super) fn request_bytes(&self) -> usize {
        self.request.reserved()
    }

    /// Reserves memory to read `bytes` bytes of a head. Returns `false` if none is left.
    pub(super) fn reserve_head(&self, bytes: usize) -> bool {
        let before = head_cost(self.head_bytes.get());
        let cost = head_cost(self.head_bytes.get() + bytes) - before;
        let is_reserved = self.request.try_reserve(cost);
        self.starved.set(!is_reserved);
        if is_reserved {
            self.head_bytes.set(self.head_bytes.get() + bytes);
        }
        is_reserved
    }

    /// Releases what was reserved for bytes of a head that did not come.
    pub(super) fn unread_head(&self, bytes: usize) {
        let before = head_cost(self.head_bytes.get());
        self.head_bytes.set(self.head_bytes.get().saturating_sub(bytes));
        self.request.release(before - head_cost(self.head_bytes.get()));
    }

    /// Records that a head of `bytes` bytes and `fields` fields is parsed.
    pub(super) fn head_complete(&self, bytes: u64, fields: usize) {
        let parsed = bytes as usize + fields * BYTES_PER_FIELD;
        self.request.release(head_cost(self.head_bytes.replace(0)).saturating_sub(parsed));
    }

    /// Reserves memory to read `bytes` bytes of pipelined requests. Returns `false` if none is left.
    pub(super) fn reserve_read_ahead(&self, bytes: usize) -> bool {
        let is_reserved = self.read_ahead.try_reserve(bytes * BYTES_PER_READ_AHEAD_BYTE);
        self.starved.set(!is_reserved);
        is_reserved
    }

    /// Releases bytes of pipelined requests that are not held.
    pub(super) fn release_read_ahead(&self, bytes: usize) {
        self.read_ahead.release(bytes * BYTES_PER_READ_AHEAD_BYTE);
    }

    /// Waits for the memory of a body of this length; `None`: its length is not stated.
    pub(super) async fn reserve_body(&self, length: Option<usize>, max_buffered: usize) {
        let buffered = length.unwrap_or(max_buffered) * BYTES_PER_BODY_BYTE;
        let bytes = match length {
            Some(length) if length > max_buffered => STREAMED_BODY_BYTES,
            _ => buffered + BODY_IN_LIBRARY_BYTES.min(buffered),
        };
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

/// Returns what `bytes` bytes of heads take at most until they are parsed.
fn head_cost(bytes: usize) -> usize {
    (bytes * BYTES_PER_HEAD_BYTE).min(MAX_FIELDS_BYTES + 2 * bytes)
}
