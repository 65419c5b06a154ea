//! The header of a membership datagram: a magic byte and a protocol version byte, followed by the SWIM
//! message.

use bytes::Bytes;

/// The membership protocol version that this program speaks.
pub const DATAGRAM_VERSION: u8 = 1;
/// The maximum size of a datagram in bytes. A datagram of this size and its headers fit into one Ethernet
/// frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The first byte of every membership datagram. Gossip datagrams, which arrive at the same address, begin
/// with another one.
const MAGIC: u8 = 0xd7;
const HEADER: [u8; 2] = [MAGIC, DATAGRAM_VERSION];
/// The maximum size of a SWIM message in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER.len();

/// Why a received datagram was rejected, or why a datagram could not be encoded. No part of a rejected
/// datagram is applied.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DatagramError {
    /// The datagram does not begin with the magic byte: another program sends to this address.
    #[error("not a membership datagram")]
    NotMembership,
    /// The sender speaks another protocol version. Both initiators have to run the same release.
    #[error("unsupported membership protocol version {theirs}, expected {DATAGRAM_VERSION}")]
    UnsupportedVersion {
        /// The version of the sender.
        theirs: u8,
    },
    /// The SWIM message could not be decoded or applied.
    #[error("invalid SWIM message: {0}")]
    Unreadable(#[source] foca::Error),
    /// A SWIM message of this process could not be encoded.
    #[error("could not encode a SWIM message: {0}")]
    NotSent(#[source] foca::Error),
}

/// Encodes a datagram that holds a SWIM message.
pub(crate) fn encode(message: &[u8]) -> Bytes {
    [&HEADER[..], message].concat().into()
}

/// Returns the SWIM message in a datagram.
pub(crate) fn decode(datagram: &[u8]) -> Result<&[u8], DatagramError> {
    match datagram {
        [MAGIC, DATAGRAM_VERSION, message @ ..] => Ok(message),
        [MAGIC, theirs, ..] => Err(DatagramError::UnsupportedVersion { theirs: *theirs }),
        _ => Err(DatagramError::NotMembership),
    }
}
