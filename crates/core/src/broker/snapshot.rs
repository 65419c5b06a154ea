//! What a process hands over to the one that takes its place, and how that one goes on.
//!
//! Another version may read it or may have written it: stored names stay as they were, and what older versions did not store
//! has a default.

use super::clock::Clock;
use super::endpoint_state::EndpointState;
use super::endpoints::{RestoredEndpoints, UpdateContext};
use super::step::Step;
use super::Broker;
use crate::interface::Event;
use crate::operator_event::OperatorEvent;
use crate::scheduler::SchedulerSnapshot;
use crate::start_times::StartTimes;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// What the core hands over to its successor.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CoreSnapshot {
    revision: u64,
    #[serde(rename = "heard")]
    endpoints: BTreeMap<String, EndpointState>,
    drained: bool,
    #[serde(rename = "learnt")]
    scheduler: SchedulerSnapshot,
    /// When it was taken, by the clock that all its other times are read on. The first version stored none.
    #[serde(rename = "now", default)]
    taken_at: Option<Duration>,
    #[serde(rename = "starts", default)]
    start_times: StartTimes,
}

impl CoreSnapshot {
    /// The clock of the process that took it, which took it at this instant.
    pub fn clock(&self, taken_at: Instant) -> Option<Clock> {
        self.taken_at.map(|time| Clock::new(taken_at, time))
    }
}

impl Broker {
    /// What this core hands over to a process that gets this share of its budgets, from 0 to 1.
    pub fn snapshot(&self, now: Instant, budget_share: f64) -> CoreSnapshot {
        let endpoints = self.endpoints.snapshot();
        CoreSnapshot {
            revision: endpoints.revision,
            endpoints: endpoints.states,
            drained: self.drained_since.is_some(),
            scheduler: self.scheduler.snapshot(budget_share),
            taken_at: Some(self.clock.time(now)),
            start_times: endpoints.start_times,
        }
    }

    /// Goes on where another process was. It knew the list later than the configuration did, and what operators asked.
    pub(super) fn restore(&mut self, snapshot: CoreSnapshot, budget_share: f64, step: &mut Step) {
        step.review_due = true;
        step.broadcast_due = true;
        step.log(OperatorEvent::HandoverRestored {
            revision: snapshot.revision,
            endpoints: snapshot.endpoints.len(),
            suspended: snapshot.endpoints.values().filter(|state| state.suspended).count(),
            drained: snapshot.drained,
        });
        self.drained_since = snapshot.drained.then_some(step.now);
        let restored = RestoredEndpoints {
            revision: snapshot.revision,
            states: snapshot.endpoints,
            start_times: snapshot.start_times,
        };
        let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
        let list = self.endpoints.restore(restored, &context, step);
        // The scheduler has to know an endpoint before its past can be restored.
        self.scheduler.step(step.now, &[list], &mut Vec::new());
        self.scheduler.restore(snapshot.scheduler);
        step.events.push(Event::BudgetShare(budget_share));
    }
}
