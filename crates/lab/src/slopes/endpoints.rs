//! Stub endpoints that answer immediately, one for each shard, over HTTP or NBD.

use super::Front;
use crate::stubs::{http, invalid_data, listen, nbd, Stream};
use shaletack::nbd::codec::{cmd, Request};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::Arc;
use tokio::io::AsyncWriteExt;

/// Bytes of a shard.
pub const SHARD_BYTES: u64 = 65_536;
/// Bytes of each read.
pub const READ_BYTES: u32 = 4096;

/// Stub endpoints, one for each shard.
pub struct Endpoints {
    /// Addresses by shard.
    pub addresses: Vec<SocketAddr>,
    /// Number of connections accepted so far by all endpoints.
    pub connections: Arc<AtomicU64>,
}

impl Endpoints {
    /// Starts `count` endpoints of one protocol.
    pub async fn start(front: Front, count: usize) -> io::Result<Self> {
        let connections = Arc::new(AtomicU64::new(0));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let counted = connections.clone();
            let each = move |stream| {
                counted.fetch_add(1, Relaxed);
                async move {
                    match front {
                        Front::Http => serve_http(stream).await,
                        Front::Nbd => serve_nbd(stream).await,
                    }
                }
            };
            addresses.push(listen(each).await?);
        }
        Ok(Endpoints { addresses, connections })
    }
}

/// Answers every HTTP request with a body of [`READ_BYTES`].
async fn serve_http(mut s: Stream) -> io::Result<()> {
    let response =
        format!("HTTP/1.1 200 OK\r\nContent-Length: {READ_BYTES}\r\n\r\n{}", "x".repeat(READ_BYTES as usize));
    while !http::read_head(&mut s).await?.is_empty() {
        s.write_all(response.as_bytes()).await?;
    }
    Ok(())
}

/// Serves NBD reads until another command arrives.
async fn serve_nbd(mut s: Stream) -> io::Result<()> {
    nbd::offer_export(&mut s, SHARD_BYTES).await?;
    loop {
        let request = Request::read(&mut s).await?;
        if request.command != cmd::READ {
            return Err(invalid_data("a stub endpoint serves only reads"));
        }
        s.write_all(&nbd::read_reply(&request, b'x')).await?;
    }
}
