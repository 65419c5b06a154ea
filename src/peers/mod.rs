//! Communication with the other initiators of an installation: the sockets and tasks around
//! `shaletack-membership` and `shaletack-gossip`.
//!
//! A new initiator knows only the endpoint list that it was started with, which may be hours old, and no
//! initiator sees the outcomes of the others' attempts. Initiators therefore share their observations. This
//! module owns the peer address: UDP for membership and gossip, TCP for exchanges. It takes no decisions:
//! accepted reports go to the core, and each rejection is one line in the log. The module is used only if the
//! operator's file has a `peers` section, and never on the platform.

mod context;
mod contributions;
mod datagrams;
mod exchange;
mod gossip;
mod membership;
mod operator_status;
mod timer;

pub use exchange::{status, ExchangeError};

use crate::operator;
use crate::runtime::host::Host;
use crate::runtime::sockets;
use context::Context;
use exchange::{exchange, poll_members_without_gossip, serve, EXCHANGE_TIMEOUT};
use futures_util::future::join_all;
use gossip::GossipTask;
use membership::MembershipTask;
use shaletack_gossip::{Gossip, Input, Locality};
use shaletack_membership::frame::{Message, GOSSIP_CAPABLE};
use shaletack_membership::{Member, Membership};
use shaletack_observations::{Observer, Report};
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::future::Future;
use std::hash::{BuildHasher, Hasher};
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime};
use tokio::net::UdpSocket;
use tokio::sync::mpsc;
use tokio::task::AbortHandle;
use tracing::{info, warn};

/// The number of batches of the core's observations that can wait for gossip. Each batch contains all current
/// observations, so a batch that is dropped because the queue is full is not missed.
const OBSERVATION_QUEUE_LENGTH: usize = 16;

/// Creates the identity of this process among its peers, with a new random incarnation.
pub fn new_observer(settings: &operator::Peers) -> Observer {
    Observer { name: settings.name.clone(), incarnation: random_number() }
}

/// Returns a random number. No other process is expected to draw the same one.
fn random_number() -> u64 {
    RandomState::new().build_hasher().finish()
}

struct Inner {
    context: Rc<Context>,
    membership: Rc<MembershipTask>,
    gossip: Rc<GossipTask>,
    tasks: RefCell<Vec<AbortHandle>>,
}

/// The communication of this process with its peers. Clones share the same state.
#[derive(Clone)]
pub struct Peers(Rc<Inner>);

impl Peers {
    /// Binds the peer address, exchanges reports with all listed peers, and starts the tasks that keep up the
    /// communication. The exchanges take at most 300 ms, whether or not the peers answer.
    ///
    /// The core behind `host` must identify itself to peers as `me`.
    ///
    /// # Errors
    ///
    /// Returns an error if the address cannot be bound.
    pub async fn start(host: Host, settings: &operator::Peers, me: Observer) -> io::Result<Self> {
        let listener = sockets::listen(settings.listen).await?;
        let address = listener.local_addr()?;
        let socket = sockets::retry_on_shortage(|| UdpSocket::bind(address)).await?;
        info!(at = %address, name = me.name, listed = settings.join.len(), "listens for peers");
        let (observations, observed) = mpsc::channel(OBSERVATION_QUEUE_LENGTH);
        host.set_report_channel(observations);
        let context = Rc::new(Context { host, me, socket, started_at: Instant::now() });
        let peers = Peers::new(context, address, settings);
        peers.exchange_with_listed(&settings.join, address).await;
        peers.0.membership.join().await;
        peers.spawn_tasks(listener, observed);
        Ok(peers)
    }

    fn new(context: Rc<Context>, address: SocketAddr, settings: &operator::Peers) -> Self {
        let me = &context.me;
        let locality = Locality { region: settings.region.clone(), zone: settings.zone.clone() };
        let gossip = Gossip::new(me.clone(), address, locality, random_number(), Duration::ZERO);
        let member = Member { name: me.name.clone(), incarnation: me.incarnation, epoch: unix_ms(), address };
        let membership = Membership::new(member, settings.join.clone(), random_number());
        let gossip = Rc::new(GossipTask::new(context.clone(), gossip));
        let membership = Rc::new(MembershipTask::new(context.clone(), gossip.clone(), membership));
        Peers(Rc::new(Inner { context, membership, gossip, tasks: RefCell::default() }))
    }

    /// Exchanges reports with all listed peers concurrently. The timeout of one exchange therefore bounds
    /// them all.
    async fn exchange_with_listed(&self, listed: &[SocketAddr], own_address: SocketAddr) {
        let others = listed.iter().filter(|address| **address != own_address);
        let exchanges = join_all(others.map(|address| self.exchange(*address))).await;
        let answered = exchanges.into_iter().filter(|answered| *answered).count();
        let took_ms = self.0.context.now().as_millis() as u64;
        info!(answered, listed = listed.len(), took_ms, "exchanged reports with listed peers at startup");
    }

    fn spawn_tasks(&self, listener: tokio::net::TcpListener, observed: mpsc::Receiver<Vec<Report>>) {
        let Inner { context, membership, gossip, .. } = &*self.0;
        self.spawn(datagrams::receive(context.clone(), membership.clone(), gossip.clone()));
        self.spawn(membership.clone().run_timer());
        self.spawn(gossip.clone().run(observed));
        self.spawn(poll_members_without_gossip(self.clone()));
        self.spawn(serve(self.clone(), listener));
    }

    fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.0.tasks.borrow_mut().push(actix_rt::spawn(task).abort_handle());
    }

    /// Announces a planned stop to the other members and aborts all tasks. Nothing is sent or received
    /// afterwards.
    pub async fn leave(&self) {
        self.0.membership.leave().await;
        self.0.tasks.borrow_mut().drain(..).for_each(|task| task.abort());
    }

    /// Returns the address at which this process listens for its peers.
    pub fn address(&self) -> SocketAddr {
        self.0.membership.address()
    }

    /// Returns the names of the other members that this process considers alive or suspects.
    pub fn names(&self) -> Vec<String> {
        self.0.membership.names()
    }

    /// Sets the version of the configuration that is in force in this process. `None` if the configuration
    /// states no version.
    pub async fn set_configuration_version(&self, version: Option<u64>) {
        self.0.gossip.step(Input::ConfigVersion(version)).await;
    }

    fn context(&self) -> &Context {
        &self.0.context
    }

    fn status(&self) -> serde_json::Value {
        operator_status::status(self)
    }

    /// Returns the members that have been known long enough to have shown support for gossip, but have not.
    fn members_to_poll(&self) -> Vec<SocketAddr> {
        let now = self.0.context.now();
        self.0.gossip.read(|gossip| gossip.members_to_ask(now).collect())
    }

    /// Exchanges reports with a peer. Returns whether the peer answered.
    async fn exchange(&self, address: SocketAddr) -> bool {
        match exchange(&self.0.context, address).await {
            Ok(answer) => {
                if answer.message.round_trip == GOSSIP_CAPABLE {
                    self.0.gossip.step(Input::SupportConfirmed(address)).await;
                }
                self.merge_exchange(answer.message, answer.round_trip).await;
                true
            }
            Err(why) => {
                warn!(peer = %address, %why, "an exchange with a peer failed");
                false
            }
        }
    }

    async fn merge_exchange(&self, message: Message, round_trip: Duration) {
        // The peer may state any round trip, but no exchange takes longer than its timeout.
        self.0.gossip.merge_exchange(message, round_trip.min(EXCHANGE_TIMEOUT)).await;
    }
}

/// Returns the current time in Unix milliseconds.
fn unix_ms() -> u64 {
    let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    since_epoch.as_millis() as u64
}
