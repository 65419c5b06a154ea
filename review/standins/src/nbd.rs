//! Stand-ins that speak NBD (fixed newstyle, simple replies): a disk box and a client.

use crate::record::Record;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;

const INIT_MAGIC: u64 = 0x4e42_444d_4147_4943;
const OPTION_MAGIC: u64 = 0x4948_4156_454f_5054;
const OPTION_REPLY_MAGIC: u64 = 0x0003_e889_0455_65a9;
const REQUEST_MAGIC: u32 = 0x2560_9513;
const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
const FIXED_NEWSTYLE: u16 = 1;
const NO_ZEROES: u16 = 2;
const OPTION_GO: u32 = 7;
const REPLY_ACK: u32 = 1;
const REPLY_INFO: u32 = 3;
const REPLY_UNSUPPORTED: u32 = 0x8000_0001;
/// The export has flags, and takes FLUSH. It does not offer FUA.
const TRANSMISSION_FLAGS: u16 = 1 | 1 << 2;
const READ: u16 = 0;
const WRITE: u16 = 1;
const DISCONNECT: u16 = 2;
const FLUSH: u16 = 3;
const ESHUTDOWN: u32 = 108;

fn u16_from(stream: &mut impl Read) -> io::Result<u16> {
    let mut bytes = [0; 2];
    stream.read_exact(&mut bytes)?;
    Ok(u16::from_be_bytes(bytes))
}

fn u32_from(stream: &mut impl Read) -> io::Result<u32> {
    let mut bytes = [0; 4];
    stream.read_exact(&mut bytes)?;
    Ok(u32::from_be_bytes(bytes))
}

fn u64_from(stream: &mut impl Read) -> io::Result<u64> {
    let mut bytes = [0; 8];
    stream.read_exact(&mut bytes)?;
    Ok(u64::from_be_bytes(bytes))
}

fn bytes_from(stream: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes)?;
    Ok(bytes)
}

fn expect(holds: bool, what: &str) -> io::Result<()> {
    holds.then_some(()).ok_or_else(|| io::Error::other(what.to_owned()))
}

/// A disk box. It offers FLUSH and no FUA, as the protocol allows.
pub struct NbdBox {
    pub address: SocketAddr,
    state: Arc<State>,
}

struct State {
    name: &'static str,
    work: Duration,
    /// While set, the box finishes the commands that it has, and answers new ones with ESHUTDOWN.
    draining: AtomicBool,
    /// The data of each write that was received whole.
    received: Mutex<Vec<Vec<u8>>>,
    /// The data of each write that was run.
    run: Mutex<Vec<Vec<u8>>>,
    record: Record,
}

impl NbdBox {
    /// Starts a box whose writes take `work`.
    pub fn start(name: &'static str, work: Duration, size: u64, record: &Record) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let state = State {
            name,
            work,
            draining: AtomicBool::new(false),
            received: Mutex::default(),
            run: Mutex::default(),
            record: record.clone(),
        };
        let state = Arc::new(state);
        let shared = state.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().map_while(Result::ok) {
                let state = shared.clone();
                std::thread::spawn(move || {
                    if let Err(why) = state.serve(stream, size) {
                        state.record.note(format!("{}: a connection ended: {why}", state.name));
                    }
                });
            }
        });
        Ok(NbdBox { address, state })
    }

    /// Begins to drain.
    pub fn drain(&self) {
        self.state.draining.store(true, Ordering::SeqCst);
        self.state.record.note(format!("{}: begins to drain", self.state.name));
    }

    /// Returns how often a write of this data was received whole.
    pub fn received(&self, data: &[u8]) -> usize {
        self.state.received.lock().unwrap().iter().filter(|written| *written == data).count()
    }

    /// Returns how often a write of this data was run.
    pub fn run(&self, data: &[u8]) -> usize {
        self.state.run.lock().unwrap().iter().filter(|written| *written == data).count()
    }
}

impl State {
    fn serve(&self, mut stream: TcpStream, size: u64) -> io::Result<()> {
        stream.set_nodelay(true)?;
        stream.write_all(&[INIT_MAGIC.to_be_bytes(), OPTION_MAGIC.to_be_bytes()].concat())?;
        stream.write_all(&(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes())?;
        u32_from(&mut stream)?;
        loop {
            expect(u64_from(&mut stream)? == OPTION_MAGIC, "no option")?;
            let (option, length) = (u32_from(&mut stream)?, u32_from(&mut stream)?);
            bytes_from(&mut stream, length as usize)?;
            if option != OPTION_GO {
                stream.write_all(&option_reply(option, REPLY_UNSUPPORTED, &[]))?;
                continue;
            }
            let export = [&[0, 0], &size.to_be_bytes()[..], &TRANSMISSION_FLAGS.to_be_bytes()].concat();
            stream.write_all(&option_reply(option, REPLY_INFO, &export))?;
            stream.write_all(&option_reply(option, REPLY_ACK, &[]))?;
            break;
        }
        loop {
            expect(u32_from(&mut stream)? == REQUEST_MAGIC, "no request")?;
            let _flags = u16_from(&mut stream)?;
            let command = u16_from(&mut stream)?;
            let (cookie, offset) = (u64_from(&mut stream)?, u64_from(&mut stream)?);
            let length = u32_from(&mut stream)?;
            if command == DISCONNECT {
                return Ok(());
            }
            let data = bytes_from(&mut stream, if command == WRITE { length as usize } else { 0 })?;
            let reply = self.execute(command, offset, length, data);
            let (error, read) = reply;
            let head =
                [&SIMPLE_REPLY_MAGIC.to_be_bytes()[..], &error.to_be_bytes(), &cookie.to_be_bytes()].concat();
            stream.write_all(&[head, read].concat())?;
        }
    }

    /// Executes a command; returns the error of the reply and the data of a read.
    fn execute(&self, command: u16, offset: u64, length: u32, data: Vec<u8>) -> (u32, Vec<u8>) {
        let name = self.name;
        let text = match command {
            READ => format!("READ of {length} bytes at {offset}"),
            WRITE => format!("WRITE of {length} bytes at {offset}"),
            FLUSH => "FLUSH".into(),
            other => format!("command {other}"),
        };
        if command == WRITE {
            self.received.lock().unwrap().push(data.clone());
        }
        if self.draining.load(Ordering::SeqCst) {
            self.record.note(format!("{name}: {text} answered with ESHUTDOWN, not run"));
            return (ESHUTDOWN, Vec::new());
        }
        self.record.note(format!("{name}: {text} begins"));
        if command == WRITE {
            std::thread::sleep(self.work);
            self.run.lock().unwrap().push(data);
        }
        self.record.note(format!("{name}: {text} ran, answered with success"));
        (0, vec![0; if command == READ { length as usize } else { 0 }])
    }
}

fn option_reply(option: u32, kind: u32, data: &[u8]) -> Vec<u8> {
    let head = [&OPTION_REPLY_MAGIC.to_be_bytes()[..], &option.to_be_bytes(), &kind.to_be_bytes()].concat();
    [&head[..], &(data.len() as u32).to_be_bytes(), data].concat()
}

/// A client that has mounted an export, with simple replies.
pub struct NbdClient(TcpStream);

impl NbdClient {
    /// Connects and mounts an export. Reads of replies end after `timeout`.
    pub fn mount(address: SocketAddr, export: &str, timeout: Duration) -> io::Result<Self> {
        let mut stream = TcpStream::connect(address)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(timeout))?;
        expect(u64_from(&mut stream)? == INIT_MAGIC, "no NBD server")?;
        expect(u64_from(&mut stream)? == OPTION_MAGIC, "no newstyle server")?;
        u16_from(&mut stream)?;
        stream.write_all(&u32::from(FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes())?;
        let name = export.as_bytes();
        let data = [&(name.len() as u32).to_be_bytes()[..], name, &0u16.to_be_bytes()].concat();
        let head = [&OPTION_MAGIC.to_be_bytes()[..], &OPTION_GO.to_be_bytes()].concat();
        stream.write_all(&[&head[..], &(data.len() as u32).to_be_bytes(), &data].concat())?;
        loop {
            expect(u64_from(&mut stream)? == OPTION_REPLY_MAGIC, "no reply to the option")?;
            let (_, kind) = (u32_from(&mut stream)?, u32_from(&mut stream)?);
            let length = u32_from(&mut stream)?;
            bytes_from(&mut stream, length as usize)?;
            match kind {
                REPLY_ACK => return Ok(NbdClient(stream)),
                REPLY_INFO => {}
                _ => return Err(io::Error::other("the export was refused")),
            }
        }
    }

    /// Sends a write.
    pub fn send_write(&mut self, cookie: u64, offset: u64, data: &[u8]) -> io::Result<()> {
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(0u16.to_be_bytes());
        out.extend(WRITE.to_be_bytes());
        out.extend(cookie.to_be_bytes());
        out.extend(offset.to_be_bytes());
        out.extend((data.len() as u32).to_be_bytes());
        out.extend(data);
        self.0.write_all(&out)
    }

    /// Reads the reply to a write, and returns its error; 0 for success.
    pub fn write_reply(&mut self) -> io::Result<u32> {
        expect(u32_from(&mut self.0)? == SIMPLE_REPLY_MAGIC, "no simple reply")?;
        let error = u32_from(&mut self.0)?;
        u64_from(&mut self.0)?;
        Ok(error)
    }
}
