//! A bound on how much is sent or taken in: a token bucket on the caller's clock.

use std::time::Duration;

/// A token bucket. A token is a byte or a datagram, whatever the caller counts.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    burst: f64,
    available: f64,
    refilled_at: Duration,
}

impl RateLimiter {
    /// A full bucket that refills by `tokens_per_second` and holds `burst` tokens.
    pub fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        RateLimiter { tokens_per_second, burst, available: burst, refilled_at: now }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.tokens_per_second).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes the tokens if all of them are available; whether it did.
    pub fn try_acquire(&mut self, now: Duration, tokens: usize) -> bool {
        self.refill(now);
        let enough = self.available >= tokens as f64;
        if enough {
            self.available -= tokens as f64;
        }
        enough
    }

    /// Whole tokens that are available.
    pub fn available(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.available as usize
    }

    /// When so many tokens will be available if nobody takes any; for more than the burst, when the bucket is full.
    pub fn available_at(&mut self, now: Duration, tokens: usize) -> Duration {
        self.refill(now);
        let missing = (tokens as f64).min(self.burst) - self.available;
        now + Duration::from_secs_f64((missing / self.tokens_per_second).max(0.0))
    }
}
