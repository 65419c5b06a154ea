//! The pages of a shard that one sender has sent. Each page is counted once, even if it arrives late or more
//! than once.

use super::amount::unpack_amount;
use super::wire::{layout_hash, shard_of, KeyRow, Layout, Page, ShortKey, MAX_PAGE_KEYS};
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::Duration;

/// The identity of the process that sent a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct SenderId {
    pub(super) address: SocketAddr,
    pub(super) incarnation: u64,
}

/// The amount of a key, and the number of its contributors.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct SummedAmount {
    /// In thousandths of a unit.
    pub(super) amount: u64,
    pub(super) contributors: u32,
}

/// The result of receiving a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum PageOutcome {
    Accepted,
    /// The page is late, duplicated, malformed or too large.
    Ignored,
    /// The page refers to keys that are not known here.
    LayoutUnknown,
}

#[derive(Clone, Debug)]
struct ReceivedPage {
    sequence: u32,
    received_at: Duration,
    layout_hash: u32,
    rows: Vec<KeyRow>,
    amounts: Vec<u16>,
    answered_at: Option<Duration>,
}

/// The current pages of one sender for one shard.
#[derive(Clone, Debug)]
pub(super) struct ReceivedPages {
    sender: SenderId,
    pages: BTreeMap<u8, ReceivedPage>,
}

impl ReceivedPages {
    pub(super) fn sender(&self) -> SenderId {
        self.sender
    }

    /// Returns the amount of a key, from the latest page that contains it: keys may move between pages.
    pub(super) fn amount(&self, key: &ShortKey) -> Option<SummedAmount> {
        let found = self.pages.values().filter_map(|page| {
            let index = page.rows.binary_search_by_key(key, |row| row.key).ok()?;
            let amount = unpack_amount(page.amounts[index]);
            let contributors = u32::from(page.rows[index].contributors);
            Some((page.sequence, SummedAmount { amount, contributors }))
        });
        found.max().map(|(_, amount)| amount)
    }

    /// Returns all keys, each once.
    pub(super) fn keys(&self) -> BTreeSet<ShortKey> {
        self.pages.values().flat_map(|page| page.rows.iter().map(|row| row.key)).collect()
    }

    /// Returns the number of stored amounts. A key on two pages counts twice.
    pub(super) fn stored_keys(&self) -> usize {
        self.pages.values().map(|page| page.rows.len()).sum()
    }

    /// Returns whether the sender has no keys in this shard.
    pub(super) fn has_no_keys(&self) -> bool {
        self.pages.values().all(|page| page.rows.is_empty())
    }

    /// Returns whether all pages have expired.
    pub(super) fn is_expired(&self) -> bool {
        self.pages.is_empty()
    }

    /// Returns when the oldest page was received.
    pub(super) fn oldest_received_at(&self) -> Duration {
        self.pages.values().map(|page| page.received_at).min().unwrap_or_default()
    }

    pub(super) fn expire(&mut self, now: Duration, ttl: Duration) {
        self.pages.retain(|_, page| now.saturating_sub(page.received_at) < ttl);
    }

    /// Returns the keys of a page that has to be answered now, or `None` if the page is unknown or was
    /// answered within `min_gap`.
    pub(super) fn take_answerable(
        &mut self,
        now: Duration,
        page: u8,
        min_gap: Duration,
    ) -> Option<Vec<ShortKey>> {
        let page = self.pages.get_mut(&page)?;
        if page.answered_at.is_some_and(|at| now.saturating_sub(at) < min_gap) {
            return None;
        }
        page.answered_at = Some(now);
        Some(page.rows.iter().map(|row| row.key).collect())
    }
}

/// Stores a page of a sender in `stored`. A page of another sender, such as a later incarnation or a new
/// owner, replaces everything that is stored. `capacity` is the number of further keys that may be stored.
pub(super) fn accept_page(
    stored: &mut Option<ReceivedPages>,
    now: Duration,
    sender: SenderId,
    page: Page,
    capacity: usize,
) -> PageOutcome {
    let same_sender = stored.as_ref().filter(|stored| stored.sender == sender);
    let is_same_sender = same_sender.is_some();
    let previous = same_sender.and_then(|stored| stored.pages.get(&page.page));
    if previous.is_some_and(|previous| previous.sequence >= page.sequence) {
        return PageOutcome::Ignored;
    }
    let answered_at = previous.and_then(|previous| previous.answered_at);
    let (layout_hash, rows) = match page.layout {
        Layout::Full(rows) => (layout_hash(&rows), rows),
        Layout::Unchanged(hash) => match previous {
            Some(previous) if previous.layout_hash == hash => (hash, previous.rows.clone()),
            _ => return PageOutcome::LayoutUnknown,
        },
    };
    let capacity = capacity + previous.map_or(0, |previous| previous.rows.len());
    if rows.len() != page.amounts.len() || rows.len() > capacity || !is_well_formed(&rows, page.shard) {
        return PageOutcome::Ignored;
    }
    if !is_same_sender {
        *stored = None;
    }
    let stored = stored.get_or_insert_with(|| ReceivedPages { sender, pages: BTreeMap::new() });
    stored.pages.retain(|number, _| *number < page.page_count);
    let received = ReceivedPage {
        sequence: page.sequence,
        received_at: now,
        layout_hash,
        rows,
        amounts: page.amounts,
        answered_at,
    };
    stored.pages.insert(page.page, received);
    PageOutcome::Accepted
}

/// Returns whether the keys are in ascending order, belong to the shard, and fit into a page.
fn is_well_formed(rows: &[KeyRow], shard: u8) -> bool {
    let ascends = rows.windows(2).all(|pair| pair[0].key < pair[1].key);
    let in_shard = rows.iter().all(|row| shard_of(row.key) == usize::from(shard));
    ascends && in_shard && rows.len() <= MAX_PAGE_KEYS
}
