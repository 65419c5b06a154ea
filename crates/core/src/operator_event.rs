//! What the core wants the operators to know, as values: a host gives them their form.

use crate::broker::RequestCounters;
use crate::endpoint_list::EndpointRecord;
use crate::interface::EndpointListKind;
use std::time::Duration;

/// One thing to be told.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// A box as the list now has it.
    EndpointListed {
        /// The list's version.
        revision: u64,
        /// What the report held.
        kind: EndpointListKind,
        /// The entry.
        member: EndpointRecord,
    },
    /// Entries of the same list beside those, which are not told one by one.
    EndpointsNotListed {
        /// The list's version.
        revision: u64,
        /// How many.
        more: usize,
    },
    /// What a predecessor left has been taken over.
    HandoverRestored {
        /// The version of its list.
        revision: u64,
        /// How many boxes it named.
        boxes: usize,
        /// How many of them operators took out.
        suspended: usize,
        /// Its clients were to go elsewhere.
        drained: bool,
    },
    /// An operator took a box out.
    EndpointSuspended(String),
    /// An operator gave a box back; it counts as just started.
    EndpointResumed(String),
    /// Clients are to go elsewhere, by hand.
    ClientsDrained,
    /// Clients are taken again, by hand.
    ClientsAccepted,
    /// Counts since the start.
    Counters {
        /// What became of requests, by class.
        classes: Vec<(String, RequestCounters)>,
        /// How many attempts ended in which way.
        ends: Vec<(String, u64)>,
        /// Requests without a final answer.
        open: usize,
    },
    /// What peers say of a box has come to mean something else.
    AdviceChanged {
        /// The box.
        id: String,
        /// It gets nothing new, by their word.
        stopped: bool,
        /// It is held back for a moment.
        held: bool,
        /// How long ago it started, by their word.
        started_ago: Option<Duration>,
    },
    /// Some of what a peer told was not taken.
    PeerReportsRejected {
        /// Who told it.
        from: String,
        /// Facts out of range, or first-hand in another's name.
        unsound: usize,
    },
    /// A line of the scheduler's.
    SchedulerMessage(String),
}
