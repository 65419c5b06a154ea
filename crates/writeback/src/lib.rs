//! A crash-safe write-back cache, without file and network I/O.
//!
//! Writes arrive in bursts, and clients would have to wait while the endpoints process them. This cache
//! acknowledges a write from a log on the initiator's disk and sends the write to its endpoint later. Two
//! guarantees hold across crashes: data that was acknowledged by a flush or by a write with FUA is not lost,
//! and no write reaches an endpoint twice.
//!
//! [`Buffer`] is a reducer: it takes inputs, returns effects, and reads no clock. Each of its components owns
//! a part of the state:
//!
//! - the piece table: the pieces of unsettled writes, which of them overlap, and the overlay for reads
//!   ([`Overlay`]);
//! - barriers: the commands that wait until a record is durable;
//! - the journal: the log, and which record holds which piece;
//! - the send queue: pieces whose intent is not durable yet, and pieces that wait for log space for their
//!   intent.
//!
//! A piece is sent to its endpoint only after its intent is durable. It is sent again only after proof that
//! it never ran, by an operator's decision, or where [`InDoubtPolicy::Resend`] is configured.

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
pub use config::{Config, InDoubtPolicy};
pub use events::{AttemptOutcome, CommandId, Effect, Input, OperatorDecision, RejectReason, StoredData};
pub use overlay::{Overlay, OverlaySpan};
pub use piece::{Piece, PieceId, PieceState, UnsettledPiece};
pub use recovery::UnreadableRecord;
