//! Endpoints as the endpoint list and their own load reports describe them.

use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Identifies an endpoint. The number stays the same when the endpoint's process restarts.
pub type EndpointId = u32;

/// Whether an endpoint takes work.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Default, Serialize, Deserialize)]
pub enum Readiness {
    /// The endpoint takes work.
    #[default]
    Ready,
    /// The endpoint finishes the work it has; nothing new may be sent to it.
    Draining,
    /// The endpoint is no longer listed.
    #[serde(rename = "Gone")]
    Removed,
}

/// One entry of the endpoint list, in the scheduler's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct EndpointUpdate {
    /// The endpoint.
    pub endpoint: EndpointId,
    /// The endpoint's zone.
    pub zone: u16,
    /// The shard that the endpoint holds.
    pub shard: u16,
    /// Whether the endpoint takes work.
    pub readiness: Readiness,
    /// When the endpoint last started; 0: long ago.
    pub started_at: Duration,
    /// A number that identifies this start at every initiator; 0: `started_at` in nanoseconds identifies it.
    pub start_id: u64,
}

/// What a message about the endpoint list holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointListKind {
    /// Only the entries that changed.
    Delta,
    /// The complete list.
    Full,
    /// The complete list as this initiator last received it, perhaps long ago.
    Cached,
    /// No entries: a call failed or the subscription broke. The previous list stays in force.
    Failed,
}

/// The load that an endpoint last measured and reported; `None`: not reported.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct LoadReport {
    /// Recent service time without queueing, in milliseconds.
    pub service_ms: Option<f64>,
    /// Requests queued at the endpoint.
    pub queued: Option<f64>,
    /// Fraction of the endpoint's cores in use, from 0 to 1.
    pub utilization: Option<f64>,
    /// Requests being served.
    pub in_flight: Option<f64>,
}
