//! Decides whether a response that is equal to the one before it on its connection is served.
//!
//! Equal responses are usual for some requests, for example confirmations of writes. For others they only
//! occur if an endpoint sends a second copy. The two cases differ in what follows: the response that a copy
//! was taken for is still to come. So such a response is held until another one follows, or for a while. What
//! the held responses turned out to be is the evidence for the next ones.

use super::repeated_responses::{Comparison, RequestIdentity};
use std::cell::RefCell;
use std::collections::HashMap;
use std::time::Duration;

/// The number of differing responses from which on equal ones are unusual.
const MANY_DIFFERING: u32 = 8;
/// How many held responses must not have been copies before equal ones are served, where they are unusual.
const EVIDENCE_WHERE_UNUSUAL: u32 = 3;

/// The least time for which a response is held where it is not known whether equal ones are usual.
const MIN_HOLD: Duration = Duration::from_millis(200);
/// The same as a multiple of the longest time that a response to such a request has taken.
const HOLD_RESPONSE_TIMES: u32 = 8;

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
    /// The longest time from a request to the response to it.
    longest_response_time: Duration,
}

impl PairRecord {
    /// Returns whether equal responses are unusual for these requests.
    fn equal_responses_are_unusual(&self) -> bool {
        self.differing >= MANY_DIFFERING
    }

    /// Returns whether equal responses are known not to be copies.
    fn proves_equal_responses_genuine(&self) -> bool {
        let needed = if self.equal_responses_are_unusual() { EVIDENCE_WHERE_UNUSUAL } else { 1 };
        self.genuine >= self.copies.saturating_add(needed)
    }
}

/// The evidence from the connections to all endpoints.
#[derive(Debug, Default)]
pub struct RepeatEvidence {
    pairs: RefCell<HashMap<RequestPair, PairRecord>>,
    /// By class, the last response that was the first on its connection.
    first_responses: RefCell<HashMap<u64, FirstResponse>>,
}

/// A response that was the first on its connection, which is no copy.
#[derive(Clone, Copy, Debug)]
struct FirstResponse {
    target: u64,
    fingerprint: u64,
}

impl RepeatEvidence {
    /// Records a response that took `response_time`. Returns whether it can be served at once; if not, it must
    /// be held.
    pub fn allows(
        &self,
        pair: RequestPair,
        request: RequestIdentity,
        comparison: Comparison,
        response_time: Duration,
    ) -> bool {
        if let Comparison::First { fingerprint } = comparison {
            self.record_first(request, fingerprint);
        }
        let mut pairs = self.pairs.borrow_mut();
        let record = pairs.entry(pair).or_default();
        if comparison == Comparison::Equal {
            return record.proves_equal_responses_genuine();
        }
        record.differing += u32::from(comparison == Comparison::Different);
        record.longest_response_time = record.longest_response_time.max(response_time);
        true
    }

    /// Compares a response that was the first on its connection with the last such one. If they are equal,
    /// endpoints give equal responses to two requests of this kind.
    fn record_first(&self, request: RequestIdentity, fingerprint: u64) {
        let first = FirstResponse { target: request.target, fingerprint };
        let Some(last) = self.first_responses.borrow_mut().insert(request.class, first) else { return };
        if last.fingerprint == fingerprint {
            let pair = RequestPair { class: request.class, same_target: last.target == request.target };
            self.pairs.borrow_mut().entry(pair).or_default().genuine += 1;
        }
    }

    /// Returns for how long to hold a response at most: as long as the response after a copy may take. Where
    /// equal responses are unusual, only the time that the attempt has left limits that.
    pub fn max_hold(&self, pair: RequestPair) -> Duration {
        let record = self.pairs.borrow().get(&pair).copied().unwrap_or_default();
        if record.equal_responses_are_unusual() {
            return Duration::MAX;
        }
        record.longest_response_time.saturating_mul(HOLD_RESPONSE_TIMES).max(MIN_HOLD)
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
