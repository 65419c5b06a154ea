//! The NBD server: clients mount exports, and each of their commands is submitted to the core as one or more
//! requests.
//!
//! A connection goes through the phases of the NBD protocol: the handshake phase in `handshake` (newstyle
//! negotiation and option haggling), and then the transmission phase. There `transmission` reads and
//! validates commands, `split` splits each into parts that lie on one shard, and `execute` submits the parts
//! to the core and combines the answers. `replies` encodes and queues the replies, and `client_stream`
//! writes them. `in_flight` limits the number and the memory of commands in flight.

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

/// The timeout for a client's whole handshake.
const HANDSHAKE_TIMEOUT: Duration = Duration::from_millis(2500);
/// The timeout for connecting to an endpoint, including the handshake, if the settings have none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// How long endpoints keep idle connections, if the settings do not say.
const DEFAULT_KEEP_ALIVE_TIMEOUT: Duration = Duration::from_secs(5);
/// How long idle connections to endpoints are kept, in tenths of the time for which endpoints keep them, so
/// that an endpoint is never the first to close.
const IDLE_TIMEOUT_TENTHS: u32 = 6;
/// The number of file descriptors that are allowed for each client connection, because its commands may use
/// several connections to endpoints.
const DESCRIPTORS_PER_CLIENT: usize = 4;

/// The state that all client connections share.
struct Shared {
    write_back: Option<WriteBackCache>,
    host: Host,
    operator: OperatorConfig,
    endpoints: Rc<EndpointClient>,
    memory: MemoryBudget,
}

/// Serves clients until `stop` completes, then shuts down: commands that were admitted are completed, and the
/// write-back cache is closed.
///
/// # Errors
/// The log of the write-back cache could not be opened. No client was served.
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
        hand_over: Rc::new(|| false),
    };
    let endpoints = Rc::new(endpoint_client(&operator));
    let open_cache = |settings| WriteBackCache::open(host.clone(), endpoints.clone(), &operator, settings);
    let write_back = operator.write_back.as_ref().map(open_cache).transpose()?;
    let cache = write_back.clone();
    let shared = Rc::new(Shared { write_back, host, operator, endpoints, memory: MemoryBudget::new() });
    listener.serve(stop, |stream| serve_connection(shared.clone(), shutdown.clone(), stream)).await;
    if let Some(cache) = cache {
        cache.close().await;
    }
    Ok(())
}

fn endpoint_client(operator: &OperatorConfig) -> EndpointClient {
    let or_default = |time: Duration, default: Duration| if time.is_zero() { default } else { time };
    let settings = &operator.settings;
    let connect_timeout = or_default(settings.connect_timeout, DEFAULT_CONNECT_TIMEOUT);
    let keep_alive_timeout = or_default(settings.keep_alive_timeout, DEFAULT_KEEP_ALIVE_TIMEOUT);
    let idle_timeout = keep_alive_timeout * IDLE_TIMEOUT_TENTHS / 10;
    EndpointClient::new(operator.endpoint_export.clone(), connect_timeout, idle_timeout)
}

/// Serves one client: the handshake, then commands until the client disconnects or the process shuts down.
async fn serve_connection(shared: Rc<Shared>, shutdown: Shutdown, stream: TcpStream) {
    let (reader, writer) = stream.into_split();
    let mut reader: Reader = BufReader::new(Uninterrupted(reader));
    let mut writer: Writer = Uninterrupted(writer);
    let handshake = handshake(&shared, &mut reader, &mut writer);
    let negotiated = tokio::time::timeout(HANDSHAKE_TIMEOUT, handshake).await;
    let Ok(Ok(Some(negotiated))) = negotiated else { return };
    let (replies, queue) = Replies::queue(negotiated.structured_replies);
    let session = Rc::new(Session { shared, export: negotiated.export, replies });
    let mut writing = std::pin::pin!(write_replies(writer, queue));
    // However the client disconnects, its requests are dropped with this future, and the core is told that
    // the client left.
    let finished = tokio::select! {
        result = session.serve_commands(reader, shutdown) => result.is_ok(),
        () = &mut writing => false,
    };
    if finished {
        writing.await;
    }
}
