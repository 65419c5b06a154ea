//! The predecessor's side of a hand-over: a Unix socket at which one successor at a time is given this process's state.

use super::message::{HandoverState, Hello, Reply, VERSION};
use super::{Connection, HandoverLink, Inner, Message, ATTEMPT_PAUSE, SHARED_BUDGET, STATE_TIMEOUT};
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

/// A successor says who it is within this time.
const HELLO_TIMEOUT: Duration = Duration::from_millis(300);
/// The longest hello, in bytes.
const MAX_HELLO_BYTES: u64 = 4096;
/// A socket that can't be made yet is tried again after this time.
const LISTEN_INTERVAL: Duration = Duration::from_millis(500);

/// Makes the state that a successor is given, at the moment in which it asks.
pub(super) type MakeState = dyn Fn() -> HandoverState;

/// Why a process that asked for the state is none of this one's successors.
#[derive(Debug, thiserror::Error)]
enum NotASuccessor {
    #[error("its hello: {0}")]
    Malformed(#[from] simd_json::Error),
    #[error("it speaks version {0} of the handover, and this one {VERSION}")]
    OtherVersion(u32),
    #[error("it runs as user {its}, and this one as {own}")]
    OtherUser { its: u32, own: u32 },
    #[error("it is {its_name} at {its_clients}, and this one {own_name} at {own_clients}")]
    OtherIdentity {
        its_name: String,
        its_clients: std::net::SocketAddr,
        own_name: String,
        own_clients: std::net::SocketAddr,
    },
}

/// Accepts successors for as long as the link's process needs any.
pub(super) async fn serve_successors(weak: Weak<Inner>, make_state: Rc<MakeState>) {
    let Some(successor_gone) = weak.upgrade().map(|inner| inner.successor_gone.clone()) else { return };
    let Some(mut listener) = listen_until_possible(&weak).await else { return };
    loop {
        let accepted = tokio::select! {
            accepted = listener.accept() => accepted,
            () = successor_gone.notified() => {
                // A successor put its own socket there, and has ended before this process.
                let Some(replacement) = listen_until_possible(&weak).await else { return };
                listener = replacement;
                continue;
            }
        };
        let Some(link) = weak.upgrade().map(HandoverLink) else { return };
        match accepted {
            // In a task of its own: whoever connects and says nothing keeps no successor waiting.
            Ok((stream, _)) => {
                actix_rt::spawn(serve_successor(link, stream, make_state.clone()));
            }
            Err(why) => {
                // Whoever waits in the backlog still does.
                warn!(%why, "a successor could not be accepted yet");
                tokio::time::sleep(ATTEMPT_PAUSE).await;
            }
        }
    }
}

async fn serve_successor(link: HandoverLink, stream: UnixStream, make_state: Rc<MakeState>) {
    if let Some((stream, messages)) = link.hand_over(stream, &*make_state).await {
        link.exchange_messages(stream, messages).await;
        link.other_process_ended();
        link.0.successor_gone.notify_one();
    }
}

impl HandoverLink {
    /// Gives the state and half of every budget to the process on this connection, if it is a successor. Operators'
    /// commands from the moment in which the state is made follow it.
    async fn hand_over(
        &self,
        stream: UnixStream,
        make_state: &MakeState,
    ) -> Option<(BufReader<Connection>, mpsc::UnboundedReceiver<Message>)> {
        let user = stream.peer_cred().ok()?.uid();
        let mut stream = BufReader::new(Uninterrupted(stream));
        let mut hello = read_hello(&mut stream).await?;
        let reply = match self.check_hello(&mut hello, user) {
            Err(why) => {
                warn!(%why, "a process asked for what this one knows and is given nothing");
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
        info!("a successor has started: it and this process share every budget");
        Some((stream, messages))
    }

    /// Whether this is the hello of a successor that runs as `user`.
    fn check_hello(&self, hello: &mut [u8], user: u32) -> Result<(), NotASuccessor> {
        let hello: Hello = simd_json::serde::from_slice(hello)?;
        let (own, its) = (&self.0.identity, hello.identity);
        if hello.version != VERSION {
            return Err(NotASuccessor::OtherVersion(hello.version));
        }
        if user != self.0.user.get() {
            return Err(NotASuccessor::OtherUser { its: user, own: self.0.user.get() });
        }
        if *own != its {
            return Err(NotASuccessor::OtherIdentity {
                its_name: its.name,
                its_clients: its.clients,
                own_name: own.name.clone(),
                own_clients: own.clients,
            });
        }
        Ok(())
    }
}

/// The hello, where it comes whole and in time.
async fn read_hello(stream: &mut BufReader<Connection>) -> Option<Vec<u8>> {
    let mut hello = Vec::new();
    let mut start = stream.take(MAX_HELLO_BYTES);
    let read = tokio::time::timeout(HELLO_TIMEOUT, start.read_until(b'\n', &mut hello)).await;
    matches!(read, Ok(Ok(_)) if hello.ends_with(b"\n")).then_some(hello)
}

/// The socket, as soon as it can be had; `None`: this process needs none any more.
async fn listen_until_possible(weak: &Weak<Inner>) -> Option<UnixListener> {
    let mut reported = false;
    loop {
        match weak.upgrade()?.listen() {
            Ok(listener) => return Some(listener),
            Err(why) => {
                if !std::mem::replace(&mut reported, true) {
                    let socket = weak.upgrade()?.path.clone();
                    warn!(socket = %socket.display(), %why, "successors can't be given anything yet");
                }
                tokio::time::sleep(LISTEN_INTERVAL).await;
            }
        }
    }
}

impl Inner {
    /// Puts a socket under the initiator's name, in one step in place of a predecessor's.
    fn listen(&self) -> io::Result<UnixListener> {
        let temporary = self.path.with_extension(std::process::id().to_string());
        let _ = std::fs::remove_file(&temporary);
        let listener = UnixListener::bind(&temporary)?;
        self.user.set(std::fs::metadata(&temporary)?.uid());
        std::fs::rename(&temporary, &self.path)?;
        Ok(listener)
    }
}
