//! The predecessor's side of a hand-over: listens at a Unix socket, and sends this process's state to one
//! successor at a time.

use super::message::{HandoverState, Hello, Reply, VERSION};
use super::{Connection, HandoverLink, Inner, Message, RETRY_INTERVAL, SHARED_BUDGET, STATE_TIMEOUT};
use crate::broker::Input;
use crate::runtime::sockets::Uninterrupted;
use std::io;
use std::os::unix::fs::MetadataExt;
use std::rc::{Rc, Weak};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::mpsc;
use tracing::{info, warn};

/// How long a process that connects may take to send its hello.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);
/// The maximum length of a hello, in bytes.
const MAX_HELLO_BYTES: u64 = 4096;
/// The pause before creating the socket is retried.
const LISTEN_RETRY_INTERVAL: Duration = Duration::from_millis(500);

/// Makes the state for a successor, at the time at which it is requested.
pub(super) type MakeState = dyn Fn() -> HandoverState;

/// Why a process that requested the state is not a successor of this one.
#[derive(Debug, thiserror::Error)]
enum NotASuccessor {
    #[error("malformed hello: {0}")]
    Malformed(#[from] simd_json::Error),
    #[error("the process uses version {0} of the hand-over, this one uses version {VERSION}")]
    OtherVersion(u32),
    #[error("the process runs as user {peer}, this one runs as user {own}")]
    OtherUser { peer: u32, own: u32 },
    #[error("the process is {peer_name} at {peer_address}, this one is {own_name} at {own_address}")]
    OtherIdentity {
        peer_name: String,
        peer_address: std::net::SocketAddr,
        own_name: String,
        own_address: std::net::SocketAddr,
    },
}

/// Accepts successors until the link is dropped.
pub(super) async fn serve_successors(weak: Weak<Inner>, make_state: Rc<MakeState>) {
    let Some(successor_ended) = weak.upgrade().map(|inner| inner.successor_ended.clone()) else { return };
    let Some(mut listener) = listen_with_retries(&weak).await else { return };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = successor_ended.notified() => {
                // The successor replaced the socket by its own, and has ended before this process.
                let Some(replacement) = listen_with_retries(&weak).await else { return };
                listener = replacement;
                continue;
            }
        };
        let Some(link) = weak.upgrade().map(HandoverLink) else { return };
        match accepted {
            // In a task of its own, so that a process that connects and sends nothing delays no successor.
            Ok((stream, _)) => {
                actix_rt::spawn(serve_successor(link, stream, make_state.clone()));
            }
            Err(why) => {
                // Connections stay in the backlog.
                warn!(%why, "a successor's connection could not be accepted; retrying");
                tokio::time::sleep(RETRY_INTERVAL).await;
            }
        }
    }
}

/// Hands over to the process on this connection, and exchanges messages with it until it ends.
async fn serve_successor(link: HandoverLink, stream: UnixStream, make_state: Rc<MakeState>) {
    if let Some((stream, messages)) = link.hand_over(stream, &*make_state).await {
        link.exchange_messages(stream, messages).await;
        link.other_process_ended();
        link.0.successor_ended.notify_one();
    }
}

impl HandoverLink {
    /// Sends the state, and gives half of every budget, to the process on this connection if it is a
    /// successor.
    ///
    /// Returns the connection and the queue of messages to the successor. Operators' commands that arrive
    /// after the state was made are queued, and follow it.
    async fn hand_over(
        &self,
        stream: UnixStream,
        make_state: &MakeState,
    ) -> Option<(BufReader<Connection>, mpsc::UnboundedReceiver<Message>)> {
        let user_id = stream.peer_cred().ok()?.uid();
        let mut stream = BufReader::new(Uninterrupted(stream));
        let mut hello = read_hello(&mut stream).await?;
        let reply = match self.check_hello(&mut hello, user_id) {
            Err(why) => {
                warn!(%why, "a hand-over request from a process that is not a successor was rejected");
                Reply::Rejected(why.to_string())
            }
            Ok(()) if self.0.handed_over.get() || self.is_connected() => Reply::Busy,
            Ok(()) => Reply::State(Box::new(make_state())),
        };
        let messages = matches!(reply, Reply::State(_)).then(|| {
            self.0.handed_over.set(true);
            self.0.host.feed(Input::BudgetShare(SHARED_BUDGET));
            self.connect()
        });
        let line = simd_json::serde::to_string(&reply).ok()? + "\n";
        let written = tokio::time::timeout(STATE_TIMEOUT, stream.write_all(line.as_bytes())).await;
        let messages = messages?;
        if !matches!(written, Ok(Ok(()))) {
            self.disconnect();
            return None;
        }
        info!("a successor has started; both processes share every budget");
        Some((stream, messages))
    }

    /// Checks the hello of a process that runs as the user `user_id`.
    ///
    /// # Errors
    /// The process is not a successor of this one.
    fn check_hello(&self, hello: &mut [u8], user_id: u32) -> Result<(), NotASuccessor> {
        let hello: Hello = simd_json::serde::from_slice(hello)?;
        let (own, peer) = (&self.0.identity, hello.identity);
        if hello.version != VERSION {
            return Err(NotASuccessor::OtherVersion(hello.version));
        }
        if user_id != self.0.user_id.get() {
            return Err(NotASuccessor::OtherUser { peer: user_id, own: self.0.user_id.get() });
        }
        if *own != peer {
            return Err(NotASuccessor::OtherIdentity {
                peer_name: peer.name,
                peer_address: peer.listen_address,
                own_name: own.name.clone(),
                own_address: own.listen_address,
            });
        }
        Ok(())
    }
}

/// Reads the hello; returns `None` if it is incomplete, too long or late.
async fn read_hello(stream: &mut BufReader<Connection>) -> Option<Vec<u8>> {
    let mut hello = Vec::new();
    let mut start = stream.take(MAX_HELLO_BYTES);
    let read = tokio::time::timeout(HELLO_TIMEOUT, start.read_until(b'\n', &mut hello)).await;
    matches!(read, Ok(Ok(_)) if hello.ends_with(b"\n")).then_some(hello)
}

/// Creates the socket, and retries until that succeeds. Returns `None` once the link is dropped.
async fn listen_with_retries(weak: &Weak<Inner>) -> Option<UnixListener> {
    let mut reported = false;
    loop {
        match weak.upgrade()?.listen() {
            Ok(listener) => return Some(listener),
            Err(why) => {
                if !std::mem::replace(&mut reported, true) {
                    let socket = weak.upgrade()?.path.clone();
                    warn!(
                        socket = %socket.display(),
                        %why,
                        "the hand-over socket could not be created; retrying"
                    );
                }
                tokio::time::sleep(LISTEN_RETRY_INTERVAL).await;
            }
        }
    }
}

impl Inner {
    /// Creates the socket under a temporary name, and renames it, so that a predecessor's socket is replaced
    /// atomically.
    fn listen(&self) -> io::Result<UnixListener> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        self.user_id.set(std::fs::metadata(&temporary)?.uid());
        std::fs::rename(&temporary, &self.path)?;
        Ok(listener)
    }
}
