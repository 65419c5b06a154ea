//! How an attempt ended on its connection, and what that proves about whether it ran.
//!
//! Upstream clients distinguish many ways in which an exchange ends. The scheduler only needs to know which
//! of them prove that nothing ran. [`TransportOutcome::attempt_outcome`] is the only place that maps one to
//! the other.

use crate::interface::AttemptOutcome;

/// How the exchange with an endpoint ended, as seen on its connection. The variants' names appear in the log
/// and in counters.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportOutcome {
    /// A complete response: the request was served.
    Complete,
    /// A complete response that reports a failure.
    EndpointError,
    /// The endpoint rejected the request and guarantees that nothing ran.
    Rejected,
    /// A response that the protocol does not define; whether the request ran is unknown.
    ProtocolViolation,
    /// The connection was refused, or there was no route to the endpoint.
    Unreachable,
    /// The connection was not established within the connect timeout of the settings.
    ConnectTimedOut,
    /// The handshake on a new connection failed before any request was written.
    HandshakeFailed,
    /// The connection was lost while the request was being written; its last byte may have been sent.
    LostWhileWriting,
    /// The connection was lost before the last byte of the request was due to be written.
    LostBeforeRequest,
    /// The connection was lost after the request was written and before a response began.
    LostAwaitingResponse,
    /// The response began and ended incomplete.
    TruncatedResponse,
    /// The end of the response cannot be told from a lost connection, or the response exceeds the size limit.
    UnboundedResponse,
    /// The received bytes are not a valid response, or stopped part-way; the connection did not end.
    MalformedResponse,
    /// The response is equal to the one before it on its connection and may be a second copy of that, so
    /// whether it belongs to the request is unknown; the connection was closed.
    RepeatedResponse,
    /// No response came in time, and the connection was closed.
    TimedOut,
    /// The scheduler cancelled the attempt, and the connection was closed.
    Cancelled,
    /// The attempt was never started: the endpoint's address is no longer known.
    NoAddress,
    /// The attempt was never written: before a connection was available, the endpoint stopped taking new work
    /// or the client left.
    Withdrawn,
    /// The attempt was never started: this host had no socket, port or memory left, which says nothing about
    /// the endpoint.
    NoDescriptor,
}

impl TransportOutcome {
    /// Maps the outcome to the scheduler's terms.
    ///
    /// An outcome that proves that the attempt never ran ([`AttemptOutcome::never_ran`]) is returned only
    /// where the end of the exchange is a proof: the endpoint had not received the complete request, or the
    /// endpoint states that nothing ran.
    pub fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            TransportOutcome::Complete => AttemptOutcome::Served,
            // A malformed response comes from a running process: the endpoint is not presumed to have
            // restarted.
            TransportOutcome::EndpointError
            | TransportOutcome::ProtocolViolation
            | TransportOutcome::UnboundedResponse
            | TransportOutcome::MalformedResponse
            | TransportOutcome::RepeatedResponse => AttemptOutcome::Error,
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
