//! What becomes of each buffered write.
//!
//! It owns the states of a write between its client and its box ([`Buffer`]): what is durable, which intent is,
//! what may be sent and in which order, what reads see of it, when a flush is done, what a restart makes of each,
//! and what only an operator can settle.
//!
//! It never opens a file or a socket and reads no clock: what is to be made durable, sent and read back goes out
//! as effects, and how that ended comes in. A write goes to a box only after its intent is durable, and again only
//! after proof that it never ran, or by an operator's word.

mod buffer;
mod record;

pub use buffer::{Buffer, Config, Decision, Effect, Held, Input, NewPiece, Proof, Refusal, Stage, Unsettled};

/// The number of a piece of a write, on one shard and no larger than a request; never used twice in a log.
pub type PieceId = u64;
/// What a caller knows a command by.
pub type Token = u64;
