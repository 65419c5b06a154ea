//! One datagram of the spread: a mark, a version, a sum, and a message in postcard. Nothing of it counts unless all
//! of it is as it went.

use crate::sums;
use crate::Place;
use serde::{Deserialize, Serialize};
use shaletack_knowledge::{Observer, Told};
use std::net::SocketAddr;
use std::time::Duration;

/// The first byte: none of membership's.
pub const MARK: u8 = 0xd8;
/// The version that this program speaks.
pub const VERSION: u8 = 1;
/// The bytes before a message.
pub const HEAD: usize = 6;
/// The most bytes of a datagram, as membership's.
pub const DATAGRAM_MOST: usize = 1400;
/// What the network adds to each datagram: IPv4's and UDP's headers.
pub const HEADERS: usize = 28;

/// An initiator as the others know it; it changes with a restart only.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Card {
    /// Its name and life.
    pub who: Observer,
    /// Where it hears datagrams.
    pub at: SocketAddr,
    /// Where it stands.
    pub place: Place,
}

/// Somebody still sees what these records say.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Still {
    /// Who sees it.
    pub by: Observer,
    /// How often this was passed on, this time included.
    pub hops: u8,
    /// How long ago it was seen.
    pub age: Duration,
    /// Hashes of the records.
    pub ids: Vec<u32>,
}

/// What a rumour or a digest's answer brings.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Item {
    /// Something about a box.
    Fact(Told),
    /// An initiator.
    Card(Card),
    /// Known things that are still so.
    Still(Still),
}

/// What one process tells another.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// News, pushed.
    News(Vec<Item>),
    /// One sum of all that is held, or, in answer to another one, one for each range; the token comes back with the
    /// answer.
    Digest(u32, Vec<u32>),
    /// The ranges that differ, a bit each, and what is held in them. No bit: all is the same.
    Differs(u32, u16, Vec<u32>),
    /// Records that the other is asked for.
    Want(Vec<u32>),
    /// Records that were asked for, or found missing.
    Records(Vec<Item>),
    /// Sums over all initiators.
    Sums(sums::Message),
}

/// A whole message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Message {
    /// Who tells it; without a name where nothing is told that others saw.
    pub from: Observer,
    /// What it tells.
    pub body: Body,
}

/// Why a datagram is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Bad {
    /// It does not begin as a peer's does.
    #[error("not a peer's datagram: see who else sends to this address")]
    Noise,
    /// It is of a version that this program does not speak.
    #[error("version {0} of the spread, where this program speaks {VERSION}: bring both to one release")]
    Version(u8),
    /// Its sum is another one.
    #[error("cut or altered on the way: see the path to that peer")]
    Sum,
    /// Its message can't be read.
    #[error("unreadable: that peer is broken or no initiator, stop it")]
    Unreadable,
}

/// A whole datagram.
pub fn encode(message: &Message) -> Vec<u8> {
    let mut bytes = vec![MARK, VERSION, 0, 0, 0, 0];
    bytes.extend(postcard::to_allocvec(message).unwrap_or_default());
    let sum = crc32fast::hash(&bytes[HEAD..]);
    bytes[2..HEAD].copy_from_slice(&sum.to_be_bytes());
    bytes
}

/// Reads a whole datagram.
///
/// # Errors
///
/// Says why it is not taken; nothing of it counts then.
pub fn decode(bytes: &[u8]) -> Result<Message, Bad> {
    match bytes {
        [MARK, VERSION, sum @ ..] => {
            let (sum, rest) = sum.split_first_chunk::<4>().ok_or(Bad::Sum)?;
            if crc32fast::hash(rest) != u32::from_be_bytes(*sum) {
                return Err(Bad::Sum);
            }
            match postcard::take_from_bytes(rest) {
                Ok((message, [])) => Ok(message),
                _ => Err(Bad::Unreadable),
            }
        }
        [MARK, theirs, ..] => Err(Bad::Version(*theirs)),
        _ => Err(Bad::Noise),
    }
}

/// How many bytes an item takes in a datagram.
pub fn size(item: &Item) -> usize {
    postcard::experimental::serialized_size(item).unwrap_or(DATAGRAM_MOST)
}
