//! What stands round the program in experiments on real sockets: parts of endpoints, clients and discovery that
//! more than one experiment needs.

pub mod http;
pub mod nbd;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};

/// A connection with what is read ahead of it.
pub type Stream = BufReader<TcpStream>;

/// The other side does not keep to the protocol.
pub fn invalid(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Listens on a free port of loopback and hands each connection to a task of its own; where that is.
pub async fn listen<F>(each: impl Fn(Stream) -> F + Send + 'static) -> io::Result<SocketAddr>
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            // The process ends connections as it likes.
            tokio::spawn(each(BufReader::new(stream)));
        }
    });
    Ok(address)
}
