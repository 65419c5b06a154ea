//! The datagrams of the gossip protocol: a magic byte, a version, a checksum, and a message in postcard.
//!
//! UDP loses, cuts and alters datagrams, and anybody may send to the port. So a datagram counts as a whole or not at all.
//! The encoding goes by position: the order of fields and variants is part of the protocol.

use crate::{aggregation, Locality};
use serde::{Deserialize, Serialize};
use shaletack_observations::{Observer, Report};
use std::net::SocketAddr;
use std::time::Duration;

/// The first byte of each datagram; none of the membership protocol begins with it.
pub const MAGIC: u8 = 0xd8;
/// The protocol version that this program speaks.
pub const VERSION: u8 = 1;
/// Bytes before the message: magic, version and checksum.
pub const HEADER_BYTES: usize = 6;
/// The most bytes in one datagram, the same as the membership protocol's.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// Bytes that the network adds to each datagram: IPv4's and UDP's headers.
pub const IP_UDP_HEADER_BYTES: usize = 28;

/// An initiator as the others know it. It changes only when the process restarts.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct MembershipRecord {
    /// Its name and incarnation.
    pub process: Observer,
    /// Where it receives datagrams.
    pub address: SocketAddr,
    /// Where it stands.
    pub locality: Locality,
}

/// A message that known observations still hold, so that they are not forgotten. It costs 5 bytes for each where the
/// observation would take 45.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refresh {
    /// Who still sees it.
    pub observer: Observer,
    /// How often this was passed on, this time included.
    pub hops: u8,
    /// How long ago it was seen.
    pub age: Duration,
    /// Ids of the records.
    pub record_ids: Vec<u32>,
}

/// One record of an update or of the answer to a digest.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Something that was seen of an endpoint.
    Observation(Report),
    /// Who an initiator is.
    Member(MembershipRecord),
    /// Known observations that still hold.
    Refresh(Refresh),
}

/// What one process sends another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// Updates, pushed.
    Push(Vec<Item>),
    /// A digest of all records that are held.
    Digest {
        /// Comes back with the answer.
        token: u32,
        /// One hash of everything; or, in answer to another such hash, one for each range of record ids.
        range_hashes: Vec<u32>,
    },
    /// The answer to a digest.
    Differences {
        /// The digest's token.
        token: u32,
        /// A bit for each range whose records follow; 0: everything is equal.
        ranges: u16,
        /// Ids of the records that the sender holds in those ranges.
        record_ids: Vec<u32>,
    },
    /// Ids of records that the sender lacks.
    Request(Vec<u32>),
    /// Records that were requested, or that the receiver was found to lack.
    Records(Vec<Item>),
    /// Aggregation over all initiators.
    Aggregation(aggregation::Message),
}

/// What a datagram holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it; without a name where the body holds no items.
    pub from: Observer,
    /// What it says.
    pub body: Body,
}

/// Why a datagram is dropped. Trying again does not help.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum DecodeError {
    /// It does not begin with [`MAGIC`].
    #[error("not a peer's datagram: see who else sends to this address")]
    UnknownMagic,
    /// Its version is not [`VERSION`].
    #[error("version {theirs} of the gossip protocol, where this program speaks {VERSION}: bring both to one release")]
    UnsupportedVersion {
        /// The sender's version.
        theirs: u8,
    },
    /// Its checksum does not match.
    #[error("cut or altered on the way: see the path to that peer")]
    ChecksumMismatch,
    /// Its message can't be decoded.
    #[error("unreadable: that peer is broken or no initiator, stop it")]
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
/// Says why the datagram is dropped; nothing of it counts then.
pub fn decode(bytes: &[u8]) -> Result<Message, DecodeError> {
    match bytes {
        [MAGIC, VERSION, rest @ ..] => decode_message(rest),
        [MAGIC, theirs, ..] => Err(DecodeError::UnsupportedVersion { theirs: *theirs }),
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

/// Bytes that an item takes in a datagram.
pub fn encoded_len(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(MAX_DATAGRAM_BYTES)
}
