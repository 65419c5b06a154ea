//! Etcd's JSON gateway, from which one initiator has its endpoint list.

use super::config::{entry, name, BOXES};
use crate::stand_ins::{http, Stream};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// A watch on which nothing changes says so this often.
const PROGRESS: Duration = Duration::from_secs(2);

/// Etcd's JSON gateway as far as an initiator uses it: a range of all boxes, and a watch from there on.
pub struct Etcd {
    pub at: SocketAddr,
    boxes: Vec<SocketAddr>,
    kept: RefCell<BTreeMap<usize, String>>,
    /// Each change by its revision.
    events: RefCell<Vec<(u64, String)>>,
    revision: Cell<u64>,
    changed: Notify,
}

impl Etcd {
    pub async fn start(boxes: Vec<SocketAddr>) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let kept = (0..BOXES).map(|n| (n, entry(n, &boxes, "up"))).collect();
        let etcd = Rc::new(Etcd {
            at: listener.local_addr()?,
            boxes,
            kept: RefCell::new(kept),
            events: RefCell::default(),
            revision: Cell::new(1),
            changed: Notify::new(),
        });
        let serving = etcd.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let etcd = serving.clone();
                spawn_local(async move { etcd.serve(BufReader::new(stream)).await });
            }
        });
        Ok(etcd)
    }

    fn kv(number: usize, entry: &str) -> String {
        let (key, value) = (STANDARD.encode(format!("/boxes/{}", name(number))), STANDARD.encode(entry));
        format!(r#"{{"key":"{key}","value":"{value}"}}"#)
    }

    /// From now on the list says that a box drains.
    pub fn drain(&self, number: usize) {
        let entry = entry(number, &self.boxes, "draining");
        self.revision.set(self.revision.get() + 1);
        self.events.borrow_mut().push((self.revision.get(), Self::kv(number, &entry)));
        self.kept.borrow_mut().insert(number, entry);
        self.changed.notify_waiters();
    }

    async fn serve(&self, mut s: Stream) -> io::Result<()> {
        loop {
            let head = http::read_head(&mut s).await?;
            let Some(first) = head.first() else { return Ok(()) };
            let watch = first.to_ascii_lowercase().starts_with("post /v3/watch");
            let mut asked = vec![0; http::content_length(&head).unwrap_or(0)];
            s.read_exact(&mut asked).await?;
            if watch {
                let asked = String::from_utf8_lossy(&asked).into_owned();
                let from = asked.split(r#""start_revision":""#).nth(1).and_then(|t| t.split('"').next());
                let from = from.and_then(|t| t.parse().ok()).ok_or(io::Error::other("no start_revision"))?;
                return self.watch(s, from).await;
            }
            let all: Vec<String> = self.kept.borrow().iter().map(|(n, e)| Self::kv(*n, e)).collect();
            let body =
                format!(r#"{{"header":{{"revision":"{}"}},"kvs":[{}]}}"#, self.revision.get(), all.join(","));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            s.write_all(format!("{head}{body}").as_bytes()).await?;
        }
    }

    async fn watch(&self, mut s: Stream, mut from: u64) -> io::Result<()> {
        s.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut more = r#","created":true"#.to_owned();
        loop {
            let line = format!(r#"{{"result":{{"header":{{"revision":"{}"}}{more}}}}}"#, self.revision.get());
            s.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            let changed = self.changed.notified();
            let news = || -> Vec<String> {
                let since =
                    |(revision, kv): &(u64, String)| (*revision >= from).then(|| format!(r#"{{"kv":{kv}}}"#));
                self.events.borrow().iter().filter_map(since).collect()
            };
            let mut events = news();
            if events.is_empty() {
                let _ = tokio::time::timeout(PROGRESS, changed).await;
                events = news();
            }
            from = self.revision.get() + 1;
            more = match events.is_empty() {
                true => String::new(),
                false => format!(r#","events":[{}]"#, events.join(",")),
            };
        }
    }
}
