//! One hollow initiator: the program's own membership, gossip and broker on real sockets, without clients.

use rand::rngs::StdRng;
use rand::seq::IteratorRandom;
use rand::SeedableRng;
use shaletack::gossip::{Aged, PeerTotals, VolumeDemand};
use shaletack::peers::new_observer;
use shaletack::{broker, operator::OperatorConfig, operator_event::OperatorEvent};
use shaletack_gossip as gossip;
use shaletack_gossip::aggregation::{Key, Total};
use shaletack_gossip::codec::MAGIC as GOSSIP_MAGIC;
use shaletack_gossip::{Gossip, Locality};
use shaletack_membership::frame::{self, Message, GOSSIP_CAPABLE, HEADER_BYTES};
use shaletack_membership::{self as membership, Membership, MAX_DATAGRAM_BYTES};
use shaletack_observations::Observer;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::rc::Rc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream, UdpSocket};
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::spawn_local;
use tokio::time::{sleep, sleep_until, timeout};

/// Time limit of an exchange, as in the program.
const EXCHANGE_TIMEOUT: Duration = Duration::from_millis(300);
/// Time between two exchanges with members that are not known to support gossip datagrams, as in the program.
const EXCHANGE_INTERVAL: Duration = Duration::from_secs(1);
/// Maximum number of exchanges answered at the same time, as in the program.
const MAX_EXCHANGES_SERVED: usize = 8;
/// How often an initiator updates its contribution to the sums, as in the program.
const CONTRIBUTION_INTERVAL: Duration = Duration::from_millis(500);
/// Number of zones; initiators are assigned to them in round-robin order.
pub const ZONES: usize = 9;
/// Number of zones in a region.
pub const ZONES_PER_REGION: usize = 3;
/// Number of volumes in use by all initiators together, if any are used.
pub const VOLUMES: u64 = 1000;
/// Bytes of the IPv4 and UDP headers.
const UDP_HEADER_BYTES: usize = 28;
/// Bytes of the IPv4 and TCP headers.
const TCP_HEADER_BYTES: usize = 40;
/// Maximum payload of a TCP segment over Ethernet.
const MAX_SEGMENT_BYTES: usize = 1460;
/// Packets without data that the connecting side of an exchange sends: SYN, acknowledgements and FIN.
const CLIENT_PACKETS: usize = 4;
/// Packets without data that the accepting side of an exchange sends.
const SERVER_PACKETS: usize = 3;
/// Index of received bytes in the counts of an initiator.
const RECEIVED: usize = 0;
/// Index of sent bytes in the counts of an initiator.
const SENT: usize = 1;
/// Index of the membership's timer.
const MEMBERSHIP_TIMER: usize = 0;
/// Index of the broker's timer.
const BROKER_TIMER: usize = 1;
/// Index of the gossip's timer.
const GOSSIP_TIMER: usize = 2;

/// Something that happened at an initiator, real or hollow.
#[derive(Debug)]
pub enum NoticeKind {
    /// On the advice of peers, the initiator sends no more requests to the endpoint with this id.
    Avoided(String),
    /// The initiator's own endpoint list shows the endpoint with this id as draining.
    ListedDraining(String),
    /// The initiator considers the peer with this name alive.
    MemberUp(String),
    /// The initiator considers the peer with this name dead.
    MemberDown(String),
    /// The initiator logged a warning or an error, or a hollow one met one.
    Warning,
}

/// A notice that something happened at an initiator.
#[derive(Debug)]
pub struct Notice {
    /// The initiator's number; real ones come first.
    pub initiator: usize,
    /// What happened.
    pub kind: NoticeKind,
    /// When it happened, or when its log line was read.
    pub at: Instant,
}

/// State shared by the threads: the bytes on the wire of every initiator, and the load.
///
/// Hollow initiators count the bytes at both ends. Of a real initiator, only its bytes to and from hollow
/// ones are counted.
pub struct SharedState {
    /// Numbers of the real initiators by name.
    pub real_by_name: BTreeMap<String, usize>,
    /// Numbers of the real initiators by address.
    pub real_by_address: BTreeMap<SocketAddr, usize>,
    /// Received and sent bytes of each initiator, real ones first.
    bytes: Vec<[AtomicU64; 2]>,
    /// Number of volumes in use at each hollow initiator at present.
    pub volumes: AtomicU64,
}

impl SharedState {
    /// Creates the state for `all` initiators; `real` has the names and addresses of the real ones.
    pub fn new(real: Vec<(String, SocketAddr)>, all: usize) -> Self {
        let numbered = || real.iter().cloned().enumerate();
        SharedState {
            real_by_name: numbered().map(|(i, (name, _))| (name, i)).collect(),
            real_by_address: numbered().map(|(i, (_, at))| (at, i)).collect(),
            bytes: (0..all).map(|_| Default::default()).collect(),
            volumes: AtomicU64::new(0),
        }
    }

    /// Returns the received and sent bytes of each initiator so far.
    pub fn snapshot(&self) -> Vec<[u64; 2]> {
        self.bytes
            .iter()
            .map(|c| [RECEIVED, SENT].map(|direction| c[direction].load(Ordering::Relaxed)))
            .collect()
    }

    fn add(&self, initiator: usize, direction: usize, bytes: usize) {
        self.bytes[initiator][direction].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// Counts bytes that a hollow initiator sent or received, and the same bytes in the opposite direction at
    /// the other end, if that is a real initiator.
    fn record_transfer(&self, initiator: usize, direction: usize, other: Option<&usize>, bytes: usize) {
        self.add(initiator, direction, bytes);
        other.inspect(|real| self.add(**real, 1 - direction, bytes));
    }
}

/// Returns the bytes on the wire for a payload and the packets without data of one side of a TCP connection.
fn tcp_bytes(payload: usize, packets: usize) -> usize {
    payload + TCP_HEADER_BYTES * (packets + payload.div_ceil(MAX_SEGMENT_BYTES))
}

/// What a hollow initiator is created from.
pub struct HollowParts {
    /// The initiator's number.
    pub index: usize,
    /// The configuration that all hollow initiators share.
    pub operator: Rc<OperatorConfig>,
    /// Listener for exchanges.
    pub tcp: std::net::TcpListener,
    /// Socket for membership and gossip datagrams.
    pub udp: std::net::UdpSocket,
    /// Where notices are sent.
    pub notices: UnboundedSender<Notice>,
    /// State shared by the threads.
    pub shared: Arc<SharedState>,
}

/// A running hollow initiator.
struct Hollow {
    index: usize,
    identity: Observer,
    start: Instant,
    udp: UdpSocket,
    membership: RefCell<Membership>,
    gossip: RefCell<Gossip>,
    broker: RefCell<broker::Broker>,
    /// When the timers of membership, broker and gossip fire.
    timers: [Cell<Option<Instant>>; 3],
    /// The broker's observations that are still to be passed to gossip.
    pending_observations: RefCell<Vec<gossip::Input>>,
    notices: UnboundedSender<Notice>,
    shared: Arc<SharedState>,
}

/// Runs a hollow initiator until its task is dropped.
pub async fn run_hollow(parts: HollowParts) -> io::Result<()> {
    let HollowParts { index, operator, tcp, udp, notices, shared } = parts;
    let (tcp, udp) = (TcpListener::from_std(tcp)?, UdpSocket::from_std(udp)?);
    let Some(peers) = &operator.peers else {
        return Err(io::Error::other("a configuration file without peers"));
    };
    let (identity, at, start) = (new_observer(peers), tcp.local_addr()?, Instant::now());
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let identity = Observer { name: format!("h{index}"), ..identity };
    let peer = membership::Member {
        name: identity.name.clone(),
        incarnation: identity.incarnation,
        epoch: unix.as_millis() as u64,
        address: at,
    };
    let locality = Locality {
        region: format!("g{}", index % ZONES / ZONES_PER_REGION),
        zone: format!("z{}", index % ZONES),
    };
    let gossip = Gossip::new(identity.clone(), at, locality, identity.incarnation, Duration::ZERO);
    let broker = broker::Broker::new(
        operator.settings.clone(),
        identity.incarnation,
        broker::Clock::new(start, unix),
        start,
    );
    let hollow = Rc::new(Hollow {
        index,
        start,
        udp,
        membership: RefCell::new(Membership::new(peer, peers.join.clone(), identity.incarnation)),
        gossip: RefCell::new(gossip),
        broker: RefCell::new(broker.with_peers(identity.clone())),
        pending_observations: RefCell::default(),
        identity,
        timers: Default::default(),
        notices,
        shared,
    });
    hollow.broker_input(broker::Input::EndpointList(operator.endpoints.clone()));
    for to in peers.join.clone() {
        spawn_local(hollow.clone().start_exchange(to));
    }
    hollow.membership_input(membership::Input::TimerExpired).await;
    spawn_local(hollow.clone().exchange_periodically());
    hollow.run(tcp).await
}

impl Hollow {
    /// Handles datagrams, exchanges and timers.
    async fn run(self: Rc<Self>, tcp: TcpListener) -> io::Result<()> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let exchange_permits = Arc::new(tokio::sync::Semaphore::new(MAX_EXCHANGES_SERVED));
        let mut contribution_timer = tokio::time::interval(CONTRIBUTION_INTERVAL);
        self.gossip_input(gossip::Input::TimerFired).await;
        loop {
            let first = self.timers.iter().filter_map(Cell::get).min();
            tokio::select! {
                received = self.udp.recv_from(&mut bytes) => if let Ok((length, from)) = received {
                    let sender = self.shared.real_by_address.get(&from);
                    self.shared.record_transfer(self.index, RECEIVED, sender, length + UDP_HEADER_BYTES);
                    let datagram = bytes[..length].to_vec();
                    match datagram.first() {
                        Some(&GOSSIP_MAGIC) => {
                            self.gossip_input(gossip::Input::Datagram { from, bytes: datagram }).await
                        }
                        _ => {
                            let input = membership::Input::DatagramReceived(datagram.into());
                            self.membership_input(input).await
                        }
                    }
                },
                accepted = tcp.accept(), if exchange_permits.available_permits() > 0 => {
                    let (stream, _) = accepted?;
                    let permit = exchange_permits.clone().acquire_owned().await;
                    let hollow = self.clone();
                    spawn_local(async move {
                        let _ = timeout(EXCHANGE_TIMEOUT, hollow.answer_exchange(stream)).await;
                        drop(permit);
                    });
                }
                _ = contribution_timer.tick() => {
                    let volumes = self.shared.volumes.load(Ordering::Relaxed);
                    let amounts = (0..volumes).map(|n| self.demand(n)).collect();
                    self.gossip_input(gossip::Input::LocalAmounts(amounts)).await;
                }
                () = sleep_until(first.unwrap_or_else(Instant::now).into()), if first.is_some() => {
                    let now = Instant::now();
                    let due = |wake: &Cell<Option<Instant>>| {
                        let due = wake.get().is_some_and(|at| at <= now);
                        due.then(|| wake.set(None)).is_some()
                    };
                    if due(&self.timers[MEMBERSHIP_TIMER]) {
                        self.membership_input(membership::Input::TimerExpired).await;
                    }
                    if due(&self.timers[BROKER_TIMER]) {
                        self.broker_input(broker::Input::TimerFired);
                    }
                    if due(&self.timers[GOSSIP_TIMER]) {
                        self.gossip_input(gossip::Input::TimerFired).await;
                    }
                }
            }
            for input in self.pending_observations.take() {
                self.gossip_input(input).await;
            }
        }
    }

    /// Returns the initiator's `n`th volume and its demand. The demand is in thousandths of a unit per second
    /// and changes over time; each volume is also used by a tenth of the other initiators.
    fn demand(&self, n: u64) -> (Key, u64) {
        let volume = (self.index as u64 + 10 * n) % VOLUMES;
        let offset = self.start.elapsed().as_millis() as u64 * (n + 1) / 100;
        (Key::Demand(volume), 2000 + offset % 1000)
    }

    /// Sends a notice to the phases.
    fn notify(&self, kind: NoticeKind) {
        // An error means that the run is over.
        let _ = self.notices.send(Notice { initiator: self.index, kind, at: Instant::now() });
    }

    /// Passes an input to membership and carries out the effects.
    async fn membership_input(&self, input: membership::Input) {
        let effects = self.membership.borrow_mut().step(self.start.elapsed(), input);
        for effect in effects {
            match effect {
                membership::Effect::Send { to, datagram: bytes } => {
                    self.send(to, &bytes).await;
                }
                membership::Effect::SetTimer(at) => self.timers[MEMBERSHIP_TIMER].set(Some(self.start + at)),
                membership::Effect::MemberUp(peer) => {
                    self.gossip_input(gossip::Input::MemberUp {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                    self.notify(NoticeKind::MemberUp(peer.name));
                }
                membership::Effect::MemberDown(peer) => {
                    self.gossip_input(gossip::Input::MemberDown {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                    self.notify(NoticeKind::MemberDown(peer.name));
                }
                membership::Effect::DuplicateName { .. } | membership::Effect::DatagramFailed(_) => {
                    self.notify(NoticeKind::Warning)
                }
            }
        }
    }

    /// Sends a datagram.
    async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // The protocols tolerate lost datagrams.
        let _ = self.udp.send_to(bytes, to).await;
        self.shared.record_transfer(
            self.index,
            SENT,
            self.shared.real_by_address.get(&to),
            bytes.len() + UDP_HEADER_BYTES,
        );
    }

    /// Passes an input to gossip and carries out the effects.
    async fn gossip_input(&self, input: gossip::Input) {
        let effects = self.gossip.borrow_mut().step(self.start.elapsed(), input);
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => self.send(to, &bytes).await,
                gossip::Effect::Learned(reports) => self.broker_input(broker::Input::GossipMerged(reports)),
                gossip::Effect::Totals(totals) => {
                    // No endpoint is in slow start here, so that the only sums are those of the demand.
                    let demand =
                        totals.into_iter().filter_map(|(key, Total { others, age, .. })| match key {
                            Key::Demand(volume) => {
                                Some(Aged { value: VolumeDemand { volume, rate: others }, age })
                            }
                            _ => None,
                        });
                    self.broker_input(broker::Input::PeerTotals(PeerTotals {
                        demand: demand.collect(),
                        ..PeerTotals::default()
                    }));
                }
                gossip::Effect::WakeAt(at) => self.timers[GOSSIP_TIMER].set(Some(self.start + at)),
                gossip::Effect::ConfigRollout(_) => {}
                gossip::Effect::DatagramRejected { .. } | gossip::Effect::InvalidItems { .. } => {
                    self.notify(NoticeKind::Warning)
                }
            }
        }
    }

    /// Passes an input to the broker and carries out the effects.
    fn broker_input(&self, input: broker::Input) {
        for effect in self.broker.borrow_mut().step(Instant::now(), input) {
            match effect {
                broker::Effect::SetTimer(at) => self.timers[BROKER_TIMER].set(Some(at)),
                broker::Effect::Log(OperatorEvent::AdviceChanged { id, stopped: true, .. }) => {
                    self.notify(NoticeKind::Avoided(id))
                }
                broker::Effect::Broadcast(reports) => {
                    self.pending_observations.borrow_mut().push(gossip::Input::LocalObservations(reports))
                }
                // Without clients there are no attempts and no answers.
                _ => {}
            }
        }
    }

    /// Reads a frame of the length that its header states; returns the message and the bytes of the frame.
    async fn read_frame(stream: &mut TcpStream) -> io::Result<(Message, usize)> {
        let invalid = |why: frame::FrameError| io::Error::other(why.to_string());
        let mut first = [0; HEADER_BYTES];
        stream.read_exact(&mut first).await?;
        let head = frame::decode_header(&first).map_err(invalid)?;
        let mut bytes = vec![0; head.message_bytes];
        stream.read_exact(&mut bytes).await?;
        Ok((frame::decode_message(head, &bytes).map_err(invalid)?, HEADER_BYTES + bytes.len()))
    }

    /// Encodes a frame with all reports of the broker.
    fn encode_frame(&self, round_trip: Duration) -> Vec<u8> {
        frame::encode(&self.identity, round_trip, self.broker.borrow().peer_reports(Instant::now()))
    }

    /// Exchanges frames with a peer, as the side that connects.
    async fn start_exchange(self: Rc<Self>, to: SocketAddr) {
        let exchange = async {
            let start = Instant::now();
            let mut stream = TcpStream::connect(to).await?;
            let round_trip = start.elapsed();
            let _ = stream.set_nodelay(true);
            let (frame, sent) = (self.encode_frame(round_trip), Instant::now());
            let other = self.shared.real_by_address.get(&to);
            self.shared.record_transfer(self.index, SENT, other, tcp_bytes(frame.len(), CLIENT_PACKETS));
            stream.write_all(&frame).await?;
            let (message, length) = Self::read_frame(&mut stream).await?;
            self.shared.record_transfer(self.index, RECEIVED, other, tcp_bytes(length, SERVER_PACKETS));
            if message.round_trip == GOSSIP_CAPABLE {
                self.gossip_input(gossip::Input::SupportConfirmed(to)).await;
            }
            self.handle_exchange(message, sent.elapsed()).await;
            io::Result::Ok(())
        };
        if !matches!(timeout(EXCHANGE_TIMEOUT, exchange).await, Ok(Ok(()))) {
            self.notify(NoticeKind::Warning);
        }
    }

    /// Exchanges frames with a peer that has connected.
    async fn answer_exchange(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let (message, length) = Self::read_frame(&mut stream).await?;
        let other = self.shared.real_by_name.get(&message.from.name);
        self.shared.record_transfer(self.index, RECEIVED, other, tcp_bytes(length, CLIENT_PACKETS));
        let frame = self.encode_frame(GOSSIP_CAPABLE);
        stream.write_all(&frame).await?;
        self.shared.record_transfer(self.index, SENT, other, tcp_bytes(frame.len(), SERVER_PACKETS));
        let round_trip = message.round_trip;
        self.handle_exchange(message, round_trip).await;
        Ok(())
    }

    /// Handles the peer's frame of an exchange. The contributions of a peer that supports gossip datagrams
    /// are ignored, because the sums already include them.
    async fn handle_exchange(&self, message: Message, round_trip: Duration) {
        let Message { from, mut reports, .. } = message;
        if message.round_trip == GOSSIP_CAPABLE
            || self.gossip.borrow().membership_records().any(|record| record.process == from)
        {
            reports.retain(|report| !report.claim.is_contribution());
        }
        let round_trip = round_trip.min(EXCHANGE_TIMEOUT);
        self.broker_input(broker::Input::PeerReports {
            from: from.clone(),
            round_trip,
            reports: reports.clone(),
        });
        self.gossip_input(gossip::Input::Exchanged { from, round_trip, reports }).await;
    }

    /// Starts an exchange in each interval with a random member that is not known to support gossip
    /// datagrams.
    async fn exchange_periodically(self: Rc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.identity.incarnation);
        loop {
            sleep(EXCHANGE_INTERVAL).await;
            let peer = self.gossip.borrow().unconfirmed_members().choose(&mut rng);
            if let Some(to) = peer {
                self.clone().start_exchange(to).await;
            }
        }
    }
}
