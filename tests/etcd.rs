//! Tests of watching the endpoint list at a stand-in for etcd's JSON gateway.

mod common;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::net::*;
use shaletack::etcd;
use shaletack::operator::Etcd;

/// A key and value of the gateway: the entry of one endpoint.
fn kv(id: &str, address: &str) -> String {
    let value = format!(r#"{{"id":"{id}","host_port":"{address}","cell":0,"phase":"up"}}"#);
    format!(r#"{{"key":"{}","value":"{}"}}"#, STANDARD.encode(format!("/boxes/{id}")), STANDARD.encode(value))
}

/// A chunked response with one line in each chunk; the body does not end.
fn watch_response(lines: &[String]) -> Vec<u8> {
    let chunk = |l: &String| format!("{:x}\r\n{l}\n\r\n", l.len() + 1);
    let chunks: String = lines.iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

/// A message on a watch stream.
fn result(fields: &str) -> String {
    format!(r#"{{"result":{{{fields}}}}}"#)
}

/// Guards against losing changes when a watch ends. The stand-in answers a range request, then watches whose
/// connection closes, that are cancelled and that are compacted, and then a range request again. Each watch
/// must continue after the last known revision.
#[test]
fn no_change_is_lost_by_closed_cancelled_and_compacted_watches() {
    run_test(async {
        let endpoint = StubHttpEndpoint::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let endpoint_address = endpoint.address.to_string();
        let agent = StubHttpEndpoint::start(move |count, head| {
            let (kv, removed_key) = (kv("s-1", &endpoint_address), STANDARD.encode("/boxes/s-1"));
            let unreadable = r#"{"key":"L2JveGVzL3g=","value":"eA=="}"#;
            assert_eq!(head.contains("/v3/kv/range"), [0, 5].contains(&count), "{head}");
            Some(match count {
                0 => (answer("200 OK", format!(r#"{{"header":{{"revision":"40"}},"kvs":[{unreadable}]}}"#).as_bytes(), 0), false),
                // The watch is created at a later revision, whose event is only sent on the next watch, and
                // its connection closes.
                1 => (watch_response(&[result(r#""header":{"revision":"45"},"created":true"#)]), true),
                2 => (watch_response(&[result(&format!(r#""header":{{"revision":"45"}},"events":[{{"kv":{kv}}}]"#)),
                    result(r#""header":{"revision":"50"}"#)]), true),
                3 => (watch_response(&[result(r#""header":{"revision":"51"},"canceled":true,"cancel_reason":"moved""#)]), true),
                4 => (watch_response(&[result(r#""header":{"revision":"90"},"canceled":true,"compact_revision":"80""#)]), true),
                5 => (answer("200 OK", format!(r#"{{"header":{{"revision":"91"}},"kvs":[{kv}]}}"#).as_bytes(), 0), false),
                _ => (watch_response(&[result(&format!(r#""header":{{"revision":"92"}},"events":[{{"type":"DELETE","kv":{{"key":"{removed_key}"}}}}]"#))]), false),
            })
        })
        .await;
        let (front, _, host) = http_front(&[]).await;
        actix_rt::spawn(etcd::watch(host.clone(), Etcd { address: agent.address, prefix: "/boxes/".into() }));
        while !host.is_ready() {
            tokio::task::yield_now().await;
        }
        let served =
            HttpClient::connect(front).await.ask(&platform_request("GET", "leitura", 0, 1, b"")).await;
        assert_eq!(served.0, 200);
        while host.is_ready() {
            tokio::task::yield_now().await;
        }
        let requests: Vec<String> =
            agent.seen.borrow().iter().map(|s| String::from_utf8_lossy(&s.2).into()).collect();
        for (index, start_revision) in [(1, 41), (2, 41), (3, 51), (4, 51), (6, 92)] {
            assert!(
                requests[index].contains(&format!(r#""start_revision":"{start_revision}""#)),
                "{index}: {}",
                requests[index]
            );
        }
        assert!(
            requests[0].contains(&format!(r#""range_end":"{}""#, STANDARD.encode("/boxes0"))),
            "{}",
            requests[0]
        );
    });
}

/// Guards against a change that is learned too late. The watch falls silent and the range request that
/// follows is not answered. A change must be known within 6 s after the silence began.
#[test]
fn a_change_is_known_within_six_seconds_despite_a_silent_watch_and_a_lost_call() {
    run_test(async {
        let agent = StubHttpEndpoint::start(move |count, _| {
            let kv = kv("s-1", "127.0.0.1:9");
            match count {
                0 => Some((
                    answer(
                        "200 OK",
                        format!(r#"{{"header":{{"revision":"40"}},"kvs":[{kv}]}}"#).as_bytes(),
                        0,
                    ),
                    false,
                )),
                1 => Some((watch_response(&[result(r#""header":{"revision":"40"},"created":true"#)]), false)),
                2 => None,
                3 => Some((answer("200 OK", br#"{"header":{"revision":"41"},"kvs":[]}"#, 0), false)),
                _ => Some((watch_response(&[result(r#""header":{"revision":"41"},"created":true"#)]), false)),
            }
        })
        .await;
        let (_, _, host) = http_front(&[]).await;
        actix_rt::spawn(etcd::watch(host.clone(), Etcd { address: agent.address, prefix: "/boxes/".into() }));
        until(|| host.is_ready()).await;
        until(|| agent.seen.borrow().len() == 2).await;
        let elapsed = until(|| !host.is_ready()).await;
        assert!(elapsed < std::time::Duration::from_secs(6), "{elapsed:?}");
    });
}
