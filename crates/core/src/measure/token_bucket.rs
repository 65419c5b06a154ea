//! Token bucket: units that come in at a rate, up to a capacity.

use super::seconds;
use serde::{Deserialize, Serialize};
use std::time::Duration;

/// Units at hand; below zero where more was taken than there was.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct TokenBucket {
    pub(crate) tokens: f64,
    /// When it was last refilled.
    #[serde(rename = "at")]
    pub(crate) refilled_at: Duration,
}

impl TokenBucket {
    /// A bucket that holds so many tokens at that time.
    pub(crate) fn holding(tokens: f64, at: Duration) -> Self {
        TokenBucket { tokens, refilled_at: at }
    }

    /// Adds what came in since the last refill, at `rate` units a second, and returns what is there now.
    pub(crate) fn refill(&mut self, now: Duration, rate: f64, capacity: f64) -> f64 {
        self.tokens = (self.tokens + rate * seconds(now.saturating_sub(self.refilled_at))).min(capacity);
        self.refilled_at = now;
        self.tokens
    }

    /// Keeps only this part of what it holds; a debt stays whole.
    pub(crate) fn scale(&mut self, part: f64) {
        self.tokens *= if self.tokens > 0.0 { part } else { 1.0 };
    }
}
