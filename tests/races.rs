//! Races between two events, each forced into the order that is hard to handle: scripted peers hold back
//! their bytes or their close until told.

mod common;
use common::net::*;
use shaletack::broker::{Input, OperatorCommand};
use shaletack::interface::Settings;
use shaletack::net::discovery::endpoint_list_watch::EndpointListWatch;
use shaletack::net::handover::{self, HandoverLink, HandoverState, Identity};
use shaletack::net::upstream::endpoint_clients::EndpointClients;
use shaletack::net::upstream::request_body::RequestBody;
use shaletack::net::upstream::upstream_call::UpstreamCall;
use shaletack::outcome::TransportOutcome;
use shaletack::runtime::host::UpstreamRequest;
use std::cell::Cell;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::{TcpStream, UnixListener, UnixStream};
use tokio::sync::Notify;

/// Guards against requests of clients that have left staying open: a close behind more than 16 KiB of
/// pipelined requests was not read.
#[test]
fn a_disconnect_is_detected_behind_any_amount_of_pipelined_requests() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| None).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let mut pipelined = Vec::new();
        while pipelined.len() < 1 << 20 {
            pipelined.extend(platform_request("GET", "leitura", 0, 1, b""));
        }
        for ahead in [0, 300, 20 << 10, 200 << 10, 1 << 20] {
            for ending in ["close", "reset", "half"] {
                let mut client = HttpClient::connect(front).await;
                client.0.write_all(&platform_request("PUT", "gravacao", 0, 2, b"w")).await.unwrap();
                endpoint.received.notified().await;
                client.0.write_all(&pipelined[..ahead]).await.unwrap();
                assert_eq!(host.open_requests(), 1, "{ahead} {ending}");
                if ending == "reset" {
                    socket2::SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                }
                if ending == "half" {
                    client.0.shutdown().await.unwrap();
                } else {
                    drop(client);
                }
                // A disconnect must be handled within 100 ms. The endpoint does not respond for 1.5 s.
                let took = until(|| host.open_requests() == 0).await;
                assert!(took < Duration::from_millis(400), "{ahead} {ending}: {took:?}");
            }
        }
        assert_eq!(host.with_broker(|b| b.counters()[1].requests.client_left), 15);
        // A client that goes on sending and stays connected is served. Its connection closes after that
        // response.
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let (front, _, _) = http_front(&[(endpoint.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let sent = [&platform_request("GET", "leitura", 0, 1, b"")[..], &pipelined[..200 << 10]].concat();
        assert_eq!(client.ask(&sent).await.0, 200);
    });
}

/// Guards against a response lost to a reset: the initiator closed a connection with unread bytes, and the
/// kernel then resets it and discards what is still in transit.
#[test]
fn a_request_sent_during_a_close_is_neither_forwarded_nor_answered_by_a_reset() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let (front, stop, _, served) = http_front_until(&[(endpoint.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let request = platform_request("GET", "leitura", 0, 1, b"");
        client.0.write_all(&request).await.unwrap();
        endpoint.received.notified().await;
        stop.notify_one();
        // The client reads nothing, so that the response stays in its receive buffer until the close arrives.
        while !client.0.get_ref().ready(Interest::READABLE).await.unwrap().is_read_closed() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let large = platform_request("PUT", "gravacao", 0, 1, &[7; 60_000]);
        for _ in 0..8 {
            client.0.write_all(&large).await.unwrap();
        }
        assert_eq!(client.ask(b"").await.0, 200);
        assert_eq!(client.0.read(&mut [0]).await.unwrap(), 0, "closed without a reset");
        assert_eq!(endpoint.seen.borrow().len(), 1);
        // The process waits for the client to close its side too, but only for a limited time.
        let start = Instant::now();
        served.await.unwrap();
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    });
}

/// Guards against a silent watch being replaced too late: the agent's list must arrive within 6 s, also if
/// the next calls fall silent at any point. A call that got a response head and nothing more took the time
/// of a whole silence once more.
#[test]
fn a_silent_watch_is_replaced_within_six_seconds_wherever_the_next_calls_stall() {
    run_test(async {
        let stalled_responses: [fn(&str) -> String; 4] = [
            |_| String::new(),
            |_| HEAD.into(),
            |_| format!("{HEAD}{}", chunk("{\"revision\":43,\"complete\":true,\"mem")),
            |_| format!("{HEAD}{}", chunk("\n")),
        ];
        let runs = stalled_responses.map(|stalled_response| async move {
            let agent = peer(move |stream, number| async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                match number {
                    // The first watch falls silent after a keep-alive.
                    0 => send_and_hold(&mut s, &format!("{HEAD}{}", chunk("\n"))).await,
                    1 | 2 => send_and_hold(&mut s, &stalled_response("")).await,
                    _ => send_and_hold(&mut s, &format!("{HEAD}{}", listed(43, "up"))).await,
                }
            })
            .await;
            let host = host(
                &operator(&[("127.0.0.1:9".parse().unwrap(), 0), ("127.0.0.1:9".parse().unwrap(), 1)])
                    .settings,
            );
            let start = Instant::now();
            let _watch = EndpointListWatch::start(host.clone(), agent, 41, 1);
            until(|| host.is_ready()).await;
            start.elapsed()
        });
        let took = futures_util::future::join_all(runs).await;
        // The last one sends a keep-alive on each call, and falls silent again, so it takes two silences.
        assert!(took[..3].iter().all(|t| *t < Duration::from_secs(6)), "{took:?}");
    });
}

/// Guards against a drain that is undone: while the discovery address changes, two watches are open, and
/// the first list from the new address may be older than the last event from the old one.
#[test]
fn an_older_list_from_a_new_discovery_address_undoes_nothing() {
    run_test(async {
        let (send_event, calls_received) = (Rc::new(Notify::new()), Rc::new(Cell::new(0)));
        let waits = send_event.clone();
        let old = peer(move |stream, _| {
            let waits = waits.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(format!("{HEAD}{}", listed(43, "up")).as_bytes()).await.unwrap();
                waits.notified().await;
                send_and_hold(&mut s, &listed(50, "draining")).await;
            }
        })
        .await;
        // The first new address never sends anything. The second is behind for three calls, and then up to
        // date.
        let silent = peer(|stream, _| async move {
            let _ = BufReader::new(stream).read(&mut [0; 4096]).await;
            std::future::pending().await
        })
        .await;
        let calls = calls_received.clone();
        let new = peer(move |stream, number| {
            let calls = calls.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                calls.set(number + 1);
                let list = if number < 3 { listed(45, "up") } else { listed(51, "removed") };
                send_and_hold(&mut s, &format!("{HEAD}{list}")).await
            }
        })
        .await;
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let host = host(&operator(&[(nowhere, 0), (nowhere, 1)]).settings);
        let mut watch = EndpointListWatch::start(host.clone(), old, 41, 1);
        until(|| host.with_broker(|b| b.revision()) == 43).await;
        send_event.notify_one();
        until(|| host.with_broker(|b| b.revision()) == 50).await;
        watch.set_agent(silent);
        watch.set_agent(new);
        until(|| {
            assert!(host.with_broker(|b| b.revision()) >= 50, "an older revision was accepted");
            calls_received.get() >= 3
        })
        .await;
        until(|| !host.is_ready()).await;
        assert_eq!(host.with_broker(|b| b.revision()), 51);
    });
}

/// Where the list is polled and discovery rejects every call for 6 s, changes count as notified to the
/// initiator. It must send no new requests until it gets a list.
#[test]
fn an_initiator_that_discovery_rejects_for_six_seconds_sends_nothing_new_until_it_gets_the_list() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let rejecting = Rc::new(Cell::new(true));
        let rejects = rejecting.clone();
        let agent = peer(move |stream, _| {
            let rejects = rejects.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                match rejects.get() {
                    true => s.write_all(&answer("503 Service Unavailable", b"", 0)).await.unwrap(),
                    false => send_and_hold(&mut s, &format!("{HEAD}{}", chunk("\n"))).await,
                }
            }
        })
        .await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let settings = Settings { endpoint_list_polled: true, ..Settings::clone(&host.settings()) };
        host.feed(Input::Settings(Box::new(settings)));
        let start = Instant::now();
        let _watch = EndpointListWatch::start(host.clone(), agent, 1, 1);
        let mut client = HttpClient::connect(front).await;
        let request = || platform_request("GET", "leitura", 0, 1, b"");
        assert_eq!(client.ask(&request()).await.0, 200);
        while client.ask(&request()).await.0 == 200 {
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        assert!((5.9..7.5).contains(&start.elapsed().as_secs_f64()), "{:?}", start.elapsed());
        let seen = endpoint.seen.borrow().len();
        assert_eq!(client.ask(&request()).await.0, 503);
        assert_eq!(endpoint.seen.borrow().len(), seen);
        rejecting.set(false);
        while client.ask(&request()).await.0 != 200 {}
    });
}

/// Guards against timeouts of connections that stay those of the first settings.
#[test]
fn newer_settings_apply_to_connections_to_endpoints() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let mut connections = async |keepalive: Option<Duration>| {
            if let Some(keepalive) = keepalive {
                let settings =
                    Settings { keep_alive_timeout: keepalive, ..Settings::clone(&host.settings()) };
                host.feed(Input::Settings(Box::new(settings)));
            }
            for _ in 0..2 {
                assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 1, b"")).await.0, 200);
                tokio::time::sleep(Duration::from_millis(150)).await;
            }
            endpoint.seen.borrow().iter().rev().take(2).map(|s| s.0).collect::<Vec<_>>()
        };
        assert_eq!(connections(None).await, [0, 0]);
        // From now on connections may be idle for 60 ms at most, and after the next change as long as before.
        assert_eq!(connections(Some(Duration::from_millis(100))).await, [2, 1]);
        assert_eq!(connections(Some(Duration::from_secs(5))).await, [3, 3]);
    });
}

/// Returns a read request as it is forwarded.
fn read_call(endpoint_clients: &Rc<EndpointClients>) -> UpstreamCall {
    UpstreamCall {
        endpoint_clients: endpoint_clients.clone(),
        method: actix_http::Method::GET,
        target: "/leitura/1".into(),
        trace_id: "1".into(),
        idempotency_key: None,
        body: RequestBody::None,
        memory: shaletack::runtime::memory::MemoryBudget::new(usize::MAX),
        streamed_response: Rc::default(),
    }
}

/// Guards against late retries: a retry with an idempotency key is only sent while its endpoint remembers
/// the key for at least the connect timeout. Waiting for a connection slot did not count towards that
/// timeout, so the retry could be written too late.
#[test]
fn waiting_for_a_connection_slot_counts_towards_the_connect_timeout() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| None).await;
        let host = host(&operator(&[(endpoint.address, 0), (endpoint.address, 1)]).settings);
        let endpoint_clients = EndpointClients::new(&host, 1, None);
        let attempt = || {
            read_call(&endpoint_clients).attempt(endpoint.address, Duration::from_secs(2), Box::new(|_| {}))
        };
        let first = actix_rt::spawn(attempt());
        endpoint.received.notified().await;
        let start = Instant::now();
        assert_eq!(attempt().await.transport, TransportOutcome::ConnectTimedOut);
        assert!(start.elapsed() < Duration::from_millis(600), "{:?}", start.elapsed());
        first.abort();
        // The endpoint has received the first request only.
        assert_eq!(endpoint.seen.borrow().len(), 1);
    });
}

/// Guards against truncated responses that pass as complete: a response in each form is reset after each of
/// its bytes, and a reset never counts as the end of the response.
#[test]
fn a_response_that_is_reset_is_never_complete() {
    run_test(async {
        let rejection = "HTTP/1.1 503 Full\r\nX-Never-Ran: 1\r\nContent-Length: 4\r\n\r\nfull";
        // The response, whether its end is known without the end of the connection, and the outcome if
        // complete.
        let forms = [
            ("HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", true, TransportOutcome::Complete),
            (
                "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
                true,
                TransportOutcome::Complete,
            ),
            ("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhello", false, TransportOutcome::Complete),
            ("HTTP/1.1 200 OK\r\n\r\nhello", false, TransportOutcome::Complete),
            (rejection, true, TransportOutcome::Rejected),
        ];
        let next = Rc::new(Cell::new(("", 0)));
        let says = next.clone();
        let endpoint = peer(move |stream, _| {
            let (text, cut) = says.get();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(&text.as_bytes()[..cut]).await.unwrap();
                socket2::SockRef::from(s.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
            }
        })
        .await;
        let host = host(&operator(&[(endpoint, 0), (endpoint, 1)]).settings);
        let endpoint_clients = EndpointClients::new(&host, 4, None);
        for (text, delimited, outcome) in forms {
            for cut in 0..=text.len() {
                next.set((text, cut));
                let reply = read_call(&endpoint_clients)
                    .attempt(endpoint, Duration::from_secs(2), Box::new(|_| {}))
                    .await;
                if cut == text.len() && delimited {
                    assert_eq!(reply.transport, outcome, "{text:?}");
                } else {
                    let ends = [
                        TransportOutcome::TruncatedResponse,
                        TransportOutcome::LostAwaitingResponse,
                        TransportOutcome::MalformedResponse,
                    ];
                    assert!(
                        ends.contains(&reply.transport),
                        "{text:?} cut after {cut}: {:?}",
                        reply.transport
                    );
                }
            }
        }
    });
}

/// Guards against a response to the wrong request: an endpoint that sends a response twice may send the
/// second copy late, and after the next request it would be taken for that one's response.
#[test]
fn an_endpoint_that_answered_twice_gets_one_request_on_each_connection() {
    run_test(async {
        let (duplicate_sent, send_duplicate) = (Rc::new(Notify::new()), Rc::new(Notify::new()));
        let (sent, send) = (duplicate_sent.clone(), send_duplicate.clone());
        let endpoint = peer(move |stream, number| {
            let (sent, send) = (sent.clone(), send.clone());
            async move {
                let mut s = BufReader::new(stream);
                let mut late: Option<Vec<u8>> = None;
                while let Some((head, _)) = message(&mut s).await {
                    let own = answer("200 OK", header(&head, "x-trace-id").unwrap().as_bytes(), 0);
                    // The previous response on this connection is sent once more before the next one.
                    s.write_all(&late.take().unwrap_or_default()).await.unwrap();
                    s.write_all(&own).await.unwrap();
                    if number == 0 {
                        send.notified().await;
                        let _ = s.write_all(&own).await;
                        sent.notify_one();
                    } else {
                        late = Some(own);
                    }
                }
            }
        })
        .await;
        let (front, _, _) = http_front(&[(endpoint, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        for turn in 0..4 {
            let request = platform_request("PUT", "gravacao", 0, 2, b"w");
            let id = header(&String::from_utf8_lossy(&request), "x-trace-id").unwrap();
            let (status, _, body) = client.ask(&request).await;
            assert_eq!((status, String::from_utf8(body).unwrap()), (200, id), "request {turn}");
            if turn == 0 {
                // After the time for which a connection is checked for stray bytes, and before its next use.
                tokio::time::sleep(Duration::from_millis(50)).await;
                send_duplicate.notify_one();
                duplicate_sent.notified().await;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    });
}

fn folder(name: &str) -> std::path::PathBuf {
    let path =
        std::path::Path::new(env!("CARGO_TARGET_TMPDIR")).join(format!("{name}-{}", std::process::id()));
    std::fs::create_dir_all(&path).unwrap();
    path
}

fn initiator(name: &str, listen_address: &str) -> Identity {
    Identity { name: name.into(), listen_address: listen_address.parse().unwrap() }
}

fn state() -> HandoverState {
    HandoverState {
        core: Default::default(),
        request_ids: vec![(Duration::from_secs(1), "t".into())],
        configuration: "{}".into(),
    }
}

/// Guards against two faults. The socket was named by the initiator's name alone, so two customers'
/// initiators of the same name took over each other's endpoint list and configuration. And a process that
/// connected and sent nothing kept the true successor waiting until it gave up.
#[test]
fn state_is_handed_only_to_a_process_of_the_same_initiator() {
    run_test(async {
        let (folder, me) = (folder("states"), initiator("n.3", "127.0.0.1:5000"));
        let host = host(
            &operator(&[("127.0.0.1:9".parse().unwrap(), 0), ("127.0.0.1:9".parse().unwrap(), 1)]).settings,
        );
        let link = HandoverLink::new(host.clone(), me.clone(), &folder);
        link.accept_successors(state);
        let path = me.socket(&folder);
        until(|| path.exists()).await;
        // Another client address has another socket. A name that maps to the same socket connects, and is
        // rejected.
        assert!(handover::request_state(&initiator("n.3", "127.0.0.2:5000"), &folder)
            .await
            .unwrap()
            .is_none());
        assert!(handover::request_state(&initiator("n_3", "127.0.0.1:5000"), &folder)
            .await
            .unwrap()
            .is_none());
        let answer = async |hello: &str| {
            let mut stream = BufReader::new(UnixStream::connect(&path).await.unwrap());
            stream.write_all(hello.as_bytes()).await.unwrap();
            let mut line = String::new();
            tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut line).await.unwrap();
            line
        };
        assert!(answer("{\"version\":1,\"me\":{\"name\":\"n.3\",\"clients\":\"127.0.0.1:5000\"}}\n")
            .await
            .contains("version"));
        assert!(answer("shaletack heir 1\n").await.contains("malformed hello"));
        assert_eq!((host.budget_share(), link.is_connected()), (1.0, false));
        // Processes that send nothing, or half a line, and stay connected.
        let mut silent = Vec::new();
        for part in ["", "", "{\"version\":2,"] {
            let mut stream = UnixStream::connect(&path).await.unwrap();
            stream.write_all(part.as_bytes()).await.unwrap();
            silent.push(stream);
        }
        let start = Instant::now();
        let received = handover::request_state(&me, &folder).await.unwrap().expect("the state");
        let (state, stream) = (received.state, received.stream);
        assert!(start.elapsed() < Duration::from_millis(250), "{:?}", start.elapsed());
        assert_eq!((state.request_ids.len(), host.budget_share()), (1, 0.5));
        // A third process waits while two share the budgets, and gets the state once the second has ended.
        let third = async { handover::request_state(&me, &folder).await.unwrap().is_some() };
        let ends = async {
            tokio::time::sleep(Duration::from_millis(300)).await;
            drop(stream);
        };
        assert!(futures_util::future::join(third, ends).await.0);
        until(|| host.budget_share() == 1.0).await;
        let _second = handover::request_state(&me, &folder).await.unwrap().expect("the state");
        let error = handover::request_state(&me, &folder)
            .await
            .expect_err("a third process may not start")
            .to_string();
        assert!(error.contains("end the older one"), "{error}");
    });
}

/// Guards against budgets that stay halved: a predecessor dies in the middle of sending its state, or right
/// after it, before it said how the budgets are shared.
#[test]
fn a_predecessor_that_dies_leaves_its_successor_every_budget() {
    run_test(async {
        let (folder, me) = (folder("dies"), initiator("n3", "127.0.0.1:5000"));
        let complete = format!("{{\"Will\":{}}}\n", serde_json::to_string(&state()).unwrap());
        for (reply, is_received) in [(&complete[..complete.len() / 2], false), (&complete[..], true)] {
            let _ = std::fs::remove_file(me.socket(&folder));
            let listener = UnixListener::bind(me.socket(&folder)).unwrap();
            let dies = async {
                let (mut stream, _) = listener.accept().await.unwrap();
                let _ = stream.read(&mut [0; 4096]).await.unwrap();
                stream.write_all(reply.as_bytes()).await.unwrap();
            };
            let (received, ()) =
                futures_util::future::join(handover::request_state(&me, &folder), dies).await;
            let received = received.unwrap();
            assert_eq!(received.is_some(), is_received);
            let Some(handover::ReceivedHandover { state, stream, .. }) = received else { continue };
            let host = host(
                &operator(&[("127.0.0.1:9".parse().unwrap(), 0), ("127.0.0.1:9".parse().unwrap(), 1)])
                    .settings,
            );
            host.feed(Input::Restore {
                snapshot: Box::new(state.core),
                budget_share: handover::SHARED_BUDGET,
            });
            assert_eq!(host.budget_share(), 0.5);
            HandoverLink::new(host.clone(), me.clone(), &folder).follow_predecessor(stream);
            until(|| host.budget_share() == 1.0).await;
        }
    });
}

/// Guards against requests to a suspended endpoint: an operator's command during the transfer of the state
/// is either part of the state or sent after it, so that the successor does not miss it.
#[test]
fn an_operators_command_during_the_hand_over_reaches_the_successor() {
    run_test(async {
        let (folder, me) = (folder("words"), initiator("n3", "127.0.0.1:5000"));
        let nowhere = "127.0.0.1:9".parse().unwrap();
        let host = host(&operator(&[(nowhere, 0), (nowhere, 1)]).settings);
        let link = HandoverLink::new(host.clone(), me.clone(), &folder);
        // More than the socket buffers hold, so that the state stays in transit until it is read.
        let request_ids: Vec<_> =
            (0..60_000).map(|n| (Duration::from_secs(1), format!("{n:016x}"))).collect();
        link.accept_successors(move || HandoverState { request_ids: request_ids.clone(), ..state() });
        let path = me.socket(&folder);
        until(|| path.exists()).await;
        let mut stream = BufReader::new(UnixStream::connect(&path).await.unwrap());
        let hello = "{\"version\":2,\"me\":{\"name\":\"n3\",\"clients\":\"127.0.0.1:5000\"}}\n";
        stream.write_all(hello.as_bytes()).await.unwrap();
        until(|| host.budget_share() < 1.0).await;
        // The state has been made, and the successor has not read it.
        assert!(
            !link.forward_command(OperatorCommand::Suspend("s-00000001".into())).await,
            "the successor has not carried it out yet"
        );
        let mut line = String::new();
        tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut line).await.unwrap();
        assert!(line.starts_with("{\"Will\""));
        line.clear();
        let next = tokio::io::AsyncBufReadExt::read_line(&mut stream, &mut line);
        tokio::time::timeout(Duration::from_secs(1), next)
            .await
            .expect("the command follows the state")
            .unwrap();
        assert!(line.contains("Suspend") && line.contains("s-00000001"), "{line}");
    });
}

/// An initiator that discovery rejects must stop sending new requests after 6 s, also if the call in flight
/// at that time gets no response.
#[test]
fn a_rejected_initiator_stops_after_six_seconds_even_with_a_call_in_flight() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let first_rejection: Rc<Cell<Option<Instant>>> = Rc::default();
        let first = first_rejection.clone();
        let agent = peer(move |stream, _| {
            let first = first.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                let since = first.get().unwrap_or_else(Instant::now);
                first.set(Some(since));
                if since.elapsed() < Duration::from_millis(4500) {
                    s.write_all(&answer("503 Service Unavailable", b"", 0)).await.unwrap();
                } else {
                    send_and_hold(&mut s, "").await;
                }
            }
        })
        .await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let settings = Settings { endpoint_list_polled: true, ..Settings::clone(&host.settings()) };
        host.feed(Input::Settings(Box::new(settings)));
        let _watch = EndpointListWatch::start(host.clone(), agent, 1, 1);
        let mut client = HttpClient::connect(front).await;
        let request = || platform_request("GET", "leitura", 0, 1, b"");
        let mut last_served = Instant::now();
        while client.ask(&request()).await.0 == 200 {
            last_served = Instant::now();
            tokio::time::sleep(Duration::from_millis(20)).await;
        }
        let sent_for = last_served - first_rejection.get().expect("a rejection");
        assert!((5.9..6.1).contains(&sent_for.as_secs_f64()), "{sent_for:?}");
    });
}

/// Guards against lost calls: at the limit of calls, a complete call that waits for the other process is
/// not closed in favour of callers that send nothing.
#[test]
fn a_complete_call_is_not_closed_for_silent_callers() {
    run_test(async {
        let (folder, me) = (folder("calls"), initiator("n3", "127.0.0.1:5000"));
        let configuration =
            operator(&[("127.0.0.1:9".parse().unwrap(), 0), ("127.0.0.1:9".parse().unwrap(), 1)]);
        let host = host(&configuration.settings);
        host.feed(Input::EndpointList(configuration.endpoints.clone()));
        let link = HandoverLink::new(host.clone(), me.clone(), &folder);
        link.accept_successors(state);
        until(|| me.socket(&folder).exists()).await;
        // The successor sends nothing more, so a command waits for its result.
        let _successor = handover::request_state(&me, &folder).await.unwrap().expect("the state");
        until(|| link.is_connected()).await;
        let (listener, address) = loopback().await;
        let ready = Rc::new(Cell::new(true));
        actix_rt::spawn(shaletack::net::management::serve(host.clone(), link, listener, ready));
        let id = configuration.endpoints.entries[0].id.clone();
        let mut complete = BufReader::new(TcpStream::connect(address).await.unwrap());
        let call = format!("POST /v1/targets/{id}/suspend HTTP/1.1\r\nHost: a\r\n\r\n");
        complete.write_all(call.as_bytes()).await.unwrap();
        until(|| !host.with_broker(|broker| broker.suspended_endpoints()).is_empty()).await;
        let mut silent = Vec::new();
        for _ in 0..3 * shaletack::net::management::MAX_CALLS {
            silent.push(TcpStream::connect(address).await.unwrap());
        }
        let (head, _) = message(&mut complete).await.expect("an answer");
        assert!(head.starts_with("HTTP/1.1 200"), "{head}");
    });
}
