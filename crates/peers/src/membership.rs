//! Who is alive: SWIM, by the `foca` crate, as a reducer. A member is suspected before it is taken for dead and
//! may refute it; one listed peer is enough to join all; a planned stop says so.

use bytes::Bytes;
use foca::{AccumulatingRuntime, Foca, Identity, NoCustomBroadcast, OwnedNotification, PostcardCodec, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::fmt;
use std::net::SocketAddr;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The version that this program speaks; the first byte of each datagram, after a mark.
pub const VERSION: u8 = 1;
const MARK: u8 = 0xd7;
/// The most bytes of a datagram: one frame of an Ethernet.
pub const DATAGRAM_MOST: usize = 1400;
/// By so much a renewed identity is later than the one that was taken for dead, in milliseconds: a clock that
/// was set back does not keep a process out.
const RENEWED: u64 = 3_600_000;
/// A peer that was listed and has not been heard of is asked again this often.
const JOIN_EVERY: Duration = Duration::from_secs(2);

/// One process among its peers.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Peer {
    /// The initiator's name.
    pub name: String,
    /// Drawn at the start.
    pub life: u64,
    /// Of two at one address the later counts: Unix milliseconds of the start.
    pub epoch: u64,
    /// Where it hears datagrams and takes exchanges.
    pub at: SocketAddr,
}

impl Identity for Peer {
    type Addr = SocketAddr;

    fn renew(&self) -> Option<Self> {
        Some(Peer { epoch: self.epoch.saturating_add(RENEWED), ..self.clone() })
    }

    fn addr(&self) -> SocketAddr {
        self.at
    }

    fn win_addr_conflict(&self, other: &Self) -> bool {
        (self.epoch, self.life) > (other.epoch, other.life)
    }
}

/// What happened.
#[derive(Clone, Debug)]
pub enum Input {
    /// A datagram came.
    Datagram(Bytes),
    /// A wait is over.
    Woke,
    /// A planned stop: the others are told.
    Leave,
}

/// What is to be done.
#[derive(Clone, Debug, PartialEq)]
pub enum Effect {
    /// Send a datagram.
    Send(SocketAddr, Bytes),
    /// A peer is there.
    Up(Peer),
    /// A peer left, or is taken for dead.
    Down(Peer),
    /// Two processes have one name.
    Twins(Peer, Peer),
    /// A datagram was not taken.
    Bad(Bad),
    /// Come back with [`Input::Woke`] then; an earlier wait is void.
    Wake(Duration),
}

/// Why a datagram is not taken.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Bad {
    /// It does not begin as a peer's does.
    Noise,
    /// It is of a version that this program does not speak.
    Version(u8),
    /// What is in it can't be followed.
    Unreadable(String),
}

impl fmt::Display for Bad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Bad::Noise => f.write_str("not a peer's datagram"),
            Bad::Version(theirs) => write!(f, "version {theirs}, where this program speaks {VERSION}"),
            Bad::Unreadable(why) => write!(f, "unreadable: {why}"),
        }
    }
}

/// Members as one process sees them.
pub struct Membership {
    foca: Foca<Peer, PostcardCodec, StdRng, NoCustomBroadcast>,
    timers: BTreeMap<(Duration, u64), Timer<Peer>>,
    numbered: u64,
    seeds: Vec<SocketAddr>,
    join_at: Duration,
    left: bool,
}

impl Membership {
    /// Alone yet; the listed addresses are asked from the first step on.
    pub fn new(me: Peer, seeds: Vec<SocketAddr>, seed: u64) -> Self {
        let seeds = seeds.into_iter().filter(|at| *at != me.at).collect();
        let foca = Foca::new(me, config(), StdRng::seed_from_u64(seed), PostcardCodec);
        Membership { foca, timers: BTreeMap::new(), numbered: 0, seeds, join_at: Duration::ZERO, left: false }
    }

    /// This process.
    pub fn me(&self) -> &Peer {
        self.foca.identity()
    }

    /// The others that are alive or only suspected.
    pub fn peers(&self) -> impl Iterator<Item = &Peer> {
        self.foca.iter_members().map(|member| member.id())
    }

    /// The one way in.
    pub fn step(&mut self, now: Duration, input: Input) -> Vec<Effect> {
        let mut effects = Vec::new();
        let mut out = AccumulatingRuntime::new();
        let done = match input {
            _ if self.left => return effects,
            Input::Datagram(bytes) => match bytes.as_ref() {
                [MARK, VERSION, rest @ ..] => {
                    self.foca.handle_data(rest, &mut out).map_err(|why| Bad::Unreadable(why.to_string()))
                }
                [MARK, theirs, ..] => Err(Bad::Version(*theirs)),
                _ => Err(Bad::Noise),
            },
            Input::Woke => self.woke(now, &mut out),
            Input::Leave => {
                self.left = true;
                self.foca.leave_cluster(&mut out).map_err(|why| Bad::Unreadable(why.to_string()))
            }
        };
        effects.extend(done.err().map(Effect::Bad));
        self.drain(now, out, &mut effects);
        let next = self.timers.keys().next().map(|(at, _)| *at);
        let join = (!self.missing().is_empty()).then_some(self.join_at);
        effects.extend(next.into_iter().chain(join).min().filter(|_| !self.left).map(Effect::Wake));
        effects
    }

    /// Listed addresses at which nobody is known to be.
    fn missing(&self) -> Vec<SocketAddr> {
        let met = |at: &&SocketAddr| self.peers().any(|peer| peer.at == **at);
        self.seeds.iter().filter(|at| !met(at)).copied().collect()
    }

    fn woke(&mut self, now: Duration, out: &mut AccumulatingRuntime<Peer>) -> Result<(), Bad> {
        let mut done = Ok(());
        while let Some(entry) = self.timers.first_entry().filter(|entry| entry.key().0 <= now) {
            // A timer of an earlier identity is void, and foca says so with an error: no news.
            let _ = self.foca.handle_timer(entry.remove(), &mut *out);
        }
        if self.join_at <= now {
            self.join_at = now + JOIN_EVERY;
            for at in self.missing() {
                // Whoever is there: an announcement is for an address.
                let anybody = Peer { name: String::new(), life: 0, epoch: 0, at };
                let asked = self.foca.announce(anybody, &mut *out);
                done = done.and(asked.map_err(|why| Bad::Unreadable(why.to_string())));
            }
        }
        done
    }

    fn drain(&mut self, now: Duration, mut out: AccumulatingRuntime<Peer>, effects: &mut Vec<Effect>) {
        while let Some((to, data)) = out.to_send() {
            let mut bytes = vec![MARK, VERSION];
            bytes.extend_from_slice(&data);
            effects.push(Effect::Send(to.at, bytes.into()));
        }
        while let Some((after, timer)) = out.to_schedule() {
            self.numbered += 1;
            self.timers.insert((now + after, self.numbered), timer);
        }
        while let Some(news) = out.to_notify() {
            match news {
                OwnedNotification::MemberUp(peer) | OwnedNotification::Rename(_, peer) => {
                    let same = |other: &&Peer| other.name == peer.name && other.at != peer.at;
                    let others = self.peers().chain([self.me()]);
                    effects.extend(others.filter(same).map(|o| Effect::Twins(o.clone(), peer.clone())));
                    effects.push(Effect::Up(peer));
                }
                OwnedNotification::MemberDown(peer) => effects.push(Effect::Down(peer)),
                OwnedNotification::Active
                | OwnedNotification::Idle
                | OwnedNotification::Defunct
                | OwnedNotification::Rejoin(_) => {}
            }
        }
    }
}

/// A member that says nothing is suspected within 3 s and taken for dead 3.5 s after; a partition that heals is
/// noticed within 10 s. Where a twentieth of all datagrams is lost one probe in ten comes back with nothing: four others
/// are asked then, so that hardly anybody is suspected for it, and news of a suspicion and of its refutation goes out
/// four times a second, each piece twenty times by each, so that the refutation is with all in time.
fn config() -> foca::Config {
    let one = NonZeroUsize::MIN;
    let every = |ms, members: usize| {
        let num_members = NonZeroUsize::new(members).unwrap_or(one);
        Some(foca::PeriodicParams { frequency: Duration::from_millis(ms), num_members })
    };
    foca::Config {
        probe_period: Duration::from_millis(1500),
        probe_rtt: Duration::from_millis(300),
        num_indirect_probes: NonZeroUsize::new(4).unwrap_or(one),
        suspect_to_down_after: Duration::from_millis(3500),
        max_transmissions: NonZeroU8::new(20).unwrap_or(NonZeroU8::MIN),
        max_packet_size: NonZeroUsize::new(DATAGRAM_MOST - 2).unwrap_or(one),
        notify_down_members: true,
        periodic_announce: every(60_000, 1),
        periodic_announce_to_down_members: every(5_000, 3),
        periodic_gossip: every(250, 3),
        ..foca::Config::simple()
    }
}
