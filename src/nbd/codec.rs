//! The layout of NBD's messages: reads and writes them as bytes, for the front as a server and for the endpoint client.
//!
//! Numbers and layouts are those of the NBD protocol document (`doc/proto.md` of the project "nbd"), sections
//! "Values" and "The protocol". All numbers on the wire are big-endian.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// `NBDMAGIC`: the first eight bytes from a server.
pub const INIT_MAGIC: u64 = 0x4e42_444d_4147_4943;
/// `IHAVEOPT`: before each option, and the second eight bytes from a server.
pub const OPT_MAGIC: u64 = 0x4948_4156_454f_5054;
/// Before each reply to an option.
pub const REP_MAGIC: u64 = 0x0003_e889_0455_65a9;
/// Before each request.
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
/// Before each simple reply.
pub const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
/// Before each structured reply chunk.
pub const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

/// Handshake flag of both sides: fixed newstyle negotiation.
pub const FIXED_NEWSTYLE: u16 = 1;
/// Handshake flag of both sides: no padding after the reply to EXPORT_NAME.
pub const NO_ZEROES: u16 = 2;

/// Option numbers (`NBD_OPT_*`), of section "Option types".
pub mod opt {
    /// Chooses an export and ends option haggling; it has no reply that could say why not.
    pub const EXPORT_NAME: u32 = 1;
    /// Ends the session.
    pub const ABORT: u32 = 2;
    /// Asks for the names of all exports.
    pub const LIST: u32 = 3;
    /// Asks about an export.
    pub const INFO: u32 = 6;
    /// Asks about an export, and chooses it.
    pub const GO: u32 = 7;
    /// Negotiates structured replies.
    pub const STRUCTURED_REPLY: u32 = 8;
}

/// Option reply types (`NBD_REP_*`), of section "Option reply types".
pub mod rep {
    /// The option succeeded; no reply follows to it.
    pub const ACK: u32 = 1;
    /// One export of a list.
    pub const SERVER: u32 = 2;
    /// One piece of information on an export.
    pub const INFO: u32 = 3;
    /// The server does not know the option.
    pub const ERR_UNSUP: u32 = 0x8000_0001;
    /// The option's data is malformed.
    pub const ERR_INVALID: u32 = 0x8000_0003;
    /// There is no such export.
    pub const ERR_UNKNOWN: u32 = 0x8000_0006;
    /// The server is shutting down.
    pub const ERR_SHUTDOWN: u32 = 0x8000_0007;
    /// The option's data is too large.
    pub const ERR_TOO_BIG: u32 = 0x8000_0009;
}

/// Information types (`NBD_INFO_*`) of the options INFO and GO.
pub mod info {
    /// Size in bytes and transmission flags.
    pub const EXPORT: u16 = 0;
    /// The export's canonical name.
    pub const NAME: u16 = 1;
    /// A description for people.
    pub const DESCRIPTION: u16 = 2;
    /// Minimum, preferred and maximum block size in bytes.
    pub const BLOCK_SIZE: u16 = 3;
}

/// Transmission flags of an export (`NBD_FLAG_*`).
pub mod transmission_flag {
    /// The field is valid: always set.
    pub const FLAGS: u16 = 1;
    /// The server takes FLUSH.
    pub const FLUSH: u16 = 1 << 2;
    /// The server takes the command flag FUA.
    pub const FUA: u16 = 1 << 3;
    /// The server takes the command flag DF.
    pub const DF: u16 = 1 << 7;
    /// A flush on one connection covers the writes on all of them.
    pub const MULTI_CONN: u16 = 1 << 8;
}

/// Command types (`NBD_CMD_*`), of section "Request types".
pub mod cmd {
    /// Reads a range.
    pub const READ: u16 = 0;
    /// Writes a range.
    pub const WRITE: u16 = 1;
    /// Disconnects; it has no reply.
    pub const DISC: u16 = 2;
    /// Brings all completed writes to stable storage.
    pub const FLUSH: u16 = 3;
}

/// Command flags (`NBD_CMD_FLAG_*`).
pub mod command_flag {
    /// Force unit access: the data is on stable storage before the reply.
    pub const FUA: u16 = 1;
    /// Don't fragment: the data of a read comes in one chunk.
    pub const DF: u16 = 4;
}

/// Flags and types of structured reply chunks (`NBD_REPLY_FLAG_*`, `NBD_REPLY_TYPE_*`).
pub mod chunk {
    /// Flag: the last chunk of its reply.
    pub const DONE: u16 = 1;
    /// Type: no content.
    pub const NONE: u16 = 0;
    /// Type: data and where it begins.
    pub const OFFSET_DATA: u16 = 1;
    /// Type: zeroes, not sent as such, and where they begin.
    pub const OFFSET_HOLE: u16 = 2;
    /// Type: an error of the whole command.
    pub const ERROR: u16 = 0x8001;
    /// Type: an error at an offset.
    pub const ERROR_OFFSET: u16 = 0x8002;
    /// The bit that all types of errors have.
    pub const IS_ERROR: u16 = 0x8000;
}

/// Error values of replies, of section "Error values".
pub mod errno {
    /// Input or output failed.
    pub const IO: u32 = 5;
    /// No memory; here, the command was rejected for want of capacity.
    pub const NOMEM: u32 = 12;
    /// The command is invalid.
    pub const INVAL: u32 = 22;
    /// The server is shutting down.
    pub const SHUTDOWN: u32 = 108;
}

/// A request message of the transmission phase, without a write's data.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Command flags.
    pub flags: u16,
    /// The command type, of [`cmd`].
    pub command: u16,
    /// The client's own number for it, which comes back with the reply.
    pub cookie: u64,
    /// Where its range begins, in bytes.
    pub offset: u64,
    /// The length of its range, in bytes.
    pub length: u32,
}

impl Request {
    /// Its bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(self.flags.to_be_bytes());
        out.extend(self.command.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(self.offset.to_be_bytes());
        out.extend(self.length.to_be_bytes());
        out
    }

    /// Reads one.
    ///
    /// # Errors
    /// The connection failed, or the magic number is wrong: nothing after it can be trusted.
    pub async fn read(from: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        if from.read_u32().await? != REQUEST_MAGIC {
            return Err(protocol_error("a request without its magic number"));
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

/// A reply to an option, with its type and data.
pub fn option_reply(option: u32, kind: u32, data: &[u8]) -> Vec<u8> {
    let mut out = REP_MAGIC.to_be_bytes().to_vec();
    out.extend(option.to_be_bytes());
    out.extend(kind.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend(data);
    out
}

/// An option with its data.
pub fn option(option: u32, data: &[u8]) -> Vec<u8> {
    let mut out = OPT_MAGIC.to_be_bytes().to_vec();
    out.extend(option.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend(data);
    out
}

/// The data of an INFO or GO option.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct InfoRequest {
    /// The export that the client asks about.
    pub export_name: String,
    /// Which information it asks for, of [`info`].
    pub info_types: Vec<u16>,
}

impl InfoRequest {
    /// Its bytes on the wire.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = (self.export_name.len() as u32).to_be_bytes().to_vec();
        out.extend(self.export_name.as_bytes());
        out.extend((self.info_types.len() as u16).to_be_bytes());
        self.info_types.iter().for_each(|info_type| out.extend(info_type.to_be_bytes()));
        out
    }

    /// Reads one; `None` where its lengths do not fit or the name is not UTF-8.
    pub fn parse(data: &[u8]) -> Option<Self> {
        let (length, rest) = data.split_at_checked(4)?;
        let length = u32::from_be_bytes(length.try_into().ok()?) as usize;
        let (name, rest) = rest.split_at_checked(length)?;
        let (count, info_types) = rest.split_at_checked(2)?;
        let count = u16::from_be_bytes(count.try_into().ok()?) as usize;
        if info_types.len() != 2 * count {
            return None;
        }
        let info_types = info_types.chunks_exact(2).map(|pair| u16::from_be_bytes([pair[0], pair[1]]));
        let export_name = String::from_utf8(name.to_vec()).ok()?;
        Some(InfoRequest { export_name, info_types: info_types.collect() })
    }
}

/// The data of an INFO or GO option for this export.
pub fn info_request(export_name: &str, info_types: &[u16]) -> Vec<u8> {
    InfoRequest { export_name: export_name.into(), info_types: info_types.into() }.encode()
}

/// The head of a simple reply; a read's data follows where there is no error.
pub fn simple_reply(error: u32, cookie: u64) -> Vec<u8> {
    let mut out = SIMPLE_REPLY_MAGIC.to_be_bytes().to_vec();
    out.extend(error.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out
}

/// The head of a structured reply chunk; `length` bytes follow.
pub fn chunk_head(flags: u16, kind: u16, cookie: u64, length: usize) -> Vec<u8> {
    let mut out = STRUCTURED_REPLY_MAGIC.to_be_bytes().to_vec();
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

/// An error for what the protocol does not allow; it ends the connection.
pub fn protocol_error(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
