//! A client's connection as actix-http reads it: bounded heads, what is sent ahead of answers kept for its turn, and a close
//! that loses nothing.

use super::ahead::{Kept, KeptByAll};
use super::crowd::{Line, Stage};
use crate::runtime::sockets::Uninterrupted;
use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::Instant;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// Bytes of requests sent ahead of an answer that actix-http is given; more are kept until it has room,
const AHEAD_MOST: usize = 16 * 1024;
/// and where there is no room left for them either what comes is read and dropped, and the connection ends with the answer,
/// or at once, where it goes on for so long.
const FLOOD_MOST: usize = 4 << 20;
/// Bytes read at one go; a client that sends at full speed must not keep others waiting.
const AT_ONCE: usize = 16 * 1024;

/// A client's connection as actix-http reads it.
pub struct ClientStream {
    socket: Rc<RefCell<Uninterrupted<TcpStream>>>,
    line: Rc<Line>,
    /// Read ahead of an answer, beyond what actix-http holds.
    kept: Kept,
    at_once: usize,
    /// Nothing more comes: its client closed it, or it broke.
    ended: bool,
    /// Nothing more goes out.
    shut: bool,
}

impl ClientStream {
    /// Just accepted; `all` counts what connections keep.
    pub fn new(socket: Rc<RefCell<Uninterrupted<TcpStream>>>, line: Rc<Line>, all: KeptByAll) -> Self {
        ClientStream { socket, line, kept: Kept::new(all), at_once: 0, ended: false, shut: false }
    }

    /// Its line.
    pub fn line(&self) -> Rc<Line> {
        self.line.clone()
    }

    fn poll_socket(&self, cx: &mut Context<'_>, out: &mut ReadBuf<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.socket.borrow_mut()).poll_read(cx, out)
    }

    /// Reads on ahead of an answer and keeps what comes, for a client's close stands behind all that it sent. What there is
    /// no room for makes it a flood.
    fn poll_keep(&mut self, cx: &mut Context<'_>) {
        if self.line.ends.get() {
            // It ends with what it has; a close behind the rest shows without reading it.
            self.line.reader.replace(Some(cx.waker().clone()));
            return;
        }
        let mut room = [0; 4096];
        for _ in 0..AT_ONCE / room.len() {
            let mut part = ReadBuf::new(&mut room);
            let Poll::Ready(read) = self.poll_socket(cx, &mut part) else {
                self.line.reader.replace(Some(cx.waker().clone()));
                return;
            };
            let bytes = part.filled();
            if read.is_err() || bytes.is_empty() {
                self.ended = true;
                self.line.cut.notify_one();
                return;
            }
            self.line.arrivals.borrow_mut().came(Instant::now(), bytes.len());
            if !self.kept.push(bytes) {
                self.kept.clear();
                self.line.floods.set(true);
                break;
            }
            self.line.kept.set(self.kept.len());
        }
        cx.waker().wake_by_ref();
    }

    /// What was kept comes next, before anything else is read.
    fn give_kept(&mut self, out: &mut ReadBuf<'_>) {
        let bytes = self.kept.pop(out.remaining().min(AT_ONCE - self.at_once));
        out.put_slice(&bytes);
        self.line.kept.set(self.kept.len());
        if matches!(self.line.stage.get(), Stage::Fresh | Stage::Idle) {
            self.line.put(Stage::Head);
        }
        self.at_once += bytes.len();
        self.line.bytes.set(self.line.bytes.get() + bytes.len());
        self.line.heard.set(Instant::now());
    }

    /// Reads and drops what comes: ready once nothing more does.
    fn poll_drop(&mut self, cx: &mut Context<'_>) -> Poll<()> {
        let mut scrap = [0; 4096];
        for _ in 0..AT_ONCE / scrap.len() {
            let mut part = ReadBuf::new(&mut scrap);
            let read = ready!(self.poll_socket(cx, &mut part));
            if read.is_err() || part.filled().is_empty() {
                self.ended = true;
                return Poll::Ready(());
            }
            self.line.bytes.set(self.line.bytes.get() + part.filled().len());
        }
        cx.waker().wake_by_ref();
        Poll::Pending
    }
}

impl AsyncRead for ClientStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        let line = this.line.clone();
        if this.at_once >= AT_ONCE {
            this.at_once = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        if line.stage.get() == Stage::Taken && line.bytes.get() >= AHEAD_MOST && !line.floods.get() {
            this.poll_keep(cx);
            return Poll::Pending;
        }
        if line.floods.get() {
            let left = this.poll_drop(cx).is_ready();
            if left || line.bytes.get() >= FLOOD_MOST {
                line.cut.notify_one();
            }
            return Poll::Pending;
        }
        if !this.kept.is_empty() {
            this.give_kept(out);
            return Poll::Ready(this.line.head_has_room());
        }
        // The buffer may have room for far more than its reader is meant to hold.
        let room = out.remaining().min(AT_ONCE - this.at_once);
        let mut part = ReadBuf::new(out.initialize_unfilled_to(room));
        let Poll::Ready(read) = this.poll_socket(cx, &mut part) else {
            this.at_once = 0;
            if line.ends.get() && matches!(line.stage.get(), Stage::Fresh | Stage::Idle) {
                return Poll::Ready(Ok(()));
            }
            line.reader.replace(Some(cx.waker().clone()));
            return Poll::Pending;
        };
        let count = part.filled().len();
        this.ended = count == 0;
        if this.ended && line.is_waited_for() {
            // Its request ends now, not once what is on its way out has gone.
            line.cut.notify_one();
        }
        read?;
        out.advance(count);
        let now = Instant::now();
        if count > 0 && matches!(line.stage.get(), Stage::Fresh | Stage::Idle) {
            line.put(Stage::Head);
            line.arrivals.borrow_mut().restart();
        }
        line.arrivals.borrow_mut().came(now, count);
        this.at_once += count;
        line.bytes.set(line.bytes.get() + count);
        line.heard.set(now);
        Poll::Ready(line.head_has_room())
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
    /// nobody read would be a reset, and the last answer could be lost with it. `Stage::Leaving` bounds the wait.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if !this.shut {
            ready!(Pin::new(&mut *this.socket.borrow_mut()).poll_shutdown(cx))?;
            this.shut = true;
            this.line.put(Stage::Leaving);
        }
        if !this.ended {
            ready!(this.poll_drop(cx));
        }
        Poll::Ready(Ok(()))
    }
}
