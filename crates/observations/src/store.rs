//! The observations that one process holds: the newest one for each subject.

use crate::{
    Observation, Observer, Report, Subject, MAX_EXCHANGE_HOPS, MAX_HOPS, MAX_OBSERVATIONS,
    OBSERVATION_LIFETIME,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// The number of a peer's reports that were not merged, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedReports {
    /// Reports with values out of range, and reports whose hop count contradicts their observer.
    pub invalid: usize,
    /// This process's own observations, sent back by a peer.
    pub own: usize,
}

/// The result of merging the reports of one peer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// The endpoints for which a newer observation was stored.
    pub changed_endpoints: BTreeSet<String>,
    /// The reports that were not merged.
    pub rejected: RejectedReports,
}

/// A set of observations with one observation per subject.
///
/// Merging keeps the greater observation of each subject. This is a join: commutative, associative and
/// idempotent. The result does not depend on the order in which reports arrive, on how often, or on the
/// processes that forwarded them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservationStore {
    observations: BTreeMap<Subject, Observation>,
}

impl ObservationStore {
    /// Merges one observation. Returns `true` if it was stored because it supersedes the known one of its
    /// subject.
    pub fn merge(&mut self, observation: Observation) -> bool {
        let subject = observation.subject();
        match self.observations.get(&subject) {
            Some(known) if *known >= observation => false,
            _ => {
                self.observations.insert(subject, observation);
                true
            }
        }
    }

    /// Merges all observations of another store whose times are on the same clock.
    pub fn merge_store(&mut self, other: ObservationStore) {
        for observation in other.observations.into_values() {
            self.merge(observation);
        }
    }

    /// Merges the reports that the process `from` sent to this one, `me`.
    ///
    /// The reports are taken to be half of `round_trip` older on arrival than their stated ages.
    pub fn merge_reports(
        &mut self,
        now: Duration,
        round_trip: Duration,
        me: &Observer,
        from: &Observer,
        reports: Vec<Report>,
    ) -> MergeResult {
        let mut result = MergeResult::default();
        for report in reports {
            let is_first_hand = report.observer == *from;
            if report.observer == *me {
                result.rejected.own += 1;
            } else if !report.is_valid() || (report.hops == 0) != is_first_hand {
                result.rejected.invalid += 1;
            } else {
                let observation = report.into_observation(now, round_trip / 2);
                let endpoint = observation.claim.endpoint().map(str::to_owned);
                if self.merge(observation) {
                    result.changed_endpoints.extend(endpoint);
                }
            }
        }
        result
    }

    /// Drops observations that are older than [`OBSERVATION_LIFETIME`]. If more than [`MAX_OBSERVATIONS`]
    /// remain, drops those of endpoints for which `is_listed` is false first, then the oldest.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&str) -> bool) {
        self.observations.retain(|_, observation| observation.age(now) <= OBSERVATION_LIFETIME);
        let excess = self.observations.len().saturating_sub(MAX_OBSERVATIONS);
        if excess > 0 {
            self.evict(excess, is_listed);
        }
    }

    /// Drops `count` observations: those of unlisted endpoints first, then the oldest.
    fn evict(&mut self, count: usize, is_listed: impl Fn(&str) -> bool) {
        let eviction_key = |observation: &Observation| {
            let is_relevant = observation.claim.endpoint().is_none_or(&is_listed);
            (is_relevant, observation.observed_at)
        };
        let mut by_eviction_order: Vec<_> = self
            .observations
            .iter()
            .map(|(subject, observation)| (eviction_key(observation), subject.clone()))
            .collect();
        by_eviction_order.sort_unstable();
        for (_, subject) in by_eviction_order.into_iter().take(count) {
            self.observations.remove(&subject);
        }
    }

    /// Returns the observation of a subject.
    pub fn get(&self, subject: &Subject) -> Option<&Observation> {
        self.observations.get(subject)
    }

    /// Returns all observations, ordered by subject.
    pub fn iter(&self) -> impl Iterator<Item = &Observation> {
        self.observations.values()
    }

    /// Returns the number of observations.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Returns whether the store holds no observation.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// Returns the reports that `me` sends to a peer in an exchange over TCP, the most important first.
    ///
    /// The reports cover the `own` observations and those of other processes. Of two observations of one
    /// subject, the greater one is sent.
    pub fn reports_for_exchange(&self, now: Duration, me: &Observer, own: Vec<Observation>) -> Vec<Report> {
        let mut sent = ObservationStore::default();
        let may_forward = |o: &&Observation| o.hops < MAX_HOPS && o.observer != *me;
        let forwarded = self.observations.values().filter(may_forward);
        for observation in forwarded.cloned().chain(own) {
            sent.merge(observation);
        }
        let reports =
            sent.observations.into_values().filter_map(|observation| observation.to_report(now, me));
        let mut reports: Vec<Report> =
            reports.map(|report| Report { hops: report.hops.min(MAX_EXCHANGE_HOPS), ..report }).collect();
        reports.sort_by_key(|report| (report.claim.send_order(), report.hops, report.age));
        reports
    }
}
