//! Groups the members into cells, and assigns an owner to each shard in each cell.
//!
//! Each process computes the placement from its own view of the members. Views differ for a while after a
//! change. A member may then be missing from a sum, but is never counted twice, because its address and
//! locality determine one cell.

use super::wire::SHARDS;
use super::Member;
use crate::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of members above which a zone is split, into 2, 4, 8, ... cells with at most so many members on
/// average.
pub const MAX_CELL_MEMBERS: usize = 128;
/// A region of at most this many members is one cell.
pub const MAX_SINGLE_CELL_REGION: usize = 48;
/// The most members that are considered.
pub const MAX_MEMBERS: usize = 8192;
/// The value of [`super::Page::split`] for a region that is one cell.
pub const WHOLE_REGION_SPLIT: u8 = 8;
/// The largest split of a zone, as a power of two.
const MAX_ZONE_SPLIT: u8 = 7;

/// A group of members whose amounts are summed together: a region, a zone, or a slice of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cell {
    /// The locality of the zone. For a whole region, the zone's name is empty.
    locality: Locality,
    /// The slice of a split zone: the hash of a member's address, modulo the number of slices. `u64::MAX` for
    /// a whole region.
    slice: u64,
}

impl Cell {
    fn for_member(locality: &Locality, address: SocketAddr, split: u8) -> Self {
        if split == WHOLE_REGION_SPLIT {
            let region = Locality { region: locality.region.clone(), zone: String::new() };
            return Cell { locality: region, slice: u64::MAX };
        }
        Cell { locality: locality.clone(), slice: address_hash(address) % (1 << split) }
    }

    pub(super) fn locality(&self) -> &Locality {
        &self.locality
    }
}

/// A live member, and its cell.
#[derive(Clone, Debug)]
pub(super) struct PlacedMember {
    pub(super) incarnation: u64,
    pub(super) locality: Locality,
    pub(super) cell: Cell,
}

/// The members, their cells, and the owners of the shards in each cell.
#[derive(Debug)]
pub(super) struct Placement {
    own: Member,
    own_cell: Cell,
    members: BTreeMap<SocketAddr, PlacedMember>,
    owners: BTreeMap<Cell, Vec<SocketAddr>>,
    splits: BTreeMap<Locality, u8>,
}

impl Placement {
    /// Creates the placement of a process that knows no other members.
    pub(super) fn new(own: Member) -> Self {
        let mut placement = Placement {
            own_cell: Cell::for_member(&own.locality, own.address, 0),
            own,
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
            splits: BTreeMap::new(),
        };
        placement.set_members(Vec::new());
        placement
    }

    /// Replaces the other members, and returns the zones whose split has changed.
    pub(super) fn set_members(&mut self, members: Vec<Member>) -> BTreeSet<Locality> {
        let others = members.into_iter().filter(|member| member.address != self.own.address);
        let all = others.take(MAX_MEMBERS).chain([self.own.clone()]);
        let all: BTreeMap<SocketAddr, Member> = all.map(|member| (member.address, member)).collect();
        let splits = zone_splits(&all);
        let previous = std::mem::replace(&mut self.splits, splits);
        self.place(all);
        let zones = previous.keys().chain(self.splits.keys());
        zones.filter(|zone| previous.get(*zone) != self.splits.get(*zone)).cloned().collect()
    }

    fn place(&mut self, members: BTreeMap<SocketAddr, Member>) {
        let mut cells: BTreeMap<Cell, Vec<SocketAddr>> = BTreeMap::new();
        self.members.clear();
        for (address, Member { incarnation, locality, .. }) in members {
            let cell = Cell::for_member(&locality, address, self.split_of(&locality));
            cells.entry(cell.clone()).or_default().push(address);
            self.members.insert(address, PlacedMember { incarnation, locality, cell });
        }
        self.owners = cells.into_iter().map(|(cell, members)| (cell, assign_owners(&members))).collect();
        self.own_cell = Cell::for_member(&self.own.locality, self.own.address, self.own_split());
    }

    pub(super) fn own(&self) -> &Member {
        &self.own
    }

    pub(super) fn own_cell(&self) -> &Cell {
        &self.own_cell
    }

    /// Returns the split of this process's own zone.
    pub(super) fn own_split(&self) -> u8 {
        self.split_of(&self.own.locality)
    }

    /// Returns the split of a zone: the number of its cells as a power of two, or [`WHOLE_REGION_SPLIT`].
    pub(super) fn split_of(&self, zone: &Locality) -> u8 {
        self.splits.get(zone).copied().unwrap_or(0)
    }

    /// Returns the member at an address, if it is live in that incarnation.
    pub(super) fn live_member(&self, address: SocketAddr, incarnation: u64) -> Option<&PlacedMember> {
        self.members.get(&address).filter(|member| member.incarnation == incarnation)
    }

    /// Returns whether that incarnation is a live member of this process's own cell.
    pub(super) fn is_in_own_cell(&self, address: SocketAddr, incarnation: u64) -> bool {
        let member = self.members.get(&address);
        member.is_some_and(|member| member.incarnation == incarnation && member.cell == self.own_cell)
    }

    /// Returns the owner of a shard in a cell, or `None` if the cell has no members.
    pub(super) fn owner(&self, cell: &Cell, shard: usize) -> Option<SocketAddr> {
        self.owners.get(cell).and_then(|owners| owners.get(shard)).copied()
    }

    /// Returns the owner of a shard in this process's own cell.
    pub(super) fn own_cell_owner(&self, shard: usize) -> Option<SocketAddr> {
        self.owner(&self.own_cell, shard)
    }

    /// Returns whether a cell has members.
    pub(super) fn has_cell(&self, cell: &Cell) -> bool {
        self.owners.contains_key(cell)
    }

    /// Returns all cells except this process's own cell.
    pub(super) fn other_cells(&self) -> impl Iterator<Item = &Cell> {
        self.owners.keys().filter(|cell| **cell != self.own_cell)
    }
}

/// Returns the split of each zone that has members.
fn zone_splits(members: &BTreeMap<SocketAddr, Member>) -> BTreeMap<Locality, u8> {
    let mut zones: BTreeMap<&Locality, usize> = BTreeMap::new();
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for member in members.values() {
        *zones.entry(&member.locality).or_default() += 1;
        *regions.entry(&member.locality.region).or_default() += 1;
    }
    let split = |zone: &Locality, zone_members| match regions.get(zone.region.as_str()) {
        Some(0..=MAX_SINGLE_CELL_REGION) => WHOLE_REGION_SPLIT,
        _ => split_for_member_count(zone_members),
    };
    zones.iter().map(|(zone, members)| ((*zone).clone(), split(zone, *members))).collect()
}

/// Returns the number of cells, as a power of two, into which a zone of that many members is split.
fn split_for_member_count(members: usize) -> u8 {
    (0..MAX_ZONE_SPLIT).find(|split| members <= MAX_CELL_MEMBERS << split).unwrap_or(MAX_ZONE_SPLIT)
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// Assigns an owner to each shard by rendezvous hashing, so that a change of members moves few shards.
///
/// No member owns more than `SHARDS / members` shards, rounded up. In a cell of at least [`SHARDS`] members,
/// nobody owns a second shard.
fn assign_owners(members: &[SocketAddr]) -> Vec<SocketAddr> {
    let hashes: Vec<u64> = members.iter().map(|address| address_hash(*address)).collect();
    let max_owned = SHARDS.div_ceil(members.len().max(1));
    let mut owned = vec![0; members.len()];
    let mut owners = Vec::with_capacity(SHARDS);
    for shard in 0..SHARDS as u64 {
        let weight = |member: usize| {
            let hash = hashes[member];
            (xxh3_64_with_seed(&hash.to_be_bytes(), shard), hash)
        };
        let free = (0..members.len()).filter(|member| owned[*member] < max_owned);
        if let Some(member) = free.max_by_key(|member| weight(*member)) {
            owned[member] += 1;
            owners.push(members[member]);
        }
    }
    owners
}
