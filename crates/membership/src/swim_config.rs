//! The periods and counts of the protocol.
//!
//! A silent member is suspected within 3 s and declared down 3.5 s later; a healed partition is noticed within 10 s.
//! Networks lose datagrams: where a twentieth of them is lost, one probe in ten gets no answer. So more members are asked
//! to probe in place of the first one than the paper's default, and updates, suspicions and refutations among them, are
//! gossiped often enough that a refutation reaches all before the suspicion runs out.

use crate::datagram::MAX_MESSAGE_BYTES;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// One member is probed in each period (SWIM, section 3.1).
const PROBE_PERIOD: Duration = Duration::from_millis(1500);
/// How long the answer to a direct probe may take before others are asked to probe.
const PROBE_ROUND_TRIP: Duration = Duration::from_millis(300);
/// How many members are asked to probe one that did not answer (SWIM, section 3.1).
const INDIRECT_PROBES: usize = 4;
/// How long a suspected member may refute the suspicion (SWIM, section 4.2).
const SUSPICION_TIMEOUT: Duration = Duration::from_millis(3500);
/// How often each member passes on one update (SWIM, section 4.1).
const MAX_TRANSMISSIONS: u8 = 20;
/// How often updates go out beside those that travel with probes, and to how many members.
const GOSSIP: Periodic = Periodic { every: Duration::from_millis(250), members: 3 };
/// How often a member asks another one for all that it knows.
const ANNOUNCE: Periodic = Periodic { every: Duration::from_secs(60), members: 1 };
/// How often members that are down are asked whether they are back, which joins the two sides of a healed partition.
const ANNOUNCE_TO_DOWN: Periodic = Periodic { every: Duration::from_secs(5), members: 3 };

struct Periodic {
    every: Duration,
    members: usize,
}

impl Periodic {
    fn params(&self) -> Option<foca::PeriodicParams> {
        Some(foca::PeriodicParams { frequency: self.every, num_members: non_zero(self.members) })
    }
}

fn non_zero(count: usize) -> NonZeroUsize {
    NonZeroUsize::new(count).unwrap_or(NonZeroUsize::MIN)
}

pub(crate) fn swim_config() -> foca::Config {
    foca::Config {
        probe_period: PROBE_PERIOD,
        probe_rtt: PROBE_ROUND_TRIP,
        num_indirect_probes: non_zero(INDIRECT_PROBES),
        suspect_to_down_after: SUSPICION_TIMEOUT,
        max_transmissions: NonZeroU8::new(MAX_TRANSMISSIONS).unwrap_or(NonZeroU8::MIN),
        max_packet_size: non_zero(MAX_MESSAGE_BYTES),
        notify_down_members: true,
        periodic_announce: ANNOUNCE.params(),
        periodic_announce_to_down_members: ANNOUNCE_TO_DOWN.params(),
        periodic_gossip: GOSSIP.params(),
        ..foca::Config::simple()
    }
}
