//! The buffer: a reducer that passes each input through the components that own the state.

use crate::barriers::Barriers;
use crate::config::{Config, InDoubtPolicy};
use crate::events::{AttemptOutcome, CommandId, Effect, Input, OperatorDecision, RejectReason, StoredData};
use crate::journal::Journal;
use crate::overlay::Overlay;
use crate::piece::{BufferedPiece, Piece, PieceId, PieceState, UnsettledPiece};
use crate::piece_table::PieceTable;
use crate::record::Record;
use crate::recovery::{Replay, UnreadableRecord};
use crate::send_queue::SendQueue;
use shaletack_wal::{Identity, RecordNumber, RecoveredLog};
use std::time::Duration;

/// Delay after which a failed read-back is retried.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// The current size of a buffer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferUsage {
    /// Number of unsettled pieces.
    pub pieces: usize,
    /// Bytes used by the log.
    pub log_bytes: u64,
}

/// All buffered writes of one process.
#[derive(Clone, Debug)]
pub struct Buffer {
    config: Config,
    last_piece: PieceId,
    pieces: PieceTable,
    barriers: Barriers,
    journal: Journal,
    send_queue: SendQueue,
}

/// A buffer recovered from the log of another process.
#[derive(Clone, Debug)]
pub struct RecoveredBuffer {
    /// The buffer.
    pub buffer: Buffer,
    /// Effects to execute before the first step.
    pub effects: Vec<Effect>,
}

impl Buffer {
    /// Creates an empty buffer with an empty log.
    pub fn new(identity: Identity, config: Config) -> Self {
        Buffer {
            config,
            last_piece: 0,
            pieces: PieceTable::default(),
            barriers: Barriers::default(),
            journal: Journal::new(identity, config.log),
            send_queue: SendQueue::default(),
        }
    }

    /// Resumes from the log of another process. A piece that may have run, or may still run, waits until no
    /// attempt can still run.
    ///
    /// # Errors
    /// Fails if the log holds a record that can't be decoded.
    pub fn recover(
        identity: Identity,
        config: Config,
        recovered: &RecoveredLog,
        now: Duration,
    ) -> Result<RecoveredBuffer, UnreadableRecord> {
        let Replay { pieces, barriers, journal, last_piece, .. } =
            Replay::run(identity, &config, recovered, now)?;
        let send_queue = SendQueue::default();
        let mut buffer = Buffer { config, last_piece, pieces, barriers, journal, send_queue };
        let mut effects = Vec::new();
        for id in buffer.pieces.ids() {
            buffer.mark_ready(id, &mut effects);
        }
        buffer.advance(now, &mut effects);
        Ok(RecoveredBuffer { buffer, effects })
    }

    /// Returns the overlay for a read of a range of a volume. To be taken before the read is sent to an
    /// endpoint.
    pub fn overlay(&self, volume: u64, offset: u64, length: u64) -> Overlay {
        self.pieces.overlay(volume, offset..offset + length)
    }

    /// Returns the data and location of an unsettled piece.
    pub fn piece(&self, id: PieceId) -> Option<&Piece> {
        self.pieces.get(id).map(|buffered| &buffered.piece)
    }

    /// Returns the volume that an unsettled piece is written to.
    pub fn volume(&self, id: PieceId) -> Option<u64> {
        self.pieces.get(id).map(|buffered| buffered.volume)
    }

    /// Returns the state of a piece, or `None` if the piece is settled or never existed.
    pub fn state(&self, id: PieceId) -> Option<PieceState> {
        self.pieces.state(id)
    }

    /// Returns whether everything accepted so far is durable.
    pub fn is_durable(&self) -> bool {
        self.journal.is_durable()
    }

    /// Returns all unsettled pieces, in the order of arrival.
    pub fn list(&self) -> Vec<UnsettledPiece> {
        self.pieces.list()
    }

    /// Returns the number of pieces that only an operator can settle.
    pub fn in_doubt_count(&self) -> usize {
        self.pieces.in_doubt_count()
    }

    /// Returns the current size of the buffer.
    pub fn usage(&self) -> BufferUsage {
        BufferUsage { pieces: self.pieces.len(), log_bytes: self.journal.used_bytes() }
    }

    /// Processes one input and returns the effects, to be executed in their order. Times are measured from an
    /// origin that the caller chooses once for each buffer.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Write { command, volume, pieces, fua } => match self.accept_write(now, volume, pieces) {
                Ok(last) if fua => self.acknowledge_when_durable(last, command, &mut effects),
                Ok(_) => effects.push(Effect::Acknowledge(command)),
                Err(reason) => effects.push(Effect::Reject { command, reason }),
            },
            Input::Flush { command, volume } => {
                let last = self.barriers.last_record(volume);
                self.acknowledge_when_durable(last, command, &mut effects);
            }
            Input::CommitSucceeded => self.commit_succeeded(&mut effects),
            Input::Idle => effects.extend(self.journal.seal().map(Effect::Commit)),
            Input::Start(piece) => self.start(now, piece),
            Input::AttemptEnded { piece, outcome } => self.attempt_ended(now, piece, outcome, &mut effects),
            Input::ReadBack { piece, data } => self.read_back(now, piece, data, &mut effects),
            Input::Decide { piece, decision } => self.decide(piece, decision, &mut effects),
            Input::TimerFired => {}
        }
        self.advance(now, &mut effects);
        effects
    }

    /// Accepts all pieces of a write or none, so that a rejected write has no effect. Returns the record of
    /// the last piece.
    fn accept_write(
        &mut self,
        now: Duration,
        volume: u64,
        pieces: Vec<Piece>,
    ) -> Result<RecordNumber, RejectReason> {
        let ids = self.last_piece + 1..;
        let encode =
            |(id, piece): (PieceId, &Piece)| Record::write(id, volume, piece.clone(), false).encode();
        let records: Vec<Vec<u8>> = ids.clone().zip(&pieces).map(encode).collect();
        self.journal.check_capacity(records.iter().map(Vec::len))?;
        let mut last = 0;
        for ((id, piece), bytes) in ids.zip(pieces).zip(records) {
            let record = self.journal.append_write(id, bytes)?;
            self.barriers.record_written(volume, record);
            let state = PieceState::Buffered;
            self.pieces.insert(id, BufferedPiece { volume, piece, state, record, since: now });
            self.last_piece = id;
            last = record;
        }
        Ok(last)
    }

    fn acknowledge_when_durable(
        &mut self,
        record: RecordNumber,
        command: CommandId,
        effects: &mut Vec<Effect>,
    ) {
        if record <= self.journal.durable_record() {
            effects.push(Effect::Acknowledge(command));
        } else {
            self.barriers.wait_for(record, command);
        }
    }

    fn commit_succeeded(&mut self, effects: &mut Vec<Effect>) {
        let pieces = self.journal.commit_succeeded();
        let durable = self.journal.durable_record();
        effects.extend(self.barriers.release_through(durable).into_iter().map(Effect::Acknowledge));
        for id in pieces {
            self.handle_durable_piece(id, effects);
        }
        for id in self.send_queue.pop_durable(durable) {
            if let Some(buffered) = self.pieces.get_in_state(id, PieceState::IntentPending) {
                buffered.state = PieceState::InFlight;
                effects.push(Effect::Send(id));
            }
        }
    }

    fn handle_durable_piece(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::Buffered) else { return };
        buffered.state = PieceState::Durable;
        // An earlier piece that this one overwrites completely and that was never sent need not be sent at
        // all.
        for older in self.pieces.superseded_by(id) {
            self.settle(older, effects);
        }
        self.mark_ready(id, effects);
    }

    /// Marks a durable piece ready unless an earlier piece overlaps it.
    fn mark_ready(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        if self.pieces.try_mark_ready(id) {
            effects.push(Effect::Ready(id));
        }
    }

    fn start(&mut self, now: Duration, id: PieceId) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::Ready) else { return };
        match self.journal.append_intent(id) {
            Ok(record) => {
                buffered.state = PieceState::IntentPending;
                self.send_queue.wait_for_intent(record, id);
            }
            Err(_) => {
                buffered.state = PieceState::Durable;
                self.send_queue.postpone(id, now);
            }
        }
    }

    fn attempt_ended(
        &mut self,
        now: Duration,
        id: PieceId,
        outcome: AttemptOutcome,
        effects: &mut Vec<Effect>,
    ) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::InFlight) else { return };
        match outcome {
            AttemptOutcome::Completed => self.settle(id, effects),
            AttemptOutcome::NeverRan => self.allow_resend(id, effects),
            AttemptOutcome::Unknown => {
                buffered.state = PieceState::AwaitingExpiry(now + self.config.attempt_lifetime);
            }
        }
    }

    /// Decides what becomes of a piece whose earlier attempts can no longer run. It is settled only if its
    /// data is durable at the endpoint: an endpoint that loses its memory would lose the only copy.
    fn read_back(&mut self, now: Duration, id: PieceId, stored: StoredData, effects: &mut Vec<Effect>) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::ReadingBack) else { return };
        match stored {
            StoredData::Durable(data) if data == buffered.piece.data => self.settle(id, effects),
            // The piece ran, so sending it again would run it twice.
            StoredData::MaybeVolatile(data) if data == buffered.piece.data => self.doubt(id, effects),
            StoredData::Durable(_) | StoredData::MaybeVolatile(_) => match self.config.in_doubt_policy {
                InDoubtPolicy::Resend => self.allow_resend(id, effects),
                InDoubtPolicy::AskOperator => self.doubt(id, effects),
            },
            StoredData::Unreadable => {
                buffered.state = PieceState::AwaitingExpiry(now + READ_BACK_RETRY_DELAY);
            }
        }
    }

    /// Leaves a piece to an operator.
    fn doubt(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        self.pieces.set_state(id, PieceState::InDoubt);
        effects.push(Effect::InDoubt(id));
    }

    /// Applies an operator's decision to a piece. A piece that still awaits the end of its earlier attempts
    /// may be decided too: the operator guarantees that none of them can still run.
    fn decide(&mut self, id: PieceId, decision: OperatorDecision, effects: &mut Vec<Effect>) {
        let Some(PieceState::InDoubt | PieceState::AwaitingExpiry(_)) = self.pieces.state(id) else { return };
        match decision {
            OperatorDecision::Resend => self.allow_resend(id, effects),
            OperatorDecision::Drop => self.settle(id, effects),
        }
    }

    /// Lets a piece be sent again. The record that the piece never ran precedes its next intent in the log,
    /// so that recovery knows that the earlier intent had an outcome.
    fn allow_resend(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        self.journal.record_never_ran(id);
        self.pieces.set_state(id, PieceState::Durable);
        self.mark_ready(id, effects);
    }

    /// Settles a piece. Later pieces that overlap it may become ready.
    fn settle(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(settled) = self.pieces.remove(id) else { return };
        if settled.state == PieceState::Ready {
            effects.push(Effect::Withdraw(id));
        }
        self.journal.record_settled(id, settled.record);
        let range = settled.piece.export_offset..settled.piece.export_end();
        for next in self.pieces.overlapping(settled.volume, range) {
            self.mark_ready(next, effects);
        }
    }

    /// Adds the effects that can follow from any input: the next commit, segments to remove, read-backs, and
    /// the timer.
    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        // Outcomes are appended before any intent that they make possible.
        self.journal.append_pending_outcomes();
        self.journal.rewrite_old_records(&mut self.pieces);
        for id in self.send_queue.pop_postponed(now) {
            self.mark_ready(id, effects);
        }
        effects.extend(self.journal.next_commit().map(Effect::Commit));
        while let Some(segment) = self.journal.pop_removable() {
            effects.push(Effect::RemoveSegment(segment));
        }
        effects.extend(self.pieces.start_expired_read_backs(now).into_iter().map(Effect::ReadBack));
        let timers = [self.send_queue.next_postponed_at(), self.pieces.next_expiry()];
        effects.extend(timers.into_iter().flatten().min().map(Effect::SetTimer));
    }
}
