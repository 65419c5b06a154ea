//! Whom to gossip with: random peers, drawn mostly from nearby.
//!
//! Random choice needs no coordination and no repair when peers die. The bias keeps most bytes within a zone, and still
//! sends some of each update to other regions.

use crate::directory::ConfirmedMember;
use crate::Locality;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// Members that come or go within this time change the peers once.
const REBUILD_INTERVAL: Duration = Duration::from_millis(20);
/// Own zone, own region, anywhere else.
const PROXIMITIES: usize = 3;

/// Which part of draws stays near; where nobody is that near, the draw goes to the next distance.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bias {
    /// The chance of a peer of the own zone.
    own_zone: f64,
    /// The chance of a peer of the own region, the own zone included.
    own_region: f64,
}

/// One bias for each peer of a push: two of the own zone, one of elsewhere.
pub(crate) const PUSH_BIASES: [Bias; 3] = [
    Bias { own_zone: 1.0, own_region: 1.0 },
    Bias { own_zone: 1.0, own_region: 1.0 },
    Bias { own_zone: 0.0, own_region: 0.75 },
];
/// The bias of digests.
pub(crate) const DIGEST_BIAS: Bias = Bias { own_zone: 0.5, own_region: 0.83 };

/// The peers that datagrams are sent to, by proximity.
#[derive(Debug)]
pub(crate) struct Peers {
    by_proximity: [Vec<SocketAddr>; PROXIMITIES],
    rebuild_at: Duration,
}

impl Peers {
    pub(crate) fn new(now: Duration) -> Self {
        Peers { by_proximity: Default::default(), rebuild_at: now }
    }

    /// When the peers may be rebuilt next.
    pub(crate) fn rebuild_at(&self) -> Duration {
        self.rebuild_at
    }

    /// Replaces the peers by these members.
    pub(crate) fn rebuild<'a>(
        &mut self,
        now: Duration,
        own: &Locality,
        members: impl Iterator<Item = ConfirmedMember<'a>>,
    ) {
        self.rebuild_at = now + REBUILD_INTERVAL;
        self.by_proximity = Default::default();
        for member in members {
            let proximity = match member.locality {
                Some(locality) if locality == own => 0,
                Some(locality) if locality.region == own.region => 1,
                // Whose record is on its way may be anywhere.
                _ => 2,
            };
            self.by_proximity[proximity].push(member.address);
        }
    }

    pub(crate) fn iter(&self) -> impl Iterator<Item = &SocketAddr> {
        self.by_proximity.iter().flatten()
    }

    pub(crate) fn len(&self) -> usize {
        self.by_proximity.iter().map(Vec::len).sum()
    }

    pub(crate) fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Draws a peer that is not among `excluded`.
    pub(crate) fn draw(&self, bias: Bias, excluded: &[SocketAddr], rng: &mut StdRng) -> Option<SocketAddr> {
        let drawn: f64 = rng.random();
        let nearest = [bias.own_zone, bias.own_region].iter().take_while(|part| drawn >= **part).count();
        let candidates = |proximity: usize| -> Vec<SocketAddr> {
            let peers = self.by_proximity[proximity].iter();
            peers.copied().filter(|address| !excluded.contains(address)).collect()
        };
        let by_distance = (0..PROXIMITIES).map(|step| candidates((nearest + step) % PROXIMITIES));
        let candidates = by_distance.into_iter().find(|candidates| !candidates.is_empty())?;
        candidates.choose(rng).copied()
    }

    /// Draws the peers of one push, each at most once.
    pub(crate) fn draw_push_targets(&self, rng: &mut StdRng) -> Vec<SocketAddr> {
        let mut targets = Vec::with_capacity(PUSH_BIASES.len());
        for bias in PUSH_BIASES {
            targets.extend(self.draw(bias, &targets, rng));
        }
        targets
    }
}
