//! What peers' words do to what an initiator sends: the real reducer, told by others.

use bytes::Bytes;
use proptest::prelude::*;
use shaletack_core::broker::*;
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
/// By the box's clock, which is everybody's but where a test says otherwise.
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

/// A box that started so long before the test's zero; `None`: long ago.
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
struct Node {
    broker: Broker,
    zero: Instant,
    now: Duration,
    next: u64,
    sent: Vec<(Duration, u16, f64)>,
    flying: Vec<(AttemptId, u16)>,
    notices: Vec<OperatorEvent>,
    answers: Vec<(u64, Answer)>,
}

impl Node {
    fn new(name: &str, hosts: u32, kind: EndpointListKind, boxes: Vec<EndpointRecord>) -> Self {
        Self::with_clock(name, hosts, kind, boxes, UNIX)
    }

    fn with_clock(
        name: &str,
        hosts: u32,
        kind: EndpointListKind,
        boxes: Vec<EndpointRecord>,
        unix: Duration,
    ) -> Self {
        let zero = Instant::now();
        let broker = Broker::new(settings(hosts), 5, Clock::new(zero, unix), zero);
        let mut node = Node {
            broker: broker.among_peers(observer(name)),
            zero,
            now: Duration::ZERO,
            next: 0,
            sent: Vec::new(),
            flying: Vec::new(),
            notices: Vec::new(),
            answers: Vec::new(),
        };
        node.list(kind, boxes);
        node
    }

    fn feed(&mut self, input: Input) {
        for effect in self.broker.step(self.zero + self.now, input) {
            match effect {
                Effect::StartAttempt { attempt, to, .. } => {
                    self.sent.push((self.now, to.port() - 9000, 2.0));
                    self.flying.push((attempt, to.port() - 9000));
                }
                Effect::AbortAttempt(attempt) => self.flying.retain(|f| f.0 != attempt),
                Effect::Respond { request, answer } => self.answers.push((request, answer)),
                Effect::Log(notice) => self.notices.push(notice),
                Effect::SetTimer(_) | Effect::Broadcast(_) => {}
            }
        }
    }

    fn list(&mut self, kind: EndpointListKind, entries: Vec<EndpointRecord>) {
        self.feed(Input::EndpointList(EndpointList { revision: 1, kind, entries }));
    }

    fn ask(&mut self) {
        self.ask_over(1.0);
    }

    /// A request of a volume that comes through so many initiators.
    fn ask_over(&mut self, hosts: f64) {
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
        self.feed(Input::RequestArrived { id: self.next, request: ask });
    }

    /// Time passes; what is out comes back as `end` says of its box.
    fn pass(&mut self, span: Duration, end: impl Fn(u16) -> Option<TransportOutcome>) {
        let until = self.now + span;
        while self.now < until {
            self.now += 10 * MS;
            for (attempt, to) in std::mem::take(&mut self.flying) {
                match end(to) {
                    Some(end) => {
                        let body = Bytes::new();
                        self.feed(Input::AttemptEnded {
                            attempt,
                            result: AttemptResult { body, ..AttemptResult::none(end) },
                        });
                    }
                    None => self.flying.push((attempt, to)),
                }
            }
            self.feed(Input::TimerFired);
        }
    }

    fn tell(&self) -> Vec<Report> {
        self.broker.peer_reports(self.zero + self.now)
    }

    fn hear(&mut self, from: &str, told: Vec<Report>) {
        self.feed(Input::PeerReports { from: observer(from), round_trip: 2 * MS, reports: told });
    }

    fn sent_to(&self, number: u16) -> usize {
        self.sent.iter().filter(|s| s.1 == number).count()
    }
}

fn served(_: u16) -> Option<TransportOutcome> {
    Some(TransportOutcome::Complete)
}

fn says(by: &str, what: Claim, up_for: Option<Duration>, age: Duration) -> Report {
    let start = up_for.map_or(0, |ago| (UNIX - ago).as_millis() as u64);
    Report { claim: what, observer: observer(by), endpoint_incarnation: start, hops: 0, age }
}

fn id(number: u16) -> String {
    member(number, Readiness::Ready, None).id
}

/// The case this was built for: a stale list, a box that is gone, and a peer that knows.
#[test]
fn a_returning_initiator_leaves_a_box_alone_that_its_peer_knows_to_be_gone() {
    let ready = |n| member(n, Readiness::Ready, None);
    let mut peer = Node::new("b", 2, EndpointListKind::Full, vec![ready(1), ready(2)]);
    peer.list(EndpointListKind::Delta, vec![member(1, Readiness::Removed, None)]);
    peer.now = 500 * S;
    peer.feed(Input::EndpointListCurrent);
    let run = |told: Option<Vec<Report>>| {
        let mut back = Node::new("a", 2, EndpointListKind::Cached, vec![ready(1), ready(2)]);
        told.into_iter().for_each(|told| back.hear("b", told));
        for _ in 0..5 {
            (0..4).for_each(|_| back.ask());
            back.pass(100 * MS, |to| if to == 1 { None } else { served(to) });
        }
        (back.sent_to(1), back.sent_to(2), back)
    };
    let (cold, _, _) = run(None);
    let (informed, elsewhere, back) = run(Some(peer.tell()));
    assert!(cold > 0, "the case must arise without a peer");
    assert_eq!((informed, elsewhere), (0, 20));
    assert!(back.notices.iter().any(|n| matches!(n, OperatorEvent::AdviceChanged { stopped: true, .. })));
}

#[test]
fn a_drain_that_a_peer_tells_stops_sends_at_once_until_the_own_list_speaks_later() {
    let ready = || vec![member(1, Readiness::Ready, None)];
    let mut node = Node::new("a", 1, EndpointListKind::Cached, ready());
    node.ask();
    assert_eq!(node.sent_to(1), 1);
    node.pass(100 * MS, served);
    node.hear(
        "b",
        vec![says(
            "b",
            Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Draining },
            None,
            S,
        )],
    );
    node.ask();
    assert_eq!(node.sent_to(1), 1, "in the same step");
    node.pass(10 * MS, served);
    node.list(EndpointListKind::Delta, ready());
    assert_eq!(node.sent_to(1), 2, "the own list is newer and says ready");
    node.pass(100 * MS, served);
    // And what the peer saw before that changes nothing any more.
    node.hear(
        "b",
        vec![says(
            "b",
            Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Removed },
            None,
            300 * MS,
        )],
    );
    node.ask();
    assert_eq!(node.sent_to(1), 3);
}

#[test]
fn nobody_lifts_a_drain_of_the_own_list_or_names_a_box_that_it_does_not() {
    let drains = vec![member(1, Readiness::Draining, None)];
    let mut node = Node::new("a", 1, EndpointListKind::Full, drains);
    node.pass(S, served);
    let ready = |n| {
        says(
            "b",
            Claim::Readiness { endpoint: id(n), readiness: ReportedReadiness::Ready },
            None,
            Duration::ZERO,
        )
    };
    node.hear(
        "b",
        vec![
            ready(1),
            ready(2),
            says(
                "b",
                Claim::Health { endpoint: id(1), health: EndpointHealth::Healthy },
                None,
                Duration::ZERO,
            ),
        ],
    );
    node.ask();
    node.pass(2 * S, served);
    assert!(node.sent.is_empty());
    assert!(matches!(node.answers[..], [(1, Answer::Rejected(_))]));
}

/// Units sent into any window of a cold box, by one of two initiators that are always asked.
fn most_in_window(told: impl Fn(&mut Node), span: Duration) -> f64 {
    let cold = Some(Duration::ZERO);
    let mut node = Node::new("a", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, cold)]);
    node.pass(4 * S, served);
    node.sent.clear();
    let from = node.now;
    while node.now < from + span {
        told(&mut node);
        (0..4).for_each(|_| node.ask());
        node.pass(100 * MS, |_| None);
    }
    let sums = node.sent.iter().map(|(at, _, _)| {
        node.sent.iter().filter(|s| s.0 >= *at && s.0 < *at + 3 * S).map(|s| s.2).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

#[test]
fn two_peers_that_agree_a_cold_box_is_idle_widen_nothing_and_what_they_spent_comes_off() {
    let cold = Some(Duration::ZERO);
    let alone = most_in_window(|_| {}, 3 * S);
    let idle = |node: &mut Node| {
        for by in ["b", "c"] {
            let facts = vec![
                says(by, Claim::SlowStartUnits { endpoint: id(1), milli_units: 0 }, cold, Duration::ZERO),
                says(
                    by,
                    Claim::Health { endpoint: id(1), health: EndpointHealth::Healthy },
                    cold,
                    Duration::ZERO,
                ),
                says(by, Claim::Started { endpoint: id(1), uptime: 15 * S }, cold, Duration::ZERO),
                says(
                    by,
                    Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Ready },
                    cold,
                    Duration::ZERO,
                ),
            ];
            node.hear(by, facts);
        }
    };
    assert!(alone > 0.0);
    assert_eq!(most_in_window(idle, 3 * S), alone, "not one unit more");
    // By the fourth second a box bears 16 x (1 + 5.25 x 4/16) = 37 units; a peer took all but 2.
    let busy = |node: &mut Node| {
        node.hear(
            "b",
            vec![says(
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
fn a_start_that_only_a_peer_knows_of_makes_the_box_cold_here_too() {
    let old = Some(900 * S);
    let run = |told: Vec<Report>| {
        let mut node = Node::new("a", 2, EndpointListKind::Cached, vec![member(1, Readiness::Ready, old)]);
        node.pass(4 * S, served);
        node.hear("b", told);
        for _ in 0..40 {
            node.ask();
            node.pass(10 * MS, served);
        }
        node.sent.len()
    };
    let (warm, cold) = (
        run(Vec::new()),
        run(vec![says(
            "b",
            Claim::Started { endpoint: id(1), uptime: S },
            Some(Duration::ZERO),
            Duration::ZERO,
        )]),
    );
    assert!(cold < warm, "{cold} sends to a cold box, {warm} to a warm one");
    // The same words of an earlier start than the one listed change nothing.
    assert_eq!(
        run(vec![says("b", Claim::Started { endpoint: id(1), uptime: S }, Some(999 * S), Duration::ZERO)]),
        warm
    );
}

/// Its clock is five minutes ahead: a box that started a second ago looks warm by the list's time alone.
#[test]
fn clocks_that_differ_by_minutes_do_not_make_a_cold_box_warm() {
    let ahead = UNIX + 300 * S;
    let cold = Some(S);
    let mut peer = Node::new("b", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, cold)]);
    peer.pass(10 * MS, served);
    let run = |told: Vec<Report>| {
        let boxes = vec![member(1, Readiness::Ready, cold)];
        let mut node = Node::with_clock("a", 2, EndpointListKind::Cached, boxes, ahead);
        node.pass(4 * S, served);
        node.hear("b", told);
        for _ in 0..40 {
            node.ask();
            node.pass(10 * MS, served);
        }
        node.sent.len()
    };
    let told = peer.tell();
    assert!(
        told.iter().any(|t| matches!(&t.claim, Claim::Started { uptime: ago, .. } if *ago <= S + 20 * MS)),
        "{told:?}"
    );
    assert!(run(told) < run(Vec::new()));
    // One whose clock is behind must not call the same box new for minutes.
    let behind = UNIX - 300 * S;
    let mut late =
        Node::with_clock("c", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, cold)], behind);
    late.pass(10 * S, served);
    let ago = late.tell().into_iter().find_map(|t| match t.claim {
        Claim::Started { uptime: ago, .. } => Some(ago),
        _ => None,
    });
    assert!(ago.is_some_and(|ago| ago >= 9 * S), "{ago:?}");
}

#[test]
fn peers_that_all_restart_at_once_have_nothing_to_say_of_their_old_lists() {
    let boxes = || vec![member(1, Readiness::Draining, None), member(2, Readiness::Ready, None)];
    let mut all: Vec<Node> =
        ["a", "b", "c"].iter().map(|name| Node::new(name, 3, EndpointListKind::Cached, boxes())).collect();
    for round in 0..3 {
        let told: Vec<Vec<Report>> = all.iter().map(Node::tell).collect();
        assert!(told.iter().flatten().all(|t| t.claim.endpoint().is_none()), "round {round}: {told:?}");
        for (to, node) in all.iter_mut().enumerate() {
            for (from, told) in told.iter().enumerate().filter(|(from, _)| *from != to) {
                node.hear(["a", "b", "c"][from], told.clone());
            }
        }
    }
    // The first whose list speaks tells the others.
    all[0].list(
        EndpointListKind::Full,
        vec![member(1, Readiness::Draining, None), member(2, Readiness::Removed, None)],
    );
    let told = all[0].tell();
    all[1].hear("a", told);
    all[1].ask();
    assert!(all[1].sent.is_empty());
}

/// Two sides of a partition saw different things; once it heals the later seen counts on both.
#[test]
fn a_partition_that_heals_leaves_both_sides_with_what_was_seen_last() {
    let ready = || vec![member(1, Readiness::Ready, None)];
    let mut left = Node::new("a", 2, EndpointListKind::Full, ready());
    let mut right = Node::new("b", 2, EndpointListKind::Full, ready());
    let mut third = Node::new("c", 2, EndpointListKind::Cached, ready());
    (left.now, right.now, third.now) = (10 * S, 12 * S, 12 * S);
    left.list(EndpointListKind::Delta, vec![member(1, Readiness::Draining, None)]);
    left.now = 12 * S;
    right.list(EndpointListKind::Delta, ready());
    // The left one's drain was seen two seconds before the right one's list said ready.
    let (from_left, from_right) = (left.tell(), right.tell());
    third.hear("a", from_left.clone());
    third.ask();
    assert!(third.sent.is_empty());
    right.hear("a", from_left);
    right.ask();
    assert_eq!(right.sent_to(1), 1, "its own list is newer");
    third.hear("b", right.tell());
    assert_eq!(third.sent_to(1), 1, "and it tells so, since somebody thought otherwise: {from_right:?}");
}

#[test]
fn a_box_that_fails_elsewhere_is_tried_last_and_tried_all_the_same() {
    let boxes = || vec![member(1, Readiness::Ready, None), member(2, Readiness::Ready, None)];
    let fails = || {
        vec![says(
            "b",
            Claim::Health { endpoint: id(1), health: EndpointHealth::Failing },
            None,
            Duration::ZERO,
        )]
    };
    let mut node = Node::new("a", 1, EndpointListKind::Full, boxes());
    node.hear("b", fails());
    for _ in 0..10 {
        (0..4).for_each(|_| node.ask());
        node.pass(100 * MS, served);
    }
    assert_eq!((node.sent_to(1), node.sent_to(2)), (0, 40));
    node.pass(1500 * MS, served);
    (0..6).for_each(|_| node.ask());
    assert!(node.sent_to(1) > 0, "after two seconds it is tried again");
    // Where it is the only one, a trial is better than nobody served.
    let mut alone = Node::new("a", 1, EndpointListKind::Full, boxes()[..1].to_vec());
    alone.hear("b", fails());
    alone.ask();
    assert_eq!(alone.sent_to(1), 1);
}

#[test]
fn a_box_that_fails_here_is_left_alone_before_its_next_try_where_another_serves() {
    let boxes = || vec![member(1, Readiness::Ready, None), member(2, Readiness::Ready, None)];
    let run = |boxes: Vec<EndpointRecord>| {
        let mut node = Node::new("a", 1, EndpointListKind::Full, boxes);
        for _ in 0..10 {
            (0..4).for_each(|_| node.ask());
            node.pass(100 * MS, |to| {
                Some(if to == 1 { TransportOutcome::EndpointError } else { TransportOutcome::Complete })
            });
        }
        (node.sent_to(1), node.answers.iter().filter(|a| matches!(a.1, Answer::Served(_))).count())
    };
    let (tried, served) = run(boxes());
    assert!(tried <= 3 && served >= 39, "{tried} tried, {served} served");
    assert!(run(boxes()[..1].to_vec()).0 > 10, "alone it is tried on");
}

#[test]
fn what_others_are_asked_for_sets_the_first_slice_and_old_figures_leave_the_static_part() {
    let run = |told: Option<Duration>| {
        let mut set = settings(2);
        set.plans[0] = Plan { limit: 40.0, burst: 40.0, tolerance: 6.0, ..set.plans[0].clone() };
        let zero = Instant::now();
        let broker = Broker::new(set, 5, Clock::new(zero, UNIX), zero).among_peers(observer("a"));
        let mut node = Node::new("a", 2, EndpointListKind::Full, vec![member(1, Readiness::Ready, None)]);
        (node.broker, node.zero) = (broker, zero);
        node.list(EndpointListKind::Full, vec![member(1, Readiness::Ready, None)]);
        node.pass(S, served);
        if let Some(age) = told {
            node.hear(
                "b",
                vec![says("b", Claim::Demand { volume: 1, milli_units_per_second: 38_000 }, None, age)],
            );
        }
        (0..30).for_each(|_| node.ask_over(2.0));
        node.pass(500 * MS, served);
        node.sent.len()
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

    /// Whatever a peer says within range: nothing goes to a box that the own list does not name or says to
    /// drain, a cold box gets no more than this initiator's part, and every request has one answer in time.
    #[test]
    fn a_peer_that_lies_about_everything_can_only_take_away(lies in prop::collection::vec(lie(), 1..40)) {
        let cold = Some(Duration::ZERO);
        let boxes = vec![member(1, Readiness::Ready, cold), member(2, Readiness::Draining, None)];
        let mut node = Node::new("a", 2, EndpointListKind::Full, boxes);
        node.pass(4 * S, served);
        for told in lies {
            for by in ["b", "c"] {
                node.hear(by, told.iter().filter(|t| t.observer.name == by).cloned().collect());
            }
            (0..3).for_each(|_| node.ask());
            node.pass(100 * MS, |_| None);
        }
        node.pass(2 * S, |_| None);
        prop_assert!(node.sent.iter().all(|(_, to, _)| *to == 1));
        for (at, _, _) in &node.sent {
            let within = node.sent.iter().filter(|s| s.0 >= *at && s.0 < *at + 3 * S);
            let age = *at + 3 * S;
            let bears = 16.0 * (1.0 + 5.25 * (age.as_secs_f64() / 16.0).min(1.0)) / 2.0;
            let units: f64 = within.map(|s| s.2).sum();
            prop_assert!(units <= bears + 1e-6, "{} units of {}", units, bears);
        }
        let mut ids: Vec<u64> = node.answers.iter().map(|a| a.0).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, (1..=node.next).collect::<Vec<_>>());
    }
}
