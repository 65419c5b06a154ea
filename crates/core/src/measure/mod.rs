//! Measurement primitives: rates, sliding windows, token buckets, backoff and hashing. They contain no
//! scheduling rules.

mod decaying_rate;
mod sliding_window;
mod token_bucket;

pub(crate) use decaying_rate::{DecayingRate, DecayingRatio};
pub(crate) use sliding_window::SlidingWindow;
pub(crate) use token_bucket::TokenBucket;

use std::time::Duration;

/// Converts a duration to nanoseconds.
pub(crate) fn nanos(duration: Duration) -> f64 {
    duration.as_nanos() as f64
}

/// Converts a duration to seconds.
pub(crate) fn seconds(duration: Duration) -> f64 {
    nanos(duration) / 1e9
}

/// Converts nanoseconds to a duration. A negative number gives zero.
pub(crate) fn from_nanos(nanos: f64) -> Duration {
    Duration::from_nanos(nanos as u64)
}

/// Hashes a number with the output function of SplitMix64, which is deterministic and spreads over all 64
/// bits.
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Returns the backoff after a number of failures in a row: `first`, doubled with each further failure, at
/// most `max`.
pub(crate) fn backoff(first: Duration, max: Duration, failures: u32) -> Duration {
    first.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1)).min(max)
}
