//! Tests of which members are sent datagrams, and of a fleet that runs two releases.

use crate::network::{address, draining, first_hand, process, Network, MILLISECOND, SECOND};
use rand::RngExt;
use shaletack_gossip::{Effect, Input};
use shaletack_observations::{Claim, Observation, ObservationStore, Observer, Report, Subject};
use std::net::SocketAddr;
use std::time::Duration;

/// During an upgrade a fleet contains initiators of the previous release, which log each gossip datagram as
/// invalid. No datagram may be sent to such an initiator, and what an exchange with it brings has to be
/// pushed on.
#[test]
fn a_member_of_the_previous_release_gets_no_datagram_and_its_reports_are_passed_on() {
    let mut network = Network::settled(20, 1, 13);
    let older = SocketAddr::from(([127, 0, 0, 1], 9));
    for node in 0..20 {
        network.step(node, Input::MemberUp { address: older, incarnation: 5 });
        let unconfirmed: Vec<SocketAddr> = network.nodes[node].gossip.unconfirmed_members().collect();
        assert_eq!(unconfirmed, [older]);
    }
    let from = Observer { name: "older".into(), incarnation: 5 };
    let reports = vec![
        first_hand(&from, draining("s-1")),
        first_hand(&from, Claim::Demand { volume: 3, milli_units_per_second: 4000 }),
        Report { hops: 3, observer: process(77, 1), ..first_hand(&from, draining("s-2")) },
    ];
    network.step(2, Input::Exchanged { from, round_trip: 10 * MILLISECOND, reports });
    let reached =
        |network: &Network| network.all_know(&draining("s-1")) && network.all_know(&draining("s-2"));
    assert!(network.run_until(3 * SECOND, reached));
    for node in &mut network.nodes {
        let effects = node.gossip.step(Duration::from_secs(2000), Input::TimerFired);
        let to_older = |effect: &Effect| matches!(effect, Effect::Send { to, .. } if *to == older);
        assert!(!effects.iter().any(to_older));
    }
    let learned = &network.nodes[2].learned;
    assert!(learned.is_empty(), "the caller has already merged the exchange: {learned:?}");
    network.step(2, Input::SupportConfirmed(older));
    assert_eq!(network.nodes[2].gossip.unconfirmed_members().count(), 0);
}

#[test]
fn the_record_of_a_member_that_is_down_is_dropped_and_that_of_another_incarnation_stays() {
    let mut network = Network::settled(5, 1, 20);
    let recorded = |network: &Network| -> Vec<SocketAddr> {
        network.nodes[0].gossip.membership_records().map(|record| record.address).collect()
    };
    network.step(0, Input::MemberDown { address: address(2), incarnation: 7 });
    assert_eq!(recorded(&network), [address(1), address(2), address(3), address(4)]);
    network.step(0, Input::MemberDown { address: address(3), incarnation: 1 });
    assert_eq!(recorded(&network), [address(1), address(2), address(4)]);
}

const INITIATORS_PER_RELEASE: usize = 15;
/// The most hops of a report that the previous release accepts.
const PREVIOUS_RELEASE_MAX_HOPS: u8 = 3;
const ROUND_TRIP: Duration = Duration::from_millis(4);

fn older_address(older: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 5000 + older as u16))
}

fn older_process(older: usize) -> Observer {
    Observer { name: format!("older{older}"), incarnation: 5 }
}

/// A process that exchanges reports over TCP: what it knows, and its own observations.
#[derive(Clone, Default)]
struct Exchanger {
    known: ObservationStore,
    own: Vec<Observation>,
}

impl Exchanger {
    fn observe(&mut self, claim: &Claim, observer: Observer, observed_at: Duration) {
        self.own.push(Observation {
            claim: claim.clone(),
            observer,
            endpoint_incarnation: 0,
            hops: 0,
            observed_at,
        });
    }

    fn reports(&self, now: Duration, process: &Observer) -> Vec<Report> {
        self.known.reports_for_exchange(now, process, self.own.clone())
    }

    fn merge_reports(&mut self, now: Duration, process: &Observer, from: &Observer, reports: Vec<Report>) {
        let in_range = reports.iter().all(|report| report.hops <= PREVIOUS_RELEASE_MAX_HOPS);
        assert!(in_range, "the previous release accepts no more hops");
        let rejected = self.known.merge_reports(now, ROUND_TRIP, process, from, reports).rejected;
        assert_eq!(rejected.invalid, 0);
    }
}

/// A fleet that runs both releases.
struct MixedFleet {
    network: Network,
    /// The cores of the initiators of the current release, which take part in exchanges.
    cores: Vec<Exchanger>,
    older: Vec<Exchanger>,
}

impl MixedFleet {
    fn new() -> Self {
        let mut network = Network::settled(INITIATORS_PER_RELEASE, 1, 20);
        for node in 0..INITIATORS_PER_RELEASE {
            for older in 0..INITIATORS_PER_RELEASE {
                let address = older_address(older);
                network.step(node, Input::MemberUp { address, incarnation: 5 });
            }
        }
        let exchangers = vec![Exchanger::default(); INITIATORS_PER_RELEASE];
        MixedFleet { network, cores: exchangers.clone(), older: exchangers }
    }

    /// The cores merge what gossip has learned.
    fn merge_learned(&mut self) {
        let now = self.network.now;
        for (node, core) in self.network.nodes.iter_mut().zip(&mut self.cores) {
            let clock = node.clock(now);
            for (_, report) in std::mem::take(&mut node.learned) {
                core.known.merge(report.into_observation(clock, Duration::ZERO));
            }
        }
    }

    /// An initiator of the current release and one of the previous release exchange all that they know.
    fn exchange(&mut self, newer: usize, older: usize) {
        let now = self.network.now;
        let node = &self.network.nodes[newer];
        let (newer_process, clock) = (node.process.clone(), node.clock(now));
        let older_process = older_process(older);
        let to_older = self.cores[newer].reports(clock, &newer_process);
        let to_newer = self.older[older].reports(now, &older_process);
        self.older[older].merge_reports(now, &older_process, &newer_process, to_older);
        self.cores[newer].merge_reports(clock, &newer_process, &older_process, to_newer.clone());
        let exchanged = Input::Exchanged { from: older_process, round_trip: ROUND_TRIP, reports: to_newer };
        self.network.step(newer, exchanged);
    }

    /// An initiator of the previous release exchanges with the next member in the order of addresses, in
    /// which the members of the current release come first.
    fn previous_release_exchanges(&mut self, older: usize, second: usize) {
        let peer = (older + second) % (2 * INITIATORS_PER_RELEASE);
        if peer < INITIATORS_PER_RELEASE {
            self.exchange(peer, older);
        } else if peer - INITIATORS_PER_RELEASE != older {
            let now = self.network.now;
            let from = older_process(peer - INITIATORS_PER_RELEASE);
            let reports = self.older[peer - INITIATORS_PER_RELEASE].reports(now, &from);
            self.older[older].merge_reports(now, &older_process(older), &from, reports);
        }
    }

    /// An initiator of the current release exchanges with a random member that it cannot send datagrams to.
    fn current_release_exchanges(&mut self, newer: usize) {
        let unconfirmed = self.network.nodes[newer].gossip.unconfirmed_members().count();
        assert_eq!(unconfirmed, INITIATORS_PER_RELEASE, "no member of the previous release is confirmed");
        let older = self.network.rng.random_range(0..INITIATORS_PER_RELEASE);
        self.exchange(newer, older);
    }
}

/// Half of a fleet runs the previous release, which exchanges with one member per second over TCP and accepts
/// reports of at most three hops. The observations of either half have to reach all initiators, later than by
/// datagrams, and no report may be rejected.
#[test]
fn a_fleet_half_of_the_previous_release_still_spreads_observations() {
    let mut fleet = MixedFleet::new();
    let (observed_by_newer, observed_by_older) = (draining("s-new"), draining("s-old"));
    let started = fleet.network.now;
    fleet.network.observe(3, observed_by_newer.clone());
    let node = &fleet.network.nodes[3];
    fleet.cores[3].observe(&observed_by_newer, node.process.clone(), node.clock(started));
    fleet.older[4].observe(&observed_by_older, older_process(4), started);
    let mut all_at = None;
    for second in 0..60 {
        fleet.network.run(SECOND);
        fleet.merge_learned();
        for index in 0..INITIATORS_PER_RELEASE {
            fleet.previous_release_exchanges(index, second);
            fleet.current_release_exchanges(index);
        }
        let subject = Subject::Readiness("s-new".into());
        let older_know = fleet.older.iter().all(|older| older.known.get(&subject).is_some());
        let newer_know =
            (0..INITIATORS_PER_RELEASE).all(|node| fleet.network.knows(node, &observed_by_older));
        if older_know && newer_know {
            all_at = Some(fleet.network.now - started);
            break;
        }
    }
    let took = all_at.expect("the observations of either half did not reach all");
    assert!(took < 30 * SECOND, "{took:?}");
}
