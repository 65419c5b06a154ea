//! The effects of peers' reports on advice, totals and the store, case by case.

use shaletack_observations::{
    reported_demand, reported_slow_start_units, Advice, AttemptHistory, Claim, EndpointHealth, LocalView,
    Observation, ObservationStore, ObservedHealth, Observer, RejectedReports, Report, ReportedDemand,
    ReportedReadiness, Subject, DEMAND_LIFETIME, MAX_HOPS, MAX_NAME_BYTES, OBSERVATION_LIFETIME,
    STOP_SENDING_DURATION,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);
const MILLISECOND: Duration = Duration::from_millis(1);

fn observer(name: &str, incarnation: u64) -> Observer {
    Observer { name: name.into(), incarnation }
}

fn report(by: &Observer, claim: Claim, start: u64, age: Duration) -> Report {
    Report { claim, observer: by.clone(), endpoint_incarnation: start, hops: 0, age }
}

fn readiness(to: ReportedReadiness) -> Claim {
    Claim::Readiness { endpoint: "s-1".into(), readiness: to }
}

/// Returns the store of a process `me` after it received one peer's reports at 100 s with a round trip of
/// zero.
fn received(reports: Vec<Report>) -> ObservationStore {
    let mut store = ObservationStore::default();
    let from = reports[0].observer.clone();
    store.merge_reports(100 * SECOND, Duration::ZERO, &observer("me", 1), &from, reports);
    store
}

#[test]
fn a_drain_stops_sending_unless_the_local_list_was_confirmed_since() {
    let peer = observer("b", 2);
    let store = received(vec![report(&peer, readiness(ReportedReadiness::Draining), 5, 3 * SECOND)]);
    let own = |dated| LocalView { endpoint_incarnation: 5, list_confirmed_at: dated, ..LocalView::default() };
    let stop = |dated, now| Advice::from_observations(&store, "s-1", &own(dated), now).stop_until;
    assert_eq!(
        stop(Some(98 * SECOND), 100 * SECOND),
        None,
        "the local list was confirmed a second later and lists the endpoint as ready"
    );
    assert_eq!(stop(Some(97 * SECOND), 100 * SECOND), None, "at equal times the local list takes precedence");
    assert_eq!(stop(Some(96 * SECOND), 100 * SECOND), Some(97 * SECOND + STOP_SENDING_DURATION));
    assert_eq!(
        stop(None, 100 * SECOND),
        Some(97 * SECOND + STOP_SENDING_DURATION),
        "a list that was never confirmed counts as older"
    );
    assert_eq!(
        stop(None, 97 * SECOND + STOP_SENDING_DURATION),
        None,
        "an observation that no report repeats expires"
    );
}

#[test]
fn observations_of_an_earlier_run_do_not_count_for_a_later_one() {
    let peer = observer("b", 2);
    let old = |claim| report(&peer, claim, 4, SECOND);
    let store = received(vec![
        old(readiness(ReportedReadiness::Removed)),
        old(Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing }),
        old(Claim::Started { endpoint: "s-1".into(), uptime: SECOND }),
        old(Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 9_000 }),
    ]);
    let own = LocalView {
        endpoint_incarnation: 5,
        incarnation_known_since: 100 * SECOND,
        has_alternative: true,
        ..LocalView::default()
    };
    assert_eq!(Advice::from_observations(&store, "s-1", &own, 100 * SECOND), Advice::default());
    assert_eq!(reported_slow_start_units(&store, "s-1", 5, 3 * SECOND, 100 * SECOND), 0);
    // The same reports apply if the local list does not have that run of the endpoint yet.
    let later =
        Advice::from_observations(&store, "s-1", &LocalView { endpoint_incarnation: 3, ..own }, 100 * SECOND);
    assert_eq!(later.started_at, Some(98 * SECOND));
    assert!(later.stop_until.is_some() && later.hold_until.is_some());
    assert_eq!(reported_slow_start_units(&store, "s-1", 3, 3 * SECOND, 100 * SECOND), 9_000);
}

#[test]
fn a_failing_endpoint_is_held_back_for_a_while_if_there_is_an_alternative() {
    let peer = observer("b", 2);
    let store = received(vec![report(
        &peer,
        Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing },
        0,
        500 * MILLISECOND,
    )]);
    let own = LocalView { has_alternative: true, ..LocalView::default() };
    let hold = |own: &LocalView, now| Advice::from_observations(&store, "s-1", own, now).hold_until;
    assert_eq!(hold(&own, 100 * SECOND), Some(101_500 * MILLISECOND));
    assert_eq!(hold(&own, 102 * SECOND), None);
    assert_eq!(hold(&LocalView { has_alternative: false, ..own }, 100 * SECOND), None);
    assert_eq!(
        hold(&LocalView { last_success: Some(100 * SECOND), ..own }, 100 * SECOND),
        None,
        "a local attempt has succeeded since"
    );
    assert!(hold(&LocalView { last_success: Some(99 * SECOND), ..own }, 100 * SECOND).is_some());
    // A later report that the endpoint is healthy ends the hold.
    let mut store = store;
    store.merge_reports(
        101 * SECOND,
        Duration::ZERO,
        &observer("me", 1),
        &peer,
        vec![report(
            &peer,
            Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Healthy },
            0,
            Duration::ZERO,
        )],
    );
    assert_eq!(Advice::from_observations(&store, "s-1", &own, 101 * SECOND).hold_until, None);
}

#[test]
fn the_later_of_two_starts_counts_but_none_after_the_run_became_known() {
    let (b, c) = (observer("b", 2), observer("c", 3));
    let mut store = received(vec![report(
        &b,
        Claim::Started { endpoint: "s-1".into(), uptime: 10 * SECOND },
        5,
        Duration::ZERO,
    )]);
    let own =
        LocalView { endpoint_incarnation: 5, incarnation_known_since: 95 * SECOND, ..LocalView::default() };
    assert_eq!(Advice::from_observations(&store, "s-1", &own, 100 * SECOND).started_at, Some(90 * SECOND));
    let me = observer("me", 1);
    let started_reports =
        |ago| vec![report(&c, Claim::Started { endpoint: "s-1".into(), uptime: ago }, 5, Duration::ZERO)];
    store.merge_reports(101 * SECOND, Duration::ZERO, &me, &c, started_reports(20 * SECOND));
    assert_eq!(
        Advice::from_observations(&store, "s-1", &own, 101 * SECOND).started_at,
        Some(90 * SECOND),
        "a report of an earlier start does not shorten the slow start"
    );
    // A peer that keeps reporting that the endpoint has just started cannot date the start after the time at
    // which this process learned of the run.
    for at in 102..130 {
        store.merge_reports(at * SECOND, Duration::ZERO, &me, &c, started_reports(Duration::ZERO));
        assert_eq!(Advice::from_observations(&store, "s-1", &own, at * SECOND).started_at, Some(95 * SECOND));
    }
}

#[test]
fn an_observation_forwarded_in_a_circle_expires() {
    let names = [observer("a", 1), observer("b", 2), observer("c", 3)];
    let mut stores = [ObservationStore::default(), ObservationStore::default(), ObservationStore::default()];
    let drain = Observation {
        claim: readiness(ReportedReadiness::Draining),
        observer: names[0].clone(),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: 100 * SECOND,
    };
    // The observer reports the drain once and then no more; the other processes keep forwarding it.
    let mut own = vec![drain];
    for round in 0..400u32 {
        let now = 100 * SECOND + round * 200 * MILLISECOND;
        let (from, to) = (round as usize % 3, (round as usize + 1) % 3);
        let sent = stores[from].reports_for_exchange(
            now,
            &names[from],
            if from == 0 { std::mem::take(&mut own) } else { vec![] },
        );
        let rejected =
            stores[to].merge_reports(now, 10 * MILLISECOND, &names[to], &names[from], sent).rejected;
        assert_eq!(rejected.invalid, 0);
        stores.iter_mut().for_each(|store| store.expire(now, |_| true));
        for store in &stores {
            let age = store.get(&Subject::Readiness("s-1".into())).map(|observation| observation.age(now));
            assert!(
                age.is_none_or(|age| age >= now - 100 * SECOND),
                "the observation appears younger than it is"
            );
        }
    }
    assert!(
        stores.iter().all(ObservationStore::is_empty),
        "a store keeps the observation for more than {OBSERVATION_LIFETIME:?}"
    );
}

#[test]
fn reports_out_of_range_or_with_a_wrong_observer_are_rejected() {
    let (b, c, me) = (observer("b", 2), observer("c", 3), observer("me", 1));
    let mut store = ObservationStore::default();
    let valid = report(&b, readiness(ReportedReadiness::Removed), 0, SECOND);
    let hop = |by: &Observer, hops, claim| Report { observer: by.clone(), hops, claim, ..valid.clone() };
    let reports = vec![
        // Not forwarded, but the sender is not the observer.
        report(&c, readiness(ReportedReadiness::Removed), 0, SECOND),
        // Forwarded, but the sender is the observer.
        hop(&b, 1, readiness(ReportedReadiness::Removed)),
        // Too many hops.
        hop(&c, MAX_HOPS + 1, readiness(ReportedReadiness::Removed)),
        // A forwarded contribution.
        hop(&c, 1, Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 5 }),
        // Too old.
        report(&b, readiness(ReportedReadiness::Removed), 0, OBSERVATION_LIFETIME + SECOND),
        // An empty name.
        report(&b, Claim::Health { endpoint: String::new(), health: EndpointHealth::Failing }, 0, SECOND),
        // A name that is too long.
        report(
            &b,
            Claim::Health { endpoint: "x".repeat(MAX_NAME_BYTES + 1), health: EndpointHealth::Failing },
            0,
            SECOND,
        ),
    ];
    let count = reports.len();
    assert_eq!(
        store.merge_reports(100 * SECOND, SECOND, &me, &b, reports).rejected,
        RejectedReports { invalid: count, own: 0 }
    );
    assert!(store.is_empty());
    assert_eq!(
        store
            .merge_reports(
                100 * SECOND,
                SECOND,
                &me,
                &b,
                vec![hop(&me, 1, readiness(ReportedReadiness::Removed))]
            )
            .rejected
            .own,
        1
    );
    let merged = store.merge_reports(100 * SECOND, SECOND, &me, &b, vec![valid.clone()]);
    assert_eq!((merged.changed_endpoints.len(), merged.rejected), (1, RejectedReports::default()));
    assert_eq!(
        store.iter().next().unwrap().observed_at,
        100 * SECOND - SECOND - SECOND / 2,
        "half of the round trip is added to the age"
    );
    assert!(
        store.merge_reports(100 * SECOND, 2 * SECOND, &me, &b, vec![valid]).changed_endpoints.is_empty(),
        "a repeated report changes nothing"
    );
}

/// A second process with the same name is a separate observer, and so is the previous process with this
/// process's name.
#[test]
fn an_earlier_process_of_the_same_name_counts_for_slow_start_units_but_not_for_demand() {
    let (me, previous, other) = (observer("me", 1), observer("me", 7), observer("b", 8));
    let mut store = ObservationStore::default();
    for by in [&previous, &other, &observer("b", 9)] {
        let reports = vec![
            report(by, Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 2_000 }, 0, SECOND),
            report(by, Claim::Demand { volume: 3, milli_units_per_second: 10_000 }, 0, SECOND),
        ];
        store.merge_reports(100 * SECOND, Duration::ZERO, &me, by, reports);
    }
    assert_eq!(reported_slow_start_units(&store, "s-1", 0, 3 * SECOND, 100 * SECOND), 6_000);
    assert_eq!(
        reported_slow_start_units(&store, "s-1", 0, 3 * SECOND, 102 * SECOND),
        0,
        "the reports are older than the window"
    );
    assert_eq!(
        reported_demand(&store, 3, &me, 100 * SECOND),
        Some(ReportedDemand { milli_units_per_second: 20_000, age: SECOND })
    );
    assert_eq!(
        reported_demand(&store, 3, &me, 100 * SECOND + DEMAND_LIFETIME),
        None,
        "the reports are stale"
    );
}

#[test]
fn reports_on_a_starting_endpoint_are_sent_first_and_demand_last_by_size() {
    let me = observer("me", 1);
    let own = |claim| Observation {
        claim,
        observer: me.clone(),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: 100 * SECOND,
    };
    let reports = vec![
        own(Claim::Demand { volume: 1, milli_units_per_second: 5 }),
        own(Claim::Demand { volume: 2, milli_units_per_second: 50 }),
        own(readiness(ReportedReadiness::Ready)),
        own(Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing }),
        own(Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 1 }),
        own(Claim::Started { endpoint: "s-1".into(), uptime: SECOND }),
    ];
    let sent = ObservationStore::default().reports_for_exchange(101 * SECOND, &me, reports);
    assert!(
        matches!(sent[0].claim, Claim::SlowStartUnits { .. })
            && matches!(sent[1].claim, Claim::Started { .. })
    );
    assert!(
        matches!(sent[2].claim, Claim::Health { .. }) && matches!(sent[3].claim, Claim::Readiness { .. })
    );
    assert!(
        matches!(sent[4].claim, Claim::Demand { volume: 2, .. })
            && matches!(sent[5].claim, Claim::Demand { volume: 1, .. })
    );
    assert!(sent.iter().all(|report| report.age == SECOND && report.hops == 0));
}

#[test]
fn two_consecutive_failures_are_reported_and_a_success_reverts_them() {
    let mut history = AttemptHistory::default();
    history.record_success(SECOND);
    history.record_failure(2 * SECOND);
    assert_eq!(history.observed_health(), None);
    history.record_failure(3 * SECOND);
    assert_eq!(
        history.observed_health(),
        Some(ObservedHealth { health: EndpointHealth::Failing, observed_at: 3 * SECOND })
    );
    history.record_success(4 * SECOND);
    assert_eq!(
        history.observed_health(),
        Some(ObservedHealth { health: EndpointHealth::Healthy, observed_at: 4 * SECOND })
    );
}
