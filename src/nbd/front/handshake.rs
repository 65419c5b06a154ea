//! The handshake phase, up to the client's choice of an export: sections "Fixed newstyle negotiation" and
//! "Option haggling" of the NBD protocol. The number and size of the options that a client may send are
//! limited.

use super::client_stream::{discard, Reader, Writer};
use super::transmission::{MAX_COMMAND_BYTES, MAX_DISCARDED_BYTES};
use super::Shared;
use crate::nbd::codec::{
    info, opt, option_reply, protocol_error, rep, transmission_flag, InfoRequest, FIXED_NEWSTYLE, INIT_MAGIC,
    NO_ZEROES, OPT_MAGIC,
};
use crate::operator::Export;
use std::io;
use tokio::io::{AsyncReadExt, AsyncWriteExt};

/// The maximum number of options that a client may send.
const MAX_OPTIONS: usize = 64;
/// The maximum size of an option's data, in bytes. Larger data is discarded and answered with ERR_TOO_BIG.
const MAX_OPTION_BYTES: u32 = 8192;
/// The size of the reply to EXPORT_NAME: size of the export and transmission flags.
const EXPORT_NAME_REPLY_BYTES: usize = 8 + 2;
/// The size of the same reply with the padding that is sent unless the client set NO_ZEROES.
const PADDED_EXPORT_NAME_REPLY_BYTES: usize = EXPORT_NAME_REPLY_BYTES + 124;
/// The minimum block size that clients are told, in bytes: any range is served.
const MIN_BLOCK_BYTES: u32 = 1;
/// The preferred block size that clients are told, in bytes.
const PREFERRED_BLOCK_BYTES: u32 = 4096;

/// The result of a successful handshake.
pub(super) struct Negotiated {
    /// The export that the client selected.
    pub export: Export,
    /// Whether the client negotiated structured replies.
    pub structured_replies: bool,
}

/// An option that a client sent. `data` is `None` if it is larger than [`MAX_OPTION_BYTES`].
struct ClientOption {
    number: u32,
    data: Option<Vec<u8>>,
}

/// How an option is answered.
enum OptionAnswer {
    /// Sends the reply and waits for the next option.
    Reply(Vec<u8>),
    /// Sends the reply and enters the transmission phase.
    Selected { reply: Vec<u8>, export: Export },
    /// Sends the reply and closes the connection.
    Abort(Vec<u8>),
}

/// Performs the handshake. Returns `None` if the client aborted it, or if EXPORT_NAME failed, which cannot be
/// reported to the client.
///
/// # Errors
/// The connection failed, or the client violated the protocol.
pub(super) async fn handshake(
    shared: &Shared,
    reader: &mut Reader,
    writer: &mut Writer,
) -> io::Result<Option<Negotiated>> {
    let client_flags = exchange_flags(reader, writer).await?;
    let mut haggling = OptionHaggling { shared, client_flags, structured_replies: false };
    for _ in 0..MAX_OPTIONS {
        let option = read_option(reader).await?;
        match haggling.answer(option) {
            OptionAnswer::Reply(reply) => writer.write_all(&reply).await?,
            OptionAnswer::Selected { reply, export } => {
                writer.write_all(&reply).await?;
                let structured_replies = haggling.structured_replies;
                return Ok(Some(Negotiated { export, structured_replies }));
            }
            OptionAnswer::Abort(reply) => {
                writer.write_all(&reply).await?;
                return Ok(None);
            }
        }
    }
    Err(protocol_error("too many options"))
}

/// Exchanges the handshake flags with the client, and returns the client's.
async fn exchange_flags(reader: &mut Reader, writer: &mut Writer) -> io::Result<u32> {
    let mut greeting = INIT_MAGIC.to_be_bytes().to_vec();
    greeting.extend(OPT_MAGIC.to_be_bytes());
    greeting.extend((FIXED_NEWSTYLE | NO_ZEROES).to_be_bytes());
    writer.write_all(&greeting).await?;
    let client_flags = reader.read_u32().await?;
    if client_flags & !u32::from(FIXED_NEWSTYLE | NO_ZEROES) != 0 {
        return Err(protocol_error("unknown client flags"));
    }
    Ok(client_flags)
}

async fn read_option(reader: &mut Reader) -> io::Result<ClientOption> {
    if reader.read_u64().await? != OPT_MAGIC {
        return Err(protocol_error("an option does not begin with the magic number"));
    }
    let number = reader.read_u32().await?;
    let length = reader.read_u32().await?;
    if length > MAX_OPTION_BYTES {
        // EXPORT_NAME has no reply that could report the error.
        if length > MAX_DISCARDED_BYTES || number == opt::EXPORT_NAME {
            return Err(protocol_error("an option is too large"));
        }
        discard(reader, length).await?;
        return Ok(ClientOption { number, data: None });
    }
    let mut data = vec![0; length as usize];
    reader.read_exact(&mut data).await?;
    Ok(ClientOption { number, data: Some(data) })
}

/// The state of option haggling.
struct OptionHaggling<'a> {
    shared: &'a Shared,
    client_flags: u32,
    structured_replies: bool,
}

impl OptionHaggling<'_> {
    fn answer(&mut self, option: ClientOption) -> OptionAnswer {
        let number = option.number;
        let reply = |reply_type| OptionAnswer::Reply(option_reply(number, reply_type, &[]));
        let Some(data) = option.data else { return reply(rep::ERR_TOO_BIG) };
        match number {
            opt::EXPORT_NAME => self.select_by_name(data),
            opt::ABORT => OptionAnswer::Abort(option_reply(number, rep::ACK, &[])),
            _ if self.shared.host.is_stopping() => reply(rep::ERR_SHUTDOWN),
            opt::LIST if data.is_empty() => OptionAnswer::Reply(self.list_exports()),
            opt::STRUCTURED_REPLY if data.is_empty() => {
                self.structured_replies = true;
                reply(rep::ACK)
            }
            opt::LIST | opt::STRUCTURED_REPLY => reply(rep::ERR_INVALID),
            opt::INFO | opt::GO => self.info_or_go(number, &data),
            _ => reply(rep::ERR_UNSUP),
        }
    }

    fn find_export(&self, name: &str) -> Option<&Export> {
        self.shared.operator.exports.iter().find(|export| export.name == name)
    }

    /// Answers EXPORT_NAME. Its reply cannot report an error, so the connection is closed instead.
    fn select_by_name(&self, name: Vec<u8>) -> OptionAnswer {
        let export = String::from_utf8(name).ok().and_then(|name| self.find_export(&name));
        let Some(export) = export.filter(|_| !self.shared.host.is_stopping()) else {
            return OptionAnswer::Abort(Vec::new());
        };
        let mut reply = export.size.to_be_bytes().to_vec();
        reply.extend(transmission_flags(self.structured_replies).to_be_bytes());
        let padded = self.client_flags & u32::from(NO_ZEROES) == 0;
        reply.resize(if padded { PADDED_EXPORT_NAME_REPLY_BYTES } else { EXPORT_NAME_REPLY_BYTES }, 0);
        OptionAnswer::Selected { reply, export: export.clone() }
    }

    /// Encodes the replies to LIST: one for each export, and the final ACK.
    fn list_exports(&self) -> Vec<u8> {
        let server = |export: &Export| {
            let name = export.name.as_bytes();
            let data = [&(name.len() as u32).to_be_bytes(), name].concat();
            option_reply(opt::LIST, rep::SERVER, &data)
        };
        let mut reply: Vec<u8> = self.shared.operator.exports.iter().flat_map(server).collect();
        reply.extend(option_reply(opt::LIST, rep::ACK, &[]));
        reply
    }

    fn info_or_go(&self, number: u32, data: &[u8]) -> OptionAnswer {
        let Some(request) = InfoRequest::parse(data) else {
            return OptionAnswer::Reply(option_reply(number, rep::ERR_INVALID, &[]));
        };
        let Some(export) = self.find_export(&request.export_name) else {
            return OptionAnswer::Reply(option_reply(number, rep::ERR_UNKNOWN, b"there is no such export"));
        };
        let reply = export_info(number, export, self.structured_replies, &request.info_types);
        match number {
            opt::GO => OptionAnswer::Selected { reply, export: export.clone() },
            _ => OptionAnswer::Reply(reply),
        }
    }
}

/// Returns the transmission flags of every export. MULTI_CONN is set because a flush covers the writes of all
/// connections: it is sent to every shard of the export, or waits for all buffered writes to the export.
fn transmission_flags(structured_replies: bool) -> u16 {
    let read_flags = if structured_replies { transmission_flag::DF } else { 0 };
    let write_flags = transmission_flag::FLUSH | transmission_flag::FUA | transmission_flag::MULTI_CONN;
    transmission_flag::FLAGS | write_flags | read_flags
}

/// Encodes the replies to INFO or GO: the size, flags and block sizes, which are always sent, the other
/// information that the client requested, and the final ACK.
fn export_info(option: u32, export: &Export, structured_replies: bool, info_types: &[u16]) -> Vec<u8> {
    let info = |info_type: u16, data: &[u8]| {
        option_reply(option, rep::INFO, &[&info_type.to_be_bytes(), data].concat())
    };
    let size = export.size.to_be_bytes();
    let flags = transmission_flags(structured_replies).to_be_bytes();
    let mut reply = info(info::EXPORT, &[&size[..], &flags].concat());
    if info_types.contains(&info::NAME) {
        reply.extend(info(info::NAME, export.name.as_bytes()));
    }
    if info_types.contains(&info::DESCRIPTION) {
        reply.extend(info(info::DESCRIPTION, format!("a volume of {}", export.team).as_bytes()));
    }
    let block_sizes = [MIN_BLOCK_BYTES, PREFERRED_BLOCK_BYTES, MAX_COMMAND_BYTES].map(u32::to_be_bytes);
    reply.extend(info(info::BLOCK_SIZE, &block_sizes.concat()));
    reply.extend(option_reply(option, rep::ACK, &[]));
    reply
}
