//! Many initiators that poll one service of fixed capacity for the list.

use shaletack_core::endpoint_list_poll::{CallEnd, EndpointListPoll};
use shaletack_core::interface::{Settings, SharedRules};
use std::collections::VecDeque;
use std::time::Duration;

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
const ZERO: Duration = Duration::ZERO;

fn settings(hosts: u32, list_on_request: bool) -> Settings {
    let rules = SharedRules { notified_within: 10 * S, ..SharedRules::default() };
    Settings { initiators: hosts, endpoint_list_polled: list_on_request, rules, ..Settings::default() }
}

/// A service serves one call every `each`, in turn, also those whose caller has waited 2 s and gone; it rejects a call that
/// finds `room` calls queued. When each of 100 initiators that lose their watch at once has it back; `None`: not within
/// eight times as long as all of them take.
fn back_after(each: Duration, room: usize) -> Vec<Option<Duration>> {
    let set = settings(100, true);
    let mut polls: Vec<EndpointListPoll> = (0..100).map(|host| EndpointListPoll::new(host * 7919)).collect();
    let mut next: Vec<Option<Duration>> =
        polls.iter_mut().map(|a| Some(a.next_wait(&set, true, CallEnd::ConnectionLost, ZERO))).collect();
    let (mut queue, mut back): (VecDeque<(Duration, usize)>, _) = (VecDeque::new(), vec![None; 100]);
    let (mut now, mut free) = (Duration::ZERO, Duration::ZERO);
    while now < 800 * each {
        now += MS;
        // Callers leave; what they asked for stays in the queue.
        for (at, host) in queue.iter_mut().filter(|(at, host)| *host < 100 && *at + 2 * S <= now) {
            next[*host] = Some(now + polls[*host].next_wait(&set, false, CallEnd::Rejected, now));
            (*at, *host) = (now, usize::MAX);
        }
        if free <= now {
            if let Some((_, host)) = queue.pop_front() {
                free = now + each;
                if host < 100 {
                    back[host] = Some(now);
                }
            }
        }
        for host in 0..100 {
            if next[host].is_some_and(|at| at <= now) {
                let fits = queue.len() < room;
                next[host] =
                    (!fits).then(|| now + polls[host].next_wait(&set, false, CallEnd::Rejected, now));
                if fits {
                    queue.push_back((now, host));
                }
            }
        }
    }
    back
}

/// Most watches of a fleet break at once, and each initiator calls again at most 0.5 s after every rejection. The service's
/// queue is then full of calls that nobody waits for any more, and it serves none of 1,900 calls in time in 25 s, though it
/// could serve all initiators once within seconds.
#[test]
fn initiators_that_lose_the_list_together_all_have_it_again() {
    for (each, room) in [(50 * MS, 60), (100 * MS, 40), (200 * MS, 100)] {
        let back = back_after(each, room);
        let late = back.iter().filter(|at| at.is_none()).count();
        assert_eq!(late, 0, "a call each {each:?}, room for {room}: {back:?}");
    }
}

/// At the start and after a break all would call at once unless they spread; and a first call stays within its time.
#[test]
fn first_calls_are_spread_only_where_the_list_is_polled() {
    let firsts =
        |set: &Settings| (0..100).map(|seed| EndpointListPoll::new(seed).first_wait(set)).collect::<Vec<_>>();
    let spread = firsts(&settings(100, true));
    let most = (0..20).map(|n| spread.iter().filter(|w| w.as_millis() / 100 == n).count()).max();
    assert!(
        spread.iter().all(|w| *w <= 10 * S / 4) && most <= Some(15),
        "{most:?} within 100 ms of {spread:?}"
    );
    assert!(firsts(&settings(100, false)).iter().all(Duration::is_zero), "beside the host it costs nothing");
    assert!(firsts(&settings(3, true)).iter().all(|w| *w <= 60 * MS), "a small fleet starts at once");
}

/// A change counts as notified 6 s after discovery had it and could be reached. If the wait after a rejection grew with the
/// fleet, to 150 s at 300 initiators, the change would be missed for that long. Whatever came before, the next call is in time.
#[test]
fn no_wait_outlasts_the_time_in_which_a_change_counts_as_notified() {
    for hosts in [1, 3, 100, 300] {
        let set = settings(hosts, true);
        for (over, before) in [
            (CallEnd::ConnectionLost, EndpointListPoll::silence_limit()),
            (CallEnd::Rejected, ZERO),
            (CallEnd::TimedOut, EndpointListPoll::call_timeout(&set)),
        ] {
            let mut polls = EndpointListPoll::new(u64::from(hosts));
            let waits: Vec<Duration> = (0..40).map(|_| polls.next_wait(&set, false, over, 5 * S)).collect();
            let most = before + *waits.iter().max().unwrap();
            // At least a second and a half is left for the call that brings it.
            assert!(most <= 4 * S + 500 * MS, "{hosts} hosts, {over:?}: {most:?}");
            // They do not come together.
            let spread = waits.iter().max().unwrap().saturating_sub(*waits[20..].iter().min().unwrap());
            assert!(hosts < 100 || spread >= 400 * MS, "{hosts} hosts, {over:?}: {waits:?}");
        }
    }
}

/// An agent beside the initiator pushes the list: a watch is opened again at once, and soon even if the agent is down.
#[test]
fn an_agent_that_pushes_the_list_is_called_again_soon() {
    let mut polls = EndpointListPoll::new(1);
    let set = settings(100, false);
    let waits: Vec<Duration> = (0..6)
        .map(|n| polls.next_wait(&set, n == 0, [CallEnd::ConnectionLost, CallEnd::TimedOut][n % 2], ZERO))
        .collect();
    assert!(waits[0] <= 50 * MS && waits.iter().all(|w| *w <= 500 * MS), "{waits:?}");
}
