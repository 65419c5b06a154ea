//! Derives the health of one endpoint from the outcomes of this process's own attempts.

use crate::EndpointHealth;
use std::time::Duration;

/// The number of consecutive failures after which an endpoint counts as failing. A single failure may be
/// chance.
const FAILURE_THRESHOLD: u32 = 2;

/// The outcomes of recent attempts at one endpoint.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AttemptHistory {
    last_success: Option<Duration>,
    last_failure: Option<Duration>,
    consecutive_failures: u32,
}

/// The health of an endpoint as reported to other initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ObservedHealth {
    /// Whether attempts succeed or fail.
    pub health: EndpointHealth,
    /// When the attempt that established this health ended.
    pub observed_at: Duration,
}

impl AttemptHistory {
    /// Records a successful attempt.
    pub fn record_success(&mut self, now: Duration) {
        self.last_success = Some(now);
        self.consecutive_failures = 0;
    }

    /// Records an attempt that failed through a fault of the endpoint. Returns whether the endpoint now
    /// counts as failing.
    pub fn record_failure(&mut self, now: Duration) -> bool {
        self.last_failure = Some(now);
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.is_failing()
    }

    /// Returns when the last successful attempt ended.
    pub fn last_success(&self) -> Option<Duration> {
        self.last_success
    }

    /// Returns when the last of several consecutive failures occurred, or `None` if the endpoint does not
    /// count as failing.
    pub fn failing_at(&self) -> Option<Duration> {
        self.last_failure.filter(|_| self.is_failing())
    }

    /// Returns the health to report, or `None` if there is nothing to report. An endpoint is reported as
    /// healthy only after a failure: without one, no other initiator holds it back.
    pub fn observed_health(&self) -> Option<ObservedHealth> {
        let failed_at = self.last_failure?;
        if self.is_failing() {
            return Some(ObservedHealth { health: EndpointHealth::Failing, observed_at: failed_at });
        }
        let succeeded_at = self.last_success.filter(|at| *at > failed_at)?;
        Some(ObservedHealth { health: EndpointHealth::Healthy, observed_at: succeeded_at })
    }

    fn is_failing(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }
}
