//! The watch of the agent that the configuration names, which may change while the program runs.

use super::list_state::ListState;
use super::watcher::Watcher;
use crate::runtime::host::Host;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// What the agent has counts as notified from the first moment on, and it answers at once: a new process waits for its first
/// event before clients come, but no longer than this, for an agent is silent while discovery is down.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(300);

/// A task that ends with its owner.
pub struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The watch of the endpoint list; it runs until this is dropped.
pub struct EndpointListWatch {
    host: Host,
    agent: SocketAddr,
    state: Rc<ListState>,
    seed: u64,
    event_received: Rc<Notify>,
    task: Option<AbortOnDrop>,
}

impl EndpointListWatch {
    /// Follows the list from a revision on; `seed` spreads the calls of many initiators.
    pub fn start(host: Host, agent: SocketAddr, revision: u64, seed: u64) -> Self {
        let mut watch = EndpointListWatch {
            host,
            agent,
            state: Rc::new(ListState::new(revision)),
            seed,
            event_received: Rc::new(Notify::new()),
            task: None,
        };
        watch.follow();
        watch
    }

    /// Waits until the agent has sent a first event, where it answers at once.
    pub async fn first_event(&self) {
        if self.host.look(|broker| broker.settings().endpoint_list_polled) {
            return;
        }
        if tokio::time::timeout(FIRST_EVENT_TIMEOUT, self.event_received.notified()).await.is_err() {
            warn!(agent = %self.agent, "discovery says nothing; the list as last had is used");
        }
    }

    /// Follows the list at another address from the last revision on. Until the new watch brings its first event the old one
    /// goes on beside it, so that a wrong or slow address costs no changes.
    pub fn move_to(&mut self, agent: SocketAddr) {
        if agent != self.agent {
            info!(from = %self.agent, to = %agent, "discovery moves");
            self.agent = agent;
            self.follow();
        }
    }

    fn follow(&mut self) {
        let watcher = Watcher::new(
            self.host.clone(),
            self.agent,
            self.state.clone(),
            self.seed,
            self.event_received.clone(),
            self.task.take(),
        );
        self.task = Some(AbortOnDrop(actix_rt::spawn(watcher.run()).abort_handle()));
    }
}
