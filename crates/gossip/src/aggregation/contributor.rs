//! The contributor: sends this process's amounts to the owners in its cell, and stores the totals that they
//! answer.
//!
//! Amounts change all the time, and most changes are too small to be worth a message. Contributions are
//! therefore sent less often while the owners answer and no amount changes much.

use super::amount::{pack_amount, unpack_amount};
use super::placement::Placement;
use super::transmitter::Transmitter;
use super::wire::{
    layout_hash, shard_of, short_key, Key, KeyRow, Layout, Message, PackedTotal, Page, ShortKey, TotalsPage,
    AGE_TICK, MAX_PAGES, MAX_PAGE_KEYS, SHARDS,
};
use super::Total;
use std::cmp::Reverse;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;

/// The most keys that a process contributes. Of more keys, those with the greatest amounts are contributed.
pub const MAX_OWN_KEYS: usize = 4096;
/// How long a total is used after its oldest partial was received.
pub const TOTAL_TTL: Duration = Duration::from_secs(4);

/// The time between two contributions, without jitter, while amounts change or answers are missing.
const BUSY_INTERVAL: Duration = Duration::from_millis(900);
/// The time between two contributions, without jitter, while no amount changes much.
const QUIET_INTERVAL: Duration = Duration::from_millis(1450);
/// The time after which an unanswered contribution is retried, without jitter. It is short because the owner
/// is nearby, in the same cell.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// The most retries at [`RETRY_INTERVAL`]; the next attempt follows after [`BUSY_INTERVAL`].
const MAX_RETRIES: u8 = 2;
/// The delay before keys that the owner does not know are sent in full.
const FULL_LAYOUT_DELAY: Duration = Duration::from_millis(20);
/// A total whose oldest partial is older than this is requested again after [`BUSY_INTERVAL`].
const MAX_QUIET_AGE: Duration = Duration::from_millis(1200);
/// A change of at most 1/16 of an amount, or of the mean contribution to its key, waits for
/// [`QUIET_INTERVAL`].
const NEGLIGIBLE_CHANGE_DIVISOR: u64 = 16;
/// The most contributions of a page that are remembered, so that answers to them can be matched.
const MAX_REMEMBERED_CONTRIBUTIONS: usize = 4;
/// The most rounds that tell the owner that no keys are left in a shard, if it does not answer.
const MAX_EMPTY_ROUNDS: u8 = 3;

#[derive(Clone, Copy, Debug)]
struct OwnAmount {
    key: Key,
    /// In thousandths of a unit.
    amount: u64,
}

#[derive(Clone, Copy, Debug)]
struct KnownTotal {
    others: u64,
    contributors: u32,
    oldest_at: Duration,
    missing_cells: u32,
}

impl KnownTotal {
    fn total_at(&self, now: Duration) -> Option<Total> {
        let age = now.saturating_sub(self.oldest_at);
        let KnownTotal { others, contributors, missing_cells, .. } = *self;
        (age <= TOTAL_TTL).then_some(Total { others, contributors, age, missing_cells })
    }
}

/// A contribution of a page that was sent. Its amounts are subtracted from the totals that answer it.
#[derive(Clone, Debug)]
struct SentContribution {
    sequence: u32,
    sent_at: Duration,
    amounts: Vec<u16>,
}

/// The state of one page of contributions.
#[derive(Clone, Debug)]
struct ContributedPage {
    owner: SocketAddr,
    keys: Vec<ShortKey>,
    needs_full_layout: bool,
    sent: VecDeque<SentContribution>,
    is_answered: bool,
}

impl ContributedPage {
    fn new(owner: SocketAddr, keys: Vec<ShortKey>) -> Self {
        ContributedPage { owner, keys, needs_full_layout: true, sent: VecDeque::new(), is_answered: false }
    }

    fn last_amounts(&self) -> Option<&Vec<u16>> {
        self.sent.back().map(|contribution| &contribution.amounts)
    }

    /// Returns the keys in full, or a hash of the keys if the owner already has them.
    fn layout(&self, in_full: bool) -> Layout {
        let rows: Vec<KeyRow> = self.keys.iter().map(|key| KeyRow { key: *key, contributors: 1 }).collect();
        if in_full {
            Layout::Full(rows)
        } else {
            Layout::Unchanged(layout_hash(&rows))
        }
    }

    fn remember(&mut self, contribution: SentContribution) {
        self.needs_full_layout = false;
        self.is_answered = false;
        self.sent.push_back(contribution);
        if self.sent.len() > MAX_REMEMBERED_CONTRIBUTIONS {
            self.sent.pop_front();
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ContributedShard {
    next_contribution_at: Option<Duration>,
    /// When the last round of contributions began, not counting retries.
    last_round_at: Option<Duration>,
    retries: u8,
    empty_rounds: u8,
    pages: BTreeMap<u8, ContributedPage>,
}

impl ContributedShard {
    fn contribute_by(&mut self, at: Duration) {
        self.next_contribution_at = Some(self.next_contribution_at.map_or(at, |next| next.min(at)));
    }

    fn contributed_pages(&self) -> usize {
        self.pages.values().filter(|page| !page.keys.is_empty()).count()
    }

    /// Returns whether the owner has to be told once more that no keys are left.
    fn needs_empty_round(&self) -> bool {
        let is_pending = self.pages.values().any(|page| !page.keys.is_empty() || !page.is_answered);
        is_pending && self.empty_rounds < MAX_EMPTY_ROUNDS
    }

    fn stop(&mut self) {
        self.pages.clear();
        self.next_contribution_at = None;
    }

    /// Schedules the next round for the case that no answer arrives, and returns whether the present round is
    /// a retry.
    fn begin_round(&mut self, now: Duration, owner_is_self: bool, transmitter: &mut Transmitter) -> bool {
        let is_retry = self.retries > 0;
        if !is_retry {
            self.last_round_at = Some(now);
        }
        let retry_soon = self.retries < MAX_RETRIES && !owner_is_self;
        self.retries = if retry_soon { self.retries + 1 } else { 0 };
        let interval = if retry_soon { RETRY_INTERVAL } else { BUSY_INTERVAL };
        self.next_contribution_at = Some(now + interval + transmitter.jitter());
        is_retry
    }
}

/// One round of contributions to a shard.
struct ContributionRound {
    now: Duration,
    shard: usize,
    owner: SocketAddr,
    split: u8,
    page_count: usize,
    is_retry: bool,
}

/// This process's amounts, what was contributed of them, and the known totals.
#[derive(Debug)]
pub(super) struct Contributor {
    own_address: SocketAddr,
    amounts: BTreeMap<ShortKey, OwnAmount>,
    totals: BTreeMap<ShortKey, KnownTotal>,
    shards: Vec<ContributedShard>,
}

impl Contributor {
    pub(super) fn new(own_address: SocketAddr) -> Self {
        Contributor {
            own_address,
            amounts: BTreeMap::new(),
            totals: BTreeMap::new(),
            shards: vec![ContributedShard::default(); SHARDS],
        }
    }

    pub(super) fn is_due(&self, now: Duration, shard: usize) -> bool {
        self.shards[shard].next_contribution_at.is_some_and(|at| at <= now)
    }

    /// Returns when each shard that has contributions is due.
    pub(super) fn next_contribution_at(&self) -> impl Iterator<Item = Duration> + '_ {
        self.shards.iter().filter_map(|shard| shard.next_contribution_at)
    }

    /// Replaces this process's amounts. Shards that changed are sent as soon as [`BUSY_INTERVAL`] allows.
    pub(super) fn set_amounts(
        &mut self,
        now: Duration,
        mut amounts: Vec<(Key, u64)>,
        transmitter: &mut Transmitter,
    ) {
        if amounts.len() > MAX_OWN_KEYS {
            amounts.sort_unstable_by_key(|(key, amount)| (Reverse(*amount), *key));
            amounts.truncate(MAX_OWN_KEYS);
        }
        let amounts = amounts.into_iter();
        self.amounts = amounts.map(|(key, amount)| (short_key(key), OwnAmount { key, amount })).collect();
        self.totals.retain(|key, _| self.amounts.contains_key(key));
        for number in 0..SHARDS {
            if self.has_changed(number) {
                let shard = &mut self.shards[number];
                shard.empty_rounds = 0;
                let first = now + transmitter.jitter();
                shard.contribute_by(shard.last_round_at.map_or(first, |last| now.max(last + BUSY_INTERVAL)));
            }
        }
    }

    /// Handles a change of members: shards whose owner has changed are sent to the new owner soon.
    pub(super) fn handle_owner_changes(
        &mut self,
        now: Duration,
        placement: &Placement,
        transmitter: &mut Transmitter,
    ) {
        for (number, shard) in self.shards.iter_mut().enumerate() {
            let owner = placement.own_cell_owner(number);
            if shard.pages.values().any(|page| Some(page.owner) != owner) {
                shard.contribute_by(now + transmitter.jitter());
            }
        }
    }

    /// Returns the contributions to a shard that have to be sent to its owner now, one for each page. `split`
    /// is the split of this process's own zone.
    pub(super) fn contribute(
        &mut self,
        now: Duration,
        shard: usize,
        owner: SocketAddr,
        split: u8,
        transmitter: &mut Transmitter,
    ) -> Vec<Message> {
        let mut pages = self.own_pages(shard);
        let contributed = &mut self.shards[shard];
        if pages.is_empty() {
            if !contributed.needs_empty_round() {
                contributed.stop();
                return Vec::new();
            }
            contributed.empty_rounds += 1;
            pages.push(Vec::new());
        }
        let page_count = pages.len();
        contributed.pages.retain(|page, _| usize::from(*page) < page_count);
        let is_retry = contributed.begin_round(now, owner == self.own_address, transmitter);
        let round = ContributionRound { now, shard, owner, split, page_count, is_retry };
        let pages = pages.into_iter().enumerate();
        pages
            .filter_map(|(number, amounts)| self.contribute_page(&round, number as u8, &amounts, transmitter))
            .collect()
    }

    /// Returns the contribution of one page, or `None` if the page is answered already or the limiter does
    /// not allow it.
    fn contribute_page(
        &mut self,
        round: &ContributionRound,
        number: u8,
        own: &[(ShortKey, u64)],
        transmitter: &mut Transmitter,
    ) -> Option<Message> {
        let sequence = transmitter.next_sequence();
        let keys: Vec<ShortKey> = own.iter().map(|(key, _)| *key).collect();
        let amounts: Vec<u16> = own.iter().map(|(_, amount)| pack_amount(*amount)).collect();
        let fresh = ContributedPage::new(round.owner, keys);
        let pages = &mut self.shards[round.shard].pages;
        let contributed = pages.entry(number).or_insert_with(|| fresh.clone());
        if contributed.owner != fresh.owner || contributed.keys != fresh.keys {
            *contributed = fresh;
        }
        if round.is_retry && contributed.is_answered {
            return None;
        }
        let is_remote = round.owner != self.own_address;
        let contribution = Message::Contribution(Page {
            shard: round.shard as u8,
            page: number,
            page_count: round.page_count as u8,
            split: round.split,
            sequence,
            layout: contributed.layout(contributed.needs_full_layout || !is_remote),
            amounts: amounts.clone(),
        });
        if is_remote && !transmitter.try_send_to_owner(round.now, &contribution) {
            return None;
        }
        contributed.remember(SentContribution { sequence, sent_at: round.now, amounts });
        Some(contribution)
    }

    /// Handles the owner's answer to a contribution. An answer to a contribution that is not remembered is
    /// ignored.
    pub(super) fn receive_totals(
        &mut self,
        from: SocketAddr,
        answer: &TotalsPage,
        transmitter: &mut Transmitter,
    ) {
        let number = usize::from(answer.shard);
        let Some(shard) = self.shards.get_mut(number) else { return };
        let Some(page) = shard.pages.get_mut(&answer.page).filter(|page| page.owner == from) else { return };
        let contributions = &page.sent;
        let Some(index) =
            contributions.iter().position(|contribution| contribution.sequence == answer.sequence)
        else {
            return;
        };
        if answer.totals.len() != page.keys.len() {
            return;
        }
        let is_latest = index + 1 == contributions.len();
        let age = AGE_TICK * u32::from(answer.age_ticks);
        let totals = totals_of_others(page, &contributions[index], answer, age);
        page.sent.drain(..index);
        let is_first_answer = is_latest && !page.is_answered;
        page.is_answered |= is_latest;
        let wanted = totals.into_iter().filter(|(key, _)| self.amounts.contains_key(key));
        self.totals.extend(wanted);
        if is_first_answer {
            self.schedule_next(number, age <= MAX_QUIET_AGE, transmitter);
        }
    }

    /// Postpones the next round of a shard whose pages are all answered, and for longer if the amounts have
    /// not changed.
    fn schedule_next(&mut self, number: usize, is_fresh: bool, transmitter: &mut Transmitter) {
        let shard = &self.shards[number];
        let is_answered = shard.pages.values().all(|page| page.is_answered);
        if !is_answered || shard.pages.values().any(|page| page.owner == self.own_address) {
            return;
        }
        let is_quiet = is_fresh && !self.has_changed(number);
        let interval = if is_quiet { QUIET_INTERVAL } else { BUSY_INTERVAL } + transmitter.jitter();
        let shard = &mut self.shards[number];
        let is_done = is_quiet && shard.pages.values().all(|page| page.keys.is_empty());
        shard.retries = 0;
        shard.next_contribution_at = shard.last_round_at.filter(|_| !is_done).map(|last| last + interval);
    }

    /// Handles an answer that the owner does not know the keys of a page: the page is soon sent again with
    /// all keys.
    pub(super) fn send_full_layout(&mut self, now: Duration, owner: SocketAddr, shard: u8, page: u8) {
        let Some(shard) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(page) = shard.pages.get_mut(&page) else { return };
        if page.owner == owner && !page.needs_full_layout {
            page.needs_full_layout = true;
            shard.next_contribution_at = shard.next_contribution_at.map(|at| at.min(now + FULL_LAYOUT_DELAY));
        }
    }

    /// Returns the total of a key, if it is known and not older than [`TOTAL_TTL`].
    pub(super) fn total(&self, now: Duration, key: Key) -> Option<Total> {
        self.totals.get(&short_key(key))?.total_at(now)
    }

    pub(super) fn totals(&self, now: Duration) -> impl Iterator<Item = (Key, Total)> + '_ {
        self.totals
            .iter()
            .filter_map(move |(key, known)| Some((self.amounts.get(key)?.key, known.total_at(now)?)))
    }

    /// Returns this process's keys and amounts of a shard, in ascending order, divided into pages.
    fn own_pages(&self, shard: usize) -> Vec<Vec<(ShortKey, u64)>> {
        let own = self.amounts.iter().filter(|(key, _)| shard_of(**key) == shard);
        let own = own.map(|(key, own)| (*key, own.amount)).take(MAX_PAGES * MAX_PAGE_KEYS);
        own.collect::<Vec<_>>().chunks(MAX_PAGE_KEYS).map(<[_]>::to_vec).collect()
    }

    /// Returns whether the amounts of a shard differ from the contributed ones by more than a negligible
    /// change.
    fn has_changed(&self, number: usize) -> bool {
        let shard = &self.shards[number];
        let own = self.own_pages(number);
        own.len() != shard.contributed_pages()
            || own
                .iter()
                .zip(shard.pages.values())
                .any(|(own, contributed)| self.page_changed(own, contributed))
    }

    fn page_changed(&self, own: &[(ShortKey, u64)], contributed: &ContributedPage) -> bool {
        let Some(amounts) = contributed.last_amounts().filter(|amounts| amounts.len() == own.len()) else {
            return true;
        };
        let contributed = contributed.keys.iter().zip(amounts);
        own.iter().zip(contributed).any(|((key, amount), (contributed_key, contributed_amount))| {
            key != contributed_key || self.amount_changed(key, *amount, unpack_amount(*contributed_amount))
        })
    }

    fn amount_changed(&self, key: &ShortKey, amount: u64, contributed: u64) -> bool {
        let total = self.totals.get(key);
        let mean = total.map_or(0, |total| total.others / u64::from(total.contributors.max(1)));
        let negligible = contributed.max(mean) / NEGLIGIBLE_CHANGE_DIVISOR;
        unpack_amount(pack_amount(amount)).abs_diff(contributed) > negligible
    }
}

/// Returns the totals of an answer without this process's own amounts.
fn totals_of_others(
    page: &ContributedPage,
    contribution: &SentContribution,
    answer: &TotalsPage,
    age: Duration,
) -> Vec<(ShortKey, KnownTotal)> {
    // The age counts from when the contribution was sent, so that a delayed answer does not make the total
    // look younger.
    let oldest_at = contribution.sent_at.saturating_sub(age);
    let missing_cells = u32::from(answer.missing_cells);
    let totals = page.keys.iter().zip(&contribution.amounts).zip(&answer.totals);
    let totals = totals.map(|((key, own), PackedTotal { amount, contributors })| {
        let others = unpack_amount(*amount).saturating_sub(unpack_amount(*own));
        (*key, KnownTotal { others, contributors: *contributors, oldest_at, missing_cells })
    });
    totals.collect()
}
