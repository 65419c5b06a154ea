//! The events that the scheduler receives.

use super::{
    EndedAttempt, EndpointId, EndpointListKind, EndpointUpdate, LoadReport, Request, RequestId, Settings,
    VolumeId,
};
use std::time::Duration;

/// What other initiators report, as far as it affects what is sent. Replaces all earlier reports.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerGossip {
    /// Endpoints to which attempts fail, and until when each is held back.
    pub held_back_until: Vec<(EndpointId, Duration)>,
    /// Units that other initiators sent to each endpoint in slow start within the overload window.
    pub units_sent: Vec<(EndpointId, f64)>,
    /// Units per second that clients request from other initiators, by volume, and when that was observed.
    pub demand: Vec<(VolumeId, f64, Duration)>,
}

/// One event. The events of a batch are in the order in which they occurred.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list or a change of the list was received.
    EndpointList {
        /// What the message holds.
        kind: EndpointListKind,
        /// Its entries.
        updates: Vec<EndpointUpdate>,
    },
    /// A request arrived.
    Request(Request),
    /// The response to a request of a streamed class has begun; the deadline of the request no longer
    /// applies.
    ResponseStreaming(RequestId),
    /// The first bytes of the response to the last attempt of a request have arrived.
    ResponseStarted(RequestId),
    /// The body of a request is being sent as its client sends it, or its last byte has been sent.
    RequestBody {
        /// The request.
        request: RequestId,
        /// Whether the body is still being sent.
        streaming: bool,
    },
    /// How long the client of a request whose body is streamed still waits. Follows
    /// [`Event::RequestBody`].
    ClientTime {
        /// The request.
        request: RequestId,
        /// The time, or `None` while the client is still sending and sets the pace.
        remaining: Option<Duration>,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// New settings are in force. The numbers of existing classes and plans keep their meaning; there may be
    /// more of them.
    Settings(Box<Settings>),
    /// This process's share of every budget, from 0 to 1; another process of the same initiator has the rest.
    BudgetShare(f64),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer,
    /// Reports of other initiators.
    Gossip(PeerGossip),
    /// A health check ended.
    HealthChecked {
        /// The endpoint.
        endpoint: EndpointId,
        /// Whether the endpoint answered.
        ok: bool,
        /// The load that the endpoint reported.
        load: LoadReport,
    },
    /// A message of another initiator arrived.
    PeerMessage {
        /// The sender's rank.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}
