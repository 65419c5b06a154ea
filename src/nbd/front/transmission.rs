//! The transmission phase of one connection: commands are read and validated one after the other, and
//! executed concurrently. Replies may be sent in another order than the commands, as the protocol's section
//! "Ordering of messages and writes" allows.

use super::client_stream::{discard, read_data, read_request, Reader};
use super::command_error::CommandError;
use super::in_flight::{CommandSlot, CommandSlots, MemoryReservation};
use super::replies::Replies;
use super::Shared;
use crate::nbd::codec::{cmd, command_flag, protocol_error, Request};
use crate::operator::Export;
use crate::runtime::shutdown::Shutdown;
use bytes::Bytes;
use std::io;
use std::rc::Rc;
use tokio::task::JoinSet;

/// The maximum size of a read or write, in bytes. Clients are told it as the maximum block size.
pub(super) const MAX_COMMAND_BYTES: u32 = 1 << 20;
/// The maximum size of the data of an invalid write or option that is read and discarded, in bytes, so that
/// an error can be returned. Larger data ends the connection.
pub(super) const MAX_DISCARDED_BYTES: u32 = 32 << 20;

/// A client's session in the transmission phase.
pub(super) struct Session {
    /// The state that all client connections share.
    pub shared: Rc<Shared>,
    /// The export that the client mounted.
    pub export: Export,
    /// Queues the replies to the client.
    pub replies: Replies,
}

/// A command that was admitted, with the resources that it holds.
pub(super) struct AdmittedCommand {
    /// The request.
    pub request: Request,
    /// The data of a write; empty for other commands.
    pub data: Bytes,
    /// The memory for the command's data. For a read it is held until the data is written to the client.
    pub memory: MemoryReservation,
    /// The command's slot; held until the command has been executed.
    pub _slot: CommandSlot,
}

impl Session {
    /// Reads and executes commands until the client sends DISC or the process shuts down. Returns when the
    /// replies to all of them are queued.
    ///
    /// # Errors
    /// The connection failed, or the client violated the protocol. Commands in flight are cancelled.
    pub async fn serve_commands(self: Rc<Self>, mut reader: Reader, shutdown: Shutdown) -> io::Result<()> {
        let mut commands = JoinSet::new();
        let slots = CommandSlots::new();
        let mut closing = std::pin::pin!(shutdown.closing());
        loop {
            while commands.try_join_next().is_some() {}
            let request = tokio::select! {
                request = read_request(&mut reader) => request?,
                () = &mut closing => break,
            };
            if request.command == cmd::DISC {
                break;
            }
            if let Some(command) = self.admit(&mut reader, request, &slots).await? {
                let session = self.clone();
                commands.spawn_local(async move { session.execute(command).await });
            }
        }
        while commands.join_next().await.is_some() {}
        Ok(())
    }

    /// Validates a command, waits for a slot and for memory, and reads the command's data. Returns `None` if
    /// the command is invalid and was answered with an error.
    async fn admit(
        &self,
        reader: &mut Reader,
        request: Request,
        slots: &CommandSlots,
    ) -> io::Result<Option<AdmittedCommand>> {
        let data_length = if request.command == cmd::WRITE { request.length } else { 0 };
        if data_length > MAX_DISCARDED_BYTES {
            return Err(protocol_error("a write is too large"));
        }
        if let Err(error) = self.validate(&request) {
            discard(reader, data_length).await?;
            self.replies.error(request.cookie, error, None).await;
            return Ok(None);
        }
        let slot = slots.acquire().await?;
        let memory = self.shared.memory.reserve(request.length).await?;
        let mut data = vec![0; data_length as usize];
        read_data(reader, &mut data).await?;
        Ok(Some(AdmittedCommand { request, data: data.into(), memory, _slot: slot }))
    }

    /// Returns an error if the command is invalid or the process is shutting down.
    fn validate(&self, request: &Request) -> Result<(), CommandError> {
        if request.flags & !self.allowed_flags(request.command)? != 0 {
            return Err(CommandError::UnsupportedFlag);
        }
        if request.command == cmd::FLUSH {
            if request.offset != 0 || request.length != 0 {
                return Err(CommandError::FlushWithRange);
            }
        } else {
            self.validate_range(request)?;
        }
        if self.shared.host.is_stopping() {
            return Err(CommandError::ShuttingDown);
        }
        Ok(())
    }

    /// Returns the flags that a command may have.
    fn allowed_flags(&self, command: u16) -> Result<u16, CommandError> {
        match command {
            cmd::READ if self.replies.are_structured() => Ok(command_flag::FUA | command_flag::DF),
            cmd::READ | cmd::WRITE | cmd::FLUSH => Ok(command_flag::FUA),
            _ => Err(CommandError::UnknownCommand),
        }
    }

    fn validate_range(&self, request: &Request) -> Result<(), CommandError> {
        let end = request.offset.checked_add(u64::from(request.length));
        if end.is_none_or(|end| end > self.export.size) {
            return Err(CommandError::OutsideExport);
        }
        match request.length {
            0 => Err(CommandError::EmptyRange),
            length if length > MAX_COMMAND_BYTES => Err(CommandError::TooLarge),
            _ => Ok(()),
        }
    }
}
