//! The buffer: one reducer that takes each input through the parts that own the states.

use crate::barriers::Barriers;
use crate::config::{Config, DoubtPolicy};
use crate::events::{AttemptOutcome, CommandId, Effect, Input, OperatorDecision, RejectReason};
use crate::journal::Journal;
use crate::overlay::Overlay;
use crate::piece::{BufferedPiece, Piece, PieceId, PieceState, UnsettledPiece};
use crate::piece_table::PieceTable;
use crate::record::Record;
use crate::recovery::{Replay, UnreadableRecord};
use crate::send_queue::SendQueue;
use bytes::Bytes;
use shaletack_wal::{Identity, RecordNumber, RecoveredLog};
use std::time::Duration;

/// A read-back that failed is tried again after this time.
const READ_BACK_RETRY_DELAY: Duration = Duration::from_secs(1);

/// What a buffer holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BufferUsage {
    /// Unsettled pieces.
    pub pieces: usize,
    /// Bytes that the log takes.
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

/// A buffer that goes on where another process was cut off.
#[derive(Clone, Debug)]
pub struct RecoveredBuffer {
    /// The buffer.
    pub buffer: Buffer,
    /// What is to be done first.
    pub effects: Vec<Effect>,
}

impl Buffer {
    /// An empty buffer over an empty log.
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

    /// Goes on where another process was cut off. A piece that may have reached its endpoint, or may yet, waits
    /// for as long as that can be.
    ///
    /// # Errors
    /// The log holds a record that this program can't read.
    pub fn recover(
        identity: Identity,
        config: Config,
        found: &RecoveredLog,
        now: Duration,
    ) -> Result<RecoveredBuffer, UnreadableRecord> {
        let Replay { pieces, barriers, journal, last_piece, .. } =
            Replay::run(identity, &config, found, now)?;
        let send_queue = SendQueue::default();
        let mut buffer = Buffer { config, last_piece, pieces, barriers, journal, send_queue };
        let mut effects = Vec::new();
        for id in buffer.pieces.ids() {
            buffer.offer(id, &mut effects);
        }
        buffer.advance(now, &mut effects);
        Ok(RecoveredBuffer { buffer, effects })
    }

    /// What a read of a range of a volume is overlaid with. To be taken before the endpoint is asked.
    pub fn overlay(&self, volume: u64, offset: u64, length: u64) -> Overlay {
        self.pieces.overlay(volume, offset..offset + length)
    }

    /// What an unsettled piece writes, and where.
    pub fn piece(&self, id: PieceId) -> Option<&Piece> {
        self.pieces.get(id).map(|buffered| &buffered.piece)
    }

    /// The volume that an unsettled piece is written to.
    pub fn volume(&self, id: PieceId) -> Option<u64> {
        self.pieces.get(id).map(|buffered| buffered.volume)
    }

    /// How far a piece is; `None`: it is settled, or never was.
    pub fn state(&self, id: PieceId) -> Option<PieceState> {
        self.pieces.state(id)
    }

    /// Whether all that was taken is durable.
    pub fn is_durable(&self) -> bool {
        self.journal.is_durable()
    }

    /// All unsettled pieces, in the order of arrival.
    pub fn list(&self) -> Vec<UnsettledPiece> {
        self.pieces.list()
    }

    /// How many pieces only an operator can settle.
    pub fn in_doubt(&self) -> usize {
        self.pieces.in_doubt()
    }

    /// How much it holds.
    pub fn usage(&self) -> BufferUsage {
        BufferUsage { pieces: self.pieces.len(), log_bytes: self.journal.used_bytes() }
    }

    /// Takes one input. The effects are to be carried out in their order. Times are since an origin of the
    /// caller's choice, which stays the same for one buffer.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Write { command, volume, pieces, fua } => match self.take_write(now, volume, pieces) {
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

    /// Takes all pieces of a write, or none: a rejected write must have no effect. Returns the record of
    /// the last one.
    fn take_write(
        &mut self,
        now: Duration,
        volume: u64,
        pieces: Vec<Piece>,
    ) -> Result<RecordNumber, RejectReason> {
        let ids = self.last_piece + 1..;
        let encode =
            |(id, piece): (PieceId, &Piece)| Record::write(id, volume, piece.clone(), false).encode();
        let records: Vec<Vec<u8>> = ids.clone().zip(&pieces).map(encode).collect();
        self.journal.check_room(records.iter().map(Vec::len))?;
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
        if record <= self.journal.durable() {
            effects.push(Effect::Acknowledge(command));
        } else {
            self.barriers.wait_for(record, command);
        }
    }

    fn commit_succeeded(&mut self, effects: &mut Vec<Effect>) {
        let pieces = self.journal.commit_succeeded();
        let durable = self.journal.durable();
        effects.extend(self.barriers.release_through(durable).into_iter().map(Effect::Acknowledge));
        for id in pieces {
            self.piece_durable(id, effects);
        }
        for id in self.send_queue.pop_durable(durable) {
            if let Some(buffered) = self.pieces.get_in_state(id, PieceState::IntentPending) {
                buffered.state = PieceState::InFlight;
                effects.push(Effect::Send(id));
            }
        }
    }

    fn piece_durable(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::Buffered) else { return };
        buffered.state = PieceState::Durable;
        // An earlier piece that it overwrites completely and that was never sent need not be sent at all.
        for older in self.pieces.superseded_by(id) {
            self.settle(older, effects);
        }
        self.offer(id, effects);
    }

    /// Calls a piece ready if nothing that came before it is in its way.
    fn offer(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        if self.pieces.mark_ready(id) {
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
            AttemptOutcome::NeverRan => self.never_ran(id, effects),
            AttemptOutcome::Unknown => {
                buffered.state = PieceState::AwaitingExpiry(now + self.config.attempt_lifetime);
            }
        }
    }

    fn read_back(&mut self, now: Duration, id: PieceId, data: Option<Bytes>, effects: &mut Vec<Effect>) {
        let Some(buffered) = self.pieces.get_in_state(id, PieceState::ReadingBack) else { return };
        match data {
            Some(data) if data == buffered.piece.data => self.settle(id, effects),
            Some(_) => match self.config.doubt_policy {
                DoubtPolicy::Resend => self.never_ran(id, effects),
                DoubtPolicy::AskOperator => {
                    buffered.state = PieceState::InDoubt;
                    effects.push(Effect::InDoubt(id));
                }
            },
            None => buffered.state = PieceState::AwaitingExpiry(now + READ_BACK_RETRY_DELAY),
        }
    }

    /// A piece that still waits may be decided too: the operator vouches that nothing of it can run any more.
    fn decide(&mut self, id: PieceId, decision: OperatorDecision, effects: &mut Vec<Effect>) {
        let Some(PieceState::InDoubt | PieceState::AwaitingExpiry(_)) = self.pieces.state(id) else { return };
        match decision {
            OperatorDecision::Resend => self.never_ran(id, effects),
            OperatorDecision::Drop => self.settle(id, effects),
        }
    }

    /// A piece may be sent again. The record of that precedes the next intent, so that a restart knows.
    fn never_ran(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        self.journal.owe_never_ran(id);
        self.pieces.set_state(id, PieceState::Durable);
        self.offer(id, effects);
    }

    /// A piece is settled. Later pieces that overlap it may be sent now.
    fn settle(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(settled) = self.pieces.remove(id) else { return };
        if settled.state == PieceState::Ready {
            effects.push(Effect::Withdraw(id));
        }
        self.journal.owe_settled(id, settled.record);
        let range = settled.piece.export_offset..settled.piece.export_end();
        for next in self.pieces.overlapping(settled.volume, range) {
            self.offer(next, effects);
        }
    }

    /// What follows from any input: the next commit, segments to remove, read-backs, and when to come back.
    fn advance(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        // Before any intent that follows from them.
        self.journal.append_owed();
        self.journal.rewrite_stragglers(&mut self.pieces);
        for id in self.send_queue.pop_postponed(now) {
            self.offer(id, effects);
        }
        effects.extend(self.journal.next_commit().map(Effect::Commit));
        while let Some(segment) = self.journal.pop_removable() {
            effects.push(Effect::RemoveSegment(segment));
        }
        effects.extend(self.pieces.start_expired_read_backs(now).into_iter().map(Effect::ReadBack));
        let next = [self.send_queue.next_postponed(), self.pieces.next_expiry()];
        effects.extend(next.into_iter().flatten().min().map(Effect::SetTimer));
    }
}
