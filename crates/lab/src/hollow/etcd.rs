//! A stub of etcd's JSON gateway, from which one initiator receives its endpoint list.

use super::config::{endpoint_entry, endpoint_id, ENDPOINTS};
use crate::stubs::{http, Stream};
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

/// Interval of the progress messages on a watch without changes.
const PROGRESS_INTERVAL: Duration = Duration::from_secs(2);

/// The part of etcd's JSON gateway that an initiator uses: a range request for all endpoints, and a watch
/// that continues from its revision.
pub struct Etcd {
    /// Address at which the gateway listens.
    pub address: SocketAddr,
    endpoints: Vec<SocketAddr>,
    entries: RefCell<BTreeMap<usize, String>>,
    /// All changes with their revisions.
    events: RefCell<Vec<(u64, String)>>,
    revision: Cell<u64>,
    changed: Notify,
}

impl Etcd {
    /// Starts the gateway with all endpoints up.
    pub async fn start(endpoints: Vec<SocketAddr>) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let entries = (0..ENDPOINTS).map(|n| (n, endpoint_entry(n, &endpoints, "up"))).collect();
        let etcd = Rc::new(Etcd {
            address: listener.local_addr()?,
            endpoints,
            entries: RefCell::new(entries),
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

    /// Encodes a key and a value as etcd does.
    fn kv(number: usize, entry: &str) -> String {
        let (key, value) =
            (STANDARD.encode(format!("/boxes/{}", endpoint_id(number))), STANDARD.encode(entry));
        format!(r#"{{"key":"{key}","value":"{value}"}}"#)
    }

    /// Changes the list entry of an endpoint to draining.
    pub fn drain(&self, number: usize) {
        let entry = endpoint_entry(number, &self.endpoints, "draining");
        self.revision.set(self.revision.get() + 1);
        self.events.borrow_mut().push((self.revision.get(), Self::kv(number, &entry)));
        self.entries.borrow_mut().insert(number, entry);
        self.changed.notify_waiters();
    }

    /// Answers range requests, and serves a watch once one is requested.
    async fn serve(&self, mut s: Stream) -> io::Result<()> {
        loop {
            let head = http::read_head(&mut s).await?;
            let Some(first) = head.first() else { return Ok(()) };
            let watch = first.to_ascii_lowercase().starts_with("post /v3/watch");
            let mut request = vec![0; http::content_length(&head).unwrap_or(0)];
            s.read_exact(&mut request).await?;
            if watch {
                let request = String::from_utf8_lossy(&request).into_owned();
                let from = request.split(r#""start_revision":""#).nth(1).and_then(|t| t.split('"').next());
                let from = from.and_then(|t| t.parse().ok()).ok_or(io::Error::other("no start_revision"))?;
                return self.watch(s, from).await;
            }
            let all: Vec<String> = self.entries.borrow().iter().map(|(n, e)| Self::kv(*n, e)).collect();
            let body =
                format!(r#"{{"header":{{"revision":"{}"}},"kvs":[{}]}}"#, self.revision.get(), all.join(","));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            s.write_all(format!("{head}{body}").as_bytes()).await?;
        }
    }

    /// Sends all changes from a revision on until the connection is closed.
    async fn watch(&self, mut s: Stream, mut from: u64) -> io::Result<()> {
        s.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut extra = r#","created":true"#.to_owned();
        loop {
            let line =
                format!(r#"{{"result":{{"header":{{"revision":"{}"}}{extra}}}}}"#, self.revision.get());
            s.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            let changed = self.changed.notified();
            let pending = || -> Vec<String> {
                let since =
                    |(revision, kv): &(u64, String)| (*revision >= from).then(|| format!(r#"{{"kv":{kv}}}"#));
                self.events.borrow().iter().filter_map(since).collect()
            };
            let mut events = pending();
            if events.is_empty() {
                let _ = tokio::time::timeout(PROGRESS_INTERVAL, changed).await;
                events = pending();
            }
            from = self.revision.get() + 1;
            extra = match events.is_empty() {
                true => String::new(),
                false => format!(r#","events":[{}]"#, events.join(",")),
            };
        }
    }
}
