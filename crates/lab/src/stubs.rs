//! Stubs of endpoints, clients and discovery for experiments on real sockets: the parts that more than one
//! experiment uses.

pub mod http;
pub mod nbd;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};

/// A connection with a read buffer.
pub type Stream = BufReader<TcpStream>;

/// Returns an error for a violation of the protocol by the other side.
pub fn invalid_data(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Listens on a free loopback port, handles each connection in a task of its own and returns the address.
pub async fn listen<F>(each: impl Fn(Stream) -> F + Send + 'static) -> io::Result<SocketAddr>
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            // Errors are ignored, because the process under test may close connections at any time.
            tokio::spawn(each(BufReader::new(stream)));
        }
    });
    Ok(address)
}
