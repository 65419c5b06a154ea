//! What goes into the buffer and what comes out of it.

use crate::piece::{Piece, PieceId};
use bytes::Bytes;
use shaletack_wal::{AppendError, Commit, SegmentNumber};
use std::time::Duration;
use thiserror::Error;

/// What a caller knows a command by. Never used twice.
pub type CommandId = u64;

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint says that the write is done.
    Completed,
    /// The write never ran and never will.
    NeverRan,
    /// The write may have run, or may yet.
    Unknown,
}

/// An operator's decision on a write in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorDecision {
    /// It never ran: send it.
    Resend,
    /// The endpoint has what it is to have: forget the write.
    Drop,
}

/// Why a write is rejected. Nothing of it is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The log has no room until something is settled.
    #[error("the log is full")]
    LogFull,
    /// The write is larger than the log takes.
    #[error("the write is too large for the log")]
    TooLarge,
}

impl From<AppendError> for RejectReason {
    fn from(error: AppendError) -> Self {
        match error {
            AppendError::Full => RejectReason::LogFull,
            AppendError::TooLarge => RejectReason::TooLarge,
        }
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client writes.
    Write {
        /// The command.
        command: CommandId,
        /// The volume that is written to.
        volume: u64,
        /// The write's parts, in order.
        pieces: Vec<Piece>,
        /// Force unit access: it is acknowledged only once it is durable.
        fua: bool,
    },
    /// A client asks for all writes to a volume that were taken so far to be durable.
    Flush {
        /// The command.
        command: CommandId,
        /// The volume.
        volume: u64,
    },
    /// The commit in flight is on stable storage.
    CommitSucceeded,
    /// Nothing else is to be written for a while.
    Idle,
    /// A piece may go to its endpoint now.
    Start(PieceId),
    /// An attempt ended.
    AttemptEnded {
        /// The piece that was sent.
        piece: PieceId,
        /// What its end proves.
        outcome: AttemptOutcome,
    },
    /// What the endpoint holds where a piece belongs.
    ReadBack {
        /// The piece.
        piece: PieceId,
        /// What is there; `None`: it could not be read.
        data: Option<Bytes>,
    },
    /// An operator decides on a piece in doubt.
    Decide {
        /// The piece.
        piece: PieceId,
        /// What becomes of it.
        decision: OperatorDecision,
    },
    /// The time of [`Effect::SetTimer`] has come.
    TimerFired,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write this, make it durable, and come back with [`Input::CommitSucceeded`]. A commit that fails is to be
    /// written again as a whole.
    Commit(Commit),
    /// Remove a segment of the log, which is not in use any more.
    RemoveSegment(SegmentNumber),
    /// A command is done.
    Acknowledge(CommandId),
    /// A command is rejected.
    Reject {
        /// The command.
        command: CommandId,
        /// Why.
        reason: RejectReason,
    },
    /// A piece may be sent from now on, whenever there is capacity: come back with [`Input::Start`].
    Ready(PieceId),
    /// A piece that was ready is not to be sent any more.
    Withdraw(PieceId),
    /// The intent of a piece is durable: send it once, and come back with [`Input::AttemptEnded`].
    Send(PieceId),
    /// Read what the endpoint holds where a piece belongs, and come back with [`Input::ReadBack`].
    ReadBack(PieceId),
    /// A piece can't be settled without an operator.
    InDoubt(PieceId),
    /// Come back with [`Input::TimerFired`] at this time. It replaces any earlier timer, and a step without it
    /// leaves none.
    SetTimer(Duration),
}
