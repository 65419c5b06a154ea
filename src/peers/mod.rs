//! Initiators of one installation, told and asked what each knows of boxes: the sockets round
//! `shaletack-peers`. Off unless the operator's file says otherwise, and never on the platform.
//!
//! It owns the peers' address (UDP for who is alive, TCP for exchanges) and the pace of both. It weighs
//! nothing: what comes in whole goes to the core, everything else is one line in the log.

mod exchange;

use crate::operator;
use crate::runtime::host::Host;
use bytes::Bytes;
use exchange::{ask, serve};
use futures_util::future::join_all;
use shaletack_knowledge::Observer;
use shaletack_peers::membership::{Effect, Input, Membership, Peer, DATAGRAM_MOST};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::BTreeSet;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::{TcpListener, UdpSocket};
use tokio::sync::Notify;
use tokio::task::AbortHandle;
use tracing::{error, info, warn};

/// How often one member is asked while running.
const ASKED_EVERY: Duration = Duration::from_secs(1);
/// Exchanges that are served at a time; more wait in the backlog.
const SERVED_MOST: usize = 8;

/// What this process is to its peers: a new one with each start.
pub fn observer(peers: &operator::Peers) -> Observer {
    Observer { name: peers.name.clone(), life: drawn() }
}

/// A number that no other process draws.
fn drawn() -> u64 {
    RandomState::new().build_hasher().finish()
}

struct Inner {
    host: Host,
    me: Observer,
    start: Instant,
    udp: UdpSocket,
    membership: RefCell<Membership>,
    wake: Cell<Option<Duration>>,
    rearm: Notify,
    twins: RefCell<BTreeSet<(String, String)>>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// This process among its peers.
#[derive(Clone)]
pub struct Peers(Rc<Inner>);

impl Peers {
    /// Takes the peers' address, asks all that are listed what they know, and stays in touch from then on. It
    /// takes 300 ms at most, whatever they do; the core must be one that is among peers as `me`.
    pub async fn start(host: Host, set: &operator::Peers, me: Observer) -> io::Result<Self> {
        let tcp = TcpListener::bind(set.listen).await?;
        let at = tcp.local_addr()?;
        let udp = UdpSocket::bind(at).await?;
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let peer = Peer { name: me.name.clone(), life: me.life, epoch: epoch.as_millis() as u64, at };
        info!(at = %at, name = me.name, listed = set.join.len(), "listens for peers");
        let peers = Peers(Rc::new(Inner {
            host,
            me,
            start: Instant::now(),
            udp,
            membership: RefCell::new(Membership::new(peer, set.join.clone(), drawn())),
            wake: Cell::new(None),
            rearm: Notify::new(),
            twins: RefCell::default(),
            tasks: RefCell::default(),
        }));
        // All at once, each of them bounded, and so all of them.
        let asked = join_all(set.join.iter().filter(|to| **to != at).map(|to| peers.ask(*to))).await;
        let answered = asked.into_iter().filter(|ok| *ok).count();
        let took_ms = peers.0.start.elapsed().as_millis() as u64;
        info!(answered, listed = set.join.len(), took_ms, "asked peers before the start");
        peers.feed(Input::Woke).await;
        peers.spawn(peers.clone().hear());
        peers.spawn(peers.clone().keep_time());
        peers.spawn(peers.clone().keep_asking());
        let (host, me) = (peers.0.host.clone(), peers.0.me.clone());
        peers.spawn(serve(host, me, tcp, SERVED_MOST));
        Ok(peers)
    }

    fn spawn(&self, task: impl std::future::Future<Output = ()> + 'static) {
        self.0.tasks.borrow_mut().push(actix_rt::spawn(task).abort_handle());
    }

    /// A planned stop: the others are told, and nothing more is said or heard.
    pub async fn leave(&self) {
        self.feed(Input::Leave).await;
        self.0.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Where it hears its peers.
    pub fn at(&self) -> SocketAddr {
        self.0.membership.borrow().me().at
    }

    /// The others that are alive, as this process sees them.
    pub fn names(&self) -> Vec<String> {
        self.0.membership.borrow().peers().map(|peer| peer.name.clone()).collect()
    }

    async fn ask(&self, to: SocketAddr) -> bool {
        let asked = ask(&self.0.host, &self.0.me, to).await;
        if let Err(why) = &asked {
            warn!(peer = %to, %why, "an exchange with a peer failed");
        }
        asked.is_ok()
    }

    async fn feed(&self, input: Input) {
        let inner = &self.0;
        let effects = inner.membership.borrow_mut().step(inner.start.elapsed(), input);
        for effect in effects {
            match effect {
                Effect::Send(to, bytes) => {
                    // What is lost on the way is for the protocol to notice; so is what could not go.
                    let _ = inner.udp.send_to(&bytes, to).await;
                }
                Effect::Wake(at) => {
                    inner.wake.set(Some(at));
                    inner.rearm.notify_one();
                }
                Effect::Up(peer) => info!(name = peer.name, at = %peer.at, "a peer is there"),
                Effect::Down(peer) => info!(name = peer.name, at = %peer.at, "a peer is gone"),
                Effect::Twins(one, other) => {
                    let mut places = [one.at.to_string(), other.at.to_string()];
                    places.sort();
                    let [one, other] = places;
                    if inner.twins.borrow_mut().insert((one.clone(), other.clone())) {
                        error!(one, other, "two processes have one name among the peers");
                    }
                }
                Effect::Bad(why) => warn!(%why, "a peer's datagram is not taken"),
            }
        }
    }

    async fn hear(self) {
        let mut bytes = [0; DATAGRAM_MOST + 1];
        loop {
            match self.0.udp.recv_from(&mut bytes).await {
                Ok((length, _)) => self.feed(Input::Datagram(Bytes::copy_from_slice(&bytes[..length]))).await,
                // Where nobody hears a datagram the next call may say so: no news.
                Err(_) => tokio::time::sleep(Duration::from_millis(10)).await,
            }
        }
    }

    async fn keep_time(self) {
        loop {
            let rearmed = self.0.rearm.notified();
            match self.0.wake.get() {
                None => rearmed.await,
                Some(at) => tokio::select! {
                    () = rearmed => {}
                    () = tokio::time::sleep_until((self.0.start + at).into()) => {
                        self.0.wake.set(None);
                        self.feed(Input::Woke).await;
                    }
                },
            }
        }
    }

    /// One member after another, in an order that goes round all of them.
    async fn keep_asking(self) {
        let mut last: Option<Peer> = None;
        loop {
            tokio::time::sleep(ASKED_EVERY).await;
            let mut peers: Vec<Peer> = self.0.membership.borrow().peers().cloned().collect();
            peers.sort_by_key(|peer| peer.at);
            let after = |peer: &&Peer| last.as_ref().is_none_or(|last| peer.at > last.at);
            let next = peers.iter().find(after).or(peers.first()).cloned();
            if let Some(peer) = &next {
                self.ask(peer.at).await;
            }
            last = next;
        }
    }
}
