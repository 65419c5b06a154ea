//! Budgets, priorities, ages and pauses of background work.

use proptest::prelude::*;
use shaletack_background::{BudgetUse, Scheduler, Task, TaskCounts, WorkClass};
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn class(priority: u8) -> WorkClass {
    WorkClass {
        priority,
        units_per_second: 10,
        bytes_per_second: 0,
        burst: S,
        max_in_flight: 100,
        max_in_flight_per_resource: 100,
        max_age: 60 * S,
    }
}

fn task(class: usize, resource: u32, units: u64, since: Duration) -> Task {
    Task { class, resource, units, bytes: units * 4096, since }
}

#[test]
fn the_higher_priority_goes_first_and_what_is_overdue_before_all() {
    let mut scheduler = Scheduler::new(&[class(2), class(1)], Duration::ZERO);
    assert!(scheduler.add(1, task(0, 1, 1, Duration::ZERO)) && scheduler.add(2, task(1, 1, 1, 5 * S)));
    assert!(
        !scheduler.add(2, task(0, 1, 1, S)) && !scheduler.add(3, task(9, 1, 1, S)),
        "a number taken, a class unknown"
    );
    assert_eq!(scheduler.start_ready(6 * S), [2, 1]);
    scheduler.add(4, task(0, 1, 1, 10 * S));
    scheduler.add(5, task(1, 1, 1, 69 * S));
    assert_eq!(scheduler.start_ready(70 * S), [4, 5], "it has waited for a minute");
}

#[test]
fn a_budget_is_kept_to_the_unit_and_the_next_start_is_reported() {
    let mut scheduler = Scheduler::new(&[class(1)], Duration::ZERO);
    (1..=30).for_each(|id| assert!(scheduler.add(id, task(0, 1, 4, Duration::ZERO))));
    assert_eq!(scheduler.start_ready(Duration::ZERO).len(), 2, "ten units are saved up");
    assert_eq!(scheduler.next_start_at(), Some(200 * MS), "two units are left, two more are needed");
    assert!(scheduler.start_ready(200 * MS - Duration::from_nanos(1)).is_empty());
    assert_eq!(scheduler.start_ready(200 * MS).len(), 1);
    // One larger than the whole store waits for a full one, and is paid for in full.
    let mut large = Scheduler::new(&[class(1)], Duration::ZERO);
    large.add(1, task(0, 1, 1, Duration::ZERO));
    assert_eq!(large.start_ready(Duration::ZERO).len(), 1);
    large.add(2, task(0, 1, 25, Duration::ZERO));
    assert!(large.start_ready(Duration::ZERO).is_empty());
    assert_eq!(large.next_start_at(), Some(100 * MS));
    assert_eq!(large.start_ready(100 * MS), [2]);
    large.add(3, task(0, 1, 1, S));
    assert!(large.start_ready(100 * MS).is_empty());
    assert_eq!(large.next_start_at(), Some(1700 * MS), "15 units of debt and one");
}

#[test]
fn a_resource_that_clients_need_is_left_alone_until_its_work_is_overdue() {
    let mut scheduler = Scheduler::new(&[class(1)], Duration::ZERO);
    scheduler.add(1, task(0, 1, 1, Duration::ZERO));
    scheduler.add(2, task(0, 2, 1, Duration::ZERO));
    scheduler.set_client_demand(1, 3);
    assert_eq!(scheduler.start_ready(S), [2]);
    assert_eq!(scheduler.next_start_at(), Some(60 * S), "then it goes all the same");
    assert!(scheduler.start_ready(59 * S).is_empty());
    assert_eq!(scheduler.start_ready(60 * S), [1]);
    scheduler.add(3, task(0, 1, 1, 60 * S));
    scheduler.set_client_demand(1, 0);
    assert_eq!(scheduler.start_ready(60 * S), [3]);
}

#[test]
fn resources_take_turns_and_have_limits_of_their_own() {
    let mut scheduler = Scheduler::new(
        &[WorkClass { units_per_second: 0, max_in_flight: 4, max_in_flight_per_resource: 2, ..class(1) }],
        Duration::ZERO,
    );
    for id in 0..10 {
        scheduler.add(id, task(0, 1, 1, Duration::ZERO));
    }
    scheduler.add(10, task(0, 2, 1, S));
    scheduler.add(11, task(0, 3, 1, S));
    assert_eq!(
        scheduler.start_ready(S),
        [0, 10, 11, 1],
        "one busy resource does not keep the others waiting"
    );
    assert_eq!(scheduler.counts(), TaskCounts { waiting: 8, in_flight: 4 });
    assert_eq!(scheduler.oldest_age(0, 3 * S), Some(3 * S));
    scheduler.remove(10);
    assert!(
        scheduler.start_ready(S).is_empty(),
        "resource 1 has its two in flight, and the others nothing left"
    );
    scheduler.requeue(1, BudgetUse::Unused);
    assert_eq!(scheduler.start_ready(S), [1], "the same task again, for it is the oldest");
    scheduler.remove(0);
    assert_eq!(scheduler.start_ready(S), [2]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// Whatever comes, in any second no more goes than the rate and what was saved; every piece goes once at a
    /// time, and with time all of them do.
    #[test]
    fn budgets_hold_and_nothing_starves(
        steps in prop::collection::vec((0u32..4, 1u64..9, 0u64..400, any::<bool>(), 0u8..4), 1..60),
    ) {
        let limits =
            WorkClass { max_in_flight: 6, max_in_flight_per_resource: 2, bytes_per_second: 60_000, ..class(1) };
        let mut scheduler = Scheduler::new(&[limits, WorkClass { priority: 3, ..limits }], Duration::ZERO);
        let (mut now, mut started, mut in_flight) = (Duration::ZERO, Vec::new(), Vec::new());
        let mut sizes = std::collections::BTreeMap::new();
        for (id, (resource, units, pass, needs, ends)) in steps.iter().copied().enumerate() {
            now += Duration::from_millis(pass);
            let (id, class) = (id as u64, id % 2);
            scheduler.add(id, task(class, resource, units, now));
            sizes.insert(id, (class, units));
            scheduler.set_client_demand(resource, usize::from(needs));
            for _ in 0..ends {
                if let Some(done) = in_flight.pop() {
                    scheduler.remove(done);
                }
            }
            for id in scheduler.start_ready(now) {
                prop_assert!(!in_flight.contains(&id));
                in_flight.push(id);
                started.push((now, id));
            }
        }
        (0..4).for_each(|resource| scheduler.set_client_demand(resource, 0));
        while scheduler.counts() != (TaskCounts { waiting: 0, in_flight: 0 }) {
            in_flight.drain(..).for_each(|id| scheduler.remove(id));
            now = scheduler.next_start_at().map_or(now, |next| next.max(now));
            for id in scheduler.start_ready(now) {
                in_flight.push(id);
                started.push((now, id));
            }
        }
        let mut ids: Vec<u64> = started.iter().map(|w| w.1).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, sizes.keys().copied().collect::<Vec<_>>(), "each started once");
        for class in 0..2 {
            for (from, _) in &started {
                let within = started.iter().filter(|w| w.0 >= *from && w.0 < *from + S && sizes[&w.1].0 == class);
                let units: u64 = within.map(|w| sizes[&w.1].1).sum();
                prop_assert!(units <= 20, "{} units within a second of rate 10 and store 10", units);
            }
        }
    }
}
