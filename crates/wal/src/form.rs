//! The form on disk: segments of aligned batches, each with its own sum. A batch never shares a block with
//! another, so that a torn write spoils nothing that was durable before.

use crate::{Identity, Seq};
use xxhash_rust::xxh3::xxh3_64;

/// The version that this program writes and reads.
pub const VERSION: u16 = 1;
/// Batches begin at multiples of this.
pub const BLOCK: usize = 4096;
/// The most bytes of one record.
pub const RECORD_MOST: usize = 4 << 20;
const MAGIC: [u8; 6] = *b"STWAL\n";
const HEAD: usize = 64;

/// What a batch's head says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The log.
    pub identity: Identity,
    /// The segment that it lies in.
    pub segment: u64,
    /// The oldest segment that was of use when it was written.
    pub oldest: u64,
    /// The number of its first record, or of the next one where it holds none.
    pub first: Seq,
    /// How many records it holds.
    pub count: u32,
    /// How many bytes they take.
    pub length: u32,
}

/// Why bytes are no batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// Nothing was ever written there.
    Empty,
    /// It was made by another version.
    Version(u16),
    /// It belongs to another log, or to another place of this one.
    Foreign(Identity),
    /// The sum does not fit, or it ends early.
    Torn,
}

/// How many bytes a batch of so many records takes, with the head and up to the next block.
pub fn size(lengths: impl Iterator<Item = usize>) -> usize {
    (HEAD + lengths.map(|l| 4 + l).sum::<usize>()).next_multiple_of(BLOCK)
}

/// A whole batch, up to the next block.
pub fn batch(identity: Identity, segment: u64, first: Seq, oldest: u64, records: &[Vec<u8>]) -> Vec<u8> {
    let length: usize = records.iter().map(|r| 4 + r.len()).sum();
    let mut out = Vec::with_capacity((HEAD + length).next_multiple_of(BLOCK));
    out.extend(MAGIC);
    out.extend(VERSION.to_le_bytes());
    for field in [identity.log, identity.purpose, segment, first] {
        out.extend(field.to_le_bytes());
    }
    out.extend((records.len() as u32).to_le_bytes());
    out.extend((length as u32).to_le_bytes());
    out.extend(oldest.to_le_bytes());
    out.resize(HEAD, 0);
    for record in records {
        out.extend((record.len() as u32).to_le_bytes());
        out.extend(record);
    }
    let sum = xxh3_64(&out);
    out[HEAD - 8..HEAD].copy_from_slice(&sum.to_le_bytes());
    out.resize(out.len().next_multiple_of(BLOCK), 0);
    out
}

/// A log's purpose, from what describes it.
pub fn purpose(of: &[u8]) -> u64 {
    xxh3_64(of)
}

fn number(bytes: &[u8], at: usize) -> u64 {
    let mut out = [0; 8];
    out.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(out)
}

/// Reads the batch at the start of these bytes: its head, its records, and how many bytes it takes.
pub fn read(bytes: &[u8], identity: Identity, segment: u64) -> Result<(Head, Vec<Vec<u8>>, usize), Bad> {
    if bytes.iter().take(HEAD).all(|b| *b == 0) {
        return Err(Bad::Empty);
    }
    if bytes.len() < HEAD || bytes[..6] != MAGIC {
        return Err(Bad::Torn);
    }
    // Before the sum, which another version may take over other bytes.
    let version = u16::from_le_bytes([bytes[6], bytes[7]]);
    if version != VERSION {
        return Err(Bad::Version(version));
    }
    let counts = number(bytes, 40);
    let head = Head {
        identity: Identity { log: number(bytes, 8), purpose: number(bytes, 16) },
        segment: number(bytes, 24),
        oldest: number(bytes, 48),
        first: number(bytes, 32),
        count: counts as u32,
        length: (counts >> 32) as u32,
    };
    let end = HEAD + head.length as usize;
    let mut summed = bytes.get(..end).ok_or(Bad::Torn)?.to_vec();
    summed[HEAD - 8..HEAD].fill(0);
    if xxh3_64(&summed) != number(bytes, HEAD - 8) {
        return Err(Bad::Torn);
    }
    // Only a head that is whole can say that it is of another log.
    if head.identity != identity || head.segment != segment {
        return Err(Bad::Foreign(head.identity));
    }
    let (mut records, mut rest) = (Vec::new(), &bytes[HEAD..end]);
    while let Some((length, tail)) = rest.split_first_chunk::<4>() {
        let (record, tail) = tail.split_at_checked(u32::from_le_bytes(*length) as usize).ok_or(Bad::Torn)?;
        records.push(record.to_vec());
        rest = tail;
    }
    if !rest.is_empty() || records.len() != head.count as usize {
        return Err(Bad::Torn);
    }
    Ok((head, records, end.next_multiple_of(BLOCK)))
}

/// The identity that the first batch of a segment names, where it is whole.
pub fn identity(bytes: &[u8]) -> Option<Identity> {
    let whole = bytes.len() >= HEAD && bytes[..6] == MAGIC;
    whole.then(|| Identity { log: number(bytes, 8), purpose: number(bytes, 16) })
}
