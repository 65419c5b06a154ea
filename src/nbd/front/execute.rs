//! Executes a command: submits each of its parts to the core as a request, and combines the answers into one
//! reply.
//!
//! A read fails with its first part that is not served. A write or flush waits for all of its parts, because
//! a part that is still in flight may yet be written. Writes to an export with write-back go to the
//! write-back cache instead of the endpoints, and buffered writes are overlaid on the data of reads.

use super::command_error::CommandError;
use super::split::{split_command, Part};
use super::transmission::{AdmittedCommand, Session};
use crate::broker::{Answer, IncomingRequest, Rejection};
use crate::interface::Settings;
use crate::nbd::codec::{cmd, command_flag, Request};
use crate::nbd::endpoint_client::{EndpointCommand, Operation};
use crate::writeback::{WriteBackCache, WriteError};
use bytes::Bytes;
use futures_util::stream::{FuturesUnordered, StreamExt};
use shaletack_writeback::{Overlay, Piece};
use std::rc::Rc;
use std::time::Duration;

/// A part of a command and the core's answer.
struct AnsweredPart {
    part: Part,
    answer: Answer,
}

/// The combined outcome of the parts of a write or flush.
#[derive(Default)]
struct WriteOutcome {
    /// The number of parts that were served.
    served: usize,
    /// The offset in the export of the first rejected part, and the longest retry time of all rejected parts.
    rejected: Option<RejectedPart>,
    /// The offset in the export of the last part that failed.
    failed_at: Option<u64>,
}

struct RejectedPart {
    offset: u64,
    retry_after: Duration,
}

/// Why a command failed, and at which offset in the export.
struct FailedCommand {
    error: CommandError,
    offset: u64,
}

impl WriteOutcome {
    fn add(&mut self, offset: u64, answer: &Answer) {
        match answer {
            Answer::Served(_) => self.served += 1,
            Answer::Failed => self.failed_at = Some(offset),
            Answer::Rejected(Rejection { may_have_run: true, .. }) => self.failed_at = Some(offset),
            Answer::Rejected(Rejection { retry_after, .. }) => {
                let rejected =
                    self.rejected.get_or_insert(RejectedPart { offset, retry_after: *retry_after });
                rejected.retry_after = rejected.retry_after.max(*retry_after);
            }
        }
    }

    /// Returns the result of the command. A write is only reported as rejected if no part was written: a
    /// client may take a rejection to mean that nothing changed.
    fn result(self, command: u16) -> Result<(), FailedCommand> {
        if let Some(offset) = self.failed_at {
            return Err(FailedCommand { error: CommandError::Failed, offset });
        }
        let Some(RejectedPart { offset, retry_after }) = self.rejected else { return Ok(()) };
        let error = if self.served > 0 && command == cmd::WRITE {
            CommandError::PartlyWritten
        } else {
            CommandError::Rejected { retry_after }
        };
        Err(FailedCommand { error, offset })
    }
}

impl Session {
    /// Executes a command and queues its reply.
    pub async fn execute(&self, command: AdmittedCommand) {
        let parts = split_command(&command.request, &self.export, &self.shared.operator);
        let cache = self.shared.write_back.as_ref().filter(|_| self.export.write_back);
        match (command.request.command, cache) {
            (cmd::READ, _) => self.read(&command, &parts, cache).await,
            (_, Some(cache)) => self.write_to_cache(&command, &parts, cache).await,
            (_, None) => self.write_to_endpoints(&command, &parts).await,
        }
    }

    async fn read(&self, command: &AdmittedCommand, parts: &[Part], cache: Option<&WriteBackCache>) {
        let AdmittedCommand { request, memory, .. } = command;
        // Taken before any endpoint is read: a write that is settled during the read may be missing from the
        // endpoint's data.
        let overlay = cache.map(|cache| cache.overlay(&self.export, request.offset, request.length));
        let overlay = &overlay.unwrap_or_default();
        let reads = parts.iter().map(|part| self.read_part(request, *part, overlay));
        let mut reads: FuturesUnordered<_> = reads.collect();
        // With structured replies and without DF, each part is sent as soon as it is available. Otherwise
        // the parts are assembled first.
        let in_chunks = self.replies.are_structured() && request.flags & command_flag::DF == 0;
        let mut assembled = vec![0; if in_chunks { 0 } else { request.length as usize }];
        while let Some(AnsweredPart { part, answer }) = reads.next().await {
            let offset = part.export_offset(request);
            let error = match answer {
                Answer::Served(data) if in_chunks => {
                    self.replies.data_chunk(request.cookie, offset, data, memory.clone()).await;
                    continue;
                }
                Answer::Served(data) => {
                    assembled[part.range_offset as usize..][..data.len()].copy_from_slice(&data);
                    continue;
                }
                Answer::Rejected(Rejection { retry_after, .. }) => CommandError::Rejected { retry_after },
                Answer::Failed => CommandError::Failed,
            };
            drop(reads);
            return self.replies.error(request.cookie, error, Some(offset)).await;
        }
        drop(reads);
        if in_chunks {
            self.replies.done(request.cookie).await;
        } else {
            let offset = request.offset;
            self.replies.complete_data(request.cookie, offset, assembled.into(), memory.clone()).await;
        }
    }

    /// Reads one part and overlays buffered writes on the endpoint's data. The endpoint is not read if the
    /// whole part is buffered.
    async fn read_part(&self, request: &Request, part: Part, overlay: &Overlay) -> AnsweredPart {
        let offset = part.export_offset(request);
        if overlay.covers(offset, part.length) {
            let data = overlay.apply(offset, vec![0; part.length as usize]);
            return AnsweredPart { part, answer: Answer::Served(data.into()) };
        }
        let answer = match self.request_part(request, part, Bytes::new()).await {
            Answer::Served(data) if !overlay.is_empty() => {
                Answer::Served(overlay.apply(offset, data.into()).into())
            }
            answer => answer,
        };
        AnsweredPart { part, answer }
    }

    /// Executes a write or flush at the endpoints and queues its reply.
    async fn write_to_endpoints(&self, command: &AdmittedCommand, parts: &[Part]) {
        let AdmittedCommand { request, data, .. } = command;
        let writes = parts.iter().map(|part| async {
            let data = if data.is_empty() { Bytes::new() } else { data.slice(part.data_range()) };
            AnsweredPart { part: *part, answer: self.request_part(request, *part, data).await }
        });
        let mut writes: FuturesUnordered<_> = writes.collect();
        let mut outcome = WriteOutcome::default();
        while let Some(AnsweredPart { part, answer }) = writes.next().await {
            outcome.add(part.export_offset(request), &answer);
        }
        match outcome.result(request.command) {
            Ok(()) => self.replies.done(request.cookie).await,
            Err(FailedCommand { error, offset }) => {
                let offset = Some(offset).filter(|_| request.command != cmd::FLUSH);
                self.replies.error(request.cookie, error, offset).await;
            }
        }
    }

    /// Executes a write or flush of an export with write-back and queues its reply.
    async fn write_to_cache(&self, command: &AdmittedCommand, parts: &[Part], cache: &WriteBackCache) {
        let AdmittedCommand { request, data, .. } = command;
        let deadline = class_deadline(&self.shared.host.settings(), self.shared.operator.classes.write);
        let result = if request.command == cmd::FLUSH {
            cache.flush(&self.export, deadline).await
        } else {
            let piece = |part: &Part| Piece {
                export_offset: part.export_offset(request),
                shard: part.shard,
                endpoint_offset: part.endpoint_offset,
                data: data.slice(part.data_range()),
            };
            let pieces = parts.iter().map(piece).collect();
            let fua = request.flags & command_flag::FUA != 0;
            cache.write(&self.export, pieces, fua, deadline).await
        };
        let error = match result {
            Ok(()) => return self.replies.done(request.cookie).await,
            Err(WriteError::LogFull) => CommandError::LogFull,
            Err(WriteError::TooLarge | WriteError::NotDurableInTime) => CommandError::NotBuffered,
        };
        self.replies.error(request.cookie, error, None).await;
    }

    /// Submits one part to the core and waits for the answer. Background work on the shard pauses meanwhile.
    async fn request_part(&self, request: &Request, part: Part, data: Bytes) -> Answer {
        let write_back = self.shared.write_back.as_ref();
        let _demand_guard = write_back.map(|cache| cache.register_client_request(part.shard));
        let operation = match request.command {
            cmd::WRITE => Operation::Write(data),
            cmd::FLUSH => Operation::Flush,
            _ => Operation::Read,
        };
        let command = EndpointCommand {
            client: self.shared.endpoints.clone(),
            operation,
            offset: part.endpoint_offset,
            length: part.length,
        };
        self.shared.host.submit(self.incoming_request(request, part), Rc::new(command)).await
    }

    fn incoming_request(&self, request: &Request, part: Part) -> IncomingRequest {
        let operator = &self.shared.operator;
        let class = self.class(request);
        IncomingRequest {
            class,
            volume: self.export.volume,
            plan: self.export.plan,
            initiators: self.export.initiators,
            key: self.placement_key(part),
            shard: Some(part.shard),
            units: f64::from(part.length.div_ceil(operator.unit_bytes).max(1)),
            time_remaining: class_deadline(&operator.settings, class),
            client_retry: false,
            at_most_once: request.command == cmd::WRITE,
        }
    }

    /// Returns the request class of a command. A read counts as large by the length of the command, not by
    /// that of its parts.
    fn class(&self, request: &Request) -> u16 {
        let operator = &self.shared.operator;
        match request.command {
            cmd::WRITE => operator.classes.write,
            cmd::READ if request.length > operator.large_read_threshold => operator.classes.large_read,
            _ => operator.classes.read,
        }
    }

    /// Returns the placement key of a part. Parts in the same region of a volume have the same key, so that
    /// the scheduler can send them to the same endpoint in succession. The result is never 0, which means no
    /// key.
    fn placement_key(&self, part: Part) -> u64 {
        let region = part.endpoint_offset / u64::from(self.shared.operator.large_read_threshold);
        1 + (region ^ self.export.volume.rotate_left(24)) % (u64::MAX - 1)
    }
}

/// Returns the deadline of a request class, or zero for an unknown class.
fn class_deadline(settings: &Settings, class: u16) -> Duration {
    settings.classes.get(class as usize).map_or(Duration::ZERO, |class| class.deadline)
}
