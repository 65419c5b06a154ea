//! Initiators of one installation, told and asked what each knows of boxes: the sockets round
//! `shaletack-membership`. Off unless the operator's file says otherwise, and never on the platform.
//!
//! It owns the peers' address (UDP for who is alive and for the spread, TCP for exchanges at a start and with the
//! release before) and the pace of both. It weighs nothing: what comes in whole goes to the core, everything else is
//! one line in the log.

mod exchange;

use crate::broker;
use crate::gossip::{Aged, Contribution, EndpointUsage, PeerTotals, VolumeDemand};
use crate::operator;
use crate::runtime::host::Host;
use crate::runtime::sockets;
use bytes::Bytes;
use exchange::{ask, serve, EXCHANGE};
pub use exchange::{status, Failure};
use futures_util::future::join_all;
use rand::seq::IteratorRandom;
use shaletack_gossip as gossip;
use shaletack_gossip::aggregation::{Key, Total};
use shaletack_gossip::codec::MAGIC as GOSSIP_MAGIC;
use shaletack_gossip::{ConfigRollout, Gossip, Locality};
use shaletack_membership::frame::{Message, GOSSIP_CAPABLE};
use shaletack_membership::{Effect, Input, Member, Membership, MAX_DATAGRAM_BYTES};
use shaletack_observations::{Observer, Report};
use std::cell::{Cell, RefCell};
use std::collections::hash_map::RandomState;
use std::collections::{BTreeMap, BTreeSet};
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::{mpsc, Notify};
use tokio::task::AbortHandle;
use tracing::{error, info, warn};
use xxhash_rust::xxh3::xxh3_64;

/// How often one member that is not known to speak the spread is asked over TCP.
const ASKED_EVERY: Duration = Duration::from_secs(1);
/// How often this process looks at what it adds to the sums.
const ADDED_EVERY: Duration = Duration::from_millis(500);
/// Exchanges that are served at a time; more wait in the backlog.
const SERVED_MOST: usize = 8;
/// What this process sees waits so many times at most to be spread; each says all.
const SAID_MOST: usize = 16;

/// What this process is to its peers: a new one with each start.
pub fn observer(peers: &operator::Peers) -> Observer {
    Observer { name: peers.name.clone(), incarnation: drawn() }
}

/// A number that no other process draws.
fn drawn() -> u64 {
    RandomState::new().build_hasher().finish()
}

/// A cold box and its start in the sums, the same at every initiator.
fn box_key(id: &str, start: u64) -> u64 {
    xxh3_64(format!("{start} {id}").as_bytes())
}

struct Inner {
    host: Host,
    me: Observer,
    start: Instant,
    udp: UdpSocket,
    membership: RefCell<Membership>,
    wake: Cell<Option<Duration>>,
    rearm: Notify,
    spread: RefCell<Gossip>,
    spread_wake: Cell<Option<Duration>>,
    spread_rearm: Notify,
    /// Cold boxes and their starts, by their keys in the sums.
    cold: RefCell<BTreeMap<u64, (String, u64)>>,
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
        let tcp = sockets::listen(set.listen).await?;
        let at = tcp.local_addr()?;
        let udp = sockets::retry_while_short(|| UdpSocket::bind(at)).await?;
        let epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
        let peer = Member {
            name: me.name.clone(),
            incarnation: me.incarnation,
            epoch: epoch.as_millis() as u64,
            address: at,
        };
        info!(at = %at, name = me.name, listed = set.join.len(), "listens for peers");
        let place = Locality { region: set.region.clone(), zone: set.zone.clone() };
        let spread = Gossip::new(me.clone(), at, place, drawn(), Duration::ZERO);
        let (say, said) = mpsc::channel(SAID_MOST);
        host.say_to(say);
        let peers = Peers(Rc::new(Inner {
            host,
            me,
            start: Instant::now(),
            udp,
            spread: RefCell::new(spread),
            spread_wake: Cell::new(None),
            spread_rearm: Notify::new(),
            cold: RefCell::default(),
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
        peers.feed(Input::TimerExpired).await;
        peers.spawn(peers.clone().hear());
        peers.spawn(peers.clone().keep_time());
        peers.spawn(peers.clone().keep_spreading(said));
        peers.spawn(peers.clone().keep_asking());
        peers.spawn(serve(peers.clone(), tcp, SERVED_MOST));
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
        self.0.membership.borrow().me().address
    }

    /// The others that are alive, as this process sees them.
    pub fn names(&self) -> Vec<String> {
        self.0.membership.borrow().others().map(|peer| peer.name.clone()).collect()
    }

    fn me(&self) -> &Observer {
        &self.0.me
    }

    /// What an exchange tells.
    fn told(&self) -> Vec<Report> {
        let now = Instant::now();
        self.0.host.look(|broker| broker.peer_reports(now))
    }

    async fn ask(&self, to: SocketAddr) -> bool {
        match ask(self, to).await {
            Ok((message, trip)) => {
                if message.round_trip == GOSSIP_CAPABLE {
                    self.spread(gossip::Input::SupportConfirmed(to)).await;
                }
                self.exchanged(message, trip).await;
                true
            }
            Err(why) => {
                warn!(peer = %to, %why, "an exchange with a peer failed");
                false
            }
        }
    }

    /// Takes what an exchange brought. What one that speaks the spread is asked for is in the sums.
    async fn exchanged(&self, message: Message, trip: Duration) {
        let Message { from, reports: mut facts, .. } = message;
        if message.round_trip == GOSSIP_CAPABLE
            || self.0.spread.borrow().membership_records().any(|record| record.process == from)
        {
            facts.retain(|told| !told.claim.is_contribution());
        }
        let trip = trip.min(EXCHANGE);
        self.0.host.feed(broker::Input::PeerReports {
            from: from.clone(),
            round_trip: trip,
            reports: facts.clone(),
        });
        self.spread(gossip::Input::Exchanged { from, round_trip: trip, reports: facts }).await;
    }

    /// Gives the spread an input and carries out what it asks for.
    async fn spread(&self, input: gossip::Input) {
        let inner = &self.0;
        let effects = inner.spread.borrow_mut().step(inner.start.elapsed(), input);
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => {
                    // As with membership: what is lost is found by the next digest.
                    let _ = inner.udp.send_to(&bytes, to).await;
                }
                gossip::Effect::Learned(told) => inner.host.feed(broker::Input::GossipMerged(told)),
                gossip::Effect::Totals(totals) => {
                    let totals = self.totals(totals);
                    inner.host.feed(broker::Input::PeerTotals(totals));
                }
                gossip::Effect::ConfigRollout(report) => {
                    let ConfigRollout { version, applied: have, initiators: of, in_force_for: since } =
                        report;
                    let since_ms = since.as_millis() as u64;
                    if report.is_complete() {
                        info!(version, initiators = of, since_ms, "the configuration is in force everywhere");
                    } else {
                        let missing = of - have;
                        warn!(version, missing, of, since_ms, "the configuration is not in force everywhere");
                    }
                }
                gossip::Effect::WakeAt(at) => {
                    if inner.spread_wake.replace(Some(at)) != Some(at) {
                        inner.spread_rearm.notify_one();
                    }
                }
                gossip::Effect::DatagramRejected { from, error: why } => {
                    warn!(%from, %why, "a peer's datagram is not taken")
                }
                gossip::Effect::InvalidItems { from, count: unsound } => {
                    warn!(from, unsound, "a peer told what can't be taken");
                }
            }
        }
    }

    /// The version of the configuration that is in force here from now on; `None`: it names none.
    pub async fn configured(&self, version: Option<u64>) {
        self.spread(gossip::Input::ConfigVersion(version)).await;
    }

    /// What an operator is shown, as JSON: who is there, what is known, and how far the configuration is in force.
    fn status(&self) -> serde_json::Value {
        let spread = self.0.spread.borrow();
        let in_force = spread.config_rollout(self.0.start.elapsed()).map(|report| {
            serde_json::json!({
                "version": report.version,
                "have": report.applied,
                "of": report.initiators,
                "everywhere": report.is_complete(),
                "since_ms": report.in_force_for.as_millis() as u64,
            })
        });
        let unmet: Vec<String> = spread.unconfirmed_members().map(|at| at.to_string()).collect();
        serde_json::json!({
            "name": self.0.me.name,
            "members": self.0.membership.borrow().others().count(),
            "of_the_release_before": unmet,
            "facts": spread.observations().len(),
            "configuration": in_force,
        })
    }

    /// What this process adds to the sums, from now on.
    async fn add(&self) {
        let now = Instant::now();
        let Contribution { demand, spent } = self.0.host.look(|broker| broker.contribution(now));
        let mut cold = BTreeMap::new();
        let mut amounts: Vec<(Key, u64)> =
            demand.into_iter().map(|demand| (Key::Demand(demand.volume), demand.rate)).collect();
        for usage in spent {
            let key = box_key(&usage.id, usage.start_ms);
            amounts.push((Key::SlowStartSpend(key), usage.milli_units));
            cold.insert(key, (usage.id, usage.start_ms));
        }
        *self.0.cold.borrow_mut() = cold;
        self.spread(gossip::Input::LocalAmounts(amounts)).await;
    }

    fn totals(&self, totals: Vec<(Key, Total)>) -> PeerTotals {
        let cold = self.0.cold.borrow();
        let mut all = PeerTotals::default();
        for (key, Total { others, age, .. }) in totals {
            match key {
                Key::Demand(volume) => {
                    all.demand.push(Aged { value: VolumeDemand { volume, rate: others }, age });
                }
                Key::ConfigVersion(_) => {}
                Key::SlowStartSpend(key) => {
                    let Some((id, start_ms)) = cold.get(&key) else { continue };
                    let (id, start_ms) = (id.clone(), *start_ms);
                    all.spent.push(Aged { value: EndpointUsage { id, start_ms, milli_units: others }, age });
                }
            }
        }
        all
    }

    /// What this process sees goes out; what waits for its moment comes back then.
    async fn keep_spreading(self, mut said: mpsc::Receiver<Vec<Report>>) {
        self.spread(gossip::Input::TimerFired).await;
        let mut adds = tokio::time::interval(ADDED_EVERY);
        loop {
            let at = self.0.spread_wake.get().map(|at| self.0.start + at);
            tokio::select! {
                told = said.recv() => match told {
                    Some(told) => self.spread(gossip::Input::LocalObservations(told)).await,
                    None => return,
                },
                () = self.0.spread_rearm.notified() => {}
                _ = adds.tick() => self.add().await,
                () = tokio::time::sleep_until(at.unwrap_or_else(Instant::now).into()), if at.is_some() => {
                    self.0.spread_wake.set(None);
                    self.spread(gossip::Input::TimerFired).await;
                }
            }
        }
    }

    async fn feed(&self, input: Input) {
        let inner = &self.0;
        let effects = inner.membership.borrow_mut().step(inner.start.elapsed(), input);
        for effect in effects {
            match effect {
                Effect::Send { to, datagram: bytes } => {
                    // What is lost on the way is for the protocol to notice; so is what could not go.
                    let _ = inner.udp.send_to(&bytes, to).await;
                }
                Effect::SetTimer(at) => {
                    inner.wake.set(Some(at));
                    inner.rearm.notify_one();
                }
                Effect::MemberUp(peer) => {
                    info!(name = peer.name, at = %peer.address, "a peer is there");
                    self.spread(gossip::Input::MemberUp {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                }
                Effect::MemberDown(peer) => {
                    info!(name = peer.name, at = %peer.address, "a peer is gone");
                    self.spread(gossip::Input::MemberDown {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                }
                Effect::DuplicateName { known: one, joined: other } => {
                    let mut places = [one.address.to_string(), other.address.to_string()];
                    places.sort();
                    let [one, other] = places;
                    if inner.twins.borrow_mut().insert((one.clone(), other.clone())) {
                        error!(one, other, "two processes have one name among the peers");
                    }
                }
                Effect::DatagramFailed(why) => warn!(%why, "a peer's datagram is not taken"),
            }
        }
    }

    async fn hear(self) {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            match self.0.udp.recv_from(&mut bytes).await {
                Ok((length, from)) if bytes[0] == GOSSIP_MAGIC && length > 0 => {
                    self.spread(gossip::Input::Datagram { from, bytes: bytes[..length].to_vec() }).await;
                }
                Ok((length, _)) => {
                    self.feed(Input::DatagramReceived(Bytes::copy_from_slice(&bytes[..length]))).await
                }
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
                        self.feed(Input::TimerExpired).await;
                    }
                },
            }
        }
    }

    /// Members of the release before are told and heard over TCP; so is found out who is one.
    async fn keep_asking(self) {
        loop {
            tokio::time::sleep(ASKED_EVERY).await;
            let now = self.0.start.elapsed();
            let unmet = self.0.spread.borrow().members_to_ask(now).choose(&mut rand::rng());
            if let Some(at) = unmet {
                self.ask(at).await;
            }
        }
    }
}
