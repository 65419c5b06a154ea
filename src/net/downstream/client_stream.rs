//! The stream from which actix-http reads a client's connection.
//!
//! The stream limits the length of heads, holds pipelined requests until earlier ones are answered, and
//! closes without a reset, which could lose the last response.

use super::connection::{Connection, Stage};
use super::read_ahead::{ReadAhead, ReadAheadTotal};
use crate::runtime::sockets::Uninterrupted;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes of pipelined requests from which on actix-http is given no more before the response.
/// Further bytes are held in [`ReadAhead`].
const MAX_PIPELINED_IN_LIBRARY: usize = 16 * 1024;
/// The number of bytes after which a connection is closed before the response, if the client sent more
/// pipelined requests than are held. Up to then the bytes are read and dropped, and the connection closes
/// after the response.
const MAX_DISCARDED: usize = 4 << 20;
/// The maximum number of bytes read in one turn of the task: a client that sends at full speed must not delay
/// others.
const MAX_READ_PER_TURN: usize = 16 * 1024;
/// The size of the buffer for bytes that are held or dropped.
const BUFFER_SIZE: usize = 4096;

/// A client's connection as actix-http reads it.
pub struct ClientStream {
    socket: Rc<RefCell<Uninterrupted<TcpStream>>>,
    connection: Rc<Connection>,
    /// Pipelined requests that actix-http has not been given yet.
    read_ahead: ReadAhead,
    /// The number of bytes read since the task last yielded to others.
    read_in_turn: usize,
    /// Whether no more bytes arrive: the client closed the connection, or it was lost.
    read_ended: bool,
    /// Whether the sending half is closed.
    write_ended: bool,
}

impl ClientStream {
    /// Creates the stream of a connection that was just accepted. `total` counts the bytes held for all
    /// connections.
    pub fn new(
        socket: Rc<RefCell<Uninterrupted<TcpStream>>>,
        connection: Rc<Connection>,
        total: ReadAheadTotal,
    ) -> Self {
        let read_ahead = ReadAhead::new(total);
        ClientStream {
            socket,
            connection,
            read_ahead,
            read_in_turn: 0,
            read_ended: false,
            write_ended: false,
        }
    }

    /// Returns the state of the connection.
    pub fn connection(&self) -> Rc<Connection> {
        self.connection.clone()
    }

    fn poll_socket(&self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, out)
    }

    /// Reads and holds pipelined requests before the response, because a client's close can only be read
    /// after all that the client sent. If they exceed the limit, all of them are dropped and the connection
    /// is marked as overflowed.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) {
        if self.connection.closes_when_idle.get() {
            // The connection closes after the requests that it already has. A close by the client is detected
            // without reading the rest (`Connection::is_closed_by_client`).
            self.connection.reader.replace(Some(cx.waker().clone()));
            return;
        }
        let mut buffer = [0; BUFFER_SIZE];
        for _ in 0..MAX_READ_PER_TURN / BUFFER_SIZE {
            let mut part = ReadBuf::new(&mut buffer);
            let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
                self.connection.reader.replace(Some(cx.waker().clone()));
                return;
            };
            let bytes = part.filled();
            if read.is_err() || bytes.is_empty() {
                self.read_ended = true;
                self.connection.close_requested.notify_one();
                return;
            }
            self.connection.arrivals.borrow_mut().arrived(Instant::now(), bytes.len());
            if !self.read_ahead.push(bytes) {
                self.read_ahead.clear();
                self.connection.read_ahead_overflowed.set(true);
                break;
            }
            self.connection.read_ahead_bytes.set(self.read_ahead.len());
        }
        cx.waker().wake_by_ref();
    }

    /// Gives actix-http the held bytes, which come before any that are still to be read.
    fn take_read_ahead(&mut self, out: &mut ReadBuf<'_>) {
        let bytes = self.read_ahead.pop(out.remaining().min(MAX_READ_PER_TURN - self.read_in_turn));
        out.put_slice(&bytes);
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
        if self.connection.is_idle() {
            self.connection.enter(Stage::ReadingHead);
        }
        self.read_in_turn += bytes.len();
        self.connection.stage_bytes.set(self.connection.stage_bytes.get() + bytes.len());
        self.connection.last_read_at.set(Instant::now());
    }

    /// Reads and drops bytes. Ready once the client has closed its sending half or the connection is lost.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut buffer = [0; BUFFER_SIZE];
        for _ in 0..MAX_READ_PER_TURN / BUFFER_SIZE {
            let mut part = ReadBuf::new(&mut buffer);
            let read = ready!(self.poll_socket(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                self.read_ended = true;
                return Poll::Ready(());
            }
            self.connection.stage_bytes.set(self.connection.stage_bytes.get() + part.filled().len());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl ClientStream {
    /// Returns whether the next bytes are to be held: a response is outstanding, and actix-http has been
    /// given as many bytes of pipelined requests as it may.
    fn reads_ahead(&self) -> bool {
        let connection = &self.connection;
        let library_is_full = connection.stage_bytes.get() >= MAX_PIPELINED_IN_LIBRARY;
        connection.stage.get() == Stage::InProgress
            && library_is_full
            && !connection.has_read_ahead_overflowed()
    }

    /// Drops bytes until the present response is sent. Requests that the connection be closed at once if the
    /// client closes it, or sends more than [`MAX_DISCARDED`].
    fn poll_overflow(&mut self, cx: &mut Context<'_>) {
        let ended = self.poll_discard(cx).is_ready();
        if ended || self.connection.stage_bytes.get() >= MAX_DISCARDED {
            self.connection.close_requested.notify_one();
        }
    }

    fn poll_read_socket(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = self.connection.clone();
        // actix-http's buffer may have room for far more bytes than it is to be given.
        let room = out.remaining().min(MAX_READ_PER_TURN - self.read_in_turn);
        let mut part = ReadBuf::new(out.initialize_unfilled_to(room));
        let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
            self.read_in_turn = 0;
            if connection.closes_when_idle.get() && connection.is_idle() {
                return Poll::Ready(Ok(()));
            }
            connection.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        };
        let count = part.filled().len();
        self.read_ended = count == 0;
        if self.read_ended && connection.has_request() {
            // The request is cancelled now, and not only after the data being sent to the client.
            connection.close_requested.notify_one();
        }
        read?;
        out.advance(count);
        self.record_read(count);
        Poll::Ready(connection.check_head_size())
    }

    /// Records that `count` bytes were read.
    fn record_read(&mut self, count: usize) {
        let (connection, now) = (&self.connection, Instant::now());
        if count > 0 && connection.is_idle() {
            connection.enter(Stage::ReadingHead);
            connection.arrivals.borrow_mut().restart();
        }
        connection.arrivals.borrow_mut().arrived(now, count);
        self.read_in_turn += count;
        connection.stage_bytes.set(connection.stage_bytes.get() + count);
        connection.last_read_at.set(now);
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_in_turn >= MAX_READ_PER_TURN {
            self.read_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.reads_ahead() {
            self.poll_read_ahead(cx);
            return Poll::Pending;
        }
        if self.connection.has_read_ahead_overflowed() {
            self.poll_overflow(cx);
            return Poll::Pending;
        }
        if !self.read_ahead.is_empty() {
            self.take_read_ahead(out);
            return Poll::Ready(self.connection.check_head_size());
        }
        self.poll_read_socket(cx, out)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_flush(cx)
    }

    /// Closes the sending half, and then reads and drops bytes until the client closes its own. Closing
    /// with unread bytes would reset the connection, and the last response could be lost. The wait is
    /// limited by the timeout of `Stage::Closing`.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.write_ended {
            ready!(Pin::new(&mut *this.socket.borrow_mut()).poll_shutdown(cx))?;
            this.write_ended = true;
            this.connection.enter(Stage::Closing);
        }
        if !this.read_ended {
            ready!(this.poll_discard(cx));
        }
        Poll::Ready(Ok(()))
    }
}
