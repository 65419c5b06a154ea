//! Watches the endpoint list in etcd, through the JSON gateway of etcd's v3 API: a range request fetches the
//! whole list, and a watch delivers the changes after the list's revision.
//!
//! A key is the prefix followed by an endpoint's id, and its value is the endpoint's entry in the form that
//! discovery uses. etcd sends nothing while nothing changes, so a silent watch may be dead. After
//! `WATCH_TIMEOUT` without a message the list is therefore fetched again, so that each change is known
//! within 6 s after etcd has it and is reachable.

mod error;
mod messages;

use crate::broker::Input;
use crate::endpoint_list::EndpointList;
use crate::interface::EndpointListKind;
use crate::operator::Etcd;
use crate::runtime::host::Host;
use crate::runtime::json_stream::{JsonObjects, StreamEnd};
use crate::runtime::sockets::http_client;
use awc::{Client, ClientRequest};
use bytes::Bytes;
use error::WatchError;
use messages::WatchMessage;
use std::time::{Duration, Instant};
use tracing::warn;

/// The timeout of a call if the last range request was slow.
const SLOW_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// The timeout of a call if the last range request was fast. A lost call is then detected early enough for
/// the next call to fetch a change within 6 s.
const FAST_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A range request that takes less than this time is fast.
const FAST_CALL: Duration = Duration::from_millis(500);
/// The backoff after a failure that followed a new revision. Each further failure without a new revision
/// doubles the backoff.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The maximum backoff. Together with the call before it, it is shorter than the 6 s in which a change must
/// be known.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// How long a watch may be silent before the list is fetched again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4000);
/// The maximum size of the response to a range request, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Watches the endpoint list and feeds every change to the core. Never returns; dropping the future ends the
/// watch.
pub async fn watch(host: Host, etcd: Etcd) {
    let client = http_client(SLOW_CALL_TIMEOUT);
    let mut watcher = Watcher { host, client, etcd, revision: None, call_timeout: FAST_CALL_TIMEOUT };
    let mut backoff = MIN_BACKOFF;
    loop {
        let previous_revision = watcher.revision;
        let Err(why) = watcher.step().await else { continue };
        let revision = watcher.revision;
        backoff = if revision > previous_revision { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        let again_in_ms = backoff.as_millis() as u64;
        warn!(%why, revision, again_in_ms, "etcd: watching the endpoint list failed, retrying");
        tokio::time::sleep(backoff).await;
    }
}

/// The state of watching the list.
struct Watcher {
    host: Host,
    client: Client,
    etcd: Etcd,
    /// The revision up to which the list is known; `None`: the whole list must be fetched.
    revision: Option<u64>,
    /// How long a call may take until the response begins, and for a range request until it is complete.
    call_timeout: Duration,
}

impl Watcher {
    /// Fetches the list if it is not known, else watches for changes until the watch ends.
    ///
    /// # Errors
    /// A call failed or the watch ended with an error. The caller waits before the next step.
    async fn step(&mut self) -> Result<(), WatchError> {
        let Some(revision) = self.revision else {
            let started_at = Instant::now();
            let fetched = self.fetch_list().await;
            let fast = started_at.elapsed() < FAST_CALL;
            self.call_timeout = if fast { FAST_CALL_TIMEOUT } else { SLOW_CALL_TIMEOUT };
            return fetched;
        };
        let watched = self.watch(revision).await;
        if matches!(watched, Ok(()) | Err(WatchError::Compacted)) {
            self.revision = None;
        }
        watched
    }

    /// Fetches the whole list and feeds it to the core.
    async fn fetch_list(&mut self) -> Result<(), WatchError> {
        let body = tokio::time::timeout(self.call_timeout, self.request_range()).await;
        let body = body.map_err(|_| WatchError::RangeTimedOut)??;
        let list = messages::read_range(&mut body.to_vec(), &self.etcd)?;
        self.revision = Some(list.revision);
        self.host.feed(Input::EndpointList(list));
        Ok(())
    }

    /// Sends a range request for all endpoints and returns the body of the response.
    async fn request_range(&self) -> Result<Bytes, WatchError> {
        let request = format!("{{{}}}", messages::key_range(&self.etcd.prefix));
        let mut response = self.post("kv/range").send_body(request).await.map_err(WatchError::RangeFailed)?;
        if !response.status().is_success() {
            return Err(WatchError::RangeStatus(response.status()));
        }
        response.body().limit(MAX_LIST_BYTES).await.map_err(WatchError::RangeBody)
    }

    /// Creates a request to a method of the JSON gateway.
    fn post(&self, call: &str) -> ClientRequest {
        let url = format!("http://{}/v3/{call}", self.etcd.address);
        self.client.post(url).content_type("application/json")
    }

    /// Watches the changes after `revision` and applies them. Returns `Ok` when no complete message
    /// was received for [`WATCH_TIMEOUT`].
    async fn watch(&mut self, revision: u64) -> Result<(), WatchError> {
        let request = messages::watch_request(&self.etcd.prefix, revision + 1);
        let sent = self.post("watch").send_body(request);
        let response = match tokio::time::timeout(self.call_timeout, sent).await {
            Ok(Ok(response)) if response.status().is_success() => response,
            Ok(Ok(response)) => return Err(WatchError::WatchStatus(response.status())),
            Ok(Err(error)) => return Err(WatchError::WatchFailed(error)),
            Err(_) => return Err(WatchError::WatchTimedOut),
        };
        let mut messages = JsonObjects::new(response);
        loop {
            match messages.next(WATCH_TIMEOUT).await {
                Ok(None) => {}
                Ok(Some(mut message)) => {
                    let message = messages::read_watch_message(&mut message, &self.etcd)?;
                    self.apply(message)?;
                }
                Err(StreamEnd::TimedOut) => return Ok(()),
                Err(why) => return Err(WatchError::StreamEnded(why)),
            }
        }
    }

    /// Applies one message of the watch.
    fn apply(&mut self, message: WatchMessage) -> Result<(), WatchError> {
        match message {
            WatchMessage::Error => return Err(WatchError::ErrorMessage),
            WatchMessage::Compacted => return Err(WatchError::Compacted),
            WatchMessage::Cancelled { reason } => return Err(WatchError::Cancelled { reason }),
            // The revision may be newer than the known one, and its events are then still to be received.
            // The known list is only confirmed as current if the revisions are equal.
            WatchMessage::Created { revision } => {
                if Some(revision) == self.revision {
                    self.host.feed(Input::EndpointListCurrent);
                }
            }
            WatchMessage::Events { revision, entries } => {
                let revision = self.revision.map_or(revision, |known| known.max(revision));
                self.revision = Some(revision);
                self.host.feed(if entries.is_empty() {
                    Input::EndpointListCurrent
                } else {
                    Input::EndpointList(EndpointList { revision, kind: EndpointListKind::Delta, entries })
                });
            }
        }
        Ok(())
    }
}
