//! The actions that the scheduler requests from its initiator.

use super::{EndpointId, RequestId};
use std::time::Duration;

/// One action. Actions are carried out in the order in which they are returned.
#[derive(Clone, Debug, PartialEq)]
pub enum Action {
    /// Starts an attempt. The attempt ends at the latest when the client stops waiting.
    Send {
        /// The request to send.
        request: RequestId,
        /// The endpoint to send it to.
        endpoint: EndpointId,
        /// How long after its start the attempt times out; 0: only when the client stops waiting.
        timeout: Duration,
    },
    /// Gives a request its final answer: rejected. The client may safely retry.
    Reject {
        /// The request.
        request: RequestId,
        /// How long the client should wait before it retries; 0: no advice.
        retry_after: Duration,
    },
    /// Gives a request its final answer: failed. The request may have taken effect or not.
    Fail {
        /// The request.
        request: RequestId,
    },
    /// Cancels an attempt: its result is no longer awaited.
    Cancel {
        /// The request of the attempt.
        request: RequestId,
        /// The number of the attempt, from 0.
        number: u8,
    },
    /// Schedules [`Event::Timer`](super::Event::Timer) for this time or later.
    SetTimer(Duration),
    /// Sends a health check to an endpoint.
    HealthCheck(EndpointId),
    /// Closes the idle connections to an endpoint.
    CloseIdle(EndpointId),
    /// Sends a message to one initiator or to all others.
    SendPeerMessage {
        /// The rank of the receiver; `None`: all other initiators.
        to: Option<u16>,
        /// The message.
        bytes: Vec<u8>,
    },
    /// Writes a line to the log.
    Log(String),
    /// Subscribes to changes of the endpoint list, or ends the subscription.
    WatchEndpointList(bool),
    /// Requests the complete endpoint list once.
    FetchEndpointList,
}
