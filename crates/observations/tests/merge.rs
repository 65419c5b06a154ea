//! Merging is a join, ages only grow, and a store stays within its bounds.

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
    let what = prop_oneof![
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
    (what, 0u8..3, 0u64..3, 0u8..4, 100u64..160).prop_map(|(what, by, start, hops, seen)| Observation {
        claim: what,
        observer: observer(by),
        endpoint_incarnation: start,
        hops,
        observed_at: Duration::from_secs(seen),
    })
}

fn store() -> impl Strategy<Value = ObservationStore> {
    prop::collection::vec(observation(), 0..24).prop_map(|observations| {
        let mut store = ObservationStore::default();
        observations.into_iter().for_each(|f| {
            store.merge(f);
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
        // It only ever rises.
        for observation in a.iter() {
            let after = merged(&a, &b);
            prop_assert!(after.get(&observation.subject()).is_some_and(|f| f >= observation));
        }
    }

    /// Whichever way an observation takes through processes whose clocks differ by minutes, its age is at least the true
    /// one, and at the end of its hops it goes no further.
    #[test]
    fn forwarding_never_makes_an_observation_younger(
        observation in observation(),
        way in prop::collection::vec((0u64..900, 0u64..2_000, 0u64..300), 1..8),
    ) {
        let origin = observer(9);
        let mut observation = Observation { observer: origin.clone(), hops: 0, ..observation };
        let (mut true_age, mut clock) = (Duration::ZERO, observation.observed_at);
        let mut me = origin.clone();
        for (hop, (offset, rests, trip)) in way.into_iter().enumerate() {
            let (rests, trip) = (Duration::from_millis(rests), Duration::from_millis(trip));
            clock += rests;
            true_age += rests;
            let Some(report) = observation.to_report(clock, &me) else {
                let is_expired = true_age > OBSERVATION_LIFETIME;
                prop_assert!(hop > MAX_HOPS as usize || is_expired || observation.claim.is_contribution());
                return Ok(());
            };
            prop_assert!(report.age >= true_age && report.hops as usize == hop);
            true_age += trip / 2;
            clock = Duration::from_secs(100_000 + offset);
            me = observer(10 + hop as u8);
            observation = report.into_observation(clock, trip / 2);
            prop_assert!(observation.age(clock) >= true_age);
        }
    }

    /// No reports of any number of peers end a slow start earlier, or put one later than the run became known.
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
        let same = |k: &ObservationStore| k.get(&Subject::Start("s-0".into())).map(|f| f.endpoint_incarnation);
        if same(&a) == same(&merged(&a, &b)) {
            prop_assert!(more.started_at >= less.started_at);
        }
        prop_assert!(less.started_at.is_none_or(|at| same(&a) > Some(1) || at <= known_since));
    }
}

#[test]
fn a_flood_of_names_is_bounded_and_drops_unlisted_endpoints_first() {
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
    assert!(store.get(&Subject::Readiness("s-own".into())).is_some(), "the oldest, but of a listed endpoint");
    store.expire(50 * SECOND + OBSERVATION_LIFETIME + SECOND, |_| true);
    assert_eq!(store.len(), MAX_OBSERVATIONS - 1, "what is too old is dropped");
}
