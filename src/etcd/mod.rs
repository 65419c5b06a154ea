//! Follows the endpoint list in etcd, by the JSON gateway of its v3 API: a range gives the whole list, and a watch its
//! changes from that revision on.
//!
//! Each key below the prefix is an endpoint's id, its value the endpoint's entry in discovery's form. etcd sends nothing
//! while nothing changes, so a watch that is silent may be dead: the list is then fetched again, so that each change is
//! known within 6 s after etcd had it and could be reached.

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
use error::FollowError;
use messages::WatchMessage;
use std::time::{Duration, Instant};
use tracing::warn;

/// The longest that a call may take where the last one was slow,
const SLOW_CALL_TIMEOUT: Duration = Duration::from_secs(3);
/// and where it was fast: a call without an answer is lost then, and the next one is still in time.
const FAST_CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// A call that takes less than this is fast.
const FAST_CALL: Duration = Duration::from_millis(500);
/// The first wait after a failure. Each further one doubles it.
const MIN_BACKOFF: Duration = Duration::from_millis(100);
/// The longest wait: with the call before it, less than the 6 s in which a change has to be known.
const MAX_BACKOFF: Duration = Duration::from_secs(2);
/// After so long without a message of the watch the list is fetched again.
const WATCH_TIMEOUT: Duration = Duration::from_millis(4000);
/// The largest list that is read, in bytes.
const MAX_LIST_BYTES: usize = 4 << 20;

/// Follows the list; never ends.
pub async fn follow(host: Host, etcd: Etcd) {
    let client = http_client(SLOW_CALL_TIMEOUT);
    let mut follower = Follower { host, client, etcd, revision: None, call_timeout: FAST_CALL_TIMEOUT };
    let mut backoff = MIN_BACKOFF;
    loop {
        let before = follower.revision;
        let Err(why) = follower.step().await else { continue };
        let revision = follower.revision;
        backoff = if revision > before { MIN_BACKOFF } else { (backoff * 2).min(MAX_BACKOFF) };
        let again_in_ms = backoff.as_millis() as u64;
        warn!(%why, revision, again_in_ms, "etcd: the list is asked for again");
        tokio::time::sleep(backoff).await;
    }
}

/// Where following the list stands.
struct Follower {
    host: Host,
    client: Client,
    etcd: Etcd,
    /// The revision up to which the list is known; `None`: the whole list is needed.
    revision: Option<u64>,
    call_timeout: Duration,
}

impl Follower {
    /// Fetches the list, or follows the changes of the one that is known.
    ///
    /// # Errors
    /// What failed, before the next step is to be taken after a wait.
    async fn step(&mut self) -> Result<(), FollowError> {
        let Some(revision) = self.revision else {
            let started_at = Instant::now();
            let fetched = self.fetch().await;
            let fast = started_at.elapsed() < FAST_CALL;
            self.call_timeout = if fast { FAST_CALL_TIMEOUT } else { SLOW_CALL_TIMEOUT };
            return fetched;
        };
        let watched = self.watch(revision).await;
        if matches!(watched, Ok(()) | Err(FollowError::Compacted)) {
            self.revision = None;
        }
        watched
    }

    /// The whole list, by a range.
    async fn fetch(&mut self) -> Result<(), FollowError> {
        let body = tokio::time::timeout(self.call_timeout, self.range()).await;
        let body = body.map_err(|_| FollowError::NoAnswer)??;
        let list = messages::read_range(&mut body.to_vec(), &self.etcd)?;
        self.revision = Some(list.revision);
        self.host.feed(Input::EndpointList(list));
        Ok(())
    }

    async fn range(&self) -> Result<Bytes, FollowError> {
        let request = format!("{{{}}}", messages::key_range(&self.etcd.prefix));
        let mut response =
            self.post("kv/range").send_body(request).await.map_err(FollowError::Unreachable)?;
        if !response.status().is_success() {
            return Err(FollowError::Status(response.status()));
        }
        response.body().limit(MAX_LIST_BYTES).await.map_err(FollowError::BodyLost)
    }

    fn post(&self, call: &str) -> ClientRequest {
        let url = format!("http://{}/v3/{call}", self.etcd.address);
        self.client.post(url).content_type("application/json")
    }

    /// Applies changes after `revision`, until the watch is silent for too long.
    async fn watch(&mut self, revision: u64) -> Result<(), FollowError> {
        let request = messages::watch_request(&self.etcd.prefix, revision + 1);
        let sent = self.post("watch").send_body(request);
        let response = match tokio::time::timeout(self.call_timeout, sent).await {
            Ok(Ok(response)) if response.status().is_success() => response,
            Ok(Ok(response)) => return Err(FollowError::WatchStatus(response.status())),
            Ok(Err(error)) => return Err(FollowError::WatchUnreachable(error)),
            Err(_) => return Err(FollowError::NoWatchAnswer),
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
                Err(why) => return Err(FollowError::WatchLost(why)),
            }
        }
    }

    fn apply(&mut self, message: WatchMessage) -> Result<(), FollowError> {
        match message {
            WatchMessage::Error => return Err(FollowError::WatchError),
            WatchMessage::Compacted => return Err(FollowError::Compacted),
            WatchMessage::Cancelled { reason } => return Err(FollowError::WatchCancelled { reason }),
            // The message of its creation may name a revision whose events are still to come.
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
