//! The state machine of one process: it takes inputs, and connects the parts that each own one concern.

use crate::aggregation::{self, Aggregation, Key, Total};
use crate::anti_entropy::{self, AntiEntropy};
use crate::codec::{decode, encode, encoded_len, Body, Item, MembershipRecord, Message, IP_UDP_HEADER_BYTES};
use crate::config_rollout::RolloutTracker;
use crate::limits::received_datagrams;
use crate::local_observations::{observe, refresh_age};
use crate::merge::{merge, Delivery, Source};
use crate::peer_selection::{Peers, DIGEST_BIAS};
use crate::push::{Subject, FANOUT};
use crate::rate_limiter::RateLimiter;
use crate::replica::{Replica, MEMBER_PRIORITY};
use crate::round_trips::RoundTrips;
use crate::{ConfigRollout, Effect, Input, Locality};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack_observations::{ObservationStore, Observer, Report, OBSERVATION_LIFETIME};
use std::net::SocketAddr;
use std::time::Duration;

/// Between two reports of the totals.
const TOTALS_INTERVAL: Duration = Duration::from_millis(500);
/// The least time from one timer to the next.
const MIN_TIMER: Duration = Duration::from_millis(1);
/// The internal clock shows at least this at the start, so that what was seen before has a moment on it.
const MIN_START: Duration = OBSERVATION_LIFETIME.saturating_mul(2);

/// One process's part in gossip. Moments are on the caller's monotonic clock, which may begin with the process.
#[derive(Debug)]
pub struct Gossip {
    /// The internal clock is ahead of the caller's by this.
    clock_offset: Duration,
    rng: StdRng,
    replica: Replica,
    peers: Peers,
    anti_entropy: AntiEntropy,
    round_trips: RoundTrips,
    received: RateLimiter,
    aggregation: Aggregation,
    next_totals_at: Duration,
    rollout: RolloutTracker,
}

/// Updates that go out in one datagram.
struct Batch {
    items: Vec<Item>,
    subjects: Vec<Subject>,
}

impl Gossip {
    /// A process that knows of no other one. The seed has to differ from process to process.
    pub fn new(process: Observer, address: SocketAddr, locality: Locality, seed: u64, now: Duration) -> Self {
        let clock_offset = MIN_START.saturating_sub(now);
        let now = now + clock_offset;
        let mut rng = StdRng::seed_from_u64(seed);
        let member =
            aggregation::Member { address, incarnation: process.incarnation, locality: locality.clone() };
        let aggregation = Aggregation::new(member, rng.random());
        Gossip {
            clock_offset,
            rng,
            replica: Replica::new(MembershipRecord { process, address, locality }, now),
            peers: Peers::new(now),
            anti_entropy: AntiEntropy::new(now),
            round_trips: RoundTrips::default(),
            received: received_datagrams(now),
            aggregation,
            next_totals_at: now,
            rollout: RolloutTracker::default(),
        }
    }

    /// Members that are not known to speak this protocol version.
    pub fn unconfirmed_members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.replica.directory.unconfirmed()
    }

    /// Those of them that have been members for long enough to have introduced themselves. They are to be asked over TCP
    /// one after another; a newcomer would else be asked by all at once.
    pub fn members_to_ask(&self, now: Duration) -> impl Iterator<Item = SocketAddr> + '_ {
        self.replica.directory.overdue(now + self.clock_offset)
    }

    /// Initiators that speak this protocol version, this one included.
    pub fn participants(&self) -> usize {
        self.peers.len() + 1
    }

    /// The observations that are held, on the internal clock: the caller's, where that showed two minutes at the start.
    pub fn observations(&self) -> &ObservationStore {
        &self.replica.observations
    }

    /// The membership records of the others.
    pub fn membership_records(&self) -> impl Iterator<Item = &MembershipRecord> {
        self.replica.directory.records()
    }

    /// How far this process's configuration version is known to be in force; `None`: it names none, or no sum is known yet.
    pub fn config_rollout(&self, now: Duration) -> Option<ConfigRollout> {
        self.rollout_state(now + self.clock_offset)
    }

    /// Takes an input, and does what is due by now.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let now = now + self.clock_offset;
        let mut effects = Vec::new();
        self.apply(now, input, &mut effects);
        self.rebuild_peers(now);
        self.push_updates(now, &mut effects);
        self.send_digest(now, &mut effects);
        self.run_aggregation(now, &mut effects);
        let wake_at = self.next_timer().max(now + MIN_TIMER);
        effects.push(Effect::WakeAt(wake_at.saturating_sub(self.clock_offset)));
        effects
    }

    fn next_timer(&self) -> Duration {
        let changed = self.replica.directory.has_changed();
        let rebuild_at = changed.then_some(self.peers.rebuild_at());
        let optional = self.replica.updates.next_push_at().into_iter().chain(rebuild_at);
        let always = self.anti_entropy.next_digest_at().min(self.aggregation.wake_at());
        optional.fold(always, Duration::min)
    }

    fn apply(&mut self, now: Duration, input: Input, effects: &mut Vec<Effect>) {
        match input {
            Input::MemberUp { address, incarnation } => {
                self.replica.directory.member_up(now, address, incarnation);
            }
            Input::MemberDown { address, incarnation } => {
                if self.replica.directory.member_down(address, incarnation) {
                    self.replica.updates.remove(&Subject::Member(address));
                }
            }
            Input::SupportConfirmed(address) => self.replica.directory.confirm(address),
            Input::LocalObservations(reports) => {
                let refresh_age = refresh_age(self.own_address(), &self.peers);
                observe(&mut self.replica, now, reports, refresh_age);
            }
            Input::Exchanged { from, round_trip, reports } => {
                self.merge_exchange(now, &from, round_trip, reports);
            }
            Input::LocalAmounts(mut amounts) => {
                // Whoever has the version in force counts as one.
                amounts.extend(self.rollout.key().map(|key| (key, 1)));
                self.aggregation.set_amounts(now, amounts);
            }
            Input::ConfigVersion(version) => self.rollout.set_version(now, version),
            Input::Datagram { from, bytes } => self.receive(now, from, &bytes, effects),
            Input::TimerFired => {}
        }
    }

    fn own_address(&self) -> SocketAddr {
        self.replica.directory.own().address
    }

    /// The caller has taken the exchange itself, amounts included; here its news is only passed on.
    fn merge_exchange(&mut self, now: Duration, from: &Observer, round_trip: Duration, reports: Vec<Report>) {
        let reports = reports.into_iter().filter(|report| !report.claim.is_contribution());
        let items = reports.map(Item::Observation).collect();
        let source = Source { process: from, one_way: round_trip / 2, delivery: Delivery::Pushed };
        merge(&mut self.replica, now, &source, items);
    }

    fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8], effects: &mut Vec<Effect>) {
        if !self.received.try_acquire(now, 1) {
            return;
        }
        match decode(bytes) {
            Ok(_) if from == self.own_address() => {}
            Ok(message) => self.receive_message(now, from, message, effects),
            Err(error) => effects.push(Effect::DatagramRejected { from, error }),
        }
    }

    fn receive_message(
        &mut self,
        now: Duration,
        from: SocketAddr,
        message: Message,
        effects: &mut Vec<Effect>,
    ) {
        if self.replica.directory.is_member(from) {
            self.replica.directory.confirm(from);
        }
        let Message { from: process, body } = message;
        match body {
            Body::Push(items) => self.merge_items(now, from, &process, Delivery::Pushed, items, effects),
            Body::Records(items) => self.merge_items(now, from, &process, Delivery::Answered, items, effects),
            Body::Digest { token, range_hashes } => {
                self.answer_digest(now, from, token, &range_hashes, effects);
            }
            Body::Differences { token, ranges, record_ids } => {
                if let Some(round_trip) = self.anti_entropy.answered(now, token, from) {
                    self.measured(now, from, round_trip);
                    self.reconcile(now, from, ranges, record_ids, effects);
                }
            }
            Body::Request(ids) => {
                let records = self.replica.digest_records(now);
                self.send_records(now, from, &anti_entropy::requested(records, ids), effects);
            }
            Body::Aggregation(message) => {
                let answers = self.aggregation.receive(now, from, process.incarnation, message);
                effects.extend(answers.into_iter().map(|answer| self.aggregation_datagram(answer)));
            }
        }
    }

    /// Merges a datagram's items; the sender gets what is newer here.
    fn merge_items(
        &mut self,
        now: Duration,
        from: SocketAddr,
        process: &Observer,
        delivery: Delivery,
        items: Vec<Item>,
        effects: &mut Vec<Effect>,
    ) {
        let one_way = self.round_trips.one_way(now, self.replica.directory.locality(from));
        let source = Source { process, one_way, delivery };
        let mut merged = merge(&mut self.replica, now, &source, items);
        if delivery == Delivery::Pushed {
            merged.outdated.dedup();
            self.send_records(now, from, &merged.outdated, effects);
        }
        if !merged.learned.is_empty() {
            effects.push(Effect::Learned(merged.learned));
        }
        if merged.invalid > 0 {
            effects.push(Effect::InvalidItems { from: process.name.clone(), count: merged.invalid });
        }
    }

    /// One hash of everything is answered by one for each range if it differs, and those by what is in the ranges.
    fn answer_digest(
        &mut self,
        now: Duration,
        from: SocketAddr,
        token: u32,
        theirs: &[u32],
        effects: &mut Vec<Effect>,
    ) {
        let records = self.replica.digest_records(now);
        let [overall] = theirs else {
            let differences = anti_entropy::differences(token, theirs, &records, &mut self.rng);
            self.send(now, from, differences, effects);
            return;
        };
        let range_hashes = anti_entropy::range_hashes(&records);
        if *overall == anti_entropy::overall_hash(&range_hashes) {
            let equal = Body::Differences { token, ranges: 0, record_ids: Vec::new() };
            self.send(now, from, equal, effects);
        } else {
            self.ask_by_digest(now, from, range_hashes, effects);
        }
    }

    fn ask_by_digest(
        &mut self,
        now: Duration,
        to: SocketAddr,
        range_hashes: Vec<u32>,
        effects: &mut Vec<Effect>,
    ) {
        let token = self.rng.random();
        if self.send(now, to, Body::Digest { token, range_hashes }, effects) {
            self.anti_entropy.expect_answer(now, token, to);
        }
    }

    fn measured(&mut self, now: Duration, from: SocketAddr, round_trip: Duration) {
        if let Some(locality) = self.replica.directory.locality(from) {
            self.round_trips.measured(now, locality, round_trip);
        }
    }

    fn reconcile(
        &mut self,
        now: Duration,
        from: SocketAddr,
        ranges: u16,
        record_ids: Vec<u32>,
        effects: &mut Vec<Effect>,
    ) {
        let records = self.replica.digest_records(now);
        let found = anti_entropy::reconcile(records, ranges, record_ids);
        if !found.missing_here.is_empty() {
            self.send(now, from, Body::Request(found.missing_here), effects);
        }
        self.send_records(now, from, &found.missing_there, effects);
    }

    /// Sends the records of these subjects, the most urgent first, as far as the limiter allows.
    fn send_records(
        &mut self,
        now: Duration,
        to: SocketAddr,
        subjects: &[Subject],
        effects: &mut Vec<Effect>,
    ) {
        let items = self.replica.items_by_priority(now, subjects);
        for payload in anti_entropy::payloads(items) {
            if !self.send(now, to, Body::Records(payload), effects) {
                return;
            }
        }
    }

    /// Sends a digest or an answer, if the limiter allows; whether it did.
    fn send(&mut self, now: Duration, to: SocketAddr, body: Body, effects: &mut Vec<Effect>) -> bool {
        let process = self.replica.own_process();
        // Only what others saw needs the name of who passes it on.
        let name = match body {
            Body::Push(_) | Body::Records(_) => process.name.clone(),
            Body::Digest { .. } | Body::Differences { .. } | Body::Request(_) | Body::Aggregation(_) => {
                String::new()
            }
        };
        let bytes = encode(&Message { from: Observer { name, incarnation: process.incarnation }, body });
        let sent = self.anti_entropy.try_acquire(now, bytes.len() + IP_UDP_HEADER_BYTES);
        if sent {
            effects.push(Effect::Send { to, bytes });
        }
        sent
    }

    /// Draws the peers anew after a change of members.
    fn rebuild_peers(&mut self, now: Duration) {
        if now < self.peers.rebuild_at() || !self.replica.directory.take_changed() {
            return;
        }
        let directory = &self.replica.directory;
        let was_alone = self.peers.is_empty();
        self.peers.rebuild(now, &directory.own().locality, directory.confirmed_members());
        self.aggregation.set_members(now, directory.located_members());
        if was_alone && !self.peers.is_empty() {
            let own = Subject::Member(self.own_address());
            self.anti_entropy.digest_now(now);
            self.replica.updates.start(now, own, MEMBER_PRIORITY);
        }
    }

    /// Pushes the updates that are due, the most urgent first.
    fn push_updates(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.replica.updates.is_due(now) {
            return;
        }
        let due = self.replica.updates.due(now);
        if !due.is_empty() {
            let Some(budget) = self.replica.updates.payload_budget(now) else { return };
            let batch = self.fill_batch(now, due, budget);
            if !self.push_batch(now, batch, effects) {
                return;
            }
        }
        self.replica.updates.schedule(now);
    }

    /// As many of these updates as fit; those with nothing to say any more end.
    fn fill_batch(&mut self, now: Duration, due: Vec<Subject>, mut budget: usize) -> Batch {
        let mut batch = Batch { items: Vec::new(), subjects: Vec::new() };
        for subject in due {
            let Some(item) = self.replica.item(now, &subject) else {
                self.replica.updates.remove(&subject);
                continue;
            };
            let Some(left) = budget.checked_sub(encoded_len(&item)) else { break };
            budget = left;
            batch.items.push(item);
            batch.subjects.push(subject);
        }
        batch
    }

    /// Pushes a batch to a few peers; `false`: it waits for the limiter.
    fn push_batch(&mut self, now: Duration, batch: Batch, effects: &mut Vec<Effect>) -> bool {
        let Batch { items, subjects } = batch;
        if self.peers.is_empty() {
            // Whoever comes finds it by digests.
            subjects.iter().for_each(|subject| self.replica.updates.remove(subject));
            return true;
        }
        if subjects.is_empty() {
            return true;
        }
        let bytes = encode(&Message { from: self.replica.own_process().clone(), body: Body::Push(items) });
        let cost = FANOUT * (bytes.len() + IP_UDP_HEADER_BYTES);
        if !self.replica.updates.try_acquire(now, cost) {
            return false;
        }
        let targets = self.peers.draw_push_targets(&mut self.rng);
        effects.extend(targets.into_iter().map(|to| Effect::Send { to, bytes: bytes.clone() }));
        self.replica.updates.round_done(now, &subjects);
        true
    }

    /// Sends a digest to a random peer, and forgets what is too old.
    fn send_digest(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.anti_entropy.take_due(now, &mut self.rng) {
            return;
        }
        self.replica.expire(now);
        if self.peers.is_empty() {
            return;
        }
        let Some(to) = self.peers.draw(DIGEST_BIAS, &[], &mut self.rng) else { return };
        let range_hashes = anti_entropy::range_hashes(&self.replica.digest_records(now));
        let overall = anti_entropy::overall_hash(&range_hashes);
        self.ask_by_digest(now, to, vec![overall], effects);
    }

    /// Aggregation has limiters of its own, so that updates never wait behind it.
    fn run_aggregation(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if now < self.aggregation.wake_at() {
            return;
        }
        let messages = self.aggregation.tick(now);
        effects.extend(messages.into_iter().map(|message| self.aggregation_datagram(message)));
        if now < self.next_totals_at {
            return;
        }
        self.next_totals_at = now + TOTALS_INTERVAL;
        let totals = self.aggregation.totals(now);
        let totals: Vec<(Key, Total)> =
            totals.filter(|(key, _)| !matches!(key, Key::ConfigVersion(_))).collect();
        if !totals.is_empty() {
            effects.push(Effect::Totals(totals));
        }
        if let Some(rollout) = self.rollout_state(now) {
            if self.rollout.is_due(now, rollout) {
                effects.push(Effect::ConfigRollout(rollout));
            }
        }
    }

    /// There are many of these, and address and incarnation are enough to know the sender: it has no name.
    fn aggregation_datagram(&self, envelope: aggregation::Envelope) -> Effect {
        let from = Observer { name: String::new(), incarnation: self.replica.own_process().incarnation };
        let body = Body::Aggregation(envelope.message);
        Effect::Send { to: envelope.to, bytes: encode(&Message { from, body }) }
    }

    fn rollout_state(&self, now: Duration) -> Option<ConfigRollout> {
        let total = self.aggregation.total(now, self.rollout.key()?);
        let counted = total.map(|total| total.contributors as usize);
        self.rollout.state(now, counted, self.replica.directory.member_count() + 1)
    }
}
