//! A client's connection as actix-http reads it: heads are bounded, what is sent ahead of answers waits for its turn, and a
//! close loses no answer.

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

/// How many bytes of requests sent ahead of an answer actix-http is given; more wait until it has room,
const MAX_AHEAD_IN_LIBRARY: usize = 16 * 1024;
/// and where there is no room left for them either what comes is read and dropped, and the connection ends with the answer,
/// or after so many bytes.
const MAX_FLOOD: usize = 4 << 20;
/// Bytes read at one go; a client that sends at full speed must not keep others waiting.
const MAX_READ: usize = 16 * 1024;

/// A client's connection as actix-http reads it.
pub struct ClientStream {
    socket: Rc<RefCell<Uninterrupted<TcpStream>>>,
    connection: Rc<Connection>,
    /// Read ahead of an answer, beyond what actix-http holds.
    read_ahead: ReadAhead,
    /// Bytes read since others last had their turn.
    read_in_turn: usize,
    /// Nothing more comes: its client closed it, or it was lost.
    read_ended: bool,
    /// Nothing more goes out.
    write_ended: bool,
}

impl ClientStream {
    /// Just accepted; `total` counts what waits on all connections.
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

    /// The state of the connection.
    pub fn connection(&self) -> Rc<Connection> {
        self.connection.clone()
    }

    fn poll_socket(&self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, out)
    }

    /// Reads on ahead of an answer and holds what comes, for a client's close stands behind all that it sent. What there is
    /// no room for makes it a flood.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) {
        if self.connection.closes_when_idle.get() {
            // It ends with what it has; a close behind the rest shows without reading it.
            self.connection.reader.replace(Some(cx.waker().clone()));
            return;
        }
        let mut room = [0; 4096];
        for _ in 0..MAX_READ / room.len() {
            let mut part = ReadBuf::new(&mut room);
            let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
                self.connection.reader.replace(Some(cx.waker().clone()));
                return;
            };
            let bytes = part.filled();
            if read.is_err() || bytes.is_empty() {
                self.read_ended = true;
                self.connection.close.notify_one();
                return;
            }
            self.connection.arrivals.borrow_mut().arrived(Instant::now(), bytes.len());
            if !self.read_ahead.push(bytes) {
                self.read_ahead.clear();
                self.connection.flooded.set(true);
                break;
            }
            self.connection.read_ahead_bytes.set(self.read_ahead.len());
        }
        cx.waker().wake_by_ref();
    }

    /// What was read ahead comes next, before anything else is read.
    fn give_read_ahead(&mut self, out: &mut ReadBuf<'_>) {
        let bytes = self.read_ahead.pop(out.remaining().min(MAX_READ - self.read_in_turn));
        out.put_slice(&bytes);
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
        if self.connection.is_idle() {
            self.connection.enter(Stage::ReadingHead);
        }
        self.read_in_turn += bytes.len();
        self.connection.stage_bytes.set(self.connection.stage_bytes.get() + bytes.len());
        self.connection.last_read_at.set(Instant::now());
    }

    /// Reads and drops what comes: ready once nothing more does.
    fn poll_discard(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut scrap = [0; 4096];
        for _ in 0..MAX_READ / scrap.len() {
            let mut part = ReadBuf::new(&mut scrap);
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
    /// Whether what comes now was sent ahead of an answer, and the library holds enough of that.
    fn reads_ahead(&self) -> bool {
        let connection = &self.connection;
        let library_is_full = connection.stage_bytes.get() >= MAX_AHEAD_IN_LIBRARY;
        connection.stage.get() == Stage::InProgress && library_is_full && !connection.flooded.get()
    }

    /// Drops what comes until the present answer has gone; a flood that goes on and on ends the connection at once.
    fn poll_flood(&mut self, cx: &mut Context<'_>) {
        let ended = self.poll_discard(cx).is_ready();
        if ended || self.connection.stage_bytes.get() >= MAX_FLOOD {
            self.connection.close.notify_one();
        }
    }

    fn poll_read_socket(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let connection = self.connection.clone();
        // The buffer may have room for far more than its reader is meant to hold.
        let room = out.remaining().min(MAX_READ - self.read_in_turn);
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
            // Its request ends now, not once what is on its way out has gone.
            connection.close.notify_one();
        }
        read?;
        out.advance(count);
        self.note_read(count);
        Poll::Ready(connection.check_head_size())
    }

    fn note_read(&mut self, count: usize) {
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
        if self.read_in_turn >= MAX_READ {
            self.read_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.reads_ahead() {
            self.poll_read_ahead(cx);
            return Poll::Pending;
        }
        if self.connection.flooded.get() {
            self.poll_flood(cx);
            return Poll::Pending;
        }
        if !self.read_ahead.is_empty() {
            self.give_read_ahead(out);
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

    /// Its own end first; then what still comes is read and dropped until its client's. A close over bytes that
    /// nobody read would be a reset, and the last answer could be lost with it. `Stage::Closing` bounds the wait.
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
