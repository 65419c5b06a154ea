//! Clients of both fronts, each with at most one request in flight.

use super::endpoints::{READ_BYTES, SHARD_BYTES};
use super::Front;
use crate::stubs::{http, invalid_data, nbd, Stream};
use shaletack::nbd::codec::{cmd, Request};
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// Number of exports, whatever the number of endpoints; the shards are divided evenly among them.
pub const EXPORTS: usize = 44;

/// The trace id of the next HTTP request.
static NEXT_TRACE_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_2d41);

/// A connected client.
pub struct Client {
    front: Front,
    stream: Stream,
    shards: usize,
    export: usize,
}

impl Client {
    /// Connects and performs what precedes the first request for data: the NBD handshake, or an HTTP health
    /// check.
    pub async fn connect(front: Front, to: SocketAddr, number: usize, shards: usize) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        // A small buffer, so that many idle clients fit into memory.
        let stream = BufReader::with_capacity(512, stream);
        let mut client = Client { front, stream, shards, export: number % EXPORTS };
        match front {
            Front::Http => {
                client.stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await?;
                client.read_response().await?;
            }
            Front::Nbd => nbd::choose_export(&mut client.stream, &format!("e{}", client.export)).await?,
        }
        Ok(client)
    }

    /// Returns whether the other side has closed the connection.
    pub fn is_closed(&self) -> bool {
        let mut byte = [0];
        match self.stream.get_ref().try_read(&mut byte) {
            Err(why) => why.kind() != io::ErrorKind::WouldBlock,
            Ok(count) => count == 0,
        }
    }

    /// Sends one read and waits for the answer; returns whether it was served.
    pub async fn send_read(&mut self, number: usize) -> io::Result<bool> {
        match self.front {
            Front::Http => {
                let (id, shard, volume) =
                    (NEXT_TRACE_ID.fetch_add(1, Relaxed), number % self.shards, number % 100 + 1);
                let head = format!(
                    "GET /leitura/{number:016x} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {id:016x}\r\n\
                     X-Qos-Policy: prioritario\r\nX-Expires-In: 1.200\r\n\
                     X-Placement: volume={volume:016x},units=1,shard={shard},hosts=1\r\n\r\n"
                );
                self.stream.write_all(head.as_bytes()).await?;
                Ok(self.read_response().await? == 200)
            }
            Front::Nbd => {
                let extents = self.shards / EXPORTS;
                let offset = (number / EXPORTS % extents) as u64 * SHARD_BYTES;
                let (cookie, length) = (number as u64, READ_BYTES);
                let request = Request { flags: 0, command: cmd::READ, cookie, offset, length };
                self.stream.write_all(&request.encode()).await?;
                nbd::is_served(&mut self.stream).await
            }
        }
    }

    /// Reads an HTTP response and returns its status.
    async fn read_response(&mut self) -> io::Result<u16> {
        let lines = http::read_head(&mut self.stream).await?;
        let first = lines.first().ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first
            .get(9..12)
            .and_then(|s| s.parse().ok())
            .ok_or_else(|| invalid_data("the response has no status"))?;
        let length = http::content_length(&lines);
        self.stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await?;
        Ok(status)
    }
}
