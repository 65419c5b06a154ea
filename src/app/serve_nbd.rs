//! Serving NBD as the operator's file says.

use super::configuration::{read_operator, reload_at_each};
use super::error::Error;
use super::{fresh_clock, Signals};
use shaletack::broker::{Broker, Input};
use shaletack::endpoint_list::EndpointList;
use shaletack::etcd;
use shaletack::interface::EndpointListKind;
use shaletack::nbd;
use shaletack::operator::{Etcd, Operator};
use shaletack::peers::{self, Peers};
use shaletack::runtime::host::Host;
use shaletack::runtime::sockets;
use std::collections::hash_map::RandomState;
use std::hash::{BuildHasher, Hasher};
use std::time::Instant;
use tokio::net::TcpListener;
use tokio::task::AbortHandle;
use tracing::info;

/// Serves until SIGTERM, and then what was taken. SIGHUP reads `file` again.
///
/// # Errors
/// The signals, the peers' address or the clients' address can't be had, or the front can't be set up.
pub async fn serve(operator: Operator, file: String) -> Result<(), Error> {
    let mut signals = Signals::take()?;
    let observer = operator.peers.as_ref().map(peers::new_observer);
    let seed = RandomState::new().build_hasher().finish();
    let broker = Broker::new(operator.settings.clone(), seed, fresh_clock(), Instant::now());
    let host = Host::start(match &observer {
        Some(observer) => broker.with_peers(observer.clone()),
        None => broker,
    });
    host.feed(Input::EndpointList(operator.endpoints.clone()));
    let list_source = ListSource::follow(host.clone(), operator.etcd.clone());
    // Before clients come, and for 300 ms at most: what the peers know is worth that wait.
    let peers = match operator.peers.as_ref().zip(observer) {
        Some((settings, observer)) => {
            let started = Peers::start(host.clone(), settings, observer).await;
            let peers = started.map_err(|source| Error::Peers { address: settings.listen, source })?;
            peers.set_configuration_version(operator.version).await;
            Some(peers)
        }
        None => None,
    };
    let mut reload = Reload { host: host.clone(), peers: peers.clone(), list_source };
    let read = move || read_operator(&file);
    actix_rt::spawn(reload_at_each(signals.hangup, read, move |new| reload.apply(new)));
    let listener = listen(&operator).await?;
    let stop = async move {
        signals.terminate.recv().await;
        if let Some(peers) = peers {
            peers.leave().await;
        }
    };
    nbd::front::serve(host, operator, listener, stop).await.map_err(Error::Nbd)
}

async fn listen(operator: &Operator) -> Result<TcpListener, Error> {
    let address = operator.listen;
    let failed = |source| Error::Listen { address, source };
    let listener = sockets::listen(address).await.map_err(failed)?;
    let at = listener.local_addr().map_err(failed)?;
    info!(%at, exports = operator.exports.len(), "listens for NBD");
    Ok(listener)
}

/// Where the endpoint list is followed, if it is followed anywhere.
struct ListSource {
    etcd: Option<Etcd>,
    task: Option<AbortHandle>,
}

impl ListSource {
    fn follow(host: Host, etcd: Option<Etcd>) -> Self {
        let task = etcd.clone().map(|etcd| actix_rt::spawn(etcd::watch(host, etcd)).abort_handle());
        ListSource { etcd, task }
    }

    /// Follows another source, if it is another one.
    fn change(&mut self, host: &Host, etcd: Option<Etcd>) {
        if etcd == self.etcd {
            return;
        }
        if let Some(task) = self.task.take() {
            task.abort();
        }
        *self = ListSource::follow(host.clone(), etcd);
    }
}

/// Applies a file that was read again. Its endpoint list, or where that is followed, counts at once; contracts and
/// exports stay as they are until the next start.
struct Reload {
    host: Host,
    peers: Option<Peers>,
    list_source: ListSource,
}

impl Reload {
    fn apply(&mut self, new: Operator) {
        info!("the operator's file was reloaded: its endpoint list counts from now on");
        if new.etcd.is_none() {
            let list = EndpointList { kind: EndpointListKind::Full, ..new.endpoints };
            self.host.feed(Input::EndpointList(list));
        }
        if let Some(peers) = self.peers.clone() {
            actix_rt::spawn(async move { peers.set_configuration_version(new.version).await });
        }
        self.list_source.change(&self.host, new.etcd);
    }
}
