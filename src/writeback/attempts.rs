//! Requests for buffered pieces, sent to their endpoints through the core like requests of clients.

use crate::broker::{Answer, IncomingRequest, Rejection};
use crate::nbd::codec::cmd;
use crate::nbd::endpoint_client::{EndpointClient, EndpointCommand};
use crate::operator::{Export, OperatorConfig};
use crate::runtime::host::Host;
use bytes::Bytes;
use shaletack_writeback::{AttemptOutcome, Piece, PieceId};
use std::rc::Rc;
use std::time::Duration;

/// A piece and the export that it belongs to.
#[derive(Clone, Debug)]
pub(super) struct PieceToSend {
    pub id: PieceId,
    pub export: Export,
    pub piece: Piece,
}

/// The operation of a request for a piece.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RequestKind {
    Write,
    ReadBack,
}

/// Sends write and read-back requests for pieces.
pub(super) struct Attempts {
    host: Host,
    endpoints: Rc<EndpointClient>,
    operator: OperatorConfig,
}

impl Attempts {
    pub fn new(host: Host, endpoints: Rc<EndpointClient>, operator: OperatorConfig) -> Self {
        Attempts { host, endpoints, operator }
    }

    /// Returns the size of a piece of `length` bytes, in units. At least 1.
    pub fn units(&self, length: usize) -> u64 {
        (length as u64).div_ceil(self.operator.unit_bytes.into()).max(1)
    }

    /// Returns the export of a volume.
    pub fn export(&self, volume: u64) -> Option<&Export> {
        self.operator.exports.iter().find(|export| export.volume == volume)
    }

    /// Writes a piece to its endpoint once.
    pub async fn write(&self, to_send: PieceToSend) -> AttemptOutcome {
        match self.request(RequestKind::Write, to_send).await {
            Answer::Served(_) => AttemptOutcome::Completed,
            Answer::Rejected(Rejection { retry_after, may_have_run: false }) => {
                tokio::time::sleep(retry_after).await;
                AttemptOutcome::NeverRan
            }
            Answer::Rejected(_) | Answer::Failed => AttemptOutcome::Unknown,
        }
    }

    /// Reads the endpoint's data at the location of a piece. Returns `None` if it could not be read.
    pub async fn read_back(&self, to_send: PieceToSend) -> Option<Bytes> {
        match self.request(RequestKind::ReadBack, to_send).await {
            Answer::Served(data) => Some(data),
            Answer::Rejected(_) | Answer::Failed => None,
        }
    }

    async fn request(&self, kind: RequestKind, to_send: PieceToSend) -> Answer {
        let PieceToSend { id, export, piece } = to_send;
        let length = piece.data.len() as u32;
        let request = self.incoming_request(kind, id, &export, piece.shard, length);
        let (command, data) = match kind {
            RequestKind::Write => (cmd::WRITE, piece.data),
            RequestKind::ReadBack => (cmd::READ, Bytes::new()),
        };
        let client = self.endpoints.clone();
        let offset = piece.endpoint_offset;
        let endpoint_command = EndpointCommand { client, command, offset, length, data };
        self.host.submit(request, Rc::new(endpoint_command)).await
    }

    fn incoming_request(
        &self,
        kind: RequestKind,
        id: PieceId,
        export: &Export,
        shard: u16,
        length: u32,
    ) -> IncomingRequest {
        let class = match kind {
            RequestKind::Write => self.operator.classes.write,
            RequestKind::ReadBack => self.operator.classes.read,
        };
        let settings = self.host.settings();
        let deadline = settings.classes.get(class as usize).map_or(Duration::ZERO, |class| class.deadline);
        IncomingRequest {
            class,
            volume: export.volume,
            plan: export.plan,
            initiators: export.initiators,
            key: id,
            shard: Some(shard),
            units: self.units(length as usize) as f64,
            time_remaining: deadline,
            client_retry: false,
            at_most_once: kind == RequestKind::Write,
        }
    }
}
