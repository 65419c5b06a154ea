//! Runs gossip: carries out what its state machine asks for, passes on what the core sees and adds, and tells it when its
//! timer expires.

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

/// How often this process renews what it adds to the sums.
const CONTRIBUTION_INTERVAL: Duration = Duration::from_millis(500);

/// The gossip of this process.
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

    /// Looks at the state machine.
    pub(super) fn look<T>(&self, look: impl FnOnce(&Gossip) -> T) -> T {
        look(&self.gossip.borrow())
    }

    /// Gives the state machine an input and carries out what it asks for.
    pub(super) async fn step(&self, input: Input) {
        let effects = self.gossip.borrow_mut().step(self.context.now(), input);
        for effect in effects {
            self.carry_out(effect).await;
        }
    }

    async fn carry_out(&self, effect: Effect) {
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
                warn!(%from, %why, "a peer's datagram was rejected")
            }
            Effect::InvalidItems { from, count: invalid } => {
                warn!(from, invalid, "a peer sent invalid reports");
            }
        }
    }

    /// Takes a datagram of the protocol.
    pub(super) async fn receive(&self, from: SocketAddr, datagram: &[u8]) {
        self.step(Input::Datagram { from, bytes: datagram.to_vec() }).await;
    }

    /// Takes what an exchange over TCP brought. What a peer that gossips is asked for and sends to endpoints in slow
    /// start is in the sums: counted from the exchange too, it would count twice.
    pub(super) async fn merge_exchange(&self, message: Message, round_trip: Duration) {
        let Message { from, mut reports, .. } = message;
        if message.round_trip == GOSSIP_CAPABLE || self.gossips(&from) {
            reports.retain(|report| !report.claim.is_contribution());
        }
        let for_core =
            broker::Input::PeerReports { from: from.clone(), round_trip, reports: reports.clone() };
        self.context.host.feed(for_core);
        self.step(Input::Exchanged { from, round_trip, reports }).await;
    }

    fn gossips(&self, peer: &Observer) -> bool {
        self.look(|gossip| gossip.membership_records().any(|record| record.process == *peer))
    }

    /// Sends what the core observes, renews what this process adds to the sums and keeps the protocol's time, for as long
    /// as the core runs.
    pub(super) async fn run(self: Rc<Self>, mut observed: mpsc::Receiver<Vec<Report>>) {
        self.step(Input::TimerFired).await;
        let mut contributions_due = tokio::time::interval(CONTRIBUTION_INTERVAL);
        loop {
            tokio::select! {
                reports = observed.recv() => match reports {
                    Some(reports) => self.step(Input::LocalObservations(reports)).await,
                    None => return,
                },
                _ = contributions_due.tick() => self.contribute().await,
                () = self.timer.expired() => self.step(Input::TimerFired).await,
            }
        }
    }

    async fn contribute(&self) {
        let now = Instant::now();
        let contribution = self.context.host.with_broker(|broker| broker.contribution(now));
        let amounts = self.slow_start_keys.borrow_mut().assign(contribution);
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
