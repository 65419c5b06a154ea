//! Budgets, priorities, ages and pauses of background work.

use proptest::prelude::*;
use shaletack_background::*;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn sort(priority: u8) -> Sort {
    Sort { priority, units: 10, bytes: 0, burst: S, out_most: 100, place_most: 100, age_most: 60 * S }
}

fn task(sort: usize, place: u32, units: u64, since: Duration) -> Task {
    Task { sort, place, units, bytes: units * 4096, since }
}

#[test]
fn the_higher_priority_goes_first_and_what_is_overdue_before_all() {
    let mut all = Scheduler::new(&[sort(2), sort(1)], Duration::ZERO);
    assert!(all.add(1, task(0, 1, 1, Duration::ZERO)) && all.add(2, task(1, 1, 1, 5 * S)));
    assert!(!all.add(2, task(0, 1, 1, S)) && !all.add(3, task(9, 1, 1, S)), "a number taken, a sort unknown");
    assert_eq!(all.pick(6 * S), [2, 1]);
    all.add(4, task(0, 1, 1, 10 * S));
    all.add(5, task(1, 1, 1, 69 * S));
    assert_eq!(all.pick(70 * S), [4, 5], "it has waited for a minute");
}

#[test]
fn a_budget_is_kept_to_the_unit_and_the_next_moment_is_told() {
    let mut all = Scheduler::new(&[sort(1)], Duration::ZERO);
    (1..=30).for_each(|id| assert!(all.add(id, task(0, 1, 4, Duration::ZERO))));
    assert_eq!(all.pick(Duration::ZERO).len(), 2, "ten units are saved up");
    assert_eq!(all.next(), Some(200 * MS), "two units are left, two more are needed");
    assert!(all.pick(200 * MS - Duration::from_nanos(1)).is_empty());
    assert_eq!(all.pick(200 * MS).len(), 1);
    // One larger than the whole store waits for a full one, and is paid for in full.
    let mut large = Scheduler::new(&[sort(1)], Duration::ZERO);
    large.add(1, task(0, 1, 1, Duration::ZERO));
    assert_eq!(large.pick(Duration::ZERO).len(), 1);
    large.add(2, task(0, 1, 25, Duration::ZERO));
    assert!(large.pick(Duration::ZERO).is_empty());
    assert_eq!(large.next(), Some(100 * MS));
    assert_eq!(large.pick(100 * MS), [2]);
    large.add(3, task(0, 1, 1, S));
    assert!(large.pick(100 * MS).is_empty());
    assert_eq!(large.next(), Some(1700 * MS), "15 units of debt and one");
}

#[test]
fn a_place_that_clients_need_is_left_alone_until_its_work_is_overdue() {
    let mut all = Scheduler::new(&[sort(1)], Duration::ZERO);
    all.add(1, task(0, 1, 1, Duration::ZERO));
    all.add(2, task(0, 2, 1, Duration::ZERO));
    all.need(1, 3);
    assert_eq!(all.pick(S), [2]);
    assert_eq!(all.next(), Some(60 * S), "then it goes all the same");
    assert!(all.pick(59 * S).is_empty());
    assert_eq!(all.pick(60 * S), [1]);
    all.add(3, task(0, 1, 1, 60 * S));
    all.need(1, 0);
    assert_eq!(all.pick(60 * S), [3]);
}

#[test]
fn places_take_turns_and_have_bounds_of_their_own() {
    let mut all = Scheduler::new(&[Sort { units: 0, out_most: 4, place_most: 2, ..sort(1) }], Duration::ZERO);
    for id in 0..10 {
        all.add(id, task(0, 1, 1, Duration::ZERO));
    }
    all.add(10, task(0, 2, 1, S));
    all.add(11, task(0, 3, 1, S));
    assert_eq!(all.pick(S), [0, 10, 11, 1], "one busy place does not keep the others waiting");
    assert_eq!((all.count(), all.oldest(0, 3 * S)), ((8, 4), Some(3 * S)));
    all.remove(10);
    assert!(all.pick(S).is_empty(), "place 1 has its two out, and the others nothing left");
    all.again(1, true);
    assert_eq!(all.pick(S), [1], "the same piece again, for it is the oldest");
    all.remove(0);
    assert_eq!(all.pick(S), [2]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Whatever comes, in any second no more goes than the rate and what was saved; every piece goes once at a
    /// time, and with time all of them do.
    #[test]
    fn budgets_hold_and_nothing_starves(
        steps in prop::collection::vec((0u32..4, 1u64..9, 0u64..400, any::<bool>(), 0u8..4), 1..60),
    ) {
        let set = Sort { out_most: 6, place_most: 2, bytes: 60_000, ..sort(1) };
        let mut all = Scheduler::new(&[set, Sort { priority: 3, ..set }], Duration::ZERO);
        let (mut now, mut went, mut out) = (Duration::ZERO, Vec::new(), Vec::new());
        let mut sizes = std::collections::BTreeMap::new();
        for (id, (place, units, pass, needs, ends)) in steps.iter().copied().enumerate() {
            now += Duration::from_millis(pass);
            let (id, sort) = (id as u64, id % 2);
            all.add(id, task(sort, place, units, now));
            sizes.insert(id, (sort, units));
            all.need(place, usize::from(needs));
            for _ in 0..ends {
                if let Some(done) = out.pop() {
                    all.remove(done);
                }
            }
            for id in all.pick(now) {
                prop_assert!(!out.contains(&id));
                out.push(id);
                went.push((now, id));
            }
        }
        (0..4).for_each(|place| all.need(place, 0));
        while all.count() != (0, 0) {
            out.drain(..).for_each(|id| all.remove(id));
            now = all.next().map_or(now, |next| next.max(now));
            for id in all.pick(now) {
                out.push(id);
                went.push((now, id));
            }
        }
        let mut ids: Vec<u64> = went.iter().map(|w| w.1).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, sizes.keys().copied().collect::<Vec<_>>(), "each went once");
        for sort in 0..2 {
            for (from, _) in &went {
                let within = went.iter().filter(|w| w.0 >= *from && w.0 < *from + S && sizes[&w.1].0 == sort);
                let units: u64 = within.map(|w| sizes[&w.1].1).sum();
                prop_assert!(units <= 20, "{} units within a second of rate 10 and store 10", units);
            }
        }
    }
}
