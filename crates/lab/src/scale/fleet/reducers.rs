//! Gives the reducers of an initiator their inputs and carries out what they ask for; their processor time is
//! counted.

use super::event::Event;
use super::hollow::{timed, Part};
use super::{Arm, Fleet};
use crate::fleet::MILLISECOND;
use crate::scale::net::{index, UDP_HEADER};
use shaletack_core::broker::{AttemptId, Effect, IncomingRequest, Input};
use shaletack_core::gossip::{Aged, PeerTotals, VolumeDemand};
use shaletack_core::operator_event::OperatorEvent;
use shaletack_gossip as gossip;
use shaletack_gossip::aggregation::{Key, Total};
use shaletack_gossip::codec::HEADER_BYTES as GOSSIP_HEADER_BYTES;
use shaletack_membership as membership;
use std::time::Duration;

/// How often a busy initiator's clients ask for each volume that is in use there.
pub const ASKED_AGAIN: Duration = Duration::from_secs(2);
/// How long an endpoint serves a request.
const SERVED_IN: Duration = MILLISECOND;

/// Whether a datagram of gossip is one of the sums: the last of the kinds, after a head and who sends
/// it.
fn is_sum(bytes: &[u8]) -> bool {
    let name = usize::from(bytes.get(GOSSIP_HEADER_BYTES).copied().unwrap_or_default());
    let life = bytes.get(GOSSIP_HEADER_BYTES + 1 + name..).unwrap_or_default();
    life.iter().skip_while(|byte| **byte >= 0x80).nth(1) == Some(&5)
}

impl Fleet {
    pub(super) fn membership_input(&mut self, i: usize, input: membership::Input) {
        let hollow = &mut self.hollows[i];
        let now = hollow.local(self.now);
        let effects =
            timed(&mut hollow.cpu[Part::Membership as usize], || hollow.membership.step(now, input));
        for effect in effects {
            match effect {
                membership::Effect::Send { to, datagram: bytes } => self.send(i, index(to), bytes),
                membership::Effect::SetTimer(at) => self.wake(i, Part::Membership, at),
                membership::Effect::MemberDown(peer) => {
                    let of = index(peer.address);
                    let there =
                        self.hollows.get(of).is_some_and(|h| h.alive && h.me.incarnation == peer.incarnation);
                    let troubled = self.now < self.troubled_until || !self.links.joins(i, of);
                    self.seen.taken_for_dead += u64::from(there && !troubled);
                    self.gossip_input(
                        i,
                        gossip::Input::MemberDown { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::MemberUp(peer) => {
                    self.gossip_input(
                        i,
                        gossip::Input::MemberUp { address: peer.address, incarnation: peer.incarnation },
                    );
                }
                membership::Effect::DuplicateName { .. } => {}
                membership::Effect::DatagramFailed(_) => self.seen.bad += 1,
            }
        }
    }

    /// Gives gossip an input and carries out what it asks for.
    pub(super) fn gossip_input(&mut self, i: usize, input: gossip::Input) {
        if self.arm == Arm::Before || !self.talks {
            return;
        }
        let hollow = &mut self.hollows[i];
        let now = hollow.local(self.now);
        let effects = timed(&mut hollow.cpu[Part::Gossip as usize], || hollow.gossip.step(now, input));
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => {
                    let hollow = &mut self.hollows[i];
                    if hollow.mute {
                        continue;
                    }
                    let traffic = if is_sum(&bytes) { &mut hollow.sums } else { &mut hollow.news };
                    traffic.add(self.now, bytes.len() + UDP_HEADER, false);
                    self.send(i, index(to), bytes.into());
                }
                gossip::Effect::Learned(reports) => self.broker_input(i, Input::GossipMerged(reports), true),
                gossip::Effect::Totals(totals) => self.totals(i, totals),
                gossip::Effect::WakeAt(at) => self.wake(i, Part::Gossip, at),
                gossip::Effect::ConfigRollout(_) => {}
                gossip::Effect::DatagramRejected { .. } | gossip::Effect::InvalidItems { .. } => {
                    self.seen.bad += 1
                }
            }
        }
    }

    /// The sums over the other initiators came anew.
    fn totals(&mut self, i: usize, totals: Vec<(Key, Total)>) {
        self.seen.totals += 1;
        let mut all = PeerTotals::default();
        self.hollows[i].others.clear();
        for (key, total) in totals {
            if let Key::Demand(volume) = key {
                let value = VolumeDemand { volume, rate: total.others };
                all.demand.push(Aged { value, age: total.age });
                self.hollows[i].others.insert(volume, total);
            }
        }
        self.broker_input(i, Input::PeerTotals(all), true);
    }

    /// What this process adds to the sums, from now on.
    pub(super) fn add(&mut self, i: usize) {
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let amounts = timed(&mut hollow.cpu[Part::Broker as usize], || hollow.broker.contribution(now));
        hollow.own = amounts.demand.iter().map(|demand| (demand.volume, demand.rate)).collect();
        let keys = amounts.demand.into_iter().map(|demand| (Key::Demand(demand.volume), demand.rate));
        self.gossip_input(i, gossip::Input::LocalAmounts(keys.collect()));
    }

    /// `counted`: it is a call that control causes, not a client's or a box's.
    pub(super) fn broker_input(&mut self, i: usize, input: Input, counted: bool) {
        let hollow = &mut self.hollows[i];
        let now = self.zero + hollow.local(self.now);
        let mut apart = Duration::ZERO;
        let cpu = if counted { &mut hollow.cpu[Part::Broker as usize] } else { &mut apart };
        let effects = timed(cpu, || hollow.broker.step(now, input));
        let boot = hollow.boot;
        for effect in effects {
            match effect {
                Effect::StartAttempt { attempt: AttemptId { request, number }, .. } => {
                    self.at(self.now + SERVED_IN, Event::Ended { at: i, boot, request, number });
                }
                Effect::SetTimer(at) => {
                    // As coarse as the timers of the program's runtime.
                    let local = at.saturating_duration_since(self.zero);
                    let soonest = self.hollows[i].local(self.now) + MILLISECOND;
                    self.wake(i, Part::Broker, local.max(soonest));
                }
                Effect::Log(OperatorEvent::AdviceChanged { id, stopped, .. }) => {
                    self.advised(i, &id, stopped)
                }
                Effect::Broadcast(observations) => {
                    self.gossip_input(i, gossip::Input::LocalObservations(observations))
                }
                Effect::Log(_) | Effect::Respond { .. } | Effect::AbortAttempt(..) => {}
            }
        }
    }

    fn advised(&mut self, i: usize, id: &str, stopped: bool) {
        let number = id.rsplit('-').next().and_then(|digits| usize::from_str_radix(digits, 16).ok());
        let Some(b) = number else { return };
        if !stopped {
            self.hollows[i].stopped.remove(&b);
        } else if self.hollows[i].stopped.insert(b) {
            self.acted.push((self.now, i, b));
        }
    }

    pub(super) fn request(&mut self, i: usize, boot: u64, number: u64) {
        let hollow = &self.hollows[i];
        let place = number as usize % hollow.used.len();
        let volume = hollow.used[place];
        // Slow waves, each volume's of its own phase.
        let turns = self.now.as_secs_f64() / 20.0 + place as f64 / hollow.used.len() as f64;
        let units = 2.0 * (1.0 + 0.8 * (turns * std::f64::consts::TAU).sin());
        let ask = IncomingRequest {
            volume,
            initiators: self.size.initiators as f64,
            key: number,
            shard: Some((volume % u64::from(self.size.shards())) as u16),
            units,
            time_remaining: 1200 * MILLISECOND,
            ..IncomingRequest::default()
        };
        let gap = ASKED_AGAIN / hollow.used.len() as u32;
        self.broker_input(i, Input::RequestArrived { id: number, request: ask }, false);
        self.at(self.now + gap, Event::Request { at: i, boot, number: number + 1 });
    }

    fn wake(&mut self, i: usize, part: Part, local: Duration) {
        let hollow = &self.hollows[i];
        let (boot, then) = (hollow.boot, hollow.global(local).max(self.now));
        if hollow.wakes[part as usize].1 == then {
            return;
        }
        self.numbered += 1;
        let number = self.numbered;
        self.hollows[i].wakes[part as usize] = (number, then);
        self.at(then, Event::Wakes { at: i, boot, part, number });
    }
}
