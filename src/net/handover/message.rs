//! What two processes of one initiator send each other: one JSON text a line.
//!
//! The names that go over the socket are those of version 2 of the hand-over and stay; the code's own differ where an
//! attribute says so.

use crate::broker::{CoreSnapshot, OperatorCommand};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The version of the hand-over that this program speaks; both ends need the same.
pub(super) const VERSION: u32 = 2;
/// The longest part of a name or address in the socket's file name, in characters.
const MAX_NAME_CHARACTERS: usize = 40;

/// Which initiator a process is: its successor has the same identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The initiator's name.
    pub name: String,
    /// Where its clients connect.
    pub clients: SocketAddr,
}

impl Identity {
    /// The Unix socket in `folder` at which the processes of this initiator meet.
    pub fn socket(&self, folder: &Path) -> PathBuf {
        let name = file_name_part(&self.name);
        let clients = file_name_part(&self.clients.to_string());
        folder.join(format!("shaletack-{name}-{clients}.sock"))
    }
}

/// The text with everything but letters and digits replaced, and cut to a length that a socket's path can hold.
fn file_name_part(text: &str) -> String {
    let plain = text.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' });
    plain.take(MAX_NAME_CHARACTERS).collect()
}

/// A successor's first message.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) version: u32,
    #[serde(rename = "me")]
    pub(super) identity: Identity,
}

/// The predecessor's answer to a [`Hello`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    #[serde(rename = "Will")]
    State(Box<HandoverState>),
    /// The process is no successor of this one, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// The two latest versions still share every budget.
    Busy,
}

/// What a process hands over to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// What its core knows.
    #[serde(rename = "legacy")]
    pub core: CoreSnapshot,
    /// Ids of recent requests, and how long ago each was received.
    #[serde(rename = "traces")]
    pub request_ids: Vec<(Duration, String)>,
    /// The text of the configuration in force.
    #[serde(rename = "text")]
    pub configuration: String,
}

/// Tells an operator's command from others on the same link.
pub(super) type CommandNumber = u64;

/// A message between two processes that share the budgets.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// An operator's command, to be carried out by the receiver as well.
    #[serde(rename = "Order")]
    Command(CommandNumber, OperatorCommand),
    /// Whether the command of that number was carried out.
    #[serde(rename = "Done")]
    CommandDone(CommandNumber, bool),
    /// The part of every budget that the receiver may spend from now on, from 0 to 1.
    #[serde(rename = "Part")]
    BudgetShare(f64),
}
