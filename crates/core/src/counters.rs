//! Counts of requests by class and of attempts by outcome since the start, and when they are logged next.

use crate::outcome::TransportOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// How often the counts go to the log, while the broker has anything to do.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// What became of the requests of one class.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// How many were taken.
    pub taken: u64,
    /// How many were served.
    pub served: u64,
    /// The units of the served ones.
    pub units: f64,
    /// How many were rejected.
    pub rejected: u64,
    /// How many failed.
    pub failed: u64,
    /// How many clients left before their answer.
    pub client_left: u64,
}

/// The counts of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassCounters {
    /// The name of the class.
    pub class: String,
    /// What became of its requests.
    pub requests: RequestCounters,
}

/// All counts since the start.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    by_class: Vec<ClassCounters>,
    by_outcome: BTreeMap<String, u64>,
    logged_at: Duration,
}

impl Counters {
    /// Nothing is counted yet.
    pub(crate) fn new(now: Duration) -> Self {
        Counters { by_class: Vec::new(), by_outcome: BTreeMap::new(), logged_at: now }
    }

    /// Counts these classes as well. Numbers of classes are never given anew: names that are already counted come first.
    pub(crate) fn extend_classes<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        let new = names.skip(self.by_class.len());
        self.by_class.extend(
            new.map(|name| ClassCounters { class: name.clone(), requests: RequestCounters::default() }),
        );
    }

    /// Changes the counts of a class, given by its number.
    pub(crate) fn count(&mut self, class: u16, change: impl FnOnce(&mut RequestCounters)) {
        if let Some(counters) = self.by_class.get_mut(class as usize) {
            change(&mut counters.requests);
        }
    }

    /// Counts the end of an attempt.
    pub(crate) fn count_attempt(&mut self, outcome: TransportOutcome) {
        *self.by_outcome.entry(format!("{outcome:?}")).or_default() += 1;
    }

    /// The counts of requests, by number of their class.
    pub(crate) fn by_class(&self) -> &[ClassCounters] {
        &self.by_class
    }

    /// How many attempts ended in which way, by the outcome's name.
    pub(crate) fn by_outcome(&self) -> &BTreeMap<String, u64> {
        &self.by_outcome
    }

    /// Whether the counts are due to be logged; if so, the next time is one interval from now.
    pub(crate) fn take_log_due(&mut self, now: Duration) -> bool {
        let due = now >= self.logged_at + LOG_INTERVAL;
        if due {
            self.logged_at = now;
        }
        due
    }
}
