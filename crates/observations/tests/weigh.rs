//! What a peer's word does, case by case.

use shaletack_observations::Subject;
use shaletack_observations::*;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn observer(name: &str, life: u64) -> Observer {
    Observer { name: name.into(), incarnation: life }
}

fn told(by: &Observer, what: Claim, start: u64, age: Duration) -> Report {
    Report { claim: what, observer: by.clone(), endpoint_incarnation: start, hops: 0, age }
}

fn standing(to: ReportedReadiness) -> Claim {
    Claim::Readiness { endpoint: "s-1".into(), readiness: to }
}

/// What a process that is `me` makes of one peer's facts, heard at 100 s without a round trip.
fn heard(facts: Vec<Report>) -> ObservationStore {
    let mut known = ObservationStore::default();
    let from = facts[0].observer.clone();
    known.merge_reports(100 * S, Duration::ZERO, &observer("me", 1), &from, facts);
    known
}

#[test]
fn news_older_than_ones_own_is_dropped_and_newer_news_stops_at_once() {
    let peer = observer("b", 2);
    let known = heard(vec![told(&peer, standing(ReportedReadiness::Draining), 5, 3 * S)]);
    let own = |dated| LocalView { endpoint_incarnation: 5, list_confirmed_at: dated, ..LocalView::default() };
    let stop = |dated, now| Advice::from_observations(&known, "s-1", &own(dated), now).stop_until;
    assert_eq!(stop(Some(98 * S), 100 * S), None, "the own list spoke a second later and says ready");
    assert_eq!(stop(Some(97 * S), 100 * S), None, "in doubt the own list counts");
    assert_eq!(stop(Some(96 * S), 100 * S), Some(97 * S + STOP_DURATION));
    assert_eq!(stop(None, 100 * S), Some(97 * S + STOP_DURATION), "a list of any age is older");
    assert_eq!(stop(None, 97 * S + STOP_DURATION), None, "what nobody repeats is believed no longer");
}

#[test]
fn what_was_seen_of_an_earlier_start_says_nothing_of_a_later_one() {
    let peer = observer("b", 2);
    let old = |what| told(&peer, what, 4, S);
    let known = heard(vec![
        old(standing(ReportedReadiness::Removed)),
        old(Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing }),
        old(Claim::Started { endpoint: "s-1".into(), uptime: S }),
        old(Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 9_000 }),
    ]);
    let own = LocalView {
        endpoint_incarnation: 5,
        incarnation_known_since: 100 * S,
        has_alternative: true,
        ..LocalView::default()
    };
    assert_eq!(Advice::from_observations(&known, "s-1", &own, 100 * S), Advice::default());
    assert_eq!(reported_slow_start_units(&known, "s-1", 5, 3 * S, 100 * S), 0);
    // And of a start that the own list has not told of yet it says all.
    let later =
        Advice::from_observations(&known, "s-1", &LocalView { endpoint_incarnation: 3, ..own }, 100 * S);
    assert_eq!(later.started_at, Some(98 * S));
    assert!(later.stop_until.is_some() && later.hold_until.is_some());
    assert_eq!(reported_slow_start_units(&known, "s-1", 3, 3 * S, 100 * S), 9_000);
}

#[test]
fn a_failing_box_is_held_back_for_a_while_and_only_where_another_serves() {
    let peer = observer("b", 2);
    let known = heard(vec![told(
        &peer,
        Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing },
        0,
        500 * MS,
    )]);
    let own = LocalView { has_alternative: true, ..LocalView::default() };
    let hold = |own: &LocalView, now| Advice::from_observations(&known, "s-1", own, now).hold_until;
    assert_eq!(hold(&own, 100 * S), Some(101_500 * MS));
    assert_eq!(hold(&own, 102 * S), None);
    assert_eq!(hold(&LocalView { has_alternative: false, ..own }, 100 * S), None);
    assert_eq!(
        hold(&LocalView { last_success: Some(100 * S), ..own }, 100 * S),
        None,
        "it has answered here since"
    );
    assert!(hold(&LocalView { last_success: Some(99 * S), ..own }, 100 * S).is_some());
    // A later word that it answers ends it.
    let mut known = known;
    known.merge_reports(
        101 * S,
        Duration::ZERO,
        &observer("me", 1),
        &peer,
        vec![told(
            &peer,
            Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Healthy },
            0,
            Duration::ZERO,
        )],
    );
    assert_eq!(Advice::from_observations(&known, "s-1", &own, 101 * S).hold_until, None);
}

#[test]
fn the_younger_of_two_starts_counts_but_none_after_it_was_met() {
    let (b, c) = (observer("b", 2), observer("c", 3));
    let mut known =
        heard(vec![told(&b, Claim::Started { endpoint: "s-1".into(), uptime: 10 * S }, 5, Duration::ZERO)]);
    let own = LocalView { endpoint_incarnation: 5, incarnation_known_since: 95 * S, ..LocalView::default() };
    assert_eq!(Advice::from_observations(&known, "s-1", &own, 100 * S).started_at, Some(90 * S));
    let me = observer("me", 1);
    let says =
        |ago| vec![told(&c, Claim::Started { endpoint: "s-1".into(), uptime: ago }, 5, Duration::ZERO)];
    known.merge_reports(101 * S, Duration::ZERO, &me, &c, says(20 * S));
    assert_eq!(
        Advice::from_observations(&known, "s-1", &own, 101 * S).started_at,
        Some(90 * S),
        "nobody makes it warmer"
    );
    // One who says with each word that it has just started keeps it cold no longer than since it was met.
    for at in 102..130 {
        known.merge_reports(at * S, Duration::ZERO, &me, &c, says(Duration::ZERO));
        assert_eq!(Advice::from_observations(&known, "s-1", &own, at * S).started_at, Some(95 * S));
    }
}

#[test]
fn a_fact_that_circles_among_three_ages_out() {
    let names = [observer("a", 1), observer("b", 2), observer("c", 3)];
    let mut all = [ObservationStore::default(), ObservationStore::default(), ObservationStore::default()];
    let drains = Observation {
        claim: standing(ReportedReadiness::Draining),
        observer: names[0].clone(),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: 100 * S,
    };
    // The observer says it once and dies; the others go on telling each other, and a newcomer of its name.
    let mut own = vec![drains];
    for round in 0..400u32 {
        let now = 100 * S + round * 200 * MS;
        let (from, to) = (round as usize % 3, (round as usize + 1) % 3);
        let said = all[from].reports_for_exchange(
            now,
            &names[from],
            if from == 0 { std::mem::take(&mut own) } else { vec![] },
        );
        let refused = all[to].merge_reports(now, 10 * MS, &names[to], &names[from], said).rejected;
        assert_eq!(refused.invalid, 0);
        all.iter_mut().for_each(|k| k.expire(now, |_| true));
        for known in &all {
            let age = known.get(&Subject::Readiness("s-1".into())).map(|f| f.age(now));
            assert!(age.is_none_or(|age| age >= now - 100 * S), "younger than it is");
        }
    }
    assert!(all.iter().all(ObservationStore::is_empty), "after {OBSERVATION_LIFETIME:?} nobody believes it");
}

#[test]
fn what_is_out_of_range_or_in_anothers_name_is_not_taken() {
    let (b, c, me) = (observer("b", 2), observer("c", 3), observer("me", 1));
    let mut known = ObservationStore::default();
    let fine = told(&b, standing(ReportedReadiness::Removed), 0, S);
    let hop = |by: &Observer, hops, what| Report { observer: by.clone(), hops, claim: what, ..fine.clone() };
    let facts = vec![
        told(&c, standing(ReportedReadiness::Removed), 0, S), // first-hand, of somebody else
        hop(&b, 1, standing(ReportedReadiness::Removed)),     // the teller's own, passed on
        hop(&c, MAX_HOPS + 1, standing(ReportedReadiness::Removed)), // too far
        hop(&c, 1, Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 5 }), // an amount passed on
        told(&b, standing(ReportedReadiness::Removed), 0, OBSERVATION_LIFETIME + S), // too old
        told(&b, Claim::Health { endpoint: String::new(), health: EndpointHealth::Failing }, 0, S), // no name
        told(
            &b,
            Claim::Health { endpoint: "x".repeat(MAX_NAME_BYTES + 1), health: EndpointHealth::Failing },
            0,
            S,
        ), // too long a name
    ];
    let count = facts.len();
    assert_eq!(
        known.merge_reports(100 * S, S, &me, &b, facts).rejected,
        RejectedReports { invalid: count, own: 0 }
    );
    assert!(known.is_empty());
    assert_eq!(
        known
            .merge_reports(100 * S, S, &me, &b, vec![hop(&me, 1, standing(ReportedReadiness::Removed))])
            .rejected
            .own,
        1
    );
    let merged = known.merge_reports(100 * S, S, &me, &b, vec![fine.clone()]);
    assert_eq!((merged.changed_endpoints.len(), merged.rejected), (1, RejectedReports::default()));
    assert_eq!(known.iter().next().unwrap().observed_at, 100 * S - S - S / 2, "half the round trip older");
    assert!(
        known.merge_reports(100 * S, 2 * S, &me, &b, vec![fine]).changed_endpoints.is_empty(),
        "the same again is no news"
    );
}

/// A second process under one name is somebody else, and so is the last life of this one.
#[test]
fn a_name_taken_twice_counts_twice_for_what_was_spent_and_not_for_what_is_asked() {
    let (me, last, twin) = (observer("me", 1), observer("me", 7), observer("b", 8));
    let mut known = ObservationStore::default();
    for by in [&last, &twin, &observer("b", 9)] {
        let facts = vec![
            told(by, Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 2_000 }, 0, S),
            told(by, Claim::Demand { volume: 3, milli_units_per_second: 10_000 }, 0, S),
        ];
        known.merge_reports(100 * S, Duration::ZERO, &me, by, facts);
    }
    assert_eq!(reported_slow_start_units(&known, "s-1", 0, 3 * S, 100 * S), 6_000);
    assert_eq!(reported_slow_start_units(&known, "s-1", 0, 3 * S, 102 * S), 0, "it has left the window");
    assert_eq!(
        reported_demand(&known, 3, &me, 100 * S),
        Some(ReportedDemand { milli_units_per_second: 20_000, age: S })
    );
    assert_eq!(reported_demand(&known, 3, &me, 100 * S + DEMAND_LIFETIME), None, "stale");
}

#[test]
fn what_is_told_first_is_what_guards_a_cold_box_and_volumes_come_by_size() {
    let me = observer("me", 1);
    let own = |what| Observation {
        claim: what,
        observer: me.clone(),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: 100 * S,
    };
    let facts = vec![
        own(Claim::Demand { volume: 1, milli_units_per_second: 5 }),
        own(Claim::Demand { volume: 2, milli_units_per_second: 50 }),
        own(standing(ReportedReadiness::Ready)),
        own(Claim::Health { endpoint: "s-1".into(), health: EndpointHealth::Failing }),
        own(Claim::SlowStartUnits { endpoint: "s-1".into(), milli_units: 1 }),
        own(Claim::Started { endpoint: "s-1".into(), uptime: S }),
    ];
    let told = ObservationStore::default().reports_for_exchange(101 * S, &me, facts);
    assert!(
        matches!(told[0].claim, Claim::SlowStartUnits { .. })
            && matches!(told[1].claim, Claim::Started { .. })
    );
    assert!(
        matches!(told[2].claim, Claim::Health { .. }) && matches!(told[3].claim, Claim::Readiness { .. })
    );
    assert!(
        matches!(told[4].claim, Claim::Demand { volume: 2, .. })
            && matches!(told[5].claim, Claim::Demand { volume: 1, .. })
    );
    assert!(told.iter().all(|t| t.age == S && t.hops == 0));
}

#[test]
fn one_failure_is_chance_two_are_told_and_an_answer_takes_them_back() {
    let mut health = AttemptHistory::default();
    health.record_success(S);
    health.record_failure(2 * S);
    assert_eq!(health.verdict(), None);
    health.record_failure(3 * S);
    assert_eq!(health.verdict(), Some(HealthVerdict { health: EndpointHealth::Failing, observed_at: 3 * S }));
    health.record_success(4 * S);
    assert_eq!(health.verdict(), Some(HealthVerdict { health: EndpointHealth::Healthy, observed_at: 4 * S }));
}
