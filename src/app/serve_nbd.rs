//! Serves NBD with the operator's file: starts the core, the endpoint list watch, gossip with peers and the
//! NBD front, and applies reloads.

use super::configuration::{read_operator_config, reload_on_hangup};
use super::error::Error;
use super::{fresh_clock, Signals};
use shaletack::broker::{Broker, Input};
use shaletack::endpoint_list::EndpointList;
use shaletack::etcd;
use shaletack::interface::EndpointListKind;
use shaletack::nbd;
use shaletack::operator::{Etcd, OperatorConfig};
use shaletack::peers::{self, Peers};
use shaletack::runtime::host::Host;
use shaletack::runtime::sockets;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tracing::info;

/// Serves until SIGTERM, then finishes the requests that were accepted. SIGHUP reloads `file`.
///
/// # Errors
/// A signal handler can't be installed, the address for peers or for clients can't be bound, or the front
/// can't be set up.
pub async fn serve(config: OperatorConfig, file: String) -> Result<(), Error> {
    let mut signals = Signals::install()?;
    let observer = config.peers.as_ref().map(peers::new_observer);
    let seed = RandomState::new().build_hasher().finish();
    let broker = Broker::new(config.settings.clone(), seed, fresh_clock(), Instant::now());
    let host = Host::start(match &observer {
        Some(observer) => broker.with_peers(observer.clone()),
        None => broker,
    });
    host.feed(Input::EndpointList(config.endpoints.clone()));
    let list_watch = ListWatch::start(host.clone(), config.etcd.clone());
    // Clients are accepted only after the listed peers were asked for their observations, which delays the
    // start by 300 ms at most.
    let peers = match config.peers.as_ref().zip(observer) {
        Some((settings, observer)) => {
            let started = Peers::start(host.clone(), settings, observer).await;
            let peers = started.map_err(|source| Error::Peers { address: settings.listen, source })?;
            peers.set_configuration_version(config.version).await;
            Some(peers)
        }
        None => None,
    };
    let mut reload = Reload { host: host.clone(), peers: peers.clone(), list_watch };
    let read = move || read_operator_config(&file);
    actix_rt::spawn(reload_on_hangup(signals.hangup, read, move |new| reload.apply(new)));
    let listener = listen(&config).await?;
    let stop = async move {
        signals.terminate.recv().await;
        if let Some(peers) = peers {
            peers.leave().await;
        }
    };
    nbd::front::serve(host, config, listener, stop).await.map_err(Error::Nbd)
}

async fn listen(config: &OperatorConfig) -> Result<TcpListener, Error> {
    let address = config.listen;
    let failed = |source| Error::Listen { address, source };
    let listener = sockets::listen(address).await.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    info!(%at, exports = config.exports.len(), "listens for NBD");
    Ok(listener)
}

/// The watch of the endpoint list in etcd, if the operator's file configures one.
struct ListWatch {
    etcd: Option<Etcd>,
    task: Option<AbortHandle>,
}

impl ListWatch {
    fn start(host: Host, etcd: Option<Etcd>) -> Self {
        let task = etcd.clone().map(|etcd| actix_rt::spawn(etcd::watch(host, etcd)).abort_handle());
        ListWatch { etcd, task }
    }

    /// Restarts the watch if the new file names another etcd or another prefix, or stops it if the file names
    /// none.
    fn change(&mut self, host: &Host, etcd: Option<Etcd>) {
        if etcd == self.etcd {
            return;
        }
        if let Some(task) = self.task.take() {
            task.abort();
        }
        *self = ListWatch::start(host.clone(), etcd);
    }
}

/// Applies a reloaded file. The endpoint list, or the etcd that it is watched in, and the version of the
/// configuration take effect at once; everything else in the file, such as contracts and exports, takes
/// effect at the next start.
struct Reload {
    host: Host,
    peers: Option<Peers>,
    list_watch: ListWatch,
}

impl Reload {
    fn apply(&mut self, new: OperatorConfig) {
        info!("the operator's file was reloaded: its endpoint list is in effect");
        if new.etcd.is_none() {
            let list = EndpointList { kind: EndpointListKind::Full, ..new.endpoints };
            self.host.feed(Input::EndpointList(list));
        }
        if let Some(peers) = self.peers.clone() {
            actix_rt::spawn(async move { peers.set_configuration_version(new.version).await });
        }
        self.list_watch.change(&self.host, new.etcd);
    }
}
