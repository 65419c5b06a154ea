//! Exchanges of reports over TCP: one frame in each direction, within a bounded time.
//!
//! An initiator exchanges reports with its listed peers when it starts. Members of the previous release,
//! which do not support gossip, are polled by exchanges for as long as they are members.

mod client;
mod poll;
mod server;

pub(super) use client::exchange;
pub use client::status;
pub(super) use poll::poll_members_without_gossip;
pub(super) use server::serve;

use shaletack_membership::frame::{self, FrameError, Message, HEADER_BYTES};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The maximum duration of an exchange, including the connection setup.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Why an exchange failed. No report was merged; the next exchange may succeed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was refused or lost.
    #[error("{0}")]
    Connection(#[source] io::Error),
    /// The peer's frame was rejected.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// The exchange took longer than `EXCHANGE_TIMEOUT`.
    #[error("no answer within {} ms", EXCHANGE_TIMEOUT.as_millis())]
    TimedOut,
    /// The peer is this process.
    #[error("the peer is this process itself")]
    OwnAddress,
}

impl From<io::Error> for ExchangeError {
    fn from(error: io::Error) -> Self {
        match error.kind() {
            ErrorKind::UnexpectedEof => ExchangeError::Frame(FrameError::Truncated),
            _ => ExchangeError::Connection(error),
        }
    }
}

async fn within_timeout<T>(
    exchange: impl Future<Output = Result<T, ExchangeError>>,
) -> Result<T, ExchangeError> {
    tokio::time::timeout(EXCHANGE_TIMEOUT, exchange).await.unwrap_or(Err(ExchangeError::TimedOut))
}

/// Reads one frame, up to the length in its header. Later bytes are not read.
async fn read_frame(stream: &mut TcpStream) -> Result<Message, ExchangeError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let header = frame::decode_header(&header)?;
    let mut message = vec![0; header.message_bytes];
    stream.read_exact(&mut message).await?;
    Ok(frame::decode_message(header, &message)?)
}
