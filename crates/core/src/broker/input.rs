//! What the host tells the broker: requests, the fate of attempts, lists, settings, operators' commands and gossip.

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
    /// Which of its attempts, from 0.
    pub number: u8,
}

impl AttemptId {
    /// The attempt of that number, from 0, of a request.
    pub fn new(request: RequestId, number: u8) -> Self {
        AttemptId { request, number }
    }
}

/// A client's request, in the scheduler's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// Its class, by number.
    pub class: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by number.
    pub plan: u16,
    /// Through how many initiators the volume's requests come.
    pub initiators: f64,
    /// The key of the data; 0: none.
    pub key: u64,
    /// The shard that holds the data; `None`: any.
    pub shard: Option<u16>,
    /// Its size in units.
    pub units: f64,
    /// How long the client still waits.
    pub time_remaining: Duration,
    /// The client marked it as a retry of its own.
    pub client_retry: bool,
}

/// How an attempt came back from an upstream client.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// How the exchange ended.
    pub transport: TransportOutcome,
    /// The endpoint's response, where it is complete.
    pub body: Bytes,
    /// The volume's use at all initiators, as a part of its plan's rate.
    pub volume_usage: Option<f64>,
    /// Units the shard served the volume through other initiators since its last response here.
    pub units_elsewhere: f64,
    /// Bytes of the request's body were sent that can't be sent again.
    pub body_consumed: bool,
}

impl AttemptResult {
    /// An attempt that ended without a response.
    pub fn without_response(transport: TransportOutcome) -> Self {
        let body = Bytes::new();
        AttemptResult { transport, body, volume_usage: None, units_elsewhere: 0.0, body_consumed: false }
    }
}

/// How far an attempt has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// Its first byte is written now: from here on the endpoint may have it.
    WriteStarted,
    /// The request's body is sent as its client sends it.
    BodyStreaming,
    /// The last byte of the body has been sent.
    BodySent,
    /// The first bytes of the response are here.
    ResponseStarted,
}

/// A command of an operator.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Take the endpoint of that name out of service, whatever the list says.
    Suspend(String),
    /// Give it back; it may have been restarted meanwhile.
    Resume(String),
    /// Send the clients elsewhere.
    Drain,
    /// Accept clients again.
    Activate,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client's request was read.
    RequestArrived {
        /// A number never used before.
        id: RequestId,
        /// The request.
        request: IncomingRequest,
    },
    /// An attempt came back.
    AttemptEnded {
        /// Which.
        attempt: AttemptId,
        /// How.
        result: AttemptResult,
    },
    /// An attempt has come so far.
    AttemptProgressed {
        /// Which.
        attempt: AttemptId,
        /// How far.
        progress: AttemptProgress,
    },
    /// The client of a request is gone.
    ClientLeft(RequestId),
    /// The endpoint list, or what changed of it.
    EndpointList(EndpointList),
    /// This machine's wall clock shows this, as Unix time. It may be stepped at any time.
    WallClock(Duration),
    /// Settings from now on; requests taken before keep the rules they came under.
    Settings(Box<Settings>),
    /// A command of an operator.
    OperatorCommand(OperatorCommand),
    /// Continue where another process left off.
    Restore {
        /// What that process left.
        snapshot: Box<CoreSnapshot>,
        /// This process's share of every budget, from 0 to 1.
        budget_share: f64,
    },
    /// This process's share of every budget, from 0 to 1; another one has the rest.
    BudgetShare(f64),
    /// The list that is followed says that nothing has changed.
    EndpointListCurrent,
    /// Whether changes of the list count as notified that can't have been received here.
    EndpointListStale(bool),
    /// What a peer reported in an exchange.
    PeerReports {
        /// The peer.
        from: Observer,
        /// The round trip of the exchange.
        round_trip: Duration,
        /// Its reports.
        reports: Vec<Report>,
    },
    /// Reports that were new among the peers, checked by whoever brings them.
    GossipMerged(Vec<Report>),
    /// The sums over all other initiators.
    PeerTotals(PeerTotals),
    /// The timer that [`Effect::SetTimer`](super::Effect::SetTimer) set has fired.
    TimerFired,
}
