//! Commands of clients that wait for their acknowledgement from the buffer.

use super::error::WriteError;
use shaletack_writeback::CommandId;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use tokio::sync::oneshot;

#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    last: Cell<CommandId>,
    waiting: RefCell<HashMap<CommandId, oneshot::Sender<Result<(), WriteError>>>>,
}

/// A command that waits, and where its result comes.
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
            // If the client is gone by now, nobody reads it.
            let _ = sender.send(result);
        }
    }
}
