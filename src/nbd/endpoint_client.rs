//! Attempts at endpoints over NBD, on connections that are kept open between them.
//!
//! A handshake takes several round trips, so a connection whose reply was read to its end waits here for the next
//! command to the same endpoint. A connection carries one command at a time.

use super::endpoint_connection::EndpointConnection;
use crate::broker::{AttemptProgress, AttemptResult};
use crate::outcome::TransportOutcome;
use crate::runtime::host::{ProgressCallback, UpstreamRequest};
use crate::runtime::sockets::{connect, connect_outcome};
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::RefCell;
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// Idle connections that are kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Opens connections to endpoints and keeps idle ones.
pub struct EndpointClient {
    /// The name of the export that endpoints give.
    pub export_name: String,
    /// The longest that a connection and its handshake may take.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept; shorter than an endpoint keeps it.
    pub idle_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    since: Instant,
    connection: EndpointConnection,
}

/// One command to one endpoint.
#[derive(Clone)]
pub struct EndpointCommand {
    /// Where its connections come from.
    pub client: Rc<EndpointClient>,
    /// The command type: READ, WRITE or FLUSH.
    pub command: u16,
    /// A write is to be on stable storage before its reply.
    pub fua: bool,
    /// Where its range begins at the endpoint, in bytes.
    pub offset: u64,
    /// The length of its range, in bytes.
    pub length: u32,
    /// What is written.
    pub data: Bytes,
}

impl EndpointClient {
    /// A client without open connections.
    pub fn new(export_name: String, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        EndpointClient { export_name, connect_timeout, idle_timeout, idle: RefCell::default() }
    }

    /// An idle connection; one that the endpoint has closed or written to meanwhile is dropped.
    fn take_idle(&self, endpoint: SocketAddr) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(IdleConnection { since, connection }) = connections.pop() {
            if connection.is_open_and_silent() && since.elapsed() < self.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    fn keep_idle(&self, endpoint: SocketAddr, connection: EndpointConnection) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|kept| kept.since.elapsed() < self.idle_timeout);
        }
        idle.retain(|_, connections| !connections.is_empty());
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { since: Instant::now(), connection });
        }
    }

    async fn connection(&self, endpoint: SocketAddr) -> Result<EndpointConnection, TransportOutcome> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let opened = tokio::time::timeout(self.connect_timeout, self.open(endpoint)).await;
        opened.unwrap_or(Err(TransportOutcome::ConnectTimedOut))
    }

    async fn open(&self, endpoint: SocketAddr) -> Result<EndpointConnection, TransportOutcome> {
        let connected = connect(endpoint, self.connect_timeout).await;
        let stream = connected.map_err(|why| connect_outcome(&why))?;
        let _ = stream.set_nodelay(true);
        let shaken = EndpointConnection::handshake(stream, &self.export_name).await;
        shaken.map_err(|_| TransportOutcome::HandshakeFailed)
    }
}

impl UpstreamRequest for EndpointCommand {
    fn attempt(
        &self,
        to: SocketAddr,
        _timeout: Duration,
        on_progress: ProgressCallback,
    ) -> LocalBoxFuture<'static, AttemptResult> {
        let command = self.clone();
        async move {
            let mut connection = match command.client.connection(to).await {
                Ok(connection) => connection,
                Err(outcome) => return AttemptResult::without_response(outcome),
            };
            on_progress(AttemptProgress::WriteStarted);
            match connection.execute(&command).await {
                Ok(reply) => {
                    command.client.keep_idle(to, connection);
                    AttemptResult { body: reply.data, ..AttemptResult::without_response(reply.outcome) }
                }
                // The connection is dropped: what may still come on it belongs to no command.
                Err(outcome) => AttemptResult::without_response(outcome),
            }
        }
        .boxed_local()
    }
}
