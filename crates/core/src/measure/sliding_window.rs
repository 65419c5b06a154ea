//! Sliding window: amounts with timestamps, summed over a recent period.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Amounts with the times at which they were added, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
#[serde(transparent)]
pub(crate) struct SlidingWindow {
    samples: VecDeque<(Duration, f64)>,
}

impl SlidingWindow {
    /// Adds an amount. `now` must not be earlier than that of the last one.
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.samples.push_back((now, amount));
    }

    /// Returns the sum of the amounts that were added at `from` or later.
    pub(crate) fn sum_since(&self, from: Duration) -> f64 {
        let recent = self.samples.iter().rev().take_while(|(at, _)| *at >= from);
        recent.map(|(_, amount)| *amount).sum()
    }

    /// Drops the amounts that were added before `from` and returns the sum of the rest.
    pub(crate) fn prune_and_sum(&mut self, from: Duration) -> f64 {
        while self.samples.front().is_some_and(|(at, _)| *at < from) {
            self.samples.pop_front();
        }
        self.sum_since(from)
    }

    /// Returns when the oldest amount was added.
    pub(crate) fn oldest(&self) -> Option<Duration> {
        self.samples.front().map(|(at, _)| *at)
    }

    /// Drops all amounts.
    pub(crate) fn clear(&mut self) {
        self.samples.clear();
    }
}
