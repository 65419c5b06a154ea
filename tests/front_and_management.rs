//! The platform's front and the management address, over loopback: operators' calls, drains,
//! streamed bodies, slow clients, idle connections and stops.

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

/// Serves the management address of a host, and returns the address.
async fn serve_management(host: &shaletack::runtime::host::Host) -> SocketAddr {
    let (listener, address) = loopback().await;
    let me = Identity { name: "nobody".into(), listen_address: "127.0.0.1:1".parse().unwrap() };
    let link = HandoverLink::new(host.clone(), me, &std::env::temp_dir());
    actix_rt::spawn(management::serve(host.clone(), link, listener, Rc::new(Cell::new(true))));
    address
}

/// Makes a call on a connection of its own, checks that the connection then closes, and returns the status.
async fn call(to: SocketAddr, method: &str, path: &str) -> u16 {
    let mut client = HttpClient::connect(to).await;
    let (status, _, _) = client.ask(format!("{method} {path} HTTP/1.1\r\nHost: a\r\n\r\n").as_bytes()).await;
    assert_eq!(client.0.read(&mut [0]).await.unwrap_or(0), 0, "the connection closes after one call");
    status
}

/// Guards against operators being locked out: slow callers hold every connection slot. Unknown calls
/// and targets get an error status.
#[test]
fn calls_are_answered_while_slow_callers_hold_every_connection_slot() {
    run_test(async {
        let (_, _, host) = http_front(&[]).await;
        let address = serve_management(&host).await;
        let mut slow = Vec::new();
        for _ in 0..3 * management::MAX_CALLS {
            let mut stream = TcpStream::connect(address).await.unwrap();
            stream.write_all(b"POST /v1/initiator/dr").await.unwrap();
            slow.push(stream);
        }
        assert_eq!(call(address, "GET", "/v1/readyz").await, 200);
        for (method, path) in [
            ("POST", "/v1/readyz"),
            ("GET", "/v1/initiator/drain"),
            ("POST", "/v1/targets/s-0badf00d/suspend"),
            ("POST", "/v1/targets/s-0badf00d/resume"),
            ("POST", "/v1/targets//suspend"),
            ("GET", "/leitura/7f3a9c21e0b4d655"),
        ] {
            assert!((400..500).contains(&call(address, method, path).await), "{method} {path}");
        }
        assert!(host.drained_since().is_none());
    });
}

/// The endpoint list does not contain operators' commands, so a new list must not undo a suspension.
#[test]
fn a_suspended_target_gets_no_requests_until_it_is_resumed_whatever_the_list_says() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let address = serve_management(&host).await;
        let id = format!("s-{:08x}", endpoint.address.port());
        let mut client = HttpClient::connect(front).await;
        assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await.0, 200);
        for _ in 0..2 {
            assert_eq!(call(address, "POST", &format!("/v1/targets/{id}/suspend")).await, 200);
        }
        let mut list = operator(&[(endpoint.address, 0), ("127.0.0.1:9".parse().unwrap(), 1)]).endpoints;
        list.entries.truncate(1);
        host.feed(Input::EndpointList(list));
        let rejected = client.ask(&platform_request("PUT", "gravacao", 0, 2, b"w")).await;
        assert!(rejected.0 == 503 && header(&rejected.1, "retry-after").is_some(), "{}", rejected.1);
        assert_eq!(endpoint.seen.borrow().len(), 1);
        assert_eq!(call(address, "POST", &format!("/v1/targets/{id}/resume")).await, 200);
        assert_eq!(client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await.0, 200);
        assert_eq!(endpoint.seen.borrow().len(), 2);
    });
}

/// A drain sends clients elsewhere without cutting off a request: a connection closes after its response,
/// or once it is idle. After `activate`, connections stay open again.
#[test]
fn a_drain_closes_idle_connections_until_the_initiator_is_activated() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
        let address = serve_management(&host).await;
        let (mut idle, mut active) = (HttpClient::connect(front).await, HttpClient::connect(front).await);
        let ask = || platform_request("GET", "leitura", 0, 2, b"");
        let stays_open = |head: &str| header(head, "connection").is_none_or(|v| v != "close");
        for client in [&mut idle, &mut active] {
            assert!(stays_open(&client.ask(&ask()).await.1));
        }
        assert_eq!(call(address, "POST", "/v1/initiator/drain").await, 200);
        let since = std::time::Instant::now();
        let (status, head, _) = active.ask(&ask()).await;
        assert!(status == 200 && !stays_open(&head), "{head}");
        assert_eq!(active.0.read(&mut [0]).await.unwrap(), 0);
        // New clients are served, and their connections close.
        let health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
        assert_eq!(HttpClient::connect(front).await.ask(health).await.0, 503);
        let (status, head, _) = HttpClient::connect(front).await.ask(&ask()).await;
        assert!(status == 200 && !stays_open(&head), "{head}");
        assert_eq!(idle.0.read(&mut [0]).await.unwrap(), 0);
        assert!((900..2500).contains(&since.elapsed().as_millis()), "{:?}", since.elapsed());
        assert_eq!(call(address, "POST", "/v1/initiator/activate").await, 200);
        let mut client = HttpClient::connect(front).await;
        assert_eq!(client.ask(health).await.0, 200);
        assert!(stays_open(&client.ask(&ask()).await.1));
    });
}

/// Guards against valid responses that count as failed attempts: responses without a stated length, and
/// large ones, were not accepted, and half of the endpoints' responses were of those forms.
#[test]
fn responses_of_every_form_and_size_are_forwarded_and_truncation_is_detected() {
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
        let until_close = |body: &[u8]| [&b"HTTP/1.1 200 OK\r\n\r\n"[..], body].concat();
        let (small, large): (Vec<u8>, Vec<u8>) =
            ((0..50_000u32).map(|i| i as u8).collect(), (0..3_000_000u32).map(|i| (i >> 3) as u8).collect());
        for (sent, close, expect) in [
            (chunked(&small, 0), false, &small),
            (chunked(&large, 0), false, &large),
            (until_close(&small), true, &small),
            (until_close(&large), true, &large),
            (answer("200 OK", &large, 0), false, &large),
        ] {
            let endpoint = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), close))).await;
            let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
            let mut client = HttpClient::connect(front).await;
            for _ in 0..2 {
                let (status, body, complete) =
                    client.ask_any(&platform_request("GET", "leitura", 0, 2, b"")).await;
                assert!(status == 200 && complete && body == *expect, "{status}, {} bytes", body.len());
            }
            assert_eq!(host.with_broker(|b| b.counters()[0].requests.served), 2);
        }
        // A truncated response that is buffered becomes a 502. One that is already being streamed ends short.
        for (sent, status) in [
            (chunked(&small, 30), 502),
            (chunked(&small, 3), 502),
            (chunked(&large, 30), 200),
            (answer("200 OK", &large, 9), 200),
        ] {
            let endpoint = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), true))).await;
            let (front, _, _) = http_front(&[(endpoint.address, 0)]).await;
            let mut client = HttpClient::connect(front).await;
            let (got, _, complete) = client.ask_any(&platform_request("PUT", "gravacao", 0, 2, b"w")).await;
            assert_eq!((got, complete), (status, got == 502));
            assert_eq!(endpoint.seen.borrow().len(), 1);
        }
    });
}

/// Guards against truncated large responses: a response is streamed at the client's pace, and a stop ended
/// the process one deadline after the signal.
#[test]
fn a_stop_waits_for_large_responses_that_are_being_streamed() {
    run_test(async {
        let large = vec![7; 30_000_000];
        let sent = answer("200 OK", &large, 0);
        let endpoint = StubHttpEndpoint::start(move |_, _| Some((sent.clone(), false))).await;
        let (address, stop, host, served) = http_front_until(&[(endpoint.address, 0)]).await;
        let mut client = HttpClient::connect(address).await;
        client.0.write_all(&platform_request("GET", "leitura", 0, 2, b"")).await.unwrap();
        assert_eq!(client.0.read_u8().await.unwrap(), b'H');
        stop.notify_one();
        // The client pauses for longer than the longest deadline here and the time for final responses
        // together.
        tokio::time::sleep(std::time::Duration::from_millis(3000)).await;
        assert!(!served.is_finished() && host.streaming_responses() == 1);
        let mut rest = Vec::new();
        client.0.read_to_end(&mut rest).await.unwrap();
        assert!(rest.ends_with(&large[..]));
        served.await.unwrap();
        assert_eq!(host.streaming_responses(), 0);
    });
}

/// The response to a HEAD request states a length, and no body follows.
#[test]
fn a_head_request_is_forwarded_and_its_connection_stays_open() {
    run_test(async {
        let script = |_: usize, head: &str| {
            let length = if head.starts_with("HEAD") { 5 } else { 0 };
            Some((answer("200 OK", b"whole", length), false))
        };
        let endpoint = StubHttpEndpoint::start(script).await;
        let (front, _, _) = http_front(&[(endpoint.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let head = platform_request("HEAD", "leitura", 0, 2, b"");
        assert_eq!(client.ask(&head).await.0, 200);
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
        let (status, _, body) = client.ask(&platform_request("GET", "leitura", 0, 2, b"")).await;
        assert_eq!((status, body.as_slice()), (200, &b"whole"[..]));
        let seen = endpoint.seen.borrow();
        assert!(seen[0].1.starts_with("HEAD /leitura/") && seen[0].0 == seen[1].0);
    });
}

/// Guards against a slow response without a stated length being buffered until 64 KiB of it had arrived, or
/// its client had left.
#[test]
fn a_slow_response_without_a_length_is_streamed_as_it_comes() {
    run_test(async {
        let beginning = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nfirst\r\n".to_vec();
        let address = peer(move |stream, _| {
            let beginning = beginning.clone();
            async move {
                let mut s = BufReader::new(stream);
                message(&mut s).await;
                s.write_all(&beginning).await.unwrap();
                // The pace of the endpoint: two chunks of a response that has more.
                for _ in 0..2 {
                    tokio::time::sleep(std::time::Duration::from_millis(120)).await;
                    s.write_all(b"4\r\nmore\r\n").await.unwrap();
                }
                std::future::pending::<()>().await;
            }
        })
        .await;
        let (front, _, host) = http_front(&[(address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        client.0.write_all(&platform_request("GET", "leitura", 0, 2, b"")).await.unwrap();
        let mut received = Vec::new();
        while !received.ends_with(b"more\r\n4\r\nmore\r\n") {
            received.push(client.0.read_u8().await.unwrap());
        }
        assert!(received.starts_with(b"HTTP/1.1 200"));
        assert_eq!(host.open_requests(), 0);
    });
}

/// Guards against large requests being rejected with 413. They are streamed, because a few of them would
/// take all the memory if they were buffered whole.
#[test]
fn large_requests_are_streamed_and_hold_no_connection_slot() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, host) = http_front(&[(endpoint.address, 0)]).await;
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
        for (_, head, body) in endpoint.seen.borrow().iter() {
            assert!(*body == large && head.starts_with("PUT /gravacao/7f3a9c21e0b4d655?a=%20b "), "{head}");
        }
        // A client in the middle of a body delays no others: an endpoint's two slots are for requests that
        // it has received whole.
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
        // A client that leaves or stops in the middle of a body has requested nothing: no endpoint has run
        // the request, and none receives it twice.
        let seen = endpoint.seen.borrow().len();
        drop(slow.pop());
        for mut client in slow {
            assert_eq!(client.ask(b"").await.0, 502);
        }
        assert_eq!((host.open_requests(), endpoint.seen.borrow().len()), (0, seen));
    });
}

/// Guards against slow clients being cut off, as they were at 2.3 s: they take 2 s for a head, and send
/// 64 kB of a body per second.
#[test]
fn a_slow_request_is_read_to_its_end() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"x", 0), false))).await;
        let (front, _, _) = http_front(&[(endpoint.address, 0)]).await;
        let body = vec![7; 60_000];
        let request = platform_request("PUT", "gravacao", 0, 2, &body);
        let (head, body) = request.split_at(request.len() - body.len());
        let mut client = HttpClient::connect(front).await;
        let pieces = head.chunks(head.len().div_ceil(4)).chain(body.chunks(10_000));
        for piece in pieces {
            client.0.write_all(piece).await.unwrap();
            // The client's pace, not a wait for a condition.
            let pause = if piece.len() < 10_000 { 450 } else { 160 };
            tokio::time::sleep(std::time::Duration::from_millis(pause)).await;
        }
        assert_eq!(client.ask(b"").await.0, 200);
        assert_eq!(endpoint.seen.borrow()[0].2, body);
    });
}

/// Guards against idle connections that lock others out. Clients have a third of the file descriptors, less
/// than half of the connection limit here. Clients that kept a connection open after one request used
/// up that third, and idle connections were only closed from half of the limit on.
#[test]
fn idle_connections_close_before_clients_run_out_of_connections() {
    run_test(async {
        let (front, _, _) = http_front(&[]).await;
        let health = b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n";
        // 7 of the 16 connections allowed here.
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
