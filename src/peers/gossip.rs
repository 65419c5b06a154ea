//! Drives the gossip state machine: carries out its effects, feeds it the observations and contributions of
//! the core, and reports when its timer expires.

use super::context::Context;
use super::contributions::SlowStartKeys;
use super::timer::ResettableTimer;
use crate::broker;
use shaletack_gossip::{ConfigRollout, Effect, Gossip, Input};
use shaletack_membership::frame::{Message, GOSSIP_CAPABLE};
use shaletack_observations::{Observer, Report};
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::mpsc;
use tracing::{info, warn};

/// The interval at which this process refreshes its contribution to the sums.
const CONTRIBUTION_INTERVAL: Duration = Duration::from_millis(500);

/// The gossip state machine of this process and its timer.
pub(super) struct GossipTask {
    context: Rc<Context>,
    gossip: RefCell<Gossip>,
    timer: ResettableTimer,
    slow_start_keys: RefCell<SlowStartKeys>,
}

impl GossipTask {
    pub(super) fn new(context: Rc<Context>, gossip: Gossip) -> Self {
        let timer = ResettableTimer::new(context.started_at);
        GossipTask { context, gossip: RefCell::new(gossip), timer, slow_start_keys: RefCell::default() }
    }

    /// Calls `read` with the state machine and returns its result.
    pub(super) fn read<T>(&self, read: impl FnOnce(&Gossip) -> T) -> T {
        read(&self.gossip.borrow())
    }

    /// Passes an input to the state machine and carries out the resulting effects.
    pub(super) async fn step(&self, input: Input) {
        let effects = self.gossip.borrow_mut().step(self.context.now(), input);
        for effect in effects {
            self.apply(effect).await;
        }
    }

    async fn apply(&self, effect: Effect) {
        match effect {
            Effect::Send { to, bytes } => self.context.send(to, &bytes).await,
            Effect::WakeAt(at) => self.timer.set(at),
            Effect::Learned(reports) => self.context.host.feed(broker::Input::GossipMerged(reports)),
            Effect::Totals(totals) => {
                let totals = self.slow_start_keys.borrow().resolve(totals);
                self.context.host.feed(broker::Input::PeerTotals(totals));
            }
            Effect::ConfigRollout(rollout) => log_rollout(rollout),
            Effect::DatagramRejected { from, error: why } => {
                warn!(%from, %why, "a peer's gossip datagram was rejected")
            }
            Effect::InvalidItems { from, count: invalid } => {
                warn!(from, invalid, "a peer sent invalid reports");
            }
        }
    }

    /// Processes a received gossip datagram.
    pub(super) async fn receive(&self, from: SocketAddr, datagram: &[u8]) {
        self.step(Input::Datagram { from, bytes: datagram.to_vec() }).await;
    }

    /// Merges the message that a peer sent in an exchange over TCP.
    ///
    /// The contributions of a peer that gossips are dropped from the message: the aggregated sums already
    /// include them, so they would be counted twice.
    pub(super) async fn merge_exchange(&self, message: Message, round_trip: Duration) {
        let Message { from, mut reports, .. } = message;
        if message.round_trip == GOSSIP_CAPABLE || self.is_gossip_member(&from) {
            reports.retain(|report| !report.claim.is_contribution());
        }
        let input = broker::Input::PeerReports { from: from.clone(), round_trip, reports: reports.clone() };
        self.context.host.feed(input);
        self.step(Input::Exchanged { from, round_trip, reports }).await;
    }

    fn is_gossip_member(&self, peer: &Observer) -> bool {
        self.read(|gossip| gossip.membership_records().any(|record| record.process == *peer))
    }

    /// Forwards the core's observations, refreshes this process's contribution and fires the protocol's
    /// timer. Returns when the core stops.
    pub(super) async fn run(self: Rc<Self>, mut observed: mpsc::Receiver<Vec<Report>>) {
        self.step(Input::TimerFired).await;
        let mut contribution_interval = tokio::time::interval(CONTRIBUTION_INTERVAL);
        loop {
            tokio::select! {
                reports = observed.recv() => match reports {
                    Some(reports) => self.step(Input::LocalObservations(reports)).await,
                    None => return,
                },
                _ = contribution_interval.tick() => self.refresh_contribution().await,
                () = self.timer.expired() => self.step(Input::TimerFired).await,
            }
        }
    }

    async fn refresh_contribution(&self) {
        let now = Instant::now();
        let contribution = self.context.host.with_broker(|broker| broker.contribution(now));
        let amounts = self.slow_start_keys.borrow_mut().assign_keys(contribution);
        self.step(Input::LocalAmounts(amounts)).await;
    }
}

fn log_rollout(rollout: ConfigRollout) {
    let ConfigRollout { version, applied, initiators, in_force_for } = rollout;
    let since_ms = in_force_for.as_millis() as u64;
    if rollout.is_complete() {
        info!(version, initiators, since_ms, "the configuration is in force everywhere");
    } else {
        let missing = initiators - applied;
        warn!(version, missing, of = initiators, since_ms, "the configuration is not in force everywhere");
    }
}
