//! One exchange over TCP: a frame each way, within a bounded time.

use super::Peers;
use shaletack_membership::frame::{self, FrameError, Message, HEADER_BYTES};
use std::fmt;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Semaphore;
use tracing::warn;

/// An exchange takes so long at most, its connection included.
pub(super) const EXCHANGE: Duration = Duration::from_millis(300);

/// The most bytes of an answer to an operator: each member of the release before takes some twenty.
const STATUS_MOST: u64 = 256 << 10;

/// Why an exchange failed.
#[derive(Debug)]
pub enum Failure {
    /// No connection, or it broke.
    Broke(io::Error),
    /// What came is no message.
    Bad(FrameError),
    /// It took too long.
    Silent,
    /// It was this process itself.
    Oneself,
}

impl fmt::Display for Failure {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Failure::Broke(why) => write!(f, "{why}"),
            Failure::Bad(why) => write!(f, "{why}"),
            Failure::Silent => write!(f, "silent for {} ms", EXCHANGE.as_millis()),
            Failure::Oneself => f.write_str("it is this process"),
        }
    }
}

impl std::error::Error for Failure {}

impl From<io::Error> for Failure {
    fn from(why: io::Error) -> Self {
        match why.kind() {
            ErrorKind::UnexpectedEof => Failure::Bad(FrameError::Truncated),
            _ => Failure::Broke(why),
        }
    }
}

impl From<FrameError> for Failure {
    fn from(why: FrameError) -> Self {
        Failure::Bad(why)
    }
}

async fn within<T>(work: impl std::future::Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    tokio::time::timeout(EXCHANGE, work).await.unwrap_or(Err(Failure::Silent))
}

/// A frame that ends where its head says; what follows it is not read.
async fn read(stream: &mut TcpStream) -> Result<Message, Failure> {
    let mut first = [0; HEADER_BYTES];
    stream.read_exact(&mut first).await?;
    let head = frame::decode_header(&first)?;
    let mut bytes = vec![0; head.message_bytes];
    stream.read_exact(&mut bytes).await?;
    Ok(frame::decode_message(head, &bytes)?)
}

/// Tells a peer what this process knows; what the peer told, and the round trip.
pub(super) async fn ask(peers: &Peers, to: SocketAddr) -> Result<(Message, Duration), Failure> {
    within(async {
        let start = Instant::now();
        let mut stream = TcpStream::connect(to).await?;
        let trip = start.elapsed();
        let _ = stream.set_nodelay(true);
        let sent = Instant::now();
        stream.write_all(&frame::encode(peers.me(), trip, peers.told())).await?;
        let message = read(&mut stream).await?;
        if message.from == *peers.me() {
            return Err(Failure::Oneself);
        }
        Ok((message, sent.elapsed()))
    })
    .await
}

/// What an operator sees of the process that hears its peers there, as JSON.
pub async fn status(at: SocketAddr) -> Result<String, Failure> {
    within(async {
        let mut stream = TcpStream::connect(at).await?;
        stream.write_all(&frame::status_request()).await?;
        let mut text = String::new();
        // An answer is some kilobytes; whoever sends more is no initiator.
        stream.take(STATUS_MOST).read_to_string(&mut text).await?;
        match text.is_empty() {
            true => Err(Failure::Bad(FrameError::Truncated)),
            false => Ok(text),
        }
    })
    .await
}

/// Answers one peer; `None`: it was an operator, who was shown what there is to see.
async fn answer(peers: &Peers, mut stream: TcpStream) -> Result<Option<Message>, Failure> {
    let _ = stream.set_nodelay(true);
    let message = match read(&mut stream).await {
        Err(Failure::Bad(FrameError::UnsupportedVersion { theirs: frame::STATUS_REQUEST_VERSION })) => {
            stream.write_all(peers.status().to_string().as_bytes()).await?;
            return Ok(None);
        }
        read => read?,
    };
    // What it says bears on the answer only by the next exchange: neither side waits for the other's review.
    stream.write_all(&frame::encode(peers.me(), frame::GOSSIP_CAPABLE, peers.told())).await?;
    if message.from == *peers.me() {
        return Err(Failure::Oneself);
    }
    Ok(Some(message))
}

/// Answers for as long as the program runs.
pub(super) async fn serve(peers: Peers, listener: TcpListener, most: usize) {
    let places = Arc::new(Semaphore::new(most));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        match listener.accept().await {
            Ok((stream, from)) => {
                let peers = peers.clone();
                actix_rt::spawn(async move {
                    match within(answer(&peers, stream)).await {
                        Ok(None) => {}
                        Ok(Some(message)) => {
                            let trip = message.round_trip;
                            peers.exchanged(message, trip).await;
                        }
                        Err(why) => warn!(peer = %from, %why, "a peer's exchange is not taken"),
                    }
                    drop(place);
                });
            }
            Err(why) => {
                warn!(%why, "a peer's connection could not be accepted");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}
