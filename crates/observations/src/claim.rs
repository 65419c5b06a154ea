//! What an observation says, and what it is about.

use crate::Observer;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Whether an endpoint takes requests, from best to worst.
///
/// Sent by position: the order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum ReportedReadiness {
    /// Takes requests.
    #[default]
    Ready,
    /// Finishes what it has; nothing new may be sent.
    Draining,
    /// No longer listed.
    Removed,
}

/// How the attempts of one observer at an endpoint go.
///
/// Sent by position: the order of the variants is part of the wire format.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum EndpointHealth {
    /// They succeed again.
    Healthy,
    /// They fail.
    Failing,
}

/// What an observer says. Amounts are whole thousandths of a unit, so that claims have a total order.
///
/// Sent by position: the order of variants and fields is part of the wire format, and of the order by which a store
/// decides between two observations.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub enum Claim {
    /// The observer's endpoint list, or its operator, says so.
    Readiness {
        /// The endpoint's name.
        endpoint: String,
        /// Whether it takes requests.
        readiness: ReportedReadiness,
    },
    /// The observer's own attempts say so.
    Health {
        /// The endpoint's name.
        endpoint: String,
        /// How the attempts go.
        health: EndpointHealth,
    },
    /// The endpoint has just started. Reported only during its slow start.
    Started {
        /// The endpoint's name.
        endpoint: String,
        /// How long before the observation it started.
        uptime: Duration,
    },
    /// What the observer sent an endpoint in slow start within the overload window.
    SlowStartUnits {
        /// The endpoint's name.
        endpoint: String,
        /// Thousandths of a unit.
        milli_units: u64,
    },
    /// How much the observer's clients ask of a volume.
    Demand {
        /// The volume's number.
        volume: u64,
        /// Thousandths of a unit a second.
        milli_units_per_second: u64,
    },
}

/// What a claim is about. A store keeps one observation for each subject.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Subject {
    /// The readiness of an endpoint.
    Readiness(String),
    /// The health of an endpoint.
    Health(String),
    /// The start of an endpoint.
    Start(String),
    /// What one observer sent an endpoint in slow start.
    SlowStartUnits {
        /// The endpoint's name.
        endpoint: String,
        /// Who sent it.
        observer: Observer,
    },
    /// What one observer is asked for.
    Demand {
        /// The volume's number.
        volume: u64,
        /// Whose clients ask.
        observer: Observer,
    },
}

impl Claim {
    /// The endpoint that it is about; `None`: it is about a volume.
    pub fn endpoint(&self) -> Option<&str> {
        match self {
            Claim::Readiness { endpoint, .. }
            | Claim::Health { endpoint, .. }
            | Claim::Started { endpoint, .. }
            | Claim::SlowStartUnits { endpoint, .. } => Some(endpoint),
            Claim::Demand { .. } => None,
        }
    }

    /// What it is about, where `observer` claims it.
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

    /// Its place where not all can be sent: the smallest goes first. What protects a starting endpoint comes before
    /// what protects a request, and demand comes last, the greatest first.
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

    /// Whether it is one observer's part of a sum. Such a claim counts only from that observer: forwarded, it would be
    /// counted twice.
    pub fn is_contribution(&self) -> bool {
        matches!(self, Claim::SlowStartUnits { .. } | Claim::Demand { .. })
    }
}
