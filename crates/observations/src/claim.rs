//! The content of an observation and its subject.

use crate::Observer;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether an endpoint accepts requests, from best to worst.
///
/// Encoded by position: the order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReportedReadiness {
    /// The endpoint accepts requests.
    #[default]
    Ready,
    /// The endpoint completes its requests in flight; no new ones may be sent.
    Draining,
    /// The endpoint is no longer listed.
    Removed,
}

/// The outcome of one observer's attempts at an endpoint.
///
/// Encoded by position: the order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointHealth {
    /// Attempts succeed again.
    Healthy,
    /// Attempts fail.
    Failing,
}

/// A fact that an observer states. Amounts are whole thousandths of a unit, so that claims have a total
/// order.
///
/// Encoded by position: the order of variants and fields is part of the wire format. The same order decides
/// which of two otherwise equal observations a store keeps.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Claim {
    /// The readiness of an endpoint according to the observer's endpoint list or its operator.
    Readiness {
        /// The name of the endpoint.
        endpoint: String,
        /// Whether the endpoint accepts requests.
        readiness: ReportedReadiness,
    },
    /// The health of an endpoint according to the observer's own attempts.
    Health {
        /// The name of the endpoint.
        endpoint: String,
        /// Whether attempts succeed or fail.
        health: EndpointHealth,
    },
    /// The endpoint has just started. Reported only during its slow start.
    Started {
        /// The name of the endpoint.
        endpoint: String,
        /// The time from the start of the endpoint to the observation.
        uptime: Duration,
    },
    /// The units that the observer sent to an endpoint in slow start within the overload window.
    SlowStartUnits {
        /// The name of the endpoint.
        endpoint: String,
        /// Amount in thousandths of a unit.
        milli_units: u64,
    },
    /// The demand of the observer's clients for a volume.
    Demand {
        /// The number of the volume.
        volume: u64,
        /// Demand in thousandths of a unit per second.
        milli_units_per_second: u64,
    },
}

/// What a claim is about. A store keeps one observation per subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The readiness of an endpoint.
    Readiness(String),
    /// The health of an endpoint.
    Health(String),
    /// The start of an endpoint.
    Start(String),
    /// The units that one observer sent to an endpoint in slow start.
    SlowStartUnits {
        /// The name of the endpoint.
        endpoint: String,
        /// The process that sent the units.
        observer: Observer,
    },
    /// The demand of one observer's clients for a volume.
    Demand {
        /// The number of the volume.
        volume: u64,
        /// The process whose clients have the demand.
        observer: Observer,
    },
}

impl Claim {
    /// Returns the endpoint that the claim is about, or `None` if it is about a volume.
    pub fn endpoint(&self) -> Option<&str> {
        match self {
            Claim::Readiness { endpoint, .. }
            | Claim::Health { endpoint, .. }
            | Claim::Started { endpoint, .. }
            | Claim::SlowStartUnits { endpoint, .. } => Some(endpoint),
            Claim::Demand { .. } => None,
        }
    }

    /// Returns the subject of the claim when stated by `observer`.
    pub fn subject(&self, observer: &Observer) -> Subject {
        match self {
            Claim::Readiness { endpoint, .. } => Subject::Readiness(endpoint.clone()),
            Claim::Health { endpoint, .. } => Subject::Health(endpoint.clone()),
            Claim::Started { endpoint, .. } => Subject::Start(endpoint.clone()),
            Claim::SlowStartUnits { endpoint, .. } => {
                Subject::SlowStartUnits { endpoint: endpoint.clone(), observer: observer.clone() }
            }
            Claim::Demand { volume, .. } => Subject::Demand { volume: *volume, observer: observer.clone() },
        }
    }

    /// Returns the sort key by which claims are sent when not all of them fit; the smallest is sent first.
    ///
    /// Claims that protect a starting endpoint precede those that protect requests. Demand is last, the
    /// greatest first.
    pub fn send_order(&self) -> u64 {
        match self {
            Claim::SlowStartUnits { .. } => 0,
            Claim::Started { .. } => 1,
            Claim::Readiness {
                readiness: ReportedReadiness::Draining | ReportedReadiness::Removed, ..
            } => 2,
            Claim::Health { health: EndpointHealth::Failing, .. } => 3,
            Claim::Readiness { .. } => 4,
            Claim::Health { .. } => 5,
            Claim::Demand { milli_units_per_second: rate, .. } => u64::MAX - rate.min(&(u64::MAX - 6)),
        }
    }

    /// Returns whether the claim is one observer's contribution to a sum. Such a claim is accepted only from
    /// its observer: if it were forwarded, it could be counted twice.
    pub fn is_contribution(&self) -> bool {
        matches!(self, Claim::SlowStartUnits { .. } | Claim::Demand { .. })
    }
}
