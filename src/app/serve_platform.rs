//! Serving the platform's protocol, from where a predecessor is if there is one.

use super::configuration::{self, read_config, reload_at_each, LoadedConfig, ReadError};
use super::error::Error;
use super::{fresh_clock, Signals};
use listenfd::ListenFd;
use shaletack::broker::{Broker, Input};
use shaletack::config::{self, Config};
use shaletack::net::discovery::endpoint_list_watch::EndpointListWatch;
use shaletack::net::downstream::front::{self, Front};
use shaletack::net::downstream::request_ids::RequestIds;
use shaletack::net::handover::{self, HandoverLink, HandoverState, Identity, ReceivedHandover};
use shaletack::net::management;
use shaletack::net::upstream::endpoint_clients::EndpointClients;
use shaletack::runtime::host::Host;
use shaletack::runtime::sockets;
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
use tracing::{info, warn};

/// Descriptors kept for what is neither a client's, an operator's nor an endpoint's connection.
const SPARE_DESCRIPTORS: usize = 32;
/// The first descriptor that a process can be handed beside the three that each has.
const FIRST_HELD_DESCRIPTOR: usize = 3;
/// The memory that the process needs with no client at all, in MiB.
const BASE_MEMORY_MIB: u64 = 8;
/// The most that one client's connection holds, in bytes: a whole body, and the buffers round it.
const CONNECTION_BYTES: u64 = 128 << 10;
/// Clients may always have this many connections, however little memory there is.
const MIN_CONNECTIONS: u64 = 16;
/// Connections to endpoints may take one descriptor in this many.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 4;

/// The clients' socket, where whoever starts the program holds it: the descriptor that `ROUTER_FD` names.
///
/// # Errors
/// The variable names no listening socket.
pub fn held_socket() -> Result<Option<std::net::TcpListener>, Error> {
    let Ok(descriptor) = std::env::var("ROUTER_FD") else { return Ok(None) };
    let no_socket = || Error::HeldSocket { descriptor: descriptor.clone(), source: None };
    let number = descriptor.parse::<usize>().ok();
    let index = number.and_then(|number| number.checked_sub(FIRST_HELD_DESCRIPTOR)).ok_or_else(no_socket)?;
    // What listenfd reads; it counts from the first descriptor that a process can be handed.
    std::env::set_var("LISTEN_FDS", (index + 1).to_string());
    std::env::remove_var("LISTEN_PID");
    let socket = ListenFd::from_env().take_tcp_listener(index).ok().flatten().ok_or_else(no_socket)?;
    socket
        .set_nonblocking(true)
        .map_err(|why| Error::HeldSocket { descriptor: descriptor.clone(), source: Some(why) })?;
    Ok(Some(socket))
}

/// Serves until SIGTERM, and then what was taken. SIGHUP reads the configuration again.
///
/// # Errors
/// The configuration can't be used, two versions of this initiator serve already, or a socket can't be had.
pub async fn serve(file: Option<String>, held: Option<std::net::TcpListener>) -> Result<(), Error> {
    let signals = Signals::take()?;
    let loaded = configuration::load(file.clone());
    let identity = identity(&held, &loaded);
    let predecessor = match &identity {
        Some(identity) => handover::request_state(identity, &std::env::temp_dir()).await?,
        None => None,
    };
    let LoadedConfig { config, file } = match &predecessor {
        Some(given) => loaded.or_else(|fault| predecessors_config(given, file, fault))?,
        None => loaded?,
    };
    Start { config, file, signals, held, identity, predecessor }.run().await
}

/// Which initiator this process is; `None` where its clients' address is not known before it listens, so that nobody can
/// be its predecessor or follow it.
fn identity(held: &Option<std::net::TcpListener>, loaded: &Result<LoadedConfig, Error>) -> Option<Identity> {
    let config = loaded.as_ref().ok().map(|loaded| &loaded.config);
    let name = std::env::var("ROUTER_NAME").ok().or(config.map(|config| config.name.clone()))?;
    let clients = match (held, config) {
        (Some(held), _) => held.local_addr().ok(),
        (None, Some(config)) => Some(config.listen).filter(|address| address.port() > 0),
        (None, None) => std::env::var("ROUTER_LISTEN").ok().and_then(|address| address.parse().ok()),
    };
    Some(Identity { name, listen_address: clients? })
}

/// The predecessor rejected such a configuration too, and serves by the one before: so does this process.
fn predecessors_config(
    given: &ReceivedHandover,
    file: Option<String>,
    fault: Error,
) -> Result<LoadedConfig, Error> {
    warn!(why = %fault, "the new configuration is not used; the predecessor's is");
    let mut text = given.state.configuration.clone().into_bytes();
    let config = config::read(&mut text, |name| std::env::var(name).ok())
        .map_err(|fault| Error::Configuration(fault.to_string()))?;
    let file = file.or_else(configuration::default_file).ok_or(fault)?;
    Ok(LoadedConfig { config, file })
}

/// All that a start needs.
struct Start {
    config: Config,
    file: String,
    signals: Signals,
    held: Option<std::net::TcpListener>,
    identity: Option<Identity>,
    predecessor: Option<ReceivedHandover>,
}

impl Start {
    async fn run(self) -> Result<(), Error> {
        let Start { config, file, signals, held, identity, predecessor } = self;
        let inherited = predecessor.as_ref().and_then(|given| given.state.core.clock(given.received_at));
        let clock = inherited.unwrap_or_else(fresh_clock);
        let broker = Broker::new(config.settings.clone(), config.seed, clock, Instant::now());
        let host = Host::start(broker);
        report_start(&config);
        host.feed(Input::EndpointList(config.known.clone()));
        let followable = identity.is_some();
        let identity =
            identity.unwrap_or(Identity { name: config.name.clone(), listen_address: config.listen });
        let link = HandoverLink::new(host.clone(), identity, &std::env::temp_dir());
        let request_ids = Rc::new(RefCell::new(RequestIds::default()));
        if let Some(given) = predecessor {
            restore(&host, &link, &request_ids, given);
        }
        let ready = Rc::new(Cell::new(false));
        let descriptors = Descriptors::divide(&config);
        if let Some(address) = config.management {
            serve_management(&host, &link, &ready, address).await?;
        }
        let revision = host.with_broker(Broker::revision);
        let watch = EndpointListWatch::start(host.clone(), config.discovery, revision, config.seed);
        watch.first_event().await;
        let in_force = Rc::new(RefCell::new(config.text.clone()));
        let reload = Reload { host: host.clone(), watch, file, in_force: in_force.clone() };
        reload.spawn(signals.hangup);
        let listener = listen(held, &config).await?;
        let endpoint_clients = EndpointClients::new(&host, descriptors.endpoints);
        if followable {
            accept_successors(&link, &host, &request_ids, &in_force);
        }
        ready.set(true);
        let hand_over = Rc::new(move || link.is_connected().then(|| link.yield_budgets()).is_some());
        let max_connections = descriptors.clients.min(connections_in_memory(config.memory_mb));
        let front = Front { host, endpoint_clients, max_connections, request_ids, hand_over };
        let mut terminate = signals.terminate;
        front::serve(front, listener, async move {
            terminate.recv().await;
        })
        .await;
        Ok(())
    }
}

fn report_start(config: &Config) {
    let Config { name, known, passed_over, .. } = config;
    info!(name, endpoints = known.entries.len(), revision = known.revision, "starting");
    for why in passed_over {
        warn!(%why, "an endpoint list entry is skipped");
    }
}

/// Goes on from what a predecessor handed over, sharing every budget with it.
fn restore(host: &Host, link: &HandoverLink, request_ids: &RefCell<RequestIds>, given: ReceivedHandover) {
    let ReceivedHandover { state, stream, .. } = given;
    let snapshot = Box::new(state.core);
    host.feed(Input::Restore { snapshot, budget_share: handover::SHARED_BUDGET });
    request_ids.borrow_mut().restore(state.request_ids);
    link.follow_predecessor(stream);
}

/// How the process's file descriptors are divided.
struct Descriptors {
    clients: usize,
    endpoints: usize,
}

impl Descriptors {
    /// Operators' calls have descriptors of their own, whatever the clients hold.
    fn divide(config: &Config) -> Self {
        let calls = config.management.map_or(0, |_| management::MAX_CALLS);
        let rest = config.sockets.saturating_sub(SPARE_DESCRIPTORS).saturating_sub(calls);
        let endpoints = rest / ENDPOINT_DESCRIPTOR_DIVISOR;
        Descriptors { clients: rest - endpoints, endpoints }
    }
}

/// For how many client connections there is memory; 0 MiB: memory is not limited.
fn connections_in_memory(memory_mib: u64) -> usize {
    if memory_mib == 0 {
        return usize::MAX;
    }
    let bytes = memory_mib.saturating_sub(BASE_MEMORY_MIB) << 20;
    (bytes / CONNECTION_BYTES).max(MIN_CONNECTIONS) as usize
}

async fn serve_management(
    host: &Host,
    link: &HandoverLink,
    ready: &Rc<Cell<bool>>,
    address: SocketAddr,
) -> Result<(), Error> {
    let failed = |source| Error::Management { address, source };
    let listener = sockets::listen(address).await.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    info!(%at, "accepting management calls");
    actix_rt::spawn(management::serve(host.clone(), link.clone(), listener, ready.clone()));
    Ok(())
}

async fn listen(held: Option<std::net::TcpListener>, config: &Config) -> Result<TcpListener, Error> {
    let address = config.listen;
    let failed = |source| Error::Listen { address, source };
    let listener = match held {
        Some(held) => TcpListener::from_std(held),
        None => sockets::listen(address).await,
    };
    let listener = listener.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    info!(%at, name = config.name, "listens for HTTP");
    Ok(listener)
}

/// From now on a successor is given what this process knows at that moment.
fn accept_successors(
    link: &HandoverLink,
    host: &Host,
    request_ids: &Rc<RefCell<RequestIds>>,
    configuration: &Rc<RefCell<Vec<u8>>>,
) {
    let (host, request_ids, configuration) = (host.clone(), request_ids.clone(), configuration.clone());
    link.accept_successors(move || HandoverState {
        core: host.with_broker(|broker| broker.snapshot(Instant::now(), handover::SHARED_BUDGET)),
        request_ids: request_ids.borrow().all(),
        configuration: String::from_utf8_lossy(&configuration.borrow()).into_owned(),
    });
}

/// Reads the configuration again at each SIGHUP: the new address of discovery and the new settings count at once.
struct Reload {
    host: Host,
    watch: EndpointListWatch,
    file: String,
    /// The text of the configuration in force.
    in_force: Rc<RefCell<Vec<u8>>>,
}

impl Reload {
    fn spawn(self, hangup: tokio::signal::unix::Signal) {
        let Reload { host, mut watch, file, in_force } = self;
        let last = in_force.clone();
        let read = move || read_complete(&file, &last.borrow());
        let apply = move |new: Config| {
            report_reload(&new);
            watch.set_agent(new.discovery);
            host.feed(Input::Settings(Box::new(new.settings)));
            in_force.replace(new.text);
        };
        actix_rt::spawn(reload_at_each(hangup, read, apply));
    }
}

/// Reads a new configuration. It needs every key of the one in force: a file that is cut must not count in part. The
/// environment tells where discovery was at the start; from a new file on, the file does.
fn read_complete(file: &str, in_force: &[u8]) -> Result<Config, ReadError> {
    let env = |name: &str| (name != "ROUTER_DISCOVERY").then(|| std::env::var(name).ok())?;
    let new = read_config(file, env)?;
    match config::lacks(in_force, &new.text) {
        Some(key) => Err(ReadError::Invalid(format!("{file}: there is no key '{key}'"))),
        None => Ok(new),
    }
}

fn report_reload(new: &Config) {
    let classes: Vec<&str> = new.settings.classes.iter().map(|class| class.name.as_str()).collect();
    let classes = classes.join(", ");
    let attempts = new.settings.max_attempts;
    info!(discovery = %new.discovery, classes, attempts, "the configuration was reloaded");
}
