//! Two events that cross, each time in the bad order: scripted peers hold their bytes or their close until told.
//! `docs/CROSSINGS.md` lists them.

mod common;
use common::net::*;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};

/// How long it takes until that holds.
async fn until(holds: impl Fn() -> bool) -> Duration {
    let start = Instant::now();
    while !holds() {
        tokio::time::sleep(Duration::from_millis(1)).await;
    }
    start.elapsed()
}

/// A client that goes is noticed behind all that it sent ahead: the close was not read past 16 KiB.
#[test]
fn a_client_that_goes_is_noticed_behind_whatever_it_sent() {
    story(async {
        let boxed = HttpBox::start(|_, _| None).await;
        let (front, _, host) = http_front(&[(boxed.address, 0)]).await;
        let mut flood = Vec::new();
        while flood.len() < 1 << 20 {
            flood.extend(platform_request("GET", "leitura", 0, 1, b""));
        }
        for ahead in [0, 300, 20 << 10, 200 << 10, 1 << 20] {
            for way in ["close", "reset", "half"] {
                let mut client = HttpClient::connect(front).await;
                client.0.write_all(&platform_request("PUT", "gravacao", 0, 2, b"w")).await.unwrap();
                boxed.came.notified().await;
                client.0.write_all(&flood[..ahead]).await.unwrap();
                assert_eq!(host.open(), 1, "{ahead} {way}");
                if way == "reset" {
                    socket2::SockRef::from(client.0.get_ref()).set_linger(Some(Duration::ZERO)).unwrap();
                }
                if way == "half" {
                    client.0.shutdown().await.unwrap();
                } else {
                    drop(client);
                }
                // The rule leaves 100 ms; the box says nothing for 1.5 s.
                let took = until(|| host.open() == 0).await;
                assert!(took < Duration::from_millis(400), "{ahead} {way}: {took:?}");
            }
        }
        assert_eq!(host.look(|b| b.tallies()[1].1.left), 15);
        // One that goes on sending and stays is served first, and its connection ends with that answer.
        let boxed = HttpBox::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let (front, _, _) = http_front(&[(boxed.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let sent = [&platform_request("GET", "leitura", 0, 1, b"")[..], &flood[..200 << 10]].concat();
        assert_eq!(client.ask(&sent).await.0, 200);
    });
}

/// The initiator closed over bytes that it had not read: a reset, which takes what is still on the way with it.
#[test]
fn a_request_that_crosses_the_close_is_neither_sent_on_nor_answered_by_a_reset() {
    story(async {
        let boxed = HttpBox::start(|_, _| Some((answer("200 OK", b"ok", 0), false))).await;
        let (front, stop, _, served) = http_front_until(&[(boxed.address, 0)]).await;
        let mut client = HttpClient::connect(front).await;
        let request = platform_request("GET", "leitura", 0, 1, b"");
        client.0.write_all(&request).await.unwrap();
        boxed.came.notified().await;
        stop.notify_one();
        // Unread, so that nothing of the answer leaves the client's system before the close comes.
        while !client.0.get_ref().ready(Interest::READABLE).await.unwrap().is_read_closed() {
            tokio::time::sleep(Duration::from_millis(1)).await;
        }
        let large = platform_request("PUT", "gravacao", 0, 1, &[7; 60_000]);
        for _ in 0..8 {
            client.0.write_all(&large).await.unwrap();
        }
        assert_eq!(client.ask(b"").await.0, 200);
        assert_eq!(client.0.read(&mut [0]).await.unwrap(), 0, "an end, and no reset");
        assert_eq!(boxed.seen.borrow().len(), 1);
        // The process waits for the client's own end, and for one that never comes not long.
        let start = Instant::now();
        served.await.unwrap();
        assert!(start.elapsed() < Duration::from_secs(4), "{:?}", start.elapsed());
    });
}
