//! One hollow initiator: the program's own membership, spread and core on real sockets, with no clients.

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

/// As in the program: an exchange takes so long at most, one begins each second where members are not known
/// to speak the spread, so many are served at once; what is added to the sums is looked at so often.
const EXCHANGE: Duration = Duration::from_millis(300);
const ASKED_EVERY: Duration = Duration::from_secs(1);
const SERVED_MOST: usize = 8;
const ADDED_EVERY: Duration = Duration::from_millis(500);
/// Zones, and how many make a region; initiators stand in them in turn.
pub const ZONES: usize = 9;
pub const REGION: usize = 3;
/// Volumes in use in all, where any are; units a second travel in thousandths.
pub const VOLUMES: u64 = 1000;
/// Headers of IPv4 and UDP, of IPv4 and TCP, and what a TCP segment carries over Ethernet, in bytes.
const UDP_HEAD: usize = 28;
const TCP_HEAD: usize = 40;
const SEGMENT: usize = 1460;
/// Packets beside the first with data that each end of a connection sends: SYN, acknowledgements and FIN.
const ASKER_PACKETS: usize = 4;
const ASKED_PACKETS: usize = 3;

/// What happened at one initiator, real or hollow.
#[derive(Debug)]
pub enum What {
    /// Peers' word keeps it from a box now.
    Stopped(String),
    /// Its own list says that a box drains.
    Listed(String),
    /// It takes a peer for alive, or no longer.
    Up(String),
    Down(String),
    /// A line of its log warns.
    Warned,
}

/// What, at which initiator, when.
pub type News = (usize, What, Instant);

/// Bytes on the wire of every initiator, real ones first: of a real one those that hollow ones counted.
pub struct Ledger {
    pub real: BTreeMap<String, usize>,
    pub places: BTreeMap<SocketAddr, usize>,
    counts: Vec<[AtomicU64; 2]>,
    /// So many volumes are used at each hollow one now.
    pub volumes: AtomicU64,
}

impl Ledger {
    pub fn new(real: Vec<(String, SocketAddr)>, all: usize) -> Self {
        let numbered = || real.iter().cloned().enumerate();
        Ledger {
            real: numbered().map(|(i, (name, _))| (name, i)).collect(),
            places: numbered().map(|(i, (_, at))| (at, i)).collect(),
            counts: (0..all).map(|_| Default::default()).collect(),
            volumes: AtomicU64::new(0),
        }
    }

    /// Received and sent so far.
    pub fn now(&self) -> Vec<[u64; 2]> {
        self.counts.iter().map(|c| [0, 1].map(|way| c[way].load(Ordering::Relaxed))).collect()
    }

    fn add(&self, who: usize, way: usize, bytes: usize) {
        self.counts[who][way].fetch_add(bytes as u64, Ordering::Relaxed);
    }

    /// The hollow one `who` sent (1) or received (0) so many bytes; at the other end it is the other way.
    fn moved(&self, who: usize, way: usize, other: Option<&usize>, bytes: usize) {
        self.add(who, way, bytes);
        other.inspect(|real| self.add(**real, 1 - way, bytes));
    }
}

fn over_tcp(payload: usize, packets: usize) -> usize {
    payload + TCP_HEAD * (packets + payload.div_ceil(SEGMENT))
}

/// What a hollow initiator is made of.
pub struct Parts {
    pub index: usize,
    pub operator: Rc<OperatorConfig>,
    pub tcp: std::net::TcpListener,
    pub udp: std::net::UdpSocket,
    pub news: UnboundedSender<News>,
    pub ledger: Arc<Ledger>,
}

struct Hollow {
    index: usize,
    me: Observer,
    start: Instant,
    udp: UdpSocket,
    membership: RefCell<Membership>,
    spread: RefCell<Gossip>,
    broker: RefCell<broker::Broker>,
    /// When membership, core and spread want to be woken.
    wakes: [Cell<Option<Instant>>; 3],
    /// What the core sees, for the spread.
    said: RefCell<Vec<gossip::Input>>,
    news: UnboundedSender<News>,
    ledger: Arc<Ledger>,
}

/// Lives until its task is dropped.
pub async fn live(parts: Parts) -> io::Result<()> {
    let Parts { index, operator, tcp, udp, news, ledger } = parts;
    let (tcp, udp) = (TcpListener::from_std(tcp)?, UdpSocket::from_std(udp)?);
    let Some(set) = &operator.peers else { return Err(io::Error::other("an operator's file without peers")) };
    let (me, at, start) = (new_observer(set), tcp.local_addr()?, Instant::now());
    let unix = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH).unwrap_or_default();
    let me = Observer { name: format!("h{index}"), ..me };
    let peer = membership::Member {
        name: me.name.clone(),
        incarnation: me.incarnation,
        epoch: unix.as_millis() as u64,
        address: at,
    };
    let place =
        Locality { region: format!("g{}", index % ZONES / REGION), zone: format!("z{}", index % ZONES) };
    let spread = Gossip::new(me.clone(), at, place, me.incarnation, Duration::ZERO);
    let core = broker::Broker::new(
        operator.settings.clone(),
        me.incarnation,
        broker::Clock::new(start, unix),
        start,
    );
    let hollow = Rc::new(Hollow {
        index,
        start,
        udp,
        membership: RefCell::new(Membership::new(peer, set.join.clone(), me.incarnation)),
        spread: RefCell::new(spread),
        broker: RefCell::new(core.with_peers(me.clone())),
        said: RefCell::default(),
        me,
        wakes: Default::default(),
        news,
        ledger,
    });
    hollow.core(broker::Input::EndpointList(operator.endpoints.clone()));
    for to in set.join.clone() {
        spawn_local(hollow.clone().ask(to));
    }
    hollow.members(membership::Input::TimerExpired).await;
    spawn_local(hollow.clone().keep_asking());
    hollow.run(tcp).await
}

impl Hollow {
    async fn run(self: Rc<Self>, tcp: TcpListener) -> io::Result<()> {
        let mut bytes = [0; MAX_DATAGRAM_BYTES + 1];
        let served = Arc::new(tokio::sync::Semaphore::new(SERVED_MOST));
        let mut adds = tokio::time::interval(ADDED_EVERY);
        self.spread(gossip::Input::TimerFired).await;
        loop {
            let first = self.wakes.iter().filter_map(Cell::get).min();
            tokio::select! {
                came = self.udp.recv_from(&mut bytes) => if let Ok((length, from)) = came {
                    self.ledger.moved(self.index, 0, self.ledger.places.get(&from), length + UDP_HEAD);
                    let datagram = bytes[..length].to_vec();
                    match datagram.first() {
                        Some(&GOSSIP_MAGIC) => self.spread(gossip::Input::Datagram { from, bytes: datagram }).await,
                        _ => self.members(membership::Input::DatagramReceived(datagram.into())).await,
                    }
                },
                came = tcp.accept(), if served.available_permits() > 0 => {
                    let (stream, _) = came?;
                    let place = served.clone().acquire_owned().await;
                    let hollow = self.clone();
                    spawn_local(async move {
                        let _ = timeout(EXCHANGE, hollow.answer(stream)).await;
                        drop(place);
                    });
                }
                _ = adds.tick() => {
                    let volumes = self.ledger.volumes.load(Ordering::Relaxed);
                    let amounts = (0..volumes).map(|n| self.uses(n)).collect();
                    self.spread(gossip::Input::LocalAmounts(amounts)).await;
                }
                () = sleep_until(first.unwrap_or_else(Instant::now).into()), if first.is_some() => {
                    let now = Instant::now();
                    let due = |wake: &Cell<Option<Instant>>| {
                        let due = wake.get().is_some_and(|at| at <= now);
                        due.then(|| wake.set(None)).is_some()
                    };
                    if due(&self.wakes[0]) {
                        self.members(membership::Input::TimerExpired).await;
                    }
                    if due(&self.wakes[1]) {
                        self.core(broker::Input::TimerFired);
                    }
                    if due(&self.wakes[2]) {
                        self.spread(gossip::Input::TimerFired).await;
                    }
                }
            }
            for said in self.said.take() {
                self.spread(said).await;
            }
        }
    }

    /// The volume that it uses in that place, each shared by a tenth of the others, at a rate that moves.
    fn uses(&self, n: u64) -> (Key, u64) {
        let volume = (self.index as u64 + 10 * n) % VOLUMES;
        let moved = self.start.elapsed().as_millis() as u64 * (n + 1) / 100;
        (Key::Demand(volume), 2000 + moved % 1000)
    }

    fn tell(&self, what: What) {
        // Where nobody listens any more the run is over.
        let _ = self.news.send((self.index, what, Instant::now()));
    }

    async fn members(&self, input: membership::Input) {
        let effects = self.membership.borrow_mut().step(self.start.elapsed(), input);
        for effect in effects {
            match effect {
                membership::Effect::Send { to, datagram: bytes } => {
                    self.send(to, &bytes).await;
                }
                membership::Effect::SetTimer(at) => self.wakes[0].set(Some(self.start + at)),
                membership::Effect::MemberUp(peer) => {
                    self.spread(gossip::Input::MemberUp {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                    self.tell(What::Up(peer.name));
                }
                membership::Effect::MemberDown(peer) => {
                    self.spread(gossip::Input::MemberDown {
                        address: peer.address,
                        incarnation: peer.incarnation,
                    })
                    .await;
                    self.tell(What::Down(peer.name));
                }
                membership::Effect::DuplicateName { .. } | membership::Effect::DatagramFailed(_) => {
                    self.tell(What::Warned)
                }
            }
        }
    }

    async fn send(&self, to: SocketAddr, bytes: &[u8]) {
        // What is lost on the way is for the protocols to notice.
        let _ = self.udp.send_to(bytes, to).await;
        self.ledger.moved(self.index, 1, self.ledger.places.get(&to), bytes.len() + UDP_HEAD);
    }

    async fn spread(&self, input: gossip::Input) {
        let effects = self.spread.borrow_mut().step(self.start.elapsed(), input);
        for effect in effects {
            match effect {
                gossip::Effect::Send { to, bytes } => self.send(to, &bytes).await,
                gossip::Effect::Learned(told) => self.core(broker::Input::GossipMerged(told)),
                gossip::Effect::Totals(totals) => {
                    // Nothing is cold here: all that is summed is demand.
                    let demand =
                        totals.into_iter().filter_map(|(key, Total { others, age, .. })| match key {
                            Key::Demand(volume) => {
                                Some(Aged { value: VolumeDemand { volume, rate: others }, age })
                            }
                            _ => None,
                        });
                    self.core(broker::Input::PeerTotals(PeerTotals {
                        demand: demand.collect(),
                        ..PeerTotals::default()
                    }));
                }
                gossip::Effect::WakeAt(at) => self.wakes[2].set(Some(self.start + at)),
                gossip::Effect::ConfigRollout(_) => {}
                gossip::Effect::DatagramRejected { .. } | gossip::Effect::InvalidItems { .. } => {
                    self.tell(What::Warned)
                }
            }
        }
    }

    fn core(&self, input: broker::Input) {
        for effect in self.broker.borrow_mut().step(Instant::now(), input) {
            match effect {
                broker::Effect::SetTimer(at) => self.wakes[1].set(Some(at)),
                broker::Effect::Log(OperatorEvent::AdviceChanged { id, stopped: true, .. }) => {
                    self.tell(What::Stopped(id))
                }
                broker::Effect::Broadcast(told) => {
                    self.said.borrow_mut().push(gossip::Input::LocalObservations(told))
                }
                // It has no clients, so nothing is sent or answered.
                _ => {}
            }
        }
    }

    /// A frame that ends where its head says.
    async fn read(stream: &mut TcpStream) -> io::Result<(Message, usize)> {
        let bad = |why: frame::FrameError| io::Error::other(why.to_string());
        let mut first = [0; HEADER_BYTES];
        stream.read_exact(&mut first).await?;
        let head = frame::decode_header(&first).map_err(bad)?;
        let mut bytes = vec![0; head.message_bytes];
        stream.read_exact(&mut bytes).await?;
        Ok((frame::decode_message(head, &bytes).map_err(bad)?, HEADER_BYTES + bytes.len()))
    }

    fn frame(&self, trip: Duration) -> Vec<u8> {
        frame::encode(&self.me, trip, self.broker.borrow().peer_reports(Instant::now()))
    }

    async fn ask(self: Rc<Self>, to: SocketAddr) {
        let asked = async {
            let start = Instant::now();
            let mut stream = TcpStream::connect(to).await?;
            let trip = start.elapsed();
            let _ = stream.set_nodelay(true);
            let (frame, sent) = (self.frame(trip), Instant::now());
            let other = self.ledger.places.get(&to);
            self.ledger.moved(self.index, 1, other, over_tcp(frame.len(), ASKER_PACKETS));
            stream.write_all(&frame).await?;
            let (message, length) = Self::read(&mut stream).await?;
            self.ledger.moved(self.index, 0, other, over_tcp(length, ASKED_PACKETS));
            if message.round_trip == GOSSIP_CAPABLE {
                self.spread(gossip::Input::SupportConfirmed(to)).await;
            }
            self.exchanged(message, sent.elapsed()).await;
            io::Result::Ok(())
        };
        if !matches!(timeout(EXCHANGE, asked).await, Ok(Ok(()))) {
            self.tell(What::Warned);
        }
    }

    async fn answer(&self, mut stream: TcpStream) -> io::Result<()> {
        let _ = stream.set_nodelay(true);
        let (message, length) = Self::read(&mut stream).await?;
        let other = self.ledger.real.get(&message.from.name);
        self.ledger.moved(self.index, 0, other, over_tcp(length, ASKER_PACKETS));
        let frame = self.frame(GOSSIP_CAPABLE);
        stream.write_all(&frame).await?;
        self.ledger.moved(self.index, 1, other, over_tcp(frame.len(), ASKED_PACKETS));
        let trip = message.round_trip;
        self.exchanged(message, trip).await;
        Ok(())
    }

    /// What one that speaks the spread is asked for is in the sums.
    async fn exchanged(&self, message: Message, trip: Duration) {
        let Message { from, reports: mut facts, .. } = message;
        if message.round_trip == GOSSIP_CAPABLE
            || self.spread.borrow().membership_records().any(|record| record.process == from)
        {
            facts.retain(|told| !told.claim.is_contribution());
        }
        let trip = trip.min(EXCHANGE);
        self.core(broker::Input::PeerReports {
            from: from.clone(),
            round_trip: trip,
            reports: facts.clone(),
        });
        self.spread(gossip::Input::Exchanged { from, round_trip: trip, reports: facts }).await;
    }

    /// Members that are not known to speak the spread are asked over TCP.
    async fn keep_asking(self: Rc<Self>) {
        let mut rng = StdRng::seed_from_u64(self.me.incarnation);
        loop {
            sleep(ASKED_EVERY).await;
            let unmet = self.spread.borrow().unconfirmed_members().choose(&mut rng);
            if let Some(to) = unmet {
                self.clone().ask(to).await;
            }
        }
    }
}
