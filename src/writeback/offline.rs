//! Operations on a log that no process has open: listing unsettled writes and settling them.

use super::cache::buffer_config;
use super::error::{OpenError, OpenFailure};
use super::identity::purpose;
use super::segment_files::{OpenedLog, SegmentFiles};
use crate::operator::OperatorConfig;
use shaletack_wal::{SegmentNumber, SegmentStore};
use shaletack_writeback::{
    Buffer, Effect, Input, OperatorDecision, PieceId, RecoveredBuffer, UnsettledPiece,
};
use std::io;
use std::path::PathBuf;
use std::time::Duration;
use thiserror::Error;

/// An offline log needs no clock: all steps of its buffer happen at the same time.
const NOW: Duration = Duration::ZERO;

/// Why a log could not be listed or a write not settled.
#[derive(Debug, Error)]
pub enum OfflineError {
    /// The operator's file does not enable write-back.
    #[error("the operator's file has no 'write_back'")]
    NotConfigured,
    /// The folder named in the operator's file does not exist.
    #[error("{}: there is no log", folder.display())]
    NoLog {
        /// The folder.
        folder: PathBuf,
    },
    /// The log can't be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// No unsettled write has this number; [`list`] returns those that exist.
    #[error("there is no unsettled write {0}")]
    UnknownWrite(PieceId),
    /// The write was never sent, and therefore needs no decision.
    #[error("write {0} was never sent and needs no decision: it is sent to its box after the next start")]
    NeverSent(PieceId),
    /// The decision could not be made durable.
    #[error("the log can't be written: {0}")]
    Write(#[source] io::Error),
    /// The decision is durable, but a segment that is no longer in use could not be removed.
    #[error("segment {segment} can't be removed: {source}")]
    RemoveSegment {
        /// The segment.
        segment: SegmentNumber,
        /// The error of the file system.
        source: io::Error,
    },
}

/// Returns all unsettled writes, in the order of arrival.
///
/// # Errors
/// Fails if the log can't be opened.
pub fn list(operator: &OperatorConfig) -> Result<Vec<UnsettledPiece>, OfflineError> {
    Ok(OfflineLog::open(operator)?.buffer.list())
}

/// Settles a write by an operator's decision, which is durable when this function returns.
///
/// # Errors
/// Fails if the log can't be opened or written, if the write does not exist, or if it needs no decision.
pub fn settle(
    operator: &OperatorConfig,
    id: PieceId,
    decision: OperatorDecision,
) -> Result<(), OfflineError> {
    let log = OfflineLog::open(operator)?;
    let unsettled = log.buffer.list().into_iter().find(|piece| piece.id == id);
    let may_have_run = unsettled.ok_or(OfflineError::UnknownWrite(id))?.may_have_run;
    if !may_have_run {
        return Err(OfflineError::NeverSent(id));
    }
    log.decide(id, decision)
}

/// A log opened without a running cache.
struct OfflineLog {
    files: SegmentFiles,
    buffer: Buffer,
    /// The effects of recovery, not executed yet.
    effects: Vec<Effect>,
}

impl OfflineLog {
    fn open(operator: &OperatorConfig) -> Result<Self, OfflineError> {
        let settings = operator.write_back.as_ref().ok_or(OfflineError::NotConfigured)?;
        let folder = &settings.folder;
        if !folder.is_dir() {
            return Err(OfflineError::NoLog { folder: folder.clone() });
        }
        let OpenedLog { files, identity, recovered } = SegmentFiles::open(folder, 0, purpose(operator))?;
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(identity, buffer_config(settings), &recovered, NOW)
                .map_err(|error| OpenFailure::from(error).in_folder(folder))?;
        Ok(OfflineLog { files, buffer, effects })
    }

    fn decide(mut self, id: PieceId, decision: OperatorDecision) -> Result<(), OfflineError> {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.buffer.step(NOW, Input::Decide { piece: id, decision }));
        // A finished commit can lead to another one, until nothing is left to write.
        while !effects.is_empty() {
            effects = self.execute_log_effects(effects)?;
        }
        Ok(())
    }

    /// Executes the effects that concern the log and ignores all others: an offline log sends nothing.
    /// Returns the effects that follow.
    fn execute_log_effects(&mut self, effects: Vec<Effect>) -> Result<Vec<Effect>, OfflineError> {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::Commit(commit) => {
                    self.files.commit(&commit).map_err(OfflineError::Write)?;
                    next.extend(self.buffer.step(NOW, Input::CommitSucceeded));
                }
                Effect::RemoveSegment(segment) => {
                    let removed = self.files.remove(segment);
                    removed.map_err(|source| OfflineError::RemoveSegment { segment, source })?;
                }
                _ => {}
            }
        }
        Ok(next)
    }
}
