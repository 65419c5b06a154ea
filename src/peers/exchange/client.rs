//! The connecting side of an exchange.

use super::{read_frame, within_timeout, ExchangeError};
use crate::peers::context::Context;
use shaletack_membership::frame::{self, FrameError, Message};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The maximum size of a status reply in bytes. Each member of the previous release takes about twenty bytes.
const MAX_STATUS_BYTES: u64 = 256 << 10;

/// A peer's answer to an exchange.
pub(in crate::peers) struct Answer {
    /// The message with the peer's reports.
    pub(in crate::peers) message: Message,
    /// The time from the start of the request to the answer.
    pub(in crate::peers) round_trip: Duration,
}

/// Sends this process's reports to a peer and returns the peer's answer.
///
/// # Errors
///
/// Returns an error if the exchange takes longer than [`EXCHANGE_TIMEOUT`](super::EXCHANGE_TIMEOUT), if the
/// connection or the frame is faulty, or if the peer is this process.
pub(in crate::peers) async fn exchange(context: &Context, peer: SocketAddr) -> Result<Answer, ExchangeError> {
    within_timeout(async {
        let connect_started = Instant::now();
        let mut stream = TcpStream::connect(peer).await?;
        let connect_time = connect_started.elapsed();
        // A failure only delays the answer, so it is ignored.
        let _ = stream.set_nodelay(true);
        let sent_at = Instant::now();
        stream.write_all(&frame::encode(&context.me, connect_time, context.reports())).await?;
        let message = read_frame(&mut stream).await?;
        if message.from == context.me {
            return Err(ExchangeError::OwnAddress);
        }
        Ok(Answer { message, round_trip: sent_at.elapsed() })
    })
    .await
}

/// Fetches the status, as JSON, of the process that listens for peers at an address.
///
/// # Errors
///
/// Returns an error if the process does not answer in time or the connection fails.
pub async fn status(address: SocketAddr) -> Result<String, ExchangeError> {
    within_timeout(async {
        let mut stream = TcpStream::connect(address).await?;
        stream.write_all(&frame::status_request()).await?;
        let mut status = String::new();
        stream.take(MAX_STATUS_BYTES).read_to_string(&mut status).await?;
        match status.is_empty() {
            true => Err(FrameError::Truncated.into()),
            false => Ok(status),
        }
    })
    .await
}
