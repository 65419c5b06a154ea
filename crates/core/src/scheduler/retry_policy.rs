//! Retry policy: which requests may be attempted again, where, and how many attempts beyond the first are allowed.

use super::endpoints::Endpoint;
use super::requests::PendingRequest;
use super::times::NANOSECOND;
use crate::interface::{DedupScope, Idempotency, RequestClass, RetryBudgetRules, Settings, SharedRules};
use crate::measure::SlidingWindow;
use std::time::Duration;

/// What the retry budget says to one more attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum RetryBudgetDecision {
    Allowed,
    /// It is spent; more may be there at that time, where that is known.
    Spent {
        until: Option<Duration>,
    },
}

/// Counts requests and retries: the rules allow so many retries within a window, and so many for each request in it.
#[derive(Clone, Debug, Default)]
pub(super) struct RetryBudget {
    requests: SlidingWindow,
    retries: SlidingWindow,
}

impl RetryBudget {
    pub(super) fn record_request(&mut self, now: Duration, rules: &SharedRules) {
        if rules.retry_budget().is_some() {
            self.requests.add(now, 1.0);
        }
    }

    pub(super) fn record_retry(&mut self, now: Duration, rules: &SharedRules) {
        if rules.retry_budget().is_some() {
            self.retries.add(now, 1.0);
        }
    }

    /// Whether one more retry may be sent now.
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

/// A request may have another attempt: its number is not used up, and a repeat does no harm or nothing of it ran.
pub(super) fn may_attempt_again(pending: &PendingRequest, class: &RequestClass, settings: &Settings) -> bool {
    let never_ran = pending.first_possible_run().is_none();
    let repeatable = never_ran || class.idempotency != Idempotency::NotIdempotent;
    settings.attempts_left(class, pending.attempts.len()) && repeatable
}

/// A request that may have run at `first` may go to `next`: a repeat does no harm there, or is dropped.
pub(super) fn repeat_is_safe_at(class: &RequestClass, first: &Endpoint, next: &Endpoint) -> bool {
    match (class.idempotency, class.dedup_scope) {
        (Idempotency::Idempotent, _) | (Idempotency::Keyed, DedupScope::All) => true,
        (Idempotency::Keyed, DedupScope::Zone) => first.zone == next.zone,
        (Idempotency::Keyed, DedupScope::Shard) => first.shard == next.shard,
        (Idempotency::NotIdempotent, _) => false,
    }
}

/// A client may be told that it can safely come again: a repeat does no harm wherever it goes, or nothing ran.
pub(super) fn may_reject(pending: &PendingRequest, class: &RequestClass) -> bool {
    let deduplicated_everywhere =
        class.idempotency == Idempotency::Keyed && class.dedup_scope == DedupScope::All;
    let never_ran = !pending.is_in_flight() && pending.may_have_run.is_none();
    class.idempotency == Idempotency::Idempotent || deduplicated_everywhere || never_ran
}
