//! The messages between two processes of one initiator: one JSON text per line.
//!
//! The names on the wire belong to version 2 of the hand-over and must not change. A `serde` attribute
//! gives the name on the wire where it differs from the one in the code.

use crate::broker::{CoreSnapshot, OperatorCommand};
use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// The version of the hand-over protocol. Both processes must have the same.
pub(super) const VERSION: u32 = 2;
/// The maximum length of the initiator's name, and of its address, in the socket's file name, in characters.
const MAX_FILE_NAME_PART: usize = 40;

/// Identifies an initiator. A process and its successor have the same identity.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Identity {
    /// The initiator's name.
    pub name: String,
    /// The address at which clients connect.
    #[serde(rename = "clients")]
    pub listen_address: SocketAddr,
}

impl Identity {
    /// Returns the path of the Unix socket in `folder` at which successors of this initiator connect.
    pub fn socket(&self, folder: &Path) -> PathBuf {
        let name = file_name_part(&self.name);
        let clients = file_name_part(&self.listen_address.to_string());
        folder.join(format!("shaletack-{name}-{clients}.sock"))
    }
}

/// Replaces everything but ASCII letters and digits by `_`, and cuts the text to a length that a socket's
/// path can hold.
fn file_name_part(text: &str) -> String {
    let plain = text.chars().map(|c| if c.is_ascii_alphanumeric() { c } else { '_' });
    plain.take(MAX_FILE_NAME_PART).collect()
}

/// The first message, from the successor.
#[derive(Debug, Serialize, Deserialize)]
pub(super) struct Hello {
    pub(super) version: u32,
    #[serde(rename = "me")]
    pub(super) identity: Identity,
}

/// The predecessor's answer to a [`Hello`].
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Reply {
    /// The process is a successor, and gets the state.
    #[serde(rename = "Will")]
    State(Box<HandoverState>),
    /// The process is not a successor of this one, for this reason.
    #[serde(rename = "Refused")]
    Rejected(String),
    /// Two processes already share every budget. The process may ask again once one of them has ended.
    Busy,
}

/// The state that a process hands over to its successor.
#[derive(Debug, Serialize, Deserialize)]
pub struct HandoverState {
    /// The core's state.
    #[serde(rename = "legacy")]
    pub core: CoreSnapshot,
    /// The ids of recent requests, and how long ago each was received.
    #[serde(rename = "traces")]
    pub request_ids: Vec<(Duration, String)>,
    /// The text of the configuration in force.
    #[serde(rename = "text")]
    pub configuration: String,
}

/// Identifies an operator's command among those that one process sends on a link.
pub(super) type CommandNumber = u64;

/// A message between two processes that share the budgets.
#[derive(Debug, Serialize, Deserialize)]
pub(super) enum Message {
    /// An operator's command, which the receiver is to carry out as well.
    #[serde(rename = "Order")]
    Command(CommandNumber, OperatorCommand),
    /// The result for the command of that number: whether it was carried out.
    #[serde(rename = "Done")]
    CommandDone(CommandNumber, bool),
    /// The share of every budget that the receiver may spend from now on, from 0 to 1.
    #[serde(rename = "Part")]
    BudgetShare(f64),
}
