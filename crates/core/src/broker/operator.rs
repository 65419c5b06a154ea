//! The commands of operators: suspend and resume an endpoint, drain and activate this initiator.

use super::endpoints::UpdateContext;
use super::input::OperatorCommand;
use super::step::Step;
use super::Broker;
use crate::operator_event::OperatorEvent;

impl Broker {
    /// Carries out a command. Commands are idempotent.
    pub(super) fn handle_command(&mut self, command: OperatorCommand, step: &mut Step) {
        step.review_due = true;
        step.broadcast_due = true;
        match command {
            OperatorCommand::Suspend(id) => self.set_suspended(&id, true, step),
            OperatorCommand::Resume(id) => self.set_suspended(&id, false, step),
            OperatorCommand::Drain => {
                if self.drained_since.is_none() {
                    self.drained_since = Some(step.now);
                    step.log(OperatorEvent::ClientsDrained);
                }
            }
            OperatorCommand::Activate => {
                if self.drained_since.take().is_some() {
                    step.log(OperatorEvent::ClientsAccepted);
                }
            }
        }
    }

    fn set_suspended(&mut self, id: &str, suspended: bool, step: &mut Step) {
        let context = UpdateContext::new(self.settings.get(), self.gossip.as_ref());
        self.endpoints.set_suspended(id, suspended, &context, step);
    }
}
