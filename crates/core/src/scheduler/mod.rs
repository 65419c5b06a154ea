//! The scheduler of one initiator: decides in which order, when and where requests are sent, and which are
//! given up.
//!
//! [`Scheduler::step`] applies the events of a batch one by one. It then answers requests whose time is up,
//! subscribes to the endpoint list where that is due, lets paused keys run again, presumes attempts lost,
//! raises virtual times, and fills the free slots of endpoints with queued requests in one dispatch pass.
//! Last, it sheds requests beyond the maximum and sets the timer. Each rule has a module of its own with the
//! state that it needs, and [`Scheduler`] combines them. The scheduler reads no clock and does no I/O.

mod admission;
mod arrivals;
mod deadlines;
mod dispatch;
mod endpoint_list;
mod endpoints;
mod gossip;
mod health;
mod key_order;
mod limits;
mod lost_attempts;
mod outcomes;
mod pacing;
mod queueing;
mod random;
mod requests;
mod retry_policy;
mod slow_start;
mod snapshot;
mod timer;
mod times;
mod unit_grants;
mod usage;
mod volumes;

pub use snapshot::SchedulerSnapshot;

use crate::interface::{Action, EndpointListKind, EndpointUpdate, Event, RequestId, Settings};
use admission::OverloadRatio;
use deadlines::DeadlineQueue;
use endpoint_list::EndpointListSubscription;
use endpoints::Endpoints;
use gossip::GossipReports;
use key_order::KeyOrder;
use lost_attempts::LossRate;
use queueing::ClassQueues;
use random::SeededRandom;
use requests::PendingRequest;
use retry_policy::RetryBudget;
use slow_start::{initial_savings, SlowStart, SlowStartContext};
use std::collections::BTreeMap;
use std::time::Duration;
use timer::Timer;
use unit_grants::UnitPools;
use volumes::Volumes;

/// Schedules the requests of one initiator.
#[derive(Clone, Debug)]
pub struct Scheduler {
    settings: Settings,
    random: SeededRandom,
    now: Duration,
    /// When this scheduler started, or the first of a series of schedulers that handed over their state.
    started_at: Duration,
    /// This process's share of every budget, from 0 to 1; another process of this initiator has the rest.
    budget_share: f64,
    timer: Timer,
    endpoint_list: EndpointListSubscription,
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The longest time remaining with which a request of each class arrived.
    longest_time_remaining: BTreeMap<u16, Duration>,
    deadlines: DeadlineQueue,
    queues: ClassQueues,
    key_order: KeyOrder,
    volumes: Volumes,
    unit_pools: UnitPools,
    endpoints: Endpoints,
    slow_start: SlowStart,
    losses: LossRate,
    retry_budget: RetryBudget,
    overload: OverloadRatio,
    gossip: GossipReports,
    /// The actions of the current batch.
    actions: Vec<Action>,
}

impl Scheduler {
    /// Creates a scheduler without state from an earlier run. The same `seed` and events give the same
    /// actions.
    pub fn new(settings: Settings, seed: u64, now: Duration) -> Self {
        let mut random = SeededRandom::new(seed);
        Scheduler {
            endpoint_list: EndpointListSubscription::new(&settings, &mut random, now),
            slow_start: SlowStart::new(&settings),
            settings,
            random,
            now,
            started_at: now,
            budget_share: 1.0,
            timer: Timer::new(),
            requests: BTreeMap::new(),
            longest_time_remaining: BTreeMap::new(),
            deadlines: DeadlineQueue::default(),
            queues: ClassQueues::default(),
            key_order: KeyOrder::default(),
            volumes: Volumes::new(now),
            unit_pools: UnitPools::default(),
            endpoints: Endpoints::default(),
            losses: LossRate::default(),
            retry_budget: RetryBudget::default(),
            overload: OverloadRatio::default(),
            gossip: GossipReports::default(),
            actions: Vec::new(),
        }
    }

    /// Applies the events that happened up to `now` and appends the resulting actions. If `now` is before the
    /// time of the last step, the time of the last step is used.
    pub fn step(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.timer.begin_batch();
        for event in events {
            self.apply_event(event);
        }
        self.answer_expired();
        self.subscribe_to_list();
        self.resume_paused_keys();
        self.presume_lost_attempts();
        self.raise_virtual_times();
        self.dispatch();
        self.shed_load();
        self.set_timer();
        actions.append(&mut self.actions);
    }

    /// Applies one event to the state.
    fn apply_event(&mut self, event: &Event) {
        match event {
            Event::EndpointList { kind, updates } => self.on_endpoint_list(*kind, updates),
            Event::Request(request) => self.on_request(request),
            Event::ResponseStreaming(id) => self.on_response_streaming(*id),
            Event::ResponseStarted(id) => self.free_slot(*id),
            Event::RequestBody { request, streaming } => self.on_request_body(*request, *streaming),
            Event::ClientTime { request, remaining } => self.on_client_time(*request, *remaining),
            Event::AttemptEnded(attempt) => self.on_attempt_ended(attempt),
            Event::Settings(settings) => self.settings = Settings::clone(settings),
            Event::BudgetShare(share) => self.on_budget_share(*share),
            Event::ClientLeft(id) => self.on_client_left(*id),
            Event::Timer => self.timer.fired(self.now, self.settings.min_batch_interval),
            Event::PeerMessage { from, bytes } => self.on_peer_message(*from, bytes),
            Event::Gossip(gossip) => self.on_gossip(gossip),
            Event::HealthChecked { .. } => {}
        }
    }

    /// Sets this process's share of the budgets. A smaller share scales down the tokens that the buckets
    /// hold. A larger share adds none: the units that another process gives up come in as the buckets refill.
    fn on_budget_share(&mut self, share: f64) {
        self.volumes.scale_tokens((share / self.budget_share).min(1.0));
        self.budget_share = share;
    }

    /// Applies a list, a change of the list, or a failed call for the list.
    fn on_endpoint_list(&mut self, kind: EndpointListKind, lines: &[EndpointUpdate]) {
        if kind == EndpointListKind::Failed {
            return self.endpoint_list.failed(&mut self.random, self.now);
        }
        self.endpoint_list.succeeded();
        if kind != EndpointListKind::Delta {
            self.endpoints.remove_unlisted(lines);
        }
        let context = self.slow_start_context();
        for line in lines {
            let start_id = if line.start_id > 0 { line.start_id } else { line.started_at.as_nanos() as u64 };
            let hash = |number| self.random.hash(number);
            let savings = initial_savings(line.endpoint, line.started_at, start_id, &context, hash);
            self.endpoints.update(line, savings);
        }
        self.endpoints.prune_and_index(self.now, self.settings.rules.slow_start_duration);
        self.reschedule_retries();
    }

    /// Updates when queued retries must be answered, because a new list may leave them no endpoint that may
    /// repeat them.
    fn reschedule_retries(&mut self) {
        let is_retry = |pending: &PendingRequest| pending.is_queued() && !pending.attempts.is_empty();
        let retries = self.requests.iter().filter(|(_, pending)| is_retry(pending));
        let retries: Vec<RequestId> = retries.map(|(id, _)| *id).collect();
        retries.into_iter().for_each(|id| self.schedule_answer(id));
    }

    fn slow_start_context(&self) -> SlowStartContext {
        let ready_endpoints = self.endpoints.ready_count();
        SlowStartContext::new(&self.settings, self.now, self.started_at, self.budget_share, ready_endpoints)
    }

    /// Subscribes to the endpoint list when a call is due, where the list is sent only on request.
    fn subscribe_to_list(&mut self) {
        let Some(at) = self.endpoint_list.subscribe_at() else { return };
        if at > self.now {
            return self.timer.wake_by(at);
        }
        self.actions.push(Action::WatchEndpointList(true));
        self.endpoint_list.subscribed();
    }

    /// Lets the requests of each key whose pause has ended run again.
    fn resume_paused_keys(&mut self) {
        while let Some((at, key)) = self.key_order.next_resumption() {
            if at > self.now {
                return self.timer.wake_by(at);
            }
            self.key_order.resumed(at, key);
            self.advance_key(key);
        }
    }

    /// Raises lagging virtual times and drops the state of idle volumes.
    fn raise_virtual_times(&mut self) {
        if let Some(idle_since) = self.volumes.raise_virtual_times(self.now) {
            self.unit_pools.forget_idle(idle_since);
        }
    }

    /// Asks for a timer, unless one that is already set fires early enough.
    fn set_timer(&mut self) {
        if let Some(at) = self.timer.set(self.now) {
            self.actions.push(Action::SetTimer(at));
        }
    }
}
