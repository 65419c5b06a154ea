//! Requests that this initiator has taken and not finished with, and their attempts.

use super::queueing::QueueKey;
use crate::interface::{EndpointId, Request};
use std::time::Duration;

/// One sending of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// When it was sent, or when the last byte of a streamed body went.
    pub(super) sent_at: Duration,
    /// Its outcome is still to come.
    pub(super) in_flight: bool,
}

/// Where a request stands.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// It is in flight, or waits for its turn among the requests of its key.
    #[default]
    Waiting,
    /// It may be sent.
    Queued,
    /// No answer is owed any more; attempts may still be in flight.
    Answered,
}

/// A request and what became of it so far.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: Duration,
    /// When its latency objective passes.
    pub(super) objective_at: Duration,
    /// When its client gives up.
    pub(super) deadline: Duration,
    pub(super) attempts: Vec<Attempt>,
    pub(super) phase: Phase,
    /// Its units have been taken from the volume's limit.
    pub(super) units_drawn: bool,
    /// An attempt has come to its endpoint, or its connection broke: nothing of it can come later.
    pub(super) reached_endpoint: bool,
    /// Its answer is being streamed: its deadline counts no more.
    pub(super) streaming: bool,
    /// The first ended attempt that may have run.
    pub(super) may_have_run: Option<Attempt>,
}

impl PendingRequest {
    pub(super) fn queue_key(&self) -> QueueKey {
        QueueKey { volume: self.request.volume, class: self.request.class }
    }

    pub(super) fn is_answered(&self) -> bool {
        self.phase == Phase::Answered
    }

    pub(super) fn is_queued(&self) -> bool {
        self.phase == Phase::Queued
    }

    /// An attempt's outcome is still to come.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// The first attempt that may have run or may still run.
    pub(super) fn first_possible_run(&self) -> Option<Attempt> {
        self.may_have_run.or(self.attempts.iter().find(|attempt| attempt.in_flight).copied())
    }
}
