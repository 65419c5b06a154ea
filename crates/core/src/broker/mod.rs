//! The broker: a reducer over the scheduler and all requests of one initiator.
//!
//! Each occurrence is passed in as an [`Input`] with its time, and the work to do is returned as [`Effect`]s.
//! The broker reads no clock and holds no socket, so that tests and simulations drive the same code as the
//! program. The broker keeps the state that the scheduler does not: open requests and attempts in flight, the
//! endpoint list with addresses and suspensions, the reports of peers, the settings, the counters and the
//! hand-over state. The scheduler decides when and to which endpoint each request is sent.

mod clock;
mod current_settings;
mod effect;
mod endpoint_state;
mod endpoints;
mod gossip;
mod input;
mod operator;
mod requests;
mod snapshot;
mod step;

pub use clock::Clock;
pub use effect::{Answer, Effect, Rejection};
pub use input::{AttemptId, AttemptProgress, AttemptResult, IncomingRequest, Input, OperatorCommand};
pub use snapshot::CoreSnapshot;

use crate::counters::{ClassCounters, Counters};
use crate::endpoint_list::EndpointList;
use crate::gossip::GossipState;
use crate::interface::{Action, EndpointId, EndpointListKind, Event, Readiness, Settings};
use crate::operator_event::OperatorEvent;
use crate::outcome::TransportOutcome;
use crate::scheduler::Scheduler;
use current_settings::CurrentSettings;
use endpoints::{Endpoints, UpdateContext};
use requests::Requests;
use shaletack_observations::Observer;
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::{Duration, Instant};
use step::Step;

/// The state of one initiator.
#[derive(Debug)]
pub struct Broker {
    clock: Clock,
    settings: CurrentSettings,
    scheduler: Scheduler,
    requests: Requests,
    endpoints: Endpoints,
    /// `None`: initiators do not exchange reports.
    gossip: Option<GossipState>,
    /// The time for which the scheduler requested a timer event.
    scheduler_timer: Option<Duration>,
    /// When an operator drained this initiator, so that clients are sent elsewhere.
    drained_since: Option<Duration>,
}

impl Broker {
    /// Creates the broker of an initiator that has just started. A cached endpoint list is passed in as an
    /// input.
    pub fn new(settings: Settings, seed: u64, clock: Clock, now: Instant) -> Self {
        let now = clock.time(now);
        let scheduler = Scheduler::new(settings.clone(), seed, now);
        let settings = CurrentSettings::new(settings);
        let mut counters = Counters::new(now);
        counters.extend_classes(settings.class_names());
        Broker {
            clock,
            settings,
            scheduler,
            requests: Requests::new(counters),
            endpoints: Endpoints::default(),
            gossip: None,
            scheduler_timer: None,
            drained_since: None,
        }
    }

    /// Enables the exchange of reports with peers, to which this process is known as `me`.
    pub fn with_peers(mut self, me: Observer) -> Self {
        self.gossip = Some(GossipState::new(me));
        self
    }

    /// Handles one input and returns the work to do, in order. All changes of the broker's state are made by
    /// this method.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let mut step = Step::new(self.clock.time(now));
        self.handle_input(input, &mut step);
        self.requests.time_out_attempts(&mut step);
        self.fire_scheduler_timer(&mut step);
        self.observe_attempts(&mut step);
        self.review_endpoints(&mut step);
        self.broadcast(&mut step);
        self.withdraw_from_unavailable(&mut step);
        self.run_scheduler(&mut step);
        self.log_counters(&mut step);
        self.set_timer(&mut step);
        step.effects
    }

    fn handle_input(&mut self, input: Input, step: &mut Step) {
        match input {
            Input::RequestArrived { id, request } => self.requests.arrived(id, request, step),
            Input::AttemptEnded { attempt, result } => {
                let max_retry_after = self.settings.get().max_retry_after;
                self.requests.ended(attempt, result, max_retry_after, step);
            }
            Input::AttemptProgressed { attempt, progress } => {
                self.requests.progressed(attempt, progress, step);
            }
            Input::ClientLeft(id) => self.requests.client_left(id, step),
            Input::EndpointList(list) => self.handle_endpoint_list(list, step),
            Input::EndpointListCurrent => {
                self.endpoints.list_is_current(step.now);
                self.watched_list_received(step);
            }
            Input::EndpointListStale(stale) => {
                let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
                self.endpoints.set_stale(stale, &context, step);
            }
            Input::WallClock(shown) => self.endpoints.read_wall_clock(step.now, shown),
            Input::Settings(settings) => self.change_settings(*settings, step),
            Input::BudgetShare(share) => step.events.push(Event::BudgetShare(share)),
            Input::OperatorCommand(command) => self.handle_command(command, step),
            Input::Restore { snapshot, budget_share } => self.restore(*snapshot, budget_share, step),
            Input::PeerReports { from, round_trip, reports } => {
                self.handle_peer_reports(from, round_trip, reports, step);
            }
            Input::GossipMerged(reports) => self.merge_gossip(reports, step),
            Input::PeerTotals(totals) => self.handle_peer_totals(totals, step),
            Input::TimerFired => {}
        }
    }

    /// Applies a list. A cached list may be of any age: only the messages of a watched list describe the
    /// present.
    fn handle_endpoint_list(&mut self, list: EndpointList, step: &mut Step) {
        let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
        if list.kind == EndpointListKind::Cached {
            let event = self.endpoints.apply_list(list, &context, step);
            step.events.push(event);
            step.review_due = true;
            step.broadcast_due = true;
        } else {
            let event = self.endpoints.apply_watched_list(list, &context, step);
            step.events.push(event);
            self.watched_list_received(step);
        }
    }

    /// Records that a message of the watched list was received, even if nothing has changed.
    fn watched_list_received(&mut self, step: &mut Step) {
        if let Some(gossip) = &mut self.gossip {
            gossip.list_received(step.now);
        }
        step.review_due = true;
        step.broadcast_due = true;
    }

    fn change_settings(&mut self, settings: Settings, step: &mut Step) {
        let event = self.settings.change(settings, step.now);
        self.requests.counters.extend_classes(self.settings.class_names());
        step.events.push(event);
    }

    fn fire_scheduler_timer(&mut self, step: &mut Step) {
        if self.scheduler_timer.is_some_and(|at| at <= step.now) {
            self.scheduler_timer = None;
            step.events.push(Event::Timer);
        }
    }

    /// Withdraws the unwritten attempts to endpoints that drain or were removed: nothing new is sent to them.
    fn withdraw_from_unavailable(&mut self, step: &mut Step) {
        let mut ready = BTreeMap::new();
        for update in step.endpoint_updates() {
            ready.insert(update.endpoint, update.readiness == Readiness::Ready);
        }
        if ready.is_empty() {
            return;
        }
        let endpoints = &self.endpoints;
        let unavailable = |endpoint: EndpointId| {
            endpoints.address(endpoint).is_none() || ready.get(&endpoint) == Some(&false)
        };
        self.requests.withdraw_from(unavailable, step);
    }

    /// Runs the scheduler until its last actions cause no further events.
    fn run_scheduler(&mut self, step: &mut Step) {
        let mut actions = Vec::new();
        while !step.events.is_empty() {
            self.scheduler.step(step.now, &step.events, &mut actions);
            step.events.clear();
            for action in actions.drain(..) {
                self.apply_action(action, step);
            }
            self.requests.withdraw_unwanted(step);
        }
    }

    /// Carries out one action. Its immediate consequences are events for the scheduler's next run.
    fn apply_action(&mut self, action: Action, step: &mut Step) {
        match action {
            Action::Send { request, endpoint, timeout } => {
                let address = self.endpoints.address(endpoint);
                self.requests.start_attempt(request, endpoint, timeout, address, step);
            }
            Action::Cancel { request, number } => {
                self.requests.abort(AttemptId { request, number }, TransportOutcome::Cancelled, step);
            }
            Action::Reject { request, retry_after } => self.requests.reject(request, retry_after, step),
            Action::Fail { request } => self.requests.fail(request, step),
            Action::SetTimer(at) => {
                self.scheduler_timer = Some(self.scheduler_timer.map_or(at, |earlier| earlier.min(at)));
            }
            Action::Log(line) => step.log(OperatorEvent::SchedulerMessage(line)),
            // The host always watches the list, and idle connections are closed by their own timers. The
            // scheduler requests health checks and peer messages only if the settings allow them.
            Action::WatchEndpointList(_) | Action::FetchEndpointList | Action::CloseIdle(_) => {}
            Action::HealthCheck(_) | Action::SendPeerMessage { .. } => {}
        }
    }

    fn log_counters(&mut self, step: &mut Step) {
        if self.requests.counters.take_log_due(step.now) {
            step.log(OperatorEvent::Counters {
                classes: self.counters().to_vec(),
                attempt_outcomes: self.attempt_outcomes().clone(),
                open_requests: self.open_requests(),
            });
        }
    }

    /// Sets one timer for the earliest of attempt deadlines, the scheduler's timer and the expiry of advice.
    fn set_timer(&self, step: &mut Step) {
        let timers = [self.requests.next_deadline(), self.scheduler_timer, self.next_review()];
        if let Some(first) = timers.into_iter().flatten().min() {
            step.effects.push(Effect::SetTimer(self.clock.instant(first)));
        }
    }

    /// Returns whether there is a listed endpoint to send to.
    pub fn is_ready(&self) -> bool {
        self.endpoints.any_listed()
    }

    /// Returns the number of requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.open_count()
    }

    /// Returns the request counters, indexed by class number.
    pub fn counters(&self) -> &[ClassCounters] {
        self.requests.counters.by_class()
    }

    /// Returns the number of ended attempts, by the name of their [`TransportOutcome`].
    pub fn attempt_outcomes(&self) -> &BTreeMap<String, u64> {
        self.requests.counters.by_outcome()
    }

    /// Returns the settings in force. Classes and plans that only earlier settings had are included as
    /// retired.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.get().clone()
    }

    /// Returns the number of the class of that name, as clients use it.
    ///
    /// A class that newer settings dropped is still found for a few seconds. A request without a key
    /// (`has_key` is false) belongs to no class that requires idempotency keys.
    pub fn class(&self, name: &str, has_key: bool, now: Instant) -> Option<u16> {
        self.settings.class(name, has_key, self.clock.time(now))
    }

    /// Returns the number of the plan of that name. A plan that newer settings dropped is found if no current
    /// plan has the name.
    pub fn plan(&self, name: &str) -> Option<u16> {
        self.settings.plan(name)
    }

    /// Returns the revision of the endpoint list that was last received.
    pub fn revision(&self) -> u64 {
        self.endpoints.revision()
    }

    /// Returns whether the endpoint of that name was ever listed, as far as removed endpoints are remembered.
    pub fn contains_endpoint(&self, id: &str) -> bool {
        self.endpoints.contains(id)
    }

    /// Returns the names of the endpoints that operators suspended.
    pub fn suspended_endpoints(&self) -> Vec<String> {
        self.endpoints.suspended()
    }

    /// Returns since when this initiator is drained by an operator, so that clients are to use other
    /// initiators; `None` if it is not drained.
    pub fn drained_since(&self) -> Option<Instant> {
        self.drained_since.map(|at| self.clock.instant(at))
    }
}
