//! Requirements of the standing test (`docs/FLEET.md`) that no other test covers, tested over real
//! connections: the time that attempts pass on, disconnecting clients, list watches, drains, message framing
//! and pipelining.

mod common;
use common::net::*;
use shaletack::broker::Input;
use shaletack::interface::{EndpointListKind, Idempotency, Readiness, Settings};
use shaletack::net::discovery::endpoint_list_watch::EndpointListWatch;
use shaletack::runtime::host::Host;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::sync::Notify;
use tokio::time::{sleep, timeout};

fn read_request() -> Vec<u8> {
    platform_request("GET", "leitura", 0, 1, b"")
}

fn trace_id(request: &[u8]) -> String {
    header(&String::from_utf8_lossy(request), "x-trace-id").unwrap()
}

/// Returns a response whose body is the trace id of the request that it answers.
fn trace_id_response(head: &str) -> Vec<u8> {
    answer("200 OK", header(head, "x-trace-id").unwrap().as_bytes(), 0)
}

/// Applies a change of the settings to a running host.
fn change_settings(host: &Host, change: impl FnOnce(&mut Settings)) {
    let mut settings = Settings::clone(&host.settings());
    change(&mut settings);
    host.feed(Input::Settings(Box::new(settings)));
}

/// Returns a listener whose backlog is full until it accepts the waiting connections, and those connections.
async fn listener_with_full_backlog() -> (TcpListener, Vec<TcpStream>) {
    let socket = TcpSocket::new_v4().unwrap();
    socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
    let listener = socket.listen(1).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    while let Ok(stream) = timeout(Duration::from_millis(500), TcpStream::connect(address)).await {
        waiting.push(stream.unwrap());
    }
    (listener, waiting)
}

/// For each attempt that arrived: when, and the remaining time in seconds from its `X-Expires-In` header.
type PassedOnTimes = Rc<RefCell<Vec<(Instant, f64)>>>;

fn record_passed_on_time(times: &PassedOnTimes, head: &str) {
    let seconds = header(head, "x-expires-in").unwrap().parse().unwrap();
    times.borrow_mut().push((Instant::now(), seconds));
}

/// Asserts that each attempt passed on what was left of the client's 1.5 s: at most 0.1 s more and 0.4 s
/// less.
fn assert_remaining_time_passed_on(times: &PassedOnTimes, since: Instant) {
    for (at, passed_on) in times.borrow().iter() {
        let left = 1.5 - (*at - since).as_secs_f64();
        assert!(
            *passed_on < left + 0.1 && *passed_on > left - 0.4,
            "passed on {passed_on} s, {left} s were left"
        );
    }
}

/// The time that an attempt passes on is computed when its request is written, not before its connection is
/// established: otherwise a connection that is established a second late passes on a second too much.
#[test]
fn an_attempt_passes_on_no_more_time_than_its_client_has_left() {
    run_test(async {
        let times = PassedOnTimes::default();
        let recorded = times.clone();
        let endpoint = peer(move |stream, number| {
            let recorded = recorded.clone();
            async move {
                let mut s = BufReader::new(stream);
                let Some((head, _)) = message(&mut s).await else { return };
                record_passed_on_time(&recorded, &head);
                if number > 0 {
                    return s.write_all(&trace_id_response(&head)).await.unwrap();
                }
                // The first attempt's connection is closed while the endpoint works on the request.
                sleep(Duration::from_millis(300)).await;
            }
        })
        .await;
        let (front, _, _) = http_front(&[(endpoint, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let since = Instant::now();
        assert_eq!(client.ask(&read_request()).await.0, 200);
        assert_eq!(times.borrow().len(), 2);
        assert_remaining_time_passed_on(&times, since);

        let (listener, mut waiting) = listener_with_full_backlog().await;
        let (front, _, host) = http_front(&[(listener.local_addr().unwrap(), 0)]).await;
        change_settings(&host, |set| set.connect_timeout = Duration::from_millis(1400));
        let mut client = HttpClient::connect(front).await;
        let since = Instant::now();
        client.0.write_all(&platform_request("PUT", "gravacao", 0, 1, b"w")).await.unwrap();
        until(|| host.open_requests() == 1).await;
        for _ in 0..waiting.len() {
            listener.accept().await.unwrap();
        }
        waiting.clear();
        let mut s = BufReader::new(listener.accept().await.unwrap().0);
        let (head, body) = message(&mut s).await.unwrap();
        let times = PassedOnTimes::default();
        record_passed_on_time(&times, &head);
        assert!(since.elapsed() > Duration::from_millis(800), "the connection was established at once");
        assert_remaining_time_passed_on(&times, since);
        s.write_all(&trace_id_response(&head)).await.unwrap();
        assert_eq!((client.ask(b"").await.0, body), (200, b"w".to_vec()));
    });
}

/// Asserts that the median is within 0.1 s, the time within which a client's close must take effect; each
/// check of all connections may come up to 20 ms later.
fn assert_prompt(mut took: Vec<Duration>) {
    took.sort();
    assert!(took[took.len() / 2] < Duration::from_millis(100), "{took:?}");
}

/// A request whose client has closed its connection is not sent, whether the request waits for its first
/// attempt or for a retry.
#[test]
fn nothing_is_forwarded_for_a_client_that_has_disconnected() {
    run_test(async {
        // Several clients disconnect while no endpoint is listed; then the endpoint is listed.
        let endpoint = StubHttpEndpoint::start(|_, head| Some((trace_id_response(head), false))).await;
        let nowhere: SocketAddr = "127.0.0.1:9".parse().unwrap();
        let mut took = Vec::new();
        for round in 0..9 {
            let (front, _, host) = http_front(&[]).await;
            let mut clients = Vec::new();
            for _ in 0..8 {
                let mut client = HttpClient::connect(front).await;
                client.0.write_all(&read_request()).await.unwrap();
                clients.push(client);
            }
            until(|| host.open_requests() == 8).await;
            clients.clear();
            took.push(until(|| host.open_requests() == 0).await);
            let mut list = operator(&[(endpoint.address, 0), (nowhere, 1)]).endpoints;
            list.entries.truncate(1);
            host.feed(Input::EndpointList(list));
            assert_eq!(HttpClient::connect(front).await.ask(&read_request()).await.0, 200);
            assert_eq!(
                endpoint.seen.borrow().len(),
                round + 1,
                "a request was sent for a client that had disconnected"
            );
        }
        assert_prompt(took);

        // The first attempt fails after the client has disconnected: once where attempts may not be canceled
        // and once where they are.
        for cancellation_allowed in [false, true] {
            let mut took = Vec::new();
            let (disconnect, disconnected, seen) =
                (Rc::new(Notify::new()), Rc::new(Notify::new()), Rc::new(Cell::new(0)));
            let (disconnect_requested, ended, count) =
                (disconnect.clone(), disconnected.clone(), seen.clone());
            let endpoint = peer(move |stream, _| {
                let (disconnect_requested, ended, count) =
                    (disconnect_requested.clone(), ended.clone(), count.clone());
                async move {
                    let mut s = BufReader::new(stream);
                    while let Some((head, _)) = message(&mut s).await {
                        count.set(count.get() + 1);
                        if !head.starts_with("PUT") {
                            disconnect_requested.notified().await;
                            drop(s);
                            return ended.notify_one();
                        }
                        s.write_all(&trace_id_response(&head)).await.unwrap();
                    }
                }
            })
            .await;
            let (front, _, host) = http_front(&[(endpoint, 0)]).await;
            change_settings(&host, |set| set.cancellation_allowed = cancellation_allowed);
            for round in 0..9 {
                let mut client = HttpClient::connect(front).await;
                client.0.write_all(&read_request()).await.unwrap();
                until(|| seen.get() == 2 * round + 1).await;
                drop(client);
                took.push(until(|| host.open_requests() == 0).await);
                disconnect.notify_one();
                disconnected.notified().await;
                let write = platform_request("PUT", "gravacao", 0, 1, b"w");
                assert_eq!(HttpClient::connect(front).await.ask(&write).await.0, 200);
                assert_eq!(
                    seen.get(),
                    2 * round + 2,
                    "a request was retried for a client that had disconnected"
                );
            }
            assert_prompt(took);
        }
    });
}

/// A watch whose connection sends keep-alive lines for 12 s and then nothing is replaced as soon as one that
/// is silent from its start: until then it is the only watch, and a change that the agent holds is received
/// in less than 6 s.
#[test]
fn a_watch_that_falls_silent_late_is_replaced_as_soon_as_an_early_one() {
    run_test(async {
        let (silent_since, calls) = (Rc::new(Cell::new(None)), Rc::new(Cell::new(0)));
        let (silence_start, call_count) = (silent_since.clone(), calls.clone());
        let agent = peer(move |stream, number| {
            let (silence_start, call_count) = (silence_start.clone(), call_count.clone());
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                call_count.set(number + 1);
                if number > 0 {
                    return send_and_hold(&mut s, &format!("{HEAD}{}", listed(44, "removed"))).await;
                }
                s.write_all(format!("{HEAD}{}", listed(43, "up")).as_bytes()).await.unwrap();
                // The agent sends a keep-alive line every 2 s.
                for _ in 0..6 {
                    sleep(Duration::from_secs(2)).await;
                    s.write_all(chunk("\n").as_bytes()).await.unwrap();
                }
                silence_start.set(Some((Instant::now(), call_count.get())));
                let _ = s.read(&mut [0]).await;
            }
        })
        .await;
        let (_, _, host) = http_front(&[]).await;
        let _watch = EndpointListWatch::start(host.clone(), agent, 41, 1);
        until(|| host.is_ready()).await;
        until(|| silent_since.get().is_some()).await;
        let (at, calls) = silent_since.get().unwrap();
        assert_eq!((calls, host.is_ready()), (1, true));
        until(|| !host.is_ready()).await;
        assert!(at.elapsed() < Duration::from_secs(6), "{:?}", at.elapsed());
    });
}

/// A drain, or a full list without the endpoint, arrives at the same instant as a new configuration, in
/// either order: the endpoint gets no new request, and its request in flight is answered, whatever the
/// configuration changes.
#[test]
fn a_drain_and_a_reload_in_the_same_instant_both_count() {
    run_test(async {
        for (readiness, full) in [
            (Some(Readiness::Draining), false),
            (Some(Readiness::Removed), false),
            (Some(Readiness::Draining), true),
            (None, true),
        ] {
            for reload_first in [true, false] {
                let answer_now = Rc::new(Notify::new());
                let (notified, seen) = (answer_now.clone(), Rc::new(Cell::new(0)));
                let count = seen.clone();
                let draining = peer(move |stream, _| {
                    let (notified, count) = (notified.clone(), count.clone());
                    async move {
                        let mut s = BufReader::new(stream);
                        while let Some((head, _)) = message(&mut s).await {
                            count.set(count.get() + 1);
                            notified.notified().await;
                            s.write_all(&trace_id_response(&head)).await.unwrap();
                        }
                    }
                })
                .await;
                let remaining =
                    StubHttpEndpoint::start(|_, head| Some((trace_id_response(head), false))).await;
                let (front, _, host) = http_front(&[(draining, 0)]).await;
                let mut first = HttpClient::connect(front).await;
                first.0.write_all(&platform_request("PUT", "gravacao", 0, 1, b"w")).await.unwrap();
                until(|| seen.get() == 1).await;
                let endpoints = [(draining, 0), (remaining.address, 1), (remaining.address, 0)];
                let mut list = operator(&endpoints).endpoints;
                let successor = list.entries.pop();
                list.kind = if full { EndpointListKind::Full } else { EndpointListKind::Delta };
                match readiness {
                    Some(readiness) => list.entries[0].readiness = readiness,
                    None => drop(list.entries.remove(0)),
                }
                let reload = || {
                    change_settings(&host, |set| {
                        (set.keep_alive_timeout, set.connect_timeout) =
                            (set.keep_alive_timeout / 2, set.connect_timeout * 2);
                        set.classes[0].idempotency = Idempotency::NotIdempotent;
                        set.zones.push("room-new".into());
                    })
                };
                if reload_first {
                    reload();
                    host.feed(Input::EndpointList(list));
                } else {
                    host.feed(Input::EndpointList(list));
                    reload();
                }
                // The draining endpoint has capacity for one more request, but must not get it.
                let mut client = HttpClient::connect(front).await;
                assert_eq!(client.ask(&read_request()).await.0, 503, "{readiness:?}");
                let mut list = operator(&endpoints).endpoints;
                (list.kind, list.entries) = (EndpointListKind::Delta, successor.into_iter().collect());
                host.feed(Input::EndpointList(list));
                assert_eq!(client.ask(&read_request()).await.0, 200);
                assert_eq!((seen.get(), remaining.seen.borrow().len()), (1, 1), "{readiness:?}");
                answer_now.notify_one();
                assert_eq!(first.ask(b"").await.0, 200, "the request in flight is answered: {readiness:?}");
            }
        }
        // Discovery moves with the reload, and the new agent sends nothing: the old agent's events still
        // count.
        let send_removal = Rc::new(Notify::new());
        let removal_requested = send_removal.clone();
        let old_agent = peer(move |stream, _| {
            let removal_requested = removal_requested.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(format!("{HEAD}{}", listed(43, "up")).as_bytes()).await.unwrap();
                removal_requested.notified().await;
                send_and_hold(&mut s, &listed(44, "removed")).await;
            }
        })
        .await;
        let silent_agent = peer(|stream, _| async move {
            let _ = BufReader::new(stream).read(&mut [0; 4096]).await;
            std::future::pending().await
        })
        .await;
        let (_, _, host) = http_front(&[]).await;
        let mut watch = EndpointListWatch::start(host.clone(), old_agent, 41, 1);
        until(|| host.is_ready()).await;
        watch.set_agent(silent_agent);
        change_settings(&host, |set| set.zones.push("room-new".into()));
        send_removal.notify_one();
        timeout(Duration::from_secs(4), until(|| !host.is_ready()))
            .await
            .expect("the removal that the old agent reports takes effect");
    });
}

/// Requests and responses are read in every form that HTTP/1.1 allows (RFC 9112), also where they arrive in
/// pieces of a single byte.
#[test]
fn messages_are_read_in_every_form_and_in_small_pieces() {
    run_test(async {
        let responses = [
            "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
            "HTTP/1.1 200 \r\ncontent-length:5\r\nX-Iops-Used: 12.5\r\nx-rho:3\r\n\r\nhello",
            "HTTP/1.1 200 All right\r\nCONTENT-LENGTH: \t5 \r\nConnection: Keep-Alive\r\n\r\nhello",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2;a=b\r\nhe\r\n03\r\nllo\r\n0\r\nA: 1\r\n\r\n",
            "HTTP/1.1 200 Y\r\ntransfer-encoding: Chunked\r\nConnection: close\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
            "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello",
        ];
        let (next_response, seen) = (Rc::new(Cell::new(0)), Rc::new(RefCell::new(Vec::new())));
        let (response, received) = (next_response.clone(), seen.clone());
        let endpoint = peer(move |stream, _| {
            let (response, received) = (response.clone(), received.clone());
            async move {
                stream.set_nodelay(true).unwrap();
                let mut s = BufReader::new(stream);
                while let Some(request) = message(&mut s).await {
                    received.borrow_mut().push(request);
                    let text = responses[response.get() % responses.len()];
                    for byte in text.as_bytes() {
                        s.write_all(&[*byte]).await.unwrap();
                        tokio::task::yield_now().await;
                    }
                    if text.contains("close") {
                        return;
                    }
                }
            }
        })
        .await;
        let (front, _, _) = http_front(&[(endpoint, 0)]).await;
        let usual_headers = [
            "X-Qos-Policy: t/p",
            "X-Expires-In: 1.500",
            "X-Placement: volume=00000000000000a1,units=2,shard=0,hosts=1",
        ];
        let get = "GET /leitura/7f3a9c21e0b4d655";
        let put = "PUT /gravacao/7f3a9c21e0b4d655";
        // Method and path, the headers except for the trace id, the body as it is framed, and the body's
        // content.
        let forms: [(&str, Vec<&str>, &str, &str); 8] = [
            (get, usual_headers.into(), "", ""),
            (
                "GET /leitura/a/b%2fc/7F3A9C21E0B4D655?x=%20&y",
                vec![
                    "x-qos-policy:t/p",
                    "x-expires-in:\t1 ",
                    "x-placement:volume=00000000000000a1,units=2,shard=0,hosts=1\t",
                ],
                "",
                "",
            ),
            (
                get,
                vec![
                    "X-PLACEMENT: hosts=1, shard=0, units=2.0, volume=00000000000000A1",
                    "X-EXPIRES-IN: 01.5",
                    "X-QOS-POLICY: t/p",
                    "X-Second-Try: 1",
                ],
                "",
                "",
            ),
            (
                get,
                [
                    &usual_headers[..1],
                    &[
                        "Connection: keep-alive",
                        "Accept: */*",
                        "Content-Length: 0",
                        "X-Expires-In: 1.",
                        "X-Placement: volume=00000000000000a1,units=2,shard=0,hosts=1,more=1",
                    ],
                ]
                .concat(),
                "",
                "",
            ),
            (
                get,
                vec![
                    usual_headers[0],
                    "X-Expires-In: .9",
                    "X-Placement: volume=00000000000000a1,units=2,shard=-1,hosts=1",
                ],
                "",
                "",
            ),
            (put, [&["Content-Length: 3"], &usual_headers[..]].concat(), "abc", "abc"),
            (
                put,
                [&usual_headers[..], &["Transfer-Encoding: chunked"]].concat(),
                "1;x=\"y\"\r\na\r\n02\r\nbc\r\n0\r\nX-Sum: 1\r\n\r\n",
                "abc",
            ),
            (put, [&["Content-Length: 0"], &usual_headers[..]].concat(), "", ""),
        ];
        let mut client = HttpClient::connect(front).await;
        client.0.get_ref().set_nodelay(true).unwrap();
        for turn in 0..forms.len() * responses.len() {
            let (line, headers, sent, body) = &forms[turn / responses.len()];
            next_response.set(turn);
            let id = format!("piece-{turn}");
            let headers = headers.join("\r\n");
            let text = format!("{line} HTTP/1.1\r\nHost: api\r\nX-Trace-Id: {id}\r\n{headers}\r\n\r\n{sent}");
            // Requests are sent in pieces of one or of three bytes, by turns.
            for piece in text.as_bytes().chunks(1 + turn % 2 * 2) {
                client.0.write_all(piece).await.unwrap();
                tokio::task::yield_now().await;
            }
            let (status, _, got) = client.ask(b"").await;
            let response = responses[turn % responses.len()];
            assert_eq!((status, got.as_slice()), (200, &b"hello"[..]), "{text}\n{response}");
            let (head, received_body) = seen.borrow_mut().pop().unwrap();
            assert!(head.starts_with(&format!("{line} HTTP/1.1\r\n")), "{head}");
            assert_eq!((header(&head, "x-trace-id"), received_body.as_slice()), (Some(id), body.as_bytes()));
            assert!(seen.borrow().is_empty(), "{text}");
        }
    });
}

/// A response without a stated length is forwarded as it arrives, as a chunked body. Where the endpoint
/// resets its connection, the last chunk is not sent, so that the client can tell that the response is
/// incomplete.
#[test]
fn a_long_response_without_a_length_that_is_reset_is_not_complete() {
    run_test(async {
        let reset = Rc::new(Notify::new());
        let reset_requested = reset.clone();
        let endpoint = peer(move |stream, _| {
            let reset_requested = reset_requested.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(b"HTTP/1.1 200 OK\r\n\r\n").await.unwrap();
                s.write_all(&[7; 100_000]).await.unwrap();
                reset_requested.notified().await;
                socket2::SockRef::from(s.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
        })
        .await;
        let (front, _, _) = http_front(&[(endpoint, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        client.0.write_all(&platform_request("PUT", "gravacao", 0, 1, b"w")).await.unwrap();
        let (mut beginning, mut rest) = (vec![0; 50_000], Vec::new());
        client.0.read_exact(&mut beginning).await.unwrap();
        assert!(beginning.starts_with(b"HTTP/1.1 200"));
        reset.notify_one();
        // The connection is closed or reset, without the last chunk.
        let _ = client.0.read_to_end(&mut rest).await;
        assert!(String::from_utf8_lossy(&beginning).to_lowercase().contains("transfer-encoding: chunked"));
        assert!(!rest.ends_with(b"0\r\n\r\n"));
    });
}

/// Many requests that are pipelined on one connection are answered in order, each with its own response.
/// Requests beyond what is buffered for a connection are neither forwarded nor answered: the connection is
/// closed, and the client may send them elsewhere.
#[test]
fn requests_that_are_sent_ahead_are_answered_in_turn() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, head| Some((trace_id_response(head), false))).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        for (count, all_answered) in [(24, true), (400, true), (4000, false)] {
            let before = endpoint.seen.borrow().len();
            let requests: Vec<Vec<u8>> = (0..count).map(|_| read_request()).collect();
            let mut client = HttpClient::connect(front).await;
            client.0.write_all(&requests.concat()).await.unwrap();
            let mut answered = 0;
            for request in &requests {
                // The connection is closed, not reset.
                if client.0.fill_buf().await.unwrap().is_empty() {
                    break;
                }
                let (head, body) = message(&mut client.0).await.unwrap();
                assert!(head.starts_with("HTTP/1.1 200"), "{head}");
                assert_eq!(String::from_utf8(body).unwrap(), trace_id(request), "request {answered}");
                answered += 1;
            }
            assert_eq!(endpoint.seen.borrow().len() - before, answered, "each forwarded request is answered");
            assert_eq!(answered == count, all_answered, "{answered} of {count}");
        }
        assert_eq!(host.open_requests(), 0);
    });
}

/// After SIGTERM clients go on sending on each connection for as long as it stays open, some of them just as
/// it is closed. Each request that reaches an endpoint is answered, and the front still stops in time.
#[test]
fn clients_that_send_to_the_end_are_answered_or_never_sent_on() {
    run_test(async {
        let seen: Rc<RefCell<Vec<String>>> = Rc::default();
        let received = seen.clone();
        let endpoint = peer(move |stream, _| {
            let received = received.clone();
            async move {
                let mut s = BufReader::new(stream);
                while let Some((head, _)) = message(&mut s).await {
                    received.borrow_mut().push(header(&head, "x-trace-id").unwrap());
                    // The endpoint takes 5 ms for each request, so that some are in flight at any time.
                    sleep(Duration::from_millis(5)).await;
                    s.write_all(&trace_id_response(&head)).await.unwrap();
                }
            }
        })
        .await;
        let (front, stop, host, served) = http_front_until(&[(endpoint, 0)]).await;
        let answered: Rc<RefCell<Vec<String>>> = Rc::default();
        let mut clients = Vec::new();
        for number in 0..14 {
            let answered = answered.clone();
            clients.push(actix_rt::spawn(async move {
                let mut client = HttpClient::connect(front).await;
                loop {
                    let request = read_request();
                    if client.0.write_all(&request).await.is_err() {
                        return;
                    }
                    let Some((head, body)) = message(&mut client.0).await else { return };
                    if head.starts_with("HTTP/1.1 200") {
                        assert_eq!(String::from_utf8(body).unwrap(), trace_id(&request));
                    }
                    answered.borrow_mut().push(trace_id(&request));
                    // Some clients send their next request at once, the others pause.
                    sleep(Duration::from_millis(number % 7 * 23)).await;
                }
            }));
        }
        until(|| answered.borrow().len() > 50).await;
        let since = Instant::now();
        stop.notify_one();
        until(|| host.is_stopping()).await;
        let before = answered.borrow().len();
        served.await.unwrap();
        assert!(since.elapsed() < Duration::from_millis(2500), "{:?}", since.elapsed());
        for client in clients {
            client.await.unwrap();
        }
        assert!(answered.borrow().len() > before + 50, "requests are answered while the front stops");
        for id in seen.borrow().iter() {
            assert!(answered.borrow().contains(id), "{id} was forwarded and not answered");
        }
    });
}
