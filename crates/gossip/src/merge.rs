//! Merges the items that a peer sent: validates each item, compares it with what is known, and pushes new
//! ones on.
//!
//! A peer may be late, mistaken or malicious. Items that are out of range are rejected, and so are first-hand
//! items in the name of another observer than the sender.

use crate::codec::{Item, MembershipRecord, Refresh};
use crate::directory::RecordOutcome;
use crate::limits::MAX_RECORD_IDS;
use crate::observations::{novelty, observation_id, Novelty};
use crate::push::{RefreshState, Subject};
use crate::replica::{Replica, MEMBER_PRIORITY, REFRESH_PRIORITY};
use shaletack_observations::{
    Claim, Observation, Observer, Report, MAX_HOPS, MAX_NAME_BYTES, OBSERVATION_LIFETIME,
};
use std::collections::BTreeSet;
use std::time::Duration;

/// An observation received by anti-entropy is pushed on only if its age is at most this.
const MAX_FORWARD_AGE: Duration = Duration::from_secs(5);
/// A refresh does not apply to an observation that was made at most this long before it.
pub(crate) const FRESHNESS_WINDOW: Duration = Duration::from_secs(10);

/// How items were delivered.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// By a push or an exchange over TCP: new items are pushed on.
    Pushed,
    /// By anti-entropy: the other processes probably know the items already, so only recent observations are
    /// pushed on.
    Answered,
}

/// The sender of items.
pub(crate) struct Source<'a> {
    pub(crate) process: &'a Observer,
    /// Half of the round trip to the sender.
    pub(crate) one_way_delay: Duration,
    pub(crate) delivery: Delivery,
}

/// The result of merging items.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    /// Observations that were new to this process.
    pub(crate) learned: Vec<Report>,
    /// The number of items that were out of range, or first-hand in the name of another observer.
    pub(crate) invalid: usize,
    /// Subjects of which this process holds a newer observation than the sender.
    pub(crate) outdated: Vec<Subject>,
}

/// Merges the items of a peer.
pub(crate) fn merge(replica: &mut Replica, now: Duration, source: &Source, items: Vec<Item>) -> Merged {
    let mut merger = Merger { replica, now, source, merged: Merged::default() };
    for item in items {
        match item {
            Item::Observation(report) => merger.merge_observation(report),
            Item::Member(record) => merger.merge_member(record),
            Item::Refresh(refresh) => merger.merge_refresh(refresh),
        }
    }
    merger.merged
}

struct Merger<'a> {
    replica: &'a mut Replica,
    now: Duration,
    source: &'a Source<'a>,
    merged: Merged,
}

impl Merger<'_> {
    fn merge_observation(&mut self, report: Report) {
        let is_own = report.observer == *self.replica.own_process();
        let is_valid = report.is_valid()
            && !report.claim.is_contribution()
            && (report.hops == 0) == (report.observer == *self.source.process);
        let observation = report.into_observation(self.now, self.source.one_way_delay);
        let subject = Subject::Observation(observation.subject());
        if is_own {
            self.replica.updates.record_redundant_receipt(&subject);
            return;
        }
        if !is_valid {
            self.merged.invalid += 1;
            return;
        }
        match novelty(&self.replica.observations, &observation) {
            Novelty::New => self.learn(subject, observation),
            Novelty::Same => {
                self.replica.observations.merge(observation);
                self.replica.updates.record_redundant_receipt(&subject);
            }
            Novelty::Outdated => self.merged.outdated.push(subject),
        }
    }

    /// Stores a new observation, and starts an update if it has to be pushed on.
    fn learn(&mut self, subject: Subject, observation: Observation) {
        let is_recent = observation.age(self.now) <= MAX_FORWARD_AGE;
        let priority = observation.claim.send_order();
        self.merged.learned.extend(observation.to_report(self.now, self.replica.own_process()));
        self.replica.observations.merge(observation);
        if self.source.delivery == Delivery::Pushed || is_recent {
            self.replica.updates.start(self.now, subject, priority);
        }
    }

    fn merge_member(&mut self, record: MembershipRecord) {
        let address = record.address;
        if address == self.replica.directory.own().address {
            return;
        }
        if !is_valid_record(&record) {
            self.merged.invalid += 1;
            return;
        }
        let subject = Subject::Member(address);
        match self.replica.directory.store(self.now, record) {
            RecordOutcome::Redundant => self.replica.updates.record_redundant_receipt(&subject),
            RecordOutcome::Stored if self.source.delivery == Delivery::Pushed => {
                self.replica.updates.start(self.now, subject, MEMBER_PRIORITY);
            }
            RecordOutcome::Stored | RecordOutcome::Full => {}
        }
    }

    fn merge_refresh(&mut self, refresh: Refresh) {
        if refresh.observer == *self.replica.own_process() {
            return;
        }
        let is_valid = (refresh.hops == 0) == (refresh.observer == *self.source.process)
            && refresh.hops <= MAX_HOPS
            && refresh.age <= OBSERVATION_LIFETIME
            && refresh.record_ids.len() <= MAX_RECORD_IDS;
        if !is_valid {
            self.merged.invalid += 1;
            return;
        }
        let observed_at = self.now.saturating_sub(refresh.age).saturating_sub(self.source.one_way_delay);
        let refreshed = self.refreshed_observations(&refresh, observed_at);
        if refreshed.is_empty() {
            self.replica.updates.record_redundant_receipt(&Subject::Refresh(refresh.observer));
            return;
        }
        for observation in refreshed {
            self.merged.learned.extend(observation.to_report(self.now, self.replica.own_process()));
            self.replica.observations.merge(observation);
        }
        if refresh.hops < MAX_HOPS {
            let state = RefreshState { observed_at, hops: refresh.hops + 1, record_ids: refresh.record_ids };
            self.replica.updates.start_refresh(self.now, refresh.observer, REFRESH_PRIORITY, state);
        }
    }

    /// Returns the observations that a refresh applies to, dated `observed_at`.
    fn refreshed_observations(&self, refresh: &Refresh, observed_at: Duration) -> Vec<Observation> {
        let ids: BTreeSet<u32> = refresh.record_ids.iter().copied().collect();
        let is_named = |observation: &&Observation| {
            matches!(observation.claim, Claim::Readiness { .. }) && ids.contains(&observation_id(observation))
        };
        let named = self.replica.observations.iter().filter(is_named);
        let stale = named.filter(|observation| observation.observed_at + FRESHNESS_WINDOW < observed_at);
        let refreshed = stale.map(|observation| Observation {
            observer: refresh.observer.clone(),
            hops: refresh.hops,
            observed_at,
            ..observation.clone()
        });
        refreshed.collect()
    }
}

fn is_valid_record(record: &MembershipRecord) -> bool {
    let fits = |name: &str| name.len() <= MAX_NAME_BYTES;
    let name = &record.process.name;
    !name.is_empty() && fits(name) && fits(&record.locality.zone) && fits(&record.locality.region)
}
