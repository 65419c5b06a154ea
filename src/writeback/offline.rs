//! What operators do to a log that no process has open: list unsettled writes, and settle them.

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

/// No time passes for an offline log.
const NOW: Duration = Duration::ZERO;

/// Why a log can't be listed, or a write not settled.
#[derive(Debug, Error)]
pub enum OfflineError {
    /// The operator's file does not switch write-back on.
    #[error("the operator's file has no 'write_back'")]
    NotConfigured,
    /// The folder that the operator's file names is not there.
    #[error("{}: there is no log", folder.display())]
    NoLog {
        /// The folder.
        folder: PathBuf,
    },
    /// The log can't be opened.
    #[error(transparent)]
    Open(#[from] OpenError),
    /// There is no unsettled write of this number: list them.
    #[error("there is no unsettled write {0}")]
    UnknownWrite(PieceId),
    /// The write needs no decision.
    #[error("write {0} was never sent: it goes to its box with the next start")]
    NeverSent(PieceId),
    /// The decision is not durable.
    #[error("the log can't be written: {0}")]
    Write(#[source] io::Error),
    /// The decision is durable, but a segment that is not in use any more is still there.
    #[error("segment {segment}: {source}")]
    RemoveSegment {
        /// The segment.
        segment: SegmentNumber,
        /// What the disk says.
        source: io::Error,
    },
}

/// All unsettled writes, in the order of arrival.
///
/// # Errors
/// The log can't be opened.
pub fn list(operator: &OperatorConfig) -> Result<Vec<UnsettledPiece>, OfflineError> {
    Ok(OfflineLog::open(operator)?.buffer.list())
}

/// Settles a write by an operator's decision, which is durable when this returns.
///
/// # Errors
/// The log can't be opened or written, or the write needs no decision.
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

struct OfflineLog {
    files: SegmentFiles,
    buffer: Buffer,
    /// What recovery asks for.
    effects: Vec<Effect>,
}

impl OfflineLog {
    fn open(operator: &OperatorConfig) -> Result<Self, OfflineError> {
        let settings = operator.write_back.as_ref().ok_or(OfflineError::NotConfigured)?;
        let folder = &settings.folder;
        if !folder.is_dir() {
            return Err(OfflineError::NoLog { folder: folder.clone() });
        }
        let OpenedLog { files, identity, found } = SegmentFiles::open(folder, 0, purpose(operator))?;
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(identity, buffer_config(settings), &found, NOW)
                .map_err(|error| OpenFailure::from(error).of(folder))?;
        Ok(OfflineLog { files, buffer, effects })
    }

    fn decide(mut self, id: PieceId, decision: OperatorDecision) -> Result<(), OfflineError> {
        let mut effects = std::mem::take(&mut self.effects);
        effects.extend(self.buffer.step(NOW, Input::Decide { piece: id, decision }));
        // One commit follows from another, until nothing waits.
        while !effects.is_empty() {
            effects = self.carry_out(effects)?;
        }
        Ok(())
    }

    /// Carries out what concerns the log; nothing is sent from here. Returns what follows from that.
    fn carry_out(&mut self, effects: Vec<Effect>) -> Result<Vec<Effect>, OfflineError> {
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
