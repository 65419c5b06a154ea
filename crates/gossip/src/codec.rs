//! The datagram format of the gossip protocol: a magic byte, a version, a CRC-32 checksum, and a message in
//! postcard.
//!
//! UDP may lose, truncate and corrupt datagrams, and any process may send to the port. A datagram is
//! therefore accepted as a whole or not at all. Postcard encodes by position: the order of fields and
//! variants is part of the protocol.

use crate::{aggregation, Locality};
use serde::{Deserialize, Serialize};
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// The first byte of each gossip datagram. No datagram of the membership protocol starts with this byte.
pub const MAGIC: u8 = 0xd8;
/// The protocol version that this program speaks.
pub const VERSION: u8 = 1;
/// The size of the header, in bytes: magic, version and checksum.
pub const HEADER_BYTES: usize = 6;
/// The maximum size of a datagram, in bytes; the same as in the membership protocol.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The size of the IPv4 and UDP headers, in bytes, which the network adds to each datagram.
pub const IP_UDP_HEADER_BYTES: usize = 28;

/// The identity, address and locality of an initiator. A record changes only when its process restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipRecord {
    /// The initiator's name and incarnation.
    pub process: Observer,
    /// The address at which the initiator receives datagrams.
    pub address: SocketAddr,
    /// The initiator's locality.
    pub locality: Locality,
}

/// States that known observations still hold, so that they do not expire.
///
/// A refresh takes 5 bytes per observation, where the observation itself would take 45.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// The process that still observes them.
    pub observer: Observer,
    /// How often the refresh was forwarded, this time included; 0 if the sender is the observer.
    pub hops: u8,
    /// How long ago they were last observed.
    pub age: Duration,
    /// The ids of the observations' records.
    pub record_ids: Vec<u32>,
}

/// One entry of a push or of the answer to a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// An observation of an endpoint.
    Observation(Report),
    /// The membership record of an initiator.
    Member(MembershipRecord),
    /// Known observations that still hold.
    Refresh(Refresh),
}

/// The body of a gossip message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Pushed updates.
    Push(Vec<Item>),
    /// A digest of all records that the sender holds.
    Digest {
        /// A random number that the answer repeats.
        token: u32,
        /// One hash of all records or, in answer to such a hash that differs, one hash for each range of
        /// record ids.
        range_hashes: Vec<u32>,
    },
    /// The answer to a digest.
    Differences {
        /// The token of the digest.
        token: u32,
        /// A bit for each range whose record ids follow; 0 if both processes hold the same records.
        ranges: u16,
        /// The ids of the records that the sender holds in those ranges.
        record_ids: Vec<u32>,
    },
    /// The ids of records that the sender lacks and requests.
    Request(Vec<u32>),
    /// Records that were requested, or that the receiver lacks or holds in an older state.
    Records(Vec<Item>),
    /// A message of the aggregation over all initiators.
    Aggregation(aggregation::Message),
}

/// The content of a datagram.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender. Its name is empty where the body holds no items.
    pub from: Observer,
    /// The body.
    pub body: Body,
}

/// The reason why a datagram is dropped. Decoding the same datagram again does not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// The datagram does not start with [`MAGIC`].
    #[error("not a gossip datagram: unknown first byte; check what else sends to this address")]
    UnknownMagic,
    /// The version of the datagram is not [`VERSION`].
    #[error(
        "unsupported gossip version {version}, expected {VERSION}: run the same release on both initiators"
    )]
    UnsupportedVersion {
        /// The sender's version.
        version: u8,
    },
    /// The checksum does not match, or the datagram is too short to have one.
    #[error("checksum mismatch: truncated or corrupted in transit; check the network path to this peer")]
    ChecksumMismatch,
    /// The checksum matches, but the message cannot be decoded.
    #[error("malformed message: the peer is faulty or not an initiator; stop that process")]
    Malformed,
}

/// Encodes a message as one datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![MAGIC, VERSION, 0, 0, 0, 0];
    bytes.extend(postcard::to_allocvec(message).unwrap_or_default());
    let checksum = crc32fast::hash(&bytes[HEADER_BYTES..]);
    bytes[2..HEADER_BYTES].copy_from_slice(&checksum.to_be_bytes());
    bytes
}

/// Decodes one datagram.
///
/// # Errors
///
/// Returns the reason why the datagram has to be dropped as a whole.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    match bytes {
        [MAGIC, VERSION, rest @ ..] => decode_message(rest),
        [MAGIC, version, ..] => Err(DecodeError::UnsupportedVersion { version: *version }),
        _ => Err(DecodeError::UnknownMagic),
    }
}

fn decode_message(bytes: &[u8]) -> Result<Message, DecodeError> {
    let (checksum, message) = bytes.split_first_chunk::<4>().ok_or(DecodeError::ChecksumMismatch)?;
    if crc32fast::hash(message) != u32::from_be_bytes(*checksum) {
        return Err(DecodeError::ChecksumMismatch);
    }
    match postcard::take_from_bytes(message) {
        Ok((message, [])) => Ok(message),
        _ => Err(DecodeError::Malformed),
    }
}

/// Returns the number of bytes that an item takes in a datagram.
pub fn encoded_len(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES)
}
