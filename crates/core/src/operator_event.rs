//! Events of the core that concern operators, as typed values. The host writes them to its log.

use crate::counters::ClassCounters;
use crate::endpoint_list::EndpointRecord;
use crate::interface::EndpointListKind;
use std::collections::BTreeMap;
use std::time::Duration;

/// One event that concerns operators.
#[derive(Clone, Debug, PartialEq)]
pub enum OperatorEvent {
    /// An entry of the endpoint list is new or has changed.
    EndpointListed {
        /// The list's revision.
        revision: u64,
        /// The kind of list message that held the entry.
        kind: EndpointListKind,
        /// The entry.
        record: EndpointRecord,
    },
    /// Further entries of the same list changed and are not logged one by one.
    EndpointChangesNotLogged {
        /// The list's revision.
        revision: u64,
        /// How many changed entries are not logged.
        count: usize,
    },
    /// The state handed over by a predecessor was restored.
    HandoverRestored {
        /// The revision of the predecessor's endpoint list.
        revision: u64,
        /// How many endpoints the predecessor knew.
        endpoints: usize,
        /// How many of them operators had suspended.
        suspended: usize,
        /// Whether the predecessor was drained, so that its clients were sent to other initiators.
        drained: bool,
    },
    /// An operator suspended the endpoint of that name.
    EndpointSuspended(String),
    /// An operator resumed the endpoint of that name. Its slow start begins now, unless the endpoint list
    /// shows a start that surely came after the suspension.
    EndpointResumed(String),
    /// An operator drained this initiator: clients are to use other initiators.
    ClientsDrained,
    /// An operator activated this initiator: clients are accepted again.
    ClientsAccepted,
    /// Counters since the process started.
    Counters {
        /// The outcomes of requests, by class.
        classes: Vec<ClassCounters>,
        /// The number of ended attempts, by the name of their outcome.
        attempt_outcomes: BTreeMap<String, u64>,
        /// The number of requests without a final answer.
        open_requests: usize,
    },
    /// The advice on an endpoint changed in more than its duration. Advice follows from peers' reports and
    /// from failures of this initiator's own attempts.
    AdviceChanged {
        /// The endpoint's name.
        id: String,
        /// Whether nothing new is sent to the endpoint.
        stopped: bool,
        /// Whether the endpoint is held back for a short time because attempts to it fail.
        held: bool,
        /// How long ago the endpoint started, as reported by a peer.
        started_ago: Option<Duration>,
    },
    /// Some reports of a peer were rejected.
    PeerReportsRejected {
        /// The peer's name.
        from: String,
        /// How many were out of range, or claimed to be first-hand in the name of another observer.
        invalid: usize,
    },
    /// A log line of the scheduler.
    SchedulerMessage(String),
}
