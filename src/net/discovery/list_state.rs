//! The state of the endpoint list, shared by the watches of different agents.

use crate::endpoint_list::EndpointList;
use crate::interface::EndpointListKind;
use std::cell::Cell;
use std::time::{Duration, Instant};

/// How long after the last accepted list a list of an older revision is accepted again. Revisions only grow,
/// so an older list comes from an agent that lags behind, and must not replace a newer one. If older lists
/// still come after this time, the revision of discovery itself has been reset.
const REVISION_RESET_TIME: Duration = Duration::from_secs(15);

/// The last accepted revision, and whether the list may be out of date.
pub struct ListState {
    revision: Cell<u64>,
    accepted_at: Cell<Instant>,
    is_stale: Cell<bool>,
}

/// How a received list relates to the last accepted one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Relevance {
    /// Its revision is not older.
    Current,
    /// Its revision is older, but no newer one has been received for so long that discovery must have been
    /// reset.
    RevisionReset,
    /// It contains older changes, which are known already.
    KnownChanges,
    /// It is a whole list of an older revision: its agent lags behind.
    OutOfDate,
}

impl ListState {
    /// Returns the state after a list of `revision` has been accepted.
    pub fn new(revision: u64) -> Self {
        let accepted_at = Cell::new(Instant::now());
        ListState { revision: Cell::new(revision), accepted_at, is_stale: Cell::new(false) }
    }

    /// Returns the last accepted revision.
    pub fn revision(&self) -> u64 {
        self.revision.get()
    }

    /// Returns whether the list may be out of date. Any endpoint may be draining then.
    pub fn is_stale(&self) -> bool {
        self.is_stale.get()
    }

    /// Sets whether the list may be out of date, and returns the previous value.
    pub fn set_stale(&self, is_stale: bool) -> bool {
        self.is_stale.replace(is_stale)
    }

    /// Compares a received list with the last accepted one.
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

    /// Records that a list of this revision has been accepted.
    pub fn accept(&self, revision: u64) {
        self.revision.set(revision);
        self.accepted_at.set(Instant::now());
    }
}
