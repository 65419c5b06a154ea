//! Token bucket: tokens that refill at a rate, up to a capacity.

use super::seconds;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Tokens that are available; fewer than zero where more were taken than the bucket held.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    /// When the bucket was last refilled.
    #[serde(rename = "at")]
    pub(crate) refilled_at: Duration,
}

impl TokenBucket {
    /// Creates a bucket that holds a number of tokens at a time.
    pub(crate) fn holding(tokens: f64, at: Duration) -> Self {
        TokenBucket { tokens, refilled_at: at }
    }

    /// Adds the tokens since the last refill, at `rate` per second, and returns how many the bucket holds.
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * seconds(now.saturating_sub(self.refilled_at))).min(capacity);
        self.refilled_at = now;
        self.tokens
    }

    /// Multiplies the tokens by a factor. A debt is not scaled.
    pub(crate) fn scale(&mut self, factor: f64) {
        self.tokens *= if self.tokens > 0.0 { factor } else { 1.0 };
    }
}
