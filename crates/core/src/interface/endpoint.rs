//! Endpoints as the endpoint list and their own load reports describe them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The number of an endpoint; it stays the same when the endpoint's process restarts.
pub type EndpointId = u32;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Readiness {
    /// Takes work.
    #[default]
    Ready,
    /// Finishes the work it has; nothing new may be sent.
    Draining,
    /// The endpoint list has it no more.
    #[serde(rename = "Gone")]
    Removed,
}

/// One line of the endpoint list.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// Which endpoint.
    pub endpoint: EndpointId,
    /// Its zone.
    pub zone: u16,
    /// The shard it holds.
    pub shard: u16,
    /// Whether it takes work.
    pub readiness: Readiness,
    /// When it last started; 0: long ago.
    pub started_at: Duration,
    /// A number for that start that is the same at every initiator; 0: `started_at` in nanoseconds.
    pub start_id: u64,
}

/// What a message about the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the lines that changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this initiator last saw it, perhaps long ago.
    Cached,
    /// No lines: a call failed or the subscription broke. The old list stands.
    Failed,
}

/// An endpoint's own figures, as it last measured them; `None`: not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time without waiting, in milliseconds.
    pub service_ms: Option<f64>,
    /// Requests that wait there.
    pub queued: Option<f64>,
    /// Part of its cores in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests that it works on.
    pub in_flight: Option<f64>,
}
