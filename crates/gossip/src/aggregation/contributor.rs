//! The member's side: reports of the own amounts to the owners of the own cell, and the totals that come back.
//!
//! Amounts change all the time, and most changes are small. Reporting each would cost more than it tells: while answers
//! come and nothing changes much, reports are rarer.

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

/// Keys that a process reports; of more, those of the greatest amounts.
pub const MAX_OWN_KEYS: usize = 4096;
/// How long a total counts after its oldest partial came.
pub const TOTAL_TTL: Duration = Duration::from_secs(4);

/// Between two reports while amounts change or no answer came, jitter aside.
const BUSY_INTERVAL: Duration = Duration::from_millis(900);
/// Between two reports while nothing changes much.
const QUIET_INTERVAL: Duration = Duration::from_millis(1450);
/// Between a report that is not answered and its retry. An owner is near.
const RETRY_INTERVAL: Duration = Duration::from_millis(300);
/// Retries that follow each other so closely.
const MAX_RETRIES: u8 = 2;
/// How soon keys that the owner does not know are sent in full.
const FULL_LAYOUT_DELAY: Duration = Duration::from_millis(20);
/// A total whose oldest partial is older than this is asked for again after the busy interval.
const MAX_QUIET_AGE: Duration = Duration::from_millis(1200);
/// A change by less than this part of an amount, or of the mean contribution, waits for the quiet interval.
const NEGLIGIBLE_FRACTION: u64 = 16;
/// Reports of a page that answers are expected to.
const MAX_UNANSWERED_REPORTS: usize = 4;
/// Reports that nothing is left, if nobody answers.
const MAX_EMPTY_REPORTS: u8 = 3;

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
    fn at(&self, now: Duration) -> Option<Total> {
        let age = now.saturating_sub(self.oldest_at);
        let KnownTotal { others, contributors, missing_cells, .. } = *self;
        (age <= TOTAL_TTL).then_some(Total { others, contributors, age, missing_cells })
    }
}

/// A report of a page: the own amounts in it are taken off the totals that answer it.
#[derive(Clone, Debug)]
struct SentReport {
    sequence: u32,
    sent_at: Duration,
    amounts: Vec<u16>,
}

/// What was reported of one page.
#[derive(Clone, Debug)]
struct ReportedPage {
    owner: SocketAddr,
    keys: Vec<ShortKey>,
    needs_full_layout: bool,
    reports: VecDeque<SentReport>,
    is_answered: bool,
}

impl ReportedPage {
    fn new(owner: SocketAddr, keys: Vec<ShortKey>) -> Self {
        ReportedPage { owner, keys, needs_full_layout: true, reports: VecDeque::new(), is_answered: false }
    }

    fn last_amounts(&self) -> Option<&Vec<u16>> {
        self.reports.back().map(|report| &report.amounts)
    }

    /// The keys in full, or their hash where the owner has them.
    fn layout(&self, in_full: bool) -> Layout {
        let rows: Vec<KeyRow> = self.keys.iter().map(|key| KeyRow { key: *key, contributors: 1 }).collect();
        if in_full {
            Layout::Full(rows)
        } else {
            Layout::Unchanged(layout_hash(&rows))
        }
    }

    fn sent(&mut self, report: SentReport) {
        self.needs_full_layout = false;
        self.is_answered = false;
        self.reports.push_back(report);
        if self.reports.len() > MAX_UNANSWERED_REPORTS {
            self.reports.pop_front();
        }
    }
}

#[derive(Clone, Debug, Default)]
struct ReportedShard {
    next_report_at: Option<Duration>,
    /// When the last round of reports began, retries aside.
    last_report_at: Option<Duration>,
    retries: u8,
    empty_reports: u8,
    pages: BTreeMap<u8, ReportedPage>,
}

impl ReportedShard {
    fn report_by(&mut self, at: Duration) {
        self.next_report_at = Some(self.next_report_at.map_or(at, |next| next.min(at)));
    }

    fn reported_pages(&self) -> usize {
        self.pages.values().filter(|page| !page.keys.is_empty()).count()
    }

    /// Whether the owner is to be told once more that nothing is left.
    fn needs_empty_report(&self) -> bool {
        let is_pending = self.pages.values().any(|page| !page.keys.is_empty() || !page.is_answered);
        is_pending && self.empty_reports < MAX_EMPTY_REPORTS
    }

    fn end(&mut self) {
        self.pages.clear();
        self.next_report_at = None;
    }

    /// Sets when the shard is reported next if no answer comes. Whether this is a retry.
    fn begin_round(&mut self, now: Duration, owner_is_self: bool, transmitter: &mut Transmitter) -> bool {
        let is_retry = self.retries > 0;
        if !is_retry {
            self.last_report_at = Some(now);
        }
        let retry_soon = self.retries < MAX_RETRIES && !owner_is_self;
        self.retries = if retry_soon { self.retries + 1 } else { 0 };
        let interval = if retry_soon { RETRY_INTERVAL } else { BUSY_INTERVAL };
        self.next_report_at = Some(now + interval + transmitter.jitter());
        is_retry
    }
}

/// One round of a shard's reports.
struct ReportRound {
    now: Duration,
    shard: usize,
    owner: SocketAddr,
    split: u8,
    page_count: usize,
    is_retry: bool,
}

/// The own amounts, what was reported of them, and the totals that are known.
#[derive(Debug)]
pub(super) struct Contributor {
    own_address: SocketAddr,
    amounts: BTreeMap<ShortKey, OwnAmount>,
    totals: BTreeMap<ShortKey, KnownTotal>,
    shards: Vec<ReportedShard>,
}

impl Contributor {
    pub(super) fn new(own_address: SocketAddr) -> Self {
        Contributor {
            own_address,
            amounts: BTreeMap::new(),
            totals: BTreeMap::new(),
            shards: vec![ReportedShard::default(); SHARDS],
        }
    }

    pub(super) fn is_due(&self, now: Duration, shard: usize) -> bool {
        self.shards[shard].next_report_at.is_some_and(|at| at <= now)
    }

    /// When reports are due, of each shard that has any.
    pub(super) fn next_report_at(&self) -> impl Iterator<Item = Duration> + '_ {
        self.shards.iter().filter_map(|shard| shard.next_report_at)
    }

    /// Replaces the own amounts; what changed is reported as soon as the busy interval allows.
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
                shard.empty_reports = 0;
                let first = now + transmitter.jitter();
                shard.report_by(shard.last_report_at.map_or(first, |last| now.max(last + BUSY_INTERVAL)));
            }
        }
    }

    /// After a change of members: a shard whose owner is another one is reported to it soon.
    pub(super) fn follow_owners(
        &mut self,
        now: Duration,
        placement: &Placement,
        transmitter: &mut Transmitter,
    ) {
        for (number, shard) in self.shards.iter_mut().enumerate() {
            let owner = placement.own_cell_owner(number);
            if shard.pages.values().any(|page| Some(page.owner) != owner) {
                shard.report_by(now + transmitter.jitter());
            }
        }
    }

    /// A shard's reports that go to its owner now, one for each page. `split`: how the own zone is split.
    pub(super) fn report(
        &mut self,
        now: Duration,
        shard: usize,
        owner: SocketAddr,
        split: u8,
        transmitter: &mut Transmitter,
    ) -> Vec<Message> {
        let mut pages = self.own_pages(shard);
        let reported = &mut self.shards[shard];
        if pages.is_empty() {
            if !reported.needs_empty_report() {
                reported.end();
                return Vec::new();
            }
            reported.empty_reports += 1;
            pages.push(Vec::new());
        }
        let page_count = pages.len();
        reported.pages.retain(|page, _| usize::from(*page) < page_count);
        let is_retry = reported.begin_round(now, owner == self.own_address, transmitter);
        let round = ReportRound { now, shard, owner, split, page_count, is_retry };
        let pages = pages.into_iter().enumerate();
        pages
            .filter_map(|(number, amounts)| self.report_page(&round, number as u8, &amounts, transmitter))
            .collect()
    }

    /// One page of a round; `None`: it is answered already, or the limiter does not allow it.
    fn report_page(
        &mut self,
        round: &ReportRound,
        number: u8,
        own: &[(ShortKey, u64)],
        transmitter: &mut Transmitter,
    ) -> Option<Message> {
        let sequence = transmitter.next_sequence();
        let keys: Vec<ShortKey> = own.iter().map(|(key, _)| *key).collect();
        let amounts: Vec<u16> = own.iter().map(|(_, amount)| pack_amount(*amount)).collect();
        let fresh = ReportedPage::new(round.owner, keys);
        let pages = &mut self.shards[round.shard].pages;
        let reported = pages.entry(number).or_insert_with(|| fresh.clone());
        if reported.owner != fresh.owner || reported.keys != fresh.keys {
            *reported = fresh;
        }
        if round.is_retry && reported.is_answered {
            return None;
        }
        let is_remote = round.owner != self.own_address;
        let report = Message::Report(Page {
            shard: round.shard as u8,
            page: number,
            page_count: round.page_count as u8,
            split: round.split,
            sequence,
            layout: reported.layout(reported.needs_full_layout || !is_remote),
            amounts: amounts.clone(),
        });
        if is_remote && !transmitter.try_send_to_owner(round.now, &report) {
            return None;
        }
        reported.sent(SentReport { sequence, sent_at: round.now, amounts });
        Some(report)
    }

    /// Takes the owner's answer to a report.
    pub(super) fn receive_totals(
        &mut self,
        from: SocketAddr,
        answer: &TotalsPage,
        transmitter: &mut Transmitter,
    ) {
        let number = usize::from(answer.shard);
        let Some(shard) = self.shards.get_mut(number) else { return };
        let Some(page) = shard.pages.get_mut(&answer.page).filter(|page| page.owner == from) else { return };
        let reports = &page.reports;
        let Some(index) = reports.iter().position(|report| report.sequence == answer.sequence) else {
            return;
        };
        if answer.totals.len() != page.keys.len() {
            return;
        }
        let is_latest = index + 1 == reports.len();
        let age = AGE_TICK * u32::from(answer.age_ticks);
        let totals = totals_of_others(page, &reports[index], answer, age);
        page.reports.drain(..index);
        let is_first_answer = is_latest && !page.is_answered;
        page.is_answered |= is_latest;
        let wanted = totals.into_iter().filter(|(key, _)| self.amounts.contains_key(key));
        self.totals.extend(wanted);
        if is_first_answer {
            self.schedule_next(number, age <= MAX_QUIET_AGE, transmitter);
        }
    }

    /// Puts off the next report of a shard that is answered, and for longer while it does not change.
    fn schedule_next(&mut self, number: usize, is_young: bool, transmitter: &mut Transmitter) {
        let shard = &self.shards[number];
        let is_answered = shard.pages.values().all(|page| page.is_answered);
        if !is_answered || shard.pages.values().any(|page| page.owner == self.own_address) {
            return;
        }
        let is_quiet = is_young && !self.has_changed(number);
        let interval = if is_quiet { QUIET_INTERVAL } else { BUSY_INTERVAL } + transmitter.jitter();
        let shard = &mut self.shards[number];
        let is_done = is_quiet && shard.pages.values().all(|page| page.keys.is_empty());
        shard.retries = 0;
        shard.next_report_at = shard.last_report_at.filter(|_| !is_done).map(|last| last + interval);
    }

    /// The owner does not know the keys of a page: the next one goes in full, and soon.
    pub(super) fn send_full_layout(&mut self, now: Duration, owner: SocketAddr, shard: u8, page: u8) {
        let Some(shard) = self.shards.get_mut(usize::from(shard)) else { return };
        let Some(page) = shard.pages.get_mut(&page) else { return };
        if page.owner == owner && !page.needs_full_layout {
            page.needs_full_layout = true;
            shard.next_report_at = shard.next_report_at.map(|at| at.min(now + FULL_LAYOUT_DELAY));
        }
    }

    /// The total of a key, if it is known and young enough.
    pub(super) fn total(&self, now: Duration, key: Key) -> Option<Total> {
        self.totals.get(&short_key(key))?.at(now)
    }

    pub(super) fn totals(&self, now: Duration) -> impl Iterator<Item = (Key, Total)> + '_ {
        self.totals.iter().filter_map(move |(key, known)| Some((self.amounts.get(key)?.key, known.at(now)?)))
    }

    /// The own keys and amounts of a shard, in order, page by page.
    fn own_pages(&self, shard: usize) -> Vec<Vec<(ShortKey, u64)>> {
        let own = self.amounts.iter().filter(|(key, _)| shard_of(**key) == shard);
        let own = own.map(|(key, own)| (*key, own.amount)).take(MAX_PAGES * MAX_PAGE_KEYS);
        own.collect::<Vec<_>>().chunks(MAX_PAGE_KEYS).map(<[_]>::to_vec).collect()
    }

    /// Whether a shard's amounts differ from the reported ones by more than is negligible.
    fn has_changed(&self, number: usize) -> bool {
        let shard = &self.shards[number];
        let own = self.own_pages(number);
        own.len() != shard.reported_pages()
            || own.iter().zip(shard.pages.values()).any(|(own, reported)| self.page_changed(own, reported))
    }

    fn page_changed(&self, own: &[(ShortKey, u64)], reported: &ReportedPage) -> bool {
        let Some(amounts) = reported.last_amounts().filter(|amounts| amounts.len() == own.len()) else {
            return true;
        };
        let reported = reported.keys.iter().zip(amounts);
        own.iter().zip(reported).any(|((key, amount), (reported_key, reported_amount))| {
            key != reported_key || self.amount_changed(key, *amount, unpack_amount(*reported_amount))
        })
    }

    fn amount_changed(&self, key: &ShortKey, amount: u64, reported: u64) -> bool {
        let total = self.totals.get(key);
        let mean = total.map_or(0, |total| total.others / u64::from(total.contributors.max(1)));
        let negligible = reported.max(mean) / NEGLIGIBLE_FRACTION;
        unpack_amount(pack_amount(amount)).abs_diff(reported) > negligible
    }
}

/// The totals of an answer without what of this process's own is in them.
fn totals_of_others(
    page: &ReportedPage,
    report: &SentReport,
    answer: &TotalsPage,
    age: Duration,
) -> Vec<(ShortKey, KnownTotal)> {
    // Counted from the report on: an answer that was long on the way is no younger for it.
    let oldest_at = report.sent_at.saturating_sub(age);
    let missing_cells = u32::from(answer.missing_cells);
    let totals = page.keys.iter().zip(&report.amounts).zip(&answer.totals);
    let totals = totals.map(|((key, own), PackedTotal { amount, contributors })| {
        let others = unpack_amount(*amount).saturating_sub(unpack_amount(*own));
        (*key, KnownTotal { others, contributors: *contributors, oldest_at, missing_cells })
    });
    totals.collect()
}
