//! Delivers events and datagrams to initiators. Those of a dead process are dropped, and those of a stopped
//! process are deferred until it resumes.

use super::event::Event;
use super::hollow::Reducer;
use super::{Arm, Fleet};
use crate::scale::net::{initiator_address, receive_buffer_charge, RECEIVE_BUFFER_BYTES, UDP_HEADER_BYTES};
use bytes::Bytes;
use rand::RngExt;
use shaletack_core::broker::{AttemptId, AttemptResult, Input};
use shaletack_core::outcome::TransportOutcome;
use shaletack_gossip as gossip;
use shaletack_gossip::codec::MAGIC as GOSSIP_MAGIC;
use shaletack_membership as membership;
use std::time::Duration;

/// How often an initiator updates its contribution to the sums, as in `src/peers`.
const CONTRIBUTION_INTERVAL: Duration = Duration::from_millis(500);

impl Fleet {
    /// Handles an event at the initiator that it concerns.
    pub(super) fn handle_event(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, bytes } => self.datagram(to, from, bytes),
            Event::TimerFired { at, generation, reducer, number } => {
                self.timer_fired(at, generation, reducer, number)
            }
            Event::ExchangeDue { at, generation } => {
                if self.accepts_event(at, Some(generation), || (Event::ExchangeDue { at, generation }, 0)) {
                    self.start_due_exchange(at, generation);
                }
            }
            Event::ExchangeRequest { to, from, generation, started, sent, frame } => {
                // A stopped process would answer only after the peer's timeout.
                let hollow = &self.hollows[to];
                if hollow.alive && !hollow.paused && !hollow.unresponsive && self.links.connected(from, to) {
                    self.answer_exchange(to, from, generation, started, sent, &frame);
                }
            }
            Event::ExchangeReply { to, generation, round_trip, frame } => {
                let deferred =
                    || (Event::ExchangeReply { to, generation, round_trip, frame: frame.clone() }, 0);
                if self.accepts_event(to, Some(generation), deferred) {
                    self.receive_frame(to, round_trip, &frame);
                }
            }
            Event::ContributionDue { at, generation } => {
                if self.accepts_event(at, Some(generation), || (Event::ContributionDue { at, generation }, 0))
                {
                    self.update_contribution(at);
                    self.schedule(
                        self.now + CONTRIBUTION_INTERVAL,
                        Event::ContributionDue { at, generation },
                    );
                }
            }
            Event::RequestDue { at, generation, number } => {
                if self
                    .accepts_event(at, Some(generation), || (Event::RequestDue { at, generation, number }, 0))
                {
                    self.request(at, generation, number);
                }
            }
            Event::AttemptEnded { at, generation, request, number } => {
                self.attempt_ended(at, generation, request, number)
            }
        }
    }

    fn datagram(&mut self, to: usize, from: usize, bytes: Bytes) {
        if !self.links.connected(from, to) {
            return;
        }
        let deferred = || (Event::Datagram { to, from, bytes: bytes.clone() }, receive_buffer_charge(&bytes));
        if !self.accepts_event(to, None, deferred) {
            return;
        }
        self.count_bytes(to, from, bytes.len() + UDP_HEADER_BYTES);
        if self.arm == Arm::After && bytes.first() == Some(&GOSSIP_MAGIC) {
            self.gossip_input(
                to,
                gossip::Input::Datagram { from: initiator_address(from), bytes: bytes.to_vec() },
            );
        } else {
            self.membership_input(to, membership::Input::DatagramReceived(bytes));
        }
    }

    fn timer_fired(&mut self, at: usize, generation: u64, reducer: Reducer, number: u64) {
        let deferred = || (Event::TimerFired { at, generation, reducer, number }, 0);
        if !self.accepts_event(at, Some(generation), deferred)
            || self.hollows[at].timers[reducer as usize].0 != number
        {
            return;
        }
        self.hollows[at].timers[reducer as usize].1 = Duration::MAX;
        match reducer {
            Reducer::Membership => self.membership_input(at, membership::Input::TimerExpired),
            // Nearly all of the broker's timers concern requests, whose processor time is not counted.
            Reducer::Broker => self.broker_input(at, Input::TimerFired, false),
            Reducer::Gossip => self.gossip_input(at, gossip::Input::TimerFired),
        }
    }

    fn attempt_ended(&mut self, at: usize, generation: u64, request: u64, number: u8) {
        if !self.accepts_event(at, Some(generation), || {
            (Event::AttemptEnded { at, generation, request, number }, 0)
        }) {
            return;
        }
        let attempt = AttemptId::new(request, number);
        let result = AttemptResult::without_response(TransportOutcome::Complete);
        self.broker_input(at, Input::AttemptEnded { attempt, result }, false);
    }

    /// Sends a datagram, which may be lost or duplicated.
    pub(super) fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        if to >= self.hollows.len() {
            return;
        }
        self.count_bytes(from, to, bytes.len() + UDP_HEADER_BYTES);
        self.hollows[from].traffic.datagrams += 1;
        let one_way_delay = self.hollows[from].placement.one_way_delay(self.hollows[to].placement);
        let copies =
            1 + usize::from(self.links.duplication > 0.0 && self.rng.random_bool(self.links.duplication));
        for copy in 0..copies {
            if self.links.loss == 0.0 || !self.rng.random_bool(self.links.loss) {
                let bytes = bytes.clone();
                self.schedule(
                    self.now + one_way_delay * (1 + copy as u32),
                    Event::Datagram { to, from, bytes },
                );
            }
        }
    }

    /// Counts bytes that an initiator exchanged with another.
    pub(super) fn count_bytes(&mut self, at: usize, other: usize, bytes: usize) {
        let cross_region = self.hollows[at].placement.region != self.hollows[other].placement.region;
        self.hollows[at].traffic.add(self.now, bytes, cross_region);
    }

    /// Returns whether the process that an event is for still runs and handles the event now. Defers the
    /// event if the process is stopped and its receive buffer has space for the event.
    pub(super) fn accepts_event(
        &mut self,
        initiator: usize,
        generation: Option<u64>,
        event: impl FnOnce() -> (Event, usize),
    ) -> bool {
        let hollow = &mut self.hollows[initiator];
        if !hollow.alive || generation.is_some_and(|generation| generation != hollow.generation) {
            return false;
        }
        if hollow.paused {
            let (event, bytes) = event();
            if hollow.deferred_bytes + bytes <= RECEIVE_BUFFER_BYTES {
                hollow.deferred_bytes += bytes;
                hollow.deferred_events.push(event);
            }
            return false;
        }
        true
    }
}
