//! Derives advice on one endpoint from the observations of other initiators and from what this process knows
//! itself.
//!
//! Every part of the advice only restricts. A wrong report can keep an endpoint from being used for a bounded
//! time, but can never cause the endpoint to receive more requests than it would without the report.

use crate::{
    Claim, EndpointHealth, Observation, ObservationStore, ReportedReadiness, Subject, FAILURE_HOLD_DURATION,
    STOP_SENDING_DURATION,
};
use std::time::Duration;

/// What this process knows of an endpoint without other initiators.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalView {
    /// The run of the endpoint in this process's endpoint list; see [`Observation::endpoint_incarnation`].
    pub endpoint_incarnation: u64,
    /// When the source of the endpoint list last confirmed it. `None` if it never did: the list is cached and
    /// may be of any age.
    pub list_confirmed_at: Option<Duration>,
    /// When this process first learned of that run.
    pub incarnation_known_since: Duration,
    /// When the last successful attempt ended.
    pub last_success: Option<Duration>,
    /// When the last attempt failed, if several failed in a row.
    pub failing_at: Option<Duration>,
    /// Whether another endpoint can serve the same requests.
    pub has_alternative: bool,
}

/// Restrictions on the use of an endpoint. The default restricts nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Until this time the endpoint is treated as draining: no new requests are sent to it.
    pub stop_until: Option<Duration>,
    /// Until this time the endpoint is held back, because attempts at it fail.
    pub hold_until: Option<Duration>,
    /// When the endpoint started. It is in slow start even if this process's endpoint list does not say so.
    pub started_at: Option<Duration>,
}

impl Advice {
    /// Derives the advice on an endpoint from the observations in a store and the local view of the endpoint.
    pub fn from_observations(
        store: &ObservationStore,
        endpoint: &str,
        local: &LocalView,
        now: Duration,
    ) -> Advice {
        // Observations of an earlier run do not apply to the current one.
        let of_this_run = |subject: Subject| {
            store.get(&subject).filter(|o| o.endpoint_incarnation >= local.endpoint_incarnation)
        };
        let readiness = of_this_run(Subject::Readiness(endpoint.to_owned()));
        let health = of_this_run(Subject::Health(endpoint.to_owned()));
        let start = of_this_run(Subject::Start(endpoint.to_owned()));
        let is_in_future = |until: &Duration| *until > now;
        Advice {
            stop_until: stop_until(readiness, local).filter(is_in_future),
            hold_until: hold_until(health, local).filter(is_in_future),
            started_at: started_at(start, local),
        }
    }

    /// Returns the next time at which the advice changes without any further input.
    pub fn next_change(&self) -> Option<Duration> {
        self.stop_until.into_iter().chain(self.hold_until).min()
    }
}

/// Stops sending after a drain or a removal, unless the local endpoint list was confirmed at or after the
/// observation. In that case the local list takes precedence.
fn stop_until(readiness: Option<&Observation>, local: &LocalView) -> Option<Duration> {
    let readiness = readiness.filter(|observation| rejects_new_requests(&observation.claim))?;
    let observed_at = readiness.observed_at;
    let is_newer_than_list = local.list_confirmed_at.is_none_or(|confirmed_at| observed_at > confirmed_at);
    is_newer_than_list.then(|| observed_at + STOP_SENDING_DURATION)
}

fn rejects_new_requests(claim: &Claim) -> bool {
    matches!(
        claim,
        Claim::Readiness { readiness: ReportedReadiness::Draining | ReportedReadiness::Removed, .. }
    )
}

/// Holds an endpoint back after a reported or a local failure. A later local success overrides a reported
/// failure. An endpoint without an alternative is never held back: an attempt that may fail is better than a
/// rejection.
fn hold_until(health: Option<&Observation>, local: &LocalView) -> Option<Duration> {
    if !local.has_alternative {
        return None;
    }
    let is_failing =
        |o: &&Observation| matches!(o.claim, Claim::Health { health: EndpointHealth::Failing, .. });
    let has_succeeded_since = |failed_at: Duration| local.last_success.is_some_and(|at| at >= failed_at);
    let reported = health
        .filter(is_failing)
        .map(|observation| observation.observed_at)
        .filter(|failed_at| !has_succeeded_since(*failed_at));
    let failed_at = reported.max(local.failing_at)?;
    Some(failed_at + FAILURE_HOLD_DURATION)
}

/// Returns the reported start of the endpoint. A run that this process already knows cannot have started
/// after the time at which this process learned of it.
fn started_at(start: Option<&Observation>, local: &LocalView) -> Option<Duration> {
    let start = start?;
    let started_at = start.endpoint_started_at()?;
    match start.endpoint_incarnation == local.endpoint_incarnation {
        true => Some(started_at.min(local.incarnation_known_since)),
        false => Some(started_at),
    }
}
