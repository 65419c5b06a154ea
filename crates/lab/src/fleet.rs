//! Runs the program's brokers, one for each initiator, against model endpoints on one virtual clock.

use crate::model::{EndpointFigures, Mode, ModelEndpoint, Outcome};
use hdrhistogram::Histogram;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_core::broker::{
    Answer, AttemptId, AttemptResult, Broker, Clock, Effect, IncomingRequest, Input,
};
use shaletack_core::endpoint_list::{EndpointList, EndpointRecord};
use shaletack_core::interface::{
    EndpointListKind, Idempotency, Plan, Readiness, RequestClass, Settings, SharedRules,
};
use shaletack_core::outcome::TransportOutcome;
use shaletack_membership::frame;
use shaletack_observations::Observer;
use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

/// One millisecond.
pub const MILLISECOND: Duration = Duration::from_millis(1);
/// One second.
pub const SECOND: Duration = Duration::from_secs(1);
/// Network delay of a message between two machines, in one direction.
const ONE_WAY_DELAY: Duration = Duration::from_micros(500);
/// Wall-clock time at the start of the run, since the Unix epoch.
pub const UNIX_START: Duration = Duration::from_secs(1_700_000_000);

/// Size, load and endpoint parameters of a fleet.
#[derive(Clone, Copy, Debug)]
pub struct FleetConfig {
    /// Number of initiators.
    pub initiators: usize,
    /// Number of shards.
    pub shards: u16,
    /// Number of endpoints that hold each shard.
    pub replicas_per_shard: usize,
    /// Requests per second at each initiator.
    pub rate: f64,
    /// Fraction of the requests that are of class `gravacao` (writes).
    pub write_fraction: f64,
    /// Whether initiators exchange reports with each other.
    pub peers: bool,
    /// Capacity and overload parameters of the endpoints.
    pub endpoints: EndpointFigures,
    /// Units that an endpoint of any age can take within the overload window, from all initiators together.
    pub slow_start_units: f64,
}

/// Counts of an initiator's requests since its last start, by outcome.
#[derive(Clone, Debug)]
pub struct RequestCounts {
    /// Requests that arrived from clients.
    pub arrived: u64,
    /// Requests answered as served.
    pub served: u64,
    /// Requests answered as rejected.
    pub rejected: u64,
    /// Requests answered as failed.
    pub failed: u64,
    /// Attempts at endpoints that drain, do not answer or fail.
    pub misdirected: u64,
    /// Times from a request's arrival to its answer, in microseconds.
    pub response_times: Histogram<u64>,
}

impl RequestCounts {
    fn new() -> Self {
        // Creation fails only for invalid bounds; one microsecond to one minute with three digits is valid.
        let response_times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!());
        RequestCounts { arrived: 0, served: 0, rejected: 0, failed: 0, misdirected: 0, response_times }
    }

    /// Returns how many requests were rejected or failed.
    pub fn errors(&self) -> u64 {
        self.rejected + self.failed
    }
}

/// An event of the simulation; the first number, or `from`, is the initiator that it concerns.
#[derive(Debug)]
enum Event {
    RequestDue(usize),
    /// A timer fires, unless a later one has replaced it: the second number is the timer's id.
    TimerFires(usize, u64),
    AttemptArrives {
        from: usize,
        incarnation: u64,
        request: u64,
        number: u8,
        at: usize,
    },
    AttemptEnds {
        from: usize,
        incarnation: u64,
        request: u64,
        number: u8,
        end: TransportOutcome,
    },
    /// The next exchange with a peer is due, if the initiator still has this incarnation.
    ExchangeDue(usize, u64),
    ListRefreshes(usize),
}

/// A request that has not been answered.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    arrived_at: Duration,
    units: f64,
}

struct Initiator {
    broker: Broker,
    identity: Observer,
    /// `None` after it was killed.
    incarnation: Option<u64>,
    timer_id: u64,
    next_peer: usize,
    /// Drives only the clients, so that they send the same requests with and without peers.
    client_rng: StdRng,
    /// Requests that have not been answered, by id.
    open: BTreeMap<u64, OpenRequest>,
    /// Updates of the endpoint list reach the initiator from this time on.
    list_updates_from: Duration,
    request_counts: RequestCounts,
}

/// Initiators, endpoints and the events that are scheduled for them.
pub struct Fleet {
    /// Virtual time since the start of the run.
    pub now: Duration,
    /// All endpoints; the replicas of a shard are adjacent.
    pub endpoints: Vec<ModelEndpoint>,
    config: FleetConfig,
    origin: Instant,
    rng: StdRng,
    events: BTreeMap<(Duration, u64), Event>,
    last_sequence: u64,
    initiators: Vec<Initiator>,
    revision: u64,
    /// An initiator that exchanges no reports with its peers.
    pub isolated: Option<usize>,
    /// Endpoints that the endpoint list shows as draining.
    draining: BTreeSet<usize>,
}

/// Returns the settings of an initiator, except for its rank.
pub fn settings(config: &FleetConfig) -> Settings {
    let class = |name: &str, effect| RequestClass {
        name: name.into(),
        latency_objective: 150 * MILLISECOND,
        deadline: 1200 * MILLISECOND,
        late_weight: 0.1,
        priority_weight: 2.0,
        idempotency: effect,
        ..RequestClass::default()
    };
    Settings {
        initiators: config.initiators as u32,
        min_batch_interval: 2 * MILLISECOND,
        classes: vec![
            class("leitura", Idempotency::Idempotent),
            class("gravacao", Idempotency::NotIdempotent),
        ],
        plans: vec![Plan { rate: 50.0, reserve: 20.0, weight: 1.0, price: 1.0, ..Plan::default() }],
        rules: SharedRules {
            slow_start_capacity: config.endpoints.slow_start_capacity,
            slow_start_duration: config.endpoints.slow_start_duration,
            overload_factor: config.endpoints.overload_factor,
            overload_window: config.endpoints.overload_window,
            ..SharedRules::default()
        },
        max_attempts: 4,
        cancellation_allowed: true,
        max_retry_after: 500 * MILLISECOND,
        slow_start_units: config.slow_start_units,
        mean_request_units: 2.0,
        max_request_units: 6.0,
        within_share_weight: 0.35,
        beyond_share_weight: 0.1,
        ..Settings::default()
    }
}

impl Fleet {
    /// Creates a fleet in which all endpoints have finished slow start, all lists are current and every
    /// initiator has clients.
    pub fn new(config: FleetConfig, seed: u64) -> Self {
        let endpoints = (0..config.shards)
            .flat_map(|s| (0..config.replicas_per_shard).map(move |_| ModelEndpoint::new(s)))
            .collect();
        let mut fleet = Fleet {
            now: Duration::ZERO,
            endpoints,
            config,
            origin: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            last_sequence: 0,
            initiators: Vec::new(),
            revision: 1,
            isolated: None,
            draining: BTreeSet::new(),
        };
        for index in 0..config.initiators {
            let initiator = fleet.new_initiator(index, Duration::ZERO);
            fleet.initiators.push(initiator);
            fleet.start_initiator(index, EndpointListKind::Full);
        }
        fleet
    }

    fn new_initiator(&mut self, initiator: usize, list_updates_from: Duration) -> Initiator {
        let identity = Observer { name: format!("n{initiator}"), incarnation: self.rng.random() };
        let now = self.origin + self.now;
        let settings = Settings { rank: initiator as u32, ..settings(&self.config) };
        let broker = Broker::new(settings, self.rng.random(), Clock::new(self.origin, UNIX_START), now);
        let broker = if self.config.peers { broker.with_peers(identity.clone()) } else { broker };
        Initiator {
            broker,
            incarnation: Some(identity.incarnation),
            identity,
            timer_id: 0,
            next_peer: initiator + 1,
            client_rng: StdRng::seed_from_u64(self.rng.random()),
            open: BTreeMap::new(),
            list_updates_from,
            request_counts: RequestCounts::new(),
        }
    }

    /// Gives an initiator its first list and schedules its events.
    fn start_initiator(&mut self, initiator: usize, kind: EndpointListKind) {
        // A cached list shows the fleet as it was at the start of the run.
        let fresh = kind == EndpointListKind::Full;
        let entries =
            (0..self.endpoints.len()).map(|endpoint| self.endpoint_record(endpoint, fresh)).collect();
        let revision = if fresh { self.revision } else { 1 };
        self.step(initiator, Input::EndpointList(EndpointList { revision, kind, entries }));
        let incarnation = self.initiators[initiator].identity.incarnation;
        if self.config.peers {
            if !fresh {
                (0..self.config.initiators).for_each(|peer| self.exchange(initiator, peer));
            }
            let first = Duration::from_millis(150 + 200 * initiator as u64);
            self.schedule(first, Event::ExchangeDue(initiator, incarnation));
        }
        let first = self.next_request_in(initiator);
        self.schedule(first, Event::RequestDue(initiator));
        self.schedule(
            self.initiators[initiator].list_updates_from.saturating_sub(self.now) + 2 * SECOND,
            Event::ListRefreshes(initiator),
        );
    }

    /// Kills an initiator; its clients send no more requests.
    pub fn kill(&mut self, initiator: usize) {
        self.initiators[initiator].incarnation = None;
        self.events
            .retain(|_, e| !matches!(e, Event::RequestDue(n) | Event::ListRefreshes(n) if *n == initiator));
    }

    /// Restarts an initiator with the list that it was first started with. Updates of the list reach it only
    /// after `list_silent_for`.
    pub fn restart_with_stale_list(&mut self, initiator: usize, list_silent_for: Duration) {
        let list_updates_from = self.now + list_silent_for;
        self.initiators[initiator] = self.new_initiator(initiator, list_updates_from);
        self.start_initiator(initiator, EndpointListKind::Cached);
    }

    /// Returns the counts of an initiator's requests since its last start.
    pub fn request_counts(&self, initiator: usize) -> &RequestCounts {
        &self.initiators[initiator].request_counts
    }

    /// Changes how an endpoint treats requests. With `listed`, the endpoint list shows it as draining: the
    /// list announces drains, removals and starts, but no faults.
    pub fn set_mode(&mut self, endpoint: usize, mode: Mode, listed: bool) {
        self.endpoints[endpoint].mode = mode;
        if listed {
            self.draining.insert(endpoint);
            self.publish_list_change(endpoint);
        }
    }

    /// Restarts an endpoint and announces the start in the endpoint list.
    pub fn restart(&mut self, endpoint: usize) {
        self.endpoints[endpoint].restart(self.now);
        self.publish_list_change(endpoint);
    }

    /// Sends an endpoint's new entry to all initiators that receive list updates.
    fn publish_list_change(&mut self, endpoint: usize) {
        self.revision += 1;
        for initiator in 0..self.initiators.len() {
            if self.initiators[initiator].incarnation.is_some()
                && self.initiators[initiator].list_updates_from <= self.now
            {
                let entries = vec![self.endpoint_record(endpoint, true)];
                let kind = EndpointListKind::Delta;
                self.step(
                    initiator,
                    Input::EndpointList(EndpointList { revision: self.revision, kind, entries }),
                );
            }
        }
    }

    /// Returns an endpoint's entry in the current list, or with `fresh` unset in the first one.
    fn endpoint_record(&self, endpoint: usize, fresh: bool) -> EndpointRecord {
        let ready = !(fresh && self.draining.contains(&endpoint));
        EndpointRecord {
            id: format!("s-{endpoint:08x}"),
            address: Some(SocketAddr::from(([127, 0, 0, 1], endpoint as u16))),
            zone: String::new(),
            shard: self.endpoints[endpoint].shard,
            readiness: if ready { Readiness::Ready } else { Readiness::Draining },
            up_since: self.endpoints[endpoint]
                .started_at
                .filter(|_| fresh)
                .map(|started| UNIX_START + started),
        }
    }

    /// Returns the time to an initiator's next request, drawn from an exponential distribution.
    fn next_request_in(&mut self, initiator: usize) -> Duration {
        let uniform: f64 = self.initiators[initiator].client_rng.random();
        Duration::from_secs_f64(-(1.0 - uniform).ln() / self.config.rate)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.last_sequence += 1;
        self.events.insert((self.now + after, self.last_sequence), event);
    }

    /// Handles all events up to and including `until`, and sets the clock to it.
    pub fn run_until(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestDue(initiator) => {
                let next = self.next_request_in(initiator);
                self.schedule(next, Event::RequestDue(initiator));
                self.start_request(initiator);
            }
            Event::TimerFires(initiator, timer_id) => {
                if self.initiators[initiator].timer_id == timer_id
                    && self.initiators[initiator].incarnation.is_some()
                {
                    self.step(initiator, Input::TimerFired);
                }
            }
            Event::AttemptArrives { from, incarnation, request, number, at } => {
                let Some(OpenRequest { units, .. }) = self.initiators[from].open.get(&request).copied()
                else {
                    return;
                };
                let outcome = self.endpoints[at].serve(self.now, units, &self.config.endpoints);
                let (end, when) = match outcome {
                    Outcome::Served(when) => (TransportOutcome::Complete, when),
                    Outcome::Error => (TransportOutcome::EndpointError, self.now),
                    Outcome::Rejected => (TransportOutcome::Rejected, self.now),
                    Outcome::ConnectionLost => (TransportOutcome::LostAwaitingResponse, self.now),
                    Outcome::NoAnswer => return,
                };
                self.schedule(
                    when + ONE_WAY_DELAY - self.now,
                    Event::AttemptEnds { from, incarnation, request, number, end },
                );
            }
            Event::AttemptEnds { from, incarnation, request, number, end } => {
                if self.initiators[from].incarnation == Some(incarnation) {
                    self.step(
                        from,
                        Input::AttemptEnded {
                            attempt: AttemptId::new(request, number),
                            result: AttemptResult::without_response(end),
                        },
                    );
                }
            }
            Event::ExchangeDue(initiator, incarnation) => {
                if self.initiators[initiator].incarnation == Some(incarnation) {
                    let peer = self.initiators[initiator].next_peer % self.initiators.len();
                    self.initiators[initiator].next_peer = peer + 1;
                    self.exchange(initiator, peer);
                    self.schedule(SECOND, Event::ExchangeDue(initiator, incarnation));
                }
            }
            Event::ListRefreshes(initiator) => {
                // A full list is sent each time; after a start with a stale list, it is the first update.
                let kind = EndpointListKind::Full;
                let entries =
                    (0..self.endpoints.len()).map(|endpoint| self.endpoint_record(endpoint, true)).collect();
                self.step(
                    initiator,
                    Input::EndpointList(EndpointList { revision: self.revision, kind, entries }),
                );
                self.schedule(2 * SECOND, Event::ListRefreshes(initiator));
            }
        }
    }

    /// Exchanges reports between two initiators, one encoded frame in each direction.
    fn exchange(&mut self, initiator: usize, peer: usize) {
        let isolated = [initiator, peer].iter().any(|n| self.isolated == Some(*n));
        if initiator == peer || isolated || self.initiators[peer].incarnation.is_none() {
            return;
        }
        let now = self.origin + self.now;
        let frames = [initiator, peer].map(|n| {
            let (identity, broker) = (&self.initiators[n].identity, &self.initiators[n].broker);
            frame::encode(identity, 2 * ONE_WAY_DELAY, broker.peer_reports(now))
        });
        for (to, bytes) in [(peer, &frames[0]), (initiator, &frames[1])] {
            let message =
                frame::decode(bytes).unwrap_or_else(|why| panic!("an encoded frame does not decode: {why}"));
            self.step(
                to,
                Input::PeerReports {
                    from: message.from,
                    round_trip: message.round_trip,
                    reports: message.reports,
                },
            );
        }
    }

    /// Draws a request of an initiator's clients and passes it to the broker.
    fn start_request(&mut self, initiator: usize) {
        self.last_sequence += 1;
        let request = self.last_sequence;
        let client_rng = &mut self.initiators[initiator].client_rng;
        let is_write = client_rng.random_bool(self.config.write_fraction);
        let units = f64::from(client_rng.random_range(1..=3u32));
        let (shard, volume) =
            (client_rng.random_range(0..self.config.shards), client_rng.random_range(1..=8));
        let incoming = IncomingRequest {
            class: u16::from(is_write),
            volume,
            initiators: self.initiators.len() as f64,
            key: request,
            shard: Some(shard),
            units,
            time_remaining: 1200 * MILLISECOND,
            ..IncomingRequest::default()
        };
        self.initiators[initiator].request_counts.arrived += 1;
        self.initiators[initiator].open.insert(request, OpenRequest { arrived_at: self.now, units });
        self.step(initiator, Input::RequestArrived { id: request, request: incoming });
    }

    /// Passes an input to an initiator's broker and carries out the effects.
    fn step(&mut self, initiator: usize, input: Input) {
        let effects = self.initiators[initiator].broker.step(self.origin + self.now, input);
        let incarnation = self.initiators[initiator].identity.incarnation;
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt: AttemptId { request, number }, to, .. } => {
                    let at = usize::from(to.port());
                    let misdirected = self.endpoints[at].mode != Mode::Serving;
                    self.initiators[initiator].request_counts.misdirected += u64::from(misdirected);
                    self.schedule(
                        ONE_WAY_DELAY,
                        Event::AttemptArrives { from: initiator, incarnation, request, number, at },
                    );
                }
                Effect::Respond { request, answer } => {
                    let (now, state) = (self.now, &mut self.initiators[initiator]);
                    let Some(OpenRequest { arrived_at, .. }) = state.open.remove(&request) else {
                        continue;
                    };
                    let request_counts = &mut state.request_counts;
                    match answer {
                        Answer::Served(_) => request_counts.served += 1,
                        Answer::Rejected(_) => request_counts.rejected += 1,
                        Answer::Failed => request_counts.failed += 1,
                    }
                    request_counts.response_times.saturating_record((now - arrived_at).as_micros() as u64);
                }
                Effect::SetTimer(at) => {
                    self.last_sequence += 1;
                    let timer_id = self.last_sequence;
                    self.initiators[initiator].timer_id = timer_id;
                    // The timers of the program's runtime have a resolution of one millisecond.
                    let after = (at - self.origin).saturating_sub(self.now).max(MILLISECOND);
                    self.schedule(after, Event::TimerFires(initiator, timer_id));
                }
                // An aborted attempt is still served by its endpoint, as by a real one; that work is wasted.
                Effect::AbortAttempt(..) | Effect::Log(_) | Effect::Broadcast(_) => {}
            }
        }
    }
}
