//! Endpoints that answer at once, one for each shard, over HTTP or NBD.

use super::Front;
use crate::stand_ins::{http, invalid, listen, nbd, Stream};
use shaletack::nbd::codec::{cmd, Request};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;

/// Bytes of a shard.
pub const SHARD: u64 = 65_536;
/// Bytes of each read.
pub const READ: u32 = 4096;

/// Endpoints that answer at once, one for each shard.
pub struct Boxes {
    /// By shard.
    pub addresses: Vec<SocketAddr>,
    /// Connections that ever came, of all endpoints.
    pub connections: Arc<AtomicU64>,
}

impl Boxes {
    /// So many, all of one protocol.
    pub async fn start(front: Front, count: usize) -> io::Result<Self> {
        let connections = Arc::new(AtomicU64::new(0));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let counted = connections.clone();
            let each = move |stream| {
                counted.fetch_add(1, Relaxed);
                async move {
                    match front {
                        Front::Http => http_box(stream).await,
                        Front::Nbd => nbd_box(stream).await,
                    }
                }
            };
            addresses.push(listen(each).await?);
        }
        Ok(Boxes { addresses, connections })
    }
}

async fn http_box(mut s: Stream) -> io::Result<()> {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {READ}\r\n\r\n{}", "x".repeat(READ as usize));
    while !http::read_head(&mut s).await?.is_empty() {
        s.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

async fn nbd_box(mut s: Stream) -> io::Result<()> {
    nbd::offer_export(&mut s, SHARD).await?;
    loop {
        let request = Request::read(&mut s).await?;
        if request.command != cmd::READ {
            return Err(invalid("only reads are asked of these endpoints"));
        }
        s.write_all(&nbd::read_reply(&request, b'x')).await?;
    }
}
