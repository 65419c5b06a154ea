//! The pool of connections to endpoints: one HTTP client for each address, and a limit on the connections of
//! all of them.
//!
//! A client that has not been used for the idle timeout of its connections is dropped together with them.
//! Endpoints are replaced frequently, and the HTTP library checks an idle connection only before it uses it,
//! so idle connections to former endpoints would stay open otherwise.

use super::connection::EndpointConnection;
use super::keep_alive::{EndpointReuse, KeepAlivePolicy};
use super::open_connections::OpenConnections;
use crate::interface::Settings;
use crate::runtime::host::Host;
use crate::runtime::sockets::{address_of, connect, SocketBuffers};
use actix_service::fn_service;
use actix_tls::connect::{ConnectError, ConnectInfo, Connection};
use awc::http::Uri;
use awc::{Client, Connector};
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::Arc;
use std::time::{Duration, Instant};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};

/// The idle timeout if the settings give no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// The connect timeout if the settings give none.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// The numerator of the part of the settings' keep-alive time after which idle connections are closed. An
/// endpoint closes an idle connection after the whole time, which must not happen while the next request is
/// being sent on it.
const IDLE_TIME_NUMERATOR: u32 = 6;
/// The denominator of that part.
const IDLE_TIME_DENOMINATOR: u32 = 10;
/// The numerator of the part of all connections that uploads may use.
const UPLOADS_NUMERATOR: usize = 3;
/// The denominator of that part.
const UPLOADS_DENOMINATOR: usize = 4;
/// The maximum age of a connection. Long enough that connections are not closed for their age in practice.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(24 * 3600);

/// The HTTP clients of all endpoints.
pub struct EndpointClients {
    host: Host,
    clients: RefCell<HashMap<SocketAddr, PooledClient>>,
    timeouts: Cell<ConnectionTimeouts>,
    keep_alive: Rc<KeepAlivePolicy>,
    max_connections: usize,
    socket_buffers: Option<SocketBuffers>,
    open: OpenConnections,
    permits: Arc<Semaphore>,
}

/// The HTTP client of one endpoint.
struct PooledClient {
    client: Client,
    last_used: Instant,
}

/// The timeouts that the settings in force give for connections.
#[derive(Clone, Copy, PartialEq)]
pub struct ConnectionTimeouts {
    /// How long a connection may be idle.
    pub idle: Duration,
    /// How long establishing a connection may take.
    pub connect: Duration,
}

impl ConnectionTimeouts {
    fn from_settings(settings: &Settings) -> Self {
        let idle = settings.keep_alive_timeout * IDLE_TIME_NUMERATOR / IDLE_TIME_DENOMINATOR;
        ConnectionTimeouts {
            idle: non_zero_or(idle, DEFAULT_IDLE_TIMEOUT),
            connect: non_zero_or(settings.connect_timeout, DEFAULT_CONNECT_TIMEOUT),
        }
    }
}

fn non_zero_or(time: Duration, default: Duration) -> Duration {
    if time.is_zero() {
        default
    } else {
        time
    }
}

impl EndpointClients {
    /// Returns an empty pool. At most `max_connections` connections are in use at a time, and idle ones are
    /// closed while that many or more are open. Their sockets have these buffers; `None`: the system's.
    pub fn new(host: &Host, max_connections: usize, socket_buffers: Option<SocketBuffers>) -> Rc<Self> {
        let timeouts = ConnectionTimeouts::from_settings(&host.settings());
        Rc::new(EndpointClients {
            host: host.clone(),
            clients: RefCell::default(),
            timeouts: Cell::new(timeouts),
            keep_alive: Rc::new(KeepAlivePolicy::new(timeouts.idle)),
            max_connections,
            socket_buffers,
            open: OpenConnections::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
        })
    }

    /// Returns the timeouts from the settings in force. A client keeps the timeouts that it was built with,
    /// so all clients are dropped when the timeouts change.
    pub fn timeouts(&self) -> ConnectionTimeouts {
        let timeouts = ConnectionTimeouts::from_settings(&self.host.settings());
        if self.timeouts.replace(timeouts) != timeouts {
            self.clients.borrow_mut().clear();
            self.keep_alive.set_max_idle(timeouts.idle);
        }
        timeouts
    }

    /// Returns how many connections uploads may use at a time. They take long, and leave a part to small requests.
    pub fn max_uploads(&self) -> usize {
        (self.max_connections * UPLOADS_NUMERATOR / UPLOADS_DENOMINATOR).max(1)
    }

    /// Waits until one more connection may be in use, and reserves a place for it until the permit is
    /// dropped.
    pub async fn reserve_connection(&self) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed.
        self.permits.clone().acquire_owned().await.ok()
    }

    /// Returns the HTTP client of an endpoint.
    pub fn client(&self, endpoint: SocketAddr) -> Client {
        let timeouts = self.timeouts();
        let now = Instant::now();
        let mut clients = self.clients.borrow_mut();
        clients.retain(|address, pooled| *address == endpoint || now < pooled.last_used + timeouts.idle);
        self.close_idle_connections(&mut clients, endpoint);
        let pooled = clients
            .entry(endpoint)
            .or_insert_with(|| PooledClient { client: self.build_client(timeouts), last_used: now });
        pooled.last_used = now;
        pooled.client.clone()
    }

    /// Drops clients while too many connections are open, so that the connections in use do not run out of
    /// file descriptors. The client that has been unused for longest is dropped first.
    fn close_idle_connections(&self, clients: &mut HashMap<SocketAddr, PooledClient>, except: SocketAddr) {
        while self.open.count() >= self.max_connections {
            let others = clients.iter().filter(|(address, _)| **address != except);
            let oldest = others.min_by_key(|(_, pooled)| pooled.last_used).map(|(address, _)| *address);
            let Some(oldest) = oldest else { return };
            clients.remove(&oldest);
        }
    }

    /// Builds an HTTP client without redirects, which would send a request once more, and without the
    /// library's request timeout, which would end attempts that the core still waits for.
    fn build_client(&self, timeouts: ConnectionTimeouts) -> Client {
        let reuse = Rc::new(EndpointReuse::new(self.keep_alive.clone()));
        let (open, buffers) = (self.open.clone(), self.socket_buffers);
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (reuse, open) = (reuse.clone(), open.clone());
            async move {
                let uri = info.request().clone();
                let address = address_of(&uri)?;
                let socket = connect(address, timeouts.connect, buffers).await.map_err(ConnectError::Io)?;
                let _ = socket.set_nodelay(true);
                let connection = EndpointConnection::new(socket, reuse, open.register());
                Ok::<_, ConnectError>(Connection::new(uri, connection))
            }
        });
        let connector = Connector::new()
            .connector(connect)
            .timeout(timeouts.connect)
            .conn_keep_alive(timeouts.idle)
            .conn_lifetime(MAX_CONNECTION_AGE)
            .max_http_version(actix_http::Version::HTTP_11)
            .limit(0);
        Client::builder()
            .connector(connector)
            .disable_redirects()
            .disable_timeout()
            .no_default_headers()
            .finish()
    }
}
