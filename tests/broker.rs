//! The broker alone, on a clock that the test moves.

use shaletack::broker::{
    Answer, AttemptId, AttemptProgress, AttemptResult, Broker, Clock, Effect, IncomingRequest, Input,
    OperatorCommand,
};
use shaletack::endpoint_list::{EndpointList, EndpointRecord};
use shaletack::interface::{
    DedupScope, EndpointListKind, Idempotency, Plan, Readiness, RequestClass, Settings, SharedRules,
};
use shaletack::outcome::TransportOutcome;
use std::time::{Duration, Instant};

const MS: Duration = Duration::from_millis(1);

struct Harness {
    broker: Broker,
    start: Instant,
}

impl Harness {
    fn new() -> Self {
        Self::with_max_open_requests(0)
    }

    fn with_max_open_requests(max_open_requests: usize) -> Self {
        let start = Instant::now();
        let class = |effect| RequestClass {
            latency_objective: 100 * MS,
            deadline: 1000 * MS,
            priority_weight: 1.0,
            idempotency: effect,
            ..RequestClass::default()
        };
        let set = Settings {
            initiators: 1,
            classes: vec![class(Idempotency::Idempotent), class(Idempotency::NotIdempotent)],
            plans: vec![
                Plan { weight: 1.0, reserve: 5.0, ..Plan::default() },
                Plan { weight: 1.0, ..Plan::default() },
            ],
            max_open_requests,
            max_attempts: 2,
            mean_request_units: 1.0,
            max_request_units: 4.0,
            cancellation_allowed: true,
            ..Settings::default()
        };
        let clock = Clock::new(start, Duration::from_secs(1000));
        Harness { broker: Broker::new(set, 1, clock, start), start }
    }

    fn at(&mut self, after: Duration, input: Input) -> Vec<Effect> {
        let effects = self.broker.step(self.start + after, input);
        effects.into_iter().filter(|e| !matches!(e, Effect::Log(_))).collect()
    }

    fn list(&mut self, readiness: Readiness) {
        self.list_at(MS, readiness, None);
    }

    fn list_at(&mut self, at: Duration, readiness: Readiness, up_since: Option<Duration>) {
        let entries = vec![EndpointRecord { up_since, ..member("s-0000000a", "", readiness) }];
        self.at(
            at,
            Input::EndpointList(EndpointList { revision: 1, kind: EndpointListKind::Delta, entries }),
        );
    }
}

/// An endpoint of shard 0.
fn member(id: &str, zone: &str, readiness: Readiness) -> EndpointRecord {
    let address = Some("127.0.0.1:7".parse().unwrap());
    EndpointRecord { id: id.into(), address, zone: zone.into(), shard: 0, readiness, up_since: None }
}

fn request(class: u16) -> IncomingRequest {
    IncomingRequest {
        class,
        volume: 1,
        initiators: 1.0,
        key: 1,
        shard: Some(0),
        units: 1.0,
        time_remaining: 1000 * MS,
        ..IncomingRequest::default()
    }
}

/// A new settings file drops a class. Classes are numbered by their place, so an open request would be judged by another
/// class's rules.
#[test]
fn an_open_request_keeps_the_rules_it_came_under() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    let failed = || AttemptResult::without_response(TransportOutcome::EndpointError);
    let sends = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::StartAttempt { .. }));
    assert!(sends(&harness.at(2 * MS, Input::RequestArrived { id: 1, request: request(0) })));
    let older = harness.broker.settings();
    let named = |name: &str, class: &RequestClass| RequestClass { name: name.into(), ..class.clone() };
    let [safe, unsafe_] = [0, 1].map(|n| older.class(n));
    // The first class is dropped; one of another name and effect stands in its place, with a single attempt.
    let newer = Settings {
        classes: vec![named("new", &unsafe_), RequestClass { max_attempts: 1, ..named("once", &safe) }],
        ..Settings::clone(&older)
    };
    harness.at(3 * MS, Input::Settings(Box::new(newer.clone())));
    let (start, class) = (harness.start, |harness: &Harness, name: &str, at| {
        harness.broker.class(name, false, harness.start + at)
    });
    let (new, once) = (class(&harness, "new", 4 * MS).unwrap(), class(&harness, "once", 4 * MS).unwrap());
    assert!(harness.broker.class("gone", false, start).is_none() && new != once);
    assert!(
        sends(&harness.at(5 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, 0), result: failed() })),
        "a read is repeated, as it came"
    );
    harness.at(
        6 * MS,
        Input::AttemptEnded {
            attempt: AttemptId::new(1, 1),
            result: AttemptResult::without_response(TransportOutcome::Complete),
        },
    );
    for (id, number, answer) in [(2, new, "Failed"), (3, once, "Rejected")] {
        let at = id as u32 * 1000 * MS;
        assert!(sends(&harness.at(at, Input::RequestArrived { id, request: request(number) })));
        let effects =
            harness.at(at + MS, Input::AttemptEnded { attempt: AttemptId::new(id, 0), result: failed() });
        assert!(!sends(&effects));
        assert!(effects.iter().any(|e| format!("{e:?}").contains(answer)), "{effects:?}");
    }
    // The same settings once more add no class.
    harness.at(9000 * MS, Input::Settings(Box::new(newer)));
    assert_eq!(harness.broker.settings().classes.len(), 4);
}

/// An endpoint begins to drain while an attempt still waits for its connection. The connection comes up after the quarter of
/// a second that the settings leave, and the attempt would be written then.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_endpoint_drains() {
    let sent =
        |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::StartAttempt { .. })).count();
    for (readiness, orders) in
        [(Readiness::Draining, false), (Readiness::Removed, false), (Readiness::Ready, true)]
    {
        let mut harness = Harness::new();
        harness.list(Readiness::Ready);
        // A write with its bytes out, one that waits for a connection, and one with a large body that does.
        for id in 1..=3 {
            assert_eq!(sent(&harness.at(2 * MS, Input::RequestArrived { id, request: request(1) })), 1);
            if id == 1 {
                harness.at(
                    2 * MS,
                    Input::AttemptProgressed {
                        attempt: AttemptId::new(1, 0),
                        progress: AttemptProgress::WriteStarted,
                    },
                );
            }
        }
        harness.at(
            2 * MS,
            Input::AttemptProgressed {
                attempt: AttemptId::new(2, 0),
                progress: AttemptProgress::BodyStreaming,
            },
        );
        let news = if orders {
            Input::OperatorCommand(OperatorCommand::Suspend("s-0000000a".into()))
        } else {
            let entries = vec![member("s-0000000a", "", readiness)];
            Input::EndpointList(EndpointList { revision: 2, kind: EndpointListKind::Delta, entries })
        };
        let effects = harness.at(4 * MS, news);
        let aborted = |id| effects.contains(&Effect::AbortAttempt(AttemptId::new(id, 0)));
        assert_eq!([1, 2, 3].map(aborted), [false, true, true], "{effects:?}");
        assert_eq!(harness.broker.attempt_outcomes().get("Withdrawn"), Some(&2));
        // The endpoint that takes its place gets them, writes though they are: they never ran.
        let successor = member("s-0000000b", "", Readiness::Ready);
        let list = EndpointList { revision: 3, kind: EndpointListKind::Delta, entries: vec![successor] };
        assert_eq!(sent(&harness.at(5 * MS, Input::EndpointList(list))), 2);
        let whole = harness.at(
            9 * MS,
            Input::AttemptEnded {
                attempt: AttemptId::new(1, 0),
                result: AttemptResult::without_response(TransportOutcome::Complete),
            },
        );
        assert!(whole.iter().any(|e| matches!(e, Effect::Respond { request: 1, answer: Answer::Served(_) })));
    }
}

/// A client leaves while its attempt still waits for a connection. Where the settings allow no cancellation, the attempt
/// would be sent for nobody once the connection comes up.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_client_leaves() {
    for cancels in [true, false] {
        let mut harness = Harness::new();
        let settings =
            Settings { cancellation_allowed: cancels, ..Settings::clone(&harness.broker.settings()) };
        harness.broker =
            Broker::new(settings, 1, Clock::new(harness.start, Duration::from_secs(1000)), harness.start);
        harness.list(Readiness::Ready);
        // One with its bytes out, one that waits for a connection, and one with a large body that does.
        (1..=3).for_each(|id| drop(harness.at(2 * MS, Input::RequestArrived { id, request: request(1) })));
        harness.at(
            2 * MS,
            Input::AttemptProgressed {
                attempt: AttemptId::new(1, 0),
                progress: AttemptProgress::WriteStarted,
            },
        );
        harness.at(
            2 * MS,
            Input::AttemptProgressed {
                attempt: AttemptId::new(2, 0),
                progress: AttemptProgress::BodyStreaming,
            },
        );
        let aborted = [1, 2, 3].map(|id| {
            harness.at(3 * MS, Input::ClientLeft(id)).contains(&Effect::AbortAttempt(AttemptId::new(id, 0)))
        });
        assert_eq!(aborted, [cancels, true, true]);
    }
}

/// A zone that the settings do not name is none of theirs: its endpoints do not drop repeats of requests that endpoints of
/// another zone have had, so a keyed request must not be retried there.
#[test]
fn a_keyed_retry_stays_in_its_zone_named_or_not() {
    let sent_again = |zones: [&str; 2]| {
        let mut harness = Harness::new();
        let class = RequestClass {
            idempotency: Idempotency::Keyed,
            dedup_scope: DedupScope::Zone,
            dedup_window: 500 * MS,
            ..harness.broker.settings().class(0)
        };
        let settings = Settings {
            zones: vec!["room-a".into()],
            classes: vec![class],
            ..Settings::clone(&harness.broker.settings())
        };
        harness.broker =
            Broker::new(settings, 1, Clock::new(harness.start, Duration::from_secs(1000)), harness.start);
        let list = |entries| {
            Input::EndpointList(EndpointList { revision: 1, kind: EndpointListKind::Full, entries })
        };
        let first = |readiness| member("s-0000000a", zones[0], readiness);
        harness.at(MS, list(vec![first(Readiness::Ready)]));
        harness.at(2 * MS, Input::RequestArrived { id: 1, request: request(0) });
        let second = member("s-0000000b", zones[1], Readiness::Ready);
        harness.at(
            3 * MS,
            Input::AttemptProgressed {
                attempt: AttemptId::new(1, 0),
                progress: AttemptProgress::WriteStarted,
            },
        );
        harness.at(3 * MS, list(vec![first(Readiness::Draining), second]));
        let effects = harness.at(
            4 * MS,
            Input::AttemptEnded {
                attempt: AttemptId::new(1, 0),
                result: AttemptResult::without_response(TransportOutcome::EndpointError),
            },
        );
        effects.iter().any(|e| matches!(e, Effect::StartAttempt { .. }))
    };
    assert!(sent_again(["room-a", "room-a"]) && sent_again(["room-c", "room-c"]));
    assert!(!sent_again(["room-a", "room-b"]) && !sent_again(["room-b", "room-c"]));
    assert!(!sent_again(["", ""]) && !sent_again(["room-a", ""]));
}

/// A large body can't be sent again, so its first rejection is final. Where an attempt before it may have run, the client must
/// not be told that nothing ran; and its Retry-After stays within the settings' longest.
#[test]
fn an_unrepeatable_request_is_rejected_only_if_no_attempt_may_have_run() {
    let answer = |first: Option<TransportOutcome>| {
        let mut harness = Harness::new();
        let class = RequestClass {
            idempotency: Idempotency::Keyed,
            dedup_window: 500 * MS,
            ..harness.broker.settings().class(0)
        };
        let settings = Settings { max_retry_after: 30 * MS, ..Settings::clone(&harness.broker.settings()) };
        let settings = Settings { classes: vec![class], ..settings };
        harness.broker =
            Broker::new(settings, 1, Clock::new(harness.start, Duration::from_secs(1000)), harness.start);
        harness.list(Readiness::Ready);
        harness.at(2 * MS, Input::RequestArrived { id: 1, request: request(0) });
        let mut number = 0;
        if let Some(first) = first {
            harness.at(
                3 * MS,
                Input::AttemptEnded {
                    attempt: AttemptId::new(1, 0),
                    result: AttemptResult::without_response(first),
                },
            );
            harness.at(40 * MS, Input::TimerFired);
            number = 1;
        }
        let spent = AttemptResult {
            body_consumed: true,
            ..AttemptResult::without_response(TransportOutcome::Rejected)
        };
        harness.at(41 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, number), result: spent })
    };
    let (refused, failed) = (
        Effect::Respond { request: 1, answer: Answer::Rejected(30 * MS) },
        Effect::Respond { request: 1, answer: Answer::Failed },
    );
    assert!(answer(None).contains(&refused) && answer(Some(TransportOutcome::Rejected)).contains(&refused));
    assert!(answer(Some(TransportOutcome::EndpointError)).contains(&failed));
}

/// Operators suspend an endpoint, restart it and resume it. It is in slow start from the start that the list tells of, where
/// that surely came after the suspension, else from the moment it is resumed.
#[test]
fn a_resumed_endpoint_counts_from_its_start_while_it_was_suspended() {
    let sent_in = |started: Option<(u64, Duration)>| {
        let mut harness = Harness::with_max_open_requests(0);
        let settings = Settings {
            slow_start_units: 4.0,
            rules: SharedRules {
                slow_start_capacity: 0.1,
                slow_start_duration: 10_000 * MS,
                overload_factor: 3.0,
                overload_window: 3000 * MS,
                ..SharedRules::default()
            },
            ..Settings::clone(&harness.broker.settings())
        };
        harness.at(MS, Input::Settings(Box::new(settings)));
        harness.list(Readiness::Ready);
        let id = || "s-0000000a".to_owned();
        harness.at(1000 * MS, Input::OperatorCommand(OperatorCommand::Suspend(id())));
        if let Some((after, heard)) = started {
            harness.at(heard - MS, Input::EndpointListCurrent);
            let up_since = Some(Duration::from_secs(1000) + Duration::from_millis(after));
            harness.list_at(heard, Readiness::Ready, up_since);
        }
        harness.at(25_000 * MS, Input::OperatorCommand(OperatorCommand::Resume(id())));
        let mut sent = 0;
        for n in 0..100 {
            let at = 25_000 * MS + n * 10 * MS;
            let id = 100 + u64::from(n);
            let effects = harness
                .at(at, Input::RequestArrived { id, request: IncomingRequest { volume: id, ..request(0) } });
            for effect in effects {
                if let Effect::StartAttempt { attempt: AttemptId { request, number }, .. } = effect {
                    sent += 1;
                    harness.at(
                        at + MS,
                        Input::AttemptEnded {
                            attempt: AttemptId::new(request, number),
                            result: AttemptResult::without_response(TransportOutcome::Complete),
                        },
                    );
                }
            }
        }
        sent
    };
    let never = sent_in(None);
    // Started before it was taken out, and listed late.
    let before = sent_in(Some((500, 2000 * MS)));
    // Listed while it was out, and so soon that it may have started before.
    let perhaps = sent_in(Some((1500, 2000 * MS)));
    let during = sent_in(Some((17_400, 17_500 * MS)));
    assert!(never > 0 && never == before && never == perhaps, "{never} {before} {perhaps}");
    assert!(during > 2 * never, "{during} {never}");
}

/// An endpoint stays silent. The answer has to reach the client before it leaves, so the attempt is given up a little
/// earlier; what the endpoint sends after that is nobody's answer.
#[test]
fn a_silent_attempt_times_out_before_its_client_does() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    let sent = harness.at(10 * MS, Input::RequestArrived { id: 1, request: request(1) });
    let Effect::StartAttempt { attempt: AttemptId { request: 1, number: 0 }, timeout, .. } = sent[0] else {
        panic!("{sent:?}")
    };
    assert_eq!(timeout, 990 * MS);
    assert!(matches!(sent[1], Effect::SetTimer(at) if at <= harness.start + 1000 * MS));
    let ended = harness.at(1000 * MS, Input::TimerFired);
    assert_eq!(
        ended[..2],
        [Effect::AbortAttempt(AttemptId::new(1, 0)), Effect::Respond { request: 1, answer: Answer::Failed }]
    );
    let late =
        AttemptResult { body: "late".into(), ..AttemptResult::without_response(TransportOutcome::Complete) };
    assert!(harness
        .at(1001 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, 0), result: late })
        .is_empty());
    assert_eq!((harness.broker.open_requests(), harness.broker.counters()[1].requests.failed), (0, 1));
}

#[test]
fn a_write_is_retried_only_where_its_outcome_proves_that_it_never_ran() {
    for (end, again) in [
        (TransportOutcome::Unreachable, true),
        (TransportOutcome::Rejected, true),
        (TransportOutcome::LostWhileWriting, false),
    ] {
        let mut harness = Harness::new();
        harness.list(Readiness::Ready);
        harness.at(10 * MS, Input::RequestArrived { id: 1, request: request(1) });
        let mut effects = harness.at(
            20 * MS,
            Input::AttemptEnded {
                attempt: AttemptId::new(1, 0),
                result: AttemptResult::without_response(end),
            },
        );
        (3..40).for_each(|n| effects.extend(harness.at(10 * n * MS, Input::TimerFired)));
        let sent = effects.iter().filter(|e| matches!(e, Effect::StartAttempt { .. })).count();
        let failed = effects.contains(&Effect::Respond { request: 1, answer: Answer::Failed });
        assert_eq!((sent, failed), (usize::from(again), !again), "{end:?}: {effects:?}");
    }
}

#[test]
fn nothing_is_sent_to_a_draining_endpoint_and_rejections_say_when_to_retry() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    assert!(harness.broker.is_ready());
    harness.list(Readiness::Draining);
    let mut effects = harness.at(10 * MS, Input::RequestArrived { id: 1, request: request(1) });
    (2..100).for_each(|n| effects.extend(harness.at(10 * n * MS, Input::TimerFired)));
    assert!(!effects.iter().any(|e| matches!(e, Effect::StartAttempt { .. })), "{effects:?}");
    let refused = |e: &&Effect| matches!(e, Effect::Respond { request: 1, answer: Answer::Rejected(after) } if !after.is_zero());
    assert_eq!(effects.iter().filter(refused).count(), 1, "{effects:?}");
}

#[test]
fn a_client_that_left_gets_no_answer() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    harness.at(10 * MS, Input::RequestArrived { id: 1, request: request(0) });
    let left = harness.at(20 * MS, Input::ClientLeft(1));
    assert!(left.contains(&Effect::AbortAttempt(AttemptId::new(1, 0))), "its attempt is given up: {left:?}");
    let whole =
        AttemptResult { body: "x".into(), ..AttemptResult::without_response(TransportOutcome::Complete) };
    let effects = harness.at(30 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, 0), result: whole });
    assert!(!effects.iter().any(|e| matches!(e, Effect::Respond { .. })), "{effects:?}");
    assert_eq!((harness.broker.open_requests(), harness.broker.counters()[0].requests.client_left), (0, 1));
}

/// Each open request holds one of the clients' connections. In a surge requests that will not be served would hold all of
/// them, and those that would be served find none.
#[test]
fn at_the_limit_of_open_requests_the_least_queued_one_is_rejected_at_once() {
    let mut harness = Harness::with_max_open_requests(4);
    harness.list(Readiness::Ready);
    let poor = |volume| IncomingRequest { volume, plan: 1, ..request(1) };
    let mut out = 0;
    for id in 1..=4 {
        out += harness
            .at(10 * MS, Input::RequestArrived { id, request: poor(id) })
            .iter()
            .filter(|e| matches!(e, Effect::StartAttempt { .. }))
            .count();
    }
    assert!((1..4).contains(&out), "some wait: {out}");
    // One that a reserve covers comes, and takes the place of one that has none.
    let effects = harness.at(20 * MS, Input::RequestArrived { id: 9, request: request(1) });
    let refused: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Respond { request: id, answer: Answer::Rejected(after) } => Some((*id, after.is_zero())),
            _ => None,
        })
        .collect();
    assert!(matches!(refused[..], [(id, false)] if id != 9 && id as usize > out), "{effects:?}");
    assert_eq!(harness.broker.open_requests(), 4);
}
