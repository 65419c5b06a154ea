//! The replies to one client's commands: simple or structured, as was negotiated, queued in the order they are ready.

use super::command_error::CommandError;
use super::in_flight::MemoryReservation;
use crate::nbd::codec::{chunk, chunk_head, error_chunk, simple_reply};
use bytes::Bytes;
use tokio::sync::mpsc;

/// Messages that may wait to be written to one client.
const QUEUE_LENGTH: usize = 4;
/// The offset that begins the content of an OFFSET_DATA chunk.
const CHUNK_OFFSET_BYTES: usize = 8;

/// A message for the client, and the memory it holds until it is written.
pub(super) struct OutgoingMessage {
    /// Everything before the data.
    pub head: Vec<u8>,
    /// Data of a read.
    pub data: Bytes,
    _memory: Option<MemoryReservation>,
}

/// Where the replies to one client go.
pub(super) struct Replies {
    structured: bool,
    queue: mpsc::Sender<OutgoingMessage>,
}

impl Replies {
    /// A queue, and what takes messages from it.
    pub fn queue(structured: bool) -> (Self, mpsc::Receiver<OutgoingMessage>) {
        let (queue, messages) = mpsc::channel(QUEUE_LENGTH);
        (Replies { structured, queue }, messages)
    }

    /// Whether structured replies were negotiated.
    pub fn are_structured(&self) -> bool {
        self.structured
    }

    /// A command without data in its reply succeeded.
    pub async fn done(&self, cookie: u64) {
        let head = if self.structured {
            chunk_head(chunk::DONE, chunk::NONE, cookie, 0)
        } else {
            simple_reply(0, cookie)
        };
        self.send(head, Bytes::new(), None).await;
    }

    /// A part of a structured reply to a read; others follow.
    pub async fn data_chunk(&self, cookie: u64, offset: u64, data: Bytes, memory: MemoryReservation) {
        self.send(offset_data_head(0, cookie, offset, data.len()), data, Some(memory)).await;
    }

    /// A read succeeded: all of its data at once.
    pub async fn complete_data(&self, cookie: u64, offset: u64, data: Bytes, memory: MemoryReservation) {
        let head = if self.structured {
            offset_data_head(chunk::DONE, cookie, offset, data.len())
        } else {
            simple_reply(0, cookie)
        };
        self.send(head, data, Some(memory)).await;
    }

    /// A command failed, at this offset of the export if at any.
    pub async fn error(&self, cookie: u64, error: CommandError, offset: Option<u64>) {
        let head = if self.structured {
            error_chunk(cookie, error.errno(), &error.to_string(), offset)
        } else {
            simple_reply(error.errno(), cookie)
        };
        self.send(head, Bytes::new(), None).await;
    }

    async fn send(&self, head: Vec<u8>, data: Bytes, memory: Option<MemoryReservation>) {
        // Where the writer has ended the client is gone, and this command with it.
        let _ = self.queue.send(OutgoingMessage { head, data, _memory: memory }).await;
    }
}

fn offset_data_head(flags: u16, cookie: u64, offset: u64, data_length: usize) -> Vec<u8> {
    let mut head = chunk_head(flags, chunk::OFFSET_DATA, cookie, CHUNK_OFFSET_BYTES + data_length);
    head.extend(offset.to_be_bytes());
    head
}
