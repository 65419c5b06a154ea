//! A token bucket that loses and gains nothing by rounding.

use std::time::Duration;

/// Tokens are counted in billionths, as time is counted in nanoseconds.
const BILLIONTHS: i128 = 1_000_000_000;

/// What may be spent of one amount, units or bytes.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Budget {
    /// Tokens a second; 0: no limit.
    rate: u64,
    max_billionths: i128,
    /// Below 0 after a task that is larger than the bucket.
    billionths: i128,
    updated_at: Duration,
}

impl Budget {
    /// A full bucket that holds the tokens of `burst`.
    pub fn new(rate: u64, burst: Duration, now: Duration) -> Self {
        let max_billionths = i128::from(rate) * burst.as_nanos() as i128;
        Budget { rate, max_billionths, billionths: max_billionths, updated_at: now }
    }

    pub fn refill(&mut self, now: Duration) {
        let elapsed_ns = now.saturating_sub(self.updated_at).as_nanos() as i128;
        self.billionths = (self.billionths + i128::from(self.rate) * elapsed_ns).min(self.max_billionths);
        self.updated_at = self.updated_at.max(now);
    }

    /// When an amount may be spent. One larger than the bucket waits until that is full.
    pub fn available_at(&self, amount: u64, now: Duration) -> Duration {
        if self.rate == 0 {
            return now;
        }
        let needed = (i128::from(amount) * BILLIONTHS).min(self.max_billionths.max(1));
        let missing = (needed - self.billionths).max(0) as u128;
        let wait_ns = missing.div_ceil(u128::from(self.rate)).min(u128::from(u64::MAX)) as u64;
        now + Duration::from_nanos(wait_ns)
    }

    pub fn spend(&mut self, amount: u64) {
        if self.rate > 0 {
            self.billionths -= i128::from(amount) * BILLIONTHS;
        }
    }

    pub fn refund(&mut self, amount: u64) {
        self.billionths = (self.billionths + i128::from(amount) * BILLIONTHS).min(self.max_billionths);
    }
}
