//! NBD as a client speaks it: the fixed newstyle handshake, GO, and simple replies.

use std::io::{self, Read, Write};
use std::net::TcpStream;
use std::time::Duration;

pub const INIT_MAGIC: u64 = 0x4e42_444d_4147_4943;
pub const OPT_MAGIC: u64 = 0x4948_4156_454f_5054;
pub const REP_MAGIC: u64 = 0x0003_e889_0455_65a9;
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
pub const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
pub const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

pub const OPT_ABORT: u32 = 2;
pub const OPT_GO: u32 = 7;
pub const OPT_STRUCTURED_REPLY: u32 = 8;
pub const REP_ACK: u32 = 1;
pub const REP_INFO: u32 = 3;
pub const REP_ERR_UNSUP: u32 = 0x8000_0001;

pub const FLAG_HAS_FLAGS: u16 = 1;
pub const FLAG_FLUSH: u16 = 1 << 2;
pub const FLAG_FUA: u16 = 1 << 3;
pub const FLAG_MULTI_CONN: u16 = 1 << 8;

pub const READ: u16 = 0;
pub const WRITE: u16 = 1;
pub const DISC: u16 = 2;
pub const FLUSH: u16 = 3;
/// The command flag FUA.
pub const FUA: u16 = 1;
pub const EIO: u32 = 5;

pub fn read_u16(from: &mut impl Read) -> io::Result<u16> {
    let mut bytes = [0; 2];
    from.read_exact(&mut bytes).map(|()| u16::from_be_bytes(bytes))
}

pub fn read_u32(from: &mut impl Read) -> io::Result<u32> {
    let mut bytes = [0; 4];
    from.read_exact(&mut bytes).map(|()| u32::from_be_bytes(bytes))
}

pub fn read_u64(from: &mut impl Read) -> io::Result<u64> {
    let mut bytes = [0; 8];
    from.read_exact(&mut bytes).map(|()| u64::from_be_bytes(bytes))
}

/// A reply: the client's cookie, the error value (0: none) and the data of a read.
#[derive(Clone, Debug)]
pub struct Reply {
    pub cookie: u64,
    pub error: u32,
    pub data: Vec<u8>,
}

/// A client in the transmission phase.
pub struct Client {
    pub stream: TcpStream,
    cookie: u64,
    /// The lengths of the reads whose replies are still to come.
    reads: std::collections::HashMap<u64, u32>,
}

impl Client {
    /// Connects and selects an export.
    pub fn connect(port: u16, export: &str) -> io::Result<Self> {
        let mut stream = TcpStream::connect(("127.0.0.1", port))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(60)))?;
        if read_u64(&mut stream)? != INIT_MAGIC || read_u64(&mut stream)? != OPT_MAGIC {
            return Err(io::Error::other("not a newstyle server"));
        }
        read_u16(&mut stream)?;
        stream.write_all(&3u32.to_be_bytes())?;
        let mut data = (export.len() as u32).to_be_bytes().to_vec();
        data.extend(export.as_bytes());
        data.extend(0u16.to_be_bytes());
        let mut option = OPT_MAGIC.to_be_bytes().to_vec();
        option.extend(OPT_GO.to_be_bytes());
        option.extend((data.len() as u32).to_be_bytes());
        option.extend(data);
        stream.write_all(&option)?;
        loop {
            read_u64(&mut stream)?;
            read_u32(&mut stream)?;
            let reply = read_u32(&mut stream)?;
            let length = read_u32(&mut stream)?;
            stream.read_exact(&mut vec![0; length as usize])?;
            match reply {
                REP_ACK => return Ok(Client { stream, cookie: 0, reads: Default::default() }),
                REP_INFO => {}
                other => return Err(io::Error::other(format!("the export was refused: {other:x}"))),
            }
        }
    }

    /// Encodes a command without the data of a write, and returns it with its cookie.
    pub fn encode(&mut self, command: u16, flags: u16, offset: u64, length: u32) -> (u64, Vec<u8>) {
        self.cookie += 1;
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(flags.to_be_bytes());
        out.extend(command.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(offset.to_be_bytes());
        out.extend(length.to_be_bytes());
        if command == READ {
            self.reads.insert(self.cookie, length);
        }
        (self.cookie, out)
    }

    /// Sends a command and returns its cookie.
    pub fn send(
        &mut self,
        command: u16,
        flags: u16,
        offset: u64,
        length: u32,
        data: &[u8],
    ) -> io::Result<u64> {
        let (cookie, mut out) = self.encode(command, flags, offset, length);
        out.extend(data);
        self.stream.write_all(&out).map(|()| cookie)
    }

    /// Receives the next reply.
    pub fn receive(&mut self) -> io::Result<Reply> {
        if read_u32(&mut self.stream)? != SIMPLE_REPLY_MAGIC {
            return Err(io::Error::other("not a simple reply"));
        }
        let error = read_u32(&mut self.stream)?;
        let cookie = read_u64(&mut self.stream)?;
        let length = self.reads.remove(&cookie).filter(|_| error == 0).unwrap_or(0);
        let mut data = vec![0; length as usize];
        self.stream.read_exact(&mut data)?;
        Ok(Reply { cookie, error, data })
    }

    /// Writes `length` bytes of one value and waits for the reply.
    pub fn write(&mut self, offset: u64, value: u8, length: u32, flags: u16) -> io::Result<Reply> {
        self.send(WRITE, flags, offset, length, &vec![value; length as usize])?;
        self.receive()
    }

    /// Reads and waits for the reply.
    pub fn read(&mut self, offset: u64, length: u32) -> io::Result<Reply> {
        self.send(READ, 0, offset, length, &[])?;
        self.receive()
    }

    /// Flushes and waits for the reply.
    pub fn flush(&mut self) -> io::Result<Reply> {
        self.send(FLUSH, 0, 0, 0, &[])?;
        self.receive()
    }
}
