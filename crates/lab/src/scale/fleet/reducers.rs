//! Passes inputs to the reducers of an initiator, carries out the effects and counts the processor time.

use super::event::Event;
use super::hollow::{measure_cpu, Reducer};
use super::{Arm, Fleet};
use crate::fleet::MILLISECOND;
use crate::scale::net::{initiator_index, UDP_HEADER_BYTES};
use shaletack_core::broker::{AttemptId, Effect, IncomingRequest, Input};
use shaletack_core::gossip::{Aged, PeerTotals, VolumeDemand};
use shaletack_core::operator_event::OperatorEvent;
use shaletack_gossip as gossip;
use shaletack_gossip::aggregation::{Key, Total};
use shaletack_gossip::codec::HEADER_BYTES as GOSSIP_HEADER_BYTES;
use shaletack_membership as membership;
use std::time::Duration;

/// How often a busy initiator's clients send a request to each volume that they use.
pub const REQUEST_INTERVAL: Duration = Duration::from_secs(2);
/// Time that an endpoint takes to serve a request.
const SERVICE_TIME: Duration = MILLISECOND;

/// Returns whether a gossip datagram carries sums. These have the last of the datagram kinds (5); the kind
/// follows the header and the sender's name and incarnation, a varint.
fn is_aggregation_datagram(bytes: &[u8]) -> bool {
    let name = usize::from(bytes.get(GOSSIP_HEADER_BYTES).copied().unwrap_or_default());
    let incarnation = bytes.get(GOSSIP_HEADER_BYTES + 1 + name..).unwrap_or_default();
    incarnation.iter().skip_while(|byte| **byte >= 0x80).nth(1) == Some(&5)
}

impl Fleet {
    /// Passes an input to membership and carries out the effects.
    pub(super) fn membership_input(&mut self, initiator: usize, input: membership::Input) {
        let hollow = &mut self.hollows[initiator];
        let now = hollow.local_time(self.now);
        let effects = measure_cpu(&mut hollow.cpu_time[Reducer::Membership as usize], || {
            hollow.membership.step(now, input)
        });
        for effect in effects {
            match effect {
                membership::Effect::Send { to, datagram: bytes } => {
                    self.send(initiator, initiator_index(to), bytes)
                }
                membership::Effect::SetTimer(at) => self.set_timer(initiator, Reducer::Membership, at),
                membership::Effect::MemberDown(peer) => {
                    let of = initiator_index(peer.address);
                    let alive = self
                        .hollows
                        .get(of)
                        .is_some_and(|h| h.alive && h.identity.incarnation == peer.incarnation);
                    let excused = self.now < self.faults_until || !self.links.connected(initiator, of);
                    self.counters.false_deaths += u64::from(alive && !excused);
                    self.gossip_input(
                        initiator,
                        gossip::Input::MemberDown { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::MemberUp(peer) => {
                    self.gossip_input(
                        initiator,
                        gossip::Input::MemberUp { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::DuplicateName { .. } => {}
                membership::Effect::DatagramFailed(_) => self.counters.rejected_messages += 1,
            }
        }
    }

    /// Passes an input to gossip and carries out the effects.
    pub(super) fn gossip_input(&mut self, initiator: usize, input: gossip::Input) {
        if self.arm == Arm::Before || !self.gossip_enabled {
            return;
        }
        let hollow = &mut self.hollows[initiator];
        let now = hollow.local_time(self.now);
        let effects =
            measure_cpu(&mut hollow.cpu_time[Reducer::Gossip as usize], || hollow.gossip.step(now, input));
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => {
                    let hollow = &mut self.hollows[initiator];
                    if hollow.unresponsive {
                        continue;
                    }
                    let traffic = if is_aggregation_datagram(&bytes) {
                        &mut hollow.aggregation_traffic
                    } else {
                        &mut hollow.observation_traffic
                    };
                    traffic.add(self.now, bytes.len() + UDP_HEADER_BYTES, false);
                    self.send(initiator, initiator_index(to), bytes.into());
                }
                gossip::Effect::Learned(reports) => {
                    self.broker_input(initiator, Input::GossipMerged(reports), true)
                }
                gossip::Effect::Totals(totals) => self.totals(initiator, totals),
                gossip::Effect::WakeAt(at) => self.set_timer(initiator, Reducer::Gossip, at),
                gossip::Effect::ConfigRollout(_) => {}
                gossip::Effect::DatagramRejected { .. } | gossip::Effect::InvalidItems { .. } => {
                    self.counters.rejected_messages += 1
                }
            }
        }
    }

    /// Handles new sums over the other initiators.
    fn totals(&mut self, initiator: usize, totals: Vec<(Key, Total)>) {
        self.counters.totals += 1;
        let mut all = PeerTotals::default();
        self.hollows[initiator].peer_demand.clear();
        for (key, total) in totals {
            if let Key::Demand(volume) = key {
                let value = VolumeDemand { volume, rate: total.others };
                all.demand.push(Aged { value, age: total.age });
                self.hollows[initiator].peer_demand.insert(volume, total);
            }
        }
        self.broker_input(initiator, Input::PeerTotals(all), true);
    }

    /// Updates this process's contribution to the sums.
    pub(super) fn update_contribution(&mut self, initiator: usize) {
        let hollow = &mut self.hollows[initiator];
        let now = self.origin + hollow.local_time(self.now);
        let amounts =
            measure_cpu(&mut hollow.cpu_time[Reducer::Broker as usize], || hollow.broker.contribution(now));
        hollow.own_demand = amounts.demand.iter().map(|demand| (demand.volume, demand.rate)).collect();
        let keys = amounts.demand.into_iter().map(|demand| (Key::Demand(demand.volume), demand.rate));
        self.gossip_input(initiator, gossip::Input::LocalAmounts(keys.collect()));
    }

    /// Passes an input to the broker and carries out the effects. With `counted`, the input is control
    /// traffic, and its processor time is counted; inputs from clients and endpoints are not counted.
    pub(super) fn broker_input(&mut self, initiator: usize, input: Input, counted: bool) {
        let hollow = &mut self.hollows[initiator];
        let now = self.origin + hollow.local_time(self.now);
        let mut apart = Duration::ZERO;
        let cpu_time = if counted { &mut hollow.cpu_time[Reducer::Broker as usize] } else { &mut apart };
        let effects = measure_cpu(cpu_time, || hollow.broker.step(now, input));
        let generation = hollow.generation;
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt: AttemptId { request, number }, .. } => {
                    self.schedule(
                        self.now + SERVICE_TIME,
                        Event::AttemptEnded { at: initiator, generation, request, number },
                    );
                }
                Effect::SetTimer(at) => {
                    // The timers of the program's runtime have a resolution of one millisecond.
                    let local = at.saturating_duration_since(self.origin);
                    let soonest = self.hollows[initiator].local_time(self.now) + MILLISECOND;
                    self.set_timer(initiator, Reducer::Broker, local.max(soonest));
                }
                Effect::Log(OperatorEvent::AdviceChanged { id, stopped, .. }) => {
                    self.advice_changed(initiator, &id, stopped)
                }
                Effect::Broadcast(observations) => {
                    self.gossip_input(initiator, gossip::Input::LocalObservations(observations))
                }
                Effect::Log(_) | Effect::Respond { .. } | Effect::AbortAttempt(..) => {}
            }
        }
    }

    /// Records that the broker begins or ceases to avoid an endpoint.
    fn advice_changed(&mut self, initiator: usize, id: &str, stopped: bool) {
        let number = id.rsplit('-').next().and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let Some(endpoint) = number else { return };
        if !stopped {
            self.hollows[initiator].avoided_endpoints.remove(&endpoint);
        } else if self.hollows[initiator].avoided_endpoints.insert(endpoint) {
            self.drain_reactions.push((self.now, initiator, endpoint));
        }
    }

    /// Passes a client's request to the broker and schedules the next one.
    pub(super) fn request(&mut self, initiator: usize, generation: u64, number: u64) {
        let hollow = &self.hollows[initiator];
        let place = number as usize % hollow.volumes_used.len();
        let volume = hollow.volumes_used[place];
        // The units per request of each volume follow a sine wave with a period of 20 s and a phase of its
        // own.
        let turns = self.now.as_secs_f64() / 20.0 + place as f64 / hollow.volumes_used.len() as f64;
        let units = 2.0 * (1.0 + 0.8 * (turns * std::f64::consts::TAU).sin());
        let incoming = IncomingRequest {
            volume,
            initiators: self.size.initiators as f64,
            key: number,
            shard: Some((volume % u64::from(self.size.shards())) as u16),
            units,
            time_remaining: 1200 * MILLISECOND,
            ..IncomingRequest::default()
        };
        let gap = REQUEST_INTERVAL / hollow.volumes_used.len() as u32;
        self.broker_input(initiator, Input::RequestArrived { id: number, request: incoming }, false);
        self.schedule(self.now + gap, Event::RequestDue { at: initiator, generation, number: number + 1 });
    }

    /// Schedules a reducer's timer in place of its earlier one.
    fn set_timer(&mut self, initiator: usize, reducer: Reducer, local: Duration) {
        let hollow = &self.hollows[initiator];
        let (generation, then) = (hollow.generation, hollow.fleet_time(local).max(self.now));
        if hollow.timers[reducer as usize].1 == then {
            return;
        }
        self.last_sequence += 1;
        let number = self.last_sequence;
        self.hollows[initiator].timers[reducer as usize] = (number, then);
        self.schedule(then, Event::TimerFired { at: initiator, generation, reducer, number });
    }
}
