//! The broker's side of gossip: handles the reports of peers, reviews the advice on endpoints, and broadcasts
//! own observations.

use super::effect::Effect;
use super::endpoints::UpdateContext;
use super::step::Step;
use super::Broker;
use crate::gossip::{Contribution, GossipState, PeerTotals};
use crate::interface::{EndpointListKind, Event};
use crate::operator_event::OperatorEvent;
use shaletack_observations::{Observer, Report};
use std::time::{Duration, Instant};

impl Broker {
    /// Returns the reports for a peer in an exchange, the most important first; none if there are no peers.
    pub fn peer_reports(&self, now: Instant) -> Vec<Report> {
        let now = self.clock.time(now);
        let Some(gossip) = &self.gossip else { return Vec::new() };
        gossip.exchange_reports(now, &self.endpoints.known(), &self.scheduler)
    }

    /// Returns this process's contribution to the sums over all initiators; empty if there are no peers.
    pub fn contribution(&self, now: Instant) -> Contribution {
        let now = self.clock.time(now);
        let Some(gossip) = &self.gossip else { return Contribution::default() };
        gossip.contribution(now, &self.endpoints.known(), &self.scheduler)
    }

    /// Merges the reports of a peer in an exchange.
    pub(super) fn handle_peer_reports(
        &mut self,
        from: Observer,
        round_trip: Duration,
        reports: Vec<Report>,
        step: &mut Step,
    ) {
        step.review_due = true;
        let Some(gossip) = &mut self.gossip else { return };
        let invalid = gossip.merge_exchange(step.now, round_trip, &from, reports).invalid;
        if invalid > 0 {
            step.log(OperatorEvent::PeerReportsRejected { from: from.name, invalid });
        }
    }

    /// Merges reports that gossip brought.
    pub(super) fn merge_gossip(&mut self, reports: Vec<Report>, step: &mut Step) {
        step.review_due = true;
        if let Some(gossip) = &mut self.gossip {
            gossip.merge(step.now, reports);
        }
    }

    /// Replaces the sums over all other initiators.
    pub(super) fn handle_peer_totals(&mut self, totals: PeerTotals, step: &mut Step) {
        let Some(gossip) = &mut self.gossip else { return };
        gossip.set_totals(step.now, totals);
        let window = self.settings.get().rules.overload_window;
        step.events.push(Event::Gossip(gossip.for_scheduler(step.now, window, &self.endpoints.known())));
    }

    /// Records what the attempts that ended in this step show about their endpoints, for this process and its
    /// peers.
    pub(super) fn observe_attempts(&mut self, step: &mut Step) {
        let Some(gossip) = &mut self.gossip else { return };
        let observed = gossip.observe_attempts(step.now, &step.events);
        step.review_due |= observed.failing;
        step.broadcast_due |= observed.reportable;
    }

    /// Recomputes the advice on endpoints if anything changed or advice expired, and passes the result to the
    /// scheduler.
    ///
    /// The advice precedes the scheduler's run of the same step: an endpoint that fails here is held back
    /// before it is tried again, as it is at the initiators that receive the report.
    pub(super) fn review_endpoints(&mut self, step: &mut Step) {
        let now = step.now;
        let Some(gossip) = &mut self.gossip else { return };
        let expired = gossip.next_change().is_some_and(|at| at <= now);
        if !step.review_due && !expired {
            return;
        }
        let known = self.endpoints.known();
        let changes = gossip.review(now, &known);
        let window = self.settings.get().rules.overload_window;
        let for_scheduler = gossip.for_scheduler(now, window, &known);
        for change in changes.iter().filter(|change| change.kind_changed) {
            step.log(OperatorEvent::AdviceChanged {
                id: change.id.clone(),
                stopped: change.advice.stop_until.is_some(),
                held: change.advice.hold_until.is_some(),
                started_ago: change.advice.started_at.map(|started_at| now.saturating_sub(started_at)),
            });
        }
        let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
        let updates =
            changes.iter().filter_map(|change| self.endpoints.scheduler_update(&change.id, &context));
        step.events.push(Event::EndpointList { kind: EndpointListKind::Delta, updates: updates.collect() });
        step.events.push(Event::Gossip(for_scheduler));
    }

    /// Broadcasts this process's observations if some of them may be new to peers.
    pub(super) fn broadcast(&mut self, step: &mut Step) {
        let Some(gossip) = self.gossip.as_mut().filter(|_| step.broadcast_due) else { return };
        let reports = gossip.broadcast_reports(step.now, &self.endpoints.known(), &self.scheduler);
        if !reports.is_empty() {
            step.effects.push(Effect::Broadcast(reports));
        }
    }

    /// Returns when advice next expires.
    pub(super) fn next_review(&self) -> Option<Duration> {
        self.gossip.as_ref().and_then(GossipState::next_change)
    }
}
