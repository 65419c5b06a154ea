//! Tests of the schedule of list calls, with many initiators that poll one service of fixed capacity.

use shaletack_core::endpoint_list_poll::{CallEnd, EndpointListPoll};
use shaletack_core::interface::{Settings, SharedRules};
use std::collections::VecDeque;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const ZERO: Duration = Duration::ZERO;

fn settings(initiators: u32, endpoint_list_polled: bool) -> Settings {
    let rules = SharedRules { notified_within: 10 * S, ..SharedRules::default() };
    Settings { initiators, endpoint_list_polled, rules, ..Settings::default() }
}

/// Simulates 100 initiators that lose their watches at once. Returns when each has the list again; `None`:
/// not within eight times as long as the service needs to serve all of them once.
///
/// The service serves one call in every `service_time`, in turn, including calls whose caller gave up after 2
/// s. It rejects a call if `queue_limit` calls are queued.
fn recovery_times(service_time: Duration, queue_limit: usize) -> Vec<Option<Duration>> {
    const ABANDONED: usize = usize::MAX;
    let settings = settings(100, true);
    let mut polls: Vec<EndpointListPoll> =
        (0..100).map(|initiator| EndpointListPoll::new(initiator * 7919)).collect();
    let mut next_calls: Vec<Option<Duration>> = polls
        .iter_mut()
        .map(|poll| Some(poll.next_wait(&settings, true, CallEnd::ConnectionLost, ZERO)))
        .collect();
    let (mut queue, mut recovered): (VecDeque<(Duration, usize)>, _) = (VecDeque::new(), vec![None; 100]);
    let (mut now, mut service_free_at) = (Duration::ZERO, Duration::ZERO);
    while now < 800 * service_time {
        now += MS;
        // Callers give up after 2 s; their calls stay in the queue.
        for (called_at, initiator) in
            queue.iter_mut().filter(|(called_at, initiator)| *initiator < 100 && *called_at + 2 * S <= now)
        {
            next_calls[*initiator] =
                Some(now + polls[*initiator].next_wait(&settings, false, CallEnd::Rejected, now));
            (*called_at, *initiator) = (now, ABANDONED);
        }
        if service_free_at <= now {
            if let Some((_, initiator)) = queue.pop_front() {
                service_free_at = now + service_time;
                if initiator < 100 {
                    recovered[initiator] = Some(now);
                }
            }
        }
        for initiator in 0..100 {
            if next_calls[initiator].is_some_and(|at| at <= now) {
                let accepted = queue.len() < queue_limit;
                next_calls[initiator] = (!accepted)
                    .then(|| now + polls[initiator].next_wait(&settings, false, CallEnd::Rejected, now));
                if accepted {
                    queue.push_back((now, initiator));
                }
            }
        }
    }
    recovered
}

/// Most watches of a fleet break at once. If each initiator called again at most 0.5 s after every rejection,
/// the queue of the service would fill with calls whose callers have given up. The service then serves none
/// of 1,900 calls in time in 25 s, although it could serve all initiators once within seconds.
#[test]
fn initiators_that_lose_the_list_together_all_have_it_again() {
    for (service_time, queue_limit) in [(50 * MS, 60), (100 * MS, 40), (200 * MS, 100)] {
        let recovered = recovery_times(service_time, queue_limit);
        let missing = recovered.iter().filter(|at| at.is_none()).count();
        assert_eq!(missing, 0, "{service_time:?} a call, at most {queue_limit} queued: {recovered:?}");
    }
}

/// At the start and after an outage all initiators would call at once unless they spread their calls. The
/// first call must still be made in time.
#[test]
fn first_calls_are_spread_only_where_the_list_is_polled() {
    let first_waits = |settings: &Settings| {
        (0..100).map(|seed| EndpointListPoll::new(seed).first_wait(settings)).collect::<Vec<_>>()
    };
    let waits = first_waits(&settings(100, true));
    let max_calls = (0..20).map(|n| waits.iter().filter(|wait| wait.as_millis() / 100 == n).count()).max();
    assert!(
        waits.iter().all(|wait| *wait <= 10 * S / 4) && max_calls <= Some(15),
        "{max_calls:?} within 100 ms of {waits:?}"
    );
    assert!(
        first_waits(&settings(100, false)).iter().all(Duration::is_zero),
        "a call to an agent on the same host costs nothing"
    );
    assert!(first_waits(&settings(3, true)).iter().all(|wait| *wait <= 60 * MS), "a small fleet calls soon");
}

/// A change counts as notified 6 s after discovery had it and could be reached. If the wait after a rejection
/// grew with the fleet, to 150 s at 300 initiators, a change would be missed for that long. The next call
/// must be in time however the last one ended.
#[test]
fn no_wait_outlasts_the_time_in_which_a_change_counts_as_notified() {
    for initiators in [1, 3, 100, 300] {
        let settings = settings(initiators, true);
        for (end, elapsed_before) in [
            (CallEnd::ConnectionLost, EndpointListPoll::silence_limit()),
            (CallEnd::Rejected, ZERO),
            (CallEnd::TimedOut, EndpointListPoll::call_timeout(&settings)),
        ] {
            let mut poll = EndpointListPoll::new(u64::from(initiators));
            let waits: Vec<Duration> =
                (0..40).map(|_| poll.next_wait(&settings, false, end, 5 * S)).collect();
            let max_elapsed = elapsed_before + *waits.iter().max().unwrap();
            // At least 1.5 s remain for the call that brings the change.
            assert!(max_elapsed <= 4 * S + 500 * MS, "{initiators} initiators, {end:?}: {max_elapsed:?}");
            // The calls of a large fleet are spread.
            let spread = waits.iter().max().unwrap().saturating_sub(*waits[20..].iter().min().unwrap());
            assert!(initiators < 100 || spread >= 400 * MS, "{initiators} initiators, {end:?}: {waits:?}");
        }
    }
}

/// An agent on the same host pushes the list: a watch is opened again at once, and soon even if the agent is
/// down.
#[test]
fn an_agent_that_pushes_the_list_is_called_again_soon() {
    let mut poll = EndpointListPoll::new(1);
    let settings = settings(100, false);
    let waits: Vec<Duration> = (0..6)
        .map(|n| {
            let end = [CallEnd::ConnectionLost, CallEnd::TimedOut][n % 2];
            poll.next_wait(&settings, n == 0, end, ZERO)
        })
        .collect();
    assert!(waits[0] <= 50 * MS && waits.iter().all(|w| *w <= 500 * MS), "{waits:?}");
}
