//! Sums over all initiators, each counted once.
//!
//! In each cell (a small region, a zone, or a part of a large zone) each shard of keys has one owner, found
//! by rendezvous hashing over the live members. Members tell owners their amounts, owners tell each other
//! their cell's part, and answer each member with the totals of the keys that it told. An owner keeps one
//! contribution for each member and one register for each other cell, so that a message which comes twice, or
//! an owner that changes, counts nobody twice. `docs/design/SPREAD-SUMS.md` has the rules and the bounds.

use crate::pace::Pace;
use crate::Place;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;
use std::time::Duration;
use xxhash_rust::xxh3::{xxh3_64, xxh3_64_with_seed};

/// Shards of the keys; each has one owner in each cell.
pub const SHARDS: usize = 16;
/// Keys in one datagram: 10 bytes each at most, so 1,200 bytes with the head.
pub const PAGE_KEYS: usize = 118;
/// Datagrams for one shard, from one sender, in one round.
pub const PAGES: usize = 8;
/// Keys that a process tells of; of more, the greatest amounts.
pub const OWN_KEYS: usize = 4096;
/// Amounts that an owner keeps of a shard, of all members and cells; a page that would pass it is not taken.
pub const KEPT: usize = 8_192;
/// The greatest amount that one member or cell can tell, in thousandths a second: a liar's ends here.
pub const AMOUNT_MOST: u64 = 1 << 40;
/// Members of a cell at most: a larger zone has two cells, or four, or eight.
pub const CELL_MOST: usize = 128;
/// A region of at most so many members is one cell.
pub const REGION_MOST: usize = 48;
/// Members of one view; more are not looked at.
pub const MEMBERS_MOST: usize = 8192;
/// The ceiling of bytes a second that go to owners, headers included; as many at once.
pub const TELLS: f64 = 8_000.0;
/// The ceiling of bytes a second for answers, headers included; as many at once. These are dropped first.
pub const ANSWERS: f64 = 12_000.0;
/// What a datagram costs beside its message: IPv4's and UDP's headers (28 bytes), mark, sum and sender (28
/// bytes).
pub const AROUND: usize = 56;
/// How long a contribution counts after it came, and a total after its oldest part came.
pub const LASTS: Duration = Duration::from_secs(4);
/// How long a cell's part counts after it came.
pub const PART_LASTS: Duration = Duration::from_secs(3);
/// What changed by less than one part in so many since it was told waits for the quiet round.
pub const HELD_BACK: u64 = 16;

/// Between two tellings to an owner while amounts change or no answer came.
const BUSY: Duration = Duration::from_millis(900);
/// Between two tellings to an owner while nothing changes much.
const QUIET: Duration = Duration::from_millis(1450);
/// Between two tellings while no answer came, and how many of them follow each other so closely. A cell is
/// near.
const RETRY: Duration = Duration::from_millis(300);
/// See [`RETRY`].
const RETRIES: u8 = 2;
/// How often what ran out is looked for: it may count longer by this.
const EXPIRE: Duration = Duration::from_millis(50);
/// How soon keys that were lost are told in full.
const LOST: Duration = Duration::from_millis(20);
/// A total whose oldest part is older than this is asked for again without a quiet round.
const AGED: Duration = Duration::from_millis(1200);
/// Between two parts to the other cells.
const PARTS: Duration = Duration::from_millis(800);
/// What each of these is longer by, at random.
const JITTER: Duration = Duration::from_millis(100);
/// Between two answers to one member about one page.
const ANSWER_GAP: Duration = Duration::from_millis(200);
/// What was told is remembered for so many answers to come.
const TOLD: usize = 4;
/// How often it is told that nothing is left, if nobody answers.
const EMPTIED: u8 = 3;

/// What is summed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Key {
    /// What is asked of the volume of that number.
    Demand(u64),
    /// What is spent of a cold box's budget: a hash of its name and start.
    Spent(u64),
    /// Who has that version of the configuration in force: of the contributors the number counts.
    InForce(u64),
}

/// A key on the wire: 40 bits of its hash.
pub type Short = [u8; 5];

/// The sum over all others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Total {
    /// Their amounts together, in thousandths.
    pub others: u64,
    /// How many initiators the sum holds, the own one included if it told an amount.
    pub count: u32,
    /// How long ago the oldest cell's part came to the owner.
    pub age: Duration,
    /// How many cells that have members are not in it: cut off, silent, or nothing was asked there. 0: all
    /// are in.
    pub missing: u32,
}

/// The rows of a page: keys in full, or the same ones as before.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Layout {
    /// Keys in ascending order, each with the number of initiators that told an amount.
    Full(Vec<(Short, u16)>),
    /// Those whose hash is this.
    Same(u32),
}

/// One page of a shard.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Page {
    /// The shard.
    pub shard: u8,
    /// Which page of the shard.
    pub page: u8,
    /// How many pages there are now.
    pub pages: u8,
    /// How the sender sees its zone parted into cells: 0 not at all, 1 in two, 2 in four, and so on up to 7;
    /// 8 means that its whole region is one cell.
    pub split: u8,
    /// Greater in each later message of one life.
    pub seq: u32,
    /// The keys.
    pub layout: Layout,
    /// Their amounts, see [`pack`].
    pub amounts: Vec<u16>,
}

/// What one process tells another about sums.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// A member's own amounts, to the owner in its cell.
    Tell(Page),
    /// A cell's part, to the owners of other cells.
    Part(Page),
    /// The totals of the keys of a `Tell`, in its order.
    Totals {
        /// The shard.
        shard: u8,
        /// Which page of it.
        page: u8,
        /// The `Tell` that it answers, which is part of the totals.
        seq: u32,
        /// How old the oldest part is, in 20 ms.
        age: u8,
        /// How many cells are not in it.
        missing: u16,
        /// Amounts, see [`pack`], and numbers of initiators.
        totals: Vec<(u16, u32)>,
    },
    /// The keys of that page are not known here: tell them in full.
    Lost {
        /// Of a `Part`, not of a `Tell`.
        part: bool,
        /// The shard.
        shard: u8,
        /// Which page of it.
        page: u8,
    },
}

/// How many bytes a message takes, without what is around it ([`AROUND`]).
pub fn encoded_len(message: &Message) -> usize {
    postcard::experimental::serialized_size(message).unwrap_or(usize::MAX / 4)
}

/// An amount as a float of 11 significant bits, rounded down: by less than one part in 1,024.
pub fn pack(amount: u64) -> u16 {
    let amount = amount.min(AMOUNT_MOST);
    if amount < 1024 {
        return amount as u16;
    }
    let shift = 53 - amount.leading_zeros();
    (((shift + 1) << 10) as u16) | ((amount >> shift) as u16 & 1023)
}

/// The amount of a float; at most [`AMOUNT_MOST`], whatever the bits.
pub fn unpack(packed: u16) -> u64 {
    let (exponent, rest) = (u32::from(packed >> 10), u64::from(packed & 1023));
    match exponent {
        0 => rest,
        1..=31 => ((1024 + rest) << (exponent - 1)).min(AMOUNT_MOST),
        _ => AMOUNT_MOST,
    }
}

/// A key's short hash. Two of 1,000 keys fall together once in two million fleets; they would be summed as
/// one.
pub fn short(key: Key) -> Short {
    let (kind, number) = match key {
        Key::Demand(number) => (1, number),
        Key::Spent(number) => (2, number),
        Key::InForce(number) => (3, number),
    };
    let [_, _, _, rest @ ..] = xxh3_64_with_seed(&number.to_be_bytes(), kind).to_be_bytes();
    rest
}

/// The shard that a key belongs to.
pub fn shard_of(short: Short) -> usize {
    usize::from(short[4]) % SHARDS
}

/// A region, a zone, or those of a zone whose address has this rest.
type Cell = (Place, u64);

/// The split of a region that is one cell.
const WHOLE_REGION: u8 = 8;

fn cell_of(place: &Place, hash: u64, split: u8) -> Cell {
    match split {
        WHOLE_REGION => (Place { region: place.region.clone(), zone: String::new() }, u64::MAX),
        _ => (place.clone(), hash % (1 << split)),
    }
}

/// Into how many cells a zone of so many is parted: as a power of two.
fn split_of(members: usize) -> u8 {
    (0..7).find(|split| members <= CELL_MOST << split).unwrap_or(7)
}

fn hash_of(at: SocketAddr) -> u64 {
    xxh3_64(at.to_string().as_bytes())
}

fn layout_of(keys: &[(Short, u16)]) -> u32 {
    let bytes: Vec<u8> =
        keys.iter().flat_map(|(key, count)| key.iter().copied().chain(count.to_be_bytes())).collect();
    xxh3_64(&bytes) as u32
}

/// The owner of each shard among these members: the greatest weight, but nobody owns a second shard before
/// all others own one.
fn owners_of(members: &[(SocketAddr, u64)]) -> Vec<SocketAddr> {
    let most = SHARDS.div_ceil(members.len().max(1));
    let mut owned = vec![0; members.len()];
    let mut owners = Vec::with_capacity(SHARDS);
    for shard in 0..SHARDS as u64 {
        let weight = |hash: u64| (xxh3_64_with_seed(&hash.to_be_bytes(), shard), hash);
        let free = members.iter().enumerate().filter(|(index, _)| owned[*index] < most);
        if let Some((index, (at, _))) = free.max_by_key(|(_, (_, hash))| weight(*hash)) {
            owned[index] += 1;
            owners.push(*at);
        }
    }
    owners
}

/// A page that came.
#[derive(Clone, Debug)]
struct Came {
    seq: u32,
    at: Duration,
    layout: u32,
    keys: Vec<(Short, u16)>,
    amounts: Vec<u16>,
    answered: Option<Duration>,
}

/// All that counts of one sender about one shard.
#[derive(Clone, Debug)]
struct Rows {
    from: SocketAddr,
    life: u64,
    pages: BTreeMap<u8, Came>,
}

impl Rows {
    /// The amount of a key and the number of initiators in it, from the latest page that has it.
    fn get(&self, key: &Short) -> Option<(u64, u32)> {
        let found = self.pages.values().filter_map(|page| {
            let index = page.keys.binary_search_by_key(key, |(key, _)| *key).ok()?;
            Some((page.seq, unpack(page.amounts[index]), u32::from(page.keys[index].1)))
        });
        found.max().map(|(_, amount, count)| (amount, count))
    }

    fn kept(&self) -> usize {
        self.pages.values().map(|page| page.keys.len()).sum()
    }

    fn is_empty(&self) -> bool {
        self.pages.values().all(|page| page.keys.is_empty())
    }

    /// When its oldest page came.
    fn oldest(&self) -> Duration {
        self.pages.values().map(|page| page.at).min().unwrap_or_default()
    }

    fn expire(&mut self, now: Duration, lasts: Duration) {
        self.pages.retain(|_, page| now.saturating_sub(page.at) < lasts);
    }
}

/// What became of a page.
enum Taken {
    Yes,
    No,
    Lost,
}

/// Takes a page into the rows of its sender. A later life replaces an earlier one, a late or doubled page is
/// nothing.
fn take(rows: &mut Option<Rows>, now: Duration, from: (SocketAddr, u64), page: Page, room: usize) -> Taken {
    let number = page.page;
    let same = rows.as_ref().is_some_and(|rows| (rows.from, rows.life) == from);
    let before = rows.as_ref().filter(|_| same).and_then(|rows| rows.pages.get(&number));
    if before.is_some_and(|before| before.seq >= page.seq) {
        return Taken::No;
    }
    let answered = before.and_then(|before| before.answered);
    let (layout, keys) = match page.layout {
        Layout::Full(keys) => (layout_of(&keys), keys),
        Layout::Same(layout) => match before {
            Some(before) if before.layout == layout => (layout, before.keys.clone()),
            _ => return Taken::Lost,
        },
    };
    let sorted = keys.windows(2).all(|pair| pair[0].0 < pair[1].0);
    let owned = keys.iter().all(|(key, _)| shard_of(*key) == usize::from(page.shard));
    let had = before.map_or(0, |before| before.keys.len());
    let fits = keys.len() == page.amounts.len() && keys.len() <= PAGE_KEYS && keys.len() <= room + had;
    if !sorted || !owned || !fits {
        return Taken::No;
    }
    if !same {
        *rows = None;
    }
    let rows = rows.get_or_insert_with(|| Rows { from: from.0, life: from.1, pages: BTreeMap::new() });
    rows.pages.retain(|number, _| *number < page.pages);
    rows.pages.insert(number, Came { seq: page.seq, at: now, layout, keys, amounts: page.amounts, answered });
    Taken::Yes
}

/// What was told about one page, to be told apart from the totals that come back.
#[derive(Clone, Debug)]
struct Asked {
    to: SocketAddr,
    keys: Vec<Short>,
    full: bool,
    told: VecDeque<Told>,
    answered: bool,
}

/// One telling: its number, its moment and its amounts.
type Told = (u32, Duration, Vec<u16>);

impl Asked {
    fn last(&self) -> Option<&Vec<u16>> {
        self.told.back().map(|(.., amounts)| amounts)
    }
}

#[derive(Clone, Debug)]
struct Streamed {
    to: SocketAddr,
    layout: u32,
}

#[derive(Clone, Debug, Default)]
struct Shard {
    tell_at: Option<Duration>,
    told_at: Option<Duration>,
    tries: u8,
    expired: Option<Duration>,
    emptied: u8,
    asked: BTreeMap<u8, Asked>,
    part_at: Option<Duration>,
    parts_left: u8,
    streams: BTreeMap<(Cell, u8), Streamed>,
    contributions: BTreeMap<SocketAddr, Rows>,
    registers: BTreeMap<Cell, Rows>,
}

#[derive(Clone, Copy, Debug)]
struct Known {
    others: u64,
    count: u32,
    oldest: Duration,
    missing: u32,
}

/// Who is live, in which life, and where.
#[derive(Clone, Debug)]
struct Member {
    life: u64,
    place: Place,
    cell: Cell,
}

impl Member {
    fn is(&self, life: u64, cell: &Cell) -> bool {
        self.life == life && self.cell == *cell
    }
}

/// One process's part in the sums.
#[derive(Debug)]
pub struct Sums {
    at: SocketAddr,
    life: u64,
    place: Place,
    cell: Cell,
    rng: StdRng,
    members: BTreeMap<SocketAddr, Member>,
    owners: BTreeMap<Cell, Vec<SocketAddr>>,
    splits: BTreeMap<Place, u8>,
    own: BTreeMap<Short, (Key, u64)>,
    shards: Vec<Shard>,
    known: BTreeMap<Short, Known>,
    seq: u32,
    tells: Pace,
    answers: Pace,
}

impl Sums {
    /// A process at that address, in that life; the seed spreads its rounds.
    pub fn new(at: SocketAddr, life: u64, place: Place, seed: u64) -> Self {
        let mut sums = Sums {
            at,
            life,
            cell: (place.clone(), 0),
            place,
            rng: StdRng::seed_from_u64(seed),
            members: BTreeMap::new(),
            owners: BTreeMap::new(),
            splits: BTreeMap::new(),
            own: BTreeMap::new(),
            shards: vec![Shard::default(); SHARDS],
            known: BTreeMap::new(),
            seq: 0,
            tells: Pace::new(TELLS, TELLS, Duration::ZERO),
            answers: Pace::new(ANSWERS, ANSWERS, Duration::ZERO),
        };
        sums.view(Duration::ZERO, &[]);
        sums
    }

    /// The live members that speak this version, with their lives, without the own one. Contributions of whom
    /// it does not name any more go at once.
    pub fn view(&mut self, now: Duration, members: &[(SocketAddr, u64, Place)]) {
        let others = members.iter().filter(|(at, ..)| *at != self.at).take(MEMBERS_MOST);
        let all: BTreeMap<SocketAddr, (u64, Place)> = others
            .map(|(at, life, place)| (*at, (*life, place.clone())))
            .chain([(self.at, (self.life, self.place.clone()))])
            .collect();
        let mut zones: BTreeMap<&Place, usize> = BTreeMap::new();
        all.values().for_each(|(_, place)| *zones.entry(place).or_default() += 1);
        let mut regions: BTreeMap<&str, usize> = BTreeMap::new();
        zones.iter().for_each(|(place, members)| *regions.entry(&place.region).or_default() += members);
        let split = |place: &Place, members| match regions.get(place.region.as_str()) {
            Some(0..=REGION_MOST) => WHOLE_REGION,
            _ => split_of(members),
        };
        let splits: BTreeMap<Place, u8> =
            zones.iter().map(|(place, members)| ((*place).clone(), split(place, *members))).collect();
        let before = std::mem::replace(&mut self.splits, splits);
        let mut cells: BTreeMap<Cell, Vec<(SocketAddr, u64)>> = BTreeMap::new();
        self.members.clear();
        for (at, (life, place)) in all {
            let hash = hash_of(at);
            let cell = cell_of(&place, hash, self.split(&place));
            cells.entry(cell.clone()).or_default().push((at, hash));
            self.members.insert(at, Member { life, place, cell });
        }
        self.owners = cells.into_iter().map(|(cell, members)| (cell, owners_of(&members))).collect();
        self.cell = cell_of(&self.place, hash_of(self.at), self.split(&self.place));
        let own = self.cell.clone();
        // What is parted anew begins anew: nobody counts in an old cell and in a new one.
        let parted = |place: &Place| before.get(place) != self.splits.get(place);
        for number in 0..SHARDS {
            let owner = self.owner(&own, number);
            let shard = &mut self.shards[number];
            let members = &self.members;
            shard
                .contributions
                .retain(|at, rows| members.get(at).is_some_and(|member| member.is(rows.life, &own)));
            let other = |cell: &Cell| *cell != own && self.owners.contains_key(cell) && !parted(&cell.0);
            shard.registers.retain(|cell, _| other(cell));
            shard.streams.retain(|(cell, _), _| self.owners.contains_key(cell));
            if shard.asked.values().any(|asked| Some(asked.to) != owner) {
                let soon = now + self.rng.random_range(Duration::ZERO..JITTER);
                shard.tell_at = Some(shard.tell_at.map_or(soon, |at| at.min(soon)));
            }
        }
    }

    /// What this process is asked for and has spent now, in thousandths. Replaces what it said before; an
    /// amount of 0 asks for a key's total and adds nobody to it.
    pub fn own(&mut self, now: Duration, mut amounts: Vec<(Key, u64)>) {
        if amounts.len() > OWN_KEYS {
            amounts.sort_unstable_by_key(|(key, amount)| (std::cmp::Reverse(*amount), *key));
            amounts.truncate(OWN_KEYS);
        }
        self.own = amounts.into_iter().map(|(key, amount)| (short(key), (key, amount))).collect();
        self.known.retain(|key, _| self.own.contains_key(key));
        for number in 0..SHARDS {
            if !self.changed(number) {
                continue;
            }
            let shard = &mut self.shards[number];
            shard.emptied = 0;
            let first = self.rng.random_range(Duration::ZERO..JITTER);
            let next = shard.told_at.map_or(now + first, |told| now.max(told + BUSY));
            shard.tell_at = Some(shard.tell_at.map_or(next, |at| at.min(next)));
        }
    }

    /// Tells what is due. To be called at [`Sums::wake_at`].
    pub fn tick(&mut self, now: Duration) -> Vec<(SocketAddr, Message)> {
        let mut out = Vec::new();
        for number in 0..SHARDS {
            if self.shards[number].tell_at.is_some_and(|at| at <= now) {
                self.tell(now, number, &mut out);
            }
            if self.shards[number].part_at.is_some_and(|at| at <= now) {
                self.part(now, number, &mut out);
            }
        }
        out
    }

    /// When [`Sums::tick`] has something to do; `Duration::MAX` if there is nothing.
    pub fn wake_at(&self) -> Duration {
        let due = self.shards.iter().flat_map(|shard| [shard.tell_at, shard.part_at]).flatten();
        due.min().unwrap_or(Duration::MAX)
    }

    /// Takes what a process of that address and life tells, and says what to answer.
    pub fn hear(
        &mut self,
        now: Duration,
        from: SocketAddr,
        life: u64,
        message: Message,
    ) -> Vec<(SocketAddr, Message)> {
        let Some(member) = self.members.get(&from).filter(|member| member.life == life) else {
            return Vec::new();
        };
        let (place, cell) = (member.place.clone(), member.cell.clone());
        let mut out = Vec::new();
        match message {
            Message::Tell(page) if cell == self.cell => self.told(now, (from, life), page, &mut out),
            Message::Part(page) if cell != self.cell => {
                self.parted(now, (from, life), (place, cell), page, &mut out)
            }
            Message::Totals { shard, page, seq, age, missing, totals } => {
                let age = Duration::from_millis(20) * u32::from(age);
                self.answered(from, (shard, page, seq), (age, missing), &totals);
            }
            Message::Lost { part, shard, page } => self.lost(now, from, (part, shard, page)),
            Message::Tell(_) | Message::Part(_) => {}
        }
        out
    }

    /// The sum over all others of a key that this process named; `None` if it is not known or older than 4 s.
    pub fn total(&self, now: Duration, key: Key) -> Option<Total> {
        self.known.get(&short(key)).and_then(|known| Self::fresh(now, known))
    }

    /// All sums that are known.
    pub fn totals(&self, now: Duration) -> impl Iterator<Item = (Key, Total)> + '_ {
        self.known
            .iter()
            .filter_map(move |(short, known)| Some((self.own.get(short)?.0, Self::fresh(now, known)?)))
    }

    fn fresh(now: Duration, known: &Known) -> Option<Total> {
        let age = now.saturating_sub(known.oldest);
        let total = Total { others: known.others, count: known.count, age, missing: known.missing };
        (age <= LASTS).then_some(total)
    }

    fn split(&self, place: &Place) -> u8 {
        self.splits.get(place).copied().unwrap_or(0)
    }

    fn owner(&self, cell: &Cell, shard: usize) -> Option<SocketAddr> {
        self.owners.get(cell).and_then(|owners| owners.get(shard)).copied()
    }

    fn next_seq(&mut self) -> u32 {
        self.seq = self.seq.saturating_add(1);
        self.seq
    }

    fn spend(pace: &mut Pace, now: Duration, message: &Message) -> bool {
        pace.take(now, AROUND + encoded_len(message))
    }

    /// The own keys and amounts of a shard, in order, page by page.
    fn pages(&self, number: usize) -> Vec<Vec<(Short, u64)>> {
        let own: Vec<(Short, u64)> = self
            .own
            .iter()
            .filter(|(key, _)| shard_of(**key) == number)
            .map(|(key, (_, amount))| (*key, *amount))
            .take(PAGES * PAGE_KEYS)
            .collect();
        own.chunks(PAGE_KEYS).map(<[_]>::to_vec).collect()
    }

    /// Whether what was told last of a shard is so no more, by more than what is held back.
    fn changed(&self, number: usize) -> bool {
        let shard = &self.shards[number];
        let pages = self.pages(number);
        let told = shard.asked.values().filter(|asked| !asked.keys.is_empty()).count();
        if pages.len() != told {
            return true;
        }
        pages.iter().zip(shard.asked.values()).any(|(page, asked)| {
            let Some(last) = asked.last().filter(|last| last.len() == page.len()) else { return true };
            page.iter().zip(&asked.keys).zip(last).any(|(((key, amount), told_key), told)| {
                let mean =
                    self.known.get(key).map_or(0, |known| known.others / u64::from(known.count.max(1)));
                let told = unpack(*told);
                let least = told.max(mean) / HELD_BACK;
                key != told_key || unpack(pack(*amount)).abs_diff(told) > least
            })
        })
    }

    /// Tells the owner of a shard the own amounts.
    fn tell(&mut self, now: Duration, number: usize, out: &mut Vec<(SocketAddr, Message)>) {
        let Some(to) = self.owner(&self.cell, number) else { return };
        let mut pages = self.pages(number);
        let none = pages.is_empty();
        let shard = &mut self.shards[number];
        if none {
            let told = shard.asked.values().any(|asked| !asked.keys.is_empty() || !asked.answered);
            if !told || shard.emptied >= EMPTIED {
                shard.asked.clear();
                shard.tell_at = None;
                return;
            }
            shard.emptied += 1;
            pages.push(Vec::new());
        }
        let count = pages.len();
        shard.asked.retain(|page, _| usize::from(*page) < count);
        let again = shard.tries > 0;
        if !again {
            shard.told_at = Some(now);
        }
        let near = shard.tries < RETRIES && to != self.at;
        shard.tries = if near { shard.tries + 1 } else { 0 };
        shard.tell_at =
            Some(now + if near { RETRY } else { BUSY } + self.rng.random_range(Duration::ZERO..JITTER));
        for (page, rows) in pages.into_iter().enumerate() {
            let seq = self.next_seq();
            let split = self.split(&self.place);
            let shard = &mut self.shards[number];
            let keys: Vec<Short> = rows.iter().map(|(key, _)| *key).collect();
            let amounts: Vec<u16> = rows.iter().map(|(_, amount)| pack(*amount)).collect();
            let fresh = Asked { to, keys: keys.clone(), full: true, told: VecDeque::new(), answered: false };
            let asked = shard.asked.entry(page as u8).or_insert_with(|| fresh.clone());
            if asked.to != to || asked.keys != keys {
                *asked = fresh;
            }
            if again && asked.answered {
                continue;
            }
            let wire: Vec<(Short, u16)> = keys.into_iter().map(|key| (key, 1)).collect();
            let layout = match asked.full || to == self.at {
                true => Layout::Full(wire),
                false => Layout::Same(layout_of(&wire)),
            };
            let (page, pages) = (page as u8, count as u8);
            let whole =
                Page { shard: number as u8, page, pages, split, seq, layout, amounts: amounts.clone() };
            let message = Message::Tell(whole);
            if to != self.at && !Self::spend(&mut self.tells, now, &message) {
                continue;
            }
            asked.full = false;
            asked.answered = false;
            asked.told.push_back((seq, now, amounts));
            if asked.told.len() > TOLD {
                asked.told.pop_front();
            }
            if to == self.at {
                let mut answers = Vec::new();
                let life = self.life;
                if let Message::Tell(page) = message {
                    self.told(now, (to, life), page, &mut answers);
                }
                for (_, answer) in answers {
                    if let Message::Totals { shard, page, seq, age, missing, totals } = answer {
                        let age = Duration::from_millis(20) * u32::from(age);
                        self.answered(to, (shard, page, seq), (age, missing), &totals);
                    }
                }
            } else {
                out.push((to, message));
            }
        }
    }

    /// Drops what ran out, and says how many more amounts may be kept.
    fn expire(&mut self, now: Duration, number: usize) -> usize {
        let shard = &mut self.shards[number];
        if shard.expired.is_none_or(|at| now.saturating_sub(at) >= EXPIRE) {
            shard.expired = Some(now);
            shard.contributions.values_mut().for_each(|rows| rows.expire(now, LASTS));
            shard.contributions.retain(|_, rows| !rows.pages.is_empty());
            shard.registers.values_mut().for_each(|rows| rows.expire(now, PART_LASTS));
            shard.registers.retain(|_, rows| !rows.pages.is_empty());
        }
        let rows = shard.contributions.values().chain(shard.registers.values());
        KEPT.saturating_sub(rows.map(Rows::kept).sum())
    }

    /// A member tells its amounts.
    fn told(
        &mut self,
        now: Duration,
        from: (SocketAddr, u64),
        page: Page,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        let (number, index, seq) = (usize::from(page.shard), page.page, page.seq);
        if number >= SHARDS || usize::from(index) >= PAGES {
            return;
        }
        let room = self.expire(now, number);
        let shard = &mut self.shards[number];
        let mut rows = shard.contributions.remove(&from.0);
        let taken = take(&mut rows, now, from, page, room);
        if let Some(rows) = rows {
            shard.contributions.insert(from.0, rows);
        }
        match taken {
            Taken::Yes => {}
            Taken::No => return,
            Taken::Lost => {
                let lost = Message::Lost { part: false, shard: number as u8, page: index };
                if Self::spend(&mut self.answers, now, &lost) {
                    out.push((from.0, lost));
                }
                return;
            }
        }
        let soon = now + self.rng.random_range(Duration::ZERO..JITTER);
        self.shards[number].part_at.get_or_insert(soon);
        let Some(answer) = self.answer(now, number, from.0, index, seq) else { return };
        if from.0 == self.at || Self::spend(&mut self.answers, now, &answer) {
            out.push((from.0, answer));
        }
    }

    /// The totals of the keys of a page that came from a member, if it was not answered just now.
    fn answer(
        &mut self,
        now: Duration,
        number: usize,
        to: SocketAddr,
        page: u8,
        seq: u32,
    ) -> Option<Message> {
        let own = self.cell.clone();
        let cells = self.owners.keys().filter(|cell| **cell != own).count();
        let shard = &mut self.shards[number];
        let came = shard.contributions.get_mut(&to)?.pages.get_mut(&page)?;
        if came.answered.is_some_and(|at| now.saturating_sub(at) < ANSWER_GAP) {
            return None;
        }
        came.answered = Some(now);
        let keys = came.keys.clone();
        let totals = keys.iter().map(|(key, _)| {
            let (mut sum, mut count) = (0_u64, 0_u32);
            for (amount, _) in shard.contributions.values().filter_map(|rows| rows.get(key)) {
                sum = sum.saturating_add(amount);
                count = count.saturating_add(u32::from(amount > 0));
            }
            for (amount, told) in shard.registers.values().filter_map(|rows| rows.get(key)) {
                sum = sum.saturating_add(amount);
                count = count.saturating_add(told);
            }
            (pack(sum), count)
        });
        let totals = totals.collect();
        let oldest = shard.registers.values().map(Rows::oldest).min().unwrap_or(now);
        let age = now.saturating_sub(oldest).as_millis().div_ceil(20).min(255) as u8;
        let missing = cells.saturating_sub(shard.registers.len()).min(usize::from(u16::MAX)) as u16;
        Some(Message::Totals { shard: number as u8, page, seq, age, missing, totals })
    }

    /// An owner answers with totals.
    fn answered(
        &mut self,
        from: SocketAddr,
        (number, page, seq): (u8, u8, u32),
        (age, missing): (Duration, u16),
        totals: &[(u16, u32)],
    ) {
        let Some(shard) = self.shards.get_mut(usize::from(number)) else { return };
        let Some(asked) = shard.asked.get_mut(&page).filter(|asked| asked.to == from) else { return };
        let Some(index) = asked.told.iter().position(|(told, ..)| *told == seq) else { return };
        if totals.len() != asked.keys.len() {
            return;
        }
        let last = index + 1 == asked.told.len();
        asked.told.drain(..index);
        let Some((_, at, amounts)) = asked.told.front() else { return };
        // Counted from the question on: an answer that was long on the way is no younger for it.
        let oldest = at.saturating_sub(age);
        for ((key, own), (sum, count)) in asked.keys.iter().zip(amounts).zip(totals) {
            let others = unpack(*sum).saturating_sub(unpack(*own));
            if self.own.contains_key(key) {
                let known = Known { others, count: *count, oldest, missing: u32::from(missing) };
                self.known.insert(*key, known);
            }
        }
        if last && !asked.answered {
            asked.answered = true;
            self.rest(usize::from(number), age <= AGED);
        }
    }

    /// Puts off the next telling of a shard that is answered, and for longer if it has not changed.
    fn rest(&mut self, number: usize, young: bool) {
        let shard = &self.shards[number];
        let answered = shard.asked.values().all(|asked| asked.answered);
        if !answered || shard.asked.values().any(|asked| asked.to == self.at) {
            return;
        }
        let quiet = young && !self.changed(number);
        let gap = if quiet { QUIET } else { BUSY } + self.rng.random_range(Duration::ZERO..JITTER);
        let shard = &mut self.shards[number];
        let none = quiet && shard.asked.values().all(|asked| asked.keys.is_empty());
        shard.tries = 0;
        shard.tell_at = shard.told_at.filter(|_| !none).map(|told| told + gap);
    }

    /// Tells the owners of the other cells this cell's part of a shard.
    fn part(&mut self, now: Duration, number: usize, out: &mut Vec<(SocketAddr, Message)>) {
        self.expire(now, number);
        let own = self.cell.clone();
        let split = self.split(&self.place);
        let shard = &mut self.shards[number];
        let mut sums: BTreeMap<Short, (u64, u16)> = BTreeMap::new();
        for rows in shard.contributions.values() {
            let keys: std::collections::BTreeSet<Short> =
                rows.pages.values().flat_map(|page| page.keys.iter().map(|(key, _)| *key)).collect();
            for key in keys {
                if let Some((amount, _)) = rows.get(&key).filter(|(amount, _)| *amount > 0) {
                    let (sum, count) = sums.entry(key).or_default();
                    *sum = sum.saturating_add(amount);
                    *count = count.saturating_add(1);
                }
            }
        }
        // The cells that ask for something are answered, so that they know that nothing is asked here.
        let asking: Vec<Cell> = shard
            .registers
            .iter()
            .filter(|(_, rows)| !rows.is_empty())
            .map(|(cell, _)| cell.clone())
            .collect();
        let told = !sums.is_empty() || shard.parts_left > 0;
        if !told && asking.is_empty() {
            shard.streams.clear();
            shard.part_at = None;
            return;
        }
        shard.parts_left = if sums.is_empty() { shard.parts_left.saturating_sub(1) } else { EMPTIED };
        shard.part_at = Some(now + PARTS + self.rng.random_range(Duration::ZERO..JITTER));
        let rows: Vec<(Short, u16, u64)> =
            sums.into_iter().map(|(key, (sum, count))| (key, count, sum)).take(PAGES * PAGE_KEYS).collect();
        let mut pages: Vec<&[(Short, u16, u64)]> = rows.chunks(PAGE_KEYS).collect();
        if pages.is_empty() {
            pages.push(&[]);
        }
        let cells: Vec<Cell> = self
            .owners
            .keys()
            .filter(|cell| **cell != own && (told || asking.contains(cell)))
            .cloned()
            .collect();
        for cell in cells {
            let Some(to) = self.owner(&cell, number) else { continue };
            for (index, page) in pages.iter().enumerate() {
                let seq = self.next_seq();
                let keys: Vec<(Short, u16)> = page.iter().map(|(key, count, _)| (*key, *count)).collect();
                let amounts = page.iter().map(|(_, _, sum)| pack(*sum)).collect();
                let layout = layout_of(&keys);
                let key = (cell.clone(), index as u8);
                let streams = &mut self.shards[number].streams;
                let same = streams.get(&key).is_some_and(|stream| (stream.to, stream.layout) == (to, layout));
                let rows = if same { Layout::Same(layout) } else { Layout::Full(keys) };
                let (page, pages) = (index as u8, pages.len() as u8);
                let whole = Page { shard: number as u8, page, pages, split, seq, layout: rows, amounts };
                let message = Message::Part(whole);
                if Self::spend(&mut self.tells, now, &message) {
                    streams.insert(key, Streamed { to, layout });
                    out.push((to, message));
                }
            }
        }
    }

    /// Another cell's part comes: it counts only from whom this process takes for that cell's owner.
    fn parted(
        &mut self,
        now: Duration,
        from: (SocketAddr, u64),
        (place, cell): (Place, Cell),
        page: Page,
        out: &mut Vec<(SocketAddr, Message)>,
    ) {
        let (number, index) = (usize::from(page.shard), page.page);
        let known = number < SHARDS && usize::from(index) < PAGES && page.split == self.split(&place);
        if !known || self.owner(&cell, number) != Some(from.0) {
            return;
        }
        let room = self.expire(now, number);
        let shard = &mut self.shards[number];
        let mut rows = shard.registers.remove(&cell);
        let taken = take(&mut rows, now, from, page, room);
        if let Some(rows) = rows {
            shard.registers.insert(cell, rows);
        }
        match taken {
            Taken::Yes => {
                let soon = now + self.rng.random_range(Duration::ZERO..JITTER);
                self.shards[number].part_at.get_or_insert(soon);
            }
            Taken::No => {}
            Taken::Lost => {
                let lost = Message::Lost { part: true, shard: number as u8, page: index };
                if Self::spend(&mut self.answers, now, &lost) {
                    out.push((from.0, lost));
                }
            }
        }
    }

    /// A receiver has lost the keys of a page: the next one goes in full, and soon.
    fn lost(&mut self, now: Duration, from: SocketAddr, (part, number, page): (bool, u8, u8)) {
        let Some(cell) = self.members.get(&from).map(|member| member.cell.clone()) else { return };
        let Some(shard) = self.shards.get_mut(usize::from(number)) else { return };
        if part {
            let stream = (cell, page);
            if shard.streams.get(&stream).is_some_and(|stream| stream.to == from) {
                shard.streams.remove(&stream);
            }
        } else if let Some(asked) = shard.asked.get_mut(&page).filter(|asked| asked.to == from && !asked.full)
        {
            asked.full = true;
            shard.tell_at = shard.tell_at.map(|at| at.min(now + LOST));
        }
    }
}
