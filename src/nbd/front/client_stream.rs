//! The two halves of a client's connection: reads that time out if the client stalls, and a loop that writes
//! replies until the client disconnects.

use super::replies::OutgoingMessage;
use crate::nbd::codec::Request;
use crate::runtime::sockets::Uninterrupted;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// How long a request may take to be received after its first byte, and how long a client may pause while it
/// sends a command's data. A client that exceeds either is disconnected.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client to which a message cannot be written completely within this time is disconnected.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How often the connection is checked for a disconnect while received bytes wait to be read.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// The size of the buffer into which discarded data is read.
const DISCARD_BUFFER_BYTES: usize = 8192;

/// The receiving half.
pub(super) type Reader = BufReader<Uninterrupted<OwnedReadHalf>>;
/// The sending half.
pub(super) type Writer = Uninterrupted<OwnedWriteHalf>;

/// Reads the next request. A client may be idle between two requests for any length of time, but once a
/// request has begun, it must be received within [`READ_TIMEOUT`].
///
/// # Errors
/// The connection failed or was closed, the client stalled, or it violated the protocol.
pub(super) async fn read_request(reader: &mut Reader) -> io::Result<Request> {
    if reader.fill_buf().await?.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    tokio::time::timeout(READ_TIMEOUT, Request::read(reader)).await?
}

/// Fills `data` from the connection. The client may be slow, but must not pause for [`READ_TIMEOUT`].
///
/// # Errors
/// The connection failed or was closed, or the client stalled.
pub(super) async fn read_data(reader: &mut Reader, data: &mut [u8]) -> io::Result<()> {
    let mut received = 0;
    while received < data.len() {
        let count = tokio::time::timeout(READ_TIMEOUT, reader.read(&mut data[received..])).await??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        received += count;
    }
    Ok(())
}

/// Reads and discards `length` bytes.
///
/// # Errors
/// The connection failed or was closed, or the client stalled.
pub(super) async fn discard(reader: &mut Reader, length: u32) -> io::Result<()> {
    let mut buffer = [0; DISCARD_BUFFER_BYTES];
    let mut remaining = length as usize;
    while remaining > 0 {
        let count = remaining.min(buffer.len());
        read_data(reader, &mut buffer[..count]).await?;
        remaining -= count;
    }
    Ok(())
}

/// Writes replies until the queue is closed and empty, or the client disconnects.
pub(super) async fn write_replies(mut writer: Writer, mut queue: mpsc::Receiver<OutgoingMessage>) {
    loop {
        let next = tokio::select! {
            next = queue.recv() => next,
            () = client_disconnected(&writer) => return,
        };
        let Some(message) = next else { return };
        let written = async {
            writer.write_all(&message.header).await?;
            writer.write_all(&message.data).await
        };
        if !matches!(tokio::time::timeout(WRITE_TIMEOUT, written).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Completes once the client has closed the connection or its sending half, even if bytes that it sent
/// before are still unread, and regardless of what the session is waiting for.
async fn client_disconnected(writer: &Writer) {
    // Without unread bytes `ready` waits. With unread bytes it returns at once, so the loop sleeps between
    // checks.
    while writer.0.as_ref().ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(CLIENT_CHECK_INTERVAL).await;
    }
}
