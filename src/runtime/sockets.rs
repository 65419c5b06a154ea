//! Sockets whose system calls may fail temporarily: classifies such failures and retries them.

use crate::outcome::TransportOutcome;
use actix_rt::net::{ActixStream, Ready};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use socket2::SockRef;
use std::future::Future;
use std::io::{self, IoSlice};
use std::net::SocketAddr;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::Instant;

/// The pause before a socket is requested again that the system had no resources for.
const BIND_RETRY_INTERVAL: Duration = Duration::from_millis(20);
/// How long a socket is requested again in total.
const BIND_TIMEOUT: Duration = Duration::from_secs(3);
/// The pause before a connection is tried again that failed for a reason on this machine.
const CONNECT_RETRY_INTERVAL: Duration = Duration::from_millis(5);
/// The part of the connect timeout during which such failures are retried.
const CONNECT_RETRY_TIME_SHARE: f64 = 0.9;

// Linux error numbers.
const EINTR: i32 = 4;
const EIO: i32 = 5;
const EAGAIN: i32 = 11;
const ENOMEM: i32 = 12;
const ENFILE: i32 = 23;
const EMFILE: i32 = 24;
const EADDRNOTAVAIL: i32 = 99;
const ENOBUFS: i32 = 105;

/// Returns whether the process or the system had no file descriptor or no memory left.
pub fn is_shortage(error: &io::Error) -> bool {
    matches!(error.raw_os_error(), Some(ENOMEM | ENFILE | EMFILE | ENOBUFS))
}

/// Returns whether a file could not be opened or read for a temporary reason, which says nothing about its
/// contents.
pub fn is_transient(error: &io::Error) -> bool {
    is_shortage(error) || matches!(error.raw_os_error(), Some(EINTR | EIO | EAGAIN))
}

/// Returns whether a connection failed for a reason on this machine, which says nothing about the peer.
fn is_local_error(error: &io::Error) -> bool {
    is_shortage(error) || matches!(error.raw_os_error(), Some(EINTR | EAGAIN | EADDRNOTAVAIL))
}

/// How much the system holds for a socket, as it counts it, in bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct SocketBuffers {
    /// What was received and not read.
    pub receive: usize,
    /// What was written and not acknowledged.
    pub send: usize,
}

impl SocketBuffers {
    /// Bounds the buffers of a socket. Connections that a listening socket accepts from then on have its bounds.
    ///
    /// # Errors
    /// The system does not accept the sizes.
    pub fn apply<'s>(&self, socket: impl Into<SockRef<'s>>) -> io::Result<()> {
        let socket = socket.into();
        // The system doubles the size that it is given, to allow for its own overhead.
        socket.set_recv_buffer_size(self.receive / 2)?;
        socket.set_send_buffer_size(self.send / 2)
    }
}

/// Connects to an endpoint. Failures for a reason on this machine are retried for 90 % of `timeout`.
///
/// # Errors
/// The connection failed for another reason, or failures on this machine lasted for all of that time.
pub async fn connect(
    endpoint: SocketAddr,
    timeout: Duration,
    buffers: Option<SocketBuffers>,
) -> io::Result<TcpStream> {
    // The caller applies `timeout` as well. Retries end earlier, so that the caller gets the error and not
    // just a timeout.
    let retry_until = Instant::now() + timeout.mul_f64(CONNECT_RETRY_TIME_SHARE);
    loop {
        match connect_once(endpoint, buffers).await {
            Err(why) if is_local_error(&why) && Instant::now() < retry_until => {
                tokio::time::sleep(CONNECT_RETRY_INTERVAL).await
            }
            result => return result,
        }
    }
}

async fn connect_once(endpoint: SocketAddr, buffers: Option<SocketBuffers>) -> io::Result<TcpStream> {
    let socket = if endpoint.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
    if let Some(buffers) = buffers {
        buffers.apply(&socket)?;
    }
    socket.connect(endpoint).await
}

/// Returns the outcome of an attempt whose connection could not be established.
pub fn connect_outcome(error: &io::Error) -> TransportOutcome {
    if is_local_error(error) {
        TransportOutcome::NoDescriptor
    } else {
        TransportOutcome::Unreachable
    }
}

/// Listens at `address`, and retries for 3 s while the system has no descriptor or memory for the socket.
///
/// # Errors
/// The address is not available, or the shortage lasted for 3 s.
pub async fn listen(address: SocketAddr) -> io::Result<TcpListener> {
    retry_on_shortage(|| TcpListener::bind(address)).await
}

/// Calls `make`, which creates a socket, again for 3 s while the system has no descriptor or memory for it.
///
/// # Errors
/// `make` failed for another reason, or the shortage lasted for 3 s.
pub async fn retry_on_shortage<T, F: Future<Output = io::Result<T>>>(make: impl Fn() -> F) -> io::Result<T> {
    let retry_until = Instant::now() + BIND_TIMEOUT;
    loop {
        match make().await {
            Err(why) if is_shortage(&why) && Instant::now() < retry_until => {
                tokio::time::sleep(BIND_RETRY_INTERVAL).await;
            }
            result => return result,
        }
    }
}

/// Returns an HTTP client that retries interrupted system calls, follows no redirects, and has no timeout
/// except for connecting.
pub fn http_client(connect_timeout: Duration) -> Client {
    let connect = fn_service(|info: ConnectInfo<Uri>| async move {
        let uri = info.request().clone();
        let socket = TcpStream::connect(address_of(&uri)?).await.map_err(ConnectError::Io)?;
        Ok::<_, ConnectError>(Connection::new(uri, Uninterrupted(socket)))
    });
    let connector = Connector::new().connector(connect).timeout(connect_timeout).conn_lifetime(Duration::MAX);
    Client::builder().connector(connector).disable_redirects().disable_timeout().finish()
}

/// Returns the IP address and port that a URI names. Host names are not resolved.
///
/// # Errors
/// The URI does not contain an IP address and a port.
pub fn address_of(uri: &Uri) -> Result<SocketAddr, ConnectError> {
    let address = uri.authority().and_then(|authority| authority.as_str().parse().ok());
    address.ok_or(ConnectError::Unresolved)
}

/// A stream that repeats a system call that was interrupted (`EINTR`). An interrupted call has transferred no
/// bytes.
#[derive(Debug)]
pub struct Uninterrupted<S>(pub S);

fn retry_interrupted<T>(mut call: impl FnMut() -> Poll<io::Result<T>>) -> Poll<io::Result<T>> {
    loop {
        match call() {
            Poll::Ready(Err(why)) if why.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
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
