//! Priorities, budgets, limits and aging of background work.

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

fn task(class: usize, resource: u32, units: u64, waiting_since: Duration) -> Task {
    Task { class, resource, units, bytes: units * 4096, waiting_since }
}

#[test]
fn tasks_start_by_priority_and_overdue_tasks_start_first() {
    let mut scheduler = Scheduler::new(&[class(2), class(1)], Duration::ZERO);
    assert!(scheduler.add(1, task(0, 1, 1, Duration::ZERO)) && scheduler.add(2, task(1, 1, 1, 5 * S)));
    assert!(
        !scheduler.add(2, task(0, 1, 1, S)) && !scheduler.add(3, task(9, 1, 1, S)),
        "the first number is in use and the second class is unknown"
    );
    assert_eq!(scheduler.start_ready(6 * S), [2, 1]);
    scheduler.add(4, task(0, 1, 1, 10 * S));
    scheduler.add(5, task(1, 1, 1, 69 * S));
    assert_eq!(scheduler.start_ready(70 * S), [4, 5], "task 4 is overdue after a minute");
}

#[test]
fn a_budget_is_exact_and_the_next_start_is_reported() {
    let mut scheduler = Scheduler::new(&[class(1)], Duration::ZERO);
    (1..=30).for_each(|id| assert!(scheduler.add(id, task(0, 1, 4, Duration::ZERO))));
    assert_eq!(scheduler.start_ready(Duration::ZERO).len(), 2, "the burst holds ten units");
    assert_eq!(scheduler.next_start_at(), Some(200 * MS), "two units are left and two more are needed");
    assert!(scheduler.start_ready(200 * MS - Duration::from_nanos(1)).is_empty());
    assert_eq!(scheduler.start_ready(200 * MS).len(), 1);
    // A task larger than the bucket waits until the bucket is full, and is charged in full.
    let mut large = Scheduler::new(&[class(1)], Duration::ZERO);
    large.add(1, task(0, 1, 1, Duration::ZERO));
    assert_eq!(large.start_ready(Duration::ZERO).len(), 1);
    large.add(2, task(0, 1, 25, Duration::ZERO));
    assert!(large.start_ready(Duration::ZERO).is_empty());
    assert_eq!(large.next_start_at(), Some(100 * MS));
    assert_eq!(large.start_ready(100 * MS), [2]);
    large.add(3, task(0, 1, 1, S));
    assert!(large.start_ready(100 * MS).is_empty());
    assert_eq!(large.next_start_at(), Some(1700 * MS), "15 units of debt and one unit for the task");
}

#[test]
fn no_task_starts_at_a_resource_that_clients_need_until_it_is_overdue() {
    let mut scheduler = Scheduler::new(&[class(1)], Duration::ZERO);
    scheduler.add(1, task(0, 1, 1, Duration::ZERO));
    scheduler.add(2, task(0, 2, 1, Duration::ZERO));
    scheduler.set_client_demand(1, 3);
    assert_eq!(scheduler.start_ready(S), [2]);
    assert_eq!(scheduler.next_start_at(), Some(60 * S), "the task starts once it is overdue");
    assert!(scheduler.start_ready(59 * S).is_empty());
    assert_eq!(scheduler.start_ready(60 * S), [1]);
    scheduler.add(3, task(0, 1, 1, 60 * S));
    scheduler.set_client_demand(1, 0);
    assert_eq!(scheduler.start_ready(60 * S), [3]);
}

#[test]
fn resources_are_served_round_robin_within_their_limits() {
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
        "a resource with many tasks does not delay the others"
    );
    assert_eq!(scheduler.counts(), TaskCounts { waiting: 8, in_flight: 4 });
    assert_eq!(scheduler.oldest_age(0, 3 * S), Some(3 * S));
    scheduler.remove(10);
    assert!(
        scheduler.start_ready(S).is_empty(),
        "resource 1 is at its limit and the others have no waiting tasks"
    );
    scheduler.requeue(1, BudgetUse::Unused);
    assert_eq!(scheduler.start_ready(S), [1], "the requeued task is the oldest and starts again");
    scheduler.remove(0);
    assert_eq!(scheduler.start_ready(S), [2]);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(300) })]

    /// In any second, no more units start than the rate and the burst allow. No task is in flight twice at a
    /// time, and every task starts eventually.
    #[test]
    fn budgets_are_never_exceeded_and_no_task_starves(
        steps in prop::collection::vec((0u32..4, 1u64..9, 0u64..400, any::<bool>(), 0u8..4), 1..60),
    ) {
        let limits = WorkClass {
            max_in_flight: 6,
            max_in_flight_per_resource: 2,
            bytes_per_second: 60_000,
            ..class(1)
        };
        let mut scheduler = Scheduler::new(&[limits, WorkClass { priority: 3, ..limits }], Duration::ZERO);
        let (mut now, mut started, mut in_flight) = (Duration::ZERO, Vec::new(), Vec::new());
        let mut sizes = std::collections::BTreeMap::new();
        for (id, step) in steps.iter().copied().enumerate() {
            let (resource, units, elapsed_ms, has_demand, completions) = step;
            now += Duration::from_millis(elapsed_ms);
            let (id, class) = (id as u64, id % 2);
            scheduler.add(id, task(class, resource, units, now));
            sizes.insert(id, (class, units));
            scheduler.set_client_demand(resource, usize::from(has_demand));
            for _ in 0..completions {
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
        let mut ids: Vec<u64> = started.iter().map(|(_, id)| *id).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, sizes.keys().copied().collect::<Vec<_>>(), "each task started once");
        for class in 0..2 {
            for (from, _) in &started {
                let is_within_second = |at: Duration| at >= *from && at < *from + S;
                let within = started.iter().filter(|(at, id)| is_within_second(*at) && sizes[id].0 == class);
                let units: u64 = within.map(|(_, id)| sizes[id].1).sum();
                prop_assert!(units <= 20, "{} units within a second at rate 10 and burst 10", units);
            }
        }
    }
}
