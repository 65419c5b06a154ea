//! The core that knows no wire: one reducer holds the scheduler and every request. What comes in is an
//! [`Input`]; reading, writing and waiting are [`Effect`]s that it asks for. Decisions are the scheduler's.

use crate::choice::Scheduler;
use crate::ending::End;
use crate::hearsay::{Amounts, Listed, Peers, Totals};
use crate::interface::{Effect as Repeat, *};
use crate::members::{Member, Members};
use crate::notice::Notice;
use crate::starts::Starts;
use crate::state::Learnt;
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
pub struct Ask {
    /// Its class, by number.
    pub class: u16,
    /// Its volume.
    pub volume: VolumeId,
    /// The volume's plan, by number.
    pub plan: u16,
    /// Through how many initiators the volume's requests come.
    pub hosts: f64,
    /// The piece of data.
    pub key: u64,
    /// The shard that holds it; `None`: any.
    pub shard: Option<u16>,
    /// Its size.
    pub units: f64,
    /// How long the client waits on.
    pub patience: Duration,
    /// The client marked it as a repeat of its own.
    pub repeat: bool,
}

/// How an attempt came back from a front's box client.
#[derive(Clone, Debug, PartialEq)]
pub struct Reply {
    /// How its connection ended.
    pub end: End,
    /// What the box sent, where it is whole.
    pub body: Bytes,
    /// The volume's use everywhere, in parts of its plan's rate.
    pub used: Option<f64>,
    /// Units the shard served the volume through other initiators since its last answer here.
    pub elsewhere: f64,
    /// Bytes of the request went out that can't be sent again.
    pub spent: bool,
}

impl Reply {
    /// An end without an answer.
    pub fn none(end: End) -> Self {
        Reply { end, body: Bytes::new(), used: None, elsewhere: 0.0, spent: false }
    }
}

/// What an operator asks for.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Order {
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
pub struct Legacy {
    revision: u64,
    heard: BTreeMap<String, Heard>,
    drained: bool,
    learnt: Learnt,
    /// Its time, which all of the above is told in; a version before this one says nothing of it.
    #[serde(default)]
    now: Option<Duration>,
    #[serde(default)]
    starts: Starts,
}

impl Legacy {
    /// The clock of the process that left it, which had this reading at that moment.
    pub fn clock(&self, at: Instant) -> Option<Clock> {
        self.now.map(|now| Clock::new(at, now))
    }
}

/// How far an attempt is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum News {
    /// Its first byte goes out now: from here on its box may have it.
    Writes,
    /// The request's body goes out as its client sends it.
    BodyMoves,
    /// Its last byte has gone.
    BodyWent,
    /// The first bytes of the answer are there.
    Began,
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A request was taken, under a number never used before.
    Arrived(RequestId, Ask),
    /// An attempt came back.
    Ended(RequestId, u8, Reply),
    /// An attempt has come so far.
    Went(RequestId, u8, News),
    /// The client of a request is gone.
    Left(RequestId),
    /// News of the disk boxes.
    List(Members),
    /// This machine's wall clock shows this, as Unix time. It may be stepped at any time.
    WallClock(Duration),
    /// Settings to be used from now on; what was taken keeps the rules it came under.
    Settings(Box<Settings>),
    /// What an operator asks for.
    Order(Order),
    /// What the process before this one leaves, of which this one has the second's part.
    Inherit(Box<Legacy>, f64),
    /// This process has so much of every budget; another one has the rest.
    Part(f64),
    /// The list that is followed says that nothing has changed.
    Current,
    /// Changes of the list count as told that this host can't have heard, or it hears of them again.
    Stale(bool),
    /// What a peer told, and the round trip of that exchange.
    Told(Observer, Duration, Vec<Told>),
    /// What was news among the peers, checked by whoever brings it.
    Learnt(Vec<Told>),
    /// What all other initiators together are asked for and have spent.
    Totals(Totals),
    /// A wait is over.
    Woke,
}

/// A final answer.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    /// What the box sent.
    Served(Bytes),
    /// Turned away; trying again is harmless after that long.
    Refused(Duration),
    /// Failed; nothing is promised of its effect.
    Failed,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Start an attempt.
    Send {
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
    Abort(RequestId, u8),
    /// The one final answer.
    Answer(RequestId, Answer),
    /// Come back with [`Input::Woke`] then; an earlier wait is void.
    Wake(Instant),
    /// Something for the operators to know.
    Log(Notice),
    /// All that this process sees of boxes now, for its peers; what of it is news is for the spread to find.
    Say(Vec<Told>),
}

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Tally {
    /// How many were taken.
    pub taken: u64,
    /// How many were served, and their units.
    pub served: u64,
    /// The units of the served ones.
    pub units: f64,
    /// How many were refused.
    pub refused: u64,
    /// How many failed.
    pub failed: u64,
    /// How many clients left before their answer.
    pub left: u64,
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
struct Open {
    class: u16,
    units: f64,
    due: Duration,
    patience: Duration,
    attempts: u8,
    /// An attempt has ended that may have run.
    may_have_run: bool,
}

#[derive(Debug)]
struct Flight {
    node: NodeId,
    sent_at: Duration,
    until: Duration,
    began: Option<Duration>,
    moves: bool,
    writes: bool,
}

/// A box that the list named once, and what operators said of it.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct Heard {
    member: Member,
    /// When it last started, by the core's clock; `None`: long ago.
    #[serde(default)]
    started: Option<Duration>,
    /// It did not start before this.
    #[serde(default)]
    earliest: Duration,
    suspended: bool,
    /// When it was last taken out, and given back. A start that is surely after the first is the start that operators
    /// gave it; until the list tells of one, it counts as started at the second.
    out: Duration,
    back: Duration,
}

impl Heard {
    fn born(&self) -> Duration {
        let listed = self.started.unwrap_or_default();
        if self.earliest > self.out {
            listed
        } else {
            listed.max(self.back)
        }
    }

    /// A number for that start that is the same at every initiator, where the list tells of it; else 0.
    fn start(&self) -> u64 {
        let listed = self.member.up_since.filter(|_| self.started == Some(self.born()));
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
    names: BTreeMap<String, NodeId>,
    addresses: BTreeMap<NodeId, SocketAddr>,
    open: BTreeMap<RequestId, Open>,
    flights: BTreeMap<(RequestId, u8), Flight>,
    wake: Option<Duration>,
    heard: BTreeMap<String, Heard>,
    drained: Option<Duration>,
    revision: u64,
    /// Nothing new goes to any box: each may have begun to drain.
    stale: bool,
    starts: Starts,
    tallies: Vec<(String, Tally)>,
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
            tallies: set.classes.iter().map(|c| (c.name.clone(), Tally::default())).collect(),
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
            starts: Starts::default(),
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
    pub fn tell_peers(&self, now: Instant) -> Vec<Told> {
        let at = self.clock.time(now);
        self.peers.as_ref().map_or(Vec::new(), |peers| peers.tell(at, &self.boxes(), &self.scheduler))
    }

    /// What this process adds to the sums over all initiators; nothing where peers are off.
    pub fn amounts(&self, now: Instant) -> Amounts {
        let at = self.clock.time(now);
        let peers = self.peers.as_ref();
        peers.map_or_else(Amounts::default, |peers| peers.amounts(at, &self.boxes(), &self.scheduler))
    }

    /// Whether it knows of a disk box to send to.
    pub fn is_ready(&self) -> bool {
        !self.addresses.is_empty()
    }

    /// Requests that no final answer went to yet.
    pub fn open(&self) -> usize {
        self.open.len()
    }

    /// What became of the requests, by class.
    pub fn tallies(&self) -> &[(String, Tally)] {
        &self.tallies
    }

    /// How many attempts ended in which way, by the end's name.
    pub fn ends(&self) -> &BTreeMap<String, u64> {
        &self.ends
    }

    /// The one way in: takes what happened, and asks for what is to be done.
    pub fn step(&mut self, now: Instant, input: Input) -> Vec<Effect> {
        let at = self.clock.time(now);
        let (mut effects, mut events) = (Vec::new(), Vec::new());
        let mut review = matches!(input, Input::Order(_) | Input::Inherit(..));
        let mut say = review || matches!(input, Input::List(_) | Input::Current);
        match input {
            Input::Arrived(id, ask) => events.extend(self.arrived(at, id, ask)),
            Input::Ended(id, number, reply) => events.extend(self.ended(at, id, number, reply, &mut effects)),
            Input::Went(id, number, news) => events.extend(self.went(at, id, number, news)),
            Input::Left(id) => {
                if let Some(open) = self.open.remove(&id) {
                    self.count(open.class, |t| t.left += 1);
                    events.push(Event::Left(id));
                }
            }
            Input::List(members) => {
                let dated = members.kind != ListKind::Cached;
                let latest = members.entries.iter().filter_map(|member| member.up_since).max();
                events.push(self.listed(at, members, &mut effects));
                if dated {
                    self.starts.heard(at, latest);
                }
                self.peers.iter_mut().filter(|_| dated).for_each(|peers| peers.listed(at));
                review = true;
            }
            Input::WallClock(shown) => self.starts.read_wall_clock(at, shown),
            Input::Current => {
                self.starts.heard(at, None);
                self.peers.iter_mut().for_each(|peers| peers.listed(at));
                review = true;
            }
            Input::Stale(stale) => {
                self.stale = stale;
                let lines = self.heard.keys().filter_map(|id| self.line(id)).collect();
                events.push(Event::List { kind: ListKind::Changes, lines });
            }
            Input::Told(from, trip, told) => {
                let heard = self.peers.as_mut().map(|peers| peers.hear(at, trip, &from, told));
                if let Some(unsound) = heard.map(|refused| refused.unsound).filter(|n| *n > 0) {
                    effects.push(Effect::Log(Notice::Refused { from: from.name, unsound }));
                }
                review = true;
            }
            Input::Learnt(told) => {
                if let Some(peers) = &mut self.peers {
                    peers.learn(at, told);
                }
                review = true;
            }
            Input::Totals(totals) => {
                if let Some(mut peers) = self.peers.take() {
                    peers.sum(at, totals);
                    let window = self.settings.rules.tip_after;
                    events.push(Event::Hearsay(peers.hearsay(at, window, &self.boxes())));
                    self.peers = Some(peers);
                }
            }
            Input::Settings(set) => events.push(self.retune(at, *set)),
            Input::Part(part) => events.push(Event::Part(part)),
            Input::Inherit(legacy, part) => events.extend(self.inherit(at, *legacy, part, &mut effects)),
            Input::Order(Order::Suspend(id)) => events.extend(self.suspend(at, &id, true, &mut effects)),
            Input::Order(Order::Resume(id)) => events.extend(self.suspend(at, &id, false, &mut effects)),
            Input::Order(Order::Drain) => {
                if self.drained.is_none() {
                    self.drained = Some(at);
                    effects.push(Effect::Log(Notice::Drained));
                }
            }
            Input::Order(Order::Activate) => {
                if self.drained.take().is_some() {
                    effects.push(Effect::Log(Notice::Activated));
                }
            }
            Input::Woke => {}
        }
        self.time_out(at, &mut events, &mut effects);
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
            effects.extend(self.say(at));
        }
        self.recall(at, &mut events, &mut effects);
        let mut actions = Vec::new();
        while !events.is_empty() {
            self.scheduler.step(at, &events, &mut actions);
            events.clear();
            for action in actions.drain(..) {
                events.extend(self.act(at, action, &mut effects));
            }
            self.recall_unwanted(at, &mut events, &mut effects);
        }
        self.tell(at, &mut effects);
        let until = self.flights.values().map(|f| f.until).filter(|until| *until < Duration::MAX);
        let review = self.peers.as_ref().and_then(Peers::changes_at);
        let first = until.chain(self.wake).chain(review).min();
        effects.extend(first.map(|first| Effect::Wake(self.clock.instant(first))));
        effects
    }

    /// The boxes that the list ever named, as far as they are remembered.
    fn boxes(&self) -> BTreeMap<&str, Listed<'_>> {
        let mut boxes = BTreeMap::new();
        for (id, h) in &self.heard {
            let (node, born) = (node_number(id), h.born());
            boxes.insert(id.as_str(), Listed { node, member: &h.member, suspended: h.suspended, born });
        }
        boxes
    }

    /// Weighs what peers said, and what of it the scheduler has to know.
    fn review(&mut self, at: Duration, effects: &mut Vec<Effect>) -> Vec<Event> {
        let Some(mut peers) = self.peers.take() else { return Vec::new() };
        let changes = peers.review(at, &self.boxes());
        let hearsay = peers.hearsay(at, self.settings.rules.tip_after, &self.boxes());
        self.peers = Some(peers);
        for change in changes.iter().filter(|c| c.news) {
            effects.push(Effect::Log(Notice::Advised {
                id: change.id.clone(),
                stopped: change.advice.stop_until.is_some(),
                held: change.advice.hold_until.is_some(),
                started_ago: change.advice.born.map(|born| at.saturating_sub(born)),
            }));
        }
        let lines = changes.iter().filter_map(|change| self.line(&change.id)).collect();
        vec![Event::List { kind: ListKind::Changes, lines }, Event::Hearsay(hearsay)]
    }

    /// What this process sees, where there is anything for peers.
    fn say(&mut self, at: Duration) -> Option<Effect> {
        let mut peers = self.peers.take()?;
        let told = peers.say(at, &self.boxes(), &self.scheduler);
        self.peers = Some(peers);
        (!told.is_empty()).then_some(Effect::Say(told))
    }

    fn arrived(&mut self, at: Duration, id: RequestId, ask: Ask) -> Option<Event> {
        if self.open.contains_key(&id) {
            return None;
        }
        let patience = ask.patience.saturating_sub(WAY_BACK);
        let due = at.saturating_add(patience);
        self.open.insert(
            id,
            Open { class: ask.class, units: ask.units, due, patience, attempts: 0, may_have_run: false },
        );
        self.count(ask.class, |t| t.taken += 1);
        Some(Event::Request(Request {
            id,
            class: ask.class,
            volume: ask.volume,
            plan: ask.plan,
            hosts: ask.hosts,
            key: ask.key,
            shard: ask.shard,
            units: ask.units,
            patience,
            repeat: ask.repeat,
        }))
    }

    /// While a body is on its way its client's time stands still; it begins with the last byte. What counts as
    /// the round trip ends with the first bytes of the answer.
    fn went(&mut self, at: Duration, id: RequestId, number: u8, news: News) -> Option<Event> {
        let (flight, open) = (self.flights.get_mut(&(id, number))?, self.open.get_mut(&id)?);
        let moves = news == News::BodyMoves;
        match news {
            News::Writes => {
                flight.writes = true;
                return None;
            }
            News::Began => {
                flight.began = Some(at);
                return Some(Event::Began(id));
            }
            News::BodyMoves | News::BodyWent => {}
        }
        (flight.sent_at, flight.moves) = (at, moves);
        open.due = if moves { Duration::MAX } else { at.saturating_add(open.patience) };
        flight.until = open.due;
        Some(Event::Body { request: id, moves })
    }

    fn ended(
        &mut self,
        at: Duration,
        id: RequestId,
        number: u8,
        reply: Reply,
        effects: &mut Vec<Effect>,
    ) -> Vec<Event> {
        let mut events = Vec::new();
        if self.flights.get(&(id, number)).is_some_and(|f| f.moves) {
            events.extend(self.went(at, id, number, News::BodyWent));
        }
        // One that was given up on has had its one outcome.
        let Some(flight) = self.flights.remove(&(id, number)) else { return events };
        *self.ends.entry(format!("{:?}", reply.end)).or_default() += 1;
        let ending = reply.end.outcome();
        if ending == Ending::Served {
            if let Some(open) = self.open.remove(&id) {
                let units = open.units;
                self.count(open.class, |t| (t.served, t.units) = (t.served + 1, t.units + units));
                effects.push(Effect::Answer(id, Answer::Served(reply.body)));
            }
        }
        if let Some(open) = self.open.get_mut(&id) {
            open.may_have_run |= !ending.never_ran();
        }
        // What can't be sent again has its final answer with its first failure.
        if let Some(open) = self.open.get(&id).filter(|_| reply.spent) {
            let (class, never_ran) = (open.class, !open.may_have_run);
            self.open.remove(&id);
            self.count(class, |t| if never_ran { t.refused += 1 } else { t.failed += 1 });
            let top = Some(self.settings.retry_after_top).filter(|top| !top.is_zero());
            let wait = top.map_or(COME_BACK, |top| top.min(COME_BACK));
            let answer = if never_ran { Answer::Refused(wait) } else { Answer::Failed };
            effects.push(Effect::Answer(id, answer));
        }
        let mut attempt = self.outcome(flight.began.unwrap_or(at), id, number, &flight, ending);
        attempt.used = reply.used;
        attempt.elsewhere = reply.elsewhere;
        events.push(Event::Attempt(attempt));
        events
    }

    fn outcome(&self, at: Duration, id: RequestId, number: u8, flight: &Flight, ending: Ending) -> Attempt {
        Attempt {
            request: id,
            number,
            node: flight.node,
            ending,
            took: at.saturating_sub(flight.sent_at),
            over: !self.open.contains_key(&id),
            used: None,
            elsewhere: 0.0,
            load: Load::default(),
        }
    }

    /// A box that drains or is gone gets nothing new from now on: attempts at it that still wait for a connection
    /// are taken back. They would be written whenever that comes up, past the time that the settings leave.
    fn recall(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let lists =
            events.iter().filter_map(|e| if let Event::List { lines, .. } = e { Some(lines) } else { None });
        let lines: Vec<&NodeLine> = lists.flatten().collect();
        if lines.is_empty() {
            return;
        }
        let closed = |node: &NodeId| {
            let line = lines.iter().rfind(|line| line.node == *node);
            !self.addresses.contains_key(node) || line.is_some_and(|l| l.readiness != Readiness::Ready)
        };
        let waiting = self.flights.iter().filter(|(_, f)| !f.writes && closed(&f.node));
        for (id, number) in waiting.map(|(key, _)| *key).collect::<Vec<_>>() {
            if self.flights.get(&(id, number)).is_some_and(|f| f.moves) {
                events.extend(self.went(at, id, number, News::BodyWent));
            }
            events.extend(self.give_up(at, id, number, End::Recalled, effects));
        }
    }

    /// An attempt that still waits for a connection and for whose answer nobody waits any more never goes out,
    /// whether or not the settings let one be cancelled that did.
    fn recall_unwanted(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let unwanted = |(id, _): &(RequestId, u8), f: &Flight| !f.writes && !self.open.contains_key(id);
        let flights = self.flights.iter().filter(|(key, f)| unwanted(key, f));
        for (id, number) in flights.map(|(key, _)| *key).collect::<Vec<_>>() {
            events.extend(self.give_up(at, id, number, End::Recalled, effects));
        }
    }

    /// Gives up attempts whose time has come.
    fn time_out(&mut self, at: Duration, events: &mut Vec<Event>, effects: &mut Vec<Effect>) {
        let over: Vec<_> = self.flights.iter().filter(|(_, f)| f.until <= at).map(|(k, _)| *k).collect();
        for (id, number) in over {
            events.extend(self.give_up(at, id, number, End::Silent, effects));
        }
    }

    fn give_up(
        &mut self,
        at: Duration,
        id: RequestId,
        number: u8,
        end: End,
        effects: &mut Vec<Effect>,
    ) -> Option<Event> {
        let flight = self.flights.remove(&(id, number))?;
        *self.ends.entry(format!("{end:?}")).or_default() += 1;
        effects.push(Effect::Abort(id, number));
        // One that is being answered says nothing of its box by ending late.
        let heard = flight.began.unwrap_or(at);
        Some(Event::Attempt(self.outcome(heard, id, number, &flight, end.outcome())))
    }

    /// What there is now, and what there was, retired.
    pub fn settings(&self) -> Rc<Settings> {
        self.settings.clone()
    }

    /// A class by the name that clients use. One that newer settings dropped is still found for a while:
    /// clients learn of new settings later than this initiator. A request that carries no key is none of a
    /// keyed class.
    pub fn class(&self, name: &str, has_key: bool, now: Instant) -> Option<u16> {
        let fits = |c: &Class| c.name == name && (has_key || c.effect != Repeat::Keyed);
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

    fn retune(&mut self, at: Duration, set: Settings) -> Event {
        let set = set.after(&self.settings);
        let more = set.classes.iter().skip(self.tallies.len());
        self.tallies.extend(more.map(|c| (c.name.clone(), Tally::default())));
        self.settings = Rc::new(set.clone());
        self.retuned = Some(at);
        Event::Settings(Box::new(set))
    }

    /// The list's version, as last heard.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// What this core leaves to a process that gets such a part of its budgets.
    pub fn legacy(&self, now: Instant, part: f64) -> Legacy {
        let at = self.clock.time(now);
        let (revision, heard, drained) = (self.revision, self.heard.clone(), self.drained.is_some());
        let (now, starts) = (Some(at), self.starts.clone());
        Legacy { revision, heard, drained, learnt: self.scheduler.learnt(part), now, starts }
    }

    /// The predecessor heard of the list later than the configuration did, and knows what operators asked.
    fn inherit(&mut self, at: Duration, legacy: Legacy, part: f64, effects: &mut Vec<Effect>) -> Vec<Event> {
        let entries = legacy.heard.values().map(|h| h.member.clone()).collect();
        let members = Members { revision: legacy.revision, kind: ListKind::Cached, entries };
        effects.push(Effect::Log(Notice::Inherited {
            revision: legacy.revision,
            boxes: members.entries.len(),
            suspended: legacy.heard.values().filter(|h| h.suspended).count(),
            drained: legacy.drained,
        }));
        self.heard = legacy.heard;
        // A version before this one told in Unix time, as this process's clock began.
        let told = self.heard.values_mut().filter(|heard| heard.started.is_none());
        told.for_each(|heard| {
            heard.started = heard.member.up_since.map(|listed| listed.min(at));
            heard.earliest = heard.started.unwrap_or_default();
        });
        self.starts = legacy.starts;
        self.drained = legacy.drained.then_some(at);
        let list = self.listed(at, members, effects);
        self.scheduler.step(at, &[list], &mut Vec::new());
        self.scheduler.inherit(legacy.learnt);
        vec![Event::Part(part)]
    }

    /// Whether the list ever named a box of that name.
    pub fn knows(&self, id: &str) -> bool {
        self.heard.contains_key(id)
    }

    /// The names of the boxes that operators took out.
    pub fn suspended(&self) -> Vec<String> {
        let out = self.heard.iter().filter(|(_, h)| h.suspended);
        out.map(|(id, _)| id.clone()).collect()
    }

    /// Since when clients are to go elsewhere, where an operator said so.
    pub fn drained_since(&self) -> Option<Instant> {
        self.drained.map(|at| self.clock.instant(at))
    }

    /// Takes a box out, or gives it back cold: operators start it anew meanwhile, and the list may tell of
    /// that much later. Saying it twice is saying it once.
    fn suspend(&mut self, at: Duration, id: &str, out: bool, effects: &mut Vec<Effect>) -> Option<Event> {
        let heard = self.heard.get_mut(id).filter(|h| h.suspended != out)?;
        heard.suspended = out;
        *(if out { &mut heard.out } else { &mut heard.back }) = at;
        let notice = if out { Notice::Suspended } else { Notice::Resumed };
        effects.push(Effect::Log(notice(id.into())));
        let line = self.line(id)?;
        Some(Event::List { kind: ListKind::Changes, lines: vec![line] })
    }

    /// A box in the scheduler's terms: one that is taken out drains, whatever the list says, and so does one
    /// that peers say takes no work. Nothing that they say brings one back.
    fn line(&self, id: &str) -> Option<NodeLine> {
        let heard = self.heard.get(id)?;
        let member = &heard.member;
        let advice = self.peers.as_ref().map(|peers| peers.advice(id)).unwrap_or_default();
        let stopped = heard.suspended || self.stale || advice.stop_until.is_some();
        let out = stopped && member.readiness == Readiness::Ready;
        Some(NodeLine {
            node: node_number(id),
            zone: self.zone_number(member),
            shard: member.shard,
            readiness: if out { Readiness::Draining } else { member.readiness },
            born: heard.born().max(advice.born.unwrap_or_default()),
            start: heard.start(),
        })
    }

    /// A zone that the settings do not name is none of theirs, nor that of a box which names none: boxes of two
    /// zones do not drop each other's repeats.
    fn zone_number(&self, member: &Member) -> u16 {
        let named = self.settings.zones.iter().position(|zone| *zone == member.zone);
        let name = if member.zone.is_empty() { &member.id } else { &member.zone };
        named.map_or_else(|| UNLISTED | hash(name) as u16, |number| number as u16)
    }

    fn listed(&mut self, at: Duration, members: Members, effects: &mut Vec<Effect>) -> Event {
        self.revision = members.revision;
        if members.kind != ListKind::Changes {
            self.names.clear();
            self.addresses.clear();
            self.heard.values_mut().for_each(|h| h.member.readiness = Readiness::Gone);
        }
        let (mut lines, mut changed) = (Vec::new(), 0);
        for member in &members.entries {
            let node = node_number(&member.id);
            if member.readiness == Readiness::Gone {
                self.names.remove(&member.id);
                self.addresses.remove(&node);
            } else {
                self.names.insert(member.id.clone(), node);
                self.addresses.extend(member.address.map(|a| (node, a)));
            }
            if self.heard.get(&member.id).is_none_or(|heard| heard.member != *member) {
                changed += 1;
                if changed <= LISTED_MOST {
                    let (revision, kind, member) = (members.revision, members.kind, member.clone());
                    effects.push(Effect::Log(Notice::Listed { revision, kind, member }));
                }
            }
            self.hear_of(at, member);
            lines.extend(self.line(&member.id));
        }
        if changed > LISTED_MOST {
            let (revision, more) = (members.revision, changed - LISTED_MOST);
            effects.push(Effect::Log(Notice::ListedBeside { revision, more }));
        }
        if self.heard.len() > HEARD_MOST {
            self.heard.retain(|_, h| h.suspended || h.member.readiness != Readiness::Gone);
        }
        Event::List { kind: members.kind, lines }
    }

    /// Takes the list's word on one box. A start is taken over when it is first heard, and every other one is a new start:
    /// the clock that it is told by may have been set back.
    fn hear_of(&mut self, at: Duration, member: &Member) {
        let listed = member.up_since.map(|listed| self.starts.started_at(at, listed));
        let earliest = self.starts.earliest(at);
        let heard = self.heard.entry(member.id.clone()).or_insert_with(|| Heard {
            member: member.clone(),
            started: None,
            earliest: Duration::ZERO,
            suspended: false,
            out: Duration::ZERO,
            back: Duration::ZERO,
        });
        if heard.started.is_none() || heard.member.up_since != member.up_since {
            let before = heard.started.unwrap_or_default();
            heard.started = listed.map(|started| started.max(before + NANO));
            heard.earliest = earliest;
        }
        heard.member = member.clone();
    }

    /// Carries out one action; what it brings back at once is an event for the next round.
    fn act(&mut self, at: Duration, action: Action, effects: &mut Vec<Effect>) -> Option<Event> {
        match action {
            Action::Send { request, node, timeout } => {
                let open = self.open.get_mut(&request)?;
                let (number, due) = (open.attempts, open.due);
                open.attempts = open.attempts.saturating_add(1);
                let until = if !timeout.is_zero() { due.min(at.saturating_add(timeout)) } else { due };
                let flight = Flight { node, sent_at: at, until, began: None, moves: false, writes: false };
                let Some(&to) = self.addresses.get(&node) else {
                    let void = self.outcome(at, request, number, &flight, End::NoAddress.outcome());
                    return Some(Event::Attempt(void));
                };
                self.flights.insert((request, number), flight);
                let wait = until.saturating_sub(at);
                effects.push(Effect::Send { request, number, to, wait });
            }
            Action::Cancel { request, number } => {
                return self.give_up(at, request, number, End::CalledOff, effects);
            }
            Action::Refuse { request, retry_after } => {
                let open = self.open.remove(&request)?;
                self.count(open.class, |t| t.refused += 1);
                effects.push(Effect::Answer(request, Answer::Refused(retry_after)));
            }
            Action::Fail { request } => {
                let open = self.open.remove(&request)?;
                self.count(open.class, |t| t.failed += 1);
                effects.push(Effect::Answer(request, Answer::Failed));
            }
            Action::Wake(then) => self.wake = Some(self.wake.map_or(then, |w| w.min(then))),
            Action::Log(line) => effects.push(Effect::Log(Notice::Decided(line))),
            // The list is always watched, idle connections end by their own clock, and neither probes
            // nor messages between initiators are asked for where the settings forbid them.
            Action::Watch(_) | Action::Fetch | Action::CloseIdle(_) => {}
            Action::Probe(_) | Action::Tell { .. } => {}
        }
        None
    }

    fn count(&mut self, class: u16, change: impl FnOnce(&mut Tally)) {
        if let Some((_, tally)) = self.tallies.get_mut(class as usize) {
            change(tally);
        }
    }

    /// What became of requests and attempts since the start, now and then.
    fn tell(&mut self, at: Duration, effects: &mut Vec<Effect>) {
        if at < self.told_at + TALLY_EVERY {
            return;
        }
        self.told_at = at;
        effects.push(Effect::Log(Notice::SoFar {
            classes: self.tallies.clone(),
            ends: self.ends.iter().map(|(end, count)| (end.clone(), *count)).collect(),
            open: self.open.len(),
        }));
    }
}

/// A number for a box's name, the same at every initiator.
fn node_number(id: &str) -> NodeId {
    let digits = id.rsplit('-').next().unwrap_or(id);
    let number = (digits.len() == 8).then(|| u32::from_str_radix(digits, 16).ok()).flatten();
    number.unwrap_or_else(|| hash(id))
}

/// FNV-1a.
fn hash(text: &str) -> u32 {
    text.bytes().fold(0x811c_9dc5, |hash: u32, b| (hash ^ u32::from(b)).wrapping_mul(0x0100_0193))
}
