//! What operators do every day, over loopback: their calls, new settings, large bodies, a new version.

mod common;
use common::net::*;
use shaletack::broker::Input;
use shaletack::net::handover::{HandoverLink, Identity};
use shaletack::net::management;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

async fn operators(host: &shaletack::runtime::host::Host) -> SocketAddr {
    let (listener, address) = loopback().await;
    let me = Identity { name: "nobody".into(), clients: "127.0.0.1:1".parse().unwrap() };
    let link = HandoverLink::new(host.clone(), me, &std::env::temp_dir());
    actix_rt::spawn(management::serve(host.clone(), link, listener, Rc::new(Cell::new(true))));
    address
}

/// One call on a connection of its own, which ends with it; its status.
async fn call(to: SocketAddr, method: &str, path: &str) -> u16 {
    let mut client = HttpClient::connect(to).await;
    let (status, _, _) = client.ask(format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).await;
    assert_eq!(client.0.read(&mut [0]).await.unwrap_or(0), 0, "one call on each connection");
    status
}

/// Slow callers by the dozen hold every place; what is no call is a no.
#[test]
fn calls_are_answered_beside_callers_that_say_nothing() {
    run_test(async {
        let (_, _, host) = http_front(&[]).await;
        let place = operators(&host).await;
        let mut slow = Vec::new();
        for _ in 0..3 * management::MAX_CALLS {
            let mut stream = TcpStream::connect(place).await.unwrap();
            stream.write_all(b"POST /v1/initiator/dr").await.unwrap();
            slow.push(stream);
        }
        assert_eq!(call(place, "GET", "/v1/readyz").await, 200);
        for (method, path) in [
            ("POST", "/v1/readyz"),
            ("GET", "/v1/initiator/drain"),
            ("POST", "/v1/targets/s-0badf00d/suspend"),
            ("POST", "/v1/targets/s-0badf00d/resume"),
            ("POST", "/v1/targets//suspend"),
            ("GET", "/leitura/7f3a9c21e0b4d655"),
        ] {
            assert!((400..500).contains(&call(place, method, path).await), "{method} {path}");
        }
        assert!(host.drained_since().is_none());
    });
}

/// The list knows nothing of what operators said, and must not undo it.
#[test]
fn a_target_taken_out_gets_nothing_until_it_is_given_back_whatever_the_list_says() {
    run_test(async {
        let boxed = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(boxed.address, 0)]).await;
        let place = operators(&host).await;
        let id = format!("s-{:08x}", boxed.address.port());
        let mut client = HttpClient::connect(front).await;
        assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await.0, 200);
        for _ in 0..2 {
            assert_eq!(call(place, "POST", &format!("/v1/targets/{id}/suspend")).await, 200);
        }
        let mut list = operator(&[(boxed.address, 0), ("127.0.0.1:9".parse().unwrap(), 1)]).endpoints;
        list.entries.truncate(1);
        host.feed(Input::EndpointList(list));
        let refused = client.ask(&platform_request("PUT", "gravacao", 0, 2, b"w")).await;
        assert!(refused.0 == 503 && header(&refused.1, "retry-after").is_some(), "{}", refused.1);
        assert_eq!(boxed.seen.borrow().len(), 1);
        assert_eq!(call(place, "POST", &format!("/v1/targets/{id}/resume")).await, 200);
        assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await.0, 200);
        assert_eq!(boxed.seen.borrow().len(), 2);
    });
}

/// Clients are sent elsewhere and nothing is cut: a connection goes with its answer, or once it rests.
#[test]
fn a_drain_closes_what_rests_and_ends_as_it_began() {
    run_test(async {
        let boxed = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(boxed.address, 0)]).await;
        let place = operators(&host).await;
        let (mut resting, mut working) = (HttpClient::connect(front).await, HttpClient::connect(front).await);
        let ask = || platform_request("GET", "leitura", 0, 2, b"");
        let kept = |head: &str| header(head, "connection").is_none_or(|v| v != "close");
        for client in [&mut resting, &mut working] {
            assert!(kept(&client.ask(&ask()).await.1));
        }
        assert_eq!(call(place, "POST", "/v1/initiator/drain").await, 200);
        let since = std::time::Instant::now();
        let (status, head, _) = working.ask(&ask()).await;
        assert!(status == 200 && !kept(&head), "{head}");
        assert_eq!(working.0.read(&mut [0]).await.unwrap(), 0);
        // Newcomers are served, and told to go.
        let health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
        assert_eq!(HttpClient::connect(front).await.ask(health).await.0, 503);
        let (status, head, _) = HttpClient::connect(front).await.ask(&ask()).await;
        assert!(status == 200 && !kept(&head), "{head}");
        assert_eq!(resting.0.read(&mut [0]).await.unwrap(), 0);
        assert!((900..2500).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
        assert_eq!(call(place, "POST", "/v1/initiator/activate").await, 200);
        let mut client = HttpClient::connect(front).await;
        assert_eq!(client.ask(health).await.0, 200);
        assert!(kept(&client.ask(&ask()).await.1));
    });
}

/// Half of the boxes' answers had no stated length or were too large, and each was a failed attempt.
#[test]
fn answers_of_every_form_and_size_pass_and_a_cut_one_shows() {
    run_test(async {
        let chunked = |body: &[u8], cut: usize| {
            let mut out = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_vec();
            for piece in body.chunks(10_000) {
                out.extend(format!("{:X};name=\"a b\";x\r\n", piece.len()).as_bytes());
                out.extend([piece, b"\r\n"].concat());
            }
            out.extend(b"0;last\r\nX-Sum: 1\r\nX-More: 2\r\n\r\n");
            out.truncate(out.len() - cut);
            out
        };
        let to_the_end = |body: &[u8]| [&b"HTTP/1.1 200 OK\r\n\r\n"[..], body].concat();
        let (small, large): (Vec<u8>, Vec<u8>) =
            ((0..50_000u32).map(|i| i as u8).collect(), (0..3_000_000u32).map(|i| (i >> 3) as u8).collect());
        for (sent, close, expect) in [
            (chunked(&small, 0), false, &small),
            (chunked(&large, 0), false, &large),
            (to_the_end(&small), true, &small),
            (to_the_end(&large), true, &large),
            (answer("200 OK", &large, 0), false, &large),
        ] {
            let boxed = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), close))).await;
            let (front, _, host) = http_front(&[(boxed.address, 0)]).await;
            let mut client = HttpClient::connect(front).await;
            for _ in 0..2 {
                let (status, body, whole) =
                    client.ask_any(&platform_request("GET", "leitura", 0, 2, b"")).await;
                assert!(status == 200 && whole && body == *expect, "{status}, {} bytes", body.len());
            }
            assert_eq!(host.with_broker(|b| b.counters()[0].requests.served), 2);
        }
        // What is held whole fails before its client hears of it; what was passed on ends short.
        for (sent, status) in [
            (chunked(&small, 30), 502),
            (chunked(&small, 3), 502),
            (chunked(&large, 30), 200),
            (answer("200 OK", &large, 9), 200),
        ] {
            let boxed = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), true))).await;
            let (front, _, _) = http_front(&[(boxed.address, 0)]).await;
            let mut client = HttpClient::connect(front).await;
            let (got, _, whole) = client.ask_any(&platform_request("PUT", "gravacao", 0, 2, b"w")).await;
            assert_eq!((got, whole), (status, got == 502));
            assert_eq!(boxed.seen.borrow().len(), 1);
        }
    });
}

/// A large answer takes as long as its client does; a stop ended the process a deadline after the signal.
#[test]
fn a_stop_waits_for_large_answers_that_are_being_passed_on() {
    run_test(async {
        let large = vec![7; 30_000_000];
        let sent = answer("200 OK", &large, 0);
        let boxed = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), false))).await;
        let (address, stop, host, served) = http_front_until(&[(boxed.address, 0)]).await;
        let mut client = HttpClient::connect(address).await;
        client.0.write_all(&platform_request("GET", "leitura", 0, 2, b"")).await.unwrap();
        assert_eq!(client.0.read_u8().await.unwrap(), b'H');
        stop.notify_one();
        // The pace of the client, past the longest deadline here and what the last answers may take.
        tokio::time::sleep(std::time::Duration::from_millis(3000)).await;
        assert!(!served.is_finished() && host.streaming_responses() == 1);
        let mut rest = Vec::new();
        client.0.read_to_end(&mut rest).await.unwrap();
        assert!(rest.ends_with(&large[..]));
        served.await.unwrap();
        assert_eq!(host.streaming_responses(), 0);
    });
}

/// A head alone is asked for: its answer states a length that no body follows.
#[test]
fn a_head_request_is_forwarded_and_its_connection_stays_open() {
    run_test(async {
        let script = |_: usize, head: &str| {
            let length = if head.starts_with("HEAD") { 5 } else { 0 };
            Some((answer("200 OK", b"whole", length), false))
        };
        let boxed = StubHttpEndpoint::start(script).await;
        let (front, _, _) = http_front(&[(boxed.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let head = platform_request("HEAD", "leitura", 0, 2, b"");
        assert_eq!(client.ask(&head).await.0, 200);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let (status, _, body) = client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await;
        assert_eq!((status, body.as_slice()), (200, &b"whole"[..]));
        let seen = boxed.seen.borrow();
        assert!(seen[0].1.starts_with("HEAD /leitura/") && seen[0].0 == seen[1].0);
    });
}

/// What does not say how long it is was held until 64 KiB of it were there, or its client had left.
#[test]
fn a_slow_response_without_a_length_is_streamed_as_it_comes() {
    run_test(async {
        let begun = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n".to_vec();
        let place = peer(move |stream, _| {
            let begun = begun.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(&begun).await.unwrap();
                // The pace of the box: two pieces of an answer that has more.
                for _ in 0..2 {
                    tokio::time::sleep(std::time::Duration::from_millis(120)).await;
                    s.write_all(b"4\r\nmore\r\n").await.unwrap();
                }
                std::future::pending::<()>().await;
            }
        })
        .await;
        let (front, _, host) = http_front(&[(place, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        client.0.write_all(&platform_request("GET", "leitura", 0, 2, b"")).await.unwrap();
        let mut came = Vec::new();
        while !came.ends_with(b"more\r\n4\r\nmore\r\n") {
            came.push(client.0.read_u8().await.unwrap());
        }
        assert!(came.starts_with(b"HTTP/1.1 200"));
        assert_eq!(host.open_requests(), 0);
    });
}

/// A large request was turned away with 413; held whole, a few of them would be all of the memory.
#[test]
fn large_requests_pass_as_they_come_and_hold_no_place() {
    run_test(async {
        let boxed = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(boxed.address, 0)]).await;
        let large: Vec<u8> = (0..3_000_000u32).map(|i| (i >> 3) as u8).collect();
        let plain = platform_request("PUT", "gravacao", 0, 2, &large);
        let mut chunked = String::from_utf8(platform_request("PUT", "gravacao", 0, 2, b"")).unwrap();
        chunked = chunked.replace("Content-Length: 0", "Expect: 100-continue\r\nTransfer-Encoding: chunked");
        let mut chunked = chunked.replace("PUT /", "PUT http://api.internal/").into_bytes();
        for piece in large.chunks(70_000) {
            chunked.extend(format!("{:x};a=b\r\n", piece.len()).as_bytes());
            chunked.extend([piece, b"\r\n"].concat());
        }
        chunked.extend(b"0\r\nX-Sum: 1\r\n\r\n");
        let mut client = HttpClient::connect(front).await;
        assert_eq!(client.ask(&plain).await.0, 200);
        assert_eq!(client.ask(&chunked).await.0, 100);
        assert_eq!(client.ask(b"").await.0, 200);
        for (_, head, body) in boxed.seen.borrow().iter() {
            assert!(*body == large && head.starts_with("PUT /gravacao/7f3a9c21e0b4d655?a=%20b "), "{head}");
        }
        // A client in the middle of one keeps nobody waiting: a box's two places are for what it has whole.
        let mut slow = Vec::new();
        for _ in 0..3 {
            let mut client = HttpClient::connect(front).await;
            client.0.write_all(&platform_request("PUT", "gravacao", 0, 2, &large)[..200_000]).await.unwrap();
            slow.push(client);
        }
        while host.open_requests() < 3 {
            tokio::task::yield_now().await;
        }
        assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await.0, 200);
        assert_eq!(host.open_requests(), 3);
        // One that leaves in the middle, or stops, has asked for nothing; no box has run it, none gets it twice.
        let seen = boxed.seen.borrow().len();
        drop(slow.pop());
        for mut client in slow {
            assert_eq!(client.ask(b"").await.0, 502);
        }
        assert_eq!((host.open_requests(), boxed.seen.borrow().len()), (0, seen));
    });
}

/// Slow clients take 2 s for a head and send 64 kB of a body in a second; they were cut off at 2.3 s.
#[test]
fn a_slow_client_is_read_to_its_end() {
    run_test(async {
        let boxed = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, _) = http_front(&[(boxed.address, 0)]).await;
        let body = vec![7; 60_000];
        let request = platform_request("PUT", "gravacao", 0, 2, &body);
        let (head, body) = request.split_at(request.len() - body.len());
        let mut client = HttpClient::connect(front).await;
        let pieces = head.chunks(head.len().div_ceil(4)).chain(body.chunks(10_000));
        for piece in pieces {
            client.0.write_all(piece).await.unwrap();
            // The pace of the client, not a wait for anything.
            let pause = if piece.len() < 10_000 { 450 } else { 160 };
            tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
        }
        assert_eq!(client.ask(b"").await.0, 200);
        assert_eq!(boxed.seen.borrow()[0].2, body);
    });
}

/// Clients may have a third of the descriptors, less than half of the places here. Those that asked once and
/// kept their connection for good filled it, and were closed only from half of the places on.
#[test]
fn idle_connections_go_before_clients_run_out_of_theirs() {
    run_test(async {
        let (front, _, _) = http_front(&[]).await;
        let health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
        // Of the 16 places here.
        let mut idle = Vec::new();
        for _ in 0..7 {
            let mut client = HttpClient::connect(front).await;
            assert_eq!(client.ask(health).await.0, 503);
            idle.push(client);
        }
        let since = std::time::Instant::now();
        assert_eq!(idle[0].0.read(&mut [0]).await.unwrap(), 0);
        assert!(since.elapsed().as_millis() < 1500, "{:?}", since.elapsed());
    });
}
