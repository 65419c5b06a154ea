//! Properties of merging and forwarding: merging is a join, ages never decrease, and a store stays within its
//! bounds.

use proptest::prelude::*;
use shaletack_observations::{
    Advice, Claim, EndpointHealth, LocalView, Observation, ObservationStore, Observer, ReportedReadiness,
    Subject, MAX_HOPS, MAX_OBSERVATIONS, OBSERVATION_LIFETIME,
};
use std::time::Duration;

const SECOND: Duration = Duration::from_secs(1);

fn observer(number: u8) -> Observer {
    Observer { name: format!("n{number}"), incarnation: u64::from(number) }
}

fn observation() -> impl Strategy<Value = Observation> {
    let id = || (0u8..3).prop_map(|n| format!("s-{n}"));
    let claim = prop_oneof![
        (id(), 0u8..3).prop_map(|(id, s)| Claim::Readiness {
            endpoint: id,
            readiness: [ReportedReadiness::Ready, ReportedReadiness::Draining, ReportedReadiness::Removed]
                [s as usize]
        }),
        (id(), any::<bool>()).prop_map(|(id, fails)| {
            let health = if fails { EndpointHealth::Failing } else { EndpointHealth::Healthy };
            Claim::Health { endpoint: id, health }
        }),
        (id(), 0u64..20)
            .prop_map(|(id, ago)| Claim::Started { endpoint: id, uptime: Duration::from_secs(ago) }),
        (id(), 0u64..9).prop_map(|(id, units)| Claim::SlowStartUnits { endpoint: id, milli_units: units }),
        (0u64..3, 0u64..9).prop_map(|(volume, rate)| Claim::Demand { volume, milli_units_per_second: rate }),
    ];
    (claim, 0u8..3, 0u64..3, 0u8..4, 100u64..160).prop_map(|(claim, by, start, hops, seen)| Observation {
        claim,
        observer: observer(by),
        endpoint_incarnation: start,
        hops,
        observed_at: Duration::from_secs(seen),
    })
}

fn store() -> impl Strategy<Value = ObservationStore> {
    prop::collection::vec(observation(), 0..24).prop_map(|observations| {
        let mut store = ObservationStore::default();
        observations.into_iter().for_each(|observation| {
            store.merge(observation);
        });
        store
    })
}

fn merged(a: &ObservationStore, b: &ObservationStore) -> ObservationStore {
    let mut out = a.clone();
    out.merge_store(b.clone());
    out
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn merging_is_a_join(a in store(), b in store(), c in store()) {
        prop_assert_eq!(merged(&a, &b), merged(&b, &a));
        prop_assert_eq!(merged(&merged(&a, &b), &c), merged(&a, &merged(&b, &c)));
        prop_assert_eq!(merged(&a, &a), a.clone());
        // A merge never replaces an observation by a smaller one.
        for observation in a.iter() {
            let after = merged(&a, &b);
            prop_assert!(after.get(&observation.subject()).is_some_and(|kept| kept >= observation));
        }
    }

    /// Whichever path an observation takes through processes whose clocks differ by minutes, its age is at
    /// least the true age, and it is not forwarded beyond its maximum number of hops.
    #[test]
    fn forwarding_never_makes_an_observation_younger(
        observation in observation(),
        path in prop::collection::vec((0u64..900, 0u64..2_000, 0u64..300), 1..8),
    ) {
        let origin = observer(9);
        let mut observation = Observation { observer: origin.clone(), hops: 0, ..observation };
        let (mut true_age, mut clock) = (Duration::ZERO, observation.observed_at);
        let mut me = origin.clone();
        for (hop, (offset, holding_time, round_trip)) in path.into_iter().enumerate() {
            let holding_time = Duration::from_millis(holding_time);
            let round_trip = Duration::from_millis(round_trip);
            clock += holding_time;
            true_age += holding_time;
            let Some(report) = observation.to_report(clock, &me) else {
                let is_expired = true_age > OBSERVATION_LIFETIME;
                prop_assert!(hop > MAX_HOPS as usize || is_expired || observation.claim.is_contribution());
                return Ok(());
            };
            prop_assert!(report.age >= true_age && report.hops as usize == hop);
            true_age += round_trip / 2;
            clock = Duration::from_secs(100_000 + offset);
            me = observer(10 + hop as u8);
            observation = report.into_observation(clock, round_trip / 2);
            prop_assert!(observation.age(clock) >= true_age);
        }
    }

    /// Additional reports, from any number of peers, never end a slow start earlier and never date the start
    /// of a known run after this process learned of the run.
    #[test]
    fn more_reports_never_shorten_a_slow_start(a in store(), b in store(), known_since in 100u64..160) {
        let known_since = Duration::from_secs(known_since);
        let local = LocalView {
            endpoint_incarnation: 1,
            incarnation_known_since: known_since,
            ..LocalView::default()
        };
        let advice = |store| Advice::from_observations(store, "s-0", &local, Duration::from_secs(160));
        let (less, more) = (advice(&a), advice(&merged(&a, &b)));
        let start_incarnation = |store: &ObservationStore| {
            store.get(&Subject::Start("s-0".into())).map(|start| start.endpoint_incarnation)
        };
        if start_incarnation(&a) == start_incarnation(&merged(&a, &b)) {
            prop_assert!(more.started_at >= less.started_at);
        }
        prop_assert!(less.started_at.is_none_or(|at| start_incarnation(&a) > Some(1) || at <= known_since));
    }
}

#[test]
fn a_full_store_drops_unlisted_endpoints_first() {
    let mut store = ObservationStore::default();
    let draining = |id: String, seen| Observation {
        claim: Claim::Readiness { endpoint: id, readiness: ReportedReadiness::Draining },
        observer: observer(1),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: seen,
    };
    store.merge(draining("s-own".into(), 50 * SECOND));
    (0..MAX_OBSERVATIONS + 500).for_each(|i| {
        store.merge(draining(format!("s-{i}"), 60 * SECOND));
    });
    store.expire(60 * SECOND, |id| id == "s-own");
    assert_eq!(store.len(), MAX_OBSERVATIONS);
    assert!(
        store.get(&Subject::Readiness("s-own".into())).is_some(),
        "the oldest observation is kept, since its endpoint is listed"
    );
    store.expire(50 * SECOND + OBSERVATION_LIFETIME + SECOND, |_| true);
    assert_eq!(store.len(), MAX_OBSERVATIONS - 1, "expired observations are dropped");
}
