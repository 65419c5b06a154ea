//! What the observations of other initiators mean for one endpoint, weighed against what this process knows itself.
//!
//! Each part of the advice only restricts: a wrong report can keep an endpoint from being used for a bounded time, but
//! cannot make it receive more than without it.

use crate::{
    Claim, EndpointHealth, Observation, ObservationStore, ReportedReadiness, Subject, FAILURE_HOLD_DURATION,
    STOP_DURATION,
};
use std::time::Duration;

/// What this process knows of an endpoint by itself.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LocalView {
    /// The run of the endpoint that the own endpoint list names.
    pub endpoint_incarnation: u64,
    /// When the own list was last confirmed by its source; `None`: never, it is cached and may be of any age.
    pub list_confirmed_at: Option<Duration>,
    /// When this process first knew of that run.
    pub incarnation_known_since: Duration,
    /// When an attempt last succeeded.
    pub last_success: Option<Duration>,
    /// When attempts last failed, where several failed in a row.
    pub failing_at: Option<Duration>,
    /// Whether another endpoint can serve what this one does.
    pub has_alternative: bool,
}

/// What to do about an endpoint. The default restricts nothing.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Advice {
    /// Until then it is treated as draining: nothing new is sent to it.
    pub stop_until: Option<Duration>,
    /// Until then it is held back, since attempts at it fail.
    pub hold_until: Option<Duration>,
    /// It started then: it is in slow start, if the own list does not say so.
    pub started_at: Option<Duration>,
}

impl Advice {
    /// Weighs the observations of an endpoint against the own view of it.
    pub fn from_observations(
        store: &ObservationStore,
        endpoint: &str,
        local: &LocalView,
        now: Duration,
    ) -> Advice {
        // What was observed of an earlier run says nothing of the process that runs now.
        let of_this_run = |subject: Subject| {
            store.get(&subject).filter(|o| o.endpoint_incarnation >= local.endpoint_incarnation)
        };
        let readiness = of_this_run(Subject::Readiness(endpoint.to_owned()));
        let health = of_this_run(Subject::Health(endpoint.to_owned()));
        let start = of_this_run(Subject::Start(endpoint.to_owned()));
        let is_ahead = |until: &Duration| *until > now;
        Advice {
            stop_until: stop_until(readiness, local).filter(is_ahead),
            hold_until: hold_until(health, local).filter(is_ahead),
            started_at: started_at(start, local),
        }
    }

    /// When the advice changes by the passing of time alone.
    pub fn next_change(&self) -> Option<Duration> {
        self.stop_until.into_iter().chain(self.hold_until).min()
    }
}

/// A drain or a removal stops sending, unless the own list was confirmed since: then that one counts.
fn stop_until(readiness: Option<&Observation>, local: &LocalView) -> Option<Duration> {
    let readiness = readiness.filter(|observation| takes_no_requests(&observation.claim))?;
    let observed_at = readiness.observed_at;
    let is_newer_than_list = local.list_confirmed_at.is_none_or(|confirmed_at| observed_at > confirmed_at);
    is_newer_than_list.then(|| observed_at + STOP_DURATION)
}

fn takes_no_requests(claim: &Claim) -> bool {
    matches!(
        claim,
        Claim::Readiness { readiness: ReportedReadiness::Draining | ReportedReadiness::Removed, .. }
    )
}

/// A failure, reported or own, holds an endpoint back; a later success here voids a report. Where no other endpoint
/// serves the same, an attempt that may fail is better than a rejection.
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

/// The reported start of the endpoint. A run that this process knows cannot have started after it became known.
fn started_at(start: Option<&Observation>, local: &LocalView) -> Option<Duration> {
    let start = start?;
    let started_at = start.endpoint_started_at()?;
    match start.endpoint_incarnation == local.endpoint_incarnation {
        true => Some(started_at.min(local.incarnation_known_since)),
        false => Some(started_at),
    }
}
