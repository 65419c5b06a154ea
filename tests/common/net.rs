//! Scripted peers on loopback: boxes and clients of both fronts.

use shaletack::broker::{Broker, Clock, Input};
use shaletack::nbd::codec::*;
use shaletack::net::host::Host;
use shaletack::operator::{self, Operator};
use std::cell::{Cell, RefCell};
use std::future::Future;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::Notify;

/// Runs a story on one thread; one that hangs is a failure, not a wait.
pub fn story<F: Future<Output = ()>>(story: F) {
    actix_rt::System::new().block_on(async {
        tokio::time::timeout(Duration::from_secs(20), story).await.expect("the story hangs");
    });
}

/// A core that starts now.
pub fn host(settings: &shaletack::interface::Settings) -> Host {
    let now = Instant::now();
    let clock = Clock::new(now, Duration::from_secs(1_000_000));
    Host::start(Broker::new(settings.clone(), 7, clock, now))
}

pub async fn loopback() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A peer that handles each connection by a script, given its number.
pub async fn peer<F: Future<Output = ()> + 'static>(
    script: impl Fn(TcpStream, usize) -> F + 'static,
) -> SocketAddr {
    let (listener, address) = loopback().await;
    actix_rt::spawn(async move {
        for number in 0.. {
            let (stream, _) = listener.accept().await.unwrap();
            actix_rt::spawn(script(stream, number));
        }
    });
    address
}

/// What a stand-in box does with a command.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Script {
    Serve,
    Silent,
    ErrorAfterData,
    HalfReply,
    NoExport,
}

/// A disk box that speaks NBD, and what it saw.
pub struct NbdBox {
    pub address: SocketAddr,
    pub script: Rc<Cell<Script>>,
    pub seen: Rc<RefCell<Vec<Request>>>,
    pub came: Rc<Notify>,
}

impl NbdBox {
    pub async fn start(script: Script, size: usize) -> Self {
        let (script, seen, came) = (Rc::new(Cell::new(script)), Rc::default(), Rc::new(Notify::new()));
        let data = Rc::new(RefCell::new(vec![0u8; size]));
        let parts = (script.clone(), Rc::clone(&seen), came.clone());
        let address = peer(move |stream, _| {
            let (parts, data) = (parts.clone(), data.clone());
            async move {
                // The initiator ends connections as it likes.
                let _ = nbd_box(stream, parts.0, parts.1, parts.2, data).await;
            }
        })
        .await;
        NbdBox { address, script, seen, came }
    }

    pub fn count(&self, command: u16) -> usize {
        self.seen.borrow().iter().filter(|r| r.command == command).count()
    }
}

async fn nbd_box(
    stream: TcpStream,
    script: Rc<Cell<Script>>,
    seen: Rc<RefCell<Vec<Request>>>,
    came: Rc<Notify>,
    data: Rc<RefCell<Vec<u8>>>,
) -> std::io::Result<()> {
    let mut s = BufReader::new(stream);
    s.write_all(&[INIT_MAGIC.to_be_bytes(), OPT_MAGIC.to_be_bytes()].concat()).await?;
    s.write_all(&(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes()).await?;
    s.read_u32().await?;
    loop {
        s.read_u64().await?;
        let (option, length) = (s.read_u32().await?, s.read_u32().await?);
        s.read_exact(&mut vec![0; length as usize]).await?;
        if option == opt::GO && script.get() == Script::NoExport {
            s.write_all(&option_reply(option, rep::ERR_UNKNOWN, &[])).await?;
            continue;
        }
        if option == opt::GO {
            let size = (data.borrow().len() as u64).to_be_bytes();
            let flags = (has::FLAGS | has::FLUSH | has::FUA | has::MULTI_CONN).to_be_bytes();
            s.write_all(&option_reply(option, rep::INFO, &[&[0, 0], &size[..], &flags].concat())).await?;
        }
        s.write_all(&option_reply(option, rep::ACK, &[])).await?;
        if option == opt::GO {
            break;
        }
    }
    loop {
        let r = Request::read(&mut s).await?;
        let (from, to) = (r.offset as usize, r.offset as usize + r.length as usize);
        if r.command == cmd::WRITE {
            let mut written = vec![0; r.length as usize];
            s.read_exact(&mut written).await?;
            data.borrow_mut()[from..to].copy_from_slice(&written);
        }
        seen.borrow_mut().push(r);
        came.notify_one();
        let read = r.command == cmd::READ;
        let part = |flags: u16, from: usize, to: usize| {
            let mut out = chunk_head(flags, chunk::OFFSET_DATA, r.cookie, 8 + to - from);
            out.extend((from as u64).to_be_bytes());
            out.extend(&data.borrow()[from..to]);
            out
        };
        let half = from + (to - from) / 2;
        let reply = match script.get() {
            Script::Silent => continue,
            Script::ErrorAfterData if read => {
                [part(0, from, half), error_chunk(r.cookie, errno::IO, "bad sector", Some(half as u64))]
                    .concat()
            }
            Script::HalfReply if read => {
                s.write_all(&part(0, from, half)).await?;
                return Ok(());
            }
            _ if read => [part(0, from, half), part(chunk::DONE, half, to)].concat(),
            _ => simple_reply(0, r.cookie),
        };
        s.write_all(&reply).await?;
    }
}

/// An operator's file for one export over two shards of 64 KiB, in units of 4 KiB, with short deadlines.
pub fn operator(boxes: &[(SocketAddr, u16)]) -> Operator {
    let lane = |name: &str, effect: &str| {
        format!(
            r#"{{"name":"{name}","aim":100000000,"deadline":400000000,"idempotency":"{effect}","value":1}}"#
        )
    };
    let lanes =
        [lane("leitura", "idempotent"), lane("gravacao", "at_most_once"), lane("exportacao", "idempotent")];
    let members: Vec<String> = boxes
        .iter()
        .map(|(a, cell)| {
            format!(r#"{{"id":"s-{:08x}","host_port":"{a}","cell":{cell},"phase":"up"}}"#, a.port())
        })
        .collect();
    let text = format!(
        r#"{{"listen":"127.0.0.1:0","unit_bytes":4096,"large_from":32768,
        "teams":[{{"name":"t","contracts":[{{"plan":"p","reserve":5,"weight":1}}]}}],
        "exports":[{{"name":"serra","team":"t","plan":"p","volume":"a1","size":131072,
            "extents":[{{"length":65536,"shard":0,"at":0}},{{"length":65536,"shard":1,"at":4096}}]}}],
        "boxes":[{}],
        "settings":{{"balancers":1,"step":1000000,"lanes":[{}],"plans":[],
            "limits":{{"connect-timeout":200000000,"keepalive":5000000000,"try-limit":3,"cancelling":true}},
            "domain":{{"units-top":8,"unit-mean":2}}}}}}"#,
        members.join(","),
        lanes.join(",")
    );
    operator::read(&mut text.into_bytes()).unwrap()
}

/// An NBD front over these boxes; what it tells to stop, and its core.
pub async fn nbd_front(operator: Operator) -> (SocketAddr, Rc<Notify>, Host) {
    let (listener, address) = loopback().await;
    let (core, stop) = (host(&operator.settings), Rc::new(Notify::new()));
    core.feed(Input::List(operator.boxes.clone()));
    let (front, until) = (core.clone(), stop.clone());
    actix_rt::spawn(async move {
        shaletack::nbd::front::serve(front, operator, listener, until.notified()).await
    });
    (address, stop, core)
}

/// A whole reply as an NBD client sees it.
#[derive(Debug, Default, PartialEq)]
pub struct Got {
    pub cookie: u64,
    pub error: u32,
    pub text: String,
    pub data: Vec<(u64, Vec<u8>)>,
}

impl Got {
    pub fn bytes(mut self) -> Vec<u8> {
        self.data.sort();
        self.data.into_iter().flat_map(|d| d.1).collect()
    }
}

pub struct NbdClient(pub BufReader<TcpStream>);

impl NbdClient {
    /// Connects and goes as far as the options.
    pub async fn connect(to: SocketAddr) -> Self {
        let mut s = BufReader::new(TcpStream::connect(to).await.unwrap());
        assert_eq!((s.read_u64().await.unwrap(), s.read_u64().await.unwrap()), (INIT_MAGIC, OPT_MAGIC));
        assert_eq!(s.read_u16().await.unwrap(), 3);
        s.write_all(&3u32.to_be_bytes()).await.unwrap();
        NbdClient(s)
    }

    /// Connects and goes on to commands, with structured replies.
    pub async fn go(to: SocketAddr) -> Self {
        let mut client = Self::connect(to).await;
        assert_eq!(client.option(opt::STRUCTURED_REPLY, &[]).await.last().unwrap().0, rep::ACK);
        assert_eq!(client.option(opt::GO, &info_request("serra", &[])).await.last().unwrap().0, rep::ACK);
        client
    }

    /// An option, and all that comes back for it.
    pub async fn option(&mut self, option: u32, data: &[u8]) -> Vec<(u32, Vec<u8>)> {
        let s = &mut self.0;
        s.write_all(&shaletack::nbd::codec::option(option, data)).await.unwrap();
        let mut replies = Vec::new();
        loop {
            assert_eq!((s.read_u64().await.unwrap(), s.read_u32().await.unwrap()), (REP_MAGIC, option));
            let (kind, length) = (s.read_u32().await.unwrap(), s.read_u32().await.unwrap());
            let mut data = vec![0; length as usize];
            s.read_exact(&mut data).await.unwrap();
            replies.push((kind, data));
            if !matches!(kind, rep::INFO | rep::SERVER) {
                return replies;
            }
        }
    }

    pub async fn send(
        &mut self,
        command: u16,
        flags: u16,
        cookie: u64,
        offset: u64,
        length: u32,
        data: &[u8],
    ) {
        let request = Request { flags, command, cookie, offset, length }.bytes();
        self.0.write_all(&[&request, data].concat()).await.unwrap();
    }

    /// The next whole reply.
    pub async fn reply(&mut self) -> Got {
        let s = &mut self.0;
        let mut got = Got::default();
        loop {
            assert_eq!(s.read_u32().await.unwrap(), CHUNK_MAGIC);
            let (flags, kind) = (s.read_u16().await.unwrap(), s.read_u16().await.unwrap());
            let (cookie, length) = (s.read_u64().await.unwrap(), s.read_u32().await.unwrap());
            let mut body = vec![0; length as usize];
            s.read_exact(&mut body).await.unwrap();
            got.cookie = cookie;
            if kind == chunk::OFFSET_DATA {
                got.data.push((u64::from_be_bytes(body[..8].try_into().unwrap()), body[8..].to_vec()));
            } else if kind & chunk::IS_ERROR != 0 {
                got.error = u32::from_be_bytes(body[..4].try_into().unwrap());
                let length = u16::from_be_bytes([body[4], body[5]]) as usize;
                got.text = String::from_utf8(body[6..6 + length].to_vec()).unwrap();
            }
            if flags & chunk::DONE != 0 {
                return got;
            }
        }
    }
}
