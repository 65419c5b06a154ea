//! The core that knows no wire: one reducer holds the scheduler and every request. What comes in is an
//! [`Input`]; reading, writing and waiting are [`Effect`]s that it asks for. Decisions are the scheduler's.

use crate::choice::Scheduler;
use crate::endpoint_list::{EndpointList, EndpointRecord};
use crate::gossip::{Contribution, KnownEndpoint, Peers, Totals};
use crate::interface::{Idempotency, *};
use crate::operator_event::OperatorEvent;
use crate::outcome::TransportOutcome;
use crate::start_times::StartTimes;
use crate::state::SchedulerSnapshot;
use bytes::Bytes;
use serde::{Deserialize, Serialize};
use shaletack_knowledge::{Observer, Told};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// An answer is given so long before its client stops waiting: the way back takes time as well.
const WAY_BACK: Duration = Duration::from_millis(10);
/// How often the figures of what was served go to the log, while there is anything to say.
const TALLY_EVERY: Duration = Duration::from_secs(10);
/// When a client may come again whose large request never ran.
const COME_BACK: Duration = Duration::from_millis(100);
/// Clients go on with classes that newer settings dropped for a while.
const OLD_CLASSES: Duration = Duration::from_secs(5);
/// Zones that the settings do not name are numbered from here on.
const UNLISTED: u16 = 0x8000;
/// Entries of one list that are told one by one: the log has a bound, and other lines have to find room in it.
const LISTED_MOST: usize = 25;
/// The least span between two starts of one box.
const NANO: Duration = Duration::from_nanos(1);
/// Boxes are replaced by new ones all day; past so many names those that are gone are forgotten.
const HEARD_MOST: usize = 4096;

/// What a client asks, in the scheduler's terms.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct IncomingRequest {
    /// Its class, by number.
    pub class: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by number.
    pub plan: u16,
    /// Through how many initiators the volume's requests come.
    pub initiators: f64,
    /// The piece of data.
    pub key: u64,
    /// The shard that holds it; `None`: any.
    pub shard: Option<u16>,
    /// Its size.
    pub units: f64,
    /// How long the client waits on.
    pub time_remaining: Duration,
    /// The client marked it as a repeat of its own.
    pub client_retry: bool,
}

/// How an attempt came back from a front's box client.
#[derive(Clone, Debug, PartialEq)]
pub struct AttemptResult {
    /// How its connection ended.
    pub transport: TransportOutcome,
    /// What the box sent, where it is whole.
    pub body: Bytes,
    /// The volume's use everywhere, in parts of its plan's rate.
    pub volume_usage: Option<f64>,
    /// Units the shard served the volume through other initiators since its last answer here.
    pub units_elsewhere: f64,
    /// Bytes of the request went out that can't be sent again.
    pub body_consumed: bool,
}

impl AttemptResult {
    /// An end without an answer.
    pub fn none(end: TransportOutcome) -> Self {
        AttemptResult {
            transport: end,
            body: Bytes::new(),
            volume_usage: None,
            units_elsewhere: 0.0,
            body_consumed: false,
        }
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum OperatorCommand {
    /// Take a box out, whatever the list says.
    Suspend(String),
    /// Give it back; it may have been started anew meanwhile.
    Resume(String),
    /// The clients are to go elsewhere.
    Drain,
    /// Take clients again.
    Activate,
}

/// What the core leaves to the process that takes its place.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CoreSnapshot {
    revision: u64,
    #[serde(rename = "heard")]
    endpoints: BTreeMap<String, EndpointState>,
    drained: bool,
    #[serde(rename = "learnt")]
    scheduler: SchedulerSnapshot,
    /// Its time, which all of the above is told in; a version before this one says nothing of it.
    #[serde(default)]
    #[serde(rename = "now")]
    taken_at: Option<Duration>,
    #[serde(default)]
    #[serde(rename = "starts")]
    start_times: StartTimes,
}

impl CoreSnapshot {
    /// The clock of the process that left it, which had this reading at that moment.
    pub fn clock(&self, at: Instant) -> Option<Clock> {
        self.taken_at.map(|now| Clock::new(at, now))
    }
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AttemptProgress {
    /// Its first byte goes out now: from here on its box may have it.
    WriteStarted,
    /// The request's body goes out as its client sends it.
    BodyStreaming,
    /// Its last byte has gone.
    BodySent,
    /// The first bytes of the answer are there.
    ResponseStarted,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was taken, under a number never used before.
    RequestArrived(RequestId, IncomingRequest),
    /// An attempt came back.
    AttemptEnded(RequestId, u8, AttemptResult),
    /// An attempt has come so far.
    AttemptProgressed(RequestId, u8, AttemptProgress),
    /// The client of a request is gone.
    ClientLeft(RequestId),
    /// News of the disk boxes.
    EndpointList(EndpointList),
    /// This machine's wall clock shows this, as Unix time. It may be stepped at any time.
    WallClock(Duration),
    /// Settings to be used from now on; what was taken keeps the rules it came under.
    Settings(Box<Settings>),
    /// What an operator asks for.
    OperatorCommand(OperatorCommand),
    /// What the process before this one leaves, of which this one has the second's part.
    Restore(Box<CoreSnapshot>, f64),
    /// This process has so much of every budget; another one has the rest.
    BudgetShare(f64),
    /// The list that is followed says that nothing has changed.
    EndpointListCurrent,
    /// Changes of the list count as told that this host can't have heard, or it hears of them again.
    EndpointListStale(bool),
    /// What a peer told, and the round trip of that exchange.
    PeerReports(Observer, Duration, Vec<Told>),
    /// What was news among the peers, checked by whoever brings it.
    GossipMerged(Vec<Told>),
    /// What all other initiators together are asked for and have spent.
    PeerTotals(Totals),
    /// A wait is over.
    TimerFired,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What the box sent.
    Served(Bytes),
    /// Turned away; trying again is harmless after that long.
    Rejected(Duration),
    /// Failed; nothing is promised of its effect.
    Failed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt.
    StartAttempt {
        /// Whose.
        request: RequestId,
        /// Which of its attempts, from 0.
        number: u8,
        /// Where.
        to: SocketAddr,
        /// How long it is waited for.
        wait: Duration,
    },
    /// Give an attempt up: close its connection.
    AbortAttempt(RequestId, u8),
    /// The one final answer.
    Respond(RequestId, Answer),
    /// Come back with [`Input::Woke`] then; an earlier wait is void.
    SetTimer(Instant),
    /// Something for the operators to know.
    Log(OperatorEvent),
    /// All that this process sees of boxes now, for its peers; what of it is news is for the spread to find.
    Broadcast(Vec<Told>),
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// How many were taken.
    pub taken: u64,
    /// How many were served, and their units.
    pub served: u64,
    /// The units of the served ones.
    pub units: f64,
    /// How many were refused.
    pub rejected: u64,
    /// How many failed.
    pub failed: u64,
    /// How many clients left before their answer.
    pub client_left: u64,
}

/// The core's clock. It begins at any time, runs on by a clock that is never stepped, and is no wall clock: what is told
/// in Unix time is taken over by [`Starts`].
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    anchor: Instant,
    begins: Duration,
}

impl Clock {
    /// At `anchor` it shows `begins`.
    pub fn new(anchor: Instant, begins: Duration) -> Self {
        Clock { anchor, begins }
    }

    fn time(&self, at: Instant) -> Duration {
        self.begins + at.saturating_duration_since(self.anchor)
    }

    fn instant(&self, at: Duration) -> Instant {
        self.anchor + at.saturating_sub(self.begins)
    }
}

#[derive(Debug)]
struct OpenRequest {
    class: u16,
    units: f64,
    deadline: Duration,
    time_remaining: Duration,
    attempts: u8,
    /// An attempt has ended that may have run.
    may_have_run: bool,
}

#[derive(Debug)]
struct InFlightAttempt {
    endpoint: EndpointId,
    sent_at: Duration,
    deadline: Duration,
    response_started_at: Option<Duration>,
    body_streaming: bool,
    write_started: bool,
}

/// A box that the list named once, and what operators said of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct EndpointState {
    #[serde(rename = "member")]
    record: EndpointRecord,
    /// When it last started, by the core's clock; `None`: long ago.
    #[serde(default)]
    #[serde(rename = "started")]
    started_at: Option<Duration>,
    /// It did not start before this.
    #[serde(default)]
    #[serde(rename = "earliest")]
    earliest_start: Duration,
    suspended: bool,
    /// When it was last taken out, and given back. A start that is surely after the first is the start that operators
    /// gave it; until the list tells of one, it counts as started at the second.
    #[serde(rename = "out")]
    suspended_at: Duration,
    #[serde(rename = "back")]
    resumed_at: Duration,
}

impl EndpointState {
    fn started_at(&self) -> Duration {
        let listed = self.started_at.unwrap_or_default();
        if self.earliest_start > self.suspended_at {
            listed
        } else {
            listed.max(self.resumed_at)
        }
    }

    /// A number for that start that is the same at every initiator, where the list tells of it; else 0.
    fn start_id(&self) -> u64 {
        let listed = self.record.up_since.filter(|_| self.started_at == Some(self.started_at()));
        listed.map_or(0, |listed| listed.as_nanos() as u64)
    }
}

/// The state of one initiator.
#[derive(Debug)]
pub struct Broker {
    scheduler: Scheduler,
    clock: Clock,
    settings: Rc<Settings>,
    retuned: Option<Duration>,
    names: BTreeMap<String, EndpointId>,
    addresses: BTreeMap<EndpointId, SocketAddr>,
    open: BTreeMap<RequestId, OpenRequest>,
    flights: BTreeMap<(RequestId, u8), InFlightAttempt>,
    wake: Option<Duration>,
    heard: BTreeMap<String, EndpointState>,
    drained: Option<Duration>,
    revision: u64,
    /// Nothing new goes to any box: each may have begun to drain.
    stale: bool,
    starts: StartTimes,
    tallies: Vec<(String, RequestCounters)>,
    told_at: Duration,
    ends: BTreeMap<String, u64>,
    peers: Option<Peers>,
}

impl Broker {
    /// An initiator that has just started; the list it last had comes as an input.
    pub fn new(set: Settings, seed: u64, clock: Clock, now: Instant) -> Self {
        let at = clock.time(now);
        Broker {
            settings: Rc::new(set.clone()),
            retuned: None,
            tallies: set.classes.iter().map(|c| (c.name.clone(), RequestCounters::default())).collect(),
            scheduler: Scheduler::new(set, seed, at),
            clock,
            names: BTreeMap::new(),
            addresses: BTreeMap::new(),
            open: BTreeMap::new(),
            flights: BTreeMap::new(),
            wake: None,
            heard: BTreeMap::new(),
            drained: None,
            revision: 0,
            stale: false,
            starts: StartTimes::default(),
            told_at: at,
            ends: BTreeMap::new(),
            peers: None,
        }
    }

    /// The same, where initiators talk to each other; `me` is what this process is to them.
    pub fn among_peers(mut self, me: Observer) -> Self {
        self.peers = Some(Peers::new(me));
        self
    }

    /// What a peer is told, most needed first; nothing where peers are off.
    pub fn peer_reports(&self, now: Instant) -> Vec<Told> {
        let at = self.clock.time(now);
        self.peers
            .as_ref()
            .map_or(Vec::new(), |peers| peers.tell(at, &self.known_endpoints(), &self.scheduler))
    }

    /// What this process adds to the sums over all initiators; nothing where peers are off.
    pub fn contribution(&self, now: Instant) -> Contribution {
        let at = self.clock.time(now);
        let peers = self.peers.as_ref();
        peers.map_or_else(Contribution::default, |peers| {
            peers.amounts(at, &self.known_endpoints(), &self.scheduler)
        })
    }

    /// Whether it knows of a disk box to send to.
    pub fn is_ready(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Requests that no final answer went to yet.
    pub fn open_requests(&self) -> usize {
        self.open.len()
    }

    /// What became of the requests, by class.
    pub fn counters(&self) -> &[(String, RequestCounters)] {
        &self.tallies
    }

    /// How many attempts ended in which way, by the end's name.
    pub fn attempt_outcomes(&self) -> &BTreeMap<String, u64> {
        &self.ends
    }

    /// The one way in: takes what happened, and asks for what is to be done.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let at = self.clock.time(now);
        let (mut effects, mut events) = (Vec::new(), Vec::new());
        let mut review = matches!(input, Input::OperatorCommand(_) | Input::Restore(..));
        let mut say = review || matches!(input, Input::EndpointList(_) | Input::EndpointListCurrent);
        match input {
            Input::RequestArrived(id, ask) => events.extend(self.request_arrived(at, id, ask)),
            Input::AttemptEnded(id, number, reply) => {
                events.extend(self.attempt_ended(at, id, number, reply, &mut effects))
            }
            Input::AttemptProgressed(id, number, news) => {
                events.extend(self.attempt_progressed(at, id, number, news))
            }
            Input::ClientLeft(id) => {
                if let Some(open) = self.open.remove(&id) {
                    self.count(open.class, |t| t.client_left += 1);
                    events.push(Event::ClientLeft(id));
                }
            }
            Input::EndpointList(members) => {
                let dated = members.kind != EndpointListKind::Cached;
                let latest = members.entries.iter().filter_map(|member| member.up_since).max();
                events.push(self.apply_endpoint_list(at, members, &mut effects));
                if dated {
                    self.starts.heard(at, latest);
                }
                self.peers.iter_mut().filter(|_| dated).for_each(|peers| peers.listed(at));
                review = true;
            }
            Input::WallClock(shown) => self.starts.read_wall_clock(at, shown),
            Input::EndpointListCurrent => {
                self.starts.heard(at, None);
                self.peers.iter_mut().for_each(|peers| peers.listed(at));
                review = true;
            }
            Input::EndpointListStale(stale) => {
                self.stale = stale;
                let lines = self.heard.keys().filter_map(|id| self.endpoint_update(id)).collect();
                events.push(Event::EndpointList { kind: EndpointListKind::Delta, lines });
            }
            Input::PeerReports(from, trip, told) => {
                let heard = self.peers.as_mut().map(|peers| peers.hear(at, trip, &from, told));
                if let Some(unsound) = heard.map(|refused| refused.unsound).filter(|n| *n > 0) {
                    effects
                        .push(Effect::Log(OperatorEvent::PeerReportsRejected { from: from.name, unsound }));
                }
                review = true;
            }
            Input::GossipMerged(told) => {
                if let Some(peers) = &mut self.peers {
                    peers.learn(at, told);
                }
                review = true;
            }
            Input::PeerTotals(totals) => {
                if let Some(mut peers) = self.peers.take() {
                    peers.sum(at, totals);
                    let window = self.settings.rules.overload_window;
                    events.push(Event::Gossip(peers.hearsay(at, window, &self.known_endpoints())));
                    self.peers = Some(peers);
                }
            }
            Input::Settings(set) => events.push(self.apply_settings(at, *set)),
            Input::BudgetShare(part) => events.push(Event::BudgetShare(part)),
            Input::Restore(legacy, part) => events.extend(self.restore(at, *legacy, part, &mut effects)),
            Input::OperatorCommand(OperatorCommand::Suspend(id)) => {
                events.extend(self.set_suspended(at, &id, true, &mut effects))
            }
            Input::OperatorCommand(OperatorCommand::Resume(id)) => {
                events.extend(self.set_suspended(at, &id, false, &mut effects))
            }
            Input::OperatorCommand(OperatorCommand::Drain) => {
                if self.drained.is_none() {
                    self.drained = Some(at);
                    effects.push(Effect::Log(OperatorEvent::ClientsDrained));
                }
            }
            Input::OperatorCommand(OperatorCommand::Activate) => {
                if self.drained.take().is_some() {
                    effects.push(Effect::Log(OperatorEvent::ClientsAccepted));
                }
            }
            Input::TimerFired => {}
        }
        self.time_out_attempts(at, &mut events, &mut effects);
        if self.wake.is_some_and(|wake| wake <= at) {
            self.wake = None;
            events.push(Event::Timer);
        }
        // What fails here is held back before it is tried again, as it is at those who hear of it.
        let watched = self.peers.as_mut().map(|peers| peers.watch(at, &events)).unwrap_or_default();
        review |= watched.failing;
        say |= watched.tells;
        let due = self.peers.as_ref().and_then(Peers::changes_at).is_some_and(|then| then <= at);
        if self.peers.is_some() && (review || due) {
            events.extend(self.review(at, &mut effects));
        }
        if say {
            effects.extend(self.broadcast(at));
        }
        self.withdraw_from_closed(at, &mut events, &mut effects);
        let mut actions = Vec::new();
        while !events.is_empty() {
            self.scheduler.step(at, &events, &mut actions);
            events.clear();
            for action in actions.drain(..) {
                events.extend(self.apply_action(at, action, &mut effects));
            }
            self.withdraw_unwanted(at, &mut events, &mut effects);
        }
        self.log_counters(at, &mut effects);
        let until = self.flights.values().map(|f| f.deadline).filter(|until| *until < Duration::MAX);
        let review = self.peers.as_ref().and_then(Peers::changes_at);
        let first = until.chain(self.wake).chain(review).min();
        effects.extend(first.map(|first| Effect::SetTimer(self.clock.instant(first))));
        effects
    }

    /// The boxes that the list ever named, as far as they are remembered.
    fn known_endpoints(&self) -> BTreeMap<&str, KnownEndpoint<'_>> {
        let mut boxes = BTreeMap::new();
        for (id, h) in &self.heard {
            let (node, born) = (node_number(id), h.started_at());
            boxes
                .insert(id.as_str(), KnownEndpoint { node, member: &h.record, suspended: h.suspended, born });
        }
        boxes
    }

    /// Weighs what peers said, and what of it the scheduler has to know.
    fn review(&mut self, at: Duration, effects: &mut Vec<Effect>) -> Vec<Event> {
        let Some(mut peers) = self.peers.take() else { return Vec::new() };
        let changes = peers.review(at, &self.known_endpoints());
        let hearsay = peers.hearsay(at, self.settings.rules.overload_window, &self.known_endpoints());
        self.peers = Some(peers);
        for change in changes.iter().filter(|c| c.news) {
            effects.push(Effect::Log(OperatorEvent::AdviceChanged {
                id: change.id.clone(),
                stopped: change.advice.stop_until.is_some(),
                held: change.advice.hold_until.is_some(),
                started_ago: change.advice.born.map(|born| at.saturating_sub(born)),
            }));
        }
        let lines = changes.iter().filter_map(|change| self.endpoint_update(&change.id)).collect();
        vec![Event::EndpointList { kind: EndpointListKind::Delta, lines }, Event::Gossip(hearsay)]
    }

    /// What this process sees, where there is anything for peers.
    fn broadcast(&mut self, at: Duration) -> Option<Effect> {
        let mut peers = self.peers.take()?;
        let told = peers.say(at, &self.known_endpoints(), &self.scheduler);
        self.peers = Some(peers);
        (!told.is_empty()).then_some(Effect::Broadcast(told))
    }

    fn request_arrived(&mut self, at: Duration, id: RequestId, ask: IncomingRequest) -> Option<Event> {
        if self.open.contains_key(&id) {
            return None;
        }
        let patience = ask.time_remaining.saturating_sub(WAY_BACK);
        let due = at.saturating_add(patience);
        self.open.insert(
            id,
            OpenRequest {
                class: ask.class,
                units: ask.units,
                deadline: due,
                time_remaining: patience,
                attempts: 0,
                may_have_run: false,
            },
        );
        self.count(ask.class, |t| t.taken += 1);
        Some(Event::Request(Request {
            id,
            class: ask.class,
            volume: ask.volume,
            plan: ask.plan,
            initiators: ask.initiators,
            key: ask.key,
            shard: ask.shard,
            units: ask.units,
            time_remaining: patience,
            client_retry: ask.client_retry,
        }))
    }

    /// While a body is on its way its client's time stands still; it begins with the last byte. What counts as
    /// the round trip ends with the first bytes of the answer.
    fn attempt_progressed(
        &mut self,
        at: Duration,
        id: RequestId,
        number: u8,
        news: AttemptProgress,
    ) -> Option<Event> {
        let (flight, open) = (self.flights.get_mut(&(id, number))?, self.open.get_mut(&id)?);
        let moves = news == AttemptProgress::BodyStreaming;
        match news {
            AttemptProgress::WriteStarted => {
                flight.write_started = true;
                return None;
            }
            AttemptProgress::ResponseStarted => {
                flight.response_started_at = Some(at);
                return Some(Event::ResponseStarted(id));
            }
            AttemptProgress::BodyStreaming | AttemptProgress::BodySent => {}
        }
        (flight.sent_at, flight.body_streaming) = (at, moves);
        open.deadline = if moves { Duration::MAX } else { at.saturating_add(open.time_remaining) };
        flight.deadline = open.deadline;
        Some(Event::RequestBody { request: id, moves })
    }

    fn attempt_ended(
        &mut self,
        at: Duration,
        id: RequestId,
        number: u8,
        reply: AttemptResult,
        effects: &mut Vec<Effect>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        if self.flights.get(&(id, number)).is_some_and(|f| f.body_streaming) {
            events.extend(self.attempt_progressed(at, id, number, AttemptProgress::BodySent));
        }
        // One that was given up on has had its one outcome.
        let Some(flight) = self.flights.remove(&(id, number)) else { return events };
        *self.ends.entry(format!("{:?}", reply.transport)).or_default() += 1;
        let ending = reply.transport.attempt_outcome();
        if ending == AttemptOutcome::Served {
            if let Some(open) = self.open.remove(&id) {
                let units = open.units;
                self.count(open.class, |t| (t.served, t.units) = (t.served + 1, t.units + units));
                effects.push(Effect::Respond(id, Answer::Served(reply.body)));
            }
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.may_have_run |= !ending.never_ran();
        }
        // What can't be sent again has its final answer with its first failure.
        if let Some(open) = self.open.get(&id).filter(|_| reply.body_consumed) {
            let (class, never_ran) = (open.class, !open.may_have_run);
            self.open.remove(&id);
            self.count(class, |t| if never_ran { t.rejected += 1 } else { t.failed += 1 });
            let top = Some(self.settings.max_retry_after).filter(|top| !top.is_zero());
            let wait = top.map_or(COME_BACK, |top| top.min(COME_BACK));
            let answer = if never_ran { Answer::Rejected(wait) } else { Answer::Failed };
            effects.push(Effect::Respond(id, answer));
        }
        let mut attempt =
            self.ended_attempt(flight.response_started_at.unwrap_or(at), id, number, &flight, ending);
        attempt.volume_usage = reply.volume_usage;
        attempt.units_elsewhere = reply.units_elsewhere;
        events.push(Event::AttemptEnded(attempt));
        events
    }

    fn ended_attempt(
        &self,
        at: Duration,
        id: RequestId,
        number: u8,
        flight: &InFlightAttempt,
        ending: AttemptOutcome,
    ) -> EndedAttempt {
        EndedAttempt {
            request: id,
            number,
            endpoint: flight.endpoint,
            outcome: ending,
            elapsed: at.saturating_sub(flight.sent_at),
            request_complete: !self.open.contains_key(&id),
            volume_usage: None,
            units_elsewhere: 0.0,
            load_report: LoadReport::default(),
        }
    }

    /// A box that drains or is gone gets nothing new from now on: attempts at it that still wait for a connection
    /// are taken back. They would be written whenever that comes up, past the time that the settings leave.
    fn withdraw_from_closed(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let lists = events.iter().filter_map(|e| {
            if let Event::EndpointList { lines, .. } = e {
                Some(lines)
            } else {
                None
            }
        });
        let lines: Vec<&EndpointUpdate> = lists.flatten().collect();
        if lines.is_empty() {
            return;
        }
        let closed = |node: &EndpointId| {
            let line = lines.iter().rfind(|line| line.endpoint == *node);
            !self.addresses.contains_key(node) || line.is_some_and(|l| l.readiness != Readiness::Ready)
        };
        let waiting = self.flights.iter().filter(|(_, f)| !f.write_started && closed(&f.endpoint));
        for (id, number) in waiting.map(|(key, _)| *key).collect::<Vec<_>>() {
            if self.flights.get(&(id, number)).is_some_and(|f| f.body_streaming) {
                events.extend(self.attempt_progressed(at, id, number, AttemptProgress::BodySent));
            }
            events.extend(self.give_up(at, id, number, TransportOutcome::Withdrawn, effects));
        }
    }

    /// An attempt that still waits for a connection and for whose answer nobody waits any more never goes out,
    /// whether or not the settings let one be cancelled that did.
    fn withdraw_unwanted(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let unwanted =
            |(id, _): &(RequestId, u8), f: &InFlightAttempt| !f.write_started && !self.open.contains_key(id);
        let flights = self.flights.iter().filter(|(key, f)| unwanted(key, f));
        for (id, number) in flights.map(|(key, _)| *key).collect::<Vec<_>>() {
            events.extend(self.give_up(at, id, number, TransportOutcome::Withdrawn, effects));
        }
    }

    /// Gives up attempts whose time has come.
    fn time_out_attempts(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let over: Vec<_> = self.flights.iter().filter(|(_, f)| f.deadline <= at).map(|(k, _)| *k).collect();
        for (id, number) in over {
            events.extend(self.give_up(at, id, number, TransportOutcome::TimedOut, effects));
        }
    }

    fn give_up(
        &mut self,
        at: Duration,
        id: RequestId,
        number: u8,
        end: TransportOutcome,
        effects: &mut Vec<Effect>,
    ) -> Option<Event> {
        let flight = self.flights.remove(&(id, number))?;
        *self.ends.entry(format!("{end:?}")).or_default() += 1;
        effects.push(Effect::AbortAttempt(id, number));
        // One that is being answered says nothing of its box by ending late.
        let heard = flight.response_started_at.unwrap_or(at);
        Some(Event::AttemptEnded(self.ended_attempt(heard, id, number, &flight, end.attempt_outcome())))
    }

    /// What there is now, and what there was, retired.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.clone()
    }

    /// A class by the name that clients use. One that newer settings dropped is still found for a while:
    /// clients learn of new settings later than this initiator. A request that carries no key is none of a
    /// keyed class.
    pub fn class(&self, name: &str, has_key: bool, now: Instant) -> Option<u16> {
        let fits = |c: &RequestClass| c.name == name && (has_key || c.idempotency != Idempotency::Keyed);
        let classes = || self.settings.classes.iter().enumerate().filter(|(_, c)| fits(c));
        let current = classes().find(|(_, c)| !c.retired);
        let fresh = self.retuned.is_some_and(|at| self.clock.time(now) < at + OLD_CLASSES);
        current.or_else(|| classes().next_back().filter(|_| fresh)).map(|(number, _)| number as u16)
    }

    /// A plan by its name, in the same way.
    pub fn plan(&self, name: &str) -> Option<u16> {
        let plans = || self.settings.plans.iter().enumerate().filter(|(_, p)| p.name == name);
        plans().find(|(_, p)| !p.retired).or_else(|| plans().next_back()).map(|(number, _)| number as u16)
    }

    fn apply_settings(&mut self, at: Duration, set: Settings) -> Event {
        let set = set.replacing(&self.settings);
        let more = set.classes.iter().skip(self.tallies.len());
        self.tallies.extend(more.map(|c| (c.name.clone(), RequestCounters::default())));
        self.settings = Rc::new(set.clone());
        self.retuned = Some(at);
        Event::Settings(Box::new(set))
    }

    /// The list's version, as last heard.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What this core leaves to a process that gets such a part of its budgets.
    pub fn snapshot(&self, now: Instant, part: f64) -> CoreSnapshot {
        let at = self.clock.time(now);
        let (revision, heard, drained) = (self.revision, self.heard.clone(), self.drained.is_some());
        let (now, starts) = (Some(at), self.starts.clone());
        CoreSnapshot {
            revision,
            endpoints: heard,
            drained,
            scheduler: self.scheduler.learnt(part),
            taken_at: now,
            start_times: starts,
        }
    }

    /// The predecessor heard of the list later than the configuration did, and knows what operators asked.
    fn restore(
        &mut self,
        at: Duration,
        legacy: CoreSnapshot,
        part: f64,
        effects: &mut Vec<Effect>,
    ) -> Vec<Event> {
        let entries = legacy.endpoints.values().map(|h| h.record.clone()).collect();
        let members = EndpointList { revision: legacy.revision, kind: EndpointListKind::Cached, entries };
        effects.push(Effect::Log(OperatorEvent::HandoverRestored {
            revision: legacy.revision,
            boxes: members.entries.len(),
            suspended: legacy.endpoints.values().filter(|h| h.suspended).count(),
            drained: legacy.drained,
        }));
        self.heard = legacy.endpoints;
        // A version before this one told in Unix time, as this process's clock began.
        let told = self.heard.values_mut().filter(|heard| heard.started_at.is_none());
        told.for_each(|heard| {
            heard.started_at = heard.record.up_since.map(|listed| listed.min(at));
            heard.earliest_start = heard.started_at.unwrap_or_default();
        });
        self.starts = legacy.start_times;
        self.drained = legacy.drained.then_some(at);
        let list = self.apply_endpoint_list(at, members, effects);
        self.scheduler.step(at, &[list], &mut Vec::new());
        self.scheduler.inherit(legacy.scheduler);
        vec![Event::BudgetShare(part)]
    }

    /// Whether the list ever named a box of that name.
    pub fn knows(&self, id: &str) -> bool {
        self.heard.contains_key(id)
    }

    /// The names of the boxes that operators took out.
    pub fn suspended_endpoints(&self) -> Vec<String> {
        let out = self.heard.iter().filter(|(_, h)| h.suspended);
        out.map(|(id, _)| id.clone()).collect()
    }

    /// Since when clients are to go elsewhere, where an operator said so.
    pub fn drained_since(&self) -> Option<Instant> {
        self.drained.map(|at| self.clock.instant(at))
    }

    /// Takes a box out, or gives it back cold: operators start it anew meanwhile, and the list may tell of
    /// that much later. Saying it twice is saying it once.
    fn set_suspended(
        &mut self,
        at: Duration,
        id: &str,
        out: bool,
        effects: &mut Vec<Effect>,
    ) -> Option<Event> {
        let heard = self.heard.get_mut(id).filter(|h| h.suspended != out)?;
        heard.suspended = out;
        *(if out { &mut heard.suspended_at } else { &mut heard.resumed_at }) = at;
        let notice = if out { OperatorEvent::EndpointSuspended } else { OperatorEvent::EndpointResumed };
        effects.push(Effect::Log(notice(id.into())));
        let line = self.endpoint_update(id)?;
        Some(Event::EndpointList { kind: EndpointListKind::Delta, lines: vec![line] })
    }

    /// A box in the scheduler's terms: one that is taken out drains, whatever the list says, and so does one
    /// that peers say takes no work. Nothing that they say brings one back.
    fn endpoint_update(&self, id: &str) -> Option<EndpointUpdate> {
        let heard = self.heard.get(id)?;
        let member = &heard.record;
        let advice = self.peers.as_ref().map(|peers| peers.advice(id)).unwrap_or_default();
        let stopped = heard.suspended || self.stale || advice.stop_until.is_some();
        let out = stopped && member.readiness == Readiness::Ready;
        Some(EndpointUpdate {
            endpoint: node_number(id),
            zone: self.zone_number(member),
            shard: member.shard,
            readiness: if out { Readiness::Draining } else { member.readiness },
            started_at: heard.started_at().max(advice.born.unwrap_or_default()),
            start_id: heard.start_id(),
        })
    }

    /// A zone that the settings do not name is none of theirs, nor that of a box which names none: boxes of two
    /// zones do not drop each other's repeats.
    fn zone_number(&self, member: &EndpointRecord) -> u16 {
        let named = self.settings.zones.iter().position(|zone| *zone == member.zone);
        let name = if member.zone.is_empty() { &member.id } else { &member.zone };
        named.map_or_else(|| UNLISTED | hash(name) as u16, |number| number as u16)
    }

    fn apply_endpoint_list(
        &mut self,
        at: Duration,
        members: EndpointList,
        effects: &mut Vec<Effect>,
    ) -> Event {
        self.revision = members.revision;
        if members.kind != EndpointListKind::Delta {
            self.names.clear();
            self.addresses.clear();
            self.heard.values_mut().for_each(|h| h.record.readiness = Readiness::Removed);
        }
        let (mut lines, mut changed) = (Vec::new(), 0);
        for member in &members.entries {
            let node = node_number(&member.id);
            if member.readiness == Readiness::Removed {
                self.names.remove(&member.id);
                self.addresses.remove(&node);
            } else {
                self.names.insert(member.id.clone(), node);
                self.addresses.extend(member.address.map(|a| (node, a)));
            }
            if self.heard.get(&member.id).is_none_or(|heard| heard.record != *member) {
                changed += 1;
                if changed <= LISTED_MOST {
                    let (revision, kind, member) = (members.revision, members.kind, member.clone());
                    effects.push(Effect::Log(OperatorEvent::EndpointListed { revision, kind, member }));
                }
            }
            self.update_endpoint(at, member);
            lines.extend(self.endpoint_update(&member.id));
        }
        if changed > LISTED_MOST {
            let (revision, more) = (members.revision, changed - LISTED_MOST);
            effects.push(Effect::Log(OperatorEvent::EndpointsNotListed { revision, more }));
        }
        if self.heard.len() > HEARD_MOST {
            self.heard.retain(|_, h| h.suspended || h.record.readiness != Readiness::Removed);
        }
        Event::EndpointList { kind: members.kind, lines }
    }

    /// Takes the list's word on one box. A start is taken over when it is first heard, and every other one is a new start:
    /// the clock that it is told by may have been set back.
    fn update_endpoint(&mut self, at: Duration, member: &EndpointRecord) {
        let listed = member.up_since.map(|listed| self.starts.started_at(at, listed));
        let earliest = self.starts.earliest(at);
        let heard = self.heard.entry(member.id.clone()).or_insert_with(|| EndpointState {
            record: member.clone(),
            started_at: None,
            earliest_start: Duration::ZERO,
            suspended: false,
            suspended_at: Duration::ZERO,
            resumed_at: Duration::ZERO,
        });
        if heard.started_at.is_none() || heard.record.up_since != member.up_since {
            let before = heard.started_at.unwrap_or_default();
            heard.started_at = listed.map(|started| started.max(before + NANO));
            heard.earliest_start = earliest;
        }
        heard.record = member.clone();
    }

    /// Carries out one action; what it brings back at once is an event for the next round.
    fn apply_action(&mut self, at: Duration, action: Action, effects: &mut Vec<Effect>) -> Option<Event> {
        match action {
            Action::Send { request, node, timeout } => {
                let open = self.open.get_mut(&request)?;
                let (number, due) = (open.attempts, open.deadline);
                open.attempts = open.attempts.saturating_add(1);
                let until = if !timeout.is_zero() { due.min(at.saturating_add(timeout)) } else { due };
                let flight = InFlightAttempt {
                    endpoint: node,
                    sent_at: at,
                    deadline: until,
                    response_started_at: None,
                    body_streaming: false,
                    write_started: false,
                };
                let Some(&to) = self.addresses.get(&node) else {
                    let void = self.ended_attempt(
                        at,
                        request,
                        number,
                        &flight,
                        TransportOutcome::NoAddress.attempt_outcome(),
                    );
                    return Some(Event::AttemptEnded(void));
                };
                self.flights.insert((request, number), flight);
                let wait = until.saturating_sub(at);
                effects.push(Effect::StartAttempt { request, number, to, wait });
            }
            Action::Cancel { request, number } => {
                return self.give_up(at, request, number, TransportOutcome::Cancelled, effects);
            }
            Action::Reject { request, retry_after } => {
                let open = self.open.remove(&request)?;
                self.count(open.class, |t| t.rejected += 1);
                effects.push(Effect::Respond(request, Answer::Rejected(retry_after)));
            }
            Action::Fail { request } => {
                let open = self.open.remove(&request)?;
                self.count(open.class, |t| t.failed += 1);
                effects.push(Effect::Respond(request, Answer::Failed));
            }
            Action::SetTimer(then) => self.wake = Some(self.wake.map_or(then, |w| w.min(then))),
            Action::Log(line) => effects.push(Effect::Log(OperatorEvent::SchedulerMessage(line))),
            // The list is always watched, idle connections end by their own clock, and neither probes
            // nor messages between initiators are asked for where the settings forbid them.
            Action::WatchEndpointList(_) | Action::FetchEndpointList | Action::CloseIdle(_) => {}
            Action::HealthCheck(_) | Action::SendPeerMessage { .. } => {}
        }
        None
    }

    fn count(&mut self, class: u16, change: impl FnOnce(&mut RequestCounters)) {
        if let Some((_, tally)) = self.tallies.get_mut(class as usize) {
            change(tally);
        }
    }

    /// What became of requests and attempts since the start, now and then.
    fn log_counters(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at < self.told_at + TALLY_EVERY {
            return;
        }
        self.told_at = at;
        effects.push(Effect::Log(OperatorEvent::Counters {
            classes: self.tallies.clone(),
            ends: self.ends.iter().map(|(end, count)| (end.clone(), *count)).collect(),
            open: self.open.len(),
        }));
    }
}

/// A number for a box's name, the same at every initiator.
fn node_number(id: &str) -> EndpointId {
    let digits = id.rsplit('-').next().unwrap_or(id);
    let number = (digits.len() == 8).then(|| u32::from_str_radix(digits, 16).ok()).flatten();
    number.unwrap_or_else(|| hash(id))
}

/// FNV-1a.
fn hash(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash: u32, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
