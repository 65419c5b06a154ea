//! What initiators observe of endpoints and volumes, and what one of them makes of the others' reports.
//!
//! An initiator sees only its own endpoint list and its own attempts, and after a restart it sees neither. Others know
//! more: which endpoints drain, are gone, fail or have just started, and how much is asked of each volume. This crate
//! holds such observations ([`ObservationStore`]), one for each [`Subject`], and keeps the newest of them.
//!
//! Another initiator may be old, cut off, misconfigured or wrong. So [`Advice`] drawn from reports can only restrict:
//! it stops sending, holds back, puts into slow start and counts off. It never makes an endpoint usable and never raises a
//! limit.
//!
//! The crate reads no clock, opens no socket, draws no random number and sends nothing. Callers pass the current time
//! as a [`Duration`] on their own monotonic clock; between processes only ages travel, so clocks may differ.

mod advice;
mod attempts;
mod claim;
mod contributions;
mod observation;
mod report;
mod store;

pub use advice::{Advice, LocalView};
pub use attempts::{AttemptHistory, HealthVerdict};
pub use claim::{Claim, EndpointHealth, ReportedReadiness, Subject};
pub use contributions::{reported_demand, reported_slow_start_units, ReportedDemand};
pub use observation::{Observation, Observer};
pub use report::Report;
pub use store::{MergeResult, ObservationStore, RejectedReports};

use std::time::Duration;

/// An observation that is older than this is dropped, and no report of it is sent or accepted.
pub const OBSERVATION_LIFETIME: Duration = Duration::from_secs(60);
/// How long nothing is sent to an endpoint after an observation that it drains or was removed.
pub const STOP_DURATION: Duration = OBSERVATION_LIFETIME;
/// How long an endpoint is held back after an observed failure; then it is tried again.
pub const FAILURE_HOLD_DURATION: Duration = Duration::from_secs(2);
/// A reported demand that is older than this says nothing of the present one.
pub const DEMAND_LIFETIME: Duration = Duration::from_secs(4);
/// A report that was forwarded this often is not forwarded again. Gossip needs some 7 hops to reach 570 initiators.
pub const MAX_HOPS: u8 = 32;
/// The most hops that a report in an exchange over TCP states: the release before accepts no more, and forwards no
/// report that states this many.
pub const MAX_EXCHANGE_HOPS: u8 = 3;
/// The most observations that a store keeps; see [`ObservationStore::expire`].
pub const MAX_OBSERVATIONS: usize = 8192;
/// The longest name of an endpoint or an observer, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
