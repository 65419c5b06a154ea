//! The pool of connections to endpoints: one HTTP client for each address, and a bound on all their connections.
//!
//! A client that is unused for as long as its connections may be idle is dropped with them: endpoints are replaced all the
//! time, and the HTTP library looks at idle connections only before their use.

use super::connection::EndpointConnection;
use super::keep_alive::{EndpointReuse, KeepAlivePolicy};
use super::open_connections::OpenConnections;
use crate::interface::Settings;
use crate::runtime::host::Host;
use crate::runtime::sockets::{address_of, connect};
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

/// Where the settings give no keep-alive time.
const DEFAULT_IDLE_TIMEOUT: Duration = Duration::from_secs(5);
/// Where the settings give no connect time.
const DEFAULT_CONNECT_TIMEOUT: Duration = Duration::from_millis(250);
/// Idle connections are closed before their endpoint closes them, under the next request: after this part of its time,
const IDLE_TIME_NUMERATOR: u32 = 6;
/// divided by this.
const IDLE_TIME_DENOMINATOR: u32 = 10;
/// Connections are not closed for their age: no limit in practice.
const MAX_CONNECTION_AGE: Duration = Duration::from_secs(24 * 3600);

/// The clients of all endpoints.
pub struct EndpointClients {
    host: Host,
    clients: RefCell<HashMap<SocketAddr, PooledClient>>,
    timeouts: Cell<ConnectionTimeouts>,
    keep_alive: Rc<KeepAlivePolicy>,
    max_connections: usize,
    open: OpenConnections,
    permits: Arc<Semaphore>,
}

/// The client of one endpoint.
struct PooledClient {
    client: Client,
    last_used: Instant,
}

/// What the settings in force say of connections.
#[derive(Clone, Copy, PartialEq)]
pub struct ConnectionTimeouts {
    /// How long a connection may be idle.
    pub idle: Duration,
    /// How long it may take until it is established.
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
    /// No more than `max_connections` are in use at a time, and no more idle ones are kept beside them.
    pub fn new(host: &Host, max_connections: usize) -> Rc<Self> {
        let timeouts = ConnectionTimeouts::from_settings(&host.settings());
        Rc::new(EndpointClients {
            host: host.clone(),
            clients: RefCell::default(),
            timeouts: Cell::new(timeouts),
            keep_alive: Rc::new(KeepAlivePolicy::new(timeouts.idle)),
            max_connections,
            open: OpenConnections::default(),
            permits: Arc::new(Semaphore::new(max_connections)),
        })
    }

    /// By the settings in force. Clients keep the timeouts that they were made with, so newer ones need new clients.
    pub fn timeouts(&self) -> ConnectionTimeouts {
        let timeouts = ConnectionTimeouts::from_settings(&self.host.settings());
        if self.timeouts.replace(timeouts) != timeouts {
            self.clients.borrow_mut().clear();
            self.keep_alive.set_max_idle(timeouts.idle);
        }
        timeouts
    }

    /// Waits until one more connection may be in use, and reserves it until the permit is dropped.
    pub async fn reserve_connection(&self) -> Option<OwnedSemaphorePermit> {
        // The semaphore is never closed.
        self.permits.clone().acquire_owned().await.ok()
    }

    /// The client of an endpoint.
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

    /// Idle connections go before those in use run out of descriptors, longest unused first.
    fn close_idle_connections(&self, clients: &mut HashMap<SocketAddr, PooledClient>, except: SocketAddr) {
        while self.open.count() >= self.max_connections {
            let others = clients.iter().filter(|(address, _)| **address != except);
            let oldest = others.min_by_key(|(_, pooled)| pooled.last_used).map(|(address, _)| *address);
            let Some(oldest) = oldest else { return };
            clients.remove(&oldest);
        }
    }

    /// Redirects would send a request once more, and the library's own timeout would end attempts that the core still waits
    /// for: both are off.
    fn build_client(&self, timeouts: ConnectionTimeouts) -> Client {
        let reuse = Rc::new(EndpointReuse::new(self.keep_alive.clone()));
        let open = self.open.clone();
        let connect = fn_service(move |info: ConnectInfo<Uri>| {
            let (reuse, open) = (reuse.clone(), open.clone());
            async move {
                let uri = info.request().clone();
                let address = address_of(&uri)?;
                let socket = connect(address, timeouts.connect).await.map_err(ConnectError::Io)?;
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
