//! Serves HTTP with the platform's configuration. If a predecessor of the same initiator is running, this
//! process takes over its state and serves beside it until the predecessor ends.

use super::configuration::{self, read_config, reload_on_hangup, LoadedConfig, ReadError};
use super::error::Error;
use super::{fresh_clock, Signals};
use listenfd::ListenFd;
use shaletack::broker::{Broker, Input};
use shaletack::config::{self, Config};
use shaletack::net::discovery::endpoint_list_watch::EndpointListWatch;
use shaletack::net::downstream::front::{self, Front};
use shaletack::net::downstream::memory::OPEN_CONNECTION_BYTES;
use shaletack::net::downstream::request_ids::RequestIds;
use shaletack::net::handover::{self, HandoverLink, HandoverState, Identity, ReceivedHandover};
use shaletack::net::management;
use shaletack::net::upstream::endpoint_clients::EndpointClients;
use shaletack::runtime::host::Host;
use shaletack::runtime::memory::MemoryBudget;
use shaletack::runtime::memory_plan::{Grant, MemoryPlan};
use shaletack::runtime::sockets::{self, SocketBuffers};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Instant;
use tokio::net::TcpListener;
use tracing::{info, warn};

/// Descriptors reserved for everything but the connections of clients, operators and endpoints.
const RESERVED_DESCRIPTORS: usize = 32;
/// The first descriptor that a process can inherit beside standard input, output and error.
const FIRST_INHERITED_DESCRIPTOR: usize = 3;
/// Connections to endpoints may take one of this many descriptors.
const ENDPOINT_DESCRIPTOR_DIVISOR: usize = 4;

/// Returns the listening socket for clients that the parent process passes on, if there is one: the
/// descriptor in `ROUTER_FD`.
///
/// # Errors
/// The variable does not name a listening socket, or the socket can't be made non-blocking.
pub fn inherited_listener() -> Result<Option<std::net::TcpListener>, Error> {
    let Ok(descriptor) = std::env::var("ROUTER_FD") else { return Ok(None) };
    let not_a_listener = || Error::InheritedListener { descriptor: descriptor.clone(), source: None };
    let number = descriptor.parse::<usize>().ok();
    let index = number
        .and_then(|number| number.checked_sub(FIRST_INHERITED_DESCRIPTOR))
        .ok_or_else(not_a_listener)?;
    // `ListenFd` reads these variables; its index counts from the first descriptor that a process can
    // inherit.
    std::env::set_var("LISTEN_FDS", (index + 1).to_string());
    std::env::remove_var("LISTEN_PID");
    let listener = ListenFd::from_env().take_tcp_listener(index).ok().flatten().ok_or_else(not_a_listener)?;
    listener
        .set_nonblocking(true)
        .map_err(|error| Error::InheritedListener { descriptor: descriptor.clone(), source: Some(error) })?;
    Ok(Some(listener))
}

/// Serves until SIGTERM, then finishes the requests that were accepted. SIGHUP reloads the configuration.
///
/// # Errors
/// The configuration is invalid and there is no predecessor to take one from, two versions of this initiator
/// serve already, a signal handler can't be installed, or a socket can't be opened.
pub async fn serve(file: Option<String>, inherited: Option<std::net::TcpListener>) -> Result<(), Error> {
    let signals = Signals::install()?;
    let loaded = configuration::load(file.clone());
    let identity = identity(&inherited, &loaded);
    let predecessor = match &identity {
        Some(identity) => handover::request_state(identity, &std::env::temp_dir()).await?,
        None => None,
    };
    let LoadedConfig { config, file } = match &predecessor {
        Some(received) => loaded.or_else(|error| predecessor_config(received, file, error))?,
        None => loaded?,
    };
    Startup { config, file, signals, inherited, identity, predecessor }.run().await
}

/// Returns the identity of this initiator, by which a predecessor and successors are found. `None`: the
/// client address is not known before the process listens, so it can have neither.
fn identity(
    inherited: &Option<std::net::TcpListener>,
    loaded: &Result<LoadedConfig, Error>,
) -> Option<Identity> {
    let config = loaded.as_ref().ok().map(|loaded| &loaded.config);
    let name = std::env::var("ROUTER_NAME").ok().or(config.map(|config| config.name.clone()))?;
    let clients = match (inherited, config) {
        (Some(listener), _) => listener.local_addr().ok(),
        (None, Some(config)) => Some(config.listen).filter(|address| address.port() > 0),
        (None, None) => std::env::var("ROUTER_LISTEN").ok().and_then(|address| address.parse().ok()),
    };
    Some(Identity { name, listen_address: clients? })
}

/// Returns the configuration that the predecessor has in force, for a start with an invalid file. The
/// predecessor rejects such a file at a reload and stays with the configuration in force, so its successor
/// uses the same one.
fn predecessor_config(
    received: &ReceivedHandover,
    file: Option<String>,
    error: Error,
) -> Result<LoadedConfig, Error> {
    warn!(why = %error, "the new configuration is not used; the predecessor's is");
    let mut text = received.state.configuration.clone().into_bytes();
    let config = config::read(&mut text, |name| std::env::var(name).ok())
        .map_err(|error| Error::Configuration(error.to_string()))?;
    let file = file.or_else(configuration::default_file).ok_or(error)?;
    Ok(LoadedConfig { config, file })
}

/// The inputs of a startup.
struct Startup {
    config: Config,
    /// The path that the configuration is reloaded from.
    file: String,
    signals: Signals,
    /// The listening socket that the parent process passed on.
    inherited: Option<std::net::TcpListener>,
    identity: Option<Identity>,
    /// The state that a predecessor handed over.
    predecessor: Option<ReceivedHandover>,
}

impl Startup {
    /// Starts all parts of the process and serves until SIGTERM.
    async fn run(self) -> Result<(), Error> {
        let Startup { config, file, signals, inherited, identity, predecessor } = self;
        let inherited_clock =
            predecessor.as_ref().and_then(|received| received.state.core.clock(received.received_at));
        let clock = inherited_clock.unwrap_or_else(fresh_clock);
        let broker = Broker::new(config.settings.clone(), config.seed, clock, Instant::now());
        let host = Host::start(broker);
        log_startup(&config);
        host.feed(Input::EndpointList(config.cached_endpoints.clone()));
        let can_have_successor = identity.is_some();
        let identity =
            identity.unwrap_or(Identity { name: config.name.clone(), listen_address: config.listen });
        let link = HandoverLink::new(host.clone(), identity, &std::env::temp_dir());
        let request_ids = Rc::new(RefCell::new(RequestIds::new(config.max_request_ids)));
        if let Some(received) = predecessor {
            restore(&host, &link, &request_ids, received);
        }
        let ready = Rc::new(Cell::new(false));
        let budget = DescriptorBudget::new(&config);
        if let Some(address) = config.management {
            serve_management(&host, &link, &ready, address).await?;
        }
        let revision = host.with_broker(Broker::revision);
        let watch = EndpointListWatch::start(host.clone(), config.discovery, revision, config.seed);
        watch.first_event().await;
        let in_force = Rc::new(RefCell::new(config.text.clone()));
        let reload = Reload { host: host.clone(), watch, file, in_force: in_force.clone() };
        reload.spawn(signals.hangup);
        let plan = plan_memory(&config, &budget);
        let listener = listen(inherited, &config, plan.socket_buffers).await?;
        let endpoint_clients = EndpointClients::new(&host, plan.endpoints, plan.socket_buffers);
        if can_have_successor {
            accept_successors(&link, &host, &request_ids, &in_force);
        }
        ready.set(true);
        let hand_over = Rc::new(move || link.is_connected().then(|| link.yield_budgets()).is_some());
        let max_connections = plan.clients;
        let memory = MemoryBudget::in_process(
            usize::try_from(plan.client_bytes).unwrap_or(usize::MAX),
            plan.total_bytes.max(config.max_memory_mib << 20),
        );
        let front = Front { host, endpoint_clients, max_connections, memory, request_ids, hand_over };
        let mut terminate = signals.terminate;
        front::serve(front, listener, async move {
            terminate.recv().await;
        })
        .await;
        Ok(())
    }
}

fn log_startup(config: &Config) {
    let Config { name, cached_endpoints, skipped_entries, .. } = config;
    info!(name, endpoints = cached_endpoints.entries.len(), revision = cached_endpoints.revision, "starting");
    for why in skipped_entries {
        warn!(%why, "an endpoint list entry is skipped");
    }
}

/// Restores the state that a predecessor handed over. While both processes run, they share every budget.
fn restore(host: &Host, link: &HandoverLink, request_ids: &RefCell<RequestIds>, received: ReceivedHandover) {
    let ReceivedHandover { state, stream, .. } = received;
    let snapshot = Box::new(state.core);
    host.feed(Input::Restore { snapshot, budget_share: handover::SHARED_BUDGET });
    request_ids.borrow_mut().restore(state.request_ids);
    link.follow_predecessor(stream);
}

/// The number of file descriptors for client connections and for endpoint connections.
struct DescriptorBudget {
    clients: usize,
    endpoints: usize,
}

impl DescriptorBudget {
    /// Divides the descriptors of the process. Management calls have descriptors of their own, so that
    /// operators are served however many connections clients hold.
    fn new(config: &Config) -> Self {
        let management_calls = config.management.map_or(0, |_| management::MAX_CALLS);
        let available =
            config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS).saturating_sub(management_calls);
        let endpoints = available / ENDPOINT_DESCRIPTOR_DIVISOR;
        DescriptorBudget { clients: available - endpoints, endpoints }
    }
}

/// Divides the memory of the process, and warns if it is too small for what the process may hold.
fn plan_memory(config: &Config, budget: &DescriptorBudget) -> MemoryPlan {
    let plan = MemoryPlan::new(Grant {
        memory_mib: config.max_memory_mib,
        state_bytes: config::state_memory(config.max_memory_mib),
        connection_bytes: OPEN_CONNECTION_BYTES as u64,
        max_clients: budget.clients,
        max_endpoints: budget.endpoints,
    });
    let MemoryPlan { clients, endpoints, .. } = plan;
    let (total_kib, client_kib) = (plan.total_bytes >> 10, plan.client_bytes >> 10);
    let SocketBuffers { receive, send } =
        plan.socket_buffers.unwrap_or(SocketBuffers { receive: 0, send: 0 });
    let memory_mb = config.max_memory_mib;
    info!(memory_mb, clients, endpoints, receive, send, client_kib, total_kib, "memory plan");
    if !plan.fits(memory_mb) {
        warn!(memory_mb, total_kib, "memory_mb is too small for the least that the process needs");
    }
    plan
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

async fn listen(
    inherited: Option<std::net::TcpListener>,
    config: &Config,
    buffers: Option<SocketBuffers>,
) -> Result<TcpListener, Error> {
    let address = config.listen;
    let failed = |source| Error::Listen { address, source };
    let listener = match inherited {
        Some(listener) => TcpListener::from_std(listener),
        None => sockets::listen(address).await,
    };
    let listener = listener.map_err(failed)?;
    if let Some(buffers) = buffers {
        buffers.apply(&listener).map_err(failed)?;
    }
    let at = listener.local_addr().map_err(failed)?;
    info!(%at, name = config.name, "listens for HTTP");
    Ok(listener)
}

/// Accepts successors from now on. Each receives the state of this process at the time of its request.
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

/// Reloads the configuration at each SIGHUP. The discovery address and the settings take effect at once,
/// everything else at the next start.
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
        let previous = in_force.clone();
        let read = move || read_complete_config(&file, &previous.borrow());
        let apply = move |new: Config| {
            log_reload(&new);
            watch.set_agent(new.discovery);
            host.feed(Input::Settings(Box::new(new.settings)));
            in_force.replace(new.text);
        };
        actix_rt::spawn(reload_on_hangup(hangup, read, apply));
    }
}

/// Reads a new configuration, which needs every key of the one in force, so that a file that lacks a part is
/// not applied. `ROUTER_DISCOVERY` is ignored: it holds the discovery address of the start, and a reload
/// takes the address from the file.
///
/// # Errors
/// The file can't be read, is invalid, or lacks a key of the configuration in force.
fn read_complete_config(file: &str, in_force: &[u8]) -> Result<Config, ReadError> {
    let env = |name: &str| (name != "ROUTER_DISCOVERY").then(|| std::env::var(name).ok())?;
    let new = read_config(file, env)?;
    match config::first_missing_key(in_force, &new.text) {
        Some(key) => {
            Err(ReadError::Invalid(format!("{file}: missing key '{key}' of the configuration in force")))
        }
        None => Ok(new),
    }
}

fn log_reload(new: &Config) {
    let classes: Vec<&str> = new.settings.classes.iter().map(|class| class.name.as_str()).collect();
    let classes = classes.join(", ");
    let attempts = new.settings.max_attempts;
    info!(discovery = %new.discovery, classes, attempts, "the configuration was reloaded");
}
