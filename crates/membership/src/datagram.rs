//! What stands around a SWIM message in a datagram: a mark and a version, a byte each.

use bytes::Bytes;

/// The version of the membership protocol that this program speaks.
pub const DATAGRAM_VERSION: u8 = 1;
/// The longest datagram, in bytes: with its headers it fits into one Ethernet frame.
pub const MAX_DATAGRAM_BYTES: usize = 1400;
/// The first byte; that of gossip's datagrams at the same address is another one.
const MARK: u8 = 0xd7;
const HEADER: [u8; 2] = [MARK, DATAGRAM_VERSION];
/// The longest SWIM message, in bytes.
pub(crate) const MAX_MESSAGE_BYTES: usize = MAX_DATAGRAM_BYTES - HEADER.len();

/// Why a datagram was not accepted, or one could not be made. Nothing of the datagram counts.
#[derive(Debug, PartialEq, thiserror::Error)]
pub enum DatagramError {
    /// It does not begin as a membership datagram does: something else sends to this address.
    #[error("not a peer's datagram")]
    NotMembership,
    /// It is of a version that this program does not speak: bring both initiators to one release.
    #[error("version {theirs}, where this program speaks {DATAGRAM_VERSION}")]
    UnsupportedVersion {
        /// The version of the sender.
        theirs: u8,
    },
    /// The SWIM message in it cannot be read or followed.
    #[error("unreadable: {0}")]
    Unreadable(#[source] foca::Error),
    /// This process's own message could not be made.
    #[error("not sent: {0}")]
    NotSent(#[source] foca::Error),
}

/// A datagram that holds a SWIM message.
pub(crate) fn encode(message: &[u8]) -> Bytes {
    [&HEADER[..], message].concat().into()
}

/// The SWIM message in a datagram.
pub(crate) fn decode(datagram: &[u8]) -> Result<&[u8], DatagramError> {
    match datagram {
        [MARK, DATAGRAM_VERSION, message @ ..] => Ok(message),
        [MARK, theirs, ..] => Err(DatagramError::UnsupportedVersion { theirs: *theirs }),
        _ => Err(DatagramError::NotMembership),
    }
}
