//! Who sums what: cells of members, and the owner of each shard in each cell.
//!
//! Each process computes this from its own view of the members. Views differ for a while after a change; a member is then
//! missing from a sum, but never in it twice, since each one has one cell by its address and locality.

use super::wire::SHARDS;
use super::Member;
use crate::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Members of a cell at most: a larger zone is split into 2, 4, 8 .. cells.
pub const MAX_CELL_MEMBERS: usize = 128;
/// A region of at most so many members is one cell.
pub const MAX_SINGLE_CELL_REGION: usize = 48;
/// Members that are looked at.
pub const MAX_MEMBERS: usize = 8192;
/// The split of a region that is one cell.
pub const WHOLE_REGION_SPLIT: u8 = 8;
/// A zone is split into the power of two of this at most.
const MAX_ZONE_SPLIT: u8 = 7;

/// Members that are summed together: a region, a zone, or a slice of a zone.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Cell {
    /// The zone; without a zone's name for a whole region.
    locality: Locality,
    /// Of a split zone: the remainder of the address's hash that the cell's members have.
    slice: u64,
}

impl Cell {
    fn of(locality: &Locality, address: SocketAddr, split: u8) -> Self {
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

/// A live member and its cell.
#[derive(Clone, Debug)]
pub(super) struct PlacedMember {
    pub(super) incarnation: u64,
    pub(super) locality: Locality,
    pub(super) cell: Cell,
}

/// The members, their cells, and the cells' owners.
#[derive(Debug)]
pub(super) struct Placement {
    own: Member,
    own_cell: Cell,
    members: BTreeMap<SocketAddr, PlacedMember>,
    owners: BTreeMap<Cell, Vec<SocketAddr>>,
    splits: BTreeMap<Locality, u8>,
}

impl Placement {
    /// A process that knows of no other one.
    pub(super) fn new(own: Member) -> Self {
        let mut placement = Placement {
            own_cell: Cell::of(&own.locality, own.address, 0),
            own,
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
            splits: BTreeMap::new(),
        };
        placement.set_members(Vec::new());
        placement
    }

    /// Replaces the other members; the zones that are split in another way than before.
    pub(super) fn set_members(&mut self, members: Vec<Member>) -> BTreeSet<Locality> {
        let others = members.into_iter().filter(|member| member.address != self.own.address);
        let all = others.take(MAX_MEMBERS).chain([self.own.clone()]);
        let all: BTreeMap<SocketAddr, Member> = all.map(|member| (member.address, member)).collect();
        let splits = splits_of(&all);
        let previous = std::mem::replace(&mut self.splits, splits);
        self.place(all);
        let zones = previous.keys().chain(self.splits.keys());
        zones.filter(|zone| previous.get(*zone) != self.splits.get(*zone)).cloned().collect()
    }

    fn place(&mut self, members: BTreeMap<SocketAddr, Member>) {
        let mut cells: BTreeMap<Cell, Vec<SocketAddr>> = BTreeMap::new();
        self.members.clear();
        for (address, Member { incarnation, locality, .. }) in members {
            let cell = Cell::of(&locality, address, self.split_of(&locality));
            cells.entry(cell.clone()).or_default().push(address);
            self.members.insert(address, PlacedMember { incarnation, locality, cell });
        }
        self.owners = cells.into_iter().map(|(cell, members)| (cell, owners_among(&members))).collect();
        self.own_cell = Cell::of(&self.own.locality, self.own.address, self.own_split());
    }

    pub(super) fn own(&self) -> &Member {
        &self.own
    }

    pub(super) fn own_cell(&self) -> &Cell {
        &self.own_cell
    }

    /// How the own zone is split.
    pub(super) fn own_split(&self) -> u8 {
        self.split_of(&self.own.locality)
    }

    /// How a zone is split: into the power of two of this, or [`WHOLE_REGION_SPLIT`].
    pub(super) fn split_of(&self, zone: &Locality) -> u8 {
        self.splits.get(zone).copied().unwrap_or(0)
    }

    /// The member of that address, if it lives in that incarnation.
    pub(super) fn live_member(&self, address: SocketAddr, incarnation: u64) -> Option<&PlacedMember> {
        self.members.get(&address).filter(|member| member.incarnation == incarnation)
    }

    /// Whether that incarnation is a live member of the own cell.
    pub(super) fn is_in_own_cell(&self, address: SocketAddr, incarnation: u64) -> bool {
        let member = self.members.get(&address);
        member.is_some_and(|member| member.incarnation == incarnation && member.cell == self.own_cell)
    }

    /// The owner of a shard in a cell.
    pub(super) fn owner(&self, cell: &Cell, shard: usize) -> Option<SocketAddr> {
        self.owners.get(cell).and_then(|owners| owners.get(shard)).copied()
    }

    /// The owner of a shard in the own cell.
    pub(super) fn own_cell_owner(&self, shard: usize) -> Option<SocketAddr> {
        self.owner(&self.own_cell, shard)
    }

    /// Whether a cell has members.
    pub(super) fn has_cell(&self, cell: &Cell) -> bool {
        self.owners.contains_key(cell)
    }

    /// All cells but the own one.
    pub(super) fn other_cells(&self) -> impl Iterator<Item = &Cell> {
        self.owners.keys().filter(|cell| **cell != self.own_cell)
    }
}

/// How each zone that has members is split.
fn splits_of(members: &BTreeMap<SocketAddr, Member>) -> BTreeMap<Locality, u8> {
    let mut zones: BTreeMap<&Locality, usize> = BTreeMap::new();
    let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
    for member in members.values() {
        *zones.entry(&member.locality).or_default() += 1;
        *regions.entry(&member.locality.region).or_default() += 1;
    }
    let split = |zone: &Locality, zone_members| match regions.get(zone.region.as_str()) {
        Some(0..=MAX_SINGLE_CELL_REGION) => WHOLE_REGION_SPLIT,
        _ => zone_split(zone_members),
    };
    zones.iter().map(|(zone, members)| ((*zone).clone(), split(zone, *members))).collect()
}

/// Into how many cells a zone of so many members is split, as a power of two.
fn zone_split(members: usize) -> u8 {
    (0..MAX_ZONE_SPLIT).find(|split| members <= MAX_CELL_MEMBERS << split).unwrap_or(MAX_ZONE_SPLIT)
}

fn address_hash(address: SocketAddr) -> u64 {
    xxh3_64(address.to_string().as_bytes())
}

/// The owner of each shard by rendezvous hashing, so that a change of members moves few shards. Nobody owns a second
/// shard before all own one.
fn owners_among(members: &[SocketAddr]) -> Vec<SocketAddr> {
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
