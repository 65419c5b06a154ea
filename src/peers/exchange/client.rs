//! The side of an exchange that connects.

use super::{read_frame, within_timeout, ExchangeError};
use crate::peers::context::Context;
use shaletack_membership::frame::{self, FrameError, Message};
use std::net::SocketAddr;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;

/// The longest status of a process, in bytes: each member of the release before takes some twenty.
const MAX_STATUS_BYTES: u64 = 256 << 10;

/// What a peer answered.
pub(in crate::peers) struct Answer {
    /// What it reports.
    pub(in crate::peers) message: Message,
    /// How long it took to come.
    pub(in crate::peers) round_trip: Duration,
}

/// Reports to a peer what this process knows, and reads what the peer knows.
pub(in crate::peers) async fn exchange(context: &Context, peer: SocketAddr) -> Result<Answer, ExchangeError> {
    within_timeout(async {
        let connect_started = Instant::now();
        let mut stream = TcpStream::connect(peer).await?;
        let connect_time = connect_started.elapsed();
        // Without it the answer comes later, and still comes.
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

/// The status of the process that listens for its peers at an address, as JSON.
///
/// # Errors
///
/// Says why there was no answer.
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
