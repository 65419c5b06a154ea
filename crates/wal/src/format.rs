//! The on-disk format: segments of block-aligned batches, each with its own checksum.
//!
//! A batch starts at a block boundary and shares no block with another batch, so that a torn write corrupts
//! nothing that was durable before it. A batch is a header followed by the records, each prefixed with its
//! length. Integers are little endian.
//!
//! | header byte | field |
//! | --- | --- |
//! | 0 | magic |
//! | 6 | version |
//! | 8, 16 | identity: log, purpose |
//! | 24 | segment |
//! | 32 | number of the first record |
//! | 40, 44 | number of records, total record bytes |
//! | 48 | oldest segment in use |
//! | 56 | XXH3-64 of header and records, computed with these 8 bytes zeroed |

use crate::{Identity, RecordNumber, SegmentNumber};
use thiserror::Error;
use xxhash_rust::xxh3::xxh3_64;

/// The format version that this crate writes and reads.
pub const FORMAT_VERSION: u16 = 1;
/// Alignment of batches within a segment, in bytes.
pub const BLOCK_BYTES: usize = 4096;
/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 4 << 20;

const MAGIC: [u8; 6] = *b"STWAL\n";
const HEADER_BYTES: usize = 64;
/// Size of the length prefix of a record.
const LENGTH_PREFIX_BYTES: usize = 4;

const VERSION_OFFSET: usize = 6;
const LOG_OFFSET: usize = 8;
const PURPOSE_OFFSET: usize = 16;
const SEGMENT_OFFSET: usize = 24;
const FIRST_RECORD_OFFSET: usize = 32;
const RECORD_COUNT_OFFSET: usize = 40;
const RECORD_BYTES_OFFSET: usize = 44;
const OLDEST_SEGMENT_OFFSET: usize = 48;
const CHECKSUM_OFFSET: usize = 56;

/// The decoded header of a batch.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BatchHeader {
    /// The log that the batch belongs to.
    pub identity: Identity,
    /// The segment that contains the batch.
    pub segment: SegmentNumber,
    /// The oldest segment that was in use when the batch was written.
    pub oldest_segment: SegmentNumber,
    /// The number of the first record. In a batch without records, the number of the next record to be
    /// written.
    pub first_record: RecordNumber,
    /// Number of records in the batch.
    pub record_count: u32,
    /// Total size of the records with their length prefixes, in bytes.
    pub record_bytes: u32,
}

/// A decoded batch.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Batch {
    /// The header.
    pub header: BatchHeader,
    /// The records, in order.
    pub records: Vec<Vec<u8>>,
    /// Size on disk including the padding to the next block, in bytes.
    pub size_bytes: usize,
}

/// Why bytes could not be decoded as a batch of this log.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum BatchError {
    /// The header is all zeroes: no batch was written here.
    #[error("no batch was written here")]
    Empty,
    /// The batch has another format version.
    #[error("unsupported batch version {0}")]
    UnknownVersion(u16),
    /// The batch belongs to another log, or to another segment of this log.
    #[error("the batch belongs to another log or segment")]
    Foreign(Identity),
    /// The magic or the checksum does not match, or the batch is truncated.
    #[error("the batch is torn")]
    Torn,
}

/// Returns the size on disk of a batch with records of these lengths, in bytes, including header and padding.
pub fn batch_size(record_lengths: impl Iterator<Item = usize>) -> usize {
    let records: usize = record_lengths.map(|length| LENGTH_PREFIX_BYTES + length).sum();
    (HEADER_BYTES + records).next_multiple_of(BLOCK_BYTES)
}

/// Encodes a batch, padded to the next block.
pub fn encode_batch(
    identity: Identity,
    segment: SegmentNumber,
    first_record: RecordNumber,
    oldest_segment: SegmentNumber,
    records: &[Vec<u8>],
) -> Vec<u8> {
    let size = batch_size(records.iter().map(Vec::len));
    let record_bytes: usize = records.iter().map(|record| LENGTH_PREFIX_BYTES + record.len()).sum();
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
    bytes[CHECKSUM_OFFSET..HEADER_BYTES].copy_from_slice(&checksum.to_le_bytes());
    bytes.resize(size, 0);
    bytes
}

/// Decodes the batch at the start of `bytes`.
///
/// # Errors
/// Fails if the bytes are not an intact batch of this log and segment.
pub fn decode_batch(bytes: &[u8], identity: Identity, segment: SegmentNumber) -> Result<Batch, BatchError> {
    if bytes.iter().take(HEADER_BYTES).all(|byte| *byte == 0) {
        return Err(BatchError::Empty);
    }
    if !has_magic(bytes) {
        return Err(BatchError::Torn);
    }
    // The version is checked before the checksum: another version may compute its checksum over other bytes.
    let version = u16::from_le_bytes([bytes[VERSION_OFFSET], bytes[VERSION_OFFSET + 1]]);
    if version != FORMAT_VERSION {
        return Err(BatchError::UnknownVersion(version));
    }
    let header = decode_header(bytes);
    let end = HEADER_BYTES + header.record_bytes as usize;
    let header_and_records = bytes.get(..end).ok_or(BatchError::Torn)?;
    if compute_checksum(header_and_records) != read_u64(bytes, CHECKSUM_OFFSET) {
        return Err(BatchError::Torn);
    }
    // The identity is only meaningful once the checksum has proven the header intact.
    if header.identity != identity || header.segment != segment {
        return Err(BatchError::Foreign(header.identity));
    }
    let records = decode_records(&header_and_records[HEADER_BYTES..])?;
    if records.len() != header.record_count as usize {
        return Err(BatchError::Torn);
    }
    Ok(Batch { header, records, size_bytes: end.next_multiple_of(BLOCK_BYTES) })
}

/// Returns the identity in the header of the batch at the start of `bytes`, without verifying the checksum.
///
/// Returns `None` if the bytes do not start with a batch header.
pub fn peek_identity(bytes: &[u8]) -> Option<Identity> {
    has_magic(bytes).then(|| decode_identity(bytes))
}

/// Hashes the description of a log's purpose, for use as [`Identity::purpose`].
pub fn hash_purpose(description: &[u8]) -> u64 {
    xxh3_64(description)
}

fn has_magic(bytes: &[u8]) -> bool {
    bytes.len() >= HEADER_BYTES && bytes.starts_with(&MAGIC)
}

fn decode_identity(bytes: &[u8]) -> Identity {
    Identity { log: read_u64(bytes, LOG_OFFSET), purpose: read_u64(bytes, PURPOSE_OFFSET) }
}

fn decode_header(bytes: &[u8]) -> BatchHeader {
    BatchHeader {
        identity: decode_identity(bytes),
        segment: read_u64(bytes, SEGMENT_OFFSET),
        oldest_segment: read_u64(bytes, OLDEST_SEGMENT_OFFSET),
        first_record: read_u64(bytes, FIRST_RECORD_OFFSET),
        record_count: read_u32(bytes, RECORD_COUNT_OFFSET),
        record_bytes: read_u32(bytes, RECORD_BYTES_OFFSET),
    }
}

fn decode_records(mut bytes: &[u8]) -> Result<Vec<Vec<u8>>, BatchError> {
    let mut records = Vec::new();
    while let Some((length, rest)) = bytes.split_first_chunk::<LENGTH_PREFIX_BYTES>() {
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

fn compute_checksum(header_and_records: &[u8]) -> u64 {
    let mut bytes = header_and_records.to_vec();
    bytes[CHECKSUM_OFFSET..HEADER_BYTES].fill(0);
    xxh3_64(&bytes)
}

fn read_u64(bytes: &[u8], offset: usize) -> u64 {
    let mut number = [0; 8];
    number.copy_from_slice(&bytes[offset..offset + 8]);
    u64::from_le_bytes(number)
}

fn read_u32(bytes: &[u8], offset: usize) -> u32 {
    let mut number = [0; 4];
    number.copy_from_slice(&bytes[offset..offset + 4]);
    u32::from_le_bytes(number)
}
