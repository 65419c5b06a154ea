//! What the core wants the operators to know, as values: the host writes them to its log.

use crate::counters::ClassCounters;
use crate::endpoint_list::EndpointRecord;
use crate::interface::EndpointListKind;
use std::collections::BTreeMap;
use std::time::Duration;

/// One event for the operators.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// An endpoint as the list now has it.
    EndpointListed {
        /// The list's revision.
        revision: u64,
        /// What the report held.
        kind: EndpointListKind,
        /// The entry.
        record: EndpointRecord,
    },
    /// Other entries of the same list changed that are not logged one by one.
    EndpointsNotListed {
        /// The list's revision.
        revision: u64,
        /// How many.
        more: usize,
    },
    /// A predecessor's state has been taken over.
    HandoverRestored {
        /// The revision of its list.
        revision: u64,
        /// How many endpoints it knew.
        endpoints: usize,
        /// How many of them operators had suspended.
        suspended: usize,
        /// Its clients were sent elsewhere.
        drained: bool,
    },
    /// An operator suspended the endpoint of that name.
    EndpointSuspended(String),
    /// An operator resumed the endpoint of that name; it counts as just started.
    EndpointResumed(String),
    /// An operator has clients sent elsewhere.
    ClientsDrained,
    /// An operator has clients accepted again.
    ClientsAccepted,
    /// Counts since the start.
    Counters {
        /// What became of requests, by class.
        classes: Vec<ClassCounters>,
        /// How many attempts ended in which way, by the outcome's name.
        attempt_outcomes: BTreeMap<String, u64>,
        /// Requests without a final answer.
        open_requests: usize,
    },
    /// What peers report of an endpoint has come to mean something else.
    AdviceChanged {
        /// The endpoint's name.
        id: String,
        /// It gets nothing new.
        stopped: bool,
        /// It is held back for a moment.
        held: bool,
        /// How long ago it started, as reported.
        started_ago: Option<Duration>,
    },
    /// Some of a peer's reports were not accepted.
    PeerReportsRejected {
        /// The peer's name.
        from: String,
        /// How many were out of range, or first-hand in another's name.
        invalid: usize,
    },
    /// A line of the scheduler's.
    SchedulerMessage(String),
}
