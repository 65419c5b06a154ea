//! Watches the endpoint list at the agent that the configuration names, which may change while the program
//! runs.

use super::list_state::ListState;
use super::watcher::Watcher;
use crate::runtime::host::Host;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// How long a new process waits for the first event before it accepts clients. The changes that the agent
/// knows of count as notified from the start of the process, and the agent sends them at once. While
/// discovery is down an agent sends nothing, so the wait is limited.
const FIRST_EVENT_TIMEOUT: Duration = Duration::from_millis(300);

/// Aborts a task when dropped.
pub struct AbortOnDrop(AbortHandle);

impl Drop for AbortOnDrop {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// Watches the endpoint list until dropped.
pub struct EndpointListWatch {
    host: Host,
    agent: SocketAddr,
    state: Rc<ListState>,
    seed: u64,
    event_received: Rc<Notify>,
    task: Option<AbortOnDrop>,
}

impl EndpointListWatch {
    /// Starts to watch the list from a revision on. `seed` randomises the times of calls, so that many
    /// initiators do not call at the same instant.
    pub fn start(host: Host, agent: SocketAddr, revision: u64, seed: u64) -> Self {
        let mut watch = EndpointListWatch {
            host,
            agent,
            state: Rc::new(ListState::new(revision)),
            seed,
            event_received: Rc::new(Notify::new()),
            task: None,
        };
        watch.start_watcher();
        watch
    }

    /// Waits up to 300 ms for the agent's first event. Returns at once if the list is polled, because a call
    /// may have to wait its turn then.
    pub async fn first_event(&self) {
        if self.host.with_broker(|broker| broker.settings().endpoint_list_polled) {
            return;
        }
        if tokio::time::timeout(FIRST_EVENT_TIMEOUT, self.event_received.notified()).await.is_err() {
            warn!(agent = %self.agent, "no event from discovery yet: starting with the last known list");
        }
    }

    /// Watches the list at another agent, from the last accepted revision on. The old watch goes on until the
    /// new one has received its first event, so that no changes are missed if the new address is wrong or
    /// slow.
    pub fn set_agent(&mut self, agent: SocketAddr) {
        if agent != self.agent {
            info!(from = %self.agent, to = %agent, "the discovery agent was changed");
            self.agent = agent;
            self.start_watcher();
        }
    }

    fn start_watcher(&mut self) {
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
