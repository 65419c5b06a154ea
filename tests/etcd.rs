//! The list of boxes from a stand-in for etcd's JSON gateway.

mod common;
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use common::net::*;
use shaletack::etcd;
use shaletack::operator::Etcd;

fn kv(id: &str, address: &str) -> String {
    let value = format!(r#"{{"id":"{id}","host_port":"{address}","cell":0,"phase":"up"}}"#);
    format!(r#"{{"key":"{}","value":"{}"}}"#, STANDARD.encode(format!("/boxes/{id}")), STANDARD.encode(value))
}

fn lines(lines: &[String]) -> Vec<u8> {
    let chunk = |l: &String| format!("{:x}\r\n{l}\n\r\n", l.len() + 1);
    let chunks: String = lines.iter().map(chunk).collect();
    format!("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{chunks}").into_bytes()
}

fn result(what: &str) -> String {
    format!(r#"{{"result":{{{what}}}}}"#)
}

/// A range, a watch from there on that breaks, one that is cancelled, one that is compacted, a range again:
/// after each the list goes on where it was, and nothing is lost.
#[test]
fn the_list_goes_on_through_breaks_cancellation_and_compaction() {
    story(async {
        let boxed = HttpBox::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let place = boxed.address.to_string();
        let agent = HttpBox::start(move |count, head| {
            let (kv, gone) = (kv("s-1", &place), STANDARD.encode("/boxes/s-1"));
            let unreadable = r#"{"key":"L2JveGVzL3g=","value":"eA=="}"#;
            assert_eq!(head.contains("/v3/kv/range"), [0, 5].contains(&count), "{head}");
            Some(match count {
                0 => (answer("200 OK", format!(r#"{{"header":{{"revision":"40"}},"kvs":[{unreadable}]}}"#).as_bytes(), 0), false),
                // Created at a later revision, whose event comes on the next watch; then a break.
                1 => (lines(&[result(r#""header":{"revision":"45"},"created":true"#)]), true),
                2 => (lines(&[result(&format!(r#""header":{{"revision":"45"}},"events":[{{"kv":{kv}}}]"#)),
                    result(r#""header":{"revision":"50"}"#)]), true),
                3 => (lines(&[result(r#""header":{"revision":"51"},"canceled":true,"cancel_reason":"moved""#)]), true),
                4 => (lines(&[result(r#""header":{"revision":"90"},"canceled":true,"compact_revision":"80""#)]), true),
                5 => (answer("200 OK", format!(r#"{{"header":{{"revision":"91"}},"kvs":[{kv}]}}"#).as_bytes(), 0), false),
                _ => (lines(&[result(&format!(r#""header":{{"revision":"92"}},"events":[{{"type":"DELETE","kv":{{"key":"{gone}"}}}}]"#))]), false),
            })
        })
        .await;
        let (front, _, host) = http_front(&[]).await;
        actix_rt::spawn(etcd::follow(
            host.clone(),
            Etcd { address: agent.address, prefix: "/boxes/".into() },
        ));
        while !host.is_ready() {
            tokio::task::yield_now().await;
        }
        let served =
            HttpClient::connect(front).await.ask(&platform_request("GET", "leitura", 0, 1, b"")).await;
        assert_eq!(served.0, 200);
        while host.is_ready() {
            tokio::task::yield_now().await;
        }
        let asked: Vec<String> =
            agent.seen.borrow().iter().map(|s| String::from_utf8_lossy(&s.2).into()).collect();
        for (at, from) in [(1, 41), (2, 41), (3, 51), (4, 51), (6, 92)] {
            assert!(asked[at].contains(&format!(r#""start_revision":"{from}""#)), "{at}: {}", asked[at]);
        }
        assert!(
            asked[0].contains(&format!(r#""range_end":"{}""#, STANDARD.encode("/boxes0"))),
            "{}",
            asked[0]
        );
    });
}

/// A watch falls silent, and the call that follows gets no answer: what changed meanwhile counts as told 6 s after the
/// silence began, and is there by then.
#[test]
fn a_silent_watch_and_a_lost_call_hide_no_change_for_six_seconds() {
    story(async {
        let agent = HttpBox::start(move |count, _| {
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
                1 => Some((lines(&[result(r#""header":{"revision":"40"},"created":true"#)]), false)),
                2 => None,
                3 => Some((answer("200 OK", br#"{"header":{"revision":"41"},"kvs":[]}"#, 0), false)),
                _ => Some((lines(&[result(r#""header":{"revision":"41"},"created":true"#)]), false)),
            }
        })
        .await;
        let (_, _, host) = http_front(&[]).await;
        actix_rt::spawn(etcd::follow(
            host.clone(),
            Etcd { address: agent.address, prefix: "/boxes/".into() },
        ));
        until(|| host.is_ready()).await;
        until(|| agent.seen.borrow().len() == 2).await;
        let took = until(|| !host.is_ready()).await;
        assert!(took < std::time::Duration::from_secs(6), "{took:?}");
    });
}
