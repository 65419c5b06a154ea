//! What a peer's word does, case by case.

use shaletack_knowledge::fact::Topic;
use shaletack_knowledge::*;
use std::time::Duration;

const S: Duration = Duration::from_secs(1);
const MS: Duration = Duration::from_millis(1);

fn observer(name: &str, life: u64) -> Observer {
    Observer { name: name.into(), life }
}

fn told(by: &Observer, what: What, start: u64, age: Duration) -> Told {
    Told { what, by: by.clone(), start, hops: 0, age }
}

fn standing(to: Standing) -> What {
    What::Standing("s-1".into(), to)
}

/// What a process that is `me` makes of one peer's facts, heard at 100 s without a round trip.
fn heard(facts: Vec<Told>) -> Knowledge {
    let mut known = Knowledge::default();
    let from = facts[0].by.clone();
    known.hear(100 * S, Duration::ZERO, &observer("me", 1), &from, facts);
    known
}

#[test]
fn news_older_than_ones_own_is_dropped_and_newer_news_stops_at_once() {
    let peer = observer("b", 2);
    let known = heard(vec![told(&peer, standing(Standing::Draining), 5, 3 * S)]);
    let own = |dated| Own { start: 5, dated, ..Own::default() };
    let stop = |dated, now| weigh(&known, "s-1", &own(dated), now).stop_until;
    assert_eq!(stop(Some(98 * S), 100 * S), None, "the own list spoke a second later and says ready");
    assert_eq!(stop(Some(97 * S), 100 * S), None, "in doubt the own list counts");
    assert_eq!(stop(Some(96 * S), 100 * S), Some(97 * S + TRUSTED));
    assert_eq!(stop(None, 100 * S), Some(97 * S + TRUSTED), "a list of any age is older");
    assert_eq!(stop(None, 97 * S + TRUSTED), None, "what nobody repeats is believed no longer");
}

#[test]
fn what_was_seen_of_an_earlier_start_says_nothing_of_a_later_one() {
    let peer = observer("b", 2);
    let old = |what| told(&peer, what, 4, S);
    let known = heard(vec![
        old(standing(Standing::Gone)),
        old(What::Failing("s-1".into(), true)),
        old(What::Started("s-1".into(), S)),
        old(What::Spent("s-1".into(), 9_000)),
    ]);
    let own = Own { start: 5, met: 100 * S, replaced: true, ..Own::default() };
    assert_eq!(weigh(&known, "s-1", &own, 100 * S), Advice::default());
    assert_eq!(spent(&known, "s-1", 5, 3 * S, 100 * S), 0);
    // And of a start that the own list has not told of yet it says all.
    let later = weigh(&known, "s-1", &Own { start: 3, ..own }, 100 * S);
    assert_eq!(later.born, Some(98 * S));
    assert!(later.stop_until.is_some() && later.hold_until.is_some());
    assert_eq!(spent(&known, "s-1", 3, 3 * S, 100 * S), 9_000);
}

#[test]
fn a_failing_box_is_held_back_for_a_while_and_only_where_another_serves() {
    let peer = observer("b", 2);
    let known = heard(vec![told(&peer, What::Failing("s-1".into(), true), 0, 500 * MS)]);
    let own = Own { replaced: true, ..Own::default() };
    let hold = |own: &Own, now| weigh(&known, "s-1", own, now).hold_until;
    assert_eq!(hold(&own, 100 * S), Some(101_500 * MS));
    assert_eq!(hold(&own, 102 * S), None);
    assert_eq!(hold(&Own { replaced: false, ..own }, 100 * S), None);
    assert_eq!(hold(&Own { answered: Some(100 * S), ..own }, 100 * S), None, "it has answered here since");
    assert!(hold(&Own { answered: Some(99 * S), ..own }, 100 * S).is_some());
    // A later word that it answers ends it.
    let mut known = known;
    known.hear(
        101 * S,
        Duration::ZERO,
        &observer("me", 1),
        &peer,
        vec![told(&peer, What::Failing("s-1".into(), false), 0, Duration::ZERO)],
    );
    assert_eq!(weigh(&known, "s-1", &own, 101 * S).hold_until, None);
}

#[test]
fn the_younger_of_two_starts_counts_but_none_after_it_was_met() {
    let (b, c) = (observer("b", 2), observer("c", 3));
    let mut known = heard(vec![told(&b, What::Started("s-1".into(), 10 * S), 5, Duration::ZERO)]);
    let own = Own { start: 5, met: 95 * S, ..Own::default() };
    assert_eq!(weigh(&known, "s-1", &own, 100 * S).born, Some(90 * S));
    let me = observer("me", 1);
    let says = |ago| vec![told(&c, What::Started("s-1".into(), ago), 5, Duration::ZERO)];
    known.hear(101 * S, Duration::ZERO, &me, &c, says(20 * S));
    assert_eq!(weigh(&known, "s-1", &own, 101 * S).born, Some(90 * S), "nobody makes it warmer");
    // One who says with each word that it has just started keeps it cold no longer than since it was met.
    for at in 102..130 {
        known.hear(at * S, Duration::ZERO, &me, &c, says(Duration::ZERO));
        assert_eq!(weigh(&known, "s-1", &own, at * S).born, Some(95 * S));
    }
}

#[test]
fn a_fact_that_circles_among_three_ages_out() {
    let names = [observer("a", 1), observer("b", 2), observer("c", 3)];
    let mut all = [Knowledge::default(), Knowledge::default(), Knowledge::default()];
    let drains =
        Fact { what: standing(Standing::Draining), by: names[0].clone(), start: 0, hops: 0, seen: 100 * S };
    // The observer says it once and dies; the others go on telling each other, and a newcomer of its name.
    let mut own = vec![drains];
    for round in 0..400u32 {
        let now = 100 * S + round * 200 * MS;
        let (from, to) = (round as usize % 3, (round as usize + 1) % 3);
        let said =
            all[from].tell(now, &names[from], if from == 0 { std::mem::take(&mut own) } else { vec![] });
        let (_, refused) = all[to].hear(now, 10 * MS, &names[to], &names[from], said);
        assert_eq!(refused.unsound, 0);
        all.iter_mut().for_each(|k| k.forget(now, |_| true));
        for known in &all {
            let age = known.get(&Topic::Standing("s-1".into())).map(|f| f.age(now));
            assert!(age.is_none_or(|age| age >= now - 100 * S), "younger than it is");
        }
    }
    assert!(all.iter().all(Knowledge::is_empty), "after {KEPT:?} nobody believes it");
}

#[test]
fn what_is_out_of_range_or_in_anothers_name_is_not_taken() {
    let (b, c, me) = (observer("b", 2), observer("c", 3), observer("me", 1));
    let mut known = Knowledge::default();
    let fine = told(&b, standing(Standing::Gone), 0, S);
    let hop = |by: &Observer, hops, what| Told { by: by.clone(), hops, what, ..fine.clone() };
    let facts = vec![
        told(&c, standing(Standing::Gone), 0, S), // first-hand, of somebody else
        hop(&b, 1, standing(Standing::Gone)),     // the teller's own, passed on
        hop(&c, HOPS_MOST + 1, standing(Standing::Gone)), // too far
        hop(&c, 1, What::Spent("s-1".into(), 5)), // an amount passed on
        told(&b, standing(Standing::Gone), 0, KEPT + S), // too old
        told(&b, What::Failing(String::new(), true), 0, S), // no name
        told(&b, What::Failing("x".repeat(NAME_MOST + 1), true), 0, S), // too long a name
    ];
    let count = facts.len();
    assert_eq!(known.hear(100 * S, S, &me, &b, facts).1, Refused { unsound: count, own: 0 });
    assert!(known.is_empty());
    assert_eq!(known.hear(100 * S, S, &me, &b, vec![hop(&me, 1, standing(Standing::Gone))]).1.own, 1);
    let (news, refused) = known.hear(100 * S, S, &me, &b, vec![fine.clone()]);
    assert_eq!((news.len(), refused), (1, Refused::default()));
    assert_eq!(known.facts().next().unwrap().seen, 100 * S - S - S / 2, "half the round trip older");
    assert!(known.hear(100 * S, 2 * S, &me, &b, vec![fine]).0.is_empty(), "the same again is no news");
}

/// A second process under one name is somebody else, and so is the last life of this one.
#[test]
fn a_name_taken_twice_counts_twice_for_what_was_spent_and_not_for_what_is_asked() {
    let (me, last, twin) = (observer("me", 1), observer("me", 7), observer("b", 8));
    let mut known = Knowledge::default();
    for by in [&last, &twin, &observer("b", 9)] {
        let facts =
            vec![told(by, What::Spent("s-1".into(), 2_000), 0, S), told(by, What::Demand(3, 10_000), 0, S)];
        known.hear(100 * S, Duration::ZERO, &me, by, facts);
    }
    assert_eq!(spent(&known, "s-1", 0, 3 * S, 100 * S), 6_000);
    assert_eq!(spent(&known, "s-1", 0, 3 * S, 102 * S), 0, "it has left the window");
    assert_eq!(demand(&known, 3, &me, 100 * S), Some((20_000, S)));
    assert_eq!(demand(&known, 3, &me, 100 * S + RATES), None, "stale");
}

#[test]
fn what_is_told_first_is_what_guards_a_cold_box_and_volumes_come_by_size() {
    let me = observer("me", 1);
    let own = |what| Fact { what, by: me.clone(), start: 0, hops: 0, seen: 100 * S };
    let facts = vec![
        own(What::Demand(1, 5)),
        own(What::Demand(2, 50)),
        own(standing(Standing::Ready)),
        own(What::Failing("s-1".into(), true)),
        own(What::Spent("s-1".into(), 1)),
        own(What::Started("s-1".into(), S)),
    ];
    let told = Knowledge::default().tell(101 * S, &me, facts);
    assert!(matches!(told[0].what, What::Spent(..)) && matches!(told[1].what, What::Started(..)));
    assert!(matches!(told[2].what, What::Failing(..)) && matches!(told[3].what, What::Standing(..)));
    assert!(matches!(told[4].what, What::Demand(2, _)) && matches!(told[5].what, What::Demand(1, _)));
    assert!(told.iter().all(|t| t.age == S && t.hops == 0));
}

#[test]
fn one_failure_is_chance_two_are_told_and_an_answer_takes_them_back() {
    let mut health = Health::default();
    health.answers(S);
    health.fails(2 * S);
    assert_eq!(health.verdict(), None);
    health.fails(3 * S);
    assert_eq!(health.verdict(), Some((true, 3 * S)));
    health.answers(4 * S);
    assert_eq!(health.verdict(), Some((false, 4 * S)));
}
