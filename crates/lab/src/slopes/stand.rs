//! What stands round the one real process: boxes, discovery and clients, as tasks on loopback.

use super::Front;
use shaletack::nbd::codec::{
    chunk, chunk_head, cmd, info_request, opt, option, option_reply, rep, transmission_flag, Request,
    FIXED_NEWSTYLE, INIT_MAGIC, NO_ZEROES, OPT_MAGIC, STRUCTURED_REPLY_MAGIC,
};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::broadcast;

/// Bytes of a shard, and of each read.
pub const SHARD: u64 = 65_536;
const READ: u32 = 4096;
/// So many exports, whatever the number of boxes: each lies on as many shards as that leaves.
pub const EXPORTS: usize = 44;
/// While nothing changes an empty line goes to each watch so often.
const EMPTY_LINE: Duration = Duration::from_secs(2);

type Stream = BufReader<TcpStream>;

fn strange(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what.to_owned())
}

/// Listens on a free port and hands each connection to a task of its own.
async fn listen<F>(each: impl Fn(Stream) -> F + Send + 'static) -> io::Result<SocketAddr>
where
    F: Future<Output = io::Result<()>> + Send + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let _ = stream.set_nodelay(true);
            // The process ends connections as it likes.
            tokio::spawn(each(BufReader::new(stream)));
        }
    });
    Ok(address)
}

/// The lines of an HTTP message's head; empty where the connection ended.
async fn head(stream: &mut Stream) -> io::Result<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let mut line = String::new();
        match stream.read_line(&mut line).await? {
            0 => return Ok(Vec::new()),
            _ if line == "\r\n" => return Ok(lines),
            _ => lines.push(line),
        }
    }
}

/// Boxes that answer at once, one for each shard.
pub struct Boxes {
    /// By shard.
    pub addresses: Vec<SocketAddr>,
    /// Connections that ever came, of all boxes.
    pub connections: Arc<AtomicU64>,
}

impl Boxes {
    /// So many, all of one protocol.
    pub async fn start(front: Front, count: usize) -> io::Result<Self> {
        let connections = Arc::new(AtomicU64::new(0));
        let mut addresses = Vec::new();
        for _ in 0..count {
            let counted = connections.clone();
            let each = move |stream| {
                counted.fetch_add(1, Relaxed);
                async move {
                    match front {
                        Front::Http => http_box(stream).await,
                        Front::Nbd => nbd_box(stream).await,
                    }
                }
            };
            addresses.push(listen(each).await?);
        }
        Ok(Boxes { addresses, connections })
    }
}

async fn http_box(mut s: Stream) -> io::Result<()> {
    let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {READ}\r\n\r\n{}", "x".repeat(READ as usize));
    while !head(&mut s).await?.is_empty() {
        s.write_all(answer.as_bytes()).await?;
    }
    Ok(())
}

async fn nbd_box(mut s: Stream) -> io::Result<()> {
    s.write_all(&[INIT_MAGIC.to_be_bytes(), OPT_MAGIC.to_be_bytes()].concat()).await?;
    s.write_all(&(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes()).await?;
    s.read_u32().await?;
    loop {
        s.read_u64().await?;
        let (option, length) = (s.read_u32().await?, s.read_u32().await?);
        s.read_exact(&mut vec![0; length as usize]).await?;
        if option == opt::GO {
            let size = SHARD.to_be_bytes();
            let flags = (transmission_flag::FLAGS
                | transmission_flag::FLUSH
                | transmission_flag::FUA
                | transmission_flag::MULTI_CONN)
                .to_be_bytes();
            s.write_all(&option_reply(option, rep::INFO, &[&[0, 0], &size[..], &flags].concat())).await?;
        }
        s.write_all(&option_reply(option, rep::ACK, &[])).await?;
        if option == opt::GO {
            break;
        }
    }
    loop {
        let request = Request::read(&mut s).await?;
        if request.command != cmd::READ {
            return Err(strange("only reads are asked of these boxes"));
        }
        let length = request.length as usize;
        let mut reply = chunk_head(chunk::DONE, chunk::OFFSET_DATA, request.cookie, 8 + length);
        reply.extend(request.offset.to_be_bytes());
        reply.resize(reply.len() + length, b'x');
        s.write_all(&reply).await?;
    }
}

struct Listed {
    revision: u64,
    addresses: Vec<SocketAddr>,
    draining: Option<usize>,
}

impl Listed {
    fn entry(&self, shard: usize) -> String {
        let phase = if self.draining == Some(shard) { "draining" } else { "up" };
        let at = self.addresses[shard];
        format!(r#"{{"id":"s-{shard:08x}","host_port":"{at}","locality":"room-1","flavor":"m2","#)
            + &format!(r#""cell":{shard},"#)
            + &format!(r#""phase":"{phase}","size":1.0,"up_since_ms":0}}"#)
    }

    fn object(&self, shards: impl Iterator<Item = usize>, whole: bool) -> String {
        let entries: Vec<String> = shards.map(|shard| self.entry(shard)).collect();
        let (revision, entries) = (self.revision, entries.join(","));
        format!("{{\"revision\":{revision},\"complete\":{whole},\"members\":[{entries}]}}\n")
    }

    fn whole(&self) -> String {
        self.object(0..self.addresses.len(), true)
    }
}

struct Kept {
    list: Mutex<Listed>,
    news: broadcast::Sender<String>,
    calls: AtomicU64,
    bytes: AtomicU64,
}

/// Discovery as the platform has it: a watch brings the whole list first, and then what changes.
pub struct Discovery {
    /// Where it answers.
    pub address: SocketAddr,
    kept: Arc<Kept>,
}

impl Discovery {
    /// Lists these boxes, all of them up.
    pub async fn start(addresses: &[SocketAddr]) -> io::Result<Self> {
        let list = Listed { revision: 2, addresses: addresses.to_vec(), draining: None };
        let (news, _) = broadcast::channel(64);
        let kept = Arc::new(Kept { list: Mutex::new(list), news, calls: 0.into(), bytes: 0.into() });
        let served = kept.clone();
        let address = listen(move |stream| watched(stream, served.clone())).await?;
        Ok(Discovery { address, kept })
    }

    /// Calls so far, and the bytes of both ways without the headers of TCP.
    pub fn cost(&self) -> (u64, u64) {
        (self.kept.calls.load(Relaxed), self.kept.bytes.load(Relaxed))
    }

    /// One box drains or is up again, told as one change or with the whole list; how many bytes the news has.
    pub fn tell(&self, shard: usize, draining: bool, whole: bool) -> usize {
        let mut list = self.list();
        list.revision += 1;
        list.draining = draining.then_some(shard);
        let news = if whole { list.whole() } else { list.object(shard..shard + 1, false) };
        let bytes = news.len();
        // With nobody on the watch there is nobody to tell.
        let _ = self.kept.news.send(news);
        bytes
    }

    fn list(&self) -> std::sync::MutexGuard<'_, Listed> {
        self.kept.list.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

async fn watched(mut s: Stream, kept: Arc<Kept>) -> io::Result<()> {
    let asked: usize = head(&mut s).await?.iter().map(String::len).sum();
    kept.calls.fetch_add(1, Relaxed);
    kept.bytes.fetch_add(asked as u64 + 2, Relaxed);
    let mut news = kept.news.subscribe();
    let first = kept.list.lock().unwrap_or_else(PoisonError::into_inner).whole();
    let mut next = Some(first);
    let mut out = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n".to_owned();
    loop {
        let text = match next.take() {
            Some(text) => text,
            None => match tokio::time::timeout(EMPTY_LINE, news.recv()).await {
                Err(_) => "\n".into(),
                Ok(Ok(text)) => text,
                Ok(Err(_)) => return Ok(()),
            },
        };
        out += &format!("{:x}\r\n{text}\r\n", text.len());
        kept.bytes.fetch_add(out.len() as u64, Relaxed);
        s.write_all(out.as_bytes()).await?;
        out.clear();
    }
}

static LAST_ID: AtomicU64 = AtomicU64::new(0x9b1f_03aa_5c7e_2d41);

/// A client of either front.
pub struct Client {
    front: Front,
    stream: Stream,
    shards: usize,
    export: usize,
}

impl Client {
    /// Connects and goes as far as a client does before its first request of data: over NBD through the
    /// handshake, over HTTP through one question for health.
    pub async fn connect(front: Front, to: SocketAddr, number: usize, shards: usize) -> io::Result<Self> {
        let stream = TcpStream::connect(to).await?;
        stream.set_nodelay(true)?;
        // A resting client keeps no buffer of its own, so that many find room here.
        let stream = BufReader::with_capacity(512, stream);
        let mut client = Client { front, stream, shards, export: number % EXPORTS };
        match front {
            Front::Http => {
                client.stream.write_all(b"GET /_health HTTP/1.1\r\nHost: a\r\n\r\n").await?;
                client.answer().await?;
            }
            Front::Nbd => client.shake().await?,
        }
        Ok(client)
    }

    /// Whether the other side has ended it.
    pub fn is_over(&self) -> bool {
        let mut byte = [0];
        match self.stream.get_ref().try_read(&mut byte) {
            Err(why) => why.kind() != io::ErrorKind::WouldBlock,
            Ok(count) => count == 0,
        }
    }

    async fn shake(&mut self) -> io::Result<()> {
        let s = &mut self.stream;
        if (s.read_u64().await?, s.read_u64().await?) != (INIT_MAGIC, OPT_MAGIC) {
            return Err(strange("no NBD server"));
        }
        s.read_u16().await?;
        let go = option(opt::GO, &info_request(&format!("e{}", self.export), &[]));
        let ask = [&3u32.to_be_bytes()[..], &option(opt::STRUCTURED_REPLY, &[]), &go].concat();
        s.write_all(&ask).await?;
        let mut acknowledged = 0;
        while acknowledged < 2 {
            s.read_u64().await?;
            s.read_u32().await?;
            let (kind, length) = (s.read_u32().await?, s.read_u32().await?);
            s.read_exact(&mut vec![0; length as usize]).await?;
            match kind {
                rep::ACK => acknowledged += 1,
                rep::INFO => {}
                _ => return Err(strange("an option was refused")),
            }
        }
        Ok(())
    }

    /// One read of a shard; whether it was served.
    pub async fn ask(&mut self, number: usize) -> io::Result<bool> {
        match self.front {
            Front::Http => {
                let (id, shard, volume) =
                    (LAST_ID.fetch_add(1, Relaxed), number % self.shards, number % 100 + 1);
                let head = format!(
                    "GET /leitura/{number:016x} HTTP/1.1\r\nHost: a\r\nX-Trace-Id: {id:016x}\r\n\
                     X-Qos-Policy: prioritario\r\nX-Expires-In: 1.200\r\n\
                     X-Placement: volume={volume:016x},units=1,shard={shard},hosts=1\r\n\r\n"
                );
                self.stream.write_all(head.as_bytes()).await?;
                Ok(self.answer().await? == 200)
            }
            Front::Nbd => {
                let extents = self.shards / EXPORTS;
                let offset = (number / EXPORTS % extents) as u64 * SHARD;
                let (cookie, length) = (number as u64, READ);
                let request = Request { flags: 0, command: cmd::READ, cookie, offset, length };
                self.stream.write_all(&request.encode()).await?;
                self.reply().await
            }
        }
    }

    async fn answer(&mut self) -> io::Result<u16> {
        let lines = head(&mut self.stream).await?;
        let first = lines.first().ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = first.get(9..12).and_then(|s| s.parse().ok()).ok_or_else(|| strange("no status"))?;
        let length = lines
            .iter()
            .find_map(|l| l.to_ascii_lowercase().strip_prefix("content-length:")?.trim().parse().ok());
        self.stream.read_exact(&mut vec![0; length.unwrap_or(0)]).await?;
        Ok(status)
    }

    async fn reply(&mut self) -> io::Result<bool> {
        let (s, mut served) = (&mut self.stream, true);
        loop {
            if s.read_u32().await? != STRUCTURED_REPLY_MAGIC {
                return Err(strange("no chunk"));
            }
            let (flags, kind) = (s.read_u16().await?, s.read_u16().await?);
            s.read_u64().await?;
            let length = s.read_u32().await?;
            s.read_exact(&mut vec![0; length as usize]).await?;
            served &= kind & chunk::IS_ERROR == 0;
            if flags & chunk::DONE != 0 {
                return Ok(served);
            }
        }
    }
}
