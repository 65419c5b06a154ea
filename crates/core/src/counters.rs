//! Counters of requests by class and of attempts by outcome since the process started, and the schedule on
//! which they are logged.

use crate::outcome::TransportOutcome;
use std::collections::BTreeMap;
use std::time::Duration;

/// The interval at which the counters are logged while the broker has inputs to handle.
const LOG_INTERVAL: Duration = Duration::from_secs(10);

/// Counters of the requests of one class, by their outcome.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct RequestCounters {
    /// Requests that arrived.
    pub taken: u64,
    /// Requests that were served.
    pub served: u64,
    /// The units of the served requests.
    pub units: f64,
    /// Requests that were rejected.
    pub rejected: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Requests whose client left before the final answer.
    pub client_left: u64,
}

/// The counters of one class.
#[derive(Clone, Debug, PartialEq)]
pub struct ClassCounters {
    /// The name of the class.
    pub class: String,
    /// The counters of the requests of the class.
    pub requests: RequestCounters,
}

/// All counters since the process started.
#[derive(Clone, Debug)]
pub(crate) struct Counters {
    by_class: Vec<ClassCounters>,
    by_outcome: BTreeMap<String, u64>,
    logged_at: Duration,
}

impl Counters {
    /// Creates counters without any class.
    pub(crate) fn new(now: Duration) -> Self {
        Counters { by_class: Vec::new(), by_outcome: BTreeMap::new(), logged_at: now }
    }

    /// Adds a counter for each class that has none. `names` are all classes by number; class numbers are
    /// never reused, so the classes that already have a counter come first.
    pub(crate) fn extend_classes<'a>(&mut self, names: impl Iterator<Item = &'a String>) {
        let new = names.skip(self.by_class.len());
        self.by_class.extend(
            new.map(|name| ClassCounters { class: name.clone(), requests: RequestCounters::default() }),
        );
    }

    /// Applies `change` to the counters of the class of that number.
    pub(crate) fn count(&mut self, class: u16, change: impl FnOnce(&mut RequestCounters)) {
        if let Some(counters) = self.by_class.get_mut(class as usize) {
            change(&mut counters.requests);
        }
    }

    /// Counts an ended attempt.
    pub(crate) fn count_attempt(&mut self, outcome: TransportOutcome) {
        *self.by_outcome.entry(format!("{outcome:?}")).or_default() += 1;
    }

    /// Returns the request counters, indexed by class number.
    pub(crate) fn by_class(&self) -> &[ClassCounters] {
        &self.by_class
    }

    /// Returns the number of ended attempts, by the name of their outcome.
    pub(crate) fn by_outcome(&self) -> &BTreeMap<String, u64> {
        &self.by_outcome
    }

    /// Returns whether the counters are due to be logged. If so, they are next due one interval from now.
    pub(crate) fn take_log_due(&mut self, now: Duration) -> bool {
        let due = now >= self.logged_at + LOG_INTERVAL;
        if due {
            self.logged_at = now;
        }
        due
    }
}
