//! The records that this process holds, and the updates that push them to peers.

use crate::anti_entropy::Record;
use crate::codec::{Item, MembershipRecord, Refresh};
use crate::directory::Directory;
use crate::observations::{is_digested, observation_id};
use crate::push::{PushQueue, Subject};
use shaletack_observations::{ObservationStore, Observer, OBSERVATION_LIFETIME};
use std::time::Duration;

/// The push priority of membership records: after all observations of endpoints.
pub(crate) const MEMBER_PRIORITY: u64 = u64::MAX;
/// The push priority of a refresh: the same as that of a draining endpoint in
/// [`shaletack_observations::Claim::send_order`].
pub(crate) const REFRESH_PRIORITY: u64 = 2;

/// This process's copy of the observations and membership records that the fleet shares.
#[derive(Debug)]
pub(crate) struct Replica {
    pub(crate) observations: ObservationStore,
    pub(crate) directory: Directory,
    pub(crate) updates: PushQueue,
}

impl Replica {
    pub(crate) fn new(own: MembershipRecord, now: Duration) -> Self {
        Replica {
            observations: ObservationStore::default(),
            directory: Directory::new(own),
            updates: PushQueue::new(now),
        }
    }

    /// Returns the name and incarnation of this process.
    pub(crate) fn own_process(&self) -> &Observer {
        &self.directory.own().process
    }

    /// Returns the item to send about a subject, or `None` if nothing is left to send: the record is gone,
    /// has expired, or has been forwarded too often.
    pub(crate) fn item(&self, now: Duration, subject: &Subject) -> Option<Item> {
        match subject {
            Subject::Observation(topic) => {
                self.observations.get(topic)?.to_report(now, self.own_process()).map(Item::Observation)
            }
            Subject::Member(address) => self.directory.record(*address).cloned().map(Item::Member),
            Subject::Refresh(observer) => {
                let state = self.updates.refresh_state(subject)?;
                let age = now.saturating_sub(state.observed_at);
                let record_ids = state.record_ids.clone();
                let refresh = Refresh { observer: observer.clone(), hops: state.hops, age, record_ids };
                (age <= OBSERVATION_LIFETIME).then_some(Item::Refresh(refresh))
            }
        }
    }

    /// Returns the items of these subjects, the most urgent first.
    pub(crate) fn items_by_priority(&self, now: Duration, subjects: &[Subject]) -> Vec<Item> {
        let mut items: Vec<Item> = subjects.iter().filter_map(|subject| self.item(now, subject)).collect();
        items.sort_by_key(|item| match item {
            Item::Observation(report) => report.claim.send_order(),
            Item::Refresh(_) | Item::Member(_) => MEMBER_PRIORITY,
        });
        items
    }

    /// Returns all records that digests cover.
    pub(crate) fn digest_records(&self, now: Duration) -> Vec<Record> {
        let observations = self.observations.iter().filter(|observation| is_digested(observation, now));
        let observations = observations.map(|observation| Record {
            id: observation_id(observation),
            subject: Subject::Observation(observation.subject()),
        });
        observations.chain(self.directory.digest_records()).collect()
    }

    /// Drops expired observations and membership records.
    pub(crate) fn expire(&mut self, now: Duration) {
        self.observations.expire(now, |_| true);
        self.directory.expire_records(now);
    }
}
