//! The gossip state machine of one process, which dispatches inputs to push gossip, anti-entropy and
//! aggregation.

use crate::aggregation::{self, Aggregation, Key, Total};
use crate::anti_entropy::{self, AntiEntropy};
use crate::codec::{decode, encode, encoded_len, Body, Item, MembershipRecord, Message, IP_UDP_HEADER_BYTES};
use crate::config_rollout::RolloutTracker;
use crate::limits::datagram_rate_limiter;
use crate::local_observations::{merge_local_observations, refresh_age};
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

/// The time between two [`Effect::Totals`].
const TOTALS_INTERVAL: Duration = Duration::from_millis(500);
/// The minimum delay of a timer.
const MIN_TIMER_DELAY: Duration = Duration::from_millis(1);
/// The internal clock shows at least this at the start, so that observations from before the start have a
/// time on the clock. Times cannot be negative, and the caller's clock may begin at 0 with the process.
const MIN_INTERNAL_CLOCK: Duration = OBSERVATION_LIFETIME.saturating_mul(2);

/// The gossip state machine of one process. All times are on the caller's monotonic clock, which may begin at
/// 0 with the process.
#[derive(Debug)]
pub struct Gossip {
    /// The difference by which the internal clock is ahead of the caller's clock.
    clock_offset: Duration,
    rng: StdRng,
    replica: Replica,
    peers: Peers,
    anti_entropy: AntiEntropy,
    round_trips: RoundTrips,
    receive_limiter: RateLimiter,
    aggregation: Aggregation,
    next_totals_at: Duration,
    rollout: RolloutTracker,
}

/// The updates that are sent in one datagram.
struct Batch {
    items: Vec<Item>,
    subjects: Vec<Subject>,
}

impl Gossip {
    /// Creates the state machine of a process that knows no members yet. The seed has to differ between
    /// processes.
    pub fn new(process: Observer, address: SocketAddr, locality: Locality, seed: u64, now: Duration) -> Self {
        let clock_offset = MIN_INTERNAL_CLOCK.saturating_sub(now);
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
            receive_limiter: datagram_rate_limiter(now),
            aggregation,
            next_totals_at: now,
            rollout: RolloutTracker::default(),
        }
    }

    /// Returns the members that are not confirmed to speak this protocol version.
    pub fn unconfirmed_members(&self) -> impl Iterator<Item = SocketAddr> + '_ {
        self.replica.directory.unconfirmed()
    }

    /// Returns the unconfirmed members that have had enough time to be confirmed by their record or a
    /// datagram.
    ///
    /// The caller should query them over TCP one after another. Members that joined just now are left out,
    /// since all processes would query them at once.
    pub fn members_to_ask(&self, now: Duration) -> impl Iterator<Item = SocketAddr> + '_ {
        self.replica.directory.overdue_for_confirmation(now + self.clock_offset)
    }

    /// Returns the number of initiators that speak this protocol version, this one included.
    pub fn participant_count(&self) -> usize {
        self.peers.len() + 1
    }

    /// Returns the observations that this process holds.
    ///
    /// Their times are on the internal clock. That is the caller's clock if it showed at least two minutes at
    /// the start, and is ahead of the caller's clock otherwise.
    pub fn observations(&self) -> &ObservationStore {
        &self.replica.observations
    }

    /// Returns the membership records of the other initiators.
    pub fn membership_records(&self) -> impl Iterator<Item = &MembershipRecord> {
        self.replica.directory.records()
    }

    /// Returns the progress of this process's configuration version across the fleet, or `None` if its
    /// configuration names no version or the sum is not known yet.
    pub fn config_rollout(&self, now: Duration) -> Option<ConfigRollout> {
        self.rollout_state(now + self.clock_offset)
    }

    /// Handles an input and everything that is due by `now`, and returns the effects for the caller to carry
    /// out.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let now = now + self.clock_offset;
        let mut effects = Vec::new();
        self.apply(now, input, &mut effects);
        self.rebuild_peers(now);
        self.push_updates(now, &mut effects);
        self.run_anti_entropy(now, &mut effects);
        self.run_aggregation(now, &mut effects);
        let wake_at = self.next_timer().max(now + MIN_TIMER_DELAY);
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
                merge_local_observations(&mut self.replica, now, reports, refresh_age);
            }
            Input::Exchanged { from, round_trip, reports } => {
                self.merge_exchange(now, &from, round_trip, reports);
            }
            Input::LocalAmounts(mut amounts) => {
                // Each process contributes 1 to the sum of the version that it has in force.
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

    /// Pushes on what an exchange over TCP brought. The caller has already merged the exchange itself,
    /// amounts included, so no [`Effect::Learned`] is emitted.
    fn merge_exchange(&mut self, now: Duration, from: &Observer, round_trip: Duration, reports: Vec<Report>) {
        let reports = reports.into_iter().filter(|report| !report.claim.is_contribution());
        let items = reports.map(Item::Observation).collect();
        let source = Source { process: from, one_way_delay: round_trip / 2, delivery: Delivery::Pushed };
        merge(&mut self.replica, now, &source, items);
    }

    fn receive(&mut self, now: Duration, from: SocketAddr, bytes: &[u8], effects: &mut Vec<Effect>) {
        if !self.receive_limiter.try_acquire(now, 1) {
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
                if let Some(round_trip) = self.anti_entropy.complete_digest(now, token, from) {
                    self.record_round_trip(now, from, round_trip);
                    self.reconcile(now, from, ranges, record_ids, effects);
                }
            }
            Body::Request(ids) => {
                let records = self.replica.digest_records(now);
                self.send_records(now, from, &anti_entropy::requested_subjects(records, ids), effects);
            }
            Body::Aggregation(message) => {
                let answers = self.aggregation.receive(now, from, process.incarnation, message);
                effects.extend(answers.into_iter().map(|answer| self.aggregation_datagram(answer)));
            }
        }
    }

    /// Merges the items of a datagram. Answers a push with those records that are newer here than at the
    /// sender.
    fn merge_items(
        &mut self,
        now: Duration,
        from: SocketAddr,
        process: &Observer,
        delivery: Delivery,
        items: Vec<Item>,
        effects: &mut Vec<Effect>,
    ) {
        let one_way_delay = self.round_trips.one_way_delay(now, self.replica.directory.locality(from));
        let source = Source { process, one_way_delay, delivery };
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

    /// Answers a digest. A single hash of all records that differs is answered with a hash for each range;
    /// hashes of ranges are answered with the record ids in some of the ranges that differ.
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
            self.send_digest(now, from, range_hashes, effects);
        }
    }

    /// Sends a digest, if the limiter allows, and waits for the answer.
    fn send_digest(
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

    fn record_round_trip(&mut self, now: Duration, from: SocketAddr, round_trip: Duration) {
        if let Some(locality) = self.replica.directory.locality(from) {
            self.round_trips.record(now, locality, round_trip);
        }
    }

    /// Requests the records that this process lacks in the given ranges, and sends those that the peer lacks.
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
        if !found.missing_locally.is_empty() {
            self.send(now, from, Body::Request(found.missing_locally), effects);
        }
        self.send_records(now, from, &found.missing_at_peer, effects);
    }

    /// Sends the records of these subjects, the most urgent first, until the limiter is exhausted.
    fn send_records(
        &mut self,
        now: Duration,
        to: SocketAddr,
        subjects: &[Subject],
        effects: &mut Vec<Effect>,
    ) {
        let items = self.replica.items_by_priority(now, subjects);
        for payload in anti_entropy::split_into_payloads(items) {
            if !self.send(now, to, Body::Records(payload), effects) {
                return;
            }
        }
    }

    /// Sends a digest or an answer if the limiter allows, and returns whether it did.
    fn send(&mut self, now: Duration, to: SocketAddr, body: Body, effects: &mut Vec<Effect>) -> bool {
        let process = self.replica.own_process();
        // Only a body with items needs the sender's name: receivers compare the name with the observers of
        // the items.
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

    /// Rebuilds the peer lists after a change of members, at most once per interval.
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
            self.anti_entropy.schedule_digest_now(now);
            self.replica.updates.start(now, own, MEMBER_PRIORITY);
        }
    }

    /// Pushes the updates that are due, the most urgent first.
    fn push_updates(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.replica.updates.is_due(now) {
            return;
        }
        let due = self.replica.updates.due_subjects(now);
        if !due.is_empty() {
            let Some(budget) = self.replica.updates.payload_budget(now) else { return };
            let batch = self.fill_batch(now, due, budget);
            if !self.push_batch(now, batch, effects) {
                return;
            }
        }
        self.replica.updates.schedule(now);
    }

    /// Returns as many of the due updates as fit into `budget` bytes. Updates that have nothing left to send
    /// are removed.
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

    /// Pushes a batch to a few peers. Returns `false` if the batch has to wait for the limiter.
    fn push_batch(&mut self, now: Duration, batch: Batch, effects: &mut Vec<Effect>) -> bool {
        let Batch { items, subjects } = batch;
        if self.peers.is_empty() {
            // A peer that joins later receives these records by anti-entropy.
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
        let receivers = self.peers.choose_push_peers(&mut self.rng);
        effects.extend(receivers.into_iter().map(|to| Effect::Send { to, bytes: bytes.clone() }));
        self.replica.updates.complete_round(now, &subjects);
        true
    }

    /// Sends a digest to a random peer when one is due, and drops expired records.
    fn run_anti_entropy(&mut self, now: Duration, effects: &mut Vec<Effect>) {
        if !self.anti_entropy.take_due(now, &mut self.rng) {
            return;
        }
        self.replica.expire(now);
        if self.peers.is_empty() {
            return;
        }
        let Some(to) = self.peers.choose(DIGEST_BIAS, &[], &mut self.rng) else { return };
        let range_hashes = anti_entropy::range_hashes(&self.replica.digest_records(now));
        let overall = anti_entropy::overall_hash(&range_hashes);
        self.send_digest(now, to, vec![overall], effects);
    }

    /// Sends the aggregation messages that are due, and reports totals and the rollout of the configuration.
    ///
    /// Aggregation has rate limiters of its own, so updates never wait behind it.
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

    /// Wraps an aggregation message into a datagram.
    ///
    /// The sender's name is left out to save bytes: these datagrams are frequent, and the address and
    /// incarnation identify the sender.
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
