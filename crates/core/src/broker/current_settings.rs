//! The settings in force, and the lookup of classes and plans by name across changes of settings.

use crate::interface::{Event, Idempotency, RequestClass, Settings};
use std::rc::Rc;
use std::time::Duration;

/// How long after a change of settings the classes that it dropped are still accepted: clients learn of new
/// settings later than this initiator.
const RETIRED_CLASS_GRACE_PERIOD: Duration = Duration::from_secs(5);

/// The settings in force, with the classes and plans that only earlier settings had, retired.
#[derive(Debug)]
pub(super) struct CurrentSettings {
    current: Rc<Settings>,
    changed_at: Option<Duration>,
}

impl CurrentSettings {
    pub(super) fn new(settings: Settings) -> Self {
        CurrentSettings { current: Rc::new(settings), changed_at: None }
    }

    pub(super) fn get(&self) -> &Rc<Settings> {
        &self.current
    }

    /// Returns the names of all classes by number, retired ones included.
    pub(super) fn class_names(&self) -> impl Iterator<Item = &String> {
        self.current.classes.iter().map(|class| &class.name)
    }

    /// Applies new settings and returns the event for the scheduler. Numbers of classes and plans keep their
    /// meaning.
    pub(super) fn change(&mut self, settings: Settings, now: Duration) -> Event {
        let settings = settings.replacing(&self.current);
        self.current = Rc::new(settings.clone());
        self.changed_at = Some(now);
        Event::Settings(Box::new(settings))
    }

    /// Returns the number of the class of that name: the current class, else for
    /// [`RETIRED_CLASS_GRACE_PERIOD`] the last one that was retired. A request without a key belongs to no
    /// class that requires idempotency keys.
    pub(super) fn class(&self, name: &str, has_key: bool, now: Duration) -> Option<u16> {
        let accepts = |class: &RequestClass| has_key || class.idempotency != Idempotency::Keyed;
        let matches = |class: &RequestClass| class.name == name && accepts(class);
        let candidates = || self.current.classes.iter().enumerate().filter(|(_, class)| matches(class));
        let current = candidates().find(|(_, class)| !class.retired);
        let retired_accepted =
            self.changed_at.is_some_and(|changed| now < changed + RETIRED_CLASS_GRACE_PERIOD);
        let found = current.or_else(|| candidates().next_back().filter(|_| retired_accepted));
        found.map(|(number, _)| number as u16)
    }

    /// Returns the number of the plan of that name: the current plan, else the last one that was retired.
    pub(super) fn plan(&self, name: &str) -> Option<u16> {
        let candidates = || self.current.plans.iter().enumerate().filter(|(_, plan)| plan.name == name);
        let current = candidates().find(|(_, plan)| !plan.retired);
        current.or_else(|| candidates().next_back()).map(|(number, _)| number as u16)
    }
}
