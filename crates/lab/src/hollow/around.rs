//! What stands round the initiators: etcd's JSON gateway, boxes and clients over NBD, and operators' files.

use super::initiator::{REGION, ZONES};
use base64::engine::general_purpose::STANDARD;
use base64::Engine;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use shaletack::nbd::codec::{
    chunk, chunk_head, cmd, info_request, opt, option, option_reply, rep, simple_reply, transmission_flag,
    Request, FIXED_NEWSTYLE, INIT_MAGIC, NO_ZEROES, OPT_MAGIC,
};
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;
use tokio::task::spawn_local;

/// Boxes in every list; two hold each shard.
pub const BOXES: usize = 880;
const SHARDS: usize = BOXES / 2;
/// Of so many shards the export is made, of 64 KiB each.
const EXPORTED: usize = 8;
const EXTENT: u64 = 65_536;
const READ: u32 = 4096;
/// Reads of a client, each after the answer to the one before and this wait.
const BETWEEN_READS: Duration = Duration::from_millis(50);
/// A watch on which nothing changes says so this often.
const PROGRESS: Duration = Duration::from_secs(2);

pub fn name(number: usize) -> String {
    format!("s-{number:08x}")
}

fn entry(number: usize, boxes: &[SocketAddr], phase: &str) -> String {
    let (id, at, cell) = (name(number), boxes[number % boxes.len()], number % SHARDS);
    format!(r#"{{"id":"{id}","host_port":"{at}","cell":{cell},"phase":"{phase}"}}"#)
}

/// An initiator's file: its name and number, where it hears clients and peers; all know the same two peers.
pub fn file(
    me: (&str, usize),
    [front, listen]: [SocketAddr; 2],
    join: &[SocketAddr],
    etcd: Option<SocketAddr>,
    all: usize,
    boxes: &[SocketAddr],
    listed: &[usize],
) -> String {
    let (me, number) = me;
    let lane = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":400000000,"deadline":1500000000,"idempotency":"{effect}","value":1}}"#
        )
    };
    let lanes =
        [lane("leitura", "idempotent"), lane("gravacao", "at_most_once"), lane("exportacao", "idempotent")];
    let extents: Vec<String> =
        (0..EXPORTED).map(|s| format!(r#"{{"length":{EXTENT},"shard":{s}}}"#)).collect();
    let entries: Vec<String> = listed.iter().map(|n| entry(*n, boxes, "up")).collect();
    let join: Vec<String> = join.iter().map(|at| format!(r#""{at}""#)).collect();
    let etcd = etcd.map_or(String::new(), |at| format!(r#""etcd":{{"address":"{at}","prefix":"/boxes/"}},"#));
    format!(
        r#"{{"listen":"{front}","unit_bytes":4096,"large_from":16384,{etcd}
        "peers":{{"name":"{me}","region":"g{}","zone":"z{}","listen":"{listen}","join":[{}]}},
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":{},"extents":[{}]}}],
        "boxes":[{}],
        "settings":{{"balancers":{all},"step":1000000,"lanes":[{}],
            "limits":{{"connect-timeout":200000000,"try-limit":2,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":1}}}}}}"#,
        number % ZONES / REGION,
        number % ZONES,
        join.join(","),
        EXPORTED as u64 * EXTENT,
        extents.join(","),
        entries.join(","),
        lanes.join(",")
    )
}

/// Etcd's JSON gateway as far as an initiator uses it: a range of all boxes, and a watch from there on.
pub struct Etcd {
    pub at: SocketAddr,
    boxes: Vec<SocketAddr>,
    kept: RefCell<BTreeMap<usize, String>>,
    /// Each change by its revision.
    events: RefCell<Vec<(u64, String)>>,
    revision: Cell<u64>,
    changed: Notify,
}

impl Etcd {
    pub async fn start(boxes: Vec<SocketAddr>) -> io::Result<Rc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let kept = (0..BOXES).map(|n| (n, entry(n, &boxes, "up"))).collect();
        let etcd = Rc::new(Etcd {
            at: listener.local_addr()?,
            boxes,
            kept: RefCell::new(kept),
            events: RefCell::default(),
            revision: Cell::new(1),
            changed: Notify::new(),
        });
        let serving = etcd.clone();
        spawn_local(async move {
            while let Ok((stream, _)) = listener.accept().await {
                let etcd = serving.clone();
                spawn_local(async move { etcd.serve(BufReader::new(stream)).await });
            }
        });
        Ok(etcd)
    }

    fn kv(number: usize, entry: &str) -> String {
        let (key, value) = (STANDARD.encode(format!("/boxes/{}", name(number))), STANDARD.encode(entry));
        format!(r#"{{"key":"{key}","value":"{value}"}}"#)
    }

    /// From now on the list says that a box drains.
    pub fn drain(&self, number: usize) {
        let entry = entry(number, &self.boxes, "draining");
        self.revision.set(self.revision.get() + 1);
        self.events.borrow_mut().push((self.revision.get(), Self::kv(number, &entry)));
        self.kept.borrow_mut().insert(number, entry);
        self.changed.notify_waiters();
    }

    async fn serve(&self, mut s: BufReader<TcpStream>) -> io::Result<()> {
        loop {
            let (mut line, mut length, mut watch) = (String::new(), 0, false);
            while s.read_line(&mut line).await? > 2 {
                let lower = line.to_ascii_lowercase();
                watch |= lower.starts_with("post /v3/watch");
                if let Some(value) = lower.strip_prefix("content-length:") {
                    length = value.trim().parse().map_err(io::Error::other)?;
                }
                line.clear();
            }
            if line.is_empty() {
                return Ok(());
            }
            let mut asked = vec![0; length];
            s.read_exact(&mut asked).await?;
            if watch {
                let asked = String::from_utf8_lossy(&asked).into_owned();
                let from = asked.split(r#""start_revision":""#).nth(1).and_then(|t| t.split('"').next());
                let from = from.and_then(|t| t.parse().ok()).ok_or(io::Error::other("no start_revision"))?;
                return self.watch(s, from).await;
            }
            let all: Vec<String> = self.kept.borrow().iter().map(|(n, e)| Self::kv(*n, e)).collect();
            let body =
                format!(r#"{{"header":{{"revision":"{}"}},"kvs":[{}]}}"#, self.revision.get(), all.join(","));
            let head = format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n", body.len());
            s.write_all(format!("{head}{body}").as_bytes()).await?;
        }
    }

    async fn watch(&self, mut s: BufReader<TcpStream>, mut from: u64) -> io::Result<()> {
        s.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let mut more = r#","created":true"#.to_owned();
        loop {
            let line = format!(r#"{{"result":{{"header":{{"revision":"{}"}}{more}}}}}"#, self.revision.get());
            s.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).await?;
            let changed = self.changed.notified();
            let news = || -> Vec<String> {
                let since =
                    |(revision, kv): &(u64, String)| (*revision >= from).then(|| format!(r#"{{"kv":{kv}}}"#));
                self.events.borrow().iter().filter_map(since).collect()
            };
            let mut events = news();
            if events.is_empty() {
                let _ = tokio::time::timeout(PROGRESS, changed).await;
                events = news();
            }
            from = self.revision.get() + 1;
            more = match events.is_empty() {
                true => String::new(),
                false => format!(r#","events":[{}]"#, events.join(",")),
            };
        }
    }
}

/// A box over NBD that serves reads of zeros.
pub async fn disk_box() -> io::Result<SocketAddr> {
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(serve_box(BufReader::new(stream)));
        }
    });
    Ok(at)
}

async fn serve_box(mut s: BufReader<TcpStream>) -> io::Result<()> {
    s.write_all(&[INIT_MAGIC.to_be_bytes(), OPT_MAGIC.to_be_bytes()].concat()).await?;
    s.write_all(&(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes()).await?;
    s.read_u32().await?;
    loop {
        s.read_u64().await?;
        let (option, length) = (s.read_u32().await?, s.read_u32().await?);
        s.read_exact(&mut vec![0; length as usize]).await?;
        if option == opt::GO {
            let flags = (transmission_flag::FLAGS
                | transmission_flag::FLUSH
                | transmission_flag::FUA
                | transmission_flag::MULTI_CONN)
                .to_be_bytes();
            let told = [&[0, 0], &(1u64 << 20).to_be_bytes()[..], &flags].concat();
            s.write_all(&option_reply(option, rep::INFO, &told)).await?;
        }
        s.write_all(&option_reply(option, rep::ACK, &[])).await?;
        if option == opt::GO {
            break;
        }
    }
    loop {
        let r = Request::read(&mut s).await?;
        let mut reply = match r.command {
            cmd::READ => chunk_head(chunk::DONE, chunk::OFFSET_DATA, r.cookie, 8 + r.length as usize),
            _ => simple_reply(0, r.cookie),
        };
        if r.command == cmd::READ {
            reply.extend(r.offset.to_be_bytes());
            reply.resize(reply.len() + r.length as usize, 0);
        }
        s.write_all(&reply).await?;
    }
}

/// Reads all over the export until its task is dropped, or its initiator ends; `read` counts those served and
/// failed.
pub async fn client(to: SocketAddr, seed: u64, read: Rc<[Cell<u64>; 2]>) -> io::Result<()> {
    let mut rng = StdRng::seed_from_u64(seed);
    let mut s = BufReader::new(TcpStream::connect(to).await?);
    s.read_exact(&mut [0; 18]).await?;
    s.write_all(&u32::from(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes()).await?;
    for (number, data) in [(opt::STRUCTURED_REPLY, Vec::new()), (opt::GO, info_request("serra", &[]))] {
        s.write_all(&option(number, &data)).await?;
        loop {
            s.read_exact(&mut [0; 12]).await?;
            let (kind, length) = (s.read_u32().await?, s.read_u32().await?);
            s.read_exact(&mut vec![0; length as usize]).await?;
            match kind {
                rep::ACK => break,
                rep::INFO => {}
                other => return Err(io::Error::other(format!("option {number} is answered {other:#x}"))),
            }
        }
    }
    for cookie in 1.. {
        let offset = rng.random_range(0..EXPORTED as u64 * EXTENT / u64::from(READ)) * u64::from(READ);
        let ask = Request { flags: 0, command: cmd::READ, cookie, offset, length: READ };
        s.write_all(&ask.encode()).await?;
        let (mut done, mut failed) = (false, false);
        while !done {
            s.read_u32().await?;
            let (flags, kind) = (s.read_u16().await?, s.read_u16().await?);
            s.read_u64().await?;
            let length = s.read_u32().await?;
            s.read_exact(&mut vec![0; length as usize]).await?;
            failed |= kind & chunk::IS_ERROR != 0;
            done = flags & chunk::DONE != 0;
        }
        let count = &read[usize::from(failed)];
        count.set(count.get() + 1);
        tokio::time::sleep(BETWEEN_READS).await;
    }
    Ok(())
}
