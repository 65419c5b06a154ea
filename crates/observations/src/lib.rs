//! Observations of endpoints and volumes that initiators share, and the advice that each derives from them.
//!
//! An initiator sees only its own endpoint list and its own attempts, and has neither right after a restart.
//! Other initiators know more: which endpoints drain, were removed, fail or have just started, and how much
//! demand each volume has. The crate stores such observations in an [`ObservationStore`], which keeps the
//! newest one for each [`Subject`].
//!
//! Another initiator may be outdated, partitioned, misconfigured or faulty. For this reason the [`Advice`]
//! derived from reports can only restrict: an endpoint receives no new requests, is held back or is put into
//! slow start, and the amounts that others report only reduce what this initiator sends. Advice never makes
//! an endpoint usable and never raises a limit.
//!
//! The crate reads no clock, opens no socket, draws no random number and sends nothing. Callers pass the
//! current time as a [`Duration`] on their own monotonic clock. Processes exchange ages instead of times, so
//! their clocks may differ.

mod advice;
mod attempts;
mod claim;
mod contributions;
mod observation;
mod report;
mod store;

pub use advice::{Advice, LocalView};
pub use attempts::{AttemptHistory, ObservedHealth};
pub use claim::{Claim, EndpointHealth, ReportedReadiness, Subject};
pub use contributions::{reported_demand, reported_slow_start_units, ReportedDemand};
pub use observation::{Observation, Observer};
pub use report::Report;
pub use store::{MergeResult, ObservationStore, RejectedReports};

use std::time::Duration;

/// The age after which an observation is dropped. Older reports are neither sent nor accepted.
pub const OBSERVATION_LIFETIME: Duration = Duration::from_secs(60);
/// How long an endpoint receives no new requests after it was observed to drain or to be removed.
pub const STOP_SENDING_DURATION: Duration = OBSERVATION_LIFETIME;
/// How long an endpoint is held back after an observed failure before it is tried again.
pub const FAILURE_HOLD_DURATION: Duration = Duration::from_secs(2);
/// The age after which a reported demand is stale and ignored.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(4);
/// The maximum number of times that a report is forwarded. Gossip reaches 570 initiators in about 7 hops.
pub const MAX_HOPS: u8 = 32;
/// The maximum hop count of a report in an exchange over TCP; greater counts are sent as this one. The
/// previous release rejects a greater count, and does not forward a report that has this one.
pub const MAX_EXCHANGE_HOPS: u8 = 3;
/// The maximum number of observations in a store; see [`ObservationStore::expire`].
pub const MAX_OBSERVATIONS: usize = 8192;
/// The maximum length of the name of an endpoint or an observer, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
