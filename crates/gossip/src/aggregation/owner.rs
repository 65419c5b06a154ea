//! The owner: sums the contributions of the members in its cell and the partial sums of the owners in other
//! cells.
//!
//! An owner may fail without notice, and messages may be lost. Everything that an owner stores therefore
//! expires, and is sent again regularly by its sender. A lost message makes a sum too small for a while, but
//! never too large.

use super::amount::pack_amount;
use super::placement::{Cell, Placement};
use super::received::{accept_page, PageOutcome, ReceivedPages, SenderId, SummedAmount};
use super::transmitter::Transmitter;
use super::wire::{
    layout_hash, KeyRow, Layout, Message, PackedTotal, Page, PageKind, ShortKey, TotalsPage, AGE_TICK,
    MAX_PAGES, MAX_PAGE_KEYS, SHARDS,
};
use super::Envelope;
use crate::Locality;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The most amounts of a shard that are stored, over all members and cells. A page that exceeds the limit is
/// ignored.
pub const MAX_STORED_KEYS_PER_SHARD: usize = 8_192;
/// How long a contribution counts after it was received.
pub const CONTRIBUTION_TTL: Duration = Duration::from_secs(4);
/// How long the partial sums of a cell count after they were received.
pub const PARTIAL_TTL: Duration = Duration::from_secs(3);

/// The time between two rounds of partial sums, without jitter.
const PARTIAL_INTERVAL: Duration = Duration::from_millis(800);
/// The minimum time between two answers to one member about one page.
const MIN_ANSWER_GAP: Duration = Duration::from_millis(200);
/// The minimum time between two checks for expired pages. A page may therefore count for up to this much
/// longer than its TTL.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// The number of rounds that tell the other cells that no keys are left: more than one, because messages may
/// be lost.
const EMPTY_ROUNDS: u8 = 3;

/// One page of a shard's partial sums, as sent repeatedly to one cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartialStream {
    cell: Cell,
    page: u8,
}

/// The keys of the page that was last sent for a stream, and its receiver. While both stay the same, the keys
/// need not be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentLayout {
    to: SocketAddr,
    /// The [`layout_hash`] of the keys.
    hash: u32,
}

/// A page of partial sums, which is the same for each receiving cell.
struct PartialPage {
    rows: Vec<KeyRow>,
    /// The amounts of the rows, in the same order, as [`pack_amount`] encodes them.
    amounts: Vec<u16>,
}

/// One round of partial sums of a shard.
struct PartialRound {
    now: Duration,
    shard: usize,
    /// The split of this process's own zone; see [`Page::split`].
    split: u8,
    pages: Vec<PartialPage>,
}

/// What this process stores and has sent of one shard.
#[derive(Clone, Debug, Default)]
struct OwnedShard {
    /// The contributions of the members of this process's own cell.
    contributions: BTreeMap<SocketAddr, ReceivedPages>,
    /// The partial sums of the other cells.
    partials: BTreeMap<Cell, ReceivedPages>,
    /// When expired pages were last looked for.
    last_expiry_at: Option<Duration>,
    /// When the next round of partial sums is due; `None` while no round is scheduled.
    next_partials_at: Option<Duration>,
    /// How many more rounds tell the other cells that no keys are left.
    empty_rounds_left: u8,
    sent_layouts: BTreeMap<PartialStream, SentLayout>,
}

/// The shards that this process stores and sums as an owner.
#[derive(Debug)]
pub(super) struct Owner {
    /// All shards, by number; those that this process does not own are empty as a rule.
    shards: Vec<OwnedShard>,
}

impl Owner {
    pub(super) fn new() -> Self {
        Owner { shards: vec![OwnedShard::default(); SHARDS] }
    }

    /// Returns whether a round of partial sums of a shard is due.
    pub(super) fn is_due(&self, now: Duration, shard: usize) -> bool {
        self.shards[shard].next_partials_at.is_some_and(|at| at <= now)
    }

    /// Returns when the next round of partial sums is due, for each shard that has one scheduled.
    pub(super) fn next_partials_at(&self) -> impl Iterator<Item = Duration> + '_ {
        self.shards.iter().filter_map(|shard| shard.next_partials_at)
    }

    /// Handles a change of members: drops the contributions of processes that are not members of this cell
    /// any more, and the partial sums of cells that are gone. The partial sums of a zone whose split has
    /// changed are dropped too, so that no member is counted in both an old and a new cell.
    pub(super) fn retain_current_members(
        &mut self,
        placement: &Placement,
        resplit_zones: &BTreeSet<Locality>,
    ) {
        for shard in &mut self.shards {
            shard
                .contributions
                .retain(|address, pages| placement.is_in_own_cell(*address, pages.sender().incarnation));
            shard.partials.retain(|cell, _| {
                cell != placement.own_cell()
                    && placement.has_cell(cell)
                    && !resplit_zones.contains(cell.locality())
            });
            shard.sent_layouts.retain(|stream, _| placement.has_cell(&stream.cell));
        }
    }

    /// Stores a contribution of a member, and answers with the totals of its keys.
    pub(super) fn receive_contribution(
        &mut self,
        now: Duration,
        from: SenderId,
        page: Page,
        placement: &Placement,
        transmitter: &mut Transmitter,
        out: &mut Vec<Envelope>,
    ) {
        let to = from.address;
        let (shard, number, sequence) = (page.shard, page.page, page.sequence);
        let Some(owned) = self.shard_of_page(&page) else { return };
        match owned.accept_contribution(now, from, page) {
            PageOutcome::Accepted => {}
            PageOutcome::Ignored => return,
            PageOutcome::LayoutUnknown => {
                let answer = Message::LayoutUnknown { kind: PageKind::Contribution, shard, page: number };
                if transmitter.try_answer(now, &answer) {
                    out.push(Envelope { to, message: answer });
                }
                return;
            }
        }
        owned.schedule_partials(now, transmitter);
        let Some(totals) = owned.totals_if_due(now, to, number) else { return };
        let missing_cells = owned.missing_cells(placement);
        let age_ticks = owned.age_ticks(now);
        let page = TotalsPage { shard, page: number, sequence, age_ticks, missing_cells, totals };
        let answer = Message::Totals(page);
        // An answer to this process itself is not sent as a datagram, so the byte limit does not apply.
        if to == placement.own().address || transmitter.try_answer(now, &answer) {
            out.push(Envelope { to, message: answer });
        }
    }

    /// Stores a page of partial sums of another cell, which replaces the earlier page.
    pub(super) fn receive_partial(
        &mut self,
        now: Duration,
        from: SenderId,
        cell: Cell,
        page: Page,
        transmitter: &mut Transmitter,
        out: &mut Vec<Envelope>,
    ) {
        let (shard, number) = (page.shard, page.page);
        let Some(owned) = self.shard_of_page(&page) else { return };
        match owned.accept_partial(now, from, cell, page) {
            PageOutcome::Accepted => owned.schedule_partials(now, transmitter),
            PageOutcome::Ignored => {}
            PageOutcome::LayoutUnknown => {
                let answer = Message::LayoutUnknown { kind: PageKind::Partial, shard, page: number };
                if transmitter.try_answer(now, &answer) {
                    out.push(Envelope { to: from.address, message: answer });
                }
            }
        }
    }

    /// Returns the shard of a page, or `None` if the number of the shard or the page is out of range.
    fn shard_of_page(&mut self, page: &Page) -> Option<&mut OwnedShard> {
        let in_bounds = usize::from(page.page) < MAX_PAGES;
        self.shards.get_mut(usize::from(page.shard)).filter(|_| in_bounds)
    }

    /// Handles an answer that a receiver does not know the keys of a page: the page is sent with all its keys
    /// the next time.
    pub(super) fn forget_sent_layout(&mut self, receiver: SocketAddr, cell: Cell, shard: u8, page: u8) {
        let Some(owned) = self.shards.get_mut(usize::from(shard)) else { return };
        let stream = PartialStream { cell, page };
        if owned.sent_layouts.get(&stream).is_some_and(|sent| sent.to == receiver) {
            owned.sent_layouts.remove(&stream);
        }
    }

    /// Sends this cell's partial sums of a shard to the owners in the other cells.
    pub(super) fn send_partials(
        &mut self,
        now: Duration,
        shard: usize,
        placement: &Placement,
        transmitter: &mut Transmitter,
        out: &mut Vec<Envelope>,
    ) {
        let owned = &mut self.shards[shard];
        owned.expire(now);
        let sums = owned.own_cell_sums();
        // Cells that have keys get a page even if it is empty, so that they do not count this cell as
        // missing.
        let cells_with_keys = owned.cells_with_keys();
        let to_all = !sums.is_empty() || owned.empty_rounds_left > 0;
        if !to_all && cells_with_keys.is_empty() {
            owned.sent_layouts.clear();
            owned.next_partials_at = None;
            return;
        }
        owned.empty_rounds_left =
            if sums.is_empty() { owned.empty_rounds_left.saturating_sub(1) } else { EMPTY_ROUNDS };
        owned.next_partials_at = Some(now + PARTIAL_INTERVAL + transmitter.jitter());
        let round = PartialRound { now, shard, split: placement.own_split(), pages: partial_pages(sums) };
        for cell in placement.other_cells().filter(|cell| to_all || cells_with_keys.contains(cell)) {
            if let Some(to) = placement.owner(cell, shard) {
                owned.send_round(&round, cell, to, transmitter, out);
            }
        }
    }
}

impl OwnedShard {
    fn accept_contribution(&mut self, now: Duration, from: SenderId, page: Page) -> PageOutcome {
        let capacity = self.expire(now);
        let mut stored = self.contributions.remove(&from.address);
        let outcome = accept_page(&mut stored, now, from, page, capacity);
        if let Some(stored) = stored {
            self.contributions.insert(from.address, stored);
        }
        outcome
    }

    fn accept_partial(&mut self, now: Duration, from: SenderId, cell: Cell, page: Page) -> PageOutcome {
        let capacity = self.expire(now);
        let mut stored = self.partials.remove(&cell);
        let outcome = accept_page(&mut stored, now, from, page, capacity);
        if let Some(stored) = stored {
            self.partials.insert(cell, stored);
        }
        outcome
    }

    /// Drops expired pages, at most once per [`EXPIRY_INTERVAL`], and returns how many more keys may be
    /// stored.
    fn expire(&mut self, now: Duration) -> usize {
        if self.last_expiry_at.is_none_or(|at| now.saturating_sub(at) >= EXPIRY_INTERVAL) {
            self.last_expiry_at = Some(now);
            self.contributions.values_mut().for_each(|pages| pages.expire(now, CONTRIBUTION_TTL));
            self.contributions.retain(|_, pages| !pages.is_expired());
            self.partials.values_mut().for_each(|pages| pages.expire(now, PARTIAL_TTL));
            self.partials.retain(|_, pages| !pages.is_expired());
        }
        let stored = self.contributions.values().chain(self.partials.values());
        MAX_STORED_KEYS_PER_SHARD.saturating_sub(stored.map(ReceivedPages::stored_keys).sum())
    }

    /// Schedules a round of partial sums soon, unless one is already scheduled.
    fn schedule_partials(&mut self, now: Duration, transmitter: &mut Transmitter) {
        let soon = now + transmitter.jitter();
        self.next_partials_at.get_or_insert(soon);
    }

    /// Returns the totals of the keys of a member's page, and counts the page as answered. Returns `None` if
    /// the page was answered within [`MIN_ANSWER_GAP`] or is not stored.
    fn totals_if_due(&mut self, now: Duration, member: SocketAddr, page: u8) -> Option<Vec<PackedTotal>> {
        let contribution = self.contributions.get_mut(&member)?;
        let keys = contribution.take_answerable(now, page, MIN_ANSWER_GAP)?;
        Some(keys.iter().map(|key| self.total(key)).collect())
    }

    /// Returns the sum of a key over this cell and all other cells.
    fn total(&self, key: &ShortKey) -> PackedTotal {
        let (mut sum, mut contributors) = (0_u64, 0_u32);
        for contribution in self.contributions.values().filter_map(|pages| pages.amount(key)) {
            sum = sum.saturating_add(contribution.amount);
            contributors = contributors.saturating_add(u32::from(contribution.amount > 0));
        }
        for partial in self.partials.values().filter_map(|pages| pages.amount(key)) {
            sum = sum.saturating_add(partial.amount);
            contributors = contributors.saturating_add(partial.contributors);
        }
        PackedTotal { amount: pack_amount(sum), contributors }
    }

    /// Returns the age of the oldest partial in units of [`AGE_TICK`], rounded up and at most 255; see
    /// [`TotalsPage::age_ticks`].
    fn age_ticks(&self, now: Duration) -> u8 {
        let oldest = self.partials.values().map(ReceivedPages::oldest_received_at).min().unwrap_or(now);
        let ticks = now.saturating_sub(oldest).as_millis().div_ceil(AGE_TICK.as_millis());
        ticks.min(u128::from(u8::MAX)) as u8
    }

    /// Returns the number of other cells of which no partial is stored.
    fn missing_cells(&self, placement: &Placement) -> u16 {
        let missing = placement.other_cells().count().saturating_sub(self.partials.len());
        missing.min(usize::from(u16::MAX)) as u16
    }

    /// Returns the sums over this cell, without keys whose amounts are all 0.
    fn own_cell_sums(&self) -> BTreeMap<ShortKey, SummedAmount> {
        let mut sums: BTreeMap<ShortKey, SummedAmount> = BTreeMap::new();
        for contribution in self.contributions.values() {
            for key in contribution.keys() {
                let Some(summed) = contribution.amount(&key).filter(|summed| summed.amount > 0) else {
                    continue;
                };
                let sum = sums.entry(key).or_default();
                sum.amount = sum.amount.saturating_add(summed.amount);
                sum.contributors = sum.contributors.saturating_add(1);
            }
        }
        sums
    }

    /// Returns the other cells that have keys in this shard.
    fn cells_with_keys(&self) -> BTreeSet<Cell> {
        let with_keys = self.partials.iter().filter(|(_, pages)| !pages.has_no_keys());
        with_keys.map(|(cell, _)| cell.clone()).collect()
    }

    /// Sends the pages of a round to the owner in one cell, leaving out those that the byte limit does not
    /// allow.
    fn send_round(
        &mut self,
        round: &PartialRound,
        cell: &Cell,
        to: SocketAddr,
        transmitter: &mut Transmitter,
        out: &mut Vec<Envelope>,
    ) {
        for (number, partial) in round.pages.iter().enumerate() {
            let stream = PartialStream { cell: cell.clone(), page: number as u8 };
            let sent = SentLayout { to, hash: layout_hash(&partial.rows) };
            let is_known = self.sent_layouts.get(&stream) == Some(&sent);
            let page = Page {
                shard: round.shard as u8,
                page: number as u8,
                page_count: round.pages.len() as u8,
                split: round.split,
                sequence: transmitter.next_sequence(),
                layout: if is_known {
                    Layout::Unchanged(sent.hash)
                } else {
                    Layout::Full(partial.rows.clone())
                },
                amounts: partial.amounts.clone(),
            };
            let message = Message::Partial(page);
            if transmitter.try_send_to_owner(round.now, &message) {
                self.sent_layouts.insert(stream, sent);
                out.push(Envelope { to, message });
            }
        }
    }
}

/// Divides sums into at most [`MAX_PAGES`] pages, and leaves out the keys that do not fit. Returns one empty
/// page if there are no sums.
fn partial_pages(sums: BTreeMap<ShortKey, SummedAmount>) -> Vec<PartialPage> {
    let sums: Vec<(ShortKey, SummedAmount)> = sums.into_iter().take(MAX_PAGES * MAX_PAGE_KEYS).collect();
    if sums.is_empty() {
        return vec![PartialPage { rows: Vec::new(), amounts: Vec::new() }];
    }
    let row = |key, summed: SummedAmount| KeyRow {
        key,
        contributors: summed.contributors.min(u32::from(u16::MAX)) as u16,
    };
    let pages = sums.chunks(MAX_PAGE_KEYS).map(|page| PartialPage {
        rows: page.iter().map(|(key, summed)| row(*key, *summed)).collect(),
        amounts: page.iter().map(|(_, summed)| pack_amount(summed.amount)).collect(),
    });
    pages.collect()
}
