//! The watch of discovery: the list as it changes, followed for as long as the program runs.

use crate::broker::Input;
use crate::endpoint_list::{self, EndpointList};
use crate::endpoint_list_poll::{CallEnd, EndpointListPoll, NOTIFIED_WITHIN};
use crate::interface::EndpointListKind;
use crate::runtime::host::Host;
use crate::runtime::json_stream::JsonObjects;
use crate::runtime::sockets::http_client;
use awc::Client;
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// A connection to the agent comes up within this.
const CONNECT: Duration = Duration::from_secs(2);
/// What the agent has counts as told from the first moment on, and it answers at once: a new process waits for its
/// first word before clients come, but no longer than this, for it is silent while discovery is down.
const FIRST_WORD: Duration = Duration::from_millis(300);
/// Versions only grow, so a whole list of an older one comes from an agent that is behind, and must not undo what is
/// known. One that still comes so long after the last that was not older is discovery's own, set back.
const SET_BACK: Duration = Duration::from_secs(15);

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
    heard: Rc<Heard>,
    seed: u64,
    spoke: Rc<Notify>,
    task: Option<Task>,
}

/// What was heard last, of whatever address.
struct Heard {
    revision: Cell<u64>,
    at: Cell<Instant>,
    stale: Cell<bool>,
}

impl Watch {
    /// Follows the list from a revision on; `seed` spreads the calls of many initiators.
    pub fn start(host: Host, agent: SocketAddr, revision: u64, seed: u64) -> Self {
        let (revision, at) = (Cell::new(revision), Cell::new(Instant::now()));
        let heard = Rc::new(Heard { revision, at, stale: Cell::new(false) });
        let mut watch = Watch { host, agent, heard, seed, spoke: Rc::new(Notify::new()), task: None };
        watch.follow();
        watch
    }

    /// Waits until the agent has said a first word, where it answers at once.
    pub async fn first_word(&self) {
        if self.host.look(|broker| broker.settings().endpoint_list_polled) {
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
            heard: self.heard.clone(),
            asking: EndpointListPoll::new(self.seed),
            refused: None,
            is_refused: false,
            listed: Rc::default(),
            spoke: self.spoke.clone(),
            replaced: self.task.take(),
        };
        self.task = Some(Task(actix_rt::spawn(following.follow()).abort_handle()));
    }
}

/// Each box may have begun to drain.
fn go_blind(host: &Host, heard: &Heard, agent: SocketAddr) {
    if !heard.stale.replace(true) {
        warn!(%agent, "discovery has refused all calls for 6 s: nothing new is sent until it lists");
        host.feed(Input::EndpointListStale(true));
    }
}

/// One address of discovery, followed.
struct Following {
    host: Host,
    agent: SocketAddr,
    heard: Rc<Heard>,
    asking: EndpointListPoll,
    /// Since when its calls bring no list, from the first that was refused on.
    refused: Option<Instant>,
    /// The last call was refused: discovery can be reached.
    is_refused: bool,
    /// The present call has brought something.
    listed: Rc<Cell<bool>>,
    spoke: Rc<Notify>,
    /// The watch that goes on until this one has brought something.
    replaced: Option<Task>,
}

impl Following {
    async fn follow(mut self) {
        let client = http_client(CONNECT);
        if self.replaced.is_none() {
            let first = self.asking.first_wait(&self.host.settings());
            tokio::time::sleep(first).await;
        }
        loop {
            let before = self.heard.revision.get();
            let (over, why) = self.watch_until_over(&client).await;
            let (at, agent) = (self.heard.revision.get(), self.agent);
            let now = Instant::now();
            self.note(over, now);
            let refused_for = self.refused.map_or(Duration::ZERO, |since| now - since);
            let wait = self.asking.next_wait(&self.host.settings(), at > before, over, refused_for);
            warn!(%agent, revision = at, %why, again_in_ms = wait.as_millis() as u64, "the watch of the list ended");
            self.rest(now + wait).await;
        }
    }

    /// Silence between two refusals is no list either, but it proves nothing by itself: it may be an outage.
    fn note(&mut self, over: CallEnd, now: Instant) {
        if self.listed.replace(false) {
            self.refused = None;
        }
        self.is_refused = over == CallEnd::Rejected;
        if self.is_refused {
            self.refused.get_or_insert(now);
        }
    }

    /// From when on nothing new is sent: refusals have gone on for so long by then that changes count as told.
    fn blind_at(&self) -> Option<Instant> {
        let is_asked = self.host.settings().endpoint_list_polled && !self.heard.stale.get();
        self.refused.filter(|_| is_asked && self.is_refused).map(|since| since + NOTIFIED_WITHIN)
    }

    /// Waits, and stops what is new on the way.
    async fn rest(&self, until: Instant) {
        if let Some(at) = self.blind_at().filter(|at| *at < until) {
            tokio::time::sleep_until(at.into()).await;
            go_blind(&self.host, &self.heard, self.agent);
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// The same while a call is out.
    async fn watch_until_over(&mut self, client: &Client) -> (CallEnd, String) {
        let (blind_at, listed) = (self.blind_at(), self.listed.clone());
        let (host, heard, agent) = (self.host.clone(), self.heard.clone(), self.agent);
        let mut watching = std::pin::pin!(self.watch_once(client));
        if let Some(at) = blind_at {
            tokio::select! {
                over = &mut watching => return over,
                () = tokio::time::sleep_until(at.into()) => {}
            }
            if !listed.get() {
                go_blind(&host, &heard, agent);
            }
        }
        watching.await
    }

    /// Follows the list until that ends: how, and why.
    async fn watch_once(&mut self, client: &Client) -> (CallEnd, String) {
        let revision = self.heard.revision.get();
        let url = format!("http://{}/catalog/members?stream=1&index={revision}", self.agent);
        let settings = self.host.settings();
        let patience = EndpointListPoll::call_timeout(&settings);
        let response = match tokio::time::timeout(patience, client.get(url).send()).await {
            Ok(Ok(response)) if response.status().is_success() => response,
            Ok(Ok(response)) => return (CallEnd::Rejected, format!("answered {}", response.status())),
            Ok(Err(error)) => return (CallEnd::ConnectionLost, format!("could not be asked: {error}")),
            Err(_) => return (CallEnd::TimedOut, "no answer".into()),
        };
        let (mut objects, mut first) =
            (JsonObjects::new(response), Some(EndpointListPoll::first_object_timeout(&settings)));
        loop {
            // What an agent holds it tells at once: a head and no more is as good as none.
            let next = objects.next(EndpointListPoll::silence_limit());
            let next = match first.take() {
                Some(first) => tokio::time::timeout(first, next).await,
                None => Ok(next.await),
            };
            let object = match next {
                Ok(Ok(object)) => object,
                Ok(Err(why)) => return (CallEnd::ConnectionLost, why.to_string()),
                Err(_) => return (CallEnd::TimedOut, "a head and nothing behind it".into()),
            };
            match object {
                None => self.host.feed(Input::EndpointListCurrent),
                Some(mut text) => {
                    if let Err(why) = self.read(&mut text) {
                        return (CallEnd::ConnectionLost, why);
                    }
                }
            }
            if self.heard.stale.replace(false) {
                info!(agent = %self.agent, "discovery lists again");
                self.host.feed(Input::EndpointListStale(false));
            }
            drop(self.replaced.take());
            self.listed.set(true);
            self.spoke.notify_one();
        }
    }

    fn read(&self, text: &mut [u8]) -> Result<(), String> {
        let read = endpoint_list::read(text).map_err(|error| format!("unreadable: {error}"))?;
        read.faults.iter().for_each(|why| warn!(%why, "an endpoint list entry is skipped"));
        self.take(read.list)
    }

    /// Two watches may be open while discovery moves, and the newer may lag: what is older than what is known is none
    /// of its news.
    fn take(&self, members: EndpointList) -> Result<(), String> {
        let known = self.heard.revision.get();
        if members.revision < known && self.heard.at.get().elapsed() < SET_BACK {
            return match members.kind {
                EndpointListKind::Delta => Ok(()),
                _ => Err(format!("its list is of revision {}, and {known} is known", members.revision)),
            };
        }
        if members.revision < known {
            warn!(from = known, to = members.revision, agent = %self.agent, "discovery was set back: its list counts");
        }
        self.heard.revision.set(members.revision);
        self.heard.at.set(Instant::now());
        self.host.feed(Input::EndpointList(members));
        Ok(())
    }
}
