//! The watch of discovery: the list as it changes, followed for as long as the program runs.

use crate::asking::Asking;
use crate::broker::Input;
use crate::members;
use crate::runtime::host::Host;
use crate::runtime::objects::{Objects, SILENT};
use awc::{Client, Connector};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// What the agent has counts as told from the first moment on, and it answers at once: a new process waits for its
/// first word before clients come, but no longer than this, for it is silent while discovery is down.
const FIRST_WORD: Duration = Duration::from_millis(300);

/// A task that ends with its owner.
struct Task(AbortHandle);

impl Drop for Task {
    fn drop(&mut self) {
        self.0.abort();
    }
}

/// The watch as the configuration now names it; it runs until this is dropped.
pub struct Watch {
    host: Host,
    agent: SocketAddr,
    revision: Rc<Cell<u64>>,
    asking: Rc<RefCell<Asking>>,
    spoke: Rc<Notify>,
    task: Option<Task>,
}

impl Watch {
    /// Follows the list from a revision on; `seed` spreads the calls of many initiators.
    pub fn start(host: Host, agent: SocketAddr, revision: u64, seed: u64) -> Self {
        let asking = Rc::new(RefCell::new(Asking::new(seed)));
        let (revision, spoke) = (Rc::new(Cell::new(revision)), Rc::new(Notify::new()));
        let mut watch = Watch { host, agent, revision, asking, spoke, task: None };
        watch.follow();
        watch
    }

    /// Waits until the agent has said a first word, where it answers at once.
    pub async fn first_word(&self) {
        if self.host.look(|broker| broker.settings().list_on_request) {
            return;
        }
        if tokio::time::timeout(FIRST_WORD, self.spoke.notified()).await.is_err() {
            warn!(agent = %self.agent, "discovery says nothing; the list as last had is used");
        }
    }

    /// Follows the list at another address from the last revision on. Until the new watch brings its first
    /// line the old one goes on beside it, so that a wrong or slow address costs no news.
    pub fn move_to(&mut self, agent: SocketAddr) {
        if agent != self.agent {
            info!(from = %self.agent, to = %agent, "discovery moves");
            self.agent = agent;
            self.follow();
        }
    }

    fn follow(&mut self) {
        let following = Following {
            host: self.host.clone(),
            agent: self.agent,
            revision: self.revision.clone(),
            asking: self.asking.clone(),
            spoke: self.spoke.clone(),
            replaced: self.task.take(),
        };
        self.task = Some(Task(actix_rt::spawn(following.follow()).abort_handle()));
    }
}

/// One address of discovery, followed.
struct Following {
    host: Host,
    agent: SocketAddr,
    revision: Rc<Cell<u64>>,
    asking: Rc<RefCell<Asking>>,
    spoke: Rc<Notify>,
    /// The watch that goes on until this one has brought something.
    replaced: Option<Task>,
}

impl Following {
    async fn follow(mut self) {
        let connector = Connector::new().timeout(Duration::from_secs(2)).conn_lifetime(Duration::MAX);
        let client = Client::builder().connector(connector).disable_redirects().disable_timeout().finish();
        if self.replaced.is_none() {
            let first = self.asking.borrow_mut().first(&self.host.settings());
            tokio::time::sleep(first).await;
        }
        loop {
            let before = self.revision.get();
            let (why, refused) = self.watch_once(&client).await;
            let (at, agent) = (self.revision.get(), self.agent);
            let wait = self.asking.borrow_mut().again(&self.host.settings(), at > before, refused);
            warn!(%agent, revision = at, %why, again_in_ms = wait.as_millis() as u64, "the watch of the list ended");
            tokio::time::sleep(wait).await;
        }
    }

    /// Follows the list until that ends: why, and whether it was turned away.
    async fn watch_once(&mut self, client: &Client) -> (String, bool) {
        let url = format!("http://{}/catalog/members?stream=1&index={}", self.agent, self.revision.get());
        let patience = Asking::patience(&self.host.settings());
        let response = match tokio::time::timeout(patience, client.get(url).send()).await {
            Ok(Ok(response)) if response.status().is_success() => response,
            Ok(Ok(response)) => return (format!("answered {}", response.status()), true),
            Ok(Err(error)) => return (format!("could not be asked: {error}"), false),
            Err(_) => return ("no answer".into(), true),
        };
        let mut objects = Objects::new(response);
        loop {
            let object = match objects.next(SILENT).await {
                Ok(object) => object,
                Err(why) => return (why.to_string(), false),
            };
            if let Some(mut text) = object {
                match members::read(&mut text) {
                    Ok((members, faults)) => {
                        faults.iter().for_each(|why| warn!(%why, "an entry of the list is passed over"));
                        self.revision.set(members.revision);
                        self.host.feed(Input::List(members));
                    }
                    Err(fault) => return (format!("unreadable: {fault}"), false),
                }
            }
            drop(self.replaced.take());
            self.spoke.notify_one();
        }
    }
}
