//! Write-back: the files, the loop and the attempts round `shaletack-writeback`. Off unless the operator's file
//! says otherwise, and never on the platform.
//!
//! It carries out what the buffer asks for, and gives what is ready to the scheduler of background work and then
//! to the core, as a `gravacao` like any other. It decides neither order nor doubt.

mod files;
pub mod offline;

use crate::broker::{Answer, IncomingRequest};
use crate::nbd::boxes::{Boxes, Piece};
use crate::nbd::codec::cmd;
use crate::operator::{Export, Operator, WriteBack};
use crate::runtime::host::Host;
use bytes::Bytes;
use files::Files;
use shaletack_background::{Scheduler, Task, WorkClass};
use shaletack_wal::{format as log_format, Commit, SegmentStore};
use shaletack_writeback::{
    AttemptOutcome, Buffer, CommandId, Config, Effect, Input, Overlay, Piece as BufferedPiece, PieceId,
    RecoveredBuffer, RejectReason,
};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, HashMap};
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::rc::{Rc, Weak};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use thiserror::Error;
use tokio::sync::{oneshot, Notify};
use tracing::{error, info, warn};

/// Nothing was written for so long: the log is sealed.
const IDLE: Duration = Duration::from_secs(1);
/// A write that the log has no room for is tried again after so long, while its client waits.
const FULL: Duration = Duration::from_millis(20);
/// A batch that the disk refused is written again after this, then after twice as long each time, up to the second.
const RETRY_FIRST: Duration = Duration::from_millis(20);
const RETRY_MOST: Duration = Duration::from_millis(500);
/// At the stop the log has so long to become whole.
const CLOSES: Duration = Duration::from_secs(5);
/// The most attempts out at a time, in all and at one shard.
const OUT_MOST: usize = 64;
const SHARD_MOST: usize = 8;

struct Inner {
    host: Host,
    boxes: Rc<Boxes>,
    operator: Operator,
    files: Arc<Mutex<Files>>,
    buffer: RefCell<Buffer>,
    background: RefCell<Scheduler>,
    waiting: RefCell<HashMap<CommandId, oneshot::Sender<Result<(), WriteError>>>>,
    last: Cell<CommandId>,
    start: Instant,
    wake: Cell<Option<Duration>>,
    rearm: Notify,
    committing: Cell<bool>,
    /// The disk refused the batch that is being written.
    refuses: Cell<bool>,
    wrote: Cell<Duration>,
    /// Nothing has happened since the log was last sealed.
    rests: Cell<bool>,
    needs: RefCell<BTreeMap<u16, usize>>,
}

/// Why a write or flush failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum WriteError {
    /// The log had no room, or could not be written, for as long as the client waits. Nothing of the write is kept.
    #[error("the log is full")]
    LogFull,
    /// The write is larger than the log takes.
    #[error("the write is too large for the log")]
    TooLarge,
    /// It was not durable by its deadline. It may be so later: nothing is promised.
    #[error("the log could not be written in time")]
    NotDurableInTime,
}

impl From<RejectReason> for WriteError {
    fn from(reason: RejectReason) -> Self {
        match reason {
            RejectReason::LogFull => WriteError::LogFull,
            RejectReason::TooLarge => WriteError::TooLarge,
        }
    }
}

/// The buffer of one process.
#[derive(Clone)]
pub struct Keeper(Rc<Inner>);

/// What the log is for: exports that may be buffered, where their bytes lie, and on what boxes' export. A log
/// that was made for others would put its writes in the wrong place.
fn purpose(operator: &Operator) -> u64 {
    let buffered = operator.exports.iter().filter(|e| e.write_back);
    let of: Vec<_> = buffered.map(|e| (e.volume, e.size, &e.extents)).collect();
    log_format::hash_purpose(format!("{of:?} {}", operator.box_export).as_bytes())
}

impl Keeper {
    /// Takes the log and goes on where it ended.
    pub fn open(host: Host, boxes: Rc<Boxes>, operator: &Operator, set: &WriteBack) -> Result<Self, String> {
        let drawn = RandomState::new().build_hasher().finish();
        let (files, identity, found) = Files::open(&set.folder, drawn, purpose(operator))?;
        let config =
            Config { log: set.log, attempt_lifetime: set.attempt_lives, doubt_policy: set.unsettled };
        let (records, torn) = (found.records.len(), found.torn_tail.is_some());
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(identity, config, &found, Duration::ZERO)
                .map_err(|error| format!("{}: {error}", set.folder.display()))?;
        let class = WorkClass {
            priority: 1,
            units_per_second: set.units,
            bytes_per_second: 0,
            burst: Duration::from_secs(1),
            max_in_flight: OUT_MOST,
            max_in_flight_per_resource: SHARD_MOST,
            max_age: set.age_most,
        };
        info!(folder = %set.folder.display(), records, torn, unsettled = buffer.usage().pieces, "write-back is on");
        let keeper = Keeper(Rc::new(Inner {
            host,
            boxes,
            operator: operator.clone(),
            files: Arc::new(Mutex::new(files)),
            buffer: RefCell::new(buffer),
            background: RefCell::new(Scheduler::new(&[class], Duration::ZERO)),
            waiting: RefCell::default(),
            last: Cell::new(0),
            start: Instant::now(),
            wake: Cell::new(None),
            rearm: Notify::new(),
            committing: Cell::new(false),
            refuses: Cell::new(false),
            wrote: Cell::new(Duration::ZERO),
            rests: Cell::new(false),
            needs: RefCell::default(),
        }));
        keeper.carry_out(effects);
        actix_rt::spawn(keep_time(Rc::downgrade(&keeper.0)));
        Ok(keeper)
    }

    fn now(&self) -> Duration {
        self.0.start.elapsed()
    }

    fn feed(&self, input: Input) {
        self.0.rests.set(matches!(input, Input::Idle));
        let effects = self.0.buffer.borrow_mut().step(self.now(), input);
        self.carry_out(effects);
    }

    fn carry_out(&self, effects: Vec<Effect>) {
        let inner = &self.0;
        inner.wake.set(None);
        for effect in effects {
            match effect {
                Effect::Commit(commit) => self.commit(commit),
                Effect::RemoveSegment(segment) => {
                    let files = inner.files.clone();
                    actix_rt::task::spawn_blocking(move || {
                        let removed = files.lock().unwrap_or_else(PoisonError::into_inner).remove(segment);
                        // It costs room and no more: the next start finds it.
                        let _ = removed.inspect_err(|why| warn!(segment, %why, "write-back: not removed"));
                    });
                }
                Effect::Acknowledge(command) => self.answer(command, Ok(())),
                Effect::Reject { command, reason } => self.answer(command, Err(reason.into())),
                Effect::Ready(id) => self.ready(id),
                Effect::Withdraw(id) => inner.background.borrow_mut().remove(id),
                Effect::Send(id) => self.send(id),
                Effect::ReadBack(id) => self.read_back(id),
                Effect::InDoubt(id) => warn!(id, "write-back: a write can't be settled without an operator"),
                Effect::SetTimer(at) => inner.wake.set(Some(at)),
            }
        }
        self.start_ready();
        inner.rearm.notify_one();
    }

    fn answer(&self, command: CommandId, answer: Result<(), WriteError>) {
        if let Some(waiting) = self.0.waiting.borrow_mut().remove(&command) {
            // Where the client is gone by now nobody reads it.
            let _ = waiting.send(answer);
        }
    }

    fn commit(&self, commit: Commit) {
        let keeper = self.clone();
        self.0.committing.set(true);
        actix_rt::spawn(async move {
            keeper.write_until_durable(commit).await;
            keeper.0.committing.set(false);
            keeper.0.wrote.set(keeper.now());
            keeper.feed(Input::CommitSucceeded);
        });
    }

    /// Each try writes the whole batch anew before it syncs: a sync that failed may have dropped what was written before it,
    /// and a second one alone would prove nothing. No other batch goes before this one is durable.
    async fn write_until_durable(&self, commit: Commit) {
        let (commit, mut wait) = (Arc::new(commit), RETRY_FIRST);
        loop {
            let (files, batch) = (self.0.files.clone(), commit.clone());
            let written = actix_rt::task::spawn_blocking(move || {
                files.lock().unwrap_or_else(PoisonError::into_inner).commit(&batch)
            });
            let Err(why) = written.await.unwrap_or_else(|why| Err(io::Error::other(why.to_string()))) else {
                break;
            };
            error!(%why, "write-back: the log can't be written; it is tried again, and no write is taken");
            self.0.refuses.set(true);
            tokio::time::sleep(wait).await;
            wait = (wait * 2).min(RETRY_MOST);
        }
        if self.0.refuses.replace(false) {
            info!("write-back: the log can be written again");
        }
    }

    fn ready(&self, id: PieceId) {
        let Some(piece) = self.0.buffer.borrow().piece(id).cloned() else { return };
        let BufferedPiece { shard, data, .. } = piece;
        let units = (data.len() as u64).div_ceil(self.0.operator.unit_bytes.into()).max(1);
        let task =
            Task { class: 0, resource: shard.into(), units, bytes: data.len() as u64, since: self.now() };
        // One that could not start is still counted as out.
        let mut background = self.0.background.borrow_mut();
        background.remove(id);
        background.add(id, task);
    }

    /// Starts what may go to its box now.
    fn start_ready(&self) {
        let picked = self.0.background.borrow_mut().start_ready(self.now());
        for id in picked {
            let keeper = self.clone();
            // Apart from the step that it follows from.
            actix_rt::spawn(async move {
                keeper.feed(Input::Start(id));
            });
        }
    }

    fn attempt(&self, id: PieceId, command: u16) -> Option<impl std::future::Future<Output = Answer>> {
        let inner = self.0.clone();
        let BufferedPiece { shard, endpoint_offset: at, data, .. } = inner.buffer.borrow().piece(id)?.clone();
        let export = inner.buffer.borrow().volume(id)?;
        let export = inner.operator.exports.iter().find(|e| e.volume == export)?.clone();
        let classes = inner.operator.classes;
        let class = if command == cmd::WRITE { classes.write } else { classes.read };
        let patience =
            inner.host.settings().classes.get(class as usize).map_or(Duration::ZERO, |c| c.deadline);
        let length = data.len() as u32;
        let ask = IncomingRequest {
            class,
            volume: export.volume,
            plan: export.plan,
            initiators: export.hosts,
            key: id,
            shard: Some(shard),
            units: f64::from(length.div_ceil(inner.operator.unit_bytes).max(1)),
            time_remaining: patience,
            client_retry: false,
        };
        let (boxes, data) = (inner.boxes.clone(), if command == cmd::WRITE { data } else { Bytes::new() });
        // On stable storage at the box before it leaves the log.
        let piece = Piece { boxes, command, fua: command == cmd::WRITE, offset: at, length, data };
        Some(async move { inner.host.ask(ask, Rc::new(piece)).await })
    }

    fn send(&self, id: PieceId) {
        let Some(attempt) = self.attempt(id, cmd::WRITE) else { return };
        let keeper = self.clone();
        actix_rt::spawn(async move {
            let outcome = match attempt.await {
                Answer::Served(_) => AttemptOutcome::Completed,
                // Refused is said only of what provably never ran.
                Answer::Rejected(after) => {
                    tokio::time::sleep(after).await;
                    AttemptOutcome::NeverRan
                }
                Answer::Failed => AttemptOutcome::Unknown,
            };
            keeper.0.background.borrow_mut().remove(id);
            keeper.feed(Input::AttemptEnded { piece: id, outcome });
        });
    }

    fn read_back(&self, id: PieceId) {
        let Some(attempt) = self.attempt(id, cmd::READ) else { return };
        let keeper = self.clone();
        actix_rt::spawn(async move {
            let data = match attempt.await {
                Answer::Served(bytes) => Some(bytes),
                Answer::Rejected(_) | Answer::Failed => None,
            };
            keeper.feed(Input::ReadBack { piece: id, data });
        });
    }

    /// What comes of a command. One that is not durable in time has failed: it may be so later, and nothing is promised.
    async fn ask(&self, until: Instant, input: impl FnOnce(CommandId) -> Input) -> Result<(), WriteError> {
        let command = self.0.last.get() + 1;
        self.0.last.set(command);
        let (done, answered) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(command, done);
        self.feed(input(command));
        let answered = tokio::time::timeout_at(until.into(), answered).await;
        answered.unwrap_or(Ok(Err(WriteError::NotDurableInTime))).unwrap_or(Err(WriteError::NotDurableInTime))
    }

    /// Takes a write; while the log is full it waits, as long as its client does.
    pub async fn write(
        &self,
        export: &Export,
        pieces: Vec<BufferedPiece>,
        fua: bool,
        patience: Duration,
    ) -> Result<(), WriteError> {
        let until = Instant::now() + patience;
        loop {
            let answer = match self.0.refuses.get() {
                // What is taken now could be promised by nobody.
                true => Err(WriteError::LogFull),
                false => {
                    let (volume, pieces) = (export.volume, pieces.clone());
                    self.ask(until, |command| Input::Write { command, volume, pieces, fua }).await
                }
            };
            match answer {
                Err(WriteError::LogFull) if Instant::now() + FULL < until => tokio::time::sleep(FULL).await,
                answer => return answer,
            }
        }
    }

    /// Ends once all that was taken of an export is durable, or its client waits no longer.
    pub async fn flush(&self, export: &Export, patience: Duration) -> Result<(), WriteError> {
        self.ask(Instant::now() + patience, |command| Input::Flush { command, volume: export.volume }).await
    }

    /// What a read is to be overlaid with, taken before its boxes are asked.
    pub fn overlay(&self, export: &Export, from: u64, length: u32) -> Overlay {
        self.0.buffer.borrow().overlay(export.volume, from, length.into())
    }

    /// Clients' requests wait for a shard until this is dropped.
    pub fn needs(&self, shard: u16) -> Needs {
        self.need(shard, 1);
        Needs(self.clone(), shard)
    }

    fn need(&self, shard: u16, change: isize) {
        let mut needs = self.0.needs.borrow_mut();
        let count = needs.entry(shard).or_default();
        *count = count.saturating_add_signed(change);
        self.0.background.borrow_mut().set_client_demand(shard.into(), *count);
    }

    /// Waits until all that was taken is in the log, and for no box.
    pub async fn close(&self) {
        let until = Instant::now() + CLOSES;
        while (self.0.committing.get() || !self.0.buffer.borrow().is_durable()) && Instant::now() < until {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
        let usage = self.0.buffer.borrow().usage();
        info!(
            unsettled = usage.pieces,
            bytes = usage.log_bytes,
            durable = self.0.buffer.borrow().is_durable(),
            "write-back stops"
        );
    }
}

/// A client's request that waits for a shard.
pub struct Needs(Keeper, u16);

impl Drop for Needs {
    fn drop(&mut self) {
        self.0.need(self.1, -1);
        self.0 .0.rearm.notify_one();
    }
}

async fn keep_time(inner: Weak<Inner>) {
    loop {
        let Some(keeper) = inner.upgrade().map(Keeper) else { return };
        let idle = keeper.0.wrote.get() + IDLE;
        let (now, rests) = (keeper.now(), keeper.0.rests.get());
        let background = keeper.0.background.borrow().next_start_at();
        let first = [keeper.0.wake.get(), background, (!rests).then_some(idle)].into_iter().flatten().min();
        let wait = first.map_or(IDLE, |at| at.saturating_sub(now)).max(Duration::from_millis(1));
        // Nothing is missed in between: what is rung before it is waited for is kept.
        let _ = tokio::time::timeout(wait, keeper.0.rearm.notified()).await;
        let now = keeper.now();
        if keeper.0.wake.get().is_some_and(|at| at <= now) {
            keeper.feed(Input::TimerFired);
        } else if now >= idle && !rests && !keeper.0.committing.get() {
            keeper.feed(Input::Idle);
        } else {
            keeper.start_ready();
        }
    }
}
