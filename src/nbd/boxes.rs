//! Attempts at disk boxes, as an NBD client.

use super::codec::*;
use crate::broker::{AttemptProgress, AttemptResult};
use crate::outcome::TransportOutcome;
use crate::runtime::host::{Errand, Tell};
use crate::runtime::sockets::{connect, connect_outcome, Uninterrupted};
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::RefCell;
use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The most that a box may say in an option reply or an error's text.
const TEXT_MOST: u32 = 4096;
/// Idle connections kept to one box.
const IDLE_MOST: usize = 16;
/// Option replies that a box may send before it comes to the point.
const REPLIES_MOST: usize = 64;

/// The connections to boxes that wait for work.
pub struct Boxes {
    /// The name of the export that boxes give.
    pub export: String,
    /// A connection and its handshake take at most so long.
    pub connect_timeout: Duration,
    /// Shorter than a box keeps an idle connection.
    pub idle_most: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<(Instant, Link)>>>,
}

/// One connection past its handshake.
struct Link {
    stream: BufReader<Uninterrupted<TcpStream>>,
    flags: u16,
    structured: bool,
    cookie: u64,
}

/// What a piece of a client's request asks of one box.
#[derive(Clone)]
pub struct Piece {
    /// The connections.
    pub boxes: Rc<Boxes>,
    /// READ, WRITE or FLUSH.
    pub command: u16,
    /// A write is to be on stable storage before its reply.
    pub fua: bool,
    /// Where, on the box.
    pub offset: u64,
    /// How many bytes.
    pub length: u32,
    /// What is written.
    pub data: Bytes,
}

impl Boxes {
    /// No connection is open yet.
    pub fn new(export: String, connect_timeout: Duration, idle_most: Duration) -> Self {
        Boxes { export, connect_timeout, idle_most, idle: RefCell::default() }
    }

    /// A connection that waits for work; one that the box has closed or written to meanwhile is dropped.
    fn take(&self, to: SocketAddr) -> Option<Link> {
        let mut idle = self.idle.borrow_mut();
        let links = idle.get_mut(&to)?;
        while let Some((since, link)) = links.pop() {
            let quiet = link.stream.buffer().is_empty()
                && matches!(link.stream.get_ref().0.try_read(&mut [0]), Err(e) if e.kind() == io::ErrorKind::WouldBlock);
            if quiet && since.elapsed() < self.idle_most {
                return Some(link);
            }
        }
        None
    }

    fn put(&self, to: SocketAddr, link: Link) {
        let mut idle = self.idle.borrow_mut();
        for links in idle.values_mut() {
            links.retain(|(since, _)| since.elapsed() < self.idle_most);
        }
        idle.retain(|_, links| !links.is_empty());
        let links = idle.entry(to).or_default();
        if links.len() < IDLE_MOST {
            links.push((Instant::now(), link));
        }
    }

    async fn link(&self, to: SocketAddr) -> Result<Link, TransportOutcome> {
        if let Some(link) = self.take(to) {
            return Ok(link);
        }
        let open = async {
            let connected = connect(to, self.connect_timeout).await;
            let stream = connected.map_err(|why| connect_outcome(&why))?;
            let _ = stream.set_nodelay(true);
            Link::handshake(stream, &self.export).await.map_err(|_| TransportOutcome::HandshakeFailed)
        };
        tokio::time::timeout(self.connect_timeout, open)
            .await
            .unwrap_or(Err(TransportOutcome::ConnectTimedOut))
    }
}

impl Errand for Piece {
    fn attempt(&self, to: SocketAddr, _wait: Duration, tell: Tell) -> LocalBoxFuture<'static, AttemptResult> {
        let piece = self.clone();
        async move {
            let mut link = match piece.boxes.link(to).await {
                Ok(link) => link,
                Err(end) => return AttemptResult::without_response(end),
            };
            tell(AttemptProgress::WriteStarted);
            match link.exchange(&piece).await {
                Ok((end, body)) => {
                    piece.boxes.put(to, link);
                    AttemptResult { body, ..AttemptResult::without_response(end) }
                }
                // Dropped with the link: what may still come on it belongs to nobody.
                Err(end) => AttemptResult::without_response(end),
            }
        }
        .boxed_local()
    }
}

impl Link {
    async fn handshake(stream: TcpStream, export: &str) -> io::Result<Self> {
        let mut stream = BufReader::new(Uninterrupted(stream));
        if stream.read_u64().await? != INIT_MAGIC || stream.read_u64().await? != OPT_MAGIC {
            return Err(strange("not a newstyle server"));
        }
        let flags = stream.read_u16().await?;
        if flags & FIXED_NEWSTYLE == 0 {
            return Err(strange("not a fixed newstyle server"));
        }
        let ours = flags & (FIXED_NEWSTYLE | NO_ZEROES);
        stream.write_all(&u32::from(ours).to_be_bytes()).await?;
        let mut link = Link { stream, flags: 0, structured: false, cookie: 0 };
        link.stream.write_all(&option(opt::STRUCTURED_REPLY, &[])).await?;
        link.structured = link.option_reply(opt::STRUCTURED_REPLY).await?.0 == rep::ACK;
        link.stream.write_all(&option(opt::GO, &info_request(export, &[]))).await?;
        for _ in 0..REPLIES_MOST {
            match link.option_reply(opt::GO).await? {
                (rep::ACK, _) if link.flags & has::FLAGS != 0 => return Ok(link),
                (rep::INFO, data) if data.len() == 12 && data[..2] == info::EXPORT.to_be_bytes() => {
                    link.flags = u16::from_be_bytes([data[10], data[11]]);
                }
                (rep::INFO, _) => {}
                (rep::ERR_UNSUP, _) => return link.export_name(export, ours & NO_ZEROES == 0).await,
                _ => return Err(strange("the export was refused")),
            }
        }
        Err(strange("no end of option replies"))
    }

    /// For servers that do not know GO.
    async fn export_name(mut self, export: &str, zeroes: bool) -> io::Result<Self> {
        self.stream.write_all(&option(opt::EXPORT_NAME, export.as_bytes())).await?;
        self.stream.read_u64().await?;
        self.flags = self.stream.read_u16().await?;
        if zeroes {
            self.stream.read_exact(&mut [0; 124]).await?;
        }
        Ok(self)
    }

    async fn option_reply(&mut self, asked: u32) -> io::Result<(u32, Vec<u8>)> {
        let (magic, option) = (self.stream.read_u64().await?, self.stream.read_u32().await?);
        let (kind, length) = (self.stream.read_u32().await?, self.stream.read_u32().await?);
        if magic != REP_MAGIC || option != asked || length > TEXT_MOST {
            return Err(strange("not a reply to the option"));
        }
        let mut data = vec![0; length as usize];
        self.stream.read_exact(&mut data).await?;
        Ok((kind, data))
    }

    /// One request and its whole reply; an error is the end of the connection.
    async fn exchange(&mut self, piece: &Piece) -> Result<(TransportOutcome, Bytes), TransportOutcome> {
        // A flush may go over another connection; where that does not cover this one's writes, they do not wait.
        let alone = self.flags & has::MULTI_CONN == 0;
        let stable = (piece.fua || alone) && piece.command == cmd::WRITE;
        if piece.command == cmd::FLUSH && self.flags & has::FLUSH == 0 {
            return Ok((TransportOutcome::Complete, Bytes::new())); // Such a box has nothing that is not on stable storage.
        }
        let fua = stable && self.flags & has::FUA != 0;
        let (end, body) = self.command(piece.command, fua, piece.offset, piece.length, &piece.data).await?;
        if end == TransportOutcome::Complete && stable && !fua && self.flags & has::FLUSH != 0 {
            return self.command(cmd::FLUSH, false, 0, 0, &Bytes::new()).await;
        }
        Ok((end, body))
    }

    async fn command(
        &mut self,
        command: u16,
        fua: bool,
        offset: u64,
        length: u32,
        data: &Bytes,
    ) -> Result<(TransportOutcome, Bytes), TransportOutcome> {
        self.cookie += 1;
        let flags = if fua { flag::FUA } else { 0 };
        let mut out = Request { flags, command, cookie: self.cookie, offset, length }.bytes();
        out.extend_from_slice(data);
        self.stream.write_all(&out).await.map_err(|_| TransportOutcome::LostWhileWriting)?;
        let magic = self.stream.read_u32().await.map_err(|_| TransportOutcome::LostAwaitingResponse)?;
        let want = if command == cmd::READ { length } else { 0 };
        let reply = match magic {
            SIMPLE_MAGIC if !(self.structured && command == cmd::READ) => self.simple(want).await,
            CHUNK_MAGIC if self.structured => self.chunks(offset, want).await,
            _ => Err(strange("not a reply")),
        };
        let (error, body) = reply.map_err(|_| TransportOutcome::TruncatedResponse)?;
        Ok(match error {
            0 => (TransportOutcome::Complete, body.into()),
            // It is stopping, and says so of what changes nothing: another box may be asked.
            errno::SHUTDOWN if command != cmd::WRITE => (TransportOutcome::Rejected, Bytes::new()),
            _ => (TransportOutcome::EndpointError, Bytes::new()),
        })
    }

    async fn simple(&mut self, want: u32) -> io::Result<(u32, Vec<u8>)> {
        let error = self.stream.read_u32().await?;
        if self.stream.read_u64().await? != self.cookie {
            return Err(strange("a reply to another request"));
        }
        let mut body = vec![0; if error == 0 { want as usize } else { 0 }];
        self.stream.read_exact(&mut body).await?;
        Ok((error, body))
    }

    /// The chunks of one reply, the first one's magic number already read. What one error chunk says goes
    /// for the whole reply, data that came before it included.
    async fn chunks(&mut self, start: u64, want: u32) -> io::Result<(u32, Vec<u8>)> {
        let (mut body, mut error) = (vec![0; want as usize], 0);
        let mut parts: Vec<(u64, u64)> = Vec::new();
        loop {
            let (flags, kind) = (self.stream.read_u16().await?, self.stream.read_u16().await?);
            let (cookie, length) = (self.stream.read_u64().await?, self.stream.read_u32().await?);
            if cookie != self.cookie {
                return Err(strange("a chunk of another reply"));
            }
            match kind {
                chunk::NONE if length == 0 && flags & chunk::DONE != 0 => {}
                chunk::OFFSET_DATA | chunk::OFFSET_HOLE if length > 8 => {
                    let at = self.stream.read_u64().await?.wrapping_sub(start);
                    let hole = kind == chunk::OFFSET_HOLE;
                    let size =
                        if hole { u64::from(self.stream.read_u32().await?) } else { u64::from(length) - 8 };
                    let end = at.checked_add(size).filter(|end| *end <= u64::from(want));
                    let Some(end) = end.filter(|_| !hole || length == 12) else {
                        return Err(strange("a chunk outside its request"));
                    };
                    if !hole {
                        self.stream.read_exact(&mut body[at as usize..end as usize]).await?;
                    }
                    parts.push((at, end));
                }
                kind if kind & chunk::IS_ERROR != 0 && (6..=TEXT_MOST).contains(&length) => {
                    let code = self.stream.read_u32().await?;
                    self.stream.read_exact(&mut vec![0; length as usize - 4]).await?;
                    error = if error == 0 { code.max(1) } else { error };
                }
                _ => return Err(strange("an unknown chunk")),
            }
            if flags & chunk::DONE != 0 {
                break;
            }
            if self.stream.read_u32().await? != CHUNK_MAGIC {
                return Err(strange("a chunk without its magic number"));
            }
        }
        parts.sort_unstable();
        let gapless = parts.windows(2).all(|p| p[0].1 == p[1].0);
        let spans =
            parts.first().map_or(0, |p| p.0) == 0 && parts.last().map_or(0, |p| p.1) == u64::from(want);
        if error == 0 && !(gapless && spans) {
            return Err(strange("a reply with parts missing or sent twice"));
        }
        Ok((error, body))
    }
}
