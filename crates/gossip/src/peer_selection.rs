//! Selects the peers to gossip with: at random, with a bias towards nearby ones.
//!
//! Random selection needs no coordination, and no repair when peers fail. The bias keeps most of the traffic
//! within a zone, while part of each update is still sent to other regions.

use crate::directory::ConfirmedMember;
use crate::Locality;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::RngExt;
use std::net::SocketAddr;
use std::time::Duration;

/// The minimum time between two rebuilds of the peer lists; all membership changes in between are handled by
/// one rebuild.
const REBUILD_INTERVAL: Duration = Duration::from_millis(20);
/// The number of proximity classes: own zone, own region, and anywhere else.
const PROXIMITIES: usize = 3;

/// The probabilities with which a nearby peer is chosen.
///
/// Where the chosen proximity class has no peers, the next class is used, and the own zone after the
/// farthest.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Bias {
    /// The probability of a peer in the own zone.
    own_zone: f64,
    /// The probability of a peer in the own region, the own zone included.
    own_region: f64,
}

/// The bias of each peer of a push: two peers in the own zone, and one elsewhere, mostly in the own region.
pub(crate) const PUSH_BIASES: [Bias; 3] = [
    Bias { own_zone: 1.0, own_region: 1.0 },
    Bias { own_zone: 1.0, own_region: 1.0 },
    Bias { own_zone: 0.0, own_region: 0.75 },
];
/// The bias of digests.
pub(crate) const DIGEST_BIAS: Bias = Bias { own_zone: 0.5, own_region: 0.83 };

/// The peers that datagrams are sent to, by proximity class.
#[derive(Debug)]
pub(crate) struct Peers {
    by_proximity: [Vec<SocketAddr>; PROXIMITIES],
    rebuild_at: Duration,
}

impl Peers {
    pub(crate) fn new(now: Duration) -> Self {
        Peers { by_proximity: Default::default(), rebuild_at: now }
    }

    /// Returns the earliest time of the next rebuild.
    pub(crate) fn rebuild_at(&self) -> Duration {
        self.rebuild_at
    }

    /// Replaces the peers by the given members.
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
                // A member whose record has not arrived yet may be anywhere.
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

    /// Chooses a random peer that is not among `excluded`, or returns `None` if there is none.
    pub(crate) fn choose(&self, bias: Bias, excluded: &[SocketAddr], rng: &mut StdRng) -> Option<SocketAddr> {
        let drawn: f64 = rng.random();
        let nearest =
            [bias.own_zone, bias.own_region].iter().take_while(|probability| drawn >= **probability).count();
        let candidates = |proximity: usize| -> Vec<SocketAddr> {
            let peers = self.by_proximity[proximity].iter();
            peers.copied().filter(|address| !excluded.contains(address)).collect()
        };
        let by_distance = (0..PROXIMITIES).map(|step| candidates((nearest + step) % PROXIMITIES));
        let candidates = by_distance.into_iter().find(|candidates| !candidates.is_empty())?;
        candidates.choose(rng).copied()
    }

    /// Chooses the peers of one push, each at most once.
    pub(crate) fn choose_push_peers(&self, rng: &mut StdRng) -> Vec<SocketAddr> {
        let mut peers = Vec::with_capacity(PUSH_BIASES.len());
        for bias in PUSH_BIASES {
            peers.extend(self.choose(bias, &peers, rng));
        }
        peers
    }
}
