//! The queue of replies to one client. Replies are simple or structured, as negotiated, and are queued in
//! the order in which they become ready.

use super::command_error::CommandError;
use super::in_flight::MemoryReservation;
use crate::nbd::codec::{chunk, chunk_header, error_chunk, simple_reply};
use bytes::Bytes;
use tokio::sync::mpsc;

/// The maximum number of messages that wait to be written to one client.
const QUEUE_LENGTH: usize = 4;
/// The size of the offset at the start of an OFFSET_DATA chunk's content.
const CHUNK_OFFSET_BYTES: usize = 8;

/// A message to the client. Its memory stays reserved until it is written.
pub(super) struct OutgoingMessage {
    /// The bytes before the data.
    pub header: Vec<u8>,
    /// The data of a read.
    pub data: Bytes,
    _memory: Option<MemoryReservation>,
}

/// Encodes the replies to one client and queues them.
pub(super) struct Replies {
    structured: bool,
    queue: mpsc::Sender<OutgoingMessage>,
}

impl Replies {
    /// Creates a queue. Returns its sending and its receiving half.
    pub fn queue(structured: bool) -> (Self, mpsc::Receiver<OutgoingMessage>) {
        let (queue, receiver) = mpsc::channel(QUEUE_LENGTH);
        (Replies { structured, queue }, receiver)
    }

    /// Returns whether structured replies were negotiated.
    pub fn are_structured(&self) -> bool {
        self.structured
    }

    /// Reports that a command succeeded whose reply has no data, or whose data was already sent in chunks.
    pub async fn done(&self, cookie: u64) {
        let header = if self.structured {
            chunk_header(chunk::DONE, chunk::NONE, cookie, 0)
        } else {
            simple_reply(0, cookie)
        };
        self.send(header, Bytes::new(), None).await;
    }

    /// Sends a chunk of a read's data in a structured reply; further chunks follow.
    pub async fn data_chunk(&self, cookie: u64, offset: u64, data: Bytes, memory: MemoryReservation) {
        self.send(offset_data_header(0, cookie, offset, data.len()), data, Some(memory)).await;
    }

    /// Reports that a read succeeded, with all of its data.
    pub async fn complete_data(&self, cookie: u64, offset: u64, data: Bytes, memory: MemoryReservation) {
        let header = if self.structured {
            offset_data_header(chunk::DONE, cookie, offset, data.len())
        } else {
            simple_reply(0, cookie)
        };
        self.send(header, data, Some(memory)).await;
    }

    /// Reports that a command failed. `offset` is where in the export it failed, if known.
    pub async fn error(&self, cookie: u64, error: CommandError, offset: Option<u64>) {
        let header = if self.structured {
            error_chunk(cookie, error.errno(), &error.to_string(), offset)
        } else {
            simple_reply(error.errno(), cookie)
        };
        self.send(header, Bytes::new(), None).await;
    }

    async fn send(&self, header: Vec<u8>, data: Bytes, memory: Option<MemoryReservation>) {
        // Sending only fails once the writer has ended, because the client disconnected or a write failed.
        // The command is then dropped with the connection.
        let _ = self.queue.send(OutgoingMessage { header, data, _memory: memory }).await;
    }
}

fn offset_data_header(flags: u16, cookie: u64, offset: u64, data_length: usize) -> Vec<u8> {
    let mut header = chunk_header(flags, chunk::OFFSET_DATA, cookie, CHUNK_OFFSET_BYTES + data_length);
    header.extend(offset.to_be_bytes());
    header
}
