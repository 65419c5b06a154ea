//! Initiators' real reducers and model endpoints on one virtual clock.

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

pub const MS: Duration = Duration::from_millis(1);
pub const S: Duration = Duration::from_secs(1);
/// How long a message takes between two machines.
const ONE_WAY: Duration = Duration::from_micros(500);
/// What the endpoints' clocks say at the start.
pub const UNIX: Duration = Duration::from_secs(1_700_000_000);

/// The fleet's shape.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    pub initiators: usize,
    pub shards: u16,
    /// Endpoints that hold each shard.
    pub copies: usize,
    /// Requests a second at each initiator.
    pub rate: f64,
    /// The part of them that are `gravacao`.
    pub writes: f64,
    /// Initiators talk to each other.
    pub peers: bool,
    pub endpoints: EndpointFigures,
    /// What is sure for an endpoint in slow start, in units within the window.
    pub slow_start_units: f64,
}

/// What became of the requests of one initiator's run.
#[derive(Clone, Debug)]
pub struct Tally {
    pub asked: u64,
    pub served: u64,
    pub rejected: u64,
    pub failed: u64,
    /// Sends to endpoints that drain, do not answer or fail.
    pub misdirected: u64,
    /// Times to the answer, in microseconds.
    pub times: Histogram<u64>,
}

impl Tally {
    fn new() -> Self {
        // Three digits over a minute: bounds that can't be wrong.
        let times = Histogram::new_with_bounds(1, 60_000_000, 3).unwrap_or_else(|_| unreachable!());
        Tally { asked: 0, served: 0, rejected: 0, failed: 0, misdirected: 0, times }
    }

    pub fn errors(&self) -> u64 {
        self.rejected + self.failed
    }
}

#[derive(Debug)]
enum Event {
    RequestDue(usize),
    TimerFires(usize, u64),
    AttemptArrives { from: usize, incarnation: u64, request: u64, number: u8, at: usize },
    AttemptEnds { from: usize, incarnation: u64, request: u64, number: u8, end: TransportOutcome },
    ExchangeDue(usize, u64),
    ListRefreshes(usize),
}

/// A request without an answer.
#[derive(Clone, Copy, Debug)]
struct OpenRequest {
    arrived_at: Duration,
    units: f64,
}

struct Initiator {
    broker: Broker,
    me: Observer,
    /// `None`: it is dead.
    incarnation: Option<u64>,
    wake: u64,
    next_peer: usize,
    /// Of its clients alone, so that they ask the same with peers and without.
    clients: StdRng,
    /// Requests without an answer, by id.
    open: BTreeMap<u64, OpenRequest>,
    /// Its list is followed from then on.
    list_from: Duration,
    tally: Tally,
}

pub struct Fleet {
    pub now: Duration,
    pub endpoints: Vec<ModelEndpoint>,
    shape: Shape,
    zero: Instant,
    rng: StdRng,
    events: BTreeMap<(Duration, u64), Event>,
    numbered: u64,
    initiators: Vec<Initiator>,
    revision: u64,
    /// Nobody hears this initiator, and it hears nobody.
    pub cut_off: Option<usize>,
    /// Endpoints that the list has said to take no work.
    draining: BTreeSet<usize>,
}

pub fn settings(shape: &Shape) -> Settings {
    let class = |name: &str, effect| RequestClass {
        name: name.into(),
        latency_objective: 150 * MS,
        deadline: 1200 * MS,
        late_weight: 0.1,
        priority_weight: 2.0,
        idempotency: effect,
        ..RequestClass::default()
    };
    Settings {
        initiators: shape.initiators as u32,
        min_batch_interval: 2 * MS,
        classes: vec![
            class("leitura", Idempotency::Idempotent),
            class("gravacao", Idempotency::NotIdempotent),
        ],
        plans: vec![Plan { rate: 50.0, reserve: 20.0, weight: 1.0, price: 1.0, ..Plan::default() }],
        rules: SharedRules {
            slow_start_capacity: shape.endpoints.slow_start_capacity,
            slow_start_duration: shape.endpoints.slow_start_duration,
            overload_factor: shape.endpoints.overload_factor,
            overload_window: shape.endpoints.overload_window,
            ..SharedRules::default()
        },
        max_attempts: 4,
        cancellation_allowed: true,
        max_retry_after: 500 * MS,
        slow_start_units: shape.slow_start_units,
        mean_request_units: 2.0,
        max_request_units: 6.0,
        within_share_weight: 0.35,
        beyond_share_weight: 0.1,
        ..Settings::default()
    }
}

impl Fleet {
    /// All endpoints warm, all lists fresh, clients at every initiator.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let endpoints =
            (0..shape.shards).flat_map(|s| (0..shape.copies).map(move |_| ModelEndpoint::new(s))).collect();
        let mut fleet = Fleet {
            now: Duration::ZERO,
            endpoints,
            shape,
            zero: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            events: BTreeMap::new(),
            numbered: 0,
            initiators: Vec::new(),
            revision: 1,
            cut_off: None,
            draining: BTreeSet::new(),
        };
        for i in 0..shape.initiators {
            let initiator = fleet.initiator(i, Duration::ZERO);
            fleet.initiators.push(initiator);
            fleet.join(i, EndpointListKind::Full);
        }
        fleet
    }

    fn initiator(&mut self, i: usize, list_from: Duration) -> Initiator {
        let me = Observer { name: format!("n{i}"), incarnation: self.rng.random() };
        let now = self.zero + self.now;
        let set = Settings { rank: i as u32, ..settings(&self.shape) };
        let broker = Broker::new(set, self.rng.random(), Clock::new(self.zero, UNIX), now);
        let broker = if self.shape.peers { broker.with_peers(me.clone()) } else { broker };
        Initiator {
            broker,
            incarnation: Some(me.incarnation),
            me,
            wake: 0,
            next_peer: i + 1,
            clients: StdRng::seed_from_u64(self.rng.random()),
            open: BTreeMap::new(),
            list_from,
            tally: Tally::new(),
        }
    }

    fn join(&mut self, i: usize, kind: EndpointListKind) {
        // What a list of that age says: a stale one knows only the fleet as it was at first.
        let fresh = kind == EndpointListKind::Full;
        let entries = (0..self.endpoints.len()).map(|b| self.member(b, fresh)).collect();
        let revision = if fresh { self.revision } else { 1 };
        self.step(i, Input::EndpointList(EndpointList { revision, kind, entries }));
        let incarnation = self.initiators[i].me.incarnation;
        if self.shape.peers {
            if !fresh {
                (0..self.shape.initiators).for_each(|peer| self.exchange(i, peer));
            }
            let first = Duration::from_millis(150 + 200 * i as u64);
            self.schedule(first, Event::ExchangeDue(i, incarnation));
        }
        let first = self.next_request_in(i);
        self.schedule(first, Event::RequestDue(i));
        self.schedule(self.initiators[i].list_from.saturating_sub(self.now) + 2 * S, Event::ListRefreshes(i));
    }

    /// An initiator dies: its clients' requests die with it.
    pub fn kill(&mut self, i: usize) {
        self.initiators[i].incarnation = None;
        self.events.retain(|_, e| !matches!(e, Event::RequestDue(n) | Event::ListRefreshes(n) if *n == i));
    }

    /// It comes back with the list that it was first started with, and follows the list only later.
    pub fn return_stale(&mut self, i: usize, list_silent_for: Duration) {
        let list_from = self.now + list_silent_for;
        self.initiators[i] = self.initiator(i, list_from);
        self.join(i, EndpointListKind::Cached);
    }

    pub fn tally(&self, i: usize) -> &Tally {
        &self.initiators[i].tally
    }

    /// An endpoint comes to do something else; the list tells of a drain, a removal or a start, not of faults.
    pub fn change(&mut self, b: usize, mode: Mode, listed: bool) {
        self.endpoints[b].mode = mode;
        if listed {
            self.draining.insert(b);
            self.list_changed(b);
        }
    }

    /// An endpoint starts anew.
    pub fn restart(&mut self, b: usize) {
        self.endpoints[b].restart(self.now);
        self.list_changed(b);
    }

    fn list_changed(&mut self, b: usize) {
        self.revision += 1;
        for i in 0..self.initiators.len() {
            if self.initiators[i].incarnation.is_some() && self.initiators[i].list_from <= self.now {
                let entries = vec![self.member(b, true)];
                let kind = EndpointListKind::Delta;
                self.step(i, Input::EndpointList(EndpointList { revision: self.revision, kind, entries }));
            }
        }
    }

    fn member(&self, b: usize, fresh: bool) -> EndpointRecord {
        let ready = !(fresh && self.draining.contains(&b));
        EndpointRecord {
            id: format!("s-{b:08x}"),
            address: Some(SocketAddr::from(([127, 0, 0, 1], b as u16))),
            zone: String::new(),
            shard: self.endpoints[b].shard,
            readiness: if ready { Readiness::Ready } else { Readiness::Draining },
            up_since: self.endpoints[b].started_at.filter(|_| fresh).map(|started| UNIX + started),
        }
    }

    fn next_request_in(&mut self, i: usize) -> Duration {
        let drawn: f64 = self.initiators[i].clients.random();
        Duration::from_secs_f64(-(1.0 - drawn).ln() / self.shape.rate)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.numbered += 1;
        self.events.insert((self.now + after, self.numbered), event);
    }

    /// Plays on until then.
    pub fn play(&mut self, until: Duration) {
        while let Some(entry) = self.events.first_entry().filter(|e| e.key().0 <= until) {
            self.now = entry.key().0;
            let event = entry.remove();
            self.handle(event);
        }
        self.now = until;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::RequestDue(i) => {
                let next = self.next_request_in(i);
                self.schedule(next, Event::RequestDue(i));
                self.ask(i);
            }
            Event::TimerFires(i, wake) => {
                if self.initiators[i].wake == wake && self.initiators[i].incarnation.is_some() {
                    self.step(i, Input::TimerFired);
                }
            }
            Event::AttemptArrives { from, incarnation, request, number, at } => {
                let Some(OpenRequest { units, .. }) = self.initiators[from].open.get(&request).copied()
                else {
                    return;
                };
                let outcome = self.endpoints[at].take(self.now, units, &self.shape.endpoints);
                let (end, when) = match outcome {
                    Outcome::Served(when) => (TransportOutcome::Complete, when),
                    Outcome::Error => (TransportOutcome::EndpointError, self.now),
                    Outcome::Rejected => (TransportOutcome::Rejected, self.now),
                    Outcome::ConnectionLost => (TransportOutcome::LostAwaitingResponse, self.now),
                    Outcome::NoAnswer => return,
                };
                self.schedule(
                    when + ONE_WAY - self.now,
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
            Event::ExchangeDue(i, incarnation) => {
                if self.initiators[i].incarnation == Some(incarnation) {
                    let peer = self.initiators[i].next_peer % self.initiators.len();
                    self.initiators[i].next_peer = peer + 1;
                    self.exchange(i, peer);
                    self.schedule(S, Event::ExchangeDue(i, incarnation));
                }
            }
            Event::ListRefreshes(i) => {
                // The first message after a start with an old list is the whole one.
                let kind = EndpointListKind::Full;
                let entries = (0..self.endpoints.len()).map(|b| self.member(b, true)).collect();
                self.step(i, Input::EndpointList(EndpointList { revision: self.revision, kind, entries }));
                self.schedule(2 * S, Event::ListRefreshes(i));
            }
        }
    }

    /// A frame each way, through the real form.
    fn exchange(&mut self, i: usize, peer: usize) {
        let cut = [i, peer].iter().any(|n| self.cut_off == Some(*n));
        if i == peer || cut || self.initiators[peer].incarnation.is_none() {
            return;
        }
        let now = self.zero + self.now;
        let frames = [i, peer].map(|n| {
            let (me, broker) = (&self.initiators[n].me, &self.initiators[n].broker);
            frame::encode(me, 2 * ONE_WAY, broker.peer_reports(now))
        });
        for (to, bytes) in [(peer, &frames[0]), (i, &frames[1])] {
            let message = frame::decode(bytes).unwrap_or_else(|why| panic!("the own frame: {why}"));
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

    fn ask(&mut self, i: usize) {
        self.numbered += 1;
        let request = self.numbered;
        let clients = &mut self.initiators[i].clients;
        let writes = clients.random_bool(self.shape.writes);
        let units = f64::from(clients.random_range(1..=3u32));
        let (shard, volume) = (clients.random_range(0..self.shape.shards), clients.random_range(1..=8));
        let ask = IncomingRequest {
            class: u16::from(writes),
            volume,
            initiators: self.initiators.len() as f64,
            key: request,
            shard: Some(shard),
            units,
            time_remaining: 1200 * MS,
            ..IncomingRequest::default()
        };
        self.initiators[i].tally.asked += 1;
        self.initiators[i].open.insert(request, OpenRequest { arrived_at: self.now, units });
        self.step(i, Input::RequestArrived { id: request, request: ask });
    }

    fn step(&mut self, i: usize, input: Input) {
        let effects = self.initiators[i].broker.step(self.zero + self.now, input);
        let incarnation = self.initiators[i].me.incarnation;
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt: AttemptId { request, number }, to, .. } => {
                    let at = usize::from(to.port());
                    let astray = self.endpoints[at].mode != Mode::Serving;
                    self.initiators[i].tally.misdirected += u64::from(astray);
                    self.schedule(
                        ONE_WAY,
                        Event::AttemptArrives { from: i, incarnation, request, number, at },
                    );
                }
                Effect::Respond { request, answer } => {
                    let (now, initiator) = (self.now, &mut self.initiators[i]);
                    let Some(OpenRequest { arrived_at, .. }) = initiator.open.remove(&request) else {
                        continue;
                    };
                    let tally = &mut initiator.tally;
                    match answer {
                        Answer::Served(_) => tally.served += 1,
                        Answer::Rejected(_) => tally.rejected += 1,
                        Answer::Failed => tally.failed += 1,
                    }
                    tally.times.saturating_record((now - arrived_at).as_micros() as u64);
                }
                Effect::SetTimer(at) => {
                    self.numbered += 1;
                    let wake = self.numbered;
                    self.initiators[i].wake = wake;
                    // As coarse as the timers of the program's runtime.
                    let after = (at - self.zero).saturating_sub(self.now).max(MS);
                    self.schedule(after, Event::TimerFires(i, wake));
                }
                // What was given up goes on at its endpoint: that work is wasted, as it is in life.
                Effect::AbortAttempt(..) | Effect::Log(_) | Effect::Broadcast(_) => {}
            }
        }
    }
}
