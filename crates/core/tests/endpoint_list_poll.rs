//! Many hosts that ask one service of fixed capacity for the list.

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

/// A service that works off one call each `each`, in turn, also those whose caller has waited 2 s and gone; it turns
/// away what finds `room` before it. When each of 100 hosts that lose their watch at once has it back, if within eight
/// times as long as all of them take.
fn back_after(each: Duration, room: usize) -> Vec<Option<Duration>> {
    let set = settings(100, true);
    let mut asking: Vec<EndpointListPoll> = (0..100).map(|host| EndpointListPoll::new(host * 7919)).collect();
    let mut next: Vec<Option<Duration>> =
        asking.iter_mut().map(|a| Some(a.next_wait(&set, true, CallEnd::ConnectionLost, ZERO))).collect();
    let (mut queue, mut back): (VecDeque<(Duration, usize)>, _) = (VecDeque::new(), vec![None; 100]);
    let (mut now, mut free) = (Duration::ZERO, Duration::ZERO);
    while now < 800 * each {
        now += MS;
        // Callers leave; what they asked for stays in the queue.
        for (at, host) in queue.iter_mut().filter(|(at, host)| *host < 100 && *at + 2 * S <= now) {
            next[*host] = Some(now + asking[*host].next_wait(&set, false, CallEnd::Rejected, now));
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
                    (!fits).then(|| now + asking[host].next_wait(&set, false, CallEnd::Rejected, now));
                if fits {
                    queue.push_back((now, host));
                }
            }
        }
    }
    back
}

/// Found on herd+vast: 60 of 100 watches broke at once, each asked again at most 0.5 s after every refusal, and none
/// of 1,900 calls was served in time in 25 s, though a service of that capacity has served all within seconds.
#[test]
fn hosts_that_lose_the_list_together_all_have_it_again() {
    for (each, room) in [(50 * MS, 60), (100 * MS, 40), (200 * MS, 100)] {
        let back = back_after(each, room);
        let late = back.iter().filter(|at| at.is_none()).count();
        assert_eq!(late, 0, "a call each {each:?}, room for {room}: {back:?}");
    }
}

/// At the start and after a break all call at once unless they spread; and a first call stays within its time.
#[test]
fn first_calls_are_spread_only_where_they_cost_something() {
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

/// Found by reading: the wait after a refusal grew to 150 s at 300 hosts, and a call could wait 5 s in turn, while a change
/// counts as told 6 s after discovery had it and could be reached. Whatever came before, the next call is in time.
#[test]
fn no_wait_outlasts_the_time_in_which_a_change_counts_as_told() {
    for hosts in [1, 3, 100, 300] {
        let set = settings(hosts, true);
        for (over, before) in [
            (CallEnd::ConnectionLost, EndpointListPoll::silence_limit()),
            (CallEnd::Rejected, ZERO),
            (CallEnd::TimedOut, EndpointListPoll::call_timeout(&set)),
        ] {
            let mut asking = EndpointListPoll::new(u64::from(hosts));
            let waits: Vec<Duration> = (0..40).map(|_| asking.next_wait(&set, false, over, 5 * S)).collect();
            let most = before + *waits.iter().max().unwrap();
            // At least a second and a half is left for the call that brings it.
            assert!(most <= 4 * S + 500 * MS, "{hosts} hosts, {over:?}: {most:?}");
            // They do not come together.
            let spread = waits.iter().max().unwrap().saturating_sub(*waits[20..].iter().min().unwrap());
            assert!(hosts < 100 || spread >= 400 * MS, "{hosts} hosts, {over:?}: {waits:?}");
        }
    }
}

/// Beside the host a watch is opened again at once, and soon even if the agent stays away.
#[test]
fn an_agent_beside_the_host_is_asked_again_soon() {
    let mut asking = EndpointListPoll::new(1);
    let set = settings(100, false);
    let waits: Vec<Duration> = (0..6)
        .map(|n| asking.next_wait(&set, n == 0, [CallEnd::ConnectionLost, CallEnd::TimedOut][n % 2], ZERO))
        .collect();
    assert!(waits[0] <= 50 * MS && waits.iter().all(|w| *w <= 500 * MS), "{waits:?}");
}
