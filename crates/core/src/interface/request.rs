//! Requests, and how their attempts end.

use super::{EndpointId, LoadReport};
use std::time::Duration;

/// The number an initiator gives a request; never used twice.
pub type RequestId = u64;
/// The number of a volume.
pub type VolumeId = u64;

/// A request that has come in.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Request {
    /// Its number.
    pub id: RequestId,
    /// Its class, by number.
    pub class: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by number.
    pub plan: u16,
    /// How many initiators the volume's requests come through.
    pub initiators: f64,
    /// The piece of data that is read or written; 0: none.
    pub key: u64,
    /// The shard that holds the data; `None`: a new object, which any endpoint can take.
    pub shard: Option<u16>,
    /// Its size, in units.
    pub units: f64,
    /// How long until the client gives up.
    pub time_remaining: Duration,
    /// The client marked it as a repeat of its own.
    pub client_retry: bool,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// Served.
    Served,
    /// The endpoint answered with an error; it may have run.
    Error,
    /// Rejected unseen; it did not run.
    Rejected,
    /// No answer in time; it may have run or still run.
    TimedOut,
    /// No connection; it did not run.
    ConnectFailed,
    /// The connection broke; it may have run or still run.
    ConnectionLost,
    /// Cancelled; it may have run or still run.
    Cancelled,
    /// Never sent; it did not run.
    NotSent,
}

impl AttemptOutcome {
    /// Proof that nothing of the attempt ran.
    pub fn never_ran(self) -> bool {
        matches!(self, AttemptOutcome::Rejected | AttemptOutcome::ConnectFailed | AttemptOutcome::NotSent)
    }
}

/// The end of one attempt.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Whose attempt.
    pub request: RequestId,
    /// Which of its attempts, from 0.
    pub number: u8,
    /// Where it went.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: AttemptOutcome,
    /// How long since it was sent.
    pub elapsed: Duration,
    /// No answer is owed for the request any more, by this attempt or one before it.
    pub request_complete: bool,
    /// Units served for the volume everywhere in a finished period, in parts of the plan's rate; `None`: not told.
    pub volume_usage: Option<f64>,
    /// Units that this endpoint's shard served the volume through other initiators since its last answer here.
    pub units_elsewhere: f64,
    /// The endpoint's figures, where some came along.
    pub load_report: LoadReport,
}
