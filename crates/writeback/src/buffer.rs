//! The states of buffered writes, as one reducer round the log.

use crate::record::Record;
use crate::{PieceId, Token};
use bytes::Bytes;
use shaletack_wal::{Commit, Identity, Kind, Log, Recovered, Refused, Seq, State as LogState};
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

/// A read-back that could not be had is asked for again after so long.
const READ_AGAIN: Duration = Duration::from_secs(1);
/// A piece that the log has no room to start is called ready again after so long.
const POSTPONED: Duration = Duration::from_millis(100);

/// What becomes of a write that waited out its old attempt and is not there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Unsettled {
    /// It is in doubt until an operator decides.
    Ask,
    /// It goes again: the operator vouches that no attempt outlives the bound and nobody else writes there.
    Resend,
}

/// Bounds of a buffer.
#[derive(Clone, Copy, Debug)]
pub struct Config {
    /// The log's.
    pub log: shaletack_wal::Config,
    /// The longest that an attempt may still run at a box after its connection closed or this process ended.
    pub attempt_lives: Duration,
    /// What follows then.
    pub unsettled: Unsettled,
}

/// A part of a write on one shard.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NewPiece {
    /// Where in the export.
    pub from: u64,
    /// The shard that holds it.
    pub shard: u16,
    /// Where on the shard's box.
    pub at: u64,
    /// What is written.
    pub data: Bytes,
}

/// What the end of an attempt proves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Proof {
    /// The box says that it is done.
    Ran,
    /// It never ran and never will.
    NeverRan,
    /// Neither: it may have run, or may yet.
    Unknown,
}

/// An operator's word on a write in doubt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// It never ran: send it.
    Resend,
    /// The box has what it is to have: forget it.
    Drop,
}

/// Why a command is not taken.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Refusal {
    /// The log has no room until something is settled. Nothing of the command is kept.
    Full,
    /// It is larger than the log takes.
    TooLarge,
    /// The log failed. What is told as durable before stays; of this command nothing is promised.
    Failed,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A client writes.
    Write {
        /// The command.
        token: Token,
        /// The export, by its volume.
        export: u64,
        /// Its parts, in order.
        pieces: Vec<NewPiece>,
        /// It is acknowledged only once it is durable.
        fua: bool,
    },
    /// A client asks for all that was taken of an export so far to be durable.
    Flush {
        /// The command.
        token: Token,
        /// The export.
        export: u64,
    },
    /// The commit that was out ended so.
    Committed(bool),
    /// Nothing else is to be written for a while.
    Idle,
    /// A piece may go to its box now.
    Start(PieceId),
    /// An attempt ended.
    Ended(PieceId, Proof),
    /// What the box holds where a piece belongs; `None`: it could not be read.
    ReadBack(PieceId, Option<Bytes>),
    /// An operator decides on a piece in doubt.
    Decide(PieceId, Decision),
    /// A wait is over.
    Woke,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Effect {
    /// Write, make durable, and come back with [`Input::Committed`].
    Commit(Commit),
    /// A segment of the log is of no more use.
    Remove(u64),
    /// A command is done.
    Ack(Token),
    /// A command is not taken.
    Refuse(Token, Refusal),
    /// A piece may be sent from now on, whenever there is room: come back with [`Input::Start`].
    Ready(PieceId),
    /// A piece that was ready is not to be sent any more.
    Withdraw(PieceId),
    /// Its intent is durable: send it once.
    Send(PieceId),
    /// Read what the box holds where it belongs.
    ReadBack(PieceId),
    /// It can't be settled without an operator.
    Doubt(PieceId),
    /// The log failed: nothing more is taken.
    Failed,
    /// Come back with [`Input::Woke`] then; an earlier wait is void.
    Wake(Duration),
}

/// How far a piece is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Stage {
    /// On its way into the log.
    Buffered,
    /// In the log, and never sent since it was proven so.
    Durable,
    /// Its intent is on its way into the log.
    Intended,
    /// It is out.
    Sent,
    /// An old attempt may still run, until then.
    Waiting(Duration),
    /// It is being read back.
    Checking,
    /// Only an operator can settle it.
    Doubt,
}

#[derive(Clone, Debug)]
struct Piece {
    export: u64,
    from: u64,
    shard: u16,
    at: u64,
    data: Bytes,
    stage: Stage,
    seq: Seq,
    since: Duration,
    /// It has been called ready and not withdrawn.
    offered: bool,
}

impl Piece {
    fn end(&self) -> u64 {
        self.from + self.data.len() as u64
    }

    /// Whether an intent stands in the log that nothing has ended.
    fn is_intended(&self) -> bool {
        !matches!(self.stage, Stage::Buffered | Stage::Durable)
    }
}

/// An unsettled piece, as an operator sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Held {
    /// Its number.
    pub id: PieceId,
    /// The export, by its volume.
    pub export: u64,
    /// Where in the export.
    pub from: u64,
    /// How many bytes.
    pub length: usize,
    /// The shard.
    pub shard: u16,
    /// Where on the shard's box.
    pub at: u64,
    /// It was to be sent, and nothing says how that ended.
    pub may_have_run: bool,
    /// Only an operator can settle it.
    pub in_doubt: bool,
    /// Since when it is buffered, or since the restart.
    pub since: Duration,
}

/// All buffered writes of one process.
#[derive(Clone, Debug)]
pub struct Buffer {
    config: Config,
    log: Log,
    last: PieceId,
    pieces: BTreeMap<PieceId, Piece>,
    /// By export, where each piece begins.
    places: BTreeMap<u64, BTreeSet<(u64, PieceId)>>,
    /// The longest piece that each export ever had: how far back one that overlaps may begin.
    longest: BTreeMap<u64, u64>,
    /// The last record that each export has taken.
    written: BTreeMap<u64, Seq>,
    by_seq: BTreeMap<Seq, PieceId>,
    tokens: BTreeSet<(Seq, Token)>,
    intents: BTreeSet<(Seq, PieceId)>,
    /// Records that are of no use once another one is durable.
    freed: BTreeSet<(Seq, Seq)>,
    moving: BTreeSet<Seq>,
    /// Records of ends that the log had no room for yet.
    owed: Vec<(Record, Option<Seq>)>,
    /// Pieces that could not start, and when they are called ready again.
    postponed: BTreeMap<PieceId, Duration>,
    told_failed: bool,
}

impl Buffer {
    /// Nothing is buffered.
    pub fn new(identity: Identity, config: Config) -> Self {
        Buffer::over(Log::new(identity, config.log), config)
    }

    fn over(log: Log, config: Config) -> Self {
        Buffer {
            config,
            log,
            last: 0,
            pieces: BTreeMap::new(),
            places: BTreeMap::new(),
            longest: BTreeMap::new(),
            written: BTreeMap::new(),
            by_seq: BTreeMap::new(),
            tokens: BTreeSet::new(),
            intents: BTreeSet::new(),
            freed: BTreeSet::new(),
            moving: BTreeSet::new(),
            owed: Vec::new(),
            postponed: BTreeMap::new(),
            told_failed: false,
        }
    }

    /// Goes on where another process was cut off. A write whose intent has no end may have reached its box, or
    /// may yet: it waits for as long as that can be. `Err`: a record that this program can't read, by its number.
    pub fn recover(
        identity: Identity,
        config: Config,
        found: &Recovered,
        now: Duration,
    ) -> Result<(Self, Vec<Effect>), Seq> {
        let mut buffer = Buffer::over(Log::resume(identity, config.log, found), config);
        for (seq, _, bytes) in &found.records {
            match Record::read(bytes).ok_or(*seq)? {
                Record::Write { id, export, from, shard, at, intended, data } => {
                    buffer.last = buffer.last.max(id);
                    // Written anew to free a segment: the older record is of no more use.
                    if let Some(old) = buffer.pieces.get(&id).map(|p| p.seq) {
                        buffer.forget_record(old);
                    }
                    let waits = intended || buffer.pieces.get(&id).is_some_and(Piece::is_intended);
                    let stage =
                        if waits { Stage::Waiting(now + config.attempt_lives) } else { Stage::Durable };
                    let (since, offered) = (now, false);
                    buffer
                        .keep(id, Piece { export, from, shard, at, data, stage, seq: *seq, since, offered });
                }
                Record::Intent(id) => {
                    buffer.last = buffer.last.max(id);
                    if let Some(piece) = buffer.pieces.get_mut(&id) {
                        piece.stage = Stage::Waiting(now + config.attempt_lives);
                    }
                    buffer.log.release(*seq);
                }
                Record::NeverRan(id) => {
                    buffer.last = buffer.last.max(id);
                    if let Some(piece) = buffer.pieces.get_mut(&id) {
                        piece.stage = Stage::Durable;
                    }
                    buffer.log.release(*seq);
                }
                Record::Settled(id) => {
                    buffer.last = buffer.last.max(id);
                    if let Some(piece) = buffer.take(id) {
                        buffer.forget_record(piece.seq);
                    }
                    buffer.log.release(*seq);
                }
            }
        }
        let mut effects = Vec::new();
        let ids: Vec<PieceId> = buffer.pieces.keys().copied().collect();
        ids.into_iter().for_each(|id| buffer.offer(id, &mut effects));
        buffer.pump(now, &mut effects);
        Ok((buffer, effects))
    }

    fn forget_record(&mut self, seq: Seq) {
        self.by_seq.remove(&seq);
        self.log.release(seq);
    }

    fn keep(&mut self, id: PieceId, piece: Piece) {
        let longest = self.longest.entry(piece.export).or_default();
        *longest = (*longest).max(piece.data.len() as u64);
        self.written.entry(piece.export).and_modify(|s| *s = piece.seq.max(*s)).or_insert(piece.seq);
        self.places.entry(piece.export).or_default().insert((piece.from, id));
        self.by_seq.insert(piece.seq, id);
        self.pieces.insert(id, piece);
    }

    fn take(&mut self, id: PieceId) -> Option<Piece> {
        let piece = self.pieces.remove(&id)?;
        if let Some(places) = self.places.get_mut(&piece.export) {
            places.remove(&(piece.from, id));
            if places.is_empty() {
                self.places.remove(&piece.export);
            }
        }
        Some(piece)
    }

    /// Unsettled pieces that touch a range, in the order of their coming.
    fn touching(&self, export: u64, from: u64, end: u64) -> Vec<PieceId> {
        let Some(places) = self.places.get(&export) else { return Vec::new() };
        let back = self.longest.get(&export).copied().unwrap_or(0);
        let range = places.range((from.saturating_sub(back), 0)..(end, 0));
        let touches = |id: &PieceId| self.pieces.get(id).is_some_and(|p| p.from < end && from < p.end());
        let mut ids: Vec<PieceId> = range.map(|(_, id)| *id).filter(touches).collect();
        ids.sort_unstable();
        ids
    }

    /// What a read of a range is to be overlaid with, in this order; taken before the box is asked.
    pub fn overlay(&self, export: u64, from: u64, length: u64) -> Vec<(u64, Bytes)> {
        let ids = self.touching(export, from, from + length);
        ids.iter().filter_map(|id| self.pieces.get(id)).map(|p| (p.from, p.data.clone())).collect()
    }

    /// A piece's shard, place on its box, and bytes, for an attempt or a read-back.
    pub fn piece(&self, id: PieceId) -> Option<(u16, u64, Bytes)> {
        self.pieces.get(&id).map(|p| (p.shard, p.at, p.data.clone()))
    }

    /// The export of a piece, by its volume.
    pub fn export(&self, id: PieceId) -> Option<u64> {
        self.pieces.get(&id).map(|p| p.export)
    }

    /// Whether all that was taken is durable, or never will be.
    pub fn is_durable(&self) -> bool {
        self.log.durable() == self.log.last() || self.log.state() == LogState::Failed
    }

    /// How far a piece is; `None`: it is settled, or never was.
    pub fn stage(&self, id: PieceId) -> Option<Stage> {
        self.pieces.get(&id).map(|p| p.stage)
    }

    /// All that is not settled, in the order of its coming.
    pub fn list(&self) -> Vec<Held> {
        let held = |(id, p): (&PieceId, &Piece)| Held {
            id: *id,
            export: p.export,
            from: p.from,
            length: p.data.len(),
            shard: p.shard,
            at: p.at,
            may_have_run: p.is_intended(),
            in_doubt: p.stage == Stage::Doubt,
            since: p.since,
        };
        self.pieces.iter().map(held).collect()
    }

    /// How many pieces only an operator can settle.
    pub fn doubts(&self) -> usize {
        self.pieces.values().filter(|p| p.stage == Stage::Doubt).count()
    }

    /// Unsettled pieces, and the bytes that the log takes.
    pub fn held(&self) -> (usize, u64) {
        (self.pieces.len(), self.log.used())
    }

    /// The one way in.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        match input {
            Input::Write { token, export, pieces, fua } => {
                self.write(now, token, export, pieces, fua, &mut effects);
            }
            Input::Flush { token, export } => {
                let last = self.written.get(&export).copied().unwrap_or(0);
                self.answer_at(last, token, &mut effects);
            }
            Input::Committed(whole) => self.committed(whole, &mut effects),
            Input::Idle => effects.extend(self.log.seal().map(Effect::Commit)),
            Input::Start(id) => self.start(now, id),
            Input::Ended(id, proof) => self.ended(now, id, proof, &mut effects),
            Input::ReadBack(id, bytes) => self.read_back(now, id, bytes, &mut effects),
            Input::Decide(id, decision) => {
                // One that waits is decided too: the operator vouches that nothing of it can run any more.
                if matches!(self.stage(id), Some(Stage::Doubt | Stage::Waiting(_))) {
                    match decision {
                        Decision::Resend => self.never_ran(id, &mut effects),
                        Decision::Drop => self.settle(id, &mut effects),
                    }
                }
            }
            Input::Woke => {}
        }
        self.pump(now, &mut effects);
        effects
    }

    fn write(
        &mut self,
        now: Duration,
        token: Token,
        export: u64,
        pieces: Vec<NewPiece>,
        fua: bool,
        effects: &mut Vec<Effect>,
    ) {
        let records: Vec<(PieceId, NewPiece, Vec<u8>)> = pieces
            .into_iter()
            .zip(self.last + 1..)
            .map(|(piece, id)| {
                let NewPiece { from, shard, at, data } = piece.clone();
                let record = Record::Write { id, export, from, shard, at, intended: false, data };
                (id, piece, record.bytes())
            })
            .collect();
        // All of it or nothing: what is refused must not come to pass.
        if let Err(why) = self.log.takes(Kind::Data, records.iter().map(|r| r.2.len())) {
            return effects.push(Effect::Refuse(token, refusal(why)));
        }
        let mut last = 0;
        for (id, piece, bytes) in records {
            let Ok(seq) = self.log.append(Kind::Data, bytes) else { continue };
            let NewPiece { from, shard, at, data } = piece;
            let (stage, since, offered) = (Stage::Buffered, now, false);
            self.keep(id, Piece { export, from, shard, at, data, stage, seq, since, offered });
            (self.last, last) = (id, seq);
        }
        match fua {
            true => self.answer_at(last, token, effects),
            false => effects.push(Effect::Ack(token)),
        }
    }

    /// Acknowledges a command once a record is durable.
    fn answer_at(&mut self, seq: Seq, token: Token, effects: &mut Vec<Effect>) {
        if seq <= self.log.durable() {
            effects.push(Effect::Ack(token));
        } else if self.log.state() == LogState::Failed {
            effects.push(Effect::Refuse(token, Refusal::Failed));
        } else {
            self.tokens.insert((seq, token));
        }
    }

    fn committed(&mut self, whole: bool, effects: &mut Vec<Effect>) {
        let before = self.log.durable();
        self.log.committed(whole);
        let durable = self.log.durable();
        while let Some((_, token)) = self.tokens.first().copied().filter(|t| t.0 <= durable) {
            effects.push(Effect::Ack(token));
            self.tokens.pop_first();
        }
        let fresh: Vec<PieceId> = self.by_seq.range(before + 1..durable + 1).map(|(_, id)| *id).collect();
        for id in fresh {
            let Some(piece) = self.pieces.get_mut(&id).filter(|p| p.stage == Stage::Buffered) else {
                continue;
            };
            piece.stage = Stage::Durable;
            let (export, from, end) = (piece.export, piece.from, piece.end());
            // What it covers whole and was never to be sent needs not be sent at all.
            for older in self.touching(export, from, end).into_iter().take_while(|older| *older < id) {
                let covered = |p: &Piece| p.stage == Stage::Durable && from <= p.from && p.end() <= end;
                if self.pieces.get(&older).is_some_and(covered) {
                    self.settle(older, effects);
                }
            }
            self.offer(id, effects);
        }
        while let Some((_, id)) = self.intents.first().copied().filter(|i| i.0 <= durable) {
            self.intents.pop_first();
            if let Some(piece) = self.pieces.get_mut(&id).filter(|p| p.stage == Stage::Intended) {
                piece.stage = Stage::Sent;
                effects.push(Effect::Send(id));
            }
        }
        while let Some((_, seq)) = self.freed.first().copied().filter(|f| f.0 <= durable) {
            self.freed.pop_first();
            self.moving.remove(&seq);
            self.forget_record(seq);
        }
        if self.log.state() == LogState::Failed && !self.told_failed {
            self.told_failed = true;
            effects.push(Effect::Failed);
            let waiting = std::mem::take(&mut self.tokens);
            effects.extend(waiting.into_iter().map(|(_, token)| Effect::Refuse(token, Refusal::Failed)));
        }
    }

    /// Calls a piece ready where nothing that came before it is in its way.
    fn offer(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(piece) = self.pieces.get(&id).filter(|p| p.stage == Stage::Durable && !p.offered) else {
            return;
        };
        let first = self.touching(piece.export, piece.from, piece.end()).first().copied();
        if first == Some(id) {
            if let Some(piece) = self.pieces.get_mut(&id) {
                piece.offered = true;
                effects.push(Effect::Ready(id));
            }
        }
    }

    fn start(&mut self, now: Duration, id: PieceId) {
        let ready = |p: &&mut Piece| p.stage == Stage::Durable && p.offered;
        let Some(piece) = self.pieces.get_mut(&id).filter(ready) else { return };
        // An intent must not stand before the end of what came before it: a restart would take that end for
        // the new intent's, or what came before for unsettled.
        let seq = match self.owed.is_empty() {
            true => self.log.append(Kind::Control, Record::Intent(id).bytes()),
            false => Err(Refused::Full),
        };
        match seq {
            Ok(seq) => {
                piece.stage = Stage::Intended;
                self.intents.insert((seq, id));
            }
            Err(_) => {
                piece.offered = false;
                self.postponed.insert(id, now + POSTPONED);
            }
        }
    }

    fn ended(&mut self, now: Duration, id: PieceId, proof: Proof, effects: &mut Vec<Effect>) {
        if self.stage(id) != Some(Stage::Sent) {
            return;
        }
        match proof {
            Proof::Ran => self.settle(id, effects),
            Proof::NeverRan => self.never_ran(id, effects),
            Proof::Unknown => {
                let until = now + self.config.attempt_lives;
                self.pieces.entry(id).and_modify(|p| p.stage = Stage::Waiting(until));
            }
        }
    }

    fn read_back(&mut self, now: Duration, id: PieceId, bytes: Option<Bytes>, effects: &mut Vec<Effect>) {
        let Some(piece) = self.pieces.get_mut(&id).filter(|p| p.stage == Stage::Checking) else { return };
        match bytes {
            Some(bytes) if bytes == piece.data => self.settle(id, effects),
            Some(_) if self.config.unsettled == Unsettled::Resend => self.never_ran(id, effects),
            Some(_) => {
                piece.stage = Stage::Doubt;
                effects.push(Effect::Doubt(id));
            }
            None => piece.stage = Stage::Waiting(now + READ_AGAIN),
        }
    }

    /// It may have another intent. The record stands before that one, so that a restart knows.
    fn never_ran(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        self.owed.push((Record::NeverRan(id), None));
        if let Some(piece) = self.pieces.get_mut(&id) {
            (piece.stage, piece.offered) = (Stage::Durable, false);
        }
        self.offer(id, effects);
    }

    /// It is done with. Its record is of use until that of its end is durable.
    fn settle(&mut self, id: PieceId, effects: &mut Vec<Effect>) {
        let Some(piece) = self.take(id) else { return };
        if piece.offered && piece.stage == Stage::Durable {
            effects.push(Effect::Withdraw(id));
        }
        self.owed.push((Record::Settled(id), Some(piece.seq)));
        for next in self.touching(piece.export, piece.from, piece.end()) {
            self.offer(next, effects);
        }
    }

    /// What the log is to do, and when to come back.
    fn pump(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        // In their order, and before any intent that follows from them.
        while let Some((record, frees)) = self.owed.first() {
            let Ok(seq) = self.log.append(Kind::Control, record.bytes()) else { break };
            self.freed.extend(frees.map(|old| (seq, old)));
            self.owed.remove(0);
        }
        for old in self.log.stragglers() {
            let Some((id, piece)) = self.by_seq.get(&old).and_then(|id| Some((*id, self.pieces.get(id)?)))
            else {
                continue;
            };
            if piece.seq != old || !self.moving.insert(old) {
                continue;
            }
            let Piece { export, from, shard, at, data, .. } = piece.clone();
            let intended = piece.is_intended();
            let record = Record::Write { id, export, from, shard, at, intended, data };
            match self.log.append(Kind::Moved, record.bytes()) {
                Ok(seq) => {
                    self.freed.insert((seq, old));
                    self.by_seq.insert(seq, id);
                    self.pieces.entry(id).and_modify(|p| p.seq = seq);
                }
                Err(_) => drop(self.moving.remove(&old)),
            }
        }
        let due: Vec<PieceId> = self.postponed.iter().filter(|p| *p.1 <= now).map(|p| *p.0).collect();
        for id in due {
            self.postponed.remove(&id);
            self.offer(id, effects);
        }
        effects.extend(self.log.commit().map(Effect::Commit));
        while let Some(segment) = self.log.removable() {
            effects.push(Effect::Remove(segment));
        }
        let mut wake: Option<Duration> = self.postponed.values().min().copied();
        for (id, piece) in &mut self.pieces {
            if let Stage::Waiting(until) = piece.stage {
                if until <= now {
                    piece.stage = Stage::Checking;
                    effects.push(Effect::ReadBack(*id));
                } else {
                    wake = Some(wake.map_or(until, |w| w.min(until)));
                }
            }
        }
        effects.extend(wake.map(Effect::Wake));
    }
}

fn refusal(why: Refused) -> Refusal {
    match why {
        Refused::Full => Refusal::Full,
        Refused::TooLarge => Refusal::TooLarge,
        Refused::Failed => Refusal::Failed,
    }
}
