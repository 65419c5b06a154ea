//! The reports of peers and the core's own observations: the advice on endpoints that follows from both, the
//! sums over all initiators, and the reports that this initiator sends to its peers.
//!
//! Reports can only restrict: they stop an endpoint, hold it back, put it in slow start or reduce the units
//! that may be sent. Without peers this state does not exist.

mod reports;
mod review;
mod totals;

pub use review::AdviceChange;
pub use totals::{Aged, Contribution, EndpointUsage, PeerTotals, VolumeDemand};

use crate::endpoint_list::EndpointRecord;
use crate::interface::{AttemptOutcome, EndedAttempt, EndpointId, Event, Readiness};
use shaletack_observations::{
    Advice, AttemptHistory, EndpointHealth, ObservationStore, Observer, RejectedReports, Report,
};
use std::collections::BTreeMap;
use std::time::Duration;
use totals::PeerSums;

/// The interval at which an endpoint that keeps failing is reported again.
const FAILING_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// One endpoint as this initiator knows it from its list and its operators.
#[derive(Clone, Copy, Debug)]
pub struct KnownEndpoint<'a> {
    /// The endpoint's number at the scheduler.
    pub endpoint: EndpointId,
    /// The endpoint's entry in the list.
    pub record: &'a EndpointRecord,
    /// Whether an operator suspended the endpoint.
    pub suspended: bool,
    /// When the endpoint last started, as far as the core knows without reports; zero: long ago.
    pub started_at: Duration,
}

impl KnownEndpoint<'_> {
    /// Returns the listed start in milliseconds of Unix time, the same at every initiator; 0: long ago.
    fn start_ms(&self) -> u64 {
        self.record.up_since.map_or(0, |unix_time| unix_time.as_millis() as u64)
    }

    fn is_ready(&self) -> bool {
        !self.suspended && self.record.readiness == Readiness::Ready
    }
}

/// All endpoints that were ever listed, by name.
pub type KnownEndpoints<'a> = BTreeMap<&'a str, KnownEndpoint<'a>>;

/// A start of an endpoint, and when this process first knew of the start.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    start_ms: u64,
    known_since: Duration,
}

/// What the attempts that ended in one step show.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedAttempts {
    /// Whether an endpoint fails here, so that the advice on it is due for review.
    pub failing: bool,
    /// Whether there is something to report to peers.
    pub reportable: bool,
}

/// The reports of peers, this initiator's own observations, and the advice that follows from both.
#[derive(Clone, Debug)]
pub struct GossipState {
    /// The identity under which this process reports.
    me: Observer,
    reported: ObservationStore,
    /// When the watched list last sent a message; `None`: only a cached list was read.
    list_received_at: Option<Duration>,
    /// The last listed start of each endpoint.
    starts: BTreeMap<String, KnownStart>,
    /// When an endpoint was last known here to take no work, by the list or an operator.
    not_ready_at: BTreeMap<String, Duration>,
    health: BTreeMap<EndpointId, AttemptHistory>,
    advice: BTreeMap<String, Advice>,
    /// When this process last broadcast its observations.
    broadcast_at: Duration,
    sums: PeerSums,
}

impl GossipState {
    /// Creates the state of a process without reports, which is known to its peers as `me`.
    pub fn new(me: Observer) -> Self {
        GossipState {
            me,
            reported: ObservationStore::default(),
            list_received_at: None,
            starts: BTreeMap::new(),
            not_ready_at: BTreeMap::new(),
            health: BTreeMap::new(),
            advice: BTreeMap::new(),
            broadcast_at: Duration::ZERO,
            sums: PeerSums::default(),
        }
    }

    /// Records that the watched list sent a message, even if nothing has changed.
    pub fn list_received(&mut self, now: Duration) {
        self.list_received_at = Some(now);
    }

    /// Merges the reports that a peer sent in an exchange with that round-trip time. Returns how many were
    /// rejected.
    pub fn merge_exchange(
        &mut self,
        now: Duration,
        round_trip: Duration,
        from: &Observer,
        reports: Vec<Report>,
    ) -> RejectedReports {
        self.reported.merge_reports(now, round_trip, &self.me, from, reports).rejected
    }

    /// Merges reports that gossip brought and that the caller has validated.
    pub fn merge(&mut self, now: Duration, reports: Vec<Report>) {
        for report in reports.into_iter().filter(|report| report.observer != self.me) {
            self.reported.merge(report.into_observation(now, Duration::ZERO));
        }
    }

    /// Replaces the sums over all other initiators. A sum that `totals` lacks is unknown from now on.
    pub fn set_totals(&mut self, now: Duration, totals: PeerTotals) {
        self.sums = PeerSums::new(now, totals);
    }

    /// Records what ended attempts show about their endpoints.
    pub fn observe_attempts(&mut self, now: Duration, events: &[Event]) -> ObservedAttempts {
        let mut observed = ObservedAttempts::default();
        let repeat_due = now >= self.broadcast_at + FAILING_REPORT_INTERVAL;
        for event in events {
            let Event::AttemptEnded(EndedAttempt { endpoint, outcome, .. }) = event else { continue };
            let health = self.health.entry(*endpoint).or_default();
            let before = health.observed_health().map(|observed| observed.health);
            match outcome {
                AttemptOutcome::Served => health.record_success(now),
                AttemptOutcome::Error
                | AttemptOutcome::TimedOut
                | AttemptOutcome::ConnectionLost
                | AttemptOutcome::ConnectFailed => observed.failing |= health.record_failure(now),
                AttemptOutcome::Rejected | AttemptOutcome::Cancelled | AttemptOutcome::NotSent => {}
            }
            let after = health.observed_health().map(|observed| observed.health);
            observed.reportable |= after != before || (repeat_due && after == Some(EndpointHealth::Failing));
        }
        observed
    }

    /// Returns the advice on an endpoint, as last reviewed.
    pub fn advice(&self, id: &str) -> Advice {
        self.advice.get(id).copied().unwrap_or_default()
    }

    /// Returns when advice next changes by the passing of time alone.
    pub fn next_change(&self) -> Option<Duration> {
        self.advice.values().filter_map(Advice::next_change).min()
    }
}
