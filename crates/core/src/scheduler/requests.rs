//! Requests that this initiator has accepted and not finished yet, and their attempts.

use super::queueing::QueueKey;
use crate::interface::{EndpointId, Request};
use std::time::Duration;

/// One attempt of a request.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) endpoint: EndpointId,
    /// When the attempt was sent, or when the last byte of its streamed body was.
    pub(super) sent_at: Duration,
    /// The outcome is not known yet.
    pub(super) in_flight: bool,
}

/// The state of a request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub(super) enum Phase {
    /// The request is neither queued nor answered: it is in flight, or waits for earlier requests of its key.
    #[default]
    NotQueued,
    /// The request may be sent.
    Queued,
    /// No answer is owed any more; attempts may still be in flight.
    Answered,
}

/// A request and its progress so far.
#[derive(Clone, Debug, Default)]
pub(super) struct PendingRequest {
    pub(super) request: Request,
    pub(super) arrived_at: Duration,
    /// When the latency objective passes.
    pub(super) objective_at: Duration,
    /// When the client gives up.
    pub(super) deadline: Duration,
    pub(super) attempts: Vec<Attempt>,
    pub(super) phase: Phase,
    /// The units have been drawn from the volume's limit.
    pub(super) units_drawn: bool,
    /// An attempt reached its endpoint, or ended with a broken connection, so that nothing of it can arrive
    /// later.
    pub(super) reached_endpoint: bool,
    /// The response is being streamed, and the deadline no longer applies.
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

    /// Returns whether the outcome of an attempt is not known yet.
    pub(super) fn is_in_flight(&self) -> bool {
        self.attempts.iter().any(|attempt| attempt.in_flight)
    }

    /// Returns the first attempt that may have run or may still run.
    pub(super) fn first_possible_run(&self) -> Option<Attempt> {
        self.may_have_run.or(self.attempts.iter().find(|attempt| attempt.in_flight).copied())
    }
}
