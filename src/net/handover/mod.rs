//! Hand-over between two versions of one initiator, while the newer takes over from the older.
//!
//! They meet at a Unix socket in `TMPDIR`, named by the initiator and where its clients connect. The newer process
//! (`successor`) asks for what the older (`predecessor`) knows, which comes in one line. The connection stays until
//! either ends ([`HandoverLink`]), so that an operator's command to one process binds both, and the two together spend
//! each budget once. Only a process of the same user, name and clients' address is given anything: another customer's
//! initiator may have the same name, and must not get this one's endpoint list, volumes or configuration.

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

/// The predecessor gives its state within this time. It may be busy, and a successor without the state would spend every
/// budget once more; one that is stuck must not keep a new version from serving for longer.
const STATE_TIMEOUT: Duration = Duration::from_secs(2);
/// A call that failed for a moment is made again after this time.
const ATTEMPT_PAUSE: Duration = Duration::from_millis(10);
/// The longest state, in bytes: a list, the volumes of a minute and the ids of a few seconds.
const MAX_STATE_BYTES: u64 = 16 << 20;
/// The other process carries out an operator's command within this time.
const COMMAND_TIMEOUT: Duration = Duration::from_millis(300);
/// The part of every budget that each process may spend while both serve.
pub const SHARED_BUDGET: f64 = 0.5;
/// The part that the older process keeps while it finishes its last requests.
const LEAVING_BUDGET: f64 = 0.25;
/// Every budget belongs to this process alone.
const WHOLE_BUDGET: f64 = 1.0;

/// A connection between the two processes.
type Connection = Uninterrupted<UnixStream>;

struct Inner {
    host: Host,
    identity: Identity,
    /// The socket at which successors ask.
    path: PathBuf,
    /// A successor has the state, or is being given it.
    handed_over: Cell<bool>,
    /// Notified when a successor has ended before this process.
    successor_gone: Rc<Notify>,
    /// The user that this process runs as.
    user: Cell<u32>,
    /// Messages to the other process, where there is one.
    outgoing: RefCell<Option<mpsc::UnboundedSender<Message>>>,
    /// Commands that the other process has not answered yet.
    unanswered: RefCell<HashMap<CommandNumber, oneshot::Sender<bool>>>,
    last_command: Cell<CommandNumber>,
}

/// The link to the other process of this initiator, where there is one.
#[derive(Clone)]
pub struct HandoverLink(Rc<Inner>);

impl HandoverLink {
    /// A link to nobody yet.
    pub fn new(host: Host, identity: Identity, folder: &Path) -> Self {
        HandoverLink(Rc::new(Inner {
            host,
            path: identity.socket(folder),
            identity,
            handed_over: Cell::new(false),
            successor_gone: Rc::default(),
            user: Cell::default(),
            outgoing: RefCell::default(),
            unanswered: RefCell::default(),
            last_command: Cell::new(0),
        }))
    }

    /// Whether another process shares the budgets at present.
    pub fn is_connected(&self) -> bool {
        self.0.outgoing.borrow().is_some()
    }

    /// From now on successors find this process, and are given what `make_state` returns. A socket that a predecessor
    /// left is replaced in one step.
    pub fn accept_successors(&self, make_state: impl Fn() -> HandoverState + 'static) {
        actix_rt::spawn(predecessor::serve_successors(Rc::downgrade(&self.0), Rc::new(make_state)));
    }

    /// Stays in touch with the predecessor whose state this process has, until that ends.
    pub fn follow_predecessor(&self, stream: BufReader<Connection>) {
        let (link, messages) = (self.clone(), self.connect());
        actix_rt::spawn(async move {
            link.exchange_messages(stream, messages).await;
            link.other_process_ended();
        });
    }

    /// Sends an operator's command to the other process; whether that carried it out within 300 ms.
    pub async fn forward_command(&self, command: OperatorCommand) -> bool {
        let number = self.0.last_command.get() + 1;
        self.0.last_command.set(number);
        let (done, answered) = oneshot::channel();
        self.0.unanswered.borrow_mut().insert(number, done);
        let sent = self.send(Message::Command(number, command));
        let done = sent && matches!(tokio::time::timeout(COMMAND_TIMEOUT, answered).await, Ok(Ok(true)));
        self.0.unanswered.borrow_mut().remove(&number);
        done
    }

    /// This process leaves and its successor goes on: most of every budget is the successor's from now on.
    pub fn yield_budgets(&self) {
        self.0.host.feed(Input::BudgetShare(LEAVING_BUDGET));
        self.send(Message::BudgetShare(WHOLE_BUDGET - LEAVING_BUDGET));
    }

    /// From now on messages for the other process wait until [`Self::exchange_messages`] carries them.
    fn connect(&self) -> mpsc::UnboundedReceiver<Message> {
        let (outgoing, messages) = mpsc::unbounded_channel();
        self.0.outgoing.replace(Some(outgoing));
        messages
    }

    /// There is no other process any more: every budget is this one's.
    fn disconnect(&self) {
        self.0.outgoing.take();
        self.0.handed_over.set(false);
        self.0.host.feed(Input::BudgetShare(WHOLE_BUDGET));
    }

    /// Carries messages both ways for as long as the other process is there.
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

    fn handle_message(&self, line: String) {
        match simd_json::serde::from_slice(&mut line.into_bytes()) {
            Ok(Message::Command(number, command)) => {
                let done = self.0.host.apply_command(command);
                self.send(Message::CommandDone(number, done));
            }
            Ok(Message::CommandDone(number, done)) => {
                if let Some(waiting) = self.0.unanswered.borrow_mut().remove(&number) {
                    // Where nobody waits any more it came too late.
                    let _ = waiting.send(done);
                }
            }
            Ok(Message::BudgetShare(share)) => self.0.host.feed(Input::BudgetShare(share)),
            Err(fault) => warn!(why = %fault, "the other process sent what can't be read"),
        }
    }

    fn other_process_ended(&self) {
        self.0.unanswered.borrow_mut().clear();
        self.disconnect();
        info!("the other process is gone: this one has every budget alone");
    }

    /// Whether there is another process; where it is gone, its reader notices.
    fn send(&self, message: Message) -> bool {
        self.0.outgoing.borrow().as_ref().is_some_and(|outgoing| outgoing.send(message).is_ok())
    }
}

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
