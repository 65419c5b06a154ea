//! The NBD server: clients mount exports here, and each of their commands becomes requests of the core.
//!
//! A connection goes through the phases of the NBD protocol: `handshake` (newstyle negotiation and option haggling), then
//! the transmission phase. There `transmission` reads and checks commands, `split` cuts each into parts that lie on one
//! shard, and `execute` asks the core for the parts and puts the answers together. `replies` are queued for
//! `client_stream`, which writes them. `in_flight` bounds what commands in work may hold.

mod client_stream;
mod command_error;
mod execute;
mod handshake;
mod in_flight;
mod replies;
mod split;
mod transmission;

use super::endpoint_client::EndpointClient;
use crate::operator::OperatorConfig;
use crate::runtime::host::Host;
use crate::runtime::listener::FrontListener;
use crate::runtime::shutdown::Shutdown;
use crate::runtime::sockets::Uninterrupted;
use crate::writeback::{OpenError, WriteBackCache};
use client_stream::{write_replies, Reader, Writer};
use handshake::handshake;
use in_flight::MemoryBudget;
use replies::Replies;
use std::future::Future;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::BufReader;
use tokio::net::{TcpListener, TcpStream};
use transmission::Session;

/// The longest that a handshake may take.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The longest that a connection to an endpoint and its handshake may take, where the settings name no time.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long endpoints keep idle connections, where the settings name no time.
const DEFAULT_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// The part of that time, in tenths, that idle connections are kept here: an endpoint is never the first to close.
const IDLE_TIMEOUT_TENTHS: u32 = 6;
/// File descriptors for each client's connection: it may have several connections to endpoints in use.
const DESCRIPTORS_PER_CLIENT: usize = 4;

/// What all connections share.
struct Shared {
    write_back: Option<WriteBackCache>,
    host: Host,
    operator: OperatorConfig,
    endpoints: Rc<EndpointClient>,
    memory: MemoryBudget,
}

/// Serves clients until `stop` completes, and then the commands that were taken.
///
/// # Errors
/// The log of the write-back cache can't be opened; no client was served.
pub async fn serve(
    host: Host,
    operator: OperatorConfig,
    listener: TcpListener,
    stop: impl Future<Output = ()>,
) -> Result<(), OpenError> {
    let shutdown = Shutdown::default();
    let listener = FrontListener {
        listener,
        host: host.clone(),
        max_connections: (operator.max_descriptors / DESCRIPTORS_PER_CLIENT).max(1),
        shutdown: shutdown.clone(),
        succeeded: Rc::new(|| false),
    };
    let endpoints = Rc::new(endpoint_client(&operator));
    let open = |settings| WriteBackCache::open(host.clone(), endpoints.clone(), &operator, settings);
    let write_back = operator.write_back.as_ref().map(open).transpose()?;
    let cache = write_back.clone();
    let shared = Rc::new(Shared { write_back, host, operator, endpoints, memory: MemoryBudget::new() });
    listener.serve(stop, |stream| serve_connection(shared.clone(), shutdown.clone(), stream)).await;
    if let Some(cache) = cache {
        cache.close().await;
    }
    Ok(())
}

fn endpoint_client(operator: &OperatorConfig) -> EndpointClient {
    let or = |time: Duration, default: Duration| if time.is_zero() { default } else { time };
    let settings = &operator.settings;
    let connect_timeout = or(settings.connect_timeout, DEFAULT_CONNECT_TIMEOUT);
    let keep_alive_timeout = or(settings.keep_alive_timeout, DEFAULT_KEEP_ALIVE_TIMEOUT);
    let idle_timeout = keep_alive_timeout * IDLE_TIMEOUT_TENTHS / 10;
    EndpointClient::new(operator.endpoint_export.clone(), connect_timeout, idle_timeout)
}

async fn serve_connection(shared: Rc<Shared>, shutdown: Shutdown, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let mut reader: Reader = BufReader::new(Uninterrupted(reader));
    let mut writer: Writer = Uninterrupted(writer);
    let negotiation = handshake(&shared, &mut reader, &mut writer);
    let negotiated = tokio::time::timeout(HANDSHAKE_TIMEOUT, negotiation).await;
    let Ok(Ok(Some(negotiated))) = negotiated else { return };
    let (replies, queue) = Replies::queue(negotiated.structured_replies);
    let session = Rc::new(Session { shared, export: negotiated.export, replies });
    let mut writing = std::pin::pin!(write_replies(writer, queue));
    // Whichever way a client leaves, its requests are dropped with this future, and the core is told.
    let finished = tokio::select! {
        end = session.serve_commands(reader, shutdown) => end.is_ok(),
        () = &mut writing => false,
    };
    if finished {
        writing.await;
    }
}
