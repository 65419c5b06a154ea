//! The other initiators: the members, their membership records, and which members speak this protocol
//! version.
//!
//! Membership reports which addresses are alive. The locality of a member is known from its record. Whether a
//! member accepts gossip datagrams is known from its record, from a datagram that it sent, or from an
//! exchange over TCP. An initiator of the previous release would log each gossip datagram as invalid, so
//! nothing is sent to a member that is not confirmed to speak this version.

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

/// The time within which a new member that speaks this version is expected to be confirmed by its record or
/// by a datagram.
const CONFIRMATION_GRACE_PERIOD: Duration = Duration::from_secs(3);
/// How long a record is kept if its initiator is not a member yet.
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

/// The result of storing a membership record.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum RecordOutcome {
    /// The record was new.
    Stored,
    /// The record is known already, or its incarnation is not that of the member.
    Redundant,
    /// The store is full, and the record is not that of a member.
    Full,
}

/// A member that is known to speak this version.
pub(crate) struct ConfirmedMember<'a> {
    pub(crate) address: SocketAddr,
    /// `None` if the record of the member has not arrived yet.
    pub(crate) locality: Option<&'a Locality>,
}

/// The members, their records, and which of them are confirmed to speak this protocol version.
#[derive(Debug)]
pub(crate) struct Directory {
    own: MembershipRecord,
    members: BTreeMap<SocketAddr, Member>,
    records: BTreeMap<SocketAddr, StoredRecord>,
    confirmed: BTreeSet<SocketAddr>,
    /// Incarnations that were confirmed and have left: they need no new confirmation if they come back.
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

    /// Returns the record of this process.
    pub(crate) fn own(&self) -> &MembershipRecord {
        &self.own
    }

    /// Adds a member, or replaces one of another incarnation at the same address.
    pub(crate) fn member_up(&mut self, now: Duration, address: SocketAddr, incarnation: u64) {
        let known = self.members.get(&address).is_some_and(|member| member.incarnation == incarnation);
        if address == self.own.address || known {
            return;
        }
        self.members.insert(address, Member { incarnation, since: now });
        self.changed = true;
        let returned = self.departed.remove(&address) == Some(incarnation);
        let stored = self.records.get(&address);
        let has_current_record =
            stored.is_some_and(|stored| stored.record.process.incarnation == incarnation);
        if returned || has_current_record {
            self.confirm(address);
        } else {
            // Nothing is known about a new incarnation, not even whether it speaks this version.
            self.records.remove(&address);
            self.confirmed.remove(&address);
        }
    }

    /// Removes a member and its record. Returns whether that incarnation was a member.
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

    /// Records that the process at this address speaks this protocol version.
    pub(crate) fn confirm(&mut self, address: SocketAddr) {
        self.changed |= address != self.own.address && self.confirmed.insert(address);
    }

    pub(crate) fn is_member(&self, address: SocketAddr) -> bool {
        self.members.contains_key(&address)
    }

    pub(crate) fn member_count(&self) -> usize {
        self.members.len()
    }

    /// Returns the members that are not confirmed to speak this version.
    pub(crate) fn unconfirmed(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.members.keys().copied().filter(|address| !self.confirmed.contains(address))
    }

    /// Returns the unconfirmed members that have been members for at least [`CONFIRMATION_GRACE_PERIOD`].
    pub(crate) fn overdue_for_confirmation(&self, now: Duration) -> impl Iterator<Item = SocketAddr> + '_ {
        let since = |address: &SocketAddr| self.members.get(address).map_or(Duration::ZERO, |m| m.since);
        self.unconfirmed().filter(move |address| now >= since(address) + CONFIRMATION_GRACE_PERIOD)
    }

    pub(crate) fn confirmed_members(&self) -> impl Iterator<Item = ConfirmedMember<'_>> {
        let confirmed = self.members.keys().copied().filter(|address| self.confirmed.contains(address));
        confirmed.map(|address| ConfirmedMember { address, locality: self.locality(address) })
    }

    /// Returns the members whose record, and so whose locality, is known.
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

    /// Returns the record of an address, which may be that of this process.
    pub(crate) fn record(&self, address: SocketAddr) -> Option<&MembershipRecord> {
        if address == self.own.address {
            return Some(&self.own);
        }
        self.records.get(&address).map(|stored| &stored.record)
    }

    /// Returns all records of other initiators.
    pub(crate) fn records(&self) -> impl Iterator<Item = &MembershipRecord> {
        self.records.values().map(|stored| &stored.record)
    }

    /// Stores a record of another initiator. The record of a member confirms that the member speaks this
    /// version.
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

    /// Drops the records of initiators that did not become members within [`NON_MEMBER_RECORD_TTL`].
    pub(crate) fn expire_records(&mut self, now: Duration) {
        let members = &self.members;
        self.records.retain(|address, stored| {
            members.contains_key(address) || now <= stored.received_at + NON_MEMBER_RECORD_TTL
        });
    }

    /// Returns the records that digests cover: those of members, and that of this process.
    pub(crate) fn digest_records(&self) -> impl Iterator<Item = Record> + '_ {
        let of_members = self.records.iter().filter(|(address, _)| self.members.contains_key(address));
        let of_members =
            of_members.map(|(address, stored)| Record { id: stored.id, subject: Subject::Member(*address) });
        let own = Record { id: record_id(&self.own), subject: Subject::Member(self.own.address) };
        of_members.chain([own])
    }

    /// Returns whether members or records have changed since the last call, and clears the flag.
    pub(crate) fn take_changed(&mut self) -> bool {
        std::mem::take(&mut self.changed)
    }

    pub(crate) fn has_changed(&self) -> bool {
        self.changed
    }
}
