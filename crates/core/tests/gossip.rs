//! What peers' reports do to what an initiator sends: the real reducer, with reports of others.

use bytes::Bytes;
use proptest::prelude::*;
use shaletack_core::broker::{
    Answer, AttemptId, AttemptResult, Broker, Clock, Effect, IncomingRequest, Input,
};
use shaletack_core::endpoint_list::{EndpointList, EndpointRecord};
use shaletack_core::interface::{
    EndpointListKind, Idempotency, Plan, Readiness, RequestClass, Settings, SharedRules,
};
use shaletack_core::operator_event::OperatorEvent;
use shaletack_core::outcome::TransportOutcome;
use shaletack_observations::{Claim, EndpointHealth, Observer, Report, ReportedReadiness};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);
const S: Duration = Duration::from_secs(1);
/// Unix time at the start, by every clock but where a test says otherwise.
const UNIX: Duration = Duration::from_secs(1_000_000);

fn settings(hosts: u32) -> Settings {
    let class = |name: &str, effect| RequestClass {
        name: name.into(),
        latency_objective: 150 * MS,
        deadline: 1200 * MS,
        late_weight: 0.1,
        priority_weight: 2.0,
        idempotency: effect,
        ..RequestClass::default()
    };
    Settings {
        initiators: hosts,
        min_batch_interval: MS,
        classes: vec![
            class("leitura", Idempotency::Idempotent),
            class("gravacao", Idempotency::NotIdempotent),
        ],
        plans: vec![Plan { rate: 50.0, reserve: 20.0, weight: 1.0, price: 1.0, ..Plan::default() }],
        rules: SharedRules {
            slow_start_capacity: 0.16,
            slow_start_duration: 16 * S,
            overload_factor: 3.0,
            overload_window: 3 * S,
            ..SharedRules::default()
        },
        max_attempts: 4,
        cancellation_allowed: true,
        slow_start_units: 16.0,
        mean_request_units: 2.0,
        max_request_units: 6.0,
        within_share_weight: 0.35,
        beyond_share_weight: 0.1,
        ..Settings::default()
    }
}

fn observer(name: &str) -> Observer {
    Observer { name: name.into(), incarnation: 7 }
}

/// An endpoint that started this long before the test's zero; `None`: long ago.
fn member(number: u16, readiness: Readiness, up_for: Option<Duration>) -> EndpointRecord {
    EndpointRecord {
        id: format!("s-{number:08x}"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 9000 + number))),
        zone: String::new(),
        shard: 0,
        readiness,
        up_since: up_for.map(|ago| UNIX - ago),
    }
}

/// One initiator in virtual time; its clock may be off.
struct Initiator {
    broker: Broker,
    zero: Instant,
    now: Duration,
    next: u64,
    sent: Vec<(Duration, u16, f64)>,
    in_flight: Vec<(AttemptId, u16)>,
    log: Vec<OperatorEvent>,
    answers: Vec<(u64, Answer)>,
}

impl Initiator {
    fn new(name: &str, hosts: u32, kind: EndpointListKind, endpoints: Vec<EndpointRecord>) -> Self {
        Self::with_clock(name, hosts, kind, endpoints, UNIX)
    }

    fn with_clock(
        name: &str,
        hosts: u32,
        kind: EndpointListKind,
        endpoints: Vec<EndpointRecord>,
        unix: Duration,
    ) -> Self {
        let zero = Instant::now();
        let broker = Broker::new(settings(hosts), 5, Clock::new(zero, unix), zero);
        let mut initiator = Initiator {
            broker: broker.among_peers(observer(name)),
            zero,
            now: Duration::ZERO,
            next: 0,
            sent: Vec::new(),
            in_flight: Vec::new(),
            log: Vec::new(),
            answers: Vec::new(),
        };
        initiator.list(kind, endpoints);
        initiator
    }

    fn step(&mut self, input: Input) {
        for effect in self.broker.step(self.zero + self.now, input) {
            match effect {
                Effect::StartAttempt { attempt, to, .. } => {
                    self.sent.push((self.now, to.port() - 9000, 2.0));
                    self.in_flight.push((attempt, to.port() - 9000));
                }
                Effect::AbortAttempt(attempt) => self.in_flight.retain(|f| f.0 != attempt),
                Effect::Respond { request, answer } => self.answers.push((request, answer)),
                Effect::Log(notice) => self.log.push(notice),
                Effect::SetTimer(_) | Effect::Broadcast(_) => {}
            }
        }
    }

    fn list(&mut self, kind: EndpointListKind, entries: Vec<EndpointRecord>) {
        self.step(Input::EndpointList(EndpointList { revision: 1, kind, entries }));
    }

    fn request(&mut self) {
        self.request_over(1.0);
    }

    /// A request of a volume that comes through so many initiators.
    fn request_over(&mut self, hosts: f64) {
        self.next += 1;
        let ask = IncomingRequest {
            volume: 1,
            initiators: hosts,
            key: self.next,
            shard: Some(0),
            units: 2.0,
            time_remaining: 1200 * MS,
            ..IncomingRequest::default()
        };
        self.step(Input::RequestArrived { id: self.next, request: ask });
    }

    /// Time passes; attempts in flight end as `end` says of their endpoint.
    fn advance(&mut self, span: Duration, end: impl Fn(u16) -> Option<TransportOutcome>) {
        let until = self.now + span;
        while self.now < until {
            self.now += 10 * MS;
            for (attempt, to) in std::mem::take(&mut self.in_flight) {
                match end(to) {
                    Some(end) => {
                        let body = Bytes::new();
                        self.step(Input::AttemptEnded {
                            attempt,
                            result: AttemptResult { body, ..AttemptResult::without_response(end) },
                        });
                    }
                    None => self.in_flight.push((attempt, to)),
                }
            }
            self.step(Input::TimerFired);
        }
    }

    fn reports(&self) -> Vec<Report> {
        self.broker.peer_reports(self.zero + self.now)
    }

    fn receive(&mut self, from: &str, told: Vec<Report>) {
        self.step(Input::PeerReports { from: observer(from), round_trip: 2 * MS, reports: told });
    }

    fn sent_to(&self, number: u16) -> usize {
        self.sent.iter().filter(|s| s.1 == number).count()
    }
}

fn served(_: u16) -> Option<TransportOutcome> {
    Some(TransportOutcome::Complete)
}

fn report(by: &str, what: Claim, up_for: Option<Duration>, age: Duration) -> Report {
    let start = up_for.map_or(0, |ago| (UNIX - ago).as_millis() as u64);
    Report { claim: what, observer: observer(by), endpoint_incarnation: start, hops: 0, age }
}

fn id(number: u16) -> String {
    member(number, Readiness::Ready, None).id
}

/// An initiator restarts with a list of any age. One endpoint on it was removed meanwhile, and a peer knows.
#[test]
fn a_restarted_initiator_avoids_an_endpoint_that_its_peer_knows_to_be_removed() {
    let ready = |n| member(n, Readiness::Ready, None);
    let mut peer = Initiator::new("b", 2, EndpointListKind::Full, vec![ready(1), ready(2)]);
    peer.list(EndpointListKind::Delta, vec![member(1, Readiness::Removed, None)]);
    peer.now = 500 * S;
    peer.step(Input::EndpointListCurrent);
    let run = |told: Option<Vec<Report>>| {
        let mut back = Initiator::new("a", 2, EndpointListKind::Cached, vec![ready(1), ready(2)]);
        told.into_iter().for_each(|told| back.receive("b", told));
        for _ in 0..5 {
            (0..4).for_each(|_| back.request());
            back.advance(100 * MS, |to| if to == 1 { None } else { served(to) });
        }
        (back.sent_to(1), back.sent_to(2), back)
    };
    let (cold, _, _) = run(None);
    let (informed, elsewhere, back) = run(Some(peer.reports()));
    assert!(cold > 0, "the case must arise without a peer");
    assert_eq!((informed, elsewhere), (0, 20));
    assert!(back.log.iter().any(|n| matches!(n, OperatorEvent::AdviceChanged { stopped: true, .. })));
}

#[test]
fn a_drain_that_a_peer_reports_counts_until_the_own_list_says_otherwise_later() {
    let ready = || vec![member(1, Readiness::Ready, None)];
    let mut initiator = Initiator::new("a", 1, EndpointListKind::Cached, ready());
    initiator.request();
    assert_eq!(initiator.sent_to(1), 1);
    initiator.advance(100 * MS, served);
    initiator.receive(
        "b",
        vec![report(
            "b",
            Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Draining },
            None,
            S,
        )],
    );
    initiator.request();
    assert_eq!(initiator.sent_to(1), 1, "in the same step");
    initiator.advance(10 * MS, served);
    initiator.list(EndpointListKind::Delta, ready());
    assert_eq!(initiator.sent_to(1), 2, "the own list is newer and says ready");
    initiator.advance(100 * MS, served);
    // And what the peer saw before that changes nothing any more.
    initiator.receive(
        "b",
        vec![report(
            "b",
            Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Removed },
            None,
            300 * MS,
        )],
    );
    initiator.request();
    assert_eq!(initiator.sent_to(1), 3);
}

#[test]
fn no_report_lifts_a_drain_of_the_own_list_or_adds_an_endpoint() {
    let drains = vec![member(1, Readiness::Draining, None)];
    let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, drains);
    initiator.advance(S, served);
    let ready = |n| {
        report(
            "b",
            Claim::Readiness { endpoint: id(n), readiness: ReportedReadiness::Ready },
            None,
            Duration::ZERO,
        )
    };
    initiator.receive(
        "b",
        vec![
            ready(1),
            ready(2),
            report(
                "b",
                Claim::Health { endpoint: id(1), health: EndpointHealth::Healthy },
                None,
                Duration::ZERO,
            ),
        ],
    );
    initiator.request();
    initiator.advance(2 * S, served);
    assert!(initiator.sent.is_empty());
    assert!(matches!(initiator.answers[..], [(1, Answer::Rejected(_))]));
}

/// The most units sent in any window to an endpoint in slow start, by one of two initiators with more requests than that.
fn most_in_window(told: impl Fn(&mut Initiator), span: Duration) -> f64 {
    let cold = Some(Duration::ZERO);
    let mut initiator =
        Initiator::new("a", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, cold)]);
    initiator.advance(4 * S, served);
    initiator.sent.clear();
    let from = initiator.now;
    while initiator.now < from + span {
        told(&mut initiator);
        (0..4).for_each(|_| initiator.request());
        initiator.advance(100 * MS, |_| None);
    }
    let sums = initiator.sent.iter().map(|(at, _, _)| {
        initiator.sent.iter().filter(|s| s.0 >= *at && s.0 < *at + 3 * S).map(|s| s.2).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

#[test]
fn reports_widen_no_slow_start_and_what_peers_sent_counts_against_it() {
    let cold = Some(Duration::ZERO);
    let alone = most_in_window(|_| {}, 3 * S);
    let idle = |initiator: &mut Initiator| {
        for by in ["b", "c"] {
            let facts = vec![
                report(by, Claim::SlowStartUnits { endpoint: id(1), milli_units: 0 }, cold, Duration::ZERO),
                report(
                    by,
                    Claim::Health { endpoint: id(1), health: EndpointHealth::Healthy },
                    cold,
                    Duration::ZERO,
                ),
                report(by, Claim::Started { endpoint: id(1), uptime: 15 * S }, cold, Duration::ZERO),
                report(
                    by,
                    Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Ready },
                    cold,
                    Duration::ZERO,
                ),
            ];
            initiator.receive(by, facts);
        }
    };
    assert!(alone > 0.0);
    assert_eq!(most_in_window(idle, 3 * S), alone, "not one unit more");
    // By the fourth second an endpoint in slow start bears 16 x (1 + 5.25 x 4/16) = 37 units; a peer took all but 2.
    let busy = |initiator: &mut Initiator| {
        initiator.receive(
            "b",
            vec![report(
                "b",
                Claim::SlowStartUnits { endpoint: id(1), milli_units: 34_500 },
                cold,
                Duration::ZERO,
            )],
        );
    };
    let left = most_in_window(busy, S);
    assert!(left < alone && left <= 8.0, "{left} of {alone}");
}

#[test]
fn a_start_that_only_a_peer_knows_of_begins_slow_start_here_too() {
    let old = Some(900 * S);
    let run = |told: Vec<Report>| {
        let mut initiator =
            Initiator::new("a", 2, EndpointListKind::Cached, vec![member(1, Readiness::Ready, old)]);
        initiator.advance(4 * S, served);
        initiator.receive("b", told);
        for _ in 0..40 {
            initiator.request();
            initiator.advance(10 * MS, served);
        }
        initiator.sent.len()
    };
    let (warm, cold) = (
        run(Vec::new()),
        run(vec![report(
            "b",
            Claim::Started { endpoint: id(1), uptime: S },
            Some(Duration::ZERO),
            Duration::ZERO,
        )]),
    );
    assert!(cold < warm, "{cold} sends in slow start, {warm} to a warm endpoint");
    // The same words of an earlier start than the one listed change nothing.
    assert_eq!(
        run(vec![report("b", Claim::Started { endpoint: id(1), uptime: S }, Some(999 * S), Duration::ZERO)]),
        warm
    );
}

/// An initiator's clock is five minutes ahead: by the list's time alone, an endpoint that started a second ago has its slow
/// start behind it.
#[test]
fn clocks_that_differ_by_minutes_do_not_end_slow_start() {
    let ahead = UNIX + 300 * S;
    let cold = Some(S);
    let mut peer = Initiator::new("b", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, cold)]);
    peer.advance(10 * MS, served);
    let run = |told: Vec<Report>| {
        let endpoints = vec![member(1, Readiness::Ready, cold)];
        let mut initiator = Initiator::with_clock("a", 2, EndpointListKind::Cached, endpoints, ahead);
        initiator.advance(4 * S, served);
        initiator.receive("b", told);
        for _ in 0..40 {
            initiator.request();
            initiator.advance(10 * MS, served);
        }
        initiator.sent.len()
    };
    let told = peer.reports();
    assert!(
        told.iter().any(|t| matches!(&t.claim, Claim::Started { uptime: ago, .. } if *ago <= S + 20 * MS)),
        "{told:?}"
    );
    assert!(run(told) < run(Vec::new()));
    // One whose clock is behind must not report the same endpoint as just started for minutes.
    let behind = UNIX - 300 * S;
    let mut late = Initiator::with_clock(
        "c",
        2,
        EndpointListKind::Full,
        vec![member(1, Readiness::Ready, cold)],
        behind,
    );
    late.advance(10 * S, served);
    let ago = late.reports().into_iter().find_map(|t| match t.claim {
        Claim::Started { uptime: ago, .. } => Some(ago),
        _ => None,
    });
    assert!(ago.is_some_and(|ago| ago >= 9 * S), "{ago:?}");
}

#[test]
fn peers_that_all_restart_at_once_report_nothing_of_their_cached_lists() {
    let endpoints = || vec![member(1, Readiness::Draining, None), member(2, Readiness::Ready, None)];
    let mut all: Vec<Initiator> = ["a", "b", "c"]
        .iter()
        .map(|name| Initiator::new(name, 3, EndpointListKind::Cached, endpoints()))
        .collect();
    for round in 0..3 {
        let told: Vec<Vec<Report>> = all.iter().map(Initiator::reports).collect();
        assert!(told.iter().flatten().all(|t| t.claim.endpoint().is_none()), "round {round}: {told:?}");
        for (to, initiator) in all.iter_mut().enumerate() {
            for (from, told) in told.iter().enumerate().filter(|(from, _)| *from != to) {
                initiator.receive(["a", "b", "c"][from], told.clone());
            }
        }
    }
    // The first whose list speaks tells the others.
    all[0].list(
        EndpointListKind::Full,
        vec![member(1, Readiness::Draining, None), member(2, Readiness::Removed, None)],
    );
    let told = all[0].reports();
    all[1].receive("a", told);
    all[1].request();
    assert!(all[1].sent.is_empty());
}

/// Two sides of a partition saw different things of one endpoint. Once it heals, the later observation counts on both.
#[test]
fn after_a_partition_heals_the_later_observation_counts_on_both_sides() {
    let ready = || vec![member(1, Readiness::Ready, None)];
    let mut left = Initiator::new("a", 2, EndpointListKind::Full, ready());
    let mut right = Initiator::new("b", 2, EndpointListKind::Full, ready());
    let mut third = Initiator::new("c", 2, EndpointListKind::Cached, ready());
    (left.now, right.now, third.now) = (10 * S, 12 * S, 12 * S);
    left.list(EndpointListKind::Delta, vec![member(1, Readiness::Draining, None)]);
    left.now = 12 * S;
    right.list(EndpointListKind::Delta, ready());
    // The left one's drain was seen two seconds before the right one's list said ready.
    let (from_left, from_right) = (left.reports(), right.reports());
    third.receive("a", from_left.clone());
    third.request();
    assert!(third.sent.is_empty());
    right.receive("a", from_left);
    right.request();
    assert_eq!(right.sent_to(1), 1, "its own list is newer");
    third.receive("b", right.reports());
    assert_eq!(third.sent_to(1), 1, "and it tells so, since somebody thought otherwise: {from_right:?}");
}

#[test]
fn an_endpoint_that_fails_elsewhere_is_tried_last_but_is_tried() {
    let endpoints = || vec![member(1, Readiness::Ready, None), member(2, Readiness::Ready, None)];
    let fails = || {
        vec![report(
            "b",
            Claim::Health { endpoint: id(1), health: EndpointHealth::Failing },
            None,
            Duration::ZERO,
        )]
    };
    let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, endpoints());
    initiator.receive("b", fails());
    for _ in 0..10 {
        (0..4).for_each(|_| initiator.request());
        initiator.advance(100 * MS, served);
    }
    assert_eq!((initiator.sent_to(1), initiator.sent_to(2)), (0, 40));
    initiator.advance(1500 * MS, served);
    (0..6).for_each(|_| initiator.request());
    assert!(initiator.sent_to(1) > 0, "after two seconds it is tried again");
    // Where it is the only one, a trial is better than nobody served.
    let mut alone = Initiator::new("a", 1, EndpointListKind::Full, endpoints()[..1].to_vec());
    alone.receive("b", fails());
    alone.request();
    assert_eq!(alone.sent_to(1), 1);
}

#[test]
fn an_endpoint_that_fails_here_is_held_back_while_another_serves() {
    let endpoints = || vec![member(1, Readiness::Ready, None), member(2, Readiness::Ready, None)];
    let run = |endpoints: Vec<EndpointRecord>| {
        let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, endpoints);
        for _ in 0..10 {
            (0..4).for_each(|_| initiator.request());
            initiator.advance(100 * MS, |to| {
                Some(if to == 1 { TransportOutcome::EndpointError } else { TransportOutcome::Complete })
            });
        }
        (initiator.sent_to(1), initiator.answers.iter().filter(|a| matches!(a.1, Answer::Served(_))).count())
    };
    let (tried, served) = run(endpoints());
    assert!(tried <= 3 && served >= 39, "{tried} tried, {served} served");
    assert!(run(endpoints()[..1].to_vec()).0 > 10, "alone it is tried on");
}

#[test]
fn demand_at_peers_sets_the_first_slice_while_it_is_recent() {
    let run = |told: Option<Duration>| {
        let mut set = settings(2);
        set.plans[0] = Plan { limit: 40.0, burst: 40.0, tolerance: 6.0, ..set.plans[0].clone() };
        let zero = Instant::now();
        let broker = Broker::new(set, 5, Clock::new(zero, UNIX), zero).among_peers(observer("a"));
        let mut initiator =
            Initiator::new("a", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, None)]);
        (initiator.broker, initiator.zero) = (broker, zero);
        initiator.list(EndpointListKind::Full, vec![member(1, Readiness::Ready, None)]);
        initiator.advance(S, served);
        if let Some(age) = told {
            initiator.receive(
                "b",
                vec![report("b", Claim::Demand { volume: 1, milli_units_per_second: 38_000 }, None, age)],
            );
        }
        (0..30).for_each(|_| initiator.request_over(2.0));
        initiator.advance(500 * MS, served);
        initiator.sent.len()
    };
    let even = run(None);
    assert!(run(Some(Duration::ZERO)) < even, "the peer is asked for nearly all of it");
    assert_eq!(run(Some(5 * S)), even, "old news says nothing");
}

fn lie() -> impl Strategy<Value = Vec<Report>> {
    let what = (0u16..4, 0u8..7, 0u64..60_000).prop_map(|(box_no, kind, figure)| match kind {
        0 => Claim::Readiness { endpoint: id(box_no), readiness: ReportedReadiness::Ready },
        1 => Claim::Readiness { endpoint: id(box_no), readiness: ReportedReadiness::Draining },
        2 => Claim::Readiness { endpoint: id(box_no), readiness: ReportedReadiness::Removed },
        3 => Claim::Health {
            endpoint: id(box_no),
            health: [EndpointHealth::Healthy, EndpointHealth::Failing][usize::from(figure % 2 == 0)],
        },
        4 => Claim::Started { endpoint: id(box_no), uptime: Duration::from_millis(figure) },
        5 => Claim::SlowStartUnits { endpoint: id(box_no), milli_units: figure },
        _ => Claim::Demand { volume: 1, milli_units_per_second: figure },
    });
    let told = (what, 0u64..3, 0u64..20_000, 0u8..2).prop_map(|(what, start, age, by)| Report {
        claim: what,
        observer: observer(["b", "c"][by as usize]),
        endpoint_incarnation: [0, UNIX.as_millis() as u64, u64::MAX][start as usize],
        hops: 0,
        age: Duration::from_millis(age),
    });
    prop::collection::vec(told, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(96) })]

    /// Whatever a peer reports within range: nothing is sent to an endpoint that the own list does not name or that
    /// drains there, one in slow start gets no more than this initiator's share, and every request has one answer.
    #[test]
    fn a_peer_that_lies_about_everything_can_only_take_away(lies in prop::collection::vec(lie(), 1..40)) {
        let cold = Some(Duration::ZERO);
        let endpoints = vec![member(1, Readiness::Ready, cold), member(2, Readiness::Draining, None)];
        let mut initiator = Initiator::new("a", 2, EndpointListKind::Full, endpoints);
        initiator.advance(4 * S, served);
        for told in lies {
            for by in ["b", "c"] {
                initiator.receive(by, told.iter().filter(|t| t.observer.name == by).cloned().collect());
            }
            (0..3).for_each(|_| initiator.request());
            initiator.advance(100 * MS, |_| None);
        }
        initiator.advance(2 * S, |_| None);
        prop_assert!(initiator.sent.iter().all(|(_, to, _)| *to == 1));
        for (at, _, _) in &initiator.sent {
            let within = initiator.sent.iter().filter(|s| s.0 >= *at && s.0 < *at + 3 * S);
            let age = *at + 3 * S;
            let bears = 16.0 * (1.0 + 5.25 * (age.as_secs_f64() / 16.0).min(1.0)) / 2.0;
            let units: f64 = within.map(|s| s.2).sum();
            prop_assert!(units <= bears + 1e-6, "{} units of {}", units, bears);
        }
        let mut ids: Vec<u64> = initiator.answers.iter().map(|a| a.0).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, (1..=initiator.next).collect::<Vec<_>>());
    }
}
