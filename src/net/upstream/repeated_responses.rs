//! Recognises a response that may be a second copy of the one before it.
//!
//! A response carries no mark of the request that it answers. It is assigned to the one request that is open
//! on its connection, which is wrong if the endpoint sent the response before it a second time, while that
//! request was still on its way. Such a copy is equal to the response before it, byte for byte. So a response
//! that differs from the one before it, or that is the first on its connection, belongs to its request. One
//! that is equal proves nothing: [`RepeatEvidence`](super::repeat_evidence::RepeatEvidence) decides about it.

use std::fmt;
use xxhash_rust::xxh3::{xxh3_64, Xxh3};

/// The number of bytes at the start of a response that are compared with the response before it.
const COMPARED_BYTES: usize = 16 * 1024;
/// The number of bytes at the start of a response that are kept, to tell as soon as the next one differs.
const BEGINNING_BYTES: usize = 256;

/// What identifies a request as far as its response may depend on it, from the head of the request.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct RequestIdentity {
    /// Stands for the method, the path and the query.
    pub target: u64,
    /// Stands for the method and the first segment of the path, which is the class of the request.
    pub class: u64,
}

impl RequestIdentity {
    /// Returns the identity of the request that begins with `head`.
    pub fn from_head(head: &[u8]) -> Self {
        let line = head.split(|byte| *byte == b'\r').next().unwrap_or_default();
        let target_end = line.iter().rposition(|byte| *byte == b' ').unwrap_or(line.len());
        let target = &line[..target_end];
        let mut slashes = target.iter().enumerate().filter(|(_, byte)| **byte == b'/');
        let class_end = slashes.nth(1).map_or(target.len(), |(index, _)| index);
        RequestIdentity { target: xxh3_64(target), class: xxh3_64(&target[..class_end]) }
    }
}

/// Compares each response on a connection with the one before it while it is received.
#[derive(Default)]
pub struct ResponseComparison {
    previous: Option<RecordedResponse>,
    /// The first [`BEGINNING_BYTES`] of the present response.
    beginning: Vec<u8>,
    hasher: Box<Xxh3>,
    /// The number of bytes of the present response that have been compared.
    compared: usize,
    /// Stands for the compared bytes, once all of them have been received.
    fingerprint: Option<u64>,
}

/// What is kept of the response before the present one.
struct RecordedResponse {
    beginning: Vec<u8>,
    fingerprint: u64,
}

/// The result of a comparison.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Comparison {
    /// There is no response before this one on its connection.
    First {
        /// Stands for the compared bytes.
        fingerprint: u64,
    },
    /// The response differs from the one before it.
    Different,
    /// The response is equal to the one before it.
    Equal,
}

impl ResponseComparison {
    /// Starts the next response. The present one becomes the one before it.
    pub fn next_response(&mut self) {
        let beginning = std::mem::take(&mut self.beginning);
        self.previous =
            self.fingerprint.take().map(|fingerprint| RecordedResponse { beginning, fingerprint });
        self.hasher.reset();
        self.compared = 0;
    }

    /// Adds received bytes. Returns the result once, when the last of the compared bytes or the end of the
    /// response has been received.
    pub fn add(&mut self, bytes: &[u8], is_end: bool) -> Option<Comparison> {
        if self.fingerprint.is_some() {
            return None;
        }
        let bytes = &bytes[..bytes.len().min(COMPARED_BYTES - self.compared)];
        let missing = BEGINNING_BYTES - self.beginning.len();
        self.beginning.extend_from_slice(&bytes[..bytes.len().min(missing)]);
        self.hasher.update(bytes);
        self.compared += bytes.len();
        if !is_end && self.compared < COMPARED_BYTES {
            return None;
        }
        let fingerprint = self.hasher.digest();
        self.fingerprint = Some(fingerprint);
        Some(match &self.previous {
            None => Comparison::First { fingerprint },
            Some(previous) if previous.fingerprint == fingerprint => Comparison::Equal,
            Some(_) => Comparison::Different,
        })
    }

    /// Returns whether the bytes received so far are equal to those of the response before, and bytes that
    /// differ may still follow.
    pub fn is_undecided(&self) -> bool {
        let is_equal_so_far =
            self.previous.as_ref().is_some_and(|previous| previous.beginning.starts_with(&self.beginning));
        self.fingerprint.is_none() && is_equal_so_far
    }
}

impl fmt::Debug for ResponseComparison {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.debug_struct("ResponseComparison").field("compared", &self.compared).finish_non_exhaustive()
    }
}
