//! A write-back cache that keeps its promises across crashes, without files and sockets.
//!
//! Writes come in bursts, and clients would wait while the endpoints work them off. Here a write is acknowledged
//! from a log on the initiator's disk and goes to its endpoint later. Two things must hold whatever crashes: what
//! a flush or a write with FUA acknowledged is not lost, and no write reaches an endpoint twice.
//!
//! [`Buffer`] is a reducer: inputs go in, effects come out, and it reads no clock. It is put together from parts
//! that each own their state:
//!
//! - the pieces of unsettled writes, what overlaps what, and the overlay for reads ([`Overlay`]);
//! - barriers: the commands that wait until a record is durable;
//! - the journal: the log, and which record is in use by which piece;
//! - the send queue: pieces whose intent is on its way into the log, and those that wait for room there.
//!
//! A piece goes to an endpoint only after an intent is durable, and again only after proof that it never ran, or
//! by an operator's decision.

mod barriers;
mod buffer;
mod config;
mod events;
mod journal;
mod overlay;
mod piece;
mod piece_table;
mod record;
mod recovery;
mod send_queue;

pub use buffer::{Buffer, BufferUsage, RecoveredBuffer};
pub use config::{Config, DoubtPolicy};
pub use events::{AttemptOutcome, CommandId, Effect, Input, OperatorDecision, RejectReason};
pub use overlay::{Overlay, OverlaySpan};
pub use piece::{Piece, PieceId, PieceState, UnsettledPiece};
pub use recovery::UnreadableRecord;
