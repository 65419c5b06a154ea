//! What a process's own attempts say of the health of one endpoint.

use crate::EndpointHealth;
use std::time::Duration;

/// This many failures in a row make an endpoint a failing one: a single one may be chance.
const FAILING_AFTER: u32 = 2;

/// How recent attempts at one endpoint ended.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    last_success: Option<Duration>,
    last_failure: Option<Duration>,
    consecutive_failures: u32,
}

/// What the attempts at an endpoint show, for other initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HealthVerdict {
    /// How the attempts go.
    pub health: EndpointHealth,
    /// When the attempt that shows it ended.
    pub observed_at: Duration,
}

impl AttemptHistory {
    /// An attempt succeeded.
    pub fn record_success(&mut self, now: Duration) {
        self.last_success = Some(now);
        self.consecutive_failures = 0;
    }

    /// An attempt failed in a way that speaks against the endpoint. Returns whether the endpoint counts as failing now.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.last_failure = Some(now);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_failing()
    }

    /// When the last attempt that succeeded ended.
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// When the last of several failures in a row happened; `None`: the endpoint does not count as failing.
    pub fn failing_at(&self) -> Option<Duration> {
        self.last_failure.filter(|_| self.is_failing())
    }

    /// What there is to report. That an endpoint is healthy is reported only after a failure: before, no other
    /// initiator holds it back.
    pub fn verdict(&self) -> Option<HealthVerdict> {
        let failed_at = self.last_failure?;
        if self.is_failing() {
            return Some(HealthVerdict { health: EndpointHealth::Failing, observed_at: failed_at });
        }
        let succeeded_at = self.last_success.filter(|at| *at > failed_at)?;
        Some(HealthVerdict { health: EndpointHealth::Healthy, observed_at: succeeded_at })
    }

    fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILING_AFTER
    }
}
