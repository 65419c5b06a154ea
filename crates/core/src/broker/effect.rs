//! The effects that the broker requests from its host: attempts, final answers, one timer, log events and
//! broadcasts to peers.

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
    /// Served, with the endpoint's response.
    Served(Bytes),
    /// Not served. A retry by the client is harmless.
    Rejected(Rejection),
    /// Failed; whether the request took effect is unknown.
    Failed,
}

/// What a client may conclude from the rejection of its request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// How long the client should wait before it retries.
    pub retry_after: Duration,
    /// Whether an attempt may have run or may still run. If so, the rejection rests on the effect of the
    /// request's class alone, and does not promise that nothing changes.
    pub may_have_run: bool,
}

/// One effect that the host carries out.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Starts an attempt.
    StartAttempt {
        /// The attempt.
        attempt: AttemptId,
        /// The endpoint's address.
        to: SocketAddr,
        /// The time after which the broker aborts the attempt.
        timeout: Duration,
    },
    /// Aborts an attempt: its connection is closed.
    AbortAttempt(AttemptId),
    /// Sends the final answer of a request; each request has only one.
    Respond {
        /// The request.
        request: RequestId,
        /// The answer.
        answer: Answer,
    },
    /// Schedules [`Input::TimerFired`](super::Input::TimerFired) for this instant, in place of any earlier
    /// timer.
    SetTimer(Instant),
    /// Logs an event for operators.
    Log(OperatorEvent),
    /// Sends peers all that this process currently observes of endpoints; the receiver filters out what it
    /// already knows.
    Broadcast(Vec<Report>),
}
