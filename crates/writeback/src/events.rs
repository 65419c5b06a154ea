//! The inputs and effects of the buffer.

use crate::piece::{Piece, PieceId};
use bytes::Bytes;
use shaletack_wal::{AppendError, Commit, SegmentNumber};
use std::time::Duration;
use thiserror::Error;

/// Identifies a command of the caller. Never reused.
pub type CommandId = u64;

/// What the end of an attempt proves about the write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptOutcome {
    /// The endpoint confirmed the write.
    Completed,
    /// The write never ran and never will.
    NeverRan,
    /// The write may have run, or may still run.
    Unknown,
}

/// What a read of an endpoint's data at the location of a piece found.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StoredData {
    /// This data is on the endpoint's stable storage.
    Durable(Bytes),
    /// The endpoint returned this data, which it may hold in memory only.
    MaybeVolatile(Bytes),
    /// The data could not be read, or could not be made durable.
    Unreadable,
}

/// An operator's decision about a write in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OperatorDecision {
    /// The write never ran: send it.
    Resend,
    /// The endpoint already holds the intended data: discard the write.
    Drop,
}

/// Why a write is rejected. No part of a rejected write is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum RejectReason {
    /// The log has no free space until writes are settled.
    #[error("the log is full")]
    LogFull,
    /// A record of the write is larger than the log accepts.
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

/// An event for the buffer.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client writes.
    Write {
        /// The client's command.
        command: CommandId,
        /// The volume to write to.
        volume: u64,
        /// The pieces of the write, in order.
        pieces: Vec<Piece>,
        /// Force unit access: the write is acknowledged only once it is durable.
        fua: bool,
    },
    /// A client asks that all writes accepted so far for a volume become durable.
    Flush {
        /// The client's command.
        command: CommandId,
        /// The volume to flush.
        volume: u64,
    },
    /// The commit in flight is on stable storage.
    CommitSucceeded,
    /// Nothing was written for a while: the log can be sealed.
    Idle,
    /// The scheduler lets a ready piece start now.
    Start(PieceId),
    /// An attempt ended.
    AttemptEnded {
        /// The piece that was sent.
        piece: PieceId,
        /// What the end of the attempt proves.
        outcome: AttemptOutcome,
    },
    /// The endpoint's data at the location of a piece was read, see [`Effect::ReadBack`].
    ReadBack {
        /// The piece.
        piece: PieceId,
        /// The data at the endpoint.
        data: StoredData,
    },
    /// An operator decides about a piece in doubt.
    Decide {
        /// The piece.
        piece: PieceId,
        /// The operator's decision.
        decision: OperatorDecision,
    },
    /// The time of [`Effect::SetTimer`] was reached.
    TimerFired,
}

/// An action that the caller executes for the buffer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write this commit, make it durable, and report [`Input::CommitSucceeded`]. A commit that fails has to
    /// be written again as a whole.
    Commit(Commit),
    /// Remove a segment of the log that is no longer in use.
    RemoveSegment(SegmentNumber),
    /// Report to the client that its command succeeded.
    Acknowledge(CommandId),
    /// Report to the client that its command is rejected.
    Reject {
        /// The client's command.
        command: CommandId,
        /// The reason.
        reason: RejectReason,
    },
    /// A piece may be sent as soon as there is capacity: report [`Input::Start`] then.
    Ready(PieceId),
    /// A piece that was reported ready must no longer be sent.
    Withdraw(PieceId),
    /// The intent of a piece is durable: send the piece once, and report [`Input::AttemptEnded`].
    Send(PieceId),
    /// Read the endpoint's data at the location of a piece, find out whether it is durable, and report
    /// [`Input::ReadBack`].
    ReadBack(PieceId),
    /// A piece is in doubt: only an operator can settle it.
    InDoubt(PieceId),
    /// Report [`Input::TimerFired`] at this time. Replaces any earlier timer. A step that returns no
    /// `SetTimer` leaves no timer set.
    SetTimer(Duration),
}
