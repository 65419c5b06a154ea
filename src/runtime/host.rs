//! Carries out what the core asks for: attempts, answers and waits, all on one thread.

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

/// Told how far an attempt is.
pub type Tell = Box<dyn Fn(AttemptProgress)>;

/// How one front's requests reach a box. Dropping the future closes the connection it uses.
pub trait Errand {
    /// One attempt, for which the initiator waits so long; `tell` is told how far it is.
    fn attempt(&self, to: SocketAddr, wait: Duration, tell: Tell) -> LocalBoxFuture<'static, AttemptResult>;
}

struct Waiting {
    errand: Rc<dyn Errand>,
    answer: oneshot::Sender<Answer>,
}

struct Inner {
    broker: RefCell<Broker>,
    waiting: RefCell<HashMap<RequestId, Waiting>>,
    flights: RefCell<HashMap<AttemptId, AbortHandle>>,
    last_id: Cell<RequestId>,
    wake: Cell<Option<Instant>>,
    rearm: Notify,
    stopping: Cell<bool>,
    succeeded: Cell<Option<Instant>>,
    part: Cell<f64>,
    passing: Cell<usize>,
    peers: RefCell<Option<mpsc::Sender<Vec<Report>>>>,
}

/// The core and its loop, shared by the fronts.
#[derive(Clone)]
pub struct Host(Rc<Inner>);

impl Host {
    /// Starts the loop round a core on the current thread.
    pub fn start(broker: Broker) -> Self {
        let host = Host(Rc::new(Inner {
            broker: RefCell::new(broker),
            waiting: RefCell::default(),
            flights: RefCell::default(),
            last_id: Cell::new(0),
            wake: Cell::new(None),
            rearm: Notify::new(),
            stopping: Cell::new(false),
            succeeded: Cell::new(None),
            part: Cell::new(1.0),
            passing: Cell::new(0),
            peers: RefCell::default(),
        }));
        actix_rt::spawn(host.clone().keep_time());
        host
    }

    /// Gives the core an input and carries out what it asks for.
    pub fn feed(&self, input: Input) {
        if let Input::BudgetShare(part) | Input::Restore { budget_share: part, .. } = &input {
            self.0.part.set(*part);
        }
        if let Input::EndpointList(_) = &input {
            // Starts of boxes are told in Unix time.
            let shown = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
            self.carry_out(Input::WallClock(shown));
        }
        self.carry_out(input);
    }

    fn carry_out(&self, input: Input) {
        let effects = self.0.broker.borrow_mut().step(Instant::now(), input);
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt, to, timeout } => self.send(attempt, to, timeout),
                Effect::AbortAttempt(attempt) => {
                    if let Some(flight) = self.0.flights.borrow_mut().remove(&attempt) {
                        flight.abort();
                    }
                }
                Effect::Respond { request, answer } => {
                    if let Some(waiting) = self.0.waiting.borrow_mut().remove(&request) {
                        // Where the client is gone by now nobody reads it.
                        let _ = waiting.answer.send(answer);
                    }
                }
                Effect::SetTimer(at) => {
                    if self.0.wake.replace(Some(at)) != Some(at) {
                        self.0.rearm.notify_one();
                    }
                }
                Effect::Log(notice) => log::write(&notice),
                Effect::Broadcast(told) => {
                    if let Some(peers) = &*self.0.peers.borrow() {
                        // All of it is said again with the next message of the list: what has no room is not lost.
                        let _ = peers.try_send(told);
                    }
                }
            }
        }
    }

    /// Where what this process sees goes, for its peers.
    pub fn say_to(&self, peers: mpsc::Sender<Vec<Report>>) {
        *self.0.peers.borrow_mut() = Some(peers);
    }

    fn send(&self, id: AttemptId, to: SocketAddr, timeout: Duration) {
        let Some(errand) = self.0.waiting.borrow().get(&id.request).map(|w| w.errand.clone()) else { return };
        let host = self.clone();
        let core = self.clone();
        let tell = Box::new(move |progress| core.feed(Input::AttemptProgressed { attempt: id, progress }));
        let attempt = errand.attempt(to, timeout, tell);
        let task = actix_rt::spawn(async move {
            let result = attempt.await;
            host.0.flights.borrow_mut().remove(&id);
            host.feed(Input::AttemptEnded { attempt: id, result });
        });
        self.0.flights.borrow_mut().insert(id, task.abort_handle());
    }

    /// Takes a request and waits for its one final answer; dropping the future says that its client left.
    pub async fn ask(&self, ask: IncomingRequest, errand: Rc<dyn Errand>) -> Answer {
        let id = self.0.last_id.get() + 1;
        self.0.last_id.set(id);
        let (answer, answered) = oneshot::channel();
        self.0.waiting.borrow_mut().insert(id, Waiting { errand, answer });
        let guard = Leaving { host: self, id };
        self.feed(Input::RequestArrived { id, request: ask });
        let answer = answered.await.unwrap_or(Answer::Failed);
        drop(guard);
        answer
    }

    async fn keep_time(self) {
        loop {
            let rearmed = self.0.rearm.notified();
            match self.0.wake.get() {
                None => rearmed.await,
                Some(at) => tokio::select! {
                    () = rearmed => {}
                    () = tokio::time::sleep_until(at.into()) => {
                        self.0.wake.set(None);
                        self.feed(Input::TimerFired);
                    }
                },
            }
        }
    }

    /// Carries out an operator's command; false where it names an endpoint that was never listed.
    pub fn command(&self, command: OperatorCommand) -> bool {
        if let OperatorCommand::Suspend(id) | OperatorCommand::Resume(id) = &command {
            if !self.look(|broker| broker.contains_endpoint(id)) {
                return false;
            }
        }
        self.feed(Input::OperatorCommand(command));
        true
    }

    /// The settings as they are now.
    pub fn settings(&self) -> Rc<Settings> {
        self.look(Broker::settings)
    }

    /// This process's part of every budget.
    pub fn part(&self) -> f64 {
        self.0.part.get()
    }

    /// From now on this process is on its way out and another one takes the clients.
    pub fn succeed(&self) {
        self.stop();
        self.0.succeeded.set(Some(Instant::now()));
    }

    /// Since when another process takes the clients, where one does.
    pub fn succeeded_since(&self) -> Option<Instant> {
        self.0.succeeded.get()
    }

    /// Since when clients are to go elsewhere, if they are.
    pub fn leaves_since(&self) -> Option<Instant> {
        self.look(Broker::drained_since)
    }

    /// Whether new clients can be served now.
    pub fn is_ready(&self) -> bool {
        !self.is_stopping() && self.leaves_since().is_none() && self.0.broker.borrow().is_ready()
    }

    /// Whether the program is on its way out.
    pub fn is_stopping(&self) -> bool {
        self.0.stopping.get()
    }

    /// From now on the program is on its way out.
    pub fn stop(&self) {
        self.0.stopping.set(true);
    }

    /// Large answers that are being passed on.
    pub fn passing(&self) -> usize {
        self.0.passing.get()
    }

    /// Counts one of them until it is dropped.
    pub fn passes(&self) -> Passing {
        self.0.passing.set(self.0.passing.get() + 1);
        Passing(self.clone())
    }

    /// Requests without a final answer.
    pub fn open(&self) -> usize {
        self.0.broker.borrow().open_requests()
    }

    /// Looks at the core.
    pub fn look<T>(&self, look: impl FnOnce(&Broker) -> T) -> T {
        look(&self.0.broker.borrow())
    }
}

/// A large answer that is being passed on.
pub struct Passing(Host);

impl Drop for Passing {
    fn drop(&mut self) {
        self.0 .0.passing.set(self.0.passing() - 1);
    }
}

struct Leaving<'a> {
    host: &'a Host,
    id: RequestId,
}

impl Drop for Leaving<'_> {
    fn drop(&mut self) {
        if self.host.0.waiting.borrow_mut().remove(&self.id).is_some() {
            self.host.feed(Input::ClientLeft(self.id));
        }
    }
}
