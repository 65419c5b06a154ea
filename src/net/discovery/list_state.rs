//! What is known of the list, from whichever agent it came.

use crate::endpoint_list::EndpointList;
use crate::interface::EndpointListKind;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// Revisions only grow, so a list of an older one comes from an agent that is behind, and must not undo what is known. If one
/// still comes so long after the last that was not older, discovery itself was set back.
const REVISION_RESET_TIME: Duration = Duration::from_secs(15);

/// The last revision, and whether the list may be out of date.
pub struct ListState {
    revision: Cell<u64>,
    accepted_at: Cell<Instant>,
    is_stale: Cell<bool>,
}

/// How a list compares with what is known.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relevance {
    /// It is not older.
    Current,
    /// It is older, and nothing newer has come for so long that discovery was set back.
    RevisionReset,
    /// It is older changes, which are known.
    KnownChanges,
    /// It is an older whole list: its agent is behind.
    OutOfDate,
}

impl ListState {
    /// A list of `revision` is known.
    pub fn new(revision: u64) -> Self {
        let accepted_at = Cell::new(Instant::now());
        ListState { revision: Cell::new(revision), accepted_at, is_stale: Cell::new(false) }
    }

    /// The last revision that was accepted.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// The list may be out of date: each endpoint may be draining.
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Sets whether the list may be out of date; returns what it was.
    pub fn set_stale(&self, is_stale: bool) -> bool {
        self.is_stale.replace(is_stale)
    }

    /// Compares a list with what is known.
    pub fn relevance(&self, list: &EndpointList) -> Relevance {
        if list.revision >= self.revision.get() {
            return Relevance::Current;
        }
        if self.accepted_at.get().elapsed() >= REVISION_RESET_TIME {
            return Relevance::RevisionReset;
        }
        match list.kind {
            EndpointListKind::Delta => Relevance::KnownChanges,
            _ => Relevance::OutOfDate,
        }
    }

    /// The list of this revision is known from now on.
    pub fn accept(&self, revision: u64) {
        self.revision.set(revision);
        self.accepted_at.set(Instant::now());
    }
}
