//! Runs the sans-I/O core on one thread: feeds it inputs and carries out the effects that it returns, which
//! are attempts, final answers, one timer, log events and reports to peers.

use crate::broker::{
    Answer, AttemptId, AttemptProgress, AttemptResult, Broker, Effect, IncomingRequest, Input,
    OperatorCommand,
};
use crate::interface::{RequestId, Settings};
use crate::runtime::log;
use futures_util::future::LocalBoxFuture;
use shaletack_observations::Report;
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::sync::{mpsc, oneshot, Notify};
use tokio::task::AbortHandle;

/// Called each time an attempt makes progress.
pub type ProgressCallback = Box<dyn Fn(AttemptProgress)>;

/// A client's request in the form in which its front sends it to endpoints.
pub trait UpstreamRequest {
    /// Sends the request to `endpoint` once and returns how that ended. The broker gives the attempt up after
    /// `timeout`. `on_progress` is called as the attempt proceeds.
    ///
    /// Dropping the future cancels the attempt and closes the connection that it uses.
    fn attempt(
        &self,
        endpoint: SocketAddr,
        timeout: Duration,
        on_progress: ProgressCallback,
    ) -> LocalBoxFuture<'static, AttemptResult>;
}

/// A request that has no final answer yet.
struct PendingRequest {
    upstream: Rc<dyn UpstreamRequest>,
    answer: oneshot::Sender<Answer>,
}

struct Inner {
    broker: RefCell<Broker>,
    pending: RefCell<HashMap<RequestId, PendingRequest>>,
    attempts_in_flight: RefCell<HashMap<AttemptId, AbortHandle>>,
    last_id: Cell<RequestId>,
    timer_at: Cell<Option<Instant>>,
    timer_changed: Notify,
    stopping: Cell<bool>,
    handed_over_at: Cell<Option<Instant>>,
    budget_share: Cell<f64>,
    streaming_responses: Cell<usize>,
    report_channel: RefCell<Option<mpsc::Sender<Vec<Report>>>>,
}

/// The core and the loop around it, shared by all fronts. Clones refer to the same core.
#[derive(Clone)]
pub struct Host(Rc<Inner>);

impl Host {
    /// Starts the loop around `broker` on the current thread.
    pub fn start(broker: Broker) -> Self {
        let host = Host(Rc::new(Inner {
            broker: RefCell::new(broker),
            pending: RefCell::default(),
            attempts_in_flight: RefCell::default(),
            last_id: Cell::new(0),
            timer_at: Cell::new(None),
            timer_changed: Notify::new(),
            stopping: Cell::new(false),
            handed_over_at: Cell::new(None),
            budget_share: Cell::new(1.0),
            streaming_responses: Cell::new(0),
            report_channel: RefCell::default(),
        }));
        actix_rt::spawn(host.clone().run_timer());
        host
    }

    /// Gives the core an input and carries out the effects that follow.
    pub fn feed(&self, input: Input) {
        if let Input::BudgetShare(share) | Input::Restore { budget_share: share, .. } = &input {
            self.0.budget_share.set(*share);
        }
        if let Input::EndpointList(_) = &input {
            // The list states the start times of endpoints as Unix time, so the core needs the wall clock to
            // read them.
            let unix_time = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            self.step(Input::WallClock(unix_time));
        }
        self.step(input);
    }

    fn step(&self, input: Input) {
        let effects = self.0.broker.borrow_mut().step(Instant::now(), input);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn carry_out(&self, effect: Effect) {
        match effect {
            Effect::StartAttempt { attempt, to, timeout } => self.start_attempt(attempt, to, timeout),
            Effect::AbortAttempt(attempt) => {
                if let Some(task) = self.0.attempts_in_flight.borrow_mut().remove(&attempt) {
                    task.abort();
                }
            }
            Effect::Respond { request, answer } => {
                if let Some(pending) = self.0.pending.borrow_mut().remove(&request) {
                    // The receiver is gone if the client has disconnected.
                    let _ = pending.answer.send(answer);
                }
            }
            Effect::SetTimer(at) => {
                if self.0.timer_at.replace(Some(at)) != Some(at) {
                    self.0.timer_changed.notify_one();
                }
            }
            Effect::Log(event) => log::write(&event),
            Effect::Broadcast(reports) => {
                if let Some(channel) = &*self.0.report_channel.borrow() {
                    // Each broadcast repeats all current reports, so one that finds the channel full loses
                    // nothing.
                    let _ = channel.try_send(reports);
                }
            }
        }
    }

    /// Sends this process's reports on endpoints, which are meant for its peers, to `channel` from now on.
    pub fn set_report_channel(&self, channel: mpsc::Sender<Vec<Report>>) {
        *self.0.report_channel.borrow_mut() = Some(channel);
    }

    fn start_attempt(&self, id: AttemptId, endpoint: SocketAddr, timeout: Duration) {
        let upstream = self.0.pending.borrow().get(&id.request).map(|pending| pending.upstream.clone());
        let Some(upstream) = upstream else { return };
        let host = self.clone();
        let progress_host = self.clone();
        let on_progress = Box::new(move |progress| {
            progress_host.feed(Input::AttemptProgressed { attempt: id, progress });
        });
        let attempt = upstream.attempt(endpoint, timeout, on_progress);
        let task = actix_rt::spawn(async move {
            let result = attempt.await;
            host.0.attempts_in_flight.borrow_mut().remove(&id);
            host.feed(Input::AttemptEnded { attempt: id, result });
        });
        self.0.attempts_in_flight.borrow_mut().insert(id, task.abort_handle());
    }

    /// Submits a request to the core and waits for its one final answer.
    ///
    /// Dropping the future tells the core that the client has disconnected.
    pub async fn submit(&self, request: IncomingRequest, upstream: Rc<dyn UpstreamRequest>) -> Answer {
        let id = self.0.last_id.get() + 1;
        self.0.last_id.set(id);
        let (answer, answered) = oneshot::channel();
        self.0.pending.borrow_mut().insert(id, PendingRequest { upstream, answer });
        let guard = ClientLeftOnDrop { host: self, id };
        self.feed(Input::RequestArrived { id, request });
        let answer = answered.await.unwrap_or(Answer::Failed);
        drop(guard);
        answer
    }

    /// Feeds [`Input::TimerFired`] whenever the core's timer expires.
    async fn run_timer(self) {
        loop {
            let timer_changed = self.0.timer_changed.notified();
            match self.0.timer_at.get() {
                None => timer_changed.await,
                Some(at) => tokio::select! {
                    () = timer_changed => {}
                    () = tokio::time::sleep_until(at.into()) => {
                        self.0.timer_at.set(None);
                        self.feed(Input::TimerFired);
                    }
                },
            }
        }
    }

    /// Carries out an operator's command. Returns `false` if it names an endpoint that was never listed.
    pub fn apply_command(&self, command: OperatorCommand) -> bool {
        if let OperatorCommand::Suspend(id) | OperatorCommand::Resume(id) = &command {
            if !self.with_broker(|broker| broker.contains_endpoint(id)) {
                return false;
            }
        }
        self.feed(Input::OperatorCommand(command));
        true
    }

    /// Returns the settings in force.
    pub fn settings(&self) -> Rc<Settings> {
        self.with_broker(Broker::settings)
    }

    /// Returns this process's share of every budget, from 0 to 1.
    pub fn budget_share(&self) -> f64 {
        self.0.budget_share.get()
    }

    /// Marks this process as stopping, with a successor that accepts clients in its place.
    pub fn stop_after_handover(&self) {
        self.stop();
        self.0.handed_over_at.set(Some(Instant::now()));
    }

    /// Returns since when a successor has accepted clients in place of this process, if one does.
    pub fn handed_over_since(&self) -> Option<Instant> {
        self.0.handed_over_at.get()
    }

    /// Returns since when an operator has had this initiator drained, if it is.
    pub fn drained_since(&self) -> Option<Instant> {
        self.with_broker(Broker::drained_since)
    }

    /// Returns whether new clients can be served: an endpoint is listed, and this process is neither stopping
    /// nor drained.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.drained_since().is_none() && self.0.broker.borrow().is_ready()
    }

    /// Returns whether this process is stopping.
    pub fn is_stopping(&self) -> bool {
        self.0.stopping.get()
    }

    /// Marks this process as stopping.
    pub fn stop(&self) {
        self.0.stopping.set(true);
    }

    /// Returns the number of large responses that are being streamed to clients.
    pub fn streaming_responses(&self) -> usize {
        self.0.streaming_responses.get()
    }

    /// Counts one large response as being streamed until the guard is dropped.
    pub fn track_streaming_response(&self) -> StreamingResponseGuard {
        self.0.streaming_responses.set(self.0.streaming_responses.get() + 1);
        StreamingResponseGuard(self.clone())
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.0.broker.borrow().open_requests()
    }

    /// Reads the core's state.
    pub fn with_broker<T>(&self, read: impl FnOnce(&Broker) -> T) -> T {
        read(&self.0.broker.borrow())
    }
}

/// Counts a large response as being streamed for as long as the guard exists.
pub struct StreamingResponseGuard(Host);

impl Drop for StreamingResponseGuard {
    fn drop(&mut self) {
        self.0 .0.streaming_responses.set(self.0.streaming_responses() - 1);
    }
}

/// Tells the core that the client has disconnected, if the request has no final answer when the guard is
/// dropped.
struct ClientLeftOnDrop<'a> {
    host: &'a Host,
    id: RequestId,
}

impl Drop for ClientLeftOnDrop<'_> {
    fn drop(&mut self) {
        if self.host.0.pending.borrow_mut().remove(&self.id).is_some() {
            self.host.feed(Input::ClientLeft(self.id));
        }
    }
}
