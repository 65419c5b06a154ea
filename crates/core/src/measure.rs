//! Arithmetic that `choice.rs` uses; nothing is decided or tuned here.

use serde::{Deserialize, Serialize};
use std::collections::VecDeque;
use std::time::Duration;

/// Units that come in at a rate, up to a cap.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Bucket {
    pub(crate) tokens: f64,
    pub(crate) at: Duration,
}

impl Bucket {
    pub(crate) fn fill(&mut self, now: Duration, rate: f64, cap: f64) -> f64 {
        self.tokens = (self.tokens + rate * seconds(now.saturating_sub(self.at))).min(cap);
        self.at = now;
        self.tokens
    }
}

/// A rate that forgets over a span.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Rate {
    pub(crate) value: f64,
    pub(crate) at: Duration,
}

impl Rate {
    pub(crate) fn get(&self, now: Duration, span: Duration) -> f64 {
        self.value * (-seconds(now.saturating_sub(self.at)) / seconds(span)).exp()
    }
    pub(crate) fn add(&mut self, now: Duration, units: f64, span: Duration) {
        self.value = self.get(now, span) + units / seconds(span);
        self.at = now;
    }
}

/// Which part of what happens is of one sort, over a span; less while little happens.
#[derive(Clone, Debug, Default)]
pub(crate) struct Part {
    some: Rate,
    all: Rate,
}

impl Part {
    pub(crate) fn add(&mut self, now: Duration, of_it: bool, span: Duration) {
        self.some.add(now, f64::from(u8::from(of_it)), span);
        self.all.add(now, 1.0, span);
    }

    pub(crate) fn get(&self, now: Duration, span: Duration) -> f64 {
        self.some.get(now, span) / (self.all.get(now, span) + 1.0)
    }
}

/// Amounts with their times, oldest first.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Recent(VecDeque<(Duration, f64)>);

impl Recent {
    pub(crate) fn add(&mut self, now: Duration, amount: f64) {
        self.0.push_back((now, amount));
    }

    /// Their sum from then on.
    pub(crate) fn sum(&self, from: Duration) -> f64 {
        self.0.iter().rev().take_while(|a| a.0 >= from).map(|a| a.1).sum()
    }

    /// The same, forgetting older ones.
    pub(crate) fn since(&mut self, from: Duration) -> f64 {
        while self.0.front().is_some_and(|a| a.0 < from) {
            self.0.pop_front();
        }
        self.sum(from)
    }

    pub(crate) fn first(&self) -> Option<Duration> {
        self.0.front().map(|a| a.0)
    }

    pub(crate) fn clear(&mut self) {
        self.0.clear();
    }
}

pub(crate) fn nanos(span: Duration) -> f64 {
    span.as_nanos() as f64
}

pub(crate) fn seconds(span: Duration) -> f64 {
    nanos(span) / 1e9
}

/// From nanoseconds; below nothing is nothing.
pub(crate) fn span_of(nanos: f64) -> Duration {
    Duration::from_nanos(nanos as u64)
}

/// A number that looks random, always the same for the same one.
pub(crate) fn scramble(number: u64) -> u64 {
    let mut z = number.wrapping_mul(0x9e37_79b9_7f4a_7c15);
    z = (z ^ (z >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    z = (z ^ (z >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    z ^ (z >> 31)
}

/// Doubles with each failure, from the first to the top.
pub(crate) fn backoff(first: Duration, top: Duration, failures: u32) -> Duration {
    first.saturating_mul(1 << failures.clamp(1, 16).saturating_sub(1)).min(top)
}
