//! The write-back cache of one process: the buffer, and the executor of its effects.

use super::attempts::{Attempts, PieceToSend};
use super::client_demand::{ClientDemand, ClientDemandGuard};
use super::error::{OpenError, OpenFailure, WriteError};
use super::identity::purpose;
use super::log_writer::LogWriter;
use super::pending_commands::PendingCommands;
use super::segment_files::{OpenedLog, SegmentFiles};
use crate::nbd::endpoint_client::EndpointClient;
use crate::operator::{Export, OperatorConfig, WriteBack};
use crate::runtime::host::Host;
use shaletack_background::{Scheduler, Task, WorkClass};
use shaletack_wal::Commit;
use shaletack_writeback::{
    Buffer, CommandId, Config, Effect, Input, Overlay, Piece, PieceId, RecoveredBuffer,
};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::{info, warn};

/// Idle time after which the log is sealed.
const SEAL_AFTER_IDLE: Duration = Duration::from_secs(1);
/// Interval at which a write is retried that the log has no space for, until its client's deadline.
const LOG_FULL_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// Maximum time that closing the cache waits for the log to become durable.
const CLOSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which closing the cache checks whether the log is durable.
const CLOSE_POLL_INTERVAL: Duration = Duration::from_millis(5);
/// Minimum wait of the timer.
const MIN_TIMER_WAIT: Duration = Duration::from_millis(1);

/// Work class of sending pieces, the only class of the background scheduler.
const SEND_CLASS: usize = 0;
const SEND_PRIORITY: u8 = 1;
/// Duration for which unused send budget accumulates.
const SEND_BURST: Duration = Duration::from_secs(1);
/// Maximum number of pieces in flight, over all shards.
const MAX_IN_FLIGHT: usize = 64;
/// Maximum number of pieces in flight at one shard.
const MAX_IN_FLIGHT_PER_SHARD: usize = 8;

/// Handle to the write-back cache of one process. Clones share the same cache.
#[derive(Clone)]
pub struct WriteBackCache(Rc<Shared>);

struct Shared {
    buffer: RefCell<Buffer>,
    background: RefCell<Scheduler>,
    log_writer: LogWriter,
    attempts: Attempts,
    commands: PendingCommands,
    client_demand: RefCell<ClientDemand>,
    /// Origin of the times that are passed to the buffer and to the background scheduler.
    origin: Instant,
    /// When the buffer's timer fires, as set by [`Effect::SetTimer`], if one is set.
    timer_at: Cell<Option<Duration>>,
    /// Notified when the timer task has to compute its wait again.
    timer_changed: Notify,
    is_committing: Cell<bool>,
    last_commit_at: Cell<Duration>,
    /// Whether [`Input::Idle`] was the last input of the buffer.
    is_idle: Cell<bool>,
}

impl WriteBackCache {
    /// Opens the log and resumes from its contents.
    ///
    /// # Errors
    /// Fails if the log can't be read, is open in another process, was created for another purpose, or is
    /// damaged.
    pub fn open(
        host: Host,
        endpoints: Rc<EndpointClient>,
        operator: &OperatorConfig,
        settings: &WriteBack,
    ) -> Result<Self, OpenError> {
        let new_log_id = RandomState::new().build_hasher().finish();
        let OpenedLog { files, identity, recovered } =
            SegmentFiles::open(&settings.folder, new_log_id, purpose(operator))?;
        let RecoveredBuffer { buffer, effects } =
            Buffer::recover(identity, buffer_config(settings), &recovered, Duration::ZERO)
                .map_err(|error| OpenFailure::from(error).in_folder(&settings.folder))?;
        info!(
            folder = %settings.folder.display(),
            records = recovered.records.len(),
            torn = recovered.torn_tail.is_some(),
            unsettled = buffer.usage().pieces,
            "write-back enabled"
        );
        let cache = WriteBackCache(Rc::new(Shared {
            buffer: RefCell::new(buffer),
            background: RefCell::new(Scheduler::new(&[send_class(settings)], Duration::ZERO)),
            log_writer: LogWriter::new(files),
            attempts: Attempts::new(host, endpoints, operator.clone()),
            commands: PendingCommands::default(),
            client_demand: RefCell::default(),
            origin: Instant::now(),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            is_committing: Cell::new(false),
            last_commit_at: Cell::new(Duration::ZERO),
            is_idle: Cell::new(false),
        }));
        cache.execute_effects(effects);
        actix_rt::spawn(run_timer(Rc::downgrade(&cache.0)));
        Ok(cache)
    }

    /// Buffers a write. Waits while the log is full, for at most `time_remaining`.
    ///
    /// # Errors
    /// Fails if the write was not accepted, or if a write with `fua` was not durable within `time_remaining`.
    pub async fn write(
        &self,
        export: &Export,
        pieces: Vec<Piece>,
        fua: bool,
        time_remaining: Duration,
    ) -> Result<(), WriteError> {
        let deadline = Instant::now() + time_remaining;
        loop {
            let result = self.try_write(export, pieces.clone(), fua, deadline).await;
            if result != Err(WriteError::LogFull) || Instant::now() + LOG_FULL_RETRY_INTERVAL >= deadline {
                return result;
            }
            tokio::time::sleep(LOG_FULL_RETRY_INTERVAL).await;
        }
    }

    async fn try_write(
        &self,
        export: &Export,
        pieces: Vec<Piece>,
        fua: bool,
        deadline: Instant,
    ) -> Result<(), WriteError> {
        // While the disk rejects writes, the cache could not make an accepted write durable.
        if self.0.log_writer.is_failing() {
            return Err(WriteError::LogFull);
        }
        let volume = export.volume;
        self.run_command(deadline, |command| Input::Write { command, volume, pieces, fua }).await
    }

    /// Completes once all writes accepted so far for an export are durable.
    ///
    /// # Errors
    /// Fails if these writes are not durable within `time_remaining`.
    pub async fn flush(&self, export: &Export, time_remaining: Duration) -> Result<(), WriteError> {
        let deadline = Instant::now() + time_remaining;
        let volume = export.volume;
        self.run_command(deadline, |command| Input::Flush { command, volume }).await
    }

    /// Returns the overlay for a read of `length` bytes. To be taken before the read is sent to any endpoint.
    pub fn overlay(&self, export: &Export, offset: u64, length: u32) -> Overlay {
        self.0.buffer.borrow().overlay(export.volume, offset, length.into())
    }

    /// Counts a client's request as waiting for a shard until the guard is dropped.
    pub fn register_client_request(&self, shard: u16) -> ClientDemandGuard {
        let requests = self.0.client_demand.borrow_mut().add(shard);
        self.0.background.borrow_mut().set_client_demand(shard.into(), requests);
        ClientDemandGuard::new(self.clone(), shard)
    }

    pub(super) fn unregister_client_request(&self, shard: u16) {
        let requests = self.0.client_demand.borrow_mut().remove(shard);
        self.0.background.borrow_mut().set_client_demand(shard.into(), requests);
        self.0.timer_changed.notify_one();
    }

    /// Waits until everything accepted is durable in the log, for at most `CLOSE_TIMEOUT`. Does not wait
    /// for endpoints.
    pub async fn close(&self) {
        let deadline = Instant::now() + CLOSE_TIMEOUT;
        while !self.is_durable() && Instant::now() < deadline {
            tokio::time::sleep(CLOSE_POLL_INTERVAL).await;
        }
        let usage = self.0.buffer.borrow().usage();
        let durable = self.0.buffer.borrow().is_durable();
        info!(unsettled = usage.pieces, bytes = usage.log_bytes, durable, "write-back stopped");
    }

    fn is_durable(&self) -> bool {
        !self.0.is_committing.get() && self.0.buffer.borrow().is_durable()
    }

    fn now(&self) -> Duration {
        self.0.origin.elapsed()
    }

    /// Passes a command to the buffer and waits for its result.
    ///
    /// A command that is not acknowledged by its deadline fails, although its write may still become durable
    /// later.
    async fn run_command(
        &self,
        deadline: Instant,
        input: impl FnOnce(CommandId) -> Input,
    ) -> Result<(), WriteError> {
        let command = self.0.commands.register();
        self.step(input(command.id));
        match tokio::time::timeout_at(deadline.into(), command.result).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) | Err(_) => Err(WriteError::NotDurableInTime),
        }
    }

    fn step(&self, input: Input) {
        self.0.is_idle.set(matches!(input, Input::Idle));
        let effects = self.0.buffer.borrow_mut().step(self.now(), input);
        self.execute_effects(effects);
    }

    fn execute_effects(&self, effects: Vec<Effect>) {
        let shared = &self.0;
        shared.timer_at.set(None);
        for effect in effects {
            match effect {
                Effect::Commit(commit) => self.commit(commit),
                Effect::RemoveSegment(segment) => shared.log_writer.remove(segment),
                Effect::Acknowledge(command) => shared.commands.complete(command, Ok(())),
                Effect::Reject { command, reason } => {
                    shared.commands.complete(command, Err(reason.into()));
                }
                Effect::Ready(id) => self.schedule(id),
                Effect::Withdraw(id) => shared.background.borrow_mut().remove(id),
                Effect::Send(id) => self.send(id),
                Effect::ReadBack(id) => self.read_back(id),
                Effect::InDoubt(id) => warn!(id, "write-back: a write can't be settled without an operator"),
                Effect::SetTimer(at) => shared.timer_at.set(Some(at)),
            }
        }
        self.start_ready();
        shared.timer_changed.notify_one();
    }

    fn commit(&self, commit: Commit) {
        let cache = self.clone();
        self.0.is_committing.set(true);
        actix_rt::spawn(async move {
            cache.0.log_writer.write_until_durable(commit).await;
            cache.0.is_committing.set(false);
            cache.0.last_commit_at.set(cache.now());
            cache.step(Input::CommitSucceeded);
        });
    }

    /// Hands a piece that may be sent to the background scheduler.
    fn schedule(&self, id: PieceId) {
        let Some(piece) = self.0.buffer.borrow().piece(id).cloned() else { return };
        let task = Task {
            class: SEND_CLASS,
            resource: piece.shard.into(),
            units: self.0.attempts.units(piece.data.len()),
            bytes: piece.data.len() as u64,
            waiting_since: self.now(),
        };
        let mut background = self.0.background.borrow_mut();
        // A piece whose start was postponed still counts as in flight in the scheduler.
        background.remove(id);
        background.add(id, task);
    }

    /// Starts the pieces that the background scheduler lets go to their endpoints now.
    fn start_ready(&self) {
        let started = self.0.background.borrow_mut().start_ready(self.now());
        for id in started {
            let cache = self.clone();
            // Spawned because a step of the buffer must not run inside the step that caused it.
            actix_rt::spawn(async move { cache.step(Input::Start(id)) });
        }
    }

    fn send(&self, id: PieceId) {
        let Some(to_send) = self.piece_to_send(id) else { return };
        let cache = self.clone();
        actix_rt::spawn(async move {
            let outcome = cache.0.attempts.write(to_send).await;
            cache.0.background.borrow_mut().remove(id);
            cache.step(Input::AttemptEnded { piece: id, outcome });
        });
    }

    fn read_back(&self, id: PieceId) {
        let Some(to_send) = self.piece_to_send(id) else { return };
        let cache = self.clone();
        actix_rt::spawn(async move {
            let data = cache.0.attempts.read_back(to_send).await;
            cache.step(Input::ReadBack { piece: id, data });
        });
    }

    fn piece_to_send(&self, id: PieceId) -> Option<PieceToSend> {
        let buffer = self.0.buffer.borrow();
        let piece = buffer.piece(id)?.clone();
        let export = self.0.attempts.export(buffer.volume(id)?)?.clone();
        Some(PieceToSend { id, export, piece })
    }

    /// Returns how long the timer task may wait unless it is notified.
    fn timer_wait(&self, seal_at: Option<Duration>) -> Duration {
        let background = self.0.background.borrow().next_start_at();
        let next = [self.0.timer_at.get(), background, seal_at].into_iter().flatten().min();
        let wait = next.map_or(SEAL_AFTER_IDLE, |at| at.saturating_sub(self.now()));
        wait.max(MIN_TIMER_WAIT)
    }

    /// Returns when to report [`Input::Idle`] to the buffer, or `None` if that was the last input.
    fn seal_at(&self) -> Option<Duration> {
        (!self.0.is_idle.get()).then_some(self.0.last_commit_at.get() + SEAL_AFTER_IDLE)
    }

    fn timer_fired(&self, seal_at: Option<Duration>) {
        let now = self.now();
        if self.0.timer_at.get().is_some_and(|at| at <= now) {
            self.step(Input::TimerFired);
        } else if seal_at.is_some_and(|at| at <= now) && !self.0.is_committing.get() {
            self.step(Input::Idle);
        } else {
            self.start_ready();
        }
    }
}

/// Returns the configuration of the buffer, which is the same for an offline log.
pub(super) fn buffer_config(settings: &WriteBack) -> Config {
    Config {
        log: settings.log,
        attempt_lifetime: settings.attempt_lifetime,
        in_doubt_policy: settings.in_doubt_policy,
    }
}

fn send_class(settings: &WriteBack) -> WorkClass {
    WorkClass {
        priority: SEND_PRIORITY,
        units_per_second: settings.units_per_second,
        bytes_per_second: 0,
        burst: SEND_BURST,
        max_in_flight: MAX_IN_FLIGHT,
        max_in_flight_per_resource: MAX_IN_FLIGHT_PER_SHARD,
        max_age: settings.max_age,
    }
}

/// Fires the timers of the cache. Returns once the cache is dropped.
async fn run_timer(shared: Weak<Shared>) {
    loop {
        let Some(cache) = shared.upgrade().map(WriteBackCache) else { return };
        let seal_at = cache.seal_at();
        let wait = cache.timer_wait(seal_at);
        // `Notify` stores a notification that arrives before the wait, so that none is lost in between.
        let _ = tokio::time::timeout(wait, cache.0.timer_changed.notified()).await;
        cache.timer_fired(seal_at);
    }
}
