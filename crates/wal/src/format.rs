//! The format on disk: segments of aligned batches, each with a checksum of its own.
//!
//! A batch begins on a block and shares it with no other batch, so that a torn write spoils nothing that was
//! durable before it. A batch is a header, then each record behind its length. Numbers are little endian.
//!
//! | header byte | field |
//! | --- | --- |
//! | 0 | magic |
//! | 6 | version |
//! | 8, 16 | identity: log, purpose |
//! | 24 | segment |
//! | 32 | number of the first record |
//! | 40, 44 | count of records, bytes of records |
//! | 48 | oldest segment in use |
//! | 56 | XXH3 of header and records, taken with zeroes here |

use crate::{Identity, RecordNumber, SegmentNumber};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The version of the format that this program writes and reads.
pub const FORMAT_VERSION: u16 = 1;
/// Batches begin at multiples of this many bytes.
pub const BLOCK_BYTES: usize = 4096;
/// The most bytes of one record.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

const MAGIC: [u8; 6] = *b"STWAL\n";
const HEADER_BYTES: usize = 64;
/// A record's length stands before it.
const LENGTH_BYTES: usize = 4;

const VERSION_AT: usize = 6;
const LOG_AT: usize = 8;
const PURPOSE_AT: usize = 16;
const SEGMENT_AT: usize = 24;
const FIRST_RECORD_AT: usize = 32;
const RECORD_COUNT_AT: usize = 40;
const RECORD_BYTES_AT: usize = 44;
const OLDEST_SEGMENT_AT: usize = 48;
const CHECKSUM_AT: usize = 56;

/// What the header of a batch says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// The log.
    pub identity: Identity,
    /// The segment that the batch lies in.
    pub segment: SegmentNumber,
    /// The oldest segment that was in use when the batch was written.
    pub oldest_segment: SegmentNumber,
    /// The number of the first record; of the next one to come, where the batch holds none.
    pub first_record: RecordNumber,
    /// How many records the batch holds.
    pub record_count: u32,
    /// How many bytes the records take, with their lengths.
    pub record_bytes: u32,
}

/// A batch that was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// Its header.
    pub header: BatchHeader,
    /// Its records, in order.
    pub records: Vec<Vec<u8>>,
    /// How many bytes it takes on disk, up to the next block.
    pub size_bytes: usize,
}

/// Why bytes are not a batch of this log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BatchError {
    /// Nothing was ever written there.
    #[error("nothing was written there")]
    Empty,
    /// It was written by another version.
    #[error("the batch is of version {0}")]
    UnknownVersion(u16),
    /// It belongs to another log, or to another segment of this one.
    #[error("the batch belongs to another log or segment")]
    Foreign(Identity),
    /// The checksum does not match, or the batch ends early.
    #[error("the batch is torn")]
    Torn,
}

/// How many bytes a batch of records of these lengths takes, with its header and up to the next block.
pub fn batch_size(record_lengths: impl Iterator<Item = usize>) -> usize {
    let records: usize = record_lengths.map(|length| LENGTH_BYTES + length).sum();
    (HEADER_BYTES + records).next_multiple_of(BLOCK_BYTES)
}

/// The bytes of a batch, up to the next block.
pub fn encode_batch(
    identity: Identity,
    segment: SegmentNumber,
    first_record: RecordNumber,
    oldest_segment: SegmentNumber,
    records: &[Vec<u8>],
) -> Vec<u8> {
    let size = batch_size(records.iter().map(Vec::len));
    let record_bytes: usize = records.iter().map(|record| LENGTH_BYTES + record.len()).sum();
    let mut bytes = Vec::with_capacity(size);
    bytes.extend(MAGIC);
    bytes.extend(FORMAT_VERSION.to_le_bytes());
    for field in [identity.log, identity.purpose, segment, first_record] {
        bytes.extend(field.to_le_bytes());
    }
    bytes.extend((records.len() as u32).to_le_bytes());
    bytes.extend((record_bytes as u32).to_le_bytes());
    bytes.extend(oldest_segment.to_le_bytes());
    bytes.resize(HEADER_BYTES, 0);
    for record in records {
        bytes.extend((record.len() as u32).to_le_bytes());
        bytes.extend(record);
    }
    let checksum = xxh3_64(&bytes);
    bytes[CHECKSUM_AT..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes.resize(size, 0);
    bytes
}

/// Reads the batch at the start of `bytes`.
///
/// # Errors
/// The bytes are not an intact batch of this log and segment.
pub fn decode_batch(bytes: &[u8], identity: Identity, segment: SegmentNumber) -> Result<Batch, BatchError> {
    if bytes.iter().take(HEADER_BYTES).all(|byte| *byte == 0) {
        return Err(BatchError::Empty);
    }
    if !has_magic(bytes) {
        return Err(BatchError::Torn);
    }
    // Before the checksum, which another version may take over other bytes.
    let version = u16::from_le_bytes([bytes[VERSION_AT], bytes[VERSION_AT + 1]]);
    if version != FORMAT_VERSION {
        return Err(BatchError::UnknownVersion(version));
    }
    let header = decode_header(bytes);
    let end = HEADER_BYTES + header.record_bytes as usize;
    let written = bytes.get(..end).ok_or(BatchError::Torn)?;
    if checksum_of(written) != read_u64(bytes, CHECKSUM_AT) {
        return Err(BatchError::Torn);
    }
    // Only an intact header can say that it is of another log.
    if header.identity != identity || header.segment != segment {
        return Err(BatchError::Foreign(header.identity));
    }
    let records = decode_records(&written[HEADER_BYTES..])?;
    if records.len() != header.record_count as usize {
        return Err(BatchError::Torn);
    }
    Ok(Batch { header, records, size_bytes: end.next_multiple_of(BLOCK_BYTES) })
}

/// The identity that the batch at the start of `bytes` names, if there is one. Its checksum is not looked at.
pub fn peek_identity(bytes: &[u8]) -> Option<Identity> {
    has_magic(bytes).then(|| decode_identity(bytes))
}

/// Hash of what describes the purpose of a log, for [`Identity::purpose`].
pub fn hash_purpose(description: &[u8]) -> u64 {
    xxh3_64(description)
}

fn has_magic(bytes: &[u8]) -> bool {
    bytes.len() >= HEADER_BYTES && bytes.starts_with(&MAGIC)
}

fn decode_identity(bytes: &[u8]) -> Identity {
    Identity { log: read_u64(bytes, LOG_AT), purpose: read_u64(bytes, PURPOSE_AT) }
}

fn decode_header(bytes: &[u8]) -> BatchHeader {
    BatchHeader {
        identity: decode_identity(bytes),
        segment: read_u64(bytes, SEGMENT_AT),
        oldest_segment: read_u64(bytes, OLDEST_SEGMENT_AT),
        first_record: read_u64(bytes, FIRST_RECORD_AT),
        record_count: read_u32(bytes, RECORD_COUNT_AT),
        record_bytes: read_u32(bytes, RECORD_BYTES_AT),
    }
}

fn decode_records(mut bytes: &[u8]) -> Result<Vec<Vec<u8>>, BatchError> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_BYTES>() {
        let length = u32::from_le_bytes(*length) as usize;
        let (record, rest) = rest.split_at_checked(length).ok_or(BatchError::Torn)?;
        records.push(record.to_vec());
        bytes = rest;
    }
    if bytes.is_empty() {
        Ok(records)
    } else {
        Err(BatchError::Torn)
    }
}

fn checksum_of(written: &[u8]) -> u64 {
    let mut bytes = written.to_vec();
    bytes[CHECKSUM_AT..HEADER_BYTES].fill(0);
    xxh3_64(&bytes)
}

fn read_u64(bytes: &[u8], at: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[at..at + 8]);
    u64::from_le_bytes(number)
}

fn read_u32(bytes: &[u8], at: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[at..at + 4]);
    u32::from_le_bytes(number)
}
