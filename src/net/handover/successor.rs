//! The successor's side of a hand-over: asking a running process for its state.

use super::message::{HandoverState, Hello, Identity, Reply, VERSION};
use super::{Connection, ATTEMPT_PAUSE, MAX_STATE_BYTES, STATE_TIMEOUT};
use crate::runtime::sockets::Uninterrupted;
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use std::path::Path;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tracing::warn;

/// How long a third version waits for the first to end.
const THIRD_VERSION_TIMEOUT: Duration = Duration::from_secs(5);
/// How often it asks meanwhile.
const THIRD_VERSION_INTERVAL: Duration = Duration::from_millis(100);

/// Why a process can't start as a successor.
#[derive(Debug, thiserror::Error)]
pub enum HandoverError {
    /// A third process would spend every budget once more.
    #[error(
        "two versions of {name} serve at {clients} already: end the older one (SIGTERM), then start this one again"
    )]
    TooManyVersions {
        /// The initiator's name.
        name: String,
        /// Where its clients connect.
        clients: SocketAddr,
    },
}

/// The state that a predecessor handed over, and the connection to it.
#[derive(Debug)]
pub struct ReceivedHandover {
    /// What the predecessor handed over.
    pub state: HandoverState,
    /// When it came: its times are told by the predecessor's clock.
    pub received_at: Instant,
    /// The connection, for [`super::HandoverLink::follow_predecessor`].
    pub stream: BufReader<Connection>,
}

/// Asks the process that serves as `identity`, if there is one, for its state. `None`: there is no predecessor, or it
/// gives nothing, and this process starts without.
///
/// # Errors
/// Two versions serve already, and still do after 5 s.
pub async fn request_state(
    identity: &Identity,
    folder: &Path,
) -> Result<Option<ReceivedHandover>, HandoverError> {
    let started = tokio::time::Instant::now();
    let mut waiting = false;
    loop {
        let socket = identity.socket(folder);
        let exchange = tokio::time::timeout(STATE_TIMEOUT, ask_until_answered(identity, &socket));
        match exchange.await {
            Ok(None) => return Ok(None),
            Ok(Some((Reply::State(state), stream))) => {
                let received_at = Instant::now();
                return Ok(Some(ReceivedHandover { state: *state, received_at, stream }));
            }
            Ok(Some((Reply::Rejected(why), _))) => {
                warn!(%why, "the predecessor gives nothing; this process starts without its state");
                return Ok(None);
            }
            Ok(Some((Reply::Busy, _))) if started.elapsed() < THIRD_VERSION_TIMEOUT => {
                if !std::mem::replace(&mut waiting, true) {
                    warn!("two versions serve already: this process waits for the older one to end");
                }
                tokio::time::sleep(THIRD_VERSION_INTERVAL).await;
            }
            Ok(Some((Reply::Busy, _))) => {
                let Identity { name, clients } = identity.clone();
                return Err(HandoverError::TooManyVersions { name, clients });
            }
            Err(_) => {
                warn!("the predecessor says nothing; this process starts without its state");
                return Ok(None);
            }
        }
    }
}

/// The predecessor's reply; `None`: there is no predecessor, or it died, or what it says can't be read. A call that
/// fails for a moment is made again: a process that starts without the state spends every budget once more.
async fn ask_until_answered(identity: &Identity, path: &Path) -> Option<(Reply, BufReader<Connection>)> {
    loop {
        let stream = match UnixStream::connect(path).await {
            Ok(stream) => stream,
            Err(why) if matches!(why.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                return None
            }
            Err(why) => {
                warn!(%why, "the predecessor can't be asked yet");
                tokio::time::sleep(ATTEMPT_PAUSE).await;
                continue;
            }
        };
        let mut stream = BufReader::new(Uninterrupted(stream));
        match exchange_hello(identity, &mut stream).await {
            Ok(mut line) if line.ends_with(b"\n") => return Some((parse_reply(&mut line)?, stream)),
            // It closed the connection: if it has died, nobody listens any more.
            _ => tokio::time::sleep(ATTEMPT_PAUSE).await,
        }
    }
}

fn parse_reply(line: &mut [u8]) -> Option<Reply> {
    simd_json::serde::from_slice(line)
        .inspect_err(|fault| warn!(why = %fault, "the predecessor's state can't be read"))
        .ok()
}

/// Says who this process is, and reads the line that the predecessor answers with, as far as it came.
async fn exchange_hello(identity: &Identity, stream: &mut BufReader<Connection>) -> io::Result<Vec<u8>> {
    let hello = Hello { version: VERSION, identity: identity.clone() };
    let hello = simd_json::serde::to_string(&hello).map_err(io::Error::other)?;
    stream.write_all(format!("{hello}\n").as_bytes()).await?;
    let mut line = Vec::new();
    stream.take(MAX_STATE_BYTES).read_until(b'\n', &mut line).await?;
    Ok(line)
}
