//! Sockets where a system call fails for a moment: what such a failure says, and what goes on after it.

use crate::outcome::TransportOutcome;
use actix_rt::net::{ActixStream, Ready};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;

/// A listener that the system has no socket for is asked for again after this time,
const BIND_INTERVAL: Duration = Duration::from_millis(20);
/// and no longer than this in all.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// A connection that failed on this machine is tried again after this time,
const CONNECT_INTERVAL: Duration = Duration::from_millis(5);
/// for this part of the time that it may take.
const CONNECT_TIME_SHARE: f64 = 0.9;

// Numbers of errors on Linux.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// The process, or the system, has no descriptor or no memory left for a socket.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOMEM | ENFILE | EMFILE | ENOBUFS))
}

/// A file can't be opened or read just now, which says nothing of what is in it.
pub fn is_transient(error: &io::Error) -> bool {
    is_shortage(error) || matches!(error.raw_os_error(), Some(EINTR | EIO | EAGAIN))
}

/// A connection failed on this machine, which says nothing of the other side.
fn is_local(error: &io::Error) -> bool {
    is_shortage(error) || matches!(error.raw_os_error(), Some(EINTR | EAGAIN | EADDRNOTAVAIL))
}

/// Connects to a box; what fails on this machine is tried again while the connection may take.
///
/// # Errors
/// It failed in another way, or there was no socket all that time.
pub async fn connect(to: SocketAddr, within: Duration) -> io::Result<TcpStream> {
    // The caller's own clock for it is not to run out before this one says why.
    let until = Instant::now() + within.mul_f64(CONNECT_TIME_SHARE);
    loop {
        match TcpStream::connect(to).await {
            Err(why) if is_local(&why) && Instant::now() < until => {
                tokio::time::sleep(CONNECT_INTERVAL).await
            }
            done => return done,
        }
    }
}

/// How an attempt ended whose connection could not be begun or did not come up.
pub fn connect_outcome(error: &io::Error) -> TransportOutcome {
    if is_local(error) {
        TransportOutcome::NoDescriptor
    } else {
        TransportOutcome::Unreachable
    }
}

/// Listens there; where the system has no socket to give, again until it has.
///
/// # Errors
/// The address can't be had, or there was no socket for 3 s.
pub async fn listen(at: SocketAddr) -> io::Result<TcpListener> {
    retry_while_short(|| TcpListener::bind(at)).await
}

/// Carries out what makes a socket again for as long as the system has none to give.
///
/// # Errors
/// It failed in another way, or the system had none for 3 s.
pub async fn retry_while_short<T, F: Future<Output = io::Result<T>>>(make: impl Fn() -> F) -> io::Result<T> {
    let until = Instant::now() + BIND_TIMEOUT;
    loop {
        match make().await {
            Err(why) if is_shortage(&why) && Instant::now() < until => {
                tokio::time::sleep(BIND_INTERVAL).await;
            }
            done => return done,
        }
    }
}

/// A client for HTTP whose connections survive interrupted calls; no redirects, and no time-out but for connecting.
pub fn http_client(connect_timeout: Duration) -> Client {
    let connect = fn_service(|info: ConnectInfo<Uri>| async move {
        let uri = info.request().clone();
        let socket = TcpStream::connect(address_of(&uri)?).await.map_err(ConnectError::Io)?;
        Ok::<_, ConnectError>(Connection::new(uri, Uninterrupted(socket)))
    });
    let connector = Connector::new().connector(connect).timeout(connect_timeout).conn_lifetime(Duration::MAX);
    Client::builder().connector(connector).disable_redirects().disable_timeout().finish()
}

/// The address that a request goes to; names are not looked up.
///
/// # Errors
/// It names none.
pub fn address_of(uri: &Uri) -> Result<SocketAddr, ConnectError> {
    let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
    address.ok_or(ConnectError::Unresolved)
}

/// A stream on which an interrupted call (`EINTR`) is made again: no byte of it was transferred.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

fn retry_interrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(why)) if why.kind() == io::ErrorKind::Interrupted => {}
            done => return done,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Uninterrupted<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_read(cx, out))
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Uninterrupted<S> {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_write(cx, bytes))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        parts: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_write_vectored(cx, parts))
    }

    fn is_write_vectored(&self) -> bool {
        self.0.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_flush(cx))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        retry_interrupted(|| Pin::new(&mut self.0).poll_shutdown(cx))
    }
}

impl ActixStream for Uninterrupted<TcpStream> {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.0, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.0, cx)
    }
}
