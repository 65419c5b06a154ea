//! The state that a process hands over to its successor, and its restoration there.
//!
//! The two processes may run different versions: stored names never change, and fields that older versions
//! did not store have defaults.

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

/// The state that the core hands over to its successor.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct CoreSnapshot {
    revision: u64,
    #[serde(rename = "heard")]
    endpoints: BTreeMap<String, EndpointState>,
    drained: bool,
    #[serde(rename = "learnt")]
    scheduler: SchedulerSnapshot,
    /// When the snapshot was taken, by the core's clock, on which all its other times are based. The first
    /// version did not store the time.
    #[serde(rename = "now", default)]
    taken_at: Option<Duration>,
    #[serde(rename = "starts", default)]
    start_times: StartTimes,
}

impl CoreSnapshot {
    /// Returns the clock of the process that took the snapshot at the instant `taken_at`; `None` if the
    /// snapshot holds no time.
    pub fn clock(&self, taken_at: Instant) -> Option<Clock> {
        self.taken_at.map(|time| Clock::new(taken_at, time))
    }
}

impl Broker {
    /// Takes a snapshot for a process that receives `budget_share` of this process's budgets, from 0 to 1.
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

    /// Restores the state of another process. Its endpoint list is newer than the configured one, and it
    /// holds the operators' commands.
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
        // The scheduler must know an endpoint before the endpoint's state can be restored.
        self.scheduler.step(step.now, &[list], &mut Vec::new());
        self.scheduler.restore(snapshot.scheduler);
        step.events.push(Event::BudgetShare(budget_share));
    }
}
