//! What all messages of the aggregation share: sequence numbers, random delays, and the bytes that may be sent.

use super::wire::{encoded_len, Message};
use crate::rate_limiter::RateLimiter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Bytes a second that go to owners, and as many at once; headers included.
pub const OWNER_BYTES_PER_SECOND: f64 = 8_000.0;
/// Bytes a second of answers, and as many at once; headers included. Answers are what is left out first.
pub const ANSWER_BYTES_PER_SECOND: f64 = 12_000.0;
/// Bytes of a datagram beside its message: IPv4's and UDP's headers (28 bytes), the gossip header and the sender (28).
pub const DATAGRAM_OVERHEAD_BYTES: usize = 56;
/// Rounds and answers are put off by up to this, at random, so that processes do not run in step.
const MAX_JITTER: Duration = Duration::from_millis(100);

#[derive(Debug)]
pub(super) struct Transmitter {
    rng: StdRng,
    sequence: u32,
    to_owners: RateLimiter,
    answers: RateLimiter,
}

impl Transmitter {
    pub(super) fn new(seed: u64) -> Self {
        let limiter = |rate| RateLimiter::new(rate, rate, Duration::ZERO);
        Transmitter {
            rng: StdRng::seed_from_u64(seed),
            sequence: 0,
            to_owners: limiter(OWNER_BYTES_PER_SECOND),
            answers: limiter(ANSWER_BYTES_PER_SECOND),
        }
    }

    /// A random delay.
    pub(super) fn jitter(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..MAX_JITTER)
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.saturating_add(1);
        self.sequence
    }

    /// Whether a message may go to an owner; its bytes are taken then.
    pub(super) fn try_send_to_owner(&mut self, now: Duration, message: &Message) -> bool {
        self.to_owners.try_acquire(now, DATAGRAM_OVERHEAD_BYTES + encoded_len(message))
    }

    /// Whether an answer may be sent; its bytes are taken then.
    pub(super) fn try_answer(&mut self, now: Duration, answer: &Message) -> bool {
        self.answers.try_acquire(now, DATAGRAM_OVERHEAD_BYTES + encoded_len(answer))
    }
}
