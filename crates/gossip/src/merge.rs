//! Merging what a peer sent: each item is validated, compared with what is known, and passed on if it is news.
//!
//! A peer may be late, mistaken or malicious. Nobody may report first-hand in another's name, and nothing out of range
//! is taken.

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

/// What an answer brought is pushed on while it is at most as old as this.
const MAX_PUSHED_ON_AGE: Duration = Duration::from_secs(5);
/// An observation that was seen within this before the refresh needs none.
pub(crate) const FRESH_FOR: Duration = Duration::from_secs(10);

/// How items came.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Delivery {
    /// As an update: its news is pushed on.
    Pushed,
    /// In answer to a digest: the others may well know it.
    Answered,
}

/// Where items come from.
pub(crate) struct Source<'a> {
    pub(crate) process: &'a Observer,
    /// Half of the round trip to it.
    pub(crate) one_way: Duration,
    pub(crate) delivery: Delivery,
}

/// What became of the items.
#[derive(Debug, Default)]
pub(crate) struct Merged {
    /// Observations that were new.
    pub(crate) learned: Vec<Report>,
    /// Items that are out of range or in another's name.
    pub(crate) invalid: usize,
    /// Subjects of which this process knows something newer.
    pub(crate) outdated: Vec<Subject>,
}

/// Merges a peer's items.
pub(crate) fn merge(replica: &mut Replica, now: Duration, source: &Source, items: Vec<Item>) -> Merged {
    let mut merge = Merge { replica, now, source, merged: Merged::default() };
    for item in items {
        match item {
            Item::Observation(report) => merge.observation(report),
            Item::Member(record) => merge.member(record),
            Item::Refresh(refresh) => merge.refresh(refresh),
        }
    }
    merge.merged
}

struct Merge<'a> {
    replica: &'a mut Replica,
    now: Duration,
    source: &'a Source<'a>,
    merged: Merged,
}

impl Merge<'_> {
    fn observation(&mut self, report: Report) {
        let is_own = report.observer == *self.replica.own_process();
        let is_valid = report.is_valid()
            && !report.claim.is_contribution()
            && (report.hops == 0) == (report.observer == *self.source.process);
        let observation = report.into_observation(self.now, self.source.one_way);
        let subject = Subject::Observation(observation.subject());
        if is_own {
            self.replica.updates.received_again(&subject);
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
                self.replica.updates.received_again(&subject);
            }
            Novelty::Outdated => self.merged.outdated.push(subject),
        }
    }

    fn learn(&mut self, subject: Subject, observation: Observation) {
        let is_recent = observation.age(self.now) <= MAX_PUSHED_ON_AGE;
        let priority = observation.claim.send_order();
        self.merged.learned.extend(observation.to_report(self.now, self.replica.own_process()));
        self.replica.observations.merge(observation);
        if self.source.delivery == Delivery::Pushed || is_recent {
            self.replica.updates.start(self.now, subject, priority);
        }
    }

    fn member(&mut self, record: MembershipRecord) {
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
            RecordOutcome::Redundant => self.replica.updates.received_again(&subject),
            RecordOutcome::Stored if self.source.delivery == Delivery::Pushed => {
                self.replica.updates.start(self.now, subject, MEMBER_PRIORITY);
            }
            RecordOutcome::Stored | RecordOutcome::Full => {}
        }
    }

    fn refresh(&mut self, refresh: Refresh) {
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
        let seen_at = self.now.saturating_sub(refresh.age).saturating_sub(self.source.one_way);
        let refreshed = self.refreshed(&refresh, seen_at);
        if refreshed.is_empty() {
            self.replica.updates.received_again(&Subject::Refresh(refresh.observer));
            return;
        }
        for observation in refreshed {
            self.merged.learned.extend(observation.to_report(self.now, self.replica.own_process()));
            self.replica.observations.merge(observation);
        }
        if refresh.hops < MAX_HOPS {
            let state = RefreshState { seen_at, hops: refresh.hops + 1, record_ids: refresh.record_ids };
            self.replica.updates.start_refresh(self.now, refresh.observer, REFRESH_PRIORITY, state);
        }
    }

    /// The observations that a refresh makes younger, as they are then.
    fn refreshed(&self, refresh: &Refresh, seen_at: Duration) -> Vec<Observation> {
        let ids: BTreeSet<u32> = refresh.record_ids.iter().copied().collect();
        let is_named = |observation: &&Observation| {
            matches!(observation.claim, Claim::Readiness { .. }) && ids.contains(&observation_id(observation))
        };
        let named = self.replica.observations.iter().filter(is_named);
        let stale = named.filter(|observation| observation.observed_at + FRESH_FOR < seen_at);
        let refreshed = stale.map(|observation| Observation {
            observer: refresh.observer.clone(),
            hops: refresh.hops,
            observed_at: seen_at,
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
