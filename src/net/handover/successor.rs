//! The successor's side of a hand-over: requests the state of a running process.

use super::message::{HandoverState, Hello, Identity, Reply, VERSION};
use super::{Connection, MAX_STATE_BYTES, RETRY_INTERVAL, STATE_TIMEOUT};
use crate::runtime::sockets::Uninterrupted;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tracing::warn;

/// How long a third process waits for one of the first two to end.
const THIRD_VERSION_TIMEOUT: Duration = Duration::from_secs(5);
/// How often the third process repeats its request meanwhile.
const THIRD_VERSION_INTERVAL: Duration = Duration::from_millis(100);

/// Why a process cannot start as a successor.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// Two processes serve already. A third one would spend every budget once more.
    #[error(
        "two versions of {name} serve at {listen_address} already: end the older one (SIGTERM), then start this one again"
    )]
    TooManyVersions {
        /// The initiator's name.
        name: String,
        /// The address at which clients connect.
        listen_address: SocketAddr,
    },
}

/// The state that a predecessor handed over, and the connection to the predecessor.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// The state.
    pub state: HandoverState,
    /// When the state was received. The times in the state are those of the predecessor's clock.
    pub received_at: Instant,
    /// The connection, for [`super::HandoverLink::follow_predecessor`].
    pub stream: BufReader<Connection>,
}

/// Requests the state of the process that serves as `identity`. Returns `None` if there is no predecessor,
/// or if the predecessor rejects the request or does not answer; this process then starts without the
/// state.
///
/// While two processes serve already, the request is repeated for up to 5 s.
///
/// # Errors
/// Two processes still serve after 5 s.
pub async fn request_state(
    identity: &Identity,
    folder: &Path,
) -> Result<Option<ReceivedHandover>, HandoverError> {
    let started = tokio::time::Instant::now();
    let mut wait_logged = false;
    loop {
        let socket = identity.socket(folder);
        let exchange = tokio::time::timeout(STATE_TIMEOUT, request_with_retries(identity, &socket));
        match exchange.await {
            Ok(None) => return Ok(None),
            Ok(Some((Reply::State(state), stream))) => {
                let received_at = Instant::now();
                return Ok(Some(ReceivedHandover { state: *state, received_at, stream }));
            }
            Ok(Some((Reply::Rejected(why), _))) => {
                warn!(%why, "the predecessor rejected the hand-over; starting without its state");
                return Ok(None);
            }
            Ok(Some((Reply::Busy, _))) if started.elapsed() < THIRD_VERSION_TIMEOUT => {
                if !std::mem::replace(&mut wait_logged, true) {
                    warn!("two versions of this initiator serve already; waiting for the older one to end");
                }
                tokio::time::sleep(THIRD_VERSION_INTERVAL).await;
            }
            Ok(Some((Reply::Busy, _))) => {
                let Identity { name, listen_address } = identity.clone();
                return Err(HandoverError::TooManyVersions { name, listen_address });
            }
            Err(_) => {
                warn!("the predecessor did not answer in time; starting without its state");
                return Ok(None);
            }
        }
    }
}

/// Returns the predecessor's reply and the connection; `None` if there is no predecessor, or it died, or
/// its reply is malformed.
///
/// Temporary failures are retried, because a process that starts without the state spends every budget a
/// second time. The caller limits the time.
async fn request_with_retries(identity: &Identity, path: &Path) -> Option<(Reply, BufReader<Connection>)> {
    loop {
        let stream = match UnixStream::connect(path).await {
            Ok(stream) => stream,
            Err(why) if matches!(why.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return None
            }
            Err(why) => {
                warn!(%why, "connecting to the predecessor failed; retrying");
                tokio::time::sleep(RETRY_INTERVAL).await;
                continue;
            }
        };
        let mut stream = BufReader::new(Uninterrupted(stream));
        match exchange_hello(identity, &mut stream).await {
            Ok(mut line) if line.ends_with(b"\n") => return Some((parse_reply(&mut line)?, stream)),
            // The predecessor closed the connection. If it has died, the next connect is refused.
            _ => tokio::time::sleep(RETRY_INTERVAL).await,
        }
    }
}

/// Parses a reply; logs the fault and returns `None` if it is malformed.
fn parse_reply(line: &mut [u8]) -> Option<Reply> {
    simd_json::serde::from_slice(line)
        .inspect_err(|fault| warn!(why = %fault, "the predecessor's reply is malformed"))
        .ok()
}

/// Sends this process's identity, and reads the predecessor's reply, a line that may be cut off.
async fn exchange_hello(identity: &Identity, stream: &mut BufReader<Connection>) -> io::Result<Vec<u8>> {
    let hello = Hello { version: VERSION, identity: identity.clone() };
    let hello = simd_json::serde::to_string(&hello).map_err(io::Error::other)?;
    stream.write_all(format!("{hello}\n").as_bytes()).await?;
    let mut line = Vec::new();
    stream.take(MAX_STATE_BYTES).read_until(b'\n', &mut line).await?;
    Ok(line)
}
