//! The state of one endpoint: its entry in the list, its start, and its suspension by operators.

use crate::endpoint_list::EndpointRecord;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// The minimum time between two starts of one endpoint.
const MIN_START_INTERVAL: Duration = Duration::from_nanos(1);

/// An endpoint that was listed at least once. Times are by the core's clock.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub(super) struct EndpointState {
    #[serde(rename = "member")]
    pub(super) record: EndpointRecord,
    /// When the endpoint last started, as listed; `None`: long ago.
    #[serde(rename = "started", default)]
    listed_start: Option<Duration>,
    /// The earliest time at which the listed start can have happened.
    #[serde(rename = "earliest", default)]
    earliest_start: Duration,
    pub(super) suspended: bool,
    /// When operators last suspended the endpoint.
    #[serde(rename = "out")]
    suspended_at: Duration,
    /// When operators last resumed the endpoint.
    #[serde(rename = "back")]
    resumed_at: Duration,
}

impl EndpointState {
    pub(super) fn new(record: EndpointRecord) -> Self {
        EndpointState {
            record,
            listed_start: None,
            earliest_start: Duration::ZERO,
            suspended: false,
            suspended_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
        }
    }

    /// Replaces the endpoint's entry in the list.
    ///
    /// `listed_start` is the listed start by the core's clock, which did not happen before `earliest_start`.
    /// A start is converted only once, when it is first listed. Any different start counts as newer, even if
    /// its Unix time is earlier: the clock on which it was read may have been set back.
    pub(super) fn update(
        &mut self,
        record: &EndpointRecord,
        listed_start: Option<Duration>,
        earliest_start: Duration,
    ) {
        if self.listed_start.is_none() || self.record.up_since != record.up_since {
            let before = self.listed_start.unwrap_or_default();
            self.listed_start = listed_start.map(|start| start.max(before + MIN_START_INTERVAL));
            self.earliest_start = earliest_start;
        }
        self.record = record.clone();
    }

    /// Derives the listed start after a hand-over from a version that did not store it; that version's clock
    /// showed Unix time.
    pub(super) fn restore_start(&mut self, now: Duration) {
        if self.listed_start.is_none() {
            self.listed_start = self.record.up_since.map(|listed| listed.min(now));
            self.earliest_start = self.listed_start.unwrap_or_default();
        }
    }

    /// Suspends or resumes the endpoint. Returns whether that changed anything.
    pub(super) fn set_suspended(&mut self, suspended: bool, now: Duration) -> bool {
        let changed = self.suspended != suspended;
        if changed {
            self.suspended = suspended;
            let changed_at = if suspended { &mut self.suspended_at } else { &mut self.resumed_at };
            *changed_at = now;
        }
        changed
    }

    /// Returns when the endpoint last started; zero: long ago.
    ///
    /// Operators restart an endpoint while it is suspended, and the list may report that start much later.
    /// Until the list reports a start that surely came after the suspension, the endpoint counts as started
    /// when it was resumed.
    pub(super) fn started_at(&self) -> Duration {
        let listed = self.listed_start.unwrap_or_default();
        if self.earliest_start > self.suspended_at {
            listed
        } else {
            listed.max(self.resumed_at)
        }
    }

    /// Returns a number that identifies the start at every initiator; 0 if the start is not a listed one.
    pub(super) fn start_id(&self) -> u64 {
        let listed = self.record.up_since.filter(|_| self.listed_start == Some(self.started_at()));
        listed.map_or(0, |unix_time| unix_time.as_nanos() as u64)
    }
}
