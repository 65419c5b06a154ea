//! A stub of the platform's discovery service, which counts the traffic of its watches and publishes list
//! changes on request.

use crate::stubs::{http, listen, Stream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::broadcast;

/// Time after which an empty line is sent on a watch without changes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(2);

/// The endpoint list.
struct ListState {
    revision: u64,
    addresses: Vec<SocketAddr>,
    draining: Option<usize>,
}

impl ListState {
    /// Encodes the entry of a shard's endpoint.
    fn entry(&self, shard: usize) -> String {
        let phase = if self.draining == Some(shard) { "draining" } else { "up" };
        let at = self.addresses[shard];
        format!(r#"{{"id":"s-{shard:08x}","host_port":"{at}","locality":"room-1","flavor":"m2","#)
            + &format!(r#""cell":{shard},"#)
            + &format!(r#""phase":"{phase}","size":1.0,"up_since_ms":0}}"#)
    }

    /// Encodes a message of a watch with the entries of some shards.
    fn encode_message(&self, shards: impl Iterator<Item = usize>, full: bool) -> String {
        let entries: Vec<String> = shards.map(|shard| self.entry(shard)).collect();
        let (revision, entries) = (self.revision, entries.join(","));
        format!("{{\"revision\":{revision},\"complete\":{full},\"members\":[{entries}]}}\n")
    }

    /// Encodes a message with the full list.
    fn full_list(&self) -> String {
        self.encode_message(0..self.addresses.len(), true)
    }
}

/// State shared by all watches.
struct State {
    list: Mutex<ListState>,
    changes: broadcast::Sender<String>,
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// The discovery service. A watch first sends the full list and then its changes.
pub struct Discovery {
    /// Address of the service.
    pub address: SocketAddr,
    state: Arc<State>,
}

impl Discovery {
    /// Starts the service with a list of these endpoints, all of them up.
    pub async fn start(addresses: &[SocketAddr]) -> io::Result<Self> {
        let list = ListState { revision: 2, addresses: addresses.to_vec(), draining: None };
        let (changes, _) = broadcast::channel(64);
        let state = Arc::new(State { list: Mutex::new(list), changes, calls: 0.into(), bytes: 0.into() });
        let served = state.clone();
        let address = listen(move |stream| serve_watch(stream, served.clone())).await?;
        Ok(Discovery { address, state })
    }

    /// Returns the number of calls so far and their bytes in both directions, without TCP headers.
    pub fn traffic(&self) -> (u64, u64) {
        (self.state.calls.load(Relaxed), self.state.bytes.load(Relaxed))
    }

    /// Publishes that an endpoint drains or is up again, as a single change or as a full list. Returns the
    /// bytes of the message.
    pub fn publish(&self, shard: usize, draining: bool, full: bool) -> usize {
        let mut list = self.list();
        list.revision += 1;
        list.draining = draining.then_some(shard);
        let changes = if full { list.full_list() } else { list.encode_message(shard..shard + 1, false) };
        let bytes = changes.len();
        // An error means that there is no watch to send the change to.
        let _ = self.state.changes.send(changes);
        bytes
    }

    fn list(&self) -> std::sync::MutexGuard<'_, ListState> {
        self.state.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Serves a watch until the connection is closed.
async fn serve_watch(mut s: Stream, state: Arc<State>) -> io::Result<()> {
    let asked: usize = http::read_head(&mut s).await?.iter().map(String::len).sum();
    state.calls.fetch_add(1, Relaxed);
    state.bytes.fetch_add(asked as u64 + 2, Relaxed);
    let mut changes = state.changes.subscribe();
    let first = state.list.lock().unwrap_or_else(PoisonError::into_inner).full_list();
    let mut next = Some(first);
    let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    loop {
        let text = match next.take() {
            Some(text) => text,
            None => match tokio::time::timeout(KEEPALIVE_INTERVAL, changes.recv()).await {
                Err(_) => "\n".into(),
                Ok(Ok(text)) => text,
                Ok(Err(_)) => return Ok(()),
            },
        };
        out += &format!("{:x}\r\n{text}\r\n", text.len());
        state.bytes.fetch_add(out.len() as u64, Relaxed);
        s.write_all(out.as_bytes()).await?;
        out.clear();
    }
}
