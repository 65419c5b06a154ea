//! Exchanges of reports over TCP. In [`Arm::Before`], all reports travel by exchanges; in [`Arm::After`],
//! exchanges take place only with members that are not known to support gossip datagrams.

use super::event::Event;
use super::hollow::{measure_cpu, Reducer};
use super::{Arm, Fleet};
use crate::fleet::SECOND;
use crate::scale::net::{initiator_address, initiator_index, TcpExchange, RETRANSMISSION_TIMEOUT};
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
    pub(super) fn start_due_exchange(&mut self, i: usize, generation: u64) {
        let hollow = &mut self.hollows[i];
        if self.arm == Arm::After {
            // The member is drawn at random each time from those not known to support gossip datagrams.
            let unmet: Vec<SocketAddr> = hollow.gossip.unconfirmed_members().collect();
            if !unmet.is_empty() {
                let drawn = self.rng.random_range(0..unmet.len());
                self.start_exchange(i, initiator_index(unmet[drawn]));
            }
            self.schedule(self.now + EXCHANGE_INTERVAL, Event::ExchangeDue { at: i, generation });
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
        let took = next.map_or(Duration::ZERO, |to| self.start_exchange(i, initiator_index(to)));
        self.schedule(self.now + took + EXCHANGE_INTERVAL, Event::ExchangeDue { at: i, generation });
    }

    /// Starts an exchange and returns how long it occupies the initiator.
    ///
    /// Since an exchange must complete within 300 ms, it fails as a whole when packets are lost: a lost
    /// packet of the handshake takes a second to be retransmitted, one with data 200 ms and a round trip.
    pub(super) fn start_exchange(&mut self, i: usize, to: usize) -> Duration {
        self.counters.exchanges += 1;
        let one_way_delay = self.hollows[i].placement.one_way_delay(self.hollows[to].placement);
        let connects = self.hollows[to].alive && self.links.connected(i, to);
        let lost = |rng: &mut StdRng, loss: f64| loss > 0.0 && rng.random_bool(loss);
        if !connects || lost(&mut self.rng, self.links.loss) || lost(&mut self.rng, self.links.loss) {
            self.count_bytes(i, to, TcpExchange::new(0, 0).bytes[0] / 4);
            self.counters.failed += 1;
            return EXCHANGE_TIMEOUT;
        }
        // The program encodes the frame once the connection is established. Encoding the frame a round trip
        // earlier changes only the ages in it, which the receiver corrects by half a round trip.
        let hollow = &mut self.hollows[i];
        let now = self.origin + hollow.local_time(self.now);
        let frame = measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || {
            frame::encode(&hollow.identity, 2 * one_way_delay, hollow.broker.peer_reports(now))
        });
        let generation = hollow.generation;
        let (began, sent) = (self.now, self.now + 2 * one_way_delay);
        let arrives_at = sent
            + one_way_delay
            + 2 * one_way_delay * TcpExchange::window_round_trips(frame.len())
            + self.retransmits(one_way_delay, frame.len());
        self.schedule(arrives_at, Event::ExchangeRequest { to, from: i, generation, began, sent, frame });
        let whole = 4 * one_way_delay;
        whole.min(EXCHANGE_TIMEOUT)
    }

    /// Returns the delay that the retransmission of a message's lost segments adds.
    fn retransmits(&mut self, one_way_delay: Duration, message: usize) -> Duration {
        let segments = message.div_ceil(1460) as i32;
        let whole = (1.0 - self.links.loss).powi(segments);
        if whole < 1.0 && !self.rng.random_bool(whole) {
            RETRANSMISSION_TIMEOUT + 2 * one_way_delay
        } else {
            Duration::ZERO
        }
    }

    /// Answers an exchange and handles the frame received in it.
    pub(super) fn answer_exchange(
        &mut self,
        i: usize,
        asker: usize,
        generation: u64,
        began: Duration,
        sent: Duration,
        asked: &[u8],
    ) {
        if self.now > began + EXCHANGE_TIMEOUT {
            self.counters.failed += 1;
            return;
        }
        let hollow = &mut self.hollows[i];
        let now = self.origin + hollow.local_time(self.now);
        let answers = if self.arm == Arm::After { frame::GOSSIP_CAPABLE } else { Duration::ZERO };
        let reply = measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || {
            frame::encode(&hollow.identity, answers, hollow.broker.peer_reports(now))
        });
        let one_way_delay = hollow.placement.one_way_delay(self.hollows[asker].placement);
        let wire = TcpExchange::new(asked.len(), reply.len()).bytes;
        for at in [asker, i] {
            self.count_bytes(at, asker + i - at, wire.iter().sum());
        }
        let window_delay = 2 * one_way_delay * TcpExchange::window_round_trips(reply.len());
        let arrives_at =
            self.now + one_way_delay + window_delay + self.retransmits(one_way_delay, reply.len());
        if arrives_at <= began + EXCHANGE_TIMEOUT {
            let round_trip = arrives_at - sent;
            self.schedule(
                arrives_at,
                Event::ExchangeReply { to: asker, generation, round_trip, frame: reply },
            );
        } else {
            self.counters.failed += 1;
        }
        let round_trip = 2 * one_way_delay;
        self.receive_frame(i, round_trip, asked);
    }

    /// Returns the address of the initiator with this identity.
    fn address_of(&self, who: &Observer) -> SocketAddr {
        initiator_address(self.hollows.iter().position(|h| h.identity == *who).unwrap_or(self.hollows.len()))
    }

    /// Handles the peer's frame of an exchange.
    pub(super) fn receive_frame(&mut self, i: usize, round_trip: Duration, bytes: &[u8]) {
        let hollow = &mut self.hollows[i];
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
                            self.gossip_input(i, gossip::Input::SupportConfirmed(at));
                        }
                        reports.retain(|report| !report.claim.is_contribution());
                        let input = gossip::Input::Exchanged {
                            from: from.clone(),
                            round_trip: round_trip,
                            reports: reports.clone(),
                        };
                        self.gossip_input(i, input);
                    }
                }
                self.broker_input(i, Input::PeerReports { from, round_trip: round_trip, reports }, true);
            }
            Ok(_) => {}
            Err(_) => self.counters.invalid_data += 1,
        }
    }
}
