//! Drives the membership state machine: carries out its effects and reports when its timer expires.

use super::context::Context;
use super::gossip::GossipTask;
use super::timer::ResettableTimer;
use bytes::Bytes;
use shaletack_gossip as gossip;
use shaletack_membership::{Effect, Input, Member, Membership};
use std::cell::RefCell;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::rc::Rc;
use tracing::{error, info, warn};

/// The membership state machine of this process and its timer.
pub(super) struct MembershipTask {
    context: Rc<Context>,
    gossip: Rc<GossipTask>,
    membership: RefCell<Membership>,
    timer: ResettableTimer,
    /// The address pairs of processes with the same name that were already logged.
    reported_duplicates: RefCell<BTreeSet<[String; 2]>>,
}

impl MembershipTask {
    pub(super) fn new(context: Rc<Context>, gossip: Rc<GossipTask>, membership: Membership) -> Self {
        let timer = ResettableTimer::new(context.started_at);
        let membership = RefCell::new(membership);
        MembershipTask { context, gossip, membership, timer, reported_duplicates: RefCell::default() }
    }

    /// Returns the address at which peers reach this process.
    pub(super) fn address(&self) -> SocketAddr {
        self.membership.borrow().me().address
    }

    /// Returns the names of the other members that are alive or suspected.
    pub(super) fn names(&self) -> Vec<String> {
        self.membership.borrow().others().map(|member| member.name.clone()).collect()
    }

    /// Returns the number of other members that are alive or suspected.
    pub(super) fn count(&self) -> usize {
        self.membership.borrow().others().count()
    }

    /// Announces this process at the listed addresses.
    pub(super) async fn join(&self) {
        self.step(Input::TimerExpired).await;
    }

    /// Announces to the other members that this process stops.
    pub(super) async fn leave(&self) {
        self.step(Input::Leave).await;
    }

    /// Processes a received membership datagram.
    pub(super) async fn receive(&self, datagram: &[u8]) {
        self.step(Input::DatagramReceived(Bytes::copy_from_slice(datagram))).await;
    }

    /// Fires the protocol's timer for as long as the process runs.
    pub(super) async fn run_timer(self: Rc<Self>) {
        loop {
            self.timer.expired().await;
            self.step(Input::TimerExpired).await;
        }
    }

    async fn step(&self, input: Input) {
        let effects = self.membership.borrow_mut().step(self.context.now(), input);
        for effect in effects {
            self.apply(effect).await;
        }
    }

    async fn apply(&self, effect: Effect) {
        match effect {
            Effect::Send { to, datagram } => self.context.send(to, &datagram).await,
            Effect::SetTimer(at) => self.timer.set(at),
            Effect::MemberUp(member) => {
                info!(name = member.name, at = %member.address, "a peer is up");
                let Member { address, incarnation, .. } = member;
                self.gossip.step(gossip::Input::MemberUp { address, incarnation }).await;
            }
            Effect::MemberDown(member) => {
                info!(name = member.name, at = %member.address, "a peer is down");
                let Member { address, incarnation, .. } = member;
                self.gossip.step(gossip::Input::MemberDown { address, incarnation }).await;
            }
            Effect::DuplicateName { known, joined } => self.report_duplicate(&known, &joined),
            Effect::DatagramFailed(why) => warn!(%why, "a membership datagram was rejected or not sent"),
        }
    }

    /// Logs two processes with the same name, once per pair of addresses.
    fn report_duplicate(&self, known: &Member, joined: &Member) {
        let mut addresses = [known.address.to_string(), joined.address.to_string()];
        addresses.sort();
        if self.reported_duplicates.borrow_mut().insert(addresses.clone()) {
            let [one, other] = addresses;
            error!(one, other, "two peers have the same name");
        }
    }
}
