//! Requests, and the outcomes of their attempts.

use super::{EndpointId, LoadReport};
use std::time::Duration;

/// Identifies a request at its initiator; never reused.
pub type RequestId = u64;
/// Identifies a volume.
pub type VolumeId = u64;

/// A request of a client.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// The request's number.
    pub id: RequestId,
    /// The number of the request's class.
    pub class: u16,
    /// The volume.
    pub volume: VolumeId,
    /// The number of the volume's plan.
    pub plan: u16,
    /// The number of initiators through which the volume's requests arrive.
    pub initiators: f64,
    /// Identifies the data that is read or written; 0: none.
    pub key: u64,
    /// The shard that holds the data; `None`: a new object, which any endpoint can store.
    pub shard: Option<u16>,
    /// The request's size, in units.
    pub units: f64,
    /// How long the client still waits.
    pub time_remaining: Duration,
    /// Whether the client marked the request as a retry of its own.
    pub client_retry: bool,
    /// Whether no attempt may follow one that may have run, nor a rejection, whatever the request's class
    /// says: a late run of the first attempt could undo a newer write to the same place.
    pub at_most_once: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint served the request.
    Served,
    /// The endpoint answered with an error; the request may have run.
    Error,
    /// The endpoint rejected the request without processing it; the request did not run.
    Rejected,
    /// No answer came in time; the request may have run, or may still run.
    TimedOut,
    /// No connection was established; the request did not run.
    ConnectFailed,
    /// The connection was lost; the request may have run, or may still run.
    ConnectionLost,
    /// The attempt was cancelled; the request may have run, or may still run.
    Cancelled,
    /// The attempt was never sent; the request did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Returns whether the outcome proves that nothing of the attempt ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// The request of the attempt.
    pub request: RequestId,
    /// The number of the attempt, from 0.
    pub number: u8,
    /// The endpoint to which the attempt was sent.
    pub endpoint: EndpointId,
    /// The outcome.
    pub outcome: AttemptOutcome,
    /// The time since the attempt was sent.
    pub elapsed: Duration,
    /// Whether the request has its final answer, by this attempt or an earlier one.
    pub request_complete: bool,
    /// Units served to the volume through all initiators in a completed period, as a fraction of the plan's
    /// rate; `None`: not reported.
    pub volume_usage: Option<f64>,
    /// Units that the endpoint's shard served to the volume through other initiators since the shard's last
    /// answer here.
    pub units_elsewhere: f64,
    /// The load that the endpoint reported with the answer.
    pub load_report: LoadReport,
}
