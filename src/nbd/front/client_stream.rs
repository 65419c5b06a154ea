//! The two halves of a client's connection: reading with a limit on how long a client may stop, and writing replies until
//! the client has left.

use super::replies::OutgoingMessage;
use crate::nbd::codec::Request;
use crate::runtime::sockets::Uninterrupted;
use std::io;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::sync::mpsc;

/// A client that stops for so long in the middle of a command has left.
const READ_TIMEOUT: Duration = Duration::from_millis(2500);
/// A client that takes nothing of its replies for so long has left.
const WRITE_TIMEOUT: Duration = Duration::from_secs(30);
/// How often it is checked whether a client is still there, while something that it sent is unread.
const CLIENT_CHECK_INTERVAL: Duration = Duration::from_millis(20);
/// Data that is not used is read in pieces of so many bytes.
const DISCARD_BUFFER_BYTES: usize = 8192;

/// The receiving half.
pub(super) type Reader = BufReader<Uninterrupted<OwnedReadHalf>>;
/// The sending half.
pub(super) type Writer = Uninterrupted<OwnedWriteHalf>;

/// The next request message. A client may rest before it for as long as it likes, and not in the middle of it.
pub(super) async fn read_request(reader: &mut Reader) -> io::Result<Request> {
    if reader.fill_buf().await?.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    tokio::time::timeout(READ_TIMEOUT, Request::read(reader)).await?
}

/// Data that follows, from a client that may be slow and does not stop.
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

/// Reads `length` bytes that nobody needs.
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

/// Writes replies until there are no more, or the client has left.
pub(super) async fn write_replies(mut writer: Writer, mut queue: mpsc::Receiver<OutgoingMessage>) {
    loop {
        let next = tokio::select! {
            next = queue.recv() => next,
            () = client_left(&writer) => return,
        };
        let Some(message) = next else { return };
        let written = async {
            writer.write_all(&message.head).await?;
            writer.write_all(&message.data).await
        };
        if !matches!(tokio::time::timeout(WRITE_TIMEOUT, written).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Completes once the client has closed its connection, or its sending half: whatever it sent before and nobody has
/// read yet, and whatever the connection waits for.
async fn client_left(writer: &Writer) {
    // Where nothing comes this waits; where something came that nobody reads yet it checks now and then.
    while writer.0.as_ref().ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(CLIENT_CHECK_INTERVAL).await;
    }
}
