//! Exchanges over TCP: a frame each way, within a bounded time. An initiator asks its peers so at its start, and members
//! of the release before, which do not gossip, for as long as they are there.

mod client;
mod poll;
mod server;

pub(super) use client::exchange;
pub use client::status;
pub(super) use poll::poll_without_gossip;
pub(super) use server::serve;

use shaletack_membership::frame::{self, FrameError, Message, HEADER_BYTES};
use std::future::Future;
use std::io::{self, ErrorKind};
use std::time::Duration;
use tokio::io::AsyncReadExt;
use tokio::net::TcpStream;

/// The longest time that an exchange takes, its connection included.
pub(super) const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

/// Why an exchange failed. Nothing was learnt of the peer; the next exchange may succeed.
#[derive(Debug, thiserror::Error)]
pub enum ExchangeError {
    /// The connection was refused or lost.
    #[error("{0}")]
    Connection(#[source] io::Error),
    /// The peer sent no frame that this program accepts.
    #[error(transparent)]
    Frame(#[from] FrameError),
    /// It took longer than `EXCHANGE_TIMEOUT`.
    #[error("no answer within {} ms", EXCHANGE_TIMEOUT.as_millis())]
    TimedOut,
    /// The address is this process's own.
    #[error("it is this process")]
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

/// Reads one frame. It ends where its header says; what follows it is not read.
async fn read_frame(stream: &mut TcpStream) -> Result<Message, ExchangeError> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    let header = frame::decode_header(&header)?;
    let mut message = vec![0; header.message_bytes];
    stream.read_exact(&mut message).await?;
    Ok(frame::decode_message(header, &message)?)
}
