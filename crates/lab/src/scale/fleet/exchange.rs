//! Exchanges over TCP: the only gossip of the program before, and now the way to members that are not known to
//! speak the datagrams of gossip.

use super::event::Event;
use super::hollow::{timed, Part};
use super::{Arm, Fleet};
use crate::fleet::SECOND;
use crate::scale::net::{address, index, Connection, RETRANSMITTED_AFTER};
use rand::rngs::StdRng;
use rand::RngExt;
use shaletack_core::broker::Input;
use shaletack_gossip as gossip;
use shaletack_membership::frame;
use shaletack_observations::{Observer, MAX_EXCHANGE_HOPS, MAX_HOPS};
use std::net::SocketAddr;
use std::time::Duration;

/// How often an exchange begins, and how long one may take (`src/peers`).
pub const ASKED_EVERY: Duration = SECOND;
const EXCHANGE: Duration = Duration::from_millis(300);

impl Fleet {
    /// The exchange before: one member after another, in an order that goes round all of them.
    pub(super) fn turn(&mut self, i: usize, boot: u64) {
        let hollow = &mut self.hollows[i];
        if self.arm == Arm::After {
            // One that is not known to speak gossip, drawn anew.
            let unmet: Vec<SocketAddr> = hollow.gossip.unconfirmed_members().collect();
            if !unmet.is_empty() {
                let drawn = self.rng.random_range(0..unmet.len());
                self.ask(i, index(unmet[drawn]));
            }
            self.at(self.now + ASKED_EVERY, Event::Turn { at: i, boot });
            return;
        }
        let last = hollow.last_asked;
        let next = timed(&mut hollow.cpu[Part::Gossip as usize], || {
            let mut peers: Vec<SocketAddr> = hollow.membership.others().map(|peer| peer.address).collect();
            peers.sort();
            let after = |at: &&SocketAddr| last.is_none_or(|last| **at > last);
            peers.iter().find(after).or(peers.first()).copied()
        });
        hollow.last_asked = next;
        let took = next.map_or(Duration::ZERO, |to| self.ask(i, index(to)));
        self.at(self.now + took + ASKED_EVERY, Event::Turn { at: i, boot });
    }

    /// Begins an exchange; how long the asker is at it. It fails as a whole: a lost packet of the handshake
    /// waits a second, one of the data 200 ms and a round trip, and all of it has 300 ms.
    pub(super) fn ask(&mut self, i: usize, to: usize) -> Duration {
        self.seen.exchanges += 1;
        let way = self.hollows[i].place.way(self.hollows[to].place);
        let connects = self.hollows[to].alive && self.links.joins(i, to);
        let lost = |rng: &mut StdRng, loss: f64| loss > 0.0 && rng.random_bool(loss);
        if !connects || lost(&mut self.rng, self.links.loss) || lost(&mut self.rng, self.links.loss) {
            self.count(i, to, Connection::of(0, 0).bytes[0] / 4);
            self.seen.failed += 1;
            return EXCHANGE;
        }
        // The program makes the frame when the connection stands. That round trip changes none of what is in
        // it but ages, which the receiver corrects by half a trip.
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let frame = timed(&mut hollow.cpu[Part::Gossip as usize], || {
            frame::encode(&hollow.me, 2 * way, hollow.broker.peer_reports(now))
        });
        let boot = hollow.boot;
        let (began, sent) = (self.now, self.now + 2 * way);
        let there =
            sent + way + 2 * way * Connection::waits(frame.len()) + self.retransmits(way, frame.len());
        self.at(there, Event::Asked { to, from: i, boot, began, sent, frame });
        let whole = 4 * way;
        whole.min(EXCHANGE)
    }

    /// What lost segments of a message add.
    fn retransmits(&mut self, way: Duration, message: usize) -> Duration {
        let segments = message.div_ceil(1460) as i32;
        let whole = (1.0 - self.links.loss).powi(segments);
        if whole < 1.0 && !self.rng.random_bool(whole) {
            RETRANSMITTED_AFTER + 2 * way
        } else {
            Duration::ZERO
        }
    }

    pub(super) fn answer(
        &mut self,
        i: usize,
        asker: usize,
        boot: u64,
        began: Duration,
        sent: Duration,
        asked: &[u8],
    ) {
        if self.now > began + EXCHANGE {
            self.seen.failed += 1;
            return;
        }
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let answers = if self.arm == Arm::After { frame::GOSSIP_CAPABLE } else { Duration::ZERO };
        let answer = timed(&mut hollow.cpu[Part::Gossip as usize], || {
            frame::encode(&hollow.me, answers, hollow.broker.peer_reports(now))
        });
        let way = hollow.place.way(self.hollows[asker].place);
        let wire = Connection::of(asked.len(), answer.len()).bytes;
        for at in [asker, i] {
            self.count(at, asker + i - at, wire.iter().sum());
        }
        let waits = 2 * way * Connection::waits(answer.len());
        let there = self.now + way + waits + self.retransmits(way, answer.len());
        if there <= began + EXCHANGE {
            let trip = there - sent;
            self.at(there, Event::Answered { to: asker, boot, trip, frame: answer });
        } else {
            self.seen.failed += 1;
        }
        let trip = 2 * way;
        self.hear(i, trip, asked);
    }

    fn at_of(&self, who: &Observer) -> SocketAddr {
        address(self.hollows.iter().position(|h| h.me == *who).unwrap_or(self.hollows.len()))
    }

    pub(super) fn hear(&mut self, i: usize, trip: Duration, bytes: &[u8]) {
        let hollow = &mut self.hollows[i];
        match timed(&mut hollow.cpu[Part::Gossip as usize], || frame::decode(bytes)) {
            Ok(message) if message.from != hollow.me => {
                let (trip, from, mut reports) = (trip.min(EXCHANGE), message.from, message.reports);
                match self.arm {
                    // What has gone three hops went no further before.
                    Arm::Before => {
                        let last = reports.iter_mut().filter(|told| told.hops >= MAX_EXCHANGE_HOPS);
                        last.for_each(|told| told.hops = MAX_HOPS);
                    }
                    Arm::After => {
                        if message.round_trip == frame::GOSSIP_CAPABLE {
                            let at = self.at_of(&from);
                            self.gossip_input(i, gossip::Input::SupportConfirmed(at));
                        }
                        reports.retain(|told| !told.claim.is_contribution());
                        let input = gossip::Input::Exchanged {
                            from: from.clone(),
                            round_trip: trip,
                            reports: reports.clone(),
                        };
                        self.gossip_input(i, input);
                    }
                }
                self.broker_input(i, Input::PeerReports { from, round_trip: trip, reports }, true);
            }
            Ok(_) => {}
            Err(_) => self.seen.bad += 1,
        }
    }
}
