//! An NBD client connection to an endpoint: performs the handshake and then executes one command at a time.
//!
//! A connection is only reused if the last reply was read completely. Otherwise the rest of that reply would
//! be taken for the reply to the next command.

use super::codec::{
    chunk, cmd, command_flag, errno, info, info_request, opt, option, protocol_error, rep, transmission_flag,
    Request, FIXED_NEWSTYLE, INIT_MAGIC, NO_ZEROES, OPT_MAGIC, REP_MAGIC, SIMPLE_REPLY_MAGIC,
    STRUCTURED_REPLY_MAGIC,
};
use super::durability::{ReadDurability, ReadVerification, WriteDurability};
use super::endpoint_client::{EndpointCommand, Operation};
use crate::outcome::TransportOutcome;
use crate::runtime::sockets::Uninterrupted;
use bytes::Bytes;
use std::cell::Cell;
use std::io;
use std::ops::Range;
use tokio::io::{AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;

/// The maximum size of the data of an option reply or the content of an error chunk, in bytes.
const MAX_TEXT_BYTES: u32 = 4096;
/// The maximum number of replies that an endpoint may send to one option.
const MAX_OPTION_REPLIES: usize = 64;
/// The size of the padding at the end of the reply to EXPORT_NAME, which is left out if both sides set
/// NO_ZEROES.
const EXPORT_NAME_PADDING_BYTES: usize = 124;
/// The size of the data of an INFO reply of type EXPORT: type, size of the export, transmission flags.
const EXPORT_INFO_BYTES: usize = 2 + 8 + 2;
/// The size of the offset at the start of an OFFSET_DATA or OFFSET_HOLE chunk's content.
const CHUNK_OFFSET_BYTES: u32 = 8;
/// The size of an OFFSET_HOLE chunk's content: an offset and the size of the hole.
const HOLE_BYTES: u32 = CHUNK_OFFSET_BYTES + 4;
/// The size of the error value at the start of an error chunk's content.
const ERROR_VALUE_BYTES: usize = 4;
/// The minimum size of an error chunk's content: an error value and the length of an empty message.
const MIN_ERROR_BYTES: u32 = 6;

/// A connection in the transmission phase.
pub(super) struct EndpointConnection {
    stream: BufReader<Uninterrupted<TcpStream>>,
    transmission_flags: u16,
    structured_replies: bool,
    last_cookie: u64,
}

/// An endpoint's reply to a command.
pub(super) struct EndpointReply {
    /// The outcome of the attempt.
    pub outcome: TransportOutcome,
    /// The data of a successful read, otherwise empty.
    pub data: Bytes,
}

impl EndpointReply {
    fn without_data(outcome: TransportOutcome) -> Self {
        EndpointReply { outcome, data: Bytes::new() }
    }

    /// Returns the reply to a command, given the reply to its last step.
    fn new(operation: &Operation, last_step: Reply) -> Self {
        match last_step.error {
            0 => EndpointReply { outcome: TransportOutcome::Complete, data: last_step.data.into() },
            // The endpoint is shutting down. A command that changes nothing may be sent to another endpoint.
            // A write may have run, also where it is the flush behind the write that was rejected.
            errno::SHUTDOWN if !matches!(operation, Operation::Write(_)) => {
                Self::without_data(TransportOutcome::Rejected)
            }
            _ => Self::without_data(TransportOutcome::EndpointError),
        }
    }
}

/// A decoded reply: an error value, 0 for none, and the data of a read.
struct Reply {
    error: u32,
    data: Vec<u8>,
}

/// A reply to an option.
struct OptionReply {
    reply_type: u32,
    data: Vec<u8>,
}

impl EndpointConnection {
    /// Performs the handshake of section "Fixed newstyle negotiation" and selects an export.
    ///
    /// # Errors
    /// The connection failed, the endpoint violated the protocol, or it does not serve the export.
    pub async fn handshake(stream: TcpStream, export_name: &str) -> io::Result<Self> {
        let mut stream = BufReader::new(Uninterrupted(stream));
        if stream.read_u64().await? != INIT_MAGIC || stream.read_u64().await? != OPT_MAGIC {
            return Err(protocol_error("the endpoint is not a newstyle NBD server"));
        }
        let server_flags = stream.read_u16().await?;
        if server_flags & FIXED_NEWSTYLE == 0 {
            return Err(protocol_error("the endpoint does not support fixed newstyle negotiation"));
        }
        let client_flags = server_flags & (FIXED_NEWSTYLE | NO_ZEROES);
        stream.write_all(&u32::from(client_flags).to_be_bytes()).await?;
        let mut connection =
            EndpointConnection { stream, transmission_flags: 0, structured_replies: false, last_cookie: 0 };
        connection.negotiate_structured_replies().await?;
        connection.select_export(export_name, client_flags).await?;
        Ok(connection)
    }

    async fn negotiate_structured_replies(&mut self) -> io::Result<()> {
        self.stream.write_all(&option(opt::STRUCTURED_REPLY, &[])).await?;
        let reply = self.read_option_reply(opt::STRUCTURED_REPLY).await?;
        self.structured_replies = reply.reply_type == rep::ACK;
        Ok(())
    }

    /// Selects an export with GO, or with EXPORT_NAME if the endpoint does not support GO.
    async fn select_export(&mut self, export_name: &str, client_flags: u16) -> io::Result<()> {
        self.stream.write_all(&option(opt::GO, &info_request(export_name, &[]))).await?;
        for _ in 0..MAX_OPTION_REPLIES {
            let OptionReply { reply_type, data } = self.read_option_reply(opt::GO).await?;
            match reply_type {
                rep::ACK if self.transmission_flags & transmission_flag::FLAGS != 0 => return Ok(()),
                rep::INFO => self.handle_info(&data),
                rep::ERR_UNSUP => return self.select_export_by_name(export_name, client_flags).await,
                _ => return Err(protocol_error("the endpoint refused the export")),
            }
        }
        Err(protocol_error("too many replies to an option"))
    }

    /// Takes the transmission flags from an INFO reply of type EXPORT. Other types are ignored.
    fn handle_info(&mut self, data: &[u8]) {
        if data.len() == EXPORT_INFO_BYTES && data[..2] == info::EXPORT.to_be_bytes() {
            self.transmission_flags = u16::from_be_bytes([data[10], data[11]]);
        }
    }

    /// Selects an export with EXPORT_NAME, for servers that do not support GO.
    async fn select_export_by_name(&mut self, export_name: &str, client_flags: u16) -> io::Result<()> {
        self.stream.write_all(&option(opt::EXPORT_NAME, export_name.as_bytes())).await?;
        let _size = self.stream.read_u64().await?;
        self.transmission_flags = self.stream.read_u16().await?;
        if client_flags & NO_ZEROES == 0 {
            self.stream.read_exact(&mut [0; EXPORT_NAME_PADDING_BYTES]).await?;
        }
        Ok(())
    }

    /// Reads one reply to the option of number `expected_option`.
    async fn read_option_reply(&mut self, expected_option: u32) -> io::Result<OptionReply> {
        let magic = self.stream.read_u64().await?;
        let option = self.stream.read_u32().await?;
        let reply_type = self.stream.read_u32().await?;
        let length = self.stream.read_u32().await?;
        if magic != REP_MAGIC || option != expected_option || length > MAX_TEXT_BYTES {
            return Err(protocol_error("not a valid reply to the option"));
        }
        let mut data = vec![0; length as usize];
        self.stream.read_exact(&mut data).await?;
        Ok(OptionReply { reply_type, data })
    }

    /// Returns whether the connection can carry another command: the endpoint has neither closed it nor sent
    /// bytes that belong to no reply.
    pub fn is_reusable(&self) -> bool {
        let read = self.stream.get_ref().0.try_read(&mut [0]);
        let nothing_to_read = matches!(read, Err(error) if error.kind() == io::ErrorKind::WouldBlock);
        self.stream.buffer().is_empty() && nothing_to_read
    }

    /// Sends a command and reads its complete reply.
    ///
    /// # Errors
    /// The connection failed or the endpoint violated the protocol. The connection must not be used again.
    pub async fn execute(&mut self, command: &EndpointCommand) -> Result<EndpointReply, TransportOutcome> {
        let &EndpointCommand { offset, length, .. } = command;
        let reply = match &command.operation {
            Operation::Read => self.read(offset, length).await?,
            Operation::VerifiedRead(durability) => self.read_verified(offset, length, durability).await?,
            Operation::Write(data) => self.write(offset, length, data).await?,
            Operation::Flush => self.flush().await?,
        };
        Ok(EndpointReply::new(&command.operation, reply))
    }

    async fn read(&mut self, offset: u64, length: u32) -> Result<Reply, TransportOutcome> {
        let request = self.next_request(0, cmd::READ, offset, length);
        self.exchange(request, &Bytes::new()).await
    }

    async fn read_verified(
        &mut self,
        offset: u64,
        length: u32,
        durability: &Cell<ReadDurability>,
    ) -> Result<Reply, TransportOutcome> {
        // An earlier attempt may have proved something about data that was not served.
        durability.set(ReadDurability::Unknown);
        let verification = ReadVerification::of(self.transmission_flags);
        let reply = self.read(offset, length).await?;
        if reply.error == 0 && verification == ReadVerification::FlushBehind {
            let flushed = self.flush().await?;
            if flushed.error != 0 {
                return Ok(flushed);
            }
        }
        durability.set(verification.proves());
        Ok(reply)
    }

    async fn write(&mut self, offset: u64, length: u32, data: &Bytes) -> Result<Reply, TransportOutcome> {
        let durability = WriteDurability::of(self.transmission_flags);
        let flags = match durability {
            WriteDurability::ForceUnitAccess => command_flag::FUA,
            WriteDurability::FlushBehind | WriteDurability::WriteThrough => 0,
        };
        let request = self.next_request(flags, cmd::WRITE, offset, length);
        let reply = self.exchange(request, data).await?;
        if reply.error == 0 && durability == WriteDurability::FlushBehind {
            return self.flush().await;
        }
        Ok(reply)
    }

    /// Flushes the endpoint. One without FLUSH is taken to write to stable storage before it replies.
    async fn flush(&mut self) -> Result<Reply, TransportOutcome> {
        if self.transmission_flags & transmission_flag::FLUSH == 0 {
            return Ok(Reply { error: 0, data: Vec::new() });
        }
        let request = self.next_request(0, cmd::FLUSH, 0, 0);
        self.exchange(request, &Bytes::new()).await
    }

    fn next_request(&mut self, flags: u16, command: u16, offset: u64, length: u32) -> Request {
        self.last_cookie += 1;
        Request { flags, command, cookie: self.last_cookie, offset, length }
    }

    /// Sends a request, which is one step of a command, and reads its reply.
    async fn exchange(&mut self, request: Request, data: &Bytes) -> Result<Reply, TransportOutcome> {
        let mut out = request.encode();
        out.extend_from_slice(data);
        self.stream.write_all(&out).await.map_err(|_| TransportOutcome::LostWhileWriting)?;
        let magic = self.stream.read_u32().await.map_err(|_| TransportOutcome::LostAwaitingResponse)?;
        self.read_reply(&request, magic).await.map_err(|_| TransportOutcome::TruncatedResponse)
    }

    /// Reads the rest of a reply whose magic number has been read. Once structured replies are negotiated,
    /// the protocol requires one for every read.
    async fn read_reply(&mut self, request: &Request, magic: u32) -> io::Result<Reply> {
        let read = request.command == cmd::READ;
        let data_length = if read { request.length } else { 0 };
        match magic {
            SIMPLE_REPLY_MAGIC if !(self.structured_replies && read) => {
                self.read_simple_reply(data_length).await
            }
            STRUCTURED_REPLY_MAGIC if self.structured_replies => {
                self.read_structured_reply(request.offset, data_length).await
            }
            _ => Err(protocol_error("not a valid reply")),
        }
    }

    async fn read_simple_reply(&mut self, data_length: u32) -> io::Result<Reply> {
        let error = self.stream.read_u32().await?;
        if self.stream.read_u64().await? != self.last_cookie {
            return Err(protocol_error("the reply's cookie does not match the request"));
        }
        let mut data = vec![0; if error == 0 { data_length as usize } else { 0 }];
        self.stream.read_exact(&mut data).await?;
        Ok(Reply { error, data })
    }

    /// Reads the chunks of a structured reply; the magic number of the first chunk has been read. An error
    /// chunk fails the whole reply, including data that was received before it.
    async fn read_structured_reply(&mut self, offset: u64, data_length: u32) -> io::Result<Reply> {
        let mut reply = StructuredReply::new(offset, data_length);
        loop {
            let flags = self.stream.read_u16().await?;
            let chunk_type = self.stream.read_u16().await?;
            let cookie = self.stream.read_u64().await?;
            let length = self.stream.read_u32().await?;
            if cookie != self.last_cookie {
                return Err(protocol_error("the chunk's cookie does not match the request"));
            }
            self.read_chunk_content(flags, chunk_type, length, &mut reply).await?;
            if flags & chunk::DONE != 0 {
                return reply.finish();
            }
            if self.stream.read_u32().await? != STRUCTURED_REPLY_MAGIC {
                return Err(protocol_error("a chunk does not begin with the magic number"));
            }
        }
    }

    /// Reads the content of one chunk into `reply`.
    async fn read_chunk_content(
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
                reply.set_error(value);
                Ok(())
            }
            _ => Err(protocol_error("a chunk of unknown type or invalid length")),
        }
    }
}

/// Assembles the data of a read from chunks, which may arrive in any order.
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

    /// Marks a range as received and returns its position in the data.
    ///
    /// # Errors
    /// The range is not within the request's range.
    fn add_range(&mut self, offset: u64, length: u32) -> io::Result<Range<usize>> {
        let start = offset.wrapping_sub(self.offset);
        let end = start.checked_add(length.into()).filter(|end| *end <= self.data.len() as u64);
        let end = end.ok_or_else(|| protocol_error("a chunk lies outside the requested range"))?;
        let range = start as usize..end as usize;
        self.received.push(range.clone());
        Ok(range)
    }

    /// Records the value of an error chunk. The first error is kept, and a value of 0 is treated as an error
    /// too.
    fn set_error(&mut self, value: u32) {
        if self.error == 0 {
            self.error = value.max(1);
        }
    }

    /// Returns the reply. Unless there was an error, the chunks must have covered each byte exactly once.
    fn finish(mut self) -> io::Result<Reply> {
        if self.error == 0 && !self.is_complete() {
            return Err(protocol_error(
                "the chunks of a reply do not cover the requested range exactly once",
            ));
        }
        Ok(Reply { error: self.error, data: self.data })
    }

    fn is_complete(&mut self) -> bool {
        self.received.sort_unstable_by_key(|range| (range.start, range.end));
        let adjacent = self.received.windows(2).all(|pair| pair[0].end == pair[1].start);
        let start = self.received.first().map_or(0, |range| range.start);
        let end = self.received.last().map_or(0, |range| range.end);
        adjacent && start == 0 && end == self.data.len()
    }
}
