//! Every way in which an attempt's connection can end, and what that means to the scheduler.

use crate::interface::AttemptOutcome;

/// How the exchange with a disk box ended, as seen on its connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TransportOutcome {
    /// A whole answer: the work is done.
    Complete,
    /// A whole answer that says the work failed.
    EndpointError,
    /// Turned away, and the box vouches that nothing ran.
    Rejected,
    /// An answer that the protocol does not know; nothing vouches for what ran.
    ProtocolViolation,
    /// The connection was refused, or no way led to the box.
    Unreachable,
    /// The connection did not come up in the settings' time.
    ConnectTimedOut,
    /// The handshake on a new connection failed before any request was written.
    HandshakeFailed,
    /// The connection broke while the request was being written; the last byte may have gone.
    LostWhileWriting,
    /// The connection broke before the request's last byte was to be written.
    LostBeforeRequest,
    /// The connection broke after the request and before an answer.
    LostAwaitingResponse,
    /// The answer began and did not come whole.
    TruncatedResponse,
    /// The answer's end cannot be told from a break, or it is larger than an answer may be.
    UnboundedResponse,
    /// What came can't be read as an answer, or stopped on the way; the connection did not end.
    MalformedResponse,
    /// Nothing came in time, and the connection was closed.
    TimedOut,
    /// The scheduler called it off, and the connection was closed.
    Cancelled,
    /// It was never begun: the box's address is not known any more.
    NoAddress,
    /// It was never written: its box took no new work, or its client left, before a connection was there.
    Withdrawn,
    /// It was never begun: this machine had no socket, port or memory left for it, which says nothing of the box.
    NoDescriptor,
}

impl TransportOutcome {
    /// The scheduler's word for it. "It never ran" is said only of what proves it.
    pub fn attempt_outcome(self) -> AttemptOutcome {
        match self {
            TransportOutcome::Complete => AttemptOutcome::Served,
            // A spoilt answer tells of a box that lives: it is not taken for one that has just restarted.
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
