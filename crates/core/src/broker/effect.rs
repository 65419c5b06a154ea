//! What the broker asks its host to do: attempts, final answers, one timer, log events and broadcasts to peers.

use super::input::AttemptId;
use crate::interface::RequestId;
use crate::operator_event::OperatorEvent;
use bytes::Bytes;
use shaletack_observations::Report;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// The final answer to a client.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// The endpoint's response.
    Served(Bytes),
    /// Not served, and a retry is harmless after that long.
    Rejected(Duration),
    /// Failed; whether it had an effect is unknown.
    Failed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt.
    StartAttempt {
        /// Which.
        attempt: AttemptId,
        /// The endpoint's address.
        to: SocketAddr,
        /// The broker gives it up after this long.
        timeout: Duration,
    },
    /// Give an attempt up: close its connection.
    AbortAttempt(AttemptId),
    /// Send the one final answer.
    Respond {
        /// To which request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Come back with [`Input::TimerFired`](super::Input::TimerFired) at that instant; it replaces any earlier timer.
    SetTimer(Instant),
    /// Something for the operators to know.
    Log(OperatorEvent),
    /// All that this process observes of endpoints now, for its peers; the receiver filters what is new.
    Broadcast(Vec<Report>),
}
