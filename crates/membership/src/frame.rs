//! The frames of an exchange over TCP.
//!
//! A frame consists of a magic number, a version, a length, a CRC-32 checksum and a message in postcard
//! encoding. A frame is applied only as a whole: after its last byte has arrived and its checksum was
//! verified.

use serde::{Deserialize, Serialize};
use shaletack_observations::{Observer, Report};
use std::time::Duration;

/// The frame version that this program speaks.
pub const FRAME_VERSION: u16 = 1;
/// Marks a status request when sent in place of a version; no message follows the header. The peer answers
/// with JSON and closes the connection. A peer of the previous release treats the value as an unsupported
/// version and closes the connection.
pub const STATUS_REQUEST_VERSION: u16 = 0x5354;
/// The maximum size of a message in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The size of the header in bytes.
pub const HEADER_BYTES: usize = 14;
/// The value of [`Message::round_trip`] in an answer, whose sender measures no round trip. The value tells
/// that the sender supports the gossip datagrams of `shaletack-gossip`. The previous release sends zero.
pub const GOSSIP_CAPABLE: Duration = Duration::from_nanos(1);
const MAGIC: [u8; 4] = *b"STPX";
/// Bytes of a message that are reserved for all fields but the reports: the sender, the round trip and the
/// report count.
const ENVELOPE_BYTES: usize = 256;

/// The message that each side of an exchange sends.
///
/// Encoded by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// The sender.
    pub from: Observer,
    /// The round trip that the sender measured to the receiver. Zero or [`GOSSIP_CAPABLE`] if it measured
    /// none.
    pub round_trip: Duration,
    /// The sender's reports, the most important first.
    pub reports: Vec<Report>,
}

/// Why a frame was rejected. No part of the frame is applied, and the connection cannot be used any further.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// The bytes do not begin with the magic number: the other side is not an initiator.
    #[error("not a frame of a peer: wrong magic number")]
    NotAFrame,
    /// The sender speaks another frame version. Both initiators have to run the same release.
    #[error("unsupported frame version {theirs}, expected {FRAME_VERSION}")]
    UnsupportedVersion {
        /// The version of the sender.
        theirs: u16,
    },
    /// The stated length of the message exceeds [`MAX_MESSAGE_BYTES`].
    #[error("message of {length} bytes exceeds the maximum of {MAX_MESSAGE_BYTES} bytes")]
    TooLong {
        /// The length stated in the header, in bytes.
        length: u32,
    },
    /// The frame ended early: the connection was closed or lost.
    #[error("truncated frame")]
    Truncated,
    /// The checksum does not match the message: the frame was altered in transit.
    #[error("frame checksum mismatch")]
    ChecksumMismatch,
    /// The checksum matches, but the message cannot be decoded: the other side is faulty or not an initiator.
    #[error("malformed message")]
    Malformed,
}

/// The decoded header of a frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The length of the message that follows, in bytes.
    pub message_bytes: usize,
    checksum: u32,
}

/// Encodes a whole frame. Reports that do not fit into [`MAX_MESSAGE_BYTES`] are dropped from the end of the
/// list.
pub fn encode(from: &Observer, round_trip: Duration, mut reports: Vec<Report>) -> Vec<u8> {
    reports.truncate(count_that_fits(&reports));
    let message = Message { from: from.clone(), round_trip, reports };
    let message = postcard::to_allocvec(&message).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEADER_BYTES + message.len());
    frame.extend(MAGIC);
    frame.extend(FRAME_VERSION.to_be_bytes());
    frame.extend((message.len() as u32).to_be_bytes());
    frame.extend(crc32fast::hash(&message).to_be_bytes());
    frame.extend(message);
    frame
}

/// Returns how many reports, counted from the first, fit into one message.
fn count_that_fits(reports: &[Report]) -> usize {
    let mut bytes_left = MAX_MESSAGE_BYTES - ENVELOPE_BYTES;
    let fits = |report: &&Report| {
        let size = postcard::to_allocvec(report).map_or(usize::MAX, |bytes| bytes.len());
        match bytes_left.checked_sub(size) {
            Some(left) => bytes_left = left,
            None => return false,
        }
        true
    };
    reports.iter().take_while(fits).count()
}

/// Encodes a status request; see [`STATUS_REQUEST_VERSION`].
pub fn status_request() -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&STATUS_REQUEST_VERSION.to_be_bytes());
    bytes
}

/// Decodes the header of a frame.
///
/// # Errors
///
/// Returns why the frame is rejected. A status request is reported as [`FrameError::UnsupportedVersion`] with
/// [`STATUS_REQUEST_VERSION`].
pub fn decode_header(bytes: &[u8; HEADER_BYTES]) -> Result<Header, FrameError> {
    let [m0, m1, m2, m3, v0, v1, l0, l1, l2, l3, c0, c1, c2, c3] = *bytes;
    let version = u16::from_be_bytes([v0, v1]);
    let length = u32::from_be_bytes([l0, l1, l2, l3]);
    if [m0, m1, m2, m3] != MAGIC {
        return Err(FrameError::NotAFrame);
    }
    if version != FRAME_VERSION {
        return Err(FrameError::UnsupportedVersion { theirs: version });
    }
    if length as usize > MAX_MESSAGE_BYTES {
        return Err(FrameError::TooLong { length });
    }
    Ok(Header { message_bytes: length as usize, checksum: u32::from_be_bytes([c0, c1, c2, c3]) })
}

/// Decodes the message that follows a header and verifies its checksum.
///
/// # Errors
///
/// Returns why the frame is rejected.
pub fn decode_message(header: Header, bytes: &[u8]) -> Result<Message, FrameError> {
    if bytes.len() < header.message_bytes {
        return Err(FrameError::Truncated);
    }
    if bytes.len() > header.message_bytes || crc32fast::hash(bytes) != header.checksum {
        return Err(FrameError::ChecksumMismatch);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(FrameError::Malformed),
    }
}

/// Decodes a whole frame.
///
/// # Errors
///
/// Returns why the frame is rejected.
pub fn decode(bytes: &[u8]) -> Result<Message, FrameError> {
    let (header, message) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or(FrameError::Truncated)?;
    decode_message(decode_header(header)?, message)
}
