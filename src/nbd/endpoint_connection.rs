//! One connection to an endpoint, as an NBD client: the handshake, then one command after the other.
//!
//! A reply is read to its end or the connection is not used again, for the bytes of a half-read reply would be taken
//! for the next command's.

use super::codec::{
    chunk, cmd, command_flag, errno, info, info_request, opt, option, protocol_error, rep, transmission_flag,
    Request, FIXED_NEWSTYLE, INIT_MAGIC, NO_ZEROES, OPT_MAGIC, REP_MAGIC, SIMPLE_REPLY_MAGIC,
    STRUCTURED_REPLY_MAGIC,
};
use super::endpoint_client::EndpointCommand;
use crate::outcome::TransportOutcome;
use crate::runtime::sockets::Uninterrupted;
use bytes::Bytes;
use std::io;
use std::ops::Range;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The most bytes that an endpoint may send in an option reply or in an error chunk.
const MAX_TEXT_BYTES: u32 = 4096;
/// Option replies that an endpoint may send to one option.
const MAX_OPTION_REPLIES: usize = 64;
/// The reply to EXPORT_NAME ends with so many bytes of padding, unless both sides set NO_ZEROES.
const EXPORT_NAME_PADDING_BYTES: usize = 124;
/// An INFO reply of type EXPORT: type, size in bytes, transmission flags.
const EXPORT_INFO_BYTES: usize = 2 + 8 + 2;
/// The offset that begins the content of a chunk with data.
const CHUNK_OFFSET_BYTES: u32 = 8;
/// The content of an OFFSET_HOLE chunk: an offset and a size.
const HOLE_BYTES: u32 = CHUNK_OFFSET_BYTES + 4;
/// The error value that begins an error chunk.
const ERROR_VALUE_BYTES: usize = 4;
/// The shortest error chunk: an error value and the length of an empty text.
const MIN_ERROR_BYTES: u32 = 6;

/// A connection past its handshake.
pub(super) struct EndpointConnection {
    stream: BufReader<Uninterrupted<TcpStream>>,
    transmission_flags: u16,
    structured_replies: bool,
    last_cookie: u64,
}

/// What an endpoint replied to a command.
pub(super) struct EndpointReply {
    /// How the attempt ended.
    pub outcome: TransportOutcome,
    /// The data of a read that is complete.
    pub data: Bytes,
}

impl EndpointReply {
    fn without_data(outcome: TransportOutcome) -> Self {
        EndpointReply { outcome, data: Bytes::new() }
    }
}

/// A reply message: an error value, 0 for none, and the data of a read.
struct ReplyMessage {
    error: u32,
    data: Vec<u8>,
}

/// A reply to an option.
struct OptionReply {
    reply_type: u32,
    data: Vec<u8>,
}

impl EndpointConnection {
    /// Section "Fixed newstyle negotiation", up to the transmission phase.
    pub async fn handshake(stream: TcpStream, export_name: &str) -> io::Result<Self> {
        let mut stream = BufReader::new(Uninterrupted(stream));
        if stream.read_u64().await? != INIT_MAGIC || stream.read_u64().await? != OPT_MAGIC {
            return Err(protocol_error("not a newstyle server"));
        }
        let server_flags = stream.read_u16().await?;
        if server_flags & FIXED_NEWSTYLE == 0 {
            return Err(protocol_error("not a fixed newstyle server"));
        }
        let client_flags = server_flags & (FIXED_NEWSTYLE | NO_ZEROES);
        stream.write_all(&u32::from(client_flags).to_be_bytes()).await?;
        let mut connection =
            EndpointConnection { stream, transmission_flags: 0, structured_replies: false, last_cookie: 0 };
        connection.negotiate_structured_replies().await?;
        connection.choose_export(export_name, client_flags).await?;
        Ok(connection)
    }

    async fn negotiate_structured_replies(&mut self) -> io::Result<()> {
        self.stream.write_all(&option(opt::STRUCTURED_REPLY, &[])).await?;
        let reply = self.option_reply(opt::STRUCTURED_REPLY).await?;
        self.structured_replies = reply.reply_type == rep::ACK;
        Ok(())
    }

    async fn choose_export(&mut self, export_name: &str, client_flags: u16) -> io::Result<()> {
        self.stream.write_all(&option(opt::GO, &info_request(export_name, &[]))).await?;
        for _ in 0..MAX_OPTION_REPLIES {
            let OptionReply { reply_type, data } = self.option_reply(opt::GO).await?;
            match reply_type {
                rep::ACK if self.transmission_flags & transmission_flag::FLAGS != 0 => return Ok(()),
                rep::INFO => self.learn_info(&data),
                rep::ERR_UNSUP => return self.choose_export_by_name(export_name, client_flags).await,
                _ => return Err(protocol_error("the export was refused")),
            }
        }
        Err(protocol_error("no end of option replies"))
    }

    fn learn_info(&mut self, data: &[u8]) {
        if data.len() == EXPORT_INFO_BYTES && data[..2] == info::EXPORT.to_be_bytes() {
            self.transmission_flags = u16::from_be_bytes([data[10], data[11]]);
        }
    }

    /// For servers that do not know GO.
    async fn choose_export_by_name(&mut self, export_name: &str, client_flags: u16) -> io::Result<()> {
        self.stream.write_all(&option(opt::EXPORT_NAME, export_name.as_bytes())).await?;
        let _size = self.stream.read_u64().await?;
        self.transmission_flags = self.stream.read_u16().await?;
        if client_flags & NO_ZEROES == 0 {
            self.stream.read_exact(&mut [0; EXPORT_NAME_PADDING_BYTES]).await?;
        }
        Ok(())
    }

    async fn option_reply(&mut self, asked: u32) -> io::Result<OptionReply> {
        let magic = self.stream.read_u64().await?;
        let option = self.stream.read_u32().await?;
        let reply_type = self.stream.read_u32().await?;
        let length = self.stream.read_u32().await?;
        if magic != REP_MAGIC || option != asked || length > MAX_TEXT_BYTES {
            return Err(protocol_error("not a reply to the option"));
        }
        let mut data = vec![0; length as usize];
        self.stream.read_exact(&mut data).await?;
        Ok(OptionReply { reply_type, data })
    }

    /// Whether the endpoint has neither closed the connection nor sent what nobody asked for.
    pub fn is_open_and_silent(&self) -> bool {
        let read = self.stream.get_ref().0.try_read(&mut [0]);
        let nothing_to_read = matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.buffer().is_empty() && nothing_to_read
    }

    fn supports(&self, flag: u16) -> bool {
        self.transmission_flags & flag != 0
    }

    /// One command and its whole reply; after an error the connection can't be used again.
    pub async fn execute(&mut self, command: &EndpointCommand) -> Result<EndpointReply, TransportOutcome> {
        let &EndpointCommand { command: command_type, offset, length, .. } = command;
        if command_type == cmd::FLUSH && !self.supports(transmission_flag::FLUSH) {
            // Such an endpoint has nothing that is not on stable storage.
            return Ok(EndpointReply::without_data(TransportOutcome::Complete));
        }
        // A later flush may go over another connection; where that does not cover this one's writes, each write is
        // made stable at once.
        let needs_stable = command.fua || !self.supports(transmission_flag::MULTI_CONN);
        let stable = needs_stable && command_type == cmd::WRITE;
        let fua = stable && self.supports(transmission_flag::FUA);
        let flags = if fua { command_flag::FUA } else { 0 };
        let request = self.next_request(flags, command_type, offset, length);
        let reply = self.exchange(request, &command.data).await?;
        let completed = reply.outcome == TransportOutcome::Complete;
        if completed && stable && !fua && self.supports(transmission_flag::FLUSH) {
            let flush = self.next_request(0, cmd::FLUSH, 0, 0);
            return self.exchange(flush, &Bytes::new()).await;
        }
        Ok(reply)
    }

    fn next_request(&mut self, flags: u16, command: u16, offset: u64, length: u32) -> Request {
        self.last_cookie += 1;
        Request { flags, command, cookie: self.last_cookie, offset, length }
    }

    /// Sends one request and reads its reply.
    async fn exchange(&mut self, request: Request, data: &Bytes) -> Result<EndpointReply, TransportOutcome> {
        let mut out = request.encode();
        out.extend_from_slice(data);
        self.stream.write_all(&out).await.map_err(|_| TransportOutcome::LostWhileWriting)?;
        let magic = self.stream.read_u32().await.map_err(|_| TransportOutcome::LostAwaitingResponse)?;
        let reply = self.reply(&request, magic).await.map_err(|_| TransportOutcome::TruncatedResponse)?;
        Ok(match reply.error {
            0 => EndpointReply { outcome: TransportOutcome::Complete, data: reply.data.into() },
            // It is shutting down, and says so of a command that changes nothing: another endpoint may be asked.
            errno::SHUTDOWN if request.command != cmd::WRITE => {
                EndpointReply::without_data(TransportOutcome::Rejected)
            }
            _ => EndpointReply::without_data(TransportOutcome::EndpointError),
        })
    }

    /// The reply whose magic number was read. With structured replies a read is never answered by a simple one.
    async fn reply(&mut self, request: &Request, magic: u32) -> io::Result<ReplyMessage> {
        let read = request.command == cmd::READ;
        let data_length = if read { request.length } else { 0 };
        match magic {
            SIMPLE_REPLY_MAGIC if !(self.structured_replies && read) => self.simple_reply(data_length).await,
            STRUCTURED_REPLY_MAGIC if self.structured_replies => {
                self.structured_reply(request.offset, data_length).await
            }
            _ => Err(protocol_error("not a reply")),
        }
    }

    async fn simple_reply(&mut self, data_length: u32) -> io::Result<ReplyMessage> {
        let error = self.stream.read_u32().await?;
        if self.stream.read_u64().await? != self.last_cookie {
            return Err(protocol_error("a reply to another request"));
        }
        let mut data = vec![0; if error == 0 { data_length as usize } else { 0 }];
        self.stream.read_exact(&mut data).await?;
        Ok(ReplyMessage { error, data })
    }

    /// The chunks of one reply, the first one's magic number already read. An error chunk counts for the whole
    /// reply, data that came before it included.
    async fn structured_reply(&mut self, offset: u64, data_length: u32) -> io::Result<ReplyMessage> {
        let mut reply = StructuredReply::new(offset, data_length);
        loop {
            let flags = self.stream.read_u16().await?;
            let chunk_type = self.stream.read_u16().await?;
            let cookie = self.stream.read_u64().await?;
            let length = self.stream.read_u32().await?;
            if cookie != self.last_cookie {
                return Err(protocol_error("a chunk of another reply"));
            }
            self.chunk(flags, chunk_type, length, &mut reply).await?;
            if flags & chunk::DONE != 0 {
                return reply.finish();
            }
            if self.stream.read_u32().await? != STRUCTURED_REPLY_MAGIC {
                return Err(protocol_error("a chunk without its magic number"));
            }
        }
    }

    /// The content of one chunk.
    async fn chunk(
        &mut self,
        flags: u16,
        chunk_type: u16,
        length: u32,
        reply: &mut StructuredReply,
    ) -> io::Result<()> {
        match chunk_type {
            chunk::NONE if length == 0 && flags & chunk::DONE != 0 => Ok(()),
            chunk::OFFSET_DATA if length > CHUNK_OFFSET_BYTES => {
                let offset = self.stream.read_u64().await?;
                let range = reply.add_range(offset, length - CHUNK_OFFSET_BYTES)?;
                self.stream.read_exact(&mut reply.data[range]).await?;
                Ok(())
            }
            chunk::OFFSET_HOLE if length == HOLE_BYTES => {
                let offset = self.stream.read_u64().await?;
                let size = self.stream.read_u32().await?;
                reply.add_range(offset, size).map(drop)
            }
            error if error & chunk::IS_ERROR != 0 && (MIN_ERROR_BYTES..=MAX_TEXT_BYTES).contains(&length) => {
                let value = self.stream.read_u32().await?;
                self.stream.read_exact(&mut vec![0; length as usize - ERROR_VALUE_BYTES]).await?;
                reply.fail(value);
                Ok(())
            }
            _ => Err(protocol_error("an unknown chunk")),
        }
    }
}

/// The data of a read, put together from chunks that may come in any order.
struct StructuredReply {
    offset: u64,
    data: Vec<u8>,
    received: Vec<Range<usize>>,
    error: u32,
}

impl StructuredReply {
    fn new(offset: u64, data_length: u32) -> Self {
        StructuredReply { offset, data: vec![0; data_length as usize], received: Vec::new(), error: 0 }
    }

    /// The part of the data that a chunk fills.
    fn add_range(&mut self, offset: u64, length: u32) -> io::Result<Range<usize>> {
        let start = offset.wrapping_sub(self.offset);
        let end = start.checked_add(length.into()).filter(|end| *end <= self.data.len() as u64);
        let end = end.ok_or_else(|| protocol_error("a chunk outside its request"))?;
        let range = start as usize..end as usize;
        self.received.push(range.clone());
        Ok(range)
    }

    /// The first error counts; one that says 0 is an error all the same.
    fn fail(&mut self, value: u32) {
        if self.error == 0 {
            self.error = value.max(1);
        }
    }

    /// Without an error the chunks have to hold each byte once.
    fn finish(mut self) -> io::Result<ReplyMessage> {
        if self.error == 0 && !self.is_complete() {
            return Err(protocol_error("a reply with parts missing or sent twice"));
        }
        Ok(ReplyMessage { error: self.error, data: self.data })
    }

    fn is_complete(&mut self) -> bool {
        self.received.sort_unstable_by_key(|range| (range.start, range.end));
        let adjacent = self.received.windows(2).all(|pair| pair[0].end == pair[1].start);
        let start = self.received.first().map_or(0, |range| range.start);
        let end = self.received.last().map_or(0, |range| range.end);
        adjacent && start == 0 && end == self.data.len()
    }
}
