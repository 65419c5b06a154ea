//! A token bucket without rounding errors.

use std::time::Duration;

/// Tokens are counted in billionths, so that a rate per second times a number of nanoseconds is exact.
const NANOTOKENS_PER_TOKEN: i128 = 1_000_000_000;

/// The budget for one quantity, units or bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Budget {
    /// Tokens per second. 0 means no limit.
    rate: u64,
    capacity_nanotokens: i128,
    /// The fill level. Negative after a task that is larger than the bucket.
    nanotokens: i128,
    updated_at: Duration,
}

impl Budget {
    /// Creates a full bucket, which holds the tokens that accrue during `burst`.
    pub fn new(rate: u64, burst: Duration, now: Duration) -> Self {
        let capacity_nanotokens = i128::from(rate) * burst.as_nanos() as i128;
        Budget { rate, capacity_nanotokens, nanotokens: capacity_nanotokens, updated_at: now }
    }

    pub fn refill(&mut self, now: Duration) {
        let elapsed_ns = now.saturating_sub(self.updated_at).as_nanos() as i128;
        self.nanotokens =
            (self.nanotokens + i128::from(self.rate) * elapsed_ns).min(self.capacity_nanotokens);
        self.updated_at = self.updated_at.max(now);
    }

    /// Returns the earliest time at which an amount may be spent. An amount larger than the bucket has to
    /// wait until the bucket is full.
    pub fn available_at(&self, amount: u64, now: Duration) -> Duration {
        if self.rate == 0 {
            return now;
        }
        let needed = (i128::from(amount) * NANOTOKENS_PER_TOKEN).min(self.capacity_nanotokens.max(1));
        let missing = (needed - self.nanotokens).max(0) as u128;
        let wait_ns = missing.div_ceil(u128::from(self.rate)).min(u128::from(u64::MAX)) as u64;
        now + Duration::from_nanos(wait_ns)
    }

    pub fn spend(&mut self, amount: u64) {
        if self.rate > 0 {
            self.nanotokens -= i128::from(amount) * NANOTOKENS_PER_TOKEN;
        }
    }

    pub fn refund(&mut self, amount: u64) {
        self.nanotokens =
            (self.nanotokens + i128::from(amount) * NANOTOKENS_PER_TOKEN).min(self.capacity_nanotokens);
    }
}
