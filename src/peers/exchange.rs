//! One exchange over TCP: a frame each way, within a bounded time.

use super::Peers;
use shaletack_peers::frame::{self, Bad, Message, HEAD};
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

/// Why an exchange failed.
#[derive(Debug)]
pub(super) enum Failure {
    /// No connection, or it broke.
    Broke(io::Error),
    /// What came is no message.
    Bad(Bad),
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

impl From<io::Error> for Failure {
    fn from(why: io::Error) -> Self {
        match why.kind() {
            ErrorKind::UnexpectedEof => Failure::Bad(Bad::Cut),
            _ => Failure::Broke(why),
        }
    }
}

impl From<Bad> for Failure {
    fn from(why: Bad) -> Self {
        Failure::Bad(why)
    }
}

async fn within<T>(work: impl std::future::Future<Output = Result<T, Failure>>) -> Result<T, Failure> {
    tokio::time::timeout(EXCHANGE, work).await.unwrap_or(Err(Failure::Silent))
}

/// A frame that ends where its head says; what follows it is not read.
async fn read(stream: &mut TcpStream) -> Result<Message, Failure> {
    let mut first = [0; HEAD];
    stream.read_exact(&mut first).await?;
    let head = frame::head(&first)?;
    let mut bytes = vec![0; head.length];
    stream.read_exact(&mut bytes).await?;
    Ok(frame::message(head, &bytes)?)
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

async fn answer(peers: &Peers, mut stream: TcpStream) -> Result<Message, Failure> {
    let _ = stream.set_nodelay(true);
    let message = read(&mut stream).await?;
    // What it says bears on the answer only by the next exchange: neither side waits for the other's review.
    stream.write_all(&frame::encode(peers.me(), frame::SPREADS, peers.told())).await?;
    if message.from == *peers.me() {
        return Err(Failure::Oneself);
    }
    Ok(message)
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
                        Ok(message) => {
                            let trip = message.trip;
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
