//! Decentralised aggregation: sums over all initiators, with each initiator counted once.
//!
//! The limit of a volume and the budget of an endpoint in slow start apply to the total demand and spending
//! of all initiators. If each initiator reported to every other one, the traffic would grow with the square
//! of the fleet. The sums are therefore computed in two stages by owners, which are assigned by hashing
//! without an election:
//!
//! 1. Members are grouped into cells (a small region, a zone, or a slice of a large zone), and keys into
//!    shards. Each shard has one owner in each cell, assigned by rendezvous hashing (`placement`).
//! 2. A member sends its amounts to the owners in its own cell (`contributor`).
//! 3. An owner sends the partial sums of its cell to the owners in the other cells, and answers each
//!    contribution with the totals of its keys (`owner`).
//!
//! An owner stores one contribution per member and one partial per other cell, each replaced by the next one.
//! Neither a duplicated message nor a change of owner therefore counts an initiator twice. The protocol and
//! its error bounds are described in `docs/design/GOSSIP-AGGREGATION.md`.

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
    /// The address at which the initiator receives datagrams.
    pub address: SocketAddr,
    /// The initiator's incarnation.
    pub incarnation: u64,
    /// The initiator's locality.
    pub locality: Locality,
}

/// An outgoing message and its receiver.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Envelope {
    /// The receiver's address.
    pub to: SocketAddr,
    /// The message.
    pub message: Message,
}

/// The sum of a key over all other initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// The sum of the amounts of all other initiators, in thousandths of a unit.
    pub others: u64,
    /// The number of initiators that contribute, including this one if its amount is above 0.
    pub contributors: u32,
    /// How long ago the owner received the oldest partial in the sum.
    pub age: Duration,
    /// The number of cells that have members and are not in the sum: partitioned, silent, or without that
    /// key. 0 if the sum is complete.
    pub missing_cells: u32,
}

/// The aggregation state machine of one process: a contributor, and an owner of shards.
#[derive(Debug)]
pub struct Aggregation {
    placement: Placement,
    contributor: Contributor,
    owner: Owner,
    transmitter: Transmitter,
}

impl Aggregation {
    /// Creates the state machine of a process that knows no other members. The seed determines the jitter of
    /// its rounds.
    pub fn new(own: Member, seed: u64) -> Self {
        Aggregation {
            contributor: Contributor::new(own.address),
            placement: Placement::new(own),
            owner: Owner::new(),
            transmitter: Transmitter::new(seed),
        }
    }

    /// Replaces the live members that speak this protocol version. This process is always a member.
    ///
    /// Contributions of members that are not listed any more are dropped at once.
    pub fn set_members(&mut self, now: Duration, members: Vec<Member>) {
        let resplit_zones = self.placement.set_members(members);
        self.owner.retain_current_members(&self.placement, &resplit_zones);
        self.contributor.handle_owner_changes(now, &self.placement, &mut self.transmitter);
    }

    /// Replaces this process's amounts, in thousandths of a unit. An amount of 0 requests the total of its
    /// key without adding a contributor.
    pub fn set_amounts(&mut self, now: Duration, amounts: Vec<(Key, u64)>) {
        self.contributor.set_amounts(now, amounts, &mut self.transmitter);
    }

    /// Returns the messages that are due. The caller has to call this at [`Aggregation::wake_at`].
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

    /// Returns when [`Aggregation::tick`] is due next, or `Duration::MAX` if nothing is scheduled.
    pub fn wake_at(&self) -> Duration {
        self.contributor
            .next_contribution_at()
            .chain(self.owner.next_partials_at())
            .min()
            .unwrap_or(Duration::MAX)
    }

    /// Handles a message from the process with this address and incarnation, and returns the answers.
    ///
    /// Messages from processes that are not live members are ignored.
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

    /// Returns the sum of one of this process's keys over all other initiators, or `None` if the sum is
    /// unknown or its oldest partial is older than [`TOTAL_TTL`].
    pub fn total(&self, now: Duration, key: Key) -> Option<Total> {
        self.contributor.total(now, key)
    }

    /// Returns all sums that are known.
    pub fn totals(&self, now: Duration) -> impl Iterator<Item = (Key, Total)> + '_ {
        self.contributor.totals(now)
    }

    /// Handles partial sums of another cell. They count only if their sender is the owner in that cell, and
    /// the cell's zone is split as in this process's own view.
    fn receive_partial(
        &mut self,
        now: Duration,
        from: SenderId,
        sender: PlacedMember,
        page: Page,
        out: &mut Vec<Envelope>,
    ) {
        let has_same_split = page.split == self.placement.split_of(&sender.locality);
        let cell_owner = self.placement.owner(&sender.cell, usize::from(page.shard));
        let is_from_owner = cell_owner == Some(from.address);
        if has_same_split && is_from_owner {
            self.owner.receive_partial(now, from, sender.cell, page, &mut self.transmitter, out);
        }
    }

    /// Sends this process's amounts of a shard to the owner, which may be this process.
    fn contribute(&mut self, now: Duration, shard: usize, out: &mut Vec<Envelope>) {
        let Some(owner) = self.placement.own_cell_owner(shard) else { return };
        let split = self.placement.own_split();
        let contributions = self.contributor.contribute(now, shard, owner, split, &mut self.transmitter);
        if owner == self.placement.own().address {
            contributions
                .into_iter()
                .for_each(|contribution| self.deliver_own_contribution(now, contribution));
        } else {
            out.extend(contributions.into_iter().map(|message| Envelope { to: owner, message }));
        }
    }

    /// Handles a contribution of this process to itself, and the answer to it.
    fn deliver_own_contribution(&mut self, now: Duration, contribution: Message) {
        let own = self.placement.own();
        let (address, incarnation) = (own.address, own.incarnation);
        for answer in self.receive(now, address, incarnation, contribution) {
            self.receive(now, address, incarnation, answer.message);
        }
    }
}
