//! Actions: what the scheduler asks its initiator to do.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// One thing to do. Actions are carried out in the order given.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Start an attempt; it ends when the client gives up at the latest.
    Send {
        /// Whose attempt.
        request: RequestId,
        /// Where it goes.
        endpoint: EndpointId,
        /// When it times out; 0: when the client gives up.
        timeout: Duration,
    },
    /// Final answer: rejected, the client may safely come again.
    Reject {
        /// Which request.
        request: RequestId,
        /// How long its client should stay away; 0: no advice.
        retry_after: Duration,
    },
    /// Final answer: failed, and it may have taken effect or not.
    Fail {
        /// Which request.
        request: RequestId,
    },
    /// Stop waiting for an attempt.
    Cancel {
        /// Whose attempt.
        request: RequestId,
        /// Which of its attempts, from 0.
        number: u8,
    },
    /// Bring [`Event::Timer`](super::Event::Timer) at this time or after it.
    SetTimer(Duration),
    /// Send an endpoint a health check.
    HealthCheck(EndpointId),
    /// Close idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Send a message to other initiators.
    SendPeerMessage {
        /// The rank of the one it is for; `None`: all.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Write a line to the log.
    Log(String),
    /// Subscribe to changes of the endpoint list, or end the subscription.
    WatchEndpointList(bool),
    /// Ask for the complete endpoint list once.
    FetchEndpointList,
}
