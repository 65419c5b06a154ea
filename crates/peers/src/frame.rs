//! One frame: a magic word, a version, a length, a sum, and a message in postcard. Nothing of a frame counts
//! before its last byte and its sum are there.

use serde::{Deserialize, Serialize};
use shaletack_knowledge::{Observer, Told};
use std::fmt;
use std::time::Duration;

/// The version that this program speaks.
pub const VERSION: u16 = 1;
/// In place of a version, with nothing behind it: what does an operator see of this process? The answer is JSON up to
/// the connection's end. A process of the release before names it an unknown version and closes.
pub const STATUS: u16 = 0x5354;
/// The most bytes that a message takes.
pub const MESSAGE_MOST: usize = 64 << 10;
/// The bytes before a message.
pub const HEAD: usize = 14;
const MAGIC: [u8; 4] = *b"STPX";
/// The round trip in an answer, where nobody measured one and the release before says 0: whoever answers so takes
/// the gossip datagrams (`shaletack-gossip`).
pub const SPREADS: Duration = Duration::from_nanos(1);
/// Room for what is not a fact: the teller and the count.
const ENVELOPE: usize = 256;

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who tells it.
    pub from: Observer,
    /// The round trip that the teller measured to the hearer, where it could.
    pub trip: Duration,
    /// What it tells, most needed first.
    pub facts: Vec<Told>,
}

/// Why a frame is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Bad {
    /// It does not begin as a frame does.
    Noise,
    /// It is of a version that this program does not speak.
    Version(u16),
    /// Its message would be larger than any is.
    Oversize(u32),
    /// It ended early.
    Cut,
    /// Its sum is another one.
    Sum,
    /// Its message can't be read.
    Unreadable,
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Noise => f.write_str("not a peer's frame"),
            Bad::Version(theirs) => write!(f, "version {theirs}, where this program speaks {VERSION}"),
            Bad::Oversize(length) => write!(f, "{length} bytes, where {MESSAGE_MOST} are the most"),
            Bad::Cut => f.write_str("cut short"),
            Bad::Sum => f.write_str("the sum does not fit"),
            Bad::Unreadable => f.write_str("unreadable"),
        }
    }
}

impl std::error::Error for Bad {}

/// What a frame's first bytes say.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Head {
    /// The bytes that follow.
    pub length: usize,
    sum: u32,
}

/// A whole frame; facts that do not fit are left out, from the last on.
pub fn encode(from: &Observer, trip: Duration, mut facts: Vec<Told>) -> Vec<u8> {
    let mut room = MESSAGE_MOST - ENVELOPE;
    let fits = |fact: &Told| {
        let size = postcard::to_allocvec(fact).map_or(usize::MAX, |bytes| bytes.len());
        room.checked_sub(size).map(|left| room = left)
    };
    let count = facts.iter().map_while(fits).count();
    facts.truncate(count);
    let message = postcard::to_allocvec(&Message { from: from.clone(), trip, facts }).unwrap_or_default();
    let mut frame = Vec::with_capacity(HEAD + message.len());
    frame.extend(MAGIC);
    frame.extend(VERSION.to_be_bytes());
    frame.extend((message.len() as u32).to_be_bytes());
    frame.extend(crc32fast::hash(&message).to_be_bytes());
    frame.extend(message);
    frame
}

/// The question for a process's status.
pub fn status() -> [u8; HEAD] {
    let mut bytes = [0; HEAD];
    bytes[..4].copy_from_slice(&MAGIC);
    bytes[4..6].copy_from_slice(&STATUS.to_be_bytes());
    bytes
}

/// Reads a frame's first bytes.
pub fn head(bytes: &[u8; HEAD]) -> Result<Head, Bad> {
    let [m0, m1, m2, m3, v0, v1, l0, l1, l2, l3, s0, s1, s2, s3] = *bytes;
    let (version, length) = (u16::from_be_bytes([v0, v1]), u32::from_be_bytes([l0, l1, l2, l3]));
    if [m0, m1, m2, m3] != MAGIC {
        return Err(Bad::Noise);
    }
    if version != VERSION {
        return Err(Bad::Version(version));
    }
    if length as usize > MESSAGE_MOST {
        return Err(Bad::Oversize(length));
    }
    Ok(Head { length: length as usize, sum: u32::from_be_bytes([s0, s1, s2, s3]) })
}

/// Reads the message that follows a head.
pub fn message(head: Head, bytes: &[u8]) -> Result<Message, Bad> {
    if bytes.len() < head.length {
        return Err(Bad::Cut);
    }
    if bytes.len() > head.length || crc32fast::hash(bytes) != head.sum {
        return Err(Bad::Sum);
    }
    match postcard::take_from_bytes(bytes) {
        Ok((message, [])) => Ok(message),
        _ => Err(Bad::Unreadable),
    }
}

/// Reads a whole frame.
pub fn decode(bytes: &[u8]) -> Result<Message, Bad> {
    let (first, rest) = bytes.split_first_chunk::<HEAD>().ok_or(Bad::Cut)?;
    message(head(first)?, rest)
}
