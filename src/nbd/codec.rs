//! NBD's numbers and the layout of its messages, as its protocol document gives them.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// The first eight bytes from a server.
pub const INIT_MAGIC: u64 = 0x4e42_444d_4147_4943;
/// Before each option, and the second eight bytes from a server.
pub const OPT_MAGIC: u64 = 0x4948_4156_454f_5054;
/// Before each reply to an option.
pub const REP_MAGIC: u64 = 0x0003_e889_0455_65a9;
/// Before each request.
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
/// Before each simple reply.
pub const SIMPLE_MAGIC: u32 = 0x6744_6698;
/// Before each structured reply chunk.
pub const CHUNK_MAGIC: u32 = 0x668e_33ef;

/// Handshake flags of both sides.
pub const FIXED_NEWSTYLE: u16 = 1;
/// Handshake flag: no padding after an export's size.
pub const NO_ZEROES: u16 = 2;

/// Options.
pub mod opt {
    #![allow(missing_docs)]
    pub const EXPORT_NAME: u32 = 1;
    pub const ABORT: u32 = 2;
    pub const LIST: u32 = 3;
    pub const INFO: u32 = 6;
    pub const GO: u32 = 7;
    pub const STRUCTURED_REPLY: u32 = 8;
}

/// Replies to options.
pub mod rep {
    #![allow(missing_docs)]
    pub const ACK: u32 = 1;
    pub const SERVER: u32 = 2;
    pub const INFO: u32 = 3;
    pub const ERR_UNSUP: u32 = 0x8000_0001;
    pub const ERR_INVALID: u32 = 0x8000_0003;
    pub const ERR_UNKNOWN: u32 = 0x8000_0006;
    pub const ERR_SHUTDOWN: u32 = 0x8000_0007;
    pub const ERR_TOO_BIG: u32 = 0x8000_0009;
}

/// What an INFO or GO option tells.
pub mod info {
    #![allow(missing_docs)]
    pub const EXPORT: u16 = 0;
    pub const NAME: u16 = 1;
    pub const DESCRIPTION: u16 = 2;
    pub const BLOCK_SIZE: u16 = 3;
}

/// Transmission flags of an export.
pub mod has {
    #![allow(missing_docs)]
    pub const FLAGS: u16 = 1;
    pub const FLUSH: u16 = 1 << 2;
    pub const FUA: u16 = 1 << 3;
    pub const DF: u16 = 1 << 7;
    pub const MULTI_CONN: u16 = 1 << 8;
}

/// Commands.
pub mod cmd {
    #![allow(missing_docs)]
    pub const READ: u16 = 0;
    pub const WRITE: u16 = 1;
    pub const DISC: u16 = 2;
    pub const FLUSH: u16 = 3;
}

/// Command flags.
pub mod flag {
    #![allow(missing_docs)]
    pub const FUA: u16 = 1;
    pub const DF: u16 = 4;
}

/// Chunks of a structured reply.
pub mod chunk {
    #![allow(missing_docs)]
    pub const DONE: u16 = 1;
    pub const NONE: u16 = 0;
    pub const OFFSET_DATA: u16 = 1;
    pub const OFFSET_HOLE: u16 = 2;
    pub const ERROR: u16 = 0x8001;
    pub const ERROR_OFFSET: u16 = 0x8002;
    pub const IS_ERROR: u16 = 0x8000;
}

/// Errors.
pub mod errno {
    #![allow(missing_docs)]
    pub const IO: u32 = 5;
    pub const NOMEM: u32 = 12;
    pub const INVAL: u32 = 22;
    pub const SHUTDOWN: u32 = 108;
}

/// One request of the transmission phase, without a write's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Command flags.
    pub flags: u16,
    /// The command.
    pub command: u16,
    /// Comes back with the reply.
    pub cookie: u64,
    /// From where.
    pub offset: u64,
    /// How many bytes.
    pub length: u32,
}

impl Request {
    /// As bytes.
    pub fn bytes(&self) -> Vec<u8> {
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(self.flags.to_be_bytes());
        out.extend(self.command.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(self.offset.to_be_bytes());
        out.extend(self.length.to_be_bytes());
        out
    }

    /// Reads one; a wrong magic number is an error, for nothing after it can be trusted.
    pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        if from.read_u32().await? != REQUEST_MAGIC {
            return Err(strange("a request without its magic number"));
        }
        Ok(Request {
            flags: from.read_u16().await?,
            command: from.read_u16().await?,
            cookie: from.read_u64().await?,
            offset: from.read_u64().await?,
            length: from.read_u32().await?,
        })
    }
}

/// A reply to an option.
pub fn option_reply(option: u32, kind: u32, data: &[u8]) -> Vec<u8> {
    let mut out = REP_MAGIC.to_be_bytes().to_vec();
    out.extend(option.to_be_bytes());
    out.extend(kind.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend(data);
    out
}

/// An option.
pub fn option(option: u32, data: &[u8]) -> Vec<u8> {
    let mut out = OPT_MAGIC.to_be_bytes().to_vec();
    out.extend(option.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend(data);
    out
}

/// The data of an INFO or GO option: a name and what is asked about it.
pub fn info_request(name: &str, asks: &[u16]) -> Vec<u8> {
    let mut out = (name.len() as u32).to_be_bytes().to_vec();
    out.extend(name.as_bytes());
    out.extend((asks.len() as u16).to_be_bytes());
    asks.iter().for_each(|a| out.extend(a.to_be_bytes()));
    out
}

/// Name and asks of an INFO or GO option; `None` where its lengths do not fit.
pub fn parse_info_request(data: &[u8]) -> Option<(String, Vec<u16>)> {
    let (length, rest) = data.split_at_checked(4)?;
    let (name, rest) = rest.split_at_checked(u32::from_be_bytes(length.try_into().ok()?) as usize)?;
    let (count, asks) = rest.split_at_checked(2)?;
    let count = u16::from_be_bytes(count.try_into().ok()?) as usize;
    let asks: Vec<u16> =
        asks.chunks(2).filter_map(|a| Some(u16::from_be_bytes(a.try_into().ok()?))).collect();
    (rest.len() == 2 + 2 * count).then_some((String::from_utf8(name.to_vec()).ok()?, asks))
}

/// The head of a simple reply; a read's data follows where there is no error.
pub fn simple_reply(error: u32, cookie: u64) -> Vec<u8> {
    let mut out = SIMPLE_MAGIC.to_be_bytes().to_vec();
    out.extend(error.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out
}

/// The head of a chunk; `length` bytes follow.
pub fn chunk_head(flags: u16, kind: u16, cookie: u64, length: usize) -> Vec<u8> {
    let mut out = CHUNK_MAGIC.to_be_bytes().to_vec();
    out.extend(flags.to_be_bytes());
    out.extend(kind.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out.extend((length as u32).to_be_bytes());
    out
}

/// A whole error chunk, the last of its reply; with an offset where one is to blame.
pub fn error_chunk(cookie: u64, error: u32, text: &str, offset: Option<u64>) -> Vec<u8> {
    let kind = if offset.is_some() { chunk::ERROR_OFFSET } else { chunk::ERROR };
    let length = 6 + text.len() + if offset.is_some() { 8 } else { 0 };
    let mut out = chunk_head(chunk::DONE, kind, cookie, length);
    out.extend(error.to_be_bytes());
    out.extend((text.len() as u16).to_be_bytes());
    out.extend(text.as_bytes());
    out.extend(offset.into_iter().flat_map(u64::to_be_bytes));
    out
}

/// An error for what the protocol does not allow.
pub fn strange(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
