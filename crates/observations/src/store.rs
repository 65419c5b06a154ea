//! What one process knows: for each subject the observation that counts.

use crate::{
    Observation, Observer, Report, Subject, MAX_EXCHANGE_HOPS, MAX_HOPS, MAX_OBSERVATIONS,
    OBSERVATION_LIFETIME,
};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// How many of a peer's reports were not merged, by reason.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RejectedReports {
    /// Out of range, or first-hand in another observer's name.
    pub invalid: usize,
    /// This process's own observations, returned by others.
    pub own: usize,
}

/// What merging the reports of one peer brought.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct MergeResult {
    /// The endpoints of which there is a newer observation than before.
    pub changed_endpoints: BTreeSet<String>,
    /// What was not merged.
    pub rejected: RejectedReports,
}

/// Observations by subject.
///
/// Merging keeps the greater observation of each subject, a join: commutative, associative and idempotent. So it does
/// not matter in which order, how often and over whom reports arrive.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ObservationStore {
    observations: BTreeMap<Subject, Observation>,
}

impl ObservationStore {
    /// Takes one observation. Returns whether it is the one that counts now, and was not known before.
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

    /// Takes all observations of another store that is dated by the same clock.
    pub fn merge_store(&mut self, other: ObservationStore) {
        for observation in other.observations.into_values() {
            self.merge(observation);
        }
    }

    /// Takes the reports that a process `from` sent to this one, `me`, over an exchange that took `round_trip`.
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

    /// Drops what is older than [`OBSERVATION_LIFETIME`]. Where more than [`MAX_OBSERVATIONS`] remain, drops those of
    /// endpoints that are not `is_listed` first, then the oldest.
    pub fn expire(&mut self, now: Duration, is_listed: impl Fn(&str) -> bool) {
        self.observations.retain(|_, observation| observation.age(now) <= OBSERVATION_LIFETIME);
        let excess = self.observations.len().saturating_sub(MAX_OBSERVATIONS);
        if excess > 0 {
            self.drop_least_useful(excess, is_listed);
        }
    }

    fn drop_least_useful(&mut self, count: usize, is_listed: impl Fn(&str) -> bool) {
        let usefulness = |observation: &Observation| {
            let is_of_use = observation.claim.endpoint().is_none_or(&is_listed);
            (is_of_use, observation.observed_at)
        };
        let mut ranked: Vec<_> = self
            .observations
            .iter()
            .map(|(subject, observation)| (usefulness(observation), subject.clone()))
            .collect();
        ranked.sort_unstable();
        for (_, subject) in ranked.into_iter().take(count) {
            self.observations.remove(&subject);
        }
    }

    /// The observation of a subject.
    pub fn get(&self, subject: &Subject) -> Option<&Observation> {
        self.observations.get(subject)
    }

    /// All observations, by subject.
    pub fn iter(&self) -> impl Iterator<Item = &Observation> {
        self.observations.values()
    }

    /// How many observations there are.
    pub fn len(&self) -> usize {
        self.observations.len()
    }

    /// Whether there is none.
    pub fn is_empty(&self) -> bool {
        self.observations.is_empty()
    }

    /// What `me` sends to a peer in an exchange over TCP, the most needed first: its `own` observations, and those of
    /// others. Of an own and another's observation of one subject the one that counts is sent.
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
