//! Converts scheduler actions to the records of a reply frame.

use crate::interface::Action;
use std::time::Duration;

/// The size of an action record in bytes.
const ACTION_BYTES: usize = 24;
/// The size of a reply frame's header in bytes: the record count and the frame length.
const HEADER_BYTES: usize = 8;

/// A reply frame under construction.
#[derive(Default)]
pub(super) struct ReplyFrame {
    records: Vec<u8>,
    tail: Vec<u8>,
}

impl ReplyFrame {
    /// Appends an action of an instance.
    pub fn push(&mut self, instance: u16, action: &Action) {
        let mut record = [0u8; ACTION_BYTES];
        let mut put = |at: usize, bytes: &[u8]| record[at..at + bytes.len()].copy_from_slice(bytes);
        put(1, &instance.to_le_bytes());
        match action {
            Action::Send { request, endpoint, timeout } => {
                put(0, &[1]);
                put(3, &request.to_le_bytes());
                put(11, &nanos(*timeout));
                put(19, &endpoint.to_le_bytes());
            }
            Action::Reject { request, retry_after } => {
                put(0, &[2]);
                put(3, &request.to_le_bytes());
                put(11, &nanos(*retry_after));
            }
            Action::Fail { request } => {
                put(0, &[3]);
                put(3, &request.to_le_bytes());
            }
            Action::Cancel { request, number } => {
                put(0, &[4]);
                put(3, &request.to_le_bytes());
                put(11, &[*number]);
            }
            Action::SetTimer(at) => {
                put(0, &[5]);
                put(11, &nanos(*at));
            }
            Action::HealthCheck(endpoint) => {
                put(0, &[6]);
                put(3, &endpoint.to_le_bytes());
            }
            Action::CloseIdle(endpoint) => {
                put(0, &[7]);
                put(3, &endpoint.to_le_bytes());
            }
            Action::SendPeerMessage { to, bytes } => {
                put(0, &[8]);
                put(3, &to.unwrap_or(u16::MAX).to_le_bytes());
                put(5, &append(&mut self.tail, bytes));
            }
            Action::Log(line) => {
                put(0, &[9]);
                put(3, &append(&mut self.tail, line.as_bytes()));
            }
            Action::WatchEndpointList(on) => {
                put(0, &[11]);
                put(3, &[u8::from(*on)]);
            }
            Action::FetchEndpointList => put(0, &[12]),
        }
        self.records.extend_from_slice(&record);
    }

    /// Returns the complete frame: the record count, the length, the records and the tail.
    pub fn finish(self) -> Vec<u8> {
        let length = HEADER_BYTES + self.records.len() + self.tail.len();
        let mut out = Vec::with_capacity(length);
        out.extend_from_slice(&((self.records.len() / ACTION_BYTES) as u32).to_le_bytes());
        out.extend_from_slice(&(length as u32).to_le_bytes());
        out.extend_from_slice(&self.records);
        out.extend_from_slice(&self.tail);
        out
    }
}

/// Encodes a duration in nanoseconds. Durations that do not fit are encoded as `u64::MAX`.
fn nanos(duration: Duration) -> [u8; 8] {
    u64::try_from(duration.as_nanos()).unwrap_or(u64::MAX).to_le_bytes()
}

/// Appends bytes to the tail. Returns the field that refers to them: their offset and length.
fn append(tail: &mut Vec<u8>, bytes: &[u8]) -> [u8; 8] {
    let mut field = [0; 8];
    field[..4].copy_from_slice(&(tail.len() as u32).to_le_bytes());
    field[4..].copy_from_slice(&(bytes.len() as u32).to_le_bytes());
    tail.extend_from_slice(bytes);
    field
}
