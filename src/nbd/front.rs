//! NBD to clients: handshake, then commands, each of them one or more requests of the core.

use super::boxes::{Boxes, Piece};
use super::codec::*;
use crate::broker::{Answer, IncomingRequest};
use crate::operator::{Export, Operator};
use crate::runtime::host::Host;
use crate::runtime::listener::FrontListener;
use crate::runtime::shutdown::Shutdown;
use crate::runtime::sockets::Uninterrupted;
use crate::writeback::{WriteBackCache, WriteError};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use shaletack_writeback::Piece as BufferedPiece;
use std::collections::BTreeSet;
use std::future::Future;
use std::io;
use std::rc::Rc;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader, Interest};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{mpsc, OwnedSemaphorePermit, Semaphore};
use tokio::task::JoinSet;

/// A handshake takes at most so long, so many options, and options of so many bytes.
const HANDSHAKE: Duration = Duration::from_millis(2500);
/// A client that stops for so long in the middle of a command has left.
const STOPS: Duration = Duration::from_millis(2500);
const OPTIONS_MOST: usize = 64;
const OPTION_MOST: u32 = 8192;
/// The largest request that is served, as clients are told, and the largest write that is read to its end.
const REQUEST_MOST: u32 = 1 << 20;
const DRAINED_MOST: u32 = 32 << 20;
/// Commands of one connection in work at a time.
const PIPELINED: usize = 16;
/// What all commands in work may hold together, in KiB: a third of the platform's memory.
const MEMORY_KIB: usize = 64 << 10;
/// Whether a client is still there is looked at so often, while something that it sent is unread.
const LOOK: Duration = Duration::from_millis(20);
/// A client that takes nothing of its answers for so long has left.
const STUCK: Duration = Duration::from_secs(30);

struct Shared {
    write_back: Option<WriteBackCache>,
    host: Host,
    operator: Operator,
    boxes: Rc<Boxes>,
    memory: Arc<Semaphore>,
}

/// The two halves of a client's connection.
type Reader = BufReader<Uninterrupted<OwnedReadHalf>>;
type Writer = Uninterrupted<OwnedWriteHalf>;

/// A message for the client, and the memory it holds until it is written.
type Out = (Vec<u8>, Bytes, Option<Arc<OwnedSemaphorePermit>>);

/// Serves until `stop` ends, and then what was taken. `Err`: the buffer for writes can't be had, and nothing is
/// served.
pub async fn serve(
    host: Host,
    operator: Operator,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), String> {
    let settings = &operator.settings;
    let or = |span: Duration, other: Duration| if span.is_zero() { other } else { span };
    let connect = or(settings.connect_timeout, Duration::from_millis(250));
    let idle = or(settings.keep_alive_timeout, Duration::from_secs(5)) * 6 / 10;
    let shutdown = Shutdown::default();
    // A client's connection may have several to boxes in use.
    let most = (operator.sockets / 4).max(1);
    let listener = FrontListener {
        listener,
        host: host.clone(),
        max_connections: most,
        shutdown: shutdown.clone(),
        succeeded: Rc::new(|| false),
    };
    let boxes = Rc::new(Boxes::new(operator.box_export.clone(), connect, idle));
    let open = |settings| WriteBackCache::open(host.clone(), boxes.clone(), &operator, settings);
    let write_back = operator.write_back.as_ref().map(open).transpose().map_err(|error| error.to_string())?;
    let memory = Arc::new(Semaphore::new(MEMORY_KIB));
    let cache = write_back.clone();
    let shared = Rc::new(Shared { write_back, host, operator, boxes, memory });
    listener.serve(stop, |stream| connection(shared.clone(), shutdown.clone(), stream)).await;
    if let Some(cache) = cache {
        cache.close().await;
    }
    Ok(())
}

async fn connection(shared: Rc<Shared>, shutdown: Shutdown, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let (mut reader, mut writer) = (BufReader::new(Uninterrupted(reader)), Uninterrupted(writer));
    let shaken = tokio::time::timeout(HANDSHAKE, handshake(&shared, &mut reader, &mut writer)).await;
    let Ok(Ok(Some((export, structured)))) = shaken else { return };
    let (out, outs) = mpsc::channel(4);
    let session = Rc::new(Session { shared, export, structured, out });
    let mut writing = std::pin::pin!(write(writer, outs));
    // Whichever way a client leaves, its requests are dropped with this future, and the core is told.
    let finished = tokio::select! {
        end = session.commands(reader, shutdown) => end.is_ok(),
        () = &mut writing => false,
    };
    if finished {
        writing.await;
    }
}

/// Ends once the client has closed its connection, or its sending half: whatever it sent before and nobody has read yet, and
/// whatever the connection waits for.
async fn client_left(writer: &Writer) {
    // Where nothing comes this waits; where something came that nobody reads yet it looks now and then.
    while writer.0.as_ref().ready(Interest::READABLE).await.is_ok_and(|ready| !ready.is_read_closed()) {
        tokio::time::sleep(LOOK).await;
    }
}

/// Writes what goes to the client, until nothing more does or it has left.
async fn write(mut writer: Writer, mut outs: mpsc::Receiver<Out>) {
    loop {
        let next = tokio::select! {
            next = outs.recv() => next,
            () = client_left(&writer) => return,
        };
        let Some((head, data, _memory)) = next else { return };
        let whole = async {
            writer.write_all(&head).await?;
            writer.write_all(&data).await
        };
        if !matches!(tokio::time::timeout(STUCK, whole).await, Ok(Ok(()))) {
            return;
        }
    }
}

/// Up to the export that the client chose, and whether it takes structured replies; `None`: it left.
async fn handshake(
    shared: &Shared,
    reader: &mut Reader,
    writer: &mut Writer,
) -> io::Result<Option<(Export, bool)>> {
    let mut hello = INIT_MAGIC.to_be_bytes().to_vec();
    hello.extend(OPT_MAGIC.to_be_bytes());
    hello.extend((FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes());
    writer.write_all(&hello).await?;
    let theirs = reader.read_u32().await?;
    if theirs & !u32::from(FIXED_NEWSTYLE | NO_ZEROES) != 0 {
        return Err(strange("unknown client flags"));
    }
    let mut structured = false;
    for _ in 0..OPTIONS_MOST {
        if reader.read_u64().await? != OPT_MAGIC {
            return Err(strange("an option without its magic number"));
        }
        let (option, length) = (reader.read_u32().await?, reader.read_u32().await?);
        if length > OPTION_MOST {
            if length > DRAINED_MOST || option == opt::EXPORT_NAME {
                return Err(strange("an option too large"));
            }
            drain(reader, length).await?;
            writer.write_all(&option_reply(option, rep::ERR_TOO_BIG, &[])).await?;
            continue;
        }
        let mut data = vec![0; length as usize];
        reader.read_exact(&mut data).await?;
        let exports = &shared.operator.exports;
        let named = |name: &str| exports.iter().find(|e| e.name == name).cloned();
        let reply = match option {
            opt::EXPORT_NAME => {
                let export = String::from_utf8(data).ok().and_then(|name| named(&name));
                let Some(export) = export.filter(|_| !shared.host.is_stopping()) else { return Ok(None) };
                let mut reply = export.size.to_be_bytes().to_vec();
                reply.extend(transmission_flags(structured).to_be_bytes());
                reply.resize(if theirs & u32::from(NO_ZEROES) != 0 { 10 } else { 134 }, 0);
                writer.write_all(&reply).await?;
                return Ok(Some((export, structured)));
            }
            opt::ABORT => {
                writer.write_all(&option_reply(option, rep::ACK, &[])).await?;
                return Ok(None);
            }
            _ if shared.host.is_stopping() => option_reply(option, rep::ERR_SHUTDOWN, &[]),
            opt::LIST if data.is_empty() => {
                let server = |e: &Export| {
                    let name = [&(e.name.len() as u32).to_be_bytes(), e.name.as_bytes()].concat();
                    option_reply(option, rep::SERVER, &name)
                };
                let mut reply: Vec<u8> = exports.iter().flat_map(server).collect();
                reply.extend(option_reply(option, rep::ACK, &[]));
                reply
            }
            opt::STRUCTURED_REPLY if data.is_empty() => {
                structured = true;
                option_reply(option, rep::ACK, &[])
            }
            opt::LIST | opt::STRUCTURED_REPLY => option_reply(option, rep::ERR_INVALID, &[]),
            opt::INFO | opt::GO => match parse_info_request(&data) {
                None => option_reply(option, rep::ERR_INVALID, &[]),
                Some((name, asks)) => match named(&name) {
                    None => option_reply(option, rep::ERR_UNKNOWN, b"there is no such export"),
                    Some(export) => {
                        writer.write_all(&infos(option, &export, structured, &asks)).await?;
                        if option == opt::GO {
                            return Ok(Some((export, structured)));
                        }
                        continue;
                    }
                },
            },
            _ => option_reply(option, rep::ERR_UNSUP, &[]),
        };
        writer.write_all(&reply).await?;
    }
    Err(strange("no end of options"))
}

/// Several connections may be used at once: a flush reaches every box, whoever wrote.
fn transmission_flags(structured: bool) -> u16 {
    has::FLAGS | has::FLUSH | has::FUA | has::MULTI_CONN | if structured { has::DF } else { 0 }
}

fn infos(option: u32, export: &Export, structured: bool, asks: &[u16]) -> Vec<u8> {
    let info =
        |kind: u16, data: &[u8]| option_reply(option, rep::INFO, &[&kind.to_be_bytes(), data].concat());
    let size = export.size.to_be_bytes();
    let mut out = info(info::EXPORT, &[&size[..], &transmission_flags(structured).to_be_bytes()].concat());
    if asks.contains(&info::NAME) {
        out.extend(info(info::NAME, export.name.as_bytes()));
    }
    if asks.contains(&info::DESCRIPTION) {
        out.extend(info(info::DESCRIPTION, format!("a volume of {}", export.team).as_bytes()));
    }
    let blocks = [1u32, 4096, REQUEST_MOST].map(u32::to_be_bytes).concat();
    out.extend(info(info::BLOCK_SIZE, &blocks));
    out.extend(option_reply(option, rep::ACK, &[]));
    out
}

async fn drain(reader: &mut Reader, length: u32) -> io::Result<()> {
    let mut scrap = [0; 8192];
    let mut left = length as usize;
    while left > 0 {
        let part = left.min(scrap.len());
        read_data(reader, &mut scrap[..part]).await?;
        left -= part;
    }
    Ok(())
}

/// The next command. A client may rest before it for as long as it likes, and not in the middle of it.
async fn next_request(reader: &mut Reader) -> io::Result<Request> {
    if reader.fill_buf().await?.is_empty() {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    tokio::time::timeout(STOPS, Request::read(reader)).await?
}

/// The data of a write, from a client that may be slow and does not stop.
async fn read_data(reader: &mut Reader, data: &mut [u8]) -> io::Result<()> {
    let mut came = 0;
    while came < data.len() {
        let count = tokio::time::timeout(STOPS, reader.read(&mut data[came..])).await??;
        if count == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        came += count;
    }
    Ok(())
}

struct Session {
    shared: Rc<Shared>,
    export: Export,
    structured: bool,
    out: mpsc::Sender<Out>,
}

/// A part of a command that lies on one shard and is no larger than a request may be.
#[derive(Clone, Copy, Debug, PartialEq)]
struct Part {
    shard: u16,
    /// Where it starts in the command.
    skip: u32,
    length: u32,
    /// Where it starts on the box.
    at: u64,
}

impl Session {
    /// Takes commands until the client ends, or the program does; `Err`: the client left its answers.
    async fn commands(self: Rc<Self>, mut reader: Reader, shutdown: Shutdown) -> io::Result<()> {
        let mut tasks = JoinSet::new();
        let places = Arc::new(Semaphore::new(PIPELINED));
        let mut closing = std::pin::pin!(shutdown.closing());
        loop {
            while tasks.try_join_next().is_some() {}
            let request = tokio::select! {
                request = next_request(&mut reader) => request?,
                () = &mut closing => break,
            };
            if request.command == cmd::DISC {
                break;
            }
            let write = request.command == cmd::WRITE;
            if write && request.length > DRAINED_MOST {
                return Err(strange("a write too large"));
            }
            let fault = self.fault(&request);
            if fault.is_some() && write {
                drain(&mut reader, request.length).await?;
            }
            if let Some((error, text)) = fault {
                self.error(request.cookie, error, text, None).await;
                continue;
            }
            let gone = |_| io::Error::from(io::ErrorKind::BrokenPipe);
            let place = places.clone().acquire_owned().await.map_err(gone)?;
            let memory = self.shared.memory.clone().acquire_many_owned(1 + request.length / 1024);
            let memory = Arc::new(memory.await.map_err(gone)?);
            let mut data = vec![0; if write { request.length as usize } else { 0 }];
            read_data(&mut reader, &mut data).await?;
            let session = self.clone();
            tasks.spawn_local(async move {
                session.execute(request, data.into(), memory).await;
                drop(place);
            });
        }
        while tasks.join_next().await.is_some() {}
        Ok(())
    }

    /// What forbids a command; the connection goes on.
    fn fault(&self, r: &Request) -> Option<(u32, &'static str)> {
        let allowed = match r.command {
            cmd::READ if self.structured => flag::FUA | flag::DF,
            cmd::READ | cmd::WRITE | cmd::FLUSH => flag::FUA,
            _ => return Some((errno::INVAL, "an unknown command")),
        };
        let inside = r.offset.checked_add(u64::from(r.length)).is_some_and(|end| end <= self.export.size);
        match r.command {
            _ if r.flags & !allowed != 0 => Some((errno::INVAL, "a flag that does not fit")),
            cmd::FLUSH if (r.offset, r.length) != (0, 0) => Some((errno::INVAL, "a flush has no range")),
            cmd::READ | cmd::WRITE if !inside => Some((errno::INVAL, "outside the export")),
            cmd::READ | cmd::WRITE if r.length == 0 => Some((errno::INVAL, "of no length")),
            cmd::READ | cmd::WRITE if r.length > REQUEST_MOST => Some((errno::INVAL, "too large")),
            _ if self.shared.host.is_stopping() => Some((errno::SHUTDOWN, "stopping")),
            _ => None,
        }
    }

    async fn say(&self, head: Vec<u8>, data: Bytes, memory: Option<Arc<OwnedSemaphorePermit>>) {
        // Where the writer has ended the client is gone, and this command with it.
        let _ = self.out.send((head, data, memory)).await;
    }

    async fn error(&self, cookie: u64, error: u32, text: &str, offset: Option<u64>) {
        let head = if self.structured {
            error_chunk(cookie, error, text, offset)
        } else {
            simple_reply(error, cookie)
        };
        self.say(head, Bytes::new(), None).await;
    }

    fn parts(&self, request: &Request) -> Vec<Part> {
        if request.command == cmd::FLUSH {
            let shards: BTreeSet<u16> = self.export.extents.iter().map(|e| e.shard).collect();
            return shards.into_iter().map(|shard| Part { shard, skip: 0, length: 0, at: 0 }).collect();
        }
        let operator = &self.shared.operator;
        let largest =
            (operator.settings.max_request_units.max(1.0) as u64).saturating_mul(operator.unit_bytes.into());
        let (mut at, end) = (request.offset, request.offset + u64::from(request.length));
        let mut parts = Vec::new();
        for extent in &self.export.extents {
            while at < end && at >= extent.from && at < extent.from + extent.length {
                let length = (end.min(extent.from + extent.length) - at).min(largest);
                let skip = (at - request.offset) as u32;
                let on_box = extent.at + (at - extent.from);
                parts.push(Part { shard: extent.shard, skip, length: length as u32, at: on_box });
                at += length;
            }
        }
        parts
    }

    async fn ask(&self, request: &Request, part: Part, data: &Bytes) -> Answer {
        let operator = &self.shared.operator;
        let class = match request.command {
            cmd::WRITE => operator.classes.write,
            cmd::READ if request.length > operator.large_from => operator.classes.large_read,
            _ => operator.classes.read,
        };
        let region = part.at / u64::from(operator.large_from);
        let patience = operator.settings.classes.get(class as usize).map_or(Duration::ZERO, |c| c.deadline);
        let ask = IncomingRequest {
            class,
            volume: self.export.volume,
            plan: self.export.plan,
            initiators: self.export.hosts,
            key: 1 + (region ^ self.export.volume.rotate_left(24)) % (u64::MAX - 1),
            shard: Some(part.shard),
            units: f64::from(part.length.div_ceil(operator.unit_bytes).max(1)),
            time_remaining: patience,
            client_retry: false,
        };
        let from = part.skip as usize;
        let data = if data.is_empty() { Bytes::new() } else { data.slice(from..from + part.length as usize) };
        let piece = Piece {
            boxes: self.shared.boxes.clone(),
            command: request.command,
            fua: request.flags & flag::FUA != 0,
            offset: part.at,
            length: part.length,
            data,
        };
        self.shared.host.ask(ask, Rc::new(piece)).await
    }

    /// A write or flush of an export whose writes are buffered.
    async fn buffer(&self, cache: &WriteBackCache, request: &Request, parts: &[Part], data: &Bytes) {
        let settings = self.shared.host.settings();
        let class = self.shared.operator.classes.write;
        let patience = settings.classes.get(class as usize).map_or(Duration::ZERO, |c| c.deadline);
        let done = if request.command == cmd::FLUSH {
            cache.flush(&self.export, patience).await
        } else {
            let piece = |part: &Part| BufferedPiece {
                export_offset: request.offset + u64::from(part.skip),
                shard: part.shard,
                endpoint_offset: part.at,
                data: data.slice(part.skip as usize..(part.skip + part.length) as usize),
            };
            let pieces = parts.iter().map(piece).collect();
            cache.write(&self.export, pieces, request.flags & flag::FUA != 0, patience).await
        };
        match done {
            Ok(()) if self.structured => {
                self.say(chunk_head(chunk::DONE, chunk::NONE, request.cookie, 0), Bytes::new(), None).await;
            }
            Ok(()) => self.say(simple_reply(0, request.cookie), Bytes::new(), None).await,
            Err(WriteError::LogFull) => {
                self.error(request.cookie, errno::NOMEM, "refused: the buffer is full", None).await;
            }
            Err(WriteError::TooLarge | WriteError::NotDurableInTime) => {
                self.error(request.cookie, errno::IO, "failed: the buffer takes nothing", None).await;
            }
        }
    }

    /// One command, answered once: what its parts bring is put together.
    async fn execute(&self, request: Request, data: Bytes, memory: Arc<OwnedSemaphorePermit>) {
        let (cookie, read) = (request.cookie, request.command == cmd::READ);
        let parts = self.parts(&request);
        let cache = self.shared.write_back.as_ref().filter(|_| self.export.write_back);
        if let Some(cache) = cache.filter(|_| !read) {
            return self.buffer(cache, &request, &parts, &data).await;
        }
        // Taken before any box is asked: what leaves the buffer meanwhile may not be in what they answer.
        let overlay =
            cache.map(|c| c.overlay(&self.export, request.offset, request.length)).unwrap_or_default();
        let overlay = &overlay;
        let asks = parts.iter().map(|part| async {
            let from = request.offset + u64::from(part.skip);
            if read && overlay.covers(from, part.length) {
                let bytes = overlay.apply(from, vec![0; part.length as usize]);
                return (*part, Answer::Served(bytes.into()));
            }
            let _demand = self.shared.write_back.as_ref().map(|cache| cache.client_request(part.shard));
            let answer = match self.ask(&request, *part, &data).await {
                Answer::Served(bytes) if !overlay.is_empty() => {
                    Answer::Served(overlay.apply(from, bytes.into()).into())
                }
                answer => answer,
            };
            (*part, answer)
        });
        let mut asks: FuturesUnordered<_> = asks.collect();
        // Pieces go out as they come where the client takes them so; else the whole is put together first.
        let at_once = read && self.structured && request.flags & flag::DF == 0;
        let mut whole = vec![0; if read && !at_once { request.length as usize } else { 0 }];
        let (mut served, mut refused, mut failed) = (0, None, None);
        while let Some((part, answer)) = asks.next().await {
            let offset = request.offset + u64::from(part.skip);
            match answer {
                Answer::Served(piece) => {
                    served += 1;
                    if at_once {
                        let mut head = chunk_head(0, chunk::OFFSET_DATA, cookie, 8 + piece.len());
                        head.extend(offset.to_be_bytes());
                        self.say(head, piece, Some(memory.clone())).await;
                    } else if read {
                        whole[part.skip as usize..][..piece.len()].copy_from_slice(&piece);
                    }
                }
                Answer::Rejected(after) => {
                    refused = refused.map(|(_, most): (u64, Duration)| (offset, most.max(after)));
                    refused = refused.or(Some((offset, after)));
                }
                Answer::Failed => failed = Some(offset),
            }
            // A read that can't be whole is answered at once; a write whose parts are still out is not over.
            if read && (refused.is_some() || failed.is_some()) {
                break;
            }
        }
        drop(asks);
        let ranged = request.command != cmd::FLUSH;
        let at = |offset: u64| Some(offset).filter(|_| ranged);
        match (failed, refused) {
            (Some(offset), _) => self.error(cookie, errno::IO, "failed", at(offset)).await,
            // Trying again is harmless for a write only if no part of it ran.
            (None, Some((offset, _))) if served > 0 && request.command == cmd::WRITE => {
                self.error(cookie, errno::IO, "failed: written in part", at(offset)).await;
            }
            (None, Some((offset, after))) => {
                let text = format!("refused: come back in {:.3} s", after.as_secs_f64());
                self.error(cookie, errno::NOMEM, &text, at(offset)).await;
            }
            (None, None) if !self.structured => {
                self.say(simple_reply(0, cookie), whole.into(), Some(memory)).await;
            }
            (None, None) if at_once || !read => {
                self.say(chunk_head(chunk::DONE, chunk::NONE, cookie, 0), Bytes::new(), None).await;
            }
            (None, None) => {
                let mut head = chunk_head(chunk::DONE, chunk::OFFSET_DATA, cookie, 8 + whole.len());
                head.extend(request.offset.to_be_bytes());
                self.say(head, whole.into(), Some(memory)).await;
            }
        }
    }
}
