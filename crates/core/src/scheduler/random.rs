//! Pseudorandom numbers that depend on the scheduler's seed alone, so that a run can be reproduced.

use crate::measure::splitmix64;
use std::time::Duration;

/// A pseudorandom sequence that is determined by its seed.
#[derive(Clone, Debug)]
pub(super) struct SeededRandom {
    seed: u64,
    /// How many numbers have been drawn.
    drawn: u64,
}

impl SeededRandom {
    pub(super) fn new(seed: u64) -> Self {
        SeededRandom { seed, drawn: 0 }
    }

    /// Returns a hash of a number that depends on nothing else but the seed.
    pub(super) fn hash(&self, number: u64) -> u64 {
        splitmix64(self.seed ^ number)
    }

    /// Draws a number below `bound`.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.drawn = self.drawn.wrapping_add(1);
        splitmix64(self.seed.wrapping_add(self.drawn)) % bound.max(1)
    }

    /// Draws a duration below `bound`.
    pub(super) fn duration_below(&mut self, bound: Duration) -> Duration {
        Duration::from_nanos(self.below(bound.as_nanos() as u64))
    }
}
