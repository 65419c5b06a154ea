//! NBD endpoints and clients. The clients keep reading during all faults.

use super::config::{EXPORTED_SHARDS, EXTENT_BYTES};
use crate::stubs::{nbd, Stream};
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

/// Size of an endpoint's export in bytes.
const ENDPOINT_BYTES: u64 = 1 << 20;
/// Bytes of each read.
const READ_BYTES: u32 = 4096;
/// Pause between the answer to a client's read and its next read.
const READ_PAUSE: Duration = Duration::from_millis(50);

/// Starts an endpoint whose reads return zeros, and returns its address.
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

/// Answers reads with zeros and acknowledges all other commands.
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

/// Reads at random offsets of the export until the task is dropped or the initiator closes the connection.
/// `counts` holds the numbers of served and of failed reads.
pub async fn run_client(to: SocketAddr, seed: u64, counts: Rc<[Cell<u64>; 2]>) -> io::Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = BufReader::new(TcpStream::connect(to).await?);
    nbd::choose_export(&mut s, "serra").await?;
    for cookie in 1.. {
        let offset = rng.random_range(0..EXPORTED_SHARDS as u64 * EXTENT_BYTES / u64::from(READ_BYTES))
            * u64::from(READ_BYTES);
        let ask = Request { flags: 0, command: cmd::READ, cookie, offset, length: READ_BYTES };
        s.write_all(&ask.encode()).await?;
        let served = nbd::is_served(&mut s).await?;
        let count = &counts[usize::from(!served)];
        count.set(count.get() + 1);
        tokio::time::sleep(READ_PAUSE).await;
    }
    Ok(())
}
