//! Tests of the broker in isolation, in virtual time.

use shaletack::broker::{
    Answer, AttemptId, AttemptProgress, AttemptResult, Broker, Clock, Effect, IncomingRequest, Input,
    OperatorCommand, Rejection,
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
        let class = |idempotency| RequestClass {
            latency_objective: 100 * MS,
            deadline: 1000 * MS,
            priority_weight: 1.0,
            idempotency,
            ..RequestClass::default()
        };
        let settings = Settings {
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
        Harness { broker: Broker::new(settings, 1, clock, start), start }
    }

    /// Replaces the broker by one that starts with other settings.
    fn restart_with(&mut self, settings: Settings) {
        self.broker = Broker::new(settings, 1, Clock::new(self.start, Duration::from_secs(1000)), self.start);
    }

    /// Passes an input at a time after the start, and returns the effects except log events.
    fn at(&mut self, after: Duration, input: Input) -> Vec<Effect> {
        let effects = self.broker.step(self.start + after, input);
        effects.into_iter().filter(|e| !matches!(e, Effect::Log(_))).collect()
    }

    fn list(&mut self, readiness: Readiness) {
        self.list_at(MS, readiness, None);
    }

    /// Lists the endpoint `s-0000000a` at a time after the start.
    fn list_at(&mut self, at: Duration, readiness: Readiness, up_since: Option<Duration>) {
        let entries = vec![EndpointRecord { up_since, ..endpoint_record("s-0000000a", "", readiness) }];
        self.at(
            at,
            Input::EndpointList(EndpointList { revision: 1, kind: EndpointListKind::Delta, entries }),
        );
    }
}

/// The list entry of an endpoint of shard 0.
fn endpoint_record(id: &str, zone: &str, readiness: Readiness) -> EndpointRecord {
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

/// New settings drop a class. If classes were renumbered by their position, the rules of another class would
/// apply to an open request.
#[test]
fn an_open_request_keeps_the_rules_under_which_it_arrived() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    let failed = || AttemptResult::without_response(TransportOutcome::EndpointError);
    let sends = |effects: &[Effect]| effects.iter().any(|e| matches!(e, Effect::StartAttempt { .. }));
    assert!(sends(&harness.at(2 * MS, Input::RequestArrived { id: 1, request: request(0) })));
    let older = harness.broker.settings();
    let named = |name: &str, class: &RequestClass| RequestClass { name: name.into(), ..class.clone() };
    let [idempotent, not_idempotent] = [0, 1].map(|n| older.class(n));
    // The first class is dropped; a class of another name and idempotency takes its position. A further class
    // allows a single attempt.
    let newer = Settings {
        classes: vec![
            named("new", &not_idempotent),
            RequestClass { max_attempts: 1, ..named("once", &idempotent) },
        ],
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
        "a request of the dropped idempotent class must still be retried"
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
    // Applying the same settings again adds no class.
    harness.at(9000 * MS, Input::Settings(Box::new(newer)));
    assert_eq!(harness.broker.settings().classes.len(), 4);
}

/// An endpoint begins to drain while an attempt still waits for its connection. If the attempt were not
/// withdrawn, it would be written when the connection is established, after the quarter of a second that the
/// settings allow.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_endpoint_drains() {
    let sent =
        |effects: &[Effect]| effects.iter().filter(|e| matches!(e, Effect::StartAttempt { .. })).count();
    for (readiness, by_operator) in
        [(Readiness::Draining, false), (Readiness::Removed, false), (Readiness::Ready, true)]
    {
        let mut harness = Harness::new();
        harness.list(Readiness::Ready);
        // Request 1 is being written. Requests 2 and 3 wait for a connection, request 2 with a streamed body.
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
        let input = if by_operator {
            Input::OperatorCommand(OperatorCommand::Suspend("s-0000000a".into()))
        } else {
            let entries = vec![endpoint_record("s-0000000a", "", readiness)];
            Input::EndpointList(EndpointList { revision: 2, kind: EndpointListKind::Delta, entries })
        };
        let effects = harness.at(4 * MS, input);
        let aborted = |id| effects.contains(&Effect::AbortAttempt(AttemptId::new(id, 0)));
        assert_eq!([1, 2, 3].map(aborted), [false, true, true], "{effects:?}");
        assert_eq!(harness.broker.attempt_outcomes().get("Withdrawn"), Some(&2));
        // The withdrawn attempts never ran, so their requests are sent to the replacement although they are
        // not idempotent.
        let replacement = endpoint_record("s-0000000b", "", Readiness::Ready);
        let list = EndpointList { revision: 3, kind: EndpointListKind::Delta, entries: vec![replacement] };
        assert_eq!(sent(&harness.at(5 * MS, Input::EndpointList(list))), 2);
        let effects = harness.at(
            9 * MS,
            Input::AttemptEnded {
                attempt: AttemptId::new(1, 0),
                result: AttemptResult::without_response(TransportOutcome::Complete),
            },
        );
        assert!(effects
            .iter()
            .any(|e| matches!(e, Effect::Respond { request: 1, answer: Answer::Served(_) })));
    }
}

/// A client leaves while its attempt still waits for a connection. If attempts were withdrawn only where the
/// settings allow cancellation, the attempt would be sent although no answer is owed.
#[test]
fn an_unwritten_attempt_is_withdrawn_when_its_client_leaves() {
    for cancellation_allowed in [true, false] {
        let mut harness = Harness::new();
        let settings = Settings { cancellation_allowed, ..Settings::clone(&harness.broker.settings()) };
        harness.restart_with(settings);
        harness.list(Readiness::Ready);
        // Request 1 is being written. Requests 2 and 3 wait for a connection, request 2 with a streamed body.
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
        assert_eq!(aborted, [cancellation_allowed, true, true]);
    }
}

/// Endpoints do not drop repeats of requests that endpoints of another zone received, so a keyed request must
/// not be retried in another zone. A zone that the settings do not name must not be taken for a named one.
#[test]
fn a_keyed_request_is_retried_only_in_its_zone_even_if_the_zone_is_unnamed() {
    let is_retried = |zones: [&str; 2]| {
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
        harness.restart_with(settings);
        let list = |entries| {
            Input::EndpointList(EndpointList { revision: 1, kind: EndpointListKind::Full, entries })
        };
        let first = |readiness| endpoint_record("s-0000000a", zones[0], readiness);
        harness.at(MS, list(vec![first(Readiness::Ready)]));
        harness.at(2 * MS, Input::RequestArrived { id: 1, request: request(0) });
        let second = endpoint_record("s-0000000b", zones[1], Readiness::Ready);
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
    assert!(is_retried(["room-a", "room-a"]) && is_retried(["room-c", "room-c"]));
    assert!(!is_retried(["room-a", "room-b"]) && !is_retried(["room-b", "room-c"]));
    assert!(!is_retried(["", ""]) && !is_retried(["room-a", ""]));
}

/// A large body cannot be sent again, so the first rejection of its request is final. If an earlier attempt
/// may have run, the client must not be told that nothing ran. Retry-After must stay within the maximum of
/// the settings.
/// Returns the rejection of a request of which no attempt ran.
fn never_ran(retry_after: Duration) -> Rejection {
    Rejection { retry_after, may_have_run: false }
}

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
        harness.restart_with(settings);
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
        let result = AttemptResult {
            body_consumed: true,
            ..AttemptResult::without_response(TransportOutcome::Rejected)
        };
        harness.at(41 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, number), result })
    };
    let (rejected, failed) = (
        Effect::Respond { request: 1, answer: Answer::Rejected(never_ran(30 * MS)) },
        Effect::Respond { request: 1, answer: Answer::Failed },
    );
    assert!(answer(None).contains(&rejected) && answer(Some(TransportOutcome::Rejected)).contains(&rejected));
    assert!(answer(Some(TransportOutcome::EndpointError)).contains(&failed));
}

/// Operators suspend an endpoint, restart it and resume it. Its slow start begins at the listed start if that
/// surely came after the suspension, else when the endpoint is resumed.
#[test]
fn slow_start_of_a_resumed_endpoint_begins_at_a_listed_start_during_its_suspension() {
    // Returns the number of requests sent within the first second after the resumption, where the list
    // reports a start after so many milliseconds, at that time.
    let sent_after_resume = |started: Option<(u64, Duration)>| {
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
        if let Some((after, listed_at)) = started {
            harness.at(listed_at - MS, Input::EndpointListCurrent);
            let up_since = Some(Duration::from_secs(1000) + Duration::from_millis(after));
            harness.list_at(listed_at, Readiness::Ready, up_since);
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
    let no_start = sent_after_resume(None);
    // Started before the suspension, and listed late.
    let before = sent_after_resume(Some((500, 2000 * MS)));
    // Listed during the suspension, but so early that the endpoint may have started before.
    let maybe_before = sent_after_resume(Some((1500, 2000 * MS)));
    let during = sent_after_resume(Some((17_400, 17_500 * MS)));
    assert!(
        no_start > 0 && no_start == before && no_start == maybe_before,
        "{no_start} {before} {maybe_before}"
    );
    assert!(during > 2 * no_start, "{during} {no_start}");
}

/// An endpoint does not answer. The final answer must reach the client before it stops waiting, so the
/// attempt is aborted a little earlier. A response that arrives later is ignored.
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
    for (outcome, retried) in [
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
                result: AttemptResult::without_response(outcome),
            },
        );
        (3..40).for_each(|n| effects.extend(harness.at(10 * n * MS, Input::TimerFired)));
        let sent = effects.iter().filter(|e| matches!(e, Effect::StartAttempt { .. })).count();
        let failed = effects.contains(&Effect::Respond { request: 1, answer: Answer::Failed });
        assert_eq!((sent, failed), (usize::from(retried), !retried), "{outcome:?}: {effects:?}");
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
    let rejected = |e: &&Effect| matches!(e, Effect::Respond { request: 1, answer: Answer::Rejected(rejection) } if !rejection.retry_after.is_zero());
    assert_eq!(effects.iter().filter(rejected).count(), 1, "{effects:?}");
}

#[test]
fn a_client_that_left_gets_no_answer() {
    let mut harness = Harness::new();
    harness.list(Readiness::Ready);
    harness.at(10 * MS, Input::RequestArrived { id: 1, request: request(0) });
    let left = harness.at(20 * MS, Input::ClientLeft(1));
    assert!(
        left.contains(&Effect::AbortAttempt(AttemptId::new(1, 0))),
        "the attempt must be aborted: {left:?}"
    );
    let result =
        AttemptResult { body: "x".into(), ..AttemptResult::without_response(TransportOutcome::Complete) };
    let effects = harness.at(30 * MS, Input::AttemptEnded { attempt: AttemptId::new(1, 0), result });
    assert!(!effects.iter().any(|e| matches!(e, Effect::Respond { .. })), "{effects:?}");
    assert_eq!((harness.broker.open_requests(), harness.broker.counters()[0].requests.client_left), (0, 1));
}

/// Each open request occupies a connection of a client. In a surge, requests that will not be served could
/// occupy all of them, and requests that would be served would find none.
#[test]
fn at_the_limit_of_open_requests_the_least_queued_one_is_rejected_at_once() {
    let mut harness = Harness::with_max_open_requests(4);
    harness.list(Readiness::Ready);
    let without_reserve = |volume| IncomingRequest { volume, plan: 1, ..request(1) };
    let mut in_flight = 0;
    for id in 1..=4 {
        in_flight += harness
            .at(10 * MS, Input::RequestArrived { id, request: without_reserve(id) })
            .iter()
            .filter(|e| matches!(e, Effect::StartAttempt { .. }))
            .count();
    }
    assert!((1..4).contains(&in_flight), "some requests must be queued: {in_flight} in flight");
    // A request within its volume's reserve displaces a queued one without a reserve.
    let effects = harness.at(20 * MS, Input::RequestArrived { id: 9, request: request(1) });
    let rejected: Vec<_> = effects
        .iter()
        .filter_map(|e| match e {
            Effect::Respond { request: id, answer: Answer::Rejected(rejection) } => {
                Some((*id, rejection.retry_after.is_zero()))
            }
            _ => None,
        })
        .collect();
    assert!(matches!(rejected[..], [(id, false)] if id != 9 && id as usize > in_flight), "{effects:?}");
    assert_eq!(harness.broker.open_requests(), 4);
}
