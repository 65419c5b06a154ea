//! Retry policy: which requests may be retried, at which endpoints, and how many retries the budget allows.

use super::endpoints::Endpoint;
use super::requests::PendingRequest;
use super::times::NANOSECOND;
use crate::interface::{
    DedupScope, Idempotency, Request, RequestClass, RetryBudgetRules, Settings, SharedRules,
};
use crate::measure::SlidingWindow;
use std::time::Duration;

/// Whether the retry budget allows one more retry.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryBudgetDecision {
    /// The budget allows a retry.
    Allowed,
    /// The budget is spent.
    Spent {
        /// When the budget may allow a retry again, where that is known.
        until: Option<Duration>,
    },
}

/// Counts requests and retries within a sliding window. The rules allow a minimum number of retries in the
/// window, and a further number for each request in it.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    /// Counts a new request.
    pub(super) fn record_request(&mut self, now: Duration, rules: &SharedRules) {
        if rules.retry_budget().is_some() {
            self.requests.add(now, 1.0);
        }
    }

    /// Counts an attempt beyond the first.
    pub(super) fn record_retry(&mut self, now: Duration, rules: &SharedRules) {
        if rules.retry_budget().is_some() {
            self.retries.add(now, 1.0);
        }
    }

    /// Decides whether one more retry may be sent now.
    pub(super) fn decide(&mut self, now: Duration, rules: &SharedRules) -> RetryBudgetDecision {
        let Some(RetryBudgetRules { minimum, ratio }) = rules.retry_budget() else {
            return RetryBudgetDecision::Allowed;
        };
        let window = rules.retry_budget_window;
        let since = (now + NANOSECOND).saturating_sub(window);
        let (requests, retries) = (self.requests.prune_and_sum(since), self.retries.prune_and_sum(since));
        if retries + 1.0 <= minimum + ratio * requests {
            return RetryBudgetDecision::Allowed;
        }
        RetryBudgetDecision::Spent { until: self.retries.oldest().map(|at| at + window) }
    }
}

/// Returns the effect of repeating a request: that of its class, unless the request must not run twice.
fn idempotency(request: &Request, class: &RequestClass) -> Idempotency {
    if request.at_most_once {
        Idempotency::NotIdempotent
    } else {
        class.idempotency
    }
}

/// Returns whether a request may be attempted again: it has attempts left, and either a repeat does no harm
/// or no earlier attempt can have run.
pub(super) fn may_attempt_again(pending: &PendingRequest, class: &RequestClass, settings: &Settings) -> bool {
    let never_ran = pending.first_possible_run().is_none();
    let repeatable = never_ran || idempotency(&pending.request, class) != Idempotency::NotIdempotent;
    settings.attempts_left(class, pending.attempts.len()) && repeatable
}

/// Returns whether a request that may have run at `first` may be repeated at `next`, where the repeat either
/// does no harm or is deduplicated.
pub(super) fn repeat_is_safe_at(
    request: &Request,
    class: &RequestClass,
    first: &Endpoint,
    next: &Endpoint,
) -> bool {
    match (idempotency(request, class), class.dedup_scope) {
        (Idempotency::Idempotent, _) | (Idempotency::Keyed, DedupScope::All) => true,
        (Idempotency::Keyed, DedupScope::Zone) => first.zone == next.zone,
        (Idempotency::Keyed, DedupScope::Shard) => first.shard == next.shard,
        (Idempotency::NotIdempotent, _) => false,
    }
}

/// Returns whether a client may be told that it can safely send a request again: a repeat does no harm at any
/// endpoint, or no attempt can have run.
pub(super) fn may_reject(pending: &PendingRequest, class: &RequestClass) -> bool {
    let idempotency = idempotency(&pending.request, class);
    let deduplicated_everywhere = idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
    let never_ran = !pending.is_in_flight() && pending.may_have_run.is_none();
    idempotency == Idempotency::Idempotent || deduplicated_everywhere || never_ran
}
