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

/// The number of bytes of heads that actix-http is given at a time, before it parses them. Parsed heads of
/// pipelined requests take far more memory than their bytes, which are held in [`ReadAhead`] instead.
const HEAD_BYTES_PER_TURN: usize = 1024;
/// The number of bytes of a body that actix-http is given while nobody waits for more.
const MAX_UNWANTED_BODY: usize = 16 * 1024;
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
            if !self.connection.memory.reserve_read_ahead(BUFFER_SIZE) {
                self.connection.reader.replace(Some(cx.waker().clone()));
                return;
            }
            let mut part = ReadBuf::new(&mut buffer);
            let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
                self.connection.memory.release_read_ahead(BUFFER_SIZE);
                self.connection.reader.replace(Some(cx.waker().clone()));
                return;
            };
            let bytes = part.filled();
            self.connection.memory.release_read_ahead(BUFFER_SIZE - bytes.len());
            if read.is_err() || bytes.is_empty() {
                self.read_ended = true;
                self.connection.close_requested.notify_one();
                return;
            }
            self.connection.arrivals.borrow_mut().arrived(Instant::now(), bytes.len());
            if !self.read_ahead.push(bytes) {
                self.connection.memory.release_read_ahead(self.read_ahead.len() + bytes.len());
                self.read_ahead.clear();
                self.connection.read_ahead_overflowed.set(true);
                break;
            }
            self.connection.read_ahead_bytes.set(self.read_ahead.len());
        }
        cx.waker().wake_by_ref();
    }

    /// Gives actix-http the held bytes, which come before any that are still to be read.
    /// Returns `false` if no memory is left for them.
    fn take_read_ahead(&mut self, out: &mut ReadBuf<'_>) -> bool {
        let wanted = self.read_ahead.len().min(out.remaining());
        let Some(room) = self.reserve_read(wanted) else { return false };
        let bytes = self.read_ahead.pop(room);
        self.connection.memory.release_read_ahead(bytes.len());
        out.put_slice(&bytes);
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
        if self.connection.is_idle() {
            self.connection.enter(Stage::ReadingHead);
        }
        self.count_given(room, bytes.len());
        self.connection.last_read_at.set(Instant::now());
        true
    }

    /// Returns how many of `wanted` bytes may be read now, after their memory was reserved; `None` if no memory
    /// is left.
    fn reserve_read(&self, wanted: usize) -> Option<usize> {
        if !self.connection.is_reading_head() {
            return Some(wanted.min(MAX_READ_PER_TURN - self.read_in_turn));
        }
        let room = wanted.min(HEAD_BYTES_PER_TURN - self.read_in_turn.min(HEAD_BYTES_PER_TURN));
        let room = room.min(self.waiting_bytes().max(1));
        self.connection.memory.reserve_head(room).then_some(room)
    }

    /// Returns how many bytes wait to be given to actix-http.
    fn waiting_bytes(&self) -> usize {
        match self.read_ahead.len() {
            0 => self.connection.unread_bytes() as usize,
            held => held,
        }
    }

    /// Counts `count` bytes that actix-http was given of `room` bytes that were reserved.
    fn count_given(&mut self, room: usize, count: usize) {
        let connection = &self.connection;
        if connection.is_reading_head() {
            connection.memory.unread_head(room - count);
        } else {
            connection.body_given(count);
        }
        self.read_in_turn += count;
        connection.stage_bytes.set(connection.stage_bytes.get() + count);
    }

    /// Returns whether actix-http is to be given no more in this turn of the task, so that it parses what it
    /// has, and other tasks run.
    fn is_turn_over(&self) -> bool {
        let limit = if self.connection.is_reading_head() { HEAD_BYTES_PER_TURN } else { MAX_READ_PER_TURN };
        self.read_in_turn >= limit
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
    /// Returns whether the next bytes are to be held, because a response is outstanding.
    fn reads_ahead(&self) -> bool {
        let connection = &self.connection;
        connection.stage.get() == Stage::InProgress && !connection.has_read_ahead_overflowed()
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
        let Some(room) = self.reserve_read(out.remaining()) else {
            self.read_in_turn = 0;
            connection.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        };
        let mut part = ReadBuf::new(out.initialize_unfilled_to(room));
        let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
            connection.memory.unread_head(if connection.is_reading_head() { room } else { 0 });
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
        self.record_read(room, count);
        Poll::Ready(connection.check_head_size())
    }

    /// Records that `count` bytes were read of `room` bytes that were reserved.
    fn record_read(&mut self, room: usize, count: usize) {
        let (connection, now) = (self.connection.clone(), Instant::now());
        if count > 0 && connection.is_idle() {
            connection.enter(Stage::ReadingHead);
            connection.arrivals.borrow_mut().restart();
        }
        connection.arrivals.borrow_mut().arrived(now, count);
        self.count_given(room, count);
        connection.last_read_at.set(now);
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.is_turn_over() {
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
        if !self.connection.wants_bytes(MAX_UNWANTED_BODY) {
            self.read_in_turn = 0;
            self.connection.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        if !self.read_ahead.is_empty() {
            if self.take_read_ahead(out) {
                return Poll::Ready(self.connection.check_head_size());
            }
            self.read_in_turn = 0;
            self.connection.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        }
        self.poll_read_socket(cx, out)
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = ready!(Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes))?;
        self.connection.memory.response_written(written);
        Poll::Ready(Ok(written))
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
