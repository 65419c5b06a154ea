//! One frame of an exchange over TCP: a magic number, a version, a length, a checksum, and a message in postcard. Nothing
//! of a frame counts before its last byte has come and its checksum fits.

use serde::{Deserialize, Serialize};
use shaletack_observations::{Observer, Report};
use std::time::Duration;

/// The version of frames that this program speaks.
pub const FRAME_VERSION: u16 = 1;
/// In place of a version, with nothing after the header: the peer is asked for its status. It answers with JSON, up to the
/// end of the connection. The release before names it an unknown version and closes.
pub const STATUS_REQUEST_VERSION: u16 = 0x5354;
/// The longest message, in bytes.
pub const MAX_MESSAGE_BYTES: usize = 64 << 10;
/// The bytes before a message.
pub const HEADER_BYTES: usize = 14;
/// What an answer says for its round trip, which its sender did not measure: the sender speaks the gossip datagrams of
/// `shaletack-spread`. The release before says zero.
pub const GOSSIP_CAPABLE: Duration = Duration::from_nanos(1);
const MAGIC: [u8; 4] = *b"STPX";
/// Bytes of a message that are kept for what is not a report: the sender, the round trip and the count.
const ENVELOPE_BYTES: usize = 256;

/// What one process sends another in an exchange.
///
/// Sent by position: the order of the fields is part of the wire format.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who sends it.
    pub from: Observer,
    /// The round trip that the sender measured to the receiver; zero, or [`GOSSIP_CAPABLE`], where it measured none.
    pub round_trip: Duration,
    /// What it reports, the most needed first.
    pub reports: Vec<Report>,
}

/// Why a frame was not accepted. Nothing of it counts; the connection is of no further use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FrameError {
    /// It does not begin as a frame does: the other side is no initiator.
    #[error("not a peer's frame")]
    NotAFrame,
    /// It is of a version that this program does not speak: bring both initiators to one release.
    #[error("version {theirs}, where this program speaks {FRAME_VERSION}")]
    UnsupportedVersion {
        /// The version of the sender.
        theirs: u16,
    },
    /// Its message would be longer than any is.
    #[error("{length} bytes, where {MAX_MESSAGE_BYTES} are the most")]
    TooLong {
        /// The length that the frame states, in bytes.
        length: u32,
    },
    /// It ended early: the connection was closed or cut.
    #[error("truncated")]
    Truncated,
    /// Its checksum is another one: it was altered on the way.
    #[error("checksum mismatch")]
    ChecksumMismatch,
    /// Its message cannot be decoded: the other side is broken or no initiator.
    #[error("unreadable")]
    Malformed,
}

/// What the header of a frame says.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Header {
    /// The length of the message that follows, in bytes.
    pub message_bytes: usize,
    checksum: u32,
}

/// A whole frame. Reports that do not fit are left out, from the last on.
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

/// How many reports, from the first on, fit into one message.
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

/// The request for a process's status.
pub fn status_request() -> [u8; HEADER_BYTES] {
    let mut bytes = [0; HEADER_BYTES];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&STATUS_REQUEST_VERSION.to_be_bytes());
    bytes
}

/// Reads the header of a frame.
///
/// # Errors
///
/// Says why the frame is not accepted; a request for the status is [`FrameError::UnsupportedVersion`] with
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

/// Reads the message that follows a header.
///
/// # Errors
///
/// Says why the frame is not accepted.
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

/// Reads a whole frame.
///
/// # Errors
///
/// Says why the frame is not accepted.
pub fn decode(bytes: &[u8]) -> Result<Message, FrameError> {
    let (header, message) = bytes.split_first_chunk::<HEADER_BYTES>().ok_or(FrameError::Truncated)?;
    decode_message(decode_header(header)?, message)
}
