//! Random numbers from the scheduler's seed alone, so that a run can be repeated.

use crate::measure::splitmix64;
use std::time::Duration;

/// A sequence of random numbers that its seed fixes.
#[derive(Clone, Debug)]
pub(super) struct SeededRandom {
    seed: u64,
    drawn: u64,
}

impl SeededRandom {
    pub(super) fn new(seed: u64) -> Self {
        SeededRandom { seed, drawn: 0 }
    }

    /// A number that is always the same for this seed and this number.
    pub(super) fn hash(&self, number: u64) -> u64 {
        splitmix64(self.seed ^ number)
    }

    /// The next number below `bound`.
    pub(super) fn below(&mut self, bound: u64) -> u64 {
        self.drawn = self.drawn.wrapping_add(1);
        splitmix64(self.seed.wrapping_add(self.drawn)) % bound.max(1)
    }

    /// The next span below `bound`.
    pub(super) fn span_below(&mut self, bound: Duration) -> Duration {
        Duration::from_nanos(self.below(bound.as_nanos() as u64))
    }
}
