//! The merge is a join, ages only grow, and what is bounded stays so.

use proptest::prelude::*;
use shaletack_observations::Subject;
use shaletack_observations::*;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn observer(number: u8) -> Observer {
    Observer { name: format!("n{number}"), incarnation: u64::from(number) }
}

fn fact() -> impl Strategy<Value = Observation> {
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

fn knowledge() -> impl Strategy<Value = ObservationStore> {
    prop::collection::vec(fact(), 0..24).prop_map(|facts| {
        let mut known = ObservationStore::default();
        facts.into_iter().for_each(|f| {
            known.merge(f);
        });
        known
    })
}

fn joined(a: &ObservationStore, b: &ObservationStore) -> ObservationStore {
    let mut out = a.clone();
    out.merge_store(b.clone());
    out
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(512) })]

    #[test]
    fn the_merge_is_a_join(a in knowledge(), b in knowledge(), c in knowledge()) {
        prop_assert_eq!(joined(&a, &b), joined(&b, &a));
        prop_assert_eq!(joined(&joined(&a, &b), &c), joined(&a, &joined(&b, &c)));
        prop_assert_eq!(joined(&a, &a), a.clone());
        // It only ever rises.
        for fact in a.iter() {
            let after = joined(&a, &b);
            prop_assert!(after.get(&fact.subject()).is_some_and(|f| f >= fact));
        }
    }

    /// Whatever way a fact takes through processes whose clocks differ by minutes, it is at least as old as it
    /// is, and at the end of its hops it goes no further.
    #[test]
    fn passing_on_never_makes_a_fact_younger(
        fact in fact(),
        way in prop::collection::vec((0u64..900, 0u64..2_000, 0u64..300), 1..8),
    ) {
        let origin = observer(9);
        let mut fact = Observation { observer: origin.clone(), hops: 0, ..fact };
        let (mut true_age, mut clock) = (Duration::ZERO, fact.observed_at);
        let mut me = origin.clone();
        for (hop, (offset, rests, trip)) in way.into_iter().enumerate() {
            let (rests, trip) = (Duration::from_millis(rests), Duration::from_millis(trip));
            clock += rests;
            true_age += rests;
            let Some(told) = fact.to_report(clock, &me) else {
                prop_assert!(hop > MAX_HOPS as usize || true_age > OBSERVATION_LIFETIME || fact.claim.is_contribution());
                return Ok(());
            };
            prop_assert!(told.age >= true_age && told.hops as usize == hop);
            true_age += trip / 2;
            clock = Duration::from_secs(100_000 + offset);
            me = observer(10 + hop as u8);
            fact = told.into_observation(clock, trip / 2);
            prop_assert!(fact.age(clock) >= true_age);
        }
    }

    /// No word of any number of peers takes a stop away sooner, or makes a box older than it is known to be.
    #[test]
    fn advice_of_a_start_never_makes_it_warmer(a in knowledge(), b in knowledge(), met in 100u64..160) {
        let own = LocalView { endpoint_incarnation: 1, incarnation_known_since: Duration::from_secs(met), ..LocalView::default() };
        let at = Duration::from_secs(160);
        let (less, more) = (Advice::from_observations(&a, "s-0", &own, at), Advice::from_observations(&joined(&a, &b), "s-0", &own, at));
        let same = |k: &ObservationStore| k.get(&Subject::Start("s-0".into())).map(|f| f.endpoint_incarnation);
        if same(&a) == same(&joined(&a, &b)) {
            prop_assert!(more.started_at >= less.started_at);
        }
        prop_assert!(less.started_at.is_none_or(|born| same(&a) > Some(1) || born <= own.incarnation_known_since));
    }
}

#[test]
fn a_flood_of_names_is_bounded_and_takes_the_unknown_first() {
    let mut known = ObservationStore::default();
    let standing = |id: String, seen| Observation {
        claim: Claim::Readiness { endpoint: id, readiness: ReportedReadiness::Draining },
        observer: observer(1),
        endpoint_incarnation: 0,
        hops: 0,
        observed_at: seen,
    };
    known.merge(standing("s-own".into(), 50 * S));
    (0..MAX_OBSERVATIONS + 500).for_each(|i| {
        known.merge(standing(format!("s-{i}"), 60 * S));
    });
    known.expire(60 * S, |id| id == "s-own");
    assert_eq!(known.len(), MAX_OBSERVATIONS);
    assert!(
        known.get(&Subject::Readiness("s-own".into())).is_some(),
        "the oldest, but of a box that is known"
    );
    known.expire(50 * S + OBSERVATION_LIFETIME + S, |_| true);
    assert_eq!(known.len(), MAX_OBSERVATIONS - 1, "what is too old is forgotten");
}
