//! The inputs that the host passes to the broker: requests, results of attempts, endpoint lists, settings,
//! commands of operators and gossip.

use super::snapshot::CoreSnapshot;
use crate::endpoint_list::EndpointList;
use crate::gossip::PeerTotals;
use crate::interface::{RequestId, Settings, VolumeId};
use crate::outcome::TransportOutcome;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shaletack_observations::{Observer, Report};
use std::time::Duration;

/// One attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AttemptId {
    /// The request.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub number: u8,
}

impl AttemptId {
    /// Identifies the attempt of that number, from 0, of a request.
    pub fn new(request: RequestId, number: u8) -> Self {
        AttemptId { request, number }
    }
}

/// A client's request, in the scheduler's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// The number of the request's class.
    pub class: u16,
    /// The volume.
    pub volume: VolumeId,
    /// The number of the volume's plan.
    pub plan: u16,
    /// The number of initiators through which the volume's requests arrive.
    pub initiators: f64,
    /// The key of the data; 0: none.
    pub key: u64,
    /// The shard that holds the data; `None`: any.
    pub shard: Option<u16>,
    /// The request's size, in units.
    pub units: f64,
    /// How long the client still waits.
    pub time_remaining: Duration,
    /// Whether the client marked the request as a retry of its own.
    pub client_retry: bool,
    /// Whether no attempt may follow one that may have run, nor a rejection, whatever the request's class
    /// says: a late run of the first attempt could undo a newer write to the same place.
    pub at_most_once: bool,
}

/// The result of an attempt, as an upstream client returns it.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// How the exchange ended.
    pub transport: TransportOutcome,
    /// The endpoint's response, if it is complete.
    pub body: Bytes,
    /// The volume's usage through all initiators, as a fraction of the plan's rate; `None`: not reported.
    pub volume_usage: Option<f64>,
    /// Units that the shard served to the volume through other initiators since the shard's last response
    /// here.
    pub units_elsewhere: f64,
    /// Whether bytes of the request's body were sent that cannot be sent again.
    pub body_consumed: bool,
}

impl AttemptResult {
    /// Creates the result of an attempt that ended without a response.
    pub fn without_response(transport: TransportOutcome) -> Self {
        let body = Bytes::new();
        AttemptResult { transport, body, volume_usage: None, units_elsewhere: 0.0, body_consumed: false }
    }
}

/// How far an attempt has progressed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// The first byte of the request is being written: from now on the endpoint may have received it.
    WriteStarted,
    /// The body of the request is being sent as its client sends it.
    BodyStreaming,
    /// The last byte of the body has been sent.
    BodySent,
    /// The client is known to be still sending the body that is being streamed, and sets the pace.
    ClientSending,
    /// More bytes of the body that is being streamed have arrived, and the client may have sent the last one.
    ClientMayBeDone,
    /// The first bytes of the response have arrived.
    ResponseStarted,
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Takes the endpoint of that name out of service, whatever the list says.
    Suspend(String),
    /// Returns the endpoint of that name to service; it may have been restarted meanwhile.
    Resume(String),
    /// Drains this initiator: clients are sent to other initiators.
    Drain,
    /// Accepts clients again.
    Activate,
}

/// One occurrence that the broker handles.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client's request was read.
    RequestArrived {
        /// A number that was never used before.
        id: RequestId,
        /// The request.
        request: IncomingRequest,
    },
    /// An attempt ended.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// Its result.
        result: AttemptResult,
    },
    /// An attempt progressed.
    AttemptProgressed {
        /// The attempt.
        attempt: AttemptId,
        /// How far it has progressed.
        progress: AttemptProgress,
    },
    /// The client of a request left.
    ClientLeft(RequestId),
    /// The endpoint list or a change of the list was received.
    EndpointList(EndpointList),
    /// The Unix time that this host's wall clock shows. The wall clock may be stepped at any time.
    WallClock(Duration),
    /// New settings are in force. Requests that arrived before keep the rules under which they arrived.
    Settings(Box<Settings>),
    /// An operator gave a command.
    OperatorCommand(OperatorCommand),
    /// Restores the state of another process, from which this one takes over.
    Restore {
        /// The state of that process.
        snapshot: Box<CoreSnapshot>,
        /// This process's share of every budget, from 0 to 1.
        budget_share: f64,
    },
    /// This process's share of every budget, from 0 to 1; another process has the rest.
    BudgetShare(f64),
    /// The watched list reports that nothing has changed.
    EndpointListCurrent,
    /// Whether the list may lack changes of which this initiator counts as notified.
    EndpointListStale(bool),
    /// A peer sent reports in an exchange.
    PeerReports {
        /// The peer.
        from: Observer,
        /// The round-trip time of the exchange.
        round_trip: Duration,
        /// The reports.
        reports: Vec<Report>,
    },
    /// Gossip brought reports that are new here. The caller has validated them.
    GossipMerged(Vec<Report>),
    /// The sums over all other initiators were updated.
    PeerTotals(PeerTotals),
    /// The timer set by [`Effect::SetTimer`](super::Effect::SetTimer) has fired.
    TimerFired,
}
