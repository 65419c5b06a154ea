//! The settings in force, and how clients' names of classes and plans are resolved while settings change.

use crate::interface::{Event, Idempotency, RequestClass, Settings};
use std::rc::Rc;
use std::time::Duration;

/// After a change of settings clients use the classes that it dropped for this long: they learn of new settings later
/// than this initiator.
const RETIRED_CLASSES_ACCEPTED: Duration = Duration::from_secs(5);

/// The settings now, with the classes and plans that earlier ones had, retired.
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

    /// The names of all classes, retired ones included, by number.
    pub(super) fn class_names(&self) -> impl Iterator<Item = &String> {
        self.current.classes.iter().map(|class| &class.name)
    }

    /// Takes new settings; numbers of classes and plans that are in use keep their meaning.
    pub(super) fn change(&mut self, settings: Settings, now: Duration) -> Event {
        let settings = settings.replacing(&self.current);
        self.current = Rc::new(settings.clone());
        self.changed_at = Some(now);
        Event::Settings(Box::new(settings))
    }

    /// The number of a class by its name: the current one, else for a while one that newer settings dropped. A request
    /// that carries no key is none of a class with idempotency keys.
    pub(super) fn class(&self, name: &str, has_key: bool, now: Duration) -> Option<u16> {
        let accepts = |class: &RequestClass| has_key || class.idempotency != Idempotency::Keyed;
        let fits = |class: &RequestClass| class.name == name && accepts(class);
        let candidates = || self.current.classes.iter().enumerate().filter(|(_, class)| fits(class));
        let current = candidates().find(|(_, class)| !class.retired);
        let retired_count = self.changed_at.is_some_and(|changed| now < changed + RETIRED_CLASSES_ACCEPTED);
        let found = current.or_else(|| candidates().next_back().filter(|_| retired_count));
        found.map(|(number, _)| number as u16)
    }

    /// The number of a plan by its name: the current one, else the last that newer settings dropped.
    pub(super) fn plan(&self, name: &str) -> Option<u16> {
        let candidates = || self.current.plans.iter().enumerate().filter(|(_, plan)| plan.name == name);
        let current = candidates().find(|(_, plan)| !plan.retired);
        current.or_else(|| candidates().next_back()).map(|(number, _)| number as u16)
    }
}
