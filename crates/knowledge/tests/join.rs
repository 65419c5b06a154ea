//! The merge is a join, ages only grow, and what is bounded stays so.

use proptest::prelude::*;
use shaletack_knowledge::fact::Topic;
use shaletack_knowledge::*;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);

fn observer(number: u8) -> Observer {
    Observer { name: format!("n{number}"), life: u64::from(number) }
}

fn fact() -> impl Strategy<Value = Fact> {
    let id = || (0u8..3).prop_map(|n| format!("s-{n}"));
    let what = prop_oneof![
        (id(), 0u8..3).prop_map(|(id, s)| What::Standing(
            id,
            [Standing::Ready, Standing::Draining, Standing::Gone][s as usize]
        )),
        (id(), any::<bool>()).prop_map(|(id, fails)| What::Failing(id, fails)),
        (id(), 0u64..20).prop_map(|(id, ago)| What::Started(id, Duration::from_secs(ago))),
        (id(), 0u64..9).prop_map(|(id, units)| What::Spent(id, units)),
        (0u64..3, 0u64..9).prop_map(|(volume, rate)| What::Demand(volume, rate)),
    ];
    (what, 0u8..3, 0u64..3, 0u8..4, 100u64..160).prop_map(|(what, by, start, hops, seen)| Fact {
        what,
        by: observer(by),
        start,
        hops,
        seen: Duration::from_secs(seen),
    })
}

fn knowledge() -> impl Strategy<Value = Knowledge> {
    prop::collection::vec(fact(), 0..24).prop_map(|facts| {
        let mut known = Knowledge::default();
        facts.into_iter().for_each(|f| {
            known.learn(f);
        });
        known
    })
}

fn joined(a: &Knowledge, b: &Knowledge) -> Knowledge {
    let mut out = a.clone();
    out.join(b.clone());
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
        for fact in a.facts() {
            let after = joined(&a, &b);
            prop_assert!(after.get(&fact.topic()).is_some_and(|f| f >= fact));
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
        let mut fact = Fact { by: origin.clone(), hops: 0, ..fact };
        let (mut true_age, mut clock) = (Duration::ZERO, fact.seen);
        let mut me = origin.clone();
        for (hop, (offset, rests, trip)) in way.into_iter().enumerate() {
            let (rests, trip) = (Duration::from_millis(rests), Duration::from_millis(trip));
            clock += rests;
            true_age += rests;
            let Some(told) = fact.told(clock, &me) else {
                prop_assert!(hop > HOPS_MOST as usize || true_age > KEPT || fact.what.is_amount());
                return Ok(());
            };
            prop_assert!(told.age >= true_age && told.hops as usize == hop);
            true_age += trip / 2;
            clock = Duration::from_secs(100_000 + offset);
            me = observer(10 + hop as u8);
            fact = told.heard(clock, trip / 2);
            prop_assert!(fact.age(clock) >= true_age);
        }
    }

    /// No word of any number of peers takes a stop away sooner, or makes a box older than it is known to be.
    #[test]
    fn advice_of_a_start_never_makes_it_warmer(a in knowledge(), b in knowledge(), met in 100u64..160) {
        let own = Own { start: 1, met: Duration::from_secs(met), ..Own::default() };
        let at = Duration::from_secs(160);
        let (less, more) = (weigh(&a, "s-0", &own, at), weigh(&joined(&a, &b), "s-0", &own, at));
        let same = |k: &Knowledge| k.get(&Topic::Start("s-0".into())).map(|f| f.start);
        if same(&a) == same(&joined(&a, &b)) {
            prop_assert!(more.born >= less.born);
        }
        prop_assert!(less.born.is_none_or(|born| same(&a) > Some(1) || born <= own.met));
    }
}

#[test]
fn a_flood_of_names_is_bounded_and_takes_the_unknown_first() {
    let mut known = Knowledge::default();
    let standing = |id: String, seen| Fact {
        what: What::Standing(id, Standing::Draining),
        by: observer(1),
        start: 0,
        hops: 0,
        seen,
    };
    known.learn(standing("s-own".into(), 50 * S));
    (0..FACTS_MOST + 500).for_each(|i| {
        known.learn(standing(format!("s-{i}"), 60 * S));
    });
    known.forget(60 * S, |id| id == "s-own");
    assert_eq!(known.len(), FACTS_MOST);
    assert!(known.get(&Topic::Standing("s-own".into())).is_some(), "the oldest, but of a box that is known");
    known.forget(50 * S + KEPT + S, |_| true);
    assert_eq!(known.len(), FACTS_MOST - 1, "what is too old is forgotten");
}
