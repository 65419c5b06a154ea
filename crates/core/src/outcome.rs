//! How an attempt ended, as its connection saw it, and what that proves to the scheduler.
//!
//! The upstream clients see many ends; the scheduler's decisions need only to know which of them prove that nothing ran.
//! [`TransportOutcome::attempt_outcome`] is the one place where the first becomes the second.

use crate::interface::AttemptOutcome;

/// How the exchange with an endpoint ended, as seen on its connection. Names appear in the log and in counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportOutcome {
    /// A complete response: the work is done.
    Complete,
    /// A complete response that says the work failed.
    EndpointError,
    /// Rejected, and the endpoint vouches that nothing ran.
    Rejected,
    /// A response that the protocol does not know; nothing proves what ran.
    ProtocolViolation,
    /// The connection was refused, or there was no route to the endpoint.
    Unreachable,
    /// The connection was not established within the settings' time.
    ConnectTimedOut,
    /// The handshake on a new connection failed before any request was written.
    HandshakeFailed,
    /// The connection was lost while the request was being written; its last byte may have been sent.
    LostWhileWriting,
    /// The connection was lost before the request's last byte was to be written.
    LostBeforeRequest,
    /// The connection was lost after the request and before a response.
    LostAwaitingResponse,
    /// The response began and did not come complete.
    TruncatedResponse,
    /// The response's end can't be told from a lost connection, or it is larger than a response may be.
    UnboundedResponse,
    /// What came can't be read as a response, or stopped on the way; the connection did not end.
    MalformedResponse,
    /// Nothing came in time, and the connection was closed.
    TimedOut,
    /// The scheduler cancelled it, and the connection was closed.
    Cancelled,
    /// It was never begun: the endpoint's address is not known any more.
    NoAddress,
    /// It was never written: its endpoint took no new work, or its client left, before a connection was there.
    Withdrawn,
    /// It was never begun: this machine had no socket, port or memory left for it, which says nothing of the endpoint.
    NoDescriptor,
}

impl TransportOutcome {
    /// The scheduler's outcome. One that proves that the attempt never ran
    /// ([`AttemptOutcome::never_ran`]) is given only where the end proves it: nothing of the request was complete at the
    /// endpoint, or the endpoint says so.
    pub fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            TransportOutcome::Complete => AttemptOutcome::Served,
            // A malformed response tells of an endpoint that lives: it is not taken for one that has just restarted.
            TransportOutcome::EndpointError
            | TransportOutcome::ProtocolViolation
            | TransportOutcome::UnboundedResponse
            | TransportOutcome::MalformedResponse => AttemptOutcome::Error,
            TransportOutcome::Rejected => AttemptOutcome::Rejected,
            TransportOutcome::Unreachable
            | TransportOutcome::ConnectTimedOut
            | TransportOutcome::HandshakeFailed
            | TransportOutcome::LostBeforeRequest => AttemptOutcome::ConnectFailed,
            TransportOutcome::LostWhileWriting
            | TransportOutcome::LostAwaitingResponse
            | TransportOutcome::TruncatedResponse => AttemptOutcome::ConnectionLost,
            TransportOutcome::TimedOut => AttemptOutcome::TimedOut,
            TransportOutcome::Cancelled => AttemptOutcome::Cancelled,
            TransportOutcome::NoAddress | TransportOutcome::Withdrawn | TransportOutcome::NoDescriptor => {
                AttemptOutcome::NotSent
            }
        }
    }
}
