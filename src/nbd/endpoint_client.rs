//! Sends commands to endpoints over NBD, on pooled connections.
//!
//! A handshake takes several round trips, so a connection whose last reply was read completely is kept for
//! the next command to the same endpoint. A connection carries one command at a time.

use super::durability::ReadDurability;
use super::endpoint_connection::EndpointConnection;
use crate::broker::{AttemptProgress, AttemptResult};
use crate::outcome::TransportOutcome;
use crate::runtime::host::{ProgressCallback, UpstreamRequest};
use crate::runtime::sockets::{connect, connect_outcome};
use bytes::Bytes;
use futures_util::future::{FutureExt, LocalBoxFuture};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

/// The maximum number of idle connections that are kept to one endpoint.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Opens connections to endpoints and pools idle ones.
pub struct EndpointClient {
    /// The name of the export that every endpoint serves.
    pub export_name: String,
    /// The timeout for connecting to an endpoint, including the handshake.
    pub connect_timeout: Duration,
    /// How long an idle connection is kept; shorter than the endpoint's own idle timeout, so that a command
    /// is not sent on a connection that the endpoint is closing.
    pub idle_timeout: Duration,
    idle: RefCell<HashMap<SocketAddr, Vec<IdleConnection>>>,
}

struct IdleConnection {
    idle_since: Instant,
    connection: EndpointConnection,
}

/// A command to an endpoint. Each attempt sends it once. A write that was served is on stable storage.
#[derive(Clone)]
pub struct EndpointCommand {
    /// Provides the connections.
    pub client: Rc<EndpointClient>,
    /// What the endpoint is to do.
    pub operation: Operation,
    /// The offset of the range in the endpoint's export, in bytes.
    pub offset: u64,
    /// The length of the range, in bytes.
    pub length: u32,
}

/// The operation of a command.
#[derive(Clone, Debug)]
pub enum Operation {
    /// Reads the range.
    Read,
    /// Reads the range and finds out whether its data is durable. What a served read proved is stored in the
    /// cell.
    VerifiedRead(Rc<Cell<ReadDurability>>),
    /// Writes this data to the range.
    Write(Bytes),
    /// Makes all earlier writes durable.
    Flush,
}

impl EndpointClient {
    /// Creates a client without open connections.
    pub fn new(export_name: String, connect_timeout: Duration, idle_timeout: Duration) -> Self {
        EndpointClient { export_name, connect_timeout, idle_timeout, idle: RefCell::default() }
    }

    /// Returns the idle connection that was used last. Drops connections that have expired, and connections
    /// that the endpoint has closed or sent unexpected bytes on.
    fn take_idle(&self, endpoint: SocketAddr) -> Option<EndpointConnection> {
        let mut idle = self.idle.borrow_mut();
        let connections = idle.get_mut(&endpoint)?;
        while let Some(IdleConnection { idle_since, connection }) = connections.pop() {
            if connection.is_reusable() && idle_since.elapsed() < self.idle_timeout {
                return Some(connection);
            }
        }
        None
    }

    /// Keeps a connection for the next command, and drops all connections that have expired.
    fn keep_idle(&self, endpoint: SocketAddr, connection: EndpointConnection) {
        let mut idle = self.idle.borrow_mut();
        for connections in idle.values_mut() {
            connections.retain(|idle| idle.idle_since.elapsed() < self.idle_timeout);
        }
        idle.retain(|_, connections| !connections.is_empty());
        let connections = idle.entry(endpoint).or_default();
        if connections.len() < MAX_IDLE_CONNECTIONS {
            connections.push(IdleConnection { idle_since: Instant::now(), connection });
        }
    }

    /// Returns an idle connection, or opens one within the connect timeout.
    async fn connection(&self, endpoint: SocketAddr) -> Result<EndpointConnection, TransportOutcome> {
        if let Some(connection) = self.take_idle(endpoint) {
            return Ok(connection);
        }
        let opened = tokio::time::timeout(self.connect_timeout, self.open(endpoint)).await;
        opened.unwrap_or(Err(TransportOutcome::ConnectTimedOut))
    }

    async fn open(&self, endpoint: SocketAddr) -> Result<EndpointConnection, TransportOutcome> {
        let connected = connect(endpoint, self.connect_timeout, None).await;
        let stream = connected.map_err(|why| connect_outcome(&why))?;
        let _ = stream.set_nodelay(true);
        let handshake = EndpointConnection::handshake(stream, &self.export_name).await;
        handshake.map_err(|_| TransportOutcome::HandshakeFailed)
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
                // The connection is dropped, because the rest of this reply may still arrive on it.
                Err(outcome) => AttemptResult::without_response(outcome),
            }
        }
        .boxed_local()
    }
}
