//! A connection to a box as awc reads it: one answer for each request, and not a byte more.
//!
//! awc takes a 1xx answer for the final one, and drops without a word what it read past an answer's end, so
//! that the rest of it would be read as the next request's answer. Both are kept from it here.

use crate::broker::AttemptProgress;
use crate::runtime::host::Tell;
use crate::runtime::sockets::Uninterrupted;
use actix_rt::net::{ActixStream, Ready};
use bytes::{Buf, BytesMut};
use httparse::{Response, Status, EMPTY_HEADER};
use memchr::memmem;
use socket2::SockRef;
use std::cell::{Cell, RefCell};
use std::io;
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::rc::Rc;
use std::task::{ready, Context, Poll};
use std::time::{Duration, Instant};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A head holds a few short lines; one that goes on and on is spoilt.
const HEAD_MOST: usize = 16 * 1024;
const HEADERS_MOST: usize = 96;
/// Answers of the kind 1xx that may come before the final one.
const INTERIM_MOST: u32 = 16;
/// Where the status stands in a head.
const FIRST_DIGIT: usize = 9;
const CHUNK: usize = 8 * 1024;

/// What is read at present.
#[derive(Debug, PartialEq)]
enum Reading {
    /// Nothing is owed: whatever comes belongs to nobody.
    Nothing,
    /// An answer's head, after so many interim ones.
    Head(u32),
    /// So many bytes more, of head and body.
    Answer(u64),
    /// A chunked body, so far.
    Chunked(Chunks),
    /// An answer that ends with its connection: all that comes.
    All,
    /// Something came that belongs to no request, or can't be read. There is no more to read here.
    Spoilt,
}

tokio::task_local! {
    /// Told how far the attempt that is being polled is: that its first byte goes out, and that the first bytes
    /// of its final answer are there.
    pub static NEWS: Rc<Tell>;
    /// When the attempt that is being polled is waited for no more, where that is known as it is written.
    pub static UNTIL: Option<Instant>;
}

/// The header that tells a box how long its answer is waited for, as it stands in a request's head.
const EXPIRES: &[u8] = b"\r\nx-expires-in: ";
/// What it says may be so old.
const STAMP_AGE: Duration = Duration::from_millis(5);

/// What that header is to say instead: a connection may have come up long after the head was made.
#[derive(Debug)]
struct Stamp {
    /// Where in the request its value begins, and how far the request is written.
    at: usize,
    written: usize,
    value: Vec<u8>,
}

impl Stamp {
    /// `None`: the request says what is so, or nothing of it.
    fn of(head: &[u8]) -> Option<Self> {
        let until = UNTIL.try_with(|until| *until).ok()??;
        let end = memmem::find(head, b"\r\n\r\n")?;
        let at = memmem::find(&head[..end], EXPIRES)? + EXPIRES.len();
        let length = head[at..].iter().position(|b| *b == b'\r')?;
        let said: f64 = std::str::from_utf8(&head[at..at + length]).ok()?.parse().ok()?;
        let left = until.saturating_duration_since(Instant::now()).as_secs_f64();
        let value = format!("{left:0length$.3}").into_bytes();
        let stamp = Stamp { at, written: 0, value };
        (said > left + STAMP_AGE.as_secs_f64() && stamp.value.len() == length).then_some(stamp)
    }

    /// What is to be written next, in place of these bytes or of some of them; `None`: nothing of its own any more.
    fn next<'a>(&'a self, bytes: &'a [u8]) -> Option<&'a [u8]> {
        match self.written.checked_sub(self.at) {
            None => Some(&bytes[..bytes.len().min(self.at - self.written)]),
            Some(done) => self.value.get(done..).filter(|rest| !rest.is_empty()),
        }
    }
}

/// How far a chunked body has come. awc reads its bytes; here is only kept where it ends.
#[derive(Debug, PartialEq)]
enum Chunks {
    /// In a size, and whether its digits are over.
    Size(u64, bool),
    /// So many bytes of data are to come.
    Data(u64),
    /// Behind the data of a chunk.
    Behind,
    /// In the trailers, with so many bytes in the present line.
    Trailer(usize),
    Done,
}

impl Chunks {
    /// How many of these bytes belong to the body.
    fn take(&mut self, bytes: &[u8]) -> usize {
        let mut at = 0;
        while at < bytes.len() && *self != Chunks::Done {
            let byte = bytes[at];
            let mut step = 1;
            *self = match (&*self, byte) {
                (Chunks::Data(left), _) => {
                    step = (bytes.len() - at).min(usize::try_from(*left).unwrap_or(usize::MAX));
                    match left - step as u64 {
                        0 => Chunks::Behind,
                        left => Chunks::Data(left),
                    }
                }
                (Chunks::Size(0, _), b'\n') => Chunks::Trailer(0),
                (Chunks::Size(size, _), b'\n') => Chunks::Data(*size),
                (Chunks::Size(size, over), _) => match (byte as char).to_digit(16).filter(|_| !over) {
                    Some(digit) => {
                        Chunks::Size(size.saturating_mul(16).saturating_add(u64::from(digit)), false)
                    }
                    None => Chunks::Size(*size, true),
                },
                (Chunks::Behind, b'\n') => Chunks::Size(0, false),
                (Chunks::Behind, _) => Chunks::Behind,
                (Chunks::Trailer(0), b'\n') => Chunks::Done,
                (Chunks::Trailer(_), b'\n') => Chunks::Trailer(0),
                (Chunks::Trailer(length), b'\r') => Chunks::Trailer(*length),
                (Chunks::Trailer(length), _) => Chunks::Trailer(length + 1),
                (Chunks::Done, _) => Chunks::Done,
            };
            at += step;
        }
        at
    }
}

/// After a box has sent something that belongs to no request, none of its connections carries a second one for so long:
/// what comes as late as that, but behind the next request, would be taken for that one's answer.
const DISTRUSTED: Duration = Duration::from_secs(30);

/// What is known of one box's connections.
#[derive(Debug)]
pub struct Manner {
    idling: Rc<Idling>,
    strayed: Cell<Option<Instant>>,
}

impl Manner {
    /// Nothing yet, but for what all boxes' idle connections have shown.
    pub fn new(idling: Rc<Idling>) -> Self {
        Manner { idling, strayed: Cell::new(None) }
    }

    fn allows(&self, idle: Duration) -> bool {
        self.strayed.get().is_none_or(|at| at.elapsed() > DISTRUSTED) && self.idling.allows(idle)
    }
}

/// One of the connections that are open to boxes.
#[derive(Debug)]
pub struct Counted(Rc<Cell<usize>>);

impl Counted {
    /// One more.
    pub fn new(open: &Rc<Cell<usize>>) -> Self {
        open.set(open.get() + 1);
        Counted(open.clone())
    }
}

impl Drop for Counted {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// How long connections may be idle and still be used. What stands on the way may forget idle ones sooner than
/// the settings say, and resets the next request then, which may have run.
#[derive(Debug)]
pub struct Idling {
    most: Cell<Duration>,
    /// By how long they were idle, each span twice the last: requests begun, and those reset unanswered.
    spans: RefCell<[(u32, u32); SPANS]>,
    halved: Cell<Instant>,
}

const SPANS: usize = 10;
const FIRST_SPAN: Duration = Duration::from_millis(25);
/// A span is not used while so many in it were reset, and so large a part of them; resets that have nothing to
/// do with idling are rarer, and come after short rests as well.
const RESETS: (u32, f64) = (3, 0.2);
/// What was seen counts half after so long.
const HALVES: Duration = Duration::from_secs(30);

impl Idling {
    /// So long by the settings.
    pub fn new(most: Duration) -> Self {
        Idling { most: Cell::new(most), spans: RefCell::default(), halved: Cell::new(Instant::now()) }
    }

    /// So long by newer settings.
    pub fn retune(&self, most: Duration) {
        self.most.set(most);
    }

    fn span(idle: Duration) -> usize {
        let spans = (1..SPANS).take_while(|n| idle >= FIRST_SPAN * (1 << (n - 1)));
        spans.count()
    }

    /// A connection idle for so long may be used.
    pub fn allows(&self, idle: Duration) -> bool {
        let mut spans = self.spans.borrow_mut();
        if self.halved.get().elapsed() > HALVES {
            self.halved.set(Instant::now());
            spans.iter_mut().for_each(|(begun, reset)| (*begun, *reset) = (*begun / 2, *reset / 2));
        }
        let harms = |(begun, reset): &(u32, u32)| {
            *reset >= RESETS.0 && f64::from(*reset) >= RESETS.1 * f64::from(*begun)
        };
        idle < self.most.get() && !spans[..=Self::span(idle)].iter().any(harms)
    }

    /// A request was begun after so long, and was answered or reset.
    pub fn note(&self, idle: Duration, answered: bool) {
        let (begun, reset) = &mut self.spans.borrow_mut()[Self::span(idle)];
        (*begun, *reset) = (*begun + 1, *reset + u32::from(!answered));
    }
}

/// One connection.
#[derive(Debug)]
pub struct BoxStream {
    socket: Uninterrupted<TcpStream>,
    reading: Reading,
    held: BytesMut,
    manner: Rc<Manner>,
    _counted: Counted,
    /// Since when nothing is owed; `None` before its first request.
    since: Option<Instant>,
    /// How long it was idle before the present request.
    idle: Option<Duration>,
    /// The present request asks for a head alone.
    bare: bool,
    /// Its final answer has begun to come.
    begun: bool,
    /// So many bytes of a chunked answer's head are still to be passed on.
    head: usize,
    /// What the present request's head is to say instead.
    stamp: Option<Stamp>,
}

impl BoxStream {
    /// Past its connect.
    pub fn new(socket: TcpStream, manner: Rc<Manner>, counted: Counted) -> Self {
        BoxStream {
            socket: Uninterrupted(socket),
            reading: Reading::Nothing,
            held: BytesMut::new(),
            manner,
            _counted: counted,
            since: None,
            idle: None,
            bare: false,
            begun: false,
            head: 0,
            stamp: None,
        }
    }

    /// Whether the present request, on a connection that was idle before, is being answered.
    fn note(&mut self, answered: bool) {
        if let Some(idle) = self.idle.take() {
            self.manner.idling.note(idle, answered);
        }
    }

    /// More bytes into `held`; how many came.
    fn poll_more(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<usize>> {
        self.held.reserve(CHUNK);
        tokio_util::io::poll_read_buf(Pin::new(&mut self.socket), cx, &mut self.held)
    }

    /// Reads as far as the final answer's head and says how many bytes the answer has.
    fn poll_head(&mut self, cx: &mut Context<'_>, mut interim: u32) -> Poll<io::Result<Reading>> {
        loop {
            match head(&self.held) {
                Some(Ok((status, length, _))) if status / 100 == 1 => {
                    self.held.advance(length);
                    interim += 1;
                    self.reading = Reading::Head(interim);
                    if interim > INTERIM_MOST {
                        return Poll::Ready(Err(spoilt("no final answer")));
                    }
                }
                Some(Ok((status, head, _))) if self.bare || matches!(status, 204 | 304) => {
                    return Poll::Ready(Ok(Reading::Answer(head as u64)))
                }
                Some(Ok((_, head, Body::Stated(body)))) => {
                    return Poll::Ready(Ok(Reading::Answer(head as u64 + body)))
                }
                Some(Ok((_, head, Body::Chunked))) => {
                    self.head = head;
                    return Poll::Ready(Ok(Reading::Chunked(Chunks::Size(0, false))));
                }
                Some(Ok((_, _, Body::ToTheEnd))) => {
                    // Of HTTP/1.1 awc takes such an answer for one without a body.
                    if self.held.starts_with(b"HTTP/1.1") {
                        self.held[7] = b'0';
                    }
                    return Poll::Ready(Ok(Reading::All));
                }
                Some(Err(why)) => return Poll::Ready(Err(why)),
                None if self.held.len() >= HEAD_MOST => {
                    return Poll::Ready(Err(spoilt("a head without end")))
                }
                None => {
                    let more = ready!(self.poll_more(cx));
                    self.note(more.as_ref().is_ok_and(|count| *count > 0));
                    if more? == 0 {
                        return Poll::Ready(Ok(Reading::All));
                    }
                    // Slow boxes write a head in pieces as well: past the first digit it is no interim answer.
                    if !self.begun && self.held.get(FIRST_DIGIT).is_some_and(|digit| *digit != b'1') {
                        self.begun = true;
                        // Where nobody waits for that there is nothing to tell.
                        let _ = NEWS.try_with(|tell| tell(AttemptProgress::ResponseStarted));
                    }
                }
            }
        }
    }
}

/// Where an answer's body ends.
enum Body {
    /// After so many bytes.
    Stated(u64),
    /// After its last chunk.
    Chunked,
    /// With its connection.
    ToTheEnd,
}

/// The status, length and body of a head; `None`: more bytes are needed.
fn head(bytes: &[u8]) -> Option<io::Result<(u16, usize, Body)>> {
    let mut headers = [EMPTY_HEADER; HEADERS_MOST];
    let mut response = Response::new(&mut headers);
    match response.parse(bytes) {
        Ok(Status::Partial) => None,
        Err(why) => Some(Err(spoilt(&why.to_string()))),
        Ok(Status::Complete(length)) => {
            let named = |name: &str| {
                response.headers.iter().filter(|h| h.name.eq_ignore_ascii_case(name)).collect::<Vec<_>>()
            };
            let stated = match named("Content-Length")[..] {
                [] => Ok(None),
                [one] => match std::str::from_utf8(one.value)
                    .ok()
                    .filter(|v| v.bytes().all(|b| b.is_ascii_digit()))
                    .and_then(|v| v.parse().ok())
                {
                    Some(length) => Ok(Some(length)),
                    None => Err(spoilt("a length that is no number")),
                },
                _ => Err(spoilt("two lengths")),
            };
            let chunked = match named("Transfer-Encoding")[..] {
                [] => Ok(false),
                [one] if one.value.trim_ascii().eq_ignore_ascii_case(b"chunked") => Ok(true),
                _ => Err(spoilt("an unknown encoding")),
            };
            let body = match (stated, chunked) {
                (Err(why), _) | (_, Err(why)) => Err(why),
                (Ok(Some(_)), Ok(true)) => Err(spoilt("a length and an encoding")),
                (Ok(Some(length)), _) => Ok(Body::Stated(length)),
                (Ok(None), Ok(true)) => Ok(Body::Chunked),
                (Ok(None), Ok(false)) => Ok(Body::ToTheEnd),
            };
            Some(body.map(|body| (response.code.unwrap_or(0), length, body)))
        }
    }
}

/// Told from what the network does by its kind.
fn spoilt(why: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, why.to_owned())
}

impl AsyncRead for BoxStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        out: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = &mut *self;
        if let Reading::Head(interim) = this.reading {
            let found = ready!(this.poll_head(cx, interim));
            this.reading = found.inspect_err(|_| this.reading = Reading::Spoilt)?;
        }
        let left = match this.reading {
            Reading::Answer(left) => left,
            Reading::All | Reading::Chunked(_) => u64::MAX,
            // awc looks here whether an idle connection is quiet; for it an end is one that can't be used. The
            // system is asked: what tokio knows of the socket is as old as its last look at all of them.
            Reading::Nothing => {
                if this.since.is_some_and(|since| !this.manner.allows(since.elapsed())) {
                    this.reading = Reading::Spoilt;
                    return Poll::Ready(Ok(()));
                }
                let quiet = [io::ErrorKind::WouldBlock, io::ErrorKind::Interrupted];
                return match SockRef::from(&this.socket.0).peek(&mut [MaybeUninit::uninit()]) {
                    Err(error) if quiet.contains(&error.kind()) => Poll::Pending,
                    end => {
                        if end.is_ok_and(|more| more > 0) {
                            this.manner.strayed.set(Some(Instant::now()));
                        }
                        this.reading = Reading::Spoilt;
                        Poll::Ready(Ok(()))
                    }
                };
            }
            Reading::Head(_) | Reading::Spoilt => return Poll::Ready(Ok(())),
        };
        if this.held.is_empty() && ready!(this.poll_more(cx))? == 0 {
            // awc would take the chunks that came for all of them.
            let cut = matches!(this.reading, Reading::Chunked(_));
            this.reading = Reading::Spoilt;
            return Poll::Ready(if cut { Err(io::ErrorKind::UnexpectedEof.into()) } else { Ok(()) });
        }
        let count = this.held.len().min(out.remaining()).min(usize::try_from(left).unwrap_or(usize::MAX));
        let count = match &mut this.reading {
            Reading::Chunked(_) if this.head > 0 => count.min(this.head),
            Reading::Chunked(chunks) => chunks.take(&this.held[..count]),
            _ => count,
        };
        out.put_slice(&this.held[..count]);
        this.held.advance(count);
        let over = match &mut this.reading {
            Reading::Answer(left) => {
                *left -= count as u64;
                *left == 0
            }
            Reading::Chunked(chunks) => {
                this.head = this.head.saturating_sub(count);
                *chunks == Chunks::Done
            }
            _ => false,
        };
        if over {
            // What came with the answer and is no part of it is nobody's.
            this.reading = Reading::Nothing;
            if !this.held.is_empty() {
                this.manner.strayed.set(Some(Instant::now()));
                this.reading = Reading::Spoilt;
            }
            this.held = BytesMut::new();
            this.since = Some(Instant::now());
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for BoxStream {
    fn poll_write(mut self: Pin<&mut Self>, cx: &mut Context<'_>, bytes: &[u8]) -> Poll<io::Result<usize>> {
        if self.reading == Reading::Nothing {
            self.reading = Reading::Head(0);
            self.begun = false;
            self.bare = bytes.starts_with(b"HEAD ");
            self.idle = self.since.map(|since| since.elapsed());
            let _ = NEWS.try_with(|tell| tell(AttemptProgress::WriteStarted));
            self.stamp = Stamp::of(bytes);
        }
        let this = &mut *self;
        let own = this.stamp.as_ref().and_then(|stamp| stamp.next(bytes));
        let wrote = ready!(Pin::new(&mut this.socket).poll_write(cx, own.unwrap_or(bytes)))?;
        match own.is_some() {
            true => this.stamp.iter_mut().for_each(|stamp| stamp.written += wrote),
            false => this.stamp = None,
        }
        Poll::Ready(Ok(wrote))
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.socket).poll_shutdown(cx)
    }
}

impl ActixStream for BoxStream {
    fn poll_read_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_read_ready(&self.socket, cx)
    }

    fn poll_write_ready(&self, cx: &mut Context<'_>) -> Poll<io::Result<Ready>> {
        ActixStream::poll_write_ready(&self.socket, cx)
    }
}
