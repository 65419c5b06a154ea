//! Exchanges of reports over TCP. In [`Arm::Before`], all reports travel by exchanges; in [`Arm::After`],
//! exchanges take place only with members that are not known to support gossip datagrams.

use super::event::Event;
use super::hollow::{measure_cpu, Reducer};
use super::{Arm, Fleet};
use crate::fleet::SECOND;
use crate::scale::net::{
    initiator_address, initiator_index, TcpExchange, MAX_SEGMENT_BYTES, RETRANSMISSION_TIMEOUT,
};
use rand::rngs::StdRng;
use rand::RngExt;
use shaletack_core::broker::Input;
use shaletack_gossip as gossip;
use shaletack_membership::frame;
use shaletack_observations::{Observer, MAX_EXCHANGE_HOPS, MAX_HOPS};
use std::net::SocketAddr;
use std::time::Duration;

/// Time between two exchanges, as in `src/peers`.
pub const EXCHANGE_INTERVAL: Duration = SECOND;
/// Time limit of an exchange, as in `src/peers`.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);

impl Fleet {
    /// Starts the exchange that is due and schedules the next one. In [`Arm::Before`], the members take turns
    /// in the order of addresses.
    pub(super) fn start_due_exchange(&mut self, initiator: usize, generation: u64) {
        let hollow = &mut self.hollows[initiator];
        if self.arm == Arm::After {
            // The member is drawn at random each time from those not known to support gossip datagrams.
            let unconfirmed: Vec<SocketAddr> = hollow.gossip.unconfirmed_members().collect();
            if !unconfirmed.is_empty() {
                let chosen = self.rng.random_range(0..unconfirmed.len());
                self.start_exchange(initiator, initiator_index(unconfirmed[chosen]));
            }
            self.schedule(self.now + EXCHANGE_INTERVAL, Event::ExchangeDue { at: initiator, generation });
            return;
        }
        let last = hollow.last_exchanged;
        let next = measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || {
            let mut peers: Vec<SocketAddr> = hollow.membership.others().map(|peer| peer.address).collect();
            peers.sort();
            let after = |at: &&SocketAddr| last.is_none_or(|last| **at > last);
            peers.iter().find(after).or(peers.first()).copied()
        });
        hollow.last_exchanged = next;
        let delay = next.map_or(Duration::ZERO, |to| self.start_exchange(initiator, initiator_index(to)));
        self.schedule(self.now + delay + EXCHANGE_INTERVAL, Event::ExchangeDue { at: initiator, generation });
    }

    /// Starts an exchange and returns how long it occupies the initiator.
    ///
    /// Since an exchange must complete within 300 ms, it fails as a whole when packets are lost: a lost
    /// packet of the handshake takes a second to be retransmitted, one with data 200 ms and a round trip.
    pub(super) fn start_exchange(&mut self, initiator: usize, to: usize) -> Duration {
        self.counters.exchanges += 1;
        let one_way_delay = self.hollows[initiator].placement.one_way_delay(self.hollows[to].placement);
        let connects = self.hollows[to].alive && self.links.connected(initiator, to);
        let lost = |rng: &mut StdRng, loss: f64| loss > 0.0 && rng.random_bool(loss);
        if !connects || lost(&mut self.rng, self.links.loss) || lost(&mut self.rng, self.links.loss) {
            self.count_bytes(initiator, to, TcpExchange::new(0, 0).bytes[0] / 4);
            self.counters.failed += 1;
            return EXCHANGE_TIMEOUT;
        }
        // The program encodes the frame once the connection is established. Encoding the frame a round trip
        // earlier changes only the ages in it, which the receiver corrects by half a round trip.
        let hollow = &mut self.hollows[initiator];
        let now = self.origin + hollow.local_time(self.now);
        let frame = measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || {
            frame::encode(&hollow.identity, 2 * one_way_delay, hollow.broker.peer_reports(now))
        });
        let generation = hollow.generation;
        let (started, sent) = (self.now, self.now + 2 * one_way_delay);
        let arrives_at = sent
            + one_way_delay
            + 2 * one_way_delay * TcpExchange::window_round_trips(frame.len())
            + self.retransmission_delay(one_way_delay, frame.len());
        self.schedule(
            arrives_at,
            Event::ExchangeRequest { to, from: initiator, generation, started, sent, frame },
        );
        let duration = 4 * one_way_delay;
        duration.min(EXCHANGE_TIMEOUT)
    }

    /// Returns the delay that the retransmission of a message's lost segments adds.
    fn retransmission_delay(&mut self, one_way_delay: Duration, message: usize) -> Duration {
        let segments = message.div_ceil(MAX_SEGMENT_BYTES) as i32;
        let none_lost = (1.0 - self.links.loss).powi(segments);
        if none_lost < 1.0 && !self.rng.random_bool(none_lost) {
            RETRANSMISSION_TIMEOUT + 2 * one_way_delay
        } else {
            Duration::ZERO
        }
    }

    /// Answers an exchange and handles the frame received in it.
    pub(super) fn answer_exchange(
        &mut self,
        initiator: usize,
        client: usize,
        generation: u64,
        started: Duration,
        sent: Duration,
        request: &[u8],
    ) {
        if self.now > started + EXCHANGE_TIMEOUT {
            self.counters.failed += 1;
            return;
        }
        let hollow = &mut self.hollows[initiator];
        let now = self.origin + hollow.local_time(self.now);
        let capability = if self.arm == Arm::After { frame::GOSSIP_CAPABLE } else { Duration::ZERO };
        let reply = measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || {
            frame::encode(&hollow.identity, capability, hollow.broker.peer_reports(now))
        });
        let one_way_delay = hollow.placement.one_way_delay(self.hollows[client].placement);
        let wire = TcpExchange::new(request.len(), reply.len()).bytes;
        for at in [client, initiator] {
            self.count_bytes(at, client + initiator - at, wire.iter().sum());
        }
        let window_delay = 2 * one_way_delay * TcpExchange::window_round_trips(reply.len());
        let arrives_at =
            self.now + one_way_delay + window_delay + self.retransmission_delay(one_way_delay, reply.len());
        if arrives_at <= started + EXCHANGE_TIMEOUT {
            let round_trip = arrives_at - sent;
            self.schedule(
                arrives_at,
                Event::ExchangeReply { to: client, generation, round_trip, frame: reply },
            );
        } else {
            self.counters.failed += 1;
        }
        let round_trip = 2 * one_way_delay;
        self.receive_frame(initiator, round_trip, request);
    }

    /// Returns the address of the initiator with this identity.
    fn address_of(&self, who: &Observer) -> SocketAddr {
        initiator_address(self.hollows.iter().position(|h| h.identity == *who).unwrap_or(self.hollows.len()))
    }

    /// Handles the peer's frame of an exchange.
    pub(super) fn receive_frame(&mut self, initiator: usize, round_trip: Duration, bytes: &[u8]) {
        let hollow = &mut self.hollows[initiator];
        match measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || frame::decode(bytes)) {
            Ok(message) if message.from != hollow.identity => {
                let (round_trip, from, mut reports) =
                    (round_trip.min(EXCHANGE_TIMEOUT), message.from, message.reports);
                match self.arm {
                    // In the earlier protocol, a report was not passed on after three hops.
                    Arm::Before => {
                        let last = reports.iter_mut().filter(|report| report.hops >= MAX_EXCHANGE_HOPS);
                        last.for_each(|report| report.hops = MAX_HOPS);
                    }
                    Arm::After => {
                        if message.round_trip == frame::GOSSIP_CAPABLE {
                            let at = self.address_of(&from);
                            self.gossip_input(initiator, gossip::Input::SupportConfirmed(at));
                        }
                        reports.retain(|report| !report.claim.is_contribution());
                        let input = gossip::Input::Exchanged {
                            from: from.clone(),
                            round_trip,
                            reports: reports.clone(),
                        };
                        self.gossip_input(initiator, input);
                    }
                }
                self.broker_input(initiator, Input::PeerReports { from, round_trip, reports }, true);
            }
            Ok(_) => {}
            Err(_) => self.counters.rejected_messages += 1,
        }
    }
}
