//! Hand-over from a running process of an initiator to a new version of it, which takes over its clients.
//!
//! The new process (the successor) connects to a Unix socket in `TMPDIR` that the old process (the
//! predecessor) listens at. The socket is named after the initiator and the address at which its clients
//! connect. The predecessor sends its state in one line.
//!
//! The connection stays open until either process ends ([`HandoverLink`]). Operators' commands to one
//! process are forwarded to the other, and the two processes share every budget, so that together they
//! spend it once.
//!
//! The state is only given to a process of the same user, with the same initiator name and client address.
//! Another customer's initiator may have the same name, and must not get this one's endpoint list, volumes
//! or configuration.

mod message;
mod predecessor;
mod successor;

pub use message::{HandoverState, Identity};
pub use successor::{request_state, HandoverError, ReceivedHandover};

use crate::broker::{Input, OperatorCommand};
use crate::runtime::host::Host;
use crate::runtime::sockets::Uninterrupted;
use message::{CommandNumber, Message};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::UnixStream;
use tokio::sync::{mpsc, oneshot, Notify};
use tracing::{info, warn};

/// How long a successor waits for the predecessor's state, and how long the predecessor takes at most to
/// send it.
///
/// The predecessor may be busy, and a successor without the state would spend every budget a second time. A
/// predecessor that hangs must not keep a new version from serving for longer.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// The pause before a connect or accept that failed temporarily is retried.
const RETRY_INTERVAL: Duration = Duration::from_millis(10);
/// The maximum length of the state, in bytes. It holds the endpoint list, the volumes of the last minute
/// and the request ids of the last few seconds.
const MAX_STATE_BYTES: u64 = 16 << 20;
/// How long the other process may take to carry out an operator's command.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// The share of every budget that each process may spend while both serve.
pub const SHARED_BUDGET: f64 = 0.5;
/// The share that the predecessor keeps while it finishes its last requests.
const STOPPING_BUDGET: f64 = 0.25;
/// The share of a process that is the only one of its initiator.
const WHOLE_BUDGET: f64 = 1.0;

/// The connection between the two processes.
type Connection = Uninterrupted<UnixStream>;

struct Inner {
    host: Host,
    identity: Identity,
    /// The path of the socket at which successors connect.
    path: PathBuf,
    /// Whether a successor has the state, or is being sent it.
    handed_over: Cell<bool>,
    /// Notified when a successor has ended before this process.
    successor_ended: Rc<Notify>,
    /// The id of the user that this process runs as, taken from the owner of its socket.
    user_id: Cell<u32>,
    /// The queue of messages to the other process, if there is one.
    outgoing: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    /// The commands whose results the other process has not sent yet.
    pending_commands: RefCell<HashMap<CommandNumber, oneshot::Sender<bool>>>,
    last_command: Cell<CommandNumber>,
}

/// The link to the other process of this initiator, if there is one. Clones share the same link.
#[derive(Clone)]
pub struct HandoverLink(Rc<Inner>);

impl HandoverLink {
    /// Creates a link without another process. The socket for successors is in `folder`.
    pub fn new(host: Host, identity: Identity, folder: &Path) -> Self {
        HandoverLink(Rc::new(Inner {
            host,
            path: identity.socket(folder),
            identity,
            handed_over: Cell::new(false),
            successor_ended: Rc::default(),
            user_id: Cell::default(),
            outgoing: RefCell::default(),
            pending_commands: RefCell::default(),
            last_command: Cell::new(0),
        }))
    }

    /// Returns whether another process shares the budgets at present.
    pub fn is_connected(&self) -> bool {
        self.0.outgoing.borrow().is_some()
    }

    /// Starts to accept successors, which are sent the state that `make_state` returns. A socket that a
    /// predecessor left is replaced atomically.
    pub fn accept_successors(&self, make_state: impl Fn() -> HandoverState + 'static) {
        actix_rt::spawn(predecessor::serve_successors(Rc::downgrade(&self.0), Rc::new(make_state)));
    }

    /// Starts to exchange messages with the predecessor from which this process received its state, until the
    /// predecessor ends.
    pub fn follow_predecessor(&self, stream: BufReader<Connection>) {
        let (link, messages) = (self.clone(), self.connect());
        actix_rt::spawn(async move {
            link.exchange_messages(stream, messages).await;
            link.other_process_ended();
        });
    }

    /// Sends an operator's command to the other process. Returns whether that process carried it out within
    /// 300 ms; `false` if there is none.
    pub async fn forward_command(&self, command: OperatorCommand) -> bool {
        let number = self.0.last_command.get() + 1;
        self.0.last_command.set(number);
        let (result_sender, result) = oneshot::channel();
        self.0.pending_commands.borrow_mut().insert(number, result_sender);
        let sent = self.send(Message::Command(number, command));
        let done = sent && matches!(tokio::time::timeout(COMMAND_TIMEOUT, result).await, Ok(Ok(true)));
        self.0.pending_commands.borrow_mut().remove(&number);
        done
    }

    /// Gives most of every budget to the successor, because this process stops.
    pub fn yield_budgets(&self) {
        self.0.host.feed(Input::BudgetShare(STOPPING_BUDGET));
        self.send(Message::BudgetShare(WHOLE_BUDGET - STOPPING_BUDGET));
    }

    /// Opens the queue of messages to the other process. [`Self::exchange_messages`] sends them.
    fn connect(&self) -> mpsc::UnboundedReceiver<Message> {
        let (outgoing, messages) = mpsc::unbounded_channel();
        self.0.outgoing.replace(Some(outgoing));
        messages
    }

    /// Closes the queue of messages, and takes every budget back: there is no other process any more.
    fn disconnect(&self) {
        self.0.outgoing.take();
        self.0.handed_over.set(false);
        self.0.host.feed(Input::BudgetShare(WHOLE_BUDGET));
    }

    /// Sends and receives messages until the other process closes the connection.
    async fn exchange_messages(
        &self,
        stream: BufReader<Connection>,
        messages: mpsc::UnboundedReceiver<Message>,
    ) {
        let (read, write) = stream.into_inner().0.into_split();
        actix_rt::spawn(write_messages(Uninterrupted(write), messages));
        let mut lines = BufReader::new(Uninterrupted(read)).lines();
        while let Ok(Some(line)) = lines.next_line().await {
            self.handle_message(line);
        }
    }

    /// Handles one message from the other process.
    fn handle_message(&self, line: String) {
        match simd_json::serde::from_slice(&mut line.into_bytes()) {
            Ok(Message::Command(number, command)) => {
                let done = self.0.host.apply_command(command);
                self.send(Message::CommandDone(number, done));
            }
            Ok(Message::CommandDone(number, done)) => {
                if let Some(result) = self.0.pending_commands.borrow_mut().remove(&number) {
                    // The receiver is gone if the wait has timed out.
                    let _ = result.send(done);
                }
            }
            Ok(Message::BudgetShare(share)) => self.0.host.feed(Input::BudgetShare(share)),
            Err(fault) => warn!(why = %fault, "the other process sent a malformed message"),
        }
    }

    /// Ends the exchange after the other process has closed the connection. Pending commands fail.
    fn other_process_ended(&self) {
        self.0.pending_commands.borrow_mut().clear();
        self.disconnect();
        info!("the other process is gone; this process has every budget alone");
    }

    /// Queues a message for the other process. Returns `false` if there is none. A process that has just
    /// ended is noticed by [`Self::exchange_messages`].
    fn send(&self, message: Message) -> bool {
        self.0.outgoing.borrow().as_ref().is_some_and(|outgoing| outgoing.send(message).is_ok())
    }
}

/// Writes queued messages until the queue or the connection is closed.
async fn write_messages(
    mut write: Uninterrupted<tokio::net::unix::OwnedWriteHalf>,
    mut messages: mpsc::UnboundedReceiver<Message>,
) {
    while let Some(message) = messages.recv().await {
        let Ok(mut line) = simd_json::serde::to_string(&message) else { continue };
        line.push('\n');
        if write.write_all(line.as_bytes()).await.is_err() {
            return;
        }
    }
}
