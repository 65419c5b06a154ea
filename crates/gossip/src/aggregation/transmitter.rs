//! Sequence numbers, random delays and byte limits of the aggregation messages.

use super::wire::{encoded_len, Message};
use crate::rate_limiter::RateLimiter;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// Bytes per second that are sent to owners, headers included. The burst is as many bytes.
pub const OWNER_BYTES_PER_SECOND: f64 = 8_000.0;
/// Bytes per second of answers, headers included. The burst is as many bytes. Answers are the first messages
/// to be left out.
pub const ANSWER_BYTES_PER_SECOND: f64 = 12_000.0;
/// The bytes of a datagram besides its message: the IPv4 and UDP headers (28), and the gossip header and the
/// sender (28).
pub const DATAGRAM_OVERHEAD_BYTES: usize = 56;
/// The upper bound of the random delay of a round, which keeps processes from sending in lockstep.
const MAX_JITTER: Duration = Duration::from_millis(100);

/// Numbers the messages of this process, and limits their bytes.
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

    /// Returns a random delay below [`MAX_JITTER`].
    pub(super) fn jitter(&mut self) -> Duration {
        self.rng.random_range(Duration::ZERO..MAX_JITTER)
    }

    pub(super) fn next_sequence(&mut self) -> u32 {
        self.sequence = self.sequence.saturating_add(1);
        self.sequence
    }

    /// Returns whether a message may be sent to an owner, and if so takes its bytes from the limiter.
    pub(super) fn try_send_to_owner(&mut self, now: Duration, message: &Message) -> bool {
        self.to_owners.try_acquire(now, DATAGRAM_OVERHEAD_BYTES + encoded_len(message))
    }

    /// Returns whether an answer may be sent, and if so takes its bytes from the limiter.
    pub(super) fn try_answer(&mut self, now: Duration, answer: &Message) -> bool {
        self.answers.try_acquire(now, DATAGRAM_OVERHEAD_BYTES + encoded_len(answer))
    }
}
