//! The accepting side of an exchange.

use super::{read_frame, within_timeout, ExchangeError};
use crate::peers::Peers;
use shaletack_membership::frame::{self, FrameError, Message, GOSSIP_CAPABLE, STATUS_REQUEST_VERSION};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tracing::warn;

/// The maximum number of exchanges served at a time. Further ones wait in the listener's backlog.
const MAX_CONCURRENT_EXCHANGES: usize = 8;
/// The pause after a failed accept, so that a persistent error does not keep the core's thread busy.
const ACCEPT_BACKOFF: Duration = Duration::from_millis(10);

/// Accepts and answers exchanges for as long as the process runs.
pub(in crate::peers) async fn serve(peers: Peers, listener: TcpListener) {
    let permits = Arc::new(Semaphore::new(MAX_CONCURRENT_EXCHANGES));
    loop {
        let Ok(permit) = permits.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let peers = peers.clone();
                actix_rt::spawn(async move {
                    serve_one(&peers, stream, from).await;
                    drop(permit);
                });
            }
            Err(why) => {
                warn!(%why, "a peer's connection could not be accepted");
                tokio::time::sleep(ACCEPT_BACKOFF).await;
            }
        }
    }
}

async fn serve_one(peers: &Peers, stream: TcpStream, from: SocketAddr) {
    match within_timeout(answer(peers, stream)).await {
        Ok(Request::Status) => {}
        Ok(Request::Exchange(message)) => {
            let round_trip = message.round_trip;
            peers.merge_exchange(message, round_trip).await;
        }
        Err(why) => warn!(peer = %from, %why, "a peer's exchange was rejected"),
    }
}

/// A request that was answered.
enum Request {
    /// An operator's request for the status.
    Status,
    /// A peer's message, not yet merged.
    Exchange(Message),
}

async fn answer(peers: &Peers, mut stream: TcpStream) -> Result<Request, ExchangeError> {
    // A failure only delays the answer, so it is ignored.
    let _ = stream.set_nodelay(true);
    let message = match read_frame(&mut stream).await {
        Err(ExchangeError::Frame(FrameError::UnsupportedVersion { theirs: STATUS_REQUEST_VERSION })) => {
            stream.write_all(peers.status().to_string().as_bytes()).await?;
            return Ok(Request::Status);
        }
        read => read?,
    };
    // The answer is sent before the peer's reports are merged, so that the peer does not wait for the merge.
    let context = peers.context();
    stream.write_all(&frame::encode(&context.me, GOSSIP_CAPABLE, context.reports())).await?;
    if message.from == context.me {
        return Err(ExchangeError::OwnAddress);
    }
    Ok(Request::Exchange(message))
}
