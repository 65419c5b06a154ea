//! Endpoints and clients over NBD, whose reads go on through all faults.

use super::config::{EXPORTED, EXTENT};
use crate::stand_ins::{nbd, Stream};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack::nbd::codec::{cmd, simple_reply, Request};
use std::cell::Cell;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::spawn_local;

/// Bytes that an endpoint says it has.
const ENDPOINT_BYTES: u64 = 1 << 20;
/// Bytes of a read.
const READ: u32 = 4096;
/// Reads of a client, each after the answer to the one before and this wait.
const BETWEEN_READS: Duration = Duration::from_millis(50);

/// An endpoint that serves reads of zeros; where it listens.
pub async fn start_endpoint() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_endpoint(BufReader::new(stream)));
        }
    });
    Ok(at)
}

async fn serve_endpoint(mut s: Stream) -> io::Result<()> {
    nbd::offer_export(&mut s, ENDPOINT_BYTES).await?;
    loop {
        let request = Request::read(&mut s).await?;
        let reply = match request.command {
            cmd::READ => nbd::read_reply(&request, 0),
            _ => simple_reply(0, request.cookie),
        };
        s.write_all(&reply).await?;
    }
}

/// Reads all over the export until its task is dropped, or its initiator ends; `read` counts those served and
/// failed.
pub async fn client(to: SocketAddr, seed: u64, read: Rc<[Cell<u64>; 2]>) -> io::Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = BufReader::new(TcpStream::connect(to).await?);
    nbd::choose_export(&mut s, "serra").await?;
    for cookie in 1.. {
        let offset = rng.random_range(0..EXPORTED as u64 * EXTENT / u64::from(READ)) * u64::from(READ);
        let ask = Request { flags: 0, command: cmd::READ, cookie, offset, length: READ };
        s.write_all(&ask.bytes()).await?;
        let served = nbd::is_served(&mut s).await?;
        let count = &read[usize::from(!served)];
        count.set(count.get() + 1);
        tokio::time::sleep(BETWEEN_READS).await;
    }
    Ok(())
}
