//! Events in a fleet of hollow initiators, ordered by virtual time.

use super::hollow::Reducer;
use bytes::Bytes;
use std::time::Duration;

/// An event at an initiator. `generation` identifies a run of the process, so that a process does not receive
/// events of an earlier one.
#[derive(Debug)]
pub enum Event {
    /// A datagram arrives.
    Datagram { to: usize, from: usize, bytes: Bytes },
    /// A reducer's timer fires, unless it was set again.
    TimerFired { at: usize, generation: u64, reducer: Reducer, number: u64 },
    /// The next exchange with a member is due.
    ExchangeDue { at: usize, generation: u64 },
    /// The first frame of an exchange arrives and is answered.
    ExchangeRequest {
        to: usize,
        from: usize,
        generation: u64,
        started: Duration,
        sent: Duration,
        frame: Vec<u8>,
    },
    /// The answer to an exchange arrives after this round trip.
    ExchangeReply { to: usize, generation: u64, round_trip: Duration, frame: Vec<u8> },
    /// The process updates its contribution to the sums.
    ContributionDue { at: usize, generation: u64 },
    /// A client sends a request.
    RequestDue { at: usize, generation: u64, number: u64 },
    /// An attempt at an endpoint ends.
    AttemptEnded { at: usize, generation: u64, request: u64, number: u8 },
}

/// An event in the queue.
pub struct Entry {
    /// Virtual time since the start, and a sequence number that keeps events of the same time in the order in
    /// which they were scheduled.
    pub at: (Duration, u64),
    /// The event.
    pub event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.at == other.at
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.at.cmp(&other.at)
    }
}
