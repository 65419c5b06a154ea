//! What operators ask of a log that no process serves from: what is not settled, and to settle it.

use super::files::Files;
use super::purpose;
use crate::operator::{Operator, WriteBack};
use shaletack_wal::SegmentStore;
use shaletack_writeback::{
    Buffer, Config, Effect, Input, OperatorDecision, PieceId, RecoveredBuffer, UnsettledPiece,
};
use std::time::Duration;

fn open(operator: &Operator) -> Result<(Files, Buffer, Vec<Effect>), String> {
    let set: &WriteBack = operator.write_back.as_ref().ok_or("the operator's file has no 'write_back'")?;
    let place = set.folder.display();
    if !set.folder.is_dir() {
        return Err(format!("{place}: there is no log"));
    }
    let (files, identity, found) = Files::open(&set.folder, 0, purpose(operator))?;
    let config = Config { log: set.log, attempt_lifetime: set.attempt_lives, doubt_policy: set.unsettled };
    let RecoveredBuffer { buffer, effects } = Buffer::recover(identity, config, &found, Duration::ZERO)
        .map_err(|error| format!("{place}: {error}"))?;
    Ok((files, buffer, effects))
}

/// All that is not settled, in the order of its coming.
pub fn list(operator: &Operator) -> Result<Vec<UnsettledPiece>, String> {
    open(operator).map(|(_, buffer, _)| buffer.list())
}

/// Settles a write by an operator's word: durable before this returns.
pub fn settle(operator: &Operator, id: PieceId, decision: OperatorDecision) -> Result<(), String> {
    let (mut files, mut buffer, mut effects) = open(operator)?;
    let held = buffer.list().into_iter().find(|held| held.id == id);
    match held {
        None => return Err(format!("there is no unsettled write {id}")),
        Some(held) if !held.may_have_run => {
            return Err(format!("write {id} was never sent: it goes to its box with the next start"));
        }
        Some(_) => {}
    }
    effects.extend(buffer.step(Duration::ZERO, Input::Decide { piece: id, decision }));
    // Commits one after another, until nothing waits.
    while !effects.is_empty() {
        let mut next = Vec::new();
        for effect in effects {
            match effect {
                Effect::Commit(commit) => {
                    files.commit(&commit).map_err(|e| format!("the log can't be written: {e}"))?;
                    next.extend(buffer.step(Duration::ZERO, Input::CommitSucceeded));
                }
                Effect::RemoveSegment(segment) => {
                    files.remove(segment).map_err(|e| format!("segment {segment}: {e}"))?;
                }
                // Nothing is sent from here.
                _ => {}
            }
        }
        effects = next;
    }
    Ok(())
}
