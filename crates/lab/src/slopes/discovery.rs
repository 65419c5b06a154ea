//! Discovery as the platform has it, over HTTP: what a watch of the endpoint list costs, and when a change goes out.

use crate::stand_ins::{http, listen, Stream};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::AsyncWriteExt;
use tokio::sync::broadcast;

/// While nothing changes an empty line goes to each watch so often.
const EMPTY_LINE: Duration = Duration::from_secs(2);

struct Listed {
    revision: u64,
    addresses: Vec<SocketAddr>,
    draining: Option<usize>,
}

impl Listed {
    fn entry(&self, shard: usize) -> String {
        let phase = if self.draining == Some(shard) { "draining" } else { "up" };
        let at = self.addresses[shard];
        format!(r#"{{"id":"s-{shard:08x}","host_port":"{at}","locality":"room-1","flavor":"m2","#)
            + &format!(r#""cell":{shard},"#)
            + &format!(r#""phase":"{phase}","size":1.0,"up_since_ms":0}}"#)
    }

    fn object(&self, shards: impl Iterator<Item = usize>, whole: bool) -> String {
        let entries: Vec<String> = shards.map(|shard| self.entry(shard)).collect();
        let (revision, entries) = (self.revision, entries.join(","));
        format!("{{\"revision\":{revision},\"complete\":{whole},\"members\":[{entries}]}}\n")
    }

    fn whole(&self) -> String {
        self.object(0..self.addresses.len(), true)
    }
}

struct Kept {
    list: Mutex<Listed>,
    news: broadcast::Sender<String>,
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// Discovery as the platform has it: a watch brings the whole list first, and then what changes.
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    kept: Arc<Kept>,
}

impl Discovery {
    /// Lists these boxes, all of them up.
    pub async fn start(addresses: &[SocketAddr]) -> io::Result<Self> {
        let list = Listed { revision: 2, addresses: addresses.to_vec(), draining: None };
        let (news, _) = broadcast::channel(64);
        let kept = Arc::new(Kept { list: Mutex::new(list), news, calls: 0.into(), bytes: 0.into() });
        let served = kept.clone();
        let address = listen(move |stream| watched(stream, served.clone())).await?;
        Ok(Discovery { address, kept })
    }

    /// Calls so far, and the bytes of both ways without the headers of TCP.
    pub fn cost(&self) -> (u64, u64) {
        (self.kept.calls.load(Relaxed), self.kept.bytes.load(Relaxed))
    }

    /// One box drains or is up again, told as one change or with the whole list; how many bytes the news has.
    pub fn tell(&self, shard: usize, draining: bool, whole: bool) -> usize {
        let mut list = self.list();
        list.revision += 1;
        list.draining = draining.then_some(shard);
        let news = if whole { list.whole() } else { list.object(shard..shard + 1, false) };
        let bytes = news.len();
        // With nobody on the watch there is nobody to tell.
        let _ = self.kept.news.send(news);
        bytes
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Listed> {
        self.kept.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn watched(mut s: Stream, kept: Arc<Kept>) -> io::Result<()> {
    let asked: usize = http::read_head(&mut s).await?.iter().map(String::len).sum();
    kept.calls.fetch_add(1, Relaxed);
    kept.bytes.fetch_add(asked as u64 + 2, Relaxed);
    let mut news = kept.news.subscribe();
    let first = kept.list.lock().unwrap_or_else(PoisonError::into_inner).whole();
    let mut next = Some(first);
    let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    loop {
        let text = match next.take() {
            Some(text) => text,
            None => match tokio::time::timeout(EMPTY_LINE, news.recv()).await {
                Err(_) => "\n".into(),
                Ok(Ok(text)) => text,
                Ok(Err(_)) => return Ok(()),
            },
        };
        out += &format!("{:x}\r\n{text}\r\n", text.len());
        kept.bytes.fetch_add(out.len() as u64, Relaxed);
        s.write_all(out.as_bytes()).await?;
        out.clear();
    }
}
