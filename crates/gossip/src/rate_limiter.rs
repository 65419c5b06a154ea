//! A token bucket on the caller's clock, which limits the rate of sent bytes and of received datagrams.

use std::time::Duration;

/// A token bucket. The caller decides what a token stands for: a byte or a datagram.
#[derive(Clone, Copy, Debug)]
pub struct RateLimiter {
    tokens_per_second: f64,
    burst: f64,
    available: f64,
    refilled_at: Duration,
}

impl RateLimiter {
    /// Creates a full bucket that refills at `tokens_per_second` and holds at most `burst` tokens.
    pub fn new(tokens_per_second: f64, burst: f64, now: Duration) -> Self {
        RateLimiter { tokens_per_second, burst, available: burst, refilled_at: now }
    }

    fn refill(&mut self, now: Duration) {
        let elapsed = now.saturating_sub(self.refilled_at).as_secs_f64();
        self.available = (self.available + elapsed * self.tokens_per_second).min(self.burst);
        self.refilled_at = self.refilled_at.max(now);
    }

    /// Takes `tokens` if all of them are available, and returns whether they were.
    pub fn try_acquire(&mut self, now: Duration, tokens: usize) -> bool {
        self.refill(now);
        let enough = self.available >= tokens as f64;
        if enough {
            self.available -= tokens as f64;
        }
        enough
    }

    /// Returns the number of whole tokens that are available.
    pub fn available(&mut self, now: Duration) -> usize {
        self.refill(now);
        self.available as usize
    }

    /// Returns when `tokens` will be available if none are taken until then. For more tokens than the burst,
    /// returns when the bucket will be full.
    pub fn available_at(&mut self, now: Duration, tokens: usize) -> Duration {
        self.refill(now);
        let missing = (tokens as f64).min(self.burst) - self.available;
        now + Duration::from_secs_f64((missing / self.tokens_per_second).max(0.0))
    }
}
