//! Decentralised aggregation: sums over all initiators, each counted once.
//!
//! A volume's limit, and the budget of an endpoint in slow start, depend on what all initiators together are asked for and
//! spend. Were each to tell each, this would grow with the square of the fleet. So the sums are made in two stages, over
//! owners that nobody elects:
//!
//! 1. Members are grouped into cells (a small region, a zone, or a slice of a large zone), and keys into shards. In each
//!    cell each shard has one owner, found by rendezvous hashing (`placement`).
//! 2. A member sends its amounts to the owners of its own cell (`contributor`).
//! 3. An owner sends its cell's partial sums to the owners of the other cells, and answers each contribution with the totals
//!    of its keys (`owner`).
//!
//! An owner keeps one contribution for each member and one partial for each other cell. So a message that comes twice, or
//! an owner that changes, counts nobody twice. `docs/design/GOSSIP-AGGREGATION.md` has the rules and the error bounds.

mod amount;
mod contributor;
mod owner;
mod placement;
mod received;
mod transmitter;
mod wire;

pub use amount::{pack_amount, unpack_amount, MAX_AMOUNT};
pub use contributor::{MAX_OWN_KEYS, TOTAL_TTL};
pub use owner::{CONTRIBUTION_TTL, MAX_STORED_KEYS_PER_SHARD, PARTIAL_TTL};
pub use placement::{MAX_CELL_MEMBERS, MAX_MEMBERS, MAX_SINGLE_CELL_REGION, WHOLE_REGION_SPLIT};
pub use transmitter::{ANSWER_BYTES_PER_SECOND, DATAGRAM_OVERHEAD_BYTES, OWNER_BYTES_PER_SECOND};
pub use wire::{
    encoded_len, shard_of, short_key, Key, KeyRow, Layout, Message, PackedTotal, Page, PageKind, ShortKey,
    TotalsPage, MAX_PAGES, MAX_PAGE_KEYS, SHARDS,
};

use crate::Locality;
use contributor::Contributor;
use owner::Owner;
use placement::{PlacedMember, Placement};
use received::SenderId;
use std::net::SocketAddr;
use std::time::Duration;
use transmitter::Transmitter;

/// A live initiator.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Member {
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Its incarnation.
    pub incarnation: u64,
    /// Where it stands.
    pub locality: Locality,
}

/// A message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver's address.
    pub to: SocketAddr,
    /// What it is sent.
    pub message: Message,
}

/// The sum of a key over all other initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// The amounts of all others, in thousandths of a unit.
    pub others: u64,
    /// Initiators that the sum holds, the own one included if its amount is above 0.
    pub contributors: u32,
    /// How long ago the oldest partial came to the owner.
    pub age: Duration,
    /// Cells that have members and are not in the sum: cut off, silent, or without that key. 0: the sum is complete.
    pub missing_cells: u32,
}

/// One process's part in the aggregation, as a state machine.
#[derive(Debug)]
pub struct Aggregation {
    placement: Placement,
    contributor: Contributor,
    owner: Owner,
    transmitter: Transmitter,
}

impl Aggregation {
    /// A process that knows of no other one. The seed spreads its rounds.
    pub fn new(own: Member, seed: u64) -> Self {
        Aggregation {
            contributor: Contributor::new(own.address),
            placement: Placement::new(own),
            owner: Owner::new(),
            transmitter: Transmitter::new(seed),
        }
    }

    /// Replaces the live members that speak this protocol version; the own one is implied. Contributions of whom it does
    /// not name any more are dropped at once.
    pub fn set_members(&mut self, now: Duration, members: Vec<Member>) {
        let resplit = self.placement.set_members(members);
        self.owner.retain_placed(&self.placement, &resplit);
        self.contributor.follow_owners(now, &self.placement, &mut self.transmitter);
    }

    /// Replaces this process's amounts, in thousandths of a unit. 0 asks for a key's total and adds nobody to it.
    pub fn set_amounts(&mut self, now: Duration, amounts: Vec<(Key, u64)>) {
        self.contributor.set_amounts(now, amounts, &mut self.transmitter);
    }

    /// Sends what is due. To be called at [`Aggregation::wake_at`].
    pub fn tick(&mut self, now: Duration) -> Vec<Envelope> {
        let mut out = Vec::new();
        for shard in 0..SHARDS {
            if self.contributor.is_due(now, shard) {
                self.contribute(now, shard, &mut out);
            }
            if self.owner.is_due(now, shard) {
                self.owner.send_partials(now, shard, &self.placement, &mut self.transmitter, &mut out);
            }
        }
        out
    }

    /// When [`Aggregation::tick`] has something to do; `Duration::MAX`: nothing.
    pub fn wake_at(&self) -> Duration {
        self.contributor
            .next_contribution_at()
            .chain(self.owner.next_partials_at())
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Takes a message of a process at that address and of that incarnation; what to answer.
    pub fn receive(
        &mut self,
        now: Duration,
        from: SocketAddr,
        incarnation: u64,
        message: Message,
    ) -> Vec<Envelope> {
        let mut out = Vec::new();
        let Some(sender) = self.placement.live_member(from, incarnation).cloned() else { return out };
        let id = SenderId { address: from, incarnation };
        let is_own_cell = sender.cell == *self.placement.own_cell();
        match message {
            Message::Contribution(page) if is_own_cell => {
                self.owner.receive_contribution(
                    now,
                    id,
                    page,
                    &self.placement,
                    &mut self.transmitter,
                    &mut out,
                );
            }
            Message::Partial(page) if !is_own_cell => {
                self.receive_partial(now, id, sender, page, &mut out);
            }
            Message::Totals(totals) => {
                self.contributor.receive_totals(from, &totals, &mut self.transmitter);
            }
            Message::LayoutUnknown { kind: PageKind::Partial, shard, page } => {
                self.owner.forget_sent_layout(from, sender.cell, shard, page);
            }
            Message::LayoutUnknown { kind: PageKind::Contribution, shard, page } => {
                self.contributor.send_full_layout(now, from, shard, page);
            }
            Message::Contribution(_) | Message::Partial(_) => {}
        }
        out
    }

    /// The sum over all others of one of this process's keys; `None`: unknown, or its oldest partial came more than
    /// [`TOTAL_TTL`] ago.
    pub fn total(&self, now: Duration, key: Key) -> Option<Total> {
        self.contributor.total(now, key)
    }

    /// All sums that are known.
    pub fn totals(&self, now: Duration) -> impl Iterator<Item = (Key, Total)> + '_ {
        self.contributor.totals(now)
    }

    /// Takes another cell's partial sums, which count only from whom this process takes for that cell's owner.
    fn receive_partial(
        &mut self,
        now: Duration,
        from: SenderId,
        sender: PlacedMember,
        page: Page,
        out: &mut Vec<Envelope>,
    ) {
        let is_split_alike = page.split == self.placement.split_of(&sender.locality);
        let cell_owner = self.placement.owner(&sender.cell, usize::from(page.shard));
        let is_from_owner = cell_owner == Some(from.address);
        if is_split_alike && is_from_owner {
            self.owner.receive_partial(now, from, sender.cell, page, &mut self.transmitter, out);
        }
    }

    /// Sends the own amounts of a shard to its owner, which may be this process.
    fn contribute(&mut self, now: Duration, shard: usize, out: &mut Vec<Envelope>) {
        let Some(owner) = self.placement.own_cell_owner(shard) else { return };
        let split = self.placement.own_split();
        let contributions = self.contributor.contribute(now, shard, owner, split, &mut self.transmitter);
        if owner == self.placement.own().address {
            contributions.into_iter().for_each(|contribution| self.contribute_to_itself(now, contribution));
        } else {
            out.extend(contributions.into_iter().map(|message| Envelope { to: owner, message }));
        }
    }

    fn contribute_to_itself(&mut self, now: Duration, contribution: Message) {
        let own = self.placement.own();
        let (address, incarnation) = (own.address, own.incarnation);
        for answer in self.receive(now, address, incarnation, contribution) {
            self.receive(now, address, incarnation, answer.message);
        }
    }
}
