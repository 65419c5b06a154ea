//! Decides whether a response that is equal to the one before it on its connection is served.
//!
//! Equal responses are usual for some requests, for example confirmations of writes. For others they only
//! occur if an endpoint sends a second copy. The two cases differ in what follows: the response that a copy
//! was taken for is still to come. So such a response is held until another one follows, or for a while. What
//! the held responses turned out to be is the evidence for the next ones.

use super::repeated_responses::{Comparison, RequestIdentity};
use std::cell::RefCell;
use std::collections::HashMap;

/// The number of differing responses from which on equal ones are unusual.
const MANY_DIFFERING: u32 = 8;
/// How many held responses must not have been copies before equal ones are served, where they are unusual.
const EVIDENCE_WHERE_UNUSUAL: u32 = 3;

/// Two requests in succession on one connection, as far as equal responses to both are usual or not.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct RequestPair {
    /// The class of the second request.
    class: u64,
    /// Whether both requests have the same target.
    same_target: bool,
}

impl RequestPair {
    /// Returns the pair of a request and the one before it on its connection.
    pub fn new(previous: RequestIdentity, request: RequestIdentity) -> Self {
        RequestPair { class: request.class, same_target: previous.target == request.target }
    }
}

/// What is known of the responses to one kind of [`RequestPair`].
#[derive(Clone, Copy, Debug, Default)]
struct PairRecord {
    /// Second responses that differed from the first.
    differing: u32,
    /// Held responses that another one followed, which means that they were copies.
    copies: u32,
    /// Held responses that none followed.
    genuine: u32,
}

impl PairRecord {
    /// Returns whether equal responses are known not to be copies.
    fn proves_equal_responses_genuine(&self) -> bool {
        let needed = if self.differing < MANY_DIFFERING { 1 } else { EVIDENCE_WHERE_UNUSUAL };
        self.genuine >= self.copies.saturating_add(needed)
    }
}

/// The evidence from the connections to all endpoints.
#[derive(Debug, Default)]
pub struct RepeatEvidence {
    pairs: RefCell<HashMap<RequestPair, PairRecord>>,
}

impl RepeatEvidence {
    /// Returns whether a response can be served at once. If it can not, it must be held.
    pub fn allows(&self, pair: RequestPair, comparison: Comparison) -> bool {
        let mut pairs = self.pairs.borrow_mut();
        let record = pairs.entry(pair).or_default();
        if comparison == Comparison::Equal {
            return record.proves_equal_responses_genuine();
        }
        record.differing += u32::from(comparison == Comparison::Different);
        true
    }

    /// Records that another response followed a held one.
    pub fn record_copy(&self, pair: RequestPair) {
        self.pairs.borrow_mut().entry(pair).or_default().copies += 1;
    }

    /// Records that none followed a held response. Returns whether it can be served now.
    pub fn record_genuine(&self, pair: RequestPair) -> bool {
        let mut pairs = self.pairs.borrow_mut();
        let record = pairs.entry(pair).or_default();
        record.genuine += 1;
        record.proves_equal_responses_genuine()
    }
}
