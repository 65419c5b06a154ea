//! One step of the broker in progress.

use super::effect::Effect;
use crate::interface::{EndpointUpdate, Event};
use crate::operator_event::OperatorEvent;
use std::time::Duration;

/// What a step gathers on its way through the phases.
#[derive(Debug)]
pub(super) struct Step {
    /// The step's time, by the core's clock.
    pub(super) now: Duration,
    /// For the scheduler, in order.
    pub(super) events: Vec<Event>,
    /// For the host, in order.
    pub(super) effects: Vec<Effect>,
    /// Something changed that may change the advice on endpoints.
    pub(super) review_due: bool,
    /// Something changed that peers are to know.
    pub(super) broadcast_due: bool,
}

impl Step {
    pub(super) fn new(now: Duration) -> Self {
        Step { now, events: Vec::new(), effects: Vec::new(), review_due: false, broadcast_due: false }
    }

    pub(super) fn log(&mut self, event: OperatorEvent) {
        self.effects.push(Effect::Log(event));
    }

    /// The endpoint updates that the scheduler is about to get, in order.
    pub(super) fn endpoint_updates(&self) -> Vec<&EndpointUpdate> {
        let lists = self.events.iter().filter_map(|event| match event {
            Event::EndpointList { lines, .. } => Some(lines),
            _ => None,
        });
        lists.flatten().collect()
    }
}
