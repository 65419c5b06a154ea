//! The handshake phase: "Fixed newstyle negotiation" and "Option haggling" of the NBD protocol, until the client has
//! chosen an export. What is read before a client has chosen one is bounded in number and size.

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

/// Options that a client may send.
const MAX_OPTIONS: usize = 64;
/// The largest option that is looked at, in bytes.
const MAX_OPTION_BYTES: u32 = 8192;
/// The reply to EXPORT_NAME: size in bytes and transmission flags, and padding unless the client set NO_ZEROES.
const EXPORT_NAME_REPLY_BYTES: usize = 8 + 2;
const PADDED_EXPORT_NAME_REPLY_BYTES: usize = EXPORT_NAME_REPLY_BYTES + 124;
/// Any block size is served, and this one is preferred, in bytes.
const MIN_BLOCK_BYTES: u32 = 1;
const PREFERRED_BLOCK_BYTES: u32 = 4096;

/// What a client chose.
pub(super) struct Negotiated {
    /// The export that it mounts.
    pub export: Export,
    /// Whether it takes structured replies.
    pub structured_replies: bool,
}

/// One option; its data is left out where it is too large.
struct ClientOption {
    number: u32,
    data: Option<Vec<u8>>,
}

/// What follows an option.
enum OptionAnswer {
    /// A reply, and then another option.
    Reply(Vec<u8>),
    /// A reply, and the transmission phase.
    Chosen { reply: Vec<u8>, export: Export },
    /// A reply, and the end of the connection.
    Abort(Vec<u8>),
}

/// Goes through the handshake; `None`: the client left, or asked for what its last option can't be refused.
///
/// # Errors
/// The connection failed, or the client broke the protocol.
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
            OptionAnswer::Chosen { reply, export } => {
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
    Err(protocol_error("no end of options"))
}

/// The first messages of both sides; returns the client's flags.
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
        return Err(protocol_error("an option without its magic number"));
    }
    let number = reader.read_u32().await?;
    let length = reader.read_u32().await?;
    if length > MAX_OPTION_BYTES {
        // EXPORT_NAME has no reply that could say so.
        if length > MAX_DISCARDED_BYTES || number == opt::EXPORT_NAME {
            return Err(protocol_error("an option too large"));
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
            opt::EXPORT_NAME => self.choose_by_name(data),
            opt::ABORT => OptionAnswer::Abort(option_reply(number, rep::ACK, &[])),
            _ if self.shared.host.is_stopping() => reply(rep::ERR_SHUTDOWN),
            opt::LIST if data.is_empty() => OptionAnswer::Reply(self.list()),
            opt::STRUCTURED_REPLY if data.is_empty() => {
                self.structured_replies = true;
                reply(rep::ACK)
            }
            opt::LIST | opt::STRUCTURED_REPLY => reply(rep::ERR_INVALID),
            opt::INFO | opt::GO => self.info_or_go(number, &data),
            _ => reply(rep::ERR_UNSUP),
        }
    }

    fn export(&self, name: &str) -> Option<&Export> {
        self.shared.operator.exports.iter().find(|export| export.name == name)
    }

    /// EXPORT_NAME has no reply for an error: the connection ends.
    fn choose_by_name(&self, name: Vec<u8>) -> OptionAnswer {
        let export = String::from_utf8(name).ok().and_then(|name| self.export(&name));
        let Some(export) = export.filter(|_| !self.shared.host.is_stopping()) else {
            return OptionAnswer::Abort(Vec::new());
        };
        let mut reply = export.size.to_be_bytes().to_vec();
        reply.extend(transmission_flags(self.structured_replies).to_be_bytes());
        let padded = self.client_flags & u32::from(NO_ZEROES) == 0;
        reply.resize(if padded { PADDED_EXPORT_NAME_REPLY_BYTES } else { EXPORT_NAME_REPLY_BYTES }, 0);
        OptionAnswer::Chosen { reply, export: export.clone() }
    }

    fn list(&self) -> Vec<u8> {
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
        let Some(export) = self.export(&request.export_name) else {
            return OptionAnswer::Reply(option_reply(number, rep::ERR_UNKNOWN, b"there is no such export"));
        };
        let reply = export_info(number, export, self.structured_replies, &request.info_types);
        match number {
            opt::GO => OptionAnswer::Chosen { reply, export: export.clone() },
            _ => OptionAnswer::Reply(reply),
        }
    }
}

/// Several connections may be used at once: a flush reaches every endpoint, whichever connection wrote.
fn transmission_flags(structured_replies: bool) -> u16 {
    let reads = if structured_replies { transmission_flag::DF } else { 0 };
    let writes = transmission_flag::FLUSH | transmission_flag::FUA | transmission_flag::MULTI_CONN;
    transmission_flag::FLAGS | writes | reads
}

/// The replies to INFO or GO: what has to be told, and what was asked for.
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
