//! The messages of the aggregation, and the keys that are summed.
//!
//! The encoding goes by position: the order of fields and variants is part of the protocol.

use serde::{Deserialize, Serialize};
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Shards of the keys; each has one owner in each cell.
pub const SHARDS: usize = 16;
/// Keys in one datagram: at most 10 bytes each, so 1,200 bytes with what surrounds them.
pub const MAX_PAGE_KEYS: usize = 118;
/// Datagrams of one shard, from one sender, in one round.
pub const MAX_PAGES: usize = 8;

/// The unit of [`TotalsPage::age_ticks`].
pub(super) const AGE_TICK: Duration = Duration::from_millis(20);

/// What is summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// What is asked of the volume of that number.
    Demand(u64),
    /// What is spent of the budget of an endpoint in slow start: a hash of its id and start.
    SlowStartSpend(u64),
    /// Who has that configuration version in force: of this key the number of contributors counts.
    ConfigVersion(u64),
}

/// A key on the wire: 40 bits of its hash.
pub type ShortKey = [u8; 5];

/// A key of a page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct KeyRow {
    /// The key.
    pub key: ShortKey,
    /// Initiators whose amount of it is above 0.
    pub contributors: u16,
}

/// The keys of a page: in full, or the same ones as before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// Keys in ascending order.
    Full(Vec<KeyRow>),
    /// The keys that were sent before, of which this is a hash.
    Unchanged(u32),
}

/// One page of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The shard.
    pub shard: u8,
    /// Which page of the shard.
    pub page: u8,
    /// How many pages the shard has now.
    pub page_count: u8,
    /// How the sender sees its zone split into cells: into the power of two of this, 7 at most; or
    /// [`super::WHOLE_REGION_SPLIT`].
    pub split: u8,
    /// Greater in each later page of one incarnation.
    pub sequence: u32,
    /// The keys.
    pub layout: Layout,
    /// Their packed amounts, see [`super::pack_amount`].
    pub amounts: Vec<u16>,
}

/// Which pages a message speaks of. A bool on the wire.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "bool", into = "bool")]
pub enum PageKind {
    /// Those of [`Message::Contribution`].
    Contribution,
    /// Those of [`Message::Partial`].
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
    /// Initiators in it.
    pub contributors: u32,
}

/// The totals of the keys of one contributed page, in its order.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TotalsPage {
    /// The shard.
    pub shard: u8,
    /// Which page of it.
    pub page: u8,
    /// The sequence number of the contribution that is answered, which is part of the totals.
    pub sequence: u32,
    /// How old the oldest partial is, in units of 20 ms.
    pub age_ticks: u8,
    /// Cells that are not in the totals.
    pub missing_cells: u16,
    /// The totals.
    pub totals: Vec<PackedTotal>,
}

/// What one process sends another about sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member's own amounts, to the owner in its cell.
    Contribution(Page),
    /// A cell's partial sums, to the owners of other cells.
    Partial(Page),
    /// The answer to a contribution.
    Totals(TotalsPage),
    /// The keys of that page are not known to the receiver of the page: send them in full.
    LayoutUnknown {
        /// The kind of the page.
        kind: PageKind,
        /// The shard.
        shard: u8,
        /// Which page of it.
        page: u8,
    },
}

/// Bytes that a message takes, without what surrounds it ([`super::DATAGRAM_OVERHEAD_BYTES`]).
pub fn encoded_len(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(usize::MAX / 4)
}

/// A key's short hash. Two of 1,000 keys collide once in two million fleets; they would be summed as one.
pub fn short_key(key: Key) -> ShortKey {
    let (kind, number) = match key {
        Key::Demand(number) => (1, number),
        Key::SlowStartSpend(number) => (2, number),
        Key::ConfigVersion(number) => (3, number),
    };
    let [_, _, _, rest @ ..] = xxh3_64_with_seed(&number.to_be_bytes(), kind).to_be_bytes();
    rest
}

/// The shard that a key belongs to.
pub fn shard_of(key: ShortKey) -> usize {
    usize::from(key[4]) % SHARDS
}

/// The hash that stands for the keys of a page that the receiver has.
pub(super) fn layout_hash(rows: &[KeyRow]) -> u32 {
    let bytes = rows.iter().flat_map(|row| row.key.iter().copied().chain(row.contributors.to_be_bytes()));
    xxh3_64(&bytes.collect::<Vec<u8>>()) as u32
}
