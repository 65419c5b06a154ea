//! The transmission phase of one connection: commands are read one after the other, checked, and carried out side by side.
//! Replies may come in another order than the commands, as the protocol's section "Ordering of messages and writes" allows.

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

/// The largest read or write that is served, in bytes, as clients are told.
pub(super) const MAX_COMMAND_BYTES: u32 = 1 << 20;
/// The largest write or option whose data is read so that it can be answered with an error, in bytes; a larger one ends
/// the connection.
pub(super) const MAX_DISCARDED_BYTES: u32 = 32 << 20;

/// One client past its handshake.
pub(super) struct Session {
    /// What all connections share.
    pub shared: Rc<Shared>,
    /// The export that the client mounted.
    pub export: Export,
    /// Where its replies go.
    pub replies: Replies,
}

/// A command that is carried out, with all that it holds meanwhile.
pub(super) struct AdmittedCommand {
    /// The request message.
    pub request: Request,
    /// What is written.
    pub data: Bytes,
    /// Held until its reply is written.
    pub memory: MemoryReservation,
    /// Held until it is over.
    pub _slot: CommandSlot,
}

impl Session {
    /// Takes commands until the client disconnects or the process shuts down, and ends once they are replied to.
    ///
    /// # Errors
    /// The connection failed or the client broke the protocol: nobody waits for the replies.
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

    /// Checks a command, waits until there is a place and memory for it, and reads its data; `None`: it was replied to
    /// with an error.
    async fn admit(
        &self,
        reader: &mut Reader,
        request: Request,
        slots: &CommandSlots,
    ) -> io::Result<Option<AdmittedCommand>> {
        let data_length = if request.command == cmd::WRITE { request.length } else { 0 };
        if data_length > MAX_DISCARDED_BYTES {
            return Err(protocol_error("a write too large"));
        }
        if let Err(error) = self.check(&request) {
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

    /// What forbids a command.
    fn check(&self, request: &Request) -> Result<(), CommandError> {
        if request.flags & !self.allowed_flags(request.command)? != 0 {
            return Err(CommandError::UnsupportedFlag);
        }
        if request.command == cmd::FLUSH {
            if request.offset != 0 || request.length != 0 {
                return Err(CommandError::FlushWithRange);
            }
        } else {
            self.check_range(request)?;
        }
        if self.shared.host.is_stopping() {
            return Err(CommandError::ShuttingDown);
        }
        Ok(())
    }

    fn allowed_flags(&self, command: u16) -> Result<u16, CommandError> {
        match command {
            cmd::READ if self.replies.are_structured() => Ok(command_flag::FUA | command_flag::DF),
            cmd::READ | cmd::WRITE | cmd::FLUSH => Ok(command_flag::FUA),
            _ => Err(CommandError::UnknownCommand),
        }
    }

    fn check_range(&self, request: &Request) -> Result<(), CommandError> {
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
