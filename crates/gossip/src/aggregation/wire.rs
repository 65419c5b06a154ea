//! The wire format of aggregation: the keys that are summed, and the messages.
//!
//! Values are encoded by position: the order of fields and variants is part of the protocol.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// The number of shards that keys are divided into. Each shard has one owner in each cell.
pub const SHARDS: usize = 16;
/// The most keys in one datagram. A key takes at most 10 bytes, so the message takes at most 1,200 bytes.
pub const MAX_PAGE_KEYS: usize = 118;
/// The most pages of one shard that one sender sends in a round.
pub const MAX_PAGES: usize = 8;

/// The unit of [`TotalsPage::age_ticks`].
pub(super) const AGE_TICK: Duration = Duration::from_millis(20);

/// A key whose amounts are summed over all initiators.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// The demand on a volume, by the volume's number.
    Demand(u64),
    /// The units spent of the budget of an endpoint in slow start, by a hash of the endpoint's id and start
    /// time.
    SlowStartSpend(u64),
    /// The initiators that have a configuration version in force. Of this key, the number of contributors is
    /// used rather than the sum.
    ConfigVersion(u64),
}

/// A key as sent: the low 40 bits of a hash of the key.
pub type ShortKey = [u8; 5];

/// A key of a page, and its contributors.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRow {
    /// The key.
    pub key: ShortKey,
    /// The number of initiators whose amount of the key is above 0.
    pub contributors: u16,
}

/// The keys of a page: in full, or a reference to the keys that were sent before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// The keys, in ascending order.
    Full(Vec<KeyRow>),
    /// A hash of the keys that were sent before and have not changed.
    Unchanged(u32),
}

/// One page of the keys and amounts of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The shard.
    pub shard: u8,
    /// The number of the page within the shard.
    pub page: u8,
    /// The number of pages that the sender has for the shard now.
    pub page_count: u8,
    /// The number of cells in the sender's zone, in the sender's view, as a power of two of at most 7; or
    /// [`super::WHOLE_REGION_SPLIT`].
    pub split: u8,
    /// The sequence number, which increases with each page of one incarnation.
    pub sequence: u32,
    /// The keys.
    pub layout: Layout,
    /// The packed amounts of the keys, in the order of the keys; see [`super::pack_amount`].
    pub amounts: Vec<u16>,
}

/// The kind of page that a message refers to. Encoded as a bool.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "bool", into = "bool")]
pub enum PageKind {
    /// A page of a [`Message::Contribution`].
    Contribution,
    /// A page of a [`Message::Partial`].
    Partial,
}

impl From<bool> for PageKind {
    fn from(is_partial: bool) -> Self {
        if is_partial {
            PageKind::Partial
        } else {
            PageKind::Contribution
        }
    }
}

impl From<PageKind> for bool {
    fn from(kind: PageKind) -> Self {
        kind == PageKind::Partial
    }
}

/// The total of one key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PackedTotal {
    /// The packed sum, see [`super::pack_amount`].
    pub amount: u16,
    /// The number of initiators that contribute to the sum.
    pub contributors: u32,
}

/// The totals of the keys of one contributed page, in the order of the page.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsPage {
    /// The shard.
    pub shard: u8,
    /// The number of the page within the shard.
    pub page: u8,
    /// The sequence number of the contribution that is answered. The totals include that contribution.
    pub sequence: u32,
    /// The age of the oldest partial, in units of 20 ms.
    pub age_ticks: u8,
    /// The number of cells that are missing from the totals.
    pub missing_cells: u16,
    /// The totals.
    pub totals: Vec<PackedTotal>,
}

/// An aggregation message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member's own amounts, sent to the owner in its cell.
    Contribution(Page),
    /// The partial sums of a cell, sent to the owners in other cells.
    Partial(Page),
    /// The totals of the contributed keys, sent in answer to a contribution.
    Totals(TotalsPage),
    /// The answer to a page with [`Layout::Unchanged`] whose keys the receiver does not know: the keys have
    /// to be sent in full.
    LayoutUnknown {
        /// The kind of the page.
        kind: PageKind,
        /// The shard.
        shard: u8,
        /// The number of the page within the shard.
        page: u8,
    },
}

/// Returns the encoded size of a message in bytes, without [`super::DATAGRAM_OVERHEAD_BYTES`].
pub fn encoded_len(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(usize::MAX / 4)
}

/// Returns the short hash of a key.
///
/// Among 1,000 keys, two collide with a probability of about one in two million. Colliding keys are summed as
/// one.
pub fn short_key(key: Key) -> ShortKey {
    let (kind, number) = match key {
        Key::Demand(number) => (1, number),
        Key::SlowStartSpend(number) => (2, number),
        Key::ConfigVersion(number) => (3, number),
    };
    let [_, _, _, rest @ ..] = xxh3_64_with_seed(&number.to_be_bytes(), kind).to_be_bytes();
    rest
}

/// Returns the shard that a key belongs to.
pub fn shard_of(key: ShortKey) -> usize {
    usize::from(key[4]) % SHARDS
}

/// Returns the hash that is sent in place of keys that the receiver already has.
pub(super) fn layout_hash(rows: &[KeyRow]) -> u32 {
    let bytes = rows.iter().flat_map(|row| row.key.iter().copied().chain(row.contributors.to_be_bytes()));
    xxh3_64(&bytes.collect::<Vec<u8>>()) as u32
}
