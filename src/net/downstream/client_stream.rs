//! The stream from which actix-http reads a client's connection.
//!
//! The stream gives the library one request at a time, and the next one once the response to the last is written.
//! It limits the length of heads, holds what clients send ahead, and closes without a reset, which could lose the
//! last response.

use super::connection::{Connection, NextPart, Stage};
use super::read_ahead::{ReadAhead, ReadAheadTotal, FIRST_READ_BYTES};
use super::request_framing::{HeadScan, RequestPart};
use crate::runtime::sockets::Uninterrupted;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The number of bytes of a body that actix-http is given while nobody waits for more.
const MAX_UNWANTED_BODY: usize = 8 * 1024;
/// The number of bytes after which a connection is closed before the response, if the client sent more
/// pipelined requests than are held. Up to then the bytes are read and dropped, and the connection closes
/// after the response.
const MAX_DISCARDED: usize = 4 << 20;
/// The maximum number of bytes read in one turn of the task: a client that sends at full speed must not delay
/// others.
const MAX_READ_PER_TURN: usize = 16 * 1024;
/// The maximum number of bytes that actix-http is given in one turn of the task. It reads on until there are no more,
/// and never uses a smaller buffer again.
const MAX_GIVEN_PER_TURN: usize = 4 * 1024;
/// The room in actix-http's buffer below which it is enlarged, in bytes.
const LIBRARY_MIN_ROOM: usize = 1024;
/// The size of the buffer for bytes that are held or dropped.
const BUFFER_SIZE: usize = 4096;

/// A client's connection as actix-http reads it.
pub struct ClientStream {
    socket: Rc<RefCell<Uninterrupted<TcpStream>>>,
    connection: Rc<Connection>,
    /// Bytes that actix-http has not been given yet.
    read_ahead: ReadAhead,
    /// Whether all bytes that are read belong to the present request, or are the beginning of the next one.
    has_one_request: bool,
    /// How many of the bytes that are held were there when they were scanned last for the end of a head.
    scanned: usize,
    /// The number of bytes that actix-http was given since the task last yielded to others.
    read_in_turn: usize,
    /// Whether no more bytes arrive: the client closed the connection, or it was lost.
    read_ended: bool,
    /// Whether the sending half is closed.
    write_ended: bool,
}

/// Returns how many bytes actix-http is given at a time, so that it does not enlarge the buffer that it reads into:
/// it makes room for 8 KiB whenever there is room for less than [`LIBRARY_MIN_ROOM`].
fn max_given(out: &ReadBuf<'_>) -> usize {
    let room = out.remaining();
    room.saturating_sub(LIBRARY_MIN_ROOM).max(room.div_ceil(2)).min(MAX_GIVEN_PER_TURN)
}

/// What came of reading bytes to hold them.
enum Hold {
    /// Nothing has arrived, or there is no memory for it.
    Nothing,
    /// Bytes are held.
    Bytes,
    /// The bytes exceed the limit of the connection.
    Overflow,
    /// No more bytes arrive.
    Ended,
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
            has_one_request: false,
            scanned: 0,
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

    /// Remembers to wake the task when the connection may be read again.
    fn wait_to_read(&mut self, cx: &Context<'_>) {
        self.read_in_turn = 0;
        self.connection.reader.replace(Some(cx.waker().clone()));
    }

    /// Reads and holds what the client sends before its request is answered, because a client's close can only be
    /// read after all that the client sent. If it exceeds the limit of the connection, all of it is dropped and the
    /// connection is marked as overflowed.
    fn poll_read_ahead(&mut self, cx: &mut Context<'_>) {
        if self.connection.closes_when_idle.get() {
            // The connection closes after the requests that it already has. A close by the client is detected
            // without reading the rest (`Connection::is_closed_by_client`).
            return self.wait_to_read(cx);
        }
        for _ in 0..MAX_READ_PER_TURN / BUFFER_SIZE {
            match self.poll_hold(cx) {
                Hold::Nothing => return self.wait_to_read(cx),
                Hold::Ended => {
                    self.connection.close_requested.notify_one();
                    return;
                }
                Hold::Bytes => {}
                Hold::Overflow => {
                    self.drop_read_ahead();
                    self.connection.read_ahead_overflowed.set(true);
                    break;
                }
            }
        }
        cx.waker().wake_by_ref();
    }

    /// Reads bytes from the socket once, and holds them.
    fn poll_hold(&mut self, cx: &mut Context<'_>) -> Hold {
        let room = match self.read_ahead.len() {
            held if held < FIRST_READ_BYTES => FIRST_READ_BYTES - held,
            _ => BUFFER_SIZE,
        };
        if !self.read_ahead.has_total_room(room) {
            self.connection.memory.set_starved(true);
            return Hold::Nothing;
        }
        if !self.connection.memory.reserve_read_ahead(room) {
            return Hold::Nothing;
        }
        let mut buffer = [0; BUFFER_SIZE];
        let mut part = ReadBuf::new(&mut buffer[..room]);
        let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
            self.connection.memory.release_read_ahead(room);
            return Hold::Nothing;
        };
        let bytes = part.filled();
        self.connection.memory.release_read_ahead(room - bytes.len());
        if read.is_err() || bytes.is_empty() {
            self.read_ended = true;
            return Hold::Ended;
        }
        self.record_arrival(bytes.len());
        if !self.read_ahead.push(bytes) {
            self.connection.memory.release_read_ahead(bytes.len());
            return Hold::Overflow;
        }
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
        Hold::Bytes
    }

    /// Consumes held bytes that the library was given.
    fn consume_read_ahead(&mut self, count: usize) {
        self.read_ahead.consume(count);
        self.scanned = 0;
        self.connection.memory.release_read_ahead(count);
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
    }

    fn drop_read_ahead(&mut self) {
        self.consume_read_ahead(self.read_ahead.len());
    }

    /// Records that `count` bytes were read from the socket.
    fn record_arrival(&self, count: usize) {
        let now = Instant::now();
        let mut arrivals = self.connection.arrivals.borrow_mut();
        if self.connection.is_idle() && self.read_ahead.is_empty() {
            arrivals.restart();
        }
        if self.has_one_request {
            arrivals.arrived_of_one_request(now, count);
        } else {
            arrivals.arrived(now, count);
        }
        self.connection.last_read_at.set(now);
    }

    /// Counts `count` bytes that actix-http was given.
    fn count_given(&mut self, count: usize) {
        self.read_in_turn += count;
        self.connection.stage_bytes.set(self.connection.stage_bytes.get() + count);
    }

    /// Gives actix-http the next head, once it is complete and the response to the last request is written.
    fn poll_head(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_write_blocked.get() {
            self.poll_read_ahead(cx);
            return Poll::Pending;
        }
        for _ in 0..MAX_READ_PER_TURN / BUFFER_SIZE {
            if !self.read_ahead.is_empty() && self.connection.is_idle() {
                self.connection.enter(Stage::ReadingHead);
            }
            match self.scan_head() {
                HeadScan::Complete { length, fields } => {
                    if !self.connection.memory.reserve_head(length, fields) {
                        self.wait_to_read(cx);
                        return Poll::Pending;
                    }
                    return self.give_head(length, out);
                }
                // The library finds the same error, responds to it, and closes.
                HeadScan::Malformed => return self.give_head(self.read_ahead.len(), out),
                HeadScan::Incomplete => {}
            }
            self.scanned = self.read_ahead.len();
            self.connection.check_head_size(self.scanned)?;
            self.has_one_request = true;
            let held = self.poll_hold(cx);
            self.has_one_request = false;
            match held {
                Hold::Bytes => {}
                Hold::Ended => return Poll::Ready(Ok(())),
                Hold::Overflow | Hold::Nothing => {
                    if self.connection.closes_when_idle.get() && self.connection.is_idle() {
                        return Poll::Ready(Ok(()));
                    }
                    self.wait_to_read(cx);
                    return Poll::Pending;
                }
            }
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }

    fn scan_head(&self) -> HeadScan {
        match self.read_ahead.len() {
            count if count == self.scanned => HeadScan::Incomplete,
            _ => HeadScan::of(self.read_ahead.bytes()),
        }
    }

    /// Gives actix-http bytes of a head of which `length` bytes are still to be given.
    fn give_head(&mut self, length: usize, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let count = length.min(max_given(out));
        out.put_slice(&self.read_ahead.bytes()[..count]);
        self.consume_read_ahead(count);
        self.count_given(count);
        *self.connection.framing.borrow_mut().part() = match length - count {
            0 => RequestPart::ParsingHead,
            remaining => RequestPart::Head { remaining },
        };
        Poll::Ready(Ok(()))
    }

    /// Gives actix-http bytes of the body, as many as are waited for.
    fn poll_body(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        if !self.connection.wants_bytes(MAX_UNWANTED_BODY) {
            self.wait_to_read(cx);
            return Poll::Pending;
        }
        if !self.read_ahead.is_empty() {
            let held = self.read_ahead.bytes();
            let part = &held[..held.len().min(max_given(out))];
            let count = self.connection.framing.borrow_mut().advance_body(part);
            out.put_slice(&part[..count]);
            self.consume_read_ahead(count);
            self.body_given(count);
            return Poll::Ready(Ok(()));
        }
        self.poll_body_from_socket(cx, out)
    }

    fn poll_body_from_socket(&mut self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        let mut buffer = [0; BUFFER_SIZE];
        let readable = match self.connection.framing.borrow_mut().part() {
            RequestPart::Body(end) => end.readable().unwrap_or(BUFFER_SIZE),
            _ => 0,
        };
        let mut part = ReadBuf::new(&mut buffer[..readable.min(max_given(out))]);
        let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
            self.wait_to_read(cx);
            return Poll::Pending;
        };
        let bytes = part.filled();
        self.read_ended = bytes.is_empty();
        if self.read_ended && self.connection.has_request() {
            // The request is cancelled now, and not only after the data being sent to the client.
            self.connection.close_requested.notify_one();
        }
        read?;
        self.has_one_request = true;
        self.record_arrival(bytes.len());
        self.has_one_request = false;
        let count = self.connection.framing.borrow_mut().advance_body(bytes);
        out.put_slice(&bytes[..count]);
        self.body_given(count);
        self.hold_rest(&bytes[count..]);
        Poll::Ready(Ok(()))
    }

    fn body_given(&mut self, count: usize) {
        self.connection.body_given(count);
        self.count_given(count);
    }

    /// Holds the few bytes that were read behind a body.
    fn hold_rest(&mut self, bytes: &[u8]) {
        if !bytes.is_empty() && self.connection.memory.reserve_read_ahead(bytes.len()) {
            let is_held = self.read_ahead.push(bytes);
            self.connection.read_ahead_overflowed.set(!is_held);
        } else if !bytes.is_empty() {
            self.connection.read_ahead_overflowed.set(true);
        }
        self.connection.read_ahead_bytes.set(self.read_ahead.len());
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
    /// Drops bytes until the present response is sent. Requests that the connection be closed at once if the
    /// client closes it, or sends more than [`MAX_DISCARDED`].
    fn poll_overflow(&mut self, cx: &mut Context<'_>) {
        let ended = self.poll_discard(cx).is_ready();
        if ended || self.connection.stage_bytes.get() >= MAX_DISCARDED {
            self.connection.close_requested.notify_one();
        }
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read_in_turn >= MAX_GIVEN_PER_TURN {
            self.read_in_turn = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if self.connection.has_read_ahead_overflowed() {
            self.poll_overflow(cx);
            return Poll::Pending;
        }
        if self.connection.stage.get() == Stage::Closing {
            self.drop_read_ahead();
            return self.poll_discard(cx).map(Ok);
        }
        let next = self.connection.next_part();
        match next {
            NextPart::Head => self.poll_head(cx, out),
            NextPart::RestOfHead(remaining) => self.give_head(remaining, out),
            NextPart::Body => self.poll_body(cx, out),
            NextPart::Nothing => {
                self.read_in_turn = 0;
                self.poll_read_ahead(cx);
                Poll::Pending
            }
        }
    }
}

impl AsyncWrite for ClientStream {
    fn poll_write(self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        let written = Pin::new(&mut *self.socket.borrow_mut()).poll_write(cx, bytes);
        self.connection.is_write_blocked.set(written.is_pending());
        let written = ready!(written)?;
        self.connection.memory.response_written(written);
        Poll::Ready(Ok(written))
    }

    /// Called by actix-http when everything is written that it had to write.
    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.connection.is_write_blocked.replace(false) {
            self.connection.wake_reader();
        }
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
