//! Events: what the scheduler is told.

use super::{
    EndedAttempt, EndpointId, EndpointListKind, EndpointUpdate, LoadReport, Request, RequestId, Settings,
    VolumeId,
};
use std::time::Duration;

/// What other initiators say, as far as it bears on what is sent; it replaces what they said before.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PeerGossip {
    /// Endpoints that fail elsewhere, and until when they are held back.
    pub held_back_until: Vec<(EndpointId, Duration)>,
    /// Units that others sent an endpoint in slow start within the overload window.
    pub units_sent: Vec<(EndpointId, f64)>,
    /// Units a second that others are asked for, by volume, and when that was observed.
    pub demand: Vec<(VolumeId, f64, Duration)>,
}

/// What happened. Events of one batch stand in the order in which they came.
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// The endpoint list or a change of it.
    EndpointList {
        /// What it holds.
        kind: EndpointListKind,
        /// Its lines.
        lines: Vec<EndpointUpdate>,
    },
    /// A request came in.
    Request(Request),
    /// The answer to a request of a streamed class has begun; its deadline no longer counts.
    ResponseStreaming(RequestId),
    /// The first bytes of the answer to a request's last attempt have come.
    ResponseStarted(RequestId),
    /// The body of a request goes out as its client sends it, or its last byte has gone.
    RequestBody {
        /// Whose body.
        request: RequestId,
        /// It is on its way.
        moves: bool,
    },
    /// An attempt ended.
    AttemptEnded(EndedAttempt),
    /// The settings from now on. Numbers of classes and plans mean what they meant, and there may be more.
    Settings(Box<Settings>),
    /// This process's part of every budget, from 0 to 1; another process of the same initiator has the rest.
    BudgetShare(f64),
    /// The client left; no answer is owed any more.
    ClientLeft(RequestId),
    /// A timer is due.
    Timer,
    /// What other initiators say.
    Gossip(PeerGossip),
    /// A health check came back.
    HealthChecked {
        /// Which endpoint.
        endpoint: EndpointId,
        /// It answered.
        ok: bool,
        /// Its figures.
        load: LoadReport,
    },
    /// Another initiator's message.
    PeerMessage {
        /// Its rank.
        from: u16,
        /// The message.
        bytes: Vec<u8>,
    },
}
