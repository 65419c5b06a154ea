//! Arithmetic of rates, windows, backoff and repeatable random numbers, with no decision in it.

mod decaying_rate;
mod sliding_window;
mod token_bucket;

pub(crate) use decaying_rate::{DecayingRate, DecayingRatio};
pub(crate) use sliding_window::SlidingWindow;
pub(crate) use token_bucket::TokenBucket;

use std::time::Duration;

/// A span in nanoseconds.
pub(crate) fn nanos(span: Duration) -> f64 {
    span.as_nanos() as f64
}

/// A span in seconds.
pub(crate) fn seconds(span: Duration) -> f64 {
    nanos(span) / 1e9
}

/// A span of so many nanoseconds; negative figures give an empty one.
pub(crate) fn from_nanos(nanos: f64) -> Duration {
    Duration::from_nanos(nanos as u64)
}

/// Splitmix64's output function: spreads a number over all 64 bits, the same way at every call.
pub(crate) fn splitmix64(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// The pause after so many failures in a row: `first`, doubled with each further one, at most `max`.
pub(crate) fn backoff(first: Duration, max: Duration, failures: u32) -> Duration {
    first.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1)).min(max)
}
