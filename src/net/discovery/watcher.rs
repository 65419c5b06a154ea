//! Follows the list at one agent: calls it, takes the events of its watch, and calls again after a backoff when that ends.

use super::endpoint_list_watch::AbortOnDrop;
use super::list_state::{ListState, Relevance};
use super::watch_error::WatchError;
use crate::broker::Input;
use crate::endpoint_list::{self, EndpointList};
use crate::endpoint_list_poll::{CallEnd, EndpointListPoll, NOTIFIED_WITHIN};
use crate::interface::Settings;
use crate::runtime::host::Host;
use crate::runtime::json_stream::JsonObjects;
use crate::runtime::sockets::http_client;
use awc::error::PayloadError;
use awc::Client;
use bytes::Bytes;
use futures_util::Stream;
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};
use tokio::sync::Notify;
use tracing::{info, warn};

/// A connection to the agent is established within this time.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(2);

/// The watch of one agent.
pub struct Watcher {
    host: Host,
    agent: SocketAddr,
    state: Rc<ListState>,
    poll: EndpointListPoll,
    /// Since when calls bring no list, from the first that was rejected on.
    rejected_since: Option<Instant>,
    /// How the last call ended; a rejection shows that discovery can be reached.
    last_call_end: Option<CallEnd>,
    /// The present call has brought an event.
    call_brought_event: Rc<Cell<bool>>,
    event_received: Rc<Notify>,
    /// The watch that goes on until this one has brought an event.
    replaced: Option<AbortOnDrop>,
}

impl Watcher {
    /// A watch that takes the place of `replaced`; `event_received` is notified of each event.
    pub fn new(
        host: Host,
        agent: SocketAddr,
        state: Rc<ListState>,
        seed: u64,
        event_received: Rc<Notify>,
        replaced: Option<AbortOnDrop>,
    ) -> Self {
        Watcher {
            host,
            agent,
            state,
            poll: EndpointListPoll::new(seed),
            rejected_since: None,
            last_call_end: None,
            call_brought_event: Rc::default(),
            event_received,
            replaced,
        }
    }

    /// Follows the list until the task is aborted.
    pub async fn run(mut self) {
        let client = http_client(CONNECT_TIMEOUT);
        if self.replaced.is_none() {
            let first_wait = self.poll.first_wait(&self.host.settings());
            tokio::time::sleep(first_wait).await;
        }
        loop {
            let revision_before = self.state.revision();
            let error = self.watch(&client).await;
            let now = Instant::now();
            let wait = self.next_wait(&error, revision_before, now);
            let (agent, revision, again_in_ms) = (self.agent, self.state.revision(), wait.as_millis() as u64);
            warn!(%agent, revision, why = %error, again_in_ms, "the watch of the list ended");
            self.sleep_until(now + wait).await;
        }
    }

    /// How long after `now`, when a call ended, the next one is made.
    fn next_wait(&mut self, error: &WatchError, revision_before: u64, now: Instant) -> Duration {
        let end = error.call_end();
        self.record_call_end(end, now);
        let brought_changes = self.state.revision() > revision_before;
        let rejected_for = self.rejected_since.map_or(Duration::ZERO, |since| now - since);
        self.poll.next_wait(&self.host.settings(), brought_changes, end, rejected_for)
    }

    /// Silence between two rejections brings no list either, but proves nothing by itself: it may be an outage.
    fn record_call_end(&mut self, end: CallEnd, now: Instant) {
        if self.call_brought_event.replace(false) {
            self.rejected_since = None;
        }
        self.last_call_end = Some(end);
        if end == CallEnd::Rejected {
            self.rejected_since.get_or_insert(now);
        }
    }

    /// From when on nothing new is sent: rejections have gone on for so long by then that changes count as notified.
    fn stale_at(&self) -> Option<Instant> {
        let is_polled = self.host.settings().endpoint_list_polled;
        let is_rejected = self.last_call_end == Some(CallEnd::Rejected);
        let may_become_stale = is_polled && is_rejected && !self.state.is_stale();
        self.rejected_since.filter(|_| may_become_stale).map(|since| since + NOTIFIED_WITHIN)
    }

    /// Waits for the next call; the list may become stale meanwhile.
    async fn sleep_until(&self, until: Instant) {
        if let Some(stale_at) = self.stale_at().filter(|at| *at < until) {
            tokio::time::sleep_until(stale_at.into()).await;
            mark_stale(&self.host, &self.state, self.agent);
        }
        tokio::time::sleep_until(until.into()).await;
    }

    /// Follows the list until that ends, and says why; the list may become stale while the call has brought nothing.
    async fn watch(&mut self, client: &Client) -> WatchError {
        let (stale_at, call_brought_event) = (self.stale_at(), self.call_brought_event.clone());
        let (host, state, agent) = (self.host.clone(), self.state.clone(), self.agent);
        let mut call = std::pin::pin!(self.call(client));
        if let Some(stale_at) = stale_at {
            tokio::select! {
                end = &mut call => return error_of(end),
                () = tokio::time::sleep_until(stale_at.into()) => {}
            }
            if !call_brought_event.get() {
                mark_stale(&host, &state, agent);
            }
        }
        error_of(call.await)
    }

    /// One call: opens a watch, and takes its events until it ends.
    async fn call(&mut self, client: &Client) -> Result<Infallible, WatchError> {
        let settings = self.host.settings();
        let body = open(client, self.agent, self.state.revision(), &settings).await?;
        let mut objects = JsonObjects::new(body);
        let silence_limit = EndpointListPoll::silence_limit();
        // What an agent holds it sends at once: a head and no more is as good as none.
        let first_timeout = EndpointListPoll::first_object_timeout(&settings);
        let first = tokio::time::timeout(first_timeout, objects.next(silence_limit)).await;
        let mut object = first.map_err(|_| WatchError::NoFirstObject)?;
        loop {
            self.take_event(object.map_err(WatchError::StreamEnded)?)?;
            object = objects.next(silence_limit).await;
        }
    }

    /// Takes an object of the watch, or a sign of life.
    fn take_event(&mut self, object: Option<Vec<u8>>) -> Result<(), WatchError> {
        match object {
            None => self.host.feed(Input::EndpointListCurrent),
            Some(mut text) => {
                let read = endpoint_list::read(&mut text).map_err(WatchError::Unreadable)?;
                read.errors.iter().for_each(|why| warn!(%why, "an endpoint list entry is skipped"));
                self.take_list(read.list)?;
            }
        }
        if self.state.set_stale(false) {
            info!(agent = %self.agent, "discovery lists again");
            self.host.feed(Input::EndpointListStale(false));
        }
        drop(self.replaced.take());
        self.call_brought_event.set(true);
        self.event_received.notify_one();
        Ok(())
    }

    /// Two watches may be open while discovery moves, and the newer may lag: what is older than what is known does not count.
    fn take_list(&self, list: EndpointList) -> Result<(), WatchError> {
        let (known, listed) = (self.state.revision(), list.revision);
        match self.state.relevance(&list) {
            Relevance::KnownChanges => return Ok(()),
            Relevance::OutOfDate => return Err(WatchError::OutOfDate { listed, known }),
            Relevance::RevisionReset => {
                let agent = self.agent;
                warn!(from = known, to = listed, %agent, "discovery was set back: its list counts");
            }
            Relevance::Current => {}
        }
        self.state.accept(listed);
        self.host.feed(Input::EndpointList(list));
        Ok(())
    }
}

/// Opens a watch from a revision on.
async fn open(
    client: &Client,
    agent: SocketAddr,
    revision: u64,
    settings: &Settings,
) -> Result<impl Stream<Item = Result<Bytes, PayloadError>> + Unpin, WatchError> {
    let url = format!("http://{agent}/catalog/members?stream=1&index={revision}");
    let call_timeout = EndpointListPoll::call_timeout(settings);
    let response = tokio::time::timeout(call_timeout, client.get(url).send()).await;
    let response = response.map_err(|_| WatchError::NoResponse)?.map_err(WatchError::Unreachable)?;
    if !response.status().is_success() {
        return Err(WatchError::Rejected(response.status()));
    }
    Ok(response)
}

/// A call ends in no other way.
fn error_of(end: Result<Infallible, WatchError>) -> WatchError {
    match end {
        Ok(never) => match never {},
        Err(error) => error,
    }
}

/// Each endpoint may have begun to drain.
fn mark_stale(host: &Host, state: &ListState, agent: SocketAddr) {
    if !state.set_stale(true) {
        warn!(%agent, "discovery has refused all calls for 6 s: nothing new is sent until it lists");
        host.feed(Input::EndpointListStale(true));
    }
}
