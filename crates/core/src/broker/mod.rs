//! The broker: one reducer over the scheduler and every request of one initiator.
//!
//! All that happens comes in as an [`Input`] with its time, and all that is to be done goes out as an [`Effect`]: the broker
//! reads no clock and holds no socket, so a test or a simulation drives the same code as the program. It keeps what the
//! scheduler does not: open requests and attempts in flight, the endpoint list with addresses and suspensions, peers'
//! reports, settings, counters and the hand-over. Which request goes where and when is the scheduler's decision.

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
pub use effect::{Answer, Effect};
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
    /// `None`: initiators do not talk to each other.
    gossip: Option<GossipState>,
    /// When the scheduler wants to be called again.
    scheduler_timer: Option<Duration>,
    /// Since when an operator has clients sent elsewhere.
    drained_since: Option<Duration>,
}

impl Broker {
    /// An initiator that has just started; the endpoint list it last had comes as an input.
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

    /// The same, where initiators talk to each other; `me` is what this process is to them.
    pub fn among_peers(mut self, me: Observer) -> Self {
        self.gossip = Some(GossipState::new(me));
        self
    }

    /// The one way in: takes what happened, and returns what is to be done, in order.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let mut step = Step::new(self.clock.time(now));
        self.take_input(input, &mut step);
        self.requests.time_out_attempts(&mut step);
        self.fire_scheduler_timer(&mut step);
        self.observe_attempts(&mut step);
        self.review_endpoints(&mut step);
        self.broadcast(&mut step);
        self.withdraw_from_closed(&mut step);
        self.run_scheduler(&mut step);
        self.log_counters(&mut step);
        self.set_timer(&mut step);
        step.effects
    }

    fn take_input(&mut self, input: Input, step: &mut Step) {
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
            Input::EndpointList(list) => self.take_endpoint_list(list, step),
            Input::EndpointListCurrent => {
                self.endpoints.list_is_current(step.now);
                self.note_followed_list(step);
            }
            Input::EndpointListStale(stale) => {
                let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
                self.endpoints.set_stale(stale, &context, step);
            }
            Input::WallClock(shown) => self.endpoints.read_wall_clock(step.now, shown),
            Input::Settings(settings) => self.change_settings(*settings, step),
            Input::BudgetShare(share) => step.events.push(Event::BudgetShare(share)),
            Input::OperatorCommand(command) => self.carry_out(command, step),
            Input::Restore { snapshot, budget_share } => self.restore(*snapshot, budget_share, step),
            Input::PeerReports { from, round_trip, reports } => {
                self.take_peer_reports(from, round_trip, reports, step);
            }
            Input::GossipMerged(reports) => self.merge_gossip(reports, step),
            Input::PeerTotals(totals) => self.take_peer_totals(totals, step),
            Input::TimerFired => {}
        }
    }

    /// A cached list may be of any age: only one that is followed tells of now.
    fn take_endpoint_list(&mut self, list: EndpointList, step: &mut Step) {
        let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
        if list.kind == EndpointListKind::Cached {
            let event = self.endpoints.apply_list(list, &context, step);
            step.events.push(event);
            step.review_due = true;
            step.broadcast_due = true;
        } else {
            let event = self.endpoints.apply_followed_list(list, &context, step);
            step.events.push(event);
            self.note_followed_list(step);
        }
    }

    /// The list that is followed has spoken, be it to say that nothing changed.
    fn note_followed_list(&mut self, step: &mut Step) {
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

    /// An endpoint that drains or was removed gets nothing new from now on.
    fn withdraw_from_closed(&mut self, step: &mut Step) {
        let mut ready = BTreeMap::new();
        for update in step.endpoint_updates() {
            ready.insert(update.endpoint, update.readiness == Readiness::Ready);
        }
        if ready.is_empty() {
            return;
        }
        let endpoints = &self.endpoints;
        let closed = |endpoint: EndpointId| {
            endpoints.address(endpoint).is_none() || ready.get(&endpoint) == Some(&false)
        };
        self.requests.withdraw_from(closed, step);
    }

    /// Lets the scheduler decide until nothing follows from its last decisions at once.
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

    /// Carries out one decision; what comes of it at once is an event for the scheduler's next round.
    fn apply_action(&mut self, action: Action, step: &mut Step) {
        match action {
            Action::Send { request, endpoint: node, timeout } => {
                let address = self.endpoints.address(node);
                self.requests.start_attempt(request, node, timeout, address, step);
            }
            Action::Cancel { request, number } => {
                self.requests.give_up(AttemptId { request, number }, TransportOutcome::Cancelled, step);
            }
            Action::Reject { request, retry_after } => self.requests.reject(request, retry_after, step),
            Action::Fail { request } => self.requests.fail(request, step),
            Action::SetTimer(at) => {
                self.scheduler_timer = Some(self.scheduler_timer.map_or(at, |earlier| earlier.min(at)));
            }
            Action::Log(line) => step.log(OperatorEvent::SchedulerMessage(line)),
            // The list is always followed, idle connections end by their own timers, and neither health checks nor
            // messages between initiators are asked for where the settings do not allow them.
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

    /// One timer for all that waits: attempts' deadlines, the scheduler, and advice that runs out.
    fn set_timer(&self, step: &mut Step) {
        let timers = [self.requests.next_deadline(), self.scheduler_timer, self.next_review()];
        if let Some(first) = timers.into_iter().flatten().min() {
            step.effects.push(Effect::SetTimer(self.clock.instant(first)));
        }
    }

    /// Whether it knows of an endpoint to send to.
    pub fn is_ready(&self) -> bool {
        self.endpoints.any_listed()
    }

    /// Requests without a final answer.
    pub fn open_requests(&self) -> usize {
        self.requests.open_count()
    }

    /// What became of the requests, by the number of their class.
    pub fn counters(&self) -> &[ClassCounters] {
        self.requests.counters.by_class()
    }

    /// How many attempts ended in which way, by the name of the [`TransportOutcome`].
    pub fn attempt_outcomes(&self) -> &BTreeMap<String, u64> {
        self.requests.counters.by_outcome()
    }

    /// The settings in force, with classes and plans of earlier ones, retired.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.get().clone()
    }

    /// A class by the name that clients use. One that newer settings dropped is still found for a while. A request that
    /// carries no key is none of a class with idempotency keys.
    pub fn class(&self, name: &str, has_key: bool, now: Instant) -> Option<u16> {
        self.settings.class(name, has_key, self.clock.time(now))
    }

    /// A plan by its name; one that newer settings dropped is found where none has that name now.
    pub fn plan(&self, name: &str) -> Option<u16> {
        self.settings.plan(name)
    }

    /// The endpoint list's revision, as last received.
    pub fn revision(&self) -> u64 {
        self.endpoints.revision()
    }

    /// Whether the list ever named an endpoint of that name.
    pub fn knows(&self, id: &str) -> bool {
        self.endpoints.contains(id)
    }

    /// The names of the endpoints that operators suspended.
    pub fn suspended_endpoints(&self) -> Vec<String> {
        self.endpoints.suspended()
    }

    /// Since when clients are to go elsewhere, where an operator said so.
    pub fn drained_since(&self) -> Option<Instant> {
        self.drained_since.map(|at| self.clock.instant(at))
    }
}
