//! Every decision of shaletack. The types it speaks in are in `interface.rs`.
//!
//! A batch is absorbed event by event; then overdue requests are ended, the list is asked for where it
//! must be, and one dispatch pass offers each node's free places to the held requests in tag order.

use crate::interface::*;
use crate::measure::{backoff, nanos, scramble, seconds, span_of, Bucket, Part, Rate, Recent};
use crate::memo::UnitsMessage;
use crate::state::*;
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

mod health;
mod hearsay;
mod inherit;
mod limits;
mod slow_start;

const SECOND: Duration = Duration::from_secs(1);
const NANO: Duration = Duration::from_nanos(1);
const FOREVER: Duration = Duration::from_nanos(u64::MAX);
const LEASE: Duration = SECOND.saturating_mul(2); // Demand and service are smoothed over the design's lease.
const IDLE: Duration = LEASE.saturating_mul(30); // Volumes that asked for nothing for so long leave memory.
const STALE_LEASES: u32 = 2; // News of a volume older than this says nothing: the static part holds.
const WINDOW_TOP: f64 = 2.0; // A node starts with so many places; more only move the queue to the node.
const REST_AIM: f64 = 2.0; // Hosts rest between sends once round trips take this part of the shortest aim,
const REST_POWER: f64 = 2.0; // by that power of how often they do,
const REST_TOP: f64 = 2.0; // at most so many leases, as far as the round trip is fresh.
const POOLED: f64 = 0.5; // Part of a limit that waits at the volume's home, where hosts may talk.
const BACKOFF: (Duration, Duration) = (Duration::from_millis(100), Duration::from_secs(2)); // First, longest.
const REPEAT_COST: f64 = 0.5; // What a request costs a node that has just taken the same key.
const RUN_ROOM: f64 = 1.0; // A run of one key may go on past the window by so many,
const RUN_LOOK: usize = 64; // looked for among so many held.
const UNSENT: (f64, f64) = (0.1, 0.49); // One not sent in such a part of its time is given up.

/// The decisions of one host.
#[derive(Clone, Debug, Default)]
pub struct Scheduler {
    set: Settings,
    seed: u64,
    drawn: u64,
    now: Duration,
    started: Duration,
    jobs: BTreeMap<RequestId, Job>,
    dues: Dues, // By when each request is answered at the latest.
    volumes: BTreeMap<VolumeId, Volume>,
    pools: BTreeMap<VolumeId, Bucket>, // Of the volumes whose home this host is.
    queues: Queues,
    lines: BTreeMap<u64, Line>,
    resting: BTreeSet<(Duration, u64)>,
    nodes: BTreeMap<EndpointId, Node>,
    holders: BTreeMap<u16, Vec<EndpointId>>, // The ready nodes of each shard.
    ready_nodes: usize,
    strain: Part,                     // Of the requests that ended, those late or unserved.
    asked: BTreeMap<u16, Duration>,   // When each shard was last asked for.
    longest: BTreeMap<u16, Duration>, // The longest wait of a client, by class.
    lifted_at: Duration,
    lost: Rate,    // Missed attempts that never came, and those that did after all.
    taken: Recent, // Requests taken and further attempts, for the budget.
    further: Recent,
    list_calls_failed: u32,
    ask_at: Option<Duration>,
    armed: Option<Duration>,
    next: Duration,
    acts: Vec<Action>,
    pace: f64, // Units a second of the median answer of warm nodes; at first less than any does.
    part: f64, // Of every budget, where another process of this host has the rest.
    said: hearsay::Said,
}

impl Scheduler {
    /// A host that has just started and knows nothing of an earlier life.
    pub fn new(set: Settings, seed: u64, now: Duration) -> Self {
        let times = Scheduler { now, started: now, lifted_at: now, ..Scheduler::default() };
        let mut host = Scheduler { pace: set.mean_request_units, set, seed, part: 1.0, ..times };
        // All hosts may start at once: the list's service is not asked by all in the same instant.
        let span = (host.set.initiators * SECOND / 50).min(host.set.rules.notified_within / 4);
        host.ask_at = host.set.endpoint_list_polled.then_some(now + host.random_span(span));
        host
    }

    /// Takes what happened up to `now` and adds what is to be done about it to `actions`.
    pub fn step(&mut self, now: Duration, events: &[Event], actions: &mut Vec<Action>) {
        self.now = self.now.max(now);
        self.next = FOREVER;
        for event in events {
            self.absorb(event);
        }
        self.end_hopeless();
        self.follow_list();
        self.release_rested();
        self.notice_missed();
        self.lift_tags();
        self.dispatch();
        self.shed();
        self.arm();
        actions.append(&mut self.acts);
    }

    fn absorb(&mut self, event: &Event) {
        match event {
            Event::EndpointList { kind, lines } => self.on_list(*kind, lines),
            Event::Request(request) => self.on_request(request),
            Event::ResponseStreaming(id) => self.on_streaming(*id),
            Event::ResponseStarted(id) => self.free_place(*id),
            Event::RequestBody { request, moves } => self.on_body(*request, *moves),
            Event::AttemptEnded(attempt) => self.on_attempt(attempt),
            Event::Settings(set) => self.set = Settings::clone(set),
            Event::BudgetShare(part) => {
                self.volumes.values_mut().for_each(|v| v.scale_tokens((part / self.part).min(1.0)));
                self.part = *part;
            }
            Event::ClientLeft(id) => self.on_left(*id),
            Event::Timer => {
                // A host's clock may be coarser than ours: a timer a little early is still the one set.
                if self
                    .armed
                    .is_some_and(|at| at <= self.now + self.set.min_batch_interval.max(SECOND / 1000))
                {
                    self.armed = None;
                }
            }
            Event::PeerMessage { from, bytes } => self.on_told(*from, bytes),
            other => self.hear(other),
        }
    }

    fn on_list(&mut self, kind: EndpointListKind, lines: &[EndpointUpdate]) {
        if kind == EndpointListKind::Failed {
            self.list_calls_failed += 1;
            let wait = backoff(5 * BACKOFF.0, BACKOFF.1, self.list_calls_failed);
            self.ask_at = Some(self.now + wait / 2 + self.random_span(wait));
            return;
        }
        self.list_calls_failed = 0;
        if kind != EndpointListKind::Delta {
            let named: BTreeSet<EndpointId> = lines.iter().map(|l| l.endpoint).collect();
            let unnamed = self.nodes.iter_mut().filter(|(id, _)| !named.contains(id));
            unnamed.for_each(|(_, n)| (n.ready, n.gone) = (false, true));
        }
        lines.iter().for_each(|line| self.on_line(line));
        let (now, rules) = (self.now, &self.set.rules);
        self.nodes.retain(|_, n| !n.gone || !n.out.is_empty() || n.sent_at + rules.slow_start_duration > now);
        self.holders.clear();
        for (id, node) in self.nodes.iter().filter(|(_, n)| n.ready) {
            self.holders.entry(node.shard).or_default().push(*id);
        }
        self.ready_nodes = self.holders.values().map(Vec::len).sum();
        let tried = |j: &Job| j.queued && !j.attempts.is_empty();
        let tried: Vec<RequestId> = self.jobs.iter().filter(|(_, j)| tried(j)).map(|(id, _)| *id).collect();
        tried.into_iter().for_each(|id| self.shelve(id));
    }

    /// The ready nodes that may serve a shard; a new object may go to any.
    fn holders_of(&self, shard: Option<u16>) -> Vec<EndpointId> {
        match shard {
            Some(shard) => self.holders.get(&shard).cloned().unwrap_or_default(),
            None => self.holders.values().flatten().copied().collect(),
        }
    }

    fn on_line(&mut self, line: &EndpointUpdate) {
        let start = if line.start_id > 0 { line.start_id } else { line.started_at.as_nanos() as u64 };
        let saved = self.first_saved(line.endpoint, line.started_at, start);
        let node = self.nodes.entry(line.endpoint).or_insert(Node { window: WINDOW_TOP, ..Node::default() });
        node.zone = line.zone;
        node.shard = line.shard;
        node.ready = line.readiness == Readiness::Ready;
        node.gone = line.readiness == Readiness::Removed;
        if !line.started_at.is_zero() && node.listed.is_none_or(|b| line.started_at > b) {
            node.born = Some(line.started_at);
            node.listed = node.born;
            node.broke_at = None;
            node.fails = 0;
            node.relays = 0;
            node.saved = saved;
            node.hold_until = Duration::ZERO;
        }
    }

    /// Where the list comes only when asked for: subscribe, and again after each failure.
    fn follow_list(&mut self) {
        let Some(at) = self.ask_at else { return };
        if at > self.now {
            return self.wake_by(at);
        }
        self.acts.push(Action::WatchEndpointList(true));
        self.ask_at = None;
    }

    fn on_request(&mut self, req: &Request) {
        if self.jobs.contains_key(&req.id) {
            return;
        }
        let class = self.set.class(req.class);
        let due = self.now.saturating_add(req.time_remaining);
        let units = if req.units.is_finite() { req.units.max(0.0) } else { 0.0 };
        let req = Request { units, ..req.clone() };
        if self.set.rules.retry_budget().is_some() {
            self.taken.add(self.now, 1.0);
        }
        self.meet(&req);
        if let Some(shard) = req.shard {
            self.asked.insert(shard, self.now);
        }
        // A client that waits less long than others of its class has spent the rest on earlier tries: its aim
        // counts from the first, and what passed then is late work now.
        let longest = self.longest.entry(req.class).or_default();
        *longest = req.time_remaining.max(*longest);
        let spent = *longest - req.time_remaining;
        let aim_at = self.now.saturating_add(class.latency_objective.saturating_sub(spent)).min(due);
        let job = Job { came: self.now, aim_at, due, req: req.clone(), ..Job::default() };
        self.jobs.insert(req.id, job);
        self.shelve(req.id);
        if class.ordered && req.key != 0 {
            let line = self.lines.entry(req.key).or_default();
            line.jobs.push_back(req.id);
            if line.jobs.len() > 1 || line.rest_until > self.now {
                return;
            }
        }
        self.queue(req.id);
    }

    fn meet_volume(&mut self, req: &Request) {
        let (now, started, peers) = (self.now, self.started, self.set.peer_messages_allowed);
        let plan = self.set.plans.get(req.plan as usize).cloned().unwrap_or_default();
        let held = self.volumes.values().filter(|v| v.held > 0);
        let smallest = held.map(|v| v.tag).fold(f64::INFINITY, f64::min);
        let top = self.set.max_request_units;
        let volume = self.volumes.entry(req.volume).or_insert_with(|| Volume {
            scale: 1.0,
            scaled_at: now,
            // A reborn host cannot know what its last life drew: its buckets start empty.
            slice: Bucket { tokens: 0.0, at: started },
            sure: Bucket { tokens: 0.0, at: started },
            reserve: Bucket { tokens: plan.reserve + top, at: now },
            ..Volume::default()
        });
        volume.plan = plan;
        volume.hosts =
            volume.hosts.max(if req.initiators.is_finite() { req.initiators } else { 0.0 }).max(1.0);
        volume.pooled = if peers && volume.hosts > 1.0 { POOLED } else { 0.0 };
        if volume.held == 0 && smallest.is_finite() {
            volume.tag = volume.tag.max(smallest);
        }
        volume.demand.add(now, req.units, LEASE);
    }

    fn on_streaming(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get_mut(&id) {
            job.streaming = true;
            self.dues.remove(id);
        }
    }

    /// What a box has begun to answer, or has not whole yet, is no work for it.
    fn free_place(&mut self, id: RequestId) {
        let node = self.jobs.get(&id).and_then(|j| j.attempts.last()).and_then(|a| self.nodes.get_mut(&a.0));
        let outs = node.into_iter().flat_map(|n| n.out.iter_mut()).filter(|o| o.job == id);
        outs.for_each(|out| out.free = true);
    }

    /// A body on its way takes as long as its client does; from its last byte on time counts as it came.
    fn on_body(&mut self, id: RequestId, moves: bool) {
        self.free_place(id);
        let (now, Some(job)) = (self.now, self.jobs.get_mut(&id)) else { return };
        let times = (self.set.class(job.req.class).latency_objective, job.req.time_remaining);
        let (aim, patience) = if moves { (FOREVER, FOREVER) } else { times };
        (job.aim_at, job.due) = (now.saturating_add(aim), now.saturating_add(patience));
        if let Some((node, sent, _)) = job.attempts.last_mut().filter(|_| !moves) {
            *sent = now;
            let outs =
                self.nodes.get_mut(node).into_iter().flat_map(|n| n.out.iter_mut()).filter(|o| o.job == id);
            outs.for_each(|out| (out.sent_at, out.free) = (now, false));
        }
        self.shelve(id);
    }

    /// What is out for a client that left is work for nobody.
    fn on_left(&mut self, id: RequestId) {
        if let Some(job) = self.jobs.get(&id).filter(|j| self.set.cancellation_allowed && !j.streaming) {
            let out = job.attempts.iter().enumerate().filter(|(_, a)| a.2);
            self.acts.extend(out.map(|(n, _)| Action::Cancel { request: id, number: n as u8 }));
        }
        self.close(id);
    }

    fn queue(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id) else { return };
        if job.queued || job.over {
            return;
        }
        job.queued = true;
        self.queues.put(job.req.shard, (job.req.volume, job.req.class), (job.aim_at, id));
        if let Some(volume) = self.volumes.get_mut(&job.req.volume) {
            volume.held += 1;
        }
    }

    /// Notes by when a request is answered: before its client leaves, and one that waits before its
    /// repeat is remembered no more; one that no node may repeat, now.
    fn shelve(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        let class = self.set.class(job.req.class);
        let memory = job.first_run().filter(|_| class.idempotency == Idempotency::Keyed && job.out == 0);
        let safe = class.dedup_window.saturating_sub(self.set.connect_timeout); // It is written no later than then.
        let until = memory.map_or(job.due, |(_, at)| job.due.min(at.saturating_add(safe)));
        // Work for one that waited past its aim earns little and keeps others from theirs, at half the worth
        // in half that time; and a client told late that nothing was tried for it has lost that time.
        let part =
            nanos(class.latency_objective) / nanos(class.deadline).max(1.0) / self.dearness(job.req.class);
        let unsent = job.came + span_of(nanos(job.due - job.came) * part.clamp(UNSENT.0, UNSENT.1));
        let until = if job.attempts.is_empty() { until.min(unsent) } else { until };
        let held_by = self.holders_of(job.req.shard);
        let stuck = job.out == 0 && !held_by.is_empty() && !held_by.iter().any(|n| self.group_holds(job, *n));
        let until = if stuck { self.now } else { until };
        self.dues.put(id, Shelf { out: job.out > 0, shard: job.req.shard }, until);
    }

    fn unqueue(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get_mut(&id).filter(|j| j.queued) else { return };
        job.queued = false;
        if let Some(volume) = self.volumes.get_mut(&job.req.volume) {
            volume.held -= 1;
        }
        self.queues.remove(job.req.shard, (job.req.volume, job.req.class), (job.aim_at, id));
    }

    /// The final answer by hand: refused only where no attempt may have run, or a repeat is harmless.
    fn end(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id).filter(|j| !j.over) else { return };
        let class = self.set.class(job.req.class);
        let everywhere = class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
        let refuse = class.idempotency == Idempotency::Idempotent
            || everywhere
            || job.out == 0 && job.may_have_run.is_none();
        let waited = self.now.saturating_sub(job.came) + span_of(self.trip(job.req.shard));
        let retry_after = self.come_back(waited);
        let refused = Action::Reject { request: id, retry_after };
        self.acts.push(if refuse { refused } else { Action::Fail { request: id } });
        self.close(id);
    }

    /// When a refused client should come again: after about as long as this one waited for nothing and one
    /// round trip, spread so that those refused together do not return together.
    fn come_back(&mut self, wait: Duration) -> Duration {
        let top = Some(self.set.max_retry_after).filter(|top| !top.is_zero()).unwrap_or(FOREVER);
        (wait / 2 + self.random_span(wait)).clamp(NANO, top)
    }

    /// The shortest round trip, as believed now, to a node that may serve a shard; 0 where none is known.
    fn trip(&self, shard: Option<u16>) -> f64 {
        let nodes = self.holders_of(shard).into_iter().filter_map(|id| self.nodes.get(&id));
        nodes.map(|n| n.trip(self.now)).reduce(f64::min).unwrap_or(0.0)
    }

    /// No answer is owed any more; attempts may still be out.
    fn close(&mut self, id: RequestId) {
        self.unqueue(id);
        if let Some(job) = self.jobs.get_mut(&id) {
            job.over = true;
            self.strain.add(self.now, self.now > job.aim_at || job.attempts.is_empty(), LEASE);
            self.dues.remove(id);
            self.forget(id);
        }
    }

    /// Drops a request that is over and has nothing out; the next of its key may go.
    fn forget(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if !job.over || job.out > 0 {
            return;
        }
        let (key, units, may_come) = (job.req.key, job.req.units, !job.arrived && job.may_have_run.is_some());
        let ordered = self.set.class(job.req.class).ordered && key != 0;
        if let Some(volume) = self.volumes.get_mut(&job.req.volume).filter(|_| job.drawn) {
            volume.settle(self.now, units, may_come);
        }
        self.jobs.remove(&id);
        if ordered {
            if let Some(line) = self.lines.get_mut(&key) {
                line.jobs.retain(|&j| j != id);
            }
            self.advance(key);
        }
    }

    fn advance(&mut self, key: u64) {
        let Some(line) = self.lines.get(&key) else { return };
        let rest_until = line.rest_until;
        if rest_until > self.now {
            self.resting.insert((rest_until, key));
        } else if let Some(&first) = line.jobs.front() {
            if self.jobs.get(&first).is_some_and(|j| j.attempts.is_empty()) {
                self.queue(first);
            }
        } else {
            self.lines.remove(&key);
        }
    }

    fn release_rested(&mut self) {
        while let Some(&(at, key)) = self.resting.first() {
            if at > self.now {
                self.wake_by(at);
                break;
            }
            self.resting.remove(&(at, key));
            self.advance(key);
        }
    }

    /// What could no longer be answered before its client leaves, or not without doing it twice, is
    /// answered at once: it would be work for nobody, and its client should know.
    fn end_hopeless(&mut self) {
        for shelf in self.dues.shelves() {
            let half = span_of(if shelf.out { 0.0 } else { self.trip(shelf.shard) * 0.5 });
            while let Some((until, id)) = self.dues.first(shelf) {
                if until > self.now + half {
                    self.wake_by(until - half);
                    break;
                }
                self.end(id);
            }
        }
    }

    fn on_attempt(&mut self, a: &EndedAttempt) {
        let Some(job) = self.jobs.get_mut(&a.request) else { return };
        let Some(slot) = job.attempts.get_mut(a.number as usize).filter(|s| s.2) else { return };
        slot.2 = false;
        job.out -= 1;
        let (node_id, sent) = (slot.0, slot.1);
        if !a.outcome.never_ran() && job.may_have_run.is_none() {
            job.may_have_run = Some((node_id, sent));
        }
        job.over |= a.request_complete;
        let away = [
            AttemptOutcome::TimedOut,
            AttemptOutcome::Cancelled,
            AttemptOutcome::ConnectFailed,
            AttemptOutcome::NotSent,
        ];
        job.arrived |= !away.contains(&a.outcome);
        let req = job.req.clone();
        self.rest_key(&req, a.outcome);
        self.settle_out(node_id, a);
        self.judge(node_id, a, req.units);
        self.count_overtaken(node_id, a, sent);
        self.hear_meter(req.volume, a, req.units);
        if a.request_complete {
            self.close(a.request);
        } else {
            self.after_failure(a.request);
        }
        self.forget(a.request);
    }

    fn rest_key(&mut self, req: &Request, ending: AttemptOutcome) {
        let unsure = matches!(
            ending,
            AttemptOutcome::TimedOut | AttemptOutcome::ConnectionLost | AttemptOutcome::Cancelled
        );
        if unsure && self.set.class(req.class).ordered {
            if let Some(line) = self.lines.get_mut(&req.key) {
                line.rest_until = self.now.saturating_add(self.set.rules.ordering_pause);
            }
        }
    }

    /// An attempt failed and the answer is still owed: once more where that is allowed, else the end.
    fn after_failure(&mut self, id: RequestId) {
        let Some(job) = self.jobs.get(&id) else { return };
        if job.over || job.out > 0 {
            return;
        }
        if job.due <= self.now || job.streaming || !self.may_repeat(job) {
            self.end(id);
        } else {
            self.shelve(id);
            self.queue(id);
        }
    }

    fn may_repeat(&self, job: &Job) -> bool {
        let class = self.set.class(job.req.class);
        let never_ran = job.first_run().is_none();
        self.set.attempts_left(&class, job.attempts.len())
            && (never_ran || class.idempotency != Idempotency::NotIdempotent)
    }

    /// Vt rises by half its gap to the largest each second, the span over which worth is counted.
    fn lift_tags(&mut self) {
        if self.now < self.lifted_at + SECOND {
            return;
        }
        self.lifted_at = self.now;
        let largest = self.volumes.values().map(|v| v.tag).fold(0.0, f64::max);
        self.volumes.values_mut().for_each(|v| v.tag += (largest - v.tag) / 2.0);
        // Stores so long unused are full; one met anew starts as full, for it fills since this host's start.
        let since = self.now.saturating_sub(IDLE);
        self.volumes.retain(|_, v| v.held > 0 || v.demand.at > since || v.sure.at > since);
        self.pools.retain(|_, pool| pool.at > since);
    }

    fn dispatch(&mut self) {
        let wanted: BTreeSet<EndpointId> = self.queues.shards().flat_map(|s| self.holders_of(*s)).collect();
        // One has no order, and the mean over thousands of nodes is not for nothing.
        let order =
            if wanted.len() > 1 { self.by_expected_wait(&wanted) } else { wanted.into_iter().collect() };
        for id in order {
            while let Some(job) = self.offer(id) {
                self.send(job, id);
            }
        }
    }

    /// New objects go to the node with the least expected wait: it chooses first. Old news fades to the mean, and nodes
    /// of which as little is known come in an order of this host's own: hosts that know nothing must not all choose the
    /// same.
    fn by_expected_wait(&self, wanted: &BTreeSet<EndpointId>) -> Vec<EndpointId> {
        let met: Vec<f64> =
            self.nodes.values().filter(|n| n.ready).map(|n| n.lag).filter(|l| *l > 0.0).collect();
        let mean = met.iter().sum::<f64>() / met.len().max(1) as f64;
        let wait = |n: &Node| {
            let fresh = (-seconds(self.now - n.seen_at) / seconds(LEASE)).exp();
            ((mean + (n.lag - mean) * fresh) * (n.held() + 1.0)) as u64
        };
        let nodes = wanted.iter().filter_map(|id| Some((id, self.nodes.get(id)?)));
        let mut order: Vec<(u64, u64, EndpointId)> =
            nodes.map(|(id, n)| (wait(n), scramble(self.seed ^ u64::from(*id)), *id)).collect();
        order.sort_unstable();
        order.into_iter().map(|(_, _, id)| id).collect()
    }

    /// Clients have so many connections: more open requests would keep out others that are worth more. What
    /// is late goes first, then what no reserve covers, of the volume that has been sent most for its weight.
    fn shed(&mut self) {
        let top = self.set.max_open_requests;
        let mut open = self.jobs.values().filter(|j| !j.over).count();
        while top > 0 && open > top {
            let held = self.jobs.iter().filter(|(_, j)| j.queued && j.attempts.is_empty());
            let rank = |j: &Job| {
                let volume = self.volumes.get(&j.req.volume);
                let beyond = volume.is_none_or(|v| v.reserve.tokens < j.req.units);
                let cost = j.req.units * self.dearness(j.req.class);
                let tag = volume.map_or(0.0, |v| v.tag + cost / v.plan.weight.max(1e-6));
                (j.aim_at <= self.now, beyond, tag)
            };
            let ranked = held.map(|(id, j)| (rank(j), *id));
            let order = |a: &(bool, bool, f64), b: &(bool, bool, f64)| {
                (a.0, a.1).cmp(&(b.0, b.1)).then(a.2.total_cmp(&b.2))
            };
            let worst = ranked.max_by(|(a, _), (b, _)| order(a, b));
            let Some((_, id)) = worst else { return };
            self.end(id);
            open -= 1;
        }
    }

    /// What this node may be sent next: the run it is in goes on a little past the window.
    fn offer(&mut self, id: EndpointId) -> Option<RequestId> {
        let node = self.nodes.get(&id)?;
        let window = (node.window * self.part).max(1.0).floor();
        let (held, hold_until) = (node.held(), node.hold_until);
        if hold_until > self.now {
            self.wake_by(hold_until);
            return None;
        }
        if held >= window && self.set.cancellation_allowed {
            self.recall_late(id);
        }
        let run = if held < window + RUN_ROOM { self.pick(id, true) } else { None };
        run.or_else(|| if held < window { self.pick(id, false) } else { None })
    }

    /// An attempt late by a whole aim makes room where one in time waits, in any jam. It wastes work
    /// where nodes go on with what was called off: hence the wait.
    fn recall_late(&mut self, id: EndpointId) {
        let Some(node) = self.nodes.get(&id) else { return };
        let reach = self.now + span_of(node.trip(self.now) * 0.5);
        let waits = |q: &Queue| q.range((reach, 0)..).next().is_some();
        if !self.queues.get(&Some(node.shard)).is_some_and(|queues| queues.values().any(waits)) {
            return;
        }
        let gone = self.now.saturating_sub(span_of(self.set.shortest_latency_objective_nanos()));
        let late = |o: &&Out| self.jobs.get(&o.job).is_some_and(|j| !j.over && j.aim_at <= gone);
        let Some(out) = node.out.iter().filter(|o| !o.missed && !o.free).find(late).cloned() else { return };
        self.acts.push(Action::Cancel { request: out.job, number: out.number });
        self.end(out.job);
    }

    /// The held request with the least (level, tag) that this node may be sent now.
    fn pick(&mut self, id: EndpointId, run: bool) -> Option<RequestId> {
        let room = self.room_left(id);
        let node = self.nodes.get(&id)?;
        let idle = node.held() == 0.0;
        // New objects can go elsewhere than to a cold node.
        let shards = [Some(node.shard), None].into_iter().take(if room.is_finite() { 1 } else { 2 });
        let reach = self.now + span_of(node.trip(self.now) * 0.5);
        let mut heads: Vec<(RequestId, bool)> = Vec::new();
        let fits = |j: &u64| self.jobs.get(j).is_some_and(|j| j.req.units <= room);
        for shard in shards {
            let Some(queues) = self.queues.get(&shard) else { continue };
            if run {
                let Some(queue) = queues.get(&node.last_lane) else { continue };
                let live = queue.range((reach, 0)..).map(|e| e.1).take(RUN_LOOK).filter(fits);
                let same = |j: &u64| self.jobs.get(j).is_some_and(|j| node.repeats(&j.req));
                heads.extend(live.filter(same).map(|j| (j, false)));
                continue;
            }
            for queue in queues.values() {
                let first = |from| queue.range((from, 0)..).take(RUN_LOOK).map(|e| e.1).find(fits);
                let live = first(reach).map(|j| (j, false));
                heads.extend(live.or_else(|| first(Duration::ZERO).filter(|_| idle).map(|j| (j, true))));
            }
        }
        let ranked = heads.into_iter().filter_map(|(job, late)| Some((self.rank(job, late, id, run)?, job)));
        ranked.min_by(|(a, _), (b, _)| a.0.cmp(&b.0).then(a.1.total_cmp(&b.1))).map(|(_, job)| job)
    }

    /// Level and tag of a volume's first request; `None` where it may not be sent now.
    fn rank(&mut self, id: RequestId, late: bool, node: EndpointId, run: bool) -> Option<(u8, f64)> {
        let job = self.jobs.get(&id)?;
        let (units, of, drawn, class) = (job.req.units, job.req.volume, job.drawn, job.req.class);
        let cost = self.nodes.get(&node)?.cost(&job.req) * self.dearness(class);
        let again = self.may_repeat(job) && self.group_holds(job, node);
        if !(job.attempts.is_empty() || again && self.budget_allows()) {
            return None;
        }
        if !drawn && !self.limit_allows(of, units, late) {
            return None;
        }
        let (now, top) = (self.now, self.set.max_request_units);
        let strain = (2.0 * self.strain.get(now, LEASE)).min(1.0);
        let volume = self.volumes.get_mut(&of)?;
        let rate = volume.plan.reserve * volume.share(now);
        let reserved = rate > 0.0 && volume.reserve.fill(now, rate, rate + top) >= units;
        let plan_weight = volume.plan.weight.max(1e-6);
        let tag = volume.tag + cost / plan_weight;
        let level = if late { 2 } else { u8::from(!reserved) };
        // Clients that leave before their answers and come again must not gain by it.
        let answered = (volume.served.get(now, LEASE) + top) / (volume.sent.get(now, LEASE) + top);
        let worth = [1.0, self.set.within_share_weight, self.set.class(class).late_weight][level as usize];
        // Work that earns less yields from shorter round trips on: late work always, other work the more
        // requests end late here. For any crowd; where nothing better waits it leaves later than it could.
        let ease = if late { worth } else { worth.powf(strain) };
        let rested_at = self.rested_at(node, plan_weight * worth * answered.min(1.0), ease);
        if rested_at > now && !run {
            self.wake_by(rested_at);
            return None;
        }
        Some((level, tag))
    }

    /// Many hosts with one place each still crowd a node: each waits between two sends, the longer the
    /// longer its last round trips were, and shorter for more weight.
    fn rested_at(&self, id: EndpointId, weight: f64, ease: f64) -> Duration {
        let Some(node) = self.nodes.get(&id) else { return Duration::ZERO };
        let full = (REST_AIM * self.set.shortest_latency_objective_nanos() * ease).max(1e6);
        // Time-outs tell of no room: trials get rarer, to a core's work of all. Hurts where sends are lost.
        let core = (f64::from(self.set.initiators) * node.service).max(nanos(LEASE));
        let lease = (nanos(LEASE) * f64::from(1 << node.unheard)).min(core);
        let age = nanos(self.now.saturating_sub(node.seen_at)) / lease;
        let trip = full + (node.lag - full).max(0.0) * (-age).exp();
        let mean = self.set.mean_weight();
        let crowd = f64::from(self.set.initiators.max(1) - 1) / self.nodes.len().max(1) as f64;
        let rest = crowd * trip * ((trip / full).powf(REST_POWER) - 1.0) * mean / weight.max(1e-6);
        let wake = node.sent_at + span_of(rest.min(REST_TOP * lease));
        wake.min(self.now + SECOND / 4) // It fades on meanwhile.
    }

    /// What a unit of this class costs for its worth, against the class worth most.
    fn dearness(&self, class: u16) -> f64 {
        let own = Some(self.set.class(class).priority_weight).filter(|own| *own > 0.0);
        own.map_or(1.0, |own| self.set.max_priority_weight().max(1e-6) / own)
    }

    /// A keyed request that may have run goes only where its repeat is dropped.
    fn group_holds(&self, job: &Job, to: EndpointId) -> bool {
        let class = self.set.class(job.req.class);
        let Some((first, _)) = job.first_run() else { return true };
        let (Some(a), Some(b)) = (self.nodes.get(&first), self.nodes.get(&to)) else { return false };
        match (class.idempotency, class.dedup_scope) {
            (Idempotency::Idempotent, _) | (Idempotency::Keyed, DedupScope::All) => true,
            (Idempotency::Keyed, DedupScope::Zone) => a.zone == b.zone,
            (Idempotency::Keyed, DedupScope::Shard) => a.shard == b.shard,
            (Idempotency::NotIdempotent, _) => false,
        }
    }

    fn send(&mut self, id: RequestId, to: EndpointId) {
        self.unqueue(id);
        let (now, stated) = (self.now, self.set.rules.retry_budget().is_some());
        let (Some(job), Some(node)) = (self.jobs.get_mut(&id), self.nodes.get_mut(&to)) else { return };
        if !job.attempts.is_empty() && stated {
            self.further.add(now, 1.0);
        }
        job.attempts.push((to, now, true));
        job.out += 1;
        let units = job.req.units;
        let number = (job.attempts.len() - 1) as u8;
        node.out.push(Out { job: id, number, sent_at: now, overtaken: 0, missed: false, free: false });
        if node.relays > 0 && node.relay_until >= now {
            node.relays -= 1;
        } else {
            node.sent.add(now, units);
            node.saved.tokens -= units;
        }
        node.sent.since(now.saturating_sub(self.set.rules.overload_window));
        node.sent_at = now;
        let cost = node.cost(&job.req);
        node.last_key = job.req.key;
        node.last_lane = (job.req.volume, job.req.class);
        if let Some(volume) = self.volumes.get_mut(&job.req.volume) {
            volume.tag += cost / volume.plan.weight.max(1e-6);
            volume.sent.add(now, units, LEASE);
            volume.reserve.tokens = (volume.reserve.tokens - units).max(0.0);
            if !job.drawn {
                volume.draw(now, units);
            }
        }
        job.drawn = true;
        self.shelve(id);
        self.acts.push(Action::Send { request: id, node: to, timeout: Duration::ZERO });
    }

    fn wake_by(&mut self, at: Duration) {
        self.next = self.next.min(at);
    }

    fn arm(&mut self) {
        if self.next < FOREVER && self.armed.is_none_or(|at| self.next < at || at < self.now) {
            let at = self.next.max(self.now + NANO);
            self.acts.push(Action::SetTimer(at));
            self.armed = Some(at);
        }
    }

    fn random_span(&mut self, bound: Duration) -> Duration {
        Duration::from_nanos(self.random(bound.as_nanos() as u64))
    }

    /// A number below `bound`, from the instance's seed alone.
    fn random(&mut self, bound: u64) -> u64 {
        self.drawn = self.drawn.wrapping_add(1);
        scramble(self.seed.wrapping_add(self.drawn)) % bound.max(1)
    }
}
