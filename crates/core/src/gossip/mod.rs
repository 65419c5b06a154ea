//! What peers report, beside the core's own observations: what follows from it for each endpoint and volume, and what this
//! initiator reports to its peers.
//!
//! Reports only ever take away: they stop an endpoint, hold it back, put it in slow start or count off units. There is none
//! of this where initiators do not talk to each other.

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

/// How often an endpoint that goes on failing is reported again.
const FAILING_REPORT_INTERVAL: Duration = Duration::from_secs(1);

/// One endpoint as this initiator's list and its operators have it.
#[derive(Clone, Copy, Debug)]
pub struct KnownEndpoint<'a> {
    /// Its number at the scheduler.
    pub endpoint: EndpointId,
    /// Its entry in the list.
    pub record: &'a EndpointRecord,
    /// An operator suspended it.
    pub suspended: bool,
    /// When it last started, as far as the core knows by itself; 0: long ago.
    pub started_at: Duration,
}

impl KnownEndpoint<'_> {
    /// The listed start in milliseconds of Unix time, the same at every initiator; 0: long ago.
    fn start_ms(&self) -> u64 {
        self.record.up_since.map_or(0, |unix_time| unix_time.as_millis() as u64)
    }

    fn is_ready(&self) -> bool {
        !self.suspended && self.record.readiness == Readiness::Ready
    }
}

/// All endpoints that the list ever named, by name.
pub type KnownEndpoints<'a> = BTreeMap<&'a str, KnownEndpoint<'a>>;

/// A start of an endpoint and when this process first knew of it.
#[derive(Clone, Copy, Debug)]
struct KnownStart {
    start_ms: u64,
    known_since: Duration,
}

/// What the attempts of one step say.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ObservedAttempts {
    /// An endpoint fails here: the advice on it is due for review.
    pub failing: bool,
    /// There is something to report to peers.
    pub reportable: bool,
}

/// Peers' reports, what this initiator observes itself, and the advice that follows from both.
#[derive(Clone, Debug)]
pub struct GossipState {
    me: Observer,
    reported: ObservationStore,
    /// When the followed list last spoke; `None`: only a cached one was read.
    list_received_at: Option<Duration>,
    /// The start that each endpoint had when it was last listed.
    starts: BTreeMap<String, KnownStart>,
    /// When this initiator's list or operators last said that an endpoint takes no work.
    not_ready_at: BTreeMap<String, Duration>,
    health: BTreeMap<EndpointId, AttemptHistory>,
    advice: BTreeMap<String, Advice>,
    /// When this process last broadcast what it observes.
    broadcast_at: Duration,
    sums: PeerSums,
}

impl GossipState {
    /// Nothing is known yet; `me` is what this process is to its peers.
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

    /// The followed list has spoken, be it to say that nothing changed.
    pub fn list_received(&mut self, now: Duration) {
        self.list_received_at = Some(now);
    }

    /// Takes what a peer reported in an exchange of that round trip; how many of its reports were not accepted.
    pub fn merge_exchange(
        &mut self,
        now: Duration,
        round_trip: Duration,
        from: &Observer,
        reports: Vec<Report>,
    ) -> RejectedReports {
        self.reported.merge_reports(now, round_trip, &self.me, from, reports).rejected
    }

    /// Takes reports that were new among the peers, checked by whoever brings them.
    pub fn merge(&mut self, now: Duration, reports: Vec<Report>) {
        for report in reports.into_iter().filter(|report| report.observer != self.me) {
            self.reported.merge(report.into_observation(now, Duration::ZERO));
        }
    }

    /// Takes the sums over all other initiators; what is not among them is not known.
    pub fn set_totals(&mut self, now: Duration, totals: PeerTotals) {
        self.sums = PeerSums::new(now, totals);
    }

    /// Notes what ended attempts say of their endpoints.
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

    /// The advice on an endpoint, as last reviewed.
    pub fn advice(&self, id: &str) -> Advice {
        self.advice.get(id).copied().unwrap_or_default()
    }

    /// When a piece of advice next runs out by itself.
    pub fn next_change(&self) -> Option<Duration> {
        self.advice.values().filter_map(Advice::next_change).min()
    }
}
