//! Requests for buffered pieces, sent to their endpoints through the core like requests of clients.

use crate::broker::{Answer, IncomingRequest, Rejection};
use crate::nbd::durability::ReadDurability;
use crate::nbd::endpoint_client::{EndpointClient, EndpointCommand, Operation};
use crate::operator::{Export, OperatorConfig};
use crate::runtime::host::Host;
use shaletack_writeback::{AttemptOutcome, Piece, PieceId, StoredData};
use std::cell::Cell;
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
        let operation = Operation::Write(to_send.piece.data.clone());
        match self.submit(RequestKind::Write, to_send, operation).await {
            Answer::Served(_) => AttemptOutcome::Completed,
            Answer::Rejected(Rejection { retry_after, may_have_run: false }) => {
                tokio::time::sleep(retry_after).await;
                AttemptOutcome::NeverRan
            }
            Answer::Rejected(_) | Answer::Failed => AttemptOutcome::Unknown,
        }
    }

    /// Reads the endpoint's data at the location of a piece, and whether that is durable.
    pub async fn read_back(&self, to_send: PieceToSend) -> StoredData {
        let durability = Rc::new(Cell::new(ReadDurability::Unknown));
        let operation = Operation::VerifiedRead(durability.clone());
        match self.submit(RequestKind::ReadBack, to_send, operation).await {
            Answer::Served(data) if durability.get() == ReadDurability::Durable => StoredData::Durable(data),
            Answer::Served(data) => StoredData::MaybeVolatile(data),
            Answer::Rejected(_) | Answer::Failed => StoredData::Unreadable,
        }
    }

    async fn submit(&self, kind: RequestKind, to_send: PieceToSend, operation: Operation) -> Answer {
        let PieceToSend { id, export, piece } = to_send;
        let length = piece.data.len() as u32;
        let request = self.incoming_request(kind, id, &export, piece.shard, length);
        let client = self.endpoints.clone();
        let command = EndpointCommand { client, operation, offset: piece.endpoint_offset, length };
        self.host.submit(request, Rc::new(command)).await
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
