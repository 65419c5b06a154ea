//! What happens in a fleet of hollow initiators, in the order of virtual time.

use super::hollow::Part;
use bytes::Bytes;
use std::time::Duration;

/// What happens at an initiator; `boot` names the run of the process, so that none hears what was for an
/// earlier one.
#[derive(Debug)]
pub enum Event {
    /// A datagram is there.
    Datagram { to: usize, from: usize, bytes: Bytes },
    /// A reducer's timer fires, unless it was set anew.
    Wakes { at: usize, boot: u64, part: Part, number: u64 },
    /// The next member is asked.
    Turn { at: usize, boot: u64 },
    /// The asker's frame of an exchange is there, and is answered.
    Asked { to: usize, from: usize, boot: u64, began: Duration, sent: Duration, frame: Vec<u8> },
    /// The answer to an exchange is there, after that round trip.
    Answered { to: usize, boot: u64, trip: Duration, frame: Vec<u8> },
    /// What this process adds to the sums is looked at.
    Adds { at: usize, boot: u64 },
    /// A client asks for something.
    Request { at: usize, boot: u64, number: u64 },
    /// An attempt at an endpoint ended.
    Ended { at: usize, boot: u64, request: u64, number: u8 },
}

/// An event in its turn.
pub struct Entry {
    /// Virtual time since the start, and a number that keeps events of one moment in the order they were made.
    pub at: (Duration, u64),
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
