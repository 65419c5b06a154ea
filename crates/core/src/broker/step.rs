//! The working state of one step of the broker.

use super::effect::Effect;
use crate::interface::{EndpointUpdate, Event};
use crate::operator_event::OperatorEvent;
use std::time::Duration;

/// What the phases of a step collect.
#[derive(Debug)]
pub(super) struct Step {
    /// The time of the step, by the core's clock.
    pub(super) now: Duration,
    /// Events for the scheduler, in order.
    pub(super) events: Vec<Event>,
    /// Effects for the host, in order.
    pub(super) effects: Vec<Effect>,
    /// Whether something changed that may change the advice on endpoints.
    pub(super) review_due: bool,
    /// Whether something changed that peers need to know.
    pub(super) broadcast_due: bool,
}

impl Step {
    pub(super) fn new(now: Duration) -> Self {
        Step { now, events: Vec::new(), effects: Vec::new(), review_due: false, broadcast_due: false }
    }

    pub(super) fn log(&mut self, event: OperatorEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// Returns the endpoint updates that the scheduler is about to receive, in order.
    pub(super) fn endpoint_updates(&self) -> Vec<&EndpointUpdate> {
        let lists = self.events.iter().filter_map(|event| match event {
            Event::EndpointList { updates, .. } => Some(updates),
            _ => None,
        });
        lists.flatten().collect()
    }
}
