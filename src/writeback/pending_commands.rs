//! Client commands that wait for the buffer to acknowledge or reject them.

use super::error::WriteError;
use shaletack_writeback::CommandId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::oneshot;

/// The commands that have no result yet.
#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    last: Cell<CommandId>,
    waiting: RefCell<HashMap<CommandId, oneshot::Sender<Result<(), WriteError>>>>,
}

/// A registered command and the receiver of its result.
pub(super) struct PendingCommand {
    pub id: CommandId,
    pub result: oneshot::Receiver<Result<(), WriteError>>,
}

impl PendingCommands {
    pub fn register(&self) -> PendingCommand {
        let id = self.last.get() + 1;
        self.last.set(id);
        let (sender, result) = oneshot::channel();
        self.waiting.borrow_mut().insert(id, sender);
        PendingCommand { id, result }
    }

    pub fn complete(&self, id: CommandId, result: Result<(), WriteError>) {
        if let Some(sender) = self.waiting.borrow_mut().remove(&id) {
            // Sending fails if the client has stopped waiting. Its result is then discarded.
            let _ = sender.send(result);
        }
    }
}
