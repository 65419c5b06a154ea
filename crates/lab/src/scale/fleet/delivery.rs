//! Delivers events and datagrams to initiators: what a dead process never hears, and a stopped one hears later.

use super::event::Event;
use super::hollow::Part;
use super::{Arm, Fleet};
use crate::scale::net::{address, held, HELD_MOST, UDP_HEADER};
use bytes::Bytes;
use rand::RngExt;
use shaletack_core::broker::{AttemptId, AttemptResult, Input};
use shaletack_core::outcome::TransportOutcome;
use shaletack_gossip as gossip;
use shaletack_gossip::codec::MAGIC as GOSSIP_MAGIC;
use shaletack_membership as membership;
use std::time::Duration;

/// How often what a process adds to the sums is looked at (`src/peers`).
const ADDED_EVERY: Duration = Duration::from_millis(500);

impl Fleet {
    /// What an event does at the initiator it is for.
    pub(super) fn happen(&mut self, event: Event) {
        match event {
            Event::Datagram { to, from, bytes } => self.datagram(to, from, bytes),
            Event::Wakes { at, boot, part, number } => self.woken(at, boot, part, number),
            Event::Turn { at, boot } => {
                if self.hears(at, Some(boot), || (Event::Turn { at, boot }, 0)) {
                    self.turn(at, boot);
                }
            }
            Event::Asked { to, from, boot, began, sent, frame } => {
                // A process that is stopped answers when nobody waits any more.
                let hollow = &self.hollows[to];
                if hollow.alive && !hollow.paused && !hollow.mute && self.links.joins(from, to) {
                    self.answer(to, from, boot, began, sent, &frame);
                }
            }
            Event::Answered { to, boot, trip, frame } => {
                let again = || (Event::Answered { to, boot, trip, frame: frame.clone() }, 0);
                if self.hears(to, Some(boot), again) {
                    self.hear(to, trip, &frame);
                }
            }
            Event::Adds { at, boot } => {
                if self.hears(at, Some(boot), || (Event::Adds { at, boot }, 0)) {
                    self.add(at);
                    self.at(self.now + ADDED_EVERY, Event::Adds { at, boot });
                }
            }
            Event::Request { at, boot, number } => {
                if self.hears(at, Some(boot), || (Event::Request { at, boot, number }, 0)) {
                    self.request(at, boot, number);
                }
            }
            Event::Ended { at, boot, request, number } => self.ended(at, boot, request, number),
        }
    }

    fn datagram(&mut self, to: usize, from: usize, bytes: Bytes) {
        if !self.links.joins(from, to) {
            return;
        }
        let again = || (Event::Datagram { to, from, bytes: bytes.clone() }, held(&bytes));
        if !self.hears(to, None, again) {
            return;
        }
        self.count(to, from, bytes.len() + UDP_HEADER);
        if self.arm == Arm::After && bytes.first() == Some(&GOSSIP_MAGIC) {
            self.gossip_input(to, gossip::Input::Datagram { from: address(from), bytes: bytes.to_vec() });
        } else {
            self.membership_input(to, membership::Input::DatagramReceived(bytes));
        }
    }

    fn woken(&mut self, at: usize, boot: u64, part: Part, number: u64) {
        let again = || (Event::Wakes { at, boot, part, number }, 0);
        if !self.hears(at, Some(boot), again) || self.hollows[at].wakes[part as usize].0 != number {
            return;
        }
        self.hollows[at].wakes[part as usize].1 = Duration::MAX;
        match part {
            Part::Membership => self.membership_input(at, membership::Input::TimerExpired),
            // Nearly all of these are for requests.
            Part::Broker => self.broker_input(at, Input::TimerFired, false),
            Part::Gossip => self.gossip_input(at, gossip::Input::TimerFired),
        }
    }

    fn ended(&mut self, at: usize, boot: u64, request: u64, number: u8) {
        if !self.hears(at, Some(boot), || (Event::Ended { at, boot, request, number }, 0)) {
            return;
        }
        let attempt = AttemptId::new(request, number);
        let result = AttemptResult::without_response(TransportOutcome::Complete);
        self.broker_input(at, Input::AttemptEnded { attempt, result }, false);
    }

    pub(super) fn send(&mut self, from: usize, to: usize, bytes: Bytes) {
        if to >= self.hollows.len() {
            return;
        }
        self.count(from, to, bytes.len() + UDP_HEADER);
        self.hollows[from].traffic.datagrams += 1;
        let way = self.hollows[from].place.way(self.hollows[to].place);
        let copies = 1 + usize::from(self.links.doubling > 0.0 && self.rng.random_bool(self.links.doubling));
        for copy in 0..copies {
            if self.links.loss == 0.0 || !self.rng.random_bool(self.links.loss) {
                let bytes = bytes.clone();
                self.at(self.now + way * (1 + copy as u32), Event::Datagram { to, from, bytes });
            }
        }
    }

    pub(super) fn count(&mut self, at: usize, other: usize, bytes: usize) {
        let across = self.hollows[at].place.region != self.hollows[other].place.region;
        self.hollows[at].traffic.add(self.now, bytes, across);
    }

    /// Whether the process that an event is for is still there, and hears it now.
    pub(super) fn hears(
        &mut self,
        i: usize,
        boot: Option<u64>,
        event: impl FnOnce() -> (Event, usize),
    ) -> bool {
        let hollow = &mut self.hollows[i];
        if !hollow.alive || boot.is_some_and(|boot| boot != hollow.boot) {
            return false;
        }
        if hollow.paused {
            let (event, bytes) = event();
            if hollow.held_bytes + bytes <= HELD_MOST {
                hollow.held_bytes += bytes;
                hollow.held.push(event);
            }
            return false;
        }
        true
    }
}
