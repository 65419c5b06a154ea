//! What initiators know of boxes and volumes, how old it is, and what a peer's word is worth.
//!
//! It owns the facts that initiators tell each other ([`fact`]), their merge by age ([`Knowledge`]), what an
//! initiator says of its own attempts ([`Health`]) and the weighing of a peer's word against own news
//! ([`weigh`]). A peer's word only ever takes away: it stops, holds back, makes cold and counts off.
//!
//! It never reads a clock, a socket or a random number, and it sends nothing: moments come from the caller, and
//! between processes only spans travel.

pub mod fact;
mod health;
mod store;
mod weigh;

pub use fact::{Fact, Observer, Standing, Told, What};
pub use health::Health;
pub use store::{Knowledge, Refused};
pub use weigh::{demand, spent, weigh, Advice, Own};

use std::time::Duration;

/// Facts older than this are forgotten.
pub const KEPT: Duration = Duration::from_secs(60);
/// A box that a peer says takes no work is left alone this long from the moment the peer saw it so.
pub const TRUSTED: Duration = KEPT;
/// A box that fails at a peer is held back this long from that failure; then it is tried.
pub const HELD: Duration = Duration::from_secs(2);
/// Rates that are older say nothing of now.
pub const RATES: Duration = Duration::from_secs(4);
/// A fact that was passed on so often goes no further: a rumour takes some 7 hops to 570 initiators.
pub const HOPS_MOST: u8 = 32;
/// In an exchange over TCP facts say at most so many hops: a process of the release before takes no more, and passes
/// such a one no further.
pub const HOPS_EXCHANGED: u8 = 3;
/// Facts kept; past it those of boxes that nobody here knows go first, then the oldest.
pub const FACTS_MOST: usize = 8192;
/// The longest name of a box or an observer.
pub const NAME_MOST: usize = 128;
