//! Encodes and decodes NBD messages, for the front as a server and for the endpoint client.
//!
//! Numbers and layouts are those of the NBD protocol specification (`doc/proto.md` of the project "nbd"),
//! sections "Values" and "The protocol". All numbers on the wire are big-endian.

use std::io;
use tokio::io::{AsyncRead, AsyncReadExt};

/// `NBDMAGIC`: the first eight bytes that a server sends.
pub const INIT_MAGIC: u64 = 0x4e42_444d_4147_4943;
/// `IHAVEOPT`: precedes each option, and is the second eight bytes that a server sends.
pub const OPT_MAGIC: u64 = 0x4948_4156_454f_5054;
/// Precedes each reply to an option.
pub const REP_MAGIC: u64 = 0x0003_e889_0455_65a9;
/// Precedes each request.
pub const REQUEST_MAGIC: u32 = 0x2560_9513;
/// Precedes each simple reply.
pub const SIMPLE_REPLY_MAGIC: u32 = 0x6744_6698;
/// Precedes each structured reply chunk.
pub const STRUCTURED_REPLY_MAGIC: u32 = 0x668e_33ef;

/// Handshake flag of both sides: fixed newstyle negotiation.
pub const FIXED_NEWSTYLE: u16 = 1;
/// Handshake flag of both sides: the reply to EXPORT_NAME is not padded.
pub const NO_ZEROES: u16 = 2;

/// Option numbers (`NBD_OPT_*`), from section "Option types".
pub mod opt {
    /// Selects an export and ends option haggling. No reply can report an error.
    pub const EXPORT_NAME: u32 = 1;
    /// Ends the session.
    pub const ABORT: u32 = 2;
    /// Requests the names of all exports.
    pub const LIST: u32 = 3;
    /// Requests information on an export.
    pub const INFO: u32 = 6;
    /// Requests information on an export, selects it and ends option haggling.
    pub const GO: u32 = 7;
    /// Negotiates structured replies.
    pub const STRUCTURED_REPLY: u32 = 8;
}

/// Option reply types (`NBD_REP_*`), from section "Option reply types".
pub mod rep {
    /// The option succeeded; this is the last reply to the option.
    pub const ACK: u32 = 1;
    /// One entry of the list of exports.
    pub const SERVER: u32 = 2;
    /// One item of information on an export.
    pub const INFO: u32 = 3;
    /// The server does not support the option.
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

/// Information types (`NBD_INFO_*`) of the INFO and GO options.
pub mod info {
    /// Size in bytes and transmission flags.
    pub const EXPORT: u16 = 0;
    /// The export's canonical name.
    pub const NAME: u16 = 1;
    /// A human-readable description.
    pub const DESCRIPTION: u16 = 2;
    /// Minimum, preferred and maximum block size in bytes.
    pub const BLOCK_SIZE: u16 = 3;
}

/// Transmission flags of an export (`NBD_FLAG_*`).
pub mod transmission_flag {
    /// `NBD_FLAG_HAS_FLAGS`: the field is valid. Always set.
    pub const FLAGS: u16 = 1;
    /// The server supports FLUSH.
    pub const FLUSH: u16 = 1 << 2;
    /// The server supports the command flag FUA.
    pub const FUA: u16 = 1 << 3;
    /// The server supports the command flag DF.
    pub const DF: u16 = 1 << 7;
    /// A flush on one connection covers the completed writes on all connections.
    pub const MULTI_CONN: u16 = 1 << 8;
}

/// Command types (`NBD_CMD_*`), from section "Request types".
pub mod cmd {
    /// Reads a range.
    pub const READ: u16 = 0;
    /// Writes a range.
    pub const WRITE: u16 = 1;
    /// Disconnects; the command has no reply.
    pub const DISC: u16 = 2;
    /// Writes the data of all completed writes to stable storage.
    pub const FLUSH: u16 = 3;
}

/// Command flags (`NBD_CMD_FLAG_*`).
pub mod command_flag {
    /// Force unit access: the data is on stable storage before the reply.
    pub const FUA: u16 = 1;
    /// Don't fragment: the reply to a read carries its data in one chunk.
    pub const DF: u16 = 4;
}

/// Flags and types of structured reply chunks (`NBD_REPLY_FLAG_*`, `NBD_REPLY_TYPE_*`).
pub mod chunk {
    /// Flag: this is the last chunk of its reply.
    pub const DONE: u16 = 1;
    /// Type: no content.
    pub const NONE: u16 = 0;
    /// Type: data, and the offset at which it begins.
    pub const OFFSET_DATA: u16 = 1;
    /// Type: the offset and size of a range of zeroes, whose bytes are not sent.
    pub const OFFSET_HOLE: u16 = 2;
    /// Type: an error that is not tied to an offset.
    pub const ERROR: u16 = 0x8001;
    /// Type: an error at an offset.
    pub const ERROR_OFFSET: u16 = 0x8002;
    /// The bit that is set in all error types.
    pub const IS_ERROR: u16 = 0x8000;
}

/// Error values of replies, from section "Error values".
pub mod errno {
    /// I/O error.
    pub const IO: u32 = 5;
    /// Cannot allocate memory. This server uses it for commands that are rejected for lack of capacity.
    pub const NOMEM: u32 = 12;
    /// The command is invalid.
    pub const INVAL: u32 = 22;
    /// The server is shutting down.
    pub const SHUTDOWN: u32 = 108;
}

/// A request of the transmission phase, without the data of a write.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Request {
    /// Command flags.
    pub flags: u16,
    /// The command type, one of [`cmd`].
    pub command: u16,
    /// Identifies the request; chosen by the client and repeated in the reply.
    pub cookie: u64,
    /// The offset of the requested range, in bytes.
    pub offset: u64,
    /// The length of the requested range, in bytes.
    pub length: u32,
}

impl Request {
    /// Encodes the request.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = REQUEST_MAGIC.to_be_bytes().to_vec();
        out.extend(self.flags.to_be_bytes());
        out.extend(self.command.to_be_bytes());
        out.extend(self.cookie.to_be_bytes());
        out.extend(self.offset.to_be_bytes());
        out.extend(self.length.to_be_bytes());
        out
    }

    /// Reads a request from `reader`.
    ///
    /// # Errors
    /// The connection failed, or the magic number is wrong and the bytes that follow cannot be interpreted.
    pub async fn read(reader: &mut (impl AsyncRead + Unpin)) -> io::Result<Self> {
        if reader.read_u32().await? != REQUEST_MAGIC {
            return Err(protocol_error("a request does not begin with the magic number"));
        }
        Ok(Request {
            flags: reader.read_u16().await?,
            command: reader.read_u16().await?,
            cookie: reader.read_u64().await?,
            offset: reader.read_u64().await?,
            length: reader.read_u32().await?,
        })
    }
}

/// Encodes a reply to an option. `reply_type` is one of [`rep`].
pub fn option_reply(option: u32, reply_type: u32, data: &[u8]) -> Vec<u8> {
    let mut out = REP_MAGIC.to_be_bytes().to_vec();
    out.extend(option.to_be_bytes());
    out.extend(reply_type.to_be_bytes());
    out.extend((data.len() as u32).to_be_bytes());
    out.extend(data);
    out
}

/// Encodes an option with its data.
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
    /// The name of the export.
    pub export_name: String,
    /// The types of information that the client requests, from [`info`].
    pub info_types: Vec<u16>,
}

impl InfoRequest {
    /// Encodes the data of the option.
    pub fn encode(&self) -> Vec<u8> {
        let mut out = (self.export_name.len() as u32).to_be_bytes().to_vec();
        out.extend(self.export_name.as_bytes());
        out.extend((self.info_types.len() as u16).to_be_bytes());
        self.info_types.iter().for_each(|info_type| out.extend(info_type.to_be_bytes()));
        out
    }

    /// Parses the data of the option. Returns `None` if its lengths are inconsistent or the name is not
    /// UTF-8.
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

/// Encodes the data of an INFO or GO option.
pub fn info_request(export_name: &str, info_types: &[u16]) -> Vec<u8> {
    InfoRequest { export_name: export_name.into(), info_types: info_types.into() }.encode()
}

/// Encodes the header of a simple reply. The data of a read follows if `error` is 0.
pub fn simple_reply(error: u32, cookie: u64) -> Vec<u8> {
    let mut out = SIMPLE_REPLY_MAGIC.to_be_bytes().to_vec();
    out.extend(error.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out
}

/// Encodes the header of a structured reply chunk, which `length` bytes of content follow.
pub fn chunk_header(flags: u16, chunk_type: u16, cookie: u64, length: usize) -> Vec<u8> {
    let mut out = STRUCTURED_REPLY_MAGIC.to_be_bytes().to_vec();
    out.extend(flags.to_be_bytes());
    out.extend(chunk_type.to_be_bytes());
    out.extend(cookie.to_be_bytes());
    out.extend((length as u32).to_be_bytes());
    out
}

/// Encodes an error chunk that ends its reply. `offset` is where in the export the command failed, if known.
pub fn error_chunk(cookie: u64, error: u32, text: &str, offset: Option<u64>) -> Vec<u8> {
    let chunk_type = if offset.is_some() { chunk::ERROR_OFFSET } else { chunk::ERROR };
    let length = 6 + text.len() + if offset.is_some() { 8 } else { 0 };
    let mut out = chunk_header(chunk::DONE, chunk_type, cookie, length);
    out.extend(error.to_be_bytes());
    out.extend((text.len() as u16).to_be_bytes());
    out.extend(text.as_bytes());
    out.extend(offset.into_iter().flat_map(u64::to_be_bytes));
    out
}

/// Creates the error for a violation of the protocol, which ends the connection.
pub fn protocol_error(what: &str) -> io::Error {
    io::Error::new(io::ErrorKind::InvalidData, what)
}
