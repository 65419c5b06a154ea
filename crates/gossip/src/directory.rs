//! Who the other initiators are: members, their membership records, and who speaks this protocol version.
//!
//! Membership says which addresses are alive. Where they stand, and whether they take a gossip datagram at all, is known
//! from their records, from datagrams of theirs, or from an exchange over TCP. An initiator of the previous release would
//! log each gossip datagram as noise, so nothing is sent to anybody who is not confirmed.

use crate::aggregation;
use crate::anti_entropy::Record;
use crate::codec::MembershipRecord;
use crate::limits::MAX_MEMBERSHIP_RECORDS;
use crate::observations::record_id;
use crate::push::Subject;
use crate::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// A member that speaks this version has shown a record, or sent a datagram, by then.
const INTRODUCTION_TIME: Duration = Duration::from_secs(3);
/// How long a record is kept whose initiator membership does not have yet.
const NON_MEMBER_RECORD_TTL: Duration = Duration::from_secs(10);

#[derive(Clone, Copy, Debug)]
struct Member {
    incarnation: u64,
    since: Duration,
}

#[derive(Clone, Debug)]
struct StoredRecord {
    record: MembershipRecord,
    id: u32,
    received_at: Duration,
}

/// What became of a membership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// It was new.
    Stored,
    /// It is known, or of an earlier incarnation.
    Redundant,
    /// There is no room for one that is no member.
    Full,
}

/// A member that is known to speak this version.
pub(crate) struct ConfirmedMember<'a> {
    pub(crate) address: SocketAddr,
    /// `None`: its record is on its way.
    pub(crate) locality: Option<&'a Locality>,
}

/// The other initiators.
#[derive(Debug)]
pub(crate) struct Directory {
    own: MembershipRecord,
    members: BTreeMap<SocketAddr, Member>,
    records: BTreeMap<SocketAddr, StoredRecord>,
    confirmed: BTreeSet<SocketAddr>,
    /// Incarnations that were confirmed and are members no more: who comes back needs no asking.
    departed: BTreeMap<SocketAddr, u64>,
    changed: bool,
}

impl Directory {
    pub(crate) fn new(own: MembershipRecord) -> Self {
        Directory {
            own,
            members: BTreeMap::new(),
            records: BTreeMap::new(),
            confirmed: BTreeSet::new(),
            departed: BTreeMap::new(),
            changed: false,
        }
    }

    /// This process's own record.
    pub(crate) fn own(&self) -> &MembershipRecord {
        &self.own
    }

    pub(crate) fn member_up(&mut self, now: Duration, address: SocketAddr, incarnation: u64) {
        let known = self.members.get(&address).is_some_and(|member| member.incarnation == incarnation);
        if address == self.own.address || known {
            return;
        }
        self.members.insert(address, Member { incarnation, since: now });
        self.changed = true;
        let returned = self.departed.remove(&address) == Some(incarnation);
        let stored = self.records.get(&address);
        let introduced = stored.is_some_and(|stored| stored.record.process.incarnation == incarnation);
        if returned || introduced {
            self.confirm(address);
        } else {
            // Of another incarnation nothing is known, not even whether it speaks this version.
            self.records.remove(&address);
            self.confirmed.remove(&address);
        }
    }

    /// Whether that incarnation was a member until now.
    pub(crate) fn member_down(&mut self, address: SocketAddr, incarnation: u64) -> bool {
        if self.members.get(&address).is_none_or(|member| member.incarnation != incarnation) {
            return false;
        }
        self.members.remove(&address);
        self.records.remove(&address);
        if self.confirmed.remove(&address) {
            if self.departed.len() >= MAX_MEMBERSHIP_RECORDS {
                self.departed.pop_first();
            }
            self.departed.insert(address, incarnation);
        }
        self.changed = true;
        true
    }

    /// Whoever is at that address speaks this version.
    pub(crate) fn confirm(&mut self, address: SocketAddr) {
        self.changed |= address != self.own.address && self.confirmed.insert(address);
    }

    pub(crate) fn is_member(&self, address: SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Members that are not known to speak this version.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.keys().copied().filter(|address| !self.confirmed.contains(address))
    }

    /// Those of them that have been members for long enough to have introduced themselves.
    pub(crate) fn overdue(&self, now: Duration) -> impl Iterator<Item = SocketAddr> + '_ {
        let since = |address: &SocketAddr| self.members.get(address).map_or(Duration::ZERO, |m| m.since);
        self.unconfirmed().filter(move |address| now >= since(address) + INTRODUCTION_TIME)
    }

    pub(crate) fn confirmed_members(&self) -> impl Iterator<Item = ConfirmedMember<'_>> {
        let confirmed = self.members.keys().copied().filter(|address| self.confirmed.contains(address));
        confirmed.map(|address| ConfirmedMember { address, locality: self.locality(address) })
    }

    /// Members whose record is known.
    pub(crate) fn located_members(&self) -> Vec<aggregation::Member> {
        let located = self.members.iter().filter_map(|(address, member)| {
            let locality = self.locality(*address)?.clone();
            Some(aggregation::Member { address: *address, incarnation: member.incarnation, locality })
        });
        located.collect()
    }

    pub(crate) fn locality(&self, address: SocketAddr) -> Option<&Locality> {
        self.records.get(&address).map(|stored| &stored.record.locality)
    }

    /// The record of that address, this process's own included.
    pub(crate) fn record(&self, address: SocketAddr) -> Option<&MembershipRecord> {
        if address == self.own.address {
            return Some(&self.own);
        }
        self.records.get(&address).map(|stored| &stored.record)
    }

    /// All records of others.
    pub(crate) fn records(&self) -> impl Iterator<Item = &MembershipRecord> {
        self.records.values().map(|stored| &stored.record)
    }

    /// Takes a record of another initiator.
    pub(crate) fn store(&mut self, now: Duration, record: MembershipRecord) -> RecordOutcome {
        let address = record.address;
        let member = self.members.get(&address).copied();
        let superseded = member.is_some_and(|member| member.incarnation != record.process.incarnation);
        let known = self.records.get(&address).is_some_and(|stored| stored.record == record);
        if superseded || known {
            return RecordOutcome::Redundant;
        }
        if self.records.len() >= MAX_MEMBERSHIP_RECORDS && member.is_none() {
            return RecordOutcome::Full;
        }
        let id = record_id(&record);
        self.records.insert(address, StoredRecord { record, id, received_at: now });
        if member.is_some() {
            self.confirm(address);
            self.changed = true;
        }
        RecordOutcome::Stored
    }

    /// Drops records whose initiators did not become members.
    pub(crate) fn expire_records(&mut self, now: Duration) {
        let members = &self.members;
        self.records.retain(|address, stored| {
            members.contains_key(address) || now <= stored.received_at + NON_MEMBER_RECORD_TTL
        });
    }

    /// The records that digests cover: those of members, and the own one.
    pub(crate) fn digest_records(&self) -> impl Iterator<Item = Record> + '_ {
        let of_members = self.records.iter().filter(|(address, _)| self.members.contains_key(address));
        let of_members =
            of_members.map(|(address, stored)| Record { id: stored.id, subject: Subject::Member(*address) });
        let own = Record { id: record_id(&self.own), subject: Subject::Member(self.own.address) };
        of_members.chain([own])
    }

    /// Whether members or records changed since this was last asked for.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn has_changed(&self) -> bool {
        self.changed
    }
}
