//! Tests how the reports of peers affect what an initiator sends, on the real broker.

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
/// The Unix time at the start of a test, on every clock unless a test sets another.
const UNIX: Duration = Duration::from_secs(1_000_000);

fn settings(initiators: u32) -> Settings {
    let class = |name: &str, idempotency| RequestClass {
        name: name.into(),
        latency_objective: 150 * MS,
        deadline: 1200 * MS,
        late_weight: 0.1,
        priority_weight: 2.0,
        idempotency,
        ..RequestClass::default()
    };
    Settings {
        initiators,
        min_batch_interval: MS,
        classes: vec![class("read", Idempotency::Idempotent), class("write", Idempotency::NotIdempotent)],
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

/// The list entry of an endpoint that had been up for `uptime` when the test began; `None`: for a long time.
fn endpoint_record(number: u16, readiness: Readiness, uptime: Option<Duration>) -> EndpointRecord {
    EndpointRecord {
        id: format!("s-{number:08x}"),
        address: Some(SocketAddr::from(([127, 0, 0, 1], 9000 + number))),
        zone: String::new(),
        shard: 0,
        readiness,
        up_since: uptime.map(|ago| UNIX - ago),
    }
}

/// One initiator in virtual time. Its clock may be wrong.
struct Initiator {
    broker: Broker,
    zero: Instant,
    now: Duration,
    next: u64,
    /// The time, the endpoint and the units of each attempt.
    sent: Vec<(Duration, u16, f64)>,
    in_flight: Vec<(AttemptId, u16)>,
    log: Vec<OperatorEvent>,
    answers: Vec<(u64, Answer)>,
}

impl Initiator {
    fn new(name: &str, initiators: u32, kind: EndpointListKind, endpoints: Vec<EndpointRecord>) -> Self {
        Self::with_clock(name, initiators, kind, endpoints, UNIX)
    }

    fn with_clock(
        name: &str,
        initiators: u32,
        kind: EndpointListKind,
        endpoints: Vec<EndpointRecord>,
        unix: Duration,
    ) -> Self {
        let zero = Instant::now();
        let broker = Broker::new(settings(initiators), 5, Clock::new(zero, unix), zero);
        let mut initiator = Initiator {
            broker: broker.with_peers(observer(name)),
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
        for idempotency in self.broker.step(self.zero + self.now, input) {
            match idempotency {
                Effect::StartAttempt { attempt, to, .. } => {
                    self.sent.push((self.now, to.port() - 9000, 2.0));
                    self.in_flight.push((attempt, to.port() - 9000));
                }
                Effect::AbortAttempt(attempt) => self.in_flight.retain(|f| f.0 != attempt),
                Effect::Respond { request, answer } => self.answers.push((request, answer)),
                Effect::Log(event) => self.log.push(event),
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

    /// Sends a request of a volume whose requests arrive through `initiators` initiators.
    fn request_over(&mut self, initiators: f64) {
        self.next += 1;
        let request = IncomingRequest {
            volume: 1,
            initiators,
            key: self.next,
            shard: Some(0),
            units: 2.0,
            time_remaining: 1200 * MS,
            ..IncomingRequest::default()
        };
        self.step(Input::RequestArrived { id: self.next, request });
    }

    /// Advances time by `span`. Attempts in flight end with the `outcome` of their endpoint, if there is one.
    fn advance(&mut self, span: Duration, outcome: impl Fn(u16) -> Option<TransportOutcome>) {
        let until = self.now + span;
        while self.now < until {
            self.now += 10 * MS;
            for (attempt, to) in std::mem::take(&mut self.in_flight) {
                match outcome(to) {
                    Some(outcome) => {
                        let body = Bytes::new();
                        self.step(Input::AttemptEnded {
                            attempt,
                            result: AttemptResult { body, ..AttemptResult::without_response(outcome) },
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

    fn receive(&mut self, from: &str, reports: Vec<Report>) {
        self.step(Input::PeerReports { from: observer(from), round_trip: 2 * MS, reports });
    }

    fn sent_to(&self, number: u16) -> usize {
        self.sent.iter().filter(|(_, to, _)| *to == number).count()
    }
}

fn served(_: u16) -> Option<TransportOutcome> {
    Some(TransportOutcome::Complete)
}

/// A first-hand report of the observer `from` about an endpoint of that uptime.
fn report(from: &str, claim: Claim, uptime: Option<Duration>, age: Duration) -> Report {
    let endpoint_incarnation = uptime.map_or(0, |uptime| (UNIX - uptime).as_millis() as u64);
    Report { claim, observer: observer(from), endpoint_incarnation, hops: 0, age }
}

fn id(number: u16) -> String {
    endpoint_record(number, Readiness::Ready, None).id
}

/// An initiator restarts with a cached list of unknown age. One listed endpoint was removed meanwhile, which
/// only a peer knows.
#[test]
fn a_restarted_initiator_avoids_an_endpoint_that_its_peer_knows_to_be_removed() {
    let ready = |n| endpoint_record(n, Readiness::Ready, None);
    let mut peer = Initiator::new("b", 2, EndpointListKind::Full, vec![ready(1), ready(2)]);
    peer.list(EndpointListKind::Delta, vec![endpoint_record(1, Readiness::Removed, None)]);
    peer.now = 500 * S;
    peer.step(Input::EndpointListCurrent);
    let run = |reports: Option<Vec<Report>>| {
        let mut restarted = Initiator::new("a", 2, EndpointListKind::Cached, vec![ready(1), ready(2)]);
        reports.into_iter().for_each(|reports| restarted.receive("b", reports));
        for _ in 0..5 {
            (0..4).for_each(|_| restarted.request());
            restarted.advance(100 * MS, |to| if to == 1 { None } else { served(to) });
        }
        (restarted.sent_to(1), restarted.sent_to(2), restarted)
    };
    let (sent_without_reports, _, _) = run(None);
    let (sent_to_removed, sent_to_listed, restarted) = run(Some(peer.reports()));
    assert!(sent_without_reports > 0, "without reports the removed endpoint must be used");
    assert_eq!((sent_to_removed, sent_to_listed), (0, 20));
    assert!(restarted.log.iter().any(|e| matches!(e, OperatorEvent::AdviceChanged { stopped: true, .. })));
}

#[test]
fn a_reported_drain_applies_until_the_own_list_reports_the_endpoint_ready() {
    let ready = || vec![endpoint_record(1, Readiness::Ready, None)];
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
    assert_eq!(initiator.sent_to(1), 1, "the drain must apply at once");
    initiator.advance(10 * MS, served);
    initiator.list(EndpointListKind::Delta, ready());
    assert_eq!(
        initiator.sent_to(1),
        2,
        "the own list is newer than the drain and lists the endpoint as ready"
    );
    initiator.advance(100 * MS, served);
    // An observation that is older than the own list changes nothing.
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
    let draining = vec![endpoint_record(1, Readiness::Draining, None)];
    let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, draining);
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

/// Returns the maximum number of units sent in any overload window to an endpoint in slow start, by one of
/// two initiators that has more requests than may be sent.
fn max_units_in_window(receive_reports: impl Fn(&mut Initiator), span: Duration) -> f64 {
    let just_started = Some(Duration::ZERO);
    let endpoints = vec![endpoint_record(1, Readiness::Ready, just_started)];
    let mut initiator = Initiator::new("a", 2, EndpointListKind::Full, endpoints);
    initiator.advance(4 * S, served);
    initiator.sent.clear();
    let from = initiator.now;
    while initiator.now < from + span {
        receive_reports(&mut initiator);
        (0..4).for_each(|_| initiator.request());
        initiator.advance(100 * MS, |_| None);
    }
    let sums = initiator.sent.iter().map(|(start, _, _)| {
        let in_window = initiator.sent.iter().filter(|(at, _, _)| at >= start && *at < *start + 3 * S);
        in_window.map(|(_, _, units)| units).sum::<f64>()
    });
    sums.fold(0.0, f64::max)
}

#[test]
fn reports_never_raise_slow_start_capacity_and_units_sent_by_peers_reduce_it() {
    let just_started = Some(Duration::ZERO);
    let without_reports = max_units_in_window(|_| {}, 3 * S);
    let idle_peers = |initiator: &mut Initiator| {
        for peer in ["b", "c"] {
            let claims = [
                Claim::SlowStartUnits { endpoint: id(1), milli_units: 0 },
                Claim::Health { endpoint: id(1), health: EndpointHealth::Healthy },
                Claim::Started { endpoint: id(1), uptime: 15 * S },
                Claim::Readiness { endpoint: id(1), readiness: ReportedReadiness::Ready },
            ];
            let reports = claims.map(|claim| report(peer, claim, just_started, Duration::ZERO));
            initiator.receive(peer, reports.to_vec());
        }
    };
    assert!(without_reports > 0.0);
    assert_eq!(
        max_units_in_window(idle_peers, 3 * S),
        without_reports,
        "reports must not raise the capacity"
    );
    // 4 s after its start the endpoint can take 16 x (1 + 5.25 x 4/16) = 37 units, of which a peer sent all
    // but 2.5.
    let busy_peer = |initiator: &mut Initiator| {
        let claim = Claim::SlowStartUnits { endpoint: id(1), milli_units: 34_500 };
        initiator.receive("b", vec![report("b", claim, just_started, Duration::ZERO)]);
    };
    let remaining = max_units_in_window(busy_peer, S);
    assert!(remaining < without_reports && remaining <= 8.0, "{remaining} of {without_reports}");
}

#[test]
fn a_start_that_only_a_peer_reports_begins_slow_start() {
    let long_up = Some(900 * S);
    let run = |reports: Vec<Report>| {
        let endpoints = vec![endpoint_record(1, Readiness::Ready, long_up)];
        let mut initiator = Initiator::new("a", 2, EndpointListKind::Cached, endpoints);
        initiator.advance(4 * S, served);
        initiator.receive("b", reports);
        for _ in 0..40 {
            initiator.request();
            initiator.advance(10 * MS, served);
        }
        initiator.sent.len()
    };
    let started = || Claim::Started { endpoint: id(1), uptime: S };
    let sent_to_warm = run(Vec::new());
    let sent_in_slow_start = run(vec![report("b", started(), Some(Duration::ZERO), Duration::ZERO)]);
    assert!(
        sent_in_slow_start < sent_to_warm,
        "{sent_in_slow_start} sent in slow start, {sent_to_warm} to a warm endpoint"
    );
    // The same report about an earlier start than the listed one changes nothing.
    assert_eq!(run(vec![report("b", started(), Some(999 * S), Duration::ZERO)]), sent_to_warm);
}

/// The clock of an initiator is five minutes ahead. By the listed start alone, an endpoint that started a
/// second ago is past its slow start.
#[test]
fn clocks_that_differ_by_minutes_do_not_end_slow_start() {
    let ahead = UNIX + 300 * S;
    let endpoints = || vec![endpoint_record(1, Readiness::Ready, Some(S))];
    let mut peer = Initiator::new("b", 2, EndpointListKind::Full, endpoints());
    peer.advance(10 * MS, served);
    let run = |reports: Vec<Report>| {
        let mut initiator = Initiator::with_clock("a", 2, EndpointListKind::Cached, endpoints(), ahead);
        initiator.advance(4 * S, served);
        initiator.receive("b", reports);
        for _ in 0..40 {
            initiator.request();
            initiator.advance(10 * MS, served);
        }
        initiator.sent.len()
    };
    let reports = peer.reports();
    assert!(
        reports.iter().any(|r| matches!(&r.claim, Claim::Started { uptime, .. } if *uptime <= S + 20 * MS)),
        "{reports:?}"
    );
    assert!(run(reports) < run(Vec::new()));
    // An initiator whose clock is behind must not report the same endpoint as just started for minutes.
    let behind = UNIX - 300 * S;
    let mut slow_clock = Initiator::with_clock("c", 2, EndpointListKind::Full, endpoints(), behind);
    slow_clock.advance(10 * S, served);
    let reported_uptime = slow_clock.reports().into_iter().find_map(|report| match report.claim {
        Claim::Started { uptime, .. } => Some(uptime),
        _ => None,
    });
    assert!(reported_uptime.is_some_and(|uptime| uptime >= 9 * S), "{reported_uptime:?}");
}

#[test]
fn peers_that_all_restart_at_once_report_nothing_of_their_cached_lists() {
    let endpoints =
        || vec![endpoint_record(1, Readiness::Draining, None), endpoint_record(2, Readiness::Ready, None)];
    let mut all: Vec<Initiator> = ["a", "b", "c"]
        .iter()
        .map(|name| Initiator::new(name, 3, EndpointListKind::Cached, endpoints()))
        .collect();
    for round in 0..3 {
        let reports: Vec<Vec<Report>> = all.iter().map(Initiator::reports).collect();
        assert!(reports.iter().flatten().all(|r| r.claim.endpoint().is_none()), "round {round}: {reports:?}");
        for (to, initiator) in all.iter_mut().enumerate() {
            for (from, reports) in reports.iter().enumerate().filter(|(from, _)| *from != to) {
                initiator.receive(["a", "b", "c"][from], reports.clone());
            }
        }
    }
    // The first initiator that receives its list reports the list's content to the others.
    all[0].list(
        EndpointListKind::Full,
        vec![endpoint_record(1, Readiness::Draining, None), endpoint_record(2, Readiness::Removed, None)],
    );
    let reports = all[0].reports();
    all[1].receive("a", reports);
    all[1].request();
    assert!(all[1].sent.is_empty());
}

/// The two sides of a partition made different observations of one endpoint.
#[test]
fn after_a_partition_heals_the_later_observation_counts_on_both_sides() {
    let ready = || vec![endpoint_record(1, Readiness::Ready, None)];
    let mut left = Initiator::new("a", 2, EndpointListKind::Full, ready());
    let mut right = Initiator::new("b", 2, EndpointListKind::Full, ready());
    let mut third = Initiator::new("c", 2, EndpointListKind::Cached, ready());
    (left.now, right.now, third.now) = (10 * S, 12 * S, 12 * S);
    left.list(EndpointListKind::Delta, vec![endpoint_record(1, Readiness::Draining, None)]);
    left.now = 12 * S;
    right.list(EndpointListKind::Delta, ready());
    // The left side observed the drain two seconds before the list of the right side reported the endpoint as
    // ready.
    let (from_left, from_right) = (left.reports(), right.reports());
    third.receive("a", from_left.clone());
    third.request();
    assert!(third.sent.is_empty());
    right.receive("a", from_left);
    right.request();
    assert_eq!(right.sent_to(1), 1, "the own list of the right side is newer");
    third.receive("b", right.reports());
    assert_eq!(
        third.sent_to(1),
        1,
        "readiness must be reported where a peer reported a drain: {from_right:?}"
    );
}

#[test]
fn an_endpoint_that_fails_elsewhere_is_tried_last_but_is_tried() {
    let endpoints =
        || vec![endpoint_record(1, Readiness::Ready, None), endpoint_record(2, Readiness::Ready, None)];
    let failing = || {
        vec![report(
            "b",
            Claim::Health { endpoint: id(1), health: EndpointHealth::Failing },
            None,
            Duration::ZERO,
        )]
    };
    let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, endpoints());
    initiator.receive("b", failing());
    for _ in 0..10 {
        (0..4).for_each(|_| initiator.request());
        initiator.advance(100 * MS, served);
    }
    assert_eq!((initiator.sent_to(1), initiator.sent_to(2)), (0, 40));
    initiator.advance(1500 * MS, served);
    (0..6).for_each(|_| initiator.request());
    assert!(initiator.sent_to(1) > 0, "the endpoint must be tried again after two seconds");
    // The only endpoint is tried anyway: an attempt that may fail is better than a rejection.
    let mut only_endpoint = Initiator::new("a", 1, EndpointListKind::Full, endpoints()[..1].to_vec());
    only_endpoint.receive("b", failing());
    only_endpoint.request();
    assert_eq!(only_endpoint.sent_to(1), 1);
}

#[test]
fn an_endpoint_that_fails_here_is_held_back_while_another_serves() {
    let endpoints =
        || vec![endpoint_record(1, Readiness::Ready, None), endpoint_record(2, Readiness::Ready, None)];
    let run = |endpoints: Vec<EndpointRecord>| {
        let mut initiator = Initiator::new("a", 1, EndpointListKind::Full, endpoints);
        for _ in 0..10 {
            (0..4).for_each(|_| initiator.request());
            initiator.advance(100 * MS, |to| {
                Some(if to == 1 { TransportOutcome::EndpointError } else { TransportOutcome::Complete })
            });
        }
        let served = initiator.answers.iter().filter(|(_, answer)| matches!(answer, Answer::Served(_)));
        (initiator.sent_to(1), served.count())
    };
    let (sent_to_failing, served) = run(endpoints());
    assert!(sent_to_failing <= 3 && served >= 39, "{sent_to_failing} sent, {served} served");
    assert!(run(endpoints()[..1].to_vec()).0 > 10, "the only endpoint must be tried again and again");
}

#[test]
fn recent_demand_at_peers_determines_the_initial_share_of_a_limit() {
    let run = |report_age: Option<Duration>| {
        let mut settings = settings(2);
        settings.plans[0] = Plan { limit: 40.0, burst: 40.0, tolerance: 6.0, ..settings.plans[0].clone() };
        let zero = Instant::now();
        let broker = Broker::new(settings, 5, Clock::new(zero, UNIX), zero).with_peers(observer("a"));
        let mut initiator =
            Initiator::new("a", 2, EndpointListKind::Full, vec![endpoint_record(1, Readiness::Ready, None)]);
        (initiator.broker, initiator.zero) = (broker, zero);
        initiator.list(EndpointListKind::Full, vec![endpoint_record(1, Readiness::Ready, None)]);
        initiator.advance(S, served);
        if let Some(age) = report_age {
            initiator.receive(
                "b",
                vec![report("b", Claim::Demand { volume: 1, milli_units_per_second: 38_000 }, None, age)],
            );
        }
        (0..30).for_each(|_| initiator.request_over(2.0));
        initiator.advance(500 * MS, served);
        initiator.sent.len()
    };
    let even_share = run(None);
    assert!(run(Some(Duration::ZERO)) < even_share, "nearly all demand is at the peer");
    assert_eq!(run(Some(5 * S)), even_share, "an old report must not count");
}

/// Reports that are valid in form, whether or not they are true.
fn arbitrary_reports() -> impl Strategy<Value = Vec<Report>> {
    let claim = (0u16..4, 0u8..7, 0u64..60_000).prop_map(|(number, kind, figure)| match kind {
        0 => Claim::Readiness { endpoint: id(number), readiness: ReportedReadiness::Ready },
        1 => Claim::Readiness { endpoint: id(number), readiness: ReportedReadiness::Draining },
        2 => Claim::Readiness { endpoint: id(number), readiness: ReportedReadiness::Removed },
        3 => Claim::Health {
            endpoint: id(number),
            health: [EndpointHealth::Healthy, EndpointHealth::Failing][usize::from(figure % 2 == 0)],
        },
        4 => Claim::Started { endpoint: id(number), uptime: Duration::from_millis(figure) },
        5 => Claim::SlowStartUnits { endpoint: id(number), milli_units: figure },
        _ => Claim::Demand { volume: 1, milli_units_per_second: figure },
    });
    let report = (claim, 0u64..3, 0u64..20_000, 0u8..2).prop_map(|(claim, start, age, peer)| Report {
        claim,
        observer: observer(["b", "c"][peer as usize]),
        endpoint_incarnation: [0, UNIX.as_millis() as u64, u64::MAX][start as usize],
        hops: 0,
        age: Duration::from_millis(age),
    });
    prop::collection::vec(report, 0..6)
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(96) })]

    /// Whatever valid reports peers send: nothing is sent to an endpoint that is not on the own list or that
    /// drains there, an endpoint in slow start receives no more than this initiator's share, and every
    /// request has exactly one answer.
    #[test]
    fn false_reports_of_peers_can_only_restrict(batches in prop::collection::vec(arbitrary_reports(), 1..40)) {
        let endpoints = vec![
            endpoint_record(1, Readiness::Ready, Some(Duration::ZERO)),
            endpoint_record(2, Readiness::Draining, None),
        ];
        let mut initiator = Initiator::new("a", 2, EndpointListKind::Full, endpoints);
        initiator.advance(4 * S, served);
        for reports in batches {
            for peer in ["b", "c"] {
                let from_peer = reports.iter().filter(|report| report.observer.name == peer);
                initiator.receive(peer, from_peer.cloned().collect());
            }
            (0..3).for_each(|_| initiator.request());
            initiator.advance(100 * MS, |_| None);
        }
        initiator.advance(2 * S, |_| None);
        prop_assert!(initiator.sent.iter().all(|(_, to, _)| *to == 1));
        for (start, _, _) in &initiator.sent {
            let in_window = initiator.sent.iter().filter(|(at, _, _)| at >= start && *at < *start + 3 * S);
            let age = *start + 3 * S;
            let capacity = 16.0 * (1.0 + 5.25 * (age.as_secs_f64() / 16.0).min(1.0)) / 2.0;
            let units: f64 = in_window.map(|(_, _, units)| units).sum();
            prop_assert!(units <= capacity + 1e-6, "{} units of {}", units, capacity);
        }
        let mut ids: Vec<u64> = initiator.answers.iter().map(|(id, _)| *id).collect();
        ids.sort_unstable();
        prop_assert_eq!(ids, (1..=initiator.next).collect::<Vec<_>>());
    }
}
