//! The owner's side: what members of the own cell and owners of other cells have sent, and the sums of it.
//!
//! An owner dies without notice, and messages are lost: so everything that is stored expires, and is sent again by whoever
//! sent it. What is lost makes a sum too small for a while, never too great.

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

/// Amounts that are stored of a shard, of all members and cells; a page past it is not taken.
pub const MAX_STORED_KEYS_PER_SHARD: usize = 8_192;
/// How long a contribution counts after it came.
pub const CONTRIBUTION_TTL: Duration = Duration::from_secs(4);
/// How long a cell's partial sums count after they came.
pub const PARTIAL_TTL: Duration = Duration::from_secs(3);

/// Between two rounds of partial sums, jitter aside.
const PARTIAL_INTERVAL: Duration = Duration::from_millis(800);
/// Between two answers to one member about one page.
const MIN_ANSWER_GAP: Duration = Duration::from_millis(200);
/// How often expired pages are looked for: they may count longer by this.
const EXPIRY_INTERVAL: Duration = Duration::from_millis(50);
/// Rounds that tell the other cells that nothing is left.
const EMPTY_ROUNDS: u8 = 3;

/// The pages of one shard that go to one cell.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PartialStream {
    cell: Cell,
    page: u8,
}

/// The keys that a receiver has of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SentLayout {
    to: SocketAddr,
    hash: u32,
}

/// A page of partial sums, the same for each cell.
struct PartialPage {
    rows: Vec<KeyRow>,
    amounts: Vec<u16>,
}

/// One round of a shard's partial sums.
struct PartialRound {
    now: Duration,
    shard: usize,
    /// How the own zone is split.
    split: u8,
    pages: Vec<PartialPage>,
}

#[derive(Clone, Debug, Default)]
struct OwnedShard {
    /// By member of the own cell.
    contributions: BTreeMap<SocketAddr, ReceivedPages>,
    /// By other cell.
    partials: BTreeMap<Cell, ReceivedPages>,
    expired_at: Option<Duration>,
    next_partials_at: Option<Duration>,
    empty_rounds_left: u8,
    sent_layouts: BTreeMap<PartialStream, SentLayout>,
}

/// What this process stores and sums as an owner of shards.
#[derive(Debug)]
pub(super) struct Owner {
    shards: Vec<OwnedShard>,
}

impl Owner {
    pub(super) fn new() -> Self {
        Owner { shards: vec![OwnedShard::default(); SHARDS] }
    }

    pub(super) fn is_due(&self, now: Duration, shard: usize) -> bool {
        self.shards[shard].next_partials_at.is_some_and(|at| at <= now)
    }

    /// When partial sums are due, of each shard that has any.
    pub(super) fn next_partials_at(&self) -> impl Iterator<Item = Duration> + '_ {
        self.shards.iter().filter_map(|shard| shard.next_partials_at)
    }

    /// After a change of members: drops what came from whom this process takes for a member or cell no more. A zone that
    /// is split in another way begins anew, so that nobody counts in an old cell and in a new one.
    pub(super) fn retain_placed(&mut self, placement: &Placement, resplit: &BTreeSet<Locality>) {
        for shard in &mut self.shards {
            shard
                .contributions
                .retain(|address, pages| placement.is_in_own_cell(*address, pages.sender().incarnation));
            shard.partials.retain(|cell, _| {
                cell != placement.own_cell() && placement.has_cell(cell) && !resplit.contains(cell.locality())
            });
            shard.sent_layouts.retain(|stream, _| placement.has_cell(&stream.cell));
        }
    }

    /// Takes a member's contribution, and answers it with the totals of its keys.
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
        let Some(totals) = owned.take_totals(now, to, number) else { return };
        let missing_cells = owned.missing_cells(placement);
        let age_ticks = owned.age_ticks(now);
        let page = TotalsPage { shard, page: number, sequence, age_ticks, missing_cells, totals };
        let answer = Message::Totals(page);
        if to == placement.own().address || transmitter.try_answer(now, &answer) {
            out.push(Envelope { to, message: answer });
        }
    }

    /// Takes the partial sums of another cell, which replace what came from it before.
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

    /// The shard of a page, if there are such a shard and such a page.
    fn shard_of_page(&mut self, page: &Page) -> Option<&mut OwnedShard> {
        let in_bounds = usize::from(page.page) < MAX_PAGES;
        self.shards.get_mut(usize::from(page.shard)).filter(|_| in_bounds)
    }

    /// A receiver of partial sums does not know their keys: the next page goes in full.
    pub(super) fn forget_sent_layout(&mut self, receiver: SocketAddr, cell: Cell, shard: u8, page: u8) {
        let Some(owned) = self.shards.get_mut(usize::from(shard)) else { return };
        let stream = PartialStream { cell, page };
        if owned.sent_layouts.get(&stream).is_some_and(|sent| sent.to == receiver) {
            owned.sent_layouts.remove(&stream);
        }
    }

    /// Sends the own cell's partial sums of a shard to the owners of the other cells.
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
        // Cells that have keys are answered, so that they know that there is none here.
        let waiting = owned.cells_with_keys();
        let to_all = !sums.is_empty() || owned.empty_rounds_left > 0;
        if !to_all && waiting.is_empty() {
            owned.sent_layouts.clear();
            owned.next_partials_at = None;
            return;
        }
        owned.empty_rounds_left =
            if sums.is_empty() { owned.empty_rounds_left.saturating_sub(1) } else { EMPTY_ROUNDS };
        owned.next_partials_at = Some(now + PARTIAL_INTERVAL + transmitter.jitter());
        let round = PartialRound { now, shard, split: placement.own_split(), pages: partial_pages(sums) };
        for cell in placement.other_cells().filter(|cell| to_all || waiting.contains(cell)) {
            if let Some(to) = placement.owner(cell, shard) {
                owned.send_round(&round, cell, to, transmitter, out);
            }
        }
    }
}

impl OwnedShard {
    fn accept_contribution(&mut self, now: Duration, from: SenderId, page: Page) -> PageOutcome {
        let room = self.expire(now);
        let mut stored = self.contributions.remove(&from.address);
        let outcome = accept_page(&mut stored, now, from, page, room);
        if let Some(stored) = stored {
            self.contributions.insert(from.address, stored);
        }
        outcome
    }

    fn accept_partial(&mut self, now: Duration, from: SenderId, cell: Cell, page: Page) -> PageOutcome {
        let room = self.expire(now);
        let mut stored = self.partials.remove(&cell);
        let outcome = accept_page(&mut stored, now, from, page, room);
        if let Some(stored) = stored {
            self.partials.insert(cell, stored);
        }
        outcome
    }

    /// Drops what has expired; how many more keys may be stored.
    fn expire(&mut self, now: Duration) -> usize {
        if self.expired_at.is_none_or(|at| now.saturating_sub(at) >= EXPIRY_INTERVAL) {
            self.expired_at = Some(now);
            self.contributions.values_mut().for_each(|pages| pages.expire(now, CONTRIBUTION_TTL));
            self.contributions.retain(|_, pages| !pages.is_expired());
            self.partials.values_mut().for_each(|pages| pages.expire(now, PARTIAL_TTL));
            self.partials.retain(|_, pages| !pages.is_expired());
        }
        let stored = self.contributions.values().chain(self.partials.values());
        MAX_STORED_KEYS_PER_SHARD.saturating_sub(stored.map(ReceivedPages::stored_keys).sum())
    }

    /// Something came: a round of partial sums is due soon, if none is due already.
    fn schedule_partials(&mut self, now: Duration, transmitter: &mut Transmitter) {
        let soon = now + transmitter.jitter();
        self.next_partials_at.get_or_insert(soon);
    }

    /// The totals of the keys of a member's page, unless it was answered just now.
    fn take_totals(&mut self, now: Duration, member: SocketAddr, page: u8) -> Option<Vec<PackedTotal>> {
        let contribution = self.contributions.get_mut(&member)?;
        let keys = contribution.take_answerable(now, page, MIN_ANSWER_GAP)?;
        Some(keys.iter().map(|key| self.total(key)).collect())
    }

    /// The sum of a key over the own cell and all others.
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

    /// How old the oldest partial is, see [`TotalsPage::age_ticks`].
    fn age_ticks(&self, now: Duration) -> u8 {
        let oldest = self.partials.values().map(ReceivedPages::oldest).min().unwrap_or(now);
        let ticks = now.saturating_sub(oldest).as_millis().div_ceil(AGE_TICK.as_millis());
        ticks.min(u128::from(u8::MAX)) as u8
    }

    /// Other cells of which no partial is stored.
    fn missing_cells(&self, placement: &Placement) -> u16 {
        let missing = placement.other_cells().count().saturating_sub(self.partials.len());
        missing.min(usize::from(u16::MAX)) as u16
    }

    /// The sums over the own cell.
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

    /// Other cells that have keys in this shard.
    fn cells_with_keys(&self) -> BTreeSet<Cell> {
        let with_keys = self.partials.iter().filter(|(_, pages)| !pages.has_no_keys());
        with_keys.map(|(cell, _)| cell.clone()).collect()
    }

    /// Sends all pages of a round to one cell's owner, as far as the limiter allows.
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

/// Sums as pages; an empty page where there are none.
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
