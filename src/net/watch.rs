//! The watch of discovery: the list as it changes, followed for as long as the program runs.

use crate::asking::Asking;
use crate::broker::{Broker, Input};
use crate::members;
use crate::runtime::host::Host;
use crate::runtime::lines::Lines;
use awc::{Client, Connector};
use std::cell::{Cell, RefCell};
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// Discovery sends at least an empty line every 2 s; several missed are a broken watch. What it has to tell
/// counts as told 6 s after, so a new watch has to be up by then.
const SILENT: Duration = Duration::from_secs(5);

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
    task: Option<Task>,
}

impl Watch {
    /// Follows the list from a revision on; `seed` spreads the calls of many initiators.
    pub fn start(host: Host, agent: SocketAddr, revision: u64, seed: u64) -> Self {
        let asking = Rc::new(RefCell::new(Asking::new(seed)));
        let mut watch = Watch { host, agent, revision: Rc::new(Cell::new(revision)), asking, task: None };
        watch.follow();
        watch
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
        let (host, revision, replaced) = (self.host.clone(), self.revision.clone(), self.task.take());
        let task = actix_rt::spawn(follow(host, self.agent, revision, self.asking.clone(), replaced));
        self.task = Some(Task(task.abort_handle()));
    }
}

async fn follow(
    host: Host,
    agent: SocketAddr,
    revision: Rc<Cell<u64>>,
    asking: Rc<RefCell<Asking>>,
    mut replaced: Option<Task>,
) {
    let connector = Connector::new().timeout(Duration::from_secs(2)).conn_lifetime(Duration::MAX);
    let client = Client::builder().connector(connector).disable_redirects().disable_timeout().finish();
    if replaced.is_none() {
        let first = asking.borrow_mut().first(&host.look(Broker::settings));
        tokio::time::sleep(first).await;
    }
    loop {
        let before = revision.get();
        let (why, refused) = watch_once(&host, &client, agent, &revision, &mut replaced).await;
        let at = revision.get();
        let wait = asking.borrow_mut().again(&host.look(Broker::settings), at > before, refused);
        warn!(%agent, revision = at, %why, again_in_ms = wait.as_millis() as u64, "the watch of the list ended");
        tokio::time::sleep(wait).await;
    }
}

/// Follows the list until that ends: why, and whether it was turned away.
async fn watch_once(
    host: &Host,
    client: &Client,
    agent: SocketAddr,
    revision: &Cell<u64>,
    replaced: &mut Option<Task>,
) -> (String, bool) {
    let url = format!("http://{agent}/catalog/members?stream=1&index={}", revision.get());
    let response = match tokio::time::timeout(SILENT, client.get(url).send()).await {
        Ok(Ok(response)) if response.status().is_success() => response,
        Ok(Ok(response)) => return (format!("answered {}", response.status()), true),
        Ok(Err(error)) => return (format!("could not be asked: {error}"), false),
        Err(_) => return ("no answer".into(), true),
    };
    let mut lines = Lines::new(response);
    loop {
        let mut line = match lines.next(SILENT).await {
            Ok(line) => line,
            Err(why) => return (why, false),
        };
        if line.iter().all(u8::is_ascii_whitespace) {
            drop(replaced.take());
            continue;
        }
        match members::read(&mut line) {
            Ok((members, faults)) => {
                faults.iter().for_each(|why| warn!(%why, "an entry of the list is passed over"));
                drop(replaced.take());
                revision.set(members.revision);
                host.feed(Input::List(members));
            }
            Err(fault) => return (format!("unreadable: {fault}"), false),
        }
    }
}
